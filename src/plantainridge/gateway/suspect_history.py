"""Crashes and quarantined suspects, as kept in the metadata store.

The load pattern: requests that crash engines keep coming while all VMs are
killed, once or again and again. What VMs know of crashes is lost with them, and
those that start would send such requests until they had seen as many crashes
anew. The recent crashes and the quarantine are therefore kept as one record in
the metadata store. It changes when an endpoint crashes, when a suspect is
quarantined or cleared, and when one of these is forgotten.

The record holds ages, not times of day, since clocks of VMs differ and jump. An
age is true at the moment of the write and is a lower bound for every reader.

Nothing here does input or output.
"""

import math
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

import attrs

from plantainridge.gateway.crash_attribution import Crash, Suspect
from plantainridge.gateway.events import (RecordedCrash, RecordedQuarantine,
                                          SuspectRecord)
from plantainridge.gateway.record_log import RecordLog

# Size of all recorded crashes together; the oldest are left out. With the
# quarantine the record stays below the 262,144 bytes that the metadata store
# accepts.
MAX_CRASHES_BYTES: Final = 200_000
# Longest name of a part that is recorded; callers choose them.
MAX_NAME_CHARS: Final = 64
# Bytes that a suspect takes beside its name, where it is listed and where the
# time of its send is.
SUSPECT_OVERHEAD_BYTES: Final = 8
# Shortest time between two writes of one VM.
MIN_WRITE_INTERVAL_S: Final = 1.0
# Time after this VM became ready for which requests wait for the first read.
# Longer, sound ones would be refused because of a store that is slow.
MAX_UNREAD_S: Final = 1.0


@attrs.define
class SuspectHistory(RecordLog):
    """What this VM knows of the record.

    Attributes:
        known: Whether it was read.
        record: The newest record that was read or written, or None.
        pending: The record that the pending call writes, or None.
        is_own: Whether this VM wrote `record`.
        written_at: Loop time of this VM's last write, in s.
        ready_at: Loop time at which this VM was first ready, in s.
    """

    known: bool = False
    record: SuspectRecord | None = None
    pending: SuspectRecord | None = None
    is_own: bool = False
    written_at: float = -math.inf
    ready_at: float = math.inf

    def is_awaited(self, now: float) -> bool:
        """Return whether requests wait until the record has been read."""
        return not self.known and now < self.ready_at + MAX_UNREAD_S

    def may_write(self, now: float) -> bool:
        """Return whether the last write was long enough ago."""
        return now - self.written_at >= MIN_WRITE_INTERVAL_S

    def differs(self, crashes: Sequence[Crash],
                quarantine: Mapping[Suspect,
                                    RecordedQuarantine], era: int) -> bool:
        """Return whether the record must be written anew.

        Args:
            crashes: The recent crashes, oldest first.
            quarantine: The quarantined suspects.
            era: The metadata store's present era.
        """
        if self.record is None:
            return bool(crashes or quarantine)
        is_empty = not (self.record.crashes or self.record.quarantine)
        if self.record.era != era and not (is_empty and not crashes and
                                           not quarantine):
            return True
        kept = _recordable(crashes)
        if (Counter(each.endpoint for each in kept)
                != Counter(each.endpoint for each in self.record.crashes)):
            return True
        # Other VMs may have missed some requests of a crash.
        if self.is_own and (sum(len(each.parts_of) for each in kept) > sum(
                len(each.parts_of) for each in self.record.crashes)):
            return True
        return _failed_probes(quarantine) != _failed_probes(
            self.record.quarantine)


def next_record(crashes: Sequence[Crash],
                quarantine: Mapping[Suspect, RecordedQuarantine], era: int,
                now: float) -> SuspectRecord:
    """Return the record to write.

    Args:
        crashes: The recent crashes, oldest first.
        quarantine: The quarantined suspects.
        era: The metadata store's present era.
        now: Loop time in s.
    """
    return SuspectRecord(
        tuple(
            RecordedCrash(
                each.endpoint, now - each.at, {
                    request: tuple(filter(_is_short, parts))
                    for request, parts in each.parts_of.items()
                }, {
                    suspect: each.at - at
                    for suspect, at in each.sent_at.items()
                    if _is_short(suspect)
                })
            for each in _recordable(crashes)), dict(quarantine), era)


def missed_crashes(record: SuspectRecord, crashes: Sequence[Crash],
                   answers: int, retention_s: float,
                   now: float) -> Iterator[Crash]:
    """Yield the crashes of a record that a VM does not know, oldest first.

    Args:
        record: The record.
        crashes: The crashes that the VM knows.
        answers: Number of answers that the VM has received.
        retention_s: Age at which a crash is forgotten, in s.
        now: Loop time in s.
    """
    for each in record.crashes:
        is_known = any(crash.endpoint == each.endpoint and
                       not each.parts_of.keys().isdisjoint(crash.parts_of)
                       for crash in crashes)
        if is_known or not each.age_s < retention_s:
            continue
        at = now - max(0.0, each.age_s)
        yield Crash(
            each.endpoint, at, answers, {
                suspect: at - max(0.0, before_s)
                for suspect, before_s in each.sent_before_s.items()
            }, dict(each.parts_of))


def _recordable(crashes: Sequence[Crash]) -> Sequence[Crash]:
    """Return the newest crashes, as many as the record holds."""
    size = 0
    for at in range(len(crashes) - 1, -1, -1):
        size += _size(crashes[at])
        if size > MAX_CRASHES_BYTES:
            return crashes[at + 1:]
    return crashes


def _size(crash: Crash) -> int:
    """Return the most bytes that a crash takes in the record."""
    return sum(2 * (len(suspect) + SUSPECT_OVERHEAD_BYTES)
               for request, parts in crash.parts_of.items()
               for suspect in (request, *parts)
               if _is_short(suspect))


def _is_short(suspect: Suspect) -> bool:
    return len(suspect) <= MAX_NAME_CHARS


def _failed_probes(
        quarantine: Mapping[Suspect, RecordedQuarantine]) -> dict[Suspect, int]:
    return {suspect: each.failed_probes for suspect, each in quarantine.items()}
