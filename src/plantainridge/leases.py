"""Leases that VMs claim, renew and release through the platform's log.

A holder measures its term by its own clock, starting before it sends a record,
and ends the term early by a margin for clock drift. Code that acts under a
lease calls `fence` with the time of the current event, so a process that was
paused beyond its term finds that it no longer holds the lease.
"""

import enum
import zlib
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge import lease_records as lr
from plantainridge.effects import AppendLog, ReadLog
from plantainridge.events import LogRead, LogReadFailed, Record, Stream
from plantainridge.loop.effects import Effect, LogLine
from plantainridge.loop.events import TimerFired
from plantainridge.loop.lifecycle import LifeCycle

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Part of the duration for which a holder relies on its own clock.
HOLDER_TERM_RATIO: Final = 0.8
RENEW_INTERVAL_S: Final = 5.0
# Claims of an available lease are delayed at random to avoid collisions.
MAX_CLAIM_DELAY_S: Final = 2.0
# A new reader starts at most this many records before the stream's end.
MAX_INITIAL_RECORDS: Final = 50
NO_FENCE: Final = -1
SHARD_COUNT: Final = 1 << 16


class LeasePhase(enum.Enum):
    """Phase of a lease on this VM."""

    IDLE = 'idle'
    CLAIMING = 'claiming'
    HELD = 'held'


LEASE_LIFECYCLE: Final = LifeCycle(LeasePhase, [
    ('claim', [LeasePhase.IDLE], LeasePhase.CLAIMING),
    ('win', [LeasePhase.CLAIMING], LeasePhase.HELD),
    ('lose', [LeasePhase.CLAIMING, LeasePhase.HELD], LeasePhase.IDLE),
])


@attrs.define
class Lease:
    """One lease that this VM follows.

    Attributes:
        name: Name of the lease.
        phase: Phase of the lease on this VM.
        wanted: Whether this VM is to hold the lease.
        history: The lease's records as applied so far.
        cursor: Offset to read from; None before the first answer.
        clock_offset_s: Log time less loop time at the last read, in s.
        claim_at: Loop time at which to claim, in s; None while the lease is
            not available.
        sent_at: Loop time in s at which each record of this VM that was not
            read back was sent, by the record's number.
        valid_until: Loop time at which this VM stops relying on the lease or
            abandons a claim, in s.
        renew_at: Loop time of the next renewal, in s.
        fence: Fencing token of this VM's term.
    """

    name: str
    phase: LeasePhase = LeasePhase.IDLE
    wanted: bool = False
    history: lr.LeaseHistory = attrs.field(factory=lr.LeaseHistory)
    cursor: int | None = None
    clock_offset_s: float = 0.0
    claim_at: float | None = None
    sent_at: dict[int, float] = attrs.field(factory=dict)
    valid_until: float = 0.0
    renew_at: float = 0.0
    fence: int = NO_FENCE


@attrs.define
class LeasesState:
    """All leases that this VM follows.

    Attributes:
        leases_by_shard: Leases by the shard of their stream.
        record_count: Records appended by this VM.
    """

    leases_by_shard: dict[int, Lease] = attrs.field(factory=dict)
    record_count: int = 0


def shard_of(name: str) -> int:
    """Return the shard of the lease stream that holds a lease's records."""
    return zlib.crc32(name.encode()) % SHARD_COUNT


def fence(state: 'VmState', name: str, now: float) -> int:
    """Return the fencing token of a lease this VM holds, or `NO_FENCE`."""
    lease = state.leases.leases_by_shard.get(shard_of(name))
    if lease is None or lease.phase is not LeasePhase.HELD:
        return NO_FENCE
    return lease.fence if now < lease.valid_until else NO_FENCE


def remaining_s(state: 'VmState', name: str, now: float) -> float:
    """Return how long this VM may still act under a lease, in s."""
    if fence(state, name, now) == NO_FENCE:
        return 0.0
    return state.leases.leases_by_shard[shard_of(name)].valid_until - now


def set_wanted(state: 'VmState', name: str, wanted: bool,
               now: float) -> Iterator[Effect]:
    """Claim a lease once it is available, or release it."""
    shard = shard_of(name)
    lease = state.leases.leases_by_shard.get(shard)
    if lease is None:
        if not wanted:
            return
        lease = state.leases.leases_by_shard[shard] = Lease(name)
        yield ReadLog(Stream.LEASES, shard, 0, wait=False)
    if lease.wanted and not wanted:
        yield from _release(state, lease)
    lease.wanted = wanted
    yield from _advance(state, lease, now)


