"""Tests of who is believed to hold which blocks."""

import random
import unittest

from plantainridge.directory import Directory, BlockIndex
from plantainridge.events import (BlockRef, CacheChanged, CacheListed,
                                  StoreChanged, StoredCopy, Tier)
from plantainridge.ids import BlockKey, EndpointId, StoreId

E0, E1 = EndpointId('e0'), EndpointId('e1')
KEYS = tuple(BlockKey(f'b{i}') for i in range(6))


class PrefixesTest(unittest.TestCase):
    """Only leading blocks without a gap count."""

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

    def test_agrees_with_a_plain_table(self) -> None:
        rng = random.Random(3)
        for _ in range(200):
            holdings: BlockIndex[EndpointId] = BlockIndex(10_000)
            table: dict[EndpointId, set[BlockKey]] = {E0: set(), E1: set()}
            for _ in range(rng.randrange(30)):
                holder, key = rng.choice([E0, E1]), rng.choice(KEYS)
                if rng.random() < 0.7:
                    holdings.add(holder, key)
                    table[holder].add(key)
                else:
                    holdings.remove(holder, key)
                    table[holder].discard(key)
            wanted = {}
            for holder, held in table.items():
                count = next(
                    (i for i, key in enumerate(KEYS) if key not in held),
                    len(KEYS))
                if count:
                    wanted[holder] = count
            self.assertEqual(holdings.prefix_lengths(KEYS), wanted)
            self.assertEqual(holdings.entries,
                             sum(len(held) for held in table.values()))


class GapTest(unittest.TestCase):
    """A missed piece makes a holder unsure until a listing replaces it."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.directory.on_cache_changed(CacheChanged(E0, 0, KEYS[:2], ()))

    def test_asks_for_a_listing_once_in_a_while(self) -> None:
        wanted = self.directory.endpoints.listings_wanted
        self.assertEqual(list(wanted(0.0)), [])
        self.directory.on_cache_changed(CacheChanged(E0, 2, (KEYS[2],), ()))
        self.assertEqual(list(wanted(0.0)), [E0])
        self.assertEqual(list(wanted(1.0)), [])
        self.assertEqual(list(wanted(6.0)), [E0])

    def test_a_listing_replaces_and_later_pieces_still_count(self) -> None:
        self.directory.on_cache_changed(CacheChanged(E0, 2, (KEYS[2],), ()))
        self.directory.on_cache_changed(CacheChanged(E0, 3, (KEYS[3],), ()))
        self.directory.on_cache_listed(
            CacheListed(E0, 2, (KEYS[0], KEYS[2], KEYS[4])))
        feed = self.directory.endpoints.feed(E0)
        self.assertEqual(set(feed.blocks), {KEYS[0], KEYS[2], KEYS[3], KEYS[4]})
        self.assertFalse(feed.unsure)

    def test_a_listing_older_than_the_hole_is_not_enough(self) -> None:
        self.directory.on_cache_changed(CacheChanged(E0, 2, (KEYS[2],), ()))
        self.directory.on_cache_listed(CacheListed(E0, 0, KEYS[:2]))
        self.assertTrue(self.directory.endpoints.feed(E0).unsure)

    def test_a_new_life_forgets_the_old_one(self) -> None:
        self.directory.on_cache_changed(
            CacheChanged(E0, 0, (KEYS[5],), (), incarnation=1))
        self.directory.on_cache_changed(CacheChanged(E0, 1, (KEYS[0],), ()))
        self.assertEqual(list(self.directory.endpoints.feed(E0).blocks),
                         [KEYS[5]])

    def test_a_piece_that_comes_twice_counts_once(self) -> None:
        self.directory.on_cache_changed(CacheChanged(E0, 1, (), (KEYS[0],)))
        self.directory.on_cache_changed(CacheChanged(E0, 0, KEYS[:2], ()))
        self.assertEqual(list(self.directory.endpoints.feed(E0).blocks),
                         [KEYS[1]])


class BoundTest(unittest.TestCase):
    """Memory stays bounded, and the oldest news goes first."""

    def test_never_keeps_more_than_the_bound(self) -> None:
        holdings: BlockIndex[EndpointId] = BlockIndex(10)
        for number in range(50):
            holdings.add(E0 if number % 3 else E1, BlockKey(f'k{number}'))
            self.assertLessEqual(holdings.entries, 10)
        self.assertIn(BlockKey('k49'), holdings.holders)
        self.assertNotIn(BlockKey('k0'), holdings.holders)
        self.assertEqual(len(holdings.holders), 10)


class CopiesTest(unittest.TestCase):
    """A store's copies are named with their generation."""

    def test_the_newest_generation_replaces_the_old(self) -> None:
        store = StoreId('k0')
        directory = Directory()
        old, new = BlockRef(KEYS[0], 1, 10), BlockRef(KEYS[0], 2, 10)
        for seq, ref in enumerate((old, new)):
            directory.on_store_changed(
                StoreChanged(store, seq, (StoredCopy(ref, Tier.MEMORY),), ()))
        self.assertEqual([c.ref for c in directory.copies(store, KEYS)], [new])
