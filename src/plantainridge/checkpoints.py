"""Checkpoints of the configuration, appended before the log trims its records.

No VM is elected for this. A VM that finds a checkpoint due waits for a random
time and appends one unless another VM has done so meanwhile. Two checkpoints
at once are harmless: each holds the state at the offset that it names.
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

# Records after a checkpoint at which the next one is due.
INTERVAL_RECORDS: Final = 200
# Age of the newest checkpoint at which the next one is due, as a ratio of the
# log's retention.
MAX_AGE_RATIO: Final = 0.33
LOG_RETENTION_S: Final = 86_400.0
# Upper bound of the random wait before a checkpoint is appended.
MAX_DELAY_S: Final = 20.0
ENCODED_PARTS_PER_TICK: Final = 2
_ID_PREFIX: Final = 'checkpoint-'


@attrs.define
class CheckpointState:
    """The checkpoint that this VM prepares and appends.

    Attributes:
        retention_s: Time for which the log keeps records, in s.
        due_at: Loop time in s at which this VM appends; None if no checkpoint
            is due.
        remaining: Parts still to encode; None before encoding starts.
        payloads: Parts encoded so far.
        append_id: Id of the append in flight; empty for none.
        count: Checkpoints that this VM has started to encode.
    """

    retention_s: float = LOG_RETENTION_S
    due_at: float | None = None
    remaining: Iterator[bytes] | None = None
    payloads: list[bytes] = attrs.field(factory=list)
    append_id: str = ''
    count: int = 0


def is_due(state: 'VmState', now: float) -> bool:
    """Return whether the log needs a new checkpoint."""
    revisions = state.revisions
    replica = revisions.replica
    if not revisions.caught_up or not revisions.log_ok or replica.has_gap:
        return False
    if replica.next - replica.checkpoint_offset > INTERVAL_RECORDS:
        return True
    age_s = now + revisions.log_clock_s - replica.checkpoint_at
    return age_s > MAX_AGE_RATIO * state.checkpoints.retention_s


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Append a checkpoint if one is due and no other VM has appended it."""
    del event
    checkpoints = state.checkpoints
    if checkpoints.append_id:
        return
    if not is_due(state, now):
        checkpoints.due_at, checkpoints.remaining = None, None
        return
    if checkpoints.due_at is None:
        checkpoints.due_at = now + state.rng.uniform(0.0, MAX_DELAY_S)
    if now >= checkpoints.due_at:
        yield from _encode_and_append(state)


def _encode_and_append(state: 'VmState') -> Iterator[Effect]:
    checkpoints = state.checkpoints
    snapshot = state.revisions.replica.snapshot()
    if checkpoints.remaining is None:
        checkpoints.count += 1
        group = f'{_ID_PREFIX}{state.incarnation}-{checkpoints.count}'
        checkpoints.remaining = rr.encode_checkpoint(group, snapshot.config,
                                                     snapshot.next)
        checkpoints.payloads = []
    for _ in range(ENCODED_PARTS_PER_TICK):
        payload = next(checkpoints.remaining, None)
        if payload is None:
            checkpoints.append_id = f'{_ID_PREFIX}{checkpoints.count}'
            yield AppendLog(checkpoints.append_id, Stream.CONFIG, 0,
                            tuple(checkpoints.payloads))
            return
        checkpoints.payloads.append(payload)


def on_append_ended(state: 'VmState', event: AppendEnded,
                    now: float) -> Iterator[Effect]:
    """Finish the append.

    The replica learns of the checkpoint when it reads it back from the log.
    """
    if event.append_id == state.checkpoints.append_id != '':
        _finish_append(state, now)
        yield LogLine('checkpoint_appended', (('offset', event.first),))


def on_append_failed(state: 'VmState', event: AppendFailed,
                     now: float) -> Iterator[Effect]:
    """Finish the append; unless it took effect, a checkpoint stays due."""
    if event.append_id == state.checkpoints.append_id != '':
        _finish_append(state, now)
    yield from ()


def _finish_append(state: 'VmState', now: float) -> None:
    checkpoints = state.checkpoints
    checkpoints.append_id = ''
    checkpoints.remaining = None
    checkpoints.payloads = []
    checkpoints.due_at = now + state.rng.uniform(MAX_DELAY_S / 2, MAX_DELAY_S)
