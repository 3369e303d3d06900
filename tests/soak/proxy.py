"""Loopback proxy that delays, resets, cuts or blocks connections."""

import asyncio
import contextlib
import enum
import random
import socket
import struct
from typing import Final

CHUNK_BYTES: Final = 64 * 1_024
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class Fault(enum.Enum):
    """What a proxy does to its connections."""

    NONE = 'none'
    # Each chunk is delayed.
    DELAY = 'delay'
    # Open connections are reset, and new ones on connecting.
    RESET = 'reset'
    # Bytes to the target don't arrive; bytes from it do.
    CUT_TO = 'cut_to'
    # Bytes from the target don't arrive; bytes to it do.
    CUT_FROM = 'cut_from'
    # No bytes arrive in either direction; connections stay open.
    SILENT = 'silent'


class FaultProxy:
    """Proxy of one address that injects faults on demand.

    Attributes:
        address: Address on which it listens.
        fault: Current fault of all connections.
        delay_s: Longest delay of a chunk, in s.
    """

    def __init__(self,
                 target: str,
                 rng: random.Random,
                 host: str = '127.0.0.1') -> None:
        self.target = target
        self.host = host
        self.rng = rng
        self.fault = Fault.NONE
        self.delay_s = 0.2
        self.address = ''
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_fault(self, fault: Fault) -> None:
        """Set the fault of all connections, open ones included."""
        self.fault = fault
        if fault is Fault.RESET:
            self.reset_all()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            if self.fault is Fault.RESET:
                return
            await self._wait_while_blocked((Fault.SILENT,))
            host, _, port = self.target.rpartition(':')
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port))
            self._writers.add(upstream_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pump(reader, upstream_writer,
                               (Fault.SILENT, Fault.CUT_TO)))
                group.create_task(
                    self._pump(upstream_reader, writer,
                               (Fault.SILENT, Fault.CUT_FROM)))
        except * (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, upstream_writer):
                if each is not None:
                    self._writers.discard(each)
                    _reset(each)
            self._tasks.discard(task)

    async def _pump(self, reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter, blocking: tuple[Fault,
                                                                  ...]) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is Fault.DELAY:
                await asyncio.sleep(self.rng.uniform(0, self.delay_s))
            await self._wait_while_blocked(blocking)
            writer.write(data)
            await writer.drain()
        await self._wait_while_blocked(blocking)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _wait_while_blocked(self, blocking: tuple[Fault, ...]) -> None:
        while self.fault in blocking:
            await self._changed.wait()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
