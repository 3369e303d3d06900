"""Suspects of endpoints' crashes, and the quarantine of those that cause them.

VMs share broken sends, answers that clear suspects, and the quarantine, since
requests that crash endpoints come at any VM.
"""

import hashlib
import math
from collections.abc import Generator, Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import crash_attribution, relays
from plantainridge.gateway.crash_attribution import (Crash, Suspect,
                                                     part_suspect,
                                                     request_suspect)
from plantainridge.gateway.events import Request
from plantainridge.gateway.requests import Attempt, Call
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
# Delay after which clearings are sent to all VMs, in s.
CLEARING_DELAY_S: Final = 0.3
# Time after which the quarantine is repeated to all VMs, in s.
REPEAT_INTERVAL_S: Final = 2.0
# The same per VM of the deployment, in s; the larger of both applies.
INTERVAL_PER_VM_S: Final = 0.05
# Delay after which the caller of a quarantined request may retry, in s.
RETRY_AFTER_S: Final = 5.0


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
    """

    crashed_at: float
    failed_probes: int = 0
    probe: RequestId | None = None
    probed_at: float = -math.inf

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


@attrs.define
class SuspectTable:
    """Recent crashes of endpoints and the quarantined suspects.

    Attributes:
        crashes: Recent crashes, oldest first.
        quarantine: Quarantined suspects.
        cleared_at: Loop times at which suspects were cleared lately, in s.
        answers: Number of answers to requests with a prompt.
        search_until: Loop time until which culprits are looked for, in s.
        searched_at: Loop time at which they were last looked for, in s.
        broken: Broken sends of this VM that are still to be sent to peers.
        cleared: Suspects that this VM cleared, still to be sent to peers.
        cleared_since: Loop time of the first of them, in s.
        is_unsent: Whether the quarantine is still to be sent to peers.
        sent_at: Loop time at which the quarantine was sent to all peers, in s.
    """

    crashes: list[Crash] = attrs.field(factory=list)
    quarantine: dict[Suspect, QuarantineEntry] = attrs.field(factory=dict)
    cleared_at: dict[Suspect, float] = attrs.field(factory=dict)
    answers: int = 0
    search_until: float = -math.inf
    searched_at: float = -math.inf
    broken: list[BrokenSend] = attrs.field(factory=list)
    cleared: dict[Suspect, None] = attrs.field(factory=dict)
    cleared_since: float = math.inf
    is_unsent: bool = False
    sent_at: float = -math.inf

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
        was_suspect = self.quarantine.pop(suspect, None) is not None
        for crash in self.crashes:
            if crash.sent_at.pop(suspect, None) is not None:
                was_suspect = True
        if was_suspect:
            self.cleared_at[suspect] = now
            self.search_until = now + SEARCH_S
        return was_suspect

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
        entry.crashed_at = max(entry.crashed_at, now - idle_s)
        return
    _quarantine(table, suspect, now - idle_s)
    yield LogLine('suspect_quarantined',
                  (('suspect', suspect), ('source', 'peer')))


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Quarantine culprits, and forget what is old."""
    table = state.suspects
    if (now < table.search_until and
            now - table.searched_at >= SEARCH_INTERVAL_S):
        yield from _quarantine_culprits(state, now)
    if table.crashes and now - table.crashes[0].at >= RETENTION_S:
        del table.crashes[0]
    for suspect, at in list(table.cleared_at.items()):
        if now - at >= CLEARED_S:
            del table.cleared_at[suspect]
    for suspect, entry in list(table.quarantine.items()):
        if now - entry.crashed_at >= FORGET_AFTER_S:
            del table.quarantine[suspect]
            yield _lifted_line(suspect, 'no crash')


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
