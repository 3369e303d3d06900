"""Messages between VMs and their Cap'n Proto encoding."""

from collections.abc import Mapping
from importlib import resources
from typing import Any, Final

import attrs
import capnp

from plantainridge.gateway.crash_attribution import Suspect
from plantainridge.gateway.endpoint_speed import SpeedDigest, SpeedSum
from plantainridge.gateway.events import Part, RawRecord, StoredPart
from plantainridge.gateway.stated_rates import RateReport
from plantainridge.gateway.versions import VersionAge
from plantainridge.ids import (DcId, EndpointId, Incarnation, ModelId,
                               ServiceId, TeamId, VmId)

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
        granted_pending_tokens: Share of `pending_tokens` in runs whose engine
            the current coordinator granted.
        granted_memory_tokens: The same share of `memory_tokens`.
        granted_requests: The same share of `requests`.
    """

    pending_tokens: int
    memory_tokens: int
    requests: int
    cooldown_s: float
    is_unreached: bool = False
    granted_pending_tokens: int = 0
    granted_memory_tokens: int = 0
    granted_requests: int = 0


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
        recorded: Quarantined suspects that the VM only knows from the record
            in the metadata store.
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
    recorded: tuple[Suspect, ...] = ()


@attrs.frozen
class DcLoad:
    """Load that the VMs of one data centre have in flight.

    Attributes:
        vm: The VM that summed their hints.
        number: Sequence number within one incarnation of that VM.
        loads: Load by endpoint, of endpoints in any data centre.
        work: Work that arrives there for each service, in tokens per s.
        coordinates: Whether the VM answers placement requests.
        speeds: Speeds of endpoints, from the observations of its VMs.
        absent: 32-bit hashes of its VMs that are listed and not live.
    """

    vm: VmId
    incarnation: Incarnation
    number: int
    dc: DcId
    loads: Mapping[EndpointId, OwnLoad]
    work: Mapping[ServiceId, float] = attrs.field(factory=dict)
    coordinates: bool = False
    speeds: tuple[SpeedDigest, ...] = ()
    absent: frozenset[int] = frozenset()


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
        coordinators: The VM of each data centre that answers placement
            requests, as far as known.
        speeds: Speeds of endpoints, from the observations of VMs in other data
            centres.
        absent: 32-bit hashes of the VMs of all these data centres that are
            listed and not live.
    """

    vm: VmId
    incarnation: Incarnation
    number: int
    loads: Mapping[EndpointId, OwnLoad]
    has_local: bool
    work: Mapping[DcId, Mapping[ServiceId, float]]
    coordinators: Mapping[DcId, VmId] = attrs.field(factory=dict)
    speeds: tuple[SpeedDigest, ...] = ()
    absent: frozenset[int] = frozenset()


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
        is_answer: Whether it answers a `ViewRequest`, with what the VM read at
            some earlier time.
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
    is_answer: bool = False


