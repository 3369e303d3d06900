"""Counts of events over a sliding window."""

import attrs


@attrs.define
class WindowCount:
    """Count of events in one sliding window.

    Attributes:
        window_s: Length of the window, in s.
        slices: Count of each slice of 1 s that has events, by the loop time
            of its start in s.
    """

    window_s: float
    slices: dict[int, int] = attrs.field(factory=dict)

    def add(self, now: float, count: int = 1) -> None:
        """Count events at a loop time."""
        current = int(now)
        self.slices[current] = self.slices.get(current, 0) + count
        for old in [
                start for start in self.slices
                if start < current - self.window_s
        ]:
            del self.slices[old]

    def total(self, now: float) -> int:
        """Return the number of events in the window that ends at `now`."""
        return sum(count for start, count in self.slices.items()
                   if start >= now - self.window_s - 1)
