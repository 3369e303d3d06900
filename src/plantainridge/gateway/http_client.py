"""HTTP/1.1 client that sends each request on one connection, exactly once.

`h11` parses and frames. No request is retried here, no redirect is followed,
and bytes that belong to no answer close their connection.
"""

import abc
import asyncio
import contextlib
import errno
import math
import socket
from collections.abc import Callable
from typing import Final

import attrs
import h11

from plantainridge.gateway.caller_connection import LINGER_RESET
from plantainridge.gateway.events import Failure, Headers
from plantainridge.gateway.sockets import pending_error, unacknowledged_bytes
from plantainridge.gateway.tunnel_client import open_tunnel
from plantainridge.gateway.wire import RawRequest

# Longer than a round trip between data centres, but too short to wait out the
# retransmission of a lost packet.
CONNECT_TIMEOUT_S: Final = 0.35
# Longest idle time after which a connection is reused, in s, unless its server
# states a longer one: servers close idle ones at will, and a request sent at
# that moment may have run.
MAX_IDLE_S: Final = 0.9
# Time by which a connection is given up before the idle time that its server
# states, in s: the server counts from an earlier moment, and may round down.
KEEP_ALIVE_MARGIN_S: Final = 0.5
# Longest idle time that is used, whatever a server states, in s.
MAX_KEPT_S: Final = 60.0
# Connections to an address that are kept beyond `MAX_IDLE_S`. Servers bound the
# connections of all VMs together.
MAX_KEPT_CONNECTIONS: Final = 1
# Time in which a server resets a connection that it had dropped while it was
# idle, in s: a round trip between data centres, and an event loop's delay.
MAX_RESET_DELAY_S: Final = 0.1
# Age at which a connection through a peer gets no further requests, in s: a
# peer that stops opens no new tunnels, and its exit cuts those that are open.
MAX_TUNNEL_AGE_S: Final = 1.0
# Longest incomplete head, trailer or chunk header, in bytes.
MAX_HEAD_BYTES: Final = 64 * 1_024
# Status with which `h11` reports that `MAX_HEAD_BYTES` is exceeded.
STATUS_HEAD_TOO_LONG: Final = 431
# Longest total of the incomplete answers that are held, in bytes: the memory of
# a process leaves room for one that is being copied as well.
MAX_HELD_BYTES: Final = 32 * 1_024 * 1_024
# Interval at which a connection whose server sends nothing more is checked for
# the receipt of the request, in s.
RECEIPT_CHECK_INTERVAL_S: Final = 0.02
# Informational heads (1xx) that may precede an answer's head.
MAX_INFORMATIONAL_HEADS: Final = 8
# Errors with which this system gives up a connection whose other side does not
# acknowledge or cannot be reached; the other side did not end it.
LOCAL_ERRORS: Final = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})
# Longest number of seconds in a `Keep-Alive` header that is read.
MAX_TIMEOUT_DIGITS: Final = 6
# Longest detail of a failure, in characters.
MAX_DETAIL_CHARS: Final = 200
# Details of failures without an error of the system.
END_OF_DATA: Final = 'EOF'
DEADLINE: Final = 'deadline'
SWITCHED_PROTOCOL: Final = 'the answer switches to another protocol'


def stated_length(headers: Headers) -> int:
    """Return the length of a body that a head states, or 0, in bytes."""
    return int(dict(headers).get(b'content-length', 0))


def stated_idle_s(headers: Headers) -> float:
    """Return how long a connection may be idle before it is reused, in s."""
    fields = dict(headers).get(b'keep-alive', b'').decode('latin-1').split(',')
    for field in fields:
        name, _, value = field.partition('=')
        text = value.strip().strip('"')
        if (name.strip().lower() == 'timeout' and text.isdecimal() and
                len(text) <= MAX_TIMEOUT_DIGITS):
            stated_s = float(text)
            return min(
                MAX_KEPT_S,
                max(min(stated_s, MAX_IDLE_S), stated_s - KEEP_ALIVE_MARGIN_S))
    return MAX_IDLE_S


def _describe(error: Exception | None) -> str:
    """Return what ended a connection: the name of a system's error."""
    if error is None:
        return END_OF_DATA
    if isinstance(error, OSError) and error.errno is not None:
        return errno.errorcode.get(error.errno, repr(error))
    return repr(error)


