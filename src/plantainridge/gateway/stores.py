"""Contents of the KV cache stores, followed through their events.

One VM of a data centre polls each store and relays the events to the others.
While a store does not answer, nothing is fetched from it, but its known
contents are retained: its events later report what changed in between. Only a
restart of the store, or events that it has already dropped, require a listing,
which must then be sent to every VM.
"""

import math
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import (part_lifetimes, peer_messages, peer_ranks,
                                   relays, stored_parts)
from plantainridge.gateway.config import StoreSpec
from plantainridge.gateway.events import (StoreChanged, StoredPart, StoreListed,
                                          StoreRequestFailed, TimerKind)
from plantainridge.gateway.peer_messages import (RelayedStore,
                                                 StoreSnapshotRequest)
from plantainridge.ids import ServiceId, VmId
from plantainridge.loop.effects import Effect, LogLine, SetTimer
from plantainridge.loop.events import Event, TimerFired, TimerKey

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time for which a poll waits for events; the most that a store allows.
POLL_TIMEOUT_S: Final = 1.0
# Shortest pause between two polls, and the pause per VM of the data centre:
# every answer is relayed to all of them.
MIN_POLL_INTERVAL_S: Final = 0.25
POLL_INTERVAL_PER_VM_S: Final = 0.05
# Longest pause that grows so. Beyond it, the pause depends on whether the store
# had events at once: a poll that is answered within `QUICK_ANSWER_S` counts as
# a probe. While events are rare, a long pause makes more answers quick, since
# most events fall into it; while they are frequent, each answer is quick.
MAX_SCALED_POLL_INTERVAL_S: Final = 1.0
RARE_EVENTS_POLL_INTERVAL_S: Final = 0.5
FREQUENT_EVENTS_POLL_INTERVAL_S: Final = 1.7
QUICK_ANSWER_S: Final = 0.2
# Longest time between two answers of a store to its reader. With the delays of
# a relay (its batch, a tick, the network) the store's state stays valid.
MAX_ANSWER_INTERVAL_S: Final = 2.0
# Pause before a store that did not answer is polled again.
RETRY_DELAY_S: Final = 0.5
# Range of the delay from the first configuration to the first listing. By then
# the VMs know one another, and not all stores are listed at once. Nothing is
# fetched before.
FIRST_LISTING_DELAY_S: Final = (0.4, 1.2)
# Time without a relayed message after which a VM checks whether it has become
# the reader; by then a reader that exited is no longer considered live.
READER_CHECK_DELAY_S: Final = 1.8
# Pause between two such checks.
READER_CHECK_INTERVAL_S: Final = 0.3
# Time without a relayed message after which a VM polls a store itself.
RELAY_TIMEOUT_S: Final = 3.0
# Number of VMs of the data centre above which a VM that missed a relay requests
# it from a peer before it polls the store.
MAX_POLL_AT_ONCE_VMS: Final = 12
# Time without a relayed message after which it does so: later than a relay
# arrives usually, before the store's state becomes invalid.
RELAY_REQUEST_DELAY_S: Final = 2.4
# Longest wait for the answer.
RELAY_REQUEST_TIMEOUT_S: Final = 0.25
# Events of a store that are kept to answer such requests.
MAX_RECENT_EVENTS: Final = 64
# Range over which the VMs spread this timeout, and the number of steps in it.
MAX_STAGGER_S: Final = 1.6
STAGGER_STEPS: Final = 16
# Longest delay of a relayed message within a data centre.
MAX_RELAY_DELAY_S: Final = 0.1
# Time for which a VM that could not reach a store is not its reader.
UNREACHABLE_TIMEOUT_S: Final = 1.5
# Shortest time between two requests to peers for a snapshot of a store, and the
# longest wait for the answer.
SNAPSHOT_REQUEST_INTERVAL_S: Final = 0.5
# Time since a store last answered beyond which nothing is fetched from it.
MAX_STATE_AGE_S: Final = 2.6
# Time from a store's restart to the first part that is saved there: the age of
# contents that still count, the fetch's own time, and the error of clocks.
RESTART_SAVE_DELAY_S: Final = (MAX_STATE_AGE_S + stored_parts.FETCH_TIMEOUT_S +
                               part_lifetimes.CLOCK_TOLERANCE_S)
