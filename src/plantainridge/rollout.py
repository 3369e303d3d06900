"""Makes the engines of a data centre run what the configuration says.

One VM of the data centre, the holder of its lease, gives the orders. It
compares what each engine reports with what the configuration says, orders the
difference, and compares again; so an order that was lost, refused or carried
out for an older giver is put right by the next round. Loads of weights also
need the lease of the weight store, which the givers of all data centres share.
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

MAX_LOADS: Final = 2
# Least time between two starts of loads, in s: the weight store's rate.
LOAD_SPACING_S: Final = 0.5
# Time after which an order without an answer is compared again, in s.
ORDER_S: Final = 6.0
# Age from which an engine's report is asked for again, in s.
REPORT_S: Final = 60.0
RETRY_S: Final = 2.0
ROUND_S: Final = 0.5
WEIGHTS_LEASE: Final = 'weights'


@attrs.frozen
class Report:
    """What an engine last said, with the loop time of its arrival."""

    loaded: LoadedModel
    loading: bool
    at: float


@attrs.frozen
class InFlight:
    """An order that was not answered yet."""

    order: str
    weights: bool
    until: float


@attrs.define
class RolloutState:
    """What the giver of orders knows.

    Attributes:
        fence: Fencing number under which the rest was learnt.
        reports: What engines said.
        asked_until: Loop time until which an answer is awaited.
        in_flight: Orders by engine.
        next_load_at: Loop time of the next load's start, in s.
        count: Orders given by this VM.
    """

    fence: int = leases.NO_FENCE
    reports: dict[EndpointId, Report] = attrs.field(factory=dict)
    asked_until: dict[EndpointId, float] = attrs.field(factory=dict)
    in_flight: dict[EndpointId, InFlight] = attrs.field(factory=dict)
    next_load_at: float = 0.0
    next_round_at: float = 0.0
    count: int = 0


def intended(state: 'VmState', endpoint: Endpoint) -> LoadedModel | None:
    """Returns what an engine is to run, or None if it is not to be told."""
    model = state.config.models.get(ModelId(endpoint.serves))
    if endpoint.kind is not EndpointKind.ENGINE or model is None:
        return None
    return LoadedModel(model.id, model.version, model.adapter)


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Asks and orders while this VM holds its data centre's lease."""
    del event
    own = state.rollout
    if now < own.next_round_at:
        return
    own.next_round_at = now + ROUND_S
    number = leases.fence(state, state.dc, now)
    if number == leases.NO_FENCE:
        yield from leases.want(state, WEIGHTS_LEASE, False, now)
        return
    if number != own.fence:
        state.rollout = own = RolloutState(fence=number, count=own.count)
    for endpoint, late in list(own.in_flight.items()):
        if now >= late.until:
            del own.in_flight[endpoint]
            own.reports.pop(endpoint, None)
    loads: list[tuple[Endpoint, LoadedModel]] = []
    for view in list(state.endpoints.values()):
        target = intended(state, view.endpoint)
        if target is None or view.endpoint.dc != state.dc:
            continue
        yield from _compare(state, view.endpoint, target, loads, now)
    yield from leases.want(state, WEIGHTS_LEASE,
                           bool(loads) or _loading(own) > 0, now)
    yield from _start_loads(state, loads, now)


def _compare(state: 'VmState', endpoint: Endpoint, target: LoadedModel,
             loads: list[tuple[Endpoint,
                               LoadedModel]], now: float) -> Iterator[Effect]:
    own = state.rollout
    if endpoint.id in own.in_flight:
        return
    report = own.reports.get(endpoint.id)
    if report is None or report.loading or now - report.at > REPORT_S:
        yield from _ask(own, endpoint, now)
        return
    if report.loaded == target:
        return
    if (report.loaded.model, report.loaded.version) == (target.model,
                                                        target.version):
        yield _order(own, endpoint, target, False, now)
    else:
        loads.append((endpoint, target))


def _ask(own: RolloutState, endpoint: Endpoint, now: float) -> Iterator[Effect]:
    if now >= own.asked_until.get(endpoint.id, 0.0):
        own.asked_until[endpoint.id] = now + RETRY_S
        yield RequestEngineReport(endpoint.id, endpoint.address)


def _start_loads(state: 'VmState', loads: list[tuple[Endpoint, LoadedModel]],
                 now: float) -> Iterator[Effect]:
    own = state.rollout
    for endpoint, target in loads:
        # A load must end while both leases are still this VM's.
        left_s = min(
            leases.remaining_s(state, name, now)
            for name in (state.dc, WEIGHTS_LEASE))
        if left_s < ORDER_S or now < own.next_load_at:
            return
        if _loading(own) >= MAX_LOADS:
            return
        if _loading_of(state, endpoint) >= _at_once(state, endpoint):
            continue
        own.next_load_at = now + LOAD_SPACING_S
        yield _order(own, endpoint, target, True, now)


def _loading(own: RolloutState) -> int:
    ordered = sum(order.weights for order in own.in_flight.values())
    reported = sum(report.loading
                   for endpoint, report in own.reports.items()
                   if endpoint not in own.in_flight)
    return ordered + reported


def _loading_of(state: 'VmState', endpoint: Endpoint) -> int:
    return sum(order.weights and name in state.endpoints and
               state.endpoints[name].endpoint.serves == endpoint.serves
               for name, order in state.rollout.in_flight.items())


def _at_once(state: 'VmState', endpoint: Endpoint) -> int:
    """Returns how many engines of a model may load at once."""
    engines = sum(
        view.endpoint.serves == endpoint.serves and view.endpoint.dc == state.dc
        for view in state.endpoints.values())
    return max(1, engines // 2)


def _order(own: RolloutState, endpoint: Endpoint, target: LoadedModel,
           weights: bool, now: float) -> OrderEngine:
    own.count += 1
    order = f'{own.fence}-{own.count}'
    own.in_flight[endpoint.id] = InFlight(order, weights, now + ORDER_S)
    return OrderEngine(order, endpoint.id, endpoint.address, own.fence, target)


def on_reported(state: 'VmState', event: EngineReported,
                now: float) -> Iterator[Effect]:
    """Takes in what an engine runs."""
    own = state.rollout
    own.asked_until.pop(event.endpoint, None)
    own.reports[event.endpoint] = Report(event.loaded, event.loading, now)
    yield from ()


def on_order_ended(state: 'VmState', event: OrderEnded,
                   now: float) -> Iterator[Effect]:
    """Forgets what the engine said before, so that it is asked again."""
    own = state.rollout
    order = own.in_flight.get(event.endpoint)
    if order is None or order.order != event.order:
        return
    if event.outcome is not OrderOutcome.UNKNOWN:
        del own.in_flight[event.endpoint]
    own.reports.pop(event.endpoint, None)
    if event.outcome is not OrderOutcome.DONE:
        own.asked_until[event.endpoint] = now + RETRY_S
    yield LogLine('order_ended',
                  (('endpoint', event.endpoint),
                   ('outcome', event.outcome.value), ('fence', own.fence)))
