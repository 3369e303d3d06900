"""HTTP servers: for callers, and for pages such as metrics."""

import asyncio
import functools
import itertools
import socket
from collections.abc import Callable
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway.caller_connection import CallerConnection
from plantainridge.gateway.config import CallerLimits
from plantainridge.gateway.events import Headers, RequestArrived
from plantainridge.gateway.poll_times import PollTimes, UnreadTime
from plantainridge.gateway.wire import BadRequest, RawRequest, RequestWire
from plantainridge.ids import RequestId
from plantainridge.loop.ports import Post

BACKLOG: Final = 512
# Pause after a connection could not be accepted, in s.
ACCEPT_RETRY_DELAY_S: Final = 1.0
# Unread bytes of all answers at which the callers with most of them are
# disconnected.
MAX_TOTAL_UNREAD_BYTES: Final = 32 * 1_024 * 1_024
# Interval at which a stop checks whether all connections are closed, in s.
CLOSE_POLL_INTERVAL_S: Final = 0.02
PAGE_HEADERS: Final[Headers] = ((b'content-type',
                                 b'text/plain; charset=utf-8'),)


class HttpServer:
    """HTTP server for callers; posts their requests and writes the answers.

    Attributes:
        poll_times: When the event loop polled its sockets.
        limits: Sizes and timeouts of callers; they change with the
            configuration.
        closing: Whether each connection closes after its next answer.
        connections: Open connections.
        unread_bytes: Unread bytes of each connection's answers as of its latest
            write; connections without any are left out.
        total_unread_bytes: Sum of `unread_bytes`.
        by_request: The connection that waits for each request's answer.
        refusal: How requests are refused since the process exits, or None.
        accepting: Tasks of connections that were accepted and are not in
            `connections` yet.
    """

    def __init__(self,
                 wire: RequestWire,
                 post: Post,
                 poll_times: PollTimes | None = None) -> None:
        self.wire = wire
        self.post = post
        self.poll_times = poll_times or PollTimes()
        self.limits = CallerLimits()
        self.closing = False
        self.connections: set[CallerConnection] = set()
        self.unread_bytes: dict[CallerConnection, int] = {}
        self.total_unread_bytes = 0
        self.by_request: dict[RequestId, CallerConnection] = {}
        self.refusal: fx.CloseCallers | None = None
        self.accepting: set[asyncio.Task[object]] = set()
        self._sequence = itertools.count(1)
        self._listeners: list[socket.socket] = []

    async def start(self, host: str, port: int) -> str:
        """Start to listen; return the address as `IP:port`.

        Raises:
            OSError: The address could not be bound.
        """
        # A server of asyncio drops connections that are in the system's queue
        # or were just accepted when it closes.
        listener = socket.create_server((host, port),
                                        family=_family(host),
                                        backlog=BACKLOG)
        listener.setblocking(False)
        self._listeners.append(listener)
        self._watch(listener)
        bound = listener.getsockname()
        return f'{bound[0]}:{bound[1]}'

    def _watch(self, listener: socket.socket) -> None:
        """Accept connections whenever there are any."""
        if listener in self._listeners:
            asyncio.get_running_loop().add_reader(listener.fileno(),
                                                  self._accept, listener)

    def _accept(self, listener: socket.socket) -> None:
        """Accept the connections in the system's queue."""
        loop = asyncio.get_running_loop()
        # Connections that come meanwhile are left to the next call.
        for _ in range(BACKLOG):
            try:
                sock, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # The process has no more descriptors, or the system no memory.
                loop.remove_reader(listener.fileno())
                loop.call_later(ACCEPT_RETRY_DELAY_S, self._watch, listener)
                return
            sock.setblocking(False)
            unread = UnreadTime(self.poll_times,
                                self.poll_times.earliest_arrival)
            task = loop.create_task(
                loop.connect_accepted_socket(
                    functools.partial(CallerConnection, self, unread), sock))
            self.accepting.add(task)
            task.add_done_callback(self._on_accepted)

    def _on_accepted(self, task: asyncio.Task[object]) -> None:
        self.accepting.discard(task)
        if not task.cancelled():
            # A connection that its caller has reset meanwhile.
            task.exception()

    def next_request_id(self) -> RequestId:
        """Return an id that no other request of this server has."""
        return RequestId(f'r{next(self._sequence)}')

    def handle(self, connection: 'CallerConnection', request: RequestId,
               raw: RawRequest) -> None:
        """Decode a complete request and post it, or refuse it."""
        if self.refusal is not None:
            connection.refuse(503, self.refusal.reason,
                              self.refusal.retry_after_s)
            return
        decoded = self.wire.read_request(request, raw)
        if isinstance(decoded, BadRequest):
            connection.refuse(decoded.status, decoded.reason, None)
            return
        self.by_request[request] = connection
        unread_s = connection.unread.seconds(connection.loop.time())
        self.post(RequestArrived(decoded, unread_s))

    def record_unread_bytes(self, connection: CallerConnection,
                            count: int) -> None:
        """Record a connection's unread bytes, and keep the limit of all.

        Beyond it, callers with most unread bytes are disconnected.
        """
        self._set_unread_bytes(connection, count)
        if self.total_unread_bytes <= MAX_TOTAL_UNREAD_BYTES:
            return
        # Callers may have read since the latest write to them.
        for each in list(self.unread_bytes):
            self._set_unread_bytes(each, each.unread_bytes)
        while self.total_unread_bytes > MAX_TOTAL_UNREAD_BYTES:
            longest = max(self.unread_bytes,
                          key=lambda each: self.unread_bytes[each])
            longest.disconnect()
            self._set_unread_bytes(longest, 0)

    def remove_connection(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        self._set_unread_bytes(connection, 0)

    def _set_unread_bytes(self, connection: CallerConnection,
                          count: int) -> None:
        self.total_unread_bytes += count - self.unread_bytes.pop(connection, 0)
        if count:
            self.unread_bytes[connection] = count

    def stop_listening(self, _: fx.StopListening) -> None:
        """Accept no further connections and close idle ones.

        Connections in the system's queue are accepted first: their callers may
        have sent requests. Those that have not been used yet stay open.
        """
        listeners, self._listeners = self._listeners, []
        for listener in listeners:
            self._accept(listener)
            asyncio.get_running_loop().remove_reader(listener.fileno())
            listener.close()
        for connection in list(self.connections):
            if connection.used:
                connection.close_if_idle()

    def close_callers(self, effect: fx.CloseCallers) -> None:
        """Refuse requests that are incomplete and close idle connections."""
        self.refusal = effect
        for connection in list(self.connections):
            connection.refuse_incomplete(effect.reason, effect.retry_after_s)

    async def wait_closed(self, until: float) -> None:
        """Wait until all connections are closed, and their answers written.

        Args:
            until: Loop time at which the wait ends in any case, in s.
        """
        loop = asyncio.get_running_loop()
        while (self.connections or self.accepting) and loop.time() < until:
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


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ':' in host else socket.AF_INET