class AnswerHandler(abc.ABC):
    """Receiver of the answer to one request, or of its failure.

    Attributes:
        held_bytes: Bytes of the answer that are held in memory.
    """

    held_bytes = 0

    @abc.abstractmethod
    def on_head(self, status: int, headers: Headers) -> Failure | None:
        """Receive the head; return a failure to reject the answer."""

    @abc.abstractmethod
    def on_data(self, data: bytes) -> Failure | None:
        """Receive a part of the body; return a failure to reject the answer."""

    def check_end(self) -> Failure | None:
        """Return why an answer whose framing ended is incomplete, or None."""
        return None

    @abc.abstractmethod
    def on_end(self) -> None:
        """Receive the end of a complete answer."""

    @abc.abstractmethod
    def on_failure(self, failure: Failure, detail: str) -> None:
        """Receive a failure; no complete answer will come.

        Args:
            failure: The kind of failure.
            detail: What ended the answer, for log lines; '' if the kind of
                failure states it.
        """


@attrs.define
class HeldAnswers:
    """Bound on the memory of all incomplete answers together.

    Attributes:
        sizes: Bytes held for each connection that receives an answer.
        total: Sum of the sizes, in bytes.
    """

    sizes: dict['Connection', int] = attrs.field(factory=dict)
    total: int = 0

    def set_size(self, connection: 'Connection', size: int) -> None:
        """Record an answer's size; fail the longest ones beyond the bound."""
        self.total += size - self.sizes.pop(connection, 0)
        if size:
            self.sizes[connection] = size
        while self.total > MAX_HELD_BYTES:
            longest = max(self.sizes, key=lambda each: self.sizes[each])
            longest.fail(Failure.TOO_LONG)


