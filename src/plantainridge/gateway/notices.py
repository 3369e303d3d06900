"""Endpoints whose answers state that they leave, or ask for a pause.

A leaving endpoint gets nothing new, whatever its registry entry states, until
it has restarted. One that asks for a pause is healthy; it gets nothing from
this VM until then, and then one request first: many VMs that returned at once
would saturate it again.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import EndpointNotified
from plantainridge.ids import EndpointId
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Longest pause that is honoured, in s.
MAX_PAUSE_S: Final = 3_600.0
# VMs return at random within this share of a pause after it, but at most within
# this time in s.
PAUSE_SPREAD_RATIO: Final = 0.25
MAX_PAUSE_SPREAD_S: Final = 1.0
# Leaving endpoints that are remembered; the oldest are forgotten first.
MAX_LEAVING: Final = 4_096


@attrs.define
class LeavingTable:
    """Endpoints that were leaving, with the start of the run that left.

    An entry that the registry shows again later does not bring such a run back.

    Attributes:
        started_ms: Unix time of that start, in ms, by endpoint.
        observed: Those that stated it to this VM itself.
        is_unsent: Whether the latest of them is still to be sent to peers.
    """

    started_ms: OrderedDict[EndpointId, int] = attrs.field(factory=OrderedDict)
    observed: set[EndpointId] = attrs.field(factory=set)
    is_unsent: bool = False

    def record(self, endpoint: EndpointId, started_ms: int) -> None:
        """Record that a run of an endpoint is leaving."""
        self.started_ms[endpoint] = started_ms
        self.started_ms.move_to_end(endpoint)
        while len(self.started_ms) > MAX_LEAVING:
            name, _ = self.started_ms.popitem(last=False)
            self.observed.discard(name)

    def has_left(self, endpoint: EndpointId, started_ms: int) -> bool:
        """Return whether this run of an endpoint is known to be leaving."""
        return self.started_ms.get(endpoint) == started_ms


def on_notified(state: 'GatewayState', event: EndpointNotified,
                now: float) -> Iterator[Effect]:
    """Apply what the head of an answer states of its endpoint."""
    view, head = state.endpoints.get(event.endpoint), event.head
    if view is None:
        return
    if head.leaving and not view.leaving:
        view.leaving = True
        state.leaving.record(event.endpoint, view.entry.started_ms)
        state.leaving.observed.add(event.endpoint)
        state.leaving.is_unsent = True
        yield LogLine('endpoint_leaving',
                      (('endpoint', event.endpoint), ('source', 'answer')))
    if head.invalid_pause:
        yield LogLine('pause_unreadable', (('endpoint', event.endpoint),
                                           ('stated', head.invalid_pause)))
    if head.pause_s is not None:
        pause_s = min(head.pause_s, MAX_PAUSE_S)
        _start_pause(view, pause_s, state.rng.random(), now)
        yield LogLine('endpoint_pauses',
                      (('endpoint', event.endpoint), ('stated_s', head.pause_s),
                       ('until_s', round(view.paused_until - now, 3))))


def _start_pause(view: EndpointView, pause_s: float, fraction: float,
                 now: float) -> None:
    """Pause an endpoint; VMs return spread out by their random fractions."""
    spread_s = min(MAX_PAUSE_SPREAD_S, PAUSE_SPREAD_RATIO * pause_s)
    view.paused_until = max(view.paused_until,
                            now + pause_s + fraction * spread_s)
    view.probing = True


def on_peer_leaving(state: 'GatewayState', endpoint: EndpointId,
                    started_ms: int) -> Iterator[Effect]:
    """Apply that an endpoint stated to a peer that it is leaving."""
    view = state.endpoints.get(endpoint)
    if view is None or view.entry.started_ms != started_ms or view.leaving:
        return
    view.leaving = True
    state.leaving.record(endpoint, started_ms)
    yield LogLine('endpoint_leaving',
                  (('endpoint', endpoint), ('source', 'peer')))
