"""Tests of the default routing policy and its costs."""

import random
import unittest

from plantainridge import lowest_cost
from plantainridge.config import Endpoint, EndpointKind
from plantainridge.directory import Directory
from plantainridge.endpoints import EndpointView, EngineIndex, ModelEngines
from plantainridge.events import (BlockRef, CacheChanged, LoadReported, Prompt,
                                  StoreChanged, StoredCopy, Tier)
from plantainridge.ids import (BlockKey, DcId, EndpointId, ModelId, StoreId,
                               TeamId, WeightVersion)
from plantainridge.links import LinkTable
from plantainridge.lowest_cost import LowestCost
from plantainridge.routing import Choice, NoEndpoint, Query, RoutingInputs

LOCAL_DC, REMOTE_DC = DcId('neihu'), DcId('xinyi')
MODEL, VERSION = ModelId('report'), WeightVersion('v1')
KEYS = tuple(BlockKey(f'b{i}') for i in range(20))
STORE = StoreId('k0')
PREFILL_TOKENS_PER_S = 10_000.0


def make_view(name: str, dc: DcId = LOCAL_DC, waiting: int = 0) -> EndpointView:
    """Return the view of an engine that reported its load."""
    view = EndpointView(
        Endpoint(EndpointId(name), dc, EndpointKind.ENGINE, MODEL, ''))
    view.record_report(
        LoadReported(view.id, 0.0, 0, waiting, PREFILL_TOKENS_PER_S, VERSION))
    return view


class ChooseTest(unittest.TestCase):
    """The plan with the lowest expected cost is chosen."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.links = LinkTable()
        self.links.add(STORE, 1e9)

    def choose(self,
               views: list[EndpointView],
               weight: float = 0.0,
               seed: int = 1,
               now: float = 0.0) -> Choice | NoEndpoint:
        """Have the policy choose for a prompt of twenty blocks."""
        table = {view.id: view for view in views}
        engines: ModelEngines = EngineIndex().engines(table, MODEL, LOCAL_DC)
        query = Query(Prompt('q', 20_100, KEYS), TeamId('t'), LOCAL_DC,
                      frozenset(), weight, now)
        return LowestCost().choose(
            query,
            RoutingInputs(engines, self.directory, self.links,
                          random.Random(seed)))

    def choose_endpoint(self,
                        views: list[EndpointView],
                        weight: float = 0.0) -> Choice:
        """Return the choice, which must name an endpoint."""
        choice = self.choose(views, weight)
        assert isinstance(choice, Choice)
        return choice

    def add_cached_blocks(self, name: str, count: int = 20) -> None:
        """Add leading blocks to an endpoint's cache."""
        self.directory.on_cache_changed(
            CacheChanged(EndpointId(name), 0, KEYS[:count], ()))

    def add_stored_blocks(self, block_bytes: int) -> None:
        """Add all blocks to the store."""
        self.directory.on_store_changed(
            StoreChanged(
                STORE, 0,
                tuple(
                    StoredCopy(BlockRef(key, 1, block_bytes), Tier.MEMORY)
                    for key in KEYS), ()))

    def test_prefers_an_endpoint_that_caches_the_context(self) -> None:
        self.add_cached_blocks('e1')
        choice = self.choose_endpoint(
            [make_view('e0'), make_view('e1'),
             make_view('e2')])
        self.assertEqual(choice, Choice(EndpointId('e1'), 100))

    def test_avoids_a_holder_whose_queue_costs_more_than_computing(
            self) -> None:
        self.add_cached_blocks('e1')
        views = [make_view('e0'), make_view('e1', waiting=60_000)]
        self.assertEqual(self.choose_endpoint(views).endpoint, 'e0')

    def test_a_recomputation_weight_favours_the_holder(self) -> None:
        self.add_cached_blocks('e1')
        views = [make_view('e0'), make_view('e1', waiting=60_000)]
        self.assertEqual(self.choose_endpoint(views, weight=4.0).endpoint, 'e1')

    def test_fetches_if_that_is_faster_than_computing(self) -> None:
        self.add_stored_blocks(10_000_000)
        choice = self.choose_endpoint([make_view('e0')])
        assert choice.fetch is not None
        self.assertEqual(len(choice.fetch.copies), 20)
        self.assertEqual(choice.compute_tokens, 100)

    def test_computes_if_a_fetch_takes_longer(self) -> None:
        self.add_stored_blocks(10_000_000)
        self.links.links[STORE].bytes_per_s = 5e7
        self.assertIsNone(self.choose_endpoint([make_view('e0')]).fetch)

    def test_fetches_only_missing_blocks(self) -> None:
        self.add_stored_blocks(10_000_000)
        self.add_cached_blocks('e0', 15)
        choice = self.choose_endpoint([make_view('e0')])
        assert choice.fetch is not None
        self.assertEqual([copy.ref.key for copy in choice.fetch.copies],
                         list(KEYS[15:]))

    def test_uses_a_remote_endpoint_if_it_costs_less(self) -> None:
        local, remote = make_view('e0', waiting=900), make_view('e1', REMOTE_DC)
        self.assertEqual(self.choose_endpoint([local, remote]).endpoint, 'e1')
        local.cooldown_until = 10.0
        self.assertEqual(self.choose_endpoint([local, remote]).endpoint, 'e1')
        remote.leaving = True
        self.assertIsInstance(self.choose([local, remote]), NoEndpoint)

    def test_vms_with_the_same_reports_spread_their_choices(self) -> None:
        views = [make_view(f'e{i}') for i in range(4)]
        counts = {view.id: 0 for view in views}
        for seed in range(200):
            choice = self.choose(views, seed=seed)
            assert isinstance(choice, Choice)
            counts[choice.endpoint] += 1
        self.assertLess(max(counts.values()), 100)
        self.assertGreater(min(counts.values()), 10)


