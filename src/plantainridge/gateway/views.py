"""Views of the metadata store: configuration, versions, endpoints, VMs."""

import itertools
from collections import OrderedDict
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import (eras, evacuations, hints, relays, stores,
                                   versions)
from plantainridge.gateway.builds import MAX_REGISTRY_AGE_S
from plantainridge.gateway.config import Configuration
from plantainridge.gateway.endpoints import EndpointEntry, EndpointView
from plantainridge.gateway.events import (EndpointRemoved, EvacuationChanged,
                                          InvalidRecord, NamedVersion,
                                          TimerKind, View, ViewFailed, ViewRead,
                                          ViewRelayed, ViewRequested,
                                          ViewUpdate, VmEntry)
from plantainridge.gateway.part_lifetimes import RESTORE_SETTLE_S
from plantainridge.gateway.peer_messages import RelayedView, ViewRequest
from plantainridge.gateway.recent_records import RecentRecords
from plantainridge.ids import DcId, EndpointId
from plantainridge.loop.effects import Effect, LogLine, Observe, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time for which a read waits for updates. A connection that stopped responding
# is noticed when the read ends, well within the time to apply a configuration.
LONG_POLL_TIMEOUT_S: Final[dict[View, float]] = {View.OPERATOR: 1.0}
# Pause between two reads; endpoints write about once a second.
READ_INTERVAL_S: Final[dict[View, float]] = {View.REGISTRY: 0.8, View.VMS: 5.0}
# Pause before the second read of the VMs.
SECOND_VM_READ_DELAY_S: Final = 1.0
# Entries, per entry of a view, that lie before the snapshot that a reader read
# and that it reads and relays in addition: other VMs that started with it have
# older snapshots. Endpoints write an entry about once a second.
OVERLAP_PER_ENTRY: Final = 2
# Views whose updates may be applied again, in their order.
REPEATABLE_VIEWS: Final = frozenset({View.REGISTRY, View.VMS})
# Time without a relayed read after which a VM reads the view itself. Together
# with the reader's interval it is shorter than the time after which a draining
# endpoint must get no more requests.
RELAY_TIMEOUT_S: Final[dict[View, float]] = {
    View.OPERATOR: 1.3,
    View.REGISTRY: 1.05,
    View.VMS: 8.0
}
# Latency of a read, or of a relay of it.
READ_LATENCY_S: Final = 0.2
# Time between two reads up to which a view was followed without a gap, also if
# another VM had to replace the reader. Also the time after an outage within
# which a read succeeds.
MAX_READ_GAP_S: Final = RELAY_TIMEOUT_S[View.OPERATOR] + READ_LATENCY_S
# Minimum time between two reads that requests wait for.
REFRESH_INTERVAL_S: Final = 0.1
# Share of the metadata store's reads that all VMs together use for them.
REFRESH_READS_RATIO: Final = 0.25
# Pause after a read that failed.
RETRY_DELAY_S: Final = 0.25
# Time of failing reads after which peers take over as readers.
UNREACHABLE_AFTER_S: Final = 0.4
# Time without updates after which the next update counts as the end of an
# outage.
MIN_OUTAGE_S: Final = 2.0
# Range of the delay after which a view that a restored copy filled is loaded
# once more; longer than entries take to expire.
RELOAD_DELAY_S: Final = (evacuations.REWRITE_TIMEOUT_S, 5.5)
# Time after a read should have ended from which this VM asks peers for what it
# may have missed, and time between two such requests, in s.
REQUEST_DELAY_S: Final = 0.2
REQUEST_INTERVAL_S: Final = 0.3
# The same if no VM of this data centre reads the metadata store.
REMOTE_REQUEST_INTERVAL_S: Final = 1.0
# Removed endpoints that are remembered; the oldest are forgotten first.
MAX_REMOVED: Final = 4_096
# Time for which entries that expired during an outage may reappear after it.
REAPPEAR_GRACE_S: Final = 2.2


