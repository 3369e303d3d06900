"""In-memory transfers of blocks between the models of engines and stores."""

import asyncio
from collections.abc import Callable, Iterator, Sequence
from typing import Final, TypeVar

import attrs

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.events import BlockRef, Tier, TransferFailure
from plantainridge.ids import BlockKey, EndpointId, StoreId, TransferId
from plantainridge.loop.events import Event
from plantainridge.loop.ports import Post
from plantainridge.ports import TransferPort
from plantainridge.standins.engine import EngineModel
from plantainridge.standins.memory import Network
from plantainridge.standins.store import (BLOCK_LENGTH_BYTES, Stored,
                                          StoreModel, StoreRefusal, checksum,
                                          payload_of)

# Blocks moved as one chunk; concurrent transfers interleave by chunk.
CHUNK_BLOCKS: Final = 4

T = TypeVar('T')

_FAILURES: Final = {
    StoreRefusal.DEAD: TransferFailure.STORE_UNREACHABLE,
    StoreRefusal.FULL: TransferFailure.STORE_FULL,
    StoreRefusal.GONE: TransferFailure.BLOCK_GONE,
    StoreRefusal.CORRUPT: TransferFailure.CORRUPT,
}


@attrs.define
class Progress:
    """Blocks and bytes that a transfer has moved so far."""

    moved: list[BlockKey] = attrs.field(factory=list)
    moved_bytes: int = 0


async def import_blocks(engine: EngineModel, store: StoreModel,
                        refs: Sequence[BlockRef],
                        progress: Progress) -> TransferFailure | None:
    """Read copies from a store into an engine's cache.

    Args:
        progress: Updated with the blocks and bytes moved, also on failure.

    Returns:
        The failure, or None if all copies were read.
    """
    for chunk in _chunks(refs):
        stored: list[Stored] = []
        disk_bytes = 0
        for ref in chunk:
            if store.tier(ref) is Tier.DISK:
                disk_bytes += ref.length_bytes
            found = store.read(ref)
            if isinstance(found, StoreRefusal):
                return _FAILURES[found]
            stored.append(found)
        if disk_bytes:
            await store.disk.move(disk_bytes)
        size = sum(ref.length_bytes for ref in chunk)
        await store.link.move(size)
        progress.moved_bytes += size
        failure = _cache_chunk(engine, store, list(zip(chunk, stored)),
                               progress)
        if failure is not None:
            return failure
    return None


def _cache_chunk(engine: EngineModel, store: StoreModel,
                 chunk: list[tuple[BlockRef, Stored]],
                 progress: Progress) -> TransferFailure | None:
    if not store.alive:
        return TransferFailure.STORE_UNREACHABLE
    if not engine.alive:
        return TransferFailure.ENDPOINT_UNREACHABLE
    for ref, stored in chunk:
        if checksum(stored.payload) != stored.checksum:
            return TransferFailure.CORRUPT
        progress.moved.append(ref.key)
    engine.put(progress.moved)
    return None


async def export_blocks(engine: EngineModel, store: StoreModel,
                        blocks: Sequence[BlockKey],
                        progress: Progress) -> TransferFailure | None:
    """Write cached blocks to a store and commit each.

    Args:
        progress: Updated with the blocks and bytes moved, also on failure.

    Returns:
        The failure, or None if the store has all blocks.
    """
    for chunk in _chunks(blocks):
        wanted = [key for key in chunk if not store.holds(key)]
        if engine.cached_prefix_blocks(tuple(chunk)) < len(chunk):
            return TransferFailure.BLOCK_GONE
        writes: dict[int, BlockKey] = {}
        try:
            for key in wanted:
                generation = store.begin(key)
                if isinstance(generation, StoreRefusal):
                    return _FAILURES[generation]
                writes[generation] = key
            size = len(wanted) * BLOCK_LENGTH_BYTES
            if size:
                await store.link.move(size)
            progress.moved_bytes += size
            failure = _commit(store, writes)
            if failure is not None:
                return failure
        finally:
            for generation in writes:
                store.abort(generation)
        progress.moved.extend(chunk)
    return None


def _commit(store: StoreModel,
            writes: dict[int, BlockKey]) -> TransferFailure | None:
    for generation, key in writes.items():
        payload = payload_of(key)
        done = store.commit(generation, payload, checksum(payload))
        if isinstance(done, StoreRefusal):
            return _FAILURES[done]
    return None


def _chunks(items: Sequence[T]) -> Iterator[Sequence[T]]:
    for start in range(0, len(items), CHUNK_BLOCKS):
        yield items[start:start + CHUNK_BLOCKS]


class MemoryTransferPort(TransferPort):
    """Transfer port of one VM, connected to engines and stores in memory."""

    def __init__(self, vm: str, network: Network, engines: dict[EndpointId,
                                                                EngineModel],
                 stores: dict[StoreId, StoreModel],
                 listings: dict[str, Callable[[], Event]]) -> None:
        self.vm = vm
        self.network = network
        self.engines = engines
        self.stores = stores
        self.listings = listings
        self.tasks: dict[TransferId, asyncio.Task[None]] = {}
        self.promotions: set[asyncio.Task[None]] = set()

    def start(self, effect: fx.StartTransfer, post: Post) -> None:
        task = asyncio.get_running_loop().create_task(self._run(effect, post))
        self.tasks[effect.transfer] = task
        task.add_done_callback(lambda _: self.tasks.pop(effect.transfer, None))

    def cancel(self, effect: fx.CancelTransfer) -> None:
        task = self.tasks.pop(effect.transfer, None)
        if task is not None:
            task.cancel()

    def promote_blocks(self, effect: fx.PromoteBlocks) -> None:
        store = self.stores[effect.store]
        if not self.network.reaches(self.vm, effect.store):
            return
        task = asyncio.get_running_loop().create_task(
            store.promote_blocks(effect.refs))
        self.promotions.add(task)
        task.add_done_callback(self.promotions.discard)

    def list_cache(self, effect: fx.ListEndpointCache, post: Post) -> None:
        self._list(effect.endpoint, post)

    def list_store(self, effect: fx.ListStore, post: Post) -> None:
        self._list(effect.store, post)

    def _list(self, node: str, post: Post) -> None:
        listing = self.listings.get(node)
        if listing is not None and self.network.reaches(self.vm, node):
            event = listing()
            self.network.schedule(lambda: post(event))

    async def _run(self, effect: fx.StartTransfer, post: Post) -> None:
        await asyncio.sleep(self.network.latency_s)
        progress = Progress()
        failure = await self._move(effect, progress)
        await asyncio.sleep(self.network.latency_s)
        post(
            ev.TransferEnded(effect.transfer, tuple(progress.moved),
                             progress.moved_bytes, failure))

    async def _move(self, effect: fx.StartTransfer,
                    progress: Progress) -> TransferFailure | None:
        engine = self.engines[effect.endpoint]
        store = self.stores[effect.store]
        if not engine.alive or not self.network.reaches(self.vm,
                                                        effect.endpoint):
            return TransferFailure.ENDPOINT_UNREACHABLE
        if not store.alive or not self.network.reaches(effect.endpoint,
                                                       effect.store):
            return TransferFailure.STORE_UNREACHABLE
        items = effect.refs or effect.blocks
        store.transfers += 1
        size = len(items) * BLOCK_LENGTH_BYTES
        store.queued_bytes += size
        try:
            if effect.refs:
                return await import_blocks(engine, store, effect.refs, progress)
            return await export_blocks(engine, store, effect.blocks, progress)
        finally:
            store.transfers -= 1
            store.queued_bytes -= size
