"""Life cycle of a model request: dispatch, streaming, retry and resumption."""

from collections.abc import Iterator
from typing import Final

from plantainridge import (admission, choices, health, quarantine, retries,
                           transfers, versions)
from plantainridge.admission import Estimate
from plantainridge.calls import Attempt, Call
from plantainridge.effects import (CancelAttempt, FinishAnswer, Refuse,
                                   SendTokens, StartAttempt)
from plantainridge.endpoints import EndpointView
from plantainridge.events import (AttemptEnded, AttemptFailed,
                                  CallerDisconnected, Failure, ModelCalled,
                                  TimerKind, TokensReceived)
from plantainridge.ids import AttemptId, EndpointId, RequestId
from plantainridge.lifecycles import REQUEST, RequestPhase
from plantainridge.loop.effects import CancelTimer, Effect, Observe, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.routing import Choice, NoEndpoint
from plantainridge.state import VmState

# Timeout of an attempt's first token, as a multiple of the larger of the target
# and the expected time, and its lower bound.
FIRST_TOKEN_TIMEOUT_FACTOR: Final = 4.0
MIN_FIRST_TOKEN_TIMEOUT_S: Final = 4.0
# Timeout between two tokens of an attempt, in s.
STALL_TIMEOUT_S: Final = 10.0


def on_model_called(state: VmState, event: ModelCalled,
                    now: float) -> Iterator[Effect]:
    """Admit and dispatch a request, or refuse it."""
    refusal = (admission.refuse_inadmissible(state, event, now) or
               quarantine.refuse_suspect(state, event, now))
    if refusal is not None:
        yield Refuse(event.request, refusal)
        return
    team = state.config.teams[event.team]
    call = Call(event,
                arrived_at=now,
                team_priority=team.priority,
                priority=admission.engine_priority(state, team),
                first_token_target_s=team.first_token_s)
    if quarantine.adopt(state, call, now):
        state.calls.open(call)
        yield from quarantine.publish_report(state, now)
        yield from _wait(call, event, now)
        return
    choice = choices.choose(state, call, event, now)
    if isinstance(choice, NoEndpoint):
        yield Refuse(
            event.request,
            Refusal(Reason.NO_ENDPOINT,
                    RanState.NOT_RUN,
                    choice.detail,
                    retry_after_s=retries.RETRY_AFTER_S))
        return
    estimate = admission.estimate_choice(state, choice, now)
    if not admission.in_time(state, call, event.team, estimate):
        choice, estimate = _choose_faster(state, call, event, choice, now)
    refusal = admission.refuse_late(state, call, event, estimate, now)
    if refusal is not None:
        yield Refuse(event.request, refusal)
        return
    state.calls.open(call)
    retries.record_first_attempt(state, event.team, choice.endpoint)
    yield from _send_to_choice(state, call, event, choice, now)


def _choose_faster(state: VmState, call: Call, arrival: ModelCalled,
                   choice: Choice, now: float) -> tuple[Choice, Estimate]:
    """Return the faster of a choice and the best one on another endpoint."""
    estimate = admission.estimate_choice(state, choice, now)
    alternative = choices.choose(state, call, arrival, now,
                                 frozenset([choice.endpoint]))
    if isinstance(alternative, NoEndpoint):
        return choice, estimate
    alternative_estimate = admission.estimate_choice(state, alternative, now)
    if alternative_estimate.first_token_s < estimate.first_token_s:
        return alternative, alternative_estimate
    return choice, estimate


def _dispatch(state: VmState, call: Call, arrival: ModelCalled,
              now: float) -> Iterator[Effect]:
    """Dispatch a call again, or make it wait for an endpoint."""
    arrival = versions.rebind_if_needed(state, call, arrival, now)
    if call.suspect in state.quarantine.suspects:
        # The first isolated retry waits for the timer, so that all calls that
        # were on the crashed endpoint are known by then.
        if call.phase is not RequestPhase.WAITING:
            yield from _wait(call, arrival, now)
            return
        yield from _retry_isolated(state, call, arrival, now)
        return
    choice = choices.choose(state, call, arrival, now)
    if not isinstance(choice, NoEndpoint):
        retries.record_retry(state, choice.endpoint)
        yield from _send_to_choice(state, call, arrival, choice, now)
        return
    yield from _wait_or_refuse(state, call, arrival, choice.detail,
                               retries.ENDPOINT_WAIT_TIMEOUT_S, now)


def _wait_or_refuse(state: VmState, call: Call, arrival: ModelCalled,
                    detail: str, timeout_s: float,
                    now: float) -> Iterator[Effect]:
    if (call.waiting_since is None or now - call.waiting_since < timeout_s):
        yield from _wait(call, arrival, now)
        return
    yield from _refuse(
        state, call, arrival.request,
        Refusal(Reason.NO_ENDPOINT,
                call.ran,
                detail,
                retry_after_s=retries.RETRY_AFTER_S))


