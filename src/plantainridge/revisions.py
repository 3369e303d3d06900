"""Keeps this VM's configuration in step with the log.

A VM comes in force with a configuration only once it has caught up with the
log's end, or, while the log cannot be read, with all that its peers tell of.
So a replaced VM never serves an older revision than its former life did.
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

# Time in which a new VM listens to peers before it goes by them alone, in s.
SETTLE_S: Final = 2.0
# Conflicts that are kept for operators to see.
MAX_CONFLICTS: Final = 32


@attrs.frozen
class Revision:
    """A proposal to replace one configuration by another, whole.

    Attributes:
        base: Revision that it was made from.
        config: The whole new configuration; its `revision` is ignored.
    """

    base: int
    config: cfg.Config


@attrs.define
class RevisionsState:
    """Where this VM stands with the configuration.

    Attributes:
        replica: The copy that follows the log.
        started_at: Loop time of the process's start, in s; None before.
        caught_up: Whether the configuration may be in force.
        log_ok: Whether the last read of the log was answered.
        log_end: Highest end that the log told of; -1 before any answer.
        log_clock_s: Log time less loop time as last read, in s.
        conflicts: Last proposals that lost.
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
    """Returns one record that proposes a whole small configuration."""
    puts = tuple(differences.items(revision.config))
    difference = differences.Difference(puts)
    return rr.encode_change(f'whole-{revision.base}',
                            revision.base,
                            difference,
                            whole=True,
                            part_items=len(puts) + 1)[0]


def readiness(state: 'VmState') -> Readiness:
    """Returns whether this VM may be sent requests, and why not."""
    if state.stopping:
        return Readiness.STOPPING
    if state.config.revision >= 0:
        return Readiness.READY
    own = state.revisions
    if own.replica.config.revision >= 0:
        return Readiness.CATCHING_UP
    if own.replica.has_gap:
        return Readiness.NO_CHECKPOINT
    return Readiness.LOG_EMPTY if own.log_ok else Readiness.LOG_UNREACHABLE


def on_log_read(state: 'VmState', event: LogRead,
                now: float) -> Iterator[Effect]:
    """Takes in records, then reads on."""
    if event.stream is not Stream.CONFIG:
        return
    own = state.revisions
    own.log_ok = True
    own.log_end = max(own.log_end, event.end)
    own.log_clock_s = event.at - now
    before = own.replica.config
    outcomes = own.replica.apply_log_records(event.records, event.first)
    yield from handle_outcomes(state, before, outcomes, now)
    yield ReadLog(Stream.CONFIG, 0, own.replica.cursor)


def on_read_failed(state: 'VmState', event: LogReadFailed,
                   now: float) -> Iterator[Effect]:
    """Reads again; the runtime paces reads that fail."""
    if event.stream is not Stream.CONFIG:
        return
    state.revisions.log_ok = False
    yield from settle(state, now)
    yield ReadLog(Stream.CONFIG, 0, state.revisions.replica.cursor)


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Comes in force by peers alone once it has listened long enough."""
    del event
    if state.revisions.started_at is None:
        state.revisions.started_at = now
    if not state.revisions.caught_up:
        yield from settle(state, now)


def handle_outcomes(state: 'VmState', before: cfg.Config,
                    outcomes: list[Outcome], now: float) -> Iterator[Effect]:
    """Follows up on what the replica took in.

    Args:
        state: The VM's state.
        before: The replica's configuration before.
        outcomes: What became of each proposal.
        now: Loop time in s.
    """
    for outcome in outcomes:
        if isinstance(outcome, Conflict):
            state.revisions.conflicts.append(outcome)
        yield _log_line(outcome)
    if state.revisions.replica.config is not before:
        gossip.schedule_early_round(state, now)
    yield from settle(state, now)


def settle(state: 'VmState', now: float) -> Iterator[Effect]:
    """Puts the replica's configuration in force, once caught up."""
    own = state.revisions
    if not own.caught_up:
        own.caught_up = _has_caught_up(state, now)
    config = own.replica.config
    if not own.caught_up or config is state.config:
        return
    old = state.config
    state.config = config
    if config.endpoints is not old.endpoints:
        _renew_endpoints(state)
    yield LogLine('config_in_force', (('revision', config.revision),))


def _has_caught_up(state: 'VmState', now: float) -> bool:
    own = state.revisions
    replica = own.replica
    if replica.config.revision < 0 or replica.has_gap:
        return False
    if replica.next < max(own.log_end, state.gossip.config_seen):
        return False
    if own.log_ok:
        return True
    return own.started_at is not None and now - own.started_at >= SETTLE_S


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


def _renew_endpoints(state: 'VmState') -> None:
    old = state.endpoints
    state.endpoints = {}
    for name, endpoint in state.config.endpoints.items():
        view = old.get(name)
        if view is None:
            view = EndpointView(endpoint)
        view.endpoint = endpoint
        view.leaving = name in state.members.leaving_endpoints
        state.endpoints[name] = view
