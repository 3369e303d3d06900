"""Periods in which the stored parts of a weight version are fetched and freed.

A KV cache store does not know which engines fetch from it. No VM may therefore
have a part fetched once another VM may free it, whichever of them cannot reach
the metadata store or each other. Fetches and frees are bounded by time alone:

- A VM has parts of a version fetched only within `FETCH_WINDOW_S` of the issue
  of a read of the operators' records that named no newer version. The newer
  version was named later, and a fetch ends by its own deadline. A relayed read
  counts from a time that this VM's own clock had reached when the peer issued
  it, so that no delay makes it seem newer.
- A VM frees parts once it has known a newer version for `FREE_DELAY_S`, which
  is longer.
"""

import math
from collections.abc import Mapping
from typing import Final

import attrs

from plantainridge.ids import ModelId

# Time from the issue of a read that named no newer version to the end of the
# last fetch. An outage of the metadata store ends fetches only after it.
FETCH_WINDOW_S: Final = 14.5
# Error of deadlines on the engines' clock.
CLOCK_TOLERANCE_S: Final = 0.5
# Time since a newer version was read after which parts are freed.
FREE_DELAY_S: Final = FETCH_WINDOW_S + CLOCK_TOLERANCE_S
# Time without an observation after which this VM's process was suspended. What
# it then receives may have waited in its sockets for as long.
MAX_PAUSE_S: Final = 1.0
PAUSE_SETTLE_S: Final = 1.0
# Time after the metadata store returned from an older copy in which operators
# write again what the copy lacks.
RESTORE_SETTLE_S: Final = 5.0


@attrs.frozen
class NewestVersion:
    """A version from when it became the newest one that this VM knows.

    Attributes:
        first_seen_at: Loop time at which this VM knew it, in s.
        last_absent_at: Loop time of the issue of the last read that named
            neither this version nor a newer one, in s.
    """

    version: int
    first_seen_at: float
    last_absent_at: float


@attrs.define
class PartLifetimes:
    """Newest versions of each model, with the reads that showed them.

    Attributes:
        newest: The versions in the order in which they became the newest.
        read_at: Loop time of the issue of the last read that counts, in s.
        observed_at: Loop time of the last observation, in s.
        settled_at: Loop time from which reads count, in s.
        era: Era of the metadata store.
    """

    newest: dict[ModelId, list[NewestVersion]] = attrs.field(factory=dict)
    read_at: float = -math.inf
    observed_at: float = math.inf
    settled_at: float = -math.inf
    era: int = 0

    def observe(self, newest: Mapping[ModelId, int], read_at: float, era: int,
                now: float) -> None:
        """Record the newest version of each model.

        Args:
            newest: Newest version of each model, as last read.
            read_at: Loop time of the issue of the last read of the operators'
                records, in s.
            era: The metadata store's era.
            now: Loop time in s.
        """
        if now - self.observed_at > MAX_PAUSE_S:
            self.settled_at = max(self.settled_at, now + PAUSE_SETTLE_S)
        if era != self.era:
            self.settled_at = max(self.settled_at, now + RESTORE_SETTLE_S)
        self.observed_at, self.era = now, era
        for model, version in newest.items():
            entries = self.newest.setdefault(model, [])
            if not entries or entries[-1].version < version:
                entries.append(NewestVersion(version, now, self.read_at))
        if read_at >= self.settled_at:
            self.read_at = read_at

    def may_fetch(self, model: ModelId, version: int, until: float) -> bool:
        """Return whether parts of a version may be fetched until a loop time.

        Args:
            model: The model.
            version: Weight version of the parts.
            until: Loop time at which the fetch is discarded, in s.
        """
        newer = self._first_newer(model, version)
        current_at = self.read_at if newer is None else newer.last_absent_at
        return until <= current_at + FETCH_WINDOW_S

    def replaced_for_s(self, model: ModelId, version: int, now: float) -> float:
        """Return for how long this VM has known a newer version, in s.

        Parts are freed once this exceeds `FREE_DELAY_S`. It is -inf if no newer
        version is known.
        """
        newer = self._first_newer(model, version)
        return -math.inf if newer is None else now - newer.first_seen_at

    def _first_newer(self, model: ModelId,
                     version: int) -> NewestVersion | None:
        return next((entry for entry in self.newest.get(model, ())
                     if entry.version > version), None)
