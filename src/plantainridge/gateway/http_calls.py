"""One call of the system's own to another server, and its whole answer."""

import asyncio
import json
from typing import Any

import attrs

from plantainridge.gateway.events import Failure, Headers
from plantainridge.gateway.http_client import Handler, Pool
from plantainridge.gateway.wire import RawRequest

JSON_HEADERS: Headers = ((b'content-type', b'application/json'),)


@attrs.frozen
class Response:
    """A whole answer."""

    status: int
    body: bytes = attrs.field(repr=False)

    def json(self) -> Any:
        """Decodes the body; None if it is no JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


@attrs.frozen
class NoResponse:
    """Says why no whole answer came.

    Attributes:
        sent: Whether the call may have arrived.
    """

    reason: str
    sent: bool


def failure_reason(reply: Response | NoResponse) -> str:
    """Says why a reply is not the one that was wanted."""
    if isinstance(reply, NoResponse):
        return reply.reason
    return f'status {reply.status}'


class _Collector(Handler):
    """Collects an answer."""

    def __init__(self) -> None:
        self.done: asyncio.Future[Response | NoResponse] = (
            asyncio.get_running_loop().create_future())
        self.status = 0
        self.body = bytearray()

    def on_head(self, status: int, headers: Headers) -> bool:
        self.status = status
        return True

    def on_data(self, data: bytes) -> None:
        self.body += data

    def on_end(self) -> None:
        self._finish(Response(self.status, bytes(self.body)))

    def on_failure(self, failure: Failure) -> None:
        self._finish(NoResponse(failure.value, True))

    def _finish(self, outcome: Response | NoResponse) -> None:
        if not self.done.done():
            self.done.set_result(outcome)


async def call(pool: Pool,
               address: str,
               method: str,
               target: str,
               timeout_s: float,
               body: bytes = b'',
               headers: Headers = JSON_HEADERS) -> Response | NoResponse:
    """Makes one call, once, and waits for its whole answer."""
    connection = pool.take(address)
    if connection is None:
        try:
            connection = await pool.connect(address)
        except OSError as error:
            return NoResponse(f'no connection: {error!r}', False)
    collector = _Collector()
    raw = RawRequest(method.encode(), target.encode(),
                     ((b'host', address.encode()), *headers), body)
    if not connection.usable:
        return NoResponse('the connection was closed', False)
    connection.send(raw, collector)
    try:
        async with asyncio.timeout(timeout_s):
            return await collector.done
    except TimeoutError:
        connection.abort()
        return NoResponse('no answer in time', True)
    except asyncio.CancelledError:
        connection.abort()
        raise
