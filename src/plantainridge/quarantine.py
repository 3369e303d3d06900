"""Requests that crash the endpoints that run them.

Every request that ran on an endpoint as it crashed is a suspect, and most are
innocent. A suspect is known by its content, since a resend has a new id. VMs
tell one another at once whom they suspect; then each tries its own suspects
again, one at a time and on an endpoint that it shares with no other suspect.
Meanwhile no other VM runs a like request. A second crash convicts: the
request is refused everywhere until nobody has sent it for a while.
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

# Crashes of all VMs together after which a request is refused.
MAX_CRASHES: Final = 2
# Time for word of a suspect to reach all VMs before it is tried again, in s.
HOLD_S: Final = 0.6
# Time between the first trials of VMs that must share an endpoint, in s.
TURN_S: Final = 3.0
# How much longer than before its crash a suspect must run to be cleared, in s.
CLEAR_AFTER_S: Final = 1.0
# A convicted request is forgotten once it was not sent for this long, in s.
RETENTION_S: Final = 600.0
# Most suspects that are known at once.
MAX_SUSPECTS: Final = 1_024
# Rows of one message to other VMs.
MAX_ROWS: Final = 16
# Age up to which another VM's word on its trials counts, in s.
WORD_MAX_AGE_S: Final = 30.0
# Time after which a VM with suspects in flight says so again, in s.
SAY_AGAIN_S: Final = 10.0
RETRY_AFTER_S: Final = 3.0
# Longest that a suspect waits for its turn, in s.
ISOLATION_WAIT_TIMEOUT_S: Final = 60.0
_DIGEST_BYTES: Final = 8


class Verdict(enum.Enum):
    """What follows for a request whose endpoint crashed."""

    ISOLATE = 'try_apart'
    QUARANTINED = 'convicted'


@attrs.define
class Suspect:
    """A request that may crash endpoints.

    Attributes:
        crashes: Crashes of each endpoint by the VM that saw them.
        tried_by: Loop time at which each other VM last said that it has such
            a request in flight, in s.
        seen_at: Loop time at which it was last sent or told of, in s.
        crashed: Endpoint of the last crash that this VM saw.
        crashed_at: Loop time of that crash, in s.
        ran_s: How long it had run there, in s.
    """

    crashes: dict[VmId, dict[EndpointId, int]] = attrs.field(factory=dict)
    tried_by: dict[VmId, float] = attrs.field(factory=dict)
    seen_at: float = 0.0
    crashed: EndpointId = EndpointId('')
    crashed_at: float = 0.0
    ran_s: float = 0.0

    @property
    def crash_count(self) -> int:
        """Crashes under it; one that several VMs saw counts once."""
        most: dict[EndpointId, int] = {}
        for seen in self.crashes.values():
            for endpoint, count in seen.items():
                most[endpoint] = max(count, most.get(endpoint, 0))
        return sum(most.values())

    def record_crash(self, vm: VmId, attempt: Attempt, now: float) -> None:
        """Counts a crash; copies that ran there together count once."""
        seen = self.crashes.setdefault(vm, {})
        again = (self.crashed == attempt.endpoint and
                 attempt.started_at <= self.crashed_at)
        if not again:
            seen[attempt.endpoint] = seen.get(attempt.endpoint, 0) + 1
        self.seen_at = self.crashed_at = now
        self.crashed = attempt.endpoint
        self.ran_s = now - attempt.started_at


@attrs.define
class Trial:
    """A suspect's new attempt, apart from other suspects."""

    request: RequestId
    fingerprint: str
    endpoint: EndpointId
    started_at: float


@attrs.define
class QuarantineState:
    """Suspects by fingerprint, and this VM's trial.

    Attributes:
        trial: The suspect that this VM tries now, or None.
        taken: Endpoints on which other VMs try theirs.
        read: The last word that was read of each other VM.
        said_at: Loop time of this VM's last word, in s.
    """

    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    trial: Trial | None = None
    taken: frozenset[EndpointId] = frozenset()
    read: dict[VmId, bytes] = attrs.field(factory=dict)
    said_at: float = 0.0


