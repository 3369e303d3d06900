"""Tests of the calls to the metadata store when many VMs start together."""

import random
import unittest
from collections import Counter

from plantainridge.gateway.events import View
from tests import registry_fleet
from tests.start_fleet import StartFleet

VMS = 134
ENDPOINTS = 48


class SimultaneousStartTest(unittest.TestCase):
    """Each VM reads each view once, and a few read for the others."""

    def _play(self, spread_s: float) -> StartFleet:
        fleet = StartFleet(VMS, spread_s, ENDPOINTS)
        fleet.run(spread_s + 2.0)
        for scene in fleet.vms.values():
            self.assertEqual(len(scene.state.peers), VMS)
            self.assertEqual(len(scene.state.endpoints), ENDPOINTS)
        return fleet

    def test_vms_do_not_all_read_while_readers_are_elected(self) -> None:
        # VMs that had heard no hint each read all views: 11 calls a VM.
        for spread_s in (0.5, 1.5):
            fleet = self._play(spread_s)
            calls = fleet.store_calls
            self.assertLess(calls.total() / VMS, 5.3)
            for kind in ('write entry', 'load operator', 'load registry',
                         'load vms'):
                self.assertEqual(calls[kind], VMS)
            busiest = Counter(vm for vm, _ in fleet.vm_calls.elements())
            self.assertLess(max(busiest.values()), 16)

    def test_steady_calls_are_those_of_the_readers(self) -> None:
        # A VM whose position lay within a relay read the store in each round.
        fleet = self._play(0.5)
        fleet.store_calls.clear()
        fleet.run(2.0)
        self.assertLess(fleet.store_calls.total() / 2.0, 10.0)

    def test_reads_in_place_of_a_reader_state_their_cause(self) -> None:
        fleet = StartFleet(40, 0.5, ENDPOINTS)
        fleet.deliver = registry_fleet.unreliable(random.Random(3))
        fleet.run(3.0)
        causes = {
            dict(line.fields)['cause']
            for scene in fleet.vms.values()
            for line in scene.lines
            if line.event == 'view_read_instead'
        }
        self.assertEqual(causes, {'gap', 'timeout'})

    def test_lost_relays_delay_no_vm_for_long(self) -> None:
        fleet = StartFleet(40, 0.5, ENDPOINTS)
        fleet.deliver = registry_fleet.unreliable(random.Random(3))
        fleet.run(2.0)
        fleet.store.append(registry_fleet.entry('e1', draining=True),
                           registry_fleet.removal('e2'))
        fleet.names.remove('e1')
        fleet.names.remove('e2')
        fleet.run(1.5)
        for scene in fleet.vms.values():
            endpoints = {
                str(name): each for name, each in scene.state.endpoints.items()
            }
            self.assertTrue(endpoints['e1'].is_leaving)
            # Entries that expired may reappear for a while after an outage.
            self.assertTrue('e2' not in endpoints or
                            endpoints['e2'].missing_since is not None)
            age_s = scene.state.views.age_s(View.REGISTRY, scene.now)
            self.assertLess(age_s, 1.5)
