"""Graceful stop of a VM: report unready, answer every request, then exit."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import containment, endings, service_times
from plantainridge.gateway import effects as fx
from plantainridge.gateway.config import Route
from plantainridge.gateway.events import Request, StopRequested
from plantainridge.gateway.requests import Call
from plantainridge.gateway.stop_schedule import StopSchedule
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
# Grace below which these margins shrink with it, in s: endpoints get at least
# five sixths of any grace.
FULL_MARGINS_GRACE_S: Final = 5.0
# Time within which a signal is handled that came while the VM did not run, from
# the end of that time, in s.
SIGNAL_BACKLOG_S: Final = 0.5
# Time after which a refused caller may try another VM, in s.
RETRY_AFTER_S: Final = 0.2
REASON: Final = 'the VM is stopping'


def on_stop_requested(state: 'GatewayState', event: StopRequested,
                      now: float) -> Iterator[Effect]:
    """Make the VM unready; a second stop request changes nothing."""
    del event
    if state.stopping_since is not None:
        return
    state.stopping_since = now
    if now - state.suspension.end <= SIGNAL_BACKLOG_S:
        # The signal may have come while the VM did not run.
        state.stop_delay_s = now - state.suspension.start
    yield fx.CloseAfterAnswers()
    yield LogLine('stopping', (('requests', len(state.calls.calls)),
                               ('delay_s', round(state.stop_delay_s, 3))))


def refuses(state: 'GatewayState', request: Request, route: Route,
            ends_by: float, arrived_at: float, now: float) -> bool:
    """Return whether a request that has not run may outlast the process.

    Args:
        state: The VM's state.
        request: The request.
        route: Its route.
        ends_by: Loop time at which it is ended at the latest, in s.
        arrived_at: Loop time at which it arrived, in s.
        now: Loop time in s.
    """
    if state.stopping_since is None:
        return False
    if state.exiting:
        return True
    took_s = state.service_times.longest_s(
        service_times.class_of(route, request), route.repeatable)
    return schedule(state).may_outlast(ends_by, took_s, arrived_at, now)


def schedule(state: 'GatewayState') -> StopSchedule:
    """Return the times of the planned stop, which was requested."""
    assert state.stopping_since is not None
    requested_at = state.stopping_since - state.stop_delay_s
    grace_s = state.settings.bounds.grace_s
    killed_at = requested_at + grace_s
    margin_ratio = min(1.0, grace_s / FULL_MARGINS_GRACE_S)
    return StopSchedule(take_all_until=requested_at + TAKE_ALL_S,
                        unlisten_at=state.stopping_since + UNREADY_S,
                        exit_at=killed_at - margin_ratio * EXIT_MARGIN_S,
                        closing_until=killed_at - margin_ratio * KILL_MARGIN_S)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Stop listening, then end the open requests and exit.

    The exit comes once every request is answered and peers have closed their
    tunnels, but in time before the kill.
    """
    if state.stopping_since is None or state.exiting:
        return
    times = schedule(state)
    yield from _refuse_waiting(state, now)
    if state.listening and now >= times.unlisten_at:
        state.listening = False
        yield fx.StopListening()
    is_drained = (now >= times.unlisten_at + LATE_ARRIVAL_S and
                  not state.calls.calls and not state.tunnels.endpoints)
    if not is_drained and now < times.exit_at:
        return
    state.exiting = True
    yield LogLine('stopped', (('requests', len(state.calls.calls)),))
    for call in list(state.calls.calls.values()):
        yield from containment.contain_request(state,
                                               end_call(state, call, now),
                                               'stop', call.request.id, now)
    yield fx.CloseCallers(REASON, RETRY_AFTER_S)
    yield Exit()


def is_too_late(state: 'GatewayState', call: Call, now: float) -> bool:
    """Return whether a request has not run and may outlast the process."""
    if call.executions or call.reply_started:
        return False
    return refuses(state, call.request, call.route,
                   call.expires_at + endings.ANSWER_GRACE_S, call.arrived_at,
                   now)


def end_call(state: 'GatewayState', call: Call, now: float) -> Iterator[Effect]:
    """End a request at the stop: refuse it unless it may have run."""
    yield from endings.fail_request(state, call, REASON, RETRY_AFTER_S, now)


def _refuse_waiting(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Refuse the requests that wait and would be sent too late."""
    for call in state.calls.waiting(now):
        if is_too_late(state, call, now):
            yield from containment.contain_request(state,
                                                   end_call(state, call, now),
                                                   'stop', call.request.id, now)
