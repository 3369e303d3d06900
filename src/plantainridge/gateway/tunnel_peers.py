"""Peers through which requests reach endpoints that this VM does not.

Made for several VMs of a data centre that lose their links at the same time,
each at a few requests a second: each of them ranks the peers by a hash of its
own, so that they do not all use the same one nor fill a link of low bandwidth,
and keeps to its choice, so that tunnels are reused. Peers that open no tunnel
are not asked for some time: they may have lost the same links.
"""

from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import peer_ranks, relays
from plantainridge.gateway.events import Failure, VmEntry
from plantainridge.gateway.requests import Call
from plantainridge.ids import VmId

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time for which a peer that opened no tunnel is not asked, in s; doubles with
# each further failure up to the maximum.
COOLDOWN_S: Final = 1.0
MAX_COOLDOWN_S: Final = 4.0
# Peers that one request may fail at.
MAX_FAILED_PEERS: Final = 4
# Failures after which a request goes through another peer.
PEER_FAILURES: Final = frozenset(
    {Failure.RELAY_FAILED, Failure.BROKEN, Failure.SILENT, Failure.TIMED_OUT})
# Subject of the hash by which a VM ranks its peers.
SUBJECT: Final = 'tunnel'


@attrs.define
class PeerCooldown:
    """A peer that opened no tunnel.

    Attributes:
        failures: Consecutive failures.
        until: Loop time until which it is not asked, in s.
    """

    failures: int = 0
    until: float = 0.0


@attrs.define
class TunnelPeerTable:
    """Peers that opened no tunnel lately."""

    cooldowns: dict[VmId, PeerCooldown] = attrs.field(factory=dict)

    def record_failure(self, vm: VmId, now: float) -> None:
        """Start a peer's cool-down."""
        each = self.cooldowns.setdefault(vm, PeerCooldown())
        each.until = now + min(MAX_COOLDOWN_S, COOLDOWN_S * 2.0**each.failures)
        each.failures = min(each.failures + 1, 8)

    def in_cooldown(self, now: float) -> set[VmId]:
        """Return the peers that are not asked now."""
        return {vm for vm, each in self.cooldowns.items() if now < each.until}


def rank(own: VmEntry, entries: Iterable[VmEntry],
         excluded: Collection[VmId]) -> list[VmEntry]:
    """Return the peers that may open a tunnel, the preferred one first.

    Those of the own data centre come first. Among them a VM is preferred in
    proportion to the rate of its link, which tunnels cross twice.
    """
    eligible = [
        each for each in entries
        if each.vm != own.vm and each.vm not in excluded
    ]
    return sorted(eligible,
                  key=lambda each:
                  (each.dc != own.dc,
                   peer_ranks.weighted_rank(each.vm, f'{SUBJECT}/{own.vm}', each
                                            .link_mbps)))


def exist(state: 'GatewayState') -> bool:
    """Return whether there are peers that can open tunnels."""
    return bool(state.settings.tunnel_port) and any(
        vm != state.settings.vm for vm in state.peers)


def choose(state: 'GatewayState', call: Call, now: float) -> VmEntry | None:
    """Return the peer through which a request is sent, or None.

    Peers of this data centre must have sent a hint lately; others send few.
    """
    if (not state.settings.tunnel_port or
            len(call.failed_peers) >= MAX_FAILED_PEERS):
        return None
    settings = state.settings
    live = {each.vm for each in relays.live_peers(state, now)}
    reachable = (each for each in state.peers.values()
                 if each.dc != settings.dc or each.vm in live)
    excluded = call.failed_peers | state.tunnel_peers.in_cooldown(now)
    own = VmEntry(settings.vm, settings.dc, '')
    return next(iter(rank(own, reachable, excluded)), None)


def tunnel_address(state: 'GatewayState', peer: VmEntry) -> str:
    """Return the IP number and port at which a peer opens tunnels."""
    return f'{host_of(peer)}:{state.settings.tunnel_port}'


def host_of(entry: VmEntry) -> str:
    """Return a VM's IP number."""
    return entry.address.rpartition(':')[0]


def record_failure(state: 'GatewayState', call: Call, peer: VmId,
                   failure: Failure, now: float) -> None:
    """Record a send through a peer that failed."""
    if failure in PEER_FAILURES:
        call.failed_peers.add(peer)
    if failure is Failure.RELAY_FAILED:
        state.tunnel_peers.record_failure(peer, now)
    else:
        state.tunnel_peers.cooldowns.pop(peer, None)
