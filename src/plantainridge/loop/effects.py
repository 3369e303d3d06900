"""Effects that every reducer can request from its process."""

import attrs

from plantainridge.ids import VmId
from plantainridge.loop.events import TimerKey


@attrs.frozen
class Effect:
    """Base of all effects."""


@attrs.frozen
class SetTimer(Effect):
    """Set a timer that posts `TimerFired(key)` at loop time `at`, in s."""

    key: TimerKey
    at: float


@attrs.frozen
class CancelTimer(Effect):
    """Cancel a timer; do nothing if it is not set."""

    key: TimerKey


@attrs.frozen
class LogLine(Effect):
    """Write a structured log line; `fields` must hold no prompt and no key."""

    event: str
    fields: tuple[tuple[str, str | int | float | bool], ...] = ()


@attrs.frozen
class Observe(Effect):
    """Record a measurement in the histogram of a metric, team and class.

    Attributes:
        metric: Name that ends in its unit, such as `first_token_s`.
        team: The team, or empty.
        klass: Class within the metric, such as a model, or empty.
        value: The measured value, in the metric's unit.
    """

    metric: str
    team: str
    klass: str
    value: float


@attrs.frozen
class SendPeer(Effect):
    """Send a message to another VM's process; it may be lost."""

    vm: VmId
    address: str
    payload: bytes = attrs.field(repr=False)


@attrs.frozen
class Exit(Effect):
    """End the process, once all streams are finished."""
