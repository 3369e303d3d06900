"""Decaying counters."""

import math
from typing import Final

import attrs

# Time in which a reading fades to 1/e, in s.
DECAY_TIME_S: Final = 2.0
# Rate under which a counter counts as idle, per s.
IDLE_PER_S: Final = 0.01


@attrs.define
class Rate:
    """A rate per second whose readings fade with time.

    Attributes:
        fade_s: Time in which a reading fades to 1/e, in s.
        total: Faded sum of the readings as of `at`.
        at: Loop time of the last reading, in s.
    """

    decay_time_s: float = DECAY_TIME_S
    total: float = 0.0
    at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Takes a reading in."""
        self.total = self._faded(now) + amount
        self.at = now

    def per_s(self, now: float) -> float:
        """Returns the rate at a loop time."""
        return self._faded(now) / self.decay_time_s

    def idle(self, now: float) -> bool:
        """Whether hardly anything was counted lately."""
        return self.per_s(now) < IDLE_PER_S

    def _faded(self, now: float) -> float:
        return self.total * math.exp((self.at - now) / self.decay_time_s)
