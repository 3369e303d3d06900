"""Readings that fade with time."""

from typing import Final

import attrs

# Weight of a new reading.
NEW_SHARE: Final = 0.2


@attrs.define
class Average:
    """An exponentially weighted average."""

    value: float = 0.0
    readings: int = 0

    def add(self, reading: float) -> None:
        """Takes a reading in."""
        self.readings += 1
        share = max(NEW_SHARE, 1.0 / self.readings)
        self.value += (reading - self.value) * share


@attrs.define
class WindowCount:
    """Events counted in one sliding window, by slices.

    Attributes:
        window_s: Length of the window, in s.
        slices: Number of each slice that has counts, with its count.
    """

    window_s: float
    slices: dict[int, int] = attrs.field(factory=dict)

    def add(self, now: float, count: int = 1) -> None:
        """Counts events at a loop time."""
        at = int(now)
        self.slices[at] = self.slices.get(at, 0) + count
        for old in [each for each in self.slices if each < at - self.window_s]:
            del self.slices[old]

    def total(self, now: float) -> int:
        """Returns the events of the window that ends at a loop time."""
        return sum(count for at, count in self.slices.items()
                   if at >= now - self.window_s - 1)
