"""Dispatch of requests: sends them, queues them, or refuses them.

Bursts and endpoints that are briefly saturated are absorbed by a queue: a
request waits if an endpoint is expected to be available in time. Otherwise it
is refused at once with a retry delay. A large request waits here while no
engine has memory for it: sent to an engine, it would cause other runs to be
preempted and prefilled again.
"""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import (builds, cache, containment, drain, endings,
                                   endpoint_limits, health, paths, placement,
                                   placement_requests, retries, stored_parts,
                                   suspects, tunnel_peers)
from plantainridge.gateway import effects as fx
from plantainridge.gateway.config import RequestKind, Service
from plantainridge.gateway.endpoints import InFlightSend
from plantainridge.gateway.events import View
from plantainridge.gateway.notices import (MAX_PAUSE_SPREAD_S,
                                           PAUSE_SPREAD_RATIO)
from plantainridge.gateway.placement import Placement
from plantainridge.gateway.requests import (CALL_LIFECYCLE, Attempt, Call,
                                            CallPhase, PlacementFailure,
                                            SendLimit)
from plantainridge.ids import AttemptId, DcId, ServiceId
from plantainridge.loop.effects import Effect, LogLine, SetTimer

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time for which a request waits while no endpoint is available, relative to its
# route's target.
WAIT_RATIO: Final = 0.125
# Share of a request's total time for which it waits for an endpoint whose
# cool-down ends within it.
RECOVERY_WAIT_RATIO: Final = 0.4
# Time for which a request waits for an engine's memory, relative to its route's
# target; callers abandon a stream that has not begun after four times the
# target.
CAPACITY_WAIT_RATIO: Final = 2.0
# Range of the retry delay of callers refused after a wait for memory: runs end
# after about 3 s, and callers refused together should not return together.
CAPACITY_RETRY_AFTER_S: Final = (0.8, 1.6)
# Range of the retry delay of callers refused because of endpoints' limits:
# another VM may admit them at once, and this one soon.
LIMITED_RETRY_AFTER_S: Final = (0.2, 0.5)
# Reasons for which a request that has not run is refused at once: it can be
# served only once an endpoint returns or is added.
UNSERVABLE: Final = frozenset({
    PlacementFailure.ALL_PAUSED, PlacementFailure.ALL_LEAVING,
    PlacementFailure.NO_BUILD, PlacementFailure.ALL_EVACUATED
})
# Those that no wait within a request's time is likely to end: streams that have
# begun end as well.
LASTING: Final = frozenset(
    {PlacementFailure.NO_BUILD, PlacementFailure.ALL_EVACUATED})
# Time that must be left to send a request again, relative to its route's
# target.
MIN_REMAINING_RATIO: Final = 0.1
# Gap after which callers abandon a stream: the largest of a time in s and of
# multiples of its route's target and longest gap.
MIN_CALLER_GAP_S: Final = 2.0
CALLER_TARGET_RATIO: Final = 4.0
CALLER_GAP_RATIO: Final = 8.0
# Time by which a caller receives an event later than this VM, at most, in s.
CALLER_DELAY_S: Final = 0.5
# Bounds of the delay after which a refused caller may retry.
MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 2.0
# Share of the expected rest of an evacuation by which retry delays differ.
EVACUATION_SPREAD_RATIO: Final = 0.25

# Service, build, and data centres that a request does not return to yet.
_Group = tuple[ServiceId, str | None, frozenset[DcId]]


