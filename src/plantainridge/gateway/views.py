"""Follows the store's views: configuration, versions, endpoints, VMs."""

import itertools
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import relays, stores
from plantainridge.gateway.config import Configuration
from plantainridge.gateway.endpoints import EndpointEntry, EndpointView
from plantainridge.gateway.events import (EndpointRemoved, InvalidRecord,
                                          NamedVersion, TimerKind, View,
                                          ViewFailed, ViewRead, ViewRelayed,
                                          ViewUpdate, VmEntry)
from plantainridge.gateway.peer_messages import RelayedView
from plantainridge.ids import EndpointId
from plantainridge.loop.effects import Effect, LogLine, SetTimer
from plantainridge.loop.events import TimerFired, TimerKey

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# How long one read waits for news, in s; a connection that went silent is
# noticed at the read's end, well within the time to apply a configuration.
WAIT_S: Final[dict[View, float]] = {View.OPERATOR: 1.0}
# Pause between two reads, in s; endpoints write about once a second.
PAUSE_S: Final[dict[View, float]] = {View.REGISTRY: 0.8, View.VMS: 5.0}
# Pause before the VMs are read for the second time, in s.
STARTING_S: Final = 1.0
# Time without a relayed read after which a VM reads by itself, in s: together
# with a reader's pause less than the time in which a leaving endpoint must get
# no more work.
SILENT_S: Final[dict[View, float]] = {
    View.OPERATOR: 1.3,
    View.REGISTRY: 1.05,
    View.VMS: 8.0
}
# Pause after a read that failed, in s.
RETRY_S: Final = 0.25
# Time of failing reads after which peers are to read, in s.
CUT_OFF_S: Final = 0.4
# Time without news after which they count as the end of an outage, in s.
OUTAGE_S: Final = 2.0
# How long entries that vanished while the store was away may take to come
# back, in s.
LAPSE_S: Final = 2.2


@attrs.define
class ViewCursor:
    """How far one view was followed.

    Attributes:
        offset: Where to read on; None before the view was loaded.
        read_at: Loop time of the last good read, in s.
        failing_since: Loop time of the first failure since then, or None.
        back_at: Loop time at which news came again after an outage, in s.
        loaded: Whether it was ever read whole.
        behind: Whether a peer read news that this VM has not got.
    """

    offset: int | None = None
    read_at: float = float('-inf')
    failing_since: float | None = None
    back_at: float = float('-inf')
    loaded: bool = False
    behind: bool = False

    def note_read(self, now: float) -> None:
        """Takes in that news came, by a read or from a peer."""
        if now - self.read_at > OUTAGE_S:
            self.back_at = now
        self.read_at = now


@attrs.define
class ViewTable:
    """All views that this VM follows."""

    cursors: dict[View, ViewCursor] = attrs.field(
        factory=lambda: {view: ViewCursor() for view in View})

    @property
    def registry_loaded(self) -> bool:
        """Whether the endpoints were read at least once."""
        return self.cursors[View.REGISTRY].loaded

    def is_store_unreachable(self, now: float) -> bool:
        """Whether the metadata store was out of reach for a while."""
        return any(follow.failing_since is not None and now -
                   follow.failing_since > CUT_OFF_S
                   for follow in self.cursors.values())

    def age_s(self, view: View, now: float) -> float:
        """Returns the time since a view was last read, in s."""
        return now - self.cursors[view].read_at


def load_all() -> Iterator[Effect]:
    """Loads every view."""
    for view in View:
        yield fx.LoadView(view)


def on_timer(state: 'GatewayState', event: TimerFired,
             now: float) -> Iterator[Effect]:
    """Reads a view again, unless a peer reads for this VM."""
    view = View(event.key.subject)
    follow = state.views.cursors[view]
    silent_at = follow.read_at + SILENT_S[view]
    waits = now < silent_at and not follow.behind
    if waits and not relays.is_reader(state, view.value, now):
        yield SetTimer(event.key, silent_at)
        return
    if follow.offset is None:
        yield fx.LoadView(view)
    else:
        yield fx.ReadView(view, follow.offset, WAIT_S.get(view, 0.0))


def on_failed(state: 'GatewayState', event: ViewFailed,
              now: float) -> Iterator[Effect]:
    """Keeps what is known and tries again."""
    follow = state.views.cursors[event.view]
    if event.trimmed:
        follow.offset = None
    if follow.failing_since is None:
        follow.failing_since = now
        yield LogLine('view_lost',
                      (('view', event.view.value), ('reason', event.reason)))
    yield SetTimer(_timer(event.view), now + RETRY_S)


