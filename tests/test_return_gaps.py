"""Tests of the gaps after which contexts return."""

import random
import unittest

from plantainridge.ids import BlockKey, TeamId
from plantainridge.return_gaps import (BUCKETS, MAX_CONTEXTS, GapCounts,
                                       ReturnGapTable, bucket_of, starts_at_s)

DAY_S = 86_400.0
TEAM = TeamId('bureau')


class BucketTest(unittest.TestCase):
    """Buckets cover minutes to days without a hole."""

    def test_each_bucket_starts_with_its_own_gap(self) -> None:
        for bucket in range(2, BUCKETS):
            start = starts_at_s(bucket)
            self.assertEqual(bucket_of(start * 1.001), bucket)
            self.assertEqual(bucket_of(start * 0.999), bucket - 1)


class GapCountsTest(unittest.TestCase):
    """Habits are learnt, and a heavy tail is not taken for one."""

    def test_expects_the_next_morning_of_a_daily_team(self) -> None:
        rng = random.Random(1)
        gaps = GapCounts()
        for _ in range(100):
            gaps.add(rng.gauss(DAY_S, 600))
            gaps.add(120 * rng.paretovariate(1.5))
        expected = gaps.expected_gap_s(1_800)
        assert expected is not None
        self.assertLess(expected, DAY_S)
        self.assertGreater(expected, DAY_S / 1.5)

    def test_expects_nothing_of_a_scattered_team(self) -> None:
        gaps = GapCounts()
        for bucket in range(BUCKETS):
            for _ in range(4):
                gaps.add(starts_at_s(bucket) * 1.01)
        self.assertIsNone(gaps.expected_gap_s(1_800))

    def test_the_longer_a_context_is_away_the_less_it_returns_soon(
            self) -> None:
        rng = random.Random(2)
        gaps = GapCounts()
        for _ in range(400):
            gaps.add(120 * rng.paretovariate(0.6))
        chances = [gaps.chance(age, 600.0) for age in (120, 3_600, DAY_S)]
        self.assertEqual(chances, sorted(chances, reverse=True))
        self.assertGreater(chances[0], 3 * chances[2])


class ReturnTableTest(unittest.TestCase):
    """Contexts are bounded, and an overtaken expectation is dropped."""

    def test_prepares_only_for_returns_not_overtaken(self) -> None:
        table = ReturnGapTable()
        kept, seen = BlockKey('kept'), BlockKey('seen')
        for visit in range(30):
            for key in (kept, seen):
                table.record_visit(TEAM, key, visit * DAY_S)
        now = 29 * DAY_S
        for key in (kept, seen):
            table.expect(TEAM, (key,), now, 1_800, 60)
        table.record_visit(TEAM, seen, now + 100)
        due = list(table.due(now + DAY_S))
        self.assertEqual([each.blocks for each in due], [(kept,)])

    def test_keeps_a_bounded_number_of_contexts(self) -> None:
        table = ReturnGapTable()
        for number in range(MAX_CONTEXTS + 10):
            table.record_visit(TEAM, BlockKey(str(number)), float(number))
        self.assertEqual(len(table.visits), MAX_CONTEXTS)