def fingerprint(arrival: ModelCalled) -> str:
    """Returns what a request and its resends have in common."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (arrival.team, arrival.model, arrival.prompt.text):
        data = part.encode()
        digest.update(len(data).to_bytes(8, 'big'))
        digest.update(data)
    return digest.hexdigest()


def refuse_suspect(state: 'VmState', arrival: ModelCalled,
                   now: float) -> Refusal | None:
    """Returns the refusal of a known suspect, or None."""
    if not state.quarantine.suspects:
        return None
    name = fingerprint(arrival)
    suspect = state.quarantine.suspects.get(name)
    if suspect is None:
        return None
    suspect.seen_at = now
    if suspect.crash_count >= MAX_CRASHES:
        return quarantined_refusal(RanState.NOT_RUN)
    elsewhere = any(
        now - at <= WORD_MAX_AGE_S for at in suspect.tried_by.values())
    if not elsewhere and name not in _in_flight(state):
        return None
    return Refusal(Reason.QUARANTINED,
                   RanState.NOT_RUN,
                   'a like request is being tried after a crash',
                   retry_after_s=RETRY_AFTER_S)


def adopt(state: 'VmState', call: Call, now: float) -> bool:
    """Takes over a suspect that no VM tries; `say` must follow.

    Returns:
        Whether the call is a suspect.
    """
    if not state.quarantine.suspects:
        return False
    assert isinstance(call.arrival, ModelCalled)
    name = fingerprint(call.arrival)
    suspect = state.quarantine.suspects.get(name)
    if suspect is None:
        return False
    call.suspect = name
    suspect.crashed_at = now
    return True


def _in_flight(state: 'VmState') -> set[str]:
    return {call.suspect for call in state.calls.calls.values()}


def quarantined_refusal(ran: RanState) -> Refusal:
    """Returns the refusal of a request that crashed endpoints."""
    return Refusal(Reason.QUARANTINED, ran,
                   f'the request crashed {MAX_CRASHES} endpoints')


def record_crash(state: 'VmState', call: Call, attempt: Attempt,
                 now: float) -> Verdict:
    """Counts a crash under a call; `say` must follow."""
    assert isinstance(call.arrival, ModelCalled)
    table = state.quarantine
    name = fingerprint(call.arrival)
    call.suspect = name
    suspect = table.suspects.setdefault(name, Suspect())
    suspect.record_crash(state.vm, attempt, now)
    trial = table.trial
    if trial is not None and trial.request == call.arrival.request:
        table.trial = None
    if suspect.crash_count < MAX_CRASHES:
        return Verdict.ISOLATE
    _clear_neighbours(state, name, suspect)
    return Verdict.QUARANTINED


def _clear_neighbours(state: 'VmState', name: str, guilty: Suspect) -> None:
    """Clears this VM's suspects of the crash that convicted a request."""
    for other, suspect in list(state.quarantine.suspects.items()):
        if (other != name and suspect.crashed == guilty.crashed and
                guilty.crashed_at - suspect.crashed_at < HOLD_S):
            _clear(state, other)


def publish_report(state: 'VmState', now: float) -> Iterator[Effect]:
    """Tells all VMs at once of this VM's suspects and its trial."""
    table = state.quarantine
    table.said_at = now
    trying = _in_flight(state)
    rows = [
        CrashCount(name, vm, endpoint, count, vm == state.vm and name in trying)
        for name, suspect in table.suspects.items()
        for vm, seen in suspect.crashes.items()
        for endpoint, count in seen.items()
        if vm == state.vm or suspect.crash_count >= MAX_CRASHES
    ]
    rows += [
        CrashCount(name, state.vm, EndpointId(''), 0, True)
        for name in trying
        if name in table.suspects and
        state.vm not in table.suspects[name].crashes
    ]
    isolated_retries = (
        table.trial.endpoint,) if table.trial is not None else ()
    word = SuspectReport(tuple(rows[-MAX_ROWS:]), isolated_retries)
    gossip.publish(state, Topic.SUSPECTS, suspect_report.encode(word))
    yield from gossip.broadcast(state, Topic.SUSPECTS)


def isolated_endpoint(state: 'VmState', call: Call, now: float) -> EndpointId:
    """Returns where a suspect is tried now; empty while it must wait."""
    table = state.quarantine
    suspect = table.suspects.get(call.suspect)
    if (suspect is None or table.trial is not None or
            _first(state) != call.suspect):
        return EndpointId('')
    assert isinstance(call.arrival, ModelCalled)
    open_views = [
        view.id
        for view in state.endpoints.values()
        if view.endpoint.kind is EndpointKind.ENGINE and
        view.endpoint.serves == call.arrival.model and view.takes_work(now) and
        view.id != suspect.crashed and view.version in (call.arrival.version,
                                                        UNKNOWN_VERSION)
    ]
    if not open_views:
        return EndpointId('')
    vms = sorted({state.vm, *state.members.listed})
    turn, place = divmod(vms.index(state.vm), len(open_views))
    if now < suspect.crashed_at + HOLD_S + turn * TURN_S:
        return EndpointId('')
    endpoint = open_views[place]
    return EndpointId('') if endpoint in table.taken else endpoint


