"""Tests of registry entries that another writer left.

They guard against a VM that stops following the registry, cannot encode its
messages to peers, or sends to an address to which no connection is possible.
"""

import json
import unittest
from typing import Any, Final

from plantainridge.gateway.endpoints import EndpointEntry
from plantainridge.gateway.events import InvalidRecord, RawRecord, View
from plantainridge.platform import records

ENTRY: Final[dict[str, Any]] = {
    'service': 'engines',
    'address': '10.0.0.1:80',
    'zone': 'near',
    'version': 'v1',
    'state': 'ready',
    'slots': 64,
    'sequence': 0,
    'born': 1_700_000_000_000,
    'cold-remaining-ms': 0,
    'models': [{
        'name': 'm',
        'version': 1
    }]
}
LARGE: Final = 10**400
ODD_FIELDS: Final[dict[str, tuple[Any, ...]]] = {
    'slots': (-1, 2**31, LARGE, float('inf'), True),
    'sequence': (-1, 2**63, LARGE),
    'born': (-1, 2**63, LARGE, 1.5),
    'cold-remaining-ms': (LARGE, float('inf'), float('nan')),
    'models': ([{
        'name': 'm',
        'version': 2**32
    }], [{
        'name': 'm',
        'version': -1
    }], [[]], {}),
    'address': ('10.0.0.1:65536', '10.0.0.1:0', f'10.0.0.1:{10**20}',
                '10.0.0.1:-1', '10.0.0.1:\u0663', ':80', '10.0.0.1'),
}


class OddEntryTest(unittest.TestCase):
    """An odd entry names no endpoint, and is reported as unreadable."""

    def _decode(self, value: bytes) -> object:
        return records.decode_update(View.REGISTRY, RawRecord('odd', value))

    def test_a_sound_entry_is_read(self) -> None:
        self.assertIsInstance(self._decode(json.dumps(ENTRY).encode()),
                              EndpointEntry)

    def test_odd_fields_are_reported_as_unreadable(self) -> None:
        for field, values in ODD_FIELDS.items():
            for value in values:
                raw = json.dumps({**ENTRY, field: value}).encode()
                self.assertIsInstance(self._decode(raw), InvalidRecord,
                                      (field, str(value)[:40]))

    def test_deep_nesting_does_not_end_the_process(self) -> None:
        deep = '[' * 100_000 + ']' * 100_000
        for text in (deep, json.dumps(ENTRY)[:-1] + f', "more": {deep}}}'):
            self.assertIsInstance(self._decode(text.encode()), InvalidRecord)


if __name__ == '__main__':
    unittest.main()
