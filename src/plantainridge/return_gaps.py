"""Estimates, per team, of the time after which a context returns.

Gaps run from minutes to days with a heavy tail, so they are counted in a
histogram with buckets of equal ratio. Counts decay, so that the histogram
adapts when a team's gaps change.
"""

import array
import heapq
import math
from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

import attrs

from plantainridge.ids import BlockKey, TeamId

# Upper bound of the first bucket, in s, and buckets per doubling above it.
FIRST_BUCKET_S: Final = 60.0
BUCKETS_PER_DOUBLING: Final = 4
# The last bucket begins after about six days.
BUCKETS: Final = 52
# Most teams and contexts of one VM; the least recently used are evicted first.
MAX_TEAMS: Final = 4_096
MAX_CONTEXTS: Final = 20_000
# Most expected returns of one VM; further ones are not scheduled.
MAX_EXPECTED: Final = 4_096
# Total at which the counts of a team are halved.
MAX_COUNT: Final = 500.0
# Fewest gaps of a team from which a return is predicted.
MIN_GAP_COUNT: Final = 20.0
# A return is expected in the first bucket with more than this share of the
# longer gaps.
MIN_RETURN_RATIO: Final = 0.25


def bucket_index(gap_s: float) -> int:
    """Return the index of the bucket that counts a gap."""
    if gap_s <= FIRST_BUCKET_S:
        return 0
    index = int(math.log2(gap_s / FIRST_BUCKET_S) * BUCKETS_PER_DOUBLING) + 1
    return min(index, BUCKETS - 1)


def bucket_start_s(bucket: int) -> float:
    """Return the lower bound of a bucket, in s."""
    if bucket == 0:
        return 0.0
    return float(FIRST_BUCKET_S * 2**((bucket - 1) / BUCKETS_PER_DOUBLING))


class GapCounts:
    """Histogram of the gaps of one team."""

    def __init__(self) -> None:
        self.counts = array.array('f', bytes(4 * BUCKETS))
        self.total = 0.0

    def add(self, gap_s: float) -> None:
        """Count one gap."""
        self.counts[bucket_index(gap_s)] += 1.0
        self.total += 1.0
        if self.total >= MAX_COUNT:
            for index, count in enumerate(self.counts):
                self.counts[index] = count / 2
            self.total = sum(self.counts)

    def return_probability(self, age_s: float, window_s: float) -> float:
        """Estimate the probability of a return within a window.

        Args:
            age_s: Time since the context was last requested, in s.
            window_s: Length of the window, which starts now, in s.

        Returns:
            The share of known gaps longer than the age that end within the
            window; 0 if none is known.
        """
        first, last = bucket_index(age_s), bucket_index(age_s + window_s)
        remaining = sum(self.counts[first:])
        if remaining <= 0:
            return 0.0
        return sum(self.counts[first:last + 1]) / remaining

    def expected_gap_s(self, min_gap_s: float) -> float | None:
        """Return the gap after which a return is expected, in s, or None.

        Args:
            min_gap_s: Gaps shorter than this are not considered, in s.
        """
        if self.total < MIN_GAP_COUNT:
            return None
        longer = sum(self.counts[bucket_index(min_gap_s):])
        for index in range(bucket_index(min_gap_s) + 1, BUCKETS):
            if self.counts[index] > MIN_RETURN_RATIO * longer:
                return bucket_start_s(index)
        return None


@attrs.define
class Visit:
    """The last time that a context was requested, as loop time in s."""

    team: TeamId
    at: float


@attrs.frozen(order=True)
class ExpectedReturn:
    """An expected return of a context.

    Attributes:
        prepare_at: Loop time at which to prepare for it, in s.
        visited_at: Loop time of the visit that it was predicted from, in s.
        blocks: The context's blocks.
    """

    prepare_at: float
    visited_at: float
    blocks: tuple[BlockKey, ...]


class ReturnGapTable:
    """Gaps per team, counted from the contexts that return at this VM.

    Attributes:
        teams: Gaps of each team, least recently used first.
        visits: Last visit of each context by its first block, oldest first.
        upcoming: Heap of the expected returns.
    """

    def __init__(self) -> None:
        self.teams: OrderedDict[TeamId, GapCounts] = OrderedDict()
        self.visits: OrderedDict[BlockKey, Visit] = OrderedDict()
        self.upcoming: list[ExpectedReturn] = []

    def record_visit(self, team: TeamId, context: BlockKey, now: float) -> None:
        """Record a visit, and the gap since the context's last one.

        Args:
            context: The context's first block.
        """
        last = self.visits.pop(context, None)
        if last is not None:
            self._team_counts(team).add(now - last.at)
        self.visits[context] = Visit(team, now)
        if len(self.visits) > MAX_CONTEXTS:
            self.visits.popitem(last=False)

    def gaps(self, team: TeamId) -> GapCounts | None:
        """Return a team's gaps, or None if none are known."""
        return self.teams.get(team)

    def schedule(self, team: TeamId, blocks: tuple[BlockKey, ...], now: float,
                 min_gap_s: float, lead_s: float) -> None:
        """Schedule the return of a context if its team's gaps predict one.

        Args:
            min_gap_s: Shortest gap that is considered, in s.
            lead_s: Time between the preparation and the return, in s.
        """
        gaps = self.teams.get(team)
        gap_s = gaps.expected_gap_s(min_gap_s) if gaps else None
        if gap_s is not None and len(self.upcoming) < MAX_EXPECTED:
            heapq.heappush(self.upcoming,
                           ExpectedReturn(now + gap_s - lead_s, now, blocks))

    def pop_due(self, now: float) -> Iterator[ExpectedReturn]:
        """Remove and yield the returns to prepare for now.

        Returns of contexts that were visited again since are discarded.
        """
        while self.upcoming and self.upcoming[0].prepare_at <= now:
            expected = heapq.heappop(self.upcoming)
            last = self.visits.get(expected.blocks[0])
            if last is None or last.at <= expected.visited_at:
                yield expected

    def _team_counts(self, team: TeamId) -> GapCounts:
        counts = self.teams.get(team)
        if counts is None:
            counts = self.teams[team] = GapCounts()
            if len(self.teams) > MAX_TEAMS:
                self.teams.popitem(last=False)
        self.teams.move_to_end(team)
        return counts
