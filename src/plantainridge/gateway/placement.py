"""Endpoint selection by expected cost.

Each candidate endpoint gets one expected cost, relative to the value of the
request. It combines the risk of missing the latency target, the prompt tokens
to recompute, and the bytes sent between data centres. The function is made for
steady load from many VMs that know little about one another: sessions stay on
the engines that cache their prompt prefix, and move once queueing there costs
more than recomputing the prefix elsewhere.

A run holds its prompt in the engine's KV cache memory for seconds. An engine
that runs out of memory preempts runs and prefills them again later, which makes
all runs take longer and fills the memory of other engines: an overload that
outlasts its cause. A large request is therefore placed only where it fits.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import (builds, cache, endpoint_limits,
                                   endpoint_speed, endpoints, hints, returning,
                                   speed_updates, spill, stored_parts,
                                   tunnel_peers)
from plantainridge.gateway.config import EngineSpec
from plantainridge.gateway.endpoint_speed import Prediction
from plantainridge.gateway.endpoints import EndpointView, Grant
from plantainridge.gateway.events import Request, VmEntry
from plantainridge.gateway.peer_loads import NO_LOAD, PeerLoad
from plantainridge.gateway.requests import Call, PlacementFailure
from plantainridge.ids import DcId, EndpointId, ServiceId

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Assumed prefill throughput of an engine.
PREFILL_TOKENS_PER_S: Final = 60_000.0
# Delay that each running request adds to a further one on the same engine.
DELAY_PER_REQUEST_S: Final = 0.002
# Age beyond which an endpoint's load report is ignored.
MAX_LOAD_AGE_S: Final = 2.0
# Time before the version bound from which engines with replaced weights get no
# more requests.
VERSION_MARGIN_S: Final = 2.0
# Upper bound of that margin for a long queue: a longer wait cannot be estimated
# from a load report, and engines that load new weights run nothing meanwhile.
MAX_VERSION_MARGIN_S: Final = 4.0
# Time between the expected start of a request on replaced weights and the
# version bound.
START_MARGIN_S: Final = 0.5
# Time that a run takes, from which the wait in an engine's queue is estimated.
ASSUMED_RUN_S: Final = 3.0
# Time for which replaced weights are not penalized.
OLD_VERSION_GRACE_S: Final = 1.5

# A request that takes more than this share of an engine's memory is large.
LARGE_REQUEST_RATIO: Final = 0.05
# Share of an engine's memory that large requests may fill. The rest is left to
# small requests, which are urgent and would cause large ones to be preempted.
MAX_LARGE_FILL_RATIO: Final = 0.83
# Share of a large request's own size that counts towards MAX_LARGE_FILL_RATIO.
# Counting all of it would leave the largest requests waiting longest.
OWN_SIZE_RATIO: Final = 0.5
# Age up to which a report of queued requests marks an engine as saturated.
MAX_QUEUE_REPORT_AGE_S: Final = 0.4

# Penalties are relative to the value of a request; each comment states what is
# penalized.

# Expected latency equal to the target; grows with the square of the ratio.
LATENCY_PENALTY: Final = 0.5
# Replaced weights after the grace period: answers earn only part of the credit.
OLD_VERSION_PENALTY: Final = 0.2
# Bytes of one request between data centres.
REMOTE_PENALTY: Final = 0.07
# Recomputing 1,000 shared tokens that another engine or a store has available.
RECOMPUTE_PENALTY: Final = 0.05
# Runs that exceed UNPENALIZED_FILL_RATIO by as much as the engine's memory; a
# smaller excess is penalized in proportion. The engine preempts some of these
# runs and prefills them again later.
MEMORY_PENALTY: Final = 2.0
# Share of an engine's memory that runs may take without a penalty.
UNPENALIZED_FILL_RATIO: Final = 0.8
# Advantage of the engine that all VMs of this data centre rank first for a
# prompt.
PREFERRED_ENGINE_BONUS: Final = 0.01
# Share of the shared tokens that the preferred engine is assumed to cache if
# this VM knows no place that has them: other VMs, or this one before a restart,
# sent such prompts there.
ASSUMED_CACHED_RATIO: Final = 0.3
# Each consecutive failure.
FAILURE_PENALTY: Final = 0.1
# Upper bound of the random term that keeps VMs from choosing alike.
MAX_RANDOM_PENALTY: Final = 0.02


@attrs.define
class Placement:
    """An endpoint and the expected cost of sending the request there.

    Attributes:
        version: Weight version to bind the request to, or None.
        prefill_tokens: Prompt tokens that the engine has to compute.
        reused_tokens: Prompt tokens that the engine has cached or fetches.
        cost: Expected cost, relative to the value of the request.
        fetch_plan: Stores from which parts of the prompt can be fetched.
        has_capacity: Whether the run fits into the engine's memory.
        peer: The peer through which the request is sent, or None.
        grant: The coordinator's grant of the endpoint, or None.
        first_event_s: Expected time from the send to the first event, in s; 0
            for a plain service.
        backlog_s: Share of it in which the engine computes earlier prompts, in
            s.
        prediction: Time that the request is predicted to take; None if the
            speeds of the service's endpoints are not learned.
    """

    view: EndpointView
    version: int | None
    prefill_tokens: int
    reused_tokens: int
    cost: float
    fetch_plan: stored_parts.FetchPlan = stored_parts.NO_FETCH
    has_capacity: bool = True
    peer: VmEntry | None = None
    grant: Grant | None = None
    first_event_s: float = 0.0
    backlog_s: float = 0.0
    prediction: Prediction | None = None


@attrs.define
class _VersionedPrompt:
    """A prompt's cache keys and stored parts under one weight version.

    Attributes:
        keys: Keys of the prompt's parts in the engines' KV caches.
        holders: A store that holds each shared part completely, or None.
        fetch_plans: Fetch plans by the number of leading parts already cached.
    """

    version: int | None
    keys: tuple[str, ...]
    holders: stored_parts.PartHolders
    fetch_plans: dict[int, stored_parts.FetchPlan] = attrs.field(factory=dict)


@attrs.define
class _CostInputs:
    """Inputs that the costs of all candidates of one request share.

    Attributes:
        now: Loop time in s.
        engine: Properties common to the service's engines; None for a plain
            service.
        peers: What peers have in flight on each endpoint.
        memory_tokens: Memory that the run takes when it ends, in tokens.
        waited_s: Time since the request arrived, in s.
        home: Data centre whose engines the prompt's context is assigned to.
        assumed_remote_load: Lower bound of what endpoints of data centres whose
            load is not known are assumed to have in flight.
        known_dcs: Data centres whose load is known.
        assumed_cached_ratio: Share of the shared tokens that the preferred
            engine is assumed to cache beyond those known.
        prompts: The prompt by weight version.
    """

    state: 'GatewayState'
    call: Call
    now: float
    engine: EngineSpec | None
    peers: Callable[[EndpointId], PeerLoad]
    memory_tokens: int
    waited_s: float
    home: DcId
    assumed_remote_load: PeerLoad = NO_LOAD
    known_dcs: Collection[DcId] = ()
    assumed_cached_ratio: float = ASSUMED_CACHED_RATIO
    prompts: dict[int | None, _VersionedPrompt] = attrs.field(factory=dict)

    def request_count(self, view: EndpointView, peers: PeerLoad) -> int:
        """Return the known number of requests on an endpoint."""
        in_flight = len(view.in_flight) + peers.requests
        if (view.load is None or
                self.now - view.load.reported_at > MAX_LOAD_AGE_S):
            return in_flight
        return max(in_flight, view.load.running + view.load.waiting)

    def peer_load(self, view: EndpointView) -> PeerLoad:
        """Return the known or assumed load of peers on an endpoint."""
        known = self.peers(view.entry.id)
        if (view.entry.dc == self.state.settings.dc or
                view.entry.dc in self.known_dcs or
                known.memory_tokens >= self.assumed_remote_load.memory_tokens):
            return known
        return self.assumed_remote_load

    def prompt_for(self, version: int | None) -> _VersionedPrompt:
        """Return the prompt under a weight version."""
        prompt = self.prompts.get(version)
        if prompt is not None:
            return prompt
        request = self.call.request
        salt = cache.make_salt(request.model, version, self.call.team)
        holders: stored_parts.PartHolders = ()
        if version is not None:
            holders = stored_parts.find_holders(self.state, request.model,
                                                version, salt, request.parts,
                                                self.now)
        prompt = _VersionedPrompt(version, cache.part_keys(salt, request.parts),
                                  holders)
        self.prompts[version] = prompt
        return prompt

    def fetch_plan(self, prompt: _VersionedPrompt,
                   cached_parts: int) -> stored_parts.FetchPlan:
        """Return what can be fetched beyond the leading cached parts."""
        plan = prompt.fetch_plans.get(cached_parts)
        if plan is None:
            token_bytes = self.engine.token_bytes if self.engine else 0
            plan = stored_parts.plan_fetch(prompt.holders,
                                           self.call.request.parts,
                                           cached_parts, token_bytes)
            prompt.fetch_plans[cached_parts] = plan
        return plan


def choose(state: 'GatewayState',
           call: Call,
           now: float,
           ignore_capacity: bool = False) -> Placement | PlacementFailure:
    """Return the cheapest endpoint for a request, or why there is none.

    Args:
        state: The VM's state.
        call: The request.
        now: Loop time in s.
        ignore_capacity: Whether the request may go to an engine whose memory it
            does not fit into.

    Returns:
        The placement; `NO_CAPACITY` if the request fits on none of the
        available endpoints; another reason if none is available.
    """
    peer = None
    if state.paths.is_lost(call.service):
        peer = tunnel_peers.choose(state, call, now)
        if peer is None:
            reason = _unavailability(state, call, now)
            return (PlacementFailure.NO_PATH
                    if reason in (PlacementFailure.NO_ENDPOINT,
                                  PlacementFailure.ALL_LIMITED) else reason)
    candidates = usable_endpoints(state, call, now)
    unreached = hints.unreached(state, now)
    reachable = [
        view for view in candidates if not _is_unreached(view, unreached)
    ]
    choice = _choose_among(state, call, reachable, ignore_capacity, now)
    if (not isinstance(choice, Placement) and len(reachable) < len(candidates)):
        choice = _choose_among(state, call, candidates, ignore_capacity, now)
    if isinstance(choice, Placement):
        choice.peer = peer
    return choice


def usable_endpoints(state: 'GatewayState', call: Call,
                     now: float) -> list[EndpointView]:
    """Return the endpoints that may get a request now, whatever their load."""
    return endpoint_limits.admitted(state, _available(state, call, now), now)


def _available(state: 'GatewayState', call: Call,
               now: float) -> list[EndpointView]:
    """Return the endpoints that may get a request if limits allow it."""
    cooling_down = hints.cooling_down(state, now)
    usable = [
        view for view in endpoints.available(state.endpoints, call.service, now)
        if has_build(call, view) and view.entry.id not in call.tried and
        now >= usable_at(call, view) and
        not state.evacuations.is_evacuated(view.entry.dc) and
        cooling_down.get(view.entry.id, -math.inf) <= view.weights_loaded_at
    ]
    held_back = held_back_dcs(state, call, now)
    if not held_back:
        return usable
    # A context does not wait for its return where nothing else serves it.
    return [view for view in usable if view.entry.dc not in held_back] or usable


def held_back_dcs(state: 'GatewayState', call: Call,
                  now: float) -> frozenset[DcId]:
    """Return data centres to which a request does not return yet.

    Their evacuation was withdrawn a short while ago.
    """
    if not state.evacuations.ended_at:
        return frozenset()
    service = state.config.services.get(call.service)
    context = cache.context_id(call.request.parts) or call.request.attempt_id
    return state.evacuations.held_back(context,
                                       service.cold_start_s if service else 0.0,
                                       now)


def _is_unreached(view: EndpointView, reports: Mapping[EndpointId,
                                                       float]) -> bool:
    """Return whether peers did not reach an endpoint, and this VM did not.

    Made for peers that lost their links and take all endpoints for failed: data
    that arrived here since such a report outweighs it.

    Args:
        view: The endpoint.
        reports: Endpoints that peers did not reach, with the loop time of the
            latest report in s.
    """
    reported_at = reports.get(view.entry.id)
    return reported_at is not None and view.last_received_at <= reported_at


def _choose_among(state: 'GatewayState', call: Call,
                  candidates: list[EndpointView], ignore_capacity: bool,
                  now: float) -> Placement | PlacementFailure:
    """Return the cheapest of some endpoints for a request."""
    inputs = _inputs(state, call, hints.peer_load_lookup(state, now), now)
    if call.request.model:
        if hints.shares_load_directly(state):
            placements = place_on_engines(inputs, candidates)
        else:
            placements = place_by_dc(inputs, candidates)
    else:
        placements = [_place_on_instance(inputs, view) for view in candidates]
    if not placements:
        return _unavailability(state, call, now)
    if not ignore_capacity:
        placements = [each for each in placements if each.has_capacity]
    return min(placements,
               key=lambda each: each.cost,
               default=PlacementFailure.NO_CAPACITY)


def has_build(call: Call, view: EndpointView) -> bool:
    """Return whether an endpoint may serve a request, as to its build.

    What endpoints of two builds write does not fit together: a stream continues
    only at the build that began it.
    """
    return call.build is None or view.entry.build == call.build


def usable_at(call: Call, view: EndpointView) -> float:
    """Return the loop time from which an endpoint may get a request, in s.

    The build of a run whose entry was not read is not known, so that no stream
    could be resumed that began there.
    """
    if builds.is_resumable(call.route):
        return max(view.available_at, view.other_run_until)
    return view.available_at


def could_serve(call: Call, view: EndpointView) -> bool:
    """Return whether an endpoint may serve a request unless it is evacuated."""
    return (view.entry.service == call.service and not view.is_leaving and
            has_build(call, view))


def may_serve(state: 'GatewayState', call: Call, view: EndpointView) -> bool:
    """Return whether an endpoint may serve a request, now or after a wait."""
    return (could_serve(call, view) and
            not state.evacuations.is_evacuated(view.entry.dc))


def _unavailability(state: 'GatewayState', call: Call,
                    now: float) -> PlacementFailure:
    """Return why a request has no available endpoint."""
    known = [
        view for view in state.endpoints.values()
        if view.entry.service == call.service and has_build(call, view)
    ]
    staying = [view for view in known if not view.is_leaving]
    if call.build is not None and not staying:
        return PlacementFailure.NO_BUILD
    if known and not staying:
        return PlacementFailure.ALL_LEAVING
    remaining = [
        view for view in staying
        if not state.evacuations.is_evacuated(view.entry.dc)
    ]
    if staying and not remaining:
        return PlacementFailure.ALL_EVACUATED
    if remaining and all(now < view.paused_until for view in remaining):
        return PlacementFailure.ALL_PAUSED
    if (not state.endpoint_limits.is_empty and _available(state, call, now) and
            not usable_endpoints(state, call, now)):
        return PlacementFailure.ALL_LIMITED
    return PlacementFailure.NO_ENDPOINT


def place_by_dc(inputs: _CostInputs,
                candidates: list[EndpointView]) -> list[Placement]:
    """Place a prompt on the engines of its context, or others beside them.

    A context belongs to this VM's data centre or, for a share of them, to
    another one that has more headroom. What fits nowhere there waits: sent to
    just any engine, its shared parts would be prefilled again, which overloads
    engines that still keep up.
    """
    state, now = inputs.state, inputs.now
    parts = inputs.call.request.parts
    work = hints.work_by_dc(state, inputs.call.service, now)
    inputs.home = home_dc(state, inputs.call, candidates, work, now)
    inputs.known_dcs = work
    inputs.assumed_remote_load = _mean_local_load(inputs, candidates)
    at_home = [view for view in candidates if view.entry.dc == inputs.home]
    selected = spill.select_engines(
        at_home, lambda view: cache.affinity(view.entry.id, parts))
    placements = place_on_engines(inputs, selected)
    if any(each.has_capacity for each in placements):
        return placements
    return place_on_engines(inputs, at_home or candidates)


def _engines_by_dc(state: 'GatewayState', service: ServiceId,
                   candidates: Sequence[EndpointView]) -> Mapping[DcId, float]:
    """Return the engines of each data centre, by speed if that is learned."""
    if not speed_updates.is_learned(state, service):
        return Counter(view.entry.dc for view in candidates)
    return {
        dc:
            endpoint_speed.capacity(
                state.speeds.estimate(view.entry.id)
                for view in candidates
                if view.entry.dc == dc)
        for dc in {view.entry.dc for view in candidates}
    }


def _is_closed(state: 'GatewayState', call: Call, dc: DcId, now: float) -> bool:
    """Return whether an evacuation keeps a request from a data centre."""
    return (state.evacuations.is_evacuated(dc) or
            dc in held_back_dcs(state, call, now))


def home_dc(state: 'GatewayState', call: Call,
            candidates: Sequence[EndpointView], work: Mapping[DcId, float],
            now: float) -> DcId:
    """Return the data centre to whose engines a prompt's context is assigned.

    Args:
        state: The VM's state.
        call: The request.
        candidates: The endpoints that may get it.
        work: Work that arrives in each data centre, in tokens per s.
        now: Loop time in s.
    """
    engines = _engines_by_dc(state, call.service, candidates)
    own = state.settings.dc
    shares = spill.compute_shares(own, work, engines)
    if own in shares and _is_closed(state, call, own, now):
        shares = spill.shares_by_engines(own, engines)
    return spill.assign(cache.context_id(call.request.parts), shares)


def usable_in_dc(state: 'GatewayState', call: Call,
                 now: float) -> list[EndpointView]:
    """Return this data centre's endpoints that may get a request now."""
    dc, unreached = state.settings.dc, hints.unreached(state, now)
    return [
        view for view in usable_endpoints(state, call, now)
        if view.entry.dc == dc and not _is_unreached(view, unreached)
    ]


