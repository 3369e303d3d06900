"""Gossip between the VMs of a data centre: small values by topic, heartbeats.

Each VM publishes one small value per topic; a newer value replaces the older
one. Received values are hints with an age: decisions that need agreement go
through the log.

Each round, a VM sends an update with its newest heartbeats and values to one
random peer, within a byte budget that does not depend on the number of VMs. A
VM's beat, an epoch and a count, orders its values. A restarted process that
learns of a beat above its own starts a higher epoch, so that values of its
former incarnation do not take precedence over its new ones.
"""

import enum
import zlib
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge import peer_messages as pm
from plantainridge.ids import VmId
from plantainridge.loop.effects import Effect, SendPeer
from plantainridge.loop.events import TimerFired

if TYPE_CHECKING:
    from plantainridge.state import VmState

ROUND_INTERVAL_S: Final = 0.5
MIN_ROUND_INTERVAL_S: Final = 0.1
# Heartbeats per update; the newest are sent.
MAX_HEARTBEATS: Final = 64
# Credit that a round adds for values; a larger value delays those of the next
# rounds.
VALUE_BYTES_PER_ROUND: Final = 120
MAX_VALUE_BYTES: Final = 1_024
# Times that a VM sends a value, its own or another VM's.
SENDS_PER_VALUE: Final = 4
# Older heartbeats are not forwarded, and their VMs count as silent.
HEARTBEAT_MAX_AGE_S: Final = 4.0
# Peers without a newer heartbeat for this long are removed.
PEER_RETENTION_S: Final = 60.0
# Rounds between messages to silent peers and seeds while other peers are live.
PROBE_INTERVAL_ROUNDS: Final = 4
# Rounds after which publishing an unchanged value sends it again.
REFRESH_INTERVAL_ROUNDS: Final = 4
# A beat that is lower by more than this comes from a new incarnation; a smaller
# lag is taken for reordering.
MAX_REORDERING_ROUNDS: Final = 4
_EPOCH_SHIFT: Final = 32


class Topic(enum.Enum):
    """Topics of the values that VMs publish."""

    # Demand of each team on a VM, for sharing limits.
    DEMAND = 'demand'
    # Fingerprints of requests that were in flight at an endpoint that crashed.
    SUSPECTS = 'suspects'
    # Offset after the newest configuration record that a VM has accepted.
    CONFIG = 'config'


_TOPICS: Final = {topic.value: topic for topic in Topic}


@attrs.frozen
class ReceivedValue:
    """A value that another VM published.

    Attributes:
        at: Loop time at which it was received, in s.
        beat: The publisher's beat when it set the value.
    """

    value: bytes
    at: float
    beat: int = 0


@attrs.frozen
class Heartbeat:
    """The newest beat of a VM, and the loop time of its receipt in s."""

    beat: int
    at: float


@attrs.define
class GossipState:
    """This VM's values and what it received from others.

    Attributes:
        own: Newest value of this VM by topic.
        published_at: Count, as in `count`, at which each own value was set.
        received: Newest values of other VMs.
        address: IP number and port at which this VM receives messages.
        seeds: Addresses of peers from the settings.
        addresses: Addresses that peers gave in their messages.
        epoch: Upper half of this VM's beat.
        count: Lower half of the beat; grows with each round and broadcast.
        heartbeats: Newest heartbeat of each other VM.
        vms_by_crc: VM by the CRC-32 of its name.
        sends_left: How often each value will still be sent.
        credit_bytes: Bytes of values that the current round may send.
        next_round_at: Loop time at which the next round is due, in s.
        last_round_at: Loop time of the last round, in s.
        config_seen: Highest `config_next` that any VM reported.
        dropped: Number of malformed or too long messages and values, and of
            this VM's own messages that came back.
        sent_bytes: Bytes handed to the transport.
    """

    own: dict[Topic, bytes] = attrs.field(factory=dict)
    published_at: dict[Topic, int] = attrs.field(factory=dict)
    received: dict[VmId, dict[Topic, ReceivedValue]] = attrs.field(factory=dict)
    address: str = ''
    seeds: tuple[str, ...] = ()
    addresses: dict[VmId, str] = attrs.field(factory=dict)
    epoch: int = 0
    count: int = 0
    heartbeats: dict[VmId, Heartbeat] = attrs.field(factory=dict)
    vms_by_crc: dict[int, VmId] = attrs.field(factory=dict)
    sends_left: dict[tuple[VmId, Topic], int] = attrs.field(factory=dict)
    credit_bytes: int = 0
    next_round_at: float = 0.0
    last_round_at: float = 0.0
    config_seen: int = 0
    dropped: int = 0
    sent_bytes: int = 0

    @property
    def beat(self) -> int:
        """This VM's current beat."""
        return self.epoch << _EPOCH_SHIFT | self.count


