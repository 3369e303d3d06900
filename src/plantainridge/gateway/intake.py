"""Intake of requests: routing, authentication of teams, and refusals."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import (dispatch, drain, endings, hints, placement,
                                   resumptions, suspects)
from plantainridge.gateway import effects as fx
from plantainridge.gateway.config import Route, Team
from plantainridge.gateway.events import Request, RequestArrived, View
from plantainridge.gateway.requests import Call
from plantainridge.ids import RequestId, ServiceId
from plantainridge.loop.effects import Effect, LogLine, Observe, SetTimer

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Urgencies are ranks from 0, which engines serve first, to this one.
MAX_URGENCY: Final = 9
# One step of a team's priority counts as much as this many steps of a route's.
URGENCY_PER_TEAM_PRIORITY: Final = 3


def on_arrived(state: 'GatewayState', event: RequestArrived,
               now: float) -> Iterator[Effect]:
    """Register a request and dispatch it, or refuse it."""
    request = event.request
    refusal = _refusal_of(state, event, now)
    if refusal is not None:
        yield refusal
        yield LogLine('request_refused',
                      (('request', request.attempt_id),
                       ('status', refusal.status), ('reason', refusal.reason)))
        return
    route = state.config.route(request.host, request.target)
    assert route is not None
    team = state.config.teams_by_key.get(request.key or '')
    arrived_at = now - event.unread_s
    call = Call(request=request,
                route=route,
                service=_pick_service(state, route),
                team=team,
                arrived_at=arrived_at,
                expires_at=arrived_at + _timeout_s(route, request),
                urgency=_urgency(route, team),
                last_event_id=request.last_event_id,
                waiting_since=now,
                fingerprint=suspects.fingerprint_of(team.name if team else None,
                                                    request))
    state.calls.calls[request.id] = call
    if event.unread_s:
        yield Observe('request_unread_s', '', route.name, event.unread_s)
    state.retries.record_request(call.service, now)
    if request.model:
        hints.record_arrival(state, call.service,
                             placement.memory_tokens(request), now)
    yield SetTimer(endings.deadline_key(call),
                   call.expires_at + endings.ANSWER_GRACE_S)
    yield from resumptions.admit(state, call, now)


def _refusal_of(state: 'GatewayState', event: RequestArrived,
                now: float) -> fx.Refuse | None:
    """Return the refusal of a request that cannot be dispatched, or None."""
    request = event.request
    if state.config.version < 0:
        return fx.Refuse(request.id, endings.STATUS_UNAVAILABLE,
                         'the configuration is not known yet',
                         dispatch.MIN_RETRY_AFTER_S)
    route = state.config.route(request.host, request.target)
    if route is None:
        return _deny(state, request.id, 404, 'there is no such route', now)
    ends_by = now + _timeout_s(route, request) + endings.ANSWER_GRACE_S
    if event.unread_s >= _timeout_s(route, request):
        return fx.Refuse(request.id, endings.STATUS_UNAVAILABLE,
                         'its time was over when it was read',
                         dispatch.MIN_RETRY_AFTER_S)
    if drain.refuses(state, request, route, ends_by, now, now):
        return fx.Refuse(request.id, endings.STATUS_UNAVAILABLE, drain.REASON,
                         drain.RETRY_AFTER_S)
    if route.public or not state.config.has_teams:
        return None
    if request.key is None or request.key not in state.config.teams_by_key:
        return _deny(state, request.id, 401, 'the key is not known', now)
    return None


def _timeout_s(route: Route, request: Request) -> float:
    """Return the time until a request's deadline, in s.

    A request without a deadline may take as long as its route allows.
    """
    if request.caller_timeout_s is None:
        return route.timeout_s
    return min(request.caller_timeout_s, route.timeout_s)


def _deny(state: 'GatewayState', request: RequestId, status: int, reason: str,
          now: float) -> fx.Refuse:
    """Return a denial; 503 where a newer configuration may allow the request.

    Once the view of the configuration is older than the time within which a
    configuration has to be in force, this VM may not deny anything by it.
    """
    if state.views.age_s(View.OPERATOR, now) > state.settings.bounds.apply_s:
        return fx.Refuse(request, endings.STATUS_UNAVAILABLE,
                         'the configuration may be out of date',
                         dispatch.MIN_RETRY_AFTER_S)
    return fx.Refuse(request, status, reason)


def _pick_service(state: 'GatewayState', route: Route) -> ServiceId:
    """Pick one of a route's services at random, by their weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return state.rng.choices(names, weights)[0]


def _urgency(route: Route, team: Team | None) -> int:
    """Return the rank of a request within an engine, 0 first."""
    rank = route.priority
    if team is not None and team.priority is not None:
        rank += URGENCY_PER_TEAM_PRIORITY * team.priority
    return max(0, min(MAX_URGENCY, rank))
