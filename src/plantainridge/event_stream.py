"""Streaming response of server-sent events."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from starlette.responses import Response
from starlette.types import Message, Receive, Scope, Send


class CallerStalled(Exception):
    """The caller did not read its answer within the stall timeout."""


class EventStream(Response):
    """Response that sends server-sent events.

    It does not listen for a disconnect: the request's handler does.
    """

    media_type = 'text/event-stream'

    def __init__(self, events: AsyncIterator[str], request_id: str,
                 stack: contextlib.AsyncExitStack, stall_timeout_s: float,
                 on_stall: Callable[[], None]) -> None:
        """Initialise the response.

        Args:
            events: The encoded events to send.
            request_id: Id for the response's x-request-id header.
            stack: Resources that are released when the response ends, also by
                an error or a cancellation.
            stall_timeout_s: Time limit for sending one message, in s.
            on_stall: Called when a message exceeds that limit.
        """
        super().__init__(None, headers={'x-request-id': request_id})
        del self.headers['content-length']
        self.events = events
        self.stack = stack
        self.stall_timeout_s = stall_timeout_s
        self.on_stall = on_stall

    async def __call__(self, scope: Scope, receive: Receive,
                       send: Send) -> None:
        with contextlib.suppress(CallerStalled):
            async with self.stack:
                await self._send_response(send)

    async def _send_response(self, send: Send) -> None:
        await self._send_message(
            send, {
                'type': 'http.response.start',
                'status': self.status_code,
                'headers': self.raw_headers
            })
        async for event in self.events:
            await self._send_message(
                send, {
                    'type': 'http.response.body',
                    'body': event.encode(),
                    'more_body': True
                })
        await self._send_message(send, {
            'type': 'http.response.body',
            'body': b''
        })

    async def _send_message(self, send: Send, message: Message) -> None:
        """Send one ASGI message.

        Raises:
            CallerStalled: The message was not sent within the stall timeout.
        """
        try:
            async with asyncio.timeout(self.stall_timeout_s):
                await send(message)
        except TimeoutError:
            self.on_stall()
            raise CallerStalled from None
