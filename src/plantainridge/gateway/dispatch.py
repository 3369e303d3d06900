"""Sends requests to endpoints, lets them wait, or turns them away.

Answers bursts and endpoints that are full for a moment: a request waits while
one is expected back in time, else its caller is told at once when to return. A
large prompt waits here while no engine has memory for it: in an engine it would
push others out, which then are read again.
"""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import (cache, endings, health, placement, retries,
                                   stored_parts)
from plantainridge.gateway import effects as fx
from plantainridge.gateway.config import RequestKind, Service
from plantainridge.gateway.endpoints import InFlightSend
from plantainridge.gateway.events import View
from plantainridge.gateway.placement import Placement
from plantainridge.gateway.requests import (CALL_LIFECYCLE, Attempt, Call,
                                            CallPhase, PlacementFailure)
from plantainridge.ids import AttemptId, ServiceId
from plantainridge.loop.effects import Effect, LogLine, SetTimer
from plantainridge.loop.events import TimerFired

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Part of its target for which a request is held while no endpoint takes it.
HOLD_PART: Final = 0.125
# Part of a request's time for which it is held for an endpoint that is
# expected back within it.
HOLD_HOPE_PART: Final = 0.4
# Times its target for which a request waits for an engine's memory; callers
# give a stream up that has not begun by four times its target.
HOLD_ROOM_TARGETS: Final = 2.0
# When a caller that waited for memory in vain may come back, in s: runs end
# after about three, and those refused together should not return together.
ROOM_RETRY_S: Final = (0.8, 1.6)
# Part of its target that must be left for a request to be sent again.
LEAST_SEND_PART: Final = 0.1
# Shortest and longest time after which a refused caller may come back, in s.
MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 2.0


def dispatch(state: 'GatewayState', call: Call, now: float) -> Iterator[Effect]:
    """Sends a request, lets it wait, or refuses it."""
    if state.suspects.is_quarantined(call.fingerprint, now):
        yield from endings.give_up(state, call, 'endpoints broke off under it',
                                   None, now)
        return
    choice = _choose(state, call, now)
    if isinstance(choice, Placement) and may_send(state, call, now):
        yield from send(state, call, choice, now)
        return
    if isinstance(choice, Placement):
        yield from endings.give_up(state, call, 'no more sends are allowed',
                                   MIN_RETRY_AFTER_S, now)
        return
    if call.phase is not CallPhase.WAITING:
        CALL_LIFECYCLE.fire(call, 'wait')
        call.waiting_since = now
    if call.wait_reason is not choice:
        call.wait_reason = choice
        yield _waits_line(state, call, choice, now)
    yield from _end_wait(state, call, now)


def _end_wait(state: 'GatewayState', call: Call,
              now: float) -> Iterator[Effect]:
    """Refuses a request that has waited long enough."""
    if call.wait_reason is None or now < _hold_until(state, call):
        return
    retry_after_s = _retry_after_s(state, call, now)
    yield from endings.give_up(state, call, call.wait_reason.value,
                               retry_after_s, now)


def _choose(state: 'GatewayState', call: Call,
            now: float) -> Placement | PlacementFailure:
    """Chooses an endpoint; a request that was sent before goes anywhere."""
    choice = placement.choose(state, call, now)
    if choice is PlacementFailure.NO_CAPACITY and call.sends:
        return placement.choose(state, call, now, ignore_capacity=True)
    return choice


def _hold_until(state: 'GatewayState', call: Call) -> float:
    """Returns the loop time until which a request waits for an endpoint.

    One that is expected back soon is waited for while an answer can still come
    in time; else the caller had better come again. So it had if an engine's
    memory is waited for so long that the answer would begin too late for it.
    """
    if call.wait_reason is PlacementFailure.NO_CAPACITY:
        return call.arrived_at + HOLD_ROOM_TARGETS * call.route.target_s
    back_at = min(
        (view.cooldown_until
         for view in state.endpoints.values()
         if view.entry.service == call.service and not view.entry.draining),
        default=math.inf)
    latest = call.arrived_at + HOLD_HOPE_PART * (call.expires_at -
                                                 call.arrived_at)
    if back_at < latest:
        return latest
    return call.waiting_since + HOLD_PART * call.route.target_s


def may_send(state: 'GatewayState', call: Call, now: float) -> bool:
    """Whether a request may be sent, for the first time or again."""
    return call.sends == 0 or may_resend(state, call, now)


def may_resend(state: 'GatewayState', call: Call, now: float) -> bool:
    """Whether a request may be sent once more, within all limits."""
    if (call.sends >= retries.MAX_SENDS or
            call.executions >= call.route.attempts):
        return False
    if call.expires_at - now < LEAST_SEND_PART * call.route.target_s:
        return False
    return not call.deliveries or state.retries.allows(call.service, now)


