"""Takes, keeps and gives up leases through the platform's log.

A holder counts its term from before it sent a record, by its own clock, and
ends it early by a margin for clocks that drift. Whoever acts under a lease
asks `fence` with the time of the event at hand, so a process that was paused
beyond its term finds that it no longer holds the lease.
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

# Share of the duration for which a holder trusts its own clock.
OWN_SHARE: Final = 0.8
RENEW_S: Final = 5.0
# Longest wait before a free lease is claimed, in s.
CLAIM_SPREAD_S: Final = 2.0
# Records before the stream's end from which a new reader begins.
TAIL_RECORDS: Final = 50
NO_FENCE: Final = -1
SHARDS: Final = 1 << 16


class LeasePhase(enum.Enum):
    """Where this VM stands with a lease."""

    IDLE = 'idle'
    CLAIMING = 'claiming'
    HELD = 'held'


_LEASE: Final = LifeCycle(LeasePhase, [
    ('claim', [LeasePhase.IDLE], LeasePhase.CLAIMING),
    ('win', [LeasePhase.CLAIMING], LeasePhase.HELD),
    ('lose', [LeasePhase.CLAIMING, LeasePhase.HELD], LeasePhase.IDLE),
])


@attrs.define
class Lease:
    """One lease that this VM follows.

    Attributes:
        wanted: Whether this VM would hold it.
        cursor: Offset to read from; None before the first answer.
        clock_s: Log time less loop time as last read, in s.
        claim_at: Loop time at which to claim, in s; None while not free.
        sent: Loop time at which each unread record of this VM was sent.
        until: Loop time at which this VM stops relying on the lease, in s.
        renew_at: Loop time of the next renewal, in s.
        fence: Fencing number of this VM's term.
    """

    name: str
    phase: LeasePhase = LeasePhase.IDLE
    wanted: bool = False
    history: lr.LeaseHistory = attrs.field(factory=lr.LeaseHistory)
    cursor: int | None = None
    clock_s: float = 0.0
    claim_at: float | None = None
    sent: dict[int, float] = attrs.field(factory=dict)
    until: float = 0.0
    renew_at: float = 0.0
    fence: int = NO_FENCE


@attrs.define
class LeasesState:
    """All leases that this VM follows, by the shard of their stream."""

    by_shard: dict[int, Lease] = attrs.field(factory=dict)
    written: int = 0


def shard_of(name: str) -> int:
    """Returns the shard of the lease stream that holds a lease's records."""
    return zlib.crc32(name.encode()) % SHARDS


def fence(state: 'VmState', name: str, now: float) -> int:
    """Returns the fencing number while this VM holds a lease, else -1."""
    lease = state.leases.by_shard.get(shard_of(name))
    if lease is None or lease.phase is not LeasePhase.HELD:
        return NO_FENCE
    return lease.fence if now < lease.until else NO_FENCE


def remaining_s(state: 'VmState', name: str, now: float) -> float:
    """Returns for how long this VM may still act under a lease, in s."""
    if fence(state, name, now) == NO_FENCE:
        return 0.0
    return state.leases.by_shard[shard_of(name)].until - now


def want(state: 'VmState', name: str, wanted: bool,
         now: float) -> Iterator[Effect]:
    """Follows a lease and claims it when free, or gives it up."""
    shard = shard_of(name)
    lease = state.leases.by_shard.get(shard)
    if lease is None:
        if not wanted:
            return
        lease = state.leases.by_shard[shard] = Lease(name)
        yield ReadLog(Stream.LEASES, shard, 0, wait=False)
    if lease.wanted and not wanted:
        yield from _give_up(state, lease)
    lease.wanted = wanted
    yield from _step(state, lease, now)


def _step(state: 'VmState', lease: Lease, now: float) -> Iterator[Effect]:
    if lease.phase is LeasePhase.HELD and now >= lease.until:
        _LEASE.fire(lease, 'lose')
        yield LogLine('lease_lapsed', (('lease', lease.name),))
    if lease.phase is LeasePhase.HELD and now >= lease.renew_at:
        lease.renew_at = now + RENEW_S
        yield _write(state, lease, lr.LeaseAct.RENEW, now)
    if lease.phase is LeasePhase.CLAIMING and now >= lease.until:
        _LEASE.fire(lease, 'lose')
    if lease.phase is LeasePhase.IDLE and lease.wanted:
        yield from _claim_if_free(state, lease, now)


