"""Messages between VMs, and their `pycapnp` encoding."""

import enum
from importlib import resources
from typing import Any, Final

import attrs
import capnp

from plantainridge.events import Record
from plantainridge.ids import VmId
from plantainridge.loop.ports import MAX_MESSAGE_BYTES

# Longest message that is decoded, in words of 8 bytes.
_TRAVERSAL_LIMIT_WORDS: Final = MAX_MESSAGE_BYTES


def _load_schema() -> Any:
    schema = resources.files('plantainridge') / 'peers.capnp'
    with resources.as_file(schema) as path:
        return capnp.load(str(path)).PeerMessage


_MESSAGE: Final = _load_schema()


@attrs.frozen
class Value:
    """One VM's value on a topic; `beat` orders the values of one VM."""

    vm: VmId
    topic: str
    beat: int
    payload: bytes = attrs.field(repr=False)


@attrs.frozen
class GossipUpdate:
    """What a VM knows, for the next one to know.

    Attributes:
        config_next: Offset after the newest configuration record known.
        beats: Beat by the CRC-32 of a VM's name.
        values: Values by topic.
    """

    config_next: int
    beats: dict[int, int]
    values: tuple[Value, ...]


@attrs.frozen
class RecordsRequest:
    """Asks for configuration records from an offset on, or a snapshot."""

    offset: int


@attrs.frozen
class RelayedRecords:
    """Configuration records as the log gave them."""

    records: tuple[Record, ...]


@attrs.frozen
class SnapshotPart:
    """A slice of the configuration after all records before `next`."""

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
    """One message.

    Attributes:
        vm: The sender.
        address: IP number and port at which the sender takes messages.
        beat: The sender's beat.
        content: What it says.
    """

    vm: VmId
    address: str
    beat: int
    content: Content


class DecodeFault(enum.Enum):
    """Why bytes are no message."""

    TOO_LARGE = 'too_large'
    MALFORMED = 'malformed'


def encode(message: PeerMessage) -> bytes:
    """Returns a message's bytes."""
    root = _MESSAGE.new_message(vm=message.vm,
                                address=message.address,
                                beat=message.beat)
    content = message.content
    if isinstance(content, GossipUpdate):
        _put_news(root.init('news'), content)
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


def _put_news(news: Any, content: GossipUpdate) -> None:
    news.configNext = content.config_next
    news.names = list(content.beats)
    news.beats = list(content.beats.values())
    news.values = [{
        'vm': value.vm,
        'topic': value.topic,
        'beat': value.beat,
        'bytes': value.payload
    } for value in content.values]


def decode(payload: bytes) -> PeerMessage | DecodeFault:
    """Reads a message; never raises on bad bytes."""
    if len(payload) > MAX_MESSAGE_BYTES:
        return DecodeFault.TOO_LARGE
    try:
        root = _MESSAGE.from_bytes_packed(
            payload, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS)
        return PeerMessage(VmId(root.vm), root.address, root.beat,
                           _content(root))
    except (capnp.KjException, ValueError, IndexError, MemoryError):
        return DecodeFault.MALFORMED


def _content(root: Any) -> Content:
    kind = root.which()
    if kind == 'news':
        return _news(root.news)
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


def _news(news: Any) -> GossipUpdate:
    values = tuple(
        Value(VmId(each.vm), each.topic, each.beat, bytes(each.bytes))
        for each in news.values)
    return GossipUpdate(news.configNext, dict(zip(news.names, news.beats)),
                        values)
