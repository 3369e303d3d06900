"""Loopback proxy that delays, resets, cuts, blocks or refuses connections."""

import asyncio
import contextlib
import enum
import random
import socket
import struct
from typing import Final

from plantainridge.standins.platform_site import (DROP_ALL, SO_ATTACH_FILTER,
                                                  SO_DETACH_FILTER)

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
    # No packet arrives in either direction: connecting does not end either.
    LOST = 'lost'
    # Open connections are reset, and new ones are refused.
    RESET_AND_REFUSE = 'reset_and_refuse'
    # New connections are refused; open ones continue.
    REFUSE = 'refuse'


# Faults that partition the client of a proxy from its target.
PARTITIONS: Final = (Fault.LOST, Fault.RESET_AND_REFUSE, Fault.REFUSE)


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
                 host: str = '127.0.0.1',
                 port: int = 0) -> None:
        """Initialize the proxy.

        Args:
            target: IP number and port to which it connects.
            rng: Source of randomness.
            host: IP number on which it listens.
            port: Port on which it listens; 0 for any.
        """
        self.target = target
        self.host = host
        self.port = port
        self.rng = rng
        self.fault = Fault.NONE
        self.delay_s = 0.2
        self.address = ''
        self._changed = asyncio.Event()
        # Faults that overlap end at the same moment: one of them listens again.
        self._listening = asyncio.Lock()
        self._server: asyncio.Server | None = None
        self._clients: set[asyncio.StreamWriter] = set()
        self._upstreams: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host,
                                                  self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.host}:{self.port}'

    async def stop(self) -> None:
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def set_fault(self, fault: Fault) -> None:
        """Set the fault of all connections, open ones included."""
        if self._server is None:
            return
        self.fault = fault
        if fault in (Fault.RESET, Fault.RESET_AND_REFUSE):
            self.reset_all()
        if fault in (Fault.RESET_AND_REFUSE, Fault.REFUSE):
            self._server.close()
        else:
            await self._listen_again()
        sockets = [
            *self._server.sockets,
            *(each.get_extra_info('socket') for each in self._clients)
        ]
        for sock in sockets:
            _filter_packets(sock, fault is Fault.LOST)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _listen_again(self) -> None:
        async with self._listening:
            if self._server is not None and not self._server.is_serving():
                await self.start()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in [*self._clients, *self._upstreams]:
            _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._clients.add(writer)
        if self.fault is Fault.LOST:
            _filter_packets(writer.get_extra_info('socket'), True)
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            if self.fault is Fault.RESET:
                return
            await self._wait_while_blocked((Fault.SILENT, Fault.LOST))
            host, _, port = self.target.rpartition(':')
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port))
            self._upstreams.add(upstream_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pump(reader, upstream_writer,
                               (Fault.SILENT, Fault.LOST, Fault.CUT_TO)))
                group.create_task(
                    self._pump(upstream_reader, writer,
                               (Fault.SILENT, Fault.LOST, Fault.CUT_FROM)))
        except * (OSError, asyncio.CancelledError):
            pass
        finally:
            self._clients.discard(writer)
            _reset(writer)
            if upstream_writer is not None:
                self._upstreams.discard(upstream_writer)
                _reset(upstream_writer)
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


def _filter_packets(sock: socket.socket, drops: bool) -> None:
    """Drop every packet that arrives at a socket, or none."""
    # A connection may be closed by now, or have no filter.
    with contextlib.suppress(OSError):
        if drops:
            sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, DROP_ALL)
        else:
            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
