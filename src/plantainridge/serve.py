"""HTTP server for an ASGI application, on the running event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any, Final

import uvicorn

LISTEN_BACKLOG: Final = 2_048
MAX_HEADER_BYTES: Final = 32 * 1024
# Limits the data that the kernel buffers for a client that reads slowly.
SEND_BUFFER_BYTES: Final = 128 * 1024
# Time after which the kernel closes a connection whose client leaves sent data
# unacknowledged or its receive window at zero.
UNACKNOWLEDGED_TIMEOUT_S: Final = 60
# Interval of the checks for connections without a complete request header; a
# connection that fails two checks in a row is aborted, so the effective timeout
# is one to two intervals.
HEADER_TIMEOUT_S: Final = 20.0
STOP_POLL_INTERVAL_S: Final = 0.02
KILL_POLL_INTERVAL_S: Final = 0.005


class _Server(uvicorn.Server):
    """A server without signal handlers, which the process installs itself."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class AppServer:
    """Server of one ASGI application on one listening socket.

    Attributes:
        address: IP address and port that the server listens on.
    """

    def __init__(self, app: Any, host: str, port: int) -> None:
        """Bind the socket and listen on it.

        Args:
            app: The ASGI application.
            host: IP address to listen on.
            port: Port to listen on; 0 for a port that the system assigns.

        Raises:
            OSError: The address cannot be bound.
        """
        self.app = app
        self.killed = False
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                               UNACKNOWLEDGED_TIMEOUT_S * 1_000)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF,
                               SEND_BUFFER_BYTES)
        self.socket.bind((host, port))
        self.socket.listen(LISTEN_BACKLOG)
        self.address = f'{host}:{self.socket.getsockname()[1]}'
        self.server = _Server(
            uvicorn.Config(self._run_app,
                           log_config=None,
                           access_log=False,
                           lifespan='off',
                           interface='asgi3',
                           proxy_headers=False,
                           http='h11',
                           ws='none',
                           server_header=False,
                           h11_max_incomplete_event_size=MAX_HEADER_BYTES,
                           timeout_graceful_shutdown=None))
        self.task: asyncio.Task[None] | None = None
        self.header_timeout_task: asyncio.Task[None] | None = None

    async def _run_app(self, scope: Any, receive: Any, send: Any) -> None:
        try:
            await self.app(scope, receive, send)
        except asyncio.CancelledError:
            # A killed server does not report the cancellation to anyone.
            if not self.killed:
                raise

    async def start(self) -> None:
        """Start serving; return when connections are accepted."""
        self.task = asyncio.create_task(
            self.server.serve(sockets=[self.socket]))
        while not self.server.started and not self.task.done():
            await asyncio.sleep(0.001)
        self.header_timeout_task = asyncio.create_task(
            self._enforce_header_timeout())

    async def stop(self) -> None:
        """Complete requests in flight, then close the server."""
        self.server.should_exit = True
        while self.task is not None and not self.task.done():
            # The library closes idle connections once, and then waits for all:
            # also for one that it accepted before, but learns of only now.
            if self.server.started and not self._is_listening():
                self._close_idle()
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        await self._wait_stopped()

    def _is_listening(self) -> bool:
        return any(server.is_serving() for server in self.server.servers)

    def _close_idle(self) -> None:
        """Close the connections that await a request header."""
        for connection in list(self.server.server_state.connections):
            if _awaits_header(connection) and connection.transport is not None:
                connection.transport.close()

    async def _wait_stopped(self) -> None:
        if self.header_timeout_task is not None:
            self.header_timeout_task.cancel()
        if self.task is not None:
            await self.task

    def abort(self, client: Any) -> None:
        """Abort the connection from a client address."""
        for connection in list(self.server.server_state.connections):
            if getattr(connection, 'client', None) == client:
                _abort_connection(connection)

    async def _enforce_header_timeout(self) -> None:
        """Abort connections that do not complete a request header in time."""
        previously_awaiting: set[Any] = set()
        while True:
            await asyncio.sleep(HEADER_TIMEOUT_S)
            awaiting = {
                connection
                for connection in self.server.server_state.connections
                if _awaits_header(connection)
            }
            for connection in awaiting & previously_awaiting:
                _abort_connection(connection)
            previously_awaiting = awaiting

    async def kill(self) -> None:
        """Close the server immediately and abort all connections."""
        self.killed = True
        self.server.force_exit = True
        self.server.should_exit = True
        while self.task is not None and not self.task.done():
            # Includes connections accepted in the meantime.
            for connection in list(self.server.server_state.connections):
                _abort_connection(connection)
            for task in list(self.server.server_state.tasks):
                task.cancel()
            await asyncio.sleep(KILL_POLL_INTERVAL_S)
        await self._wait_stopped()


def _abort_connection(connection: Any) -> None:
    transport = getattr(connection, 'transport', None)
    if transport is not None:
        transport.abort()


def _awaits_header(connection: Any) -> bool:
    """Whether a connection awaits a request header without a timeout.

    Before the first request the server has no timeout; after a response it has
    one only until the first byte of the next request.
    """
    cycle = getattr(connection, 'cycle', None)
    if cycle is None:
        return True
    return (cycle.response_complete and
            connection.timeout_keep_alive_task is None)