def publish(state: 'VmState', topic: Topic, value: bytes) -> None:
    """Set this VM's value of a topic, to be sent with the next rounds.

    A value above `MAX_VALUE_BYTES` is dropped and counted.
    """
    gossip = state.gossip
    if len(value) > MAX_VALUE_BYTES:
        gossip.dropped += 1
        return
    recent = gossip.count - gossip.published_at.get(
        topic, -REFRESH_INTERVAL_ROUNDS) < REFRESH_INTERVAL_ROUNDS
    if recent and gossip.own.get(topic) == value:
        return
    gossip.own[topic] = value
    gossip.published_at[topic] = gossip.count
    gossip.sends_left[(state.vm, topic)] = SENDS_PER_VALUE


def received_values(state: 'VmState', topic: Topic, now: float,
                    max_age_s: float) -> Iterator[tuple[VmId, bytes]]:
    """Yield (VM, value) for values received at most `max_age_s` ago."""
    for vm, topics in state.gossip.received.items():
        found = topics.get(topic)
        if found is not None and now - found.at <= max_age_s:
            yield vm, found.value


def silence_s(state: 'VmState', vm: VmId, now: float) -> float:
    """Return the age of a VM's newest heartbeat in s; infinite if unknown."""
    found = state.gossip.heartbeats.get(vm)
    return now - found.at if found is not None else float('inf')


def send(state: 'VmState', vm: VmId, content: pm.Content) -> Iterator[Effect]:
    """Send a message to a peer; do nothing if its address is unknown."""
    address = peers(state).get(vm)
    if address is None:
        return
    yield _message_to(state, vm, address, content)


def _message_to(state: 'VmState', vm: VmId, address: str,
                content: pm.Content) -> SendPeer:
    gossip = state.gossip
    payload = pm.encode(
        pm.PeerMessage(state.vm, gossip.address, gossip.beat, content))
    gossip.sent_bytes += len(payload)
    return SendPeer(vm, address, payload)


def peers(state: 'VmState') -> dict[VmId, str]:
    """Return the known addresses of the other VMs of the data centre."""
    found = {
        vm: member.address
        for vm, member in state.members.listed.items()
        if member.dc == state.dc
    }
    found.update(state.gossip.addresses)
    found.pop(state.vm, None)
    return found


def broadcast(state: 'VmState', topic: Topic) -> Iterator[Effect]:
    """Send an own value at once to every VM, in other data centres too.

    Meant for rare, urgent values; the rounds send them as well. The broadcast
    gets a beat of its own: of two broadcasts with the same beat, receivers
    would ignore the second.
    """
    gossip = state.gossip
    if topic in gossip.own:
        gossip.count += 1
        gossip.published_at[topic] = gossip.count
    value = _value(state, state.vm, topic)
    if value is None:
        return
    targets = {
        vm: member.address for vm, member in state.members.listed.items()
    }
    targets.update(peers(state))
    targets.pop(state.vm, None)
    for vm, address in targets.items():
        yield _message_to(state, vm, address, pm.GossipUpdate(0, {}, (value,)))


