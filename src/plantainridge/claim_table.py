"""What the claims stream of one shard says of each key, in log order.

Every VM that has read the same records of a key comes to the same entry. The
table knows all records later than its floor; of a key that may have older
records it can say nothing.
"""

import attrs

from plantainridge.claim_records import (Claim, ClaimId, ClaimRecord, Outcome,
                                         Release)


@attrs.define
class Entry:
    """The first claim of a key that is not released.

    Attributes:
        body: Short digest of the claimed call.
        at: Platform time of the claim's record, in s.
        outcome: How the call ended, or None while that is not recorded.
    """

    claim: ClaimId
    body: bytes
    at: float
    outcome: Outcome | None = None


@attrs.define
class ClaimTable:
    """Entries of one shard, oldest claim first.

    Attributes:
        floor: Platform time in s up to which records may be missing.
        max_entries: Bound of the table; the oldest entries go first.
    """

    max_entries: int
    entries: dict[bytes, Entry] = attrs.field(factory=dict)
    floor: float = float('-inf')

    def apply(self, record: ClaimRecord, at: float) -> None:
        """Takes in the next record of the shard.

        Args:
            record: The record.
            at: Platform time of the record, in s.
        """
        entry = self.entries.get(record.digest)
        if isinstance(record, Claim):
            if entry is None:
                self.entries[record.digest] = Entry(record.id, record.body, at)
                self._bound()
            return
        if entry is None or entry.claim != record.id:
            return
        if isinstance(record, Release):
            if entry.outcome is None:
                del self.entries[record.digest]
            return
        if entry.outcome is None:
            entry.outcome = record

    def held_by(self, digest: bytes, claim: ClaimId) -> bool:
        """Whether a claim is the first of its key."""
        entry = self.entries.get(digest)
        return entry is not None and entry.claim == claim

    def knows_all_since(self, at: float) -> bool:
        """Whether no record from a platform time on is missing."""
        return at > self.floor

    def miss(self, at: float) -> None:
        """Notes that records up to a platform time could not be read."""
        self.entries.clear()
        self.floor = max(self.floor, at)

    def expire(self, before: float) -> None:
        """Drops entries whose claim is older than a platform time."""
        while self.entries:
            digest = next(iter(self.entries))
            at = self.entries[digest].at
            if at >= before:
                return
            self._drop(digest)

    def _bound(self) -> None:
        while len(self.entries) > self.max_entries:
            self._drop(next(iter(self.entries)))

    def _drop(self, digest: bytes) -> None:
        # Whoever forgets an entry may no longer speak of keys that old.
        self.floor = max(self.floor, self.entries.pop(digest).at)
