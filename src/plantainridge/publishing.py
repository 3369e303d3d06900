"""Publishes a proposal as an operator and learns what became of it.

An append whose answer is lost may have taken effect or may still do so, so
the outcome is read from the log. Appending again is harmless: both records
name the same base, and at most one of them can come in force.
"""

import asyncio
import uuid
from typing import Final

import attrs

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge import revision_records as rr
from plantainridge.differences import Difference
from plantainridge.loop.events import Event
from plantainridge.ports import LogPort
from plantainridge.replica import Accepted, Conflict, Outcome, Replica

MAX_TRIES: Final = 5
RETRY_S: Final = 0.5


class LogUnavailable(Exception):
    """The log cannot be read, or took no append in several tries."""


class NoCheckpoint(Exception):
    """The log is trimmed and holds no whole checkpoint to read on from."""


@attrs.define
class Publisher:
    """One operator's view of the configuration stream.

    Attributes:
        log: The way to the log.
        replica: The configuration as read so far.
        outcomes: What became of each proposal read, by its group.
    """

    log: LogPort
    replica: Replica = attrs.field(factory=Replica)
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)

    async def read_to_end(self) -> None:
        """Takes in all records up to the log's end.

        Raises:
            LogUnavailable: The log cannot be read.
            NoCheckpoint: The log does not hold the whole state.
        """
        while True:
            answer = await self._read()
            if isinstance(answer, ev.LogReadFailed):
                raise LogUnavailable
            for outcome in self.replica.apply_log_records(
                    answer.records, answer.first):
                if not isinstance(outcome, rr.SkippedRecord):
                    self.outcomes.setdefault(outcome.group, outcome)
                    self._note_win(outcome)
            if self.replica.cursor >= answer.end:
                break
        if self.replica.has_gap:
            raise NoCheckpoint

    def _note_win(self, outcome: Accepted | Conflict) -> None:
        # A second copy of an accepted proposal reads as a conflict.
        if isinstance(outcome, Accepted):
            self.outcomes[outcome.group] = outcome

    async def publish(self,
                      base: int,
                      difference: Difference,
                      whole: bool = False) -> Accepted | Conflict:
        """Proposes a revision; returns once its outcome is certain.

        Raises:
            LogUnavailable: The outcome is not known, or nothing was appended.
            NoCheckpoint: The log does not hold the whole state.
        """
        group = uuid.uuid4().hex
        payloads = rr.encode_change(group, base, difference, whole)
        for _ in range(MAX_TRIES):
            answer = await self._append(group, payloads)
            if isinstance(answer, ev.AppendEnded) or answer.may_have_applied:
                await self._read_patiently()
            found = self.outcomes.get(group)
            if isinstance(found, (Accepted, Conflict)):
                return found
            await asyncio.sleep(RETRY_S)
        raise LogUnavailable

    async def _read_patiently(self) -> None:
        for _ in range(MAX_TRIES):
            try:
                await self.read_to_end()
                return
            except LogUnavailable:
                await asyncio.sleep(RETRY_S)
        raise LogUnavailable

    async def _append(
            self, group: str,
            payloads: tuple[bytes, ...]) -> ev.AppendEnded | ev.AppendFailed:
        answer = _answer()
        self.log.append(fx.AppendLog(group, ev.Stream.CONFIG, 0, payloads),
                        answer.set_result)
        ended = await answer
        assert isinstance(ended, (ev.AppendEnded, ev.AppendFailed))
        return ended

    async def _read(self) -> ev.LogRead | ev.LogReadFailed:
        answer = _answer()
        self.log.read(
            fx.ReadLog(ev.Stream.CONFIG, 0, self.replica.cursor, wait=False),
            answer.set_result)
        ended = await answer
        assert isinstance(ended, (ev.LogRead, ev.LogReadFailed))
        return ended


def _answer() -> asyncio.Future[Event]:
    return asyncio.get_running_loop().create_future()
