"""Publishing of proposals, on behalf of an operator, and their outcomes.

An append whose answer is lost may have taken effect or may still do so, so
the outcome is read from the log. Appending again is harmless: both records
name the same base, and at most one of them can take effect.
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

MAX_ATTEMPTS: Final = 5
RETRY_INTERVAL_S: Final = 0.5


class LogUnavailable(Exception):
    """The log cannot be read, or no append succeeded in `MAX_ATTEMPTS`."""


class NoCheckpoint(Exception):
    """The log is trimmed and holds no complete checkpoint to start from."""


@attrs.define
class Publisher:
    """One operator's view of the configuration stream.

    Attributes:
        log: Port to the log.
        replica: The configuration as read so far.
        outcomes: Outcome of each proposal read, by its group.
    """

    log: LogPort
    replica: Replica = attrs.field(factory=Replica)
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)

    async def read_to_end(self) -> None:
        """Apply all records up to the end of the log.

        Raises:
            LogUnavailable: The log cannot be read.
            NoCheckpoint: The log does not hold the complete state.
        """
        while True:
            answer = await self._read()
            if isinstance(answer, ev.LogReadFailed):
                raise LogUnavailable
            for outcome in self.replica.apply_log_records(
                    answer.records, answer.first):
                if not isinstance(outcome, rr.SkippedRecord):
                    self.outcomes.setdefault(outcome.group, outcome)
                    self._prefer_accepted(outcome)
            if self.replica.cursor >= answer.end:
                break
        if self.replica.has_gap:
            raise NoCheckpoint

    def _prefer_accepted(self, outcome: Accepted | Conflict) -> None:
        # A resent copy of an accepted proposal is read as a conflict.
        if isinstance(outcome, Accepted):
            self.outcomes[outcome.group] = outcome

    async def publish(self,
                      base: int,
                      difference: Difference,
                      whole: bool = False) -> Accepted | Conflict:
        """Propose a revision and wait until its outcome is certain.

        Args:
            base: Revision that the proposal was made from.
            difference: Items to put and to drop.
            whole: Whether the proposal replaces the entire configuration.

        Raises:
            LogUnavailable: The outcome is unknown, or nothing was appended.
            NoCheckpoint: The log does not hold the complete state.
        """
        group = uuid.uuid4().hex
        payloads = rr.encode_change(group, base, difference, whole)
        for _ in range(MAX_ATTEMPTS):
            answer = await self._append(group, payloads)
            if isinstance(answer, ev.AppendEnded) or answer.may_have_applied:
                await self._read_to_end_with_retries()
            found = self.outcomes.get(group)
            if isinstance(found, (Accepted, Conflict)):
                return found
            await asyncio.sleep(RETRY_INTERVAL_S)
        raise LogUnavailable

    async def _read_to_end_with_retries(self) -> None:
        for _ in range(MAX_ATTEMPTS):
            try:
                await self.read_to_end()
                return
            except LogUnavailable:
                await asyncio.sleep(RETRY_INTERVAL_S)
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
