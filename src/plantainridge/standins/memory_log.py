"""In-memory port to the log's model, with faults."""

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine
from typing import Final

import attrs

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.loop.ports import Post
from plantainridge.ports import LogPort
from plantainridge.standins.log import LogModel
from plantainridge.standins.memory import Network

LOG_WAIT_S: Final = 5.0
LOG_RETRY_S: Final = 0.5


@attrs.define
class LogFaults:
    """Fault probabilities of one VM's appends to the log.

    Attributes:
        lose_answer: The answer is lost after the append took effect.
        delay: The append fails, and takes effect later all the same.
        delay_s: Longest delay of such an append, in s.
        duplicate: The append takes effect twice.
    """

    lose_answer: float = 0.0
    delay: float = 0.0
    delay_s: float = 5.0
    duplicate: float = 0.0


class MemoryLogPort(LogPort):
    """Log port of one VM, connected to the log's model.

    Attributes:
        faults: Fault probabilities.
        appends: Number of appends that reached each stream.
        sent_bytes: Payload appended to each stream.
        read_bytes: Payload read from each stream.
    """

    NODE: Final = 'log'

    def __init__(self, vm: str, network: Network, model: LogModel,
                 rng: random.Random) -> None:
        self.vm = vm
        self.network = network
        self.model = model
        self.rng = rng
        self.faults = LogFaults()
        self.appends: Counter[ev.Stream] = Counter()
        self.sent_bytes: Counter[ev.Stream] = Counter()
        self.read_bytes: Counter[ev.Stream] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    def append(self, effect: fx.AppendLog, post: Post) -> None:
        self._spawn(self._append(effect, post))

    def read(self, effect: fx.ReadLog, post: Post) -> None:
        self._spawn(self._read(effect, post))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _reaches(self) -> bool:
        return (not self.model.down and
                self.network.reaches(self.vm, self.NODE))

    def _occurs(self, probability: float) -> bool:
        return probability > 0.0 and self.rng.random() < probability

    async def _append(self, effect: fx.AppendLog, post: Post) -> None:
        await asyncio.sleep(self.network.latency_s + self.model.slow_s)
        if not self._reaches():
            await asyncio.sleep(self.network.latency_s)
            post(ev.AppendFailed(effect.append_id, may_have_applied=False))
            return
        await self.model.wait_for_append_slot()
        self.appends[effect.stream] += 1
        self.sent_bytes[effect.stream] += sum(map(len, effect.payloads))
        if self._occurs(self.faults.delay):
            post(ev.AppendFailed(effect.append_id, may_have_applied=True))
            await asyncio.sleep(self.rng.uniform(0, self.faults.delay_s))
            self._take_effect(effect)
            return
        first = self._take_effect(effect)
        if self._occurs(self.faults.duplicate):
            self._take_effect(effect)
        await asyncio.sleep(self.network.latency_s + self.model.slow_s)
        if self._occurs(self.faults.lose_answer) or not self._reaches():
            post(ev.AppendFailed(effect.append_id, may_have_applied=True))
            return
        post(ev.AppendEnded(effect.append_id, first))

    def _take_effect(self, effect: fx.AppendLog) -> int:
        return self.model.append(effect.stream.value, effect.shard,
                                 list(effect.payloads))

    async def _read(self, effect: fx.ReadLog, post: Post) -> None:
        name, shard = effect.stream.value, effect.shard
        await asyncio.sleep(self.network.latency_s + self.model.slow_s)
        if self._reaches():
            wait_s = LOG_WAIT_S if effect.wait else 0.0
            await self.model.wait(name, shard, effect.offset, wait_s)
        if not self._reaches():
            await asyncio.sleep(LOG_RETRY_S)
            post(ev.LogReadFailed(effect.stream, effect.shard))
            return
        stream = self.model.stream(name, shard)
        records = tuple(self.model.read(name, shard, effect.offset))
        answer = ev.LogRead(effect.stream, effect.shard, records, stream.first,
                            stream.end, self.model.time())
        await asyncio.sleep(self.network.latency_s + self.model.slow_s)
        self.read_bytes[effect.stream] += sum(
            len(record.payload) for record in records)
        post(answer)
