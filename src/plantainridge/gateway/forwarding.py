"""Life of a request: taken in, sent, answered; sent again or refused."""

import math
from collections.abc import Generator, Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.effects import (CancelTimer, Effect, LogLine, Observe,
                                   SetTimer)
from plantainridge.events import TimerFired, TimerKey
from plantainridge.gateway import (cache, health, placement, retries, stores,
                                   suspects)
from plantainridge.gateway import effects as fx
from plantainridge.gateway.config import RequestKind, Route, Service, Team
from plantainridge.gateway.endpoints import OwnSend
from plantainridge.gateway.events import (AnswerArrived, AnswerHead, CallerLeft,
                                          Failure, PiecesArrived,
                                          RequestArrived, SendFailed,
                                          StreamEnded, StreamStarted, TimerKind,
                                          View)
from plantainridge.gateway.placement import Choice
from plantainridge.gateway.requests import (CALL, Attempt, Call, CallPhase,
                                            SpareAnswer)
from plantainridge.ids import AttemptId, RequestId, ServiceId

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Answers of an endpoint travel this long behind its own deadline, in s.
ANSWER_GRACE_S: Final = 0.06
# Part of its target for which a request is held while no endpoint takes it.
HOLD_PART: Final = 0.125
# Part of a request's time for which it is held for an endpoint that is
# expected back within it.
HOLD_HOPE_PART: Final = 0.4
# Shortest and longest time after which a refused caller may come back, in s.
RETRY_AFTER_LEAST_S: Final = 0.2
RETRY_AFTER_MOST_S: Final = 2.0
# A request without a deadline waits as long as its route allows.
STATUS_TOO_LATE: Final = 504
STATUS_BROKEN: Final = 502
STATUS_REFUSED: Final = 503
MAX_URGENCY: Final = 9
# Ranks that a team's priority outweighs.
URGENCY_STEP: Final = 3


def on_arrived(state: 'GatewayState', event: RequestArrived,
               now: float) -> Iterator[Effect]:
    """Takes a request in and sends it, or refuses it."""
    request = event.request
    refusal = _refuse_unroutable(state, event, now)
    if refusal is not None:
        yield refusal
        yield LogLine('request_refused',
                      (('request', request.attempt_id),
                       ('status', refusal.status), ('reason', refusal.reason)))
        return
    route = state.config.route(request.host, request.target)
    assert route is not None
    team = state.config.by_key.get(request.key or '')
    patience = request.patience_s
    limit = route.timeout_s if patience is None else min(
        patience, route.timeout_s)
    call = Call(request=request,
                route=route,
                service=_service(state, route),
                team=team,
                arrived_at=now,
                expires_at=now + limit,
                urgency=_urgency(route, team),
                last_event_id=request.last_event_id,
                waiting_since=now,
                fingerprint=suspects.fingerprint(team.name if team else None,
                                                 request))
    state.calls.calls[request.id] = call
    state.retries.note_request(call.service, now)
    yield SetTimer(_deadline(call), call.expires_at + ANSWER_GRACE_S)
    yield from _dispatch(state, call, now)


def _refuse_unroutable(state: 'GatewayState', event: RequestArrived,
                       now: float) -> fx.Refuse | None:
    """Refuses what the configuration does not allow."""
    request = event.request
    if state.config.version < 0:
        return fx.Refuse(request.id, STATUS_REFUSED,
                         'the configuration is not known yet',
                         RETRY_AFTER_LEAST_S)
    route = state.config.route(request.host, request.target)
    if route is None:
        return _denied(state, request.id, 404, 'there is no such route', now)
    if route.public or not state.config.has_teams:
        return None
    if request.key is None or request.key not in state.config.by_key:
        return _denied(state, request.id, 401, 'the key is not known', now)
    return None


def _denied(state: 'GatewayState', request: RequestId, status: int, reason: str,
            now: float) -> fx.Refuse:
    """Denies a request, unless a newer configuration may allow it."""
    if state.views.age_s(View.OPERATOR, now) > state.settings.bounds.apply_s:
        return fx.Refuse(request, STATUS_REFUSED,
                         'the configuration may be out of date',
                         RETRY_AFTER_LEAST_S)
    return fx.Refuse(request, status, reason)


