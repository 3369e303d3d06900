"""Rollout of target weight versions to the engines.

The holder of the lease orders a few engines at a time to load new weights, so
that most of them keep serving. It first requests an engine's report. Each order
names the number of orders that the engine must have accepted before, so that a
delayed order has no effect.
"""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import lease, paths, relays
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import (EndpointReported, OrderAnswered,
                                          OrderResult, ReportFailed)
from plantainridge.gateway.peer_messages import WeightsLoaded
from plantainridge.ids import EndpointId, ModelId
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Share of the engines that load new weights at once. The others must carry the
# load meanwhile, and the more engines load weights, the longer each takes.
MAX_UPDATING_RATIO: Final = 0.3
# Time between two report requests to an engine.
REPORT_INTERVAL_S: Final = 0.2
# Cool-down of an engine that loads weights; renewed by each report.
UPDATE_COOLDOWN_S: Final = 2 * REPORT_INTERVAL_S + 0.2
# Pause after a failed report request to an engine.
RETRY_DELAY_S: Final = 1.0
# Delay per rank of VMs that want the lease for the same rollout.
STAGGER_S: Final = 0.25
# Longest such delay. A VM of any rank must have time to update all engines if
# it is the only one left.
MAX_STAGGER_S: Final = 3.0
# Time without progress after which VMs beyond the standby VMs consider the
# holder lost. The longest runs, which an engine finishes before it loads
# weights, take about as long.
PROGRESS_TIMEOUT_S: Final = 2.5


@attrs.define
class WeightUpdate:
    """Update of one engine to a target version.

    Attributes:
        report_at: Loop time of the next report request, in s.
        awaiting_answer: Whether a request to the engine is pending.
        responsive: Whether the engine answered the last report request.
    """

    model: ModelId
    report_at: float
    awaiting_answer: bool = False
    responsive: bool = True


@attrs.define
class RolloutState:
    """Progress of the rollout.

    Attributes:
        weight_updates: Engines that this VM updates; empty unless it holds the
            lease.
        progress_at: Loop time at which a peer last reported that an engine had
            loaded new weights, in s.
    """

    weight_updates: dict[EndpointId, WeightUpdate] = attrs.field(factory=dict)
    progress_at: float = -math.inf


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """While engines run replaced weights, claim the lease and update them."""
    yield from _request_unknown(state, now)
    lagging = dict(_lagging(state))
    # A holder that cannot reach the engines lets another VM take over: orders
    # do not go through peers, since both VMs' orders could arrive.
    is_reachable = any(not state.paths.is_lost(view.entry.service)
                       for view, _ in lagging.values())
    state.lease.wanted = is_reachable and _may_claim_lease(state, lagging, now)
    yield from lease.on_tick(state, now)
    if state.lease.fence(now) == lease.NO_TERM:
        state.rollout.weight_updates.clear()
        return
    weight_updates = state.rollout.weight_updates
    for name in [name for name in weight_updates if name not in lagging]:
        del weight_updates[name]
    _start_updates(state, lagging, now)
    for name, update in weight_updates.items():
        if not update.awaiting_answer and now >= update.report_at:
            update.awaiting_answer = True
            yield fx.RequestReport(name, lagging[name][0].entry.address)