def _claim_if_free(state: 'VmState', lease: Lease,
                   now: float) -> Iterator[Effect]:
    history = lease.history
    at = now + lease.clock_s
    if (history.since is None or at - history.since < lr.DURATION_S or
            not history.free(state.incarnation, at)):
        lease.claim_at = None
        return
    if lease.claim_at is None:
        lease.claim_at = now + state.rng.uniform(0.0, CLAIM_SPREAD_S)
    if now < lease.claim_at:
        return
    lease.claim_at = None
    _LEASE.fire(lease, 'claim')
    lease.until = now + lr.DURATION_S
    yield _write(state, lease, lr.LeaseAct.CLAIM, now)


def _give_up(state: 'VmState', lease: Lease) -> Iterator[Effect]:
    if lease.phase is LeasePhase.IDLE:
        return
    _LEASE.fire(lease, 'lose')
    yield _write(state, lease, lr.LeaseAct.RELEASE, 0.0)


def _write(state: 'VmState', lease: Lease, act: lr.LeaseAct,
           now: float) -> AppendLog:
    state.leases.written += 1
    number = state.leases.written
    if act is not lr.LeaseAct.RELEASE:
        lease.sent[number] = now
    record = lr.LeaseRecord(lease.name, state.incarnation, act, number)
    return AppendLog(f'lease-{number}', Stream.LEASES, shard_of(lease.name),
                     (lr.encode(record),))


def on_log_read(state: 'VmState', event: LogRead,
                now: float) -> Iterator[Effect]:
    """Takes in records of a lease, then reads on."""
    lease = state.leases.by_shard.get(event.shard)
    if event.stream is not Stream.LEASES or lease is None:
        return
    lease.clock_s = event.at - now
    if lease.cursor is None or lease.cursor < event.first:
        _begin(lease, event)
    for record in event.records:
        if record.offset == lease.cursor:
            lease.cursor += 1
            yield from _take(state, lease, record, now)
    yield ReadLog(Stream.LEASES, event.shard, lease.cursor or 0)


def _begin(lease: Lease, event: LogRead) -> None:
    """Begins to read near the end; what came before is not known."""
    lease.cursor = max(event.first, event.end - TAIL_RECORDS)
    lease.history = lr.LeaseHistory()
    if event.first == 0 and lease.cursor == 0:
        # No record was ever trimmed: all are known.
        lease.history.since = float('-inf')
    else:
        lease.history.since = event.at


def on_read_failed(state: 'VmState', event: LogReadFailed,
                   now: float) -> Iterator[Effect]:
    """Reads again; the runtime paces reads that fail."""
    del now
    lease = state.leases.by_shard.get(event.shard)
    if event.stream is Stream.LEASES and lease is not None:
        yield ReadLog(Stream.LEASES, event.shard, lease.cursor or 0)


def _take(state: 'VmState', lease: Lease, stamped: Record,
          now: float) -> Iterator[Effect]:
    record = lr.decode(stamped.payload)
    if isinstance(record, lr.BadLease) or record.name != lease.name:
        return
    holds = lease.history.take(record, stamped)
    if record.holder != state.incarnation:
        return
    sent = lease.sent.pop(record.number, None)
    if sent is None or lease.phase is LeasePhase.IDLE:
        return
    if not holds:
        _LEASE.fire(lease, 'lose')
        return
    if lease.phase is LeasePhase.CLAIMING:
        _LEASE.fire(lease, 'win')
        lease.fence = lease.history.terms[record.holder].fence
        lease.until = 0.0
        yield LogLine('lease_held',
                      (('lease', lease.name), ('fence', lease.fence)))
    lease.until = max(lease.until, sent + OWN_SHARE * lr.DURATION_S)
    lease.renew_at = min(lease.renew_at, sent +
                         RENEW_S) if (lease.renew_at > now) else sent + RENEW_S


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Claims, renews and lets go in time; every VM wants its DC's lease."""
    del event
    wanted = state.ready and not state.stopping
    yield from want(state, state.dc, wanted, now)
