"""Endpoint health, derived from answers, latency and silence."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import (endpoint_limits, endpoint_speed,
                                   speed_updates)
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import AnswerHead, Failure
from plantainridge.gateway.requests import Attempt, Call
from plantainridge.loop.effects import Effect

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Cool-down of an endpoint that could not be reached; doubles with each further
# failure up to the maximum.
COOLDOWN_S: Final = 0.5
MAX_COOLDOWN_S: Final = 4.0
# Cool-down of a plain instance that rejected a request.
REJECTION_COOLDOWN_S: Final = 0.15
# Cool-down of an engine that rejected one: it loads new weights, which takes
# longer.
WEIGHT_LOAD_COOLDOWN_S: Final = 0.7
# Consecutive broken answers after which an endpoint is considered down.
MAX_BROKEN_ANSWERS: Final = 2
# Time after which a send to a silent endpoint is abandoned, relative to the
# route's target.
SILENT_TIMEOUT_RATIO: Final = 1.5
# The same if the endpoint meanwhile answers other requests: it is merely busy,
# and recomputing the prompt elsewhere would delay all others.
ACTIVE_TIMEOUT_RATIO: Final = 6.0
# Pause after which a stream is stalled, relative to the route's longest gap.
STALL_TIMEOUT_RATIO: Final = 3.0
# Time for which streams that may be resumed are not sent to an endpoint that
# restarted, unless its new entry is read before.
OTHER_RUN_RECHECK_S: Final = 1.0
# Failures that a lost path causes.
PATH_FAILURES: Final = frozenset({
    Failure.NOT_CONNECTED, Failure.SILENT, Failure.BROKEN, Failure.UNCONFIRMED
})
STATUS_MISDIRECTED: Final = 421


def record_activity(state: 'GatewayState', attempt: Attempt,
                    now: float) -> None:
    """Record that data arrived from an endpoint."""
    view = state.endpoints.get(attempt.endpoint)
    if view is not None:
        view.last_received_at = now


def record_head(state: 'GatewayState', attempt: Attempt, head: AnswerHead,
                now: float) -> None:
    """Record an answer's head and the load report in it."""
    view = state.endpoints.get(attempt.endpoint)
    if view is None:
        return
    view.last_received_at = now
    if head.load is not None:
        view.load = head.load
        speed_updates.record_report(state, view, head.load)
    endpoint_limits.record_head(state, view, head, attempt.sent_at, now)
    if head.pause_s is None and attempt.sent_at >= view.paused_until:
        view.probing = False


def record_answer(state: 'GatewayState', attempt: Attempt, head: AnswerHead,
                  now: float) -> None:
    """Record a complete answer."""
    record_head(state, attempt, head, now)
    if not head.not_run and head.status < 500:
        record_success(state, attempt, now)


def record_first_event(state: 'GatewayState', attempt: Attempt,
                       now: float) -> None:
    """Record the first event of a stream: its prompt has been computed."""
    view = state.endpoints.get(attempt.endpoint)
    if view is not None:
        view.last_received_at = now
        view.finish_prefill(attempt.id)
    speed_updates.record_first_event(state, attempt, now)


def record_success(state: 'GatewayState', attempt: Attempt, now: float) -> None:
    """Record a successful answer."""
    view = state.endpoints.get(attempt.endpoint)
    if view is not None:
        view.last_received_at = now
        view.failures = 0
        view.restarted = False


def record_rejection(state: 'GatewayState', attempt: Attempt,
                     now: float) -> Iterator[Effect]:
    """Start a cool-down of an endpoint that rejected a request.

    One that asked for a pause is not in need of it, and is not reported to
    peers as if it were.
    """
    view = state.endpoints.get(attempt.endpoint)
    if view is None:
        return
    yield from endpoint_limits.record_rejection(state, view, now)
    if now >= view.paused_until:
        cooldown_s = (REJECTION_COOLDOWN_S
                      if attempt.version is None else WEIGHT_LOAD_COOLDOWN_S)
        view.cooldown_until = max(view.cooldown_until, now + cooldown_s)


def record_misdirected(state: 'GatewayState', call: Call, attempt: Attempt,
                       head: AnswerHead, now: float) -> None:
    """Record that another instance or weight version answers at an address."""
    view = state.endpoints.get(attempt.endpoint)
    if view is None:
        return
    if head.instance and head.instance != attempt.endpoint:
        view.cooldown_until = now + MAX_COOLDOWN_S
        return
    model = call.request.model
    newest = state.versions.newest(model)
    if head.version is not None:
        view.versions[model] = head.version
    elif newest is not None and attempt.version != newest:
        view.versions[model] = newest
    else:
        view.versions.pop(model, None)
    call.tried.discard(attempt.endpoint)


def record_failure(state: 'GatewayState', attempt: Attempt, failure: Failure,
                   now: float) -> None:
    """Record a send that ended without an answer.

    Sends from before the latest cool-down show nothing new: one moment in which
    an endpoint fails all its sends counts once.
    """
    view = state.endpoints.get(attempt.endpoint)
    if view is None or failure in (Failure.TIMED_OUT, Failure.STALE):
        # Such a failure concerns one connection; new ones show whether the
        # endpoint is reached.
        return
    if (attempt.sent_at < view.cooled_down_at or
            _is_failure_of_path(state, attempt, failure, view)):
        return
    view.failures += 1
    unreachable = failure in (Failure.NOT_CONNECTED, Failure.SILENT)
    if unreachable or view.failures >= MAX_BROKEN_ANSWERS:
        _start_cooldown(view, now)


def record_other_run(state: 'GatewayState', attempt: Attempt, started_ms: int,
                     now: float) -> None:
    """Record the start of the run that answers, whose entry was not read."""
    view = state.endpoints.get(attempt.endpoint)
    if view is not None and started_ms != view.entry.started_ms:
        view.other_run_ms = started_ms
        view.other_run_until = now + OTHER_RUN_RECHECK_S


def _is_failure_of_path(state: 'GatewayState', attempt: Attempt,
                        failure: Failure, view: EndpointView) -> bool:
    """Return whether a failure is due to the path, not to the endpoint."""
    if attempt.peer is not None:
        return failure in (Failure.RELAY_FAILED, Failure.BROKEN)
    return (failure in PATH_FAILURES and
            state.paths.is_lost(view.entry.service))


def _start_cooldown(view: EndpointView, now: float) -> None:
    view.cooled_down_at = now
    cooldown_s = COOLDOWN_S * 2.0**min(view.failures - 1, 8)
    view.unreached_until = max(view.unreached_until,
                               now + min(cooldown_s, MAX_COOLDOWN_S))


def send_timeout_at(state: 'GatewayState', call: Call,
                    attempt: Attempt) -> float:
    """Return the loop time at which a send counts as silent, in s.

    An endpoint that was expected to be slow gets more time.
    """
    stretch = 1.0
    if attempt.prediction is not None:
        stretch = endpoint_speed.timeout_stretch(attempt.prediction.slowdown)
    view = state.endpoints.get(attempt.endpoint)
    active = view is not None and view.last_received_at > attempt.progress_at
    if attempt.events_received:
        pause = STALL_TIMEOUT_RATIO * call.route.gap_s * (2.0
                                                          if active else 1.0)
        return attempt.progress_at + stretch * pause
    ratio = ACTIVE_TIMEOUT_RATIO if active else SILENT_TIMEOUT_RATIO
    return attempt.sent_at + stretch * ratio * call.route.target_s
