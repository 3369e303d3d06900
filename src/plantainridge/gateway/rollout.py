"""Brings engines to the weight versions that operators name.

The holder of the lease orders a few engines at a time, so that most keep
serving. It asks an engine first and tells it how many orders it must have
accepted, so that an order that comes true late changes nothing.
"""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import lease, relays
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import (EndpointReported, OrderAnswered,
                                          OrderResult, ReportFailed)
from plantainridge.gateway.peer_messages import WeightsLoaded
from plantainridge.ids import EndpointId, ModelId
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Part of the engines that take up weights at once: the others must carry the
# load meanwhile, and weights come slower to more of them.
AT_ONCE_PART: Final = 0.3
# Time between two questions to an engine, in s.
ASK_S: Final = 0.2
# How long an engine that takes up weights gets no work, in s; renewed.
SPARE_S: Final = 2 * ASK_S + 0.2
# Pause before an engine that does not answer is asked again, in s.
MISSED_S: Final = 1.0
# Delay between VMs that would take the lease for the same work, in s.
STAGGER_S: Final = 0.25
# Most of it, in s: whoever is left must find time to change all engines over.
MOST_STAGGER_S: Final = 3.0
# Time without news of an engine that took up weights after which a VM beyond
# the first ones takes the holder for lost, in s: the longest runs that an
# engine lets finish first take about as long.
PROGRESS_S: Final = 2.5


@attrs.define
class WeightUpdate:
    """One engine on its way to a version.

    Attributes:
        ask_at: Loop time at which to ask it again, in s.
        asking: Whether an answer is awaited.
        reached: Whether it answered lately.
    """

    model: ModelId
    ask_at: float
    asking: bool = False
    reached: bool = True


@attrs.define
class RolloutState:
    """How far engines are on their way to a version.

    Attributes:
        swaps: Engines that this VM orders; empty unless it holds the lease.
        progress_at: Loop time of a peer's last word that an engine took up
            new weights, in s.
    """

    weight_updates: dict[EndpointId, WeightUpdate] = attrs.field(factory=dict)
    progress_at: float = -math.inf


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Takes the lease while engines lag, and orders them."""
    lagging = dict(_lagging(state))
    state.lease.wanted = bool(lagging) and _is_due(state, lagging, now)
    yield from lease.on_tick(state, now)
    if state.lease.fence(now) == lease.NO_TERM:
        state.rollout.weight_updates.clear()
        return
    weight_updates = state.rollout.weight_updates
    for name in [name for name in weight_updates if name not in lagging]:
        del weight_updates[name]
    _begin(state, lagging, now)
    for name, swap in weight_updates.items():
        if not swap.asking and now >= swap.ask_at:
            swap.asking = True
            yield fx.RequestReport(name, lagging[name][0].entry.address)


def _begin(state: 'GatewayState', lagging: dict[EndpointId, tuple[EndpointView,
                                                                  ModelId]],
           now: float) -> None:
    """Takes up engines, those with the least work first."""
    weight_updates = state.rollout.weight_updates
    waiting = sorted((name for name in lagging if name not in weight_updates),
                     key=lambda each: lagging[each][0].request_count)
    busy = sum(swap.reached for swap in weight_updates.values())
    engines = sum(bool(view.versions) for view in state.endpoints.values())
    at_once = math.ceil(AT_ONCE_PART * engines)
    for name in waiting[:max(0, at_once - busy)]:
        weight_updates[name] = WeightUpdate(lagging[name][1], now)


def _lagging(
    state: 'GatewayState'
) -> Iterator[tuple[EndpointId, tuple[EndpointView, ModelId]]]:
    for name, view in state.endpoints.items():
        if view.entry.draining:
            continue
        for model, named in state.versions.latest.items():
            if view.versions.get(model, named.version) < named.version:
                yield name, (view, model)
                break


def _is_due(state: 'GatewayState', lagging: dict[EndpointId, tuple[EndpointView,
                                                                   ModelId]],
            now: float) -> bool:
    """Whether it is this VM's turn to try for the lease.

    The same few VMs come first for every version, so that the holder goes on
    when the next one is named, and the others ask for a lease in vain only if
    nothing moves.
    """
    if state.lease.fence(now) != lease.NO_TERM:
        return True
    rank = relays.rank(state, lease.LEASE_SUBJECT)
    models = {model for _, model in lagging.values()}
    due_at = min(state.versions.latest[each].seen_at for each in models)
    if rank >= lease.STANDBY_VMS:
        due_at = max(due_at, state.rollout.progress_at) + PROGRESS_S
    return now >= due_at + min(STAGGER_S * rank, MOST_STAGGER_S)


def on_reported(state: 'GatewayState', event: EndpointReported,
                now: float) -> Iterator[Effect]:
    """Orders an engine that lags and is free to be ordered."""
    view = state.endpoints.get(event.endpoint)
    swap = state.rollout.weight_updates.get(event.endpoint)
    if view is None:
        return
    view.versions.update(event.versions)
    if swap is None:
        return
    swap.asking, swap.reached, swap.ask_at = False, True, now + ASK_S
    named = state.versions.latest[swap.model]
    if event.versions.get(swap.model, named.version) >= named.version:
        del state.rollout.weight_updates[event.endpoint]
        view.record_weights_loaded(swap.model, named.version, now)
        state.hints.weights_loaded.append(
            WeightsLoaded(event.endpoint, swap.model, named.version))
        yield LogLine('version_reached', (('endpoint', event.endpoint),
                                          ('version', named.version)))
        return
    fence = state.lease.fence(now)
    if event.busy:
        _spare(view, now)
    if event.busy or fence == lease.NO_TERM:
        return
    yield LogLine('version_ordered',
                  (('endpoint', event.endpoint), ('version', named.version),
                   ('term', fence), ('orders', event.orders)))
    swap.asking = True
    yield fx.OrderVersion(event.endpoint, view.entry.address, swap.model,
                          named.version, event.orders, fence)


def on_report_failed(state: 'GatewayState', event: ReportFailed,
                     now: float) -> Iterator[Effect]:
    """Lets another engine go first while one does not answer."""
    swap = state.rollout.weight_updates.get(event.endpoint)
    if swap is not None:
        swap.asking, swap.reached, swap.ask_at = False, False, now + MISSED_S
        yield LogLine('report_missed',
                      (('endpoint', event.endpoint), ('reason', event.reason)))


def on_ordered(state: 'GatewayState', event: OrderAnswered,
               now: float) -> Iterator[Effect]:
    """Asks an engine how it is after its order."""
    swap = state.rollout.weight_updates.get(event.endpoint)
    yield LogLine('order_answered', (('endpoint', event.endpoint),
                                     ('result', event.result.value)))
    if swap is None:
        return
    swap.asking, swap.ask_at = False, now + ASK_S
    view = state.endpoints.get(event.endpoint)
    if event.result is OrderResult.ACCEPTED and view is not None:
        _spare(view, now)


def _spare(view: EndpointView, now: float) -> None:
    """Sends an engine nothing while it takes up new weights."""
    view.cooldown_until = max(view.cooldown_until, now + SPARE_S)
