"""Detection of times at which this VM did not run.

What peers and the metadata store sent meanwhile is handled at once when the VM
runs again, as if it had just happened.
"""

import math
from typing import Final

import attrs

# Time between two events that shows that the VM did not run: the periodic timer
# fires every 0.1 s.
MIN_SUSPENSION_S: Final = 0.5
# Time after a suspension in which messages from before its end may arrive.
BACKLOG_S: Final = 1.0


@attrs.define
class Suspension:
    """The last time at which this VM did not run.

    Attributes:
        event_at: Loop time of the last event, in s.
        start: Loop time at which the VM was last known to run before, in s.
        end: Loop time at which it ran again, in s.
    """

    event_at: float = math.inf
    start: float = -math.inf
    end: float = -math.inf

    def record_event(self, now: float) -> None:
        """Record that the VM handles an event."""
        if now - self.event_at > MIN_SUSPENSION_S:
            self.start, self.end = self.event_at, now
        self.event_at = now

    def backlog_since(self, now: float) -> float:
        """Return since when messages may have waited for this VM, in s.

        Returns:
            `now` if it has run for long enough to have handled them.
        """
        return self.start if self.may_have_backlog(now) else now

    def may_have_backlog(self, now: float) -> bool:
        """Return whether messages may have waited while it did not run."""
        return now - self.end <= BACKLOG_S
