"""Requests of this VM to coordinators for engines for large prompts.

A large prompt waits for the answer of the coordinator of the data centre to
which its context is assigned. Without an answer within `FALLBACK_S` this VM
decides by itself, and for a while it asks that coordinator for one prompt at a
time only. Run reports are sent twice, since a lost one would leave an engine
looking loaded.
"""

import math
from collections.abc import Generator, Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import hints, peer_messages, placement
from plantainridge.gateway.capacity_queue import CapacityQueue
from plantainridge.gateway.endpoints import Grant
from plantainridge.gateway.events import TimerKind
from plantainridge.gateway.grants import GrantLedger
from plantainridge.gateway.peer_messages import (PeerMessage, PlacementRequest,
                                                 RunReport)
from plantainridge.gateway.requests import Call
from plantainridge.ids import (EndpointId, Incarnation, RequestId, ServiceId,
                               TeamId, VmId)
from plantainridge.loop.effects import (CancelTimer, Effect, LogLine, Observe,
                                        SendPeer, SetTimer)
from plantainridge.loop.events import TimerKey

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time without an answer after which this VM decides by itself, in s.
FALLBACK_S: Final = 0.15
# Time after which a request without an answer is repeated, in s.
REPEAT_INTERVAL_S: Final = 0.05
# Time from an answer that a request is queued to its repetition, in s.
QUEUED_REPEAT_INTERVAL_S: Final = 0.3
# Time for which a coordinator that did not answer gets one request at a time,
# in s.
SILENCE_S: Final = 2.0
# Time by which the timer of a request may fire late before the lack of an
# answer is put down to this VM's own event loop, in s.
MAX_TIMER_DELAY_S: Final = 0.03

_OWN_MESSAGES_KEY: Final = TimerKey(TimerKind.OWN_MESSAGES)


@attrs.define
class Ask:
    """A placement request that awaits an answer or an engine.

    Attributes:
        asked_at: Loop time since which an answer is awaited, in s; inf while it
            is queued and the last answer is recent.
        due_at: Loop time at which its timer is to fire, in s.
        is_queued: Whether the coordinator answered that it is queued.
    """

    call: RequestId
    message: PlacementRequest
    coordinator: VmId
    asked_at: float
    due_at: float
    is_queued: bool = False


@attrs.define
class CoordinationState:
    """Placement requests of this VM, and grants if it is a coordinator.

    Attributes:
        services: Services whose large prompts are coordinated.
        number: Number of this VM's last placement request.
        asks: Placement requests that await an answer or an engine, by number.
        silent_until: Loop time until which a coordinator that did not answer
            gets one request at a time, in s.
        incarnations: Incarnation of each coordinator in its latest answer.
        grants: Grants of runs of this VM in flight, by number.
        reports: Run reports to be sent a second time, with their receivers.
        own_messages: Messages of this VM to itself.
        ledger: Engines that this VM granted as a coordinator.
        queue: Requests that wait for memory at this VM as a coordinator.
    """

    services: frozenset[ServiceId] = frozenset()
    number: int = 0
    asks: dict[int, Ask] = attrs.field(factory=dict)
    silent_until: dict[VmId, float] = attrs.field(factory=dict)
    incarnations: dict[VmId, Incarnation] = attrs.field(factory=dict)
    grants: dict[int, Grant] = attrs.field(factory=dict)
    reports: list[tuple[VmId, RunReport]] = attrs.field(factory=list)
    own_messages: list[PeerMessage] = attrs.field(factory=list)
    ledger: GrantLedger = attrs.field(factory=GrantLedger)
    queue: CapacityQueue = attrs.field(factory=CapacityQueue)

    @property
    def is_enabled(self) -> bool:
        """Whether large prompts of any service are coordinated."""
        return bool(self.services)


def ask(state: 'GatewayState', call: Call,
        now: float) -> Generator[Effect, None, bool]:
    """Ask a coordinator for an engine; return whether its answer is awaited."""
    if call.ask is not None:
        return True
    if not _is_coordinated(state, call):
        return False
    coordinator, excluded = _coordinator_for(state, call, now)
    if coordinator is None or not _may_ask(state, coordinator, now):
        return False
    coordination = state.coordination
    coordination.number += 1
    call.ask, call.was_asked = coordination.number, True
    waiting = Ask(call.request.id, _message(state, call, excluded), coordinator,
                  now, now)
    coordination.asks[call.ask] = waiting
    yield from repeat(state, call, waiting, now)
    return True


def _is_coordinated(state: 'GatewayState', call: Call) -> bool:
    """Return whether a coordinator is to choose a request's engine.

    This VM decides by itself on requests that were sent or streams that began.
    """
    has_begun = call.sends or call.build is not None or call.last_event_id
    if (has_begun or call.was_asked or
            call.service not in state.coordination.services or
            state.paths.is_lost(call.service)):
        return False
    service = state.config.services.get(call.service)
    if service is None or service.engine is None or not call.request.model:
        return False
    return (placement.memory_tokens(call.request)
            >= placement.LARGE_REQUEST_RATIO * service.engine.cache_tokens)


