"""Events that every reducer handles."""

import enum

import attrs

from plantainridge.ids import VmId


@attrs.frozen
class Event:
    """Base of all events."""


@attrs.frozen
class TimerKey:
    """Identifier of a timer; setting the same key again replaces the timer."""

    kind: enum.Enum
    subject: str = ''


@attrs.frozen
class TimerFired(Event):
    """A timer set by `SetTimer` expired."""

    key: TimerKey


@attrs.frozen
class PeerMessageReceived(Event):
    """A message from another VM's process, not yet decoded.

    Attributes:
        sender: The sending VM; empty where the transport does not know it.
    """

    sender: VmId
    payload: bytes = attrs.field(repr=False)
