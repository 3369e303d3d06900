"""Direct paths from this VM to the endpoints of each service.

Made for a VM that loses its links to all endpoints while its callers and peers
still reach it, at a few requests a second. One endpoint that cannot be
connected to has failed; if several cannot, the path that they share may be
lost. The VM then probes other endpoints at once, and sends requests through
peers until a connection is established (see `tunnel_peers`). A wrong suspicion
lasts as long as one connection takes.

Only new connections count: open ones may continue while new ones are refused.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import tunnel_peers
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import Failure, PathProbed
from plantainridge.gateway.requests import Attempt, Call
from plantainridge.ids import EndpointId, ServiceId
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Endpoints that must have failed for a path to be suspected lost, and the time
# within which, in s.
MIN_FAILED: Final = 2
FAILURE_WINDOW_S: Final = 2.0
# Endpoints that are probed at once when a path is suspected.
FIRST_PROBES: Final = 3
# Time between two later probes, in s.
PROBE_INTERVAL_S: Final = 0.5
# Bounds of the time after which a lost path is expected to return, in s.
MIN_OUTAGE_S: Final = 2.0
MAX_OUTAGE_S: Final = 4.0
# Failures that show that an endpoint was not reached.
UNREACHED: Final = frozenset(
    {Failure.NOT_CONNECTED, Failure.SILENT, Failure.TIMED_OUT})


@attrs.define
class ServicePath:
    """The direct path to the endpoints of one service.

    Attributes:
        failed: Endpoints that were not reached since the last new connection to
            any, with the loop time of the failure in s.
        lost_since: Loop time since which the path is suspected lost, in s, or
            None.
        probe_at: Loop time of the next probe, in s.
        unprobed: Endpoints that are still to be probed before any is probed
            again, in order.
        set_aside: Cool-downs of endpoints that were not reached, which do not
            count while the path is suspected lost: loop time of their ends, in
            s.
    """

    failed: dict[EndpointId, float] = attrs.field(factory=dict)
    lost_since: float | None = None
    probe_at: float = math.inf
    unprobed: list[EndpointId] = attrs.field(factory=list)
    set_aside: dict[EndpointId, float] = attrs.field(factory=dict)

    def record_failure(self, endpoint: EndpointId,
                       staying: Collection[EndpointId], now: float) -> bool:
        """Record an endpoint that was not reached.

        Args:
            endpoint: The endpoint.
            staying: Endpoints of the service that are not leaving.
            now: Loop time in s.

        Returns:
            Whether the path is suspected lost from now on.
        """
        self.failed[endpoint] = now
        for name, failed_at in list(self.failed.items()):
            if now - failed_at > FAILURE_WINDOW_S:
                del self.failed[name]
        count = len(self.failed.keys() & set(staying))
        if self.lost_since is not None or not 0 < min(MIN_FAILED,
                                                      len(staying)) <= count:
            return False
        self.lost_since = now
        self.unprobed.clear()
        return True

    def record_connected(self) -> None:
        """Record that a new connection was established."""
        self.failed.clear()
        self.lost_since, self.probe_at = None, math.inf

    def next_probe(self, staying: Mapping[EndpointId, EndpointView],
                   now: float) -> EndpointId:
        """Return the endpoint to probe next, and schedule the probe after it.

        Those that have not failed lately come first, and of these the one from
        which data arrived last: a path may be lost to some data centres only.

        Args:
            staying: Endpoints of the service that are not leaving, at least
                one.
            now: Loop time in s.
        """
        self.unprobed = [name for name in self.unprobed if name in staying]
        if not self.unprobed:
            self.unprobed = sorted(
                staying,
                key=lambda name:
                (name in self.failed, -staying[name].last_received_at, name))
        self.probe_at = now + PROBE_INTERVAL_S
        return self.unprobed.pop(0)


@attrs.define
class PathTable:
    """Paths by service; one is missing until an endpoint is not reached."""

    services: dict[ServiceId, ServicePath] = attrs.field(factory=dict)

    def is_lost(self, service: ServiceId) -> bool:
        """Return whether the path to a service is suspected lost."""
        path = self.services.get(service)
        return path is not None and path.lost_since is not None

    def expected_at(self, service: ServiceId, since: float) -> float:
        """Return when a lost path is expected to return, in s.

        An outage is expected to last as long again as it has lasted.

        Args:
            service: The service.
            since: Loop time at which this is asked, in s.
        """
        path = self.services.get(service, ServicePath())
        lost_since = since if path.lost_since is None else path.lost_since
        elapsed_s = since - lost_since
        return since + min(MAX_OUTAGE_S, max(MIN_OUTAGE_S, elapsed_s))


def on_send_failed(state: 'GatewayState', call: Call, attempt: Attempt,
                   failure: Failure, now: float) -> Iterator[Effect]:
    """Record what a failed send shows of the path that it took."""
    if attempt.peer is not None:
        tunnel_peers.record_failure(state, call, attempt.peer, failure, now)
    elif failure in UNREACHED:
        yield from on_unreached(state, attempt.endpoint, now)


def on_unreached(state: 'GatewayState', endpoint: EndpointId,
                 now: float) -> Iterator[Effect]:
    """Record that an endpoint was not reached, and suspect the path to it."""
    view = state.endpoints.get(endpoint)
    if view is None or not tunnel_peers.exist(state):
        return
    service = view.entry.service
    path = state.paths.services.setdefault(service, ServicePath())
    staying = _staying(state, service)
    if not path.record_failure(endpoint, staying, now):
        return
    path.set_aside.clear()
    for name, each in staying.items():
        if each.unreached_until > now:
            path.set_aside[name] = each.unreached_until
            each.unreached_until = now
    yield LogLine('path_suspected', (('service', service),
                                     ('failed', ' '.join(sorted(path.failed))),
                                     ('endpoints', len(staying))))
    for _ in range(min(FIRST_PROBES, len(staying))):
        yield from _probe(state, path, staying, now)
    yield from _probe_others(state, service)


def _probe_others(state: 'GatewayState',
                  suspected: ServiceId) -> Iterator[Effect]:
    """Probe other services, which may have lost the same links."""
    probed: Counter[ServiceId] = Counter()
    for name, view in state.endpoints.items():
        service = view.entry.service
        if (service != suspected and _is_staying(state, view) and
                not state.paths.is_lost(service) and
                probed[service] < MIN_FAILED):
            probed[service] += 1
            yield fx.ProbePath(name, view.entry.address)


def on_connected(state: 'GatewayState', attempt: Attempt,
                 now: float) -> Iterator[Effect]:
    """Record an answer; it shows a path if its connection was a new one.

    The connection may be older than a failure that came after the send.
    """
    view = state.endpoints.get(attempt.endpoint)
    if attempt.peer is not None:
        state.tunnel_peers.cooldowns.pop(attempt.peer, None)
        return
    if view is None or not attempt.new_connection:
        return
    path = state.paths.services.get(view.entry.service)
    if path is not None and all(
            attempt.sent_at > failed_at for failed_at in path.failed.values()):
        yield from _end(state, path, view, now)


def on_probed(state: 'GatewayState', event: PathProbed,
              now: float) -> Iterator[Effect]:
    """End the suspicion once a probe has established a connection."""
    view = state.endpoints.get(event.endpoint)
    if view is None:
        return
    if not event.reached:
        yield from on_unreached(state, event.endpoint, now)
        return
    path = state.paths.services.get(view.entry.service)
    if path is not None:
        yield from _end(state, path, view, now)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Probe lost paths, and forget those of services without endpoints."""
    for service, path in list(state.paths.services.items()):
        staying = _staying(state, service)
        if not staying:
            del state.paths.services[service]
        elif now >= path.probe_at:
            yield from _probe(state, path, staying, now)


