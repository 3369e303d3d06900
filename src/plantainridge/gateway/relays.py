"""One VM of a data centre reads for all of them.

Calls to the metadata store and to KV cache stores are paid for and limited, so
for each subject the live VMs of a data centre agree on one reader by the same
draw, in which a VM counts by the rate of its link: relaying takes most of what
a thin link carries. The reader relays what it read; who hears nothing for a
while reads by itself, and a reader that cannot reach the metadata store, or the
subject, is passed over.
"""

import functools
import hashlib
import math
from collections.abc import Collection, Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import peer_messages
from plantainridge.gateway.events import VmEntry
from plantainridge.gateway.peer_messages import (PeerMessage, RelayedStore,
                                                 RelayedView, StoreBatch)
from plantainridge.ids import VmId
from plantainridge.loop.effects import Effect, SendPeer

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Age of a peer's last word beyond which it is passed over, in s; each VM says
# something once a second.
LIVE_S: Final = 1.6
# How long news of a KV cache store waits for more, in s.
BATCH_S: Final = 0.2
# Rows that fit into a datagram, and those that a relay takes besides its parts.
MAX_ROWS: Final = 28
RELAY_ROWS: Final = 4
# Draws that are remembered; a fleet has fewer pairs of VM and subject.
MAX_TURNS: Final = 16_384


@attrs.define
class RelayBuffer:
    """News of KV cache stores that waits to be sent together.

    Attributes:
        since: Loop time at which the first of it came, in s.
    """

    waiting: list[RelayedStore] = attrs.field(factory=list)
    since: float = 0.0


def is_reader(state: 'GatewayState',
              subject: str,
              now: float,
              passed_over: Collection[VmId] = ()) -> bool:
    """Whether this VM is to read a subject for its data centre.

    Args:
        subject: What is read.
        now: Loop time in s.
        passed_over: VMs that do not reach it.
    """
    settings = state.settings
    if settings.vm in passed_over:
        return False
    own = _reader_rank(settings.vm, subject, settings.link_mbps)
    return not any(
        _reader_rank(entry.vm, subject, entry.link_mbps) < own
        for entry in _live_readers(state, now)
        if entry.vm not in passed_over)


def _live_readers(state: 'GatewayState', now: float) -> Iterator[VmEntry]:
    for vm, received in state.hints.received.items():
        entry = state.peers.get(vm)
        near = entry is not None and entry.dc == state.settings.dc
        if (entry is not None and near and now - received.at <= LIVE_S and
                not received.hint.cannot_read):
            yield entry


@functools.lru_cache(MAX_TURNS)
def _reader_rank(vm: VmId, subject: str, weight: float) -> float:
    """Draws a place in the order of readers; the lowest comes first.

    Over many subjects a VM comes first in proportion to its weight.
    """
    return -math.log(
        (rendezvous_hash(vm, subject) + 1) / 2**64) / max(1.0, weight)


def local_vm_count(state: 'GatewayState') -> int:
    """Returns the number of VMs of the data centre."""
    return sum(entry.dc == state.settings.dc for entry in state.peers.values())


def rank(state: 'GatewayState', subject: str) -> int:
    """Returns this VM's place in an order of all VMs."""
    own = rendezvous_hash(state.settings.vm, subject)
    return sum(
        rendezvous_hash(vm, subject) < own
        for vm in state.peers
        if vm != state.settings.vm)


def rendezvous_hash(name: str, subject: str) -> int:
    """Draws a number for a name, the same on every VM."""
    digest = hashlib.blake2b(f'{name}/{subject}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def broadcast(
        state: 'GatewayState',
        message: RelayedView | RelayedStore | StoreBatch) -> Iterator[Effect]:
    """Relays news to the VMs of the data centre."""
    payload = peer_messages.encode(message)
    for vm, entry in state.peers.items():
        if vm != state.settings.vm and entry.dc == state.settings.dc:
            yield SendPeer(vm, entry.address, payload)


def enqueue(state: 'GatewayState', message: RelayedStore, now: float) -> None:
    """Relays news of a KV cache store together with what comes just after."""
    box = state.relays
    if not box.waiting:
        box.since = now
    box.waiting.append(message)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Sends what has waited long enough."""
    if state.relays.waiting and now - state.relays.since >= BATCH_S:
        yield from flush(state)


def flush(state: 'GatewayState') -> Iterator[Effect]:
    """Sends what waits, in messages that fit into a datagram."""
    waiting, state.relays.waiting = state.relays.waiting, []
    batch: list[RelayedStore] = []
    rows = 0
    for relay in waiting:
        size = RELAY_ROWS + len(relay.parts)
        if batch and rows + size > MAX_ROWS:
            yield from broadcast(state, StoreBatch(tuple(batch)))
            batch, rows = [], 0
        batch.append(relay)
        rows += size
    if batch:
        yield from broadcast(state, StoreBatch(tuple(batch)))


def send_to_any(state: 'GatewayState', message: PeerMessage,
                now: float) -> Iterator[Effect]:
    """Sends a message to some live VM of the data centre, if there is one."""
    live = list(_live_readers(state, now))
    if live:
        entry = state.rng.choice(live)
        yield SendPeer(entry.vm, entry.address, peer_messages.encode(message))


def send_to(state: 'GatewayState', vm: VmId,
            message: PeerMessage) -> Iterator[Effect]:
    """Sends a message to one VM, if its address is known."""
    entry = state.peers.get(vm)
    if entry is not None:
        yield SendPeer(vm, entry.address, peer_messages.encode(message))
