"""Election of one reader per data centre, and relays of what it read.

Calls to the metadata store and to KV cache stores are charged for and
rate-limited. For each subject (a view or a KV cache store), the live VMs of a
data centre therefore elect one reader by weighted rendezvous hashing. A VM's
weight is the bandwidth of its link, since relaying takes most of the capacity
of a low-bandwidth link. The reader relays what it read; a VM that receives
nothing for some time reads by itself. A VM that cannot reach the metadata store
or the subject is not eligible.
"""

import functools
import hashlib
import itertools
import math
from collections.abc import Collection, Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import peer_messages
from plantainridge.gateway.events import View, VmEntry
from plantainridge.gateway.peer_messages import (PeerMessage, RelayedStore,
                                                 RelayedView, StoreBatch)
from plantainridge.ids import VmId
from plantainridge.loop.effects import Effect, SendPeer

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Age of a peer's last hint beyond which it is not eligible as a reader, in s.
# Each VM sends a hint at least once a second. A VM whose hints are spaced wider
# than half of this gets the second time.
LIVENESS_TIMEOUT_S: Final = 1.6
SPACED_LIVENESS_TIMEOUT_S: Final = 2.4
# Minimum time between two hints per VM of the data centre, in s, and the most
# that it grows to: the traffic that one VM sends and receives grows slowly.
MIN_HINT_INTERVAL_PER_VM_S: Final = 0.04
MAX_MIN_HINT_INTERVAL_S: Final = 1.0
# Subject of the rank by which a data centre's load reporter is elected.
LOAD_SUBJECT: Final = 'load'
# Time for which updates of KV cache stores are collected into one batch, in s.
BATCH_DELAY_S: Final = 0.2
# Rows that fit into a datagram, and those that a relay takes besides its parts.
MAX_DATAGRAM_ROWS: Final = 28
RELAY_OVERHEAD_ROWS: Final = 4
# Cached ranks; a fleet has fewer pairs of VM and subject.
MAX_CACHED_RANKS: Final = 16_384


@attrs.define
class RelayBuffer:
    """Updates of KV cache stores that are queued to be sent in batches.

    Attributes:
        queued: The updates, oldest first.
        since: Loop time at which the oldest was queued, in s.
    """

    queued: list[RelayedStore] = attrs.field(factory=list)
    since: float = 0.0


def is_reader(state: 'GatewayState',
              subject: str,
              now: float,
              excluded: Collection[VmId] = ()) -> bool:
    """Return whether this VM is to read a subject for its data centre.

    Args:
        state: The VM's state.
        subject: Name of a view or a KV cache store.
        now: Loop time in s.
        excluded: VMs that cannot reach the subject.
    """
    settings = state.settings
    if settings.vm in excluded:
        return False
    own = weighted_rank(settings.vm, subject, settings.link_mbps)
    return not any(
        weighted_rank(entry.vm, subject, entry.link_mbps) < own
        for entry in itertools.chain(_live_readers(state, now),
                                     _unheard_peers(state, now))
        if entry.vm not in excluded)


def load_reporter(state: 'GatewayState', now: float) -> VmId:
    """Return the VM that reports load for this VM's data centre."""
    settings = state.settings
    ranks = {
        entry.vm: weighted_rank(entry.vm, LOAD_SUBJECT, entry.link_mbps)
        for entry in itertools.chain(live_peers(state, now),
                                     _unheard_peers(state, now))
    }
    ranks[settings.vm] = weighted_rank(settings.vm, LOAD_SUBJECT,
                                       settings.link_mbps)
    return min(ranks, key=lambda vm: ranks[vm])


def load_reporters_by_rank(state: 'GatewayState') -> dict[str, list[VmId]]:
    """Return the VMs of each other data centre, likely reporters first."""
    ranked = sorted(state.peers.values(),
                    key=lambda entry: weighted_rank(entry.vm, LOAD_SUBJECT,
                                                    entry.link_mbps))
    found: dict[str, list[VmId]] = {}
    for entry in ranked:
        if entry.dc != state.settings.dc:
            found.setdefault(entry.dc, []).append(entry.vm)
    return found


def min_hint_interval_s(state: 'GatewayState') -> float:
    """Return the minimum time between two hints to all VMs here, in s."""
    return min(MAX_MIN_HINT_INTERVAL_S,
               MIN_HINT_INTERVAL_PER_VM_S * local_vm_count(state))


def live_peers(state: 'GatewayState', now: float) -> Iterator[VmEntry]:
    """Yield the entries of this data centre's VMs that sent a hint lately."""
    spaced = min_hint_interval_s(state) > LIVENESS_TIMEOUT_S / 2
    timeout_s = SPACED_LIVENESS_TIMEOUT_S if spaced else LIVENESS_TIMEOUT_S
    for vm, received in state.hints.received.items():
        entry = state.peers.get(vm)
        if (entry is not None and entry.dc == state.settings.dc and
                now - received.at <= timeout_s):
            yield entry


