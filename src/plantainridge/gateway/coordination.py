"""Coordinated placement of large prompts, from the side of both VMs.

The VM that reports a data centre's load also grants its engines to the large
prompts of all VMs, since it knows at once what it granted. See
`docs/design/coordinated-placement.md`.
"""

import math
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import (cache, capacity_queue, containment, dispatch,
                                   drain, endings, grants, hints, placement,
                                   placement_requests, suspects)
from plantainridge.gateway.capacity_queue import Offer, QueuedRequest
from plantainridge.gateway.config import RequestKind, Route, Team
from plantainridge.gateway.endpoints import EndpointView, Grant, InFlightSend
from plantainridge.gateway.events import Request
from plantainridge.gateway.grants import GrantedRun, GrantKey, Group
from plantainridge.gateway.peer_loads import NO_LOAD, PeerLoad
from plantainridge.gateway.peer_messages import (OwnLoad, PeerMessage,
                                                 PlacementAnswer,
                                                 PlacementRequest, RunReport)
from plantainridge.gateway.placement import Placement
from plantainridge.gateway.placement_requests import Ask
from plantainridge.gateway.requests import Call, PlacementFailure
from plantainridge.ids import (DcId, EndpointId, Incarnation, RequestId,
                               ServiceId, VmId)
from plantainridge.loop.effects import Effect, LogLine, Observe, SetTimer
from plantainridge.loop.events import Event, TimerFired

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time from a grant until the reports of load show it: of a VM of this data
# centre, and of another data centre.
LOCAL_SETTLE_S: Final = 0.6
REMOTE_SETTLE_S: Final = 1.5
# Time without a report of load after which the runs of a VM, or of another data
# centre, no longer count.
SILENT_GROUP_S: Final = 2.4


@attrs.frozen
class PlacementRequested(Event):
    """A VM asks this one for an engine."""

    message: PlacementRequest


@attrs.frozen
class PlacementAnswered(Event):
    """A coordinator answered a placement request."""

    message: PlacementAnswer


@attrs.frozen
class RunReported(Event):
    """A VM reported the progress of a granted run."""

    message: RunReport


# --- At the requesting VM ---------------------------------------------------


def on_answer(state: 'GatewayState', event: PlacementAnswered,
              now: float) -> Iterator[Effect]:
    """Send a request to the granted engine, refuse it, or decide on it."""
    answer, coordination = event.message, state.coordination
    if answer.incarnation != state.incarnation:
        return
    coordination.incarnations[answer.vm] = answer.coordinator_incarnation
    waiting = coordination.asks.get(answer.number)
    call = state.calls.calls.get(waiting.call) if waiting else None
    if waiting is None or call is None or waiting.coordinator != answer.vm:
        yield from _return_unused(state, answer)
        return
    coordination.silent_until.pop(answer.vm, None)
    if answer.endpoint is not None:
        yield from _send_granted(state, call, answer, now)
    elif answer.is_declined:
        yield from placement_requests.record_fallback(call, 'declined',
                                                      answer.vm,
                                                      now - call.arrived_at)
        yield from placement_requests.close(state, call)
        yield from dispatch.dispatch(state, call, now)
    elif answer.retry_after_s is not None:
        yield from placement_requests.close(state, call)
        yield from endings.fail_request(state, call,
                                        PlacementFailure.NO_CAPACITY.value,
                                        answer.retry_after_s, now)
    else:
        yield from _stay_queued(call, waiting, now)


def _return_unused(state: 'GatewayState',
                   answer: PlacementAnswer) -> Iterator[Effect]:
    """Return an engine that was granted too late, or twice."""
    if answer.endpoint is None:
        return
    known = state.coordination.grants.get(answer.number)
    if (known is None or known.coordinator != answer.vm or
            known.incarnation != answer.coordinator_incarnation):
        yield from placement_requests.post(
            state, answer.vm,
            RunReport(state.settings.vm, state.incarnation, answer.number,
                      True))


