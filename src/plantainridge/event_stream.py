"""Server-sent events on their way to one caller."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from starlette.responses import Response
from starlette.types import Message, Receive, Scope, Send


class CallerStalled(Exception):
    """A caller has read nothing of its answer for too long."""


class EventStream(Response):
    """Sends server-sent events; the handler notices when the caller is gone."""

    media_type = 'text/event-stream'

    def __init__(self, events: AsyncIterator[str], name: str,
                 stack: contextlib.AsyncExitStack, stall_timeout_s: float,
                 on_stall: Callable[[], None]) -> None:
        """Prepares a stream.

        Args:
            events: What to send, piece by piece.
            name: The request's id.
            stack: What to close at the end, however it comes.
            stall_s: Longest time that the caller may read nothing, in s.
            on_stall: Called if the caller reads nothing for that long.
        """
        super().__init__(None, headers={'x-request-id': name})
        del self.headers['content-length']
        self.events = events
        self.stack = stack
        self.stall_timeout_s = stall_timeout_s
        self.on_stall = on_stall

    async def __call__(self, scope: Scope, receive: Receive,
                       send: Send) -> None:
        with contextlib.suppress(CallerStalled):
            async with self.stack:
                await self._send_all(send)

    async def _send_all(self, send: Send) -> None:
        await self._send(
            send, {
                'type': 'http.response.start',
                'status': self.status_code,
                'headers': self.raw_headers
            })
        async for event in self.events:
            await self._send(
                send, {
                    'type': 'http.response.body',
                    'body': event.encode(),
                    'more_body': True
                })
        await self._send(send, {'type': 'http.response.body', 'body': b''})

    async def _send(self, send: Send, message: Message) -> None:
        """Sends one message; a stalled caller's connection is given up."""
        try:
            async with asyncio.timeout(self.stall_timeout_s):
                await send(message)
        except TimeoutError:
            self.on_stall()
            raise CallerStalled from None
