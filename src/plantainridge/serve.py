"""Serves an ASGI application on the running loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any, Final

import uvicorn

LISTEN_BACKLOG: Final = 2_048
MAX_HEADER_BYTES: Final = 32 * 1024
# Bounds what the system keeps for a peer that reads slowly.
SEND_BUFFER_BYTES: Final = 128 * 1024
# How long a peer may leave sent data unacknowledged or its window shut.
UNREAD_TIMEOUT_S: Final = 60
# How long a request's head may take, up to twice this.
HEAD_TIMEOUT_S: Final = 20.0
KILL_POLL_S: Final = 0.005


class _QuietServer(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no handlers."""
        yield


class AppServer:
    """One application on one listening socket.

    Attributes:
        address: IP number and port that it listens on.
    """

    def __init__(self, app: Any, host: str, port: int) -> None:
        """Binds the socket; port 0 lets the system choose.

        Raises:
            OSError: The address cannot be bound.
        """
        self.app = app
        self.killed = False
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                               UNREAD_TIMEOUT_S * 1_000)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF,
                               SEND_BUFFER_BYTES)
        self.socket.bind((host, port))
        self.socket.listen(LISTEN_BACKLOG)
        self.address = f'{host}:{self.socket.getsockname()[1]}'
        self.server = _QuietServer(
            uvicorn.Config(self._run,
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
        self.sweeper: asyncio.Task[None] | None = None

    async def _run(self, scope: Any, receive: Any, send: Any) -> None:
        try:
            await self.app(scope, receive, send)
        except asyncio.CancelledError:
            # A killed server has nobody left to tell.
            if not self.killed:
                raise

    async def start(self) -> None:
        """Returns once connections are taken."""
        self.task = asyncio.create_task(
            self.server.serve(sockets=[self.socket]))
        while not self.server.started and not self.task.done():
            await asyncio.sleep(0.001)
        self.sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Finishes running requests, then closes."""
        self.server.should_exit = True
        await self._end()

    async def _end(self) -> None:
        if self.sweeper is not None:
            self.sweeper.cancel()
        if self.task is not None:
            await self.task

    def abort(self, client: Any) -> None:
        """Breaks the connection that comes from a client's address."""
        for connection in list(self.server.server_state.connections):
            if getattr(connection, 'client', None) == client:
                _abort(connection)

    async def _sweep(self) -> None:
        """Breaks connections whose next request's head takes too long."""
        waiting: set[Any] = set()
        while True:
            await asyncio.sleep(HEAD_TIMEOUT_S)
            headless = {
                connection
                for connection in self.server.server_state.connections
                if _is_headless(connection)
            }
            for connection in headless & waiting:
                _abort(connection)
            waiting = headless

    async def kill(self) -> None:
        """Closes at once, breaking every connection."""
        self.killed = True
        self.server.force_exit = True
        self.server.should_exit = True
        while self.task is not None and not self.task.done():
            # Connections that were accepted meanwhile break as well.
            for connection in list(self.server.server_state.connections):
                _abort(connection)
            for task in list(self.server.server_state.tasks):
                task.cancel()
            await asyncio.sleep(KILL_POLL_S)
        await self._end()


def _abort(connection: Any) -> None:
    transport = getattr(connection, 'transport', None)
    if transport is not None:
        transport.abort()


def _is_headless(connection: Any) -> bool:
    """Whether a connection is neither answered nor timed as idle."""
    cycle = getattr(connection, 'cycle', None)
    if cycle is None:
        return True
    return (cycle.response_complete and
            connection.timeout_keep_alive_task is None)
