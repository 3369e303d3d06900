"""Suspects of endpoints' crashes, and the quarantine of those that cause them.

VMs share broken sends, answers that clear suspects, and the quarantine, since
requests that crash endpoints come at any VM. The metadata store keeps the
crashes and the quarantine for VMs that start (see `suspect_history`).
"""

import hashlib
import math
from collections.abc import Generator, Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import crash_attribution, relays, suspect_history
from plantainridge.gateway import effects as fx
from plantainridge.gateway.crash_attribution import (Crash, Suspect,
                                                     part_suspect,
                                                     request_suspect)
from plantainridge.gateway.events import (AppendResult, RecordedQuarantine,
                                          Request, SuspectRecord,
                                          SuspectsFailed, SuspectsRead,
                                          SuspectsWritten)
from plantainridge.gateway.record_log import RecordCall
from plantainridge.gateway.requests import Attempt, Call
from plantainridge.gateway.suspect_history import SuspectHistory
from plantainridge.ids import EndpointId, RequestId, TeamId
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time within which broken sends of an endpoint belong to one crash, in s.
CRASH_SPAN_S: Final = 1.0
# Age at which a crash is forgotten, in s.
RETENTION_S: Final = 60.0
# Crashes stored; the oldest are evicted first.
MAX_CRASHES: Final = 64
# Time after a crash or clearing for which culprits are looked for, in s.
SEARCH_S: Final = 5.0
# Interval at which they are looked for, in s.
SEARCH_INTERVAL_S: Final = 0.2
# Time after the last crash with a quarantined suspect after which one request
# probes it, in s; doubles with each failed probe up to the maximum.
PROBE_AFTER_S: Final = 30.0
MAX_PROBE_AFTER_S: Final = 480.0
# Time after which a probe without result is repeated, in s.
PROBE_TIMEOUT_S: Final = 15.0
# Time after the last crash after which a quarantine is forgotten, in s.
FORGET_AFTER_S: Final = 1_200.0
# Quarantined suspects stored; the oldest are evicted first.
MAX_QUARANTINED: Final = 256
# Most quarantined suspects in a hint.
MAX_HINTED: Final = 64
# Time for which a cleared suspect is not quarantined by a peer's report, in s.
CLEARED_S: Final = 5.0
# Time for which a suspect that is no longer quarantined is not taken from an
# older record by VMs that start meanwhile.
LIFTED_S: Final = 60.0
# Delay after which clearings are sent to all VMs, in s.
CLEARING_DELAY_S: Final = 0.3
# Time after which the quarantine is repeated to all VMs, in s.
REPEAT_INTERVAL_S: Final = 2.0
# The same per VM of the deployment, in s; the larger of both applies.
INTERVAL_PER_VM_S: Final = 0.05
# Delay after which the caller of a quarantined request may retry, in s.
RETRY_AFTER_S: Final = 5.0
# Subject of the ranks by which writers of the record are elected.
RECORD_SUBJECT: Final = 'suspects'


@attrs.frozen
class BrokenSend:
    """A send during which an endpoint broke the connection.

    Attributes:
        fingerprint: Hash of its request.
        parts: Ids of the parts of its prompt, without the last.
        sent_at: Loop time of the send, in s.
        broken_at: Loop time at which the connection broke, in s.
    """

    fingerprint: str
    endpoint: EndpointId
    parts: tuple[str, ...]
    sent_at: float
    broken_at: float


