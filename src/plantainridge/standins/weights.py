"""Model of the weight store: loads slow down when many run at once."""

import asyncio
from typing import Final

LOAD_S: Final = 1.0
FULL_SPEED_LOADS: Final = 2


class WeightStore:
    """The store that engines load weights from.

    Attributes:
        loading: Loads that run now.
        most_loading: Most loads that ever ran at once.
        started: Loop time of each load's start, in s.
    """

    def __init__(self) -> None:
        self.loading = 0
        self.peak_loading = 0
        self.started: list[float] = []

    async def load(self) -> None:
        """Return once weights are loaded."""
        self.started.append(asyncio.get_running_loop().time())
        self.loading += 1
        self.peak_loading = max(self.peak_loading, self.loading)
        try:
            await asyncio.sleep(LOAD_S *
                                max(1.0, self.loading / FULL_SPEED_LOADS))
        finally:
            self.loading -= 1
