"""Exponentially decaying rates."""

import math
from typing import Final

import attrs

# Time in which an amount decays to 1/e, in s.
DECAY_TIME_S: Final = 2.0
# Rate below which a counter is idle, per s.
IDLE_PER_S: Final = 0.01


@attrs.define
class Rate:
    """Rate per second over exponentially decaying amounts.

    Attributes:
        decay_time_s: Time in which an amount decays to 1/e, in s.
        decayed_sum: Decayed sum of the amounts as of `updated_at`.
        updated_at: Loop time of the last amount, in s.
    """

    decay_time_s: float = DECAY_TIME_S
    decayed_sum: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self.decayed_sum = self._sum_at(now) + amount
        self.updated_at = now

    def per_s(self, now: float) -> float:
        """Return the rate at a loop time."""
        return self._sum_at(now) / self.decay_time_s

    def idle(self, now: float) -> bool:
        """Return whether the rate is close to 0."""
        return self.per_s(now) < IDLE_PER_S

    def _sum_at(self, now: float) -> float:
        return self.decayed_sum * math.exp(
            (self.updated_at - now) / self.decay_time_s)