@attrs.define
class ViewCursor:
    """Position in one view.

    Attributes:
        offset: Offset of the next read; None before the view was loaded, or
            was loaded anew in the store's present era.
        read_at: Loop time of the last successful read, in s.
        first_read_at: Loop time of the first one, in s.
        complete_at: Loop time of a moment up to which this VM has everything
            that was written to the view, in s.
        unread_since: Loop time of the latest successful read before that is
            not outdated, in s.
        outdated: Whether the last read may lack what was written before its
            time, since it waited for this VM or the store is an older copy.
        failed: Whether reads failed between the two.
        failing_since: Loop time of the first failure since then, or None.
        recovered_at: Loop time of the first update after an outage, in s.
        loaded: Whether a snapshot was ever read.
        behind: Whether a peer read updates that this VM does not have.
        logged: Latest known entry of each endpoint in the log before `offset`.
        restored_at: Loop time at which the position was lost because the store
            returned from an older copy, in s; -inf once it was loaded anew.
        reload_at: Loop time at which the view is loaded once more, in s.
        is_first_read: Whether nothing was read since the first snapshot.
        issued_at: Loop time at which this VM issued its last read, in s.
        is_reading: Whether a read of this VM is under way.
        wanted_since: Loop time from which on a read is wanted, in s.
        wanted_until: Loop time until which it is, in s.
        is_request_due: Whether this VM is about to ask a peer for what it
            missed.
        recent: Records before `offset` that changed since the last snapshot.
    """

    offset: int | None = None
    read_at: float = float('-inf')
    first_read_at: float = float('inf')
    complete_at: float = float('-inf')
    unread_since: float = float('-inf')
    outdated: bool = False
    failed: bool = False
    failing_since: float | None = None
    recovered_at: float = float('-inf')
    loaded: bool = False
    behind: bool = False
    logged: dict[EndpointId, EndpointEntry] = attrs.field(factory=dict)
    restored_at: float = float('-inf')
    reload_at: float = float('inf')
    is_first_read: bool = True
    issued_at: float = float('-inf')
    is_reading: bool = False
    wanted_since: float = float('-inf')
    wanted_until: float = float('-inf')
    is_request_due: bool = False
    recent: RecentRecords = attrs.field(factory=RecentRecords)

    def drop_position(self, now: float) -> None:
        """Forget the position, which belongs to an older era of the store."""
        self.offset = None
        self.logged.clear()
        self.restored_at = now

    def load(self, offset: int, now: float) -> None:
        """Start at a snapshot's offset.

        Endpoints that a restored snapshot lacks may write their entries again.
        """
        self.offset = offset
        self.recent.restart(offset)
        self.loaded = True
        self.logged.clear()
        if self.restored_at > float('-inf'):
            self.recovered_at = now
            self.restored_at = float('-inf')

    def record_logged(self, update: ViewUpdate) -> bool:
        """Record the log's next update; return whether peers need it.

        A peer that has applied the log up to this update needs it unless it
        merely repeats the endpoint's previous entry in the log. This VM's own
        state must not decide: it may be ahead of the log.
        """
        if isinstance(update, EndpointRemoved):
            self.logged.pop(update.id, None)
        elif isinstance(update, EndpointEntry):
            previous = self.logged.get(update.id)
            self.logged[update.id] = update
            return previous is None or not update.is_heartbeat_after(previous)
        return not isinstance(update, InvalidRecord)

    def record_read(self, now: float, outdated: bool) -> None:
        """Record that the view was read, by this VM or a peer."""
        if now - self.read_at > MIN_OUTAGE_S:
            self.recovered_at = now
        if not self.outdated:
            self.unread_since = self.read_at
        self.failed = self.failing_since is not None
        self.read_at, self.outdated = now, outdated
        self.first_read_at = min(self.first_read_at, now)

    def is_wanted(self, now: float) -> bool:
        """Return whether a request waits for a read."""
        return (now < self.wanted_until and
                self.complete_at < self.wanted_since)


