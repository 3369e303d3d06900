"""What KV cache stores keep, as their events tell.

One VM of a data centre asks each store and relays what it heard. While a store
does not answer, nothing is fetched from it, but what it kept stays known: its
events tell later what changed meanwhile. Only a new life of a store, or events
that it has dropped, call for a listing, which every VM must then be sent.
"""

import math
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import relays, stored_parts
from plantainridge.gateway.config import StoreSpec
from plantainridge.gateway.events import (StoreChanged, StoreListed,
                                          StoreRequestFailed, StoredPart,
                                          TimerKind)
from plantainridge.gateway.peer_messages import (RelayedStore,
                                                 StoreSnapshotRequest)
from plantainridge.ids import ServiceId, VmId
from plantainridge.loop.effects import Effect, LogLine, SetTimer
from plantainridge.loop.events import Event, TimerFired, TimerKey

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
# Time from the first configuration to the first listing, in s: by then the VMs
# have heard of one another, and not all stores are listed at once. Until it
# nothing is fetched.
FIRST_LISTING_S: Final = (0.4, 1.2)
# Time without a relayed word after which a VM looks whether it is its turn to
# ask, in s: by then a reader that ended counts as gone.
LOOK_S: Final = 1.8
# Pause before it looks again, in s.
LOOK_AGAIN_S: Final = 0.3
# Time without a relayed word after which a VM asks a store itself, in s.
SILENT_S: Final = 3.0
# Spread of that over the VMs, in s, and the places in it.
STAGGER_S: Final = 1.6
STAGGER_PLACES: Final = 16
# Longest time that a relayed word takes within a data centre, in s.
RELAY_S: Final = 0.1
# How long a VM that did not reach a store is passed over as its reader, in s.
PASS_OVER_S: Final = 1.5
# Least time between two requests to peers for all of a store, in s, and the
# longest wait for the answer.
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
class StoreSnapshotRequested(Event):
    """A peer asks for all that is known of a store."""

    wanted: StoreSnapshotRequest


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
        told_at: Loop time at which any VM last told of it, even that it does
            not answer, in s.
        behind: Whether a peer heard events that this VM did not.
        missed_by: VMs that did not reach it, with loop times in s.
        list_at: Loop time at which it is listed again, in s.
        save_started_at: Loop time at which each part was last sent there, in s.
        wanted_at: Loop time at which a peer was last asked for all, in s.
    """

    name: ServiceId
    spec: StoreSpec
    complete: dict[StoredPart, int] = attrs.field(factory=dict)
    complete_tokens: int = 0
    partial: dict[StoredPart, int] = attrs.field(factory=dict)
    epoch: int | None = None
    next: int = 0
    heard_at: float = -math.inf
    told_at: float = -math.inf
    behind: bool = False
    missed_by: dict[VmId, float] = attrs.field(factory=dict)
    list_at: float = -math.inf
    save_started_at: dict[StoredPart, float] = attrs.field(factory=dict)
    wanted_at: float = -math.inf

    def is_fresh(self, now: float) -> bool:
        """Whether its last word is recent."""
        return now - self.heard_at <= FRESH_S

    @property
    def used_tokens(self) -> int:
        """Room that is taken, as far as known."""
        return self.complete_tokens + sum(self.partial.values())

    def note_reached(self, vm: VmId, now: float) -> None:
        """Takes in that the store answered a VM, this one or a peer."""
        self.heard_at = self.told_at = now
        self.behind = False
        self.missed_by.pop(vm, None)

    def note_missed(self, vm: VmId, now: float) -> None:
        """Takes in that a VM did not reach the store."""
        self.heard_at = -math.inf
        self.told_at = now
        self.missed_by[vm] = now

    def passed_over(self, now: float) -> list[VmId]:
        """Returns VMs that did not reach the store a moment ago."""
        return [
            vm for vm, at in self.missed_by.items() if now < at + PASS_OVER_S
        ]

    def replace(self, kept: Mapping[StoredPart, int]) -> None:
        """Takes in all that the store keeps."""
        self.complete = dict(kept)
        self.complete_tokens = sum(self.complete.values())

    def set_part(self, part: StoredPart, tokens: int) -> None:
        """Takes in a part with its tokens; 0 for one that is gone."""
        self.partial.pop(part, None)
        self.complete_tokens += tokens - self.complete.pop(part, 0)
        if tokens:
            self.complete[part] = tokens


@attrs.define
class StoreTable:
    """All stores of the configuration.

    Attributes:
        clock_offset_ms: The engines' clock less the loop's, in ms; None if
            unknown.
    """

    views: dict[ServiceId, StoreView] = attrs.field(factory=dict)
    clock_offset_ms: float | None = None


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
            views[name].spec = terms
            continue
        # Whoever is to list it has told of it by then.
        told_at = now + FIRST_LISTING_S[1]
        views[name] = StoreView(name, terms, told_at=told_at)
        listing_s = state.rng.uniform(*FIRST_LISTING_S)
        yield SetTimer(_timer(views[name]), now + listing_s)


def on_listed(state: 'GatewayState', event: StoreListed,
              now: float) -> Iterator[Effect]:
    """Replaces what is known of a store."""
    view = state.stores.views.get(event.store)
    if view is None:
        return
    view.replace(event.complete)
    view.partial = dict(event.partial)
    view.epoch, view.next = event.epoch, event.next
    view.note_reached(state.settings.vm, now)
    view.list_at = now + state.rng.uniform(*RELIST_S)
    yield LogLine('store_listed',
                  (('store', event.store), ('parts', len(view.complete)),
                   ('tokens', view.used_tokens)))
    # A peer that knows another life of the store asks for the listing.
    yield from relays.broadcast(
        state,
        RelayedStore(state.settings.vm, view.name, event.epoch, event.next,
                     event.next, False, False, (), 0.0))
    yield SetTimer(_timer(view), now)


def on_changed(state: 'GatewayState', event: StoreChanged,
               now: float) -> Iterator[Effect]:
    """Takes a store's news in; a gap or a new life calls for a listing."""
    view = state.stores.views.get(event.store)
    if view is None:
        return
    if event.clock_ms:
        state.stores.clock_offset_ms = event.clock_ms - now * 1_000
    if event.epoch != view.epoch or event.has_gap:
        view.replace({})
        view.heard_at = -math.inf
        yield LogLine('store_unsure',
                      (('store', event.store), ('lost', event.has_gap)))
        yield fx.ListStore(view.name, view.spec.address)
        return
    if event.next < view.next:
        # Overtaken by the answer to a later question, or by a peer's word.
        yield SetTimer(_timer(view), now + _pause_s(state))
        return
    start, alone = view.next, view.behind
    _apply(view, event.parts, event.next)
    view.note_reached(state.settings.vm, now)
    if not alone:
        relays.enqueue(
            state,
            RelayedStore(state.settings.vm, view.name, event.epoch, start,
                         event.next, False, False, event.parts, event.clock_ms),
            now)
    yield SetTimer(_timer(view), now + _pause_s(state))


