"""Hints by which the VMs of a data centre share their load in flight.

VMs that each saw only their own requests would all send to the same engine that
looks idle. A hint costs one datagram per peer in the data centre, and a lost
hint is superseded by the next. Hints with suspects go to all VMs, since a
request that crashes engines may be repeated at any of them; so do hints with
engines that loaded new weights, which the VM that orders them sends.
"""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import peer_messages, relays
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.peer_loads import (NO_LOAD, PeerLoad, PeerLoadTable)
from plantainridge.gateway.peer_messages import Hint, OwnLoad, WeightsLoaded
from plantainridge.ids import EndpointId, VmId
from plantainridge.loop.effects import Effect, SendPeer
from plantainridge.loop.events import Event

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Minimum time between hints to other data centres while engines are loaded, in
# s: traffic between data centres is charged for.
MIN_REMOTE_INTERVAL_S: Final = 0.1
# The same per VM of the deployment, in s; the larger of both bounds applies.
MIN_REMOTE_INTERVAL_PER_VM_S: Final = 0.01
# Number of VMs of the deployment above which load is shared only within data
# centres: each then has its own engines, and few requests use remote ones.
MAX_REMOTE_SHARING_VMS: Final = 12
# Prompt tokens in flight on one engine from which it counts as loaded: their
# prefill takes a good part of a usual latency target.
LOADED_TOKENS: Final = 12_000
# Ratio of an engine's KV cache memory in flight from which it counts as loaded.
LOADED_MEMORY_RATIO: Final = 0.5
# Maximum time between two hints of a VM that has load to report, in s.
MAX_INTERVAL_S: Final = 0.3
# The same for a VM that has none, in s: hints also show that a VM is alive.
IDLE_INTERVAL_S: Final = 1.0
# Minimum time between two hints per VM of the data centre, in s, so that the
# traffic that one VM sends and receives does not grow with their number.
MIN_INTERVAL_PER_VM_S: Final = 0.04


@attrs.frozen
class HintReceived(Event):
    """A hint of a peer was received."""

    hint: Hint


@attrs.define
class ReceivedHint:
    """A peer's latest hint, with the loop time of its receipt in s."""

    hint: Hint
    at: float