@attrs.define
class QuarantineEntry:
    """A quarantined suspect.

    Attributes:
        crashed_at: Loop time of the last crash with it, in s.
        failed_probes: Probes that crashed an endpoint.
        probe: The request that probes whether it still crashes endpoints, or
            None.
        probed_at: Loop time of the probe, in s.
        is_recorded: Whether this VM only knows it from the record: the last
            crash may have been earlier, and an answer may have cleared it.
    """

    crashed_at: float
    failed_probes: int = 0
    probe: RequestId | None = None
    probed_at: float = -math.inf
    is_recorded: bool = False

    def admits(self, request: RequestId, rank: int, now: float) -> bool:
        """Return whether a request may be sent, as the only probe.

        Args:
            request: The request.
            rank: Rank of this VM for the suspect; VMs probe in turn.
            now: Loop time in s.
        """
        delay_s = min(MAX_PROBE_AFTER_S,
                      PROBE_AFTER_S * 2.0**min(self.failed_probes, 8))
        if now - self.crashed_at < delay_s * (1 + rank):
            return False
        if self.probe is None or now - self.probed_at >= PROBE_TIMEOUT_S:
            self.probe, self.probed_at = request, now
        return self.probe == request

    def record_crash(self, now: float) -> None:
        """Record a crash with the suspect."""
        self.failed_probes += now - self.crashed_at >= PROBE_AFTER_S
        self.crashed_at, self.probe = now, None
        self.is_recorded = False

    def record_report(self, crashed_at: float) -> None:
        """Record that a peer reports a crash with the suspect."""
        if self.is_recorded:
            self.crashed_at, self.is_recorded = crashed_at, False
        self.crashed_at = max(self.crashed_at, crashed_at)


@attrs.define
class SuspectTable:
    """Recent crashes of endpoints and the quarantined suspects.

    Attributes:
        crashes: Recent crashes, oldest first.
        quarantine: Quarantined suspects.
        cleared_at: Loop times at which suspects were cleared lately, in s.
        lifted_at: Loop times at which quarantines ended lately, in s.
        answers: Number of answers to requests with a prompt.
        search_until: Loop time until which culprits are looked for, in s.
        searched_at: Loop time at which they were last looked for, in s.
        broken: Broken sends of this VM that are still to be sent to peers.
        cleared: Suspects that this VM cleared, still to be sent to peers.
        cleared_since: Loop time of the first of them, in s.
        is_unsent: Whether the quarantine is still to be sent to peers.
        sent_at: Loop time at which the quarantine was sent to all peers, in s.
        history: The record in the metadata store.
    """

    crashes: list[Crash] = attrs.field(factory=list)
    quarantine: dict[Suspect, QuarantineEntry] = attrs.field(factory=dict)
    cleared_at: dict[Suspect, float] = attrs.field(factory=dict)
    lifted_at: dict[Suspect, float] = attrs.field(factory=dict)
    answers: int = 0
    search_until: float = -math.inf
    searched_at: float = -math.inf
    broken: list[BrokenSend] = attrs.field(factory=list)
    cleared: dict[Suspect, None] = attrs.field(factory=dict)
    cleared_since: float = math.inf
    is_unsent: bool = False
    sent_at: float = -math.inf
    history: SuspectHistory = attrs.field(factory=SuspectHistory)

    def add(self, broken: BrokenSend, now: float) -> Crash:
        """Add a broken send to the crash of its endpoint, and return that."""
        crash = next((each for each in reversed(self.crashes)
                      if each.endpoint == broken.endpoint and
                      abs(broken.broken_at - each.at) < CRASH_SPAN_S), None)
        if crash is None:
            crash = Crash(broken.endpoint, broken.broken_at, self.answers)
            self.crashes.append(crash)
            del self.crashes[:-MAX_CRASHES]
        request = request_suspect(broken.fingerprint)
        parts = tuple(part_suspect(part) for part in broken.parts)
        crash.parts_of[request] = parts
        for suspect in (request, *parts):
            crash.sent_at[suspect] = max(broken.sent_at,
                                         crash.sent_at.get(suspect, -math.inf))
            entry = self.quarantine.get(suspect)
            if entry is not None:
                entry.record_crash(now)
        self.search_until = now + SEARCH_S
        return crash

    def clear(self, suspect: Suspect, now: float) -> bool:
        """Clear a suspect of all crashes; return whether it was one."""
        was_suspect = self.lift(suspect, now)
        for crash in self.crashes:
            if crash.sent_at.pop(suspect, None) is not None:
                was_suspect = True
        if was_suspect:
            self.cleared_at[suspect] = now
            self.search_until = now + SEARCH_S
        return was_suspect

    def lift(self, suspect: Suspect, now: float) -> bool:
        """End a suspect's quarantine; return whether there was one."""
        if self.quarantine.pop(suspect, None) is None:
            return False
        self.lifted_at[suspect] = now
        return True

    def expire(self, now: float) -> None:
        """Forget crashes and clearings of long ago."""
        if self.crashes and now - self.crashes[0].at >= RETENTION_S:
            del self.crashes[0]
        for times, retention_s in ((self.cleared_at, CLEARED_S),
                                   (self.lifted_at, LIFTED_S)):
            for suspect, at in list(times.items()):
                if now - at >= retention_s:
                    del times[suspect]

    def queue_clearing(self, suspect: Suspect, now: float) -> None:
        """Queue the clearing of a suspect to be sent to peers."""
        self.cleared[suspect] = None
        self.cleared_since = min(self.cleared_since, now)

    def is_urgent(self, vm_count: int, now: float) -> bool:
        """Return whether a hint to all peers is due now."""
        interval_s = INTERVAL_PER_VM_S * vm_count
        return (bool(self.broken) or self.is_unsent or
                now - self.cleared_since >= max(CLEARING_DELAY_S, interval_s) or
                bool(self.quarantine) and
                now - self.sent_at >= max(REPEAT_INTERVAL_S, interval_s))

    def record_sent(self, now: float) -> None:
        """Record that everything was sent to all peers."""
        self.broken.clear()
        self.cleared.clear()
        self.cleared_since = math.inf
        self.is_unsent, self.sent_at = False, now

    def idle_times(self, now: float) -> dict[Suspect, float]:
        """Return the suspects to report as quarantined.

        Each is mapped to the time since the last crash with it, in s.
        """
        recent = sorted(self.quarantine.items(),
                        key=lambda item: item[1].crashed_at)
        return {
            suspect: max(0.0, now - entry.crashed_at)
            for suspect, entry in recent[-MAX_HINTED:]
            if not entry.is_recorded
        }

    def recorded(self) -> tuple[Suspect, ...]:
        """Return the suspects that this VM only knows from the record."""
        found = [
            suspect for suspect, entry in self.quarantine.items()
            if entry.is_recorded
        ]
        return tuple(found[-MAX_HINTED:])

    def recordable_quarantine(self,
                              now: float) -> dict[Suspect, RecordedQuarantine]:
        """Return the quarantine as the record states it."""
        return {
            suspect:
                RecordedQuarantine(max(0.0, now - entry.crashed_at),
                                   entry.failed_probes)
            for suspect, entry in self.quarantine.items()
            if len(suspect) <= suspect_history.MAX_NAME_CHARS
        }


