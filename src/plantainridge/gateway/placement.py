"""Chooses the endpoint that a request is sent to.

Every candidate has one expected cost, as a part of what the request is worth:
the risk that it is late, what is read again, and the bytes on the way. It
answers steady load from many VMs that know little of one another: sessions
stay where their parts lie, and move on once waiting there costs more than
reading them elsewhere.
"""

from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import cache, endpoints, kept_parts
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import Request
from plantainridge.gateway.requests import Call

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Prompt tokens that an engine is taken to read per second.
READ_TOKENS_PER_S: Final = 60_000.0
# How much a running request slows a further one on the same engine, in s.
RUNNING_S: Final = 0.002
# Age at which an endpoint's word on its load counts no more, in s.
LOAD_AGE_S: Final = 2.0
# Time before the bound at which older weights get no more requests, in s.
VERSION_MARGIN_S: Final = 2.0
# Time after which older weights cost a part of the credit, in s.
OLD_VERSION_GRACE_S: Final = 1.5

# Costs, as parts of what a request is worth.
# An answer that takes as long as its target; grows with the square of it.
LATE_COST: Final = 0.5
# Older weights, once they cost a part of the credit.
OLD_VERSION_COST: Final = 0.2
# A request's bytes between data centres.
FAR_COST: Final = 0.07
# Reading 1,000 shared tokens that another engine or a store has at hand.
REREAD_COST: Final = 0.05
# Runs that take as much memory again as an engine has beyond its roomy part:
# it stops some of them and reads them in again later.
MEMORY_COST: Final = 2.0
# Part of an engine's memory that runs may take without cost.
ROOMY_PART: Final = 0.8
# Advantage of the engine that all VMs would choose for a prompt.
HOME_COST: Final = 0.01
# Each failure in a row.
FAILURE_COST: Final = 0.1
# Random part that keeps VMs from choosing alike.
SPREAD_COST: Final = 0.02


@attrs.frozen
class Choice:
    """An endpoint and what is expected of it.

    Attributes:
        version: Weight version to be bound to, or None.
        read_tokens: Prompt tokens that it has to read.
        ready_tokens: Prompt tokens that it keeps or fetches.
        cost: Expected cost, as a part of what the request is worth.
        fetch: From where parts of the prompt can be fetched.
    """

    view: EndpointView
    version: int | None
    read_tokens: int
    ready_tokens: int
    cost: float
    fetch: kept_parts.Fetch = kept_parts.NO_FETCH


def choose(state: 'GatewayState', call: Call, now: float) -> Choice | None:
    """Returns the cheapest endpoint for a request, or None."""
    candidates = [
        view for view in endpoints.ready(state.endpoints, call.service, now) if
        view.entry.id not in call.tried and not state.hints.spared(view, now)
    ]
    if call.request.model:
        choices = _engines(state, call, candidates, now)
    else:
        choices = [_plain(state, call, view, now) for view in candidates]
    return min(choices, key=lambda each: each.cost, default=None)


def _plain(state: 'GatewayState', call: Call, view: EndpointView,
           now: float) -> Choice:
    del call
    filled = (_busy(state, view, now) + 1) / max(1, view.entry.slots)
    cost = LATE_COST * filled**2 + _fixed_cost(state, view)
    return Choice(view, None, 0, 0, cost + SPREAD_COST * state.rng.random())


def _engines(state: 'GatewayState', call: Call, candidates: list[EndpointView],
             now: float) -> list[Choice]:
    choices = []
    model = call.request.model
    named = state.versions.named.get(model)
    for view in candidates:
        version = view.versions.get(model)
        old = (named is not None and version is not None and
               version < named.version)
        if old and named is not None and _too_old(state, named.seen_at, now):
            continue
        choice = _engine(state, call, view, version, now)
        graced = named is None or now - named.seen_at < OLD_VERSION_GRACE_S
        penalty = OLD_VERSION_COST if old and not graced else 0.0
        choices.append(attrs.evolve(choice, cost=choice.cost + penalty))
    most = max((each.ready_tokens for each in choices), default=0)
    choices = [
        attrs.evolve(each,
                     cost=each.cost + REREAD_COST *
                     (most - each.ready_tokens) / 1_000) for each in choices
    ]
    return _prefer_home(state, call, choices)


def _prefer_home(state: 'GatewayState', call: Call,
                 choices: list[Choice]) -> list[Choice]:
    """Favours the engine that all VMs of the data centre would choose."""
    near = [each for each in choices if each.view.entry.dc == state.settings.dc]
    home = max(
        near or choices,
        key=lambda each: cache.affinity(each.view.entry.id, call.request.parts),
        default=None)
    return [
        attrs.evolve(each, cost=each.cost - HOME_COST) if each is home else each
        for each in choices
    ]


def _too_old(state: 'GatewayState', named_at: float, now: float) -> bool:
    bound = state.settings.bounds.version_s - VERSION_MARGIN_S
    return now - named_at > bound


def _engine(state: 'GatewayState', call: Call, view: EndpointView,
            version: int | None, now: float) -> Choice:
    request = call.request
    salt = cache.salt_of(request.model, version, call.team)
    parts = state.cache.held_parts(view.entry.id, salt, request.parts)
    held = sum(part.tokens for part in request.parts[:parts])
    fetch = kept_parts.NO_FETCH
    if kept_parts.usable(state, request.model, version, now):
        fetch = kept_parts.plan_fetch(state, salt, request.parts, parts,
                                      _token_bytes(state, call), now)
    ready = max(held, fetch.tokens)
    read = max(1, request.prompt_tokens - ready)
    queued = view.pending_tokens
    queued += state.hints.pending_tokens(view.entry.id, now)
    seconds = (queued + read) / READ_TOKENS_PER_S + fetch.seconds
    seconds += RUNNING_S * _busy(state, view, now) + now - call.arrived_at
    cost = LATE_COST * (seconds / call.route.target_s)**2
    cost += _memory_cost(state, call, view, now)
    return Choice(view, version, read, ready, cost + _fixed_cost(state, view),
                  fetch)


def _memory_cost(state: 'GatewayState', call: Call, view: EndpointView,
                 now: float) -> float:
    """Returns the cost of runs that would push one another out of memory."""
    service = state.config.services.get(call.service)
    if service is None or service.engine is None:
        return 0.0
    taken = view.memory_tokens + memory_tokens(call.request)
    taken += state.hints.memory_tokens(view.entry.id, now)
    over = taken / max(1, service.engine.cache_tokens) - ROOMY_PART
    return MEMORY_COST * max(0.0, over)


def memory_tokens(request: Request) -> int:
    """Returns the memory that a run takes at its end, in tokens."""
    output = request.expected_tokens or request.output_tokens
    return request.prompt_tokens + output


def _token_bytes(state: 'GatewayState', call: Call) -> int:
    service = state.config.services.get(call.service)
    if service is None or service.engine is None:
        return 0
    return service.engine.token_bytes


def _busy(state: 'GatewayState', view: EndpointView, now: float) -> int:
    """Requests on an endpoint, as far as known."""
    own = len(view.own) + state.hints.requests(view.entry.id, now)
    if view.load is None or now - view.load.told_at > LOAD_AGE_S:
        return own
    return max(own, view.load.running + view.load.waiting)


def _fixed_cost(state: 'GatewayState', view: EndpointView) -> float:
    far = 0.0 if view.entry.dc == state.settings.dc else FAR_COST
    return far + FAILURE_COST * view.failures
