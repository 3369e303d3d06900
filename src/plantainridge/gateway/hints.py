"""VMs of one data centre tell one another what they have in flight.

Several VMs that each see only their own requests would all send to the engine
that looks idle. A hint costs one datagram within the data centre; a lost one
is replaced by the next. Suspects go to all VMs, since a request that crashes
engines comes again at any of them.
"""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.effects import Effect, LogLine, SendPeer
from plantainridge.events import PeerSaid
from plantainridge.gateway import hint_messages
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.hint_messages import Hint, OwnLoad, UnreadableHint
from plantainridge.ids import EndpointId, VmId

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Age at which a peer's hint counts no more, in s.
FRESH_S: Final = 0.6
# Longest time between two hints of a VM that has requests in flight, in s.
REPEAT_S: Final = 0.25


@attrs.define
class Heard:
    """A peer's latest hint, and the loop time at which it came, in s."""

    hint: Hint
    at: float


@attrs.define
class HintTable:
    """Hints of peers, and what was told to them.

    Attributes:
        number: Hints sent so far.
        told: Loads in the last hint.
        told_at: Loop time of the last hint, in s.
        suspects: Suspects that are to be told.
    """

    heard: dict[VmId, Heard] = attrs.field(factory=dict)
    number: int = 0
    told: dict[EndpointId, OwnLoad] = attrs.field(factory=dict)
    told_at: float = -math.inf
    suspects: list[tuple[str, EndpointId]] = attrs.field(factory=list)

    def pending_tokens(self, endpoint: EndpointId, now: float) -> int:
        """Returns prompt tokens that peers have sent and are not read yet."""
        return sum(load.pending_tokens for load in self._loads(endpoint, now))

    def requests(self, endpoint: EndpointId, now: float) -> int:
        """Returns requests that peers have in flight on an endpoint."""
        return sum(load.requests for load in self._loads(endpoint, now))

    def _loads(self, endpoint: EndpointId, now: float) -> Iterator[OwnLoad]:
        for heard in self.heard.values():
            if now - heard.at <= FRESH_S and endpoint in heard.hint.loads:
                yield heard.hint.loads[endpoint]


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Tells peers of the data centre what changed."""
    hints = state.hints
    loads = {
        name: _load(view, now)
        for name, view in state.endpoints.items()
        if view.own or view.away_until > now
    }
    due = loads != hints.told or (loads and now - hints.told_at >= REPEAT_S)
    if not due and not hints.suspects:
        return
    hints.number += 1
    hints.told, hints.told_at = loads, now
    payload = hint_messages.encode(
        Hint(state.settings.vm, state.life, hints.number, loads,
             tuple(hints.suspects)))
    everywhere = bool(hints.suspects)
    hints.suspects.clear()
    for vm, entry in state.peers.items():
        near = entry.dc == state.settings.dc
        if vm != state.settings.vm and (near or everywhere):
            yield SendPeer(vm, entry.address, payload)


def _load(view: EndpointView, now: float) -> OwnLoad:
    # In steps, so that the passing of time alone is no news.
    away_s = math.ceil(max(0.0, view.away_until - now) * 2) / 2
    return OwnLoad(sum(view.own.values()), len(view.own), away_s)


def on_peer_said(state: 'GatewayState', event: PeerSaid,
                 now: float) -> Iterator[Effect]:
    """Takes a peer's hint in; older ones and those of earlier lives are not."""
    hint = hint_messages.decode(event.payload)
    if isinstance(hint, UnreadableHint):
        yield LogLine('hint_unreadable', (('reason', hint.reason),))
        return
    before = state.hints.heard.get(hint.vm)
    if (before is not None and before.hint.life == hint.life and
            before.hint.number >= hint.number):
        return
    state.hints.heard[hint.vm] = Heard(hint, now)
    for fingerprint, endpoint in hint.suspects:
        state.suspects.note_break(fingerprint, endpoint, now)
