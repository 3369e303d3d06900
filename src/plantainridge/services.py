"""Life of a call to a plain service."""

from collections.abc import Iterator

from plantainridge.calls import Attempt, Call
from plantainridge.config import EndpointKind
from plantainridge.effects import CallService, Effect, Refuse, SendServiceAnswer
from plantainridge.events import (AttemptFailed, Failure, ServiceAnswered,
                                  ServiceCalled)
from plantainridge.ids import AttemptId
from plantainridge.lifecycles import REQUEST
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.state import VmState

_SURELY_NOT_RUN = frozenset({Failure.CONNECT_REFUSED, Failure.REJECTED})


def on_service_called(state: VmState, event: ServiceCalled,
                      now: float) -> Iterator[Effect]:
    """Takes a call in and dispatches it, or refuses it."""
    if not state.ready:
        yield Refuse(
            event.request,
            Refusal(Reason.NOT_READY,
                    RanState.NOT_RUN,
                    'this VM takes no requests now',
                    retry_after_s=1.0))
        return
    service = state.config.services.get(event.service)
    if service is None:
        yield Refuse(
            event.request,
            Refusal(Reason.UNKNOWN_SERVICE, RanState.NOT_RUN,
                    'there is no such service'))
        return
    if event.marked or not service.repeatable:
        yield Refuse(
            event.request,
            Refusal(Reason.LOG_UNAVAILABLE,
                    RanState.NOT_RUN,
                    'calls that must not be repeated are not served yet',
                    retry_after_s=60.0))
        return
    call = Call(event, arrived_at=now)
    state.calls.open(call)
    yield from dispatch(state, call, event, now)


def dispatch(state: VmState, call: Call, asked: ServiceCalled,
             now: float) -> Iterator[Effect]:
    """Sends a call to the instance with the fewest calls of this VM."""
    views = [
        view for view in state.endpoints.values()
        if view.endpoint.kind is EndpointKind.SERVICE and view.endpoint.serves
        == asked.service and view.takes_work(now) and view.id not in call.tried
    ]
    if not views:
        REQUEST.fire(call, 'refuse')
        state.calls.close(asked.request)
        yield Refuse(
            asked.request,
            Refusal(Reason.NO_ENDPOINT,
                    RanState.NOT_RUN,
                    'no instance of the service takes work',
                    retry_after_s=1.0))
        return
    view = min(views, key=lambda each: len(each.own))
    call.tries += 1
    attempt = AttemptId(f'{asked.request}.{call.tries}')
    call.attempt = attempt
    state.calls.attempts[attempt] = Attempt(attempt, asked.request, view.id,
                                            now)
    view.own.add(attempt)
    REQUEST.fire(call, 'dispatch')
    yield CallService(attempt=attempt,
                      request=asked.request,
                      endpoint=view.id,
                      address=view.endpoint.address,
                      service=asked.service,
                      method=asked.method,
                      path=asked.path,
                      key=asked.key,
                      body=asked.body)


def on_service_answered(state: VmState, event: ServiceAnswered,
                        now: float) -> Iterator[Effect]:
    """Gives the answer to its own caller."""
    del now
    call = state.calls.of_attempt(event.attempt)
    if call is None or not isinstance(call.asked, ServiceCalled):
        return
    if event.echoed != call.asked.request:
        return
    REQUEST.fire(call, 'finish')
    _forget(state, event.attempt)
    state.calls.close(call.asked.request)
    yield SendServiceAnswer(call.asked.request, event.status, event.body)


def on_attempt_failed(state: VmState, event: AttemptFailed,
                      now: float) -> Iterator[Effect]:
    """Tries another instance, or says whether the call may have run."""
    call = state.calls.of_attempt(event.attempt)
    if call is None or not isinstance(call.asked, ServiceCalled):
        return
    attempt = state.calls.attempts[event.attempt]
    call.tried.add(attempt.endpoint)
    _forget(state, event.attempt)
    if event.failure in _SURELY_NOT_RUN or not call.asked.marked:
        yield from dispatch(state, call, call.asked, now)
        return
    REQUEST.fire(call, 'refuse')
    state.calls.close(call.asked.request)
    yield Refuse(
        call.asked.request,
        Refusal(Reason.OUTCOME_UNKNOWN, RanState.UNKNOWN,
                'the connection broke; the call may have run'))


def _forget(state: VmState, attempt: AttemptId) -> None:
    found = state.calls.attempts.pop(attempt, None)
    if found is not None and found.endpoint in state.endpoints:
        state.endpoints[found.endpoint].own.discard(attempt)
