"""Client of tunnels: connects to an endpoint through a peer by HTTP CONNECT."""

import asyncio
import contextlib
import socket
from typing import Final

import h11

# Longest time until a tunnel is open, in s: longer than connecting to the peer
# and the peer's own timeout for the endpoint, so that its answer arrives.
TUNNEL_TIMEOUT_S: Final = 0.85
# Longest incomplete head of a peer's answer, in bytes.
MAX_ANSWER_HEAD_BYTES: Final = 4 * 1_024
# Status with which a peer answers that it could not reach the endpoint.
STATUS_NOT_REACHED: Final = 502
# Number of the socket option, which some versions of Python do not export.
IP_BIND_ADDRESS_NO_PORT: Final = 24


class RelayError(OSError):
    """The peer opened no tunnel, and did not try the endpoint."""


class _TunnelRequest(asyncio.Protocol):
    """Protocol of a connection until the peer has opened a tunnel on it.

    Attributes:
        address: IP number and port of the endpoint.
        connection: Protocol that takes over the open tunnel.
        opened: Completed once the tunnel is open, or has failed.
        transport: Transport of the connection to the peer, or None.
        http: Framer of the request and parser of the peer's answer.
    """

    def __init__(self, address: str, connection: asyncio.Protocol) -> None:
        self.address = address
        self.connection = connection
        self.opened: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future())
        # Nothing reads the failure of a request that was cancelled.
        self.opened.add_done_callback(
            lambda opened: opened.cancelled() or opened.exception())
        self.transport: asyncio.Transport | None = None
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        request = h11.Request(method='CONNECT',
                              target=self.address,
                              headers=[('host', self.address)])
        transport.write(
            self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            self._fail(RelayError(f'malformed answer of the peer: {error}'))
            return
        if event is h11.NEED_DATA:
            return
        if not isinstance(event, h11.Response):
            self._fail(RelayError('unexpected answer of the peer'))
        elif self.http.our_state is h11.SWITCHED_PROTOCOL:
            self._switch()
        else:
            text = f'the peer answered {event.status_code} ' \
                   f'{event.reason.decode("latin-1")}'
            not_reached = event.status_code == STATUS_NOT_REACHED
            self._fail(OSError(text) if not_reached else RelayError(text))

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(RelayError(f'connection to the peer closed: {exc!r}'))

    def _switch(self) -> None:
        """Pass the transport, and bytes received early, to the connection."""
        assert self.transport is not None
        self.transport.set_protocol(self.connection)
        self.connection.connection_made(self.transport)
        if self.http.trailing_data[0]:
            self.connection.data_received(self.http.trailing_data[0])
        if not self.opened.done():
            self.opened.set_result(None)

    def _fail(self, error: OSError) -> None:
        if self.transport is not None:
            self.transport.abort()
        if not self.opened.done():
            self.opened.set_exception(error)


async def open_tunnel(via: str, address: str, source_host: str,
                      connection: asyncio.Protocol) -> None:
    """Connect a protocol to an endpoint through a peer.

    Args:
        via: IP number and port on which the peer accepts tunnels.
        address: IP number and port of the endpoint.
        source_host: IP number to connect from, which the peer checks; '' for
            any.
        connection: Protocol that is connected; it gets `connection_made`.

    Raises:
        RelayError: The peer opened no tunnel, and did not try the endpoint.
        OSError: The peer could not reach the endpoint.
    """
    request = _TunnelRequest(address, connection)
    sock = None
    try:
        async with asyncio.timeout(TUNNEL_TIMEOUT_S):
            sock = await _connect_socket(via, source_host)
            await asyncio.get_running_loop().create_connection(lambda: request,
                                                               sock=sock)
            await request.opened
    except BaseException as error:
        if request.transport is not None:
            request.transport.abort()
        elif sock is not None:
            sock.close()
        if isinstance(error, TimeoutError):
            raise RelayError('no answer of the peer in time') from error
        raise


async def _connect_socket(via: str, source_host: str) -> socket.socket:
    """Return a socket connected to a peer from a given IP number."""
    host, _, port = via.rpartition(':')
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if source_host:
            # Without the option, which not every system has, each connection
            # takes a port that no other one can share.
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            sock.bind((source_host, 0))
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except OSError as error:
        sock.close()
        raise RelayError(f'no connection to the peer: {error!r}') from error
    except BaseException:
        sock.close()
        raise
    return sock
