"""Chooses the endpoint that a request is sent to.

Every candidate has one expected cost, as a part of what the request is worth:
the risk that it is late, what is read again, and the bytes on the way. It
answers steady load from many VMs that know little of one another: sessions
stay where their parts lie, and move on once waiting there costs more than
reading them elsewhere.

Runs hold their prompt in an engine's memory for seconds. Beyond what it has, it
stops some of them and reads them in again, so that all take longer and fill the
memory of the others: an overload that outlasts its cause. A large prompt is
therefore placed only where it fits.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import cache, endpoints, hints, stored_parts
from plantainridge.gateway.config import EngineSpec
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import Request
from plantainridge.gateway.peer_loads import NO_LOAD, PeerLoad
from plantainridge.gateway.requests import Call, PlacementFailure
from plantainridge.ids import EndpointId

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

# Part of an engine's memory beyond which a request is large.
LARGE_PART: Final = 0.05
# Part of an engine's memory that large requests may fill; the rest is for small
# ones, which are urgent and would push large ones out.
ROOM_PART: Final = 0.83
# Part of its own size that counts in this: if all of it did, the largest would
# find room last.
OWN_SIZE_PART: Final = 0.5
# Age of an engine's word that requests wait there up to which it has no room,
# in s.
QUEUED_AGE_S: Final = 0.4

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
# Part of the shared tokens that this engine is taken to keep if nobody knows of
# any place that has them: other VMs, or this one before its start, sent it such
# prompts.
HOME_HELD_PART: Final = 0.3
# Each failure in a row.
FAILURE_COST: Final = 0.1
# Random part that keeps VMs from choosing alike.
SPREAD_COST: Final = 0.02


@attrs.define
class Placement:
    """An endpoint and what is expected of it.

    Attributes:
        version: Weight version to be bound to, or None.
        read_tokens: Prompt tokens that it has to read.
        ready_tokens: Prompt tokens that it keeps or fetches.
        cost: Expected cost, as a part of what the request is worth.
        fetch: From where parts of the prompt can be fetched.
        roomy: Whether the run fits into the engine's memory.
    """

    view: EndpointView
    version: int | None
    prefill_tokens: int
    reused_tokens: int
    cost: float
    fetch: stored_parts.Fetch = stored_parts.NO_FETCH
    has_capacity: bool = True


@attrs.define
class _Reading:
    """What reading a prompt takes on engines of one weight version.

    Attributes:
        keys: Names of the prompt's parts in the memory of engines.
        stored: For each shared part a store that keeps it whole, or None.
        fetches: What can be fetched, by the leading parts that are held.
    """

    version: int | None
    keys: tuple[str, ...]
    stored: stored_parts.Stored
    fetches: dict[int, stored_parts.Fetch] = attrs.field(factory=dict)


@attrs.define
class _Weighing:
    """What all candidates for one request are weighed with.

    Attributes:
        engine: What the engines have in common; None for a plain service.
        peers: What peers have in flight on each endpoint.
        memory_tokens: Memory that the run takes at its end, in tokens.
        waited_s: Time since the request came, in s.
        far_load: What other data centres' endpoints are taken to have in
            flight at least.
        readings: What reading the prompt takes, by weight version.
    """

    state: 'GatewayState'
    call: Call
    now: float
    engine: EngineSpec | None
    peers: Mapping[EndpointId, PeerLoad]
    memory_tokens: int
    waited_s: float
    far_load: PeerLoad = NO_LOAD
    readings: dict[int | None, _Reading] = attrs.field(factory=dict)

    def busy(self, view: EndpointView, peers: PeerLoad) -> int:
        """Returns the requests on an endpoint, as far as known."""
        own = len(view.in_flight) + peers.requests
        if view.load is None or self.now - view.load.reported_at > LOAD_AGE_S:
            return own
        return max(own, view.load.running + view.load.waiting)

    def told(self, view: EndpointView) -> PeerLoad:
        """Returns what peers have in flight on an endpoint, as far as known."""
        told = self.peers.get(view.entry.id, NO_LOAD)
        if (view.entry.dc == self.state.settings.dc or
                told.memory_tokens >= self.far_load.memory_tokens):
            return told
        return self.far_load

    def reading(self, version: int | None) -> _Reading:
        """Returns what reading the prompt takes under a version."""
        found = self.readings.get(version)
        if found is not None:
            return found
        request = self.call.request
        salt = cache.make_salt(request.model, version, self.call.team)
        stored: stored_parts.Stored = ()
        if version is not None:
            stored = stored_parts.find(self.state, salt, request.parts,
                                       self.now)
        found = _Reading(version, cache.part_keys(salt, request.parts), stored)
        self.readings[version] = found
        return found

    def fetch(self, reading: _Reading, held: int) -> stored_parts.Fetch:
        """Returns what can be fetched beyond the leading parts held."""
        found = reading.fetches.get(held)
        if found is None:
            token_bytes = self.engine.token_bytes if self.engine else 0
            found = stored_parts.plan_fetch(reading.stored,
                                            self.call.request.parts, held,
                                            token_bytes)
            reading.fetches[held] = found
        return found


def choose(state: 'GatewayState',
           call: Call,
           now: float,
           ignore_capacity: bool = False) -> Placement | PlacementFailure:
    """Returns the cheapest endpoint for a request, or why there is none.

    Args:
        state: The VM's state.
        call: The request.
        now: Loop time in s.
        crowded: Whether it may go where it does not fit.
    """
    cooling_down = state.hints.loads.cooling_down(now)
    candidates = [
        view for view in endpoints.available(state.endpoints, call.service, now)
        if view.entry.id not in call.tried and cooling_down.get(
            view.entry.id, view.weights_loaded_at) <= view.weights_loaded_at
    ]
    service = state.config.services.get(call.service)
    weighing = _Weighing(state, call, now, service.engine if service else None,
                         state.hints.loads.fresh(now),
                         memory_tokens(call.request), now - call.arrived_at)
    if call.request.model:
        if not hints.shares_load_remotely(state):
            weighing.far_load = _near_average(weighing, candidates)
        choices = _engines(weighing, candidates)
    else:
        choices = [_plain(weighing, view) for view in candidates]
    if not choices:
        return PlacementFailure.NO_ENDPOINT
    if not ignore_capacity:
        choices = [each for each in choices if each.has_capacity]
    return min(choices,
               key=lambda each: each.cost,
               default=PlacementFailure.NO_CAPACITY)


def _near_average(weighing: _Weighing,
                  candidates: list[EndpointView]) -> PeerLoad:
    """Returns the mean load of the data centre's own engines.

    Where nobody tells of the load of other data centres, their engines are
    taken to be as loaded as these: engines that look idle because nobody tells
    would be sent what finds no room here, by all VMs at once.
    """
    dc = weighing.state.settings.dc
    near = [view for view in candidates if view.entry.dc == dc]
    if not near:
        return NO_LOAD
    total = PeerLoad()
    for view in near:
        told = weighing.peers.get(view.entry.id, NO_LOAD)
        total.pending_tokens += view.pending_tokens + told.pending_tokens
        total.memory_tokens += view.memory_tokens + told.memory_tokens
        total.requests += len(view.in_flight) + told.requests
    return PeerLoad(total.pending_tokens // len(near),
                    total.memory_tokens // len(near),
                    total.requests // len(near))


def _plain(weighing: _Weighing, view: EndpointView) -> Placement:
    peers = weighing.peers.get(view.entry.id, NO_LOAD)
    filled = (weighing.busy(view, peers) + 1) / max(1, view.entry.slots)
    cost = LATE_COST * filled**2 + _fixed_cost(weighing.state, view)
    cost += SPREAD_COST * weighing.state.rng.random()
    return Placement(view, None, 0, 0, cost)


def _engines(weighing: _Weighing,
             candidates: list[EndpointView]) -> list[Placement]:
    choices = []
    state, now = weighing.state, weighing.now
    model = weighing.call.request.model
    for view in candidates:
        version = view.versions.get(model)
        replaced_at = state.versions.replaced_at(model, version)
        old_s = 0.0 if replaced_at is None else now - replaced_at
        if old_s > state.settings.bounds.version_s - VERSION_MARGIN_S:
            continue
        choice = _engine(weighing, view, weighing.reading(version))
        if old_s > OLD_VERSION_GRACE_S:
            choice.cost += OLD_VERSION_COST
        choices.append(choice)
    most = max((each.reused_tokens for each in choices), default=0)
    for each in choices:
        each.cost += REREAD_COST * (most - each.reused_tokens) / 1_000
    _prefer_home(weighing, choices)
    return choices


def _prefer_home(weighing: _Weighing, choices: list[Placement]) -> None:
    """Favours the engine that all VMs of the data centre would choose."""
    dc = weighing.state.settings.dc
    parts = weighing.call.request.parts
    near = [each for each in choices if each.view.entry.dc == dc]
    home = max(near or choices,
               key=lambda each: cache.affinity(each.view.entry.id, parts),
               default=None)
    if home is None:
        return
    shared = sum(part.tokens for part in parts[:-1])
    unknown = max(0, shared - home.reused_tokens) / 1_000
    home.cost -= HOME_COST + REREAD_COST * HOME_HELD_PART * unknown


def _engine(weighing: _Weighing, view: EndpointView,
            reading: _Reading) -> Placement:
    state, call = weighing.state, weighing.call
    request = call.request
    parts = state.cache.count_cached_parts(view.entry.id, reading.keys)
    held = sum(part.tokens for part in request.parts[:parts]) if parts else 0
    fetch = weighing.fetch(reading, parts)
    ready = max(held, fetch.tokens)
    read = max(1, request.prompt_tokens - ready)
    peers = weighing.told(view)
    queued = view.pending_tokens + peers.pending_tokens
    seconds = (queued + read) / READ_TOKENS_PER_S + fetch.seconds
    seconds += RUNNING_S * weighing.busy(view, peers) + weighing.waited_s
    cost = LATE_COST * (seconds / call.route.target_s)**2
    taken = view.memory_tokens + peers.memory_tokens
    cost += _memory_cost(weighing, taken) + _fixed_cost(state, view)
    return Placement(view, reading.version, read, ready, cost, fetch,
                     _has_room(weighing, view, taken))


def _memory_cost(weighing: _Weighing, taken: int) -> float:
    """Returns the cost of runs that would push one another out of memory."""
    if weighing.engine is None:
        return 0.0
    filled = taken + weighing.memory_tokens
    over = filled / max(1, weighing.engine.cache_tokens) - ROOMY_PART
    return MEMORY_COST * over if over > 0.0 else 0.0


def _has_room(weighing: _Weighing, view: EndpointView, taken: int) -> bool:
    """Whether a run fits beside those that an engine has."""
    if weighing.engine is None or not taken:
        return True
    memory = weighing.engine.cache_tokens
    if weighing.memory_tokens < LARGE_PART * memory:
        return True
    load = view.load
    if (load is not None and load.waiting and
            weighing.now - load.reported_at <= QUEUED_AGE_S):
        return False
    needed = taken + OWN_SIZE_PART * weighing.memory_tokens
    return needed <= ROOM_PART * memory


def memory_tokens(request: Request) -> int:
    """Returns the memory that a run takes at its end, in tokens."""
    output = request.expected_tokens or request.output_tokens
    return request.prompt_tokens + output


def _fixed_cost(state: 'GatewayState', view: EndpointView) -> float:
    far = 0.0 if view.entry.dc == state.settings.dc else FAR_COST
    return far + FAILURE_COST * view.failures