def _service(state: 'GatewayState', route: Route) -> ServiceId:
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return state.rng.choices(names, weights)[0]


def _urgency(route: Route, team: Team | None) -> int:
    rank = route.priority
    if team is not None and team.priority is not None:
        rank += URGENCY_STEP * team.priority
    return max(0, min(MAX_URGENCY, rank))


# --- Sending ----------------------------------------------------------------


def _dispatch(state: 'GatewayState', call: Call,
              now: float) -> Iterator[Effect]:
    """Sends a request, lets it wait, or refuses it."""
    if state.suspects.convicted(call.fingerprint, now):
        yield from _give_up(state, call, 'endpoints broke off under it', None,
                            now)
        return
    choice = placement.choose(state, call, now)
    if choice is not None and (call.sends == 0 or
                               _may_resend(state, call, now)):
        yield from _send(state, call, choice, now)
        return
    if choice is not None:
        yield from _give_up(state, call, 'no more sends are allowed',
                            RETRY_AFTER_LEAST_S, now)
        return
    if call.phase is not CallPhase.WAITING:
        CALL.fire(call, 'wait')
        call.waiting_since = now
    if now >= _hold_until(state, call):
        yield from _give_up(state, call, 'no endpoint takes it',
                            _retry_after_s(state, call, now), now)


def _hold_until(state: 'GatewayState', call: Call) -> float:
    """Returns the loop time until which a request waits for an endpoint.

    One that is expected back soon is waited for while an answer can still come
    in time; else the caller had better come again.
    """
    back_at = min(
        (view.away_until
         for view in state.endpoints.values()
         if view.entry.service == call.service and not view.entry.draining),
        default=math.inf)
    latest = call.arrived_at + HOLD_HOPE_PART * (call.expires_at -
                                                 call.arrived_at)
    if back_at < latest:
        return latest
    return call.waiting_since + HOLD_PART * call.route.target_s


def _may_resend(state: 'GatewayState', call: Call, now: float) -> bool:
    if call.sends >= retries.MAX_SENDS or call.runs >= call.route.attempts:
        return False
    return state.retries.allows(call.service, now)


def _send(state: 'GatewayState', call: Call, choice: Choice,
          now: float) -> Iterator[Effect]:
    view, request = choice.view, call.request
    service = state.config.services.get(call.service)
    call.sends += 1
    call.runs += 1
    if call.sends > 1:
        state.retries.note_again(call.service, now)
    attempt = AttemptId(f'{request.id}.{call.sends}')
    call.attempt = attempt
    call.tried.add(view.entry.id)
    state.calls.attempts[attempt] = Attempt(attempt, request.id, view.entry.id,
                                            now, now, choice.version)
    view.own[attempt] = OwnSend(choice.read_tokens,
                                placement.memory_tokens(request))
    CALL.fire(call, 'send')
    plan = _cache_plan(state, call, choice, now) if request.model else None
    yield _sent_line(state, call, choice, now)
    yield from _watch(call, attempt, now)
    yield fx.Send(attempt=attempt,
                  request=request,
                  endpoint=view.entry.id,
                  address=view.entry.address,
                  stream=call.route.kind is RequestKind.STREAM,
                  fresh=not call.route.repeatable,
                  remaining_s=call.expires_at - now,
                  team=call.team.name if call.team else None,
                  version=choice.version,
                  urgency=call.urgency if _is_engine(service) else None,
                  last_event_id=call.last_event_id,
                  cache=plan)


def _sent_line(state: 'GatewayState', call: Call, choice: Choice,
               now: float) -> LogLine:
    """Tells which endpoint was chosen, and from what."""
    view, request = choice.view, call.request
    load = view.load
    return LogLine('request_sent', (
        ('request', request.attempt_id),
        ('send', call.sends),
        ('endpoint', view.entry.id),
        ('cost', round(choice.cost, 4)),
        ('read_tokens', choice.read_tokens),
        ('fetch_tokens', choice.fetch.tokens),
        ('context', cache.context_of(request.parts)),
        ('version', choice.version or 0),
        ('own', len(view.own)),
        ('load', load.running + load.waiting if load else 0),
        ('load_age_s', round(now - load.told_at, 3) if load else -1.0),
        ('entry_age_s', round(now - view.entry_at, 3)),
        ('configuration', state.config.version),
    ))


