"""Model of an LLM engine: batching, prefix cache, priorities, cancellation.

Time is the running loop's. Tokens are a pure function of the prompt, the weight
version and the index, so that every answer can be verified.
"""

import abc
import asyncio
import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from plantainridge.blocks import BLOCK_BYTES, BLOCK_TOKENS
from plantainridge.ids import BlockKey, EndpointId, RequestId, WeightVersion
from plantainridge.standins.audit import Audit, Owner

STEP_S: Final = 0.02
PREFILL_TOKENS_PER_S: Final = 20_000.0
PREFILL_CHUNK_TOKENS: Final = 2_000


def token_at(prompt: str, version: str, index: int) -> str:
    """Return the token at an index of the answer to a prompt."""
    seed = hashlib.blake2b(prompt.encode(),
                           key=version.encode()[:64],
                           digest_size=8).hexdigest()
    return f'{seed[:4]}{index} '


class CacheWatcher(abc.ABC):
    """Observer of an engine's cache and work."""

    @abc.abstractmethod
    def added(self, key: BlockKey) -> None:
        """Handle a block that was added to the cache."""

    @abc.abstractmethod
    def removed(self, key: BlockKey) -> None:
        """Handle a block that was evicted from the cache."""

    @abc.abstractmethod
    def work_arrived(self) -> None:
        """Handle the submission of a job."""

    @abc.abstractmethod
    def restarted(self) -> None:
        """Handle the loss of the cache and the start of a new incarnation."""


class Sink(abc.ABC):
    """Receiver of the output of one job."""

    @abc.abstractmethod
    def tokens(self, first: int, tokens: tuple[str, ...],
               cached_tokens: int) -> None:
        """Handle the next tokens; `first` is the index of the first one."""

    @abc.abstractmethod
    def end(self, total: int) -> None:
        """Handle the end of the answer, of `total` tokens."""

    @abc.abstractmethod
    def failed(self) -> None:
        """Handle the crash of the engine."""


@attrs.define(eq=False)
class Job:
    """One request inside the engine.

    Attributes:
        remaining_prefill: Prompt tokens still to compute.
        next_index: Index of the next token of the answer.
    """

    request: RequestId
    prompt: str = attrs.field(repr=False)
    prompt_tokens: int
    blocks: tuple[BlockKey, ...]
    max_tokens: int
    priority: int
    next_index: int
    sink: Sink
    version: WeightVersion
    remaining_prefill: float = 0.0
    cached_tokens: int = 0
    prefilled: bool = False
    team: str = ''
    model: str = ''
    adapter: str = ''

    def owner(self, block: int) -> Owner:
        """Return the owner of the prompt's block at an index."""
        end = (block + 1) * BLOCK_BYTES
        return Owner(self.team, self.model, self.version, self.adapter,
                     self.prompt[:end])


