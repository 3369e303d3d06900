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
# Longest wait for the log to take what is known of finished calls, in s.
HANDOVER_S: Final = 30.0


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
    if state.exiting or not refuses_new(state, now) or _working(state):
        return
    if state.finished_at is None:
        state.finished_at = now
    if _owes(state) and now - state.finished_at < HANDOVER_S:
        return
    state.exiting = True
    yield LogLine('stopped', (('handed_over', not _owes(state)),))
    yield Exit()


def _working(state: VmState) -> bool:
    return bool(state.calls.calls or state.claims.works)


def _owes(state: VmState) -> bool:
    """Whether the log has yet to take outcomes of calls."""
    claims = state.claims
    return bool(claims.owed or claims.in_flight or any(claims.waiting.values()))


def refuses_new(state: VmState, now: float) -> bool:
    """Whether the VM is stopping and takes no further requests."""
    if state.stopping_since is None:
        return False
    return now - state.stopping_since >= STOP_GRACE_S


def takes_requests(state: VmState, now: float) -> bool:
    """Whether a request that reaches the VM is taken in.

    For a short while after the word to stop as well.
    """
    return state.config.revision >= 0 and not refuses_new(state, now)