# Time between a store's answer and its receipt by the VM that polled it.
MAX_ANSWER_DELAY_S: Final = 2.0
# Drift of the engines' clock and a VM's against each other, in s per s.
MAX_CLOCK_DRIFT: Final = 0.001
# Range of the time between two listings. A few events never arrive, but a
# listing blocks the store's transfers.
LISTING_INTERVAL_S: Final = (90.0, 180.0)

# Parts with their tokens, in the order of a store's events.
Changes = tuple[tuple[StoredPart, int], ...]


@attrs.frozen
class StoreRelayed(Event):
    """A peer relayed the state of a store."""

    relay: RelayedStore


@attrs.frozen
class StoreSnapshotRequested(Event):
    """A peer requests a snapshot of a store's contents."""

    request: StoreSnapshotRequest


@attrs.frozen
class RecentChanges:
    """Changes that a VM applied at once.

    Attributes:
        start: Number of the first event.
        end: Number of the event after the last one.
    """

    start: int
    end: int
    parts: Changes


@attrs.define
class StoreView:
    """State of one store as known to this VM.

    Attributes:
        complete: Tokens of each complete part.
        complete_tokens: Sum of these tokens.
        partial: Tokens of the parts that were incomplete at the last listing.
        epoch: Changes when the store restarts; None before the first listing of
            a run.
        past_epochs: Epochs of earlier runs of the store.
        epoch_since: Loop time at which the store was first known to be in its
            present run, by this VM or a peer, in s; inf if it is not known.
        next: Number of the next event.
        confirmed_at: Loop time of the store's last answer to any VM, in s;
            -inf after a failure.
        reported_at: Loop time at which any VM last reported an answer or a
            failure of the store, in s.
        behind: Whether a peer received events that this VM did not.
        unreachable_at: Loop times at which VMs failed to reach the store, in s.
        list_at: Loop time of the next listing, in s.
        save_started_at: Loop time at which each part was last sent there, in s.
        free_called_at: Loop time at which this VM last called the store to free
            each part, in s. Such a part takes space until the store confirms.
        snapshot_requested_at: Loop time of the last request to a peer for a
            snapshot, in s.
        relay_requested_at: Loop time of the last request to a peer for missed
            events, in s.
        recent: Changes that were applied last, oldest first.
        polled_at: Loop time of this VM's last poll, in s.
        had_quick_answer: Whether it was answered within `QUICK_ANSWER_S`.
    """

    name: ServiceId
    spec: StoreSpec
    complete: dict[StoredPart, int] = attrs.field(factory=dict)
    complete_tokens: int = 0
    partial: dict[StoredPart, int] = attrs.field(factory=dict)
    epoch: int | None = None
    past_epochs: set[int] = attrs.field(factory=set)
    epoch_since: float = math.inf
    next: int = 0
    confirmed_at: float = -math.inf
    reported_at: float = -math.inf
    behind: bool = False
    unreachable_at: dict[VmId, float] = attrs.field(factory=dict)
    list_at: float = -math.inf
    save_started_at: dict[StoredPart, float] = attrs.field(factory=dict)
    free_called_at: dict[StoredPart, float] = attrs.field(factory=dict)
    snapshot_requested_at: float = -math.inf
    relay_requested_at: float = -math.inf
    recent: list[RecentChanges] = attrs.field(factory=list)
    polled_at: float = -math.inf
    had_quick_answer: bool = False

    def is_fresh(self, now: float) -> bool:
        """Return whether the store has answered recently."""
        return now - self.confirmed_at <= MAX_STATE_AGE_S

    def accepts_saves(self, now: float) -> bool:
        """Return whether parts may be saved to the store.

        After a restart, VMs that have not noticed it may still have parts
        fetched that the store has lost. These must not be written meanwhile. A
        VM that has just started cannot tell whether the store restarted too.
        """
        return (self.is_fresh(now) and
                now - self.epoch_since > RESTART_SAVE_DELAY_S)

    @property
    def epoch_age_s(self) -> float:
        """Known time from the run's first answer to its last one, in s."""
        return max(0.0, self.confirmed_at - self.epoch_since)

    @property
    def used_tokens(self) -> int:
        """Known tokens of complete and partial parts."""
        return self.complete_tokens + sum(self.partial.values())

    def stored_tokens(self, part: StoredPart) -> int:
        """Return the known tokens of a part."""
        return self.complete.get(part, 0) + self.partial.get(part, 0)

    def record_answer(self, vm: VmId, at: float) -> None:
        """Record that the store answered a VM, this one or a peer."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.reported_at = max(self.reported_at, at)
        self.behind = False
        self.unreachable_at.pop(vm, None)

    def record_failure(self, vm: VmId, now: float) -> None:
        """Record that a VM could not reach the store."""
        self.confirmed_at = -math.inf
        self.reported_at = now
        self.unreachable_at[vm] = now

    def unreachable_vms(self, now: float) -> list[VmId]:
        """Return the VMs that recently failed to reach the store."""
        return [
            vm for vm, at in self.unreachable_at.items()
            if now < at + UNREACHABLE_TIMEOUT_S
        ]

    def enter_epoch(self, epoch: int, since: float) -> None:
        """Record the epoch of the store's present run.

        Args:
            epoch: The epoch.
            since: Loop time at which the store was known to be in it, in s.
        """
        if epoch != self.epoch:
            self.leave_epoch()
            self.epoch = epoch
            self.past_epochs.discard(epoch)
        self.epoch_since = min(self.epoch_since, since)

    def leave_epoch(self) -> None:
        """Record that the store has restarted."""
        if self.epoch is not None:
            self.past_epochs.add(self.epoch)
        self.epoch, self.epoch_since = None, math.inf

    def apply(self, parts: Changes, end: int) -> None:
        """Apply events, and keep them for peers that miss them."""
        if end > self.next:
            self.recent.append(RecentChanges(self.next, end, parts))
        while (self.recent and end - self.recent[0].start > MAX_RECENT_EVENTS):
            del self.recent[0]
        for part, tokens in parts:
            self.save_started_at.pop(part, None)
            self.set_part(part, tokens)
        self.next = end

    def changes_since(self, number: int) -> RecentChanges | None:
        """Return the changes from an event on, or None if they are not kept.

        They may begin with earlier ones, which were applied together.
        """
        if number == self.next:
            return RecentChanges(number, number, ())
        kept = [each for each in self.recent if each.end > number]
        if not kept or kept[0].start > number:
            return None
        parts = tuple(change for each in kept for change in each.parts)
        return RecentChanges(kept[0].start, self.next, parts)

    def replace_parts(self, complete: Mapping[StoredPart, int]) -> None:
        """Replace all complete parts."""
        self.recent.clear()
        self.complete = dict(complete)
        self.complete_tokens = sum(self.complete.values())

    def set_part(self, part: StoredPart, tokens: int) -> None:
        """Set the tokens of a complete part; 0 removes the part."""
        self.partial.pop(part, None)
        self.complete_tokens += tokens - self.complete.pop(part, 0)
        if tokens:
            self.complete[part] = tokens


@attrs.define
class StoreTable:
    """Views of all configured stores.

    Attributes:
        clock_offset_ms: The engines' clock minus the loop's, in ms; None if
            unknown.
        clock_read_at: Loop time at which this was measured, in s.
    """

    views: dict[ServiceId, StoreView] = attrs.field(factory=dict)
    clock_offset_ms: float | None = None
    clock_read_at: float = -math.inf

    def record_clock(self, clock_ms: float, now: float,
                     max_delay_s: float) -> None:
        """Measure the engines' clock by a time that was read from it.

        A message that took long makes the clock seem slow. The highest value
        therefore counts, less what the clocks may drift apart.

        Args:
            clock_ms: Time on the engines' clock, in ms; 0 if unknown.
            now: Loop time in s.
            max_delay_s: Longest time since it was read; a clock that is further
                behind was set back.
        """
        if not clock_ms:
            return
        offset_ms = clock_ms - now * 1_000
        expected_ms = -math.inf
        if self.clock_offset_ms is not None:
            drift_ms = MAX_CLOCK_DRIFT * (now - self.clock_read_at) * 1_000
            expected_ms = self.clock_offset_ms - drift_ms
        was_set_back = offset_ms < expected_ms - max_delay_s * 1_000
        if offset_ms >= expected_ms or was_set_back:
            self.clock_offset_ms, self.clock_read_at = offset_ms, now

    def answered_at(self, clock_ms: float, now: float) -> float:
        """Return the loop time at which a store answered, in s.

        Args:
            clock_ms: Time of the answer on the engines' clock, in ms; 0 if
                unknown.
            now: Loop time in s.
        """
        if not clock_ms:
            return now
        if self.clock_offset_ms is None:
            return -math.inf
        return min(now, (clock_ms - self.clock_offset_ms) / 1_000)

    def clock_ms(self, at: float) -> float:
        """Return the time on the engines' clock at a loop time, in ms.

        It is 0 if this VM does not know the clock.
        """
        if self.clock_offset_ms is None:
            return 0.0
        return at * 1_000 + self.clock_offset_ms


def on_configuration(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Add and remove views according to a new configuration."""
    views = state.stores.views
    configured = {
        service.name: service.store
        for service in state.config.services.values()
        if service.store is not None
    }
    for name in [name for name in views if name not in configured]:
        del views[name]
    for name, spec in configured.items():
        if name in views:
            views[name].spec = spec
            continue
        # The VM that lists the store has reported it by then.
        reported_at = now + FIRST_LISTING_DELAY_S[1]
        views[name] = StoreView(name, spec, reported_at=reported_at)
        delay_s = state.rng.uniform(*FIRST_LISTING_DELAY_S)
        yield SetTimer(_timer(views[name]), now + delay_s)


