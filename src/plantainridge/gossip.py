"""What VMs of a data centre tell one another, by topic.

Each VM says one small, newest value per topic; what others said is a hint
with an age. Nothing is agreed here: agreement goes through the log.

Values and heartbeats spread by gossip: each round a VM sends what it learned
last to one random peer, within a budget of bytes that does not grow with the
number of VMs. A VM's beat, an epoch and a count, orders what it says; a new
process that hears of a beat above its own starts a higher epoch, so that
nothing of its former life hides what it says.
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

ROUND_S: Final = 0.5
# Shortest time between two rounds, in s.
MIN_ROUND_INTERVAL_S: Final = 0.1
# Heartbeats in one message.
MAX_BEATS: Final = 64
# Bytes of values that one round pays for; a larger value uses up later rounds.
VALUE_BYTES_PER_ROUND: Final = 120
MAX_VALUE_BYTES: Final = 1_024
# Times that a VM passes a value on.
PASSES: Final = 4
# Age from which a heartbeat is not passed on, in s.
STALE_BEAT_S: Final = 4.0
# Silence after which a VM is forgotten, in s.
FORGET_S: Final = 60.0
# Rounds between messages to a peer that is not heard.
PROBE_ROUNDS: Final = 4
# Rounds after which an unchanged value is sent again.
REFRESH_ROUNDS: Final = 4
# Lag up to which a message counts as late, and not as one of a new life.
REORDERED_ROUNDS: Final = 4
_EPOCH_SHIFT: Final = 32


class Topic(enum.Enum):
    """Subjects on which VMs tell one another their newest value."""

    # Demand of each team on a VM, for sharing limits.
    DEMAND = 'demand'
    # Fingerprints of requests that were running where an endpoint crashed.
    SUSPECTS = 'suspects'
    # Newest configuration offset that a VM has accepted.
    CONFIG = 'config'


_TOPICS: Final = {topic.value: topic for topic in Topic}


@attrs.frozen
class ReceivedValue:
    """A value that another VM said.

    Attributes:
        at: Loop time of its arrival, in s.
        beat: The other VM's beat when it set the value.
    """

    value: bytes
    at: float
    beat: int = 0


@attrs.frozen
class Heartbeat:
    """The newest beat of a VM, with the loop time at which it was heard."""

    beat: int
    at: float


@attrs.define
class GossipState:
    """This VM's own values and those heard from others.

    Attributes:
        own: Newest value of this VM by topic.
        published_at: Beat at which each own value was set.
        received: Values of other VMs.
        address: IP number and port where this VM takes messages.
        seeds: Addresses of peers from the settings.
        addresses: Addresses of peers that were heard.
        epoch: Upper half of this VM's beat.
        count: Lower half; rounds done.
        heartbeats: Newest heartbeat of each other VM.
        names: VM by the CRC-32 of its name.
        passes: How often each value is still passed on.
        credit_bytes: What may be spent on values.
        config_seen: Highest `config_next` that any VM told of.
        dropped: Malformed messages and values.
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
    names: dict[int, VmId] = attrs.field(factory=dict)
    passes: dict[tuple[VmId, Topic], int] = attrs.field(factory=dict)
    credit_bytes: int = 0
    next_round_at: float = 0.0
    last_round_at: float = 0.0
    config_seen: int = 0
    dropped: int = 0
    sent_bytes: int = 0

    @property
    def beat(self) -> int:
        """This VM's beat now."""
        return self.epoch << _EPOCH_SHIFT | self.count


def publish(state: 'VmState', topic: Topic, value: bytes) -> None:
    """Sets this VM's value; it goes out with the next rounds.

    A value above `MAX_VALUE_BYTES` is dropped and counted.
    """
    gossip = state.gossip
    if len(value) > MAX_VALUE_BYTES:
        gossip.dropped += 1
        return
    fresh = gossip.count - gossip.published_at.get(
        topic, -REFRESH_ROUNDS) < REFRESH_ROUNDS
    if fresh and gossip.own.get(topic) == value:
        return
    gossip.own[topic] = value
    gossip.published_at[topic] = gossip.count
    gossip.passes[(state.vm, topic)] = PASSES


def received_values(state: 'VmState', topic: Topic, now: float,
                    max_age_s: float) -> Iterator[tuple[VmId, bytes]]:
    """Yields each other VM's value that is not older than an age in s."""
    for vm, topics in state.gossip.received.items():
        found = topics.get(topic)
        if found is not None and now - found.at <= max_age_s:
            yield vm, found.value


def silence_s(state: 'VmState', vm: VmId, now: float) -> float:
    """Returns for how long another VM was not heard; infinite for never."""
    found = state.gossip.heartbeats.get(vm)
    return now - found.at if found is not None else float('inf')


def send(state: 'VmState', vm: VmId, content: pm.Content) -> Iterator[Effect]:
    """Sends a message to a peer whose address is known."""
    address = peers(state).get(vm)
    if address is None:
        return
    yield _outgoing(state, vm, address, content)


def _outgoing(state: 'VmState', vm: VmId, address: str,
              content: pm.Content) -> SendPeer:
    gossip = state.gossip
    payload = pm.encode(
        pm.PeerMessage(state.vm, gossip.address, gossip.beat, content))
    gossip.sent_bytes += len(payload)
    return SendPeer(vm, address, payload)


def peers(state: 'VmState') -> dict[VmId, str]:
    """Returns the addresses of the data centre's other VMs."""
    found = {
        vm: member.address
        for vm, member in state.members.listed.items()
        if member.dc == state.dc
    }
    found.update(state.gossip.addresses)
    found.pop(state.vm, None)
    return found