@attrs.define
class ViewTable:
    """Positions in all views.

    Attributes:
        era: Highest era of the metadata store that this VM knows; positions
            belong to it.
        era_entered_at: Loop time at which this VM learned of it, in s.
        restored_at: Loop time at which this VM learned that the store returned
            from an older copy, in s; -inf if it did not since its start.
        removed: Removed endpoints, with the Unix time of the start of the run
            that was removed, in ms.
    """

    era: int = 0
    era_entered_at: float = float('-inf')
    restored_at: float = float('-inf')
    removed: OrderedDict[EndpointId, int] = attrs.field(factory=OrderedDict)
    cursors: dict[View, ViewCursor] = attrs.field(
        factory=lambda: {view: ViewCursor() for view in View})

    def record_removed(self, endpoint: EndpointId, started_ms: int) -> None:
        """Remember that an endpoint was removed, with the start of its run."""
        self.removed[endpoint] = started_ms
        self.removed.move_to_end(endpoint)
        if len(self.removed) > MAX_REMOVED:
            self.removed.popitem(last=False)

    @property
    def registry_loaded(self) -> bool:
        """Whether the endpoints were read at least once."""
        return self.cursors[View.REGISTRY].loaded

    def is_store_unreachable(self, now: float) -> bool:
        """Return whether the metadata store has failed for some time."""
        return any(cursor.failing_since is not None and now -
                   cursor.failing_since > UNREACHABLE_AFTER_S
                   for cursor in self.cursors.values())

    def age_s(self, view: View, now: float) -> float:
        """Return the time since a view was last read, in s."""
        return now - self.cursors[view].read_at

    def complete_from(self, written_by: float) -> float:
        """Return the loop time from which on reads are complete, in s.

        A read that is issued then has all entries that were written until
        `written_by`. Those that the store lost are written again shortly after
        its return.
        """
        return max(written_by, self.restored_at + REAPPEAR_GRACE_S)


def load_all(now: float) -> Iterator[Effect]:
    """Load every view."""
    for view in View:
        yield fx.LoadView(view, now)


def on_timer(state: 'GatewayState', event: TimerFired,
             now: float) -> Iterator[Effect]:
    """Read a view again, unless a peer reads it for this VM."""
    view = View(event.key.subject)
    cursor = state.views.cursors[view]
    timeout_at = max(cursor.read_at, cursor.restored_at) + RELAY_TIMEOUT_S[view]
    expects_relay = (now < timeout_at and now < cursor.reload_at and
                     not cursor.behind and not cursor.is_wanted(now))
    if expects_relay and not relays.is_reader(state, view.value, now):
        yield SetTimer(event.key, min(timeout_at, cursor.reload_at))
        return
    cursor.issued_at, cursor.is_reading = now, True
    poll_s = LONG_POLL_TIMEOUT_S.get(view, 0.0)
    request_delay_s = poll_s + REQUEST_DELAY_S
    if not relays.is_reader(state, view.value, now):
        request_delay_s = REQUEST_DELAY_S
        yield LogLine('view_read_instead',
                      (('view', view.value),
                       ('cause', _cause_of_read(cursor, now)),
                       ('age_s', versions.loggable(now - cursor.read_at))))
    if not cursor.is_request_due:
        cursor.is_request_due = True
        yield SetTimer(_request_timer(view), now + request_delay_s)
    if now >= cursor.reload_at:
        cursor.offset, cursor.reload_at = None, float('inf')
    if cursor.offset is None:
        yield fx.LoadView(view, now)
    else:
        if cursor.is_first_read:
            cursor.is_first_read = False
            overlap = _overlap(state, view)
            if overlap:
                # Entries that are read again must not count as repetitions of
                # later ones: peers would miss what they changed.
                cursor.logged.clear()
            cursor.offset = max(0, cursor.offset - overlap)
        yield fx.ReadView(view, cursor.offset, poll_s, state.views.era, now)


def _cause_of_read(cursor: ViewCursor, now: float) -> str:
    """Return why this VM reads a view in place of the reader."""
    if cursor.behind:
        return 'gap'
    return 'resumption' if cursor.is_wanted(now) else 'timeout'


def refresh(state: 'GatewayState', view: View, since: float, until: float,
            now: float) -> Iterator[Effect]:
    """Read a view without delay, also if a peer is its reader.

    Reads follow one another, so that requests that come in a burst share them.

    Args:
        state: The VM's state.
        view: The view.
        since: Earliest loop time at which the read is issued, in s.
        until: Loop time until which it is wanted, in s.
        now: Loop time in s.
    """
    cursor = state.views.cursors[view]
    cursor.wanted_since = max(cursor.wanted_since, since)
    cursor.wanted_until = max(cursor.wanted_until, until)
    if not cursor.is_reading:
        yield SetTimer(_timer(view), _refresh_at(state, cursor, now))


def _refresh_at(state: 'GatewayState', cursor: ViewCursor, now: float) -> float:
    """Return the loop time of the next read that requests wait for, in s.

    The store bounds the reads of all VMs together, and after a cut or a kill
    all of them may get requests that wait for one.
    """
    interval_s = (REFRESH_INTERVAL_S
                  if cursor.failing_since is None else RETRY_DELAY_S)
    reads_per_s = REFRESH_READS_RATIO * state.settings.store_reads_per_s
    interval_s = max(interval_s, len(state.peers) / reads_per_s)
    return max(now, cursor.wanted_since, cursor.issued_at + interval_s)