@attrs.frozen
class ViewRequest:
    """A request of a VM for the records of a view that it missed.

    Attributes:
        start: Offset up to which the VM has read.
        era: The metadata store's era to which that offset belongs.
    """

    vm: VmId
    view: str
    start: int
    era: int


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
        epoch_age_s: Time for which the store was known to be in its epoch when
            it answered, in s; a lower bound.
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
    epoch_age_s: float = 0.0


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
        address: Where the VM receives answers; '' for that of its entry.
    """

    vm: VmId
    attempts: tuple[int, ...]
    address: str = ''


@attrs.frozen
class PlacementRequest:
    """A request of a VM to a coordinator for an engine for a large prompt.

    Attributes:
        vm: The VM that sends it.
        incarnation: Incarnation of that VM's process.
        number: Unique within the incarnation; the same when it is repeated.
        team: The team's name; '' for a public request.
        is_isolated: Whether the team shares no cached parts with others.
        memory_tokens: Memory of the run when it ends, in tokens.
        urgency: Rank; 0 is the most urgent.
        target_s: Latency up to which the answer earns full credit, in s.
        waited_s: Time since the request arrived, in s.
        remaining_s: Time that is left until its deadline, in s.
        excluded: Engines that the VM cannot use for it.
        is_withdrawn: Whether the VM no longer needs an engine.
    """

    vm: VmId
    incarnation: Incarnation
    number: int
    service: ServiceId
    model: ModelId
    team: TeamId
    is_isolated: bool
    parts: tuple[Part, ...]
    prompt_tokens: int
    memory_tokens: int
    urgency: int
    target_s: float
    waited_s: float
    remaining_s: float
    excluded: tuple[EndpointId, ...] = ()
    is_withdrawn: bool = False


@attrs.frozen
class PlacementAnswer:
    """A coordinator's answer to a placement request.

    Without an engine, a refusal or a decline, the request is queued.

    Attributes:
        vm: The coordinator.
        coordinator_incarnation: Incarnation of the coordinator's process.
        incarnation: Incarnation in the request.
        number: Number of the request.
        endpoint: The granted engine, or None.
        cached_parts: Leading parts of the prompt that this engine is expected
            to have cached.
        retry_after_s: Time until a retry is worthwhile if the request is to be
            refused, in s; else None.
        is_declined: Whether the requesting VM has to decide by itself.
    """

    vm: VmId
    coordinator_incarnation: Incarnation
    incarnation: Incarnation
    number: int
    endpoint: EndpointId | None = None
    cached_parts: int = 0
    retry_after_s: float | None = None
    is_declined: bool = False


@attrs.frozen
class RunReport:
    """Progress of a run whose engine a coordinator granted.

    Attributes:
        vm: The VM that sent the run to the engine.
        incarnation: Incarnation of that VM's process.
        number: Number of its placement request.
        has_ended: Whether the run has ended; else its prompt was computed.
    """

    vm: VmId
    incarnation: Incarnation
    number: int
    has_ended: bool


@attrs.frozen
class RateReports:
    """Rates that endpoints in need stated.

    Attributes:
        vm: The VM that sends them.
        is_relayed: Whether it has them from VMs of other data centres.
    """

    vm: VmId
    is_relayed: bool
    rates: tuple[RateReport, ...]


@attrs.frozen
class InvalidMessage:
    """Reason why a payload is not a valid message."""

    reason: str


PeerMessage = (Hint | DcLoad | LoadTotals | RelayedView | ViewRequest |
               RelayedStore | StoreBatch | StoreSnapshotRequest |
               StreamOrigins | OriginQuestion | PlacementRequest |
               PlacementAnswer | RunReport | RateReports)


def encode(message: PeerMessage) -> bytes:
    """Encode a message."""
    root = _MESSAGE.new_message()
    if isinstance(message, Hint):
        _write_hint(root.init('hint'), message)
    elif isinstance(message, DcLoad):
        _write_load_report(
            root.init('dcLoad'), message, {message.dc: message.work},
            {message.dc: message.vm} if message.coordinates else {})
    elif isinstance(message, LoadTotals):
        row = root.init('totals')
        row.hasLocal = message.has_local
        _write_load_report(row, message, message.work, message.coordinators)
    elif isinstance(message, RelayedView):
        _write_view(root.init('relay'), message)
    elif isinstance(message, ViewRequest):
        row = root.init('wantView')
        row.vm, row.view = message.vm, message.view
        row.start, row.era = message.start, message.era
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
        row.address = message.address
    elif isinstance(message, PlacementRequest):
        _write_placement_request(root.init('wantPlacement'), message)
    elif isinstance(message, PlacementAnswer):
        _write_placement_answer(root.init('placement'), message)
    elif isinstance(message, RateReports):
        _write_rates(root.init('rates'), message)
    elif isinstance(message, RunReport):
        row = root.init('run')
        row.vm, row.life = message.vm, message.incarnation
        row.number, row.hasEnded = message.number, message.has_ended
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
    row.cleared, row.recorded = list(hint.cleared), list(hint.recorded)
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
        each.grantedPendingTokens = load.granted_pending_tokens
        each.grantedMemoryTokens = load.granted_memory_tokens
        each.grantedRequests = min(MAX_REQUESTS, load.granted_requests)


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
                       work: Mapping[DcId, Mapping[ServiceId, float]],
                       coordinators: Mapping[DcId, VmId]) -> None:
    row.vm, row.life, row.number = report.vm, report.incarnation, report.number
    _write_loads(row, report.loads)
    _write_work(row, work)
    _write_speeds(row, report.speeds)
    if report.absent:
        row.absentVms = sorted(report.absent)
    rows = row.init('coordinators', len(coordinators))
    for each, (dc, vm) in zip(rows, coordinators.items()):
        each.dc, each.vm = dc, vm


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


def _write_rates(row: Any, message: RateReports) -> None:
    row.vm, row.isRelayed = message.vm, message.is_relayed
    rows = row.init('rates', len(message.rates))
    for each, report in zip(rows, message.rates):
        each.endpoint, each.startedMs = report.endpoint, report.started_ms
        each.hasEnded = report.requests_per_s is None
        each.requestsPerS = report.requests_per_s or 0.0
        each.ageMs = _to_ms(report.age_s)


def _read_rates(row: Any) -> RateReports:
    rates = tuple(
        RateReport(EndpointId(each.endpoint), each.startedMs,
                   None if each.hasEnded else each.requestsPerS, each.ageMs /
                   MS_PER_S) for each in row.rates)
    return RateReports(VmId(row.vm), row.isRelayed, rates)


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


def _write_placement_request(row: Any, request: PlacementRequest) -> None:
    row.vm, row.life, row.number = (request.vm, request.incarnation,
                                    request.number)
    row.isWithdrawn = request.is_withdrawn
    row.service, row.model, row.team = (request.service, request.model,
                                        request.team)
    row.isIsolated, row.urgency = request.is_isolated, request.urgency
    row.promptTokens = request.prompt_tokens
    row.memoryTokens = request.memory_tokens
    row.targetMs = _to_ms(request.target_s)
    row.waitedMs = _to_ms(request.waited_s)
    row.remainingMs = _to_ms(request.remaining_s)
    for each, part in zip(row.init('parts', len(request.parts)), request.parts):
        each.id, each.tokens = part.id, part.tokens
    row.excluded = list(request.excluded)


def _write_placement_answer(row: Any, answer: PlacementAnswer) -> None:
    row.vm, row.coordinatorLife = answer.vm, answer.coordinator_incarnation
    row.life, row.number = answer.incarnation, answer.number
    row.endpoint = answer.endpoint or ''
    row.cachedParts = min(MAX_REQUESTS, answer.cached_parts)
    row.isRefused = answer.retry_after_s is not None
    row.retryAfterMs = _to_ms(answer.retry_after_s or 0.0)
    row.isDeclined = answer.is_declined


def _write_view(row: Any, relay: RelayedView) -> None:
    row.vm, row.subject = relay.vm, relay.view
    row.start, row.end = relay.start, relay.end
    row.era, row.whole = relay.era, relay.is_snapshot
    row.receiverTimeS = relay.receiver_time
    row.receiverLife = relay.receiver_incarnation
    row.isAnswer = relay.is_answer
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
    row.epochAgeMs = _to_ms(relay.epoch_age_s)
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
        if kind == 'rates':
            return _read_rates(root.rates)
        if kind == 'wantView':
            row = root.wantView
            return ViewRequest(VmId(row.vm), str(row.view), row.start, row.era)
        if kind == 'origins':
            row = root.origins
            return StreamOrigins(ServiceId(row.service), str(row.build),
                                 tuple(int(each) for each in row.attempts))
        if kind == 'wantOrigins':
            row = root.wantOrigins
            return OriginQuestion(VmId(row.vm),
                                  tuple(int(each) for each in row.attempts),
                                  str(row.address))
        if kind == 'wantPlacement':
            return _read_placement_request(root.wantPlacement)
        if kind == 'placement':
            return _read_placement_answer(root.placement)
        if kind == 'run':
            row = root.run
            return RunReport(VmId(row.vm), Incarnation(row.life), row.number,
                             row.hasEnded)
        request = root.wantStore
        return StoreSnapshotRequest(VmId(request.vm), ServiceId(request.store),
                                    request.epoch, request.since)
    except (capnp.KjException, ValueError) as error:
        return InvalidMessage(str(error))


def _read_loads(row: Any) -> dict[EndpointId, OwnLoad]:
    return {
        EndpointId(each.endpoint):
            OwnLoad(each.pendingTokens, each.memoryTokens, each.requests,
                    each.awayMs / MS_PER_S, each.isUnreached,
                    each.grantedPendingTokens, each.grantedMemoryTokens,
                    each.grantedRequests) for each in row.loads
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
                  _read_loads(row), work[dc],
                  len(row.coordinators) > 0, _read_speeds(row),
                  frozenset(row.absentVms))


def _read_totals(row: Any) -> LoadTotals:
    return LoadTotals(
        VmId(row.vm), Incarnation(row.life), row.number, _read_loads(row),
        row.hasLocal, _read_work(row),
        {DcId(each.dc): VmId(each.vm) for each in row.coordinators},
        _read_speeds(row), frozenset(row.absentVms))


def _read_placement_request(row: Any) -> PlacementRequest:
    return PlacementRequest(
        VmId(row.vm), Incarnation(row.life), row.number, ServiceId(row.service),
        ModelId(row.model), TeamId(row.team), row.isIsolated,
        tuple(Part(str(each.id), each.tokens) for each in row.parts),
        row.promptTokens, row.memoryTokens, row.urgency,
        row.targetMs / MS_PER_S, row.waitedMs / MS_PER_S,
        row.remainingMs / MS_PER_S,
        tuple(EndpointId(each) for each in row.excluded), row.isWithdrawn)


def _read_placement_answer(row: Any) -> PlacementAnswer:
    return PlacementAnswer(
        VmId(row.vm), Incarnation(row.coordinatorLife), Incarnation(row.life),
        row.number,
        EndpointId(row.endpoint) if row.endpoint else None, row.cachedParts,
        row.retryAfterMs / MS_PER_S if row.isRefused else None, row.isDeclined)


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
        }, row.sentAtS, _read_speeds(row),
        tuple(Suspect(str(each)) for each in row.recorded))


def _read_view(row: Any) -> RelayedView:
    records = tuple(
        RawRecord(str(each.key), None if each.isDropped else bytes(each.value))
        for each in row.records)
    return RelayedView(VmId(row.vm), str(row.subject), row.start, row.end,
                       records, row.era, row.whole, row.receiverTimeS,
                       Incarnation(row.receiverLife), row.isAnswer)


def _read_store(row: Any) -> RelayedStore:
    parts = tuple((StoredPart(str(each.salt), str(each.id)), int(each.tokens))
                  for each in row.parts)
    return RelayedStore(VmId(row.vm), ServiceId(row.subject), row.epoch,
                        row.start, row.end, row.whole, row.lost, parts,
                        row.clockMs, row.epochAgeMs / MS_PER_S)
