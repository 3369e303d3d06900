"""Graceful stop of a VM: report unready, answer every request, then exit."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import containment, dispatch, endings
from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import StopRequested
from plantainridge.loop.effects import Effect, Exit, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time from the stop request until the VM stops listening, in s: the load
# balancer needs two checks, a second apart, to see that a VM is not ready.
UNREADY_S: Final = 3.0
# Time from the stop request after which a request is taken only if its time is
# over before the exit, in s: the load balancer sends nothing new by then. It is
# shorter than `UNREADY_S` since the stop request may be handled late.
TAKE_ALL_S: Final = UNREADY_S - 0.1
# Requests that callers sent while the VM stopped listening arrive within this
# time, in s.
LATE_ARRIVAL_S: Final = 0.3
# Time before the kill at which the open requests are ended, in s.
EXIT_MARGIN_S: Final = 0.7
# Time before the kill at which the process exits even if not all answers are
# written, in s.
KILL_MARGIN_S: Final = 0.2
REASON: Final = 'the VM is stopping'


def on_stop_requested(state: 'GatewayState', event: StopRequested,
                      now: float) -> Iterator[Effect]:
    """Make the VM unready; a second stop request changes nothing."""
    del event
    if state.stopping_since is not None:
        return
    state.stopping_since = now
    yield fx.CloseAfterAnswers()
    yield LogLine('stopping', (('requests', len(state.calls.calls)),))


def refuses(state: 'GatewayState', ends_by: float, now: float) -> bool:
    """Return whether a request that arrives now may outlast the process.

    Args:
        state: The VM's state.
        ends_by: Loop time at which the request is ended at the latest, in s.
        now: Loop time in s.
    """
    if state.stopping_since is None:
        return False
    if state.exiting:
        return True
    return (now - state.stopping_since >= TAKE_ALL_S and
            ends_by > _exit_at(state, EXIT_MARGIN_S))


def closing_until(state: 'GatewayState') -> float:
    """Return the loop time until which the last answers are written, in s."""
    return _exit_at(state, KILL_MARGIN_S)


def _exit_at(state: 'GatewayState', margin_s: float) -> float:
    assert state.stopping_since is not None
    return state.stopping_since + state.settings.bounds.grace_s - margin_s


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Stop listening, then end the open requests and exit.

    The exit comes once every request is answered and peers have closed their
    tunnels, but in time before the kill.
    """
    if state.stopping_since is None or state.exiting:
        return
    elapsed_s = now - state.stopping_since
    if state.listening and elapsed_s >= UNREADY_S:
        state.listening = False
        yield fx.StopListening()
    is_drained = (elapsed_s >= UNREADY_S + LATE_ARRIVAL_S and
                  not state.calls.calls and not state.tunnels.endpoints)
    if not is_drained and now < _exit_at(state, EXIT_MARGIN_S):
        return
    state.exiting = True
    yield LogLine('stopped', (('requests', len(state.calls.calls)),))
    for call in list(state.calls.calls.values()):
        ended = endings.fail_request(state, call, REASON,
                                     dispatch.MIN_RETRY_AFTER_S, now)
        yield from containment.contain_request(state, ended, 'stop',
                                               call.request.id, now)
    yield fx.CloseCallers(REASON, dispatch.MIN_RETRY_AFTER_S)
    yield Exit()
