"""VMs of one data centre tell one another what they have in flight.

Several VMs that each see only their own requests would all send to the engine
that looks idle. A hint costs one datagram within the data centre; a lost one
is replaced by the next. Suspects go to all VMs, since a request that crashes
engines comes again at any of them, and so does the word of the VM that orders
engines to take up new weights.
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

# Time between hints to other data centres while engines are loaded, in s:
# bytes between them are paid for.
FAR_EVERY_S: Final = 0.1
# The same for each VM of the system, in s.
FAR_SPACING_S: Final = 0.01
# VMs of the system beyond which load is told within data centres only: each
# has its own engines, and far ones are used by few.
MAX_FAR_VMS: Final = 12
# Prompt tokens in flight on one engine that make it loaded: reading them takes
# a good part of a usual target.
LOADED_TOKENS: Final = 12_000
# Part of an engine's memory in flight that makes it loaded as well.
LOADED_MEMORY_PART: Final = 0.5
# Longest time between two hints of a VM that has requests in flight, in s.
REPEAT_S: Final = 0.3
# The same of one that has none, in s: peers must know that it lives.
IDLE_S: Final = 1.0
# Least time between two hints, in s for each VM of the data centre: what one
# VM sends and hears in all does not grow with their number.
SPACING_S: Final = 0.04


@attrs.frozen
class HintReceived(Event):
    """A peer's hint arrived."""

    hint: Hint


@attrs.define
class ReceivedHint:
    """A peer's latest hint, and the loop time at which it came, in s."""

    hint: Hint
    at: float


@attrs.define
class HintTable:
    """Hints of peers, and what was told to them.

    Attributes:
        number: Hints sent so far.
        sent_loads: Loads in the last hint.
        sent_at: Loop time of the last hint, in s.
        sent_remote_at: Loop time of the last hint to other data centres, in s.
        loads: What peers have in flight.
        suspects: Suspects that are to be told.
        weights_loaded: Engines with new weights that are to be told.
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
    """Tells peers of the data centre what changed."""
    hints = state.hints
    loads = {
        name: _load(view, now)
        for name, view in state.endpoints.items()
        if view.in_flight or view.cooldown_until > now
    }
    news = bool(hints.suspects or hints.weights_loaded)
    if not news and not _is_due(state, loads, now):
        return
    hints.number += 1
    hints.sent_loads, hints.sent_at = loads, now
    payload = peer_messages.encode(
        Hint(state.settings.vm, state.incarnation, hints.number, loads,
             tuple(hints.suspects), tuple(hints.weights_loaded),
             _is_no_reader(state, now)))
    everywhere = news or _is_far_due(state, loads, now)
    if everywhere:
        hints.sent_remote_at = now
    hints.suspects.clear()
    hints.weights_loaded.clear()
    for vm, entry in state.peers.items():
        near = entry.dc == state.settings.dc
        if vm != state.settings.vm and (near or everywhere):
            yield SendPeer(vm, entry.address, payload)


def _is_no_reader(state: 'GatewayState', now: float) -> bool:
    """Whether peers are to read what this VM would read for them."""
    return state.stopping_since is not None or state.views.is_store_unreachable(
        now)


def _is_due(state: 'GatewayState', loads: dict[EndpointId, OwnLoad],
            now: float) -> bool:
    """Whether the data centre is to hear of this VM's load now."""
    hints = state.hints
    passed = now - hints.sent_at
    spacing_s = SPACING_S * relays.local_vm_count(state)
    if passed >= (max(REPEAT_S, spacing_s) if loads else IDLE_S):
        return True
    return loads != hints.sent_loads and passed >= spacing_s


def _is_far_due(state: 'GatewayState', loads: dict[EndpointId, OwnLoad],
                now: float) -> bool:
    """Whether other data centres are to hear of this VM's load now."""
    passed = now - state.hints.sent_remote_at
    if passed < max(FAR_EVERY_S, FAR_SPACING_S * len(state.peers)):
        return False
    if state.rollout.weight_updates:
        return True
    if not shares_load_remotely(state):
        return False
    peers = state.hints.loads.fresh(now)
    return any(
        _is_loaded(state, name, load, peers.get(name, NO_LOAD))
        for name, load in loads.items())


def shares_load_remotely(state: 'GatewayState') -> bool:
    """Whether VMs tell other data centres of their load."""
    return len(state.peers) <= MAX_FAR_VMS


def _is_loaded(state: 'GatewayState', name: EndpointId, load: OwnLoad,
               peers: PeerLoad) -> bool:
    """Whether all VMs should know what an engine has in flight."""
    if load.pending_tokens + peers.pending_tokens >= LOADED_TOKENS:
        return True
    service = state.config.services.get(state.endpoints[name].entry.service)
    if service is None or service.engine is None:
        return False
    taken = load.memory_tokens + peers.memory_tokens
    return taken >= LOADED_MEMORY_PART * service.engine.cache_tokens


def _load(view: EndpointView, now: float) -> OwnLoad:
    # In steps, so that the passing of time alone is no news.
    cooldown_s = math.ceil(max(0.0, view.cooldown_until - now) * 5) / 5
    return OwnLoad(view.pending_tokens, view.memory_tokens, len(view.in_flight),
                   cooldown_s)


def on_hint(state: 'GatewayState', event: HintReceived,
            now: float) -> Iterator[Effect]:
    """Takes a peer's hint in; one that was overtaken counts no more."""
    hint = event.hint
    before = state.hints.received.get(hint.vm)
    if (before is not None and before.hint.incarnation == hint.incarnation and
            before.hint.number >= hint.number):
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
