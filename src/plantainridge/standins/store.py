"""Model of a store VM: memory and disk tiers behind one limited link.

A write counts only after its commit. Each write has a generation that is
never used again; a read names key, generation and length, so that a freed or
partly written copy cannot be read.
"""

import abc
import asyncio
import enum
import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from plantainridge.events import BlockRef, StoredCopy, Tier
from plantainridge.ids import BlockKey, StoreId

DISK_BYTES_PER_S: Final = 2e9
BLOCK_LENGTH_BYTES: Final = 40_000_000


class StoreRefusal(enum.Enum):
    """Why a store did not do what it was asked."""

    DEAD = 'dead'
    FULL = 'full'
    GONE = 'gone'
    CORRUPT = 'corrupt'


def payload_of(key: BlockKey) -> bytes:
    """Return the stand-in for a block's content."""
    return hashlib.blake2b(key.encode(), digest_size=16).digest()


def checksum(payload: bytes) -> str:
    """Return the checksum of a block's content."""
    return hashlib.blake2b(payload, digest_size=8).hexdigest()


class Link:
    """A path that moves pieces one after another at a limited rate.

    Attributes:
        bytes_per_s: Its rate.
        slowdown: Factor by which it is slower now.
        moved_bytes: Bytes moved so far.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.slowdown = 1.0
        self.moved_bytes = 0
        self.free_at = 0.0

    async def move(self, size_bytes: int) -> None:
        """Return once a piece has moved."""
        now = asyncio.get_running_loop().time()
        start = max(now, self.free_at)
        self.free_at = start + size_bytes * self.slowdown / self.bytes_per_s
        self.moved_bytes += size_bytes
        await asyncio.sleep(self.free_at - now)


@attrs.frozen
class Stored:
    """A block's content with the checksum that it was committed with."""

    payload: bytes = attrs.field(repr=False)
    checksum: str


@attrs.define
class _Copy:
    ref: BlockRef
    stored: Stored
    tier: Tier = Tier.MEMORY


class StoreWatcher(abc.ABC):
    """Is told what changes in a store."""

    @abc.abstractmethod
    def placed(self, ref: BlockRef, tier: Tier) -> None:
        """Take the news of a copy that is committed or changed its tier."""

    @abc.abstractmethod
    def freed(self, ref: BlockRef) -> None:
        """Take the news of a copy that is gone."""

    @abc.abstractmethod
    def restarted(self) -> None:
        """Take the news that all is lost and a new life begins."""


