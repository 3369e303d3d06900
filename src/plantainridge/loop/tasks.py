"""Tasks in the background."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class Tasks:
    """Tasks in the background, kept until they end.

    Attributes:
        on_fault: Called with what a task failed with.
    """

    def __init__(self, on_fault: Callable[[BaseException], None]) -> None:
        self.on_fault = on_fault
        self.running: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task and keeps it."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.on_fault(error)

    async def cancel(self) -> None:
        """Cancels all and waits for them."""
        for task in list(self.running):
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)
