"""Messages between VMs, and their `pycapnp` encoding."""

from importlib import resources
from typing import Any, Final

import attrs
import capnp

from plantainridge.gateway.events import RawRecord, StoredPart
from plantainridge.ids import (EndpointId, Incarnation, ModelId, ServiceId,
                               VmId)

MS: Final = 1_000.0
# Longest time that a field of a message holds, in ms.
MAX_MS: Final = 65_535
# Longest message that is decoded, in words of 8 bytes.
MAX_MESSAGE_WORDS: Final = 4 << 20


def _load_schema() -> Any:
    schema = resources.files('plantainridge.gateway') / 'peers.capnp'
    with resources.as_file(schema) as path:
        return capnp.load(str(path)).Message


_MESSAGE: Final = _load_schema()


@attrs.frozen
class OwnLoad:
    """What one VM has in flight on one endpoint.

    Attributes:
        pending_tokens: Prompt tokens that are not read yet.
        memory_tokens: Memory that the requests take at their end, in tokens.
        requests: Requests in flight.
        cooldown_s: How much longer the VM spares it, in s.
    """

    pending_tokens: int
    memory_tokens: int
    requests: int
    cooldown_s: float


@attrs.frozen
class WeightsLoaded:
    """An engine that has just taken up new weights."""

    endpoint: EndpointId
    model: ModelId
    version: int


@attrs.frozen
class Hint:
    """One VM's word.

    Attributes:
        number: Counts the VM's words within one life.
        suspects: Fingerprints with the endpoints that broke off under them.
        weights_loaded: Engines that have just taken up new weights.
        cannot_read: Whether the VM does not read for its data centre, because
            it cannot reach the metadata store or is stopping.
    """

    vm: VmId
    incarnation: Incarnation
    number: int
    loads: dict[EndpointId, OwnLoad]
    suspects: tuple[tuple[str, EndpointId], ...] = ()
    weights_loaded: tuple[WeightsLoaded, ...] = ()
    cannot_read: bool = False


@attrs.frozen
class RelayedView:
    """What a VM read of a view of the metadata store.

    Attributes:
        start: Offset up to which the receiver must have read.
        end: Offset up to which it has read then.
    """

    vm: VmId
    view: str
    start: int
    end: int
    records: tuple[RawRecord, ...]


@attrs.frozen
class RelayedStore:
    """What a VM heard of a KV cache store.

    Attributes:
        start: Number of the next event that the receiver must await.
        end: Number of the next event then.
        is_snapshot: Whether `parts` are all that the store keeps.
        unreachable: Whether the store does not answer.
        parts: Parts with their tokens, in order; 0 for one that is gone.
        clock_ms: The engines' clock, in ms; 0 if it was not told.
    """

    vm: VmId
    store: ServiceId
    epoch: int
    start: int
    end: int
    is_snapshot: bool
    unreachable: bool
    parts: tuple[tuple[StoredPart, int], ...]
    clock_ms: float


@attrs.frozen
class StoreBatch:
    """What a VM heard of several KV cache stores."""

    relays: tuple[RelayedStore, ...]


@attrs.frozen
class StoreSnapshotRequest:
    """A VM asks for all that is known of a KV cache store."""

    vm: VmId
    store: ServiceId


@attrs.frozen
class InvalidMessage:
    """Says that a message is none of these."""

    reason: str


PeerMessage = (Hint | RelayedView | RelayedStore | StoreBatch |
               StoreSnapshotRequest)


def encode(message: PeerMessage) -> bytes:
    """Returns a message's bytes."""
    root = _MESSAGE.new_message()
    if isinstance(message, Hint):
        _write_hint(root.init('hint'), message)
    elif isinstance(message, RelayedView):
        _write_view(root.init('relay'), message)
    elif isinstance(message, RelayedStore):
        _write_store(root.init('relay'), message)
    elif isinstance(message, StoreBatch):
        rows = root.init('relays', len(message.relays))
        for row, relay in zip(rows, message.relays):
            _write_store(row, relay)
    else:
        wanted = root.init('wantStore')
        wanted.vm, wanted.store = message.vm, message.store
    encoded: bytes = root.to_bytes_packed()
    return encoded


