"""Server of tunnels: connects peers to endpoints that they cannot reach.

A peer requests a tunnel by HTTP CONNECT, which `h11` parses. The bytes of an
open tunnel are passed on unread. An answer whose end is that of its connection
must not look complete if it is cut off, so that every end of a tunnel but the
regular one resets both connections, also if this process is killed.
"""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Callable
from typing import Final

import h11

from plantainridge.gateway import effects as fx
from plantainridge.gateway.caller_connection import (LINGER_OFF, LINGER_RESET,
                                                     TCP_USER_TIMEOUT_MS)
from plantainridge.gateway.events import TunnelEnded, TunnelRequested
from plantainridge.gateway.http_client import CONNECT_TIMEOUT_S
from plantainridge.gateway.sockets import (pending_error, unacknowledged_bytes,
                                           unread_bytes)
from plantainridge.gateway.tunnel_client import (STATUS_NOT_REACHED,
                                                 TUNNEL_TIMEOUT_S)
from plantainridge.ids import TunnelId
from plantainridge.loop.ports import Post
from plantainridge.loop.tasks import Tasks

BACKLOG: Final = 512
# Longest head of a request for a tunnel, in bytes.
MAX_HEAD_BYTES: Final = 4 * 1_024
# Longest time until a tunnel is open or refused, in s: its peer waits less.
OPEN_TIMEOUT_S: Final = TUNNEL_TIMEOUT_S + 0.15
# Connections whose tunnels are not open yet; further ones are closed.
MAX_OPENING: Final = 256
# Bytes that follow a request at which reading pauses until its tunnel is open.
MAX_EARLY_BYTES: Final = 64 * 1_024
# Buffers of the system for each direction of a connection, in bytes: bytes that
# were received and not read yet count towards the memory of the process.
BUFFER_BYTES: Final = 128 * 1_024
# Time after the end of one direction at which a tunnel is reset, in s: the
# other one has then nothing to carry but the end of an answer.
HALF_OPEN_TIMEOUT_S: Final = 10.0
# Interval at which the end of an endpoint's data is checked for whether the
# endpoint has received what came for it, in s.
RECEIPT_CHECK_INTERVAL_S: Final = 0.02
# Time without data of the peer after which none counts as on its way, in s.
QUIET_S: Final = 0.1
# Idle time after which probes check whether a tunnel's peer still exists, in s:
# a VM that was lost without a reset would hold its tunnels for ever.
KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
STATUS_BAD_REQUEST: Final = 400
STATUS_METHOD_NOT_ALLOWED: Final = 405
STATUS_TIMEOUT: Final = 408