@attrs.define
class HintTable:
    """Hints received from peers, and the state of the hints sent.

    Attributes:
        received: Latest hint of each peer.
        number: Sequence number of the last hint sent.
        sent_loads: Loads in the last hint sent.
        sent_at: Loop time of the last hint sent, in s.
        sent_remote_at: Loop time of the last hint sent to other data centres,
            in s.
        loads: Load that peers have in flight.
        suspects: Suspects to be sent with the next hint.
        weights_loaded: Engines with new weights, to be sent with the next hint.
    """

    received: dict[VmId, ReceivedHint] = attrs.field(factory=dict)
    number: int = 0
    sent_loads: dict[EndpointId, OwnLoad] = attrs.field(factory=dict)
    sent_at: float = -math.inf
    sent_remote_at: float = -math.inf
    loads: PeerLoadTable = attrs.field(factory=PeerLoadTable)
    suspects: list[tuple[str, EndpointId]] = attrs.field(factory=list)
    weights_loaded: list[WeightsLoaded] = attrs.field(factory=list)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Send a hint to peers if one is due."""
    hints = state.hints
    loads = {
        name: _load(view, now)
        for name, view in state.endpoints.items()
        if view.in_flight or view.cooldown_until > now
    }
    is_urgent = bool(hints.suspects or hints.weights_loaded)
    if not is_urgent and not _is_due(state, loads, now):
        return
    hints.number += 1
    hints.sent_loads, hints.sent_at = loads, now
    payload = peer_messages.encode(
        Hint(state.settings.vm, state.incarnation, hints.number, loads,
             tuple(hints.suspects), tuple(hints.weights_loaded),
             _cannot_read(state, now)))
    to_remote = is_urgent or _is_remote_due(state, loads, now)
    if to_remote:
        hints.sent_remote_at = now
    hints.suspects.clear()
    hints.weights_loaded.clear()
    for vm, entry in state.peers.items():
        is_local = entry.dc == state.settings.dc
        if vm != state.settings.vm and (is_local or to_remote):
            yield SendPeer(vm, entry.address, payload)


def _cannot_read(state: 'GatewayState', now: float) -> bool:
    """Return whether this VM is not eligible as a reader for its peers."""
    return state.stopping_since is not None or state.views.is_store_unreachable(
        now)


def _is_due(state: 'GatewayState', loads: dict[EndpointId, OwnLoad],
            now: float) -> bool:
    """Return whether a hint to peers in the data centre is due."""
    hints = state.hints
    elapsed_s = now - hints.sent_at
    min_interval_s = MIN_INTERVAL_PER_VM_S * relays.local_vm_count(state)
    if elapsed_s >= (max(MAX_INTERVAL_S, min_interval_s)
                     if loads else IDLE_INTERVAL_S):
        return True
    return loads != hints.sent_loads and elapsed_s >= min_interval_s


def _is_remote_due(state: 'GatewayState', loads: dict[EndpointId, OwnLoad],
                   now: float) -> bool:
    """Return whether a hint to other data centres is due."""
    elapsed_s = now - state.hints.sent_remote_at
    if elapsed_s < max(MIN_REMOTE_INTERVAL_S,
                       MIN_REMOTE_INTERVAL_PER_VM_S * len(state.peers)):
        return False
    if state.rollout.weight_updates:
        return True
    if not shares_load_remotely(state):
        return False
    peer_loads = state.hints.loads.fresh(now)
    return any(
        _is_loaded(state, name, load, peer_loads.get(name, NO_LOAD))
        for name, load in loads.items())


def shares_load_remotely(state: 'GatewayState') -> bool:
    """Return whether VMs send their load to other data centres."""
    return len(state.peers) <= MAX_REMOTE_SHARING_VMS


def _is_loaded(state: 'GatewayState', name: EndpointId, load: OwnLoad,
               peer_load: PeerLoad) -> bool:
    """Return whether an engine's load is to be known in all data centres."""
    if load.pending_tokens + peer_load.pending_tokens >= LOADED_TOKENS:
        return True
    service = state.config.services.get(state.endpoints[name].entry.service)
    if service is None or service.engine is None:
        return False
    memory_tokens = load.memory_tokens + peer_load.memory_tokens
    return memory_tokens >= LOADED_MEMORY_RATIO * service.engine.cache_tokens


def _load(view: EndpointView, now: float) -> OwnLoad:
    # Rounded up to steps of 0.2 s, so that elapsed time alone causes few hints.
    cooldown_s = math.ceil(max(0.0, view.cooldown_until - now) * 5) / 5
    return OwnLoad(view.pending_tokens, view.memory_tokens, len(view.in_flight),
                   cooldown_s)


def on_hint(state: 'GatewayState', event: HintReceived,
            now: float) -> Iterator[Effect]:
    """Apply a peer's hint; one that a newer hint overtook is ignored."""
    hint = event.hint
    previous = state.hints.received.get(hint.vm)
    if (previous is not None and
            previous.hint.incarnation == hint.incarnation and
            previous.hint.number >= hint.number):
        return
    state.hints.received[hint.vm] = ReceivedHint(hint, now)
    state.hints.loads.replace(hint.vm, hint.loads, now)
    for fingerprint, endpoint in hint.suspects:
        state.suspects.record_break(fingerprint, endpoint, now)
    for each in hint.weights_loaded:
        view = state.endpoints.get(each.endpoint)
        if view is not None:
            view.record_weights_loaded(each.model, each.version, now)
    if hint.weights_loaded:
        state.rollout.progress_at = now
    yield from ()
