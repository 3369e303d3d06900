"""Tests of long messages between VMs on loopback sockets."""

import asyncio
import os
import socket
import unittest
from collections.abc import Callable
from typing import Final
from unittest import mock

from plantainridge.ids import VmId
from plantainridge.loop import effects as base
from plantainridge.loop import peers_net
from plantainridge.loop.events import Event, PeerMessageReceived
from plantainridge.loop.peers_net import NetPeers
from plantainridge.loop.ports import MAX_MESSAGE_BYTES
from plantainridge.loop.tasks import Tasks
from plantainridge.reports import log_fault
from tests.stream_server import HOST

MESSAGES: Final = 4
BLOCK: Final = bytes(65_536)
# Time limit of a message, in s.
TIMEOUT_S: Final = 0.3
HANG_TIMEOUT_S: Final = 10.0
POLL_S: Final = 0.01


def _open_files() -> int:
    return len(os.listdir('/proc/self/fd'))


class SilentPeerTest(unittest.IsolatedAsyncioTestCase):
    """Nothing of a message is kept once its peer did not read it in time."""

    async def asyncSetUp(self) -> None:
        # The system accepts connections to it; nothing reads them.
        self.silent = self.enterContext(socket.create_server((HOST, 0)))
        self.tasks = Tasks(log_fault)
        self.addAsyncCleanup(self.tasks.cancel)
        self.peers = NetPeers(HOST, 0, self.tasks)
        await self.peers.start(lambda event: None)
        self.addAsyncCleanup(self.peers.stop)

    async def test_connection_is_closed(self) -> None:
        address = f'{HOST}:{self.silent.getsockname()[1]}'
        open_files = _open_files()
        with mock.patch.object(peers_net, 'STREAM_TIMEOUT_S', TIMEOUT_S):
            for _ in range(MESSAGES):
                self.peers.send(
                    base.SendPeer(VmId('vm'), address,
                                  bytes(MAX_MESSAGE_BYTES)))
            await self._wait_for(lambda: _open_files() == open_files + MESSAGES)
            await self._wait_for(lambda: _open_files() == open_files)

    async def _wait_for(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_S)


class EndlessMessageTest(unittest.IsolatedAsyncioTestCase):
    """A peer's message without end is bounded, and its connection closes."""

    async def test_message_ends_at_its_limit(self) -> None:
        posted: list[Event] = []
        peers = NetPeers(HOST, 0, Tasks(log_fault))
        await peers.start(posted.append)
        self.addAsyncCleanup(peers.stop)
        _, writer = await asyncio.open_connection(HOST, peers.port)
        self.addCleanup(writer.close)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            with self.assertRaises(ConnectionError):
                while True:
                    writer.write(BLOCK)
                    await writer.drain()
        self.assertEqual(len(posted), 1)
        message = posted[0]
        assert isinstance(message, PeerMessageReceived)
        self.assertLessEqual(len(message.payload),
                             MAX_MESSAGE_BYTES + len(BLOCK))
