"""Tests of how the VMs of a data centre follow the KV cache stores."""

import random
import unittest
from collections import Counter

from plantainridge.gateway import events as ev
from plantainridge.gateway import peer_messages, relays, stored_parts, stores
from plantainridge.gateway.events import Part, StoredPart, View
from plantainridge.gateway.peer_messages import (RelayedStore,
                                                 StoreSnapshotRequest)
from plantainridge.ids import ServiceId, VmId
from plantainridge.loop.effects import Effect, SendPeer
from tests.gateway_fleet import GatewayFleet
from tests.gateway_scene import LOCAL_DC, GatewayScene, endpoint

VMS = 12
PARTS = 200
LOW_LINK_MBPS = 5.0
HIGH_LINK_MBPS = 100.0
HIGH_LINK_VMS = 2
PEER = VmId('vm2')
# Time from a store's restart to the end of the last fetch of what it lost, by a
# VM that has not noticed the restart.
LAST_FETCH_S = stores.MAX_STATE_AGE_S + stored_parts.FETCH_TIMEOUT_S


def _fleet() -> GatewayFleet:
    """Return VMs that know two stores with many parts each."""
    fleet = GatewayFleet(
        VMS, lambda at: HIGH_LINK_MBPS if at < HIGH_LINK_VMS else LOW_LINK_MBPS)
    for number in range(PARTS):
        for store in fleet.stores.values():
            store.save(StoredPart('1.s', f'{number:08x}'), 4_000)
    fleet.run(8.0)
    fleet.reset_counts()
    return fleet


def _restart_vm(fleet: GatewayFleet) -> GatewayScene:
    """Replace a VM by one that has just started, and return that."""
    name = VmId('vm7')
    scene = GatewayFleet(VMS, lambda at: LOW_LINK_MBPS).vms[name]
    scene.now = fleet.now
    scene.timers = {
        key: fleet.now + (at - 100.0) for key, at in scene.timers.items()
    }
    fleet.vms[name] = scene
    return scene


class OutageTest(unittest.TestCase):
    """Stores that no VM can reach for some seconds, as in a zone outage."""

    def test_outage_costs_few_polls_and_no_listing(self) -> None:
        fleet = _fleet()
        for store in fleet.stores.values():
            store.up = False
        fleet.run(6.0)
        # One VM at a time polls, twice a second.
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

    def test_unreachable_stores_are_not_fresh(self) -> None:
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


class ReorderingTest(unittest.TestCase):
    """Answers to two polls of a store that arrive in reverse order."""

    def test_older_answer_does_not_restore_a_freed_part(self) -> None:
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


class EarlierRunTest(unittest.TestCase):
    """Messages about a store from before its last restart."""

    def setUp(self) -> None:
        self.scene = GatewayScene(endpoint('a'))
        self.store = next(iter(self.scene.state.stores.views))
        self.view = self.scene.state.stores.views[self.store]
        self.part = StoredPart('1.s', 'p')
        self.scene.read(View.VMS, ev.VmEntry(PEER, LOCAL_DC, 'vm2:1'))
        self._post_listing(1, {self.part: 500})

    def _post_listing(self, epoch: int, parts: dict[StoredPart, int]) -> None:
        self.scene.post(ev.StoreListed(self.store, epoch, 9, parts, {}))

    def _post_relay(self, epoch: int, is_snapshot: bool,
                    clock_ms: float) -> list[Effect]:
        return self.scene.post(
            stores.StoreRelayed(
                RelayedStore(PEER, self.store, epoch, 9, 12, is_snapshot, False,
                             ((self.part, 500),), clock_ms)))

    def _post_restart(self) -> None:
        self.scene.post(ev.StoreChanged(self.store, 2, 0, False, (), 0.0))
        self._post_listing(2, {})

    def test_late_snapshot_does_not_restore_lost_parts(self) -> None:
        self._post_restart()
        self._post_relay(1, True, 0.0)
        self.assertEqual((self.view.epoch, self.view.complete), (2, {}))

    def test_late_relay_causes_no_request_for_a_snapshot(self) -> None:
        self._post_restart()
        self.assertEqual(self._post_relay(1, False, 0.0), [])

    def test_late_answer_does_not_end_the_present_run(self) -> None:
        self._post_restart()
        self.scene.post(ev.StoreChanged(self.store, 1, 9, False, (), 0.0))
        self.assertEqual(self.view.epoch, 2)
        self._post_relay(2, True, 0.0)
        self.assertEqual(self.view.complete, {self.part: 500})

    def test_relay_that_waited_in_a_suspended_vm_is_not_fresh(self) -> None:
        clock_ms = self.scene.now * 1_000
        self.scene.post(ev.StoreChanged(self.store, 1, 9, False, (), clock_ms))
        self.scene.now += 10.0
        self._post_relay(1, False, clock_ms + 500.0)
        self.assertFalse(self.view.is_fresh(self.scene.now))
        self._post_relay(1, False, clock_ms + 9_900.0)
        self.assertTrue(self.view.is_fresh(self.scene.now))

    def test_listing_that_waited_in_a_suspended_vm_is_not_fresh(self) -> None:
        issued_at = self.scene.now
        self.scene.now += 10.0
        self.scene.post(
            ev.StoreListed(self.store, 1, 9, {self.part: 500}, {}, issued_at))
        self.assertFalse(self.view.is_fresh(self.scene.now))

    def test_snapshot_is_as_old_as_the_answer_that_it_rests_on(self) -> None:
        clock_ms = self.scene.now * 1_000
        self.scene.post(ev.StoreChanged(self.store, 1, 9, False, (), clock_ms))
        self.scene.now += 2.0
        self.scene.post(
            stores.StoreSnapshotRequested(StoreSnapshotRequest(
                PEER, self.store)))
        relay = peer_messages.decode(self.scene.last(SendPeer).payload)
        assert isinstance(relay, RelayedStore)
        self.assertAlmostEqual(relay.clock_ms, clock_ms)

    def test_clock_that_was_set_back_is_read_anew(self) -> None:
        table = self.scene.state.stores
        table.record_clock(500_000.0, 100.0, 2.0)
        table.record_clock(498_500.0, 100.0, 2.0)
        self.assertAlmostEqual(table.clock_ms(100.0), 500_000.0)
        table.record_clock(400_000.0, 100.0, 2.0)
        self.assertAlmostEqual(table.clock_ms(100.0), 400_000.0)

    def test_parts_are_saved_anew_once_no_vm_fetches_the_lost_ones(
            self) -> None:
        self._post_restart()
        self.assertGreaterEqual(_first_save_s(self.scene, self.store, 2),
                                LAST_FETCH_S)


