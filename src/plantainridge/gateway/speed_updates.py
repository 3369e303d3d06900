"""Handlers that connect `endpoint_speed` to the reducer.

Nothing here has an effect for services whose endpoints report no slowdown,
unless the settings enable learning.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from plantainridge.gateway import endpoint_speed
from plantainridge.gateway.endpoint_speed import (Estimate, Prediction,
                                                  SpeedDigest)
from plantainridge.gateway.endpoints import EndpointLoad, EndpointView
from plantainridge.gateway.requests import Attempt, Call
from plantainridge.ids import EndpointId, ServiceId
from plantainridge.loop.effects import Effect, LogLine, Observe

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState


def is_learned(state: 'GatewayState', service: ServiceId) -> bool:
    """Return whether the speed of a service's endpoints is learned."""
    return state.settings.learns_speeds or service in state.speeds.services


def record_report(state: 'GatewayState', view: EndpointView,
                  load: EndpointLoad) -> None:
    """Enable learning for a service whose endpoints report a slowdown."""
    if load.slowdown is not None:
        state.speeds.services.add(view.entry.service)


def reported_slowdown(view: EndpointView, now: float) -> float | None:
    """Return the slowdown in a report that is new enough, or None."""
    load = view.load
    if (load is None or
            now - load.reported_at >= endpoint_speed.MAX_REPORT_AGE_S):
        return None
    return load.slowdown


def predict(state: 'GatewayState', view: EndpointView, work_s: float,
            fetch_s: float, requests: int, now: float) -> Prediction | None:
    """Return the prediction for a send; None if speeds are not learned.

    Args:
        state: The VM's state.
        view: The endpoint.
        work_s: Time that the constants give for its work, in s.
        fetch_s: Time to fetch stored parts of the prompt, in s.
        requests: Requests on it, without this one.
        now: Loop time in s.
    """
    if not is_learned(state, view.entry.service):
        return None
    fill_ratio = (requests + 1) / max(1, view.entry.slots)
    reported = reported_slowdown(view, now)
    slowdown = endpoint_speed.slowdown_for(state.speeds.estimate(view.entry.id),
                                           fill_ratio, work_s, reported)
    return Prediction(work_s, fetch_s, fill_ratio, reported, slowdown)


def record_first_event(state: 'GatewayState', attempt: Attempt,
                       now: float) -> None:
    """Observe the time from a send to its first event."""
    _observe(state, attempt, now)


def record_plain_answer(state: 'GatewayState', call: Call, attempt: Attempt,
                        now: float) -> None:
    """Observe the time from a send to a plain service's answer."""
    if call.request.model or attempt.prediction is None:
        return
    _observe(state, attempt, now)
    state.speeds.observe_typical(call.service, call.route.name,
                                 now - attempt.sent_at)


def _observe(state: 'GatewayState', attempt: Attempt, now: float) -> None:
    view = state.endpoints.get(attempt.endpoint)
    if view is None or attempt.prediction is None or attempt.peer is not None:
        # The time through a tunnel includes the peer's.
        return
    state.speeds.observe(attempt.endpoint, view.entry.started_ms,
                         attempt.prediction, attempt.sent_at, now)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Record the loop's lag; refresh the estimates if that is due."""
    speeds = state.speeds
    speeds.lag.record_tick(now)
    if now - speeds.refreshed_at < endpoint_speed.REFRESH_INTERVAL_S:
        return
    services = _learned_endpoints(state)
    if not services:
        return
    speeds.refresh(services, now)
    for name, each in speeds.changes_to_log(now):
        yield _log_line(name, each, now)
        yield Observe('endpoint_slowdown', '',
                      state.endpoints[name].entry.service, each.slowdown)


def _log_line(name: EndpointId, estimate: Estimate, now: float) -> LogLine:
    return LogLine(
        'endpoint_speed_changed',
        (('endpoint', name), ('slowdown', round(estimate.slowdown, 3)),
         ('by_range', ','.join(f'{each:.2f}' for each in estimate.by_range)),
         ('common', round(estimate.common, 3)),
         ('weight', round(estimate.weight, 2)),
         ('age_s',
          round(max(0.0, now -
                    estimate.observed_at), 3) if estimate.weight else -1.0)))


def _learned_endpoints(
        state: 'GatewayState') -> dict[ServiceId, dict[EndpointId, int]]:
    """Return the endpoints whose speed is learned, by service."""
    services: dict[ServiceId, dict[EndpointId, int]] = {}
    if not state.settings.learns_speeds and not state.speeds.services:
        return services
    for name, view in state.endpoints.items():
        if is_learned(state, view.entry.service):
            services.setdefault(view.entry.service,
                                {})[name] = view.entry.started_ms
    return services


def digests(state: 'GatewayState', kind: str, sources: tuple[str, ...],
            now: float) -> tuple[SpeedDigest, ...]:
    """Return the digests that are due in one kind of message."""
    endpoints = {
        name: started_ms for each in _learned_endpoints(state).values()
        for name, started_ms in each.items()
    }
    return state.speeds.digests(kind, endpoints, sources, now)
