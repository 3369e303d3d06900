"""Routing policy with perfect knowledge of caches and loads, as a baseline."""

from typing import TYPE_CHECKING

from plantainridge import costs
from plantainridge.costs import Plan, Source
from plantainridge.endpoints import EndpointView
from plantainridge.events import LoadReported, StoredCopy
from plantainridge.ids import BlockKey, EndpointId
from plantainridge.links import LinkView
from plantainridge.lowest_cost import to_choice
from plantainridge.routing import (NO_AVAILABLE_ENDPOINT, Choice, NoEndpoint,
                                   Policy, Query, RoutingInputs, candidates)

if TYPE_CHECKING:
    from plantainridge.standins.fleet import Fleet


class OmniscientPolicy(Policy):
    """Lowest-cost policy that sees the current state of all endpoints.

    Attributes:
        in_transit: Work of all VMs that has not arrived at its engine, as
            (loop time of arrival in s, tokens to compute).
    """

    name = 'oracle'
    uses_stores = True

    def __init__(self, fleet: 'Fleet',
                 in_transit: dict[EndpointId, list[tuple[float, int]]]) -> None:
        self.fleet = fleet
        self.in_transit = in_transit

    def choose(self, query: Query,
               inputs: RoutingInputs) -> Choice | NoEndpoint:
        sources = list(self._sources(query.prompt.blocks, query.now))
        plans: list[Plan] = []
        for view in candidates(query, inputs):
            held = self.fleet.engines[view.id].cached_prefix_blocks(
                query.prompt.blocks)
            plans += costs.plans(self._true_view(view,
                                                 query.now), held, sources,
                                 query.prompt.tokens, query.recompute_weight,
                                 view.endpoint.dc == query.dc, query.now)
        if not plans:
            return NO_AVAILABLE_ENDPOINT
        best = min(plans, key=lambda plan: plan.cost_s)
        arrives_at = query.now + best.fetch_s + self.fleet.network.latency_s
        self.in_transit.setdefault(best.view.id, []).append(
            (arrives_at, best.compute_tokens))
        return to_choice(best)

    def _true_view(self, view: EndpointView, now: float) -> EndpointView:
        engine = self.fleet.engines[view.id]
        arriving = [
            each for each in self.in_transit.get(view.id, ()) if each[0] > now
        ]
        self.in_transit[view.id] = arriving
        true = EndpointView(view.endpoint)
        true.record_report(
            LoadReported(
                view.id, now, len(engine.running),
                engine.waiting_tokens() + sum(tokens for _, tokens in arriving),
                engine.prefill_tokens_per_s / engine.slowdown, engine.version))
        return true

    def _sources(self, blocks: tuple[BlockKey, ...],
                 now: float) -> list[Source]:
        found: list[Source] = []
        for store in self.fleet.stores.values():
            if not store.alive:
                continue
            stored = {copy.ref.key: copy for copy in store.copies_of(blocks)}
            copies: list[StoredCopy] = []
            for key in blocks:
                if key not in stored:
                    break
                copies.append(stored[key])
            link = LinkView(store.link.bytes_per_s / store.link.slowdown,
                            store.transfers, float(store.queued_bytes), now)
            if copies:
                found.append(costs.source_of(store.name, link, tuple(copies)))
        return found
