"""One reader's copy of the configuration, derived from the log's records alone.

Readers that applied the same records hold the same configuration and decided
every proposal alike. A reader that missed records because the log has trimmed
them applies no change until a checkpoint or a peer's snapshot gives it the
state at an offset from which it can read on.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final

import attrs

from plantainridge import config as cfg
from plantainridge import revision_records as rr
from plantainridge.differences import Difference, apply
from plantainridge.events import Record

# Bounds of the recent records retained for peers that are behind.
MAX_RECENT_RECORDS: Final = 512
MAX_RECENT_BYTES: Final = 1 << 20


@attrs.frozen
class Accepted:
    """A proposal that took effect as revision `offset`.

    Attributes:
        offset: Log offset of the proposal's last part.
        group: Id of the proposal.
        base: Revision that the proposal was made from.
    """

    offset: int
    group: str
    base: int


@attrs.frozen
class Conflict:
    """A proposal rejected because its base was not in force.

    Attributes:
        offset: Log offset of the proposal's last part.
        group: Id of the proposal.
        base: Revision that the proposal was made from.
        in_force: Revision in force at that offset.
    """

    offset: int
    group: str
    base: int
    in_force: int


Outcome = Accepted | Conflict | rr.SkippedRecord


@attrs.frozen
class Snapshot:
    """The configuration after all records before `next`.

    Attributes:
        config: The configuration.
        next: Offset of the first record not covered.
        checkpoint_offset: Offset of the newest known checkpoint's last part;
            -1 for none.
        checkpoint_at: Log time of that record, in s.
    """

    config: cfg.Config
    next: int
    checkpoint_offset: int = -1
    checkpoint_at: float = 0.0


@attrs.define
class _Group:
    """A change or checkpoint that is being assembled from its parts.

    Attributes:
        head: Head of the first part.
        first_offset: Log offset of the first part.
        next_part: Index of the part expected next.
        differences: Decoded bodies of the parts so far.
    """

    head: rr.Head
    first_offset: int
    next_part: int = 0
    differences: list[Difference] = attrs.field(factory=list)


@attrs.define
class Replica:
    """A copy of the configuration and its position in the log.

    Attributes:
        config: The configuration after the records applied so far.
        next: Offset of the next record to apply.
        cursor: Offset to read from; beyond `next` while there is a gap.
        has_gap: Whether records from `next` on were trimmed unread.
        checkpoint_offset: Offset of the newest seen checkpoint's last part; -1
            for none.
        checkpoint_at: Log time of that record, in s.
        recent: Records just before `next`, without checkpoints' payloads.
        recent_bytes: Total size of the payloads in `recent`.
    """

    config: cfg.Config = cfg.EMPTY
    next: int = 0
    cursor: int = 0
    has_gap: bool = False
    checkpoint_offset: int = -1
    checkpoint_at: float = 0.0
    recent: deque[Record] = attrs.field(factory=deque)
    recent_bytes: int = 0
    _group: _Group | None = None

    @property
    def stable_next(self) -> int:
        """Offset from which a reader that installs a snapshot must read on.

        This is `next`, or the first part of a change that is still incomplete.
        """
        return self._group.first_offset if self._group else self.next

    def snapshot(self) -> Snapshot:
        """Return this copy as a snapshot that another reader can install."""
        return Snapshot(self.config, self.stable_next, self.checkpoint_offset,
                        self.checkpoint_at)

    def apply_log_records(self, records: Iterable[Record],
                          first: int) -> list[Outcome]:
        """Apply records read from the log.

        Args:
            records: Records in order, from `cursor` or an earlier offset.
            first: Lowest offset that the log still keeps.

        Returns:
            Outcomes of the proposals that the records complete.
        """
        if first > self.cursor:
            self.has_gap = True
            self.cursor = first
            self._group = None
        outcomes: list[Outcome] = []
        for record in records:
            if record.offset != self.cursor:
                continue
            self.cursor = record.offset + 1
            if not self.has_gap:
                outcomes += self._apply_record(record)
            elif self._scan_for_checkpoint(record, first):
                break
        return outcomes

    def apply_relayed_records(self, records: Iterable[Record]) -> list[Outcome]:
        """Apply records relayed by a peer, from `next` on.

        Args:
            records: Records in order; one at another offset is ignored.

        Returns:
            Outcomes of the proposals that the records complete.
        """
        outcomes: list[Outcome] = []
        for record in records:
            if record.offset != self.next:
                continue
            outcomes += self._apply_record(record)
            self._close_gap()
        return outcomes

    def install(self, snapshot: Snapshot) -> bool:
        """Replace this copy by a snapshot that is ahead of it; ignore others.

        Returns:
            Whether the snapshot was installed.
        """
        if snapshot.next <= self.next:
            return False
        self.config = snapshot.config
        self.next = snapshot.next
        self._group = None
        if snapshot.checkpoint_offset > self.checkpoint_offset:
            self.checkpoint_offset = snapshot.checkpoint_offset
            self.checkpoint_at = snapshot.checkpoint_at
        self.recent.clear()
        self.recent_bytes = 0
        self._close_gap()
        return True

    def records_from(self, offset: int, max_bytes: int) -> list[Record] | None:
        """Return recent records from an offset on.

        Args:
            offset: Offset of the first record.
            max_bytes: Bound of the payloads' total size; one record is returned
                even if it is larger.

        Returns:
            The records in order, or None if the offset is no longer retained.
        """
        if not self.recent or not self.recent[0].offset <= offset <= self.next:
            return None
        found: list[Record] = []
        size = 0
        for record in self.recent:
            if record.offset < offset:
                continue
            size += len(record.payload)
            if found and size > max_bytes:
                break
            found.append(record)
        return found

    def _close_gap(self) -> None:
        self.has_gap = False
        self.cursor = self.next

    def _apply_record(self, record: Record) -> list[Outcome]:
        self.next = record.offset + 1
        if not record.payload:
            # Peers relay a checkpoint without its payload.
            self._group = None
            self._remember(record)
            return []
        try:
            head = rr.decode_head(record.payload)
        except rr.InvalidRecord as error:
            self._group = None
            self._remember(record)
            return [rr.SkippedRecord(record.offset, str(error))]
        if isinstance(head, rr.CheckpointHead):
            return self._skip_checkpoint(head, record)
        self._remember(record)
        try:
            group = self._add_part(head, record)
        except rr.InvalidRecord as error:
            self._group = None
            return [rr.SkippedRecord(record.offset, str(error))]
        if group is None:
            return []
        return [self._decide(head, record.offset, group)]

    def _skip_checkpoint(self, head: rr.CheckpointHead,
                         record: Record) -> list[Outcome]:
        self._group = None
        self._remember(attrs.evolve(record, payload=b''))
        if head.part == head.parts - 1:
            self._record_checkpoint(record)
        return []

    def _add_part(self, head: rr.Head, record: Record) -> _Group | None:
        """Add a part to its group.

        Returns:
            The group if it is now complete, else None.

        Raises:
            InvalidRecord: A part before this one is missing, or the body is
                malformed.
        """
        group = self._group
        if head.part == 0:
            group = _Group(head, record.offset)
        expected = None if group is None else attrs.evolve(group.head,
                                                           part=head.part)
        if group is None or expected != head or group.next_part != head.part:
            raise rr.InvalidRecord('PartMissing')
        group.differences.append(rr.decode_body(rr.body_bytes(record.payload)))
        group.next_part += 1
        self._group = group if group.next_part < head.parts else None
        return group if self._group is None else None

    def _decide(self, head: rr.ChangeHead, offset: int,
                group: _Group) -> Outcome:
        if head.base != self.config.revision:
            return Conflict(offset, head.group, head.base, self.config.revision)
        config = cfg.EMPTY if head.whole else self.config
        self.config = _apply_all(config, group, offset)
        return Accepted(offset, head.group, head.base)

    def _scan_for_checkpoint(self, record: Record, first: int) -> bool:
        """Look for a checkpoint that closes the gap; return whether it did."""
        try:
            head = rr.decode_head(record.payload)
            if not isinstance(head, rr.CheckpointHead):
                self._group = None
                return False
            group = self._add_part(head, record)
        except rr.InvalidRecord:
            self._group = None
            return False
        if group is None or head.next < first or head.next < self.next:
            return False
        config = _apply_all(cfg.EMPTY, group, head.revision)
        self._record_checkpoint(record)
        if head.next == self.next:
            self._close_gap()
            return True
        return self.install(Snapshot(config, head.next))

    def _record_checkpoint(self, record: Record) -> None:
        self.checkpoint_offset = record.offset
        self.checkpoint_at = record.at

    def _remember(self, record: Record) -> None:
        self.recent.append(record)
        self.recent_bytes += len(record.payload)
        while (len(self.recent) > MAX_RECENT_RECORDS or
               self.recent_bytes > MAX_RECENT_BYTES):
            self.recent_bytes -= len(self.recent.popleft().payload)


def _apply_all(config: cfg.Config, group: _Group, revision: int) -> cfg.Config:
    puts = [put for part in group.differences for put in part.puts]
    drops = [drop for part in group.differences for drop in part.drops]
    changed = apply(config, Difference(tuple(puts), tuple(drops)))
    return attrs.evolve(changed, revision=revision)
