"""Rollout of the configured weights to the engines of a data centre.

One VM, the holder of the data centre's lease, is the coordinator. In each
round it compares what each engine reports with the configuration and orders
the difference. So the next round corrects an order that was lost, refused or
carried out for an earlier coordinator. Loads of weights also need the lease of
the weight store, which the coordinators of all data centres share.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge import leases
from plantainridge.config import Endpoint, EndpointKind
from plantainridge.ids import EndpointId, ModelId
from plantainridge.loop.effects import Effect, LogLine
from plantainridge.loop.events import TimerFired
from plantainridge.orders import (EngineReported, LoadedModel, OrderEnded,
                                  OrderEngine, OrderOutcome,
                                  RequestEngineReport)

if TYPE_CHECKING:
    from plantainridge.state import VmState

MAX_CONCURRENT_LOADS: Final = 2
# Limited by the rate of the weight store.
MIN_LOAD_INTERVAL_S: Final = 0.5
# After this, an order without an answer is abandoned and its engine is compared
# with the configuration again.
ORDER_TIMEOUT_S: Final = 6.0
# Older reports are requested again.
MAX_REPORT_AGE_S: Final = 60.0
RETRY_INTERVAL_S: Final = 2.0
ROUND_INTERVAL_S: Final = 0.5
WEIGHTS_LEASE: Final = 'weights'


@attrs.frozen
class EngineReport:
    """Last report of an engine.

    Attributes:
        loaded: What the engine runs.
        loading: Whether the engine was loading weights.
        at: Loop time at which the report was received, in s.
    """

    loaded: LoadedModel
    loading: bool
    at: float


@attrs.frozen
class PendingOrder:
    """An order that has not been answered.

    Attributes:
        order: Identifier of the order.
        loads_weights: Whether the order makes the engine load weights.
        expires_at: Loop time at which the order is abandoned, in s.
    """

    order: str
    loads_weights: bool
    expires_at: float


@attrs.define
class RolloutState:
    """State of the coordinator.

    Attributes:
        fence: Fencing token under which the rest was collected.
        reports: Last reports by engine.
        next_request_at: Loop time before which no further report is requested,
            by engine, in s.
        pending_orders: Orders that have not been answered, by engine.
        next_load_at: Loop time before which no load is started, in s.
        next_round_at: Loop time of the next round, in s.
        order_count: Number of orders given by this VM.
    """

    fence: int = leases.NO_FENCE
    reports: dict[EndpointId, EngineReport] = attrs.field(factory=dict)
    next_request_at: dict[EndpointId, float] = attrs.field(factory=dict)
    pending_orders: dict[EndpointId, PendingOrder] = attrs.field(factory=dict)
    next_load_at: float = 0.0
    next_round_at: float = 0.0
    order_count: int = 0


def target_of(state: 'VmState', endpoint: Endpoint) -> LoadedModel | None:
    """Return what an engine is to run, or None if it gets no orders."""
    model = state.config.models.get(ModelId(endpoint.serves))
    if endpoint.kind is not EndpointKind.ENGINE or model is None:
        return None
    return LoadedModel(model.id, model.version, model.adapter)


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Run a round if this VM holds the lease of its data centre."""
    del event
    rollout = state.rollout
    if now < rollout.next_round_at:
        return
    rollout.next_round_at = now + ROUND_INTERVAL_S
    fence = leases.fence(state, state.dc, now)
    if fence == leases.NO_FENCE:
        yield from leases.set_wanted(state, WEIGHTS_LEASE, False, now)
        return
    if fence != rollout.fence:
        state.rollout = rollout = RolloutState(fence=fence,
                                               order_count=rollout.order_count)
    for endpoint, order in list(rollout.pending_orders.items()):
        if now >= order.expires_at:
            del rollout.pending_orders[endpoint]
            rollout.reports.pop(endpoint, None)
    loads: list[tuple[Endpoint, LoadedModel]] = []
    for view in list(state.endpoints.values()):
        target = target_of(state, view.endpoint)
        if target is None or view.endpoint.dc != state.dc:
            continue
        yield from _compare(state, view.endpoint, target, loads, now)
    yield from leases.set_wanted(state, WEIGHTS_LEASE,
                                 bool(loads) or _load_count(rollout) > 0, now)
    yield from _start_loads(state, loads, now)


