"""Background tasks."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

# Time after which a task that has not ended is cancelled again: libraries may
# drop a cancellation that arrives together with a result.
CANCEL_RETRY_S: Final = 2.0


class Tasks:
    """Background tasks, referenced until they end.

    Attributes:
        on_fault: Called with the exception of a task that failed.
        running: Tasks that have not ended.
    """

    def __init__(self, on_fault: Callable[[BaseException], None]) -> None:
        self.on_fault = on_fault
        self.running: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task and hold a reference to it until it ends."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.on_fault(error)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their end."""
        while self.running:
            for task in list(self.running):
                task.cancel()
            await asyncio.wait(self.running, timeout=CANCEL_RETRY_S)
