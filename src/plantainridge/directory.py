"""Which endpoint or store holds which blocks: a hint, never a promise.

Holders publish their changes late and with gaps. After a gap a holder's
entries stay in use but are unsure, until a new whole listing replaces them.
A wrong entry costs a recomputation or a fetch that finds nothing; it cannot
cause a wrong read, since a block's key names its owner and its content.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import Final, Generic, TypeVar

import attrs

from plantainridge.events import (CacheChanged, CacheListed, StoreChanged,
                                  StoredCopy, StoreListed)
from plantainridge.ids import BlockKey, EndpointId, StoreId

# Entries (a block at a holder) kept by one VM for endpoints, and for stores.
MAX_ENDPOINT_ENTRIES: Final = 150_000
MAX_STORE_ENTRIES: Final = 100_000
# Pieces kept aside while a listing is awaited.
MAX_PENDING_PIECES: Final = 64
# How long a listing is awaited before it is asked for again, in s.
LISTING_RETRY_S: Final = 5.0

H = TypeVar('H', bound=str)


@attrs.frozen
class _Piece:
    """A change of one holder's blocks, in one of its lives."""

    incarnation: int
    seq: int
    added: tuple[tuple[BlockKey, StoredCopy | None], ...]
    removed: tuple[BlockKey, ...]


@attrs.define
class _Feed:
    """How far one holder's stream of changes was followed.

    Attributes:
        blocks: What it holds, oldest news first.
        incarnation: Which incarnation of the holder is followed.
        seq: The last piece taken in, or -1 before the first.
        unsure: Whether a piece is missing.
        asked_at: Loop time at which a listing was last asked for, in s.
        pending: Pieces that came while it was unsure.
    """

    blocks: dict[BlockKey, StoredCopy | None] = attrs.field(factory=dict)
    incarnation: int = 0
    seq: int = -1
    unsure: bool = False
    asked_at: float = float('-inf')
    pending: list[_Piece] = attrs.field(factory=list)