def _write_hint(row: Any, hint: Hint) -> None:
    row.vm, row.life, row.number = hint.vm, hint.incarnation, hint.number
    row.isCutOff = hint.cannot_read
    loads = row.init('loads', len(hint.loads))
    for each, (endpoint, load) in zip(loads, hint.loads.items()):
        each.endpoint = endpoint
        each.pendingTokens = load.pending_tokens
        each.memoryTokens = load.memory_tokens
        each.requests = load.requests
        each.awayMs = min(MAX_MS, max(0, round(load.cooldown_s * MS)))
    suspects = row.init('suspects', len(hint.suspects))
    for each, (fingerprint, endpoint) in zip(suspects, hint.suspects):
        each.fingerprint, each.endpoint = fingerprint, endpoint
    reached = row.init('reached', len(hint.weights_loaded))
    for each, news in zip(reached, hint.weights_loaded):
        each.endpoint, each.model = news.endpoint, news.model
        each.version = news.version


def _write_view(row: Any, relay: RelayedView) -> None:
    row.vm, row.subject = relay.vm, relay.view
    row.start, row.end = relay.start, relay.end
    records = row.init('records', len(relay.records))
    for each, record in zip(records, relay.records):
        each.key = record.key
        each.value = record.value or b''
        each.isDropped = record.value is None


def _write_store(row: Any, relay: RelayedStore) -> None:
    row.vm, row.subject, row.isStore = relay.vm, relay.store, True
    row.start, row.end, row.epoch = relay.start, relay.end, relay.epoch
    row.whole, row.lost = relay.is_snapshot, relay.unreachable
    row.clockMs = relay.clock_ms
    parts = row.init('parts', len(relay.parts))
    for each, (part, tokens) in zip(parts, relay.parts):
        each.salt, each.id, each.tokens = part.salt, part.id, tokens


def decode(payload: bytes) -> PeerMessage | InvalidMessage:
    """Reads a message."""
    try:
        root = _MESSAGE.from_bytes_packed(
            payload, traversal_limit_in_words=MAX_MESSAGE_WORDS)
        kind = root.which()
        if kind == 'hint':
            return _read_hint(root.hint)
        if kind == 'relay':
            row = root.relay
            return _read_store(row) if row.isStore else _read_view(row)
        if kind == 'relays':
            return StoreBatch(tuple(_read_store(row) for row in root.relays))
        wanted = root.wantStore
        return StoreSnapshotRequest(VmId(wanted.vm), ServiceId(wanted.store))
    except (capnp.KjException, ValueError) as error:
        return InvalidMessage(str(error))


def _read_hint(row: Any) -> Hint:
    loads = {
        EndpointId(each.endpoint):
            OwnLoad(each.pendingTokens, each.memoryTokens, each.requests,
                    each.awayMs / MS) for each in row.loads
    }
    suspects = tuple((str(each.fingerprint), EndpointId(each.endpoint))
                     for each in row.suspects)
    reached = tuple(
        WeightsLoaded(EndpointId(each.endpoint), ModelId(each.model),
                      each.version) for each in row.reached)
    return Hint(VmId(row.vm), Incarnation(row.life), row.number, loads,
                suspects, reached, row.isCutOff)


def _read_view(row: Any) -> RelayedView:
    records = tuple(
        RawRecord(str(each.key), None if each.isDropped else bytes(each.value))
        for each in row.records)
    return RelayedView(VmId(row.vm), str(row.subject), row.start, row.end,
                       records)


def _read_store(row: Any) -> RelayedStore:
    parts = tuple((StoredPart(str(each.salt), str(each.id)), int(each.tokens))
                  for each in row.parts)
    return RelayedStore(VmId(row.vm), ServiceId(row.subject), row.epoch,
                        row.start, row.end, row.whole, row.lost, parts,
                        row.clockMs)