def dispatch(state: 'GatewayState', call: Call, now: float) -> Iterator[Effect]:
    """Send a request, queue it, or refuse it."""
    if drain.is_too_late(state, call, now):
        yield from drain.end_call(state, call, now)
        return
    if not suspects.admits(state, call, now):
        yield from endings.fail_request(
            state, call, 'it, or a part of it, crashes endpoints',
            suspects.RETRY_AFTER_S, now)
        return
    if suspects.is_record_awaited(state, now):
        yield from _wait(state, call, PlacementFailure.SUSPECTS_UNREAD, now)
        return
    choice: Placement | PlacementFailure = PlacementFailure.ALL_LIMITED
    if not endpoint_limits.has_urgent_before(state, call, now):
        if (yield from placement_requests.ask(state, call, now)):
            return
        choice = choose(state, call, now)
    if isinstance(choice, Placement) and may_send(state, call, now):
        yield from send(state, call, choice, now)
        return
    if isinstance(choice, Placement):
        if (not call.reply_started or
                send_limit(state, call, now) is not SendLimit.BUDGET):
            yield from endings.fail_request(state, call,
                                            PlacementFailure.NO_RETRY.value,
                                            MIN_RETRY_AFTER_S, now)
            return
        choice = PlacementFailure.NO_RETRY
    may_wait = call.executions or call.reply_started
    if choice in LASTING or (choice in UNSERVABLE and not may_wait):
        yield from endings.fail_request(
            state, call, choice.value, _retry_after_s(state, call, choice, now),
            now)
        return
    yield from _wait(state, call, choice, now)
    yield from _refuse_overdue(state, call, now)


def _wait(state: 'GatewayState', call: Call, reason: PlacementFailure,
          now: float) -> Iterator[Effect]:
    """Let a request wait; it is dispatched again at the next tick."""
    if call.phase is not CallPhase.WAITING:
        CALL_LIFECYCLE.fire(call, 'wait')
        call.waiting_since = now
    if call.wait_reason is not reason:
        call.wait_reason = reason
        yield _wait_log_line(state, call, reason, now)


def _refuse_overdue(state: 'GatewayState', call: Call,
                    now: float) -> Iterator[Effect]:
    """Refuse a request whose time to wait is over."""
    if call.wait_reason is None or now < _wait_until(state, call, now):
        return
    retry_after_s = _retry_after_s(state, call, call.wait_reason, now)
    yield from endings.fail_request(state, call, call.wait_reason.value,
                                    retry_after_s, now)


def choose(state: 'GatewayState', call: Call,
           now: float) -> Placement | PlacementFailure:
    """Choose an endpoint; a retry may go where the request does not fit.

    An endpoint that was given up may be chosen again if no other is available.
    So may those that were not reached on a path that is lost.
    """
    if state.paths.is_lost(call.service):
        call.tried -= call.unreached
        call.unreached.clear()
    choice = placement.choose(state, call, now)
    is_resumed = call.sends or call.build is not None
    if choice is PlacementFailure.NO_CAPACITY and is_resumed:
        choice = placement.choose(state, call, now, ignore_capacity=True)
    if call.given_up and not isinstance(choice, Placement):
        call.tried -= call.given_up
        call.given_up.clear()
        return choose(state, call, now)
    return choice


def _wait_until(state: 'GatewayState', call: Call, now: float) -> float:
    """Return the loop time until which a request waits for an endpoint, in s.

    A request waits for an endpoint whose cool-down ends soon, as long as an
    answer can still arrive in time; otherwise its caller should retry. The same
    holds once the wait for an engine's memory has become so long that the
    answer would start too late for the caller. Where limits allow nothing soon,
    it does not wait at all: another VM may admit it. A stream that has begun
    waits as long as its caller, unless only an endpoint that is added could
    serve it.
    """
    if call.wait_reason is PlacementFailure.NO_CAPACITY:
        return call.arrived_at + CAPACITY_WAIT_RATIO * call.route.target_s
    if call.wait_reason is PlacementFailure.SUSPECTS_UNREAD:
        return call.expires_at
    available_at = _available_at(state, call)
    latest_at = call.arrived_at + RECOVERY_WAIT_RATIO * (call.expires_at -
                                                         call.arrived_at)
    if call.wait_reason is PlacementFailure.NO_PATH:
        is_short = available_at < call.waiting_since + paths.MAX_OUTAGE_S
        wait_until = (min(available_at, latest_at) if is_short else
                      call.arrived_at + WAIT_RATIO * call.route.target_s)
    elif call.wait_reason is PlacementFailure.ALL_LIMITED:
        wait_until = call.waiting_since + WAIT_RATIO * call.route.target_s
        if call.executions:
            wait_until = latest_at
        if endpoint_limits.opens_at(state, call, now) > wait_until:
            wait_until = now
    elif available_at < latest_at:
        wait_until = latest_at
    else:
        wait_until = call.waiting_since + WAIT_RATIO * call.route.target_s
    if call.reply_started and _has_untried(state, call):
        return max(wait_until, _abandoned_at(call))
    return wait_until