def _apply(view: StoreView, changes: tuple[tuple[StoredPart, int], ...],
           end: int) -> None:
    for part, tokens in changes:
        view.save_started_at.pop(part, None)
        view.set_part(part, tokens)
    view.next = end


def _whole(state: 'GatewayState', view: StoreView) -> RelayedStore:
    """Returns all that this VM knows of a store, for a peer."""
    return RelayedStore(state.settings.vm, view.name, view.epoch or 0,
                        view.next, view.next, True, view.epoch is None,
                        tuple(view.complete.items()), 0.0)


def on_relayed(state: 'GatewayState', event: StoreRelayed,
               now: float) -> Iterator[Effect]:
    """Takes in what a peer heard, if nothing is missing before it."""
    relay = event.relay
    view = state.stores.views.get(relay.store)
    if view is None:
        return
    if relay.clock_ms:
        state.stores.clock_offset_ms = relay.clock_ms - now * 1_000
    if relay.unreachable:
        view.note_missed(relay.vm, now)
        # Whoever comes next in turn asks the store.
        yield SetTimer(_timer(view), now + RETRY_S)
    elif relay.epoch == view.epoch and relay.end <= view.next:
        view.note_reached(relay.vm, now)
        yield from _take_over(state, view, now)
    elif relay.is_snapshot:
        view.replace(dict(relay.parts))
        view.epoch, view.next = relay.epoch, relay.end
        view.note_reached(relay.vm, now)
        view.list_at = now + state.rng.uniform(*RELIST_S)
        yield from _take_over(state, view, now)
    elif relay.epoch == view.epoch and relay.start == view.next:
        _apply(view, relay.parts, relay.end)
        view.note_reached(relay.vm, now)
        yield from _take_over(state, view, now)
    elif relay.epoch == view.epoch:
        # The store itself tells what was not relayed, in a few bytes.
        view.behind = True
        yield SetTimer(_timer(view), now)
    elif now - view.wanted_at >= WANT_S:
        view.wanted_at = now
        yield from relays.send_to(
            state, relay.vm, StoreSnapshotRequest(state.settings.vm, view.name))


