"""What VMs of a data centre tell one another, by topic.

Each VM says one small, newest value per topic; what others said is a hint
with an age. Nothing is agreed here: agreement goes through the log.
"""

import enum
from collections.abc import Iterator
from typing import TYPE_CHECKING

import attrs

from plantainridge.ids import VmId

if TYPE_CHECKING:
    from plantainridge.state import VmState


class Topic(enum.Enum):
    """Subjects on which VMs tell one another their newest value."""

    # Demand of each team on a VM, for sharing limits.
    DEMAND = 'demand'
    # Fingerprints of requests that were running where an endpoint crashed.
    SUSPECTS = 'suspects'
    # Newest configuration offset that a VM has accepted.
    CONFIG = 'config'


@attrs.frozen
class Heard:
    """A value that another VM said, with the loop time of its arrival."""

    value: bytes
    at: float


@attrs.define
class ExchangeState:
    """This VM's own values and those heard from others."""

    own: dict[Topic, bytes] = attrs.field(factory=dict)
    heard: dict[VmId, dict[Topic, Heard]] = attrs.field(factory=dict)


def say(state: 'VmState', topic: Topic, value: bytes) -> None:
    """Sets this VM's value; it goes out with the next round."""
    state.exchange.own[topic] = value


def listen(state: 'VmState', topic: Topic, now: float,
           max_age_s: float) -> Iterator[tuple[VmId, bytes]]:
    """Yields each other VM's value that is not older than an age in s."""
    for vm, topics in state.exchange.heard.items():
        found = topics.get(topic)
        if found is not None and now - found.at <= max_age_s:
            yield vm, found.value
