"""Tests of the product's policy and its costs."""

import random
import unittest

from plantainridge import lowest_cost
from plantainridge.config import Endpoint, EndpointKind
from plantainridge.directory import Directory
from plantainridge.endpoints import EngineIndex, EndpointView, ModelEngines
from plantainridge.events import (BlockRef, CacheChanged, LoadReported, Prompt,
                                  StoreChanged, StoredCopy, Tier)
from plantainridge.ids import (BlockKey, DcId, EndpointId, ModelId, StoreId,
                               TeamId, WeightVersion)
from plantainridge.links import LinkTable
from plantainridge.lowest_cost import LowestCost
from plantainridge.routing import Choice, RoutingInputs, NoEndpoint, Query

NEAR, FAR = DcId('neihu'), DcId('xinyi')
MODEL, VERSION = ModelId('report'), WeightVersion('v1')
KEYS = tuple(BlockKey(f'b{i}') for i in range(20))
STORE = StoreId('k0')
RATE = 10_000.0


def a_view(name: str, dc: DcId = NEAR, waiting: int = 0) -> EndpointView:
    """Returns an engine that reported a load."""
    view = EndpointView(
        Endpoint(EndpointId(name), dc, EndpointKind.ENGINE, MODEL, ''))
    view.record_report(LoadReported(view.id, 0.0, 0, waiting, RATE, VERSION))
    return view


class ChooseTest(unittest.TestCase):
    """The cheapest of waiting, fetching and computing is chosen."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.links = LinkTable()
        self.links.add(STORE, 1e9)

    def choose(self,
               views: list[EndpointView],
               weight: float = 0.0,
               seed: int = 1,
               now: float = 0.0) -> Choice | NoEndpoint:
        """Asks the policy for a prompt of twenty blocks."""
        table = {view.id: view for view in views}
        engines: ModelEngines = EngineIndex().engines(table, MODEL, NEAR)
        query = Query(Prompt('q', 20_100, KEYS), TeamId('t'), NEAR, frozenset(),
                      weight, now)
        return LowestCost().choose(
            query,
            RoutingInputs(engines, self.directory, self.links,
                          random.Random(seed)))

    def chosen(self, views: list[EndpointView], weight: float = 0.0) -> Choice:
        """Asks for a choice that must be one."""
        choice = self.choose(views, weight)
        assert isinstance(choice, Choice)
        return choice

    def hold(self, name: str, count: int = 20) -> None:
        """Lets an endpoint hold leading blocks."""
        self.directory.on_cache_changed(
            CacheChanged(EndpointId(name), 0, KEYS[:count], ()))

    def store(self, block_bytes: int) -> None:
        """Lets the store hold all blocks."""
        self.directory.on_store_changed(
            StoreChanged(
                STORE, 0,
                tuple(
                    StoredCopy(BlockRef(key, 1, block_bytes), Tier.MEMORY)
                    for key in KEYS), ()))

    def test_goes_where_the_context_is(self) -> None:
        self.hold('e1')
        choice = self.chosen([a_view('e0'), a_view('e1'), a_view('e2')])
        self.assertEqual(choice, Choice(EndpointId('e1'), 100))

    def test_leaves_a_holder_whose_queue_costs_more_than_computing(
            self) -> None:
        self.hold('e1')
        views = [a_view('e0'), a_view('e1', waiting=60_000)]
        self.assertEqual(self.chosen(views).endpoint, 'e0')

    def test_the_weight_of_recomputation_keeps_it_there(self) -> None:
        self.hold('e1')
        views = [a_view('e0'), a_view('e1', waiting=60_000)]
        self.assertEqual(self.chosen(views, weight=4.0).endpoint, 'e1')

    def test_fetches_where_that_is_faster_than_computing(self) -> None:
        self.store(10_000_000)
        choice = self.chosen([a_view('e0')])
        assert choice.fetch is not None
        self.assertEqual(len(choice.fetch.copies), 20)
        self.assertEqual(choice.compute_tokens, 100)

    def test_computes_where_a_fetch_would_come_later(self) -> None:
        self.store(10_000_000)
        self.links.links[STORE].bytes_per_s = 5e7
        self.assertIsNone(self.chosen([a_view('e0')]).fetch)

    def test_fetches_only_what_is_missing(self) -> None:
        self.store(10_000_000)
        self.hold('e0', 15)
        choice = self.chosen([a_view('e0')])
        assert choice.fetch is not None
        self.assertEqual([copy.ref.key for copy in choice.fetch.copies],
                         list(KEYS[15:]))

    def test_goes_to_another_data_centre_only_when_that_is_better(self) -> None:
        local, remote = a_view('e0', waiting=900), a_view('e1', FAR)
        self.assertEqual(self.chosen([local, remote]).endpoint, 'e1')
        local.cooldown_until = 10.0
        self.assertEqual(self.chosen([local, remote]).endpoint, 'e1')
        remote.leaving = True
        self.assertIsInstance(self.choose([local, remote]), NoEndpoint)

    def test_vms_with_the_same_reports_spread(self) -> None:
        views = [a_view(f'e{i}') for i in range(4)]
        counts = {view.id: 0 for view in views}
        for seed in range(200):
            choice = self.choose(views, seed=seed)
            assert isinstance(choice, Choice)
            counts[choice.endpoint] += 1
        self.assertLess(max(counts.values()), 100)
        self.assertGreater(min(counts.values()), 10)


class SampleTest(unittest.TestCase):
    """A decision looks at a bounded number of endpoints."""

    def test_looks_at_holders_and_a_sample(self) -> None:
        views = {
            view.id: view for view in (a_view(f'e{i}', (NEAR, FAR)[i % 2])
                                       for i in range(1_100))
        }
        directory = Directory()
        for holder in range(10):
            directory.on_cache_changed(
                CacheChanged(EndpointId(f'e{holder}'), 0, KEYS[:holder + 1],
                             ()))
        inputs = RoutingInputs(EngineIndex().engines(views, MODEL, NEAR),
                               directory, LinkTable(), random.Random(1))
        query = Query(Prompt('q', 20_100, KEYS), TeamId('t'), NEAR, frozenset(),
                      0.0, 0.0)
        held = directory.endpoints.prefix_lengths(KEYS)
        seen = [v.id for v in lowest_cost.views_to_weigh(query, inputs, held)]
        self.assertEqual(len(seen), len(set(seen)))
        self.assertLessEqual(
            len(seen), lowest_cost.MAX_HOLDERS + lowest_cost.NEAR_SAMPLES +
            lowest_cost.FAR_SAMPLES)
        self.assertEqual(seen[:2], ['e9', 'e8'])


class BacklogTest(unittest.TestCase):
    """Late reports are corrected by what this VM sent since."""

    def test_counts_only_what_was_sent_after_the_reading(self) -> None:
        view = a_view('e0', waiting=10_000)
        view.record_sent(0.5, 4_000)
        self.assertAlmostEqual(view.backlog_tokens(0.5), 9_000)
        view.record_sent(1.0, 2_000)
        view.record_report(LoadReported(view.id, 0.7, 1, 6_000, RATE, VERSION))
        self.assertAlmostEqual(view.backlog_tokens(1.0), 5_000)
        self.assertEqual(view.backlog_tokens(10.0), 0)

    def test_drops_a_report_older_than_the_last(self) -> None:
        view = a_view('e0', waiting=1_000)
        view.record_report(LoadReported(view.id, -1.0, 1, 9_000, RATE, VERSION))
        self.assertEqual(view.backlog_tokens(0.0), 1_000)
