"""Messages between VMs, and their `pycapnp` encoding."""

import enum
from importlib import resources
from typing import Any, Final

import attrs
import capnp

from plantainridge.events import Record
from plantainridge.ids import VmId
from plantainridge.loop.ports import MAX_MESSAGE_BYTES

# Bound on what a packed message unpacks to: 8 bytes for each byte received.
_TRAVERSAL_LIMIT_WORDS: Final = MAX_MESSAGE_BYTES


def _load_message_type() -> Any:
    schema = resources.files('plantainridge') / 'peers.capnp'
    with resources.as_file(schema) as path:
        return capnp.load(str(path)).PeerMessage


_MESSAGE: Final = _load_message_type()


@attrs.frozen
class Value:
    """One VM's value of a topic.

    Attributes:
        topic: A `gossip.Topic` value, or that of another release.
        beat: The VM's beat when it set the value; orders its values.
    """

    vm: VmId
    topic: str
    beat: int
    payload: bytes = attrs.field(repr=False)


@attrs.frozen
class GossipUpdate:
    """One gossip round's heartbeats and values.

    Attributes:
        config_next: Offset after the newest configuration record known.
        beats: Newest beats of other VMs, by the CRC-32 of the VM's name.
        values: Values of the sender and of other VMs.
    """

    config_next: int
    beats: dict[int, int]
    values: tuple[Value, ...]


@attrs.frozen
class RecordsRequest:
    """Request for configuration records from an offset on, or a snapshot."""

    offset: int


@attrs.frozen
class RelayedRecords:
    """Configuration records, unchanged from the log."""

    records: tuple[Record, ...]


@attrs.frozen
class SnapshotPart:
    """One part of a snapshot of the configuration.

    Attributes:
        revision: Revision of the configuration.
        next: Offset of the first record that the snapshot does not include.
        part: Number of this part, from 0.
        parts: Number of parts.
        body: Bytes of this part.
        checkpoint_offset: Offset at which the newest checkpoint in the log
            ends; -1 if there is none.
        checkpoint_at: Time of that checkpoint by the platform's clock, in s.
    """

    revision: int
    next: int
    part: int
    parts: int
    body: bytes = attrs.field(repr=False)
    checkpoint_offset: int = -1
    checkpoint_at: float = 0.0


Content = GossipUpdate | RecordsRequest | RelayedRecords | SnapshotPart


@attrs.frozen
class PeerMessage:
    """One message between VMs.

    Attributes:
        vm: The sender.
        address: IP number and port at which the sender receives messages.
        beat: The sender's beat.
        content: The message's content.
    """

    vm: VmId
    address: str
    beat: int
    content: Content


class DecodeFault(enum.Enum):
    """Why bytes could not be decoded as a message."""

    TOO_LARGE = 'too_large'
    MALFORMED = 'malformed'


def encode(message: PeerMessage) -> bytes:
    """Encode a message."""
    root = _MESSAGE.new_message(vm=message.vm,
                                address=message.address,
                                beat=message.beat)
    content = message.content
    if isinstance(content, GossipUpdate):
        _encode_update(root.init('news'), content)
    elif isinstance(content, RecordsRequest):
        root.wantRecords = content.offset
    elif isinstance(content, RelayedRecords):
        root.init('records').records = [{
            'offset': record.offset,
            'at': record.at,
            'payload': record.payload
        } for record in content.records]
    else:
        part = root.init('snapshot')
        part.revision, part.next = content.revision, content.next
        part.part, part.parts = content.part, content.parts
        part.body = content.body
        part.checkpointOffset = content.checkpoint_offset
        part.checkpointAt = content.checkpoint_at
    packed: bytes = root.to_bytes_packed()
    return packed


def _encode_update(update: Any, content: GossipUpdate) -> None:
    update.configNext = content.config_next
    update.names = list(content.beats)
    update.beats = list(content.beats.values())
    update.values = [{
        'vm': value.vm,
        'topic': value.topic,
        'beat': value.beat,
        'bytes': value.payload
    } for value in content.values]


def decode(payload: bytes) -> PeerMessage | DecodeFault:
    """Decode a message; return a `DecodeFault` for malformed bytes."""
    if len(payload) > MAX_MESSAGE_BYTES:
        return DecodeFault.TOO_LARGE
    try:
        root = _MESSAGE.from_bytes_packed(
            payload, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS)
        return PeerMessage(VmId(root.vm), root.address, root.beat,
                           _decode_content(root))
    except (capnp.KjException, ValueError, IndexError, MemoryError):
        return DecodeFault.MALFORMED


def _decode_content(root: Any) -> Content:
    kind = root.which()
    if kind == 'news':
        return _decode_update(root.news)
    if kind == 'wantRecords':
        return RecordsRequest(root.wantRecords)
    if kind == 'records':
        return RelayedRecords(
            tuple(
                Record(each.offset, each.at, bytes(each.payload))
                for each in root.records.records))
    part = root.snapshot
    return SnapshotPart(part.revision, part.next, part.part, part.parts,
                        bytes(part.body), part.checkpointOffset,
                        part.checkpointAt)


def _decode_update(update: Any) -> GossipUpdate:
    values = tuple(
        Value(VmId(each.vm), each.topic, each.beat, bytes(each.bytes))
        for each in update.values)
    return GossipUpdate(update.configNext, dict(zip(update.names,
                                                    update.beats)), values)