class BlockIndex(Generic[H]):
    """Who holds which block, for one kind of holder, in bounded memory.

    Attributes:
        entries: Number of entries kept; at most `max_entries`.
    """

    def __init__(self, max_entries: int) -> None:
        self.max_entries = max_entries
        self.entries = 0
        self.feeds: dict[H, _Feed] = {}
        self.holders: dict[BlockKey, frozenset[H]] = {}
        # One shared set for each combination of holders keeps entries small.
        self._sets: dict[frozenset[H], frozenset[H]] = {}

    def feed(self, holder: H) -> _Feed:
        """Returns a holder's feed, new and empty if it is unknown."""
        found = self.feeds.get(holder)
        if found is None:
            found = self.feeds[holder] = _Feed()
        return found

    def add(self,
            holder: H,
            key: BlockKey,
            copy: StoredCopy | None = None) -> None:
        """Notes that a holder has a block."""
        blocks = self.feed(holder).blocks
        if blocks.pop(key, self) is self:
            self.entries += 1
            before = self.holders.get(key, frozenset())
            self.holders[key] = self._shared(before | {holder})
        blocks[key] = copy
        if self.entries > self.max_entries:
            self._drop_oldest()

    def remove(self, holder: H, key: BlockKey) -> None:
        """Notes that a holder no longer has a block."""
        if self.feed(holder).blocks.pop(key, self) is self:
            return
        self.entries -= 1
        rest = self.holders[key] - {holder}
        if rest:
            self.holders[key] = self._shared(rest)
        else:
            del self.holders[key]

    def clear(self, holder: H) -> None:
        """Forgets all that a holder had."""
        for key in list(self.feed(holder).blocks):
            self.remove(holder, key)

    def forget(self, holder: H) -> None:
        """Forgets a holder that is no longer configured."""
        self.clear(holder)
        del self.feeds[holder]

    def take_piece(self, holder: H, piece: _Piece) -> None:
        """Takes in a piece; a hole before it makes the holder unsure."""
        feed = self._feed_of(holder, piece.incarnation)
        if piece.incarnation < feed.incarnation or piece.seq <= feed.seq:
            return
        if piece.seq > feed.seq + 1:
            feed.unsure = True
        feed.seq = piece.seq
        if feed.unsure:
            feed.pending.append(piece)
            del feed.pending[:-MAX_PENDING_PIECES]
        self._apply(holder, piece)

    def take_listing(self, holder: H, listing: _Piece) -> None:
        """Replaces a holder's entries, then applies the pieces after it."""
        feed = self._feed_of(holder, listing.incarnation)
        if listing.incarnation < feed.incarnation:
            return
        later = [piece for piece in feed.pending if piece.seq > listing.seq]
        wanted = list(range(listing.seq + 1, feed.seq + 1))
        if [piece.seq for piece in later] != wanted:
            return
        self.clear(holder)
        feed.unsure = False
        feed.pending.clear()
        feed.seq = max(feed.seq, listing.seq)
        for piece in (listing, *later):
            self._apply(holder, piece)

    def listings_wanted(self, now: float) -> Iterator[H]:
        """Yields the holders that must be asked for a listing now."""
        for holder, feed in self.feeds.items():
            if feed.unsure and now - feed.asked_at >= LISTING_RETRY_S:
                feed.asked_at = now
                yield holder

    def first_holders(self, blocks: Sequence[BlockKey]) -> list[H]:
        """Returns the holders of a chain's first block, in a fixed order."""
        if not blocks:
            return []
        return sorted(self.holders.get(blocks[0], ()))

    def prefix_lengths(self, blocks: Sequence[BlockKey]) -> dict[H, int]:
        """Returns how many leading blocks each holder of the first has."""
        found: dict[H, int] = {}
        alive: frozenset[H] = frozenset()
        for count, key in enumerate(blocks):
            here = self.holders.get(key)
            if here is None:
                here = frozenset()
            if count == 0:
                alive = here
            elif here is not alive:
                for holder in alive - here:
                    found[holder] = count
                alive = alive & here
            if not alive:
                return found
        for holder in alive:
            found[holder] = len(blocks)
        return found

    def _feed_of(self, holder: H, incarnation: int) -> _Feed:
        """Returns a holder's feed, begun anew if its life is a later one."""
        feed = self.feed(holder)
        if incarnation > feed.incarnation:
            self.clear(holder)
            feed = self.feeds[holder] = _Feed(incarnation=incarnation)
        return feed

    def _apply(self, holder: H, piece: _Piece) -> None:
        for key in piece.removed:
            self.remove(holder, key)
        for key, copy in piece.added:
            self.add(holder, key, copy)

    def _shared(self, holders: frozenset[H]) -> frozenset[H]:
        if len(self._sets) > self.max_entries:
            self._sets.clear()
        return self._sets.setdefault(holders, holders)

    def _drop_oldest(self) -> None:
        largest = max(self.feeds, key=lambda each: len(self.feeds[each].blocks))
        self.remove(largest, next(iter(self.feeds[largest].blocks)))


class Directory:
    """Holdings of endpoints and of stores."""

    def __init__(self) -> None:
        self.endpoints: BlockIndex[EndpointId] = BlockIndex(
            MAX_ENDPOINT_ENTRIES)
        self.stores: BlockIndex[StoreId] = BlockIndex(MAX_STORE_ENTRIES)

    def copies(self, store: StoreId,
               blocks: Iterable[BlockKey]) -> list[StoredCopy]:
        """Returns a store's copies of leading blocks, up to the first gap."""
        kept = self.stores.feed(store).blocks
        found: list[StoredCopy] = []
        for key in blocks:
            copy = kept.get(key)
            if copy is None:
                break
            found.append(copy)
        return found

    def on_cache_changed(self, event: CacheChanged) -> None:
        """Takes in a piece of an endpoint's stream."""
        self.endpoints.take_piece(
            event.endpoint,
            _Piece(event.incarnation, event.seq,
                   tuple((key, None) for key in event.added), event.removed))

    def on_cache_listed(self, event: CacheListed) -> None:
        """Takes in an endpoint's listing."""
        self.endpoints.take_listing(
            event.endpoint,
            _Piece(event.incarnation, event.seq,
                   tuple((key, None) for key in event.blocks), ()))

    def on_store_changed(self, event: StoreChanged) -> None:
        """Takes in a piece of a store's stream."""
        kept = tuple((copy.ref.key, copy) for copy in event.copies)
        self.stores.take_piece(
            event.store,
            _Piece(event.incarnation, event.seq, kept,
                   tuple(ref.key for ref in event.freed)))

    def on_store_listed(self, event: StoreListed) -> None:
        """Takes in a store's listing."""
        kept = tuple((copy.ref.key, copy) for copy in event.copies)
        self.stores.take_listing(event.store,
                                 _Piece(event.incarnation, event.seq, kept, ()))