def _overlap(state: 'GatewayState', view: View) -> int:
    """Return the number of entries to read again before the first snapshot."""
    if view not in REPEATABLE_VIEWS or hints.shares_load_directly(state):
        return 0
    entries = state.peers if view is View.VMS else state.endpoints
    return OVERLAP_PER_ENTRY * len(entries)


def on_failed(state: 'GatewayState', event: ViewFailed,
              now: float) -> Iterator[Effect]:
    """Retain the known state and schedule another read."""
    cursor = state.views.cursors[event.view]
    cursor.is_reading = False
    if event.trimmed:
        cursor.offset = None
    if cursor.failing_since is None:
        cursor.failing_since = now
        yield LogLine('view_lost',
                      (('view', event.view.value), ('reason', event.reason)))
    yield SetTimer(_timer(event.view), now + RETRY_DELAY_S)


def on_request_timer(state: 'GatewayState', event: TimerFired,
                     now: float) -> Iterator[Effect]:
    """Ask a peer for what this VM missed, unless it follows the view again."""
    view = View(event.key.subject)
    cursor = state.views.cursors[view]
    cursor.is_request_due = False
    follows = cursor.read_at >= cursor.issued_at and not cursor.behind
    if follows or cursor.offset is None:
        return
    request = ViewRequest(state.settings.vm, view.value, cursor.offset,
                          state.views.era)
    is_local = yield from relays.ask_in_turn(state, request, now)
    interval_s = REQUEST_INTERVAL_S if is_local else REMOTE_REQUEST_INTERVAL_S
    cursor.is_request_due = True
    yield SetTimer(event.key, now + interval_s)


def on_requested(state: 'GatewayState', event: ViewRequested,
                 now: float) -> Iterator[Effect]:
    """Send a peer the records that it missed, if this VM has all of them."""
    del now
    cursor = state.views.cursors[event.view]
    if (event.era != state.views.era or cursor.offset is None or
            cursor.offset <= event.start):
        return
    missed = cursor.recent.since(event.start)
    if missed is not None:
        yield from relays.send_to(
            state, event.vm,
            RelayedView(state.settings.vm,
                        event.view.value,
                        event.start,
                        cursor.offset,
                        missed,
                        state.views.era,
                        is_answer=True))


def _apply_missed(state: 'GatewayState', event: ViewRelayed,
                  now: float) -> Iterator[Effect]:
    """Apply the records that a peer sent on request.

    They are the newest ones of their keys, so that those which this VM has read
    meanwhile may be applied again. The view does not count as read: the peer
    may have read it some time ago.
    """
    cursor = state.views.cursors[event.view]
    if cursor.offset is None or not event.start <= cursor.offset < event.end:
        return
    for update in event.updates:
        cursor.record_logged(update)
        yield from _apply(state, update, now, 'peer')
    if event.view is View.REGISTRY:
        _reread_builds(state, cursor.read_at, now)
    cursor.recent.add(event.records, event.end)
    cursor.offset, cursor.behind = event.end, False
    yield from _remove_missing(state, now)
    yield LogLine('view_caught_up',
                  (('view', event.view.value), ('records', len(event.updates)),
                   ('age_s', versions.loggable(now - cursor.read_at))))


def _reread_builds(state: 'GatewayState', previous_read_at: float,
                   now: float) -> None:
    """Read the record of builds again after a gap.

    Builds that came and went since the last read are neither in a snapshot nor
    among the newest records of their keys.
    """
    if now - previous_read_at > MAX_REGISTRY_AGE_S:
        state.builds.watched_since = now
        state.build_history.known = False


