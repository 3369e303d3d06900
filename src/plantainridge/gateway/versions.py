"""Weight versions that operators named."""

import attrs

from plantainridge.ids import ModelId


@attrs.frozen
class VersionEntry:
    """A version of a model, and when this VM read of it.

    Attributes:
        seen_at: Loop time, in s.
    """

    version: int
    seen_at: float


@attrs.define
class VersionTable:
    """The named versions of each model, oldest first; none goes back."""

    history: dict[ModelId, list[VersionEntry]] = attrs.field(factory=dict)

    def add(self, model: ModelId, version: int, now: float) -> bool:
        """Takes a named version in; False if it is not news."""
        known = self.history.setdefault(model, [])
        if known and known[-1].version >= version:
            return False
        known.append(VersionEntry(version, now))
        return True

    @property
    def latest(self) -> dict[ModelId, VersionEntry]:
        """The newest version of each model."""
        return {model: known[-1] for model, known in self.history.items()}

    def newest(self, model: ModelId) -> int | None:
        """Returns the newest named version, or None."""
        known = self.history.get(model)
        return known[-1].version if known else None

    def replaced_at(self, model: ModelId, version: int | None) -> float | None:
        """Returns the loop time at which a version was first replaced, in s.

        None if it was not; each newer version is judged from its own naming,
        so that a later one does not put the bound off.
        """
        for known in self.history.get(model, ()):
            if version is not None and known.version > version:
                return known.seen_at
        return None
