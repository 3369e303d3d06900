"""Records of a view that changed since it was loaded, for peers that miss some.

Made for a metadata store that answers some VMs and not others, among these the
VM that reads for its data centre. Until peers elect another one nobody relays
what changes, and its first relay begins where it has read to: VMs that are not
answered could not follow any later relay.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

import attrs

from plantainridge.gateway.events import RawRecord

# Deleted keys that are remembered; the oldest are forgotten first.
MAX_DELETED: Final = 4_096


@attrs.frozen
class _Change:
    """The newest record of a key, and an offset of the log beyond it."""

    record: RawRecord
    end: int


@attrs.define
class RecentRecords:
    """Newest record of each key that changed since a snapshot was read.

    Attributes:
        changes: The records by key, least recently changed first.
        deleted: Keys whose newest record deletes them, oldest first.
        complete_from: Lowest offset from which no record is missing.
    """

    changes: OrderedDict[str, _Change] = attrs.field(factory=OrderedDict)
    deleted: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    complete_from: int = 0

    def restart(self, offset: int) -> None:
        """Forget all records, as a snapshot was read at an offset."""
        self.changes.clear()
        self.deleted.clear()
        self.complete_from = offset

    def add(self, records: Iterable[RawRecord], end: int) -> None:
        """Add records that lie before an offset, oldest first."""
        for record in records:
            self.changes[record.key] = _Change(record, end)
            self.changes.move_to_end(record.key)
            self.deleted.pop(record.key, None)
            if record.value is None:
                self.deleted[record.key] = None
        while len(self.deleted) > MAX_DELETED:
            key, _ = self.deleted.popitem(last=False)
            forgotten = self.changes.pop(key)
            self.complete_from = max(self.complete_from, forgotten.end)

    def since(self, start: int) -> tuple[RawRecord, ...] | None:
        """Return the newest records that may lie at an offset or after it.

        Returns:
            The records, least recently changed first; None if some of them may
            be missing.
        """
        if start < self.complete_from:
            return None
        found: list[RawRecord] = []
        for change in reversed(self.changes.values()):
            if change.end <= start:
                break
            found.append(change.record)
        return tuple(reversed(found))
