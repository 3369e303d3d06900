"""nose2 plugin that ends a run whose test hangs, and prints what it waits for.

Without it such a run would not end, and show nothing.
"""

import asyncio
import faulthandler
import gc
import os
import sys
import threading
from collections.abc import Iterator
from typing import Any, Final

from nose2 import events

# Time after which a test counts as hanging, in s: several times the longest.
MAX_TEST_S: Final = 300.0


def await_chain(awaitable: Any) -> Iterator[str]:
    """Yield the places at which a coroutine waits, the outermost first."""
    while awaitable is not None:
        for kind in ('cr', 'ag', 'gi'):
            frame = getattr(awaitable, f'{kind}_frame', None)
            if frame is not None:
                code = frame.f_code
                yield f'{code.co_filename}:{frame.f_lineno} {code.co_name}'
                inner = 'gi_yieldfrom' if kind == 'gi' else f'{kind}_await'
                awaitable = getattr(awaitable, inner)
                break
        else:
            yield repr(awaitable)
            return


def waits() -> Iterator[str]:
    """Yield a line for each task that has not ended, and its places."""
    # Other threads may not ask a loop for its tasks.
    for each in gc.get_objects():
        if isinstance(each, asyncio.Task) and not each.done():
            yield f'{each.get_name()}, cancelled {each.cancelling()} times'
            for place in await_chain(each.get_coro()):
                yield f'    {place}'


def fail(test_id: str) -> None:
    """Print the stacks of all threads and the waits of all tasks, and exit."""
    stream = sys.__stderr__ or sys.stderr
    print(f'{test_id} has not ended after {MAX_TEST_S} s', file=stream)
    stream.flush()
    faulthandler.dump_traceback(file=stream)
    for line in waits():
        print(line, file=stream)
    stream.flush()
    os._exit(1)  # The loop of the test waits, and nothing would end it.


class HangDump(events.Plugin):  # type: ignore[misc]
    """Plugin that fails the run if a test takes too long."""

    alwaysOn = True
    configSection = 'hang-dump'

    def __init__(self) -> None:
        self.timer: threading.Timer | None = None

    def startTest(self, event: Any) -> None:  # pylint: disable=invalid-name
        """Start the timer of a test."""
        self.timer = threading.Timer(MAX_TEST_S, fail, [event.test.id()])
        self.timer.daemon = True
        self.timer.start()

    def stopTest(self, event: Any) -> None:  # pylint: disable=invalid-name
        """Stop the timer."""
        del event
        if self.timer is not None:
            self.timer.cancel()
