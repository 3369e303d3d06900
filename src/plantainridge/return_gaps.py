"""Learns per team after which gap a context returns.

Gaps run from minutes to days with a heavy tail, so they are counted in
buckets of equal ratio. Counts decay, so that a changed habit is relearnt.
"""

import array
import heapq
import math
from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

import attrs

from plantainridge.ids import BlockKey, TeamId

# Shortest gap that is told apart, in s, and buckets per doubling above it.
SHORTEST_S: Final = 60.0
BUCKETS_PER_DOUBLING: Final = 4
# The last bucket begins after about six days.
BUCKETS: Final = 52
# Teams and contexts kept by one VM, least recently used dropped first.
MAX_TEAMS: Final = 4_096
MAX_CONTEXTS: Final = 20_000
# Expected returns kept by one VM.
MAX_EXPECTED: Final = 4_096
# Counts of a team are halved when they reach this.
MAX_COUNT: Final = 500.0
# Gaps that must be known of a team before anything is expected of it.
MIN_GAPS: Final = 20.0
# A return is expected in a bucket that has more than this share of the gaps.
EXPECTED_SHARE: Final = 0.25


def bucket_of(gap_s: float) -> int:
    """Returns the bucket of a gap."""
    if gap_s <= SHORTEST_S:
        return 0
    index = int(math.log2(gap_s / SHORTEST_S) * BUCKETS_PER_DOUBLING) + 1
    return min(index, BUCKETS - 1)


def starts_at_s(bucket: int) -> float:
    """Returns the shortest gap of a bucket, in s."""
    if bucket == 0:
        return 0.0
    return float(SHORTEST_S * 2**((bucket - 1) / BUCKETS_PER_DOUBLING))


class GapCounts:
    """Gaps of one team, in buckets."""

    def __init__(self) -> None:
        self.counts = array.array('f', bytes(4 * BUCKETS))
        self.total = 0.0

    def add(self, gap_s: float) -> None:
        """Counts one gap."""
        self.counts[bucket_of(gap_s)] += 1.0
        self.total += 1.0
        if self.total >= MAX_COUNT:
            for index, count in enumerate(self.counts):
                self.counts[index] = count / 2
            self.total = sum(self.counts)

    def chance(self, age_s: float, window_s: float) -> float:
        """Estimates the chance of a return within a window.

        Args:
            age_s: How long ago the context was last asked for.
            window_s: How far to look ahead.

        Returns:
            The share of known gaps longer than the age that end within the
            window; 0 if none is known.
        """
        first, last = bucket_of(age_s), bucket_of(age_s + window_s)
        remaining = sum(self.counts[first:])
        if remaining <= 0:
            return 0.0
        return sum(self.counts[first:last + 1]) / remaining

    def expected_gap_s(self, least_s: float) -> float | None:
        """Returns when a return is to be expected, or None.

        Args:
            least_s: Only gaps longer than this are looked at, in s.
        """
        if self.total < MIN_GAPS:
            return None
        longer = sum(self.counts[bucket_of(least_s):])
        for index in range(bucket_of(least_s) + 1, BUCKETS):
            if self.counts[index] > EXPECTED_SHARE * longer:
                return starts_at_s(index)
        return None


@attrs.define
class Visit:
    """The last time that a context was asked for."""

    team: TeamId
    at: float


@attrs.frozen(order=True)
class ExpectedReturn:
    """A return that is expected at a time.

    Attributes:
        at: Loop time at which to prepare for it, in s.
        seen_at: Loop time of the visit that it is expected after.
        blocks: The context.
    """

    at: float
    seen_at: float
    blocks: tuple[BlockKey, ...]


class ReturnGapTable:
    """Gaps per team, learnt from the contexts that this VM sees return."""

    def __init__(self) -> None:
        self.teams: OrderedDict[TeamId, GapCounts] = OrderedDict()
        self.visits: OrderedDict[BlockKey, Visit] = OrderedDict()
        self.expected: list[ExpectedReturn] = []

    def record_visit(self, team: TeamId, context: BlockKey, now: float) -> None:
        """Counts the gap since a context's last visit, if that is known."""
        last = self.visits.pop(context, None)
        if last is not None:
            self._counts(team).add(now - last.at)
        self.visits[context] = Visit(team, now)
        if len(self.visits) > MAX_CONTEXTS:
            self.visits.popitem(last=False)

    def gaps(self, team: TeamId) -> GapCounts | None:
        """Returns a team's gaps, if any are known."""
        return self.teams.get(team)

    def expect(self, team: TeamId, blocks: tuple[BlockKey, ...], now: float,
               least_s: float, lead_s: float) -> None:
        """Plans for the return of a context, if its team has a habit.

        Args:
            least_s: Shortest gap worth planning for, in s.
            lead_s: How long before the return to prepare, in s.
        """
        gaps = self.teams.get(team)
        gap_s = gaps.expected_gap_s(least_s) if gaps else None
        if gap_s is not None and len(self.expected) < MAX_EXPECTED:
            heapq.heappush(self.expected,
                           ExpectedReturn(now + gap_s - lead_s, now, blocks))

    def due(self, now: float) -> Iterator[ExpectedReturn]:
        """Yields the returns to prepare for now; others are dropped."""
        while self.expected and self.expected[0].at <= now:
            found = heapq.heappop(self.expected)
            last = self.visits.get(found.blocks[0])
            if last is None or last.at <= found.seen_at:
                yield found

    def _counts(self, team: TeamId) -> GapCounts:
        found = self.teams.get(team)
        if found is None:
            found = self.teams[team] = GapCounts()
            if len(self.teams) > MAX_TEAMS:
                self.teams.popitem(last=False)
        self.teams.move_to_end(team)
        return found
