"""Reads and writes of the record of builds in the metadata store.

Each VM reads the record once it has read the registry, and again if it may have
missed builds. One VM of each data centre may write it: the reader that is
elected by rank. Those of different data centres wait for one another and read
before they write. Writes are conditional on the end of the log, so that no
build is lost between two writers.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import build_history, builds, peer_ranks, relays
from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import (AppendResult, BuildsFailed,
                                          BuildsRead, BuildsWritten, View)
from plantainridge.ids import ServiceId
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Subject of the ranks by which writers are elected.
SUBJECT: Final = 'builds'
# Time after the first read before this VM writes: until it has heard from its
# peers, it takes itself for the only VM.
SETTLE_S: Final = 3.0
# Delay of a data centre's writer after that of the one before it; more than a
# read, a write and their timeouts usually take.
WRITER_DELAY_S: Final = 1.5
# Time after which a call to the metadata store counts as lost.
CALL_TIMEOUT_S: Final = 2.5
# Delay after the first call that did not help; doubles up to the maximum. Each
# call is charged for.
RETRY_DELAY_S: Final = 1.0
MAX_RETRY_DELAY_S: Final = 16.0


def is_known(state: 'GatewayState', now: float) -> bool:
    """Return whether this VM knows all builds that services had lately."""
    return state.build_history.known or state.builds.has_watched(now)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Read the record until the builds are known, and write what it lacks."""
    history = state.build_history
    if (history.call_started_at is not None and
            now - history.call_started_at < CALL_TIMEOUT_S):
        return
    services = _resumable_services(state)
    if (not services or now < history.next_call_at or
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
    if not build_history.differs(history.record, state.builds.seen, services,
                                 state.views.era):
        history.differs_since = float('inf')
        return
    history.differs_since = min(history.differs_since, now)
    if not relays.is_reader(state, SUBJECT, now):
        return
    delay_s = WRITER_DELAY_S * _data_centre_rank(state)
    if now - history.differs_since < delay_s:
        return
    is_end_known = (history.end is not None and
                    history.end_era == state.views.era)
    if not is_end_known or (delay_s and
                            history.read_at < history.differs_since):
        yield from _read(state, now)
    else:
        yield from _write(state, services, now)


def on_read(state: 'GatewayState', event: BuildsRead,
            now: float) -> Iterator[Effect]:
    """Add the record's builds to those that this VM has seen."""
    history = state.build_history
    history.call_started_at = None
    if event.era != state.views.era:
        _delay_next_call(state, now)
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
        _delay_next_call(state, now)
        yield LogLine('builds_unread',
                      (('reason', 'the record is of an older era'),))


def on_failed(state: 'GatewayState', event: BuildsFailed,
              now: float) -> Iterator[Effect]:
    """Schedule another read."""
    state.build_history.call_started_at = None
    _delay_next_call(state, now)
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
        _delay_next_call(state, now)
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


def _delay_next_call(state: 'GatewayState', now: float) -> None:
    history = state.build_history
    delay_s = RETRY_DELAY_S * 2.0**min(history.failures, 8)
    history.failures += 1
    history.next_call_at = now + min(delay_s, MAX_RETRY_DELAY_S)


def _resumable_services(state: 'GatewayState') -> set[ServiceId]:
    """Return the services whose streams may be resumed."""
    return {
        share.service
        for routes in state.config.routes_by_host.values()
        for route in routes if builds.is_resumable(route)
        for share in route.shares
    }


def _data_centre_rank(state: 'GatewayState') -> int:
    """Return the rank of this VM's data centre among those with VMs."""
    own = peer_ranks.rendezvous_hash(state.settings.dc, SUBJECT)
    return sum(
        peer_ranks.rendezvous_hash(dc, SUBJECT) < own
        for dc in {entry.dc for entry in state.peers.values()})


def _loggable(state: 'GatewayState') -> str:
    return ' '.join(f'{service}={",".join(sorted(seen))}'
                    for service, seen in sorted(state.builds.seen.items()))
