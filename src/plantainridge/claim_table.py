"""Table of the first claim of each key in one shard of the claims stream.

Every VM that has read the same records of a key derives the same entry. The
table holds all records later than `incomplete_until`. For a key that may have
earlier records, the absence of an entry proves nothing.
"""

import attrs

from plantainridge.claim_records import (Claim, ClaimId, ClaimRecord, Outcome,
                                         Release)


@attrs.define
class ClaimEntry:
    """The first claim of a key that has not been released.

    Attributes:
        claim: Identifier of the claim.
        body: Short digest of the claimed call.
        claimed_at: Platform time of the claim's record, in s.
        outcome: Recorded outcome of the call, or None.
    """

    claim: ClaimId
    body: bytes
    claimed_at: float
    outcome: Outcome | None = None


@attrs.define
class ClaimTable:
    """Entries of one shard, oldest claim first.

    Attributes:
        max_entries: Largest number of entries; the oldest are evicted first.
        entries: Entries by the key's digest.
        incomplete_until: Platform time in s up to which records may be
            missing.
    """

    max_entries: int
    entries: dict[bytes, ClaimEntry] = attrs.field(factory=dict)
    incomplete_until: float = float('-inf')

    def apply(self, record: ClaimRecord, at: float) -> None:
        """Apply the next record of the shard.

        Args:
            record: The record.
            at: Platform time of the record, in s.
        """
        entry = self.entries.get(record.digest)
        if isinstance(record, Claim):
            if entry is None:
                self.entries[record.digest] = ClaimEntry(
                    record.id, record.body, at)
                self._evict_excess()
            return
        if entry is None or entry.claim != record.id:
            return
        if isinstance(record, Release):
            if entry.outcome is None:
                del self.entries[record.digest]
            return
        if entry.outcome is None:
            entry.outcome = record

    def is_held_by(self, digest: bytes, claim: ClaimId) -> bool:
        """Return whether a claim is the first of its key."""
        entry = self.entries.get(digest)
        return entry is not None and entry.claim == claim

    def is_complete_since(self, at: float) -> bool:
        """Return whether no record since a platform time in s is missing."""
        return at > self.incomplete_until

    def record_gap(self, at: float) -> None:
        """Clear the table: records up to a platform time in s are missing."""
        self.entries.clear()
        self.incomplete_until = max(self.incomplete_until, at)

    def expire(self, before: float) -> None:
        """Evict entries whose claim is older than a platform time in s."""
        while self.entries:
            digest = next(iter(self.entries))
            at = self.entries[digest].claimed_at
            if at >= before:
                return
            self._evict(digest)

    def _evict_excess(self) -> None:
        while len(self.entries) > self.max_entries:
            self._evict(next(iter(self.entries)))

    def _evict(self, digest: bytes) -> None:
        # After this, keys as old as the entry can no longer be judged.
        self.incomplete_until = max(self.incomplete_until,
                                    self.entries.pop(digest).claimed_at)
