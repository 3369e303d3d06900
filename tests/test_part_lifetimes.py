"""Tests of the periods in which stored parts are fetched and freed."""

import random
import unittest
from functools import partial
from typing import Final

from plantainridge.gateway import events as ev
from plantainridge.gateway import (part_lifetimes, reducer, relays,
                                   stored_parts, stores, views)
from plantainridge.gateway.events import View
from plantainridge.gateway.part_lifetimes import PartLifetimes
from plantainridge.ids import Incarnation, ModelId, VmId
from tests.gateway_scene import MODEL, GatewayScene
from tests.registry_fleet import Delivery, RegistryFleet, named_version

M: Final = ModelId('m')
TICK_S: Final = 0.1
# Longest outage of the metadata store during which parts are still fetched.
OUTAGE_S: Final = 9.0
# Longest delay of a read in a random run.
MAX_DELAY_S: Final = 30.0


class BoundsTest(unittest.TestCase):
    """Relations between constants, on which the absence of races rests."""

    def test_last_fetch_ends_before_the_first_free(self) -> None:
        # Reads count from their issue, which precedes the naming. What remains
        # is the drift of the VMs' clocks and the engines' against one another.
        drift_s = 3 * stores.MAX_CLOCK_DRIFT * part_lifetimes.FREE_DELAY_S
        self.assertGreater(part_lifetimes.CLOCK_TOLERANCE_S, drift_s)
        self.assertGreaterEqual(
            part_lifetimes.FREE_DELAY_S,
            part_lifetimes.FETCH_WINDOW_S + part_lifetimes.CLOCK_TOLERANCE_S)

    def test_parts_are_fetched_through_an_outage(self) -> None:
        # The outage interrupts the second read.
        read_age_s = (2 * views.MAX_READ_GAP_S +
                      relays.MAX_MIN_HINT_INTERVAL_S + reducer.TICK_INTERVAL_S +
                      stores.MAX_RELAY_DELAY_S)
        self.assertGreaterEqual(
            part_lifetimes.FETCH_WINDOW_S,
            OUTAGE_S + read_age_s + stored_parts.FETCH_TIMEOUT_S)


class PartLifetimesTest(unittest.TestCase):
    """One VM's reads of the newest version."""

    def _read(self, lifetimes: PartLifetimes, start: float, end: float,
              version: int) -> None:
        """Observe successful reads, ten a second."""
        for step in range(round((end - start) / TICK_S)):
            now = start + step * TICK_S
            lifetimes.observe({M: version}, now, lifetimes.era, now)

    def test_no_vm_frees_what_another_one_still_fetches(self) -> None:
        for seed in range(100):
            rng = random.Random(seed)
            named_at = rng.uniform(5.0, 15.0)
            fetched_until, freed_from = 0.0, 60.0
            for _ in range(3):
                lifetimes, read_at = PartLifetimes(), 0.0
                newest = {M: 1}
                outage_at = rng.uniform(0.0, 20.0)
                outage_end = outage_at + rng.uniform(0.0, 25.0)
                for step in range(600):
                    now = step * TICK_S
                    if not outage_at < now < outage_end:
                        # The store answered between the read's issue and its
                        # arrival, which any delay may separate.
                        issued_at = now - rng.uniform(0.0, MAX_DELAY_S)
                        answered_at = rng.uniform(issued_at, now)
                        newest = {
                            M: max(newest[M], 1 + (answered_at >= named_at))
                        }
                        read_at = max(read_at, issued_at)
                    lifetimes.observe(newest, read_at, 0, now)
                    until = now + stored_parts.FETCH_TIMEOUT_S
                    if lifetimes.may_fetch(M, 1, until):
                        fetched_until = max(fetched_until, until)
                    if (lifetimes.replaced_for_s(M, 1, now)
                            > part_lifetimes.FREE_DELAY_S):
                        freed_from = min(freed_from, now)
            self.assertLess(fetched_until, freed_from, f'seed {seed}')

    def test_replaced_version_is_fetched_until_the_window_ends(self) -> None:
        lifetimes = PartLifetimes()
        self._read(lifetimes, 0.0, 5.0, 1)
        self._read(lifetimes, 5.0, 6.0, 2)
        end = 4.9 + part_lifetimes.FETCH_WINDOW_S
        self.assertTrue(lifetimes.may_fetch(M, 1, end - 0.1))
        self.assertFalse(lifetimes.may_fetch(M, 1, end + 0.1))
        self.assertTrue(lifetimes.may_fetch(M, 2, 6.0 + 1.0))

    def test_started_vm_fetches_only_the_newest_version(self) -> None:
        lifetimes = PartLifetimes()
        self._read(lifetimes, 0.0, 1.0, 2)
        self.assertFalse(lifetimes.may_fetch(M, 1, 1.0))
        self.assertLess(lifetimes.replaced_for_s(M, 1, 1.0),
                        part_lifetimes.FREE_DELAY_S)
        self.assertTrue(lifetimes.may_fetch(M, 2, 1.0))

    def test_reads_just_after_a_pause_do_not_count(self) -> None:
        lifetimes = PartLifetimes()
        self._read(lifetimes, 0.0, 1.0, 1)
        self._read(lifetimes, 21.0, 21.5, 1)
        self.assertFalse(lifetimes.may_fetch(M, 1, 21.5))
        self._read(lifetimes, 21.5, 23.0, 1)
        self.assertTrue(lifetimes.may_fetch(M, 1, 23.0))

    def test_restored_store_counts_once_operators_have_written(self) -> None:
        lifetimes = PartLifetimes()
        lifetimes.observe({}, 0.0, 3, 0.0)
        self._read(lifetimes, 0.0, 4.0, 1)
        self.assertFalse(lifetimes.may_fetch(M, 1, 4.0))
        self._read(lifetimes, 4.0, 6.0, 1)
        self.assertTrue(lifetimes.may_fetch(M, 1, 6.0))


