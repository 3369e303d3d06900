"""Graceful shutdown of a VM: it turns unready, finishes its calls and exits."""

from collections.abc import Iterator
from typing import Final

from plantainridge.events import StopRequested
from plantainridge.loop.effects import Effect, Exit, LogLine
from plantainridge.loop.events import TimerFired
from plantainridge.state import VmState

# Minimum time between the stop request and the exit, in s: the load balancer
# sends requests until it has seen that the VM is not ready, and peers must
# receive the VM's last gossip values.
STOP_GRACE_S: Final = 3.0
# How long to wait for the log to accept the outcomes of run-once calls, in s.
STOP_RECORDS_TIMEOUT_S: Final = 15.0


def on_stop_requested(state: VmState, event: StopRequested,
                      now: float) -> Iterator[Effect]:
    """Make the VM unready; a second stop request has no effect."""
    del event
    if state.stopping_since is not None:
        return
    state.stopping_since = now
    yield LogLine('stopping', (('calls', len(state.calls.calls)),))


def on_tick(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Exit after the grace period once no call and no claim is pending."""
    del event
    if state.exiting or not refuses_new(state, now) or state.calls.calls:
        return
    if _claims_unsettled(state, now):
        return
    state.exiting = True
    yield LogLine('stopped')
    yield Exit()


def _claims_unsettled(state: VmState, now: float) -> bool:
    """Return whether run-once calls or their outcomes are yet to be settled."""
    if state.claims.is_settled() or state.stopping_since is None:
        return False
    return (bool(state.claims.operations) or
            now - state.stopping_since < STOP_RECORDS_TIMEOUT_S)


def refuses_new(state: VmState, now: float) -> bool:
    """Return whether the VM is stopping and its grace period is over."""
    if state.stopping_since is None:
        return False
    return now - state.stopping_since >= STOP_GRACE_S


def accepts_requests(state: VmState, now: float) -> bool:
    """Return whether the VM accepts requests.

    It also does so during the grace period after a stop request.
    """
    return state.config.revision >= 0 and not refuses_new(state, now)