def _request_unknown(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Request reports of engines whose weight version is not known.

    They get no requests meanwhile, and an entry that does not change is not
    relayed to this VM.
    """
    for name, view in state.endpoints.items():
        if (not view.is_leaving and
                any(map(view.is_version_unknown, view.entry.versions)) and
                now - view.versions_asked_at >= RETRY_DELAY_S):
            view.versions_asked_at = now
            yield fx.RequestReport(name, view.entry.address)


def _start_updates(state: 'GatewayState',
                   lagging: dict[EndpointId, tuple[EndpointView, ModelId]],
                   now: float) -> None:
    """Start updates of engines, those with the fewest requests first."""
    weight_updates = state.rollout.weight_updates
    waiting = sorted((name for name in lagging if name not in weight_updates),
                     key=lambda each: lagging[each][0].request_count)
    updating = sum(update.responsive for update in weight_updates.values())
    engines = sum(bool(view.versions) for view in state.endpoints.values())
    max_updating = math.ceil(MAX_UPDATING_RATIO * engines)
    for name in waiting[:max(0, max_updating - updating)]:
        weight_updates[name] = WeightUpdate(lagging[name][1], now)


def _lagging(
    state: 'GatewayState'
) -> Iterator[tuple[EndpointId, tuple[EndpointView, ModelId]]]:
    latest = state.versions.latest
    for name, view in state.endpoints.items():
        if view.is_leaving:
            continue
        for model, target in latest.items():
            if view.versions.get(model, target.version) < target.version:
                yield name, (view, model)
                break


def _may_claim_lease(state: 'GatewayState',
                     lagging: dict[EndpointId, tuple[EndpointView, ModelId]],
                     now: float) -> bool:
    """Return whether this VM may claim the lease.

    The same few VMs come first for every target version. The holder therefore
    continues with the next version, and the other VMs read the lease only if
    the rollout makes no progress.
    """
    if state.lease.fence(now) != lease.NO_TERM:
        return True
    rank = relays.rank(state, lease.LEASE_SUBJECT)
    models = {model for _, model in lagging.values()}
    due_at = min(state.versions.latest[each].seen_at for each in models)
    if rank >= lease.STANDBY_VMS:
        due_at = max(due_at, state.rollout.progress_at) + PROGRESS_TIMEOUT_S
    return now >= due_at + min(STAGGER_S * rank, MAX_STAGGER_S)


def on_reported(state: 'GatewayState', event: EndpointReported,
                now: float) -> Iterator[Effect]:
    """Order an engine to load its target version unless it is busy."""
    view = state.endpoints.get(event.endpoint)
    update = state.rollout.weight_updates.get(event.endpoint)
    if view is None:
        return
    if event.started_ms and event.started_ms != view.entry.started_ms:
        yield LogLine('report_of_other_run',
                      (('endpoint', event.endpoint),
                       ('started_ms', event.started_ms),
                       ('listed_ms', view.entry.started_ms)))
    view.versions.update(event.versions)
    if update is None:
        return
    (update.awaiting_answer, update.responsive,
     update.report_at) = False, True, now + REPORT_INTERVAL_S
    target = state.versions.latest[update.model]
    if event.versions.get(update.model, target.version) >= target.version:
        del state.rollout.weight_updates[event.endpoint]
        view.record_weights_loaded(update.model, target.version, now)
        state.hints.weights_loaded.append(
            WeightsLoaded(event.endpoint, update.model, target.version))
        yield LogLine('version_reached', (('endpoint', event.endpoint),
                                          ('version', target.version)))
        return
    fence = state.lease.fence(now)
    if event.busy:
        _start_cooldown(view, now)
    if event.busy or fence == lease.NO_TERM:
        return
    yield LogLine('version_ordered',
                  (('endpoint', event.endpoint), ('version', target.version),
                   ('term', fence), ('orders', event.orders)))
    update.awaiting_answer = True
    yield fx.OrderVersion(event.endpoint, view.entry.address, update.model,
                          target.version, event.orders, fence)


def on_report_failed(state: 'GatewayState', event: ReportFailed,
                     now: float) -> Iterator[Effect]:
    """Delay the update of an engine that does not answer; others go first."""
    yield from paths.on_unreached(state, event.endpoint, now)
    update = state.rollout.weight_updates.get(event.endpoint)
    if update is not None:
        (update.awaiting_answer, update.responsive,
         update.report_at) = False, False, now + RETRY_DELAY_S
        yield LogLine('report_missed',
                      (('endpoint', event.endpoint), ('reason', event.reason)))


def on_ordered(state: 'GatewayState', event: OrderAnswered,
               now: float) -> Iterator[Effect]:
    """Schedule a report request after an order."""
    update = state.rollout.weight_updates.get(event.endpoint)
    yield LogLine('order_answered', (('endpoint', event.endpoint),
                                     ('result', event.result.value)))
    if update is None:
        return
    update.awaiting_answer, update.report_at = False, now + REPORT_INTERVAL_S
    view = state.endpoints.get(event.endpoint)
    if event.result is OrderResult.ACCEPTED and view is not None:
        _start_cooldown(view, now)


def _start_cooldown(view: EndpointView, now: float) -> None:
    """Keep requests off an engine while it loads new weights."""
    view.cooldown_until = max(view.cooldown_until, now + UPDATE_COOLDOWN_S)
