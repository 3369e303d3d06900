"""Dispatch of one call to one instance of a plain service."""

from collections.abc import Iterator
from typing import Final

import attrs

from plantainridge.calls import Attempt, Call
from plantainridge.config import EndpointKind
from plantainridge.effects import CallService
from plantainridge.endpoints import EndpointView
from plantainridge.events import Failure, ServiceCalled, TimerKind
from plantainridge.ids import AttemptId, ServiceId
from plantainridge.lifecycles import REQUEST
from plantainridge.loop.effects import Effect, SetTimer
from plantainridge.loop.events import TimerKey
from plantainridge.state import VmState

# Failures after which the call certainly has not run.
NOT_RUN_FAILURES: Final = frozenset({Failure.CONNECT_REFUSED, Failure.REJECTED})
# How long an instance that refused a connection gets no new calls, in s.
DOWN_S: Final = 2.0
MAX_ATTEMPTS: Final = 3
# How long one instance may take for its whole answer, in s.
SERVICE_TIMEOUT_S: Final = 30.0


@attrs.frozen
class NoInstance:
    """Says that no instance of a service takes work."""

    service: ServiceId


def send(state: VmState, call: Call, arrival: ServiceCalled,
         now: float) -> CallService | NoInstance:
    """Sends a call to the instance with the fewest calls of this VM."""
    view = _choose(state, call, arrival, now)
    if view is None:
        return NoInstance(arrival.service)
    call.attempt_count += 1
    attempt = AttemptId(f'{arrival.request}.{call.attempt_count}')
    call.attempt = attempt
    state.calls.attempts[attempt] = Attempt(attempt, arrival.request, view.id,
                                            now)
    view.own_attempts.add(attempt)
    REQUEST.fire(call, 'dispatch')
    return CallService(attempt=attempt,
                       request=arrival.request,
                       endpoint=view.id,
                       address=view.endpoint.address,
                       team=arrival.team,
                       service=arrival.service,
                       method=arrival.method,
                       path=arrival.path,
                       key=arrival.key,
                       body=arrival.body)


def start_attempt(sent: CallService, now: float) -> Iterator[Effect]:
    """Dispatches and bounds the time of the answer."""
    yield sent
    yield SetTimer(timer_key(sent.attempt), now + SERVICE_TIMEOUT_S)


def timer_key(attempt: AttemptId) -> TimerKey:
    """Returns the timer that bounds an attempt."""
    return TimerKey(TimerKind.SERVICE, attempt)


def record_failure(state: VmState, call: Call, failure: Failure,
                   now: float) -> None:
    """Ends the call's attempt and remembers what its failure means."""
    if call.attempt is None:
        return
    attempt = state.calls.attempts.get(call.attempt)
    if attempt is not None:
        call.failed_endpoints.add(attempt.endpoint)
        view = state.endpoints.get(attempt.endpoint)
        if view is not None and failure is Failure.CONNECT_REFUSED:
            view.cooldown_until = now + DOWN_S
    if failure not in NOT_RUN_FAILURES:
        call.may_have_run = True
    remove_attempt(state, call.attempt)


def remove_attempt(state: VmState, attempt: AttemptId) -> None:
    """Drops an attempt; what still comes of it is ignored."""
    found = state.calls.attempts.pop(attempt, None)
    if found is not None and found.endpoint in state.endpoints:
        state.endpoints[found.endpoint].own_attempts.discard(attempt)


def _choose(state: VmState, call: Call, arrival: ServiceCalled,
            now: float) -> EndpointView | None:
    views = [
        view for view in state.endpoints.values()
        if view.endpoint.kind is EndpointKind.SERVICE and
        view.endpoint.serves == arrival.service and view.takes_work(now) and
        view.id not in call.failed_endpoints
    ]
    return min(views, key=lambda each: len(each.own_attempts), default=None)