class _End(asyncio.Protocol):
    """One end of a tunnel; passes what it receives to the other one.

    Attributes:
        other: The other end; None until the tunnel is open.
        transport: Transport of its connection, or None.
        at_eof: Whether it has received everything.
        is_aborted: Whether it was reset on purpose.
        is_lost: Whether its connection has ended.
    """

    def __init__(self) -> None:
        self.other: '_End | None' = None
        self.transport: asyncio.Transport | None = None
        self.at_eof = False
        self.is_aborted = False
        self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock: socket.socket = transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        self.set_linger(LINGER_RESET)

    def data_received(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def eof_received(self) -> bool:
        self.at_eof = True
        other = self.other
        if other is None or other.transport is None or self.transport is None:
            return False
        if other.at_eof:
            self.transport.close()
            other.transport.close()
        else:
            other.transport.write_eof()
        return True

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        other = self.other
        if other is None:
            return
        at_end = self.at_eof and other.at_eof and not self.is_aborted
        if exc is None and at_end:
            # All that was written has been passed to the system.
            self.set_linger(LINGER_OFF)
        else:
            other.abort()

    def abort(self) -> None:
        """Reset the connection."""
        self.is_aborted = True
        if self.transport is not None:
            self.transport.abort()

    def set_linger(self, value: bytes) -> None:
        """Set whether closing resets the connection or delivers the rest."""
        assert self.transport is not None
        sock: socket.socket = self.transport.get_extra_info('socket')
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


class _EndpointEnd(_End):
    """The end at the endpoint."""

    def __init__(self, peer: '_PeerEnd') -> None:
        super().__init__()
        self.peer = peer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.peer.splice(self)

    def eof_received(self) -> bool:
        self.peer.limit_half_open()
        self._pass_end()
        return True

    def _pass_end(self) -> None:
        """Pass the end of the data on once what came for the endpoint is there.

        The peer takes an answer without framing for complete at its end, unless
        its request was still being received.
        """
        if self.is_lost or self.is_aborted or self.peer.is_lost:
            return
        assert self.transport is not None
        if pending_error(self.transport):
            self.abort()
            self.peer.abort()
        elif self._has_received_all():
            super().eof_received()
        else:
            self.peer.loop.call_later(RECEIPT_CHECK_INTERVAL_S, self._pass_end)

    def _has_received_all(self) -> bool:
        """Return whether the endpoint has received what the peer sent."""
        transport, peer = self.transport, self.peer
        assert transport is not None and peer.transport is not None
        if transport.get_write_buffer_size() or unacknowledged_bytes(transport):
            return False
        is_quiet = peer.loop.time() - peer.received_at >= QUIET_S
        return is_quiet and not unread_bytes(peer.transport)

    def abort(self) -> None:
        """Close at once; reset only what the endpoint did not receive.

        A reset that is lost is not retransmitted.
        """
        if self.transport is not None and not unacknowledged_bytes(
                self.transport):
            self.set_linger(LINGER_OFF)
        super().abort()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.peer.end_tunnel(f'end at the endpoint closed: {exc!r}')


class _PeerEnd(_End):
    """The end at the peer, which requests the tunnel.

    Attributes:
        tunnel: Id of the tunnel once its request was read, or None.
        http: Parser of the request and framer of the answer.
        task: Task that connects to the endpoint, or None.
        timer: Timer of the current timeout, or None.
        received_at: Loop time at which data came last, in s.
        reason: Why the tunnel ends; '' while it is open.
        is_reached: False if the endpoint could not be connected to.
    """

    def __init__(self, server: 'TunnelServer') -> None:
        super().__init__()
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.tunnel: TunnelId | None = None
        self.http = h11.Connection(h11.SERVER,
                                   max_incomplete_event_size=MAX_HEAD_BYTES)
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.received_at = self.loop.time()
        self.reason = ''
        self.is_reached = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        sock: socket.socket = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                        TCP_USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE,
                        KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL,
                        KEEPALIVE_INTERVAL_S)
        if len(self.server.opening) >= MAX_OPENING:
            self.abort()
            return
        self.server.opening.add(self)
        self._set_timeout(OPEN_TIMEOUT_S, self._on_open_timeout)

    def data_received(self, data: bytes) -> None:
        self.received_at = self.loop.time()
        if self.other is not None:
            super().data_received(data)
            return
        if self.reason:
            return
        try:
            self.http.receive_data(data)
            if self.tunnel is None:
                self._read_request()
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, 'malformed request')
            return
        # Reading goes on until then, since the peer may leave.
        early = len(self.http.trailing_data[0])
        if self.tunnel is not None and early > MAX_EARLY_BYTES:
            assert self.transport is not None
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        self.limit_half_open()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.server.opening.discard(self)
        if self.task is not None:
            self.task.cancel()
        self.end_tunnel(f'end at the peer closed: {exc!r}')

    def _read_request(self) -> None:
        """Read the head of the request, and post it once it is complete."""
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            return
        assert self.transport is not None
        if not isinstance(event, h11.Request) or event.method != b'CONNECT':
            self.refuse(STATUS_METHOD_NOT_ALLOWED, 'only CONNECT is allowed')
            return
        if not isinstance(self.http.next_event(), h11.EndOfMessage):
            self.refuse(STATUS_BAD_REQUEST, 'a body is not allowed')
            return
        self.tunnel = self.server.add(self)
        peer_name = self.transport.get_extra_info('peername')
        # The peer may already have reset the connection.
        origin = peer_name[0] if peer_name else ''
        self.server.post(
            TunnelRequested(self.tunnel, origin, event.target.decode('ascii')))

    async def connect(self, address: str) -> None:
        """Connect to the endpoint, and open the tunnel or refuse it."""
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: _EndpointEnd(self),
                                                  host, int(port))
        except (OSError, ValueError) as error:
            self.is_reached = False
            self.refuse(STATUS_NOT_REACHED, repr(error))

    def splice(self, endpoint: _EndpointEnd) -> None:
        """Open the tunnel to the endpoint, which is connected."""
        assert self.transport is not None and endpoint.transport is not None
        if self.transport.is_closing():
            endpoint.abort()
            return
        self._set_timeout(None)
        self.server.opening.discard(self)
        self.other, endpoint.other = endpoint, self
        early = self.http.trailing_data[0]
        self.transport.write(
            self.http.send(h11.Response(status_code=200, headers=[])))
        if early:
            endpoint.transport.write(early)
        self.transport.resume_reading()

    def refuse(self, status: int, reason: str) -> None:
        """Answer that no tunnel is opened, and close the connection."""
        if self.other is not None or self.reason or self.transport is None:
            return
        self.reason = f'refused with {status}: {reason}'
        response = h11.Response(status_code=status,
                                headers=[('content-length', '0'),
                                         ('connection', 'close')],
                                reason=reason.encode('ascii', 'replace'))
        self.transport.write(
            self.http.send(response) + self.http.send(h11.EndOfMessage()))
        self.set_linger(LINGER_OFF)
        self.transport.close()

    def limit_half_open(self) -> None:
        """Reset the tunnel if its other direction does not end in time."""
        self._set_timeout(HALF_OPEN_TIMEOUT_S, self.abort)

    def end_tunnel(self, reason: str) -> None:
        """Post the end of the tunnel once both of its ends are closed."""
        self.reason = self.reason or reason
        if not self.is_lost or (self.other is not None and
                                not self.other.is_lost):
            return
        self._set_timeout(None)
        if self.tunnel is not None and self.server.remove(self.tunnel):
            self.server.post(
                TunnelEnded(self.tunnel, self.reason, self.is_reached))

    def _on_open_timeout(self) -> None:
        self.refuse(STATUS_TIMEOUT, 'the tunnel was not opened in time')

    def _set_timeout(self,
                     seconds: float | None,
                     on_timeout: Callable[[], None] | None = None) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if seconds is not None and on_timeout is not None:
            self.timer = self.loop.call_later(seconds, on_timeout)