def _cache_plan(state: 'GatewayState', call: Call, choice: Choice,
                now: float) -> fx.CachePlan:
    """Says which parts are fetched and which are to be kept at a store."""
    request = call.request
    salt = cache.salt_of(request.model, choice.version, call.team)
    newest = state.versions.newest(request.model)
    save_to: tuple[str, ...] = ()
    if choice.version is not None and choice.version == (newest or
                                                         choice.version):
        save_to = stores.plan_save(state, salt, request.parts, now)
    return fx.CachePlan(salt,
                        fetch_from=choice.fetch.sources,
                        save_to=save_to,
                        fetch_until_ms=stores.until_ms(state, now))


def _is_engine(service: Service | None) -> bool:
    return service is not None and service.engine is not None


# --- Answers ----------------------------------------------------------------


def on_answer(state: 'GatewayState', event: AnswerArrived,
              now: float) -> Iterator[Effect]:
    """Passes a whole answer on, or tries another endpoint."""
    call = state.calls.of_attempt(event.attempt)
    if call is None:
        return
    attempt = yield from _close_attempt(state, event.attempt)
    health.note_answer(state, attempt, event.head, now)
    head = event.head
    if head.not_run:
        call.runs -= 1
        yield from _after_not_run(state, call, attempt, head, now)
        return
    if head.status < 300 and not head.sealed:
        yield from _after_failure(state, call, attempt, Failure.MALFORMED, now)
        return
    if head.status >= 500 and call.route.repeatable and not call.replying:
        call.spare = SpareAnswer(head.status, head.headers, event.body)
        yield from _again_or_spare(state, call, now)
        return
    if call.replying:
        yield from _break_off(state, call, 'the stream was refused', now)
        return
    if head.status < 500:
        state.suspects.note_whole(call.fingerprint)
    yield fx.Reply(call.request.id, head.status, head.headers, event.body)
    yield from _end(state, call, 'answered', head.status, now)


def _after_not_run(state: 'GatewayState', call: Call, attempt: Attempt,
                   head: AnswerHead, now: float) -> Iterator[Effect]:
    """Tries another endpoint for a request that one turned away."""
    yield LogLine('request_turned_away',
                  (('request', call.request.attempt_id),
                   ('endpoint', attempt.endpoint), ('status', head.status),
                   ('instance', head.instance)))
    if head.status == 421:
        health.note_misdirected(state, call, attempt, head, now)
    elif head.status == 400:
        yield fx.Reply(call.request.id, head.status, head.headers, b'')
        yield from _end(state, call, 'answered', head.status, now)
        return
    else:
        health.note_full(state, attempt, now)
        call.tried.discard(attempt.endpoint)
    yield from _dispatch(state, call, now)


def _again_or_spare(state: 'GatewayState', call: Call,
                    now: float) -> Iterator[Effect]:
    """Tries another endpoint, else passes the failure on."""
    choice = None
    if _may_resend(state, call, now):
        choice = placement.choose(state, call, now)
    if choice is not None:
        yield from _send(state, call, choice, now)
        return
    spare = call.spare
    assert spare is not None
    yield fx.Reply(call.request.id, spare.status, spare.headers, spare.body)
    yield from _end(state, call, 'answered', spare.status, now)


def on_stream_started(state: 'GatewayState', event: StreamStarted,
                      now: float) -> Iterator[Effect]:
    """Begins to pass a stream on, or gives an unsigned one up."""
    call = state.calls.of_attempt(event.attempt)
    if call is None:
        return
    attempt = state.calls.attempts[event.attempt]
    health.note_head(state, attempt, event.head, now)
    if not event.head.sealed:
        yield fx.CancelSend(event.attempt)
        yield from on_failed(state, SendFailed(event.attempt,
                                               Failure.MALFORMED), now)
        return
    CALL.fire(call, 'stream')
    if not call.replying:
        call.replying = True
        yield fx.StartReply(call.request.id, event.head.status,
                            event.head.headers)


