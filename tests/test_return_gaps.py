"""Tests of the estimates of when contexts return."""

import random
import unittest

from plantainridge.ids import BlockKey, TeamId
from plantainridge.return_gaps import (BUCKETS, MAX_CONTEXTS, GapCounts,
                                       ReturnGapTable, bucket_index,
                                       bucket_start_s)

DAY_S = 86_400.0
TEAM = TeamId('bureau')


class BucketTest(unittest.TestCase):
    """Buckets cover minutes to days without a gap."""

    def test_a_bucket_starts_at_its_lower_bound(self) -> None:
        for bucket in range(2, BUCKETS):
            start = bucket_start_s(bucket)
            self.assertEqual(bucket_index(start * 1.001), bucket)
            self.assertEqual(bucket_index(start * 0.999), bucket - 1)


class GapCountsTest(unittest.TestCase):
    """Regular gaps are recognized, and a heavy tail predicts nothing."""

    def test_predicts_the_daily_return_of_a_regular_team(self) -> None:
        rng = random.Random(1)
        gaps = GapCounts()
        for _ in range(100):
            gaps.add(rng.gauss(DAY_S, 600))
            gaps.add(120 * rng.paretovariate(1.5))
        expected = gaps.expected_gap_s(1_800)
        assert expected is not None
        self.assertLess(expected, DAY_S)
        self.assertGreater(expected, DAY_S / 1.5)

    def test_predicts_nothing_from_evenly_spread_gaps(self) -> None:
        gaps = GapCounts()
        for bucket in range(BUCKETS):
            for _ in range(4):
                gaps.add(bucket_start_s(bucket) * 1.01)
        self.assertIsNone(gaps.expected_gap_s(1_800))

    def test_the_return_probability_falls_with_the_age_of_the_visit(
            self) -> None:
        rng = random.Random(2)
        gaps = GapCounts()
        for _ in range(400):
            gaps.add(120 * rng.paretovariate(0.6))
        probabilities = [
            gaps.return_probability(age, 600.0) for age in (120, 3_600, DAY_S)
        ]
        self.assertEqual(probabilities, sorted(probabilities, reverse=True))
        self.assertGreater(probabilities[0], 3 * probabilities[2])


class ReturnGapTableTest(unittest.TestCase):
    """Contexts are bounded, and outdated expected returns are discarded."""

    def test_discards_a_return_after_a_newer_visit(self) -> None:
        table = ReturnGapTable()
        absent, returned = BlockKey('kept'), BlockKey('seen')
        for visit in range(30):
            for key in (absent, returned):
                table.record_visit(TEAM, key, visit * DAY_S)
        now = 29 * DAY_S
        for key in (absent, returned):
            table.schedule(TEAM, (key,), now, 1_800, 60)
        table.record_visit(TEAM, returned, now + 100)
        due = list(table.pop_due(now + DAY_S))
        self.assertEqual([each.blocks for each in due], [(absent,)])

    def test_bounds_the_number_of_contexts(self) -> None:
        table = ReturnGapTable()
        for number in range(MAX_CONTEXTS + 10):
            table.record_visit(TEAM, BlockKey(str(number)), float(number))
        self.assertEqual(len(table.visits), MAX_CONTEXTS)
