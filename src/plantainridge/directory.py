"""Best-effort directory of the blocks that endpoints and stores hold.

Holders publish their changes with a delay, and changes can be lost. After a
gap a holder's entries stay in use but may be wrong until a complete listing
replaces them. A wrong entry costs a recomputation or a fetch that finds
nothing; it cannot cause a wrong read, since a block's key identifies its owner
and its content.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import Final, Generic, TypeVar

import attrs

from plantainridge.events import (CacheChanged, CacheListed, StoreChanged,
                                  StoredCopy, StoreListed)
from plantainridge.ids import BlockKey, EndpointId, StoreId

# Most entries (a block at a holder) of one VM, for endpoints and for stores.
MAX_ENDPOINT_ENTRIES: Final = 150_000
MAX_STORE_ENTRIES: Final = 100_000
# Most changes of one holder that are buffered while a listing is awaited.
MAX_PENDING_CHANGES: Final = 64
# Time to wait for a listing before it is requested again, in s.
LISTING_TIMEOUT_S: Final = 5.0

HolderT = TypeVar('HolderT', bound=str)


@attrs.frozen
class _Change:
    """A change to one holder's blocks, or a listing of them.

    Attributes:
        incarnation: Incarnation of the holder that published it.
        seq: Sequence number of the change, from 0 in each incarnation.
        added: Blocks that the holder now has; stores give their copies.
        removed: Blocks that the holder no longer has.
    """

    incarnation: int
    seq: int
    added: tuple[tuple[BlockKey, StoredCopy | None], ...]
    removed: tuple[BlockKey, ...]


@attrs.define
class _Feed:
    """State of one holder's stream of changes.

    Attributes:
        blocks: Blocks that it holds, least recently updated first.
        incarnation: Incarnation of the holder that is followed.
        seq: Sequence number of the last change applied; -1 before the first.
        has_gap: Whether a change is missing.
        requested_at: Loop time at which a listing was last requested, in s.
        pending: Changes that were received since the gap.
    """

    blocks: dict[BlockKey, StoredCopy | None] = attrs.field(factory=dict)
    incarnation: int = 0
    seq: int = -1
    has_gap: bool = False
    requested_at: float = float('-inf')
    pending: list[_Change] = attrs.field(factory=list)


class BlockIndex(Generic[HolderT]):
    """Bounded index from blocks to their holders, for one kind of holder.

    Attributes:
        max_entries: Most entries (a block at a holder) to keep.
        entries: Number of entries.
        feeds: State of each holder's stream of changes.
        holders: Holders of each block.
    """

    def __init__(self, max_entries: int) -> None:
        self.max_entries = max_entries
        self.entries = 0
        self.feeds: dict[HolderT, _Feed] = {}
        self.holders: dict[BlockKey, frozenset[HolderT]] = {}
        # Blocks with the same holders share one set, which keeps entries
        # small.
        self._shared_sets: dict[frozenset[HolderT], frozenset[HolderT]] = {}

    def feed(self, holder: HolderT) -> _Feed:
        """Return a holder's feed; create it for an unknown holder."""
        feed = self.feeds.get(holder)
        if feed is None:
            feed = self.feeds[holder] = _Feed()
        return feed

    def add(self,
            holder: HolderT,
            key: BlockKey,
            copy: StoredCopy | None = None) -> None:
        """Record that a holder has a block."""
        blocks = self.feed(holder).blocks
        if blocks.pop(key, self) is self:
            self.entries += 1
            previous = self.holders.get(key, frozenset())
            self.holders[key] = self._intern(previous | {holder})
        blocks[key] = copy
        if self.entries > self.max_entries:
            self._evict_oldest()

    def remove(self, holder: HolderT, key: BlockKey) -> None:
        """Record that a holder no longer has a block."""
        if self.feed(holder).blocks.pop(key, self) is self:
            return
        self.entries -= 1
        remaining = self.holders[key] - {holder}
        if remaining:
            self.holders[key] = self._intern(remaining)
        else:
            del self.holders[key]

    def clear(self, holder: HolderT) -> None:
        """Remove all blocks of a holder."""
        for key in list(self.feed(holder).blocks):
            self.remove(holder, key)

    def remove_holder(self, holder: HolderT) -> None:
        """Remove a holder that is no longer configured."""
        self.clear(holder)
        del self.feeds[holder]

    def apply_change(self, holder: HolderT, change: _Change) -> None:
        """Apply a change; a missing change before it marks a gap.

        A change of an earlier incarnation, or one that was applied already, is
        ignored.
        """
        feed = self._current_feed(holder, change.incarnation)
        if change.incarnation < feed.incarnation or change.seq <= feed.seq:
            return
        if change.seq > feed.seq + 1:
            feed.has_gap = True
        feed.seq = change.seq
        if feed.has_gap:
            feed.pending.append(change)
            del feed.pending[:-MAX_PENDING_CHANGES]
        self._apply(holder, change)

    def apply_listing(self, holder: HolderT, listing: _Change) -> None:
        """Replace a holder's entries, then apply the later changes.

        A listing is ignored if a change after it is missing.
        """
        feed = self._current_feed(holder, listing.incarnation)
        if listing.incarnation < feed.incarnation:
            return
        later = [change for change in feed.pending if change.seq > listing.seq]
        expected_seqs = list(range(listing.seq + 1, feed.seq + 1))
        if [change.seq for change in later] != expected_seqs:
            return
        self.clear(holder)
        feed.has_gap = False
        feed.pending.clear()
        feed.seq = max(feed.seq, listing.seq)
        for change in (listing, *later):
            self._apply(holder, change)

    def listings_due(self, now: float) -> Iterator[HolderT]:
        """Yield the holders to request a listing from now."""
        for holder, feed in self.feeds.items():
            if feed.has_gap and now - feed.requested_at >= LISTING_TIMEOUT_S:
                feed.requested_at = now
                yield holder

    def first_holders(self, blocks: Sequence[BlockKey]) -> list[HolderT]:
        """Return the holders of a chain's first block, sorted."""
        if not blocks:
            return []
        return sorted(self.holders.get(blocks[0], ()))

    def prefix_lengths(self, blocks: Sequence[BlockKey]) -> dict[HolderT, int]:
        """Return the number of leading blocks of a chain at each holder.

        Holders without the first block are left out.
        """
        lengths: dict[HolderT, int] = {}
        prefix_holders: frozenset[HolderT] = frozenset()
        for count, key in enumerate(blocks):
            key_holders = self.holders.get(key)
            if key_holders is None:
                key_holders = frozenset()
            if count == 0:
                prefix_holders = key_holders
            elif key_holders is not prefix_holders:
                for holder in prefix_holders - key_holders:
                    lengths[holder] = count
                prefix_holders = prefix_holders & key_holders
            if not prefix_holders:
                return lengths
        for holder in prefix_holders:
            lengths[holder] = len(blocks)
        return lengths

    def _current_feed(self, holder: HolderT, incarnation: int) -> _Feed:
        """Return a holder's feed, reset if the incarnation is a later one."""
        feed = self.feed(holder)
        if incarnation > feed.incarnation:
            self.clear(holder)
            feed = self.feeds[holder] = _Feed(incarnation=incarnation)
        return feed

    def _apply(self, holder: HolderT, change: _Change) -> None:
        for key in change.removed:
            self.remove(holder, key)
        for key, copy in change.added:
            self.add(holder, key, copy)

    def _intern(self, holders: frozenset[HolderT]) -> frozenset[HolderT]:
        if len(self._shared_sets) > self.max_entries:
            self._shared_sets.clear()
        return self._shared_sets.setdefault(holders, holders)

    def _evict_oldest(self) -> None:
        largest = max(self.feeds, key=lambda each: len(self.feeds[each].blocks))
        self.remove(largest, next(iter(self.feeds[largest].blocks)))


