"""Default policy: the cheapest plan of waiting, fetching and computing."""

import random
from collections.abc import Iterator, Sequence
from typing import Final

from plantainridge import costs
from plantainridge.costs import Plan, Source
from plantainridge.endpoints import EndpointView
from plantainridge.ids import EndpointId
from plantainridge.routing import (NO_AVAILABLE_ENDPOINT, Choice, Fetch,
                                   NoEndpoint, Policy, Query, RoutingInputs,
                                   candidates, usable)

# Endpoints sampled in this data centre and in others, and most endpoints
# considered because they hold part of the prompt.
LOCAL_SAMPLES: Final = 4
REMOTE_SAMPLES: Final = 4
MAX_HOLDERS: Final = 4
# Most random draws per endpoint to sample. Shorter lists than the draws would
# allow are filtered instead.
MAX_DRAWS_PER_SAMPLE: Final = 4
# Plans whose cost is within this of the best count as equal. One of them is
# chosen at random, so that VMs with the same reports do not all choose the same
# endpoint.
TIE_TOLERANCE_S: Final = 0.02
TIE_TOLERANCE_RATIO: Final = 0.05


class LowestCost(Policy):
    """Policy of least time to first token plus weighted recomputation time.

    Considers only endpoints that hold part of the prompt and a sample of the
    others, so that the time of a decision does not grow with their number.
    """

    name = 'plantainridge'
    uses_stores = True

    def choose(self, query: Query,
               inputs: RoutingInputs) -> Choice | NoEndpoint:
        held = inputs.directory.endpoints.prefix_lengths(query.prompt.blocks)
        eligible = list(candidate_views(query, inputs, held))
        if not eligible:
            return NO_AVAILABLE_ENDPOINT
        sources = list(_sources(query, inputs))
        plans = [
            plan for view in eligible for plan in costs.plans(
                view, held.get(view.id, 0), sources, query.prompt.tokens,
                query.recompute_weight, view.endpoint.dc == query.dc, query.now)
        ]
        return to_choice(_choose_plan(plans, inputs.rng))


def candidate_views(query: Query, inputs: RoutingInputs,
                    held: dict[EndpointId, int]) -> Iterator[EndpointView]:
    """Yield the endpoints to consider: best holders first, then a sample.

    Args:
        query: The request.
        inputs: What the VM knows.
        held: Leading blocks of the prompt at each endpoint.
    """
    seen_ids = set()
    holders = sorted(held, key=lambda each: (-held[each], each))
    for name in holders[:MAX_HOLDERS]:
        view = inputs.engines.by_id.get(name)
        if view is not None and usable(query, view):
            seen_ids.add(view.id)
            yield view
    sampled = [
        *_sample(query, inputs.engines.local, LOCAL_SAMPLES, inputs.rng),
        *_sample(query, inputs.engines.remote, REMOTE_SAMPLES, inputs.rng)
    ]
    if not sampled and not seen_ids:
        sampled = list(candidates(query, inputs))
    for view in sampled:
        if view.id not in seen_ids:
            seen_ids.add(view.id)
            yield view


def _sample(query: Query, views: Sequence[EndpointView], count: int,
            rng: random.Random) -> Iterator[EndpointView]:
    """Yield up to `count` distinct usable endpoints, chosen at random."""
    if len(views) <= count * MAX_DRAWS_PER_SAMPLE:
        available_views = [view for view in views if usable(query, view)]
        yield from rng.sample(available_views, min(count, len(available_views)))
        return
    drawn_ids = set()
    for _ in range(count * MAX_DRAWS_PER_SAMPLE):
        view = views[int(rng.random() * len(views))]
        if view.id in drawn_ids or not usable(query, view):
            continue
        drawn_ids.add(view.id)
        yield view
        if len(drawn_ids) == count:
            return


def _sources(query: Query, inputs: RoutingInputs) -> Iterator[Source]:
    blocks = query.prompt.blocks
    for store in inputs.directory.stores.first_holders(blocks):
        link = inputs.links.usable(store, query.now)
        if link is not None:
            copies = inputs.directory.copies(store, blocks)
            yield costs.source_of(store, link, tuple(copies))


def _choose_plan(plans: list[Plan], rng: random.Random) -> Plan:
    best = min(plan.cost_s for plan in plans)
    limit = best + max(TIE_TOLERANCE_S, TIE_TOLERANCE_RATIO * best)
    return rng.choice([plan for plan in plans if plan.cost_s <= limit])


def to_choice(plan: Plan) -> Choice:
    """Return the choice that carries out a plan."""
    if plan.source is None:
        return Choice(plan.view.id, plan.compute_tokens)
    return Choice(
        plan.view.id, plan.compute_tokens,
        Fetch(plan.source.store, plan.source.copies[plan.first_block:],
              costs.fetch_timeout_s(plan)), plan.fetch_s)
