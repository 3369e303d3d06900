"""Events counted over time."""

import attrs


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