def _has_untried(state: 'GatewayState', call: Call) -> bool:
    """Return whether an endpoint that stays may still serve a request."""
    return any(view.entry.id not in call.tried and
               placement.may_serve(state, call, view)
               for view in state.endpoints.values())


def _abandoned_at(call: Call) -> float:
    """Return the loop time at which a stream's caller abandons it, in s."""
    gap_s = max(MIN_CALLER_GAP_S, CALLER_TARGET_RATIO * call.route.target_s,
                CALLER_GAP_RATIO * call.route.gap_s)
    return min(call.progress_at + gap_s + CALLER_DELAY_S, call.expires_at)


def may_send(state: 'GatewayState', call: Call, now: float) -> bool:
    """Return whether a request may be sent, for the first time or again."""
    return call.sends == 0 or may_retry(state, call, now)


def may_retry(state: 'GatewayState', call: Call, now: float) -> bool:
    """Return whether all limits allow a request to be sent again."""
    return (send_limit(state, call, now) is None and
            suspects.admits(state, call, now))


def send_limit(state: 'GatewayState',
               call: Call,
               now: float,
               budget_ratio: float = 1.0) -> SendLimit | None:
    """Return the limit that prevents a request from being sent again, or None.

    The quarantine is not considered: asking it may reserve the probe.

    Args:
        state: The VM's state.
        call: The request.
        now: Loop time in s.
        budget_ratio: Share of the retry budget that the send may use.
    """
    # Sends that reached no endpoint do not count for a stream that has begun,
    # nor those that found another run, or a peer that opened no tunnel, for any
    # request.
    sends = (call.deliveries if call.reply_started else call.sends -
             call.misdirected - len(call.failed_peers))
    if sends >= retries.MAX_SENDS or call.executions >= call.route.attempts:
        return SendLimit.ATTEMPTS
    if call.expires_at - now < MIN_REMAINING_RATIO * call.route.target_s:
        return SendLimit.TIME
    if call.deliveries and not state.retries.allows(call.service, now,
                                                    budget_ratio):
        return SendLimit.BUDGET
    return None