def place_for_peer(state: 'GatewayState', call: Call,
                   candidates: Sequence[EndpointView],
                   peers: Callable[[EndpointId],
                                   PeerLoad], now: float) -> list[Placement]:
    """Place a prompt of another VM on engines of this data centre.

    Args:
        state: The coordinator's state.
        call: The request, as described by the other VM.
        candidates: The engines.
        peers: Load of each engine beyond this VM's own.
        now: Loop time in s.
    """
    inputs = _inputs(state, call, peers, now)
    # The coordinator knows which engine got which context.
    inputs.assumed_cached_ratio = 0.0
    return place_on_engines(inputs, candidates)


def place_granted(state: 'GatewayState', call: Call, endpoint: EndpointId,
                  now: float) -> Placement | None:
    """Place a prompt on the engine that a coordinator granted.

    Returns:
        The placement; None if this VM may not use the engine now.
    """
    candidates = [
        view for view in usable_endpoints(state, call, now)
        if view.entry.id == endpoint
    ]
    inputs = _inputs(state, call, hints.peer_load_lookup(state, now), now)
    placements = place_on_engines(inputs, candidates)
    return placements[0] if placements else None


def _inputs(state: 'GatewayState', call: Call,
            peers: Callable[[EndpointId], PeerLoad], now: float) -> _CostInputs:
    """Return what the costs of a request's candidates share."""
    service = state.config.services.get(call.service)
    return _CostInputs(state, call, now,
                       service.engine if service else None, peers,
                       memory_tokens(call.request), now - call.arrived_at,
                       state.settings.dc)


