"""Appends the whole configuration to the log before its parts are trimmed.

Nobody is appointed to do it. A VM that sees that a checkpoint is due waits
for a random time, and appends one unless another VM has done so meanwhile.
Two at once are harmless: each holds the state at the offset that it names.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge import revision_records as rr
from plantainridge.effects import AppendLog
from plantainridge.events import AppendEnded, AppendFailed, Stream
from plantainridge.loop.effects import Effect, LogLine
from plantainridge.loop.events import TimerFired

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Records after a checkpoint that make the next one due.
EVERY_RECORDS: Final = 200
# Share of the log's retention after which a checkpoint is due.
RETENTION_SHARE: Final = 0.33
RETENTION_S: Final = 86_400.0
# Longest time that a VM waits before it appends a checkpoint, in s.
SPREAD_S: Final = 20.0
PARTS_PER_TICK: Final = 2
_APPEND_ID: Final = 'checkpoint-'


@attrs.define
class CheckpointState:
    """A checkpoint that this VM may append.

    Attributes:
        retention_s: Time for which the log keeps records, in s.
        due_at: Loop time at which this VM appends; None if none is due.
        rest: Parts still to encode, or None.
        payloads: Parts encoded so far.
        append_id: The append that is under way; empty for none.
        count: Checkpoints that this VM has tried to append.
    """

    retention_s: float = RETENTION_S
    due_at: float | None = None
    rest: Iterator[bytes] | None = None
    payloads: list[bytes] = attrs.field(factory=list)
    append_id: str = ''
    count: int = 0


def is_due(state: 'VmState', now: float) -> bool:
    """Returns whether the log needs a new checkpoint."""
    own = state.revisions
    replica = own.replica
    if not own.caught_up or not own.log_ok or replica.has_gap:
        return False
    if replica.next - replica.checkpoint_offset > EVERY_RECORDS:
        return True
    age_s = now + own.log_clock_s - replica.checkpoint_at
    return age_s > RETENTION_SHARE * state.checkpoints.retention_s


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Appends a checkpoint when one is due and nobody else has."""
    del event
    own = state.checkpoints
    if own.append_id:
        return
    if not is_due(state, now):
        own.due_at, own.rest = None, None
        return
    if own.due_at is None:
        own.due_at = now + state.rng.uniform(0.0, SPREAD_S)
    if now >= own.due_at:
        yield from _go_on(state)


def _go_on(state: 'VmState') -> Iterator[Effect]:
    own = state.checkpoints
    snapshot = state.revisions.replica.snapshot()
    if own.rest is None:
        own.count += 1
        group = f'{_APPEND_ID}{state.incarnation}-{own.count}'
        own.rest = rr.encode_checkpoint(group, snapshot.config, snapshot.next)
        own.payloads = []
    for _ in range(PARTS_PER_TICK):
        payload = next(own.rest, None)
        if payload is None:
            own.append_id = f'{_APPEND_ID}{own.count}'
            yield AppendLog(own.append_id, Stream.CONFIG, 0,
                            tuple(own.payloads))
            return
        own.payloads.append(payload)


def on_append_ended(state: 'VmState', event: AppendEnded,
                    now: float) -> Iterator[Effect]:
    """Ends an append; the checkpoint comes back with the next read."""
    if event.append_id == state.checkpoints.append_id != '':
        _end(state, now)
        yield LogLine('checkpoint_appended', (('offset', event.first),))


def on_append_failed(state: 'VmState', event: AppendFailed,
                     now: float) -> Iterator[Effect]:
    """Ends an append; if it took no effect, a checkpoint stays due."""
    if event.append_id == state.checkpoints.append_id != '':
        _end(state, now)
    yield from ()


def _end(state: 'VmState', now: float) -> None:
    own = state.checkpoints
    own.append_id = ''
    own.rest = None
    own.payloads = []
    own.due_at = now + state.rng.uniform(SPREAD_S / 2, SPREAD_S)
