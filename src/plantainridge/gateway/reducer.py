"""The gateway's reducer: every event goes through `reduce`."""

from collections.abc import Callable, Iterator
from typing import Any, Final

from plantainridge.gateway import (answers, dispatch, drain, endings, events,
                                   hints, intake, lease, membership, relays,
                                   reload, rollout, stores, views)
from plantainridge.gateway.events import TimerKind
from plantainridge.gateway.state import GatewayState
from plantainridge.loop.effects import Effect, LogLine, SetTimer
from plantainridge.loop.events import Event, TimerFired, TimerKey

# Period of the work that is done from time to time, in s, and while requests
# wait for an endpoint.
TICK_S: Final = 0.1
WAITING_TICK_S: Final = 0.04

_TICK: Final = TimerKey(TimerKind.TICK)

Handler = Callable[[GatewayState, Any, float], Iterator[Effect]]


def _on_tick(state: GatewayState, event: TimerFired,
             now: float) -> Iterator[Effect]:
    yield from dispatch.on_tick(state, event, now)
    waiting = bool(state.calls.waiting(now))
    yield SetTimer(_TICK, now + (WAITING_TICK_S if waiting else TICK_S))
    yield from rollout.on_tick(state, now)
    yield from hints.on_tick(state, now)
    yield from relays.on_tick(state, now)
    yield from drain.on_tick(state, now)


TIMERS: Final[dict[TimerKind, Handler]] = {
    TimerKind.TICK: _on_tick,
    TimerKind.VIEW: views.on_timer,
    TimerKind.STORE: stores.on_timer,
    TimerKind.DEADLINE: endings.on_deadline,
    TimerKind.SEND_SILENCE: answers.on_send_silence,
    TimerKind.VM_ENTRY: membership.on_timer,
}


def _on_timer(state: GatewayState, event: TimerFired,
              now: float) -> Iterator[Effect]:
    assert isinstance(event.key.kind, TimerKind)
    yield from TIMERS[event.key.kind](state, event, now)


HANDLERS: Final[dict[type[Event], Handler]] = {
    TimerFired: _on_timer,
    events.RequestArrived: intake.on_arrived,
    events.CallerLeft: endings.on_caller_left,
    events.AnswerArrived: answers.on_answer,
    events.StreamStarted: answers.on_stream_started,
    events.StreamEventsReceived: answers.on_stream_events,
    events.StreamEnded: answers.on_stream_ended,
    events.SendFailed: answers.on_failed,
    events.EndpointReported: rollout.on_reported,
    events.ReportFailed: rollout.on_report_failed,
    events.OrderAnswered: rollout.on_ordered,
    events.StoreListed: stores.on_listed,
    events.StoreChanged: stores.on_changed,
    events.StoreRequestFailed: stores.on_request_failed,
    hints.HintReceived: hints.on_hint,
    stores.StoreRelayed: stores.on_relayed,
    stores.StoreSnapshotRequested: stores.on_snapshot_requested,
    events.ViewRelayed: views.on_relayed,
    events.ViewRead: views.on_read,
    events.ViewFailed: views.on_failed,
    events.VmEntryWritten: membership.on_vm_entry_written,
    events.LeaseRead: lease.on_read,
    events.LeaseFailed: lease.on_failed,
    events.LeaseWritten: lease.on_written,
    events.StopRequested: drain.on_stop_requested,
    events.SettingsRead: reload.on_settings,
}


def start(state: GatewayState, now: float) -> list[Effect]:
    """Returns the first effects of a new process."""
    settings = state.settings
    return [
        LogLine('started', (('life', state.incarnation), ('dc', settings.dc))),
        *views.load_all(),
        *membership.write_vm_entry(state),
        SetTimer(_TICK, now + TICK_S),
    ]


def reduce(state: GatewayState, event: Event, now: float) -> list[Effect]:
    """Takes one event in and returns what is to be done, in order.

    Args:
        state: The VM's state; changed in place.
        event: What happened.
        now: Loop time in s.
    """
    return list(HANDLERS[type(event)](state, event, now))