def on_listed(state: 'GatewayState', event: StoreListed,
              now: float) -> Iterator[Effect]:
    """Replace the known contents of a store by its listing."""
    view = state.stores.views.get(event.store)
    if view is None:
        return
    view.replace_parts(event.complete)
    view.partial = dict(event.partial)
    view.enter_epoch(event.epoch, now)
    view.next = event.next
    # The listing may have waited in a suspended VM, or taken long to arrive.
    answered_at = min(now, event.issued_at)
    view.record_answer(state.settings.vm, answered_at)
    view.list_at = now + state.rng.uniform(*LISTING_INTERVAL_S)
    yield LogLine('store_listed',
                  (('store', event.store), ('parts', len(view.complete)),
                   ('tokens', view.used_tokens), *_epoch_fields(view, now)))
    # A peer that knows another epoch of the store requests the listing.
    yield from relays.broadcast(
        state,
        RelayedStore(state.settings.vm, view.name, event.epoch, event.next,
                     event.next, False, False, (),
                     state.stores.clock_ms(answered_at), view.epoch_age_s))
    yield SetTimer(_timer(view), now)


def on_changed(state: 'GatewayState', event: StoreChanged,
               now: float) -> Iterator[Effect]:
    """Apply a store's events; a gap or a restart requires a listing."""
    view = state.stores.views.get(event.store)
    if view is None:
        return
    view.had_quick_answer = now - view.polled_at < QUICK_ANSWER_S
    state.stores.record_clock(event.clock_ms, now, MAX_ANSWER_DELAY_S)
    answered_at = state.stores.answered_at(event.clock_ms, now)
    if event.epoch in view.past_epochs:
        # An answer from before the restart that was processed late.
        yield SetTimer(_timer(view), now + _poll_interval_s(state, view))
        return
    if event.epoch != view.epoch or event.has_gap:
        if event.epoch != view.epoch:
            view.leave_epoch()
        view.replace_parts({})
        view.confirmed_at = -math.inf
        yield LogLine('store_unsure',
                      (('store', event.store), ('lost', event.has_gap),
                       ('epoch', event.epoch)))
        yield fx.ListStore(view.name, view.spec.address, now)
        return
    if event.next < view.next:
        # A later poll's answer or a relayed message arrived first.
        yield SetTimer(_timer(view), now + _poll_interval_s(state, view))
        return
    start, was_behind = view.next, view.behind
    view.apply(event.parts, event.next)
    view.record_answer(state.settings.vm, answered_at)
    if not was_behind:
        relays.enqueue(
            state,
            RelayedStore(state.settings.vm, view.name, event.epoch, start,
                         event.next, False, False, event.parts, event.clock_ms,
                         view.epoch_age_s), now)
    yield SetTimer(_timer(view), now + _poll_interval_s(state, view))