def _wait(call: Call, arrival: ModelCalled, now: float) -> Iterator[Effect]:
    REQUEST.fire(call, 'wait')
    if call.waiting_since is None:
        call.waiting_since = now
    yield SetTimer(TimerKey(TimerKind.RETRY, arrival.request),
                   now + retries.RETRY_INTERVAL_S)


def _retry_isolated(state: VmState, call: Call, arrival: ModelCalled,
                    now: float) -> Iterator[Effect]:
    """Dispatch a suspect in isolation, or make it wait for its turn."""
    suspect = state.quarantine.suspects[call.suspect]
    if suspect.crash_count >= quarantine.MAX_CRASHES:
        yield from _refuse(state, call, arrival.request,
                           quarantine.quarantined_refusal(call.ran))
        return
    endpoint = quarantine.isolated_endpoint(state, call, now)
    if not endpoint:
        yield from _wait_or_refuse(state, call, arrival,
                                   'no endpoint is free to try a suspect on',
                                   quarantine.ISOLATION_WAIT_TIMEOUT_S, now)
        return
    quarantine.record_isolated_retry(state, call, endpoint, now)
    yield from quarantine.publish_report(state, now)
    yield from _send_to_choice(state, call, arrival,
                               Choice(endpoint, arrival.prompt.tokens), now)


def _send_to_choice(state: VmState, call: Call, arrival: ModelCalled,
                    choice: Choice, now: float) -> Iterator[Effect]:
    view = state.endpoints[choice.endpoint]
    call.expected_s = admission.estimate_choice(state, choice,
                                                now).first_token_s
    view.record_sent(now, choice.compute_tokens)
    state.health.endpoint_health(view.id).sent.add(choice.compute_tokens, now)
    if choice.fetch is not None:
        yield from transfers.fetch(state, arrival.request, choice.endpoint,
                                   choice.fetch, now)
        return
    yield from start_attempt(state, call, arrival, view, now)


def start_attempt(state: VmState, call: Call, arrival: ModelCalled,
                  view: EndpointView, now: float) -> Iterator[Effect]:
    """Dispatch a request to the endpoint chosen for it."""
    call.attempt_count += 1
    call.progress_at = now
    attempt = AttemptId(f'{arrival.request}.{call.attempt_count}')
    call.attempt = attempt
    state.calls.attempts[attempt] = Attempt(attempt, arrival.request, view.id,
                                            now, call.expected_s)
    view.own_attempts.add(attempt)
    REQUEST.fire(call, 'dispatch')
    yield SetTimer(_deadline_timer(attempt),
                   now + _first_token_timeout_s(call, call.expected_s))
    yield StartAttempt(attempt=attempt,
                       request=arrival.request,
                       endpoint=view.id,
                       address=view.endpoint.address,
                       team=arrival.team,
                       model=arrival.model,
                       version=arrival.version,
                       adapter=arrival.adapter,
                       prompt=arrival.prompt,
                       max_tokens=arrival.max_tokens,
                       priority=call.priority,
                       resume_from=len(call.delivered),
                       delivered=tuple(call.delivered))


def on_tokens(state: VmState, event: TokensReceived,
              now: float) -> Iterator[Effect]:
    """Forward tokens that belong to the call and are next in order.

    Any other tokens count as a failed attempt.
    """
    call = state.calls.find_by_attempt(event.attempt)
    if call is None or not isinstance(call.arrival, ModelCalled):
        return
    arrival = call.arrival
    is_next = (event.echoed == arrival.request and
               event.version == arrival.version and
               event.first == len(call.delivered))
    if not is_next:
        yield CancelAttempt(event.attempt)
        yield from on_attempt_failed(
            state, AttemptFailed(event.attempt, Failure.MISMATCHED), now)
        return
    if call.phase is RequestPhase.DISPATCHED:
        REQUEST.fire(call, 'stream')
        attempt = state.calls.attempts[event.attempt]
        health.record_first_token(state, attempt.endpoint,
                                  now - attempt.started_at, attempt.expected_s,
                                  now)
    if call.first_token_at is None:
        call.first_token_at = now
        call.cached_tokens = event.cached_tokens
        yield Observe('first_token_s', arrival.team, arrival.model,
                      now - call.arrived_at)
    call.progress_at = now
    call.waiting_since = None
    call.delivered.extend(event.tokens)
    yield SendTokens(arrival.request, event.tokens)


def on_attempt_ended(state: VmState, event: AttemptEnded,
                     now: float) -> Iterator[Effect]:
    """End the answer if all of its tokens were delivered.

    Otherwise the attempt failed.
    """
    call = state.calls.find_by_attempt(event.attempt)
    if call is None or not isinstance(call.arrival, ModelCalled):
        return
    arrival = call.arrival
    if event.echoed != arrival.request or event.total != len(call.delivered):
        yield from on_attempt_failed(
            state, AttemptFailed(event.attempt, Failure.MISMATCHED), now)
        return
    REQUEST.fire(call, 'finish')
    yield from _remove_attempt(state, event.attempt)
    state.calls.close(arrival.request)
    yield from quarantine.record_closed(state, call, True, now)
    yield FinishAnswer(arrival.request, arrival.prompt.tokens,
                       call.cached_tokens, event.total)