def on_read(state: 'GatewayState', event: ViewRead,
            now: float) -> Iterator[Effect]:
    """Apply the updates of a view, and relay them if this VM is the reader."""
    cursor = state.views.cursors[event.view]
    was_restored = cursor.restored_at > float('-inf')
    previous_read_at = cursor.read_at
    cursor.is_reading = False
    if event.era < state.views.era or (was_restored and not event.is_snapshot):
        # Offsets of an older era do not name the same records.
        yield SetTimer(_timer(event.view), now)
        return
    cursor.record_read(now, _is_outdated_read(state, now))
    issued_at = event.issued_at if event.is_complete else float('-inf')
    cursor.complete_at = max(cursor.complete_at, issued_at)
    if cursor.failing_since is not None:
        yield LogLine('view_back',
                      (('view', event.view.value),
                       ('away_s', round(now - cursor.failing_since, 3))))
        cursor.failing_since = None
    start = cursor.offset
    cursor.behind = False
    is_first = event.is_snapshot and not cursor.loaded
    if event.is_snapshot:
        cursor.load(event.next, now)
    cursor.offset = event.next
    if was_restored:
        yield from _apply_restored(state, event.view, event.updates, now)
        needed = []
    else:
        needed = [
            cursor.record_logged(update)
            for update in event.updates
            if not event.is_ahead(update)
        ]
        if not event.is_snapshot:
            cursor.recent.add(itertools.compress(event.records, needed),
                              event.next)
        for update in event.updates:
            yield from _apply(state, update, now)
        if event.is_snapshot and event.view is View.OPERATOR:
            yield from evacuations.reconcile(state.evacuations,
                                             _evacuated(event.updates), False,
                                             event.issued_at, now)
    if was_restored and relays.is_reader(state, event.view.value, now):
        # Other VMs need not load the view from the store as well.
        yield from relays.broadcast_read(
            state,
            RelayedView(state.settings.vm, event.view.value, event.next,
                        event.next, event.records, event.era, True), issued_at)
    elif start is not None and relays.is_reader(state, event.view.value, now):
        records = tuple(itertools.compress(event.records, needed))
        yield from relays.broadcast_read(
            state,
            RelayedView(state.settings.vm, event.view.value, start, event.next,
                        records, event.era), issued_at)
    if is_first and event.view is View.VMS:
        hints.on_vms_listed(state, now)
    if event.is_snapshot and event.view is View.REGISTRY:
        yield from _mark_unlisted(state, event.updates, now)
        if not was_restored:
            # After a restore the VMs know more than the record, and write it.
            _reread_builds(state, previous_read_at, now)
    yield from _remove_missing(state, now)
    delay_s = READ_INTERVAL_S.get(event.view, 0.0)
    if event.is_snapshot and event.view is View.VMS:
        # VMs that start at the same time have written their entries by then.
        delay_s = SECOND_VM_READ_DELAY_S
    next_at = now + delay_s
    if event.updates and not event.is_complete:
        next_at = now
    elif cursor.is_wanted(now):
        next_at = min(next_at, _refresh_at(state, cursor, now))
    yield SetTimer(_timer(event.view), next_at)


def on_relayed(state: 'GatewayState', event: ViewRelayed,
               now: float) -> Iterator[Effect]:
    """Apply the updates that a peer read, unless earlier ones are missing."""
    cursor = state.views.cursors[event.view]
    if event.era < state.views.era:
        return
    yield from eras.enter(state, event.era, now)
    if event.is_answer:
        yield from _apply_missed(state, event, now)
        return
    if event.is_snapshot:
        if cursor.offset is None:
            yield from _apply_relayed_snapshot(state, event, now)
        return
    if cursor.offset is None or event.end < cursor.offset:
        return
    applies = (event.start == cursor.offset or
               (event.start < cursor.offset < event.end and
                event.view in REPEATABLE_VIEWS))
    if not applies and cursor.offset < event.end:
        # Updates in between were not relayed, or some were applied before that
        # must not be applied again: continue from the metadata store.
        cursor.behind = True
        yield SetTimer(_timer(event.view), now)
        yield from _apply_early(state, event.updates, now)
        return
    cursor.record_read(now, _is_outdated_read(state, now))
    _record_complete(state, event)
    if applies:
        for update in event.updates:
            cursor.record_logged(update)
            yield from _apply(state, update, now, 'relay')
        cursor.recent.add(event.records, event.end)
        cursor.offset = event.end
    yield from _remove_missing(state, now)


def _apply_early(state: 'GatewayState', updates: tuple[ViewUpdate, ...],
                 now: float) -> Iterator[Effect]:
    """Apply the evacuations among updates that follow ones not received.

    A VM that lost a relay while it cannot read has no other news of them. Once
    it reads what it lacks, the log's order decides.
    """
    for update in updates:
        if isinstance(update, EvacuationChanged):
            yield from _apply(state, update, now)


def _record_complete(state: 'GatewayState', event: ViewRelayed) -> None:
    """Record when a peer issued a read, by this VM's clock.

    The time of arrival does not show it: a relay may be delayed.
    """
    if event.receiver_time and event.receiver_incarnation == state.incarnation:
        cursor = state.views.cursors[event.view]
        cursor.complete_at = max(cursor.complete_at, event.receiver_time)