def _epoch_fields(view: StoreView,
                  now: float) -> tuple[tuple[str, int | float], ...]:
    """Return log fields: the store's run, and since when it is known."""
    known_s = round(now - view.epoch_since, 3)
    return (('epoch', view.epoch or 0), ('epoch_known_s', known_s))


def _snapshot(state: 'GatewayState', view: StoreView) -> RelayedStore:
    """Return all that this VM knows of a store's contents."""
    return RelayedStore(state.settings.vm, view.name, view.epoch or 0,
                        view.next, view.next, True, view.epoch is None,
                        tuple(view.complete.items()),
                        state.stores.clock_ms(view.confirmed_at),
                        view.epoch_age_s)


def on_relayed(state: 'GatewayState', event: StoreRelayed,
               now: float) -> Iterator[Effect]:
    """Apply what a peer relayed, unless earlier events are missing."""
    relay = event.relay
    view = state.stores.views.get(relay.store)
    if view is None:
        return
    if not relay.unreachable and relay.epoch in view.past_epochs:
        return
    if not relay.is_snapshot:
        state.stores.record_clock(relay.clock_ms, now, math.inf)
    answered_at = state.stores.answered_at(relay.clock_ms, now)
    if (not relay.unreachable and view.epoch not in (None, relay.epoch) and
            answered_at < view.confirmed_at):
        # The store has restarted since.
        return
    epoch_since = now - relay.epoch_age_s
    if relay.epoch == view.epoch:
        view.enter_epoch(relay.epoch, epoch_since)
    if relay.unreachable:
        view.record_failure(relay.vm, now)
        # The next VM in the order of readers polls the store.
        yield SetTimer(_timer(view), now + RETRY_DELAY_S)
    elif relay.epoch == view.epoch and relay.end <= view.next:
        view.record_answer(relay.vm, answered_at)
        yield from _schedule_check(state, view, now)
    elif relay.is_snapshot:
        view.replace_parts(dict(relay.parts))
        view.enter_epoch(relay.epoch, epoch_since)
        view.next = relay.end
        view.record_answer(relay.vm, answered_at)
        view.list_at = now + state.rng.uniform(*LISTING_INTERVAL_S)
        yield LogLine(
            'store_copied',
            (('store', view.name), ('source', relay.vm),
             ('parts', len(view.complete)), *_epoch_fields(view, now)))
        yield from _schedule_check(state, view, now)
    elif relay.epoch == view.epoch and relay.start <= view.next:
        # Changes that were applied before are applied again in their order.
        view.apply(relay.parts, relay.end)
        view.record_answer(relay.vm, answered_at)
        yield from _schedule_check(state, view, now)
    elif relay.epoch == view.epoch:
        yield from _fill_gap(state, view, relay.vm, now)
    elif now - view.snapshot_requested_at >= SNAPSHOT_REQUEST_INTERVAL_S:
        view.snapshot_requested_at = now
        yield from relays.send_to(
            state, relay.vm, StoreSnapshotRequest(state.settings.vm, view.name))


