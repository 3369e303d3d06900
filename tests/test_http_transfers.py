"""Tests of transfers of blocks over HTTP, on loopback."""

import asyncio
import unittest

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.http_ports import new_client
from plantainridge.http_transfers import HttpTransferPort
from plantainridge.ids import BlockKey, EndpointId, StoreId, TransferId
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.reports import log_fault
from plantainridge.serve import AppServer
from plantainridge.standins.engine import EngineModel
from plantainridge.standins.engine_http import EngineApp
from plantainridge.standins.store import StoreModel
from plantainridge.standins.store_http import StoreApp
from plantainridge.standins.world import VERSION

HOST = '127.0.0.1'
KEYS = tuple(BlockKey(f'{i:032x}') for i in range(3))


class TransferPortTest(unittest.IsolatedAsyncioTestCase):
    """Blocks are exported by one engine and imported by another."""

    async def asyncSetUp(self) -> None:
        self.store = StoreModel(StoreId('k0'), 10, 10, 1e9)
        self.engines = [
            EngineModel(EndpointId(f'e{i}'), VERSION) for i in (0, 1)
        ]
        apps = [StoreApp(self.store).app]
        apps += [EngineApp(engine).app for engine in self.engines]
        self.servers = [AppServer(app, HOST, 0) for app in apps]
        for server in self.servers:
            await server.start()
        self.tasks = Tasks(log_fault)
        self.client = new_client()
        self.port = HttpTransferPort(self.client, self.tasks)

    async def asyncTearDown(self) -> None:
        await self.tasks.cancel()
        await self.client.aclose()
        for server in self.servers:
            await server.stop()

    async def transfer(
        self,
        engine: int,
        refs: tuple[ev.BlockRef, ...] = (),
        blocks: tuple[BlockKey, ...] = ()
    ) -> ev.TransferEnded:
        """Run a transfer and return its result."""
        ended: asyncio.Queue[Event] = asyncio.Queue()
        self.port.start(
            fx.StartTransfer(TransferId('t'), self.engines[engine].name,
                             self.servers[1 + engine].address, self.store.name,
                             self.servers[0].address, refs, blocks),
            ended.put_nowait)
        event = await ended.get()
        assert isinstance(event, ev.TransferEnded)
        return event

    async def test_imports_exported_blocks(self) -> None:
        self.engines[0].put(KEYS)
        exported = await self.transfer(0, blocks=KEYS)
        self.assertEqual((exported.moved, exported.failure), (KEYS, None))
        refs = {copy.ref.key: copy.ref for copy in self.store.copies()}
        imported = await self.transfer(1, refs=tuple(refs[key] for key in KEYS))
        self.assertEqual((imported.moved, imported.failure), (KEYS, None))
        self.assertEqual(self.engines[1].cached_prefix_blocks(KEYS), 3)

    async def test_a_freed_generation_is_not_imported(self) -> None:
        self.engines[0].put(KEYS)
        await self.transfer(0, blocks=KEYS)
        refs = {copy.ref.key: copy.ref for copy in self.store.copies()}
        self.store.free(KEYS[1])
        await self.transfer(0, blocks=KEYS)
        ended = await self.transfer(1, refs=tuple(refs[key] for key in KEYS))
        self.assertEqual(ended.moved, KEYS[:1])
        self.assertEqual(ended.failure, ev.TransferFailure.BLOCK_GONE)
        self.assertEqual(self.engines[1].cached_prefix_blocks(KEYS), 1)

    async def test_reports_that_a_store_is_unreachable(self) -> None:
        self.engines[0].put(KEYS)
        self.store.crash()
        ended = await self.transfer(0, blocks=KEYS)
        self.assertEqual(ended.failure, ev.TransferFailure.STORE_UNREACHABLE)
