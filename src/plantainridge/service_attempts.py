"""Attempts of a call on instances of a plain service."""

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

# Failures that prove that the call did not run.
NOT_RUN_FAILURES: Final = frozenset({Failure.CONNECT_REFUSED, Failure.REJECTED})
# Cool-down of an instance that refused a connection, in s.
COOLDOWN_S: Final = 2.0
MAX_ATTEMPTS: Final = 3
# Timeout of one instance's complete answer, in s.
SERVICE_TIMEOUT_S: Final = 30.0


@attrs.frozen
class NoInstance:
    """No instance of a service accepts work."""

    service: ServiceId


def send(state: VmState, call: Call, arrival: ServiceCalled,
         now: float) -> CallService | NoInstance:
    """Assign a call to the instance with the fewest attempts of this VM."""
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
    """Dispatch an attempt and set the timer for its timeout."""
    yield sent
    yield SetTimer(timer_key(sent.attempt), now + SERVICE_TIMEOUT_S)


def timer_key(attempt: AttemptId) -> TimerKey:
    """Return the key of the timer for an attempt's timeout."""
    return TimerKey(TimerKind.SERVICE, attempt)


def record_failure(state: VmState, call: Call, failure: Failure,
                   now: float) -> None:
    """End the current attempt of a call and record its failure."""
    if call.attempt is None:
        return
    attempt = state.calls.attempts.get(call.attempt)
    if attempt is not None:
        call.failed_endpoints.add(attempt.endpoint)
        view = state.endpoints.get(attempt.endpoint)
        if view is not None and failure is Failure.CONNECT_REFUSED:
            view.cooldown_until = now + COOLDOWN_S
    if failure not in NOT_RUN_FAILURES:
        call.may_have_run = True
    remove_attempt(state, call.attempt)


def remove_attempt(state: VmState, attempt: AttemptId) -> None:
    """Remove an attempt; later events of it are ignored."""
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