def _fill_gap(state: 'GatewayState', view: StoreView, vm: VmId,
              now: float) -> Iterator[Effect]:
    """Request missed events from the peer that has later ones, or poll."""
    if not _requests_relays(state):
        # A poll of the store returns the missing events in a few bytes.
        view.behind = True
        yield SetTimer(_timer(view), now)
        return
    if not _is_relay_request_due(view, now):
        return
    # Polls the store if the peer does not answer.
    view.behind = True
    yield from relays.send_to(state, vm, _relay_request(state, view, now))
    yield SetTimer(_timer(view), now + RELAY_REQUEST_TIMEOUT_S)


def _requests_relays(state: 'GatewayState') -> bool:
    """Return whether VMs here request missed relays from peers."""
    return relays.local_vm_count(state) > MAX_POLL_AT_ONCE_VMS


def _is_relay_request_due(view: StoreView, now: float) -> bool:
    return now - view.relay_requested_at >= SNAPSHOT_REQUEST_INTERVAL_S


def _relay_request(state: 'GatewayState', view: StoreView,
                   now: float) -> StoreSnapshotRequest:
    """Return a request for the events that this VM misses."""
    view.relay_requested_at = now
    return StoreSnapshotRequest(state.settings.vm, view.name, view.epoch or 0,
                                view.next)


