"""Admission of tunnels that peers request to endpoints.

Made for peers that lost their links to endpoints which this VM still reaches:
with several VMs cut off, each of the others opens some hundred tunnels. A
tunnel leads over this VM's own direct path only, so that no request takes more
than one hop.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import paths, tunnel_peers
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import TunnelEnded, TunnelRequested, VmEntry
from plantainridge.ids import EndpointId, TunnelId
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Open tunnels: each takes two descriptors, and up to 0.35 MB while its reader
# stalls, of the 150 MB that a small VM has.
MAX_TUNNELS: Final = 256
STATUS_FORBIDDEN: Final = 403
STATUS_UNAVAILABLE: Final = 503


@attrs.frozen
class TunnelRefusal:
    """Status and reason with which a tunnel is refused."""

    status: int
    reason: str


@attrs.define
class TunnelTable:
    """Tunnels of peers that are being opened or are open.

    Attributes:
        endpoints: Endpoint of each tunnel.
    """

    endpoints: dict[TunnelId, EndpointId] = attrs.field(factory=dict)


def decide(origin: VmEntry | None, view: EndpointView | None, open_tunnels: int,
           is_stopping: bool, is_path_lost: bool, is_evacuated: bool,
           now: float) -> TunnelRefusal | None:
    """Return why a tunnel is refused, or None if it is opened.

    Args:
        origin: The VM that asks, or None if it is not registered.
        view: The endpoint, or None if it is not registered.
        open_tunnels: Number of open tunnels.
        is_stopping: Whether this VM is stopping.
        is_path_lost: Whether its own path to the service is suspected lost.
        is_evacuated: Whether the endpoint's data centre is evacuated.
        now: Loop time in s.
    """
    if origin is None:
        return TunnelRefusal(STATUS_FORBIDDEN, 'the VM is not registered')
    if view is None:
        return TunnelRefusal(STATUS_FORBIDDEN, 'the endpoint is not registered')
    reasons = {
        'the VM is stopping': is_stopping,
        'the path is lost': is_path_lost,
        'too many tunnels': open_tunnels >= MAX_TUNNELS,
        'the data centre is evacuated': is_evacuated,
        'the endpoint is leaving': view.is_leaving,
        'the endpoint asked for a pause': now < view.paused_until,
    }
    for reason, applies in reasons.items():
        if applies:
            return TunnelRefusal(STATUS_UNAVAILABLE, reason)
    return None


def on_requested(state: 'GatewayState', event: TunnelRequested,
                 now: float) -> Iterator[Effect]:
    """Open a tunnel that a peer requests, or refuse it."""
    table = state.tunnels
    origin = next((each for each in state.peers.values()
                   if tunnel_peers.host_of(each) == event.origin), None)
    view = next((each for each in state.endpoints.values()
                 if each.entry.address == event.address), None)
    refusal = decide(
        origin, view, len(table.endpoints), state.stopping_since is not None,
        view is not None and state.paths.is_lost(view.entry.service),
        view is not None and state.evacuations.is_evacuated(view.entry.dc), now)
    if refusal is not None or view is None:
        assert refusal is not None
        yield LogLine('tunnel_refused',
                      (('origin', event.origin), ('address', event.address),
                       ('status', refusal.status), ('reason', refusal.reason)))
        yield fx.RefuseTunnel(event.tunnel, refusal.status, refusal.reason)
        return
    table.endpoints[event.tunnel] = view.entry.id
    yield LogLine('tunnel_opened',
                  (('tunnel', event.tunnel),
                   ('vm', origin.vm if origin else ''),
                   ('endpoint', view.entry.id), ('open', len(table.endpoints))))
    yield fx.OpenTunnel(event.tunnel, event.address)


def on_ended(state: 'GatewayState', event: TunnelEnded,
             now: float) -> Iterator[Effect]:
    """Remove a tunnel; one that was not connected shows this VM's own path."""
    endpoint = state.tunnels.endpoints.pop(event.tunnel, None)
    if endpoint is None:
        return
    yield LogLine('tunnel_ended',
                  (('tunnel', event.tunnel), ('endpoint', endpoint),
                   ('reason', event.reason)))
    if not event.is_reached:
        yield from paths.on_unreached(state, endpoint, now)
