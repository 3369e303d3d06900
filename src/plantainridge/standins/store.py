"""Model of a store VM: memory and disk tiers behind one link of limited rate.

A write becomes readable by its commit. Each write has a generation that is
never reused; a read names key, generation and length, so that a freed or
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
    """Reasons for which a store refuses an operation."""

    DEAD = 'dead'
    FULL = 'full'
    GONE = 'gone'
    CORRUPT = 'corrupt'


def payload_of(key: BlockKey) -> bytes:
    """Return the short stand-in for a block's content."""
    return hashlib.blake2b(key.encode(), digest_size=16).digest()


def checksum(payload: bytes) -> str:
    """Return the checksum of a block's content."""
    return hashlib.blake2b(payload, digest_size=8).hexdigest()


class Link:
    """Connection that moves data sequentially at a limited rate.

    Attributes:
        bytes_per_s: Nominal rate.
        slowdown: Factor by which the link is currently slower.
        moved_bytes: Bytes moved so far.
        free_at: Loop time at which the link becomes idle, in s.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.slowdown = 1.0
        self.moved_bytes = 0
        self.free_at = 0.0

    async def move(self, size_bytes: int) -> None:
        """Wait until the link has moved a piece of data."""
        now = asyncio.get_running_loop().time()
        start = max(now, self.free_at)
        self.free_at = start + size_bytes * self.slowdown / self.bytes_per_s
        self.moved_bytes += size_bytes
        await asyncio.sleep(self.free_at - now)


@attrs.frozen
class Stored:
    """A committed block's content and checksum."""

    payload: bytes = attrs.field(repr=False)
    checksum: str


@attrs.define
class _Copy:
    ref: BlockRef
    stored: Stored
    tier: Tier = Tier.MEMORY


class StoreWatcher(abc.ABC):
    """Observer of the changes in a store."""

    @abc.abstractmethod
    def placed(self, ref: BlockRef, tier: Tier) -> None:
        """Handle a copy that was committed or moved to another tier."""

    @abc.abstractmethod
    def freed(self, ref: BlockRef) -> None:
        """Handle a copy that was freed."""

    @abc.abstractmethod
    def restarted(self) -> None:
        """Handle the loss of all copies and the start of a new incarnation."""


class StoreModel:
    """One store on the running loop.

    Attributes:
        memory_blocks: Capacity of its memory, in blocks.
        disk_blocks: Capacity of its disk, in blocks.
        link: Its link to all endpoints.
        disk: Its disk's read path.
        queued_bytes: Total size of the running transfers.
        transfers: Number of running transfers.
        writing: Keys of uncommitted writes by generation.
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
        """Whether a block has a committed copy here."""
        return key in self._memory or key in self._disk

    def begin(self, key: BlockKey) -> int | StoreRefusal:
        """Begin a write and return its generation."""
        if not self.alive:
            return StoreRefusal.DEAD
        if self.refuses_writes:
            return StoreRefusal.FULL
        self._generation += 1
        self.writing[self._generation] = key
        return self._generation

    def abort(self, generation: int) -> None:
        """Drop an uncommitted write."""
        self.writing.pop(generation, None)

    def commit(self, generation: int, payload: bytes,
               digest: str) -> BlockRef | StoreRefusal:
        """Commit a write if its content matches the checksum."""
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
        """Return a copy's tier, if it is still the named generation."""
        if not self.alive:
            return StoreRefusal.DEAD
        copy = self._memory.get(ref.key) or self._disk.get(ref.key)
        if copy is None or copy.ref != ref:
            return StoreRefusal.GONE
        return copy.tier

    def read(self, ref: BlockRef) -> Stored | StoreRefusal:
        """Return a committed copy's content and mark it as recently used."""
        where = self.tier(ref)
        if isinstance(where, StoreRefusal):
            return where
        copy = self._memory.get(ref.key) or self._disk[ref.key]
        self._remove(ref.key, notify=False)
        self._place_in_memory(copy)
        return copy.stored

    async def promote_blocks(self, refs: Iterable[BlockRef]) -> None:
        """Move copies from disk to memory."""
        for ref in refs:
            if self.tier(ref) is Tier.DISK:
                await self.disk.move(ref.length_bytes)
                self.read(ref)

    def free(self, key: BlockKey) -> None:
        """Free a block's copy."""
        self._remove(key)

    def crash(self) -> None:
        """Lose all copies and refuse every operation until a restart."""
        self.alive = False
        self._memory.clear()
        self._disk.clear()
        self.writing.clear()

    def restart(self) -> None:
        """Restart empty, with generations from the clock so none is reused."""
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
