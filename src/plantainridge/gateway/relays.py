"""Election of one reader per data centre, and relays of what it read.

Calls to the metadata store and to KV cache stores are charged for and
rate-limited. For each subject (a view or a KV cache store), the live VMs of a
data centre therefore elect one reader by weighted rendezvous hashing. A VM's
weight is the bandwidth of its link, since relaying takes most of the capacity
of a low-bandwidth link; for the operators' records and reports of load, which
are large, it is the cube of the bandwidth. The reader relays what it read; a VM
that receives nothing for some time reads by itself. A VM that cannot reach the
metadata store or the subject is not eligible.
"""

from collections.abc import Collection, Generator, Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import peer_messages, peer_ranks
from plantainridge.gateway.events import View, VmEntry
from plantainridge.gateway.peer_messages import (PeerMessage, RelayedStore,
                                                 RelayedView, StoreBatch)
from plantainridge.gateway.peer_ranks import LOAD_SUBJECT
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
# Time for which a relay may fill this VM's link, in s: peers that get none for
# longer read themselves, and callers wait meanwhile.
MAX_RELAY_S: Final = 0.3
BITS_PER_BYTE: Final = 8
BITS_PER_MEGABIT: Final = 1_000_000
# Time for which updates of KV cache stores are collected into one batch, in s.
BATCH_DELAY_S: Final = 0.2
# Rows that fit into a datagram, and those that a relay takes besides its parts.
MAX_DATAGRAM_ROWS: Final = 28
RELAY_OVERHEAD_ROWS: Final = 4


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
    ahead = state.peer_ranks.ranked_ahead(state.peers, settings, subject)
    return not any(
        entry.vm not in excluded and _is_live_reader(state, entry.vm, now)
        for entry in ahead)


def load_reporter(state: 'GatewayState', now: float) -> VmId:
    """Return the VM that reports load for this VM's data centre."""
    ahead = state.peer_ranks.ranked_ahead(state.peers, state.settings,
                                          LOAD_SUBJECT)
    return next((entry.vm for entry in ahead if is_live(state, entry.vm, now)),
                state.settings.vm)


def load_reporters_by_rank(state: 'GatewayState') -> dict[str, list[VmId]]:
    """Return the VMs of each other data centre, likely reporters first."""
    return state.peer_ranks.reporters_by_rank(state.peers, state.settings)


def min_hint_interval_s(state: 'GatewayState') -> float:
    """Return the minimum time between two hints to all VMs here, in s."""
    return min(MAX_MIN_HINT_INTERVAL_S,
               MIN_HINT_INTERVAL_PER_VM_S * local_vm_count(state))


def live_peers(state: 'GatewayState', now: float) -> Iterator[VmEntry]:
    """Yield the entries of this data centre's VMs that sent a hint lately."""
    timeout_s = _liveness_timeout_s(state)
    for vm, received in state.hints.received.items():
        entry = state.peers.get(vm)
        if (entry is not None and entry.dc == state.settings.dc and
                now - received.at <= timeout_s):
            yield entry


def _liveness_timeout_s(state: 'GatewayState') -> float:
    is_spaced = min_hint_interval_s(state) > LIVENESS_TIMEOUT_S / 2
    return SPACED_LIVENESS_TIMEOUT_S if is_spaced else LIVENESS_TIMEOUT_S


def is_live(state: 'GatewayState', vm: VmId, now: float) -> bool:
    """Return whether a VM of this data centre counts as live.

    Shortly after this VM's start, those that have not sent a hint yet do too:
    they may elect this VM as a reader or be elected themselves.
    """
    received = state.hints.received.get(vm)
    if received is None:
        return now < state.hints.grace_until
    return now - received.at <= _liveness_timeout_s(state)


def _is_live_reader(state: 'GatewayState', vm: VmId, now: float) -> bool:
    received = state.hints.received.get(vm)
    return (is_live(state, vm, now) and
            (received is None or not received.hint.cannot_read))


def _live_readers(state: 'GatewayState', now: float) -> Iterator[VmEntry]:
    for entry in live_peers(state, now):
        if not state.hints.received[entry.vm].hint.cannot_read:
            yield entry


def local_vm_count(state: 'GatewayState') -> int:
    """Return the number of VMs in this VM's data centre."""
    state.peer_ranks.refresh(state.peers, state.settings)
    return state.peer_ranks.local_count


