"""Quarantine of requests that crash the endpoints that run them.

Every request that was running on an endpoint when it crashed becomes a suspect,
although most did not cause the crash. A suspect is identified by a fingerprint
of its content, since a resend has a new id. VMs report their suspects to one
another at once. Each VM then retries its own suspects in isolation: one at a
time, on an endpoint that runs no other suspect. Meanwhile no other VM runs a
request with the same fingerprint. After a second crash the request is
quarantined: every VM refuses it until it has not been sent for `RETENTION_S`.
"""

import enum
import hashlib
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge import gossip, suspect_report
from plantainridge.calls import Attempt, Call
from plantainridge.config import EndpointKind
from plantainridge.endpoints import UNKNOWN_VERSION
from plantainridge.events import ModelCalled
from plantainridge.gossip import Topic
from plantainridge.ids import EndpointId, RequestId, VmId
from plantainridge.lifecycles import RequestPhase
from plantainridge.loop.effects import Effect, LogLine
from plantainridge.loop.events import PeerMessageReceived, TimerFired
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.suspect_report import (CrashCount, InvalidReport,
                                          SuspectReport)

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Crashes, as seen by all VMs together, after which a request is quarantined.
MAX_CRASHES: Final = 2
# Delay of an isolated retry, in s, so that the report of the suspect reaches
# all VMs first. Crashes of one endpoint within it count as one incident.
ISOLATION_DELAY_S: Final = 0.6
# Delay between isolated retries of VMs assigned to the same endpoint, in s.
VM_STAGGER_S: Final = 3.0
# A suspect is cleared once it has run this much longer than before its crash,
# in s.
CLEAR_MARGIN_S: Final = 1.0
# A suspect or quarantined request that has not been sent for this long, in s,
# is removed.
RETENTION_S: Final = 600.0
# Most suspects held at once; the oldest are dropped.
MAX_SUSPECTS: Final = 1_024
# Crash counts in one report.
MAX_REPORT_ROWS: Final = 16
# Age after which another VM's report expires, in s.
REPORT_MAX_AGE_S: Final = 30.0
# Interval at which a VM with suspects in flight repeats its report, in s.
REPORT_INTERVAL_S: Final = 10.0
RETRY_AFTER_S: Final = 3.0
# How long a suspect waits for its isolated retry, in s.
ISOLATION_WAIT_TIMEOUT_S: Final = 60.0
_DIGEST_BYTES: Final = 8


class Verdict(enum.Enum):
    """What happens to a request whose endpoint crashed."""

    ISOLATE = 'try_apart'
    QUARANTINED = 'convicted'


@attrs.define
class Suspect:
    """A request that may crash endpoints.

    Attributes:
        crashes: Number of crashes of each endpoint, by the VM that saw them.
        in_flight_at: Loop time at which each other VM last reported such a
            request in flight, in s.
        seen_at: Loop time at which it was last sent or reported, in s.
        crashed_endpoint: Endpoint of the last crash that this VM saw.
        crashed_at: Loop time of that crash, in s.
        ran_s: How long the request had run there, in s.
    """

    crashes: dict[VmId, dict[EndpointId, int]] = attrs.field(factory=dict)
    in_flight_at: dict[VmId, float] = attrs.field(factory=dict)
    seen_at: float = 0.0
    crashed_endpoint: EndpointId = EndpointId('')
    crashed_at: float = 0.0
    ran_s: float = 0.0

    @property
    def crash_count(self) -> int:
        """Number of crashes; a crash that several VMs saw counts once."""
        max_counts: dict[EndpointId, int] = {}
        for crash_counts in self.crashes.values():
            for endpoint, count in crash_counts.items():
                max_counts[endpoint] = max(count, max_counts.get(endpoint, 0))
        return sum(max_counts.values())

    def record_crash(self, vm: VmId, attempt: Attempt, now: float) -> None:
        """Count a crash; copies that ran there together count once."""
        crash_counts = self.crashes.setdefault(vm, {})
        already_counted = (self.crashed_endpoint == attempt.endpoint and
                           attempt.started_at <= self.crashed_at)
        if not already_counted:
            crash_counts[attempt.endpoint] = crash_counts.get(
                attempt.endpoint, 0) + 1
        self.seen_at = self.crashed_at = now
        self.crashed_endpoint = attempt.endpoint
        self.ran_s = now - attempt.started_at