def _coordinator_for(state: 'GatewayState', call: Call,
                     now: float) -> tuple[VmId | None, tuple[EndpointId, ...]]:
    """Return a prompt's coordinator, and the engines there that are unusable.

    Only VMs that state that they coordinate are asked: those of an earlier
    release would not answer.
    """
    reports = state.hints.reports
    if not reports.is_fresh(now) or not reports.coordinators:
        return None, ()
    usable = placement.usable_endpoints(state, call, now)
    work = hints.work_by_dc(state, call.service, now)
    home = placement.home_dc(state, call, usable, work, now)
    coordinator = reports.coordinators.get(home)
    if coordinator != state.settings.vm and coordinator not in state.peers:
        return None, ()
    names = {view.entry.id for view in usable if view.entry.dc == home}
    if not names:
        return None, ()
    return coordinator, tuple(
        name for name, view in state.endpoints.items()
        if view.entry.dc == home and view.entry.service == call.service and
        name not in names)


def _may_ask(state: 'GatewayState', coordinator: VmId, now: float) -> bool:
    """Return whether a coordinator may be asked for a further prompt."""
    coordination = state.coordination
    if now >= coordination.silent_until.get(coordinator, -math.inf):
        return True
    return all(
        each.coordinator != coordinator for each in coordination.asks.values())


def _message(state: 'GatewayState', call: Call,
             excluded: tuple[EndpointId, ...]) -> PlacementRequest:
    request, team = call.request, call.team
    return PlacementRequest(state.settings.vm, state.incarnation,
                            state.coordination.number, call.service,
                            request.model, team.name if team else TeamId(''),
                            team is not None and team.isolated, request.parts,
                            request.prompt_tokens,
                            placement.memory_tokens(request), call.urgency,
                            call.route.target_s, 0.0, 0.0, excluded)


def repeat(state: 'GatewayState', call: Call, waiting: Ask,
           now: float) -> Iterator[Effect]:
    """Send a placement request and set the timer of its next repetition."""
    yield from post(
        state, waiting.coordinator,
        attrs.evolve(waiting.message,
                     waited_s=now - call.arrived_at,
                     remaining_s=max(0.0, call.expires_at - now)))
    waiting.due_at = min(now + REPEAT_INTERVAL_S, waiting.asked_at + FALLBACK_S)
    yield SetTimer(ask_key(waiting.call), waiting.due_at)


def ask_key(request: RequestId) -> TimerKey:
    """Return the key of the timer of a placement request."""
    return TimerKey(TimerKind.PLACEMENT, request)


def close(state: 'GatewayState', call: Call) -> Iterator[Effect]:
    """Stop to await an answer for a request."""
    assert call.ask is not None
    del state.coordination.asks[call.ask]
    call.ask = None
    yield CancelTimer(ask_key(call.request.id))


def withdraw(state: 'GatewayState', call: Call) -> Iterator[Effect]:
    """Stop to await an answer, and notify the coordinator."""
    assert call.ask is not None
    waiting = state.coordination.asks[call.ask]
    yield from close(state, call)
    yield from post(
        state, waiting.coordinator,
        attrs.evolve(waiting.message, parts=(), excluded=(), is_withdrawn=True))


def report_prefill(state: 'GatewayState', grant: Grant) -> Iterator[Effect]:
    """Report that the prompt of a granted run has been computed."""
    yield from _report(state, grant, has_ended=False)


def report_end(state: 'GatewayState', grant: Grant) -> Iterator[Effect]:
    """Report that a granted run has ended, or never began."""
    state.coordination.grants.pop(grant.number, None)
    yield from _report(state, grant, has_ended=True)


def _report(state: 'GatewayState', grant: Grant,
            has_ended: bool) -> Iterator[Effect]:
    report = RunReport(state.settings.vm, state.incarnation, grant.number,
                       has_ended)
    if grant.coordinator != state.settings.vm:
        state.coordination.reports.append((grant.coordinator, report))
    yield from post(state, grant.coordinator, report)


def repeat_reports(state: 'GatewayState') -> Iterator[Effect]:
    """Send the latest run reports a second time."""
    reports, state.coordination.reports = state.coordination.reports, []
    for vm, report in reports:
        yield from post(state, vm, report)


def post(state: 'GatewayState', vm: VmId,
         message: PeerMessage) -> Iterator[Effect]:
    """Send a message to a VM, which may be this one."""
    if vm == state.settings.vm:
        state.coordination.own_messages.append(message)
        yield SetTimer(_OWN_MESSAGES_KEY, 0.0)
        return
    peer = state.peers.get(vm)
    if peer is not None:
        yield SendPeer(vm, peer.address, peer_messages.encode(message))


def record_fallback(call: Call, reason: str, coordinator: VmId,
                    waited_s: float) -> Iterator[Effect]:
    """Record that this VM decides on a request by itself."""
    yield Observe('placement_fallback_s', '', reason, waited_s)
    yield LogLine('placement_fallback',
                  (('request', call.request.attempt_id),
                   ('coordinator', coordinator), ('reason', reason),
                   ('waited_s', round(waited_s, 4))))
