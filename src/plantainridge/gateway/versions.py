"""Weight versions that operators named."""

import attrs

from plantainridge.ids import ModelId


@attrs.frozen
class Named:
    """The newest version of a model, and when this VM read of it.

    Attributes:
        seen_at: Loop time, in s.
    """

    version: int
    seen_at: float


@attrs.define
class VersionTable:
    """The newest named version of each model; none goes back."""

    named: dict[ModelId, Named] = attrs.field(factory=dict)

    def name(self, model: ModelId, version: int, now: float) -> bool:
        """Takes a named version in; False if it is not news."""
        known = self.named.get(model)
        if known is not None and known.version >= version:
            return False
        self.named[model] = Named(version, now)
        return True

    def newest(self, model: ModelId) -> int | None:
        """Returns the newest named version, or None."""
        known = self.named.get(model)
        return None if known is None else known.version