def _apply_relayed_snapshot(state: 'GatewayState', event: ViewRelayed,
                            now: float) -> Iterator[Effect]:
    """Apply a view's contents, as a peer read them after the store returned."""
    cursor = state.views.cursors[event.view]
    cursor.record_read(now, _is_outdated_read(state, now))
    _record_complete(state, event)
    cursor.load(event.end, now)
    yield from _apply_restored(state, event.view, event.updates, now)
    if event.view is View.REGISTRY:
        yield from _mark_unlisted(state, event.updates, now)
    yield SetTimer(_timer(event.view), now + READ_INTERVAL_S.get(event.view, 0))


def _apply_restored(state: 'GatewayState', view: View,
                    updates: tuple[ViewUpdate,
                                   ...], now: float) -> Iterator[Effect]:
    """Apply the contents of a store that returned from an older copy.

    Endpoints that were removed since the copy are left out; those that run
    write their entries again. In case a relay leaves these out, the view is
    loaded once more when the entries of the others have expired. The entries do
    not count as logged, so that the first one that each endpoint writes is
    relayed.
    """
    cursor = state.views.cursors[view]
    for update in updates:
        if _is_outdated(state, update):
            delay_s = state.rng.uniform(*RELOAD_DELAY_S)
            cursor.reload_at = min(cursor.reload_at, now + delay_s)
        else:
            yield from _apply(state, update, now)
    if view is not View.OPERATOR:
        return
    table = state.evacuations
    yield from evacuations.reconcile(table, _evacuated(updates), True, now, now)
    if table.unlisted_at:
        # A record that is not written again within this time was withdrawn.
        cursor.reload_at = now + state.rng.uniform(*RELOAD_DELAY_S)


def _evacuated(updates: tuple[ViewUpdate, ...]) -> set[DcId]:
    """Return the data centres that the operators' records evacuate."""
    return {
        update.dc
        for update in updates
        if isinstance(update, EvacuationChanged) and update.requested
    }


def _is_outdated(state: 'GatewayState', update: ViewUpdate) -> bool:
    """Return whether an endpoint was removed since its restored entry."""
    return (isinstance(update, EndpointEntry) and
            update.id not in state.endpoints and
            update.started_ms <= state.views.removed.get(update.id, -1))


def _apply(state: 'GatewayState',
           update: ViewUpdate,
           now: float,
           source: str = 'read') -> Iterator[Effect]:
    if isinstance(update, Configuration):
        if update.version > state.config.version:
            yield from _take_configuration(state, update, source, now)
    elif isinstance(update, NamedVersion):
        yield from _apply_version(state, update, now)
    elif isinstance(update, EvacuationChanged):
        yield from evacuations.apply(state.evacuations, update, now)
    elif isinstance(update, EndpointEntry):
        yield from _apply_entry(state, update, now)
    elif isinstance(update, EndpointRemoved):
        view = state.endpoints.get(update.id)
        if view is not None and view.missing_since is None:
            view.missing_since = now
    elif isinstance(update, VmEntry):
        known = state.peers.get(update.vm)
        if known is None or known.dc != update.dc:
            state.endpoint_limits.vms.record_changed(now)
        if known != update:
            state.peer_ranks.clear()
        state.peers[update.vm] = update
        state.retries.vm_count = max(1, len(state.peers))
    elif isinstance(update, InvalidRecord):
        yield LogLine('record_unreadable',
                      (('key', update.key), ('reason', update.reason)))


def _take_configuration(state: 'GatewayState', configuration: Configuration,
                        source: str, now: float) -> Iterator[Effect]:
    """Put a newer configuration in force."""
    unread_s = versions.loggable(
        now - state.views.cursors[View.OPERATOR].unread_since)
    state.config = configuration
    yield LogLine('configuration_taken',
                  (('version', configuration.version), ('source', source),
                   ('unread_s', unread_s)))
    if unread_s >= 0.0:
        yield Observe('configuration_unread_s', '', source, unread_s)
    yield from stores.on_configuration(state, now)


def _is_outdated_read(state: 'GatewayState', now: float) -> bool:
    """Return whether a read may lack what was written before its time."""
    return (state.suspension.may_have_backlog(now) or
            now - state.views.era_entered_at < RESTORE_SETTLE_S)


