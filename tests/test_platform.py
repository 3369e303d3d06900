"""Tests of the platform's names and formats."""

import json
import pathlib
import tempfile
import unittest
from typing import Any

from plantainridge.gateway import http_calls
from plantainridge.gateway.config import Configuration, RequestKind
from plantainridge.gateway.endpoints import EndpointEntry
from plantainridge.gateway.events import (EndpointRemoved, EvacuationChanged,
                                          InvalidRecord, LeaseRecord,
                                          NamedVersion, RawRecord, StoredPart,
                                          View)
from plantainridge.gateway.settings import GatewaySettings, InvalidSetting
from plantainridge.ids import DcId, Incarnation, ServiceId, VmId
from plantainridge.platform import kv_records, records, requests, settings
from plantainridge.platform.fields import InvalidField

ROUTE = {
    'name': 'r',
    'host': 'h.example',
    'path-prefix': '/a/',
    'kind': 'streaming',
    'timeout-ms': 15_000,
    'target-latency-ms': 1_000,
    'target-gap-ms': 300,
    'traffic-split': [{
        'service': 's',
        'weight': 90
    }, {
        'service': 't',
        'weight': 10
    }],
    'attempts': 2,
    'resumable': True
}
STORE = {
    'name': 'kv',
    'cache-store-address': '10.0.0.9:1',
    'zone': 'z',
    'cache-capacity-tokens': 100,
    'managed': True,
    'first_ms': 0.5
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [STORE, {
        'name': 's'
    }],
    'limits': {
        'max-header-bytes': 99
    },
    'tenants': [{
        'name': 'team',
        'api-keys': ['k'],
        'isolated': True
    }]
}
ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 64,
    'state': 'ready',
    'version': 'v1.2',
    'models': [{
        'name': 'm',
        'version': 3
    }],
    'sequence': 4
}


def record(key: str, value: Any) -> RawRecord:
    """Return a record of a JSON value."""
    return RawRecord(key, json.dumps(value).encode())


class RecordTest(unittest.TestCase):
    """Records of the metadata store and of KV cache stores."""

    def test_log_bytes(self) -> None:
        first = records.encode_keyed('a', b'1')
        deleted = b'\0\0\0\2\1b'
        data = (12).to_bytes(8, 'big') + (3).to_bytes(8, 'big')
        page = records.decode_log(data + first + deleted, 10)
        self.assertEqual(page.next_offset, 12)
        self.assertTrue(page.is_complete)
        self.assertFalse(records.decode_log(data + first, 10).is_complete)
        self.assertEqual(page.records,
                         (RawRecord('a', b'1'), RawRecord('b', None)))
        with self.assertRaises(InvalidField):
            records.decode_log(data + first[:-1], 10)

    def test_configuration(self) -> None:
        decoded = records.decode_update(View.OPERATOR, record('config', CONFIG))
        assert isinstance(decoded, Configuration)
        route = decoded.route('h.example:80', '/a/b?c')
        assert route is not None
        self.assertEqual((route.kind, route.timeout_s, route.gap_s),
                         (RequestKind.STREAM, 15.0, 0.3))
        self.assertEqual([each.weight for each in route.shares], [90.0, 10.0])
        self.assertTrue(decoded.teams_by_key['k'].isolated)
        store = decoded.services[ServiceId('kv')].store
        assert store is not None
        self.assertEqual(store.setup_s, 0.0005)

    def test_versions_and_endpoints(self) -> None:
        named = records.decode_update(
            View.OPERATOR, record('version/m', {
                'model': 'm',
                'version': 2
            }))
        self.assertEqual(named, NamedVersion('m', 2))  # type: ignore[arg-type]
        entry = records.decode_update(View.REGISTRY, record('i-1', ENTRY))
        assert isinstance(entry, EndpointEntry)
        self.assertEqual((entry.versions, entry.build), ({'m': 3}, 'v1.2'))
        removed = records.decode_update(View.REGISTRY, RawRecord('i-1', None))
        self.assertIsInstance(removed, EndpointRemoved)

    def test_evacuations(self) -> None:
        self.assertEqual(
            records.decode_update(View.OPERATOR, record('evacuate/z', {})),
            EvacuationChanged(DcId('z'), True))
        self.assertEqual(
            records.decode_update(View.OPERATOR, RawRecord('evacuate/z', None)),
            EvacuationChanged(DcId('z'), False))

    def test_cold_endpoint(self) -> None:
        entry = records.decode_update(
            View.REGISTRY, record('i-1', {
                **ENTRY, 'cold-remaining-ms': 1_500
            }))
        assert isinstance(entry, EndpointEntry)
        self.assertEqual(entry.cold_remaining_s, 1.5)

    def test_malformed_records_are_invalid(self) -> None:
        wrong_values: dict[str, Any] = {
            'state': 'sleeping',
            'address': 'nowhere',
            'slots': 'many',
            'service': None,
            'zone': 4,
            'models': 'none',
            'version': 7,
        }
        for field, value in wrong_values.items():
            with self.subTest(field):
                decoded = records.decode_update(
                    View.REGISTRY, record('i-1', {
                        **ENTRY, field: value
                    }))
                self.assertIsInstance(decoded, InvalidRecord)
        for data in (b'\xff\xfe', b'[]', b'null', b'{', b'7'):
            for view in (View.REGISTRY, View.OPERATOR, View.VMS):
                decoded = records.decode_update(view, RawRecord('config', data))
                self.assertIsInstance(decoded, InvalidRecord, (view, data))

    def test_lease(self) -> None:
        lease = LeaseRecord(VmId('vm'), Incarnation('life'), 9)
        encoded = RawRecord('orders', records.encode_lease(lease))
        self.assertEqual(records.decode_lease(encoded), lease)

    def test_store_contents(self) -> None:
        store = ServiceId('kv')
        listed = kv_records.decode_listing(
            store, {
                'epoch': 1,
                'next': 5,
                'held': [['s', 'p', 800, 'm']],
                'partial': [['s', 'q', 10, 400]]
            })
        self.assertEqual(listed.complete, {StoredPart('s', 'p'): 800})
        self.assertEqual(listed.partial, {StoredPart('s', 'q'): 400})
        changed = kv_records.decode_changes(
            store, {
                'epoch':
                    1,
                'next':
                    7,
                'lost':
                    False,
                'clock_ms':
                    12,
                'events': [[5, '+', 's', 'q', 400, 'm'],
                           [6, '-', 's', 'p', 0, 'm']]
            })
        self.assertEqual([tokens for _, tokens in changed.parts], [400, 0])
        for data in (None, {}, {'epoch': 1, 'next': 2, 'events': [['x']]}):
            with self.assertRaises(InvalidField):
                kv_records.decode_changes(store, data)

    def test_json_that_is_nested_too_deeply_is_unreadable(self) -> None:
        nested = b'[' * 100_000
        for view in View:
            update = records.decode_update(view, RawRecord('k', nested))
            self.assertIsInstance(update, InvalidRecord)
        self.assertIsNone(http_calls.Response(200, nested).json())


