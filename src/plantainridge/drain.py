"""Graceful shutdown of a VM: unready, every call finished, then exit."""

from collections.abc import Iterator
from typing import Final

from plantainridge.events import StopRequested
from plantainridge.loop.effects import Effect, Exit, LogLine
from plantainridge.loop.events import TimerFired
from plantainridge.state import VmState

# Least time between the word to stop and the exit, in s: the balancer sends
# requests until it has seen that the VM is not ready, and peers must hear its
# last values.
STOP_GRACE_S: Final = 3.0
# Longest wait for the log to take the outcomes of marked calls, in s.
STOP_RECORDS_S: Final = 15.0


def on_stop_requested(state: VmState, event: StopRequested,
                      now: float) -> Iterator[Effect]:
    """Makes the VM unready; a second word changes nothing."""
    del event
    if state.stopping_since is not None:
        return
    state.stopping_since = now
    yield LogLine('stopping', (('calls', len(state.calls.calls)),))


def on_tick(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Exits once the grace is over, no call is left and all is handed over."""
    del event
    if state.exiting or not refuses_new(state, now) or state.calls.calls:
        return
    if _claims_hold(state, now):
        return
    state.exiting = True
    yield LogLine('stopped')
    yield Exit()


def _claims_hold(state: VmState, now: float) -> bool:
    """Whether marked calls or their outcomes are still to be settled."""
    if state.claims.settled() or state.stopping_since is None:
        return False
    return (bool(state.claims.works) or
            now - state.stopping_since < STOP_RECORDS_S)


def refuses_new(state: VmState, now: float) -> bool:
    """Whether the VM is stopping and takes no further requests."""
    if state.stopping_since is None:
        return False
    return now - state.stopping_since >= STOP_GRACE_S


def accepts_requests(state: VmState, now: float) -> bool:
    """Whether a request that reaches the VM is taken in.

    For a short while after the word to stop as well.
    """
    return state.config.revision >= 0 and not refuses_new(state, now)
