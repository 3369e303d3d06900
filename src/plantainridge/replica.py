"""One reader's copy of the configuration, by the records of the log alone.

Every reader that took in the same records holds the same configuration and
gave the same outcomes. A reader that has missed records, because the log has
trimmed them, takes no change until a checkpoint or a peer's snapshot tells
it the state at an offset from which it can read on.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final

import attrs

from plantainridge import config as cfg
from plantainridge import revision_records as rr
from plantainridge.differences import Difference, apply
from plantainridge.events import Record

# Recent records kept for peers.
MAX_RECENT_RECORDS: Final = 512
MAX_RECENT_BYTES: Final = 1 << 20


@attrs.frozen
class Accepted:
    """A proposal came in force as revision `offset`."""

    offset: int
    group: str
    base: int


@attrs.frozen
class Conflict:
    """A proposal was made from a revision that is not in force."""

    offset: int
    group: str
    base: int
    in_force: int


Outcome = Accepted | Conflict | rr.SkippedRecord


@attrs.frozen
class Snapshot:
    """The configuration after all records before `next`.

    Attributes:
        checkpoint_offset: Where the newest known checkpoint ends; -1 for none.
        checkpoint_at: Time that the log gave it, in s.
    """

    config: cfg.Config
    next: int
    checkpoint_offset: int = -1
    checkpoint_at: float = 0.0


@attrs.define
class _Group:
    """Parts of one change or checkpoint, put together in order."""

    head: rr.Head
    first_offset: int
    next_part: int = 0
    differences: list[Difference] = attrs.field(factory=list)


@attrs.define
class Replica:
    """The copy and where it stands in the log.

    Attributes:
        config: The configuration in force after the records taken in.
        next: Offset of the next record to take in.
        cursor: Offset to read from; beyond `next` while records are missing.
        missing: Whether records from `next` on were trimmed unread.
        checkpoint_offset: Where the newest checkpoint seen ends; -1 for none.
        checkpoint_at: Time that the log gave it, in s.
        recent: Records just before `next`, without checkpoints' payloads.
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
        """Offset from which a reader of a snapshot must read on."""
        return self._group.first_offset if self._group else self.next

    def snapshot(self) -> Snapshot:
        """Returns the copy as another reader can install it."""
        return Snapshot(self.config, self.stable_next, self.checkpoint_offset,
                        self.checkpoint_at)

    def apply_log_records(self, records: Iterable[Record],
                          first: int) -> list[Outcome]:
        """Takes in records as the log gave them.

        Args:
            records: In order, from `cursor` or before.
            first: Lowest offset that the log still keeps.
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
                outcomes += self._take(record)
            elif self._scan(record, first):
                break
        return outcomes

    def apply_relayed_records(self, records: Iterable[Record]) -> list[Outcome]:
        """Takes in records that a peer passed on, where they join on."""
        outcomes: list[Outcome] = []
        for record in records:
            if record.offset != self.next:
                continue
            outcomes += self._take(record)
            self._joined()
        return outcomes

    def install(self, snapshot: Snapshot) -> bool:
        """Takes over a snapshot, unless it is older than the copy."""
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
        self._joined()
        return True

    def records_from(self, offset: int, max_bytes: int) -> list[Record] | None:
        """Returns recent records from an offset, or None if not kept."""
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

    def _joined(self) -> None:
        self.has_gap = False
        self.cursor = self.next

    def _take(self, record: Record) -> list[Outcome]:
        self.next = record.offset + 1
        if not record.payload:
            # A checkpoint that a peer passed on without its payload.
            self._group = None
            self._keep(record)
            return []
        try:
            head = rr.decode_head(record.payload)
        except rr.InvalidRecord as error:
            self._group = None
            self._keep(record)
            return [rr.SkippedRecord(record.offset, str(error))]
        if isinstance(head, rr.CheckpointHead):
            return self._pass_checkpoint(head, record)
        self._keep(record)
        try:
            group = self._add(head, record)
        except rr.InvalidRecord as error:
            self._group = None
            return [rr.SkippedRecord(record.offset, str(error))]
        if group is None:
            return []
        return [self._decide(head, record.offset, group)]

    def _pass_checkpoint(self, head: rr.CheckpointHead,
                         record: Record) -> list[Outcome]:
        self._group = None
        self._keep(attrs.evolve(record, payload=b''))
        if head.part == head.parts - 1:
            self._note_checkpoint(record)
        return []

    def _add(self, head: rr.Head, record: Record) -> _Group | None:
        """Adds a part; returns the group once it is whole."""
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

    def _scan(self, record: Record, first: int) -> bool:
        """Looks for a checkpoint to go on from; returns whether it did."""
        try:
            head = rr.decode_head(record.payload)
            if not isinstance(head, rr.CheckpointHead):
                self._group = None
                return False
            group = self._add(head, record)
        except rr.InvalidRecord:
            self._group = None
            return False
        if group is None or head.next < first or head.next < self.next:
            return False
        config = _apply_all(cfg.EMPTY, group, head.revision)
        self._note_checkpoint(record)
        if head.next == self.next:
            self._joined()
            return True
        return self.install(Snapshot(config, head.next))

    def _note_checkpoint(self, record: Record) -> None:
        self.checkpoint_offset = record.offset
        self.checkpoint_at = record.at

    def _keep(self, record: Record) -> None:
        self.recent.append(record)
        self.recent_bytes += len(record.payload)
        while (len(self.recent) > MAX_RECENT_RECORDS or
               self.recent_bytes > MAX_RECENT_BYTES):
            self.recent_bytes -= len(self.recent.popleft().payload)


def _apply_all(config: cfg.Config, group: _Group, revision: int) -> cfg.Config:
    puts = [put for each in group.differences for put in each.puts]
    drops = [drop for each in group.differences for drop in each.drops]
    changed = apply(config, Difference(tuple(puts), tuple(drops)))
    return attrs.evolve(changed, revision=revision)
