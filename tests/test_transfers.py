"""Tests of transfers between engines and stores, and of the stores."""

import asyncio
import random
import unittest

import attrs

from plantainridge import config, transfers, virtual_time
from plantainridge.effects import CancelTransfer, StartTransfer
from plantainridge.endpoints import EndpointView
from plantainridge.events import (BlockRef, StoredCopy, Tier, TimerKind,
                                  TransferEnded, TransferFailure)
from plantainridge.ids import (BlockKey, EndpointId, Incarnation, RequestId,
                               StoreId, TransferId, VmId)
from plantainridge.loop.effects import Effect
from plantainridge.loop.events import TimerKey
from plantainridge.routing import Fetch
from plantainridge.standins import memory_transfers
from plantainridge.standins.engine import EngineModel
from plantainridge.standins.store import (StoreModel, StoreRefusal, checksum,
                                          payload_of)
from plantainridge.standins.world import DC, VERSION, sample_config
from plantainridge.state import VmState
from plantainridge.transfers import ReleasedRequest

STORE = StoreId('k0')
ENGINE = EndpointId('e0')


def keys(context: str, count: int) -> tuple[BlockKey, ...]:
    """Return the block keys of a context."""
    return tuple(BlockKey(f'{context}{i}') for i in range(count))


def make_fetch(context: str, limit_s: float = 5.0) -> Fetch:
    """Return a fetch of three blocks."""
    return Fetch(
        STORE,
        tuple(
            StoredCopy(BlockRef(key, 1, 100), Tier.MEMORY)
            for key in keys(context, 3)), limit_s)


def make_state() -> VmState:
    """Return a VM's state with one store."""
    sample = attrs.evolve(
        sample_config(),
        revision=0,
        stores={STORE: config.Store(STORE, DC, '127.0.0.1:9', 1e6)})
    state = VmState(VmId('vm0'),
                    DC,
                    Incarnation('one'),
                    random.Random(1),
                    config=sample)
    state.endpoints = {
        name: EndpointView(each) for name, each in sample.endpoints.items()
    }
    return state


def started_transfers(effects: list[Effect]) -> list[TransferId]:
    """Return the ids of the transfers that effects start."""
    return [e.transfer for e in effects if isinstance(e, StartTransfer)]


class FetchTest(unittest.TestCase):
    """Fetches are joined, limited per link and cancelled after a timeout."""

    def setUp(self) -> None:
        self.state = make_state()

    def fetch(self, request: str, context: str) -> list[TransferId]:
        """Request a fetch of a context and return the transfers started."""
        return started_transfers(
            list(
                transfers.fetch(self.state, RequestId(request), ENGINE,
                                make_fetch(context), 0.0)))

    def test_a_second_request_joins_a_running_fetch(self) -> None:
        first = self.fetch('r1', 'a')
        self.assertEqual(len(first), 1)
        self.assertEqual(self.fetch('r2', 'a'), [])
        ended = TransferEnded(first[0], keys('a', 3), 300)
        waiting = [
            step for step in transfers.on_ended(self.state, ended, 1.0)
            if isinstance(step, ReleasedRequest)
        ]
        self.assertEqual([each.request for each in waiting], ['r1', 'r2'])
        self.assertEqual(
            self.state.directory.endpoints.prefix_lengths(keys('a', 3)),
            {ENGINE: 3})

    def test_limits_the_running_fetches_of_one_link(self) -> None:
        running = [
            self.fetch(f'r{i}', f'c{i}-')
            for i in range(transfers.MAX_FETCHES_PER_LINK + 2)
        ]
        self.assertEqual(sum(map(len, running)), transfers.MAX_FETCHES_PER_LINK)
        ended = TransferEnded(running[0][0], keys('c0-', 3), 300)
        steps = list(transfers.on_ended(self.state, ended, 1.0))
        self.assertEqual(
            len(started_transfers([s for s in steps if isinstance(s, Effect)])),
            1)

    def test_a_timeout_cancels_a_fetch_and_releases_its_request(self) -> None:
        transfer_id = self.fetch('r1', 'a')[0]
        key = TimerKey(TimerKind.TRANSFER, transfer_id)
        steps = list(transfers.on_timeout(self.state, key, 5.0))
        self.assertIn(CancelTransfer(transfer_id), steps)
        self.assertIn(ReleasedRequest(RequestId('r1'), ENGINE), steps)
        self.assertEqual(self.state.links.links[STORE].own_bytes, {})
        late = TransferEnded(transfer_id, keys('a', 3), 300)
        self.assertEqual(list(transfers.on_ended(self.state, late, 6.0)), [])

    def test_an_unreachable_store_is_unusable_during_its_cooldown(self) -> None:
        transfer_id = self.fetch('r1', 'a')[0]
        failed = TransferEnded(transfer_id, (), 0,
                               TransferFailure.STORE_UNREACHABLE)
        list(transfers.on_ended(self.state, failed, 1.0))
        self.assertIsNone(self.state.links.usable(STORE, 2.0))
        self.assertIsNotNone(self.state.links.usable(STORE, 60.0))