class EngineModel:
    """One engine on the running loop.

    Attributes:
        cache: Keys of cached blocks, least recently used first.
        computed_tokens: Prompt tokens computed so far.
        prefill_tokens_per_s: Rate of prompt computation.
        decode_chunk_tokens: Maximum prompt tokens computed in a step in which
            answers are being generated.
        watchers: Observers of the cache and of submitted jobs.
        slowdown: Factor by which each step is currently slower.
    """

    def __init__(self,
                 name: EndpointId,
                 version: WeightVersion,
                 cache_blocks: int = 256,
                 max_batch: int = 32,
                 audit: Audit | None = None,
                 prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S,
                 decode_chunk_tokens: int = PREFILL_CHUNK_TOKENS) -> None:
        self.audit = audit
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.decode_chunk_tokens = decode_chunk_tokens
        self.watchers: list[CacheWatcher] = []
        self.name = name
        self.version = version
        self.cache_blocks = cache_blocks
        self.max_batch = max_batch
        self.cache: OrderedDict[BlockKey, None] = OrderedDict()
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.computed_tokens = 0.0
        self.slowdown = 1.0
        self.alive = True
        self._handle: asyncio.TimerHandle | None = None

    def submit(self, job: Job) -> None:
        """Queue a job, ordered by priority and then by arrival."""
        self.waiting.append(job)
        self.waiting.sort(key=lambda each: each.priority)
        for watcher in self.watchers:
            watcher.work_arrived()
        self._wake()

    def cancel(self, job: Job) -> None:
        """Remove a job, waiting or running."""
        if job in self.waiting:
            self.waiting.remove(job)
        if job in self.running:
            self.running.remove(job)

    def crash(self) -> None:
        """Crash: fail every job and lose the cache."""
        self.alive = False
        jobs = self.running + self.waiting
        self.running, self.waiting = [], []
        self.cache.clear()
        for watcher in self.watchers:
            watcher.restarted()
        for job in jobs:
            job.sink.failed()

    def on_prefilled(self, job: Job) -> None:
        """Hook called once a job's prompt is computed; it may call `crash`."""

    def waiting_tokens(self) -> int:
        """Return the number of prompt tokens that are not yet computed."""
        queued = sum(job.prompt_tokens -
                     BLOCK_TOKENS * self.cached_prefix_blocks(job.blocks)
                     for job in self.waiting)
        return queued + int(sum(job.remaining_prefill for job in self.running))

    def cached_prefix_blocks(self, blocks: tuple[BlockKey, ...]) -> int:
        """Return how many leading blocks are cached, without marking a use."""
        count = 0
        while count < len(blocks) and blocks[count] in self.cache:
            count += 1
        return count

    def put(self, blocks: Iterable[BlockKey]) -> None:
        """Cache the blocks of one chain so that its end is evicted first."""
        for key in reversed(list(blocks)):
            if key not in self.cache:
                for watcher in self.watchers:
                    watcher.added(key)
            self.cache[key] = None
            self.cache.move_to_end(key)
        while len(self.cache) > self.cache_blocks:
            evicted, _ = self.cache.popitem(last=False)
            for watcher in self.watchers:
                watcher.removed(evicted)

    def _wake(self) -> None:
        if self._handle is None and self.alive:
            self._step()

    def _step(self) -> None:
        self._handle = None
        if not self.alive:
            return
        self._admit()
        if not self.running:
            return
        prefilled = self._prefill()
        duration = STEP_S + prefilled / self.prefill_tokens_per_s
        self._handle = asyncio.get_running_loop().call_later(
            duration * self.slowdown, self._finish_step)

    def _finish_step(self) -> None:
        self._handle = None
        if not self.alive:
            return
        for job in list(self._decoding()):
            if not job.prefilled:
                job.prefilled = True
                self.on_prefilled(job)
            if not self.alive:
                return
            self._emit(job)
        self._step()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.max_batch:
            job = self.waiting.pop(0)
            hits = self._lookup(job)
            job.cached_tokens = min(hits * BLOCK_TOKENS, job.prompt_tokens)
            job.remaining_prefill = float(job.prompt_tokens - job.cached_tokens)
            self.running.append(job)

    def _lookup(self, job: Job) -> int:
        hits = self.cached_prefix_blocks(job.blocks)
        if self.audit is not None:
            for index, key in enumerate(job.blocks[:hits]):
                self.audit.read(key, job.owner(index))
        self.put(job.blocks[:hits])
        return hits

    def _prefill(self) -> float:
        decoding = any(True for _ in self._decoding())
        chunk = float(
            self.decode_chunk_tokens if decoding else PREFILL_CHUNK_TOKENS)
        budget = chunk
        for job in self.running:
            if job.remaining_prefill <= 0 or budget <= 0:
                continue
            if self.audit is not None:
                self.audit.started.add(job.request)
            done = min(budget, job.remaining_prefill)
            job.remaining_prefill -= done
            budget -= done
            if job.remaining_prefill <= 0:
                self._cache_prompt(job)
        spent = chunk - budget
        self.computed_tokens += spent
        return spent

    def _cache_prompt(self, job: Job) -> None:
        if self.audit is not None:
            for index, key in enumerate(job.blocks):
                if index * BLOCK_TOKENS >= job.cached_tokens:
                    self.audit.computed(key, job.owner(index))
        self.put(job.blocks)

    def _decoding(self) -> Iterator[Job]:
        for job in self.running:
            if job.remaining_prefill <= 0:
                yield job

    def _emit(self, job: Job) -> None:
        if job.next_index < job.max_tokens:
            if self.audit is not None:
                self.audit.started.add(job.request)
            token = token_at(job.prompt, job.version, job.next_index)
            first = job.next_index
            job.next_index += 1
            job.sink.tokens(first, (token,), job.cached_tokens)
        if job.next_index >= job.max_tokens and job in self.running:
            self.running.remove(job)
            job.sink.end(job.max_tokens)
