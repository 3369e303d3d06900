"""Life cycle of a call to a plain service."""

from collections.abc import Iterator
from typing import Final

import attrs

from plantainridge import claim_answers, claims, drain, service_attempts
from plantainridge.calls import Call
from plantainridge.effects import Refuse, SendServiceAnswer
from plantainridge.events import (AttemptFailed, CallerDisconnected, Failure,
                                  ModelCalled, ServiceAnswered, ServiceCalled)
from plantainridge.ids import AttemptId
from plantainridge.lifecycles import REQUEST
from plantainridge.loop.effects import CancelTimer, Effect, SetTimer
from plantainridge.loop.events import TimerFired
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.service_attempts import MAX_ATTEMPTS, NoInstance
from plantainridge.state import VmState

# A timer that fires later than this, in s, shows that the process was paused.
PROCESS_PAUSE_S: Final = 1.0


def on_service_called(state: VmState, event: ServiceCalled,
                      now: float) -> Iterator[Effect]:
    """Dispatch a call, or refuse it; a run-once call is claimed first."""
    if not drain.accepts_requests(state, now):
        yield Refuse(
            event.request,
            claim_answers.unproven_refusal(event, Reason.NOT_READY,
                                           'this VM takes no requests now',
                                           claim_answers.SHORT_RETRY_AFTER_S))
        return
    service = state.config.services.get(event.service)
    if service is None:
        yield Refuse(
            event.request,
            Refusal(Reason.UNKNOWN_SERVICE, RanState.NOT_RUN,
                    'there is no such service'))
        return
    if event.run_once or not service.repeatable:
        yield from claims.accept_call(state, attrs.evolve(event, run_once=True),
                                      now)
        return
    call = Call(event, arrived_at=now)
    state.calls.open(call)
    yield from _dispatch(state, call, event, now)


def on_service_answered(state: VmState, event: ServiceAnswered,
                        now: float) -> Iterator[Effect]:
    """Send an answer to its caller.

    An answer that echoes another request's id counts as a failed attempt.
    """
    call = state.calls.find_by_attempt(event.attempt)
    if call is None or not isinstance(call.arrival, ServiceCalled):
        return
    if event.echoed != call.arrival.request:
        yield from on_attempt_failed(
            state, AttemptFailed(event.attempt, Failure.MISMATCHED), now)
        return
    yield CancelTimer(service_attempts.timer_key(event.attempt))
    service_attempts.remove_attempt(state, event.attempt)
    if call.arrival.run_once:
        yield from claims.on_answered(state, call, event, now)
        return
    REQUEST.fire(call, 'finish')
    state.calls.close(call.arrival.request)
    yield SendServiceAnswer(call.arrival.request, event.status, event.body)


def on_attempt_failed(state: VmState, event: AttemptFailed,
                      now: float) -> Iterator[Effect]:
    """Retry on another instance, or report whether the call may have run."""
    call = state.calls.find_by_attempt(event.attempt)
    if call is None or not isinstance(call.arrival, ServiceCalled):
        return
    yield CancelTimer(service_attempts.timer_key(event.attempt))
    service_attempts.record_failure(state, call, event.failure, now)
    if call.arrival.run_once:
        yield from claims.on_failed(state, call, event.failure, now)
        return
    yield from _dispatch(state, call, call.arrival, now)


def on_timer(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Fail an attempt that timed out."""
    attempt_id = AttemptId(event.key.subject)
    attempt = state.calls.attempts.get(attempt_id)
    if attempt is None:
        return
    deadline = attempt.started_at + service_attempts.SERVICE_TIMEOUT_S
    if now > deadline + PROCESS_PAUSE_S:
        # The process was paused; the answer may already be in the event queue.
        state.calls.attempts[attempt_id] = attrs.evolve(attempt, started_at=now)
        yield SetTimer(event.key, now + service_attempts.SERVICE_TIMEOUT_S)
        return
    yield from on_attempt_failed(state,
                                 AttemptFailed(attempt_id, Failure.TIMED_OUT),
                                 now)


def on_caller_disconnected(state: VmState, event: CallerDisconnected,
                           now: float) -> Iterator[Effect]:
    """Drop a repeatable call, whose answer is no longer needed."""
    call = state.calls.calls.get(event.request)
    arrival = call.arrival if call is not None else None
    if isinstance(arrival, ModelCalled):
        return
    if call is not None and arrival is not None and not arrival.run_once:
        if call.attempt is not None:
            service_attempts.remove_attempt(state, call.attempt)
        state.calls.close(event.request)
        return
    yield from claims.on_caller_disconnected(state, event, now)


def _dispatch(state: VmState, call: Call, arrival: ServiceCalled,
              now: float) -> Iterator[Effect]:
    if call.attempt_count < MAX_ATTEMPTS:
        sent = service_attempts.send(state, call, arrival, now)
        if not isinstance(sent, NoInstance):
            yield from service_attempts.start_attempt(sent, now)
            return
    REQUEST.fire(call, 'refuse')
    state.calls.close(arrival.request)
    if call.attempt_count == 0:
        yield Refuse(arrival.request, claim_answers.no_instance(False))
        return
    ran = RanState.UNKNOWN if call.may_have_run else RanState.NOT_RUN
    yield Refuse(
        arrival.request,
        Refusal(Reason.ENDPOINT_FAILED,
                ran,
                f'{call.attempt_count} instances failed the call',
                retry_after_s=claim_answers.SHORT_RETRY_AFTER_S))
