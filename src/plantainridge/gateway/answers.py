"""Handling of endpoints' answers, streams and failed sends."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import (cache, dispatch, endings, health, paths,
                                   placement, placement_requests, resumptions,
                                   speed_updates, suspects, takeover)
from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import (AnswerArrived, AnswerHead, Failure,
                                          SendFailed, StreamEnded,
                                          StreamEventsReceived, StreamStarted)
from plantainridge.gateway.placement import Placement
from plantainridge.gateway.requests import (CALL_LIFECYCLE, Attempt, Call,
                                            FallbackAnswer, SendLimit)
from plantainridge.gateway.takeover import Stay
from plantainridge.ids import AttemptId
from plantainridge.loop.effects import Effect, LogLine, Observe, SetTimer
from plantainridge.loop.events import TimerFired

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Failures of sends that certainly did not run.
NOT_RUN: Final = frozenset({
    Failure.NOT_CONNECTED, Failure.RELAY_FAILED, Failure.UNCONFIRMED,
    Failure.OTHER_RUN
})
# Time after the entry of a new run was applied in which events of the earlier
# run may still be handled.
OLD_EVENTS_S: Final = 1.0
# Longest total of the error answers that are held while their requests are sent
# again, in bytes; one beyond it is forwarded immediately.
MAX_FALLBACK_BYTES: Final = 16 * 1_024 * 1_024


def on_answer(state: 'GatewayState', event: AnswerArrived,
              now: float) -> Iterator[Effect]:
    """Forward a complete answer, or try another endpoint."""
    call = state.calls.of_attempt(event.attempt)
    if call is None:
        return
    attempt = yield from endings.close_attempt(state, event.attempt)
    health.record_answer(state, attempt, event.head, now)
    yield from _log_rate(attempt, event.head)
    yield from paths.on_connected(state, attempt, now)
    head = event.head
    if head.not_run:
        call.executions -= 1
        yield from _after_not_run(state, call, attempt, head, now)
        return
    if head.status < 300 and not head.signed:
        unsigned = SendFailed(event.attempt, Failure.MALFORMED, 'unsigned')
        yield from _after_failure(state, call, attempt, unsigned, now)
        return
    if (head.status >= 500 and call.route.repeatable and
            not call.reply_started and
            len(event.body) <= _free_fallback_bytes(state)):
        call.fallback = FallbackAnswer(head.status, head.headers, event.body)
        yield from _retry_or_forward_failure(state, call, now)
        return
    if call.reply_started:
        yield from _after_refused_resumption(state, call, head, now)
        return
    if head.status < 500:
        speed_updates.record_plain_answer(state, call, attempt, now)
        yield from suspects.record_answer(state, call, now)
    yield fx.Reply(call.request.id, head.status, head.headers, event.body)
    yield from endings.end(state, call, endings.ANSWERED, head.status, now)


def _free_fallback_bytes(state: 'GatewayState') -> int:
    """Return how many more bytes of error answers may be held, in bytes."""
    return MAX_FALLBACK_BYTES - sum(
        len(call.fallback.body)
        for call in state.calls.calls.values()
        if call.fallback is not None)


def _log_rate(attempt: Attempt, head: AnswerHead) -> Iterator[Effect]:
    """Log a rate that the head of an answer states."""
    if head.invalid_rate:
        yield LogLine('rate_unreadable', (('endpoint', attempt.endpoint),
                                          ('stated', head.invalid_rate)))
    elif head.max_requests_per_s is not None:
        yield LogLine('rate_stated',
                      (('endpoint', attempt.endpoint),
                       ('requests_per_s', head.max_requests_per_s)))


def _after_not_run(state: 'GatewayState', call: Call, attempt: Attempt,
                   head: AnswerHead, now: float) -> Iterator[Effect]:
    """Try another endpoint after one rejected a request without running it.

    A 400 is forwarded: the request itself is invalid. A 421 means that another
    instance or version answers at the address. Any other status means that the
    endpoint is full; the request may return to it later.
    """
    yield LogLine('request_turned_away',
                  (('request', call.request.attempt_id),
                   ('endpoint', attempt.endpoint), ('status', head.status),
                   ('instance', head.instance)))
    if head.status == 421:
        health.record_misdirected(state, call, attempt, head, now)
    elif head.status == 400 and call.reply_started:
        yield from _after_refused_resumption(state, call, head, now)
        return
    elif head.status == 400:
        yield fx.Reply(call.request.id, head.status, head.headers, b'')
        yield from endings.end(state, call, endings.ANSWERED, head.status, now)
        return
    else:
        yield from health.record_rejection(state, attempt, now)
        call.tried.discard(attempt.endpoint)
    yield from dispatch.dispatch(state, call, now)


def _retry_or_forward_failure(state: 'GatewayState', call: Call,
                              now: float) -> Iterator[Effect]:
    """Try another endpoint; forward the error answer if there is none."""
    fallback = call.fallback
    assert fallback is not None
    yield LogLine('endpoint_failed', (('request', call.request.attempt_id),
                                      ('status', fallback.status)))
    choice: Placement | None = None
    if dispatch.may_retry(state, call, now):
        candidate = placement.choose(state, call, now, ignore_capacity=True)
        choice = candidate if isinstance(candidate, Placement) else None
    if choice is not None:
        yield from dispatch.send(state, call, choice, now)
        return
    yield fx.Reply(call.request.id, fallback.status, fallback.headers,
                   fallback.body)
    yield from endings.end(state, call, endings.ANSWERED, fallback.status, now)


def _after_refused_resumption(state: 'GatewayState', call: Call,
                              head: AnswerHead, now: float) -> Iterator[Effect]:
    """Resume a stream elsewhere after an endpoint's error, else abort it."""
    yield LogLine('endpoint_failed', (('request', call.request.attempt_id),
                                      ('status', head.status)))
    if head.status >= 500 and call.route.repeatable:
        yield from _retry(state, call, now)
        return
    yield from endings.abort_stream(state, call, 'the stream was refused', now)


