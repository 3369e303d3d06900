"""What KV cache stores keep, as their events tell.

One VM of a data centre asks each store and relays what it heard. A gap or a
new life of a store makes all that is known of it unsure.
"""

import math
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.loop.effects import Effect, LogLine, SetTimer
from plantainridge.loop.events import Event, TimerFired, TimerKey
from plantainridge.gateway import kept_parts, relays
from plantainridge.gateway import effects as fx
from plantainridge.gateway.config import StoreTerms
from plantainridge.gateway.events import (KeptPart, StoreChanged, StoreListed,
                                          StoreMissed, TimerKind)
from plantainridge.gateway.peer_messages import RelayedStore, StoreWanted
from plantainridge.ids import ServiceId

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# How long one question to a store waits for events, in s; the most it allows.
WAIT_S: Final = 1.0
# Least pause between two questions, in s, and what each VM of the data centre
# adds to it: every answer is relayed to all of them.
PAUSE_S: Final = 0.25
PAUSE_PER_VM_S: Final = 0.05
# Pause before a store that did not answer is asked again, in s.
RETRY_S: Final = 0.5
# Time from the first configuration to the first listing, in s.
FIRST_LISTING_S: Final = 2.0
# Time without a relayed word after which a VM asks a store itself, in s.
SILENT_S: Final = 3.0
# Least time between two requests to peers for all of a store, in s.
WANT_S: Final = 0.5
# Age of a store's last word beyond which nothing is fetched from it, in s.
FRESH_S: Final = 2.6
# Least and most time between two listings, in s: a few events never arrive,
# but a listing holds up the store's transfers.
RELIST_S: Final = (90.0, 180.0)


@attrs.frozen
class StoreRelayed(Event):
    """A peer's word on a store arrived."""

    relay: RelayedStore


@attrs.frozen
class StoreAsked(Event):
    """A peer asks for all that is known of a store."""

    wanted: StoreWanted


@attrs.define
class StoreView:
    """What this VM knows of one store.

    Attributes:
        kept: Whole parts, with their tokens.
        kept_tokens: The sum of these.
        partial: Parts that were not whole at the last listing.
        epoch: The store's present life; None before it was listed.
        next: Number of the next event.
        heard_at: Loop time of its last word, in s; -inf after a failure.
        list_at: Loop time at which it is listed again, in s.
        saving: Loop time at which each part was last sent there, in s.
        wanted_at: Loop time at which a peer was last asked for all, in s.
    """

    name: ServiceId
    terms: StoreTerms
    kept: dict[KeptPart, int] = attrs.field(factory=dict)
    kept_tokens: int = 0
    partial: dict[KeptPart, int] = attrs.field(factory=dict)
    epoch: int | None = None
    next: int = 0
    heard_at: float = -math.inf
    list_at: float = -math.inf
    saving: dict[KeptPart, float] = attrs.field(factory=dict)
    wanted_at: float = -math.inf

    def is_fresh(self, now: float) -> bool:
        """Whether its last word is recent."""
        return now - self.heard_at <= FRESH_S

    @property
    def used_tokens(self) -> int:
        """Room that is taken, as far as known."""
        return self.kept_tokens + sum(self.partial.values())

    def replace(self, kept: Mapping[KeptPart, int]) -> None:
        """Takes in all that the store keeps."""
        self.kept = dict(kept)
        self.kept_tokens = sum(self.kept.values())

    def put(self, part: KeptPart, tokens: int) -> None:
        """Takes in a part with its tokens; 0 for one that is gone."""
        self.partial.pop(part, None)
        self.kept_tokens += tokens - self.kept.pop(part, 0)
        if tokens:
            self.kept[part] = tokens


@attrs.define
class StoreTable:
    """All stores of the configuration.

    Attributes:
        clock_ms: The engines' clock less the loop's, in ms; None if unknown.
    """

    views: dict[ServiceId, StoreView] = attrs.field(factory=dict)
    clock_ms: float | None = None