def _probe(state: 'GatewayState', path: ServicePath,
           staying: dict[EndpointId,
                         EndpointView], now: float) -> Iterator[Effect]:
    name = path.next_probe(staying, now)
    yield fx.ProbePath(name, state.endpoints[name].entry.address)


def _end(state: 'GatewayState', path: ServicePath, reached: EndpointView,
         now: float) -> Iterator[Effect]:
    """Record a new connection; a suspected path is direct again.

    What failed of other endpoints was not due to the path, so that their
    cool-downs count again.
    """
    lost_since = path.lost_since
    path.record_connected()
    if lost_since is None:
        return
    reached.unreached_until = now
    for name, until in path.set_aside.items():
        view = state.endpoints.get(name)
        if view is not None and view is not reached:
            view.unreached_until = max(view.unreached_until, until)
    path.set_aside.clear()
    yield LogLine('path_restored', (('service', reached.entry.service),
                                    ('endpoint', reached.entry.id),
                                    ('lost_s', round(now - lost_since, 3))))


def _staying(state: 'GatewayState',
             service: ServiceId) -> dict[EndpointId, EndpointView]:
    return {
        name: view
        for name, view in state.endpoints.items()
        if view.entry.service == service and _is_staying(state, view)
    }


def _is_staying(state: 'GatewayState', view: EndpointView) -> bool:
    """Return whether a path to an endpoint is of use.

    A path to an evacuated data centre does not show that others are reached.
    """
    return (not view.is_leaving and
            not state.evacuations.is_evacuated(view.entry.dc))