def _apply_version(state: 'GatewayState', update: NamedVersion,
                   now: float) -> Iterator[Effect]:
    """Add a version with the earliest time at which it may have been named."""
    cursor, suspension = state.views.cursors[View.OPERATOR], state.suspension
    named_at, assumed_at = cursor.unread_since, float('-inf')
    precise = (now - named_at <= MAX_READ_GAP_S and
               not _is_outdated_read(state, now))
    if (cursor.failed and named_at > suspension.end and
            now - state.views.era_entered_at >= RESTORE_SETTLE_S):
        # Nothing is named while the metadata store is down. After a suspension
        # it may have been this VM alone that could not read, and after a
        # restore the version may have been named before.
        assumed_at = now - MAX_READ_GAP_S
    named_at = min(named_at, suspension.backlog_since(now))
    entry = versions.VersionEntry(update.version, now, named_at, precise,
                                  assumed_at)
    if state.versions.add(update.model, entry):
        yield LogLine('version_named',
                      (('model', update.model), ('version', update.version),
                       ('age_s', versions.loggable(now - entry.counts_from)),
                       ('precise', int(precise))))


def _apply_entry(state: 'GatewayState', entry: EndpointEntry,
                 now: float) -> Iterator[Effect]:
    # Also of an entry that is not applied: other VMs may use it.
    state.builds.record_listed([entry], now)
    view = state.endpoints.get(entry.id)
    restarted = False
    if (view is not None and view.entry.started_ms > entry.started_ms and
            view.other_run_ms != entry.started_ms):
        # An older run of the endpoint, from an older copy of the store. The run
        # that answers may state an earlier start, by a clock that was set back.
        return
    if view is not None and (view.entry.started_ms != entry.started_ms or
                             view.entry.build != entry.build):
        # The endpoint restarted under the same id: discard its state.
        state.cache.forget(entry.id)
        view, restarted = None, True
    if view is None:
        view = EndpointView(entry,
                            known_at=now,
                            restarted=restarted,
                            versions=dict(entry.versions),
                            versions_changed_at=now,
                            leaving=state.leaving.has_left(
                                entry.id, entry.started_ms))
        state.endpoints[entry.id] = view
        yield LogLine('endpoint_known',
                      (('endpoint', entry.id), ('service', entry.service),
                       ('dc', entry.dc), ('build', entry.build),
                       ('started_ms', entry.started_ms)))
    if entry.draining:
        if not view.is_leaving:
            yield LogLine('endpoint_leaving',
                          (('endpoint', entry.id), ('source', 'registry')))
        state.leaving.record(entry.id, entry.started_ms)
    if entry.versions != view.entry.versions:
        view.versions_changed_at = now
    was_draining = view.entry.draining
    view.entry = entry
    if was_draining and not entry.draining:
        # A delayed write of an older entry must not end the draining.
        view.entry = attrs.evolve(entry, draining=True)
    view.missing_since = None
    view.versions.update(entry.versions)
    state.endpoint_limits.record_entry(entry.id, entry.cold_remaining_s, now)


def _mark_unlisted(state: 'GatewayState', updates: tuple[ViewUpdate, ...],
                   now: float) -> Iterator[Effect]:
    """Mark endpoints that a snapshot no longer lists.

    Builds that came and went since the last read are not in a snapshot.
    """
    state.builds.watched_since = now
    listed = {each.id for each in updates if isinstance(each, EndpointEntry)}
    for name, view in state.endpoints.items():
        if name not in listed and view.missing_since is None:
            view.missing_since = now
    yield from ()


def _remove_missing(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Remove endpoints whose entry is missing and no longer expected back."""
    cursor = state.views.cursors[View.REGISTRY]
    if now - cursor.recovered_at < REAPPEAR_GRACE_S:
        return
    missing: list[EndpointId] = [
        name for name, view in state.endpoints.items()
        if view.missing_since is not None
    ]
    for name in missing:
        view = state.endpoints.pop(name)
        state.views.record_removed(name, view.entry.started_ms)
        state.cache.forget(name)
        yield LogLine('endpoint_gone', (('endpoint', name),))
        yield fx.DropConnections(view.entry.address)


def _timer(view: View) -> TimerKey:
    return TimerKey(TimerKind.VIEW, view.value)


def _request_timer(view: View) -> TimerKey:
    return TimerKey(TimerKind.VIEW_REQUEST, view.value)