def rank(state: 'GatewayState', subject: str) -> int:
    """Return this VM's rank for a subject among all VMs, from 0."""
    return state.peer_ranks.position(state.peers, state.settings, subject)


def data_centre_rank(state: 'GatewayState', subject: str) -> int:
    """Return the rank of this VM's data centre for a subject, from 0."""
    own = peer_ranks.rendezvous_hash(state.settings.dc, subject)
    return sum(
        peer_ranks.rendezvous_hash(dc, subject) < own
        for dc in {entry.dc for entry in state.peers.values()})


def local_peers(state: 'GatewayState') -> tuple[VmEntry, ...]:
    """Return the entries of the other VMs of this data centre."""
    state.peer_ranks.refresh(state.peers, state.settings)
    return state.peer_ranks.local


def broadcast(
        state: 'GatewayState',
        message: RelayedView | RelayedStore | StoreBatch) -> Iterator[Effect]:
    """Send a relay to all peers in the data centre."""
    payload = peer_messages.encode(message)
    for entry in local_peers(state):
        yield SendPeer(entry.vm, entry.address, payload)


def broadcast_read(state: 'GatewayState', message: RelayedView,
                   issued_at: float) -> Iterator[Effect]:
    """Send a view's relay to all peers in the data centre.

    Changes that would fill this VM's link are left to the peers to read. Relays
    of the operators' records state to each peer a time that its own clock had
    reached when the read was issued, as its last hint shows.

    Args:
        state: The VM's state.
        message: The relay.
        issued_at: Loop time at which the read was issued, in s.
    """
    if message.view != View.OPERATOR.value:
        yield from broadcast(state, message)
        return
    if not message.is_snapshot and _relay_s(state, message) > MAX_RELAY_S:
        # Peers see the gap, and read from the metadata store. A snapshot
        # without its records would be an empty view.
        message = attrs.evolve(message, start=message.end, records=())
    for entry in local_peers(state):
        received = state.hints.received.get(entry.vm)
        relay = message
        if received is not None and received.hint.sent_at:
            since_s = max(0.0, received.at - issued_at)
            relay = attrs.evolve(message,
                                 receiver_time=received.hint.sent_at - since_s,
                                 receiver_incarnation=received.hint.incarnation)
        yield SendPeer(entry.vm, entry.address, peer_messages.encode(relay))


def _relay_s(state: 'GatewayState', message: RelayedView) -> float:
    """Return the time for which a relay to all peers fills this VM's link."""
    size = sum(len(record.value or b'') for record in message.records)
    bits = BITS_PER_BYTE * size * len(local_peers(state))
    return bits / (BITS_PER_MEGABIT * max(1.0, state.settings.link_mbps))


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


def ask_in_turn(state: 'GatewayState', message: PeerMessage,
                now: float) -> Generator[Effect, None, bool]:
    """Send a request to a peer, each time to another one.

    If no live peer of the data centre reads from the metadata store, a VM of
    another one is asked. One VM does so, and the others ask that one: the
    traffic between data centres must not grow with their VMs.

    Returns:
        Whether a peer of the data centre that reads was asked.
    """
    own = state.settings
    readers = list(_live_readers(state, now))
    if readers:
        yield from send_to(state, _in_turn(readers, own.vm, now), message)
        return True
    reporter = load_reporter(state, now)
    if reporter != own.vm:
        yield from send_to(state, reporter, message)
    elif state.views.is_store_unreachable(now):
        remote = [each for each in state.peers.values() if each.dc != own.dc]
        if remote:
            yield from send_to(state, _in_turn(remote, own.vm, now), message)
    return False


def _in_turn(entries: Collection[VmEntry], own: VmId, now: float) -> VmId:
    """Return one of some VMs, at another time mostly another one."""
    turn = f'{own}/{now:.1f}'
    chosen = min(entries,
                 key=lambda each: peer_ranks.rendezvous_hash(each.vm, turn))
    return chosen.vm


def send_to(state: 'GatewayState', vm: VmId,
            message: PeerMessage) -> Iterator[Effect]:
    """Send a message to a VM if its address is known."""
    entry = state.peers.get(vm)
    if entry is not None:
        yield SendPeer(vm, entry.address, peer_messages.encode(message))
