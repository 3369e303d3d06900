"""Ends of a request: its final answer, its caller's leaving, its deadline."""

from collections.abc import Generator, Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway.config import RequestKind
from plantainridge.gateway.events import CallerLeft, TimerKind
from plantainridge.gateway.requests import CALL_LIFECYCLE, Attempt, Call
from plantainridge.ids import AttemptId, RequestId
from plantainridge.loop.effects import CancelTimer, Effect, LogLine, Observe
from plantainridge.loop.events import TimerFired, TimerKey

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# A request without a deadline waits as long as its route allows.
STATUS_TIMEOUT: Final = 504
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503


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
        yield from close_attempt(state, attempt)
    yield from end(state, call, 'caller_left', 0, now)


def on_deadline(state: 'GatewayState', event: TimerFired,
                now: float) -> Iterator[Effect]:
    """Gives a request its final answer at its deadline."""
    call = state.calls.calls.get(RequestId(event.key.subject))
    if call is not None:
        yield from give_up(state, call, 'the time is over', None, now)


def give_up(state: 'GatewayState', call: Call, reason: str,
            retry_after_s: float | None, now: float) -> Iterator[Effect]:
    """Ends a request without an endpoint's good answer."""
    if call.attempt is not None and call.attempt in state.calls.attempts:
        yield fx.CancelSend(call.attempt)
        yield from close_attempt(state, call.attempt)
    if call.reply_started:
        yield from break_off(state, call, reason, now)
        return
    if call.fallback is not None:
        fallback = call.fallback
        yield fx.Reply(call.request.id, fallback.status, fallback.headers,
                       fallback.body)
        yield from end(state, call, reason, fallback.status, now)
        return
    status = STATUS_UNAVAILABLE
    if call.executions > 0:
        status = (STATUS_TIMEOUT
                  if now >= call.expires_at else STATUS_BAD_GATEWAY)
        retry_after_s = None
    yield fx.Refuse(call.request.id, status, reason, retry_after_s)
    yield from end(state, call, reason, status, now)


def break_off(state: 'GatewayState', call: Call, reason: str,
              now: float) -> Iterator[Effect]:
    """Ends a streamed answer so that it does not look whole."""
    yield fx.AbortReply(call.request.id)
    yield from end(state, call, reason, 0, now)


def end(state: 'GatewayState', call: Call, outcome: str, status: int,
        now: float) -> Iterator[Effect]:
    """Forgets a request that had its final answer."""
    CALL_LIFECYCLE.fire(call, 'end')
    del state.calls.calls[call.request.id]
    yield CancelTimer(deadline_key(call))
    team = call.team.name if call.team else ''
    yield Observe('request_s', team, f'{call.route.name} {status}',
                  now - call.arrived_at)
    yield LogLine('request_ended',
                  (('request', call.request.attempt_id), ('team', team),
                   ('route', call.route.name), ('outcome', outcome),
                   ('status', status), ('sends', call.sends),
                   ('first_piece_s', round(call.first_event_s or 0.0, 4)),
                   ('took_s', round(now - call.arrived_at, 4))))


def close_attempt(state: 'GatewayState',
                  name: AttemptId) -> Generator[Effect, None, Attempt]:
    """Forgets a send; returns it."""
    attempt = state.calls.attempts.pop(name)
    view = state.endpoints.get(attempt.endpoint)
    if view is not None:
        view.remove_send(name)
    yield CancelTimer(send_silence_key(name))
    return attempt


def deadline_key(call: Call) -> TimerKey:
    """Names the timer of a request's deadline."""
    return TimerKey(TimerKind.DEADLINE, call.request.id)


def send_silence_key(attempt: AttemptId) -> TimerKey:
    """Names the timer after which a send looks stalled."""
    return TimerKey(TimerKind.SEND_SILENCE, attempt)
