"""Tests of VMs that the metadata store does not answer while it serves others.

They guard against VMs that serve by an old configuration, or send to endpoints
that leave, although peers know better.
"""

import json
import unittest
from collections.abc import Callable
from typing import Final

from plantainridge.gateway import events as ev
from plantainridge.gateway import peer_messages, relays
from plantainridge.gateway.events import RawRecord, View, VmEntry
from plantainridge.gateway.peer_messages import ViewRequest
from plantainridge.gateway.recent_records import MAX_DELETED, RecentRecords
from plantainridge.gateway.state import GatewayState
from plantainridge.gateway.views import LONG_POLL_TIMEOUT_S
from plantainridge.ids import EndpointId, VmId
from plantainridge.loop.effects import SendPeer
from plantainridge.platform import names
from plantainridge.platform.store import TIMEOUT_S
from tests.gateway_scene import REMOTE_DC, GatewayScene
from tests.registry_fleet import RegistryFleet, entry

SIZE: Final = 12
# Longest time until a configuration or an endpoint's leaving is in force, in s,
# as operators set it.
BOUND_S: Final = 3.0
# Time from the first rejected call to the change, in s: before peers notice,
# while VMs read in place of the reader, and after the next one was elected.
PHASES_S: Final = (0.05, 0.6, 1.2, 1.6, 2.0, 2.5, 3.0, 4.0)


def configuration(version: int) -> RawRecord:
    """Return the record of a configuration without routes."""
    value = {'version': version, 'routes': [], 'services': [], 'tenants': []}
    return RawRecord(names.CONFIGURATION_KEY, json.dumps(value).encode())


class RejectedVmsTest(unittest.TestCase):
    """The store is silent to the reader and a third of the others."""

    def setUp(self) -> None:
        self.fleet = RegistryFleet(SIZE)
        self.fleet.call_timeout_s = (TIMEOUT_S +
                                     LONG_POLL_TIMEOUT_S[View.OPERATOR])
        self.fleet.store.append(entry('e'), entry('f'))
        self._configure(10)
        self.fleet.run(4.0)

    def _configure(self, version: int) -> None:
        self.fleet.store.append(configuration(version), view=View.OPERATOR)

    def _reject(self, view: View) -> None:
        reader = next(name for name, scene in self.fleet.vms.items()
                      if relays.is_reader(scene.state, view.value, scene.now))
        others = [name for name in self.fleet.vms if name != reader]
        self.fleet.rejected = {reader, *others[:SIZE // 3]}

    def _assert_known(self, is_known: Callable[[GatewayState], bool],
                      note: object) -> None:
        self.fleet.run(BOUND_S)
        unaware = {
            name for name, scene in self.fleet.vms.items()
            if not is_known(scene.state)
        }
        self.assertEqual(unaware, set(), note)

    def test_configuration_is_in_force_on_rejected_vms(self) -> None:
        for phase_s in PHASES_S:
            self.setUp()
            self._reject(View.OPERATOR)
            self.fleet.run(phase_s)
            self._configure(11)
            self._assert_known(lambda state: state.config.version == 11,
                               phase_s)

    def test_changes_in_a_row_are_in_force_on_rejected_vms(self) -> None:
        self._reject(View.OPERATOR)
        for version in range(11, 16):
            self.fleet.run(0.7)
            self._configure(version)
        self._assert_known(lambda state: state.config.version == 15, 'last')

    def test_leaving_endpoint_is_known_on_rejected_vms(self) -> None:
        for phase_s in PHASES_S:
            self.setUp()
            self._reject(View.REGISTRY)
            self.fleet.run(phase_s)
            self.fleet.store.append(entry('e', draining=True))
            self._assert_known(
                lambda state: state.endpoints[EndpointId('e')].is_leaving,
                phase_s)

    def test_rejected_vm_makes_up_for_a_lost_relay(self) -> None:
        cut_off = VmId('vm0')
        self.fleet.rejected = {cut_off}
        self.fleet.run(3.0)
        self.fleet.unreachable = {cut_off}
        self._configure(11)
        self.fleet.run(0.5)
        self.fleet.unreachable = set()
        self._assert_known(lambda state: state.config.version == 11, 'relay')


class RejectedDataCentreTest(unittest.TestCase):
    """The store answers no VM of a data centre."""

    def test_a_vm_of_another_data_centre_is_asked(self) -> None:
        scene = GatewayScene()
        scene.read(View.VMS, VmEntry(VmId('remote'), REMOTE_DC, 'remote:1'))
        scene.post(ev.ViewFailed(View.OPERATOR, False, 'silent'))
        scene.advance(LONG_POLL_TIMEOUT_S[View.OPERATOR] + 1.0)
        requests = [
            message for message in (peer_messages.decode(each.payload)
                                    for each in scene.all(SendPeer)
                                    if each.vm == 'remote')
            if isinstance(message, ViewRequest)
        ]
        self.assertIn((View.OPERATOR.value, 1),
                      [(each.view, each.start) for each in requests])


class RecentRecordsTest(unittest.TestCase):
    """What a VM may send to a peer that missed records."""

    def setUp(self) -> None:
        self.recent = RecentRecords()
        self.recent.restart(3)
        self.recent.add((RawRecord('a', b'1'), RawRecord('b', b'1')), 5)
        self.recent.add((RawRecord('a', None),), 6)

    def test_newest_record_of_each_key_from_an_offset_on(self) -> None:
        newest = (RawRecord('b', b'1'), RawRecord('a', None))
        self.assertEqual(self.recent.since(3), newest)
        self.assertEqual(self.recent.since(5), newest[1:])
        self.assertEqual(self.recent.since(6), ())

    def test_records_before_the_snapshot_may_be_missing(self) -> None:
        self.assertIsNone(self.recent.since(2))

    def test_forgotten_deletions_may_be_missing(self) -> None:
        self.recent.add((RawRecord(str(at), None) for at in range(MAX_DELETED)),
                        9)
        self.assertIsNone(self.recent.since(5))
        self.assertIsNotNone(self.recent.since(6))


if __name__ == '__main__':
    unittest.main()