class RelayedReadsTest(unittest.TestCase):
    """VMs of which one receives the operators' records only through peers."""

    def setUp(self) -> None:
        self.fleet = RegistryFleet(3)
        self.fleet.store.append(named_version(1), view=View.OPERATOR)
        self.fleet.run(3.0)
        self.relayed = next(
            vm for vm, scene in self.fleet.vms.items() if
            not relays.is_reader(scene.state, View.OPERATOR.value, scene.now))
        self.fleet.rejected.add(self.relayed)

    def _may_fetch(self, vm: VmId) -> bool:
        scene = self.fleet.vms[vm]
        until = scene.now + stored_parts.FETCH_TIMEOUT_S
        return scene.state.part_lifetimes.may_fetch(MODEL, 1, until)

    def _may_free(self, vm: VmId) -> bool:
        scene = self.fleet.vms[vm]
        lifetimes = scene.state.part_lifetimes
        return (lifetimes.replaced_for_s(MODEL, 1, scene.now)
                > part_lifetimes.FREE_DELAY_S)

    def test_delayed_relay_does_not_extend_fetches(self) -> None:
        for delay_s in (0.001, 2.0, 4.0, 8.0):
            self.setUp()
            fleet, fetched_until = self.fleet, 0.0
            fleet.deliver = partial(Delivery, (delay_s,))
            fleet.run(10.0)
            fleet.store.append(named_version(2), view=View.OPERATOR)
            while not any(map(self._may_free, fleet.vms)):
                fleet.run(TICK_S)
                for vm in filter(self._may_fetch, fleet.vms):
                    fetched_until = (fleet.vms[vm].now +
                                     stored_parts.FETCH_TIMEOUT_S)
            self.assertLess(fetched_until, fleet.now, f'delay {delay_s} s')

    def test_parts_are_fetched_by_relayed_reads_through_an_outage(self) -> None:
        self.fleet.run(30.0)
        self.fleet.store.up = False
        for _ in range(round(OUTAGE_S / TICK_S)):
            self.fleet.run(TICK_S)
            for vm in self.fleet.vms:
                self.assertTrue(self._may_fetch(vm))

    def test_own_read_counts_from_its_issue(self) -> None:
        scene = GatewayScene()
        scene.now += 5.0
        issued_at = scene.now
        scene.now += 3.0
        scene.post(ev.ViewRead(View.OPERATOR, False, (), 1,
                               issued_at=issued_at))
        cursor = scene.state.views.cursors[View.OPERATOR]
        self.assertEqual(cursor.complete_at, issued_at)

    def test_relay_counts_only_with_a_time_of_this_process(self) -> None:
        scene = GatewayScene()
        scene.tick()
        scene.now += 30.0
        for incarnation in ('', 'earlier'):
            scene.post(
                ev.ViewRelayed(View.OPERATOR,
                               1,
                               1, (),
                               receiver_time=scene.now,
                               receiver_incarnation=Incarnation(incarnation)))
        cursor = scene.state.views.cursors[View.OPERATOR]
        self.assertEqual(cursor.complete_at, scene.now - 30.0)
