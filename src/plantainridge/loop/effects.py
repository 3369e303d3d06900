"""What any reducer can ask its process to do."""

import attrs

from plantainridge.ids import VmId
from plantainridge.loop.events import TimerKey


@attrs.frozen
class Effect:
    """Base of all effects."""


@attrs.frozen
class SetTimer(Effect):
    """Asks for `TimerFired(key)` at loop time `at`, in s."""

    key: TimerKey
    at: float


@attrs.frozen
class CancelTimer(Effect):
    """Forgets a timer; no error if it is not set."""

    key: TimerKey


@attrs.frozen
class LogLine(Effect):
    """Writes one structured log line; `fields` hold no prompt and no key."""

    event: str
    fields: tuple[tuple[str, str | int | float | bool], ...] = ()


@attrs.frozen
class Observe(Effect):
    """Counts a measurement into the histogram of a team and class.

    Attributes:
        metric: Name with its unit, such as `first_token_s`.
        team: The team, or empty.
        klass: Class within the metric, such as a model, or empty.
        value: The reading, in the metric's unit.
    """

    metric: str
    team: str
    klass: str
    value: float


@attrs.frozen
class SendPeer(Effect):
    """Sends a message to another VM's process; may be lost."""

    vm: VmId
    address: str
    payload: bytes = attrs.field(repr=False)


@attrs.frozen
class Exit(Effect):
    """Ends the process; every stream is finished."""