def _mean_local_load(inputs: _CostInputs,
                     candidates: list[EndpointView]) -> PeerLoad:
    """Return the mean load of the engines in this VM's data centre.

    Engines of a data centre whose load is not known are assumed to be as loaded
    as local ones. Otherwise they would look idle, and all VMs would send them
    at once what does not fit here.
    """
    dc = inputs.state.settings.dc
    local_views = [view for view in candidates if view.entry.dc == dc]
    if not local_views:
        return NO_LOAD
    total = PeerLoad()
    for view in local_views:
        peers = inputs.peers(view.entry.id)
        total.pending_tokens += view.pending_tokens + peers.pending_tokens
        total.memory_tokens += view.memory_tokens + peers.memory_tokens
        total.requests += len(view.in_flight) + peers.requests
    return PeerLoad(total.pending_tokens // len(local_views),
                    total.memory_tokens // len(local_views),
                    total.requests // len(local_views))


def _place_on_instance(inputs: _CostInputs, view: EndpointView) -> Placement:
    state, call = inputs.state, inputs.call
    requests = inputs.request_count(view, inputs.peers(view.entry.id))
    fill_ratio = (requests + 1) / max(1, view.entry.slots)
    typical_s = state.speeds.typical_s.get((call.service, call.route.name), 0.0)
    prediction = speed_updates.predict(state, view, typical_s, 0.0, requests,
                                       inputs.now)
    if prediction is not None:
        # Requests take the longer the slower an instance is, whether they wait
        # for a slot or not.
        fill_ratio *= prediction.slowdown
    cost = LATENCY_PENALTY * fill_ratio**2 + _fixed_cost(state, view)
    cost += MAX_RANDOM_PENALTY * state.rng.random()
    return Placement(view, None, 0, 0, cost, prediction=prediction)


def place_on_engines(inputs: _CostInputs,
                     candidates: Sequence[EndpointView]) -> list[Placement]:
    """Return the expected cost of a prompt on each candidate engine."""
    placements = []
    state, now = inputs.state, inputs.now
    model = inputs.call.request.model
    for view in candidates:
        if view.is_version_unknown(model):
            continue
        version = view.versions.get(model)
        replaced_at = state.versions.replaced_at(model, version)
        replaced_for_s = 0.0 if replaced_at is None else now - replaced_at
        if replaced_at is not None and may_start_late(
                replaced_for_s, _start_delay_s(inputs, view),
                state.settings.bounds.version_s):
            continue
        placement = _place_on_engine(inputs, view, inputs.prompt_for(version))
        if replaced_for_s > OLD_VERSION_GRACE_S:
            placement.cost += OLD_VERSION_PENALTY
        placements.append(placement)
    max_reused = max((each.reused_tokens for each in placements), default=0)
    for each in placements:
        each.cost += (RECOMPUTE_PENALTY * (max_reused - each.reused_tokens) /
                      1_000)
    _apply_preferred_bonus(inputs, placements)
    return placements


def may_start_late(replaced_for_s: float, start_delay_s: float,
                   bound_s: float) -> bool:
    """Return whether a request may begin on replaced weights after the bound.

    Made for engines whose queues are long while others load new weights.

    Args:
        replaced_for_s: Time since the weights were replaced, in s.
        start_delay_s: Expected time until the engine begins the request, in s.
        bound_s: Time after which nothing may begin on replaced weights, in s.
    """
    margin_s = min(MAX_VERSION_MARGIN_S, start_delay_s + START_MARGIN_S)
    return replaced_for_s > bound_s - max(VERSION_MARGIN_S, margin_s)


def _start_delay_s(inputs: _CostInputs, view: EndpointView) -> float:
    """Return the expected time until an engine begins another request, in s.

    Requests in its queue begin as its runs end.
    """
    queued = view.pending_tokens + inputs.peer_load(view).pending_tokens
    delay_s = queued / PREFILL_TOKENS_PER_S
    prediction = speed_updates.predict(inputs.state, view, delay_s, 0.0,
                                       len(view.in_flight), inputs.now)
    if prediction is not None:
        delay_s *= prediction.slowdown
    load = view.load
    if (load is not None and load.waiting and
            inputs.now - load.reported_at <= MAX_LOAD_AGE_S):
        delay_s += (load.waiting + 1) * ASSUMED_RUN_S / max(1, load.running)
    return delay_s


def _apply_preferred_bonus(inputs: _CostInputs,
                           placements: list[Placement]) -> None:
    """Lower the cost of the engine that all VMs of this data centre prefer."""
    parts = inputs.call.request.parts
    at_home = [each for each in placements if each.view.entry.dc == inputs.home]
    preferred = max(at_home or placements,
                    key=lambda each: cache.affinity(each.view.entry.id, parts),
                    default=None)
    if preferred is None:
        return
    shared = sum(part.tokens for part in parts[:-1])
    unknown_kilotokens = max(0, shared - preferred.reused_tokens) / 1_000
    preferred.cost -= (
        PREFERRED_ENGINE_BONUS +
        RECOMPUTE_PENALTY * inputs.assumed_cached_ratio * unknown_kilotokens)


def _place_on_engine(inputs: _CostInputs, view: EndpointView,
                     prompt: _VersionedPrompt) -> Placement:
    state, call = inputs.state, inputs.call
    request = call.request
    cached_parts = state.cache.count_cached_parts(view.entry.id, prompt.keys)
    cached_tokens = sum(
        part.tokens
        for part in request.parts[:cached_parts]) if cached_parts else 0
    fetch_plan = inputs.fetch_plan(prompt, cached_parts)
    reused = max(cached_tokens, fetch_plan.tokens)
    prefill = max(1, request.prompt_tokens - reused)
    peers = inputs.peer_load(view)
    queued = view.pending_tokens + peers.pending_tokens
    requests = inputs.request_count(view, peers)
    prediction = speed_updates.predict(
        state, view, expected_latency_s(queued, prefill, requests, 0.0),
        fetch_plan.seconds, requests, inputs.now)
    slowdown = 1.0 if prediction is None else prediction.slowdown
    first_event_s = expected_latency_s(queued, prefill, requests,
                                       fetch_plan.seconds, slowdown)
    latency_s = inputs.waited_s + first_event_s
    cost = LATENCY_PENALTY * (latency_s / call.route.target_s)**2
    used_memory = view.memory_tokens + peers.memory_tokens
    cost += _memory_cost(inputs, used_memory) + _fixed_cost(state, view)
    return Placement(view,
                     prompt.version,
                     prefill,
                     reused,
                     cost,
                     fetch_plan,
                     _has_capacity(inputs, view, used_memory),
                     prediction=prediction,
                     first_event_s=first_event_s,
                     backlog_s=expected_latency_s(queued, 0, 0, 0.0, slowdown))


def expected_latency_s(queued_tokens: int,
                       prefill_tokens: int,
                       requests: int,
                       fetch_s: float,
                       slowdown: float = 1.0) -> float:
    """Return the expected time from a send to its first event, in s.

    Args:
        queued_tokens: Prompt tokens of earlier requests that the engine has yet
            to compute.
        prefill_tokens: Prompt tokens of the request itself to compute.
        requests: Requests on the engine.
        fetch_s: Time to fetch stored parts of the prompt, in s.
        slowdown: Time that the engine takes, relative to the constants.
    """
    prefill_s = (queued_tokens + prefill_tokens) / PREFILL_TOKENS_PER_S
    if slowdown != 1.0:
        return slowdown * (prefill_s + DELAY_PER_REQUEST_S * requests) + fetch_s
    return prefill_s + fetch_s + DELAY_PER_REQUEST_S * requests


def _memory_cost(inputs: _CostInputs, used_memory: int) -> float:
    """Return the cost of exceeding the engine's memory with this run."""
    if inputs.engine is None:
        return 0.0
    filled = used_memory + inputs.memory_tokens
    excess = (filled / max(1, inputs.engine.cache_tokens) -
              UNPENALIZED_FILL_RATIO)
    return MEMORY_PENALTY * excess if excess > 0.0 else 0.0


def _has_capacity(inputs: _CostInputs, view: EndpointView,
                  used_memory: int) -> bool:
    """Return whether the run fits beside those that the engine already has.

    An engine without known runs accepts a request of any size. One that returns
    accepts this VM's share only.
    """
    if inputs.engine is None or not used_memory:
        return True
    memory = inputs.engine.cache_tokens
    if view.is_returning and not returning.may_send(
            view.memory_tokens, inputs.memory_tokens,
            MAX_LARGE_FILL_RATIO * memory, inputs.state.retries.vm_count):
        return False
    if inputs.memory_tokens < LARGE_REQUEST_RATIO * memory:
        return True
    load = view.load
    if (load is not None and load.waiting and
            inputs.now - load.reported_at <= MAX_QUEUE_REPORT_AGE_S):
        return False
    needed = used_memory + OWN_SIZE_RATIO * inputs.memory_tokens
    return needed <= MAX_LARGE_FILL_RATIO * memory


def memory_tokens(request: Request) -> int:
    """Return the KV cache memory of a run when it ends, in tokens."""
    output = request.expected_tokens or request.output_tokens
    return request.prompt_tokens + output


def _fixed_cost(state: 'GatewayState', view: EndpointView) -> float:
    remote = 0.0 if view.entry.dc == state.settings.dc else REMOTE_PENALTY
    return remote + FAILURE_PENALTY * view.failures
