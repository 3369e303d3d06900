"""Tests of how the VMs of a data centre follow KV cache stores."""

import unittest

from plantainridge.gateway import events as ev
from plantainridge.gateway import relays
from plantainridge.gateway.events import StoredPart
from plantainridge.ids import VmId
from tests.gateway_fleet import GatewayFleet

VMS = 12
PARTS = 200
THIN_MBPS = 5.0
WIDE_MBPS = 100.0
BIG_VMS = 2


def _fleet() -> GatewayFleet:
    """Returns VMs that know two stores with many parts each."""
    fleet = GatewayFleet(VMS, lambda at: WIDE_MBPS
                         if at < BIG_VMS else THIN_MBPS)
    for number in range(PARTS):
        for store in fleet.stores.values():
            store.save(StoredPart('1.s', f'{number:08x}'), 4_000)
    fleet.run(8.0)
    fleet.forget_all()
    return fleet


class OutageTest(unittest.TestCase):
    """Stores that no VM reaches for some seconds, as in a cut-off zone."""

    def test_costs_few_calls_and_no_listing(self) -> None:
        fleet = _fleet()
        for store in fleet.stores.values():
            store.up = False
        fleet.run(6.0)
        # One VM at a time asks, twice a second.
        self.assertLessEqual(fleet.calls['poll'], 6 * 2 * len(fleet.stores))
        for store in fleet.stores.values():
            store.save(StoredPart('1.s', 'new'), 4_000)
            store.up = True
        fleet.run(4.0)
        self.assertEqual(fleet.calls['list'], 0)
        for scene in fleet.vms.values():
            for view in scene.state.stores.views.values():
                self.assertTrue(view.is_fresh(scene.now))
                self.assertEqual(len(view.complete), PARTS + 1)

    def test_nothing_is_fetched_meanwhile(self) -> None:
        fleet = _fleet()
        for store in fleet.stores.values():
            store.up = False
        fleet.run(3.0)
        for scene in fleet.vms.values():
            for view in scene.state.stores.views.values():
                self.assertFalse(view.is_fresh(scene.now))

    def test_restarted_store_is_listed_once(self) -> None:
        fleet = _fleet()
        for store in fleet.stores.values():
            store.restart()
            store.save(StoredPart('1.s', 'new'), 4_000)
        fleet.run(6.0)
        self.assertEqual(fleet.calls['list'], len(fleet.stores))
        for scene in fleet.vms.values():
            for view in scene.state.stores.views.values():
                self.assertEqual(list(view.complete),
                                 [StoredPart('1.s', 'new')])


class OvertakenTest(unittest.TestCase):
    """Two questions to a store whose answers arrive in the other order."""

    def test_older_answer_brings_no_freed_part_back(self) -> None:
        fleet = _fleet()
        scene = next(iter(fleet.vms.values()))
        name = next(iter(scene.state.stores.views))
        view = scene.state.stores.views[name]
        part, start = StoredPart('1.s', 'freed'), view.next
        freed = ev.StoreChanged(name, 1, start + 2, False,
                                ((part, 500), (part, 0)), 1.0)
        older = ev.StoreChanged(name, 1, start + 1, False, ((part, 500),), 1.0)
        scene.post(freed)
        scene.post(older)
        self.assertNotIn(part, view.complete)
        self.assertEqual(view.next, start + 2)


class StartTest(unittest.TestCase):
    """VMs that start, alone or all at once, on thin links."""

    def test_all_at_once_list_each_store_once(self) -> None:
        fleet = GatewayFleet(VMS, lambda at: THIN_MBPS)
        fleet.run(8.0)
        self.assertLessEqual(fleet.calls['list'], 2 * len(fleet.stores))
        for scene in fleet.vms.values():
            for view in scene.state.stores.views.values():
                self.assertTrue(view.is_fresh(scene.now))

    def test_one_that_restarts_asks_a_peer_and_no_store(self) -> None:
        fleet = _fleet()
        again = GatewayFleet(VMS, lambda at: THIN_MBPS)
        name = VmId('vm7')
        scene = again.vms[name]
        scene.now = fleet.now
        scene.timers = {
            key: fleet.now + (at - 100.0) for key, at in scene.timers.items()
        }
        fleet.vms[name] = scene
        fleet.run(6.0)
        self.assertEqual(fleet.calls['list'], 0)
        for view in scene.state.stores.views.values():
            self.assertEqual(len(view.complete), PARTS)


class ReaderTest(unittest.TestCase):
    """Which VM reads for the others."""

    def _read_on(self, fleet: GatewayFleet) -> float:
        """Returns the longest time for which some VM held a store unsure."""
        longest = 0.0
        since: dict[str, float] = {}
        for _ in range(60):
            fleet.run(0.1)
            for name, scene in fleet.vms.items():
                for view in scene.state.stores.views.values():
                    key = f'{name}/{view.name}'
                    if view.is_fresh(scene.now):
                        since.pop(key, None)
                        continue
                    start = since.setdefault(key, fleet.now)
                    longest = max(longest, fleet.now - start)
        return longest

    def test_reader_that_ends_leaves_no_store_unsure(self) -> None:
        for name in (VmId('vm0'), VmId('vm1')):
            for stops_first in (True, False):
                fleet = _fleet()
                if stops_first:
                    fleet.vms[name].post(ev.StopRequested())
                    fleet.run(3.0)
                del fleet.vms[name]
                self.assertLess(self._read_on(fleet), 0.3)

    def test_wide_links_read_most(self) -> None:
        fleet = _fleet()
        subjects = [f'store-{number}' for number in range(200)]
        read = {
            name:
                sum(
                    relays.is_reader(scene.state, subject, scene.now)
                    for subject in subjects)
            for name, scene in fleet.vms.items()
        }
        self.assertEqual(sum(read.values()), len(subjects))
        wide = sum(read[VmId(f'vm{at}')] for at in range(BIG_VMS))
        self.assertGreater(wide, 0.6 * len(subjects))

    def test_vm_that_does_not_reach_a_store_is_passed_over(self) -> None:
        fleet = _fleet()
        scene = next(iter(fleet.vms.values()))
        name = scene.state.settings.vm
        for subject in (f'store-{number}' for number in range(50)):
            self.assertFalse(
                relays.is_reader(scene.state, subject, scene.now, (name,)))
