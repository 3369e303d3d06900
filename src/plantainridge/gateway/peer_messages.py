"""Messages between VMs and their Cap'n Proto encoding."""

from importlib import resources
from typing import Any, Final

import attrs
import capnp

from plantainridge.gateway.events import RawRecord, StoredPart
from plantainridge.ids import (EndpointId, Incarnation, ModelId, ServiceId,
                               VmId)

MS_PER_S: Final = 1_000.0
# Largest duration that a message's 16-bit field holds, in ms.
MAX_DURATION_MS: Final = 65_535
# Largest message that is decoded, in words of 8 bytes.
MAX_MESSAGE_WORDS: Final = 4 << 20


def _load_schema() -> Any:
    schema = resources.files('plantainridge.gateway') / 'peers.capnp'
    with resources.as_file(schema) as path:
        return capnp.load(str(path)).Message


_MESSAGE: Final = _load_schema()


@attrs.frozen
class OwnLoad:
    """Load that one VM has in flight on one endpoint.

    Attributes:
        pending_tokens: Prompt tokens whose prefill is not done yet.
        memory_tokens: KV cache memory of the requests at their full length,
            in tokens.
        requests: Requests in flight.
        cooldown_s: Remaining time for which the VM sends the endpoint no work,
            in s.
    """

    pending_tokens: int
    memory_tokens: int
    requests: int
    cooldown_s: float


@attrs.frozen
class WeightsLoaded:
    """An engine that has just loaded a new weight version."""

    endpoint: EndpointId
    model: ModelId
    version: int


@attrs.frozen
class Hint:
    """A VM's periodic report to its peers.

    Attributes:
        number: Sequence number within one incarnation of the VM.
        loads: Load that the VM has in flight, by endpoint.
        suspects: Fingerprints of requests, each with an endpoint that broke
            the connection while it processed the request.
        weights_loaded: Engines that have just loaded a new weight version.
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
    """Updates that a VM read from a view of the metadata store.

    Attributes:
        vm: The VM that read them.
        start: Offset up to which the receiver must have read before.
        end: Offset up to which it has read afterwards.
    """

    vm: VmId
    view: str
    start: int
    end: int
    records: tuple[RawRecord, ...]


@attrs.frozen
class RelayedStore:
    """Changes that a VM received from a KV cache store.

    Attributes:
        vm: The VM that received them.
        epoch: The store's epoch.
        start: Number of the event that the receiver must expect next in order
            to apply the changes.
        end: Number of the event that it expects next once it has applied them.
        is_snapshot: Whether `parts` are the store's entire contents.
        unreachable: Whether the store does not answer.
        parts: Parts with their numbers of tokens, in order; 0 tokens mark a
            removed part.
        clock_ms: The engines' clock, in ms; 0 if not stated.
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
    """Changes that a VM received from several KV cache stores."""

    relays: tuple[RelayedStore, ...]


@attrs.frozen
class StoreSnapshotRequest:
    """A request of a VM for the contents of a KV cache store."""

    vm: VmId
    store: ServiceId


@attrs.frozen
class InvalidMessage:
    """Reason why a payload is not a valid message."""

    reason: str


PeerMessage = (Hint | RelayedView | RelayedStore | StoreBatch |
               StoreSnapshotRequest)


def encode(message: PeerMessage) -> bytes:
    """Encode a message."""
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
        request = root.init('wantStore')
        request.vm, request.store = message.vm, message.store
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
        each.awayMs = min(MAX_DURATION_MS,
                          max(0, round(load.cooldown_s * MS_PER_S)))
    suspects = row.init('suspects', len(hint.suspects))
    for each, (fingerprint, endpoint) in zip(suspects, hint.suspects):
        each.fingerprint, each.endpoint = fingerprint, endpoint
    rows = row.init('reached', len(hint.weights_loaded))
    for each, loaded in zip(rows, hint.weights_loaded):
        each.endpoint, each.model = loaded.endpoint, loaded.model
        each.version = loaded.version


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
    """Decode a message."""
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
        request = root.wantStore
        return StoreSnapshotRequest(VmId(request.vm), ServiceId(request.store))
    except (capnp.KjException, ValueError) as error:
        return InvalidMessage(str(error))


def _read_hint(row: Any) -> Hint:
    loads = {
        EndpointId(each.endpoint):
            OwnLoad(each.pendingTokens, each.memoryTokens, each.requests,
                    each.awayMs / MS_PER_S) for each in row.loads
    }
    suspects = tuple((str(each.fingerprint), EndpointId(each.endpoint))
                     for each in row.suspects)
    weights_loaded = tuple(
        WeightsLoaded(EndpointId(each.endpoint), ModelId(each.model),
                      each.version) for each in row.reached)
    return Hint(VmId(row.vm), Incarnation(row.life), row.number, loads,
                suspects, weights_loaded, row.isCutOff)


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
