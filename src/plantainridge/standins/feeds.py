"""Delayed feeds of changes and load from engines and stores, with gaps."""

import abc
import asyncio
import random
from typing import Final

import attrs

from plantainridge import events as ev
from plantainridge.events import BlockRef, StoredCopy, Tier
from plantainridge.ids import BlockKey
from plantainridge.loop.events import Event
from plantainridge.loop.ports import Post
from plantainridge.standins.engine import CacheWatcher, EngineModel
from plantainridge.standins.memory import Network
from plantainridge.standins.store import StoreModel, StoreWatcher

PUBLISH_INTERVAL_S: Final = 0.5
LAG_S: Final = 0.3
GAP_PROBABILITY: Final = 0.01


@attrs.define
class FeedSettings:
    """Delay and loss of feeds.

    Attributes:
        publish_interval_s: Time between two events while something changes.
        lag_s: Delay of each event.
        gap_probability: Probability that a VM misses an event of changes.
    """

    publish_interval_s: float = PUBLISH_INTERVAL_S
    lag_s: float = LAG_S
    gap_probability: float = GAP_PROBABILITY


class Feed(abc.ABC):
    """Feed that sends events to every VM while something changes.

    Attributes:
        node: Name of the engine or store in the network.
        incarnation: Number of restarts of the engine or store.
        seq: Sequence number of the next event of changes.
    """

    def __init__(self, node: str, network: Network, posts: dict[str, Post],
                 rng: random.Random, settings: FeedSettings) -> None:
        self.node = node
        self.network = network
        self.posts = posts
        self.rng = rng
        self.settings = settings
        self.incarnation = 0
        self.seq = 0
        self._handle: asyncio.TimerHandle | None = None

    @abc.abstractmethod
    def changes(self) -> Event | None:
        """Return the next event of changes, or None if nothing has changed."""

    @abc.abstractmethod
    def load(self) -> Event:
        """Return the current load."""

    @abc.abstractmethod
    def busy(self) -> bool:
        """Whether the load will change further."""

    def schedule_publish(self) -> None:
        """Publish within one interval."""
        if self._handle is None:
            self._handle = asyncio.get_running_loop().call_later(
                self.settings.publish_interval_s, self._publish)

    def _publish(self) -> None:
        self._handle = None
        changes, load = self.changes(), self.load()
        for vm in list(self.posts):
            if not self.network.reaches(vm, self.node):
                continue
            missed = self.rng.random() < self.settings.gap_probability
            if changes is not None and not missed:
                self._deliver(vm, changes)
            self._deliver(vm, load)
        if self.busy():
            self.schedule_publish()

    def _deliver(self, vm: str, event: Event) -> None:

        def arrive() -> None:
            post = self.posts.get(vm)
            if post is not None:
                post(event)

        asyncio.get_running_loop().call_later(self.settings.lag_s, arrive)


class EngineFeed(Feed, CacheWatcher):
    """Feed of one engine."""

    def __init__(self, engine: EngineModel, network: Network, posts: dict[str,
                                                                          Post],
                 rng: random.Random, settings: FeedSettings) -> None:
        super().__init__(engine.name, network, posts, rng, settings)
        self.engine = engine
        self.pending: dict[BlockKey, bool] = {}
        self._was_busy = False
        engine.watchers.append(self)

    def added(self, key: BlockKey) -> None:
        self.pending[key] = True
        self.schedule_publish()

    def removed(self, key: BlockKey) -> None:
        self.pending[key] = False
        self.schedule_publish()

    def work_arrived(self) -> None:
        self.schedule_publish()

    def restarted(self) -> None:
        self.incarnation += 1
        self.seq = 0
        self.pending.clear()

    def changes(self) -> Event | None:
        if not self.pending:
            return None
        piece = ev.CacheChanged(
            self.engine.name, self.seq,
            tuple(key for key, held in self.pending.items() if held),
            tuple(key for key, held in self.pending.items() if not held),
            self.incarnation)
        self.seq += 1
        self.pending.clear()
        return piece

    def load(self) -> Event:
        self._was_busy = bool(self.engine.running or self.engine.waiting)
        return ev.LoadReported(
            self.engine.name,
            asyncio.get_running_loop().time(), len(self.engine.running),
            self.engine.waiting_tokens(),
            self.engine.prefill_tokens_per_s / self.engine.slowdown,
            self.engine.version)

    def busy(self) -> bool:
        return self._was_busy and self.engine.alive

    def listing(self) -> Event:
        """Return a snapshot of the cache as of the last event of changes."""
        blocks = [key for key in self.engine.cache if key not in self.pending]
        blocks += [key for key, held in self.pending.items() if not held]
        return ev.CacheListed(self.engine.name, self.seq - 1, tuple(blocks),
                              self.incarnation)


class StoreFeed(Feed, StoreWatcher):
    """Feed of one store."""

    def __init__(self, store: StoreModel, network: Network, posts: dict[str,
                                                                        Post],
                 rng: random.Random, settings: FeedSettings) -> None:
        super().__init__(store.name, network, posts, rng, settings)
        self.store = store
        self.pending: dict[BlockKey, tuple[BlockRef, Tier | None]] = {}
        store.watchers.append(self)

    def placed(self, ref: BlockRef, tier: Tier) -> None:
        self.pending[ref.key] = (ref, tier)
        self.schedule_publish()

    def freed(self, ref: BlockRef) -> None:
        self.pending[ref.key] = (ref, None)
        self.schedule_publish()

    def restarted(self) -> None:
        self.incarnation += 1
        self.seq = 0
        self.pending.clear()
        self.schedule_publish()

    def changes(self) -> Event | None:
        if not self.pending and self.seq:
            return None
        pending = self.pending.values()
        piece = ev.StoreChanged(
            self.store.name, self.seq,
            tuple(
                StoredCopy(ref, tier)
                for ref, tier in pending
                if tier is not None),
            tuple(ref for ref, tier in pending if tier is None),
            self.incarnation)
        self.seq += 1
        self.pending.clear()
        return piece

    def load(self) -> Event:
        link = self.store.link
        return ev.StoreLoadReported(self.store.name,
                                    asyncio.get_running_loop().time(),
                                    self.store.transfers,
                                    self.store.queued_bytes,
                                    link.bytes_per_s / link.slowdown)

    def busy(self) -> bool:
        return self.store.alive and self.store.transfers > 0

    def listing(self) -> Event:
        """Return a snapshot of all current copies."""
        return ev.StoreListed(self.store.name, self.seq - 1,
                              tuple(self.store.copies()), self.incarnation)