def on_stream_started(state: 'GatewayState', event: StreamStarted,
                      now: float) -> Iterator[Effect]:
    """Start to forward a stream, or abandon one that is not signed."""
    call = state.calls.of_attempt(event.attempt)
    if call is None:
        return
    attempt = state.calls.attempts[event.attempt]
    attempt.is_run_known = event.is_run_known
    health.record_head(state, attempt, event.head, now)
    yield from _log_rate(attempt, event.head)
    yield from paths.on_connected(state, attempt, now)
    if not event.head.signed:
        yield fx.CancelSend(event.attempt)
        yield from on_failed(state, SendFailed(event.attempt,
                                               Failure.MALFORMED), now)
        return
    CALL_LIFECYCLE.fire(call, 'stream')
    if not call.reply_started:
        call.reply_started = True
        yield fx.StartReply(call.request.id, event.head.status,
                            event.head.headers)


def on_stream_events(state: 'GatewayState', event: StreamEventsReceived,
                     now: float) -> Iterator[Effect]:
    """Forward complete events of a stream, each once."""
    call = state.calls.of_attempt(event.attempt)
    if call is None:
        return
    if not event.has_event:
        # Neither progress nor a sign that the prompt was computed.
        yield fx.ForwardStreamEvents(call.request.id, event.data)
        return
    attempt = state.calls.attempts[event.attempt]
    build = _build_of(state, attempt, now)
    if call.build not in (None, build):
        if _may_rebind(call, attempt):
            yield from resumptions.correct_build(state, call, build, now)
        else:
            yield from _after_other_build(state, call, attempt, now)
            return
    attempt.build = build
    if not attempt.events_received:
        attempt.events_received = True
        if call.request.model:
            salt = cache.make_salt(call.request.model, attempt.version,
                                   call.team)
            state.cache.record_prefill(attempt.endpoint, salt,
                                       call.request.parts)
        health.record_first_event(state, attempt, now)
        if attempt.grant is not None:
            yield from placement_requests.report_prefill(state, attempt.grant)
        yield from resumptions.record_first_event(state, call, build, now)
        if call.first_event_s is None:
            call.first_event_s = now - call.arrived_at
            yield Observe('first_piece_s', call.team.name if call.team else '',
                          call.route.name, now - call.arrived_at)
    attempt.progress_at = call.progress_at = now
    attempt.is_silent = False
    health.record_activity(state, attempt, now)
    if event.last_id:
        call.last_event_id = event.last_id
    yield fx.ForwardStreamEvents(call.request.id, event.data)