def _take_over(state: 'GatewayState', view: StoreView,
               now: float) -> Iterator[Effect]:
    """Goes on reading a store if it is this VM's turn, else only listens."""
    pause_s = _pause_s(state) if _is_reader(state, view, now) else LOOK_S
    yield SetTimer(_timer(view), now + pause_s)


def _pause_s(state: 'GatewayState') -> float:
    return max(PAUSE_S, PAUSE_PER_VM_S * relays.local_vm_count(state))


def on_snapshot_requested(state: 'GatewayState', event: StoreSnapshotRequested,
                          now: float) -> Iterator[Effect]:
    """Tells a peer all that is known of a store."""
    view = state.stores.views.get(event.wanted.store)
    if view is not None and view.epoch is not None and view.is_fresh(now):
        yield from relays.send_to(state, event.wanted.vm, _whole(state, view))


def on_request_failed(state: 'GatewayState', event: StoreRequestFailed,
                      now: float) -> Iterator[Effect]:
    """Fetches nothing from a store that did not answer."""
    view = state.stores.views.get(event.store)
    if view is None:
        return
    if not event.busy:
        yield LogLine('store_lost',
                      (('store', event.store), ('reason', event.reason)))
        if not view.behind:
            lost = RelayedStore(state.settings.vm, view.name, 0, 0, 0, False,
                                True, (), 0.0)
            yield from relays.flush(state)
            yield from relays.broadcast(state, lost)
        view.note_missed(state.settings.vm, now)
        # Peers hear of it later: none of them asks at the same time.
        view.missed_by[state.settings.vm] = now + RELAY_S
    yield SetTimer(_timer(view), now + RETRY_S)


def _is_reader(state: 'GatewayState', view: StoreView, now: float) -> bool:
    """Whether this VM is to ask a store for its data centre."""
    return relays.is_reader(state, view.name, now, view.passed_over(now))


def _stagger_s(state: 'GatewayState', view: StoreView) -> float:
    """Returns this VM's part of `STAGGER_S`, so that not all ask at once."""
    place = relays.rendezvous_hash(state.settings.vm,
                                   view.name) % STAGGER_PLACES
    return STAGGER_S * place / STAGGER_PLACES


def on_timer(state: 'GatewayState', event: TimerFired,
             now: float) -> Iterator[Effect]:
    """Asks a store again, and frees what is of no use."""
    view = state.stores.views.get(ServiceId(event.key.subject))
    if view is None:
        return
    address = view.spec.address
    yield from stored_parts.free_replaced(state, view, now)
    if view.told_at <= now < view.told_at + RETRY_S and not view.is_fresh(now):
        # A peer has just found that it does not answer.
        yield SetTimer(event.key, view.told_at + RETRY_S)
        return
    silent_at = view.told_at + SILENT_S + _stagger_s(state, view)
    waits = now < silent_at and not view.behind
    if waits and not _is_reader(state, view, now):
        yield SetTimer(event.key, min(silent_at, now + LOOK_AGAIN_S))
        return
    if view.epoch is None and view.wanted_at == -math.inf:
        # After a start peers know what a listing would tell.
        view.wanted_at = now
        yield from relays.send_to_any(
            state, StoreSnapshotRequest(state.settings.vm, view.name), now)
        yield SetTimer(event.key, now + WANT_S)
        return
    if view.epoch is None or now >= view.list_at:
        yield fx.ListStore(view.name, address)
        return
    yield fx.PollStore(view.name, address, view.next, WAIT_S)


def _timer(view: StoreView) -> TimerKey:
    return TimerKey(TimerKind.STORE, view.name)