def _schedule_check(state: 'GatewayState', view: StoreView,
                    now: float) -> Iterator[Effect]:
    """Schedule the next poll if this VM is the reader, else a later check."""
    if _is_reader(state, view, now):
        yield SetTimer(_timer(view), now + _poll_interval_s(state, view))
        return
    check_at = now + READER_CHECK_DELAY_S
    if _requests_relays(state):
        # The relay may repeat what this VM knows, and be as old.
        request_at = view.reported_at + RELAY_REQUEST_DELAY_S
        check_at = min(check_at, max(request_at, now + READER_CHECK_INTERVAL_S))
    yield SetTimer(_timer(view), check_at)


def _poll_interval_s(state: 'GatewayState', view: StoreView) -> float:
    interval_s = POLL_INTERVAL_PER_VM_S * relays.local_vm_count(state)
    if interval_s > MAX_SCALED_POLL_INTERVAL_S:
        return (FREQUENT_EVENTS_POLL_INTERVAL_S
                if view.had_quick_answer else RARE_EVENTS_POLL_INTERVAL_S)
    return max(MIN_POLL_INTERVAL_S, interval_s)


def _poll_wait_s(state: 'GatewayState', view: StoreView) -> float:
    """Return the time for which a poll waits for events, in s."""
    return min(POLL_TIMEOUT_S,
               MAX_ANSWER_INTERVAL_S - _poll_interval_s(state, view))


def on_snapshot_requested(state: 'GatewayState', event: StoreSnapshotRequested,
                          now: float) -> Iterator[Effect]:
    """Send a peer the events that it missed, or a store's contents."""
    request = event.request
    view = state.stores.views.get(request.store)
    if view is None or view.epoch is None or not view.is_fresh(now):
        return
    if request.since == peer_messages.ALL_CONTENTS:
        yield from relays.send_to(state, request.vm, _snapshot(state, view))
        return
    missed = view.changes_since(request.since)
    if request.epoch == view.epoch and missed is not None and not view.behind:
        yield from relays.send_to(
            state, request.vm,
            RelayedStore(state.settings.vm, view.name, view.epoch, missed.start,
                         missed.end, False, False, missed.parts,
                         state.stores.clock_ms(view.confirmed_at),
                         view.epoch_age_s))