def broadcast(state: 'VmState', topic: Topic) -> Iterator[Effect]:
    """Sends an own value at once to every VM, of other data centres too.

    For rare news that must not wait; it spreads by rounds all the same. It
    takes a beat of its own, or a second push between two rounds would be
    taken for the first.
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
        yield _outgoing(state, vm, address, pm.GossipUpdate(0, {}, (value,)))


def schedule_early_round(state: 'VmState', now: float) -> None:
    """Brings the next round forward: there is news that should not wait."""
    gossip = state.gossip
    gossip.next_round_at = min(
        gossip.next_round_at,
        max(now, gossip.last_round_at + MIN_ROUND_INTERVAL_S))


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Sends a round of news, once per `ROUND_S`."""
    del event
    gossip = state.gossip
    if now < gossip.next_round_at:
        return
    gossip.next_round_at = now + ROUND_S
    gossip.last_round_at = now
    gossip.count += 1
    _forget(gossip, now)
    targets = _targets(state, now)
    if not targets:
        return
    news = _news(state, now)
    for vm, address in targets:
        yield _outgoing(state, vm, address, news)


def _forget(gossip: GossipState, now: float) -> None:
    gone = [
        vm for vm, found in gossip.heartbeats.items()
        if now - found.at > FORGET_S
    ]
    for vm in gone:
        del gossip.heartbeats[vm]
        gossip.received.pop(vm, None)
        gossip.addresses.pop(vm, None)


def _targets(state: 'VmState', now: float) -> list[tuple[VmId, str]]:
    gossip = state.gossip
    known = peers(state)
    live = [vm for vm in known if silence_s(state, vm, now) <= STALE_BEAT_S]
    silent = [(vm, known[vm]) for vm in known if vm not in live]
    silent += [(VmId(''), seed)
               for seed in gossip.seeds
               if seed != gossip.address and seed not in known.values()]
    targets = []
    if live:
        vm = state.rng.choice(live)
        targets.append((vm, known[vm]))
    if silent and (not live or gossip.count % PROBE_ROUNDS == 0):
        targets.append(state.rng.choice(silent))
    return targets


def _news(state: 'VmState', now: float) -> pm.GossipUpdate:
    gossip = state.gossip
    newest = sorted(((found.at, vm)
                     for vm, found in gossip.heartbeats.items()
                     if now - found.at <= STALE_BEAT_S),
                    reverse=True)[:MAX_BEATS]
    beats = {_crc(vm): gossip.heartbeats[vm].beat for _, vm in newest}
    seen = max(gossip.config_seen, state.config_next)
    return pm.GossipUpdate(seen, beats, tuple(_values_to_pass(state)))


def _values_to_pass(state: 'VmState') -> Iterator[pm.Value]:
    gossip = state.gossip
    gossip.credit_bytes = min(VALUE_BYTES_PER_ROUND,
                              gossip.credit_bytes + VALUE_BYTES_PER_ROUND)
    order = sorted(gossip.passes,
                   key=lambda key: (-gossip.passes[key], key[0] != state.vm))
    for key in order:
        if gossip.credit_bytes <= 0:
            return
        value = _value(state, *key)
        gossip.passes[key] -= 1
        if value is None or gossip.passes[key] <= 0:
            del gossip.passes[key]
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
    """Takes in that a peer was heard directly.

    A new process that does not know of its former life's beat is told it.
    """
    gossip = state.gossip
    gossip.names[_crc(message.vm)] = message.vm
    listed = state.members.listed.get(message.vm)
    if message.address and (listed is None or listed.dc == state.dc):
        gossip.addresses[message.vm] = message.address
    found = gossip.heartbeats.get(message.vm)
    if found is not None and message.beat + REORDERED_ROUNDS < found.beat:
        seen = max(gossip.config_seen, state.config_next)
        news = pm.GossipUpdate(seen, {_crc(message.vm): found.beat}, ())
        yield from send(state, message.vm, news)
    _note_beat(state, message.vm, message.beat, now)


def apply_update(state: 'VmState', news: pm.GossipUpdate, now: float) -> None:
    """Takes in what a peer passed on."""
    gossip = state.gossip
    gossip.config_seen = max(gossip.config_seen, news.config_next)
    gossip.names[_crc(state.vm)] = state.vm
    for vm in state.members.listed:
        gossip.names.setdefault(_crc(vm), vm)
    for value in news.values:
        _note_value(state, value, now)
    for crc, beat in news.beats.items():
        vm_heard = gossip.names.get(crc)
        if vm_heard is not None:
            _note_beat(state, vm_heard, beat, now)


def _note_beat(state: 'VmState', vm: VmId, beat: int, now: float) -> None:
    gossip = state.gossip
    if vm == state.vm:
        if beat > gossip.beat:
            gossip.epoch = (beat >> _EPOCH_SHIFT) + 1
        return
    found = gossip.heartbeats.get(vm)
    if found is None or beat > found.beat:
        gossip.heartbeats[vm] = Heartbeat(beat, now)


def _note_value(state: 'VmState', value: pm.Value, now: float) -> None:
    gossip = state.gossip
    topic = _TOPICS.get(value.topic)
    if topic is None or len(value.payload) > MAX_VALUE_BYTES:
        gossip.dropped += 1
        return
    gossip.names[_crc(value.vm)] = value.vm
    _note_beat(state, value.vm, value.beat, now)
    if value.vm == state.vm:
        return
    topics = gossip.received.setdefault(value.vm, {})
    found = topics.get(topic)
    if found is not None and found.beat >= value.beat:
        return
    topics[topic] = ReceivedValue(value.payload, now, value.beat)
    gossip.passes[(value.vm, topic)] = PASSES


def _crc(vm: VmId) -> int:
    return zlib.crc32(vm.encode())