class SampleTest(unittest.TestCase):
    """A decision considers a bounded number of endpoints."""

    def test_considers_holders_and_a_sample(self) -> None:
        views = {
            view.id: view for view in (make_view(f'e{i}', (LOCAL_DC,
                                                           REMOTE_DC)[i % 2])
                                       for i in range(1_100))
        }
        directory = Directory()
        for holder in range(10):
            directory.on_cache_changed(
                CacheChanged(EndpointId(f'e{holder}'), 0, KEYS[:holder + 1],
                             ()))
        inputs = RoutingInputs(EngineIndex().engines(views, MODEL, LOCAL_DC),
                               directory, LinkTable(), random.Random(1))
        query = Query(Prompt('q', 20_100, KEYS), TeamId('t'), LOCAL_DC,
                      frozenset(), 0.0, 0.0)
        held = directory.endpoints.prefix_lengths(KEYS)
        considered = [
            v.id for v in lowest_cost.candidate_views(query, inputs, held)
        ]
        self.assertEqual(len(considered), len(set(considered)))
        self.assertLessEqual(
            len(considered), lowest_cost.MAX_HOLDERS +
            lowest_cost.LOCAL_SAMPLES + lowest_cost.REMOTE_SAMPLES)
        self.assertEqual(considered[:2], ['e9', 'e8'])


class BacklogTest(unittest.TestCase):
    """Delayed reports are corrected by what this VM sent since."""

    def test_adds_only_what_was_sent_after_the_measurement(self) -> None:
        view = make_view('e0', waiting=10_000)
        view.record_sent(0.5, 4_000)
        self.assertAlmostEqual(view.backlog_tokens(0.5), 9_000)
        view.record_sent(1.0, 2_000)
        view.record_report(
            LoadReported(view.id, 0.7, 1, 6_000, PREFILL_TOKENS_PER_S, VERSION))
        self.assertAlmostEqual(view.backlog_tokens(1.0), 5_000)
        self.assertEqual(view.backlog_tokens(10.0), 0)

    def test_ignores_a_report_older_than_the_last(self) -> None:
        view = make_view('e0', waiting=1_000)
        view.record_report(
            LoadReported(view.id, -1.0, 1, 9_000, PREFILL_TOKENS_PER_S,
                         VERSION))
        self.assertEqual(view.backlog_tokens(0.0), 1_000)