class Connection(asyncio.Protocol):
    """One connection; carries one request at a time.

    Only the server or the limits of a request end its answer. No time limit of
    the system is set: retransmissions follow at doubling intervals, so a limit
    would also end sends to a server that was silent for half as long.

    Attributes:
        on_idle: Called with the connection when it may be reused.
        held_answers: Sizes of the answers of all connections.
        http: Parser and framer of the current request, or None.
        handler: Receives the current answer; None if none is awaited.
        has_received: Whether anything was received since the latest request.
        informational_heads: Informational heads received for it.
        timer: Timer after which the answer counts as silent, or None.
        idle_since: Loop time at which the latest answer ended, in s; `inf`
            before the first one.
        max_idle_s: Longest idle time after which it is reused, in s.
        kept_until: Loop time until which a failure of the current request may
            be due to a connection that the server had dropped while idle, in s.
        at_eof: Whether the server sends nothing more.
        is_ending: Whether the answer has ended with the server's data, and the
            receipt of the request is awaited.
        usable_until: Loop time until which it is reused, in s.
        was_used: Whether it carried a request that was answered.
        is_tunnelled: Whether it leads through a peer, which acknowledges what
            the server may not have received.
        started_ms: Unix time of the start of the server's run, in ms; 0 if the
            server does not state it, None while it was not asked.
    """

    def __init__(self, on_idle: Callable[['Connection'], None],
                 held_answers: HeldAnswers) -> None:
        self.on_idle = on_idle
        self.held_answers = held_answers
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.http: h11.Connection | None = None
        self.handler: AnswerHandler | None = None
        self.has_received = False
        self.informational_heads = 0
        self.timer: asyncio.TimerHandle | None = None
        self.idle_since = math.inf
        self.max_idle_s = MAX_IDLE_S
        self.kept_until = -math.inf
        self.at_eof = False
        self.is_ending = False
        self.usable_until = math.inf
        self.was_used = False
        self.is_tunnelled = False
        self.started_ms: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    @property
    def usable(self) -> bool:
        """Whether a request may be sent on it now."""
        return (self.transport is not None and self.handler is None and
                not self.transport.is_closing())

    def idle_s(self) -> float:
        """Return how long it has been idle, in s; -inf before any answer."""
        return self.loop.time() - self.idle_since

    def send(self,
             raw: RawRequest,
             handler: AnswerHandler,
             timeout_s: float | None = None) -> None:
        """Send a request.

        Args:
            raw: The request.
            handler: Receives the answer, or its failure.
            timeout_s: Longest time until the end of the answer, in s, or None.
        """
        assert self.transport is not None and self.usable
        self.handler = handler
        self.has_received = False
        self.informational_heads = 0
        self.kept_until = -math.inf
        if self.idle_s() >= MAX_IDLE_S:
            self.kept_until = self.loop.time() + MAX_RESET_DELAY_S
        self.http = h11.Connection(h11.CLIENT,
                                   max_incomplete_event_size=MAX_HEAD_BYTES)
        headers = list(raw.headers)
        if raw.body or raw.method not in (b'GET', b'HEAD', b'DELETE'):
            headers.append((b'content-length', str(len(raw.body)).encode()))
        try:
            data = self.http.send(
                h11.Request(method=raw.method,
                            target=raw.target,
                            headers=headers))
            if raw.body:
                data += self.http.send(h11.Data(data=raw.body)) or b''
            data += self.http.send(h11.EndOfMessage()) or b''
        except h11.LocalProtocolError:
            # Nothing was sent.
            self.fail(Failure.NOT_CONNECTED, 'the request cannot be framed')
            return
        self.transport.write(data)
        if timeout_s is not None:
            self.timer = self.loop.call_later(timeout_s, self.fail,
                                              Failure.SILENT, DEADLINE)

    def abort(self) -> None:
        """Close at once; the handler receives nothing more."""
        handler = self._release_handler()
        self._close(handler is not None)

    def data_received(self, data: bytes) -> None:
        if self.handler is None or self.http is None:
            self.abort()
            return
        self.has_received = True
        self._receive(data)

    def eof_received(self) -> bool:
        if self.handler is not None and self.http is not None:
            self.at_eof = True
            self._receive(b'')
        return self.is_ending

    def connection_lost(self, exc: Exception | None) -> None:
        is_local = isinstance(exc, OSError) and exc.errno in LOCAL_ERRORS
        self.fail(Failure.TIMED_OUT if is_local else Failure.BROKEN,
                  _describe(exc))

    def _receive(self, data: bytes) -> None:
        assert self.http is not None
        try:
            self.http.receive_data(data)
            while self.handler is not None and not self.is_ending:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    # A head or a trailer that is incomplete is held as well.
                    incomplete = self.http.trailing_data[0]
                    self.held_answers.set_size(
                        self, self.handler.held_bytes + len(incomplete))
                    return
                if event is h11.PAUSED:
                    # What follows is not HTTP, and `h11` keeps all of it.
                    self.fail(Failure.MALFORMED, SWITCHED_PROTOCOL)
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            # The message may quote all that was received.
            failure, detail = Failure.MALFORMED, str(error)[:MAX_DETAIL_CHARS]
            if error.error_status_hint == STATUS_HEAD_TOO_LONG:
                failure = Failure.TOO_LONG
            elif not data:
                failure, detail = Failure.BROKEN, END_OF_DATA
            self.fail(failure, detail)

    def _handle_event(self, event: object) -> None:
        assert self.handler is not None
        failure: Failure | None = None
        detail = END_OF_DATA if self.at_eof else ''
        if isinstance(event, h11.InformationalResponse):
            self.informational_heads += 1
            if self.informational_heads > MAX_INFORMATIONAL_HEADS:
                failure = Failure.TOO_LONG
        elif isinstance(event, h11.Response):
            headers = tuple(event.headers)
            self.max_idle_s = stated_idle_s(headers)
            failure = self.handler.on_head(event.status_code, headers)
        elif isinstance(event, h11.Data):
            failure = self.handler.on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            failure = self.handler.check_end()
            if failure is None and self.at_eof:
                self._complete_at_eof()
            elif failure is None:
                self._complete()
        elif isinstance(event, h11.ConnectionClosed):
            failure = Failure.BROKEN
        if failure is not None:
            self.fail(failure, detail)

    def _complete_at_eof(self) -> None:
        """Complete an answer without framing once the request was received.

        A server that answers early may reset the connection after the end of
        its data, while the request is still being written. The answer is not
        complete then. A peer acknowledges what the server may not have
        received, so that nothing is awaited through a tunnel.
        """
        self.is_ending = False
        if self.handler is None or self.transport is None:
            return
        unreceived = (self.transport.get_write_buffer_size() +
                      unacknowledged_bytes(self.transport))
        if not unreceived:
            self._complete()
            return
        error = pending_error(self.transport)
        if error or self.is_tunnelled:
            self.fail(Failure.BROKEN, errno.errorcode.get(error, END_OF_DATA))
            return
        self.is_ending = True
        self.loop.call_later(RECEIPT_CHECK_INTERVAL_S, self._complete_at_eof)

    def _complete(self) -> None:
        assert self.http is not None and self.transport is not None
        handler = self._release_handler()
        is_reusable = (not self.at_eof and self.http.their_state is h11.DONE and
                       not self.http.trailing_data[0] and
                       self.transport.get_write_buffer_size() == 0)
        if is_reusable:
            self.idle_since = self.loop.time()
            self.was_used = True
            self.on_idle(self)
        else:
            self.transport.abort()
        if handler is not None:
            handler.on_end()

    def fail(self, failure: Failure, detail: str = '') -> None:
        """Close at once; the handler receives a failure."""
        if (failure is Failure.BROKEN and not self.has_received and
                self.loop.time() < self.kept_until):
            failure = Failure.STALE
        handler = self._release_handler()
        self._close(handler is not None)
        if handler is not None:
            handler.on_failure(failure, detail)

    def _close(self, was_awaited: bool) -> None:
        """Close at once; discard a request that was not received completely.

        Otherwise the system would go on to retransmit it, and its endpoint
        might run it after it was given up. One that was received is closed
        without a reset, since a reset that is lost is not retransmitted.

        Args:
            was_awaited: Whether an answer was awaited until now.
        """
        if self.transport is None:
            return
        if was_awaited and not self.has_received and (
                self.is_tunnelled or unacknowledged_bytes(self.transport)):
            sock: socket.socket = self.transport.get_extra_info('socket')
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                LINGER_RESET)
        self.transport.abort()

    def _release_handler(self) -> AnswerHandler | None:
        """Remove the handler, and what its answer held; return it."""
        handler, self.handler = self.handler, None
        self.held_answers.set_size(self, 0)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        return handler


