"""Runs coroutines on a loop whose clock advances only when all wait."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

import looptime

T = TypeVar('T')

# Rounds of the loop that must pass idle before its clock advances.
IDLE_ROUNDS: Final = 2


def new_loop(limit_s: float | None = None) -> asyncio.AbstractEventLoop:
    """Returns a loop whose clock starts at 0 and advances when all wait.

    Args:
        limit_s: Loop time at which a run fails, in s; None for no limit.
    """
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(
        start=0.0, end=limit_s, noop_cycles=IDLE_ROUNDS)
    return loop


def run(work: Coroutine[Any, Any, T], limit_s: float | None = None) -> T:
    """Runs a coroutine to its end under a paused clock.

    Args:
        work: What to run.
        limit_s: Loop time at which the run fails, in s; None for no limit.

    Raises:
        looptime.LoopTimeoutError: The limit was reached.
    """
    with asyncio.Runner(loop_factory=lambda: new_loop(limit_s)) as runner:
        return runner.run(work)
