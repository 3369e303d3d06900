"""Ends of requests: final answers, callers that disconnect, deadlines."""

from collections.abc import Generator, Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import placement_requests, service_times
from plantainridge.gateway.config import RequestKind
from plantainridge.gateway.events import CallerLeft, TimerKind
from plantainridge.gateway.requests import CALL_LIFECYCLE, Attempt, Call
from plantainridge.ids import AttemptId, RequestId
from plantainridge.loop.effects import CancelTimer, Effect, LogLine, Observe
from plantainridge.loop.events import TimerFired, TimerKey

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# The deadline passed, and the request may have run.
STATUS_TIMEOUT: Final = 504
# The endpoint failed, and the request may have run.
STATUS_BAD_GATEWAY: Final = 502
# The request has certainly not run.
STATUS_UNAVAILABLE: Final = 503
# An answer sent at the endpoint's deadline may arrive this much later, in s.
ANSWER_GRACE_S: Final = 0.06
# Outcome of a request whose caller got an endpoint's answer.
ANSWERED: Final = 'answered'


def on_caller_left(state: 'GatewayState', event: CallerLeft,
                   now: float) -> Iterator[Effect]:
    """Cancel the send of a caller that disconnected.

    A request that may run only once runs on; its answer is dropped.
    """
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
    """End a request whose deadline has passed."""
    call = state.calls.calls.get(RequestId(event.key.subject))
    if call is not None:
        yield from fail_request(state, call, 'the time is over', None, now)


def fail_request(state: 'GatewayState', call: Call, reason: str,
                 retry_after_s: float | None, now: float) -> Iterator[Effect]:
    """End a request that got no successful answer.

    Its caller gets, in this order: an aborted stream if part of the answer was
    sent, an endpoint's error answer if one came, or this system's own status.

    Args:
        state: The VM's state; changed in place.
        call: The request.
        reason: The reason given to the caller and the log.
        retry_after_s: When the caller may try again, in s, or None; dropped if
            the request may have run.
        now: Loop time in s.
    """
    if call.attempt is not None and call.attempt in state.calls.attempts:
        yield fx.CancelSend(call.attempt)
        yield from close_attempt(state, call.attempt)
    if call.reply_started:
        yield from abort_stream(state, call, reason, now)
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


def abort_stream(state: 'GatewayState', call: Call, reason: str,
                 now: float) -> Iterator[Effect]:
    """End a streamed answer in a way that does not look complete."""
    yield fx.AbortReply(call.request.id)
    yield from end(state, call, reason, 0, now)


def end(state: 'GatewayState', call: Call, outcome: str, status: int,
        now: float) -> Iterator[Effect]:
    """Remove a request that had its final answer, and record it."""
    CALL_LIFECYCLE.fire(call, 'end')
    del state.calls.calls[call.request.id]
    _record_time(state, call, outcome, now)
    yield CancelTimer(deadline_key(call))
    if call.ask is not None:
        yield from placement_requests.withdraw(state, call)
    team = call.team.name if call.team else ''
    yield Observe('request_s', team, f'{call.route.name} {status}',
                  now - call.arrived_at)
    yield LogLine('request_ended',
                  (('request', call.request.attempt_id), ('team', team),
                   ('route', call.route.name), ('outcome', outcome),
                   ('status', status), ('sends', call.sends),
                   ('first_piece_s', round(call.first_event_s or 0.0, 4)),
                   ('took_s', round(now - call.arrived_at, 4))))


def _record_time(state: 'GatewayState', call: Call, outcome: str,
                 now: float) -> None:
    """Record how long a request took, unless it failed or began in part."""
    is_whole = outcome == ANSWERED or now >= call.expires_at
    if call.executions and is_whole and not call.request.last_event_id:
        state.service_times.record(
            service_times.class_of(call.route, call.request),
            now - call.arrived_at)


def close_attempt(state: 'GatewayState',
                  attempt_id: AttemptId) -> Generator[Effect, None, Attempt]:
    """Remove a send and return it."""
    attempt = state.calls.attempts.pop(attempt_id)
    view = state.endpoints.get(attempt.endpoint)
    if view is not None:
        view.remove_send(attempt_id)
    yield CancelTimer(send_silence_key(attempt_id))
    if attempt.grant is not None:
        yield from placement_requests.report_end(state, attempt.grant)
    return attempt


def deadline_key(call: Call) -> TimerKey:
    """Return the key of a request's deadline timer."""
    return TimerKey(TimerKind.DEADLINE, call.request.id)


def send_silence_key(attempt: AttemptId) -> TimerKey:
    """Return the key of the timer that checks whether a send is silent."""
    return TimerKey(TimerKind.SEND_SILENCE, attempt)