def _first(state: 'VmState') -> str:
    """Returns the waiting suspect that had run the shortest time."""
    table = state.quarantine
    waiting = [
        call.suspect
        for call in state.calls.calls.values()
        if call.suspect in table.suspects and call.phase is RequestPhase.WAITING
    ]
    return min(waiting,
               key=lambda name: (table.suspects[name].ran_s, name),
               default='')


def record_isolated_retry(state: 'VmState', call: Call, endpoint: EndpointId,
                          now: float) -> None:
    """Notes that a suspect is tried; `say` must follow."""
    state.quarantine.trial = Trial(call.arrival.request, call.suspect, endpoint,
                                   now)


def record_closed(state: 'VmState', call: Call, whole: bool,
                  now: float) -> Iterator[Effect]:
    """Clears a suspect whose whole answer came; else others may try it."""
    if call.suspect in state.quarantine.suspects:
        if whole:
            _clear(state, call.suspect)
        yield from publish_report(state, now)


def on_peer_message(state: 'VmState', event: PeerMessageReceived,
                    now: float) -> Iterator[Effect]:
    """Takes in at once whom other VMs suspect."""
    del event
    _hear(state, now)
    yield from ()


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Hears the other VMs, clears who ran long enough, forgets the old."""
    del event
    table = state.quarantine
    _hear(state, now)
    trial = table.trial
    if now - table.said_at >= SAY_AGAIN_S and _in_flight(
            state) & table.suspects.keys():
        yield from publish_report(state, now)
    if trial is not None and _over(state, trial, now):
        table.trial = None
        yield from publish_report(state, now)
    for name, suspect in list(table.suspects.items()):
        if now - suspect.seen_at > RETENTION_S:
            del table.suspects[name]
            yield LogLine('suspect_forgotten', (('fingerprint', name),))
    for name in list(table.suspects)[:-MAX_SUSPECTS]:
        del table.suspects[name]


def _over(state: 'VmState', trial: Trial, now: float) -> bool:
    """Whether a trial ended; clears the suspect if it ran long enough."""
    call = state.calls.calls.get(trial.request)
    if call is None or call.phase is RequestPhase.WAITING:
        return True
    suspect = state.quarantine.suspects.get(trial.fingerprint)
    if suspect is None:
        return True
    needed_s = suspect.ran_s + CLEAR_AFTER_S
    if (call.phase is not RequestPhase.STREAMING or
            now - trial.started_at < needed_s):
        return False
    _clear(state, trial.fingerprint)
    return True


def _clear(state: 'VmState', name: str) -> None:
    suspect = state.quarantine.suspects.get(name)
    if suspect is not None and suspect.crash_count < MAX_CRASHES:
        del state.quarantine.suspects[name]


def _hear(state: 'VmState', now: float) -> None:
    table = state.quarantine
    heard = dict(
        gossip.received_values(state, Topic.SUSPECTS, now, WORD_MAX_AGE_S))
    taken: set[EndpointId] = set()
    for vm, payload in heard.items():
        word = suspect_report.decode(payload)
        if isinstance(word, InvalidReport):
            continue
        taken.update(word.isolated_retries)
        if table.read.get(vm) == payload:
            continue
        table.read[vm] = payload
        _take(state, vm, word, now)
    table.taken = frozenset(taken)


def _take(state: 'VmState', vm: VmId, word: SuspectReport, now: float) -> None:
    """Takes counts in; what a VM no longer names of its own is cleared."""
    table = state.quarantine
    named = set()
    for row in word.counts:
        if row.vm == state.vm:
            continue
        named.add(row.fingerprint)
        suspect = table.suspects.setdefault(row.fingerprint, Suspect())
        if row.crashes:
            seen = suspect.crashes.setdefault(row.vm, {})
            seen[row.endpoint] = max(row.crashes, seen.get(row.endpoint, 0))
        if row.vm == vm:
            suspect.tried_by.pop(vm, None)
            if row.trying:
                suspect.tried_by[vm] = now
        suspect.seen_at = now
    for name, suspect in list(table.suspects.items()):
        if name in named or suspect.crash_count >= MAX_CRASHES:
            continue
        suspect.tried_by.pop(vm, None)
        if suspect.crashes.pop(vm, None) and not suspect.crashes:
            del table.suspects[name]