def schedule_early_round(state: 'VmState', now: float) -> None:
    """Bring the next round forward to the earliest time allowed.

    That is `MIN_ROUND_INTERVAL_S` after the last round, or now.
    """
    gossip = state.gossip
    gossip.next_round_at = min(
        gossip.next_round_at,
        max(now, gossip.last_round_at + MIN_ROUND_INTERVAL_S))


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Send an update to one random peer when the next round is due."""
    del event
    gossip = state.gossip
    if now < gossip.next_round_at:
        return
    gossip.next_round_at = now + ROUND_INTERVAL_S
    gossip.last_round_at = now
    gossip.count += 1
    _expire_peers(gossip, now)
    targets = _targets(state, now)
    if not targets:
        return
    update = _round_update(state, now)
    for vm, address in targets:
        yield _message_to(state, vm, address, update)


def _expire_peers(gossip: GossipState, now: float) -> None:
    expired = [
        vm for vm, found in gossip.heartbeats.items()
        if now - found.at > PEER_RETENTION_S
    ]
    for vm in expired:
        del gossip.heartbeats[vm]
        gossip.received.pop(vm, None)
        gossip.addresses.pop(vm, None)


def _targets(state: 'VmState', now: float) -> list[tuple[VmId, str]]:
    gossip = state.gossip
    known = peers(state)
    live = [
        vm for vm in known if silence_s(state, vm, now) <= HEARTBEAT_MAX_AGE_S
    ]
    silent = [(vm, known[vm]) for vm in known if vm not in live]
    silent += [(VmId(''), seed)
               for seed in gossip.seeds
               if seed != gossip.address and seed not in known.values()]
    targets = []
    if live:
        vm = state.rng.choice(live)
        targets.append((vm, known[vm]))
    if silent and (not live or gossip.count % PROBE_INTERVAL_ROUNDS == 0):
        targets.append(state.rng.choice(silent))
    return targets


def _round_update(state: 'VmState', now: float) -> pm.GossipUpdate:
    gossip = state.gossip
    newest = sorted(((found.at, vm)
                     for vm, found in gossip.heartbeats.items()
                     if now - found.at <= HEARTBEAT_MAX_AGE_S),
                    reverse=True)[:MAX_HEARTBEATS]
    beats = {_crc(vm): gossip.heartbeats[vm].beat for _, vm in newest}
    seen = max(gossip.config_seen, state.config_next)
    return pm.GossipUpdate(seen, beats, tuple(_values_to_forward(state)))


def _values_to_forward(state: 'VmState') -> Iterator[pm.Value]:
    gossip = state.gossip
    gossip.credit_bytes = min(VALUE_BYTES_PER_ROUND,
                              gossip.credit_bytes + VALUE_BYTES_PER_ROUND)
    order = sorted(gossip.sends_left,
                   key=lambda key:
                   (-gossip.sends_left[key], key[0] != state.vm))
    for key in order:
        if gossip.credit_bytes <= 0:
            return
        value = _value(state, *key)
        gossip.sends_left[key] -= 1
        if value is None or gossip.sends_left[key] <= 0:
            del gossip.sends_left[key]
        if value is not None:
            gossip.credit_bytes -= len(value.payload) + len(value.vm) + len(
                value.topic)
            yield value


def _value(state: 'VmState', vm: VmId, topic: Topic) -> pm.Value | None:
    gossip = state.gossip
    if vm == state.vm:
        beat = gossip.epoch << _EPOCH_SHIFT | gossip.published_at[topic]
        return pm.Value(vm, topic.value, beat, gossip.own[topic])
    found = gossip.received.get(vm, {}).get(topic)
    if found is None:
        return None
    return pm.Value(vm, topic.value, found.beat, found.value)


def record_sender(state: 'VmState', message: pm.PeerMessage,
                  now: float) -> Iterator[Effect]:
    """Record the address and heartbeat of a message's sender.

    A restarted process whose beat is below that of its former incarnation is
    sent the higher beat.
    """
    gossip = state.gossip
    gossip.vms_by_crc[_crc(message.vm)] = message.vm
    listed = state.members.listed.get(message.vm)
    if message.address and (listed is None or listed.dc == state.dc):
        gossip.addresses[message.vm] = message.address
    found = gossip.heartbeats.get(message.vm)
    if found is not None and message.beat + MAX_REORDERING_ROUNDS < found.beat:
        seen = max(gossip.config_seen, state.config_next)
        update = pm.GossipUpdate(seen, {_crc(message.vm): found.beat}, ())
        yield from send(state, message.vm, update)
    _record_heartbeat(state, message.vm, message.beat, now)


def apply_update(state: 'VmState', update: pm.GossipUpdate, now: float) -> None:
    """Record the values and heartbeats of an update."""
    gossip = state.gossip
    gossip.config_seen = max(gossip.config_seen, update.config_next)
    gossip.vms_by_crc[_crc(state.vm)] = state.vm
    for vm in state.members.listed:
        gossip.vms_by_crc.setdefault(_crc(vm), vm)
    for value in update.values:
        _record_value(state, value, now)
    for crc, beat in update.beats.items():
        known_vm = gossip.vms_by_crc.get(crc)
        if known_vm is not None:
            _record_heartbeat(state, known_vm, beat, now)


def _record_heartbeat(state: 'VmState', vm: VmId, beat: int,
                      now: float) -> None:
    gossip = state.gossip
    if vm == state.vm:
        if beat > gossip.beat:
            gossip.epoch = (beat >> _EPOCH_SHIFT) + 1
        return
    found = gossip.heartbeats.get(vm)
    if found is None or beat > found.beat:
        gossip.heartbeats[vm] = Heartbeat(beat, now)


def _record_value(state: 'VmState', value: pm.Value, now: float) -> None:
    gossip = state.gossip
    topic = _TOPICS.get(value.topic)
    if topic is None or len(value.payload) > MAX_VALUE_BYTES:
        gossip.dropped += 1
        return
    gossip.vms_by_crc[_crc(value.vm)] = value.vm
    _record_heartbeat(state, value.vm, value.beat, now)
    if value.vm == state.vm:
        return
    topics = gossip.received.setdefault(value.vm, {})
    found = topics.get(topic)
    if found is not None and found.beat >= value.beat:
        return
    topics[topic] = ReceivedValue(value.payload, now, value.beat)
    gossip.sends_left[(value.vm, topic)] = SENDS_PER_VALUE


def _crc(vm: VmId) -> int:
    return zlib.crc32(vm.encode())
