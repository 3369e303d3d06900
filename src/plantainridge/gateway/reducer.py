"""The gateway's reducer: `reduce` dispatches every event to its handler."""

from collections.abc import Callable, Iterator
from typing import Any, Final

from plantainridge.gateway import (
    answers, build_records, containment, coordination, dispatch, drain, endings,
    endpoint_limits, eras, events, hints, intake, lease, membership, notices,
    paths, relays, reload, resumptions, rollout, speed_updates, stored_parts,
    stores, suspects, tunnel_admission, views, withdrawals)
from plantainridge.gateway.events import TimerKind
from plantainridge.gateway.state import GatewayState
from plantainridge.ids import AttemptId, RequestId
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
    """Run the periodic work and set the timer of the next tick.

    A part that fails does not prevent the others.
    """
    del event
    for module in TICK_ORDER:
        yield from containment.contain(state, module.on_tick(state, now),
                                       module.__name__, now)
    waiting = bool(state.calls.waiting(now))
    due_at = now + (WAITING_TICK_INTERVAL_S if waiting else TICK_INTERVAL_S)
    state.speeds.lag.tick_due_at = due_at
    yield SetTimer(_TICK_KEY, due_at)


# Modules with periodic work, in its order.
TICK_ORDER: Final = (speed_updates, stored_parts, suspects, withdrawals,
                     resumptions, build_records, paths, endpoint_limits,
                     coordination, dispatch, rollout, hints, relays, drain)

TIMER_HANDLERS: Final[dict[TimerKind, Handler]] = {
    TimerKind.TICK: _on_tick,
    TimerKind.VIEW: views.on_timer,
    TimerKind.VIEW_REQUEST: views.on_request_timer,
    TimerKind.STORE: stores.on_timer,
    TimerKind.DEADLINE: endings.on_deadline,
    TimerKind.SEND_SILENCE: answers.on_send_silence,
    TimerKind.VM_ENTRY: membership.on_timer,
    TimerKind.PLACEMENT: coordination.on_ask_due,
    TimerKind.OWN_MESSAGES: coordination.on_own_messages,
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
    events.PathProbed: paths.on_probed,
    events.TunnelRequested: tunnel_admission.on_requested,
    events.TunnelEnded: tunnel_admission.on_ended,
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
    hints.RatesReceived: hints.on_rates,
    coordination.PlacementRequested: coordination.on_request,
    coordination.PlacementAnswered: coordination.on_answer,
    coordination.RunReported: coordination.on_run_report,
    stores.StoreRelayed: stores.on_relayed,
    stores.StoreSnapshotRequested: stores.on_snapshot_requested,
    resumptions.OriginsReceived: resumptions.on_origins,
    resumptions.OriginsAsked: resumptions.on_question,
    events.EraSeen: eras.on_era_seen,
    events.ViewRelayed: views.on_relayed,
    events.ViewRequested: views.on_requested,
    events.ViewRead: views.on_read,
    events.ViewFailed: views.on_failed,
    events.VmEntryWritten: membership.on_vm_entry_written,
    events.LeaseRead: lease.on_read,
    events.LeaseFailed: lease.on_failed,
    events.LeaseWritten: lease.on_written,
    events.BuildsRead: build_records.on_read,
    events.BuildsFailed: build_records.on_failed,
    events.BuildsWritten: build_records.on_written,
    events.SuspectsRead: suspects.on_record_read,
    events.SuspectsFailed: suspects.on_record_failed,
    events.SuspectsWritten: suspects.on_record_written,
    events.StopRequested: drain.on_stop_requested,
    events.SettingsRead: reload.on_settings,
}


def start(state: GatewayState, now: float) -> list[Effect]:
    """Return the effects with which a new process starts."""
    settings = state.settings
    if not settings.is_first_start:
        state.retries.started_at = now
    return [
        LogLine('started', (('life', state.incarnation), ('dc', settings.dc))),
        *views.load_all(now),
        *membership.write_vm_entry(state),
        *suspects.update_record(state, now),
        SetTimer(_TICK_KEY, now + TICK_INTERVAL_S),
    ]


def reduce(state: GatewayState, event: Event, now: float) -> list[Effect]:
    """Apply one event and return its effects, in order.

    An error ends the request that the event is about; it is logged as
    `event_failed`.

    Args:
        state: The VM's state; changed in place.
        event: What happened.
        now: Loop time in s.
    """
    state.suspension.record_event(now)
    request = _request_of(state, event)
    # A check of a send that fails is no reason to end its answer.
    is_check = (isinstance(event, TimerFired) and
                event.key.kind is TimerKind.SEND_SILENCE)
    return list(
        containment.contain_request(
            state, EVENT_HANDLERS[type(event)](state, event, now),
            type(event).__name__, request, now, is_check))


def _request_of(state: GatewayState, event: Event) -> RequestId | None:
    """Return the request that an event is about, or None."""
    attempt = getattr(event, 'attempt', None)
    if isinstance(event, events.RequestArrived):
        return event.request.id
    if isinstance(event, events.CallerLeft):
        return event.request
    if isinstance(event, coordination.PlacementAnswered):
        return coordination.request_of(state, event.message)
    if isinstance(event, TimerFired):
        if event.key.kind in (TimerKind.DEADLINE, TimerKind.PLACEMENT):
            return RequestId(event.key.subject)
        if event.key.kind is TimerKind.SEND_SILENCE:
            attempt = AttemptId(event.key.subject)
    send = state.calls.attempts.get(attempt) if attempt is not None else None
    return send.request if send is not None else None
