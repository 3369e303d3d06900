"""Reads and writes of the record of builds in the metadata store.

Each VM reads the record once it has read the registry, and again if it may have
missed builds. One VM of each data centre may write it (see `record_log`): the
reader that is elected by rank.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import build_history, builds, relays
from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import (AppendResult, BuildsFailed,
                                          BuildsRead, BuildsWritten, View)
from plantainridge.gateway.record_log import RecordCall
from plantainridge.ids import ServiceId
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Subject of the ranks by which writers are elected.
SUBJECT: Final = 'builds'
# Time after the first read before this VM writes: until it has heard from its
# peers, it takes itself for the only VM.
SETTLE_S: Final = 3.0


def is_known(state: 'GatewayState', now: float) -> bool:
    """Return whether this VM knows all builds that services had lately."""
    return state.build_history.known or state.builds.has_watched(now)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Read the record until the builds are known, and write what it lacks."""
    history = state.build_history
    services = _resumable_services(state)
    if (not services or not history.may_call(now) or
            state.views.age_s(View.REGISTRY, now) > builds.MAX_REGISTRY_AGE_S):
        # Without the registry no write would state what is listed.
        return
    if not is_known(state, now):
        yield from _read(state, now)
        return
    # Without any read the builds are known since the registry was followed for
    # long enough, which is longer.
    known_since = min(history.first_read_at, state.builds.watched_since)
    if now - known_since < SETTLE_S:
        return
    differs = build_history.differs(history.record, state.builds.seen, services,
                                    state.views.era)
    history.observe(differs, now)
    if not differs or not relays.is_reader(state, SUBJECT, now):
        return
    call = history.writer_call(relays.data_centre_rank(state, SUBJECT),
                               state.views.era, now)
    if call is RecordCall.READ:
        yield from _read(state, now)
    elif call is RecordCall.WRITE:
        yield from _write(state, services, now)


def on_read(state: 'GatewayState', event: BuildsRead,
            now: float) -> Iterator[Effect]:
    """Add the record's builds to those that this VM has seen."""
    history = state.build_history
    history.call_started_at = None
    if event.era != state.views.era:
        history.delay_next_call(now)
        return
    # Ages are rounded, so that a later record may equal an earlier one.
    is_new = event.record != history.record or not history.known
    history.record = event.record
    history.end, history.end_era = event.end, event.era
    history.read_at = now
    history.first_read_at = min(history.first_read_at, now)
    if is_new:
        state.builds.add_seen(build_history.last_listed(event.record, now))
    if build_history.is_valid(event.record, event.era):
        if not history.known:
            yield LogLine('builds_read', (('builds', _loggable(state)),))
        history.known = True
        history.failures = 0
        return
    # A VM that knows the builds writes the record anew; others read it then.
    if not is_known(state, now):
        history.delay_next_call(now)
        yield LogLine('builds_unread',
                      (('reason', 'the record is of an older era'),))


def on_failed(state: 'GatewayState', event: BuildsFailed,
              now: float) -> Iterator[Effect]:
    """Schedule another read."""
    history = state.build_history
    history.call_started_at = None
    history.delay_next_call(now)
    yield LogLine('builds_unread', (('reason', event.reason),))


def on_written(state: 'GatewayState', event: BuildsWritten,
               now: float) -> Iterator[Effect]:
    """Record what was written; read the log if that is not certain."""
    history = state.build_history
    # Compared by identity: a write that was repeated has an equal record.
    if event.record is not history.pending:
        return
    history.call_started_at = history.pending = None
    if event.result is AppendResult.DONE and event.era == state.views.era:
        assert history.end is not None
        history.record, history.end = event.record, history.end + 1
        history.failures = 0
        yield LogLine('builds_recorded', (('builds', _loggable(state)),))
        return
    # A write without an answer may still take effect, and another VM may have
    # written: the log is read again before the next write.
    history.end = None
    if event.result is AppendResult.UNKNOWN:
        history.delay_next_call(now)
    yield LogLine('builds_unwritten', (('reason', event.result.value),))


def _read(state: 'GatewayState', now: float) -> Iterator[Effect]:
    state.build_history.call_started_at = now
    state.build_history.pending = None
    yield fx.ReadBuilds()


def _write(state: 'GatewayState', services: set[ServiceId],
           now: float) -> Iterator[Effect]:
    history = state.build_history
    assert history.end is not None
    history.call_started_at = now
    history.pending = build_history.next_record(history.record,
                                                state.builds.seen, services,
                                                state.views.era, now)
    yield fx.WriteBuilds(history.pending, history.end, state.views.era)


def _resumable_services(state: 'GatewayState') -> set[ServiceId]:
    """Return the services whose streams may be resumed."""
    return {
        share.service
        for routes in state.config.routes_by_host.values()
        for route in routes if builds.is_resumable(route)
        for share in route.shares
    }


def _loggable(state: 'GatewayState') -> str:
    return ' '.join(f'{service}={",".join(sorted(seen))}'
                    for service, seen in sorted(state.builds.seen.items()))