def _unheard_peers(state: 'GatewayState', now: float) -> Iterator[VmEntry]:
    """Yield VMs here that count as live since this VM started just now.

    They have not sent a hint yet, and may elect this VM as a reader or be
    elected themselves.
    """
    if now >= state.hints.grace_until:
        return
    for vm, entry in state.peers.items():
        if (entry.dc == state.settings.dc and vm != state.settings.vm and
                vm not in state.hints.received):
            yield entry


def _live_readers(state: 'GatewayState', now: float) -> Iterator[VmEntry]:
    for entry in live_peers(state, now):
        if not state.hints.received[entry.vm].hint.cannot_read:
            yield entry


@functools.lru_cache(MAX_CACHED_RANKS)
def weighted_rank(vm: VmId, subject: str, weight: float) -> float:
    """Return a VM's rank for a subject; the VM with the lowest is chosen.

    Over many subjects, a VM is chosen in proportion to its weight.
    """
    return -math.log(
        (rendezvous_hash(vm, subject) + 1) / 2**64) / max(1.0, weight)


def local_vm_count(state: 'GatewayState') -> int:
    """Return the number of VMs in this VM's data centre."""
    return sum(entry.dc == state.settings.dc for entry in state.peers.values())


def rank(state: 'GatewayState', subject: str) -> int:
    """Return this VM's rank for a subject among all VMs, from 0."""
    own = rendezvous_hash(state.settings.vm, subject)
    return sum(
        rendezvous_hash(vm, subject) < own
        for vm in state.peers
        if vm != state.settings.vm)


def rendezvous_hash(name: str, subject: str) -> int:
    """Return a 64-bit hash of a name and a subject, equal on every VM."""
    digest = hashlib.blake2b(f'{name}/{subject}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def broadcast(
        state: 'GatewayState',
        message: RelayedView | RelayedStore | StoreBatch) -> Iterator[Effect]:
    """Send a relay to all peers in the data centre."""
    payload = peer_messages.encode(message)
    for vm, entry in state.peers.items():
        if vm != state.settings.vm and entry.dc == state.settings.dc:
            yield SendPeer(vm, entry.address, payload)


def broadcast_read(state: 'GatewayState', message: RelayedView,
                   issued_at: float) -> Iterator[Effect]:
    """Send a view's relay to all peers in the data centre.

    Relays of the operators' records state to each peer a time that its own
    clock had reached when the read was issued, as its last hint shows.

    Args:
        state: The VM's state.
        message: The relay.
        issued_at: Loop time at which the read was issued, in s.
    """
    if message.view != View.OPERATOR.value:
        yield from broadcast(state, message)
        return
    for vm, entry in state.peers.items():
        if vm == state.settings.vm or entry.dc != state.settings.dc:
            continue
        received = state.hints.received.get(vm)
        relay = message
        if received is not None and received.hint.sent_at:
            since_s = max(0.0, received.at - issued_at)
            relay = attrs.evolve(message,
                                 receiver_time=received.hint.sent_at - since_s,
                                 receiver_incarnation=received.hint.incarnation)
        yield SendPeer(vm, entry.address, peer_messages.encode(relay))


def enqueue(state: 'GatewayState', message: RelayedStore, now: float) -> None:
    """Queue a KV cache store's update, to be sent with later ones."""
    buffer = state.relays
    if not buffer.queued:
        buffer.since = now
    buffer.queued.append(message)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Send queued updates once the batch delay has passed."""
    if state.relays.queued and now - state.relays.since >= BATCH_DELAY_S:
        yield from flush(state)


def flush(state: 'GatewayState') -> Iterator[Effect]:
    """Send all queued updates, in messages that fit into a datagram."""
    queued, state.relays.queued = state.relays.queued, []
    batch: list[RelayedStore] = []
    rows = 0
    for relay in queued:
        size = RELAY_OVERHEAD_ROWS + len(relay.parts)
        if batch and rows + size > MAX_DATAGRAM_ROWS:
            yield from broadcast(state, StoreBatch(tuple(batch)))
            batch, rows = [], 0
        batch.append(relay)
        rows += size
    if batch:
        yield from broadcast(state, StoreBatch(tuple(batch)))


def send_to_any(state: 'GatewayState', message: PeerMessage,
                now: float) -> Iterator[Effect]:
    """Send a message to a random live peer in the data centre, if any."""
    readers = list(_live_readers(state, now))
    if readers:
        entry = state.rng.choice(readers)
        yield SendPeer(entry.vm, entry.address, peer_messages.encode(message))


def send_to(state: 'GatewayState', vm: VmId,
            message: PeerMessage) -> Iterator[Effect]:
    """Send a message to a VM if its address is known."""
    entry = state.peers.get(vm)
    if entry is not None:
        yield SendPeer(vm, entry.address, peer_messages.encode(message))
