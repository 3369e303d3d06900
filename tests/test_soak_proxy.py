"""Tests of the partitions that the soak's proxy injects."""

import asyncio
import contextlib
import random
import unittest

from tests.soak.proxy import PARTITIONS, Fault, FaultProxy
from tests.soak.site import reserve_subnet

HOST = '127.0.0.1'
# Longer than a round trip over loopback by far.
SILENCE_S = 0.2


async def _echo(reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(100):
            writer.write(data)
    writer.close()


async def _connect(proxy: FaultProxy) -> str:
    """Return how an attempt to connect ends."""
    try:
        async with asyncio.timeout(SILENCE_S):
            _, writer = await asyncio.open_connection(proxy.host, proxy.port)
    except ConnectionRefusedError:
        return 'refused'
    except TimeoutError:
        return 'silent'
    writer.transport.abort()
    return 'open'


async def _exchange(
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> str:
    """Return how an exchange over an open connection ends."""
    reader, writer = streams
    writer.write(b'x')
    try:
        async with asyncio.timeout(SILENCE_S):
            return 'answered' if await reader.read(1) else 'closed'
    except ConnectionResetError:
        return 'reset'
    except TimeoutError:
        return 'silent'


class OverlappingFaultsTest(unittest.IsolatedAsyncioTestCase):
    """Faults of one proxy that end at the same moment."""

    async def test_proxy_listens_again_once(self) -> None:
        # The second one failed since the port was in use.
        proxy = FaultProxy(f'{HOST}:1', random.Random(1))
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        await proxy.set_fault(Fault.REFUSE)
        await asyncio.gather(*(proxy.set_fault(Fault.NONE) for _ in range(3)))
        self.assertEqual(await _connect(proxy), 'open')


class PartitionTest(unittest.IsolatedAsyncioTestCase):
    """A proxy whose client is partitioned from its target, and another."""

    async def test_partition_ends_connections_of_one_client_only(self) -> None:
        target = await asyncio.start_server(_echo, HOST, 0)
        address = f'{HOST}:{target.sockets[0].getsockname()[1]}'
        expected = {
            Fault.LOST: ('silent', 'silent'),
            Fault.RESET_AND_REFUSE: ('reset', 'refused'),
            Fault.REFUSE: ('answered', 'refused'),
        }
        self.assertEqual(set(expected), set(PARTITIONS))
        for fault, (on_open, on_new) in expected.items():
            with self.subTest(fault.value):
                proxy, other = (
                    FaultProxy(address, random.Random(1)) for _ in range(2))
                for each in (proxy, other):
                    await each.start()
                streams = await asyncio.open_connection(HOST, proxy.port)
                self.assertEqual(await _exchange(streams), 'answered')
                await proxy.set_fault(fault)
                self.assertEqual(await _exchange(streams), on_open)
                self.assertEqual(await _connect(proxy), on_new)
                self.assertEqual(await _connect(other), 'open')
                await proxy.set_fault(Fault.NONE)
                # Retransmissions that were lost delay a connection.
                async with asyncio.timeout(5.0):
                    while await _connect(proxy) != 'open':
                        pass
                for each in (proxy, other):
                    await each.stop()
                streams[1].transport.abort()
        target.close()


class SubnetTest(unittest.TestCase):
    """Subnets of runs that play at the same time."""

    def test_runs_with_colliding_process_ids_use_other_subnets(self) -> None:
        reserved = [reserve_subnet() for _ in range(2)]
        for _, reservation in reserved:
            self.addCleanup(reservation.close)
        self.assertNotEqual(reserved[0][0], reserved[1][0])