def on_pieces(state: 'GatewayState', event: PiecesArrived,
              now: float) -> Iterator[Effect]:
    """Passes whole events of a stream on, each once."""
    call = state.calls.of_attempt(event.attempt)
    if call is None:
        return
    attempt = state.calls.attempts[event.attempt]
    if not attempt.answered:
        attempt.answered = True
        if call.request.model:
            salt = cache.salt_of(call.request.model, attempt.version, call.team)
            state.cache.note_read(attempt.endpoint, salt, call.request.parts)
        health.note_first_piece(state, attempt, now)
        if call.first_piece_s is None:
            call.first_piece_s = now - call.arrived_at
            yield Observe('first_piece_s', call.team.name if call.team else '',
                          call.route.name, now - call.arrived_at)
    attempt.progress_at = now
    health.note_heard(state, attempt, now)
    if event.last_id:
        call.last_event_id = event.last_id
    yield fx.PassPieces(call.request.id, event.data)


def on_stream_ended(state: 'GatewayState', event: StreamEnded,
                    now: float) -> Iterator[Effect]:
    """Ends a whole stream."""
    call = state.calls.of_attempt(event.attempt)
    if call is None:
        return
    attempt = yield from _close_attempt(state, event.attempt)
    health.note_whole(state, attempt, now)
    state.suspects.note_whole(call.fingerprint)
    yield fx.EndReply(call.request.id)
    yield from _end(state, call, 'answered', 200, now)


def on_failed(state: 'GatewayState', event: SendFailed,
              now: float) -> Iterator[Effect]:
    """Sends again what may be repeated, or says that it may have run."""
    call = state.calls.of_attempt(event.attempt)
    if call is None:
        return
    attempt = yield from _close_attempt(state, event.attempt)
    yield from _after_failure(state, call, attempt, event.failure, now)


def _after_failure(state: 'GatewayState', call: Call, attempt: Attempt,
                   failure: Failure, now: float) -> Iterator[Effect]:
    health.note_failure(state, attempt, failure, now)
    yield LogLine('send_failed',
                  (('request', call.request.attempt_id),
                   ('endpoint', attempt.endpoint), ('failure', failure.value),
                   ('after_s', round(now - attempt.sent_at, 4))))
    if failure is Failure.NOT_CONNECTED:
        call.runs -= 1
        yield from _dispatch(state, call, now)
        return
    if failure is Failure.BROKEN:
        state.suspects.note_break(call.fingerprint, attempt.endpoint, now)
        state.hints.suspects.append((call.fingerprint, attempt.endpoint))
    if call.route.repeatable:
        yield from _resend(state, call, now)
        return
    if call.replying:
        yield from _break_off(state, call, failure.value, now)
        return
    yield fx.Refuse(call.request.id, STATUS_BROKEN,
                    f'the endpoint failed: {failure.value}')
    yield from _end(state, call, failure.value, STATUS_BROKEN, now)


def _resend(state: 'GatewayState', call: Call, now: float) -> Iterator[Effect]:
    if _may_resend(state, call, now):
        yield from _dispatch(state, call, now)
        return
    yield from _give_up(state, call, 'no more sends are allowed', None, now)


# --- Ends -------------------------------------------------------------------


def on_caller_left(state: 'GatewayState', event: CallerLeft,
                   now: float) -> Iterator[Effect]:
    """Stops the work for a caller that hung up, unless it may only run once."""
    call = state.calls.calls.get(event.request)
    if call is None:
        return
    attempt = call.attempt
    if attempt is not None and attempt in state.calls.attempts:
        if call.route.kind is not RequestKind.ONCE:
            yield fx.CancelSend(attempt)
        yield from _close_attempt(state, attempt)
    yield from _end(state, call, 'caller_left', 0, now)


def on_deadline(state: 'GatewayState', event: TimerFired,
                now: float) -> Iterator[Effect]:
    """Gives a request its final answer at its deadline."""
    call = state.calls.calls.get(RequestId(event.key.subject))
    if call is not None:
        yield from _give_up(state, call, 'the time is over', None, now)


