"""Health of endpoints, by the failures and the latency that this VM sees."""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.events import Failure
from plantainridge.ids import EndpointId
from plantainridge.lifecycles import RequestPhase
from plantainridge.loop.effects import Effect
from plantainridge.loop.events import TimerFired
from plantainridge.rates import Rate

if TYPE_CHECKING:
    from plantainridge.state import VmState

# How long an endpoint that broke a connection gets no new work, in s; doubled
# by each further failure without a token between.
DOWN_S: Final = 2.0
DOWN_MAX_S: Final = 30.0
# How long an endpoint that did not take a request gets no new work, in s.
REJECTED_DOWN_S: Final = 0.25
# Weight of a new latency reading, and how fast readings lose their say.
READING_WEIGHT: Final = 0.2
FADE_S: Final = 20.0
# Expected times below this are not told apart, in s.
LEAST_EXPECTED_S: Final = 0.1
# Bounds of one reading of slowness.
FASTEST: Final = 0.5
SLOWEST: Final = 30.0
# An endpoint this many times as slow as the middle one gets no work.
SLOW_FACTOR: Final = 3.0
# A first token this many times as late as expected counts while it is awaited.
OVERDUE_FACTOR: Final = 3.0
OVERDUE_LEAST_S: Final = 0.5


@attrs.define
class EndpointHealth:
    """What this VM saw of one endpoint.

    Attributes:
        failures: Failures in a row, without a token between.
        log_slowness: Logarithm of the measured over the expected time to
            first token; fades to 0.
        read_at: Loop time of the last reading, in s.
        sent: Prompt tokens that this VM sends it to compute.
    """

    failures: int = 0
    log_slowness: float = 0.0
    read_at: float = 0.0
    sent: Rate = attrs.field(factory=Rate)

    def slowness(self, now: float) -> float:
        """Returns measured over expected time to first token."""
        fade = math.exp((self.read_at - now) / FADE_S)
        return math.exp(self.log_slowness * fade)

    def note(self, measured_s: float, expected_s: float, now: float) -> None:
        """Takes a time to first token in."""
        ratio = (max(measured_s, LEAST_EXPECTED_S) /
                 max(expected_s, LEAST_EXPECTED_S))
        reading = math.log(min(SLOWEST, max(FASTEST, ratio)))
        before = math.log(self.slowness(now))
        self.log_slowness = before + READING_WEIGHT * (reading - before)
        self.read_at = now


@attrs.define
class HealthState:
    """Health by endpoint; `slow` are those that get no work for now."""

    slow: frozenset[EndpointId] = frozenset()
    endpoints: dict[EndpointId, EndpointHealth] = attrs.field(factory=dict)

    def endpoint_health(self, endpoint: EndpointId) -> EndpointHealth:
        """Returns an endpoint's health; good if nothing was seen."""
        found = self.endpoints.get(endpoint)
        if found is None:
            found = EndpointHealth()
            self.endpoints[endpoint] = found
        return found


def record_failure(state: 'VmState', endpoint: EndpointId, failure: Failure,
                   now: float) -> None:
    """Takes a failed attempt in; an endpoint that broke gets a pause."""
    view = state.endpoints.get(endpoint)
    if view is None or failure is Failure.MISMATCHED:
        return
    if failure is Failure.REJECTED:
        view.cooldown_until = max(view.cooldown_until, now + REJECTED_DOWN_S)
        return
    if failure is Failure.TIMED_OUT:
        state.health.endpoint_health(endpoint).note(SLOWEST, LEAST_EXPECTED_S,
                                                    now)
        return
    if now < view.cooldown_until:
        return
    health = state.health.endpoint_health(endpoint)
    health.failures += 1
    pause_s = min(DOWN_MAX_S, DOWN_S * 2**(health.failures - 1))
    view.cooldown_until = now + pause_s


def record_first_token(state: 'VmState', endpoint: EndpointId,
                       measured_s: float, expected_s: float,
                       now: float) -> None:
    """Takes the first token of an attempt in."""
    health = state.health.endpoint_health(endpoint)
    health.failures = 0
    health.note(measured_s, expected_s, now)


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Counts overdue first tokens and finds the slow endpoints."""
    del event
    for attempt in state.calls.attempts.values():
        call = state.calls.calls.get(attempt.request)
        if call is None or call.phase is not RequestPhase.DISPATCHED:
            continue
        age_s = now - attempt.started_at
        expected_s = max(OVERDUE_LEAST_S, attempt.expected_s)
        if attempt.expected_s and age_s > OVERDUE_FACTOR * expected_s:
            state.health.endpoint_health(attempt.endpoint).note(
                age_s, attempt.expected_s, now)
    state.health.slow = _slow(state.health, now)
    yield from ()


def _slow(health: HealthState, now: float) -> frozenset[EndpointId]:
    """Returns the endpoints much slower than the middle one.

    Slowness fades, so that each is tried again after a while.
    """
    slowness = {
        endpoint: each.slowness(now)
        for endpoint, each in health.endpoints.items()
    }
    if len(slowness) < 2:
        return frozenset()
    middle = sorted(slowness.values())[(len(slowness) - 1) // 2]
    limit = SLOW_FACTOR * max(1.0, middle)
    return frozenset(
        endpoint for endpoint, each in slowness.items() if each > limit)