def send(state: 'GatewayState', call: Call, choice: Placement,
         now: float) -> Iterator[Effect]:
    """Send a request to the endpoint chosen for it."""
    view, request = choice.view, call.request
    service = state.config.services.get(call.service)
    if call.deliveries:
        state.retries.record_retry(call.service, now)
        yield _retry_log_line(state, call, now)
    # A send that follows one that was lost must not wait on an idle connection
    # to an endpoint that is silent as well: it would use up an attempt. After
    # an answer that nothing was run, idle connections are preferred: endpoints
    # at their limit of connections reset new ones.
    new_connection = not call.route.repeatable or call.executions > 0
    # Such a send may fail as `STALE`, which uses up an attempt.
    allows_stale = not new_connection and call.route.attempts > 1
    call.sends += 1
    call.executions += 1
    call.deliveries += 1
    attempt = AttemptId(f'{request.id}.{call.sends}')
    call.attempt = attempt
    call.tried.add(view.entry.id)
    peer = choice.peer
    state.calls.attempts[attempt] = Attempt(attempt,
                                            request.id,
                                            view.entry.id,
                                            now,
                                            now,
                                            choice.version,
                                            view.entry.build,
                                            view.entry.address,
                                            new_connection=new_connection,
                                            peer=peer.vm if peer else None,
                                            grant=choice.grant,
                                            prediction=choice.prediction)
    view.add_send(
        attempt,
        InFlightSend(choice.prefill_tokens, placement.memory_tokens(request),
                     choice.grant))
    yield from endpoint_limits.record_send(state, view, call, now)
    CALL_LIFECYCLE.fire(call, 'send')
    plan = _cache_plan(state, call, choice, now) if request.model else None
    yield _send_log_line(state, call, choice, now)
    yield from _set_stall_timer(call, attempt, now)
    yield fx.Send(
        attempt=attempt,
        request=request,
        endpoint=view.entry.id,
        address=view.entry.address,
        stream=call.route.kind is RequestKind.STREAM,
        new_connection=new_connection,
        remaining_s=call.expires_at - now,
        team=call.team.name if call.team else None,
        version=choice.version,
        urgency=call.urgency if _is_engine(service) else None,
        last_event_id=call.last_event_id,
        allows_stale=allows_stale,
        cache=plan,
        started_ms=(view.entry.started_ms if _is_engine(service) else 0),
        confirms_run=builds.is_resumable(call.route),
        via=tunnel_peers.tunnel_address(state, peer) if peer else '')


def _send_log_line(state: 'GatewayState', call: Call, choice: Placement,
                   now: float) -> LogLine:
    """Return the log line of a send, with the inputs of the decision."""
    view, request = choice.view, call.request
    load = view.load
    return LogLine('request_sent', (
        ('request', request.attempt_id),
        ('send', call.sends),
        ('endpoint', view.entry.id),
        ('cost', round(choice.cost, 4)),
        ('read_tokens', choice.prefill_tokens),
        ('fetch_tokens', choice.fetch_plan.tokens),
        ('fetch_from', ','.join(sorted({*choice.fetch_plan.sources} - {''}))),
        ('context', cache.context_id(request.parts)),
        ('version', choice.version or 0),
        ('build', view.entry.build),
        ('via', choice.peer.vm if choice.peer else ''),
        ('coordinator', choice.grant.coordinator if choice.grant else ''),
        ('after_event', call.last_event_id),
        ('resumes', request.resumes),
        ('own', len(view.in_flight)),
        ('load', load.running + load.waiting if load else 0),
        ('load_age_s', round(now - load.reported_at, 3) if load else -1.0),
        ('registry_age_s', round(state.views.age_s(View.REGISTRY, now), 3)),
        ('configuration', state.config.version),
    ))


def _retry_log_line(state: 'GatewayState', call: Call, now: float) -> LogLine:
    """Return the log line of a counted retry, with the budget's inputs."""
    requests, retried = state.retries.usage(call.service, now)
    return LogLine('retry_counted',
                   (('request', call.request.attempt_id),
                    ('service', call.service), ('requests', requests),
                    ('retries', retried), ('vms', state.retries.vm_count or 0)))


def _wait_log_line(state: 'GatewayState', call: Call, reason: PlacementFailure,
                   now: float) -> LogLine:
    """Return the log line of a wait, with the inputs of the decision."""
    return LogLine('request_waits', (
        ('request', call.request.attempt_id),
        ('reason', reason.value),
        ('memory_tokens', placement.memory_tokens(call.request)),
        ('endpoints',
         sum(view.entry.service == call.service
             for view in state.endpoints.values())),
        ('waiting', len(state.calls.waiting(now))),
        ('registry_age_s', round(state.views.age_s(View.REGISTRY, now), 3)),
        ('configuration', state.config.version),
    ))


