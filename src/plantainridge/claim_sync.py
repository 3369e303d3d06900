"""Reading of the claims stream: catching up, then following its end."""

from collections.abc import Iterator
from typing import Final

from plantainridge import claim_batches, claim_records
from plantainridge.claim_records import BadClaimRecord, ClaimRecord, Mark
from plantainridge.claim_state import ClaimsState, Tail, WorkPhase
from plantainridge.effects import ReadLog
from plantainridge.events import (LogRead, LogReadFailed, Record, Stream,
                                  TimerKind)
from plantainridge.loop.effects import CancelTimer, Effect, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey
from plantainridge.state import VmState

# Pause between reads while no claim of this VM waits to be read back, in s.
READ_PACE_S: Final = 0.05
# Reads that fail for longer than this mean that the log is out, in s.
LOG_OUT_S: Final = 1.0
# Share of the window after which a still stream gets a mark.
MARK_SHARE: Final = 0.125


def first_reads(state: VmState) -> Iterator[Effect]:
    """Returns the reads of a new process."""
    for shard in range(state.claims.limits.shards):
        yield from read(state, shard)


def read(state: VmState, shard: int) -> Iterator[Effect]:
    """Reads on now, unless a read is on its way."""
    tail = state.claims.tails[shard]
    if tail.reading:
        return
    tail.reading = True
    yield CancelTimer(_pace_key(shard))
    yield ReadLog(Stream.CLAIMS, shard, tail.next_offset, wait=tail.caught_up)


def read_on(state: VmState, shard: int, now: float) -> Iterator[Effect]:
    """Reads on after a read: at once if a claim waits, else after a pause."""
    tail = state.claims.tails[shard]
    yield from _mark(state, shard, now)
    if not tail.caught_up or _claims_wait(state.claims, shard):
        yield from read(state, shard)
        return
    yield SetTimer(_pace_key(shard), now + READ_PACE_S)


def _mark(state: VmState, shard: int, now: float) -> Iterator[Effect]:
    """Appends to a stream that has been still for long."""
    claims = state.claims
    tail = claims.tails[shard]
    at = claims.platform_time(now)
    still_s = claims.limits.window_s * MARK_SHARE
    if at is not None and tail.caught_up and at - tail.last_at > still_s:
        yield from claim_batches.add(state, shard, Mark(), now)
        # Wait as long again, whatever becomes of this append.
        tail.last_at = at


def on_read_timer(state: VmState, event: TimerFired,
                  now: float) -> Iterator[Effect]:
    """Reads on after the pause."""
    del now
    yield from read(state, int(event.key.subject))


def on_read_failed(state: VmState, event: LogReadFailed,
                   now: float) -> Iterator[Effect]:
    """Reads again; the runtime paces reads that fail."""
    if event.stream is not Stream.CLAIMS:
        return
    tail = state.claims.tails[event.shard]
    tail.reading = False
    if tail.failing_since is None:
        tail.failing_since = now
    yield from read(state, event.shard)


def log_is_out(tail: Tail, now: float) -> bool:
    """Whether the shard cannot be read for a while already."""
    return (tail.failing_since is not None and
            now - tail.failing_since >= LOG_OUT_S)


def take_in(state: VmState, event: LogRead,
            now: float) -> Iterator[tuple[Record, ClaimRecord]]:
    """Yields the new records of a read, each applied to the shard's table."""
    claims = state.claims
    tail = claims.tails[event.shard]
    tail.reading = False
    tail.failing_since = None
    offset = event.at - now
    if claims.clock_offset is None or offset > claims.clock_offset:
        claims.clock_offset = offset
    if event.first > tail.next_offset:
        _skip(tail, event)
    for record in event.records:
        if record.offset != tail.next_offset:
            # Read before another one that was taken in meanwhile.
            continue
        tail.next_offset += 1
        decoded = claim_records.decode(record.payload)
        tail.last_at = record.at
        if isinstance(decoded, BadClaimRecord | Mark):
            continue
        tail.table.apply(decoded, record.at)
        yield record, decoded
    tail.caught_up = tail.caught_up or tail.next_offset >= event.end
    tail.table.expire(event.at - claims.limits.window_s)


def _skip(tail: Tail, event: LogRead) -> None:
    """Goes on at the log's first record; those before it are gone."""
    kept = [r for r in event.records if r.offset >= event.first]
    tail.table.miss(kept[0].at if kept else event.at)
    tail.next_offset = event.first


def _claims_wait(claims: ClaimsState, shard: int) -> bool:
    return any(work.phase is WorkPhase.CLAIMING and work.shard == shard
               for work in claims.operations.values())


def _pace_key(shard: int) -> TimerKey:
    return TimerKey(TimerKind.CLAIM_READ, str(shard))
