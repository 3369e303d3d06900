"""Event loops on virtual time, which advances only when all tasks wait."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

import looptime

T = TypeVar('T')

# Idle cycles of the loop before its clock advances.
IDLE_CYCLES: Final = 2


def new_loop(limit_s: float | None = None) -> asyncio.AbstractEventLoop:
    """Return a loop whose clock starts at 0 and advances when all tasks wait.

    Args:
        limit_s: Loop time at which a run fails, in s; None for no limit.
    """
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(
        start=0.0, end=limit_s, noop_cycles=IDLE_CYCLES)
    return loop


def run(work: Coroutine[Any, Any, T], limit_s: float | None = None) -> T:
    """Run a coroutine to completion on virtual time.

    Args:
        work: The coroutine.
        limit_s: Loop time at which the run fails, in s; None for no limit.

    Raises:
        looptime.LoopTimeoutError: The limit was reached.
    """
    with asyncio.Runner(loop_factory=lambda: new_loop(limit_s)) as runner:
        return runner.run(work)