def _first_save_s(scene: GatewayScene, store: ServiceId, epoch: int) -> float:
    """Return the time until the VM saves a part to a store that answers."""
    started_at = scene.now
    while not _saves(scene, store):
        scene.now += 0.1
        scene.post(ev.StoreChanged(store, epoch, 9, False, (), 0.0))
    return scene.now - started_at


def _saves(scene: GatewayScene, store: ServiceId) -> bool:
    """Return whether the VM saves a new part to a store."""
    parts = (Part(f'{scene.now:.1f}', 500), Part('own', 500))
    targets = stored_parts.plan_save(scene.state, '1.s', parts, scene.now)
    return scene.state.stores.views[store].spec.address in targets


class StartBesideRestartTest(unittest.TestCase):
    """VMs that start, and know no earlier run of a store.

    One that saves at once has a part written while a VM that has not noticed
    the store's restart has the same part fetched.
    """

    def setUp(self) -> None:
        self.scene = GatewayScene(endpoint('a'))
        self.store = next(iter(self.scene.state.stores.views))
        self.scene.read(View.VMS, ev.VmEntry(PEER, LOCAL_DC, 'vm2:1'))

    def _post_listing(self, epoch: int) -> None:
        self.scene.post(ev.StoreListed(self.store, epoch, 9, {}, {}))

    def _post_relay(self, epoch: int, is_snapshot: bool, age_s: float) -> None:
        self.scene.post(
            stores.StoreRelayed(
                RelayedStore(PEER, self.store, epoch, 9, 9, is_snapshot, False,
                             (), 0.0, age_s)))

    def test_does_not_save_to_a_store_that_may_just_have_restarted(
            self) -> None:
        self._post_listing(2)
        self.assertGreaterEqual(_first_save_s(self.scene, self.store, 2),
                                LAST_FETCH_S)

    def test_saves_at_once_where_a_peer_knows_the_run(self) -> None:
        for is_snapshot in (True, False):
            with self.subTest(is_snapshot=is_snapshot):
                self.setUp()
                if not is_snapshot:
                    self._post_listing(2)
                self._post_relay(2, is_snapshot, 60.0)
                self.assertTrue(_saves(self.scene, self.store))

    def test_peer_that_started_lately_knows_the_run_for_as_long(self) -> None:
        self._post_relay(2, True, 1.0)
        self._post_relay(2, False, 0.0)
        self.assertAlmostEqual(_first_save_s(self.scene, self.store, 2),
                               stores.RESTART_SAVE_DELAY_S - 1.0,
                               delta=0.2)

    def test_age_of_an_earlier_run_does_not_count(self) -> None:
        self._post_listing(2)
        self._post_relay(1, False, 60.0)
        self.assertFalse(_saves(self.scene, self.store))

    def test_late_relay_of_an_unknown_run_does_not_end_the_present_one(
            self) -> None:
        # The VM would take later messages of the present run for old ones.
        scene, clock_ms = self.scene, self.scene.now * 1_000
        scene.post(ev.StoreListed(self.store, 2, 9, {}, {}))
        scene.post(ev.StoreChanged(self.store, 2, 9, False, (), clock_ms))
        scene.now += 0.1
        for is_snapshot in (False, True):
            late = RelayedStore(PEER, self.store, 1, 9, 9, is_snapshot, False,
                                (), clock_ms - 50.0)
            self.assertEqual(scene.post(stores.StoreRelayed(late)), [])
        view = scene.state.stores.views[self.store]
        self.assertEqual((view.epoch, view.past_epochs), (2, set()))

    def test_restarted_vm_saves_as_soon_as_a_peer_has_sent_a_snapshot(
            self) -> None:
        fleet = _fleet()
        scene = _restart_vm(fleet)
        fleet.run(stores.FIRST_LISTING_DELAY_S[1] + 0.5)
        for view in scene.state.stores.views.values():
            self.assertTrue(view.accepts_saves(scene.now))


