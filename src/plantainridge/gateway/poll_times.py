"""When the event loop polled its sockets: how long requests may be unread.

Made for VMs with little processor time that get a burst: while the loop handles
some requests, others wait unread in the system, and for each step of a new
connection once more. Their time to answer runs meanwhile.
"""

import math
import selectors
from collections.abc import Callable
from typing import Final

import attrs

# Shortest time in a poll, in s, from which nothing was readable when it began.
MIN_SLEEP_S: Final = 0.001
# Unread time, in s, that is left out of account, since only its upper bound is
# known. A late answer is late by it at most.
TOLERANCE_S: Final = 0.1


@attrs.define
class PollTimes:
    """Times of the latest polls, as loop times in s; infinite if not known.

    Attributes:
        polled_at: End of the latest poll.
        idle_at: End of the latest poll that had to wait.
        earliest_arrival: Time before which nothing had arrived that the latest
            poll found.
    """

    polled_at: float = math.inf
    idle_at: float = math.inf
    earliest_arrival: float = math.inf

    def record(self, began_at: float, ended_at: float) -> None:
        """Record a poll."""
        self.earliest_arrival = self.polled_at
        if ended_at - began_at >= MIN_SLEEP_S:
            self.idle_at = self.earliest_arrival = ended_at
        self.polled_at = ended_at


# The bases of the standard library's selector count as ancestors.
class TimedSelector(selectors.DefaultSelector):  # pylint: disable=too-many-ancestors
    """Selector that records when it polled.

    Attributes:
        clock: Returns the loop time in s.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__()
        self.clock = clock
        self.times = PollTimes()

    def select(
        self,
        timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        began_at = self.clock()
        ready = super().select(timeout)
        self.times.record(began_at, self.clock())
        return ready


@attrs.define
class UnreadTime:
    """How long the data of one connection was unread.

    Attributes:
        times: The loop's polls.
        accepted_since: Time before which the connection had not arrived, as
            loop time in s.
        since: The same of the latest data, or None while none is handled.
    """

    times: PollTimes
    accepted_since: float
    since: float | None = None

    def begin(self) -> None:
        """Record that data is handled, which the latest poll found.

        If the loop has been busy since the connection arrived, so may its first
        data have.
        """
        self.since = self.times.earliest_arrival
        if self.times.idle_at <= self.accepted_since:
            self.since = min(self.since, self.accepted_since)

    def end(self) -> None:
        """Record that the data was handled."""
        self.since = None

    def seconds(self, now: float) -> float:
        """Return how long the data that is handled was surely late, in s."""
        if self.since is None:
            return 0.0
        return max(0.0, now - self.since - TOLERANCE_S)