def admits(state: 'GatewayState', call: Call, now: float) -> bool:
    """Return whether a request may be sent despite the quarantine."""
    quarantine = state.suspects.quarantine
    if not quarantine:
        return True
    is_admitted = True
    for suspect in _suspects_of(call):
        entry = quarantine.get(suspect)
        if entry is not None and not entry.admits(
                call.request.id, relays.rank(state, suspect), now):
            is_admitted = False
    return is_admitted


def record_break(state: 'GatewayState', call: Call, attempt: Attempt,
                 now: float) -> Iterator[Effect]:
    """Record that an endpoint broke the connection during a send."""
    broken = BrokenSend(call.fingerprint, attempt.endpoint,
                        tuple(part.id for part in call.request.parts[:-1]),
                        attempt.sent_at, now)
    state.suspects.broken.append(broken)
    crash = state.suspects.add(broken, now)
    if len(crash.parts_of) == 1:
        yield from _quarantine_culprits(state, now)


def record_answer(state: 'GatewayState', call: Call,
                  now: float) -> Iterator[Effect]:
    """Clear a request, and the parts of its prompt, after its answer."""
    table = state.suspects
    table.answers += bool(call.request.model)
    if not table.crashes and not table.quarantine:
        return
    for suspect in _suspects_of(call):
        was_suspect = yield from _clear(state, suspect, now)
        if was_suspect:
            table.queue_clearing(suspect, now)


def on_peer_break(state: 'GatewayState', broken: BrokenSend,
                  now: float) -> None:
    """Add a broken send that a peer reports."""
    state.suspects.add(broken, now)


