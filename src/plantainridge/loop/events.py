"""What any reducer can be told."""

import enum

import attrs

from plantainridge.ids import VmId


@attrs.frozen
class Event:
    """Base of all events."""


@attrs.frozen
class TimerKey:
    """Names one timer; setting it again replaces it."""

    kind: enum.Enum
    subject: str = ''


@attrs.frozen
class TimerFired(Event):
    """A timer set by `SetTimer` came due."""

    key: TimerKey


@attrs.frozen
class PeerMessageReceived(Event):
    """A message from another VM's process, undecoded."""

    sender: VmId
    payload: bytes = attrs.field(repr=False)
