"""Messages between VMs and their Cap'n Proto encoding."""

from collections.abc import Mapping
from importlib import resources
from typing import Any, Final

import attrs
import capnp

from plantainridge.gateway.crash_attribution import Suspect
from plantainridge.gateway.endpoint_speed import SpeedDigest, SpeedSum
from plantainridge.gateway.events import RawRecord, StoredPart
from plantainridge.gateway.versions import VersionAge
from plantainridge.ids import (DcId, EndpointId, Incarnation, ModelId,
                               ServiceId, VmId)

MS_PER_S: Final = 1_000.0
# Largest duration that a message's 16-bit field holds, in ms.
MAX_DURATION_MS: Final = 65_535
# Largest number of requests that a message's 16-bit field holds.
MAX_REQUESTS: Final = 65_535
# Units of weights and ratios in digests of speeds.
HUNDREDTHS: Final = 100.0
# Largest number that a 16-bit field holds.
MAX_UINT16: Final = 65_535
# Largest rate that a message's 32-bit field holds.
MAX_TOKENS_PER_S: Final = 2**32 - 1
# Names in entries of work that stand for no data centre or service.
NO_DC: Final = DcId('')
NO_SERVICE: Final = ServiceId('')
# Incarnation in relays that state no time of the receiver.
NO_INCARNATION: Final = Incarnation('')
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
        is_unreached: Whether that is since the VM could not reach it, which may
            be due to the VM's own links.
    """

    pending_tokens: int
    memory_tokens: int
    requests: int
    cooldown_s: float
    is_unreached: bool = False


@attrs.frozen
class WeightsLoaded:
    """An engine that has just loaded a new weight version."""

    endpoint: EndpointId
    model: ModelId
    version: int


@attrs.frozen
class BrokenSendReport:
    """A send during which an endpoint broke the connection.

    Attributes:
        fingerprint: Hash of its request.
        parts: Ids of the parts of its prompt, without the last.
        sent_ago_s: Time since the send, in s.
        broken_ago_s: Time since the connection broke, in s.
    """

    fingerprint: str
    endpoint: EndpointId
    parts: tuple[str, ...] = ()
    sent_ago_s: float = 0.0
    broken_ago_s: float = 0.0


@attrs.frozen
class Hint:
    """A VM's periodic report to its peers.

    Attributes:
        number: Sequence number within one incarnation of the VM.
        loads: Load that the VM has in flight, by endpoint.
        suspects: Sends during which endpoints broke the connection.
        weights_loaded: Engines that have just loaded a new weight version.
        cannot_read: Whether the VM does not read for its data centre, because
            it cannot reach the metadata store or is stopping.
        work: Work that arrives at the VM for each service, in tokens per s.
        leaving: Endpoints that stated to the VM that they are leaving, each
            with the Unix time of its start, in ms.
        era: Highest era of the metadata store that the VM knows.
        asked_at: The VM's loop time at which it asks for the ages of versions,
            in s; 0 if it does not ask.
        answers_at: Such a time of the receiver if this hint answers it, in s;
            else 0.
        versions: The versions that the VM knows, in an answer.
        cleared: Suspects of crashes whose requests were answered since.
        quarantined: Quarantined suspects, each with the time since the last
            crash with it, in s.
        sent_at: The VM's loop time at which it sent this hint, in s; 0 if not
            stated.
        speeds: Speeds of endpoints, from the VM's own observations.
    """

    vm: VmId
    incarnation: Incarnation
    number: int
    loads: dict[EndpointId, OwnLoad]
    suspects: tuple[BrokenSendReport, ...] = ()
    weights_loaded: tuple[WeightsLoaded, ...] = ()
    cannot_read: bool = False
    work: Mapping[ServiceId, float] = attrs.field(factory=dict)
    leaving: Mapping[EndpointId, int] = attrs.field(factory=dict)
    era: int = 0
    asked_at: float = 0.0
    answers_at: float = 0.0
    versions: tuple[VersionAge, ...] = ()
    cleared: tuple[Suspect, ...] = ()
    quarantined: Mapping[Suspect, float] = attrs.field(factory=dict)
    sent_at: float = 0.0
    speeds: tuple[SpeedDigest, ...] = ()


@attrs.frozen
class DcLoad:
    """Load that the VMs of one data centre have in flight.

    Attributes:
        vm: The VM that summed their hints.
        number: Sequence number within one incarnation of that VM.
        loads: Load by endpoint, of endpoints in any data centre.
        work: Work that arrives there for each service, in tokens per s.
        speeds: Speeds of endpoints, from the observations of its VMs.
    """

    vm: VmId
    incarnation: Incarnation
    number: int
    dc: DcId
    loads: Mapping[EndpointId, OwnLoad]
    work: Mapping[ServiceId, float] = attrs.field(factory=dict)
    speeds: tuple[SpeedDigest, ...] = ()


@attrs.frozen
class LoadTotals:
    """Load that the VMs of several data centres have in flight.

    Attributes:
        vm: The VM that added the loads of the data centres.
        number: Sequence number within one incarnation of that VM.
        loads: Load by endpoint.
        has_local: Whether the loads include those of the VM's data centre.
        work: Work that arrives in each data centre for each service, in tokens
            per s; always with the VM's own data centre.
        speeds: Speeds of endpoints, from the observations of VMs in other data
            centres.
    """

    vm: VmId
    incarnation: Incarnation
    number: int
    loads: Mapping[EndpointId, OwnLoad]
    has_local: bool
    work: Mapping[DcId, Mapping[ServiceId, float]]
    speeds: tuple[SpeedDigest, ...] = ()


@attrs.frozen
class RelayedView:
    """Updates that a VM read from a view of the metadata store.

    Attributes:
        vm: The VM that read them.
        start: Offset up to which the receiver must have read before.
        end: Offset up to which it has read afterwards.
        era: The metadata store's era in which they were read.
        is_snapshot: Whether the records are the view's entire contents.
        receiver_time: Loop time that the receiver had reached when the read was
            issued, as known from its hint, in s; 0 if unknown.
        receiver_incarnation: Incarnation to which that time belongs.
    """

    vm: VmId
    view: str
    start: int
    end: int
    records: tuple[RawRecord, ...]
    era: int = 0
    is_snapshot: bool = False
    receiver_time: float = 0.0
    receiver_incarnation: Incarnation = NO_INCARNATION


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


# `since` of a request for all contents of a store.
ALL_CONTENTS: Final = -1


@attrs.frozen
class StoreSnapshotRequest:
    """A request of a VM for the contents of a KV cache store.

    Attributes:
        epoch: The store's epoch, if only later events are requested.
        since: Number of the first event that is requested; `ALL_CONTENTS` for
            a snapshot.
    """

    vm: VmId
    store: ServiceId
    epoch: int = 0
    since: int = ALL_CONTENTS


@attrs.frozen
class StreamOrigins:
    """Streams that began at endpoints of one service and one build.

    Attributes:
        build: Version of the endpoints' software.
        attempts: 64-bit hashes of the attempts that brought the first events.
    """

    service: ServiceId
    build: str
    attempts: tuple[int, ...]


@attrs.frozen
class OriginQuestion:
    """A request of a VM for the origins of streams.

    Attributes:
        attempts: 64-bit hashes of the attempts that brought the first events.
    """

    vm: VmId
    attempts: tuple[int, ...]


@attrs.frozen
class InvalidMessage:
    """Reason why a payload is not a valid message."""

    reason: str


PeerMessage = (Hint | DcLoad | LoadTotals | RelayedView | RelayedStore |
               StoreBatch | StoreSnapshotRequest | StreamOrigins |
               OriginQuestion)


def encode(message: PeerMessage) -> bytes:
    """Encode a message."""
    root = _MESSAGE.new_message()
    if isinstance(message, Hint):
        _write_hint(root.init('hint'), message)
    elif isinstance(message, DcLoad):
        _write_load_report(root.init('dcLoad'), message,
                           {message.dc: message.work})
    elif isinstance(message, LoadTotals):
        row = root.init('totals')
        row.hasLocal = message.has_local
        _write_load_report(row, message, message.work)
    elif isinstance(message, RelayedView):
        _write_view(root.init('relay'), message)
    elif isinstance(message, RelayedStore):
        _write_store(root.init('relay'), message)
    elif isinstance(message, StoreBatch):
        rows = root.init('relays', len(message.relays))
        for row, relay in zip(rows, message.relays):
            _write_store(row, relay)
    elif isinstance(message, StreamOrigins):
        row = root.init('origins')
        row.service, row.build = message.service, message.build
        row.attempts = list(message.attempts)
    elif isinstance(message, OriginQuestion):
        row = root.init('wantOrigins')
        row.vm, row.attempts = message.vm, list(message.attempts)
    else:
        request = root.init('wantStore')
        request.vm, request.store = message.vm, message.store
        request.epoch, request.since = message.epoch, message.since
    encoded: bytes = root.to_bytes_packed()
    return encoded


def _write_hint(row: Any, hint: Hint) -> None:
    row.vm, row.life, row.number = hint.vm, hint.incarnation, hint.number
    row.isCutOff, row.era = hint.cannot_read, hint.era
    row.askedAtS, row.answersAtS = hint.asked_at, hint.answers_at
    row.sentAtS = hint.sent_at
    for version, stated in zip(row.init('versions', len(hint.versions)),
                               hint.versions):
        version.model, version.version = stated.model, stated.version
        version.ageS, version.isPrecise = stated.age_s, stated.precise
    _write_loads(row, hint.loads)
    _write_work(row, {NO_DC: hint.work})
    rows = row.init('leaving', len(hint.leaving))
    for each, (endpoint, started_ms) in zip(rows, hint.leaving.items()):
        each.endpoint, each.startedMs = endpoint, started_ms
    _write_speeds(row, hint.speeds)
    _write_suspects(row, hint)
    rows = row.init('reached', len(hint.weights_loaded))
    for each, loaded in zip(rows, hint.weights_loaded):
        each.endpoint, each.model = loaded.endpoint, loaded.model
        each.version = loaded.version


def _write_suspects(row: Any, hint: Hint) -> None:
    rows = row.init('suspects', len(hint.suspects))
    for each, broken in zip(rows, hint.suspects):
        each.fingerprint, each.endpoint = broken.fingerprint, broken.endpoint
        each.parts = list(broken.parts)
        each.sentAgoMs = _to_ms(broken.sent_ago_s)
        each.brokenAgoMs = _to_ms(broken.broken_ago_s)
    row.cleared = list(hint.cleared)
    rows = row.init('quarantined', len(hint.quarantined))
    for each, (suspect, idle_s) in zip(rows, hint.quarantined.items()):
        each.suspect, each.idleMs = suspect, _to_ms(idle_s)


def _to_ms(seconds: float) -> int:
    return min(2**32 - 1, max(0, round(seconds * MS_PER_S)))


def _write_loads(row: Any, loads: Mapping[EndpointId, OwnLoad]) -> None:
    rows = row.init('loads', len(loads))
    for each, (endpoint, load) in zip(rows, loads.items()):
        each.endpoint = endpoint
        each.pendingTokens = load.pending_tokens
        each.memoryTokens = load.memory_tokens
        each.requests = min(MAX_REQUESTS, load.requests)
        each.awayMs = min(MAX_DURATION_MS,
                          max(0, round(load.cooldown_s * MS_PER_S)))
        each.isUnreached = load.is_unreached


def _write_work(row: Any, work: Mapping[DcId, Mapping[ServiceId,
                                                      float]]) -> None:
    entries = [(dc, service, tokens_per_s)
               for dc, services in work.items()
               for service, tokens_per_s in (services or {
                   NO_SERVICE: 0
               }).items()]
    for each, entry in zip(row.init('work', len(entries)), entries):
        each.dc, each.service = entry[:2]
        each.tokensPerS = min(MAX_TOKENS_PER_S, round(entry[2]))


def _write_load_report(row: Any, report: DcLoad | LoadTotals,
                       work: Mapping[DcId, Mapping[ServiceId, float]]) -> None:
    row.vm, row.life, row.number = report.vm, report.incarnation, report.number
    _write_loads(row, report.loads)
    _write_work(row, work)
    _write_speeds(row, report.speeds)


def _write_speeds(row: Any, speeds: tuple[SpeedDigest, ...]) -> None:
    if not speeds:
        # An empty list would take 8 bytes, unlike one that is not set.
        return
    for each, digest in zip(row.init('speeds', len(speeds)), speeds):
        each.endpoint, each.startedMs = digest.endpoint, digest.started_ms
        rows = each.init('ranges', len(digest.ranges))
        for entry, (number, sums) in zip(rows, digest.ranges.items()):
            weight = max(sums.weight, 1.0 / HUNDREDTHS)
            entry.range, entry.weight = number, _to_hundredths(weight)
            entry.ratio = _to_hundredths(sums.ratios / weight)
            entry.reported = _to_hundredths(sums.reports / weight)


def _to_hundredths(value: float) -> int:
    return min(MAX_UINT16, max(0, round(value * HUNDREDTHS)))


def _read_speeds(row: Any) -> tuple[SpeedDigest, ...]:
    return tuple(
        SpeedDigest(EndpointId(each.endpoint), each.startedMs,
                    {entry.range: _read_sum(entry)
                     for entry in each.ranges})
        for each in row.speeds)


def _read_sum(row: Any) -> SpeedSum:
    weight = row.weight / HUNDREDTHS
    return SpeedSum(weight, weight * row.ratio / HUNDREDTHS,
                    weight * row.reported / HUNDREDTHS)


def _write_view(row: Any, relay: RelayedView) -> None:
    row.vm, row.subject = relay.vm, relay.view
    row.start, row.end = relay.start, relay.end
    row.era, row.whole = relay.era, relay.is_snapshot
    row.receiverTimeS = relay.receiver_time
    row.receiverLife = relay.receiver_incarnation
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
        if kind == 'dcLoad':
            return _read_dc_load(root.dcLoad)
        if kind == 'totals':
            return _read_totals(root.totals)
        if kind == 'relay':
            row = root.relay
            return _read_store(row) if row.isStore else _read_view(row)
        if kind == 'relays':
            return StoreBatch(tuple(_read_store(row) for row in root.relays))
        if kind == 'origins':
            row = root.origins
            return StreamOrigins(ServiceId(row.service), str(row.build),
                                 tuple(int(each) for each in row.attempts))
        if kind == 'wantOrigins':
            row = root.wantOrigins
            return OriginQuestion(VmId(row.vm),
                                  tuple(int(each) for each in row.attempts))
        request = root.wantStore
        return StoreSnapshotRequest(VmId(request.vm), ServiceId(request.store),
                                    request.epoch, request.since)
    except (capnp.KjException, ValueError) as error:
        return InvalidMessage(str(error))


def _read_loads(row: Any) -> dict[EndpointId, OwnLoad]:
    return {
        EndpointId(each.endpoint):
            OwnLoad(each.pendingTokens, each.memoryTokens, each.requests,
                    each.awayMs / MS_PER_S, each.isUnreached)
        for each in row.loads
    }


def _read_work(row: Any) -> dict[DcId, dict[ServiceId, float]]:
    work: dict[DcId, dict[ServiceId, float]] = {}
    for each in row.work:
        services = work.setdefault(DcId(each.dc), {})
        if each.service:
            services[ServiceId(each.service)] = float(each.tokensPerS)
    return work


def _read_dc_load(row: Any) -> DcLoad | InvalidMessage:
    work = _read_work(row)
    if len(work) != 1:
        return InvalidMessage(f'load of {len(work)} data centres, not of 1')
    dc = next(iter(work))
    return DcLoad(VmId(row.vm), Incarnation(row.life), row.number, dc,
                  _read_loads(row), work[dc], _read_speeds(row))


def _read_totals(row: Any) -> LoadTotals:
    return LoadTotals(VmId(row.vm), Incarnation(row.life), row.number,
                      _read_loads(row), row.hasLocal, _read_work(row),
                      _read_speeds(row))


def _read_hint(row: Any) -> Hint:
    loads = _read_loads(row)
    suspects = tuple(
        BrokenSendReport(str(each.fingerprint), EndpointId(each.endpoint),
                         tuple(str(part)
                               for part in each.parts), each.sentAgoMs /
                         MS_PER_S, each.brokenAgoMs / MS_PER_S)
        for each in row.suspects)
    weights_loaded = tuple(
        WeightsLoaded(EndpointId(each.endpoint), ModelId(each.model),
                      each.version) for each in row.reached)
    return Hint(
        VmId(row.vm), Incarnation(row.life), row.number, loads, suspects,
        weights_loaded, row.isCutOff,
        _read_work(row).get(NO_DC, {}),
        {EndpointId(each.endpoint): each.startedMs for each in row.leaving},
        row.era, row.askedAtS, row.answersAtS,
        tuple(
            VersionAge(ModelId(each.model), each.version, each.ageS,
                       each.isPrecise) for each in row.versions),
        tuple(Suspect(str(each)) for each in row.cleared), {
            Suspect(str(each.suspect)): each.idleMs / MS_PER_S
            for each in row.quarantined
        }, row.sentAtS, _read_speeds(row))


def _read_view(row: Any) -> RelayedView:
    records = tuple(
        RawRecord(str(each.key), None if each.isDropped else bytes(each.value))
        for each in row.records)
    return RelayedView(VmId(row.vm), str(row.subject), row.start, row.end,
                       records, row.era, row.whole, row.receiverTimeS,
                       Incarnation(row.receiverLife))


def _read_store(row: Any) -> RelayedStore:
    parts = tuple((StoredPart(str(each.salt), str(each.id)), int(each.tokens))
                  for each in row.parts)
    return RelayedStore(VmId(row.vm), ServiceId(row.subject), row.epoch,
                        row.start, row.end, row.whole, row.lost, parts,
                        row.clockMs)
