"""Serves an ASGI application on the running loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any, Final

import uvicorn

LISTEN_BACKLOG: Final = 2_048


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
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, port))
        self.socket.listen(LISTEN_BACKLOG)
        self.address = f'{host}:{self.socket.getsockname()[1]}'
        self.server = _QuietServer(
            uvicorn.Config(app,
                           log_config=None,
                           access_log=False,
                           lifespan='off',
                           http='h11',
                           ws='none',
                           timeout_graceful_shutdown=None))
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Returns once connections are taken."""
        self.task = asyncio.create_task(
            self.server.serve(sockets=[self.socket]))
        while not self.server.started and not self.task.done():
            await asyncio.sleep(0.001)

    async def stop(self) -> None:
        """Finishes running requests, then closes."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task

    async def kill(self) -> None:
        """Closes at once, breaking every connection."""
        self.server.force_exit = True
        self.server.should_exit = True
        for connection in list(self.server.server_state.connections):
            transport = getattr(connection, 'transport', None)
            if transport is not None:
                transport.abort()
        for task in list(self.server.server_state.tasks):
            task.cancel()
        if self.task is not None:
            await self.task
