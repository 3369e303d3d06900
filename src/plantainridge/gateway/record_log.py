"""Calls to the log of a record in the metadata store.

A record is what VMs learn and must not lose when all of them are killed. Each
VM reads it after its start; one VM at a time writes it. Writers of different
data centres wait for one another and read before they write. Writes are
conditional on the end of the log, so that no change is lost between two
writers.

Nothing here does input or output.
"""

import enum
import math
from typing import Final

import attrs

# Delay of a data centre's writer after that of the one before it; more than a
# read, a write and their timeouts usually take.
WRITER_DELAY_S: Final = 1.5
# Time after which a call to the metadata store counts as lost.
CALL_TIMEOUT_S: Final = 2.5
# Delay after the first call that did not help; doubles up to the maximum. Each
# call is charged for.
RETRY_DELAY_S: Final = 1.0
MAX_RETRY_DELAY_S: Final = 16.0


class RecordCall(enum.Enum):
    """A call to the record's log that is due."""

    READ = 'read'
    WRITE = 'write'


@attrs.define
class RecordLog:
    """What this VM knows of a record's log.

    Attributes:
        end: End of the log at the last call; None if it is not known.
        end_era: The metadata store's era to which `end` belongs.
        read_at: Loop time of the latest successful read, in s.
        call_started_at: Loop time at which the pending call began, in s, or
            None.
        failures: Consecutive calls that did not help.
        next_call_at: Loop time of the next call after one that did not help,
            in s.
        differs_since: Loop time since which the record differs from what this
            VM knows, in s; inf if it does not.
    """

    end: int | None = None
    end_era: int = 0
    read_at: float = -math.inf
    call_started_at: float | None = None
    failures: int = 0
    next_call_at: float = -math.inf
    differs_since: float = math.inf

    def may_call(self, now: float) -> bool:
        """Return whether no call is pending, nor a delay after one."""
        is_pending = (self.call_started_at is not None and
                      now - self.call_started_at < CALL_TIMEOUT_S)
        return not is_pending and now >= self.next_call_at

    def delay_next_call(self, now: float) -> None:
        """Delay the next call after one that did not help."""
        delay_s = RETRY_DELAY_S * 2.0**min(self.failures, 8)
        self.failures += 1
        self.next_call_at = now + min(delay_s, MAX_RETRY_DELAY_S)

    def observe(self, differs: bool, now: float) -> None:
        """Record whether the record differs from what this VM knows."""
        self.differs_since = (min(self.differs_since, now)
                              if differs else math.inf)

    def writer_call(self, dc_rank: int, era: int,
                    now: float) -> RecordCall | None:
        """Return the call by which a writer updates the record, if it is due.

        Args:
            dc_rank: Rank of the writer's data centre, from 0.
            era: The metadata store's era.
            now: Loop time in s.
        """
        delay_s = WRITER_DELAY_S * dc_rank
        if now - self.differs_since < delay_s:
            return None
        if self.end is None or self.end_era != era:
            return RecordCall.READ
        if dc_rank and self.read_at < self.differs_since:
            return RecordCall.READ
        return RecordCall.WRITE
