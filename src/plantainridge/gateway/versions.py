"""Target weight versions of the models, as set by operators."""

import attrs

from plantainridge.ids import ModelId


@attrs.frozen
class VersionEntry:
    """A target version of a model.

    Attributes:
        seen_at: Loop time at which this VM first read it, in s.
    """

    version: int
    seen_at: float


@attrs.define
class VersionTable:
    """Target versions of each model, in increasing order.

    Attributes:
        history: Target versions of each model, oldest first.
    """

    history: dict[ModelId, list[VersionEntry]] = attrs.field(factory=dict)

    def add(self, model: ModelId, version: int, now: float) -> bool:
        """Add a target version; return whether it is newer than all known."""
        entries = self.history.setdefault(model, [])
        if entries and entries[-1].version >= version:
            return False
        entries.append(VersionEntry(version, now))
        return True

    @property
    def latest(self) -> dict[ModelId, VersionEntry]:
        """The newest target version of each model."""
        return {model: entries[-1] for model, entries in self.history.items()}

    def newest(self, model: ModelId) -> int | None:
        """Return the newest target version, or None."""
        entries = self.history.get(model)
        return entries[-1].version if entries else None

    def replaced_at(self, model: ModelId, version: int | None) -> float | None:
        """Return the loop time at which a version was first replaced, in s.

        The first newer version counts, so that later ones do not extend the
        time within which a version must be replaced.

        Returns:
            The loop time, or None if the version has not been replaced.
        """
        for entry in self.history.get(model, ()):
            if version is not None and entry.version > version:
                return entry.seen_at
        return None