def on_configuration(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Follows the stores of a new configuration."""
    views = state.stores.views
    wanted = {
        service.name: service.store
        for service in state.config.services.values()
        if service.store is not None
    }
    for name in [name for name in views if name not in wanted]:
        del views[name]
    for name, terms in wanted.items():
        if name in views:
            views[name].terms = terms
            continue
        views[name] = StoreView(name, terms)
        # By then the VMs have heard of one another and know who lists it.
        yield SetTimer(_timer(views[name]), now + FIRST_LISTING_S)


def on_listed(state: 'GatewayState', event: StoreListed,
              now: float) -> Iterator[Effect]:
    """Replaces what is known of a store."""
    view = state.stores.views.get(event.store)
    if view is None:
        return
    view.replace(event.kept)
    view.partial = dict(event.partial)
    view.epoch, view.next = event.epoch, event.next
    view.heard_at = now
    view.list_at = now + state.rng.uniform(*RELIST_S)
    yield LogLine('store_listed',
                  (('store', event.store), ('parts', len(view.kept)),
                   ('tokens', view.used_tokens)))
    yield from relays.tell(state, _whole(state, view))
    yield SetTimer(_timer(view), now)


def on_changed(state: 'GatewayState', event: StoreChanged,
               now: float) -> Iterator[Effect]:
    """Takes a store's news in; a gap or a new life calls for a listing."""
    view = state.stores.views.get(event.store)
    if view is None:
        return
    if event.clock_ms:
        state.stores.clock_ms = event.clock_ms - now * 1_000
    if event.epoch != view.epoch or event.lost:
        view.replace({})
        view.heard_at = -math.inf
        yield LogLine('store_unsure',
                      (('store', event.store), ('lost', event.lost)))
        yield fx.ListStore(view.name, view.terms.address)
        return
    start = view.next
    _apply(view, event.kept, event.next, now)
    if relays.is_reader(state, view.name, now):
        yield from relays.tell(
            state,
            RelayedStore(state.settings.vm, view.name, event.epoch, start,
                         event.next, False, False, event.kept, event.clock_ms))
    pause_s = max(PAUSE_S, PAUSE_PER_VM_S * relays.vms_near(state))
    yield SetTimer(_timer(view), now + pause_s)


def _apply(view: StoreView, changes: tuple[tuple[KeptPart, int], ...], end: int,
           now: float) -> None:
    for part, tokens in changes:
        view.saving.pop(part, None)
        view.put(part, tokens)
    view.next = end
    view.heard_at = now


def _whole(state: 'GatewayState', view: StoreView) -> RelayedStore:
    """Returns all that this VM knows of a store, for a peer."""
    return RelayedStore(state.settings.vm, view.name, view.epoch or 0,
                        view.next, view.next, True, view.epoch is None,
                        tuple(view.kept.items()), 0.0)


def on_relayed(state: 'GatewayState', event: StoreRelayed,
               now: float) -> Iterator[Effect]:
    """Takes in what a peer heard, if nothing is missing before it."""
    relay = event.relay
    view = state.stores.views.get(relay.store)
    if view is None:
        return
    if relay.clock_ms:
        state.stores.clock_ms = relay.clock_ms - now * 1_000
    if relay.lost:
        yield from _lose(view, f'{relay.vm} does not reach it', now)
    elif relay.whole:
        view.replace(dict(relay.parts))
        view.epoch, view.next, view.heard_at = relay.epoch, relay.end, now
        view.list_at = now + state.rng.uniform(*RELIST_S)
        yield SetTimer(_timer(view), now + SILENT_S)
    elif relay.epoch == view.epoch and relay.start == view.next:
        _apply(view, relay.parts, relay.end, now)
    elif relay.epoch != view.epoch or relay.start > view.next:
        if now - view.wanted_at >= WANT_S:
            view.wanted_at = now
            yield from relays.answer(state, relay.vm,
                                     StoreWanted(state.settings.vm, view.name))


def on_wanted(state: 'GatewayState', event: StoreAsked,
              now: float) -> Iterator[Effect]:
    """Tells a peer all that is known of a store."""
    view = state.stores.views.get(event.wanted.store)
    if view is not None and view.epoch is not None and view.is_fresh(now):
        yield from relays.answer(state, event.wanted.vm, _whole(state, view))


def on_missed(state: 'GatewayState', event: StoreMissed,
              now: float) -> Iterator[Effect]:
    """Fetches nothing from a store that did not answer."""
    view = state.stores.views.get(event.store)
    if view is None:
        return
    if event.busy:
        yield SetTimer(_timer(view), now + RETRY_S)
        return
    if view.epoch is not None and relays.is_reader(state, view.name, now):
        yield from relays.tell(
            state,
            RelayedStore(state.settings.vm, view.name, 0, 0, 0, False, True, (),
                         0.0))
    yield from _lose(view, event.reason, now)


def _lose(view: StoreView, reason: str, now: float) -> Iterator[Effect]:
    """Forgets what a store kept: it may come back empty and be written anew."""
    if view.epoch is not None:
        yield LogLine('store_lost', (('store', view.name), ('reason', reason)))
    view.replace({})
    view.epoch = None
    view.heard_at = -math.inf
    yield SetTimer(_timer(view), now + RETRY_S)


def on_timer(state: 'GatewayState', event: TimerFired,
             now: float) -> Iterator[Effect]:
    """Asks a store again, and frees what is of no use."""
    view = state.stores.views.get(ServiceId(event.key.subject))
    if view is None:
        return
    address = view.terms.address
    yield from kept_parts.free_replaced(state, view, now)
    silent_at = view.heard_at + SILENT_S
    if now < silent_at and not relays.is_reader(state, view.name, now):
        yield SetTimer(event.key, silent_at)
        return
    if view.epoch is None or now >= view.list_at:
        yield fx.ListStore(view.name, address)
        return
    yield fx.PollStore(view.name, address, view.next, WAIT_S)


def _timer(view: StoreView) -> TimerKey:
    return TimerKey(TimerKind.STORE, view.name)