def _cache_plan(state: 'GatewayState', call: Call, choice: Placement,
                now: float) -> fx.CachePlan:
    """Return which prompt parts are fetched from and saved to stores."""
    request = call.request
    salt = cache.make_salt(request.model, choice.version, call.team)
    newest = state.versions.newest(request.model)
    save_to: tuple[str, ...] = ()
    if choice.version is not None and choice.version == (newest or
                                                         choice.version):
        save_to = stored_parts.plan_save(state, salt, request.parts, now)
    return fx.CachePlan(salt,
                        fetch_from=choice.fetch_plan.sources,
                        save_to=save_to,
                        fetch_until_ms=stored_parts.fetch_deadline_ms(
                            state, now))


def _is_engine(service: Service | None) -> bool:
    return service is not None and service.engine is not None


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Dispatch the requests that wait."""
    # Size of the last request that did not fit, in tokens, among those that may
    # go to the same endpoints.
    unplaced_tokens: dict[_Group, int] = {}
    for call in state.calls.waiting(now):
        if call.origin_due_at is not None or call.ask is not None:
            continue
        yield from containment.contain_request(
            state, _dispatch_waiting(state, call, unplaced_tokens, now),
            'dispatch', call.request.id, now)


def _dispatch_waiting(state: 'GatewayState', call: Call,
                      unplaced_tokens: dict[_Group, int],
                      now: float) -> Iterator[Effect]:
    """Dispatch a request that waits, unless a smaller one did not fit."""
    memory_tokens = placement.memory_tokens(call.request)
    group = (call.service, call.build,
             placement.held_back_dcs(state, call, now))
    if (memory_tokens >= unplaced_tokens.get(group, memory_tokens + 1) and
            suspects.admits(state, call, now)):
        # A request that is no larger did not fit just before.
        yield from _refuse_overdue(state, call, now)
        return
    yield from dispatch(state, call, now)
    if (call.phase is CallPhase.WAITING and
            call.wait_reason is PlacementFailure.NO_CAPACITY):
        unplaced_tokens[group] = memory_tokens


def _set_stall_timer(call: Call, attempt: AttemptId,
                     now: float) -> Iterator[Effect]:
    """Set the timer after which a repeatable send is checked for a stall."""
    if call.route.repeatable:
        yield SetTimer(endings.send_silence_key(attempt),
                       now + health.SILENT_TIMEOUT_RATIO * call.route.target_s)


def _retry_after_s(state: 'GatewayState', call: Call, reason: PlacementFailure,
                   now: float) -> float:
    """Return the time until an endpoint is likely to be available, in s.

    Callers that are refused while all endpoints pause, or all data centres are
    evacuated, do not return together.
    """
    if reason is PlacementFailure.NO_CAPACITY:
        return state.rng.uniform(*CAPACITY_RETRY_AFTER_S)
    if reason is PlacementFailure.ALL_LIMITED:
        opens_in_s = endpoint_limits.opens_at(state, call, now) - now
        return min(state.rng.uniform(*LIMITED_RETRY_AFTER_S),
                   max(MIN_RETRY_AFTER_S, opens_in_s))
    if reason is PlacementFailure.ALL_EVACUATED:
        dcs = {
            view.entry.dc
            for view in state.endpoints.values()
            if placement.could_serve(call, view)
        }
        remaining_s = state.evacuations.remaining_s(dcs, now)
        return remaining_s * (1.0 +
                              state.rng.uniform(0.0, EVACUATION_SPREAD_RATIO))
    available_in_s = _available_at(state, call) - now
    if reason is PlacementFailure.ALL_PAUSED:
        spread_s = min(MAX_PAUSE_SPREAD_S, PAUSE_SPREAD_RATIO * available_in_s)
        return max(MIN_RETRY_AFTER_S,
                   available_in_s + state.rng.uniform(0.0, spread_s))
    return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, available_in_s))


def _available_at(state: 'GatewayState', call: Call) -> float:
    """Return the loop time at which an endpoint becomes available, in s."""
    if call.wait_reason is PlacementFailure.NO_PATH:
        return state.paths.expected_at(call.service, call.waiting_since)
    return min((placement.usable_at(call, view)
                for view in state.endpoints.values()
                if placement.may_serve(state, call, view)),
               default=math.inf)
