"""What one VM knows and does about calls that must run at most once."""

import enum
from typing import Final

import attrs

from plantainridge.claim_records import AnyRecord, Claim, ClaimId, ClaimRecord
from plantainridge.claim_table import ClaimTable
from plantainridge.events import ServiceCalled
from plantainridge.ids import RequestId
from plantainridge.loop.lifecycle import LifeCycle


class WorkPhase(enum.Enum):
    """Where a key's work stands on this VM."""

    NEW = 'new'
    # The own claim is on its way to the log or not read back yet.
    CLAIMING = 'claiming'
    # Another claim came first and has no outcome yet.
    AWAITING = 'awaiting'
    # Dispatched to the service.
    RUNNING = 'running'
    DONE = 'done'


WORK: Final = LifeCycle(WorkPhase, [
    ('claim', [WorkPhase.NEW, WorkPhase.AWAITING], WorkPhase.CLAIMING),
    ('lose', [WorkPhase.NEW, WorkPhase.CLAIMING], WorkPhase.AWAITING),
    ('run', [WorkPhase.NEW, WorkPhase.CLAIMING, WorkPhase.AWAITING
            ], WorkPhase.RUNNING),
    ('end', [
        WorkPhase.NEW, WorkPhase.CLAIMING, WorkPhase.AWAITING, WorkPhase.RUNNING
    ], WorkPhase.DONE),
])


@attrs.define(eq=False)
class KeyWork:
    """All calls under one key that this VM has taken in.

    Attributes:
        digest: Names the team, the service and the key.
        body: Short digest of the call.
        shard: Shard of the claims stream that the key belongs to.
        made_at: When the key was made by its own word, in s of the platform.
        asked: The calls that wait for the answer; a caller that is gone is
            taken out.
        lead: The call that is dispatched.
        claim: The claim that may win the key, or None.
        phase: Where it stands in its life cycle.
        asked_at: Loop time at which the work began, in s.
    """

    digest: bytes
    body: bytes
    shard: int
    made_at: float
    asked: list[ServiceCalled]
    lead: ServiceCalled
    asked_at: float
    claim: ClaimId | None = None
    phase: WorkPhase = WorkPhase.NEW


@attrs.define
class Tail:
    """Reading of one shard of the claims stream.

    Attributes:
        next_offset: Offset of the next record to read.
        caught_up: Whether the end of the stream was reached once.
        reading: Whether a read is on its way.
        last_at: Platform time of the last record read, in s.
        failing_since: Loop time of the first of the reads that failed in a
            row, in s, or None.
    """

    table: ClaimTable
    next_offset: int = 0
    caught_up: bool = False
    reading: bool = False
    last_at: float = float('-inf')
    failing_since: float | None = None


@attrs.define
class Owed:
    """A record of this VM that has not been read back yet.

    Attributes:
        due: Loop time at which it is appended again, in s.
        until: Loop time at which it is given up, in s.
    """

    record: ClaimRecord
    shard: int
    due: float
    until: float


@attrs.frozen
class ClaimLimits:
    """Bounds in time and size.

    Attributes:
        shards: Shards of the claims stream; the same on all VMs.
        key_age_s: Age at which a key is no longer taken, in s.
        clock_margin_s: How far clocks may differ, in s.
        claim_timeout_s: Longest wait for the own claim, in s.
        outcome_wait_s: Longest wait for another VM's outcome, in s.
        max_entries: Entries kept per shard.
    """

    shards: int = 1
    max_key_age_s: float = 3_600.0
    max_clock_skew_s: float = 60.0
    claim_timeout_s: float = 2.0
    outcome_timeout_s: float = 10.0
    max_entries: int = 50_000

    @property
    def window_s(self) -> float:
        """How long records of a key that may still come are needed, in s."""
        return self.max_key_age_s + 2 * self.max_clock_skew_s


@attrs.define
class ClaimsState:
    """Claims, reads and work of one VM.

    Attributes:
        works: Work in flight by the key's digest.
        running: Digest of the work that a dispatched call belongs to.
        next_seq: Number of this incarnation's next claim.
        waiting: Records to be appended, by shard.
        flush_due: Loop time before which no batch goes out, in s.
        flush_set: Whether the flush timer runs.
        in_flight: Claims of each append on its way.
        abandoned: Own claims under which nothing was or will be dispatched,
            with the loop time at which they are forgotten, in s.
        next_append: Number of the next append.
        owed: Own outcomes and releases that have not been read back.
        owed_set: Whether the timer of owed records runs.
        clock_offset: Least difference between the platform's clock and the
            loop's that was seen, in s, or None before the first read.
    """

    limits: ClaimLimits = attrs.field(factory=ClaimLimits)
    tails: list[Tail] = attrs.field(factory=list)
    operations: dict[bytes, KeyWork] = attrs.field(factory=dict)
    running: dict[RequestId, bytes] = attrs.field(factory=dict)
    next_seq: int = 0
    waiting: dict[int, list[AnyRecord]] = attrs.field(factory=dict)
    flush_due: float = 0.0
    flush_set: bool = False
    in_flight: dict[str, list[Claim]] = attrs.field(factory=dict)
    abandoned: dict[ClaimId, float] = attrs.field(factory=dict)
    next_append: int = 0
    unconfirmed: dict[ClaimId, Owed] = attrs.field(factory=dict)
    owed_set: bool = False
    clock_offset: float | None = None

    def __attrs_post_init__(self) -> None:
        self.tails = [
            Tail(ClaimTable(self.limits.max_entries))
            for _ in range(self.limits.shards)
        ]

    def shard_of(self, digest: bytes) -> int:
        """Returns the shard that a key belongs to."""
        return int.from_bytes(digest[:4], 'big') % self.limits.shards

    def is_settled(self) -> bool:
        """Whether no caller waits and no record of this VM is on its way."""
        return not (self.operations or self.unconfirmed or self.waiting)

    def platform_time(self, now: float) -> float | None:
        """Returns the platform's time, never ahead of it but by drift.

        An answer that was read late makes the difference look smaller than
        it is, so that the largest one seen is the closest.
        """
        if self.clock_offset is None:
            return None
        return now + self.clock_offset