class Directory:
    """Blocks held by endpoints and by stores.

    Attributes:
        endpoints: Blocks in the KV caches of engines.
        stores: Blocks at stores, with their copies.
    """

    def __init__(self) -> None:
        self.endpoints: BlockIndex[EndpointId] = BlockIndex(
            MAX_ENDPOINT_ENTRIES)
        self.stores: BlockIndex[StoreId] = BlockIndex(MAX_STORE_ENTRIES)

    def copies(self, store: StoreId,
               blocks: Iterable[BlockKey]) -> list[StoredCopy]:
        """Return a store's copies of the leading blocks that it holds."""
        held = self.stores.feed(store).blocks
        copies: list[StoredCopy] = []
        for key in blocks:
            copy = held.get(key)
            if copy is None:
                break
            copies.append(copy)
        return copies

    def on_cache_changed(self, event: CacheChanged) -> None:
        """Apply a change from an endpoint's event stream."""
        self.endpoints.apply_change(
            event.endpoint,
            _Change(event.incarnation, event.seq,
                    tuple((key, None) for key in event.added), event.removed))

    def on_cache_listed(self, event: CacheListed) -> None:
        """Apply a complete listing of an endpoint's cache."""
        self.endpoints.apply_listing(
            event.endpoint,
            _Change(event.incarnation, event.seq,
                    tuple((key, None) for key in event.blocks), ()))

    def on_store_changed(self, event: StoreChanged) -> None:
        """Apply a change from a store's event stream."""
        added = tuple((copy.ref.key, copy) for copy in event.copies)
        self.stores.apply_change(
            event.store,
            _Change(event.incarnation, event.seq, added,
                    tuple(ref.key for ref in event.freed)))

    def on_store_listed(self, event: StoreListed) -> None:
        """Apply a complete listing of a store's copies."""
        added = tuple((copy.ref.key, copy) for copy in event.copies)
        self.stores.apply_listing(
            event.store, _Change(event.incarnation, event.seq, added, ()))
