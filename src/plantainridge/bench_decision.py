"""Benchmark of the time of a routing decision, and its growth with size."""

import random
import time
from collections.abc import Mapping
from typing import Any, Final

import attrs
import click

from plantainridge import benches
from plantainridge.config import Endpoint, EndpointKind
from plantainridge.directory import Directory
from plantainridge.endpoints import EndpointView, EngineIndex
from plantainridge.events import (BlockRef, CacheChanged, LoadReported, Prompt,
                                  StoreChanged, StoredCopy, Tier)
from plantainridge.ids import (BlockKey, DcId, EndpointId, ModelId, StoreId,
                               TeamId, WeightVersion)
from plantainridge.links import LinkTable
from plantainridge.lowest_cost import LowestCost
from plantainridge.return_gaps import ReturnGapTable
from plantainridge.routing import Query, RoutingInputs

PROMPT_BLOCKS: Final = 30
BLOCK_BYTES: Final = 40_000_000
DATA_CENTRES: Final = 9
MODELS: Final = 13
STORES: Final = 2
DECISIONS_PER_TIMING: Final = 2_000
# Number of timings; the fastest one counts, since other processes of the
# machine only ever add to a timing.
TIMINGS: Final = 5


@attrs.frozen
class Size:
    """Size of the data that a decision is based on."""

    endpoints: int
    teams: int
    directory_blocks: int


LARGEST: Final = Size(1_100, 28_000, 90_000)
SMALLER: Final = {
    'endpoints': Size(110, 28_000, 90_000),
    'teams': Size(1_100, 280, 90_000),
    'directory_blocks': Size(1_100, 28_000, 9_000),
}


class _Fixture:
    """Routing inputs of a given size."""

    def __init__(self, size: Size, seed: int) -> None:
        rng = random.Random(seed)
        self.size = size
        views = [_view(number, rng) for number in range(size.endpoints)]
        table = {view.id: view for view in views}
        index = EngineIndex()
        self.engines = index.engines(table, ModelId('m0'), DcId('dc0'))
        engine_ids = list(self.engines.by_id)
        self.directory = Directory()
        self.links = LinkTable()
        self.contexts = [
            tuple(
                BlockKey(f'{rng.getrandbits(128):032x}')
                for _ in range(PROMPT_BLOCKS))
            for _ in range(size.directory_blocks // PROMPT_BLOCKS)
        ]
        for number, blocks in enumerate(self.contexts):
            holder = rng.choice(engine_ids)
            feed = self.directory.endpoints.feed(holder)
            self.directory.on_cache_changed(
                CacheChanged(holder, feed.seq + 1, blocks, ()))
            store = StoreId(f'k{number % STORES}')
            self.links.add(store, 1.25e9)
            copies = tuple(
                StoredCopy(BlockRef(key, 1, BLOCK_BYTES), Tier.MEMORY)
                for key in blocks)
            self.directory.on_store_changed(
                StoreChanged(store,
                             self.directory.stores.feed(store).seq + 1, copies,
                             ()))
        self.return_gaps = ReturnGapTable()
        self.inputs = RoutingInputs(self.engines, self.directory, self.links,
                                    rng)
        self.policy = LowestCost()

    def queries(self, count: int) -> list[Query]:
        """Return prompts of random known contexts, from random teams."""
        rng = self.inputs.rng
        return [
            Query(
                Prompt('', PROMPT_BLOCKS * 1_000 + 100,
                       rng.choice(self.contexts)),
                TeamId(f't{rng.randrange(self.size.teams)}'), DcId('dc0'),
                frozenset(), 1.0, 1.0) for _ in range(count)
        ]


def _view(number: int, rng: random.Random) -> EndpointView:
    view = EndpointView(
        Endpoint(EndpointId(f'e{number}'), DcId(f'dc{number % DATA_CENTRES}'),
                 EndpointKind.ENGINE, f'm{number // DATA_CENTRES % MODELS}',
                 ''))
    view.record_report(
        LoadReported(view.id, 0.0, 4, rng.randrange(40_000), 8_000.0,
                     WeightVersion('v1')))
    return view


def decision_us(size: Size, seed: int) -> float:
    """Return the time to record a visit and decide, in microseconds."""
    fixture = _Fixture(size, seed)
    best = float('inf')
    for _ in range(TIMINGS):
        queries = fixture.queries(DECISIONS_PER_TIMING)
        started = time.process_time()
        for query in queries:
            fixture.return_gaps.record_visit(query.team, query.prompt.blocks[0],
                                             query.now)
            fixture.policy.choose(query, fixture.inputs)
        best = min(best, time.process_time() - started)
    return best / DECISIONS_PER_TIMING * 1e6


def run(seed: int) -> dict[str, Any]:
    """Measure the largest size, and one smaller size for each slope."""
    largest = decision_us(LARGEST, seed)
    slopes = {}
    for name, size in SMALLER.items():
        growth = getattr(LARGEST, name) - getattr(size, name)
        duration_us = decision_us(size, seed)
        slopes[f'us_per_1000_{name}'] = round(
            (largest - duration_us) / growth * 1_000, 3)
    return {
        'bench': 'decision',
        'seed': seed,
        'figures': {
            'decision_us': round(largest, 1),
            **slopes
        },
    }


@click.command('decision')
@benches.options
def command(seed: int) -> Mapping[str, Any]:
    """Measure the time of a routing decision, and its slopes by size."""
    return run(seed)
