"""Graceful shutdown of a VM: unready, every call finished, then exit."""

from collections.abc import Iterator
from typing import Final

from plantainridge.effects import Effect, Exit, LogLine
from plantainridge.events import StopRequested, TimerFired
from plantainridge.state import VmState

# Least time between the word to stop and the exit, in s: the balancer sends
# requests until it has seen that the VM is not ready, and peers must hear its
# last values.
STOP_GRACE_S: Final = 3.0


def on_stop_requested(state: VmState, event: StopRequested,
                      now: float) -> Iterator[Effect]:
    """Makes the VM unready; a second word changes nothing."""
    del event
    if state.stopping_since is not None:
        return
    state.stopping_since = now
    yield LogLine('stopping', (('calls', len(state.calls.calls)),))


def on_tick(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Exits once the grace is over and no call is left."""
    del event
    if state.exiting or not refuses_new(state, now) or state.calls.calls:
        return
    state.exiting = True
    yield LogLine('stopped')
    yield Exit()


def refuses_new(state: VmState, now: float) -> bool:
    """Whether the VM is stopping and takes no further requests."""
    if state.stopping_since is None:
        return False
    return now - state.stopping_since >= STOP_GRACE_S