def _compare(state: 'VmState', endpoint: Endpoint, target: LoadedModel,
             loads: list[tuple[Endpoint,
                               LoadedModel]], now: float) -> Iterator[Effect]:
    rollout = state.rollout
    if endpoint.id in rollout.pending_orders:
        return
    report = rollout.reports.get(endpoint.id)
    if report is None or report.loading or now - report.at > MAX_REPORT_AGE_S:
        yield from _request_report(rollout, endpoint, now)
        return
    if report.loaded == target:
        return
    if (report.loaded.model, report.loaded.version) == (target.model,
                                                        target.version):
        yield _order(rollout, endpoint, target, False, now)
    else:
        loads.append((endpoint, target))


def _request_report(rollout: RolloutState, endpoint: Endpoint,
                    now: float) -> Iterator[Effect]:
    if now >= rollout.next_request_at.get(endpoint.id, 0.0):
        rollout.next_request_at[endpoint.id] = now + RETRY_INTERVAL_S
        yield RequestEngineReport(endpoint.id, endpoint.address)


def _start_loads(state: 'VmState', loads: list[tuple[Endpoint, LoadedModel]],
                 now: float) -> Iterator[Effect]:
    rollout = state.rollout
    for endpoint, target in loads:
        # A load must end while this VM still holds both leases.
        lease_remaining_s = min(
            leases.remaining_s(state, name, now)
            for name in (state.dc, WEIGHTS_LEASE))
        if lease_remaining_s < ORDER_TIMEOUT_S or now < rollout.next_load_at:
            return
        if _load_count(rollout) >= MAX_CONCURRENT_LOADS:
            return
        if _model_load_count(state,
                             endpoint) >= _max_model_loads(state, endpoint):
            continue
        rollout.next_load_at = now + MIN_LOAD_INTERVAL_S
        yield _order(rollout, endpoint, target, True, now)


def _load_count(rollout: RolloutState) -> int:
    ordered = sum(
        order.loads_weights for order in rollout.pending_orders.values())
    reported = sum(report.loading
                   for endpoint, report in rollout.reports.items()
                   if endpoint not in rollout.pending_orders)
    return ordered + reported


def _model_load_count(state: 'VmState', endpoint: Endpoint) -> int:
    return sum(order.loads_weights and name in state.endpoints and
               state.endpoints[name].endpoint.serves == endpoint.serves
               for name, order in state.rollout.pending_orders.items())


def _max_model_loads(state: 'VmState', endpoint: Endpoint) -> int:
    """Return how many engines of a model may load weights at once."""
    engines = sum(
        view.endpoint.serves == endpoint.serves and view.endpoint.dc == state.dc
        for view in state.endpoints.values())
    return max(1, engines // 2)


def _order(rollout: RolloutState, endpoint: Endpoint, target: LoadedModel,
           loads_weights: bool, now: float) -> OrderEngine:
    rollout.order_count += 1
    order = f'{rollout.fence}-{rollout.order_count}'
    rollout.pending_orders[endpoint.id] = PendingOrder(order, loads_weights,
                                                       now + ORDER_TIMEOUT_S)
    return OrderEngine(order, endpoint.id, endpoint.address, rollout.fence,
                       target)


def on_reported(state: 'VmState', event: EngineReported,
                now: float) -> Iterator[Effect]:
    """Store an engine's report."""
    rollout = state.rollout
    rollout.next_request_at.pop(event.endpoint, None)
    rollout.reports[event.endpoint] = EngineReport(event.loaded, event.loading,
                                                   now)
    yield from ()


def on_order_ended(state: 'VmState', event: OrderEnded,
                   now: float) -> Iterator[Effect]:
    """Remove the engine's last report, so that a new one is requested.

    An order without an answer stays pending until it expires, as it may still
    be carried out.
    """
    rollout = state.rollout
    order = rollout.pending_orders.get(event.endpoint)
    if order is None or order.order != event.order:
        return
    if event.outcome is not OrderOutcome.UNKNOWN:
        del rollout.pending_orders[event.endpoint]
    rollout.reports.pop(event.endpoint, None)
    if event.outcome is not OrderOutcome.DONE:
        rollout.next_request_at[event.endpoint] = now + RETRY_INTERVAL_S
    yield LogLine('order_ended',
                  (('endpoint', event.endpoint),
                   ('outcome', event.outcome.value), ('fence', rollout.fence)))
