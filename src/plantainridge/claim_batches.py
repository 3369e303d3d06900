"""Batched appends of claim records within the log's rate limit.

Each flush appends the records of one shard, at most once every
`MIN_FLUSH_INTERVAL_S`. An outcome or a release is appended again until it is
read back; a claim is never appended twice.
"""

from collections.abc import Iterator
from typing import Final

from plantainridge import claim_records
from plantainridge.claim_records import AnyRecord, Claim, ClaimId, ClaimRecord
from plantainridge.claim_state import ClaimsState, UnconfirmedRecord
from plantainridge.effects import AppendLog
from plantainridge.events import Stream, TimerKind
from plantainridge.loop.effects import Effect, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey
from plantainridge.state import VmState

# Seven VMs that flush at this interval make 280 appends per second.
MIN_FLUSH_INTERVAL_S: Final = 0.025
MAX_BATCH_RECORDS: Final = 256
CONFIRM_TIMEOUT_S: Final = 2.0
MAX_UNCONFIRMED: Final = 10_000
_FLUSH_TIMER: Final = TimerKey(TimerKind.CLAIM_FLUSH)
_CONFIRM_TIMER: Final = TimerKey(TimerKind.CLAIM_UNCONFIRMED)


def add(state: VmState, shard: int, record: AnyRecord,
        now: float) -> Iterator[Effect]:
    """Add a record to the next flush, which runs at once if it is due."""
    claims = state.claims
    claims.pending_records.setdefault(shard, []).append(record)
    if claims.flush_timer_set:
        return
    if now >= claims.next_flush_at:
        yield from _flush(state, now)
        return
    claims.flush_timer_set = True
    yield SetTimer(_FLUSH_TIMER, claims.next_flush_at)


def append_until_confirmed(state: VmState, shard: int, record: ClaimRecord,
                           now: float) -> Iterator[Effect]:
    """Append a record, and again at intervals until it is read back."""
    claims = state.claims
    while len(claims.unconfirmed) >= MAX_UNCONFIRMED:
        # The key stays claimed: other VMs answer that its outcome is unknown.
        del claims.unconfirmed[list(claims.unconfirmed)[0]]
    claims.unconfirmed[record.id] = UnconfirmedRecord(
        record, shard, now + CONFIRM_TIMEOUT_S,
        now + claims.limits.record_window_s)
    yield from add(state, shard, record, now)
    if not claims.confirm_timer_set:
        claims.confirm_timer_set = True
        yield SetTimer(_CONFIRM_TIMER, now + CONFIRM_TIMEOUT_S)


def confirm(claims: ClaimsState, claim: ClaimId) -> None:
    """Stop appending an own outcome or release that was read back."""
    claims.unconfirmed.pop(claim, None)


def on_flush(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Append pending records."""
    del event
    state.claims.flush_timer_set = False
    if state.claims.pending_records:
        yield from _flush(state, now)


def on_confirm_timer(state: VmState, event: TimerFired,
                     now: float) -> Iterator[Effect]:
    """Append records again that were not read back in time."""
    claims = state.claims
    for claim, unconfirmed in list(claims.unconfirmed.items()):
        if now >= unconfirmed.expires_at:
            del claims.unconfirmed[claim]
        elif now >= unconfirmed.retry_at:
            unconfirmed.retry_at = now + CONFIRM_TIMEOUT_S
            yield from add(state, unconfirmed.shard, unconfirmed.record, now)
    claims.confirm_timer_set = bool(claims.unconfirmed)
    if claims.confirm_timer_set:
        yield SetTimer(event.key, now + CONFIRM_TIMEOUT_S)


def _flush(state: VmState, now: float) -> Iterator[Effect]:
    claims = state.claims
    shard = min(claims.pending_records)
    records = claims.pending_records.pop(shard)
    batch, rest = records[:MAX_BATCH_RECORDS], records[MAX_BATCH_RECORDS:]
    if rest:
        claims.pending_records[shard] = rest
    claims.next_flush_at = now + MIN_FLUSH_INTERVAL_S
    if claims.pending_records:
        claims.flush_timer_set = True
        yield SetTimer(_FLUSH_TIMER, claims.next_flush_at)
    append_id = f'claims.{claims.next_append_number}'
    claims.next_append_number += 1
    claims.claims_in_flight[append_id] = [
        record for record in batch if isinstance(record, Claim)
    ]
    yield AppendLog(append_id, Stream.CLAIMS, shard,
                    tuple(claim_records.encode(record) for record in batch))