def _send_granted(state: 'GatewayState', call: Call, answer: PlacementAnswer,
                  now: float) -> Iterator[Effect]:
    """Send a request to its granted engine, if this VM may still use it."""
    assert answer.endpoint is not None
    yield from placement_requests.close(state, call)
    grant = Grant(answer.vm, answer.coordinator_incarnation, answer.number)
    _record_cached(state, call, answer)
    choice = placement.place_granted(state, call, answer.endpoint, now)
    if (choice is None or state.paths.is_lost(call.service) or
            drain.is_too_late(state, call, now) or
            not suspects.admits(state, call, now)):
        yield from placement_requests.record_fallback(call,
                                                      'engine unavailable',
                                                      answer.vm,
                                                      now - call.arrived_at)
        yield from placement_requests.report_end(state, grant)
        yield from dispatch.dispatch(state, call, now)
        return
    choice.grant = grant
    state.coordination.grants[grant.number] = grant
    yield Observe('placement_s', '', call.route.name, now - call.arrived_at)
    yield from dispatch.send(state, call, choice, now)


def _record_cached(state: 'GatewayState', call: Call,
                   answer: PlacementAnswer) -> None:
    """Record what the granted engine has cached according to the answer."""
    view = state.endpoints.get(answer.endpoint or EndpointId(''))
    if view is None or not answer.cached_parts:
        return
    request = call.request
    salt = cache.make_salt(request.model, view.versions.get(request.model),
                           call.team)
    state.cache.record_prefill(view.entry.id, salt,
                               request.parts[:answer.cached_parts])


def _stay_queued(call: Call, waiting: Ask, now: float) -> Iterator[Effect]:
    if not waiting.is_queued:
        yield LogLine('request_queued',
                      (('request', call.request.attempt_id),
                       ('coordinator', waiting.coordinator),
                       ('memory_tokens', waiting.message.memory_tokens)))
    waiting.is_queued, waiting.asked_at = True, math.inf
    waiting.due_at = min(now + placement_requests.QUEUED_REPEAT_INTERVAL_S,
                         max(now, _refused_at(call)))
    yield SetTimer(placement_requests.ask_key(waiting.call), waiting.due_at)


def _refused_at(call: Call) -> float:
    """Return the loop time until which a request waits for memory, in s."""
    return (call.arrived_at +
            capacity_queue.MAX_WAIT_RATIO * call.route.target_s)


def on_ask_due(state: 'GatewayState', event: TimerFired,
               now: float) -> Iterator[Effect]:
    """Repeat a placement request, or decide without the coordinator."""
    call = state.calls.calls.get(RequestId(event.key.subject))
    if call is None or call.ask is None:
        return
    waiting = state.coordination.asks[call.ask]
    if waiting.is_queued and now >= _refused_at(call):
        yield from endings.fail_request(
            state, call, PlacementFailure.NO_CAPACITY.value,
            state.rng.uniform(*dispatch.CAPACITY_RETRY_AFTER_S), now)
        return
    if math.isinf(waiting.asked_at):
        waiting.asked_at = now
    if now < waiting.asked_at + placement_requests.FALLBACK_S:
        yield from placement_requests.repeat(state, call, waiting, now)
        return
    if now - waiting.due_at <= placement_requests.MAX_TIMER_DELAY_S:
        state.coordination.silent_until[waiting.coordinator] = (
            now + placement_requests.SILENCE_S)
    yield from placement_requests.record_fallback(call, 'no answer',
                                                  waiting.coordinator,
                                                  now - call.arrived_at)
    yield from placement_requests.withdraw(state, call)
    yield from dispatch.dispatch(state, call, now)


# --- At the coordinator -----------------------------------------------------


def on_request(state: 'GatewayState', event: PlacementRequested,
               now: float) -> Iterator[Effect]:
    """Grant an engine, queue the request, or refuse it."""
    message, coordination = event.message, state.coordination
    key, ledger = grants.key_of(message), coordination.ledger
    if message.is_withdrawn:
        coordination.queue.entries.pop(key, None)
        yield from _end_run(state, key, now)
        return
    if key in ledger.ended:
        return
    run = ledger.runs.get(key)
    if run is not None:
        yield from placement_requests.post(state, message.vm, run.answer)
        return
    queued = coordination.queue.entries.get(key)
    if queued is not None:
        queued.repeated_at, queued.message = now, message
    elif not _can_decide(state, message, now):
        yield from placement_requests.post(
            state, message.vm, _answer(state, message, is_declined=True))
        return
    else:
        queue = coordination.queue
        queue.add(
            QueuedRequest(message, cache.context_id(message.parts),
                          now - message.waited_s, now, now), now)
        if (len(queue.entries) == 1 or
                message.memory_tokens < queue.unplaced_tokens):
            yield from _serve_queue(state, now)
        else:
            # A request that is no larger did not fit just before.
            yield from _refuse_overdue(state, now)
    if key in coordination.queue.entries:
        yield from placement_requests.post(state, message.vm,
                                           _answer(state, message))


