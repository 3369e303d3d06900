"""HTTP servers: for callers, and for pages such as metrics."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway.caller_connection import CallerConnection
from plantainridge.gateway.config import CallerLimits
from plantainridge.gateway.events import Headers, RequestArrived
from plantainridge.gateway.wire import BadRequest, RawRequest, RequestWire
from plantainridge.ids import RequestId
from plantainridge.loop.ports import Post

BACKLOG: Final = 512
# Unread bytes of all complete answers at which the callers with most of them
# are disconnected.
MAX_TOTAL_UNREAD_BYTES: Final = 32 * 1_024 * 1_024
# Interval at which a stop checks whether all connections are closed, in s.
CLOSE_POLL_INTERVAL_S: Final = 0.02
PAGE_HEADERS: Final[Headers] = ((b'content-type',
                                 b'text/plain; charset=utf-8'),)


class HttpServer:
    """HTTP server for callers; posts their requests and writes the answers.

    Attributes:
        limits: Sizes and timeouts of callers; they change with the
            configuration.
        closing: Whether each connection closes after its next answer.
        connections: Open connections.
        by_request: The connection that waits for each request's answer.
    """

    def __init__(self, wire: RequestWire, post: Post) -> None:
        self.wire = wire
        self.post = post
        self.limits = CallerLimits()
        self.closing = False
        self.connections: set[CallerConnection] = set()
        self.by_request: dict[RequestId, CallerConnection] = {}
        self._sequence = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> str:
        """Start to listen; return the address as `IP:port`.

        Raises:
            OSError: The address could not be bound.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG)
        bound = self._server.sockets[0].getsockname()
        return f'{bound[0]}:{bound[1]}'

    def next_request_id(self) -> RequestId:
        """Return an id that no other request of this server has."""
        return RequestId(f'r{next(self._sequence)}')

    def handle(self, connection: 'CallerConnection', request: RequestId,
               raw: RawRequest) -> None:
        """Decode a complete request and post it, or refuse it."""
        decoded = self.wire.read_request(request, raw)
        if isinstance(decoded, BadRequest):
            connection.refuse(decoded.status, decoded.reason, None)
            return
        self.by_request[request] = connection
        self.post(RequestArrived(decoded))

    def limit_unread_bytes(self) -> None:
        """Disconnect the callers with most unread bytes, beyond the limit."""
        sizes = {each: each.unread_bytes for each in self.connections}
        total = sum(sizes.values())
        for connection in sorted(sizes, key=lambda each: -sizes[each]):
            if total <= MAX_TOTAL_UNREAD_BYTES:
                return
            total -= sizes[connection]
            connection.disconnect()

    def stop_listening(self, _: fx.StopListening) -> None:
        """Accept no further connections and close idle ones."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    def close_callers(self, effect: fx.CloseCallers) -> None:
        """Refuse requests that are incomplete and close idle connections."""
        for connection in list(self.connections):
            connection.refuse_incomplete(effect.reason, effect.retry_after_s)

    async def wait_closed(self, until: float) -> None:
        """Wait until all connections are closed, and their answers written.

        Args:
            until: Loop time at which the wait ends in any case, in s.
        """
        loop = asyncio.get_running_loop()
        while self.connections and loop.time() < until:
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)

    def reply(self, effect: fx.Reply) -> None:
        """Write a complete answer."""
        connection = self.by_request.pop(effect.request, None)
        if connection is not None:
            connection.reply(effect.status, effect.headers, effect.body)

    def start_reply(self, effect: fx.StartReply) -> None:
        """Write the head of a streamed answer."""
        connection = self.by_request.get(effect.request)
        if connection is not None:
            connection.start_reply(effect.status, effect.headers)

    def forward_stream_events(self, effect: fx.ForwardStreamEvents) -> None:
        """Write a part of a streamed answer."""
        connection = self.by_request.get(effect.request)
        if connection is not None:
            connection.write_body(effect.data)

    def end_reply(self, effect: fx.EndReply) -> None:
        """End a streamed answer."""
        connection = self.by_request.pop(effect.request, None)
        if connection is not None:
            connection.end_reply()

    def abort_reply(self, effect: fx.AbortReply) -> None:
        """Close a connection so that its answer does not look complete."""
        connection = self.by_request.pop(effect.request, None)
        if connection is not None:
            connection.abort()

    def refuse(self, effect: fx.Refuse) -> None:
        """Write an answer with this system's own status and reason."""
        connection = self.by_request.pop(effect.request, None)
        if connection is not None:
            connection.refuse(effect.status, effect.reason,
                              effect.retry_after_s)


class PageServer(HttpServer):
    """HTTP server for pages, such as readiness and metrics.

    Attributes:
        page: Returns status and text of a path; None if there is no such page.
    """

    def __init__(self, wire: RequestWire,
                 page: Callable[[str], tuple[int, str] | None]) -> None:
        super().__init__(wire, lambda event: None)
        self.page = page

    def handle(self, connection: 'CallerConnection', request: RequestId,
               raw: RawRequest) -> None:
        response = self.page(raw.target.decode('latin-1'))
        if response is None:
            connection.refuse(404, 'there is no such page', None)
            return
        status, text = response
        connection.reply(status, PAGE_HEADERS, text.encode())
