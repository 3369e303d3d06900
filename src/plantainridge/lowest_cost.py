"""The product's own policy: cheapest of waiting, fetching and computing."""

import random
from collections.abc import Iterator, Sequence
from typing import Final

from plantainridge import costs
from plantainridge.costs import Plan, Source
from plantainridge.endpoints import EndpointView
from plantainridge.ids import EndpointId
from plantainridge.routing import (Choice, Fetch, RoutingInputs, NoEndpoint,
                                   NO_AVAILABLE_ENDPOINT, Policy, Query,
                                   candidates, usable)

# Endpoints sampled besides those that hold part of the prompt.
NEAR_SAMPLES: Final = 4
FAR_SAMPLES: Final = 4
MAX_HOLDERS: Final = 4
# Draws made for each wanted sample before a policy looks at all endpoints.
DRAWS_PER_SAMPLE: Final = 4
# Plans within this of the best are drawn among, so that VMs with the same
# reports do not all choose the same endpoint.
SLACK_S: Final = 0.02
SLACK_SHARE: Final = 0.05


class LowestCost(Policy):
    """Expected time to first token plus the weighted time of recomputation.

    Looks only at endpoints that hold part of the prompt and at a sample of
    the others, so that its cost does not grow with their number.
    """

    name = 'plantainridge'
    uses_stores = True

    def choose(self, query: Query,
               inputs: RoutingInputs) -> Choice | NoEndpoint:
        held = inputs.directory.endpoints.prefix_lengths(query.prompt.blocks)
        found = list(views_to_weigh(query, inputs, held))
        if not found:
            return NO_AVAILABLE_ENDPOINT
        sources = list(_sources(query, inputs))
        plans = [
            plan for view in found for plan in costs.plans(
                view, held.get(view.id, 0), sources, query.prompt.tokens,
                query.recompute_weight, view.endpoint.dc == query.dc, query.now)
        ]
        return to_choice(_draw(plans, inputs.rng))


def views_to_weigh(query: Query, inputs: RoutingInputs,
                   held: dict[EndpointId, int]) -> Iterator[EndpointView]:
    """Yields the endpoints to weigh: best holders first, then a sample."""
    seen = set()
    holders = sorted(held, key=lambda each: (-held[each], each))
    for name in holders[:MAX_HOLDERS]:
        view = inputs.engines.by_id.get(name)
        if view is not None and usable(query, view):
            seen.add(view.id)
            yield view
    sampled = [
        *_sample(query, inputs.engines.local, NEAR_SAMPLES, inputs.rng),
        *_sample(query, inputs.engines.remote, FAR_SAMPLES, inputs.rng)
    ]
    if not sampled and not seen:
        sampled = list(candidates(query, inputs))
    for view in sampled:
        if view.id not in seen:
            seen.add(view.id)
            yield view


def _sample(query: Query, views: Sequence[EndpointView], count: int,
            rng: random.Random) -> Iterator[EndpointView]:
    """Yields up to `count` distinct usable endpoints, drawn at random."""
    if len(views) <= count * DRAWS_PER_SAMPLE:
        open_views = [view for view in views if usable(query, view)]
        yield from rng.sample(open_views, min(count, len(open_views)))
        return
    drawn = set()
    for _ in range(count * DRAWS_PER_SAMPLE):
        view = views[int(rng.random() * len(views))]
        if view.id in drawn or not usable(query, view):
            continue
        drawn.add(view.id)
        yield view
        if len(drawn) == count:
            return


def _sources(query: Query, inputs: RoutingInputs) -> Iterator[Source]:
    blocks = query.prompt.blocks
    for store in inputs.directory.stores.first_holders(blocks):
        link = inputs.links.usable(store, query.now)
        if link is not None:
            copies = inputs.directory.copies(store, blocks)
            yield costs.source_of(store, link, tuple(copies))


def _draw(plans: list[Plan], rng: random.Random) -> Plan:
    best = min(plan.cost_s for plan in plans)
    limit = best + max(SLACK_S, SLACK_SHARE * best)
    return rng.choice([plan for plan in plans if plan.cost_s <= limit])


def to_choice(plan: Plan) -> Choice:
    """Returns the choice that carries a plan out."""
    if plan.source is None:
        return Choice(plan.view.id, plan.compute_tokens)
    return Choice(
        plan.view.id, plan.compute_tokens,
        Fetch(plan.source.store, plan.source.copies[plan.first_block:],
              costs.fetch_limit_s(plan)), plan.fetch_s)