def send(state: 'GatewayState', call: Call, choice: Placement,
         now: float) -> Iterator[Effect]:
    """Sends a request to the endpoint that was chosen for it."""
    view, request = choice.view, call.request
    service = state.config.services.get(call.service)
    if call.deliveries:
        state.retries.record_resend(call.service, now)
    call.sends += 1
    call.executions += 1
    call.deliveries += 1
    attempt = AttemptId(f'{request.id}.{call.sends}')
    call.attempt = attempt
    call.tried.add(view.entry.id)
    state.calls.attempts[attempt] = Attempt(attempt, request.id, view.entry.id,
                                            now, now, choice.version)
    view.add_send(
        attempt,
        InFlightSend(choice.prefill_tokens, placement.memory_tokens(request)))
    CALL_LIFECYCLE.fire(call, 'send')
    plan = _cache_plan(state, call, choice, now) if request.model else None
    yield _sent_line(state, call, choice, now)
    yield from _watch(call, attempt, now)
    yield fx.Send(attempt=attempt,
                  request=request,
                  endpoint=view.entry.id,
                  address=view.entry.address,
                  stream=call.route.kind is RequestKind.STREAM,
                  new_connection=not call.route.repeatable,
                  remaining_s=call.expires_at - now,
                  team=call.team.name if call.team else None,
                  version=choice.version,
                  urgency=call.urgency if _is_engine(service) else None,
                  last_event_id=call.last_event_id,
                  cache=plan)


def _sent_line(state: 'GatewayState', call: Call, choice: Placement,
               now: float) -> LogLine:
    """Tells which endpoint was chosen, and from what."""
    view, request = choice.view, call.request
    load = view.load
    return LogLine('request_sent', (
        ('request', request.attempt_id),
        ('send', call.sends),
        ('endpoint', view.entry.id),
        ('cost', round(choice.cost, 4)),
        ('read_tokens', choice.prefill_tokens),
        ('fetch_tokens', choice.fetch.tokens),
        ('context', cache.context_id(request.parts)),
        ('version', choice.version or 0),
        ('own', len(view.in_flight)),
        ('load', load.running + load.waiting if load else 0),
        ('load_age_s', round(now - load.reported_at, 3) if load else -1.0),
        ('registry_age_s', round(state.views.age_s(View.REGISTRY, now), 3)),
        ('configuration', state.config.version),
    ))


def _waits_line(state: 'GatewayState', call: Call, reason: PlacementFailure,
                now: float) -> LogLine:
    """Tells why a request waits, and from what."""
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
    """Says which parts are fetched and which are to be kept at a store."""
    request = call.request
    salt = cache.make_salt(request.model, choice.version, call.team)
    newest = state.versions.newest(request.model)
    save_to: tuple[str, ...] = ()
    if choice.version is not None and choice.version == (newest or
                                                         choice.version):
        save_to = stored_parts.plan_save(state, salt, request.parts, now)
    return fx.CachePlan(salt,
                        fetch_from=choice.fetch.sources,
                        save_to=save_to,
                        fetch_until_ms=stored_parts.until_ms(state, now))


def _is_engine(service: Service | None) -> bool:
    return service is not None and service.engine is not None


def on_tick(state: 'GatewayState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Looks again for endpoints for requests that wait."""
    del event
    crowded: dict[ServiceId, int] = {}
    for call in state.calls.waiting(now):
        memory = placement.memory_tokens(call.request)
        if memory >= crowded.get(call.service, memory + 1):
            # A smaller one found no room just before.
            yield from _end_wait(state, call, now)
            continue
        yield from dispatch(state, call, now)
        if (call.phase is CallPhase.WAITING and
                call.wait_reason is PlacementFailure.NO_CAPACITY):
            crowded[call.service] = memory


def _watch(call: Call, attempt: AttemptId, now: float) -> Iterator[Effect]:
    """Sets the time at which a send that may be repeated looks stalled."""
    if call.route.repeatable:
        yield SetTimer(endings.send_silence_key(attempt),
                       now + health.SILENT_TIMEOUT_RATIO * call.route.target_s)


def _retry_after_s(state: 'GatewayState', call: Call, now: float) -> float:
    """Returns when an endpoint is likely to take work again, in s."""
    if call.wait_reason is PlacementFailure.NO_CAPACITY:
        return state.rng.uniform(*ROOM_RETRY_S)
    back = min(
        (view.cooldown_until - now
         for view in state.endpoints.values()
         if view.entry.service == call.service and not view.entry.draining),
        default=MAX_RETRY_AFTER_S)
    return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, back))