@attrs.define
class IsolatedRetry:
    """A new attempt of a suspect on an endpoint that runs no other suspect."""

    request: RequestId
    fingerprint: str
    endpoint: EndpointId
    started_at: float


@attrs.define
class QuarantineState:
    """Suspects, and the isolated retry of this VM.

    Attributes:
        suspects: Suspects and quarantined requests by fingerprint.
        retry: The isolated retry that runs now, or None.
        peer_retries: Endpoints of the isolated retries of other VMs.
        payloads: The last report applied of each other VM, as received.
        reported_at: Loop time of this VM's last report, in s.
    """

    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    retry: IsolatedRetry | None = None
    peer_retries: frozenset[EndpointId] = frozenset()
    payloads: dict[VmId, bytes] = attrs.field(factory=dict)
    reported_at: float = 0.0


def fingerprint_of(arrival: ModelCalled) -> str:
    """Return an id that a request shares with its resends."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (arrival.team, arrival.model, arrival.prompt.text):
        data = part.encode()
        digest.update(len(data).to_bytes(8, 'big'))
        digest.update(data)
    return digest.hexdigest()


def refuse_suspect(state: 'VmState', arrival: ModelCalled,
                   now: float) -> Refusal | None:
    """Return the refusal of a request that is a known suspect, or None.

    A suspect that is not quarantined is refused while a copy is in flight.
    """
    if not state.quarantine.suspects:
        return None
    fingerprint = fingerprint_of(arrival)
    suspect = state.quarantine.suspects.get(fingerprint)
    if suspect is None:
        return None
    suspect.seen_at = now
    if suspect.crash_count >= MAX_CRASHES:
        return quarantined_refusal(RanState.NOT_RUN)
    in_flight_elsewhere = any(
        now - at <= REPORT_MAX_AGE_S for at in suspect.in_flight_at.values())
    if not in_flight_elsewhere and fingerprint not in _in_flight_suspects(
            state):
        return None
    return Refusal(Reason.QUARANTINED,
                   RanState.NOT_RUN,
                   'a like request is being tried after a crash',
                   retry_after_s=RETRY_AFTER_S)


def adopt(state: 'VmState', call: Call, now: float) -> bool:
    """Take over a suspect that no VM has in flight.

    The caller must call `publish_report` afterwards.

    Returns:
        Whether the call is a suspect.
    """
    if not state.quarantine.suspects:
        return False
    assert isinstance(call.arrival, ModelCalled)
    fingerprint = fingerprint_of(call.arrival)
    suspect = state.quarantine.suspects.get(fingerprint)
    if suspect is None:
        return False
    call.suspect = fingerprint
    suspect.crashed_at = now
    return True


def _in_flight_suspects(state: 'VmState') -> set[str]:
    return {call.suspect for call in state.calls.calls.values()}


def quarantined_refusal(ran: RanState) -> Refusal:
    """Return the refusal of a quarantined request."""
    return Refusal(Reason.QUARANTINED, ran,
                   f'the request crashed {MAX_CRASHES} endpoints')


def record_crash(state: 'VmState', call: Call, attempt: Attempt,
                 now: float) -> Verdict:
    """Count a crash of the endpoint that ran a call.

    The caller must call `publish_report` afterwards.
    """
    assert isinstance(call.arrival, ModelCalled)
    table = state.quarantine
    fingerprint = fingerprint_of(call.arrival)
    call.suspect = fingerprint
    suspect = table.suspects.setdefault(fingerprint, Suspect())
    suspect.record_crash(state.vm, attempt, now)
    retry = table.retry
    if retry is not None and retry.request == call.arrival.request:
        table.retry = None
    if suspect.crash_count < MAX_CRASHES:
        return Verdict.ISOLATE
    _clear_suspects_of_same_crash(state, fingerprint, suspect)
    return Verdict.QUARANTINED


def _clear_suspects_of_same_crash(state: 'VmState', fingerprint: str,
                                  culprit: Suspect) -> None:
    """Clear suspects of the crash that led to a request's quarantine.

    That crash is attributed to the quarantined request.
    """
    for other, suspect in list(state.quarantine.suspects.items()):
        if (other != fingerprint and
                suspect.crashed_endpoint == culprit.crashed_endpoint and
                culprit.crashed_at - suspect.crashed_at < ISOLATION_DELAY_S):
            _clear(state, other)


def publish_report(state: 'VmState', now: float) -> Iterator[Effect]:
    """Send this VM's suspects and its isolated retry to all VMs at once."""
    table = state.quarantine
    table.reported_at = now
    in_flight = _in_flight_suspects(state)
    rows = [
        CrashCount(fingerprint, vm, endpoint, count, vm == state.vm and
                   fingerprint in in_flight)
        for fingerprint, suspect in table.suspects.items()
        for vm, crash_counts in suspect.crashes.items()
        for endpoint, count in crash_counts.items()
        if vm == state.vm or suspect.crash_count >= MAX_CRASHES
    ]
    rows += [
        CrashCount(fingerprint, state.vm, EndpointId(''), 0, True)
        for fingerprint in in_flight
        if fingerprint in table.suspects and
        state.vm not in table.suspects[fingerprint].crashes
    ]
    endpoints = (table.retry.endpoint,) if table.retry is not None else ()
    report = SuspectReport(tuple(rows[-MAX_REPORT_ROWS:]), endpoints)
    gossip.publish(state, Topic.SUSPECTS, suspect_report.encode(report))
    yield from gossip.broadcast(state, Topic.SUSPECTS)