SETTINGS = '''
node-name = "front-1"
zone = "z"
ip-address = "10.0.0.1"
internal-port-range = [7580, 7595]
heartbeat-interval-ms = 1200
unknown-field = 1
[listen-addresses]
frontend = "10.0.0.1:80"
readiness = "10.0.0.1:81"
[platform]
address = "10.0.0.9:82"
reads-per-s = 2000.0
[bounds]
drain-ms = 3000
'''


class SettingsTest(unittest.TestCase):
    """Settings file of a process."""

    def _read_settings(self, text: str) -> GatewaySettings | InvalidSetting:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'boot.toml'
            path.write_text(text)
            return settings.read(str(path))

    def test_valid_file(self) -> None:
        decoded = self._read_settings(SETTINGS)
        assert isinstance(decoded, GatewaySettings)
        self.assertEqual(decoded.callers_address, '10.0.0.1:80')
        self.assertEqual(decoded.tunnel_port, 7581)
        self.assertEqual(decoded.bounds.drain_s, 3.0)
        self.assertEqual(decoded.bounds.grace_s, 8.0)
        self.assertEqual(decoded.store_reads_per_s, 2_000.0)

    def test_range_of_two_ports_has_none_for_tunnels(self) -> None:
        decoded = self._read_settings(SETTINGS.replace('7595', '7581'))
        assert isinstance(decoded, GatewaySettings)
        self.assertEqual(
            (decoded.peer_port, decoded.tunnel_port, decoded.metrics_port),
            (7580, 0, 7581))

    def test_invalid_file_names_the_field_and_allowed_values(self) -> None:
        cases = {
            'ip-address': ('"10.0.0.1"\n', '7\n'),
            'internal-port-range': ('[7580, 7595]', '[7580]'),
            'readiness': ('10.0.0.1:81', 'nowhere'),
            'reads-per-s': ('2000.0', '0'),
        }
        for field, (valid, wrong) in cases.items():
            with self.subTest(field):
                invalid = self._read_settings(SETTINGS.replace(valid, wrong, 1))
                assert isinstance(invalid, InvalidSetting)
                self.assertEqual(invalid.field, field)
                self.assertIn('allowed:', str(invalid))
        self.assertIsInstance(self._read_settings('='), InvalidSetting)


class LoadReportTest(unittest.TestCase):
    """Load reports in endpoints' answers."""

    def test_fourth_number_does_not_drop_the_report(self) -> None:
        for text, slowdown in (('3,0,8', None), ('3,0,8,250', 2.5),
                               ('3,0,8,', None), ('3,0,8,x', None)):
            with self.subTest(text):
                load = requests.parse_load(text, 7.0)
                assert load is not None
                self.assertEqual((load.running, load.slots, load.slowdown),
                                 (3, 8, slowdown))
        for text in ('', '3,0', '3,x,8', '3,0,8,100,1'):
            self.assertIsNone(requests.parse_load(text, 7.0), text)