def on_run_report(state: 'GatewayState', event: RunReported,
                  now: float) -> Iterator[Effect]:
    """Apply the progress of a granted run."""
    key = grants.key_of(event.message)
    if event.message.has_ended:
        yield from _end_run(state, key, now)
    else:
        is_new = state.coordination.ledger.finish_prefill(key)
        if is_new and state.coordination.queue.entries:
            yield from _serve_queue(state, now)


def on_own_messages(state: 'GatewayState', event: TimerFired,
                    now: float) -> Iterator[Effect]:
    """Handle the messages of this VM to itself."""
    del event
    coordination = state.coordination
    messages, coordination.own_messages = coordination.own_messages, []
    for each in messages:
        if isinstance(each, PlacementRequest):
            handled = on_request(state, PlacementRequested(each), now)
        elif isinstance(each, PlacementAnswer):
            handled = on_answer(state, PlacementAnswered(each), now)
        elif isinstance(each, RunReport):
            handled = on_run_report(state, RunReported(each), now)
        else:
            continue
        # These messages are not repeated: an error must not lose the others.
        yield from containment.contain_request(state, handled, 'coordination',
                                               request_of(state, each), now)


def request_of(state: 'GatewayState', message: PeerMessage) -> RequestId | None:
    """Return this VM's request that a coordinator's answer is about, if any."""
    if not isinstance(message, PlacementAnswer):
        return None
    waiting = state.coordination.asks.get(message.number)
    return waiting.call if waiting is not None else None


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Correct the ledger, serve the queue and repeat run reports."""
    coordination = state.coordination
    coordination.services = _coordinated_services(state)
    if coordination.reports:
        yield from placement_requests.repeat_reports(state)
    _count_grants(state, now)
    if coordination.ledger.runs or coordination.ledger.ended:
        yield from _correct_ledger(state, now)
    if coordination.queue.entries:
        coordination.queue.drop_unrepeated(now)
        yield from _serve_queue(state, now)


def _coordinated_services(state: 'GatewayState') -> frozenset[ServiceId]:
    """Return the services whose large prompts are coordinated."""
    if hints.shares_load_directly(state):
        return frozenset()
    if state.settings.has_memory_pressure:
        return frozenset(name for name, each in state.config.services.items()
                         if each.engine is not None)
    return frozenset(
        view.entry.service
        for view in state.endpoints.values()
        if view.load is not None and view.load.slowdown is not None)


def _count_grants(state: 'GatewayState', now: float) -> None:
    """Mark the grants of processes that no longer coordinate.

    Their runs are ordinary load to the present coordinators.
    """
    coordination, reports = state.coordination, state.hints.reports
    if not coordination.grants or not reports.is_fresh(now):
        return
    current = set(reports.coordinators.values())
    for grant in coordination.grants.values():
        grant.is_counted = (grant.coordinator in current and _incarnation(
            state, grant.coordinator) == grant.incarnation)


def _incarnation(state: 'GatewayState', vm: VmId) -> Incarnation | None:
    """Return the latest known incarnation of a coordinator, or None."""
    received = state.hints.received.get(vm)
    if received is not None:
        return received.hint.incarnation
    return state.coordination.incarnations.get(vm)


def _can_decide(state: 'GatewayState', message: PlacementRequest,
                now: float) -> bool:
    """Return whether this VM knows enough to grant engines.

    After a suspension its knowledge of load is old, and so are the requests.
    After a start it has not received the load of all VMs.
    """
    service = state.config.services.get(message.service)
    return (message.service in state.coordination.services and
            service is not None and service.engine is not None and
            now >= state.hints.grace_until and not state.exiting and
            not state.suspension.may_have_backlog(now))


def _answer(state: 'GatewayState',
            message: PlacementRequest,
            endpoint: EndpointId | None = None,
            cached_parts: int = 0,
            retry_after_s: float | None = None,
            is_declined: bool = False) -> PlacementAnswer:
    return PlacementAnswer(state.settings.vm, state.incarnation,
                           message.incarnation, message.number, endpoint,
                           cached_parts, retry_after_s, is_declined)


def _end_run(state: 'GatewayState', key: GrantKey,
             now: float) -> Iterator[Effect]:
    """Free what a run takes and grant it to requests that wait."""
    run = state.coordination.ledger.end(key, now)
    if run is None:
        return
    queue = state.coordination.queue
    queue.freed.add(run.memory_tokens, now)
    if queue.entries:
        yield from _serve_queue(state, now)


def _serve_queue(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Grant free memory in order; refuse what cannot get any in time."""
    queue = state.coordination.queue
    placements: dict[GrantKey, Placement] = {}
    candidates: dict[tuple[ServiceId, frozenset[DcId]], list[EndpointView]] = {}
    lookup = _load_lookup(state, now)
    unservable: list[QueuedRequest] = []

    def offer(request: QueuedRequest,
              reserved: set[EndpointId]) -> Offer | None:
        call = _call_of(request, now)
        group = call.service, placement.held_back_dcs(state, call, now)
        if group not in candidates:
            candidates[group] = placement.usable_in_dc(state, call, now)
        allowed = [
            view for view in candidates[group]
            if view.entry.id not in request.message.excluded
        ]
        found = placement.place_for_peer(state, call, allowed, lookup, now)
        if not found:
            unservable.append(request)
        found = [each for each in found if each.view.entry.id not in reserved]
        fitting = [each for each in found if each.has_capacity]
        if fitting:
            best = min(fitting, key=lambda each: each.cost)
            placements[grants.key_of(request.message)] = best
            return Offer(best.view.entry.id, True, best.first_event_s,
                         best.backlog_s)
        if not found:
            return None
        emptiest = min(found,
                       key=lambda each: each.view.memory_tokens + lookup(
                           each.view.entry.id).memory_tokens)
        return Offer(emptiest.view.entry.id, False)

    for request, _ in queue.choose(offer, now):
        yield from _grant(state, request,
                          placements[grants.key_of(request.message)], now)
    for request in unservable:
        del queue.entries[grants.key_of(request.message)]
        yield from placement_requests.post(
            state, request.message.vm,
            _answer(state, request.message, is_declined=True))
    yield from _refuse_overdue(state, now)