def isolated_endpoint(state: 'VmState', call: Call, now: float) -> EndpointId:
    """Return the endpoint for a suspect's isolated retry, or an empty id.

    The id is empty while the suspect must wait. VMs are assigned to endpoints
    by their order, which keeps the isolated retries of different VMs apart.
    """
    table = state.quarantine
    suspect = table.suspects.get(call.suspect)
    if (suspect is None or table.retry is not None or
            _next_suspect(state) != call.suspect):
        return EndpointId('')
    assert isinstance(call.arrival, ModelCalled)
    available_endpoints = [
        view.id
        for view in state.endpoints.values()
        if view.endpoint.kind is EndpointKind.ENGINE and
        view.endpoint.serves == call.arrival.model and view.takes_work(now) and
        view.id != suspect.crashed_endpoint and view.version in (
            call.arrival.version, UNKNOWN_VERSION)
    ]
    if not available_endpoints:
        return EndpointId('')
    vms = sorted({state.vm, *state.members.listed})
    round_index, endpoint_index = divmod(vms.index(state.vm),
                                         len(available_endpoints))
    if now < (suspect.crashed_at + ISOLATION_DELAY_S +
              round_index * VM_STAGGER_S):
        return EndpointId('')
    endpoint = available_endpoints[endpoint_index]
    return EndpointId('') if endpoint in table.peer_retries else endpoint


def _next_suspect(state: 'VmState') -> str:
    """Return the waiting suspect that ran for the shortest time."""
    table = state.quarantine
    waiting = [
        call.suspect
        for call in state.calls.calls.values()
        if call.suspect in table.suspects and call.phase is RequestPhase.WAITING
    ]
    return min(waiting,
               key=lambda fingerprint:
               (table.suspects[fingerprint].ran_s, fingerprint),
               default='')


def record_isolated_retry(state: 'VmState', call: Call, endpoint: EndpointId,
                          now: float) -> None:
    """Record the start of an isolated retry.

    The caller must call `publish_report` afterwards.
    """
    state.quarantine.retry = IsolatedRetry(call.arrival.request, call.suspect,
                                           endpoint, now)