class StoreModel:
    """One store on the running loop.

    Attributes:
        memory_blocks: Copies that its memory holds at the most.
        disk_blocks: Copies that its disk holds at the most.
        link: Its link to all endpoints.
        disk: The path from its disk.
        queued_bytes: Bytes that running transfers have yet to move.
        transfers: Number of running transfers.
        writing: Keys of writes that are not committed, by generation.
    """

    def __init__(self, name: StoreId, memory_blocks: int, disk_blocks: int,
                 link_bytes_per_s: float) -> None:
        self.name = name
        self.memory_blocks = memory_blocks
        self.disk_blocks = disk_blocks
        self.link = Link(link_bytes_per_s)
        self.disk = Link(DISK_BYTES_PER_S)
        self.queued_bytes = 0
        self.transfers = 0
        self.alive = True
        self.refuses_writes = False
        self.watchers: list[StoreWatcher] = []
        self._generation = 0
        self.writing: dict[int, BlockKey] = {}
        self._memory: OrderedDict[BlockKey, _Copy] = OrderedDict()
        self._disk: OrderedDict[BlockKey, _Copy] = OrderedDict()

    def copies(self) -> Iterator[StoredCopy]:
        """Yield all committed copies."""
        for tier in (self._disk, self._memory):
            for copy in tier.values():
                yield StoredCopy(copy.ref, copy.tier)

    def copies_of(self, blocks: Iterable[BlockKey]) -> Iterator[StoredCopy]:
        """Yield the committed copies of some blocks."""
        for key in blocks:
            copy = self._memory.get(key) or self._disk.get(key)
            if copy is not None:
                yield StoredCopy(copy.ref, copy.tier)

    def holds(self, key: BlockKey) -> bool:
        """Whether a block is committed here."""
        return key in self._memory or key in self._disk

    def begin(self, key: BlockKey) -> int | StoreRefusal:
        """Open a write; returns its generation."""
        if not self.alive:
            return StoreRefusal.DEAD
        if self.refuses_writes:
            return StoreRefusal.FULL
        self._generation += 1
        self.writing[self._generation] = key
        return self._generation

    def abort(self, generation: int) -> None:
        """Drop a write that was not committed."""
        self.writing.pop(generation, None)

    def commit(self, generation: int, payload: bytes,
               digest: str) -> BlockRef | StoreRefusal:
        """Make a write readable if its content arrived whole."""
        if not self.alive:
            return StoreRefusal.DEAD
        key = self.writing.pop(generation, None)
        if key is None:
            return StoreRefusal.GONE
        if checksum(payload) != digest:
            return StoreRefusal.CORRUPT
        ref = BlockRef(key, generation, BLOCK_LENGTH_BYTES)
        self._remove(key)
        self._place_in_memory(_Copy(ref, Stored(payload, digest)))
        return ref

    def tier(self, ref: BlockRef) -> Tier | StoreRefusal:
        """Return where a copy is, if it is still the one named."""
        if not self.alive:
            return StoreRefusal.DEAD
        copy = self._memory.get(ref.key) or self._disk.get(ref.key)
        if copy is None or copy.ref != ref:
            return StoreRefusal.GONE
        return copy.tier

    def read(self, ref: BlockRef) -> Stored | StoreRefusal:
        """Return a committed copy's content; it counts as a use."""
        where = self.tier(ref)
        if isinstance(where, StoreRefusal):
            return where
        copy = self._memory.get(ref.key) or self._disk[ref.key]
        self._remove(ref.key, notify=False)
        self._place_in_memory(copy)
        return copy.stored

    async def promote_blocks(self, refs: Iterable[BlockRef]) -> None:
        """Bring copies from disk into memory."""
        for ref in refs:
            if self.tier(ref) is Tier.DISK:
                await self.disk.move(ref.length_bytes)
                self.read(ref)

    def free(self, key: BlockKey) -> None:
        """Free a block's copy."""
        self._remove(key)

    def crash(self) -> None:
        """Lose all it holds and answers no more."""
        self.alive = False
        self._memory.clear()
        self._disk.clear()
        self.writing.clear()

    def restart(self) -> None:
        """Begin a new life, empty; generations go on from the clock."""
        self.alive = True
        now = asyncio.get_running_loop().time()
        self._generation = max(self._generation, int(now * 1_000_000))
        for watcher in self.watchers:
            watcher.restarted()

    def _remove(self, key: BlockKey, notify: bool = True) -> None:
        copy = self._memory.pop(key, None) or self._disk.pop(key, None)
        if copy is not None and notify:
            for watcher in self.watchers:
                watcher.freed(copy.ref)

    def _place_in_memory(self, copy: _Copy) -> None:
        copy.tier = Tier.MEMORY
        self._memory[copy.ref.key] = copy
        self._notify(copy)
        if len(self._memory) <= self.memory_blocks:
            return
        _, spilled = self._memory.popitem(last=False)
        spilled.tier = Tier.DISK
        self._disk[spilled.ref.key] = spilled
        self._notify(spilled)
        if len(self._disk) > self.disk_blocks:
            _, freed = self._disk.popitem(last=False)
            for watcher in self.watchers:
                watcher.freed(freed.ref)

    def _notify(self, copy: _Copy) -> None:
        for watcher in self.watchers:
            watcher.placed(copy.ref, copy.tier)
