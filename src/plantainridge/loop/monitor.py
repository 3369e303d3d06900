"""Detection of times at which the event loop was held up."""

import asyncio
import math
from typing import Final

INTERVAL_S: Final = 0.1
# A timer that fires later than this shows that the loop was held up.
MAX_TIMER_DELAY_S: Final = 0.2


class LoopMonitor:
    """A periodic timer that notices when it fires late.

    After the loop was held up, timeouts are due together with the answers that
    they wait for. Such a timeout shows nothing about the other side.

    Attributes:
        due_at: Loop time at which the timer is due next, in s.
        held_up_at: Loop time at which the loop last turned out to have been
            held up, in s.
    """

    def __init__(self) -> None:
        self.due_at = math.inf
        self.held_up_at = -math.inf

    async def run(self) -> None:
        """Watch the loop until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.due_at = loop.time() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self._update(loop.time())

    def was_held_up(self, since: float) -> bool:
        """Return whether the loop was held up after a loop time in s."""
        self._update(asyncio.get_running_loop().time())
        return self.held_up_at > since

    def _update(self, now: float) -> None:
        if now > self.due_at + MAX_TIMER_DELAY_S:
            self.held_up_at = now
