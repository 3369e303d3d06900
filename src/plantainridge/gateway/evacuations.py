"""Data centres that operators evacuate, and how their traffic returns.

Made for one or several data centres that leave service within seconds while
all others carry their work, in deployments of up to 200 VMs. No request is sent
to an endpoint of an evacuated data centre. After the withdrawal its endpoints
may be cold: contexts return one after another, in the order of a hash that is
the same on every VM, so that each context is prefilled there once.
"""

import hashlib
import math
from collections.abc import Collection, Iterator
from typing import Final

import attrs

from plantainridge.gateway.events import EvacuationChanged
from plantainridge.ids import DcId
from plantainridge.loop.effects import LogLine

# Time in which operators have written a record again that the metadata store
# lost when it returned from an older copy, in s.
REWRITE_TIMEOUT_S: Final = 4.5
# Bounds of the time that an evacuation is expected to last on. Nothing states
# its end; callers that come back too often are refused again.
MIN_REMAINING_S: Final = 1.0
MAX_REMAINING_S: Final = 5.0


@attrs.define
class EvacuationTable:
    """Evacuations that this VM knows.

    Attributes:
        started_at: Evacuated data centres, with the loop time at which this VM
            learned of the evacuation, in s.
        unlisted_at: Those of them that a store which returned from an older
            copy does not list, with the loop time at which it was read, in s.
        ended_at: Data centres that were evacuated before, with the loop time
            at which this VM learned of the withdrawal, in s.
    """

    started_at: dict[DcId, float] = attrs.field(factory=dict)
    unlisted_at: dict[DcId, float] = attrs.field(factory=dict)
    ended_at: dict[DcId, float] = attrs.field(factory=dict)

    def is_evacuated(self, dc: DcId) -> bool:
        """Return whether nothing may be sent to a data centre's endpoints."""
        return dc in self.started_at

    def held_back(self, context: str, ramp_s: float,
                  now: float) -> frozenset[DcId]:
        """Return the data centres to which a context has not returned yet.

        Args:
            context: Context of the prompt, or any id of a request without one.
            ramp_s: Time in which all contexts return, in s.
            now: Loop time in s.
        """
        return frozenset(dc for dc, ended_at in self.ended_at.items()
                         if now - ended_at < ramp_s and now -
                         ended_at < ramp_s * return_rank(dc, context))

    def remaining_s(self, dcs: Collection[DcId], now: float) -> float:
        """Return the time until the first of some evacuations may end, in s.

        An evacuation is expected to last as long again as it has lasted.

        Args:
            dcs: Data centres, of which those that are not evacuated are
                skipped.
            now: Loop time in s.
        """
        elapsed_s = min(
            (now - self.started_at[dc] for dc in dcs if dc in self.started_at),
            default=math.inf)
        return min(MAX_REMAINING_S, max(MIN_REMAINING_S, elapsed_s))


def return_rank(dc: DcId, context: str) -> float:
    """Return when a context returns to a data centre, as a share of the ramp.

    Returns:
        A hash in [0, 1), independent of that by which `spill` assigns contexts.
    """
    text = f'return/{dc}/{context}'
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big') / 2**64


def apply(table: EvacuationTable, change: EvacuationChanged,
          now: float) -> Iterator[LogLine]:
    """Apply a record of the operators; one that changes nothing is ignored."""
    if change.requested and change.dc not in table.started_at:
        table.started_at[change.dc] = now
        table.ended_at.pop(change.dc, None)
        yield LogLine('evacuation_started', (('dc', change.dc),))
    elif not change.requested:
        yield from _end(table, change.dc, 'withdrawn', now)


def reconcile(table: EvacuationTable, listed: Collection[DcId],
              is_restored: bool, issued_at: float,
              now: float) -> Iterator[LogLine]:
    """End the evacuations that a snapshot of the operators' records lacks.

    The first snapshot of a store that returned from an older copy may lack a
    record that is in force. Such an evacuation ends only if the record is not
    written again in time.

    Args:
        table: The evacuations; changed in place.
        listed: Data centres that the snapshot lists as evacuated.
        is_restored: Whether it is the first since the store returned.
        issued_at: Loop time at which the snapshot's read was issued, in s.
        now: Loop time in s.
    """
    for dc in list(table.started_at):
        if dc in listed:
            table.unlisted_at.pop(dc, None)
        elif is_restored:
            table.unlisted_at[dc] = now
            yield LogLine('evacuation_unlisted', (('dc', dc),))
        elif (issued_at - table.unlisted_at.get(dc, -math.inf)
              >= REWRITE_TIMEOUT_S):
            yield from _end(table, dc, 'not listed', now)


def _end(table: EvacuationTable, dc: DcId, cause: str,
         now: float) -> Iterator[LogLine]:
    started_at = table.started_at.pop(dc, None)
    table.unlisted_at.pop(dc, None)
    if started_at is None:
        return
    table.ended_at[dc] = now
    yield LogLine('evacuation_ended',
                  (('dc', dc), ('cause', cause),
                   ('lasted_s', round(now - started_at, 3))))
