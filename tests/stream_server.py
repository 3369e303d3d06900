"""Server of byte streams whose connections end with it."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

HOST: Final = '127.0.0.1'

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StreamServer:
    """Server that runs a coroutine for each connection.

    `asyncio` reports each of its tasks that is still running when its loop
    ends as an exception in a callback.

    Attributes:
        serve: Serves one connection.
        running: Tasks of the connections that are being served.
        address: IP number and port once it is started.
    """

    def __init__(self, serve: Serve) -> None:
        self.serve = serve
        self.running: set[asyncio.Task[None]] = set()
        self.address = ''
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Start to listen; return the address."""
        self._server = await asyncio.start_server(self._run, HOST, 0)
        self.address = f'{HOST}:{self._server.sockets[0].getsockname()[1]}'
        return self.address

    async def stop(self) -> None:
        """Stop listening, and stop serving all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        while self.running:
            for task in self.running:
                task.cancel()
            await asyncio.wait(self.running)

    async def _run(self, reader: asyncio.StreamReader,
                   writer: asyncio.StreamWriter) -> None:
        # The server reports a task of its own that is cancelled.
        task = asyncio.ensure_future(self.serve(reader, writer))
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        await asyncio.wait([task])
        writer.close()
        if not task.cancelled():
            task.result()