class StartTest(unittest.TestCase):
    """VMs that start, alone or all at once, on low-bandwidth links."""

    def test_simultaneous_start_lists_each_store_at_most_twice(self) -> None:
        fleet = GatewayFleet(VMS, lambda at: LOW_LINK_MBPS)
        fleet.run(8.0)
        self.assertLessEqual(fleet.calls['list'], 2 * len(fleet.stores))
        for scene in fleet.vms.values():
            for view in scene.state.stores.views.values():
                self.assertTrue(view.is_fresh(scene.now))

    def test_restarted_vm_gets_a_snapshot_from_a_peer(self) -> None:
        fleet = _fleet()
        scene = _restart_vm(fleet)
        fleet.run(6.0)
        self.assertEqual(fleet.calls['list'], 0)
        for view in scene.state.stores.views.values():
            self.assertEqual(len(view.complete), PARTS)


class LargeDataCentreTest(unittest.TestCase):
    """45 VMs before 25 stores, which answer a poll once they have events."""

    def _play(self, loss: float) -> tuple[GatewayFleet, float]:
        """Return the fleet and the lowest share of time of a fresh view."""
        rng = random.Random(1)
        fleet = GatewayFleet(45,
                             lambda at: LOW_LINK_MBPS,
                             store_count=25,
                             waits=True)
        fleet.deliver = lambda vm: rng.random() >= loss
        fleet.run(6.0)
        fleet.reset_counts()
        fresh: Counter[tuple[str, str]] = Counter()
        for step in range(80):
            for name, store in fleet.stores.items():
                if rng.random() < 0.03:
                    store.save(StoredPart('1.s', f'{name}/{step}'), 4_000)
            fleet.run(0.1)
            for vm, scene in fleet.vms.items():
                for view in scene.state.stores.views.values():
                    fresh[vm, view.name] += view.is_fresh(scene.now)
        return fleet, min(fresh.values()) / 80

    def test_each_store_is_fresh_and_polled_by_one_vm(self) -> None:
        # Polls were spaced wider than a store's state stays valid, so that the
        # other VMs polled too.
        fleet, fresh = self._play(loss=0.0)
        self.assertEqual(fresh, 1.0)
        self.assertEqual(len(fleet.pollers), len(fleet.stores))
        self.assertLess(fleet.calls['poll'], 20 * 8)
        self.assertLess(fleet.quick_polls, 6 * 8)
        self.assertLess(max(fleet.sent_bytes.values()) / 8, 40_000)

    def test_lost_relays_cause_few_polls(self) -> None:
        fleet, fresh = self._play(loss=0.02)
        self.assertGreater(fresh, 0.85)
        self.assertLess(len(fleet.pollers), 1.2 * len(fleet.stores))
        self.assertLess(fleet.calls['poll'], 20 * 8)
        fleet.deliver = lambda vm: True
        fleet.run(3.0)
        for scene in fleet.vms.values():
            for name, store in fleet.stores.items():
                self.assertEqual(scene.state.stores.views[name].complete,
                                 store.complete)


class ReaderTest(unittest.TestCase):
    """Choice of the VM that reads for the others."""

    def _longest_stale_s(self, fleet: GatewayFleet) -> float:
        """Return the longest time for which a view of a store was stale."""
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

    def test_exit_of_the_reader_leaves_no_view_stale(self) -> None:
        for name in (VmId('vm0'), VmId('vm1')):
            for stops_first in (True, False):
                fleet = _fleet()
                if stops_first:
                    fleet.vms[name].post(ev.StopRequested())
                    fleet.run(3.0)
                del fleet.vms[name]
                self.assertLess(self._longest_stale_s(fleet), 0.3)

    def test_vms_with_high_bandwidth_links_read_most(self) -> None:
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
        high_link_reads = sum(
            read[VmId(f'vm{at}')] for at in range(HIGH_LINK_VMS))
        self.assertGreater(high_link_reads, 0.6 * len(subjects))

    def test_vm_that_cannot_reach_a_store_is_not_its_reader(self) -> None:
        fleet = _fleet()
        scene = next(iter(fleet.vms.values()))
        name = scene.state.settings.vm
        for subject in (f'store-{number}' for number in range(50)):
            self.assertFalse(
                relays.is_reader(scene.state, subject, scene.now, (name,)))