def on_peer_cleared(state: 'GatewayState', suspect: Suspect,
                    now: float) -> Iterator[Effect]:
    """Clear a suspect that a peer has cleared."""
    yield from _clear(state, suspect, now)


def on_peer_quarantine(state: 'GatewayState', suspect: Suspect, idle_s: float,
                       now: float) -> Iterator[Effect]:
    """Quarantine a suspect that a peer reports, unless it was just cleared."""
    table = state.suspects
    if now - table.cleared_at.get(suspect, -math.inf) < CLEARED_S:
        table.queue_clearing(suspect, now)
        return
    entry = table.quarantine.get(suspect)
    if entry is not None:
        entry.record_report(now - idle_s)
        return
    _quarantine(table, suspect, now - idle_s)
    yield LogLine('suspect_quarantined',
                  (('suspect', suspect), ('source', 'peer')))


def on_peer_recorded(state: 'GatewayState', suspect: Suspect,
                     now: float) -> None:
    """Clear a suspect again that a peer took from an older record."""
    table = state.suspects
    if suspect in table.lifted_at:
        table.queue_clearing(suspect, now)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Quarantine culprits, forget what is old, and update the record."""
    table = state.suspects
    if (now < table.search_until and
            now - table.searched_at >= SEARCH_INTERVAL_S):
        yield from _quarantine_culprits(state, now)
    table.expire(now)
    for suspect, entry in list(table.quarantine.items()):
        if now - entry.crashed_at >= FORGET_AFTER_S:
            table.lift(suspect, now)
            yield _lifted_line(suspect, 'no crash')
    yield from update_record(state, now)


def is_record_awaited(state: 'GatewayState', now: float) -> bool:
    """Return whether requests wait for the first read of the record."""
    return state.ready and state.suspects.history.is_awaited(now)


def update_record(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Read the record once, and write it if it is this VM's turn."""
    table, history = state.suspects, state.suspects.history
    if state.ready and history.ready_at == math.inf:
        # The metadata store answers, perhaps again.
        history.ready_at, history.next_call_at = now, now
    if not history.may_call(now):
        return
    if not history.known:
        history.call_started_at = now
        yield fx.ReadSuspects()
        return
    era = state.views.era
    quarantine = table.recordable_quarantine(now)
    differs = history.differs(table.crashes, quarantine, era)
    history.observe(differs, now)
    # Before it knows the VMs, this one takes itself for the only VM.
    if (not differs or not history.may_write(now) or not state.peers or
            not relays.is_reader(state, RECORD_SUBJECT, now)):
        return
    call = history.writer_call(relays.data_centre_rank(state, RECORD_SUBJECT),
                               era, now)
    if call is not None:
        history.call_started_at, history.pending = now, None
    if call is RecordCall.READ:
        yield fx.ReadSuspects()
    elif call is RecordCall.WRITE:
        assert history.end is not None
        history.pending = suspect_history.next_record(table.crashes, quarantine,
                                                      era, now)
        yield fx.WriteSuspects(history.pending, history.end, era)


def on_record_read(state: 'GatewayState', event: SuspectsRead,
                   now: float) -> Iterator[Effect]:
    """Quarantine what the record names; after a start, add its crashes."""
    table, history = state.suspects, state.suspects.history
    history.call_started_at = None
    if event.era != state.views.era:
        history.delay_next_call(now)
        return
    if event.record != history.record:
        # Another VM has written it: this one waits again for its turn.
        history.observe(False, now)
    is_first, history.known = not history.known, True
    history.record, history.is_own = event.record, False
    history.end, history.end_era = event.end, event.era
    history.read_at, history.failures = now, 0
    if event.record is None:
        return
    yield from _apply_recorded_quarantine(table, event.record, now)
    if is_first:
        table.crashes.extend(
            suspect_history.missed_crashes(event.record, tuple(table.crashes),
                                           table.answers, RETENTION_S, now))
        table.crashes.sort(key=lambda crash: crash.at)
        table.search_until = now + SEARCH_S
        yield LogLine('suspects_read', (('crashes', len(table.crashes)),
                                        ('quarantined', len(table.quarantine))))


