"""Requests that crash the endpoints that run them."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

import attrs

from plantainridge.effects import Effect
from plantainridge.events import TimerFired

if TYPE_CHECKING:
    from plantainridge.state import VmState


@attrs.define
class QuarantineState:
    """Requests that may crash endpoints."""


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Forgets old suspects."""
    del state, event, now
    yield from ()