class Pool:
    """Pool of connections, by the peer that they lead through and address.

    Attributes:
        source_host: IP number from which to connect to peers; '' for any.
        idle: Connections that may be reused, the latest used last.
        held_answers: Sizes of the answers that are being received.
    """

    def __init__(self, source_host: str = '') -> None:
        self.source_host = source_host
        self.loop = asyncio.get_running_loop()
        self.idle: dict[tuple[str, str], list[Connection]] = {}
        self.held_answers = HeldAnswers()

    def take(self,
             address: str,
             via: str = '',
             max_idle_s: float = MAX_IDLE_S) -> Connection | None:
        """Remove and return an idle connection, or None; see `connect`.

        Args:
            address: IP number and port of the server.
            via: IP number and port of a peer, or ''.
            max_idle_s: Longest time for which it was idle, in s; beyond
                `MAX_IDLE_S` a request may fail as `STALE`.
        """
        connections = self.idle.get((via, address), [])
        while connections:
            connection = connections[-1]
            is_valid = connection.usable and not self._is_expired(connection)
            if is_valid and connection.idle_s() >= max_idle_s:
                return None
            connections.pop()
            if is_valid:
                return connection
            connection.abort()
        return None

    async def connect(self,
                      address: str,
                      timeout_s: float = CONNECT_TIMEOUT_S,
                      via: str = '') -> Connection:
        """Open a connection; it joins the pool after its first answer.

        Args:
            address: IP number and port of the server.
            timeout_s: Longest time until it is open, in s; a connection
                through a peer has its own.
            via: IP number and port of the peer that opens a tunnel to the
                server, or '' for a direct connection.

        Raises:
            RelayError: The peer opened no tunnel, and did not try the server.
            OSError: It could not be opened in time.
        """

        def new_connection() -> Connection:
            return Connection(lambda each: self._add_idle((via, address), each),
                              self.held_answers)

        if via:
            connection = new_connection()
            connection.is_tunnelled = True
            await open_tunnel(via, address, self.source_host, connection)
            connection.usable_until = self.loop.time() + MAX_TUNNEL_AGE_S
            return connection
        host, _, port = address.rpartition(':')
        async with asyncio.timeout(timeout_s):
            _, connection = await self.loop.create_connection(
                new_connection, host, int(port))
        return connection

    def claim(self, connection: Connection) -> bool:
        """Remove an idle connection; return whether it may be used."""
        for connections in self.idle.values():
            if connection in connections:
                connections.remove(connection)
                return connection.usable
        return False

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, also through peers."""
        for key in [each for each in self.idle if each[1] == address]:
            for connection in self.idle.pop(key):
                connection.abort()

    def close_expired(self) -> None:
        """Close connections that are idle or open for too long."""
        for key, connections in list(self.idle.items()):
            for connection in list(connections):
                if not connection.usable or self._is_expired(connection):
                    connections.remove(connection)
                    connection.abort()
            kept = [each for each in connections if each.idle_s() >= MAX_IDLE_S]
            for connection in kept[:-MAX_KEPT_CONNECTIONS]:
                connections.remove(connection)
                connection.abort()
            if not connections:
                del self.idle[key]

    def _is_expired(self, connection: Connection) -> bool:
        return (connection.idle_s() >= connection.max_idle_s or
                self.loop.time() >= connection.usable_until)

    def _add_idle(self, key: tuple[str, str], connection: Connection) -> None:
        self.idle.setdefault(key, []).append(connection)
