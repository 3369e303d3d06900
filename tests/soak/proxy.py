"""A loopback proxy that delays, resets, cuts or silences connections."""

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
    # Every piece takes longer.
    DELAY = 'delay'
    # Open connections are reset, and new ones as soon as they are made.
    RESET = 'reset'
    # What the caller sends is lost; what it is sent arrives.
    CUT_TO = 'cut_to'
    # What the caller is sent is lost; what it sends arrives.
    CUT_FROM = 'cut_from'
    # Nothing passes, and no connection ends.
    SILENT = 'silent'


class FaultProxy:
    """Passes connections on to one address, or harms them.

    Attributes:
        address: Where it listens.
        fault: What it does now.
        delay_s: Longest time that a delayed piece takes more, in s.
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
        """Listens on a port that the system picks."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Ends every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_fault(self, fault: Fault) -> None:
        """Changes what happens from now on, to open connections too."""
        self.fault = fault
        if fault is Fault.RESET:
            self.reset_all()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def reset_all(self) -> None:
        """Resets every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            if self.fault is Fault.RESET:
                return
            await self._until_passing((Fault.SILENT,))
            host, _, port = self.target.rpartition(':')
            far_reader, far = await asyncio.open_connection(host, int(port))
            self._writers.add(far)
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pump(reader, far, (Fault.SILENT, Fault.CUT_TO)))
                group.create_task(
                    self._pump(far_reader, writer,
                               (Fault.SILENT, Fault.CUT_FROM)))
        except * (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, far):
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
            await self._until_passing(blocking)
            writer.write(data)
            await writer.drain()
        await self._until_passing(blocking)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _until_passing(self, blocking: tuple[Fault, ...]) -> None:
        while self.fault in blocking:
            await self._changed.wait()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