def _build_of(state: 'GatewayState', attempt: Attempt, now: float) -> str:
    """Return the build that answers a send.

    If the endpoint does not state its run, an entry that was read since the
    send is that of the run that answers, where it names the same address: the
    connections of an earlier run have ended. Events of the earlier run may be
    handled shortly after its entry was replaced.
    """
    if attempt.is_run_known:
        return attempt.build
    view = state.endpoints.get(attempt.endpoint)
    if view is None or view.entry.address != attempt.address:
        return attempt.build
    if attempt.events_received and (now - view.known_at < OLD_EVENTS_S or
                                    state.suspension.may_have_backlog(now)):
        return attempt.build
    return view.entry.build


def _may_rebind(call: Call, attempt: Attempt) -> bool:
    """Return whether all events that a caller has are of one send."""
    return (attempt.events_received and call.build == attempt.build and
            call.begun_by == attempt.id)


def _after_other_build(state: 'GatewayState', call: Call, attempt: Attempt,
                       now: float) -> Iterator[Effect]:
    """Give up a send whose engine runs another build than its stream's.

    The stream goes on elsewhere if the caller has no event of the send.
    """
    yield fx.CancelSend(attempt.id)
    if attempt.events_received:
        yield from endings.close_attempt(state, attempt.id)
        yield from endings.abort_stream(state, call,
                                        'the engine runs another build', now)
        return
    yield from on_failed(
        state, SendFailed(attempt.id, Failure.MALFORMED, 'another build'), now)


def on_stream_ended(state: 'GatewayState', event: StreamEnded,
                    now: float) -> Iterator[Effect]:
    """End the answer of a stream that is complete."""
    call = state.calls.of_attempt(event.attempt)
    if call is None:
        return
    attempt = yield from endings.close_attempt(state, event.attempt)
    health.record_success(state, attempt, now)
    if attempt.events_received:
        yield from suspects.record_answer(state, call, now)
    resumptions.forget_ended(state, call)
    yield fx.EndReply(call.request.id)
    yield from endings.end(state, call, endings.ANSWERED, 200, now)


def on_failed(state: 'GatewayState', event: SendFailed,
              now: float) -> Iterator[Effect]:
    """Retry a request that may be repeated, else end it with 502."""
    call = state.calls.of_attempt(event.attempt)
    if call is None:
        return
    attempt = yield from endings.close_attempt(state, event.attempt)
    yield from _after_failure(state, call, attempt, event, now)


