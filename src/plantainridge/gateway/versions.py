"""Target weight versions of the models, as set by operators.

The time for which replaced weights may be used counts from the naming of a
newer version, not from when a VM first read it. A VM that did not follow the
operators' records at that time (it started later, was suspended or was cut off)
assumes the earliest time that is possible until a peer states a later one.
"""

import bisect
import math

import attrs

from plantainridge.ids import ModelId


@attrs.frozen
class VersionEntry:
    """A target version of a model.

    Attributes:
        seen_at: Loop time at which this VM learned of it, in s.
        named_at: Loop time before which it, and any version between the
            previous entry and it, was not named, in s; -inf if not known.
        precise: Whether it was named shortly after that time.
        assumed_at: Later loop time that this VM assumes by itself, as its reads
            failed until then, in s; -inf if there is none.
    """

    version: int
    seen_at: float
    named_at: float
    precise: bool
    assumed_at: float = -math.inf

    @property
    def counts_from(self) -> float:
        """Loop time from which the age counts at this VM, in s."""
        return max(self.named_at, self.assumed_at)


@attrs.frozen
class VersionAge:
    """Age of a version, as stated to another VM.

    Attributes:
        age_s: Time since `named_at`, in s; inf if not known.
        precise: As in `VersionEntry`.
    """

    model: ModelId
    version: int
    age_s: float
    precise: bool


@attrs.define
class VersionTable:
    """Target versions of each model, in increasing order.

    Attributes:
        history: Target versions of each model, oldest first.
    """

    history: dict[ModelId, list[VersionEntry]] = attrs.field(factory=dict)

    def add(self, model: ModelId, entry: VersionEntry) -> bool:
        """Add a target version; return whether it is newer than all known."""
        entries = self.history.setdefault(model, [])
        if entries and entries[-1].version >= entry.version:
            return False
        entries.append(entry)
        return True

    def add_stated(self, stated: VersionAge, stated_at: float,
                   now: float) -> bool:
        """Add a version that a peer stated, or the time of its naming.

        Of two times that are known precisely the earlier counts. What this VM
        assumes by itself is not stated to others, and gives way to a precise
        time only.

        Args:
            stated: The version and its age.
            stated_at: Loop time from which the age counts, in s.
            now: Loop time in s.

        Returns:
            Whether this VM has learned anything.
        """
        entries = self.history.setdefault(stated.model, [])
        at = bisect.bisect_left(entries,
                                stated.version,
                                key=lambda each: each.version)
        named_at, seen_at, replaced = stated_at - stated.age_s, now, 0
        assumed_at = -math.inf
        if at < len(entries) and entries[at].version == stated.version:
            known = entries[at]
            if not _is_better(stated.precise, named_at, known):
                return False
            seen_at, replaced = known.seen_at, 1
            if not stated.precise:
                assumed_at = known.assumed_at
        entries[at:at + replaced] = [
            VersionEntry(stated.version, seen_at, named_at, stated.precise,
                         assumed_at)
        ]
        return True

    def ages(self, now: float) -> tuple[VersionAge, ...]:
        """Return the ages of all versions."""
        return tuple(
            VersionAge(model, each.version, now - each.named_at, each.precise)
            for model, entries in self.history.items()
            for each in entries)

    @property
    def latest(self) -> dict[ModelId, VersionEntry]:
        """The newest target version of each model."""
        return {
            model: entries[-1]
            for model, entries in self.history.items()
            if entries
        }

    def newest(self, model: ModelId) -> int | None:
        """Return the newest target version, or None."""
        entries = self.history.get(model)
        return entries[-1].version if entries else None

    def replaced_at(self, model: ModelId, version: int | None) -> float | None:
        """Return the loop time at which a version was first replaced, in s.

        The first newer version counts, so that later ones do not extend the
        time within which a version must be replaced. It was named before them.

        Returns:
            The earliest loop time that is possible; -inf if nothing is known;
            None if the version has not been replaced.
        """
        newer = [
            entry for entry in self.history.get(model, ())
            if version is not None and entry.version > version
        ]
        if not newer:
            return None
        return min([
            newer[0].counts_from,
            *(each.named_at for each in newer if each.precise)
        ])

    def is_replaced_at_unknown(self, model: ModelId, version: int) -> bool:
        """Return whether it is not known when a version was replaced."""
        for entry in self.history.get(model, ()):
            if entry.version > version:
                return not entry.precise
        return False


def _is_better(precise: bool, named_at: float, known: VersionEntry) -> bool:
    """Return whether a stated time replaces one that is known."""
    if precise and known.precise:
        return named_at < known.named_at
    return not known.precise and (precise or named_at > known.named_at)


def loggable(age_s: float) -> float:
    """Return an age as a log field: -1 if it is not known."""
    return -1.0 if math.isinf(age_s) else round(age_s, 3)