def on_request_failed(state: 'GatewayState', event: StoreRequestFailed,
                      now: float) -> Iterator[Effect]:
    """Stop fetching from a store that did not answer, and notify peers."""
    view = state.stores.views.get(event.store)
    if view is None:
        return
    if not event.busy:
        yield LogLine('store_lost',
                      (('store', event.store), ('reason', event.reason)))
        if not view.behind:
            relay = RelayedStore(state.settings.vm, view.name, 0, 0, 0, False,
                                 True, (), 0.0)
            yield from relays.flush(state)
            yield from relays.broadcast(state, relay)
        view.record_failure(state.settings.vm, now)
        # Peers learn of the failure later: this delay keeps them from polling
        # at the same time.
        view.unreachable_at[state.settings.vm] = now + MAX_RELAY_DELAY_S
    yield SetTimer(_timer(view), now + RETRY_DELAY_S)


def _is_reader(state: 'GatewayState', view: StoreView, now: float) -> bool:
    """Return whether this VM polls a store for its data centre."""
    return relays.is_reader(state, view.name, now, view.unreachable_vms(now))


def _stagger_s(state: 'GatewayState', view: StoreView) -> float:
    """Return this VM's delay, up to MAX_STAGGER_S, to avoid polls at once."""
    step = peer_ranks.rendezvous_hash(state.settings.vm,
                                      view.name) % STAGGER_STEPS
    return MAX_STAGGER_S * step / STAGGER_STEPS


def on_timer(state: 'GatewayState', event: TimerFired,
             now: float) -> Iterator[Effect]:
    """Poll or list a store if it is this VM's turn, and free obsolete parts."""
    view = state.stores.views.get(ServiceId(event.key.subject))
    if view is None:
        return
    address = view.spec.address
    yield from stored_parts.free_replaced(state, view, now)
    if (view.reported_at <= now < view.reported_at + RETRY_DELAY_S and
            not view.is_fresh(now)):
        # A peer has just reported that the store does not answer.
        yield SetTimer(event.key, view.reported_at + RETRY_DELAY_S)
        return
    timeout_at = view.reported_at + RELAY_TIMEOUT_S + _stagger_s(state, view)
    expects_relay = now < timeout_at and not view.behind
    if expects_relay and not _is_reader(state, view, now):
        check_at = min(timeout_at, now + READER_CHECK_INTERVAL_S)
        if _requests_relays(state) and view.epoch is not None:
            request_at = view.reported_at + RELAY_REQUEST_DELAY_S
            if now >= request_at and _is_relay_request_due(view, now):
                yield from relays.send_to_any(state,
                                              _relay_request(state, view, now),
                                              now)
            elif now < request_at:
                check_at = min(check_at, request_at)
        yield SetTimer(event.key, check_at)
        return
    if view.epoch is None and view.snapshot_requested_at == -math.inf:
        # After a start of this VM, a peer's snapshot replaces a listing.
        view.snapshot_requested_at = now
        yield from relays.send_to_any(
            state, StoreSnapshotRequest(state.settings.vm, view.name), now)
        yield SetTimer(event.key, now + SNAPSHOT_REQUEST_INTERVAL_S)
        return
    if view.epoch is None or now >= view.list_at:
        yield fx.ListStore(view.name, address, now)
        return
    view.polled_at = now
    if not _is_reader(state, view, now):
        yield LogLine('store_polled_instead',
                      (('store', view.name),
                       ('cause', 'gap' if view.behind else 'timeout'),
                       ('age_s', round(now - view.reported_at, 3))))
    yield fx.PollStore(view.name, address, view.next, _poll_wait_s(state, view))


def _timer(view: StoreView) -> TimerKey:
    return TimerKey(TimerKind.STORE, view.name)