def on_attempt_failed(state: VmState, event: AttemptFailed,
                      now: float) -> Iterator[Effect]:
    """Resume the request on another endpoint, or end it with a refusal."""
    call = state.calls.find_by_attempt(event.attempt)
    if call is None or not isinstance(call.arrival, ModelCalled):
        return
    attempt = state.calls.attempts[event.attempt]
    if event.failure is Failure.OTHER_VERSION:
        yield from _remove_attempt(state, event.attempt)
        call.attempt = None
        versions.on_version_mismatch(state, call, attempt.endpoint,
                                     event.version)
        yield from _dispatch(state, call, call.arrival, now)
        return
    health.record_failure(state, attempt.endpoint, event.failure, now)
    call.failed_endpoints.add(attempt.endpoint)
    if event.failure not in retries.NOT_RUN_FAILURES:
        call.may_have_run = True
    yield from _remove_attempt(state, event.attempt)
    call.attempt = None
    if event.failure is Failure.BROKEN:
        verdict = quarantine.record_crash(state, call, attempt, now)
        yield from quarantine.publish_report(state, now)
        if verdict is quarantine.Verdict.QUARANTINED:
            yield from _refuse(state, call, call.arrival.request,
                               quarantine.quarantined_refusal(call.ran))
            return
    decision = retries.after_failure(state, call, event.failure)
    if isinstance(decision, retries.GiveUp):
        yield from _refuse(state, call, call.arrival.request, decision.refusal)
        return
    yield from _dispatch(state, call, call.arrival, now)


def on_deadline(state: VmState, event: TimerFired,
                now: float) -> Iterator[Effect]:
    """Cancel and fail an attempt whose first or next token timed out."""
    attempt_id = AttemptId(event.key.subject)
    call = state.calls.find_by_attempt(attempt_id)
    if call is None or not isinstance(call.arrival, ModelCalled):
        return
    attempt = state.calls.attempts[attempt_id]
    timeout_s = STALL_TIMEOUT_S
    if call.phase is RequestPhase.DISPATCHED:
        timeout_s = _first_token_timeout_s(call, attempt.expected_s)
    # Time for which this process was held up is not the endpoint's.
    state.health.record_delay(now)
    deadline = max(call.progress_at, state.health.held_up_at) + timeout_s
    if now < deadline:
        yield SetTimer(event.key, deadline)
        return
    yield CancelAttempt(attempt_id)
    yield from on_attempt_failed(state,
                                 AttemptFailed(attempt_id, Failure.TIMED_OUT),
                                 now)


def on_retry(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Look again for an endpoint for a waiting call."""
    call = state.calls.calls.get(RequestId(event.key.subject))
    if call is None or call.phase is not RequestPhase.WAITING:
        return
    if isinstance(call.arrival, ModelCalled):
        yield from _dispatch(state, call, call.arrival, now)


def on_caller_disconnected(state: VmState, event: CallerDisconnected,
                           now: float) -> Iterator[Effect]:
    """Cancel the attempt of a caller that disconnected."""
    call = state.calls.calls.get(event.request)
    if call is None or not isinstance(call.arrival, ModelCalled):
        return
    if call.attempt is not None:
        yield CancelAttempt(call.attempt)
        yield from _remove_attempt(state, call.attempt)
    state.calls.close(event.request)
    yield from quarantine.record_closed(state, call, False, now)


def _refuse(state: VmState, call: Call, request: RequestId,
            refusal: Refusal) -> Iterator[Effect]:
    REQUEST.fire(call, 'refuse')
    state.calls.close(request)
    yield Refuse(request, refusal)


def _remove_attempt(state: VmState, attempt: AttemptId) -> Iterator[Effect]:
    found = state.calls.attempts.pop(attempt, None)
    if found is None:
        return
    yield CancelTimer(_deadline_timer(attempt))
    view = state.endpoints.get(found.endpoint)
    if view is not None:
        view.own_attempts.discard(attempt)


def _deadline_timer(attempt: AttemptId) -> TimerKey:
    return TimerKey(TimerKind.DEADLINE, attempt)


def _first_token_timeout_s(call: Call, expected_s: float) -> float:
    longest = max(call.first_token_target_s, expected_s)
    return max(MIN_FIRST_TOKEN_TIMEOUT_S, FIRST_TOKEN_TIMEOUT_FACTOR * longest)


def on_fetch_ended(state: VmState, request: RequestId, endpoint: EndpointId,
                   now: float) -> Iterator[Effect]:
    """Dispatch a request whose fetch completed, failed or timed out."""
    call = state.calls.calls.get(request)
    if (call is None or not isinstance(call.arrival, ModelCalled) or
            call.attempt in state.calls.attempts):
        return
    view = state.endpoints.get(endpoint)
    if view is None or not view.takes_work(now):
        yield from _dispatch(state, call, call.arrival, now)
        return
    yield from start_attempt(state, call, call.arrival, view, now)
