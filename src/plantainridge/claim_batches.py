"""Appending of claim records within the log's budget.

Records of one flush go out as one append per shard, at most one flush every
`FLUSH_S`. An outcome or a release stays owed until it was read back; a claim
is never appended twice.
"""

from collections.abc import Iterator
from typing import Final

from plantainridge import claim_records
from plantainridge.claim_records import AnyRecord, Claim, ClaimId, ClaimRecord
from plantainridge.claim_state import ClaimsState, Owed
from plantainridge.effects import AppendLog
from plantainridge.events import Stream, TimerKind
from plantainridge.loop.effects import Effect, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey
from plantainridge.state import VmState

# Seven VMs that flush this often append 280 times a second.
FLUSH_S: Final = 0.025
MAX_BATCH_RECORDS: Final = 256
OWED_RETRY_S: Final = 2.0
MAX_OWED: Final = 10_000
_FLUSH: Final = TimerKey(TimerKind.CLAIM_FLUSH)
_OWED: Final = TimerKey(TimerKind.CLAIM_UNCONFIRMED)


def add(state: VmState, shard: int, record: AnyRecord,
        now: float) -> Iterator[Effect]:
    """Appends a record with the next flush, at once if one is due."""
    claims = state.claims
    claims.waiting.setdefault(shard, []).append(record)
    if claims.flush_set:
        return
    if now >= claims.flush_due:
        yield from _flush(state, now)
        return
    claims.flush_set = True
    yield SetTimer(_FLUSH, claims.flush_due)


def owe(state: VmState, shard: int, record: ClaimRecord,
        now: float) -> Iterator[Effect]:
    """Appends a record again and again until it is read back."""
    claims = state.claims
    while len(claims.unconfirmed) >= MAX_OWED:
        # The key stays claimed for others, which then answer `unknown`.
        del claims.unconfirmed[list(claims.unconfirmed)[0]]
    claims.unconfirmed[record.id] = Owed(record, shard, now + OWED_RETRY_S,
                                         now + claims.limits.window_s)
    yield from add(state, shard, record, now)
    if not claims.owed_set:
        claims.owed_set = True
        yield SetTimer(_OWED, now + OWED_RETRY_S)


def paid(claims: ClaimsState, claim: ClaimId) -> None:
    """Notes that an own outcome or release was read back."""
    claims.unconfirmed.pop(claim, None)


def on_flush(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Sends the records that wait."""
    del event
    state.claims.flush_set = False
    if state.claims.waiting:
        yield from _flush(state, now)


def on_confirm_timer(state: VmState, event: TimerFired,
                     now: float) -> Iterator[Effect]:
    """Appends owed records again that were not read back in time."""
    claims = state.claims
    for claim, unconfirmed in list(claims.unconfirmed.items()):
        if now >= unconfirmed.until:
            del claims.unconfirmed[claim]
        elif now >= unconfirmed.due:
            unconfirmed.due = now + OWED_RETRY_S
            yield from add(state, unconfirmed.shard, unconfirmed.record, now)
    claims.owed_set = bool(claims.unconfirmed)
    if claims.owed_set:
        yield SetTimer(event.key, now + OWED_RETRY_S)


def _flush(state: VmState, now: float) -> Iterator[Effect]:
    claims = state.claims
    shard = min(claims.waiting)
    records = claims.waiting.pop(shard)
    batch, rest = records[:MAX_BATCH_RECORDS], records[MAX_BATCH_RECORDS:]
    if rest:
        claims.waiting[shard] = rest
    claims.flush_due = now + FLUSH_S
    if claims.waiting:
        claims.flush_set = True
        yield SetTimer(_FLUSH, claims.flush_due)
    append = f'claims.{claims.next_append}'
    claims.next_append += 1
    claims.in_flight[append] = [
        record for record in batch if isinstance(record, Claim)
    ]
    yield AppendLog(append, Stream.CLAIMS, shard,
                    tuple(claim_records.encode(record) for record in batch))