def _refuse_overdue(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Refuse the requests that memory will not be freed for in time."""
    queue = state.coordination.queue
    for refusal in queue.refusals(now):
        message = refusal.request.message
        del queue.entries[grants.key_of(message)]
        yield LogLine('placement_refused',
                      (('vm', message.vm), ('number', message.number),
                       ('waited_s', round(now - refusal.request.arrived_at, 4)),
                       ('retry_after_s', round(refusal.retry_after_s, 3)),
                       ('queued', len(queue.entries))))
        yield Observe('placement_retry_after_s', '', message.service,
                      refusal.retry_after_s)
        yield from placement_requests.post(
            state, message.vm,
            _answer(state, message, retry_after_s=refusal.retry_after_s))


def _grant(state: 'GatewayState', request: QueuedRequest, choice: Placement,
           now: float) -> Iterator[Effect]:
    """Grant an engine, and record what it will have cached."""
    message, coordination = request.message, state.coordination
    endpoint = choice.view.entry.id
    salt = cache.make_salt(message.model, choice.version, _team(message))
    cached_parts = state.cache.count_cached_parts(
        endpoint, cache.part_keys(salt, message.parts))
    state.cache.record_prefill(endpoint, salt, message.parts)
    answer = _answer(state, message, endpoint, cached_parts)
    key = grants.key_of(message)
    coordination.ledger.add(
        GrantedRun(key, _group_of(state, message), endpoint,
                   choice.prefill_tokens, message.memory_tokens, now,
                   now + message.remaining_s + grants.EXPIRY_MARGIN_S, answer))
    coordination.queue.record_grant(request, now)
    queued_s = now - request.queued_at
    yield LogLine('placement_granted',
                  (('vm', message.vm), ('number', message.number),
                   ('endpoint', endpoint), ('cost', round(choice.cost, 4)),
                   ('read_tokens', choice.prefill_tokens),
                   ('queued_s', round(queued_s, 4)),
                   ('queued', len(coordination.queue.entries))))
    yield Observe('placement_queue_s', '', message.service, queued_s)
    yield from placement_requests.post(state, message.vm, answer)


def _call_of(request: QueuedRequest, now: float) -> Call:
    """Return a request of another VM as placement takes it."""
    message = request.message
    route = Route('', '', '', RequestKind.STREAM, (), message.target_s,
                  message.remaining_s)
    described = Request(RequestId(''),
                        '',
                        '',
                        '',
                        '', (),
                        b'',
                        model=message.model,
                        prompt_tokens=message.prompt_tokens,
                        output_tokens=message.memory_tokens -
                        message.prompt_tokens,
                        parts=message.parts)
    return Call(described, route, message.service, _team(message),
                request.arrived_at, now + message.remaining_s, message.urgency)


def _team(message: PlacementRequest) -> Team | None:
    if not message.team:
        return None
    return Team(message.team, frozenset(), isolated=message.is_isolated)


def _group_of(state: 'GatewayState', message: PlacementRequest) -> Group:
    """Return whose reports of load show the runs of a VM."""
    peer = state.peers.get(message.vm)
    if peer is None or peer.dc == state.settings.dc:
        return message.vm
    return DcId(peer.dc)


def _load_lookup(state: 'GatewayState',
                 now: float) -> Callable[[EndpointId], PeerLoad]:
    """Return a function that gives an engine's load beyond this VM's own.

    What this VM granted is known exactly. Of other load, what reports state
    counts, less the granted share stated in them.
    """
    ledger = state.coordination.ledger
    hinted = state.hints.loads.fresh(now)
    remote = [each.loads for each in state.hints.reports.fresh_dc_loads(now)]

    def lookup(name: EndpointId) -> PeerLoad:
        granted = ledger.load(name)
        total = PeerLoad(granted.pending_tokens, granted.memory_tokens,
                         granted.requests)
        stated_tokens = 0
        stated: list[PeerLoad | OwnLoad] = [hinted.get(name, NO_LOAD)]
        stated.extend(loads[name] for loads in remote if name in loads)
        for load in stated:
            _add_ordinary(total, load)
            stated_tokens += load.granted_memory_tokens
        total.memory_tokens += ledger.unknown_memory(name, stated_tokens, now)
        for send in _own_grants(state.endpoints.get(name)):
            total.pending_tokens -= send.pending_tokens
            total.memory_tokens -= send.memory_tokens
            total.requests -= 1
        return total

    return lookup


def _own_grants(view: EndpointView | None) -> list[InFlightSend]:
    return view.counted_grants() if view is not None else []


def _add_ordinary(total: PeerLoad, load: PeerLoad | OwnLoad) -> None:
    """Add the share of a load that no coordinator granted."""
    total.pending_tokens += load.pending_tokens - load.granted_pending_tokens
    total.memory_tokens += load.memory_tokens - load.granted_memory_tokens
    total.requests += load.requests - load.granted_requests


def _correct_ledger(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """End the runs that expired or that later reports do not show."""
    ledger = state.coordination.ledger
    state.hints.loads.fresh(now)
    gone = ledger.expired(now)
    for group in list(ledger.groups):
        gone += _missing_of(state, group, now)
    for key in gone:
        yield from _end_run(state, key, now)
    if gone:
        yield LogLine('grants_dropped', (('runs', len(gone)),))


def _missing_of(state: 'GatewayState', group: Group,
                now: float) -> list[GrantKey]:
    """Return the runs of a group that its latest report does not show."""
    ledger = state.coordination.ledger
    if group == state.settings.vm:
        return []
    settle_s = LOCAL_SETTLE_S
    report = state.hints.loads.reports.get(VmId(group))
    at, loads = (report.at, report.loads) if report else (-math.inf, {})
    remote = state.hints.reports.dc_loads.get(DcId(group))
    if remote is not None:
        at, loads, settle_s = remote.at, remote.load.loads, REMOTE_SETTLE_S
    if now - at > SILENT_GROUP_S:
        return list(ledger.missing(group, {}, now - SILENT_GROUP_S))
    if at <= ledger.corrected_at.get(group, -math.inf):
        return []
    ledger.corrected_at[group] = at
    return list(ledger.missing(group, loads, at - settle_s))
