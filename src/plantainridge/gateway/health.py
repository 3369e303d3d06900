"""What answers, latency and silence say of endpoints."""

from typing import TYPE_CHECKING, Final

from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import AnswerHead, Failure
from plantainridge.gateway.requests import Attempt, Call

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# How long an endpoint that could not be reached gets no work, in s; twice as
# long after each further failure, up to the longest.
AWAY_S: Final = 0.5
AWAY_LONGEST_S: Final = 4.0
# How long one that is full gets no work, in s.
FULL_S: Final = 0.15
# The same for an engine: it takes up new weights, which lasts longer.
SWAP_S: Final = 0.7
# Broken answers in a row after which an endpoint is taken to be down.
BREAKS_DOWN: Final = 2
# Times its target after which a send to a silent endpoint is given up.
SILENT_TIMEOUT_RATIO: Final = 1.5
# The same where the endpoint answers others meanwhile: it is only busy, and a
# prompt that is read again elsewhere makes all others wait.
PATIENCE_HEARD: Final = 6.0
# Pauses that make a stream stalled, in times its longest good pause.
STALL_FACTOR: Final = 3.0
STATUS_MISDIRECTED: Final = 421


def record_activity(state: 'GatewayState', attempt: Attempt,
                    now: float) -> None:
    """Notes that an endpoint lives."""
    view = state.endpoints.get(attempt.endpoint)
    if view is not None:
        view.last_received_at = now


def record_head(state: 'GatewayState', attempt: Attempt, head: AnswerHead,
                now: float) -> None:
    """Takes in what an answer's head says of its endpoint."""
    view = state.endpoints.get(attempt.endpoint)
    if view is None:
        return
    view.last_received_at = now
    if head.load is not None:
        view.load = head.load


def record_answer(state: 'GatewayState', attempt: Attempt, head: AnswerHead,
                  now: float) -> None:
    """Takes in a whole answer."""
    record_head(state, attempt, head, now)
    if not head.not_run and head.status < 500:
        record_success(state, attempt, now)


def record_first_event(state: 'GatewayState', attempt: Attempt,
                       now: float) -> None:
    """Takes in that a prompt was read."""
    view = state.endpoints.get(attempt.endpoint)
    if view is not None:
        view.last_received_at = now
        view.finish_prefill(attempt.id)


def record_success(state: 'GatewayState', attempt: Attempt, now: float) -> None:
    """Takes in a good answer."""
    view = state.endpoints.get(attempt.endpoint)
    if view is not None:
        view.last_received_at = now
        view.failures = 0


def record_rejection(state: 'GatewayState', attempt: Attempt,
                     now: float) -> None:
    """Takes in that an endpoint turned a request away."""
    view = state.endpoints.get(attempt.endpoint)
    if view is not None:
        pause = FULL_S if attempt.version is None else SWAP_S
        view.cooldown_until = max(view.cooldown_until, now + pause)


def record_misdirected(state: 'GatewayState', call: Call, attempt: Attempt,
                       head: AnswerHead, now: float) -> None:
    """Takes in that another instance or version answers at an address."""
    view = state.endpoints.get(attempt.endpoint)
    if view is None:
        return
    if head.instance and head.instance != attempt.endpoint:
        view.cooldown_until = now + AWAY_LONGEST_S
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
    """Takes in a send without an answer."""
    view = state.endpoints.get(attempt.endpoint)
    if view is None:
        return
    view.failures += 1
    unreachable = failure in (Failure.NOT_CONNECTED, Failure.SILENT)
    if unreachable or view.failures >= BREAKS_DOWN:
        _send_away(view, now)


def _send_away(view: EndpointView, now: float) -> None:
    pause = AWAY_S * 2.0**min(view.failures - 1, 8)
    view.cooldown_until = max(view.cooldown_until,
                              now + min(pause, AWAY_LONGEST_S))


def send_timeout_at(state: 'GatewayState', call: Call,
                    attempt: Attempt) -> float:
    """Returns the loop time at which a send counts as silent, in s."""
    view = state.endpoints.get(attempt.endpoint)
    heard = view is not None and view.last_received_at > attempt.progress_at
    if attempt.events_received:
        pause = STALL_FACTOR * call.route.gap_s * (2.0 if heard else 1.0)
        return attempt.progress_at + pause
    part = PATIENCE_HEARD if heard else SILENT_TIMEOUT_RATIO
    return attempt.sent_at + part * call.route.target_s