class TunnelServer:
    """Server of tunnels; posts requests for them and their ends.

    Attributes:
        opening: Connections whose tunnels are not open yet.
        tunnels: End at the peer of each tunnel that was requested.
    """

    def __init__(self, tasks: Tasks, post: Post) -> None:
        self.tasks = tasks
        self.post = post
        self.opening: set[_PeerEnd] = set()
        self.tunnels: dict[TunnelId, _PeerEnd] = {}
        self._sequence = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> str:
        """Start to listen; return the address as `IP:port`.

        Raises:
            OSError: The address could not be bound.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _PeerEnd(self), host, port, backlog=BACKLOG)
        bound = self._server.sockets[0].getsockname()
        return f'{bound[0]}:{bound[1]}'

    def stop_listening(self) -> None:
        """Accept no further connections; open tunnels stay."""
        if self._server is not None:
            self._server.close()

    def open_tunnel(self, effect: fx.OpenTunnel) -> None:
        """Connect a tunnel to its endpoint, unless its peer has left."""
        end = self.tunnels.get(effect.tunnel)
        if end is not None:
            end.task = self.tasks.spawn(end.connect(effect.address))

    def refuse_tunnel(self, effect: fx.RefuseTunnel) -> None:
        """Answer that no tunnel is opened, unless the peer has left."""
        end = self.tunnels.get(effect.tunnel)
        if end is not None:
            end.refuse(effect.status, effect.reason)

    def add(self, end: _PeerEnd) -> TunnelId:
        """Add a tunnel that was requested; return its id."""
        tunnel = TunnelId(f't{next(self._sequence)}')
        self.tunnels[tunnel] = end
        return tunnel

    def remove(self, tunnel: TunnelId) -> bool:
        """Remove a tunnel that has ended; return whether it was there."""
        return self.tunnels.pop(tunnel, None) is not None