def _after_failure(state: 'GatewayState', call: Call, attempt: Attempt,
                   event: SendFailed, now: float) -> Iterator[Effect]:
    """Record a failed send, then retry or end its request."""
    failure = event.failure
    yield from _record_failure(state, call, attempt, event, now)
    if failure in NOT_RUN:
        call.executions -= 1
        call.deliveries -= 1
        if call.deliveries:
            state.retries.cancel_retry(call.service, attempt.sent_at)
        if failure is Failure.OTHER_RUN:
            # It may be sent there once the entry of that run was read.
            call.tried.discard(attempt.endpoint)
            call.misdirected += 1
        else:
            call.unreached.add(attempt.endpoint)
        if call.reply_started or failure is Failure.RELAY_FAILED:
            # A stream that has begun may wait for the end of the cool-down.
            call.tried.discard(attempt.endpoint)
        yield from dispatch.dispatch(state, call, now)
        return
    if failure is Failure.BROKEN and attempt.peer is None:
        yield from suspects.record_break(state, call, attempt, now)
    if call.route.repeatable:
        if failure is Failure.TIMED_OUT:
            call.given_up.add(attempt.endpoint)
        yield from _retry(state, call, now)
        return
    if call.reply_started:
        yield from endings.abort_stream(state, call, failure.value, now)
        return
    yield fx.Refuse(call.request.id, endings.STATUS_BAD_GATEWAY,
                    f'the endpoint failed: {failure.value}')
    yield from endings.end(state, call, failure.value,
                           endings.STATUS_BAD_GATEWAY, now)


def _record_failure(state: 'GatewayState', call: Call, attempt: Attempt,
                    event: SendFailed, now: float) -> Iterator[Effect]:
    """Record and log a failed send."""
    if event.failure is Failure.OTHER_RUN:
        health.record_other_run(state, attempt, event.started_ms, now)
    else:
        health.record_failure(state, attempt, event.failure, now)
    yield from paths.on_send_failed(state, call, attempt, event.failure, now)
    yield LogLine('send_failed',
                  (('request', call.request.attempt_id),
                   ('endpoint', attempt.endpoint),
                   ('failure', event.failure.value), ('detail', event.detail),
                   ('started_ms', event.started_ms),
                   ('after_s', round(now - attempt.sent_at, 4))))


def _retry(state: 'GatewayState', call: Call, now: float) -> Iterator[Effect]:
    """Dispatch a request again if its limits allow it, else end it.

    A stream that has begun waits for the retry budget as long as its caller.
    """
    limit = dispatch.send_limit(state, call, now)
    may_wait = limit is SendLimit.BUDGET and call.reply_started
    if may_wait or dispatch.may_retry(state, call, now):
        yield from dispatch.dispatch(state, call, now)
        return
    yield from endings.fail_request(state, call, 'no more sends are allowed',
                                    None, now)


def on_send_silence(state: 'GatewayState', event: TimerFired,
                    now: float) -> Iterator[Effect]:
    """Abandon a send whose endpoint is silent, if it may be sent again.

    An endpoint that was active meanwhile gets more time. The send stays while
    no other endpoint can take over.
    """
    attempt_id = AttemptId(event.key.subject)
    call = state.calls.of_attempt(attempt_id)
    if call is None:
        return
    attempt = state.calls.attempts[attempt_id]
    send_timeout_at = health.send_timeout_at(state, call, attempt)
    if now < send_timeout_at:
        yield SetTimer(event.key, send_timeout_at)
        return
    if not attempt.is_silent and attempt.peer is None:
        yield from paths.on_unreached(state, attempt.endpoint, now)
    choice = takeover.plan(state, call, now, attempt)
    if isinstance(choice, Placement):
        yield fx.CancelSend(attempt_id)
        yield from endings.close_attempt(state, attempt_id)
        call.given_up.add(attempt.endpoint)
        yield from _record_failure(
            state, call, attempt,
            SendFailed(attempt_id, Failure.SILENT, 'taken over'), now)
        yield from dispatch.send(state, call, choice, now)
        return
    if not attempt.is_silent:
        attempt.is_silent = True
        yield LogLine('send_stays',
                      (('request', call.request.attempt_id),
                       ('endpoint', attempt.endpoint), ('how', choice.value),
                       ('after_s', round(now - attempt.sent_at, 4))))
    if choice is Stay.FOR_NOW:
        yield SetTimer(event.key, now + takeover.RECHECK_INTERVAL_S)
