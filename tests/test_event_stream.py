"""Tests of streams to callers."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator

from starlette.types import Message

from plantainridge import virtual_time
from plantainridge.event_stream import EventStream

STALL_S = 20.0


async def events(count: int) -> AsyncIterator[str]:
    """Yields numbered events."""
    for number in range(count):
        yield f'data: {number}\n\n'


async def receive() -> Message:
    """Waits for ever, as for a caller that stays."""
    await asyncio.Event().wait()
    raise AssertionError


class StallTest(unittest.TestCase):
    """A caller that reads nothing holds nothing for ever."""

    def run_stream(self, delays_s: list[float]) -> tuple[list[str], int]:
        """Sends as many events as delays; returns what was closed, and sent."""
        closed: list[str] = []
        sent: list[Message] = []

        async def send(message: Message) -> None:
            await asyncio.sleep(delays_s[len(sent)])
            sent.append(message)

        async def scenario() -> None:
            stack = contextlib.AsyncExitStack()
            stack.callback(closed.append, 'stack')
            stream = EventStream(events(len(delays_s) - 2), 'r1', stack,
                                 STALL_S, lambda: closed.append('caller'))
            await stream({'type': 'http'}, receive, send)

        virtual_time.run(scenario())
        return closed, len(sent)

    def test_a_stalled_caller_is_given_up_with_all_it_holds(self) -> None:
        # The answer was over before the backlog's limit; it hung for ever.
        closed, sent = self.run_stream([0.0, 0.0, STALL_S + 1, 0.0])
        self.assertEqual(closed, ['caller', 'stack'])
        self.assertEqual(sent, 2)

    def test_a_slow_caller_gets_the_whole_answer(self) -> None:
        closed, sent = self.run_stream([0.0] + [STALL_S - 1] * 4)
        self.assertEqual(closed, ['stack'])
        self.assertEqual(sent, 5)
