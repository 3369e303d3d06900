"""Model of the weight store: concurrent loads slow each other down."""

import asyncio
from typing import Final

LOAD_S: Final = 1.0
FULL_SPEED_LOADS: Final = 2


class WeightStore:
    """The store from which engines load weights.

    Attributes:
        loading: Number of running loads.
        peak_loading: Largest number of concurrent loads so far.
        started: Loop time of each load's start, in s.
    """

    def __init__(self) -> None:
        self.loading = 0
        self.peak_loading = 0
        self.started: list[float] = []

    async def load(self) -> None:
        """Wait until weights are loaded."""
        self.started.append(asyncio.get_running_loop().time())
        self.loading += 1
        self.peak_loading = max(self.peak_loading, self.loading)
        try:
            await asyncio.sleep(LOAD_S *
                                max(1.0, self.loading / FULL_SPEED_LOADS))
        finally:
            self.loading -= 1
