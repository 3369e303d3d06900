"""Calls of the gateway itself to other servers, such as the metadata store."""

import asyncio
import math
from collections.abc import Mapping
from typing import Any, Final

import attrs

from plantainridge import json_values
from plantainridge.gateway.events import Failure, Headers
from plantainridge.gateway.http_client import (MAX_IDLE_S, AnswerHandler,
                                               Connection, Pool, stated_length)
from plantainridge.gateway.wire import RawRequest

# Longest response to a call, in bytes: several times the longest page of the
# metadata store or listing of a store.
MAX_RESPONSE_BYTES: Final = 8 * 1_024 * 1_024
# Longest report of an endpoint, or answer to an order, in bytes.
MAX_REPORT_BYTES: Final = 256 * 1_024
# Most values in the JSON of a response: several times those of the longest page
# or listing.
MAX_JSON_VALUES: Final = 250_000
JSON_HEADERS: Headers = ((b'content-type', b'application/json'),)


@attrs.frozen
class Response:
    """A complete response.

    Attributes:
        headers: Headers with lower-case names.
    """

    status: int
    body: bytes = attrs.field(repr=False)
    headers: Mapping[bytes, bytes] = attrs.field(factory=dict, repr=False)

    def json(self) -> Any:
        """Decode the body; return None if it is not JSON within the limit."""
        try:
            return json_values.decode_limited(self.body, MAX_JSON_VALUES)
        except ValueError:
            return None


@attrs.frozen
class NoResponse:
    """Failure to get a complete response.

    Attributes:
        reason: The cause, for log lines.
        sent: Whether the request may have reached the server.
        timed_out: Whether the time for the response ended.
        stale: Whether the server had probably dropped the connection before.
    """

    reason: str
    sent: bool
    timed_out: bool = False
    stale: bool = False


def failure_reason(response: Response | NoResponse) -> str:
    """Return why a call did not succeed."""
    if isinstance(response, NoResponse):
        return response.reason
    return f'status {response.status}'


class _ResponseCollector(AnswerHandler):
    """Collector of a response until it is complete or has failed.

    Attributes:
        foreign_header: Header that only answers to other requests have, or b''.
        max_bytes: Longest body, in bytes.
    """

    def __init__(self, foreign_header: bytes, max_bytes: int) -> None:
        self.done: asyncio.Future[Response | NoResponse] = (
            asyncio.get_running_loop().create_future())
        self.foreign_header = foreign_header
        self.max_bytes = max_bytes
        self.status = 0
        self.headers: Headers = ()
        self.body = bytearray()

    def on_head(self, status: int, headers: Headers) -> Failure | None:
        self.status, self.headers = status, headers
        if self.foreign_header and self.foreign_header in dict(headers):
            # The response itself may still come: the connection is closed.
            return Failure.MALFORMED
        return (Failure.TOO_LONG
                if stated_length(headers) > self.max_bytes else None)

    def on_data(self, data: bytes) -> Failure | None:
        self.body += data
        self.held_bytes = len(self.body)
        return (Failure.TOO_LONG if len(self.body) > self.max_bytes else None)

    def on_end(self) -> None:
        self._finish(Response(self.status, bytes(self.body),
                              dict(self.headers)))

    def on_failure(self, failure: Failure, detail: str) -> None:
        reason = f'{failure.value}: {detail}' if detail else failure.value
        self._finish(NoResponse(reason, True, stale=failure is Failure.STALE))

    def _finish(self, result: Response | NoResponse) -> None:
        if not self.done.done():
            self.done.set_result(result)


async def call(pool: Pool,
               address: str,
               method: str,
               target: str,
               timeout_s: float,
               body: bytes = b'',
               headers: Headers = JSON_HEADERS,
               foreign_header: bytes = b'',
               max_bytes: int = MAX_RESPONSE_BYTES) -> Response | NoResponse:
    """Send a request and wait for its complete response.

    It is sent once, but for a GET on a connection that its server had dropped:
    this is repeated on a new one. Other methods use no such connection.

    Args:
        pool: Pool from which a connection is taken or opened.
        address: IP number and port of the server.
        method: HTTP method.
        target: Path and query.
        timeout_s: Longest wait for the response, in s; connecting has its own.
        body: Body of the request.
        headers: Headers beside the host and the content length.
        foreign_header: Header that only answers to other requests have, or b'';
            such an answer closes the connection.
        max_bytes: Longest body of the response, in bytes.
    """
    connection = pool.take(
        address, max_idle_s=math.inf if method == 'GET' else MAX_IDLE_S)
    if connection is not None:
        response = await call_on(connection, address, method, target, timeout_s,
                                 body, headers, foreign_header, max_bytes)
        if isinstance(response, Response) or not response.stale:
            return response
        pool.close_idle(address)
        if method != 'GET':
            return response
    try:
        connection = await pool.connect(address)
    except OSError as error:
        return NoResponse(f'no connection: {error!r}', False)
    return await call_on(connection, address, method, target, timeout_s, body,
                         headers, foreign_header, max_bytes)


async def call_on(connection: Connection,
                  address: str,
                  method: str,
                  target: str,
                  timeout_s: float,
                  body: bytes = b'',
                  headers: Headers = JSON_HEADERS,
                  foreign_header: bytes = b'',
                  max_bytes: int = MAX_RESPONSE_BYTES) -> Response | NoResponse:
    """Send a request, once, on a connection; see `call`."""
    collector = _ResponseCollector(foreign_header, max_bytes)
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
        return NoResponse('no answer in time', True, timed_out=True)
    except asyncio.CancelledError:
        connection.abort()
        raise
