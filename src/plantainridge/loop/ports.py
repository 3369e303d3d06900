"""What a process with a reducer needs of the outside, as abstract classes."""

import abc
from collections.abc import Callable
from typing import Final

from plantainridge.loop.effects import SendPeer
from plantainridge.loop.events import Event

Post = Callable[[Event], None]

# Longest message between VMs that is taken in, in bytes.
MAX_MESSAGE_BYTES: Final = 4 << 20


class PeerPort(abc.ABC):
    """The way to other VMs' processes."""

    @abc.abstractmethod
    def send(self, effect: SendPeer) -> None:
        """Sends a message that may be lost."""
