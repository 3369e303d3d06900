"""Tasks in the background."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from absl import logging


class Tasks:
    """Tasks in the background, kept until they end; faults are logged."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task and keeps it."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error('task_failed', exc_info=task.exception())

    async def cancel(self) -> None:
        """Cancels all and waits for them."""
        for task in list(self.running):
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)
