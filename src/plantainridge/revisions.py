"""Activation of configuration revisions on this VM.

A VM serves with a configuration only once it has caught up with the end of the
log or, while the log cannot be read, with the newest revision known to its
peers. So a replaced VM never serves an older revision than its previous
incarnation did.
"""

from collections import deque
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge import config as cfg
from plantainridge import differences, gossip
from plantainridge import revision_records as rr
from plantainridge.effects import ReadLog
from plantainridge.endpoints import EndpointView
from plantainridge.events import LogRead, LogReadFailed, Stream
from plantainridge.loop.effects import Effect, LogLine
from plantainridge.loop.events import TimerFired
from plantainridge.readiness import Readiness
from plantainridge.replica import Accepted, Conflict, Outcome, Replica

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Time for which a new VM that cannot read the log collects peers' positions
# before it takes the newest of them as the end of the log.
PEER_SETTLE_S: Final = 2.0
# Most recent conflicts kept for the operators' state page.
MAX_CONFLICTS: Final = 32


@attrs.frozen
class Revision:
    """A proposal to replace the entire configuration.

    Attributes:
        base: Revision that the proposal was made from.
        config: The complete new configuration; its `revision` is ignored.
    """

    base: int
    config: cfg.Config


@attrs.define
class RevisionsState:
    """This VM's progress in following the configuration stream.

    Attributes:
        replica: Copy of the configuration that follows the log.
        started_at: Loop time of the first tick, in s; None before.
        caught_up: Whether the replica's configuration may be put in force.
        log_ok: Whether the last read of the log succeeded.
        log_end: Highest end offset that the log reported; -1 before any
            answer.
        log_clock_s: Log time minus loop time at the last read, in s.
        conflicts: Most recent proposals rejected for an outdated base.
    """

    replica: Replica = attrs.field(factory=Replica)
    started_at: float | None = None
    caught_up: bool = False
    log_ok: bool = False
    log_end: int = -1
    log_clock_s: float = float('-inf')
    conflicts: deque[Conflict] = attrs.field(
        factory=lambda: deque(maxlen=MAX_CONFLICTS))


def encode_revision(revision: Revision) -> bytes:
    """Return a single record that proposes a complete, small configuration."""
    puts = tuple(differences.items(revision.config))
    difference = differences.Difference(puts)
    return rr.encode_change(f'whole-{revision.base}',
                            revision.base,
                            difference,
                            whole=True,
                            part_items=len(puts) + 1)[0]


def readiness(state: 'VmState') -> Readiness:
    """Return whether this VM accepts requests or, if not, the reason."""
    if state.stopping:
        return Readiness.STOPPING
    if state.config.revision >= 0:
        return Readiness.READY
    revisions = state.revisions
    if revisions.replica.config.revision >= 0:
        return Readiness.CATCHING_UP
    if revisions.replica.has_gap:
        return Readiness.NO_CHECKPOINT
    return (Readiness.LOG_EMPTY
            if revisions.log_ok else Readiness.LOG_UNREACHABLE)


def on_log_read(state: 'VmState', event: LogRead,
                now: float) -> Iterator[Effect]:
    """Apply the records and read on."""
    if event.stream is not Stream.CONFIG:
        return
    revisions = state.revisions
    revisions.log_ok = True
    revisions.log_end = max(revisions.log_end, event.end)
    revisions.log_clock_s = event.at - now
    old_config = revisions.replica.config
    outcomes = revisions.replica.apply_log_records(event.records, event.first)
    yield from handle_outcomes(state, old_config, outcomes, now)
    yield ReadLog(Stream.CONFIG, 0, revisions.replica.cursor)


def on_read_failed(state: 'VmState', event: LogReadFailed,
                   now: float) -> Iterator[Effect]:
    """Retry the read; the log port delays failed reads."""
    if event.stream is not Stream.CONFIG:
        return
    state.revisions.log_ok = False
    yield from activate_config(state, now)
    yield ReadLog(Stream.CONFIG, 0, state.revisions.replica.cursor)


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Put the configuration in force once this VM has caught up.

    The log may be unreadable meanwhile: a tick is what ends the wait for peers.
    """
    del event
    if state.revisions.started_at is None:
        state.revisions.started_at = now
    if not state.revisions.caught_up:
        yield from activate_config(state, now)


def handle_outcomes(state: 'VmState', old_config: cfg.Config,
                    outcomes: list[Outcome], now: float) -> Iterator[Effect]:
    """Log outcomes, and announce and put in force a changed configuration.

    Args:
        state: The VM's state.
        old_config: The replica's configuration before the records.
        outcomes: Outcome of each proposal among the records.
        now: Loop time in s.

    Yields:
        Log lines and the effects of putting the configuration in force.
    """
    for outcome in outcomes:
        if isinstance(outcome, Conflict):
            state.revisions.conflicts.append(outcome)
        yield _log_line(outcome)
    if state.revisions.replica.config is not old_config:
        gossip.schedule_early_round(state, now)
    yield from activate_config(state, now)


def activate_config(state: 'VmState', now: float) -> Iterator[Effect]:
    """Put the replica's configuration in force if this VM has caught up."""
    revisions = state.revisions
    if not revisions.caught_up:
        revisions.caught_up = _has_caught_up(state, now)
    config = revisions.replica.config
    if not revisions.caught_up or config is state.config:
        return
    old_config = state.config
    state.config = config
    if config.endpoints is not old_config.endpoints:
        _update_endpoints(state)
    yield LogLine('config_in_force', (('revision', config.revision),))


def _has_caught_up(state: 'VmState', now: float) -> bool:
    revisions = state.revisions
    replica = revisions.replica
    if replica.config.revision < 0 or replica.has_gap:
        return False
    if replica.next < max(revisions.log_end, state.gossip.config_seen):
        return False
    if revisions.log_ok:
        return True
    return (revisions.started_at is not None and
            now - revisions.started_at >= PEER_SETTLE_S)


def _log_line(outcome: Outcome) -> LogLine:
    if isinstance(outcome, Accepted):
        return LogLine('config_accepted',
                       (('revision', outcome.offset), ('base', outcome.base)))
    if isinstance(outcome, Conflict):
        return LogLine('config_conflict',
                       (('offset', outcome.offset), ('base', outcome.base),
                        ('in_force', outcome.in_force)))
    return LogLine('config_bad_record',
                   (('offset', outcome.offset), ('error', outcome.detail)))


def _update_endpoints(state: 'VmState') -> None:
    old_views = state.endpoints
    state.endpoints = {}
    for name, endpoint in state.config.endpoints.items():
        view = old_views.get(name)
        if view is None:
            view = EndpointView(endpoint)
        view.endpoint = endpoint
        view.leaving = name in state.members.leaving_endpoints
        state.endpoints[name] = view
