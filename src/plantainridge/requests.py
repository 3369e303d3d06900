"""Life of a model request: dispatch, whole answer, retry and resume."""

from collections.abc import Iterator
from typing import Final

from plantainridge import admission, choices, transfers, versions
from plantainridge.calls import Attempt, Call
from plantainridge.effects import (CancelAttempt, Effect, FinishAnswer, Observe,
                                   Refuse, SendTokens, StartAttempt)
from plantainridge.endpoints import EndpointView
from plantainridge.events import (AttemptEnded, AttemptFailed, CallerGone,
                                  Failure, ModelCalled, TokensArrived)
from plantainridge.ids import AttemptId, EndpointId, RequestId
from plantainridge.lifecycles import REQUEST, RequestPhase
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.routing import NoEndpoint
from plantainridge.state import VmState

MAX_TRIES: Final = 3
# How long an endpoint that broke a connection gets no new work.
DOWN_S: Final = 2.0


def on_model_called(state: VmState, event: ModelCalled,
                    now: float) -> Iterator[Effect]:
    """Takes a request in and dispatches it, or refuses it."""
    refusal = admission.refuse_now(state, event)
    if refusal is not None:
        yield Refuse(event.request, refusal)
        return
    call = Call(event, arrived_at=now)
    state.calls.calls[event.request] = call
    yield from _dispatch(state, call, event, now)


def _dispatch(state: VmState, call: Call, asked: ModelCalled,
              now: float) -> Iterator[Effect]:
    asked = versions.current(state, call, asked, now)
    choice = choices.choose(state, call, asked, now)
    if isinstance(choice, NoEndpoint):
        yield from _refuse(
            state, call, asked.request,
            Refusal(Reason.NO_ENDPOINT,
                    RanState.RAN if call.delivered else RanState.NOT_RUN,
                    choice.detail,
                    retry_after_s=1.0))
        return
    view = state.endpoints[choice.endpoint]
    view.note_sent(now, choice.compute_tokens)
    if choice.fetch is not None:
        yield from transfers.fetch(state, asked.request, choice.endpoint,
                                   choice.fetch, now)
        return
    yield from start_attempt(state, call, asked, view, now)


def start_attempt(state: VmState, call: Call, asked: ModelCalled,
                  view: EndpointView, now: float) -> Iterator[Effect]:
    """Dispatches a request to the endpoint that was chosen for it."""
    call.tries += 1
    attempt = AttemptId(f'{asked.request}.{call.tries}')
    call.attempt = attempt
    state.calls.attempts[attempt] = Attempt(attempt, asked.request, view.id,
                                            now)
    view.own.add(attempt)
    REQUEST.fire(call, 'dispatch')
    yield StartAttempt(attempt=attempt,
                       request=asked.request,
                       endpoint=view.id,
                       address=view.endpoint.address,
                       team=asked.team,
                       model=asked.model,
                       version=asked.version,
                       adapter=asked.adapter,
                       prompt=asked.prompt,
                       max_tokens=asked.max_tokens,
                       priority=state.config.teams[asked.team].priority,
                       resume_from=len(call.delivered),
                       delivered=tuple(call.delivered))


def on_tokens(state: VmState, event: TokensArrived,
              now: float) -> Iterator[Effect]:
    """Passes on tokens that belong to the call and are next in order."""
    call = state.calls.of_attempt(event.attempt)
    if call is None or not isinstance(call.asked, ModelCalled):
        return
    asked = call.asked
    ours = (event.echoed == asked.request and event.version == asked.version and
            event.first == len(call.delivered))
    if not ours:
        yield CancelAttempt(event.attempt)
        yield from on_attempt_failed(
            state, AttemptFailed(event.attempt, Failure.MISMATCHED), now)
        return
    if call.phase is RequestPhase.DISPATCHED:
        REQUEST.fire(call, 'stream')
    if call.first_token_at is None:
        call.first_token_at = now
        call.cached_tokens = event.cached_tokens
        yield Observe('first_token_s', asked.team, asked.model,
                      now - call.arrived_at)
    call.delivered.extend(event.tokens)
    yield SendTokens(asked.request, event.tokens)


def on_attempt_ended(state: VmState, event: AttemptEnded,
                     now: float) -> Iterator[Effect]:
    """Ends the answer if every token of it was delivered."""
    call = state.calls.of_attempt(event.attempt)
    if call is None or not isinstance(call.asked, ModelCalled):
        return
    asked = call.asked
    if event.echoed != asked.request or event.total != len(call.delivered):
        yield from on_attempt_failed(
            state, AttemptFailed(event.attempt, Failure.MISMATCHED), now)
        return
    REQUEST.fire(call, 'finish')
    _forget_attempt(state, event.attempt)
    del state.calls.calls[asked.request]
    yield FinishAnswer(asked.request, asked.prompt.tokens, call.cached_tokens,
                       event.total)


def on_attempt_failed(state: VmState, event: AttemptFailed,
                      now: float) -> Iterator[Effect]:
    """Resumes the request elsewhere, or gives it up with a typed refusal."""
    call = state.calls.of_attempt(event.attempt)
    if call is None or not isinstance(call.asked, ModelCalled):
        return
    attempt = state.calls.attempts[event.attempt]
    if event.failure is Failure.OTHER_VERSION:
        _forget_attempt(state, event.attempt)
        versions.on_refused(state, call, attempt.endpoint, event.version)
        yield from _dispatch(state, call, call.asked, now)
        return
    view = state.endpoints.get(attempt.endpoint)
    if view is not None and event.failure is not Failure.REJECTED:
        view.down_until = now + DOWN_S
    call.tried.add(attempt.endpoint)
    _forget_attempt(state, event.attempt)
    if call.tries >= MAX_TRIES:
        yield from _refuse(
            state, call, call.asked.request,
            Refusal(Reason.ENDPOINT_FAILED,
                    RanState.RAN if call.delivered else RanState.UNKNOWN,
                    f'{call.tries} endpoints failed the request',
                    retry_after_s=1.0))
        return
    yield from _dispatch(state, call, call.asked, now)


def on_caller_gone(state: VmState, event: CallerGone,
                   now: float) -> Iterator[Effect]:
    """Cancels the attempt of a caller that hung up."""
    del now
    call = state.calls.calls.get(event.request)
    if call is None or not isinstance(call.asked, ModelCalled):
        return
    if call.attempt is not None:
        yield CancelAttempt(call.attempt)
        _forget_attempt(state, call.attempt)
    del state.calls.calls[event.request]


def _refuse(state: VmState, call: Call, request: RequestId,
            refusal: Refusal) -> Iterator[Effect]:
    REQUEST.fire(call, 'refuse')
    del state.calls.calls[request]
    yield Refuse(request, refusal)


def _forget_attempt(state: VmState, attempt: AttemptId) -> None:
    found = state.calls.attempts.pop(attempt, None)
    if found is None:
        return
    view = state.endpoints.get(found.endpoint)
    if view is not None:
        view.own.discard(attempt)


def on_fetch_over(state: VmState, request: RequestId, endpoint: EndpointId,
                  now: float) -> Iterator[Effect]:
    """Dispatches a request whose fetch ended, was given up or failed."""
    call = state.calls.calls.get(request)
    if (call is None or not isinstance(call.asked, ModelCalled) or
            call.attempt in state.calls.attempts):
        return
    view = state.endpoints.get(endpoint)
    if view is None or not view.takes_work(now):
        yield from _dispatch(state, call, call.asked, now)
        return
    yield from start_attempt(state, call, call.asked, view, now)
