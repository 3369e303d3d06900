"""Reader of the claims stream: catches up, then follows its end."""

from collections.abc import Iterator
from typing import Final

from plantainridge import claim_batches, claim_records
from plantainridge.claim_records import (ClaimRecord, InvalidClaimRecord,
                                         KeepAlive)
from plantainridge.claim_state import ClaimsState, OperationPhase, ShardReader
from plantainridge.effects import ReadLog
from plantainridge.events import (LogRead, LogReadFailed, Record, Stream,
                                  TimerKind)
from plantainridge.loop.effects import CancelTimer, Effect, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey
from plantainridge.state import VmState

# Pause between reads while no claim of this VM waits to be read back.
READ_INTERVAL_S: Final = 0.05
# The log counts as unavailable once reads have failed for this long.
LOG_OUTAGE_S: Final = 1.0
# An idle stream gets a keep-alive record after this part of the record window.
KEEP_ALIVE_IDLE_RATIO: Final = 0.125


def first_reads(state: VmState) -> Iterator[Effect]:
    """Start reading every shard, for a new process."""
    for shard in range(state.claims.limits.shards):
        yield from read(state, shard)


def read(state: VmState, shard: int) -> Iterator[Effect]:
    """Request the next records unless a read is in flight."""
    reader = state.claims.readers[shard]
    if reader.read_in_flight:
        return
    reader.read_in_flight = True
    yield CancelTimer(_read_timer_key(shard))
    yield ReadLog(Stream.CLAIMS,
                  shard,
                  reader.next_offset,
                  wait=reader.caught_up)


def schedule_read(state: VmState, shard: int, now: float) -> Iterator[Effect]:
    """Schedule the next read: at once if a claim waits, else after a pause."""
    reader = state.claims.readers[shard]
    yield from _append_keep_alive(state, shard, now)
    if not reader.caught_up or _has_unread_claim(state.claims, shard):
        yield from read(state, shard)
        return
    yield SetTimer(_read_timer_key(shard), now + READ_INTERVAL_S)


def _append_keep_alive(state: VmState, shard: int,
                       now: float) -> Iterator[Effect]:
    """Append a keep-alive record to a stream that has been idle for long."""
    claims = state.claims
    reader = claims.readers[shard]
    platform_now = claims.platform_time(now)
    max_idle_s = claims.limits.record_window_s * KEEP_ALIVE_IDLE_RATIO
    if (platform_now is not None and reader.caught_up and
            platform_now - reader.last_record_at > max_idle_s):
        yield from claim_batches.add(state, shard, KeepAlive(), now)
        # Wait for a full idle period even if this append fails.
        reader.last_record_at = platform_now


def on_read_timer(state: VmState, event: TimerFired,
                  now: float) -> Iterator[Effect]:
    """Read again after the pause."""
    del now
    yield from read(state, int(event.key.subject))


def on_read_failed(state: VmState, event: LogReadFailed,
                   now: float) -> Iterator[Effect]:
    """Retry the read; the runtime delays retries of failed reads."""
    if event.stream is not Stream.CLAIMS:
        return
    reader = state.claims.readers[event.shard]
    reader.read_in_flight = False
    if reader.failing_since is None:
        reader.failing_since = now
    yield from read(state, event.shard)


def is_log_unavailable(reader: ShardReader, now: float) -> bool:
    """Return whether reads of the shard have failed for `LOG_OUTAGE_S`."""
    return (reader.failing_since is not None and
            now - reader.failing_since >= LOG_OUTAGE_S)


def apply_read(state: VmState, event: LogRead,
               now: float) -> Iterator[tuple[Record, ClaimRecord]]:
    """Apply new records to the shard's table and yield each of them."""
    claims = state.claims
    reader = claims.readers[event.shard]
    reader.read_in_flight = False
    reader.failing_since = None
    offset = event.at - now
    if claims.clock_offset_s is None or offset > claims.clock_offset_s:
        claims.clock_offset_s = offset
    if event.first > reader.next_offset:
        _skip_trimmed(reader, event)
    for record in event.records:
        if record.offset != reader.next_offset:
            # Already applied from an overlapping read.
            continue
        reader.next_offset += 1
        decoded = claim_records.decode(record.payload)
        reader.last_record_at = record.at
        if isinstance(decoded, InvalidClaimRecord | KeepAlive):
            continue
        reader.table.apply(decoded, record.at)
        yield record, decoded
    reader.caught_up = reader.caught_up or reader.next_offset >= event.end
    reader.table.expire(event.at - claims.limits.record_window_s)


def _skip_trimmed(reader: ShardReader, event: LogRead) -> None:
    """Continue at the log's first record; earlier records were trimmed."""
    remaining = [r for r in event.records if r.offset >= event.first]
    reader.table.record_gap(remaining[0].at if remaining else event.at)
    reader.next_offset = event.first


def _has_unread_claim(claims: ClaimsState, shard: int) -> bool:
    return any(
        operation.phase is OperationPhase.CLAIMING and operation.shard == shard
        for operation in claims.operations.values())


def _read_timer_key(shard: int) -> TimerKey:
    return TimerKey(TimerKind.CLAIM_READ, str(shard))
