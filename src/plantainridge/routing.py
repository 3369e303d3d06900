"""Routing policies, which choose an endpoint for a request."""

import abc
import random
from collections.abc import Iterator

import attrs

from plantainridge.directory import Directory
from plantainridge.endpoints import (UNKNOWN_VERSION, EndpointView,
                                     ModelEngines)
from plantainridge.events import Prompt, StoredCopy
from plantainridge.ids import DcId, EndpointId, StoreId, TeamId, WeightVersion
from plantainridge.links import LinkTable


@attrs.frozen
class NoEndpoint:
    """No candidate can take the request.

    Attributes:
        detail: The reason, for the refusal.
    """

    detail: str


@attrs.frozen
class Fetch:
    """Blocks to import into the chosen endpoint before the request starts.

    Attributes:
        store: The store that holds them.
        copies: The copies, in the order of the chain.
        limit_s: Time after which recomputing the rest is the better choice.
    """

    store: StoreId
    copies: tuple[StoredCopy, ...]
    limit_s: float


@attrs.frozen
class Choice:
    """The endpoint that a policy chose.

    Attributes:
        endpoint: The endpoint.
        compute_tokens: Prompt tokens that it is expected to compute.
        fetch: What to import first, or None.
        fetch_s: Expected time of that import, in s.
    """

    endpoint: EndpointId
    compute_tokens: int
    fetch: Fetch | None = None
    fetch_s: float = 0.0


@attrs.frozen
class Query:
    """A request for which a policy chooses an endpoint.

    Attributes:
        prompt: The request's prompt.
        team: The request's team.
        dc: This VM's data centre.
        excluded: Endpoints that must not be chosen.
        version: Weight version that the request is bound to; empty for any.
        recompute_weight: The deployment's weight of recomputation; seconds of
            latency accepted to save one second of computing.
        now: Loop time in s.
    """

    prompt: Prompt
    team: TeamId
    dc: DcId
    excluded: frozenset[EndpointId]
    recompute_weight: float
    now: float
    version: WeightVersion = WeightVersion('')


@attrs.frozen
class RoutingInputs:
    """What a VM knows of engines, cached blocks and links."""

    engines: ModelEngines
    directory: Directory
    links: LinkTable
    rng: random.Random


class Policy(abc.ABC):
    """Policy that chooses among the engines of a model.

    Attributes:
        name: Name of the policy in reported figures.
        uses_stores: Whether cached blocks are exported to stores for it.
    """

    name: str
    uses_stores = False

    @abc.abstractmethod
    def choose(self, query: Query,
               inputs: RoutingInputs) -> Choice | NoEndpoint:
        """Choose an endpoint that accepts work now."""


NO_AVAILABLE_ENDPOINT = NoEndpoint('no endpoint takes work')


def usable(query: Query, view: EndpointView) -> bool:
    """Return whether a request may be sent to an endpoint now."""
    if not view.takes_work(query.now) or view.id in query.excluded:
        return False
    return (not query.version or
            view.version in (query.version, UNKNOWN_VERSION))


def candidates(query: Query, inputs: RoutingInputs) -> Iterator[EndpointView]:
    """Yield the engines that may run the request now."""
    for view in inputs.engines.by_id.values():
        if usable(query, view):
            yield view


class RoundRobin(Policy):
    """Baseline: each candidate in turn."""

    name = 'round_robin'

    def __init__(self) -> None:
        self.next_index = 0

    def choose(self, query: Query,
               inputs: RoutingInputs) -> Choice | NoEndpoint:
        views = list(candidates(query, inputs))
        if not views:
            return NO_AVAILABLE_ENDPOINT
        self.next_index += 1
        return Choice(views[self.next_index % len(views)].id,
                      query.prompt.tokens)


class LeastLoaded(Policy):
    """Baseline: the candidate with the fewest queued prompt tokens."""

    name = 'least_loaded'

    def choose(self, query: Query,
               inputs: RoutingInputs) -> Choice | NoEndpoint:
        views = list(candidates(query, inputs))
        if not views:
            return NO_AVAILABLE_ENDPOINT
        best = min(views,
                   key=lambda view:
                   (view.waiting_tokens(), len(view.own_attempts)))
        return Choice(best.id, query.prompt.tokens)


class PrefixAffinity(Policy):
    """Baseline: the candidate with the most cached blocks, then least load."""

    name = 'prefix_affinity'

    def choose(self, query: Query,
               inputs: RoutingInputs) -> Choice | NoEndpoint:
        views = list(candidates(query, inputs))
        if not views:
            return NO_AVAILABLE_ENDPOINT
        held = inputs.directory.endpoints.prefix_lengths(query.prompt.blocks)
        best = min(views,
                   key=lambda view: (-held.get(view.id, 0), view.waiting_tokens(
                   ), len(view.own_attempts)))
        return Choice(best.id, query.prompt.tokens)
