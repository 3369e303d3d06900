"""The reducer of a VM, which dispatches every event to its handlers."""

import enum
from collections.abc import Callable, Iterator
from typing import Any, Final

from plantainridge import (caching, catchup, checkpoints, claim_batches,
                           claim_sync, claims, drain, events, fairness, gossip,
                           health, leases, limits, members, orders, peering,
                           quarantine, requests, revisions, rollout, services)
from plantainridge.effects import ReadLog
from plantainridge.loop.effects import Effect, SetTimer
from plantainridge.loop.events import (Event, PeerMessageReceived, TimerFired,
                                       TimerKey)
from plantainridge.state import VmState

_TICK: Final = TimerKey(events.TimerKind.TICK)

Handler = Callable[[VmState, Any, float], Iterator[Effect]]


def _on_timer(state: VmState, event: TimerFired,
              now: float) -> Iterator[Effect]:
    for handler in TIMER_HANDLERS.get(event.key.kind, ()):
        yield from handler(state, event, now)


def _on_tick(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    yield SetTimer(event.key, now + state.tick_s)


# Handlers by kind of timer; those of `TICK` run every `VmState.tick_s`.
TIMER_HANDLERS: Final[dict[enum.Enum, tuple[Handler, ...]]] = {
    events.TimerKind.TICK:
        (_on_tick, caching.on_tick, revisions.on_tick, catchup.on_tick,
         checkpoints.on_tick, limits.on_tick, fairness.on_tick, health.on_tick,
         quarantine.on_tick, drain.on_tick, gossip.on_tick, leases.on_tick,
         rollout.on_tick),
    events.TimerKind.TRANSFER: (caching.on_transfer_timeout,),
    events.TimerKind.CLAIM: (claims.on_timer,),
    events.TimerKind.CLAIM_FLUSH: (claim_batches.on_flush,),
    events.TimerKind.CLAIM_UNCONFIRMED: (claim_batches.on_confirm_timer,),
    events.TimerKind.CLAIM_READ: (claim_sync.on_read_timer,),
    events.TimerKind.SERVICE: (services.on_timer,),
    events.TimerKind.DEADLINE: (requests.on_deadline,),
    events.TimerKind.RETRY: (requests.on_retry,),
}

EVENT_HANDLERS: Final[dict[type[Event], tuple[Handler, ...]]] = {
    events.ModelCalled: (caching.on_model_called, requests.on_model_called),
    events.ServiceCalled: (services.on_service_called,),
    events.CallerDisconnected:
        (services.on_caller_disconnected, requests.on_caller_disconnected),
    events.TokensReceived: (requests.on_tokens,),
    events.AttemptEnded: (caching.on_attempt_ended, requests.on_attempt_ended),
    events.AttemptFailed:
        (requests.on_attempt_failed, services.on_attempt_failed),
    events.ServiceAnswered: (services.on_service_answered,),
    events.LoadReported: (caching.on_load_reported,),
    events.CacheChanged: (caching.on_cache_changed,),
    events.CacheListed: (caching.on_cache_listed,),
    events.StoreChanged: (caching.on_store_changed,),
    events.StoreListed: (caching.on_store_listed,),
    events.StoreLoadReported: (caching.on_store_load_reported,),
    events.TransferEnded: (caching.on_transfer_ended,),
    TimerFired: (_on_timer,),
    events.StopRequested: (drain.on_stop_requested,),
    events.AppendEnded: (claims.on_append_ended, checkpoints.on_append_ended),
    events.AppendFailed:
        (claims.on_append_failed, checkpoints.on_append_failed),
    events.LogRead:
        (revisions.on_log_read, claims.on_log_read, leases.on_log_read),
    events.LogReadFailed: (revisions.on_read_failed, claim_sync.on_read_failed,
                           leases.on_read_failed),
    events.MembersListed: (members.on_listed,),
    PeerMessageReceived: (peering.on_peer_message, quarantine.on_peer_message),
    orders.EngineReported: (rollout.on_reported,),
    orders.OrderEnded: (rollout.on_order_ended,),
}


def start(state: VmState, now: float) -> list[Effect]:
    """Return the first effects of a new process."""
    return [
        ReadLog(events.Stream.CONFIG, 0, state.config_next),
        SetTimer(_TICK, now + state.tick_s),
        *claim_sync.first_reads(state),
    ]


def reduce(state: VmState, event: Event, now: float) -> list[Effect]:
    """Handle one event.

    Args:
        state: The VM's state; modified in place.
        event: The event.
        now: Loop time in s.

    Returns:
        Effects to carry out, in order.
    """
    effects: list[Effect] = []
    for handler in EVENT_HANDLERS.get(type(event), ()):
        effects.extend(handler(state, event, now))
    return effects
