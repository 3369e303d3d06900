"""Graceful stop of a VM: report unready, answer every request, then exit."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import StopRequested
from plantainridge.loop.effects import Effect, Exit, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time from the stop request until the VM stops listening, in s: the load
# balancer needs two checks, a second apart, to see that a VM is not ready.
UNREADY_S: Final = 3.0
# Time from the stop request after which new requests are refused, in s: a long
# one would not end before the process has to exit.
REFUSE_AFTER_S: Final = UNREADY_S + 0.5
# Requests that callers sent while the VM stopped listening arrive within this
# time, in s.
LATE_ARRIVAL_S: Final = 0.3
# Time before the kill at which the process exits even with requests open, in s.
EXIT_MARGIN_S: Final = 0.7


def on_stop_requested(state: 'GatewayState', event: StopRequested,
                      now: float) -> Iterator[Effect]:
    """Make the VM unready; a second stop request changes nothing."""
    del event
    if state.stopping_since is not None:
        return
    state.stopping_since = now
    yield fx.CloseAfterAnswers()
    yield LogLine('stopping', (('requests', len(state.calls.calls)),))


def refuses_new(state: 'GatewayState', now: float) -> bool:
    """Return whether a request that arrives now is too late to be served."""
    return (state.stopping_since is not None and
            now - state.stopping_since >= REFUSE_AFTER_S)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Stop listening, then exit once every request is answered."""
    if state.stopping_since is None or state.exiting:
        return
    elapsed_s = now - state.stopping_since
    if state.listening and elapsed_s >= UNREADY_S:
        state.listening = False
        yield fx.StopListening()
    is_drained = (elapsed_s >= UNREADY_S + LATE_ARRIVAL_S and
                  not state.calls.calls)
    if is_drained or elapsed_s >= state.settings.bounds.grace_s - EXIT_MARGIN_S:
        state.exiting = True
        yield LogLine('stopped', (('requests', len(state.calls.calls)),))
        yield Exit()
