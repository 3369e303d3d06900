"""The gateway's reducer: `reduce` dispatches every event to its handler."""

from collections.abc import Callable, Iterator
from typing import Any, Final

from plantainridge.gateway import (answers, dispatch, drain, endings, eras,
                                   events, hints, intake, lease, membership,
                                   notices, relays, reload, rollout,
                                   stored_parts, stores, suspects, views,
                                   withdrawals)
from plantainridge.gateway.events import TimerKind
from plantainridge.gateway.state import GatewayState
from plantainridge.loop.effects import Effect, LogLine, SetTimer
from plantainridge.loop.events import Event, TimerFired, TimerKey

# Interval of periodic work, in s.
TICK_INTERVAL_S: Final = 0.1
# The same while requests wait for an endpoint, in s.
WAITING_TICK_INTERVAL_S: Final = 0.04

_TICK_KEY: Final = TimerKey(TimerKind.TICK)

Handler = Callable[[GatewayState, Any, float], Iterator[Effect]]


def _on_tick(state: GatewayState, event: TimerFired,
             now: float) -> Iterator[Effect]:
    """Run the periodic work and set the timer of the next tick."""
    stored_parts.observe(state, now)
    yield from suspects.on_tick(state, now)
    yield from withdrawals.on_tick(state, now)
    yield from dispatch.on_tick(state, event, now)
    waiting = bool(state.calls.waiting(now))
    yield SetTimer(
        _TICK_KEY,
        now + (WAITING_TICK_INTERVAL_S if waiting else TICK_INTERVAL_S))
    yield from rollout.on_tick(state, now)
    yield from hints.on_tick(state, now)
    yield from relays.on_tick(state, now)
    yield from drain.on_tick(state, now)


TIMER_HANDLERS: Final[dict[TimerKind, Handler]] = {
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
    yield from TIMER_HANDLERS[event.key.kind](state, event, now)


EVENT_HANDLERS: Final[dict[type[Event], Handler]] = {
    TimerFired: _on_timer,
    events.RequestArrived: intake.on_arrived,
    events.CallerLeft: endings.on_caller_left,
    events.EndpointNotified: notices.on_notified,
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
    events.PartsFreed: stored_parts.on_freed,
    events.FreeFailed: stored_parts.on_free_failed,
    hints.HintReceived: hints.on_hint,
    hints.DcLoadReceived: hints.on_dc_load,
    hints.LoadTotalsReceived: hints.on_totals,
    stores.StoreRelayed: stores.on_relayed,
    stores.StoreSnapshotRequested: stores.on_snapshot_requested,
    events.EraSeen: eras.on_era_seen,
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
    """Return the effects with which a new process starts."""
    settings = state.settings
    return [
        LogLine('started', (('life', state.incarnation), ('dc', settings.dc))),
        *views.load_all(now),
        *membership.write_vm_entry(state),
        SetTimer(_TICK_KEY, now + TICK_INTERVAL_S),
    ]


def reduce(state: GatewayState, event: Event, now: float) -> list[Effect]:
    """Apply one event and return its effects, in order.

    Args:
        state: The VM's state; changed in place.
        event: What happened.
        now: Loop time in s.
    """
    state.suspension.record_event(now)
    return list(EVENT_HANDLERS[type(event)](state, event, now))
