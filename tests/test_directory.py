"""Tests of the directory of blocks held by endpoints and stores."""

import random
import unittest

from plantainridge.directory import BlockIndex, Directory
from plantainridge.events import (BlockRef, CacheChanged, CacheListed,
                                  StoreChanged, StoredCopy, Tier)
from plantainridge.ids import BlockKey, EndpointId, StoreId

E0, E1 = EndpointId('e0'), EndpointId('e1')
KEYS = tuple(BlockKey(f'b{i}') for i in range(6))


class PrefixesTest(unittest.TestCase):
    """Only leading blocks without a gap are counted."""

    def test_counts_leading_blocks_per_holder(self) -> None:
        directory = Directory()
        directory.on_cache_changed(CacheChanged(E0, 0, KEYS[:4], ()))
        directory.on_cache_changed(
            CacheChanged(E1, 0, (KEYS[0], KEYS[1], KEYS[3]), ()))
        self.assertEqual(directory.endpoints.prefix_lengths(KEYS), {
            E0: 4,
            E1: 2
        })
        directory.on_cache_changed(CacheChanged(E0, 1, (), (KEYS[0],)))
        self.assertEqual(directory.endpoints.prefix_lengths(KEYS), {E1: 2})

    def test_agrees_with_a_reference_table(self) -> None:
        rng = random.Random(3)
        for _ in range(200):
            index: BlockIndex[EndpointId] = BlockIndex(10_000)
            table: dict[EndpointId, set[BlockKey]] = {E0: set(), E1: set()}
            for _ in range(rng.randrange(30)):
                holder, key = rng.choice([E0, E1]), rng.choice(KEYS)
                if rng.random() < 0.7:
                    index.add(holder, key)
                    table[holder].add(key)
                else:
                    index.remove(holder, key)
                    table[holder].discard(key)
            lengths = {}
            for holder, held in table.items():
                count = next(
                    (i for i, key in enumerate(KEYS) if key not in held),
                    len(KEYS))
                if count:
                    lengths[holder] = count
            self.assertEqual(index.prefix_lengths(KEYS), lengths)
            self.assertEqual(index.entries,
                             sum(len(held) for held in table.values()))


class GapTest(unittest.TestCase):
    """A missing change marks a gap until a listing replaces the entries."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.directory.on_cache_changed(CacheChanged(E0, 0, KEYS[:2], ()))

    def test_requests_a_listing_again_after_a_timeout(self) -> None:
        listings_due = self.directory.endpoints.listings_due
        self.assertEqual(list(listings_due(0.0)), [])
        self.directory.on_cache_changed(CacheChanged(E0, 2, (KEYS[2],), ()))
        self.assertEqual(list(listings_due(0.0)), [E0])
        self.assertEqual(list(listings_due(1.0)), [])
        self.assertEqual(list(listings_due(6.0)), [E0])

    def test_a_listing_replaces_entries_and_keeps_later_changes(self) -> None:
        self.directory.on_cache_changed(CacheChanged(E0, 2, (KEYS[2],), ()))
        self.directory.on_cache_changed(CacheChanged(E0, 3, (KEYS[3],), ()))
        self.directory.on_cache_listed(
            CacheListed(E0, 2, (KEYS[0], KEYS[2], KEYS[4])))
        feed = self.directory.endpoints.feed(E0)
        self.assertEqual(set(feed.blocks), {KEYS[0], KEYS[2], KEYS[3], KEYS[4]})
        self.assertFalse(feed.has_gap)

    def test_a_listing_older_than_the_gap_does_not_close_it(self) -> None:
        self.directory.on_cache_changed(CacheChanged(E0, 2, (KEYS[2],), ()))
        self.directory.on_cache_listed(CacheListed(E0, 0, KEYS[:2]))
        self.assertTrue(self.directory.endpoints.feed(E0).has_gap)

    def test_a_new_incarnation_replaces_the_old_one(self) -> None:
        self.directory.on_cache_changed(
            CacheChanged(E0, 0, (KEYS[5],), (), incarnation=1))
        self.directory.on_cache_changed(CacheChanged(E0, 1, (KEYS[0],), ()))
        self.assertEqual(list(self.directory.endpoints.feed(E0).blocks),
                         [KEYS[5]])

    def test_ignores_a_repeated_change(self) -> None:
        self.directory.on_cache_changed(CacheChanged(E0, 1, (), (KEYS[0],)))
        self.directory.on_cache_changed(CacheChanged(E0, 0, KEYS[:2], ()))
        self.assertEqual(list(self.directory.endpoints.feed(E0).blocks),
                         [KEYS[1]])


class BoundTest(unittest.TestCase):
    """The number of entries is bounded, and the oldest are evicted first."""

    def test_keeps_no_more_entries_than_the_bound(self) -> None:
        index: BlockIndex[EndpointId] = BlockIndex(10)
        for number in range(50):
            index.add(E0 if number % 3 else E1, BlockKey(f'k{number}'))
            self.assertLessEqual(index.entries, 10)
        self.assertIn(BlockKey('k49'), index.holders)
        self.assertNotIn(BlockKey('k0'), index.holders)
        self.assertEqual(len(index.holders), 10)


class CopiesTest(unittest.TestCase):
    """Copies at a store carry their generation."""

    def test_the_newest_generation_replaces_the_old(self) -> None:
        store = StoreId('k0')
        directory = Directory()
        old, new = BlockRef(KEYS[0], 1, 10), BlockRef(KEYS[0], 2, 10)
        for seq, ref in enumerate((old, new)):
            directory.on_store_changed(
                StoreChanged(store, seq, (StoredCopy(ref, Tier.MEMORY),), ()))
        self.assertEqual([c.ref for c in directory.copies(store, KEYS)], [new])