def on_read(state: 'GatewayState', event: ViewRead,
            now: float) -> Iterator[Effect]:
    """Takes a view's news in."""
    follow = state.views.cursors[event.view]
    if follow.failing_since is not None:
        yield LogLine('view_back',
                      (('view', event.view.value),
                       ('away_s', round(now - follow.failing_since, 3))))
        follow.failing_since = None
    start, follow.offset = follow.offset, event.next
    follow.note_read(now)
    follow.behind = False
    follow.loaded = follow.loaded or event.is_snapshot
    changed = [_is_change(state, news) for news in event.updates]
    for news in event.updates:
        yield from _take(state, news, now)
    if start is not None and relays.is_reader(state, event.view.value, now):
        records = tuple(itertools.compress(event.records, changed))
        yield from relays.broadcast(
            state,
            RelayedView(state.settings.vm, event.view.value, start, event.next,
                        records))
    if event.is_snapshot and event.view is View.REGISTRY:
        yield from _drop_unlisted(state, event.updates, now)
    yield from _drop_missing(state, now)
    pause_s = PAUSE_S.get(event.view, 0.0)
    if event.is_snapshot and event.view is View.VMS:
        # The VMs that start together have announced themselves by then.
        pause_s = STARTING_S
    yield SetTimer(_timer(event.view), now + pause_s)


def on_relayed(state: 'GatewayState', event: ViewRelayed,
               now: float) -> Iterator[Effect]:
    """Takes in what a peer read, if nothing is missing before it."""
    follow = state.views.cursors[event.view]
    if follow.offset is None or event.end < follow.offset:
        return
    if event.start > follow.offset:
        # Something was not relayed: reads it itself.
        follow.behind = True
        yield SetTimer(_timer(event.view), now)
        return
    if event.start < follow.offset < event.end:
        return
    if event.start == follow.offset:
        for news in event.updates:
            yield from _take(state, news, now)
        follow.offset = event.end
    follow.note_read(now)
    yield from _drop_missing(state, now)


def _is_change(state: 'GatewayState', news: ViewUpdate) -> bool:
    """Whether news says more than that an endpoint lives."""
    if not isinstance(news, EndpointEntry):
        return not isinstance(news, InvalidRecord)
    view = state.endpoints.get(news.id)
    if view is None or view.missing_since is not None:
        return True
    return attrs.evolve(news, orders=0) != attrs.evolve(view.entry, orders=0)


def _take(state: 'GatewayState', news: ViewUpdate,
          now: float) -> Iterator[Effect]:
    if isinstance(news, Configuration):
        if news.version > state.config.version:
            state.config = news
            yield LogLine('configuration_taken', (('version', news.version),))
            yield from stores.on_configuration(state, now)
    elif isinstance(news, NamedVersion):
        if state.versions.add(news.model, news.version, now):
            yield LogLine('version_named',
                          (('model', news.model), ('version', news.version)))
    elif isinstance(news, EndpointEntry):
        yield from _take_entry(state, news, now)
    elif isinstance(news, EndpointRemoved):
        view = state.endpoints.get(news.id)
        if view is not None and view.missing_since is None:
            view.missing_since = now
    elif isinstance(news, VmEntry):
        state.peers[news.vm] = news
        state.retries.vm_count = max(1, len(state.peers))
    elif isinstance(news, InvalidRecord):
        yield LogLine('record_unreadable',
                      (('key', news.key), ('reason', news.reason)))


def _take_entry(state: 'GatewayState', entry: EndpointEntry,
                now: float) -> Iterator[Effect]:
    view = state.endpoints.get(entry.id)
    if view is not None and view.entry.started_ms != entry.started_ms:
        # The same id after a restart: nothing known of it holds.
        state.cache.forget(entry.id)
        view = None
    if view is None:
        view = EndpointView(entry,
                            versions=dict(entry.versions),
                            versions_changed_at=now)
        state.endpoints[entry.id] = view
        yield LogLine('endpoint_known',
                      (('endpoint', entry.id), ('service', entry.service),
                       ('dc', entry.dc)))
    if entry.draining and not view.entry.draining:
        yield LogLine('endpoint_leaving', (('endpoint', entry.id),))
    if entry.versions != view.entry.versions:
        view.versions_changed_at = now
    leaving = view.entry.draining
    view.entry = entry
    if leaving and not entry.draining:
        # An old entry that was written late does not undo a leave.
        view.entry = attrs.evolve(entry, draining=True)
    view.missing_since = None
    view.versions.update(entry.versions)


def _drop_unlisted(state: 'GatewayState', news: tuple[ViewUpdate, ...],
                   now: float) -> Iterator[Effect]:
    """Marks endpoints that a whole listing no longer names."""
    listed = {each.id for each in news if isinstance(each, EndpointEntry)}
    for name, view in state.endpoints.items():
        if name not in listed and view.missing_since is None:
            view.missing_since = now
    yield from ()


def _drop_missing(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Forgets endpoints whose entry is gone for good."""
    follow = state.views.cursors[View.REGISTRY]
    if now - follow.back_at < LAPSE_S:
        return
    gone: list[EndpointId] = [
        name for name, view in state.endpoints.items()
        if view.missing_since is not None
    ]
    for name in gone:
        view = state.endpoints.pop(name)
        state.cache.forget(name)
        yield LogLine('endpoint_gone', (('endpoint', name),))
        yield fx.DropConnections(view.entry.address)


def _timer(view: View) -> TimerKey:
    return TimerKey(TimerKind.VIEW, view.value)