def _advance(state: 'VmState', lease: Lease, now: float) -> Iterator[Effect]:
    if lease.phase is LeasePhase.HELD and now >= lease.valid_until:
        LEASE_LIFECYCLE.fire(lease, 'lose')
        yield LogLine('lease_lapsed', (('lease', lease.name),))
    if lease.phase is LeasePhase.HELD and now >= lease.renew_at:
        lease.renew_at = now + RENEW_INTERVAL_S
        yield _append_record(state, lease, lr.LeaseAct.RENEW, now)
    if lease.phase is LeasePhase.CLAIMING and now >= lease.valid_until:
        LEASE_LIFECYCLE.fire(lease, 'lose')
    if lease.phase is LeasePhase.IDLE and lease.wanted:
        yield from _claim_if_available(state, lease, now)


def _claim_if_available(state: 'VmState', lease: Lease,
                        now: float) -> Iterator[Effect]:
    history = lease.history
    log_time = now + lease.clock_offset_s
    if (history.complete_since is None or
            log_time - history.complete_since < lr.DURATION_S or
            not history.is_available(state.incarnation, log_time)):
        lease.claim_at = None
        return
    if lease.claim_at is None:
        lease.claim_at = now + state.rng.uniform(0.0, MAX_CLAIM_DELAY_S)
    if now < lease.claim_at:
        return
    lease.claim_at = None
    LEASE_LIFECYCLE.fire(lease, 'claim')
    lease.valid_until = now + lr.DURATION_S
    yield _append_record(state, lease, lr.LeaseAct.CLAIM, now)


def _release(state: 'VmState', lease: Lease) -> Iterator[Effect]:
    if lease.phase is LeasePhase.IDLE:
        return
    LEASE_LIFECYCLE.fire(lease, 'lose')
    yield _append_record(state, lease, lr.LeaseAct.RELEASE, 0.0)


def _append_record(state: 'VmState', lease: Lease, act: lr.LeaseAct,
                   now: float) -> AppendLog:
    state.leases.record_count += 1
    number = state.leases.record_count
    if act is not lr.LeaseAct.RELEASE:
        lease.sent_at[number] = now
    record = lr.LeaseRecord(lease.name, state.incarnation, act, number)
    return AppendLog(f'lease-{number}', Stream.LEASES, shard_of(lease.name),
                     (lr.encode(record),))


def on_log_read(state: 'VmState', event: LogRead,
                now: float) -> Iterator[Effect]:
    """Apply records of a lease and request the next ones."""
    lease = state.leases.leases_by_shard.get(event.shard)
    if event.stream is not Stream.LEASES or lease is None:
        return
    lease.clock_offset_s = event.at - now
    if lease.cursor is None or lease.cursor < event.first:
        _start_reading(lease, event)
    for record in event.records:
        if record.offset == lease.cursor:
            lease.cursor += 1
            yield from _apply_record(state, lease, record, now)
    yield ReadLog(Stream.LEASES, event.shard, lease.cursor or 0)


def _start_reading(lease: Lease, event: LogRead) -> None:
    """Start near the end of the stream; earlier records stay unknown."""
    lease.cursor = max(event.first, event.end - MAX_INITIAL_RECORDS)
    lease.history = lr.LeaseHistory()
    if event.first == 0 and lease.cursor == 0:
        # No record was ever trimmed, so all are read.
        lease.history.complete_since = float('-inf')
    else:
        lease.history.complete_since = event.at


def on_read_failed(state: 'VmState', event: LogReadFailed,
                   now: float) -> Iterator[Effect]:
    """Retry the read; the runtime delays retries of failed reads."""
    del now
    lease = state.leases.leases_by_shard.get(event.shard)
    if event.stream is Stream.LEASES and lease is not None:
        yield ReadLog(Stream.LEASES, event.shard, lease.cursor or 0)


def _apply_record(state: 'VmState', lease: Lease, log_record: Record,
                  now: float) -> Iterator[Effect]:
    record = lr.decode(log_record.payload)
    if isinstance(record, lr.InvalidLeaseRecord) or record.name != lease.name:
        return
    is_valid = lease.history.apply(record, log_record)
    if record.holder != state.incarnation:
        return
    sent_at = lease.sent_at.pop(record.number, None)
    if sent_at is None or lease.phase is LeasePhase.IDLE:
        return
    if not is_valid:
        LEASE_LIFECYCLE.fire(lease, 'lose')
        return
    if lease.phase is LeasePhase.CLAIMING:
        LEASE_LIFECYCLE.fire(lease, 'win')
        lease.fence = lease.history.terms[record.holder].fence
        lease.valid_until = 0.0
        yield LogLine('lease_held',
                      (('lease', lease.name), ('fence', lease.fence)))
    lease.valid_until = max(lease.valid_until,
                            sent_at + HOLDER_TERM_RATIO * lr.DURATION_S)
    lease.renew_at = min(lease.renew_at, sent_at + RENEW_INTERVAL_S) if (
        lease.renew_at > now) else sent_at + RENEW_INTERVAL_S


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Advance the lease of this VM's data centre, which every VM wants."""
    del event
    wanted = state.ready and not state.stopping
    yield from set_wanted(state, state.dc, wanted, now)
