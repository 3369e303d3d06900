"""Health of endpoints, from failures and latencies that this VM observes."""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.events import Failure
from plantainridge.ids import EndpointId
from plantainridge.lifecycles import RequestPhase
from plantainridge.loop.effects import Effect
from plantainridge.loop.events import TimerFired
from plantainridge.loop.monitor import MAX_TIMER_DELAY_S
from plantainridge.rates import Rate

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Cool-down of an endpoint that broke a connection, in s; doubled by each
# further failure until the endpoint sends a first token.
COOLDOWN_S: Final = 2.0
MAX_COOLDOWN_S: Final = 30.0
# Cool-down of an endpoint that rejected a request, in s.
REJECTED_COOLDOWN_S: Final = 0.25
# Weight of a new latency sample, and time constant of its decay.
SAMPLE_WEIGHT: Final = 0.2
SLOWNESS_DECAY_TIME_S: Final = 20.0
# Lower bound of the expected and the measured time to first token, in s; keeps
# their ratio stable for very short requests.
MIN_EXPECTED_S: Final = 0.1
# Bounds of one slowness sample.
MIN_SLOWNESS: Final = 0.5
MAX_SLOWNESS: Final = 30.0
# An endpoint this many times as slow as the median one gets no work.
SLOW_FACTOR: Final = 3.0
# A first token still missing after this multiple of its expected time, or of a
# lower bound of that time in s, counts as a sample.
OVERDUE_FACTOR: Final = 3.0
MIN_OVERDUE_EXPECTED_S: Final = 0.5


@attrs.define
class EndpointHealth:
    """Observations of one endpoint by this VM.

    Attributes:
        failures: Consecutive failures without a first token in between.
        log_slowness: Natural logarithm of the ratio of measured to expected
            time to first token, as of `sampled_at`; decays to 0.
        sampled_at: Loop time of the last sample, in s.
        sent: Rate of the prompt tokens that this VM sends to be computed.
    """

    failures: int = 0
    log_slowness: float = 0.0
    sampled_at: float = 0.0
    sent: Rate = attrs.field(factory=Rate)

    def slowness(self, now: float) -> float:
        """Return the ratio of measured to expected time to first token."""
        decay = math.exp((self.sampled_at - now) / SLOWNESS_DECAY_TIME_S)
        return math.exp(self.log_slowness * decay)

    def record(self, measured_s: float, expected_s: float, now: float) -> None:
        """Add a sample of the time to first token, in s."""
        ratio = (max(measured_s, MIN_EXPECTED_S) /
                 max(expected_s, MIN_EXPECTED_S))
        sample = math.log(min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio)))
        previous = math.log(self.slowness(now))
        self.log_slowness = previous + SAMPLE_WEIGHT * (sample - previous)
        self.sampled_at = now


@attrs.define
class HealthState:
    """Health by endpoint.

    Attributes:
        slow: Endpoints that currently get no work because they are slow.
        endpoints: Observations by endpoint.
        tick_due_at: Loop time at which the next tick is due, in s.
        held_up_at: Loop time at which this VM's process was last known to be
            held up, in s.
    """

    slow: frozenset[EndpointId] = frozenset()
    endpoints: dict[EndpointId, EndpointHealth] = attrs.field(factory=dict)
    tick_due_at: float = math.inf
    held_up_at: float = -math.inf

    def record_delay(self, now: float) -> None:
        """Record that the process was held up if the next tick is overdue."""
        if now > self.tick_due_at + MAX_TIMER_DELAY_S:
            self.held_up_at = now

    def endpoint_health(self, endpoint: EndpointId) -> EndpointHealth:
        """Return the health of an endpoint, healthy by default."""
        found = self.endpoints.get(endpoint)
        if found is None:
            found = EndpointHealth()
            self.endpoints[endpoint] = found
        return found


def record_failure(state: 'VmState', endpoint: EndpointId, failure: Failure,
                   now: float) -> None:
    """Record a failed attempt and start the endpoint's cool-down if needed.

    A timeout counts as a slow first token instead.
    """
    view = state.endpoints.get(endpoint)
    if view is None or failure is Failure.MISMATCHED:
        return
    if failure is Failure.REJECTED:
        view.cooldown_until = max(view.cooldown_until,
                                  now + REJECTED_COOLDOWN_S)
        return
    if failure is Failure.TIMED_OUT:
        state.health.endpoint_health(endpoint).record(MAX_SLOWNESS,
                                                      MIN_EXPECTED_S, now)
        return
    if now < view.cooldown_until:
        return
    health = state.health.endpoint_health(endpoint)
    health.failures += 1
    cooldown_s = min(MAX_COOLDOWN_S, COOLDOWN_S * 2**(health.failures - 1))
    view.cooldown_until = now + cooldown_s


def record_first_token(state: 'VmState', endpoint: EndpointId,
                       measured_s: float, expected_s: float,
                       now: float) -> None:
    """Record the first token of an attempt.

    The time counts only if this VM's process ran throughout.
    """
    health = state.health.endpoint_health(endpoint)
    health.failures = 0
    state.health.record_delay(now)
    if state.health.held_up_at <= now - measured_s:
        health.record(measured_s, expected_s, now)


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Sample overdue first tokens and update the set of slow endpoints."""
    del event
    state.health.record_delay(now)
    state.health.tick_due_at = now + state.tick_s
    for attempt in state.calls.attempts.values():
        call = state.calls.calls.get(attempt.request)
        if call is None or call.phase is not RequestPhase.DISPATCHED:
            continue
        if attempt.started_at < state.health.held_up_at:
            continue
        age_s = now - attempt.started_at
        expected_s = max(MIN_OVERDUE_EXPECTED_S, attempt.expected_s)
        if attempt.expected_s and age_s > OVERDUE_FACTOR * expected_s:
            state.health.endpoint_health(attempt.endpoint).record(
                age_s, attempt.expected_s, now)
    state.health.slow = _find_slow(state.health, now)
    yield from ()


def _find_slow(health: HealthState, now: float) -> frozenset[EndpointId]:
    """Return the endpoints much slower than the median.

    Slowness decays with time, so that each endpoint is used again.
    """
    slowness = {
        endpoint: each.slowness(now)
        for endpoint, each in health.endpoints.items()
    }
    if len(slowness) < 2:
        return frozenset()
    median = sorted(slowness.values())[(len(slowness) - 1) // 2]
    limit = SLOW_FACTOR * max(1.0, median)
    return frozenset(
        endpoint for endpoint, each in slowness.items() if each > limit)