def _give_up(state: 'GatewayState', call: Call, reason: str,
             retry_after_s: float | None, now: float) -> Iterator[Effect]:
    """Ends a request without an endpoint's good answer."""
    if call.attempt is not None and call.attempt in state.calls.attempts:
        yield fx.CancelSend(call.attempt)
        yield from _close_attempt(state, call.attempt)
    if call.replying:
        yield from _break_off(state, call, reason, now)
        return
    if call.spare is not None:
        spare = call.spare
        yield fx.Reply(call.request.id, spare.status, spare.headers, spare.body)
        yield from _end(state, call, reason, spare.status, now)
        return
    status = STATUS_REFUSED
    if call.runs > 0:
        status = STATUS_TOO_LATE if now >= call.expires_at else STATUS_BROKEN
        retry_after_s = None
    yield fx.Refuse(call.request.id, status, reason, retry_after_s)
    yield from _end(state, call, reason, status, now)


def _break_off(state: 'GatewayState', call: Call, reason: str,
               now: float) -> Iterator[Effect]:
    yield fx.BreakReply(call.request.id)
    yield from _end(state, call, reason, 0, now)


def _end(state: 'GatewayState', call: Call, outcome: str, status: int,
         now: float) -> Iterator[Effect]:
    CALL.fire(call, 'end')
    del state.calls.calls[call.request.id]
    yield CancelTimer(_deadline(call))
    team = call.team.name if call.team else ''
    yield Observe('request_s', team, f'{call.route.name} {status}',
                  now - call.arrived_at)
    yield LogLine('request_ended',
                  (('request', call.request.attempt_id), ('team', team),
                   ('route', call.route.name), ('outcome', outcome),
                   ('status', status), ('sends', call.sends),
                   ('first_piece_s', round(call.first_piece_s or 0.0, 4)),
                   ('took_s', round(now - call.arrived_at, 4))))


def _close_attempt(state: 'GatewayState',
                   name: AttemptId) -> Generator[Effect, None, Attempt]:
    """Forgets a send; returns it."""
    attempt = state.calls.attempts.pop(name)
    view = state.endpoints.get(attempt.endpoint)
    if view is not None:
        view.own.pop(name, None)
    yield CancelTimer(_patience(name))
    return attempt


# --- Time -------------------------------------------------------------------


def on_tick(state: 'GatewayState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Looks again for endpoints for requests that wait."""
    del event
    for call in state.calls.waiting():
        if call.request.id in state.calls.calls:
            yield from _dispatch(state, call, now)


def _watch(call: Call, attempt: AttemptId, now: float) -> Iterator[Effect]:
    """Sets the time at which a send that may be repeated looks stalled."""
    if call.route.repeatable:
        yield SetTimer(_patience(attempt),
                       now + health.PATIENCE_PART * call.route.target_s)


def on_patience(state: 'GatewayState', event: TimerFired,
                now: float) -> Iterator[Effect]:
    """Gives up a send whose endpoint has gone silent."""
    name = AttemptId(event.key.subject)
    call = state.calls.of_attempt(name)
    if call is None:
        return
    attempt = state.calls.attempts[name]
    silent_at = health.silent_at(state, call, attempt)
    if now < silent_at:
        yield SetTimer(event.key, silent_at)
        return
    if not _may_resend(state, call, now):
        return
    yield fx.CancelSend(name)
    yield from on_failed(state, SendFailed(name, Failure.SILENT), now)


def _retry_after_s(state: 'GatewayState', call: Call, now: float) -> float:
    """Returns when an endpoint is likely to take work again, in s."""
    back = min(
        (view.away_until - now
         for view in state.endpoints.values()
         if view.entry.service == call.service and not view.entry.draining),
        default=RETRY_AFTER_MOST_S)
    return max(RETRY_AFTER_LEAST_S, min(RETRY_AFTER_MOST_S, back))


def _deadline(call: Call) -> TimerKey:
    return TimerKey(TimerKind.DEADLINE, call.request.id)


def _patience(attempt: AttemptId) -> TimerKey:
    return TimerKey(TimerKind.PATIENCE, attempt)