def on_record_failed(state: 'GatewayState', event: SuspectsFailed,
                     now: float) -> Iterator[Effect]:
    """Schedule another read."""
    history = state.suspects.history
    history.call_started_at = None
    history.delay_next_call(now)
    yield LogLine('suspects_unread', (('reason', event.reason),))


def on_record_written(state: 'GatewayState', event: SuspectsWritten,
                      now: float) -> Iterator[Effect]:
    """Record what was written; read the log if that is not certain."""
    history = state.suspects.history
    # Compared by identity: a write that was repeated has an equal record.
    if event.record is not history.pending:
        return
    history.call_started_at = history.pending = None
    if event.result is AppendResult.DONE and event.era == state.views.era:
        assert history.end is not None
        history.record, history.end = event.record, history.end + 1
        history.is_own, history.written_at = True, now
        history.failures = 0
        yield LogLine('suspects_recorded',
                      (('crashes', len(event.record.crashes)),
                       ('quarantined', len(event.record.quarantine))))
        return
    # A write without an answer may still take effect, and another VM may have
    # written: the log is read again before the next write.
    history.end = None
    if event.result is AppendResult.UNKNOWN:
        history.delay_next_call(now)
    yield LogLine('suspects_unwritten', (('reason', event.result.value),))


def _apply_recorded_quarantine(table: SuspectTable, record: SuspectRecord,
                               now: float) -> Iterator[Effect]:
    for suspect, recorded in record.quarantine.items():
        entry = table.quarantine.get(suspect)
        if entry is not None:
            entry.failed_probes = max(entry.failed_probes,
                                      recorded.failed_probes)
        elif (suspect not in table.lifted_at and
              suspect not in table.cleared_at and
              recorded.idle_s < FORGET_AFTER_S):
            _quarantine(table, suspect, now - max(0.0, recorded.idle_s))
            entry = table.quarantine[suspect]
            entry.failed_probes = recorded.failed_probes
            entry.is_recorded = True
            yield LogLine('suspect_quarantined',
                          (('suspect', suspect), ('source', 'record')))


def _clear(state: 'GatewayState', suspect: Suspect,
           now: float) -> Generator[Effect, None, bool]:
    """Clear a suspect; return whether it was one."""
    if suspect in state.suspects.quarantine:
        yield _lifted_line(suspect, 'answered')
    return state.suspects.clear(suspect, now)


def _quarantine_culprits(state: 'GatewayState', now: float) -> Iterator[Effect]:
    table = state.suspects
    table.searched_at = now
    for culprit in crash_attribution.find_culprits(table.crashes,
                                                   table.quarantine.keys(),
                                                   table.answers, now):
        _quarantine(table, culprit.suspect, now)
        table.is_unsent = True
        endpoints = ' '.join(crash.endpoint for crash in culprit.crashes)
        yield LogLine('suspect_quarantined',
                      (('suspect', culprit.suspect), ('source', 'crashes'),
                       ('endpoints', endpoints)))


def _quarantine(table: SuspectTable, suspect: Suspect,
                crashed_at: float) -> None:
    table.quarantine[suspect] = QuarantineEntry(crashed_at)
    table.lifted_at.pop(suspect, None)
    while len(table.quarantine) > MAX_QUARANTINED:
        oldest = min(table.quarantine.items(),
                     key=lambda item: item[1].crashed_at)
        del table.quarantine[oldest[0]]


def _lifted_line(suspect: Suspect, cause: str) -> LogLine:
    return LogLine('quarantine_lifted',
                   (('suspect', suspect), ('cause', cause)))


def _suspects_of(call: Call) -> tuple[Suspect, ...]:
    return (request_suspect(call.fingerprint),
            *(part_suspect(part.id) for part in call.request.parts[:-1]))


def fingerprint_of(team: TeamId | None, request: Request) -> str:
    """Return a hash of a request's team, method, host, target and body.

    It is the same for every resend of a request.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (team or '', request.method, request.host, request.target):
        digest.update(part.encode() + b'\0')
    digest.update(request.body)
    return digest.hexdigest()
