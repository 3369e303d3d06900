"""Interfaces between a reducer process and its environment."""

import abc
from collections.abc import Callable
from typing import Final

from plantainridge.loop.effects import SendPeer
from plantainridge.loop.events import Event

Post = Callable[[Event], None]

# Longest message between VMs that is accepted.
MAX_MESSAGE_BYTES: Final = 4 << 20


class PeerPort(abc.ABC):
    """Transport of messages to other VMs' processes."""

    @abc.abstractmethod
    def send(self, effect: SendPeer) -> None:
        """Send a message; it may be lost."""