def record_closed(state: 'VmState', call: Call, complete: bool,
                  now: float) -> Iterator[Effect]:
    """Clear a suspect with a complete answer, or let other VMs run it."""
    if call.suspect in state.quarantine.suspects:
        if complete:
            _clear(state, call.suspect)
        yield from publish_report(state, now)


def on_peer_message(state: 'VmState', event: PeerMessageReceived,
                    now: float) -> Iterator[Effect]:
    """Apply other VMs' suspect reports as soon as they arrive."""
    del event
    _apply_reports(state, now)
    yield from ()


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Apply reports and clear or drop suspects that are due."""
    del event
    table = state.quarantine
    _apply_reports(state, now)
    retry = table.retry
    if now - table.reported_at >= REPORT_INTERVAL_S and _in_flight_suspects(
            state) & table.suspects.keys():
        yield from publish_report(state, now)
    if retry is not None and _has_ended(state, retry, now):
        table.retry = None
        yield from publish_report(state, now)
    for fingerprint, suspect in list(table.suspects.items()):
        if now - suspect.seen_at > RETENTION_S:
            del table.suspects[fingerprint]
            yield LogLine('suspect_forgotten', (('fingerprint', fingerprint),))
    for fingerprint in list(table.suspects)[:-MAX_SUSPECTS]:
        del table.suspects[fingerprint]


def _has_ended(state: 'VmState', retry: IsolatedRetry, now: float) -> bool:
    """Return whether a retry ended; clear its suspect if it ran enough."""
    call = state.calls.calls.get(retry.request)
    if call is None or call.phase is RequestPhase.WAITING:
        return True
    suspect = state.quarantine.suspects.get(retry.fingerprint)
    if suspect is None:
        return True
    min_run_s = suspect.ran_s + CLEAR_MARGIN_S
    if (call.phase is not RequestPhase.STREAMING or
            now - retry.started_at < min_run_s):
        return False
    _clear(state, retry.fingerprint)
    return True


def _clear(state: 'VmState', fingerprint: str) -> None:
    suspect = state.quarantine.suspects.get(fingerprint)
    if suspect is not None and suspect.crash_count < MAX_CRASHES:
        del state.quarantine.suspects[fingerprint]


def _apply_reports(state: 'VmState', now: float) -> None:
    table = state.quarantine
    received = dict(
        gossip.received_values(state, Topic.SUSPECTS, now, REPORT_MAX_AGE_S))
    peer_retries: set[EndpointId] = set()
    for vm, payload in received.items():
        report = suspect_report.decode(payload)
        if isinstance(report, InvalidReport):
            continue
        peer_retries.update(report.isolated_retries)
        if table.payloads.get(vm) == payload:
            continue
        table.payloads[vm] = payload
        _apply_report(state, vm, report, now)
    table.peer_retries = frozenset(peer_retries)


def _apply_report(state: 'VmState', vm: VmId, report: SuspectReport,
                  now: float) -> None:
    """Apply a report; suspects that its VM no longer reports are cleared."""
    table = state.quarantine
    reported = set()
    for row in report.counts:
        if row.vm == state.vm:
            continue
        reported.add(row.fingerprint)
        suspect = table.suspects.setdefault(row.fingerprint, Suspect())
        if row.crashes:
            crash_counts = suspect.crashes.setdefault(row.vm, {})
            crash_counts[row.endpoint] = max(row.crashes,
                                             crash_counts.get(row.endpoint, 0))
        if row.vm == vm:
            suspect.in_flight_at.pop(vm, None)
            if row.trying:
                suspect.in_flight_at[vm] = now
        suspect.seen_at = now
    for fingerprint, suspect in list(table.suspects.items()):
        if fingerprint in reported or suspect.crash_count >= MAX_CRASHES:
            continue
        suspect.in_flight_at.pop(vm, None)
        if suspect.crashes.pop(vm, None) and not suspect.crashes:
            del table.suspects[fingerprint]
