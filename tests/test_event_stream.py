"""Tests of the streaming response of server-sent events."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator

from starlette.types import Message

from plantainridge import virtual_time
from plantainridge.event_stream import EventStream

STALL_TIMEOUT_S = 20.0


async def events(count: int) -> AsyncIterator[str]:
    """Yield numbered events."""
    for number in range(count):
        yield f'data: {number}\n\n'


async def receive() -> Message:
    """Never returns, as if the caller stayed connected."""
    await asyncio.Event().wait()
    raise AssertionError


class StallTest(unittest.TestCase):
    """A caller that stops reading does not hold resources indefinitely."""

    def run_stream(self, send_delays_s: list[float]) -> tuple[list[str], int]:
        """Run a response whose messages each take a given time to send.

        Args:
            send_delays_s: Duration of each message's send, in s.

        Returns:
            What was closed, in order, and the number of messages sent.
        """
        closed: list[str] = []
        sent: list[Message] = []

        async def send(message: Message) -> None:
            await asyncio.sleep(send_delays_s[len(sent)])
            sent.append(message)

        async def scenario() -> None:
            stack = contextlib.AsyncExitStack()
            stack.callback(closed.append, 'stack')
            stream = EventStream(events(len(send_delays_s) - 2), 'r1', stack,
                                 STALL_TIMEOUT_S,
                                 lambda: closed.append('caller'))
            await stream({'type': 'http'}, receive, send)

        virtual_time.run(scenario())
        return closed, len(sent)

    def test_a_stalled_caller_is_disconnected_and_its_resources_released(
            self) -> None:
        # Guards against a hang: an answer that fits into the mailbox's backlog
        # never overflows it, so only the stall timeout ends the response.
        closed, sent = self.run_stream([0.0, 0.0, STALL_TIMEOUT_S + 1, 0.0])
        self.assertEqual(closed, ['caller', 'stack'])
        self.assertEqual(sent, 2)

    def test_a_slow_caller_gets_the_complete_answer(self) -> None:
        closed, sent = self.run_stream([0.0] + [STALL_TIMEOUT_S - 1] * 4)
        self.assertEqual(closed, ['stack'])
        self.assertEqual(sent, 5)