class StoreTest(unittest.TestCase):
    """Freed and incomplete copies cannot be read."""

    def write(self, store: StoreModel, key: BlockKey) -> BlockRef:
        """Write and commit a block."""
        generation = store.begin(key)
        assert isinstance(generation, int)
        payload = payload_of(key)
        ref = store.commit(generation, payload, checksum(payload))
        assert isinstance(ref, BlockRef)
        return ref

    def test_a_copy_is_readable_only_after_its_commit(self) -> None:
        store = StoreModel(STORE, 2, 2, 1e9)
        key = BlockKey('a')
        generation = store.begin(key)
        assert isinstance(generation, int)
        self.assertEqual(store.read(BlockRef(key, generation, 40_000_000)),
                         StoreRefusal.GONE)
        self.assertEqual(store.commit(generation, b'part', checksum(b'whole')),
                         StoreRefusal.CORRUPT)
        self.assertEqual(store.read(BlockRef(key, generation, 40_000_000)),
                         StoreRefusal.GONE)

    def test_a_freed_generation_is_not_readable_after_a_new_write(self) -> None:
        store = StoreModel(STORE, 2, 2, 1e9)
        old = self.write(store, BlockKey('a'))
        store.free(old.key)
        new = self.write(store, BlockKey('a'))
        self.assertEqual(store.read(old), StoreRefusal.GONE)
        self.assertNotIsInstance(store.read(new), StoreRefusal)

    def test_moves_the_oldest_to_disk_and_then_frees_them(self) -> None:
        store = StoreModel(STORE, 2, 2, 1e9)
        refs = [self.write(store, key) for key in keys('a', 5)]
        self.assertEqual(
            [store.tier(ref) for ref in refs],
            [StoreRefusal.GONE, Tier.DISK, Tier.DISK, Tier.MEMORY, Tier.MEMORY])

    def test_an_import_stops_at_a_copy_that_was_freed_meanwhile(self) -> None:

        async def scenario() -> None:
            store = StoreModel(STORE, 20, 20, 1e9)
            engine = EngineModel(ENGINE, VERSION)
            refs = [self.write(store, key) for key in keys('a', 8)]
            progress = memory_transfers.Progress()
            task = asyncio.create_task(
                memory_transfers.import_blocks(engine, store, refs, progress))
            await asyncio.sleep(0.01)
            store.free(refs[6].key)
            self.assertEqual(await task, TransferFailure.BLOCK_GONE)
            self.assertEqual(progress.moved, list(keys('a', 4)))
            self.assertEqual(set(engine.cache), set(keys('a', 4)))

        virtual_time.run(scenario())

    def test_a_cancelled_export_leaves_only_committed_copies(self) -> None:

        async def scenario() -> None:
            store = StoreModel(STORE, 20, 20, 1e9)
            engine = EngineModel(ENGINE, VERSION)
            engine.put(keys('a', 8))
            task = asyncio.create_task(
                memory_transfers.export_blocks(engine, store, keys('a', 8),
                                               memory_transfers.Progress()))
            await asyncio.sleep(0.2)
            task.cancel()
            await asyncio.sleep(1.0)
            held = {copy.ref.key for copy in store.copies()}
            self.assertEqual(held, set(keys('a', 4)))
            self.assertEqual(store.writing, {})

        virtual_time.run(scenario())
