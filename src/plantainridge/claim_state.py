"""State of one VM's run-once calls and of its reads of the claims stream."""

import enum
from typing import Final

import attrs

from plantainridge.claim_records import AnyRecord, Claim, ClaimId, ClaimRecord
from plantainridge.claim_table import ClaimTable
from plantainridge.events import ServiceCalled
from plantainridge.ids import RequestId
from plantainridge.loop.lifecycle import LifeCycle


class OperationPhase(enum.Enum):
    """Phase of an operation on this VM."""

    NEW = 'new'
    # The own claim has been sent to the log but not read back yet.
    CLAIMING = 'claiming'
    # Another claim came first and has no outcome yet.
    AWAITING = 'awaiting'
    # Dispatched to the service.
    RUNNING = 'running'
    DONE = 'done'


OPERATION_LIFECYCLE: Final = LifeCycle(OperationPhase, [
    ('claim', [OperationPhase.NEW, OperationPhase.AWAITING
              ], OperationPhase.CLAIMING),
    ('lose', [OperationPhase.NEW, OperationPhase.CLAIMING
             ], OperationPhase.AWAITING),
    ('run', [
        OperationPhase.NEW, OperationPhase.CLAIMING, OperationPhase.AWAITING
    ], OperationPhase.RUNNING),
    ('end', [
        OperationPhase.NEW, OperationPhase.CLAIMING, OperationPhase.AWAITING,
        OperationPhase.RUNNING
    ], OperationPhase.DONE),
])


@attrs.define(eq=False)
class KeyOperation:
    """All calls with one idempotency key that this VM has accepted.

    Attributes:
        digest: Digest of the team, the service and the key.
        body: Short digest of the method, the path and the body.
        shard: Shard of the claims stream that the key belongs to.
        created_at: Platform time in the key at which it was created, in s.
        waiting_calls: Calls that wait for the answer; calls of disconnected
            callers are removed.
        leader: The call that is dispatched on behalf of all.
        claim: Own claim that may be the first of the key, or None.
        phase: Phase of the operation.
        started_at: Loop time at which the operation began, in s.
    """

    digest: bytes
    body: bytes
    shard: int
    created_at: float
    waiting_calls: list[ServiceCalled]
    leader: ServiceCalled
    started_at: float
    claim: ClaimId | None = None
    phase: OperationPhase = OperationPhase.NEW


@attrs.define
class ShardReader:
    """Read position in one shard of the claims stream.

    Attributes:
        next_offset: Offset of the next record to read.
        caught_up: Whether the end of the stream was reached once.
        read_in_flight: Whether a read is in flight.
        last_record_at: Platform time of the last record read, in s.
        failing_since: Loop time of the first of the latest consecutive failed
            reads, in s, or None if the last read succeeded.
    """

    table: ClaimTable
    next_offset: int = 0
    caught_up: bool = False
    read_in_flight: bool = False
    last_record_at: float = float('-inf')
    failing_since: float | None = None


@attrs.define
class UnconfirmedRecord:
    """A record of this VM that has not been read back yet.

    Attributes:
        retry_at: Loop time at which it is appended again, in s.
        expires_at: Loop time after which it is no longer appended, in s.
    """

    record: ClaimRecord
    shard: int
    retry_at: float
    expires_at: float


@attrs.frozen
class ClaimLimits:
    """Limits of claims in time and size.

    Attributes:
        shards: Shards of the claims stream; the same on all VMs.
        max_key_age_s: Age above which a key is refused, in s.
        max_clock_skew_s: How far two clocks may differ, in s.
        claim_timeout_s: Longest wait for the own claim to be read back, in s.
        outcome_timeout_s: Longest wait for another VM's outcome, in s.
        max_entries: Largest number of entries per shard.
    """

    shards: int = 1
    max_key_age_s: float = 3_600.0
    max_clock_skew_s: float = 60.0
    claim_timeout_s: float = 2.0
    outcome_timeout_s: float = 10.0
    max_entries: int = 50_000

    @property
    def record_window_s(self) -> float:
        """How long the records of a key may be needed, in s."""
        return self.max_key_age_s + 2 * self.max_clock_skew_s


@attrs.define
class ClaimsState:
    """Claims, reads and operations of one VM.

    Attributes:
        limits: Limits of claims in time and size.
        readers: Read position of each shard.
        operations: Operations in flight by the key's digest.
        dispatched: Digest of the operation that each dispatched call belongs
            to.
        next_seq: Number of this incarnation's next claim.
        pending_records: Records to be appended, by shard.
        next_flush_at: Loop time before which no batch is appended, in s.
        flush_timer_set: Whether the flush timer is running.
        claims_in_flight: Claims in each append that has not ended.
        abandoned: Own claims under which nothing was or will be dispatched,
            with the loop time at which each is removed, in s.
        next_append_number: Number of the next append.
        unconfirmed: Own outcomes and releases that have not been read back.
        confirm_timer_set: Whether the timer of unconfirmed records is running.
        clock_offset_s: Platform time less loop time, the largest difference
            seen, in s, or None before the first read.
    """

    limits: ClaimLimits = attrs.field(factory=ClaimLimits)
    readers: list[ShardReader] = attrs.field(factory=list)
    operations: dict[bytes, KeyOperation] = attrs.field(factory=dict)
    dispatched: dict[RequestId, bytes] = attrs.field(factory=dict)
    next_seq: int = 0
    pending_records: dict[int, list[AnyRecord]] = attrs.field(factory=dict)
    next_flush_at: float = 0.0
    flush_timer_set: bool = False
    claims_in_flight: dict[str, list[Claim]] = attrs.field(factory=dict)
    abandoned: dict[ClaimId, float] = attrs.field(factory=dict)
    next_append_number: int = 0
    unconfirmed: dict[ClaimId, UnconfirmedRecord] = attrs.field(factory=dict)
    confirm_timer_set: bool = False
    clock_offset_s: float | None = None

    def __attrs_post_init__(self) -> None:
        self.readers = [
            ShardReader(ClaimTable(self.limits.max_entries))
            for _ in range(self.limits.shards)
        ]

    def shard_of(self, digest: bytes) -> int:
        """Return the shard that a key belongs to."""
        return int.from_bytes(digest[:4], 'big') % self.limits.shards

    def is_settled(self) -> bool:
        """Return whether no operation and no record of this VM is pending."""
        return not (self.operations or self.unconfirmed or self.pending_records)

    def platform_time(self, now: float) -> float | None:
        """Return the platform's time in s, or None before the first read.

        A delayed answer makes the clock difference look smaller than it is, so
        the largest difference seen is the closest. Apart from clock drift, the
        result is never ahead of the platform's clock.

        Args:
            now: Loop time in s.
        """
        if self.clock_offset_s is None:
            return None
        return now + self.clock_offset_s
