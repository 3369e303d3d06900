"""Tests of the periods in which stored parts are fetched and freed."""

import random
import unittest
from typing import Final

from plantainridge.gateway import (http_client, part_lifetimes, stored_parts,
                                   views)
from plantainridge.gateway.events import View
from plantainridge.gateway.part_lifetimes import PartLifetimes
from plantainridge.ids import ModelId
from plantainridge.platform import store

M: Final = ModelId('m')
TICK_S: Final = 0.1
# Longest outage of the metadata store during which parts are still fetched.
OUTAGE_S: Final = 9.0


class BoundsTest(unittest.TestCase):
    """Relations between constants, on which the absence of races rests."""

    def test_last_fetch_ends_before_the_first_free(self) -> None:
        read_s = (views.LONG_POLL_TIMEOUT_S[View.OPERATOR] + store.TIMEOUT_S +
                  http_client.CONNECT_TIMEOUT_S)
        self.assertGreater(
            part_lifetimes.FREE_DELAY_S, part_lifetimes.FETCH_WINDOW_S +
            read_s + part_lifetimes.CLOCK_TOLERANCE_S)

    def test_parts_are_fetched_through_an_outage(self) -> None:
        read_age_s = views.LONG_POLL_TIMEOUT_S[View.OPERATOR]
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
                        # The store answered some time before the VM reads.
                        answered_at = now - rng.uniform(
                            0.0, part_lifetimes.MAX_READ_DELAY_S)
                        newest = {
                            M: max(newest[M], 1 + (answered_at >= named_at))
                        }
                        read_at = now
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
