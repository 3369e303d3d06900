"""VMs, engines and stores in several data centres, for benches."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

import attrs

from plantainridge import config
from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.config import EndpointKind
from plantainridge.ids import (BlockKey, DcId, EndpointId, Incarnation, ModelId,
                               RequestId, StoreId, VmId, WeightVersion)
from plantainridge.loop.events import Event
from plantainridge.loop.ports import Post
from plantainridge.ports import CallerPort, LogPort, Ports
from plantainridge.revisions import Revision, encode_revision
from plantainridge.routing import Policy
from plantainridge.runtime import Runtime
from plantainridge.standins.arrivals import TEAM_SHARES, team_name
from plantainridge.standins.audit import Audit, Owner
from plantainridge.standins.engine import EngineModel
from plantainridge.standins.feeds import EngineFeed, FeedSettings, StoreFeed
from plantainridge.standins.memory import (MemoryEnginePort, MemoryReport,
                                           Network)
from plantainridge.standins.memory_services import MemoryServicePort
from plantainridge.standins.memory_transfers import MemoryTransferPort
from plantainridge.standins.store import StoreModel
from plantainridge.state import VmState

MODEL: Final = ModelId('report')
VERSION: Final = WeightVersion('v1')
# Periodic work is infrequent because a run simulates several days.
TICK_S: Final = 60.0


@attrs.frozen
class FleetSize:
    """Size of a fleet by data centre.

    Attributes:
        dcs: Names of the data centres.
        vms: Number of VMs in each.
        engines: Number of engines in each.
        stores: Number of stores in each.
        cache_blocks: Capacity of one engine's cache, in blocks.
        memory_blocks: Capacity of one store's memory, in blocks.
        disk_blocks: Capacity of one store's disk, in blocks.
        prefill_tokens_per_s: Prefill rate of one engine.
        decode_chunk_tokens: Maximum prompt tokens computed in a step in which
            answers are being generated.
        link_bytes_per_s: Rate of one store's link.
    """

    dcs: tuple[DcId, ...]
    vms: tuple[int, ...]
    engines: tuple[int, ...]
    stores: tuple[int, ...]
    cache_blocks: int
    memory_blocks: int
    disk_blocks: int
    prefill_tokens_per_s: float
    decode_chunk_tokens: int
    link_bytes_per_s: float


@attrs.define
class TimedReply:
    """What one caller received, with the time of each token event.

    Attributes:
        sent_at: Loop time at which the request was sent, in s.
        times: Loop time of each token event, in s.
        final_count: Number of final responses; must be 1 in the end.
    """

    sent_at: float
    tokens: list[str] = attrs.field(factory=list)
    times: list[float] = attrs.field(factory=list)
    ended: bool = False
    refusal: fx.Refuse | None = None
    final_count: int = 0


class FleetCallers(CallerPort):
    """Caller port that keeps a timed reply to each request."""

    def __init__(self, replies: dict[RequestId, TimedReply]) -> None:
        self.replies = replies

    def send_tokens(self, effect: fx.SendTokens) -> None:
        reply = self.replies[effect.request]
        reply.tokens.extend(effect.tokens)
        reply.times.append(asyncio.get_running_loop().time())

    def finish(self, effect: fx.FinishAnswer) -> None:
        reply = self.replies[effect.request]
        reply.ended = True
        reply.final_count += 1

    def answer(self, effect: fx.SendServiceAnswer) -> None:
        raise NotImplementedError('no plain service is called')

    def refuse(self, effect: fx.Refuse) -> None:
        reply = self.replies[effect.request]
        reply.refusal = effect
        reply.final_count += 1


class SingleRevisionLog(LogPort):
    """Log port that serves one configuration and ignores appends."""

    def __init__(self, wanted: config.Config) -> None:
        self.record = ev.Record(0, 0.0, encode_revision(Revision(-1, wanted)))

    def append(self, effect: fx.AppendLog, post: Post) -> None:
        pass

    def read(self, effect: fx.ReadLog, post: Post) -> None:
        if effect.stream is ev.Stream.CONFIG and effect.offset == 0:
            event = ev.LogRead(effect.stream, effect.shard, (self.record,), 0,
                               1)
            asyncio.get_running_loop().call_soon(post, event)


class TeamAudit(Audit):
    """Audit that counts recomputed blocks and records reads across teams.

    Attributes:
        teams: Team for which each block was last computed.
        computed_blocks: Number of blocks computed.
        recomputed_blocks: Number of these that had been computed before.
    """

    def __init__(self) -> None:
        super().__init__()
        self.teams: dict[BlockKey, str] = {}
        self.computed_blocks = 0
        self.recomputed_blocks = 0

    def reset_counts(self) -> None:
        """Reset the counts, but remember the blocks computed so far."""
        self.computed_blocks = 0
        self.recomputed_blocks = 0

    def computed(self, key: BlockKey, owner: Owner) -> None:
        self.computed_blocks += 1
        if key in self.teams:
            self.recomputed_blocks += 1
        self.teams[key] = owner.team

    def read(self, key: BlockKey, reader: Owner) -> None:
        if self.teams.get(key) != reader.team:
            self.unsafe_reads.append(f'{reader.team} read {key}')


class Fleet:
    """All parts of one run; it must be created while the loop is running.

    Attributes:
        replies: What the caller of each request received.
        dc_of: Data centre of each node.
        in_transit: Work sent to each engine that has not arrived there, as
            (loop time of arrival in s, tokens to compute).
    """

    def __init__(self, size: FleetSize, deployment: config.Deployment,
                 first_token_s: float, seed: int,
                 new_policy: Callable[['Fleet'], Policy]) -> None:
        self.rng = random.Random(seed)
        self.network = Network()
        self.audit = TeamAudit()
        self.replies: dict[RequestId, TimedReply] = {}
        self.posts: dict[str, Post] = {}
        self.dc_of: dict[str, DcId] = {}
        self.in_transit: dict[EndpointId, list[tuple[float, int]]] = {}
        self.engines = {
            EndpointId(name):
                EngineModel(EndpointId(name),
                            VERSION,
                            size.cache_blocks,
                            audit=self.audit,
                            prefill_tokens_per_s=size.prefill_tokens_per_s,
                            decode_chunk_tokens=size.decode_chunk_tokens)
            for name in self._assign('e', size.dcs, size.engines)
        }
        self.stores = {
            StoreId(name):
                StoreModel(StoreId(name), size.memory_blocks, size.disk_blocks,
                           size.link_bytes_per_s)
            for name in self._assign('k', size.dcs, size.stores)
        }
        self.config = self._config(size, deployment, first_token_s)
        settings = FeedSettings()
        self.engine_feeds = [
            EngineFeed(engine, self.network, self.posts, self.rng, settings)
            for engine in self.engines.values()
        ]
        self.store_feeds = [
            StoreFeed(store, self.network, self.posts, self.rng, settings)
            for store in self.stores.values()
        ]
        self.vms = [
            self._start_vm(name, new_policy)
            for name in self._assign('vm', size.dcs, size.vms)
        ]

    def _assign(self, prefix: str, dcs: tuple[DcId, ...],
                counts: tuple[int, ...]) -> list[str]:
        names: list[str] = []
        for dc, count in zip(dcs, counts):
            for _ in range(count):
                name = f'{prefix}{len(names)}'
                self.dc_of[name] = dc
                names.append(name)
        return names

    def _config(self, size: FleetSize, deployment: config.Deployment,
                first_token_s: float) -> config.Config:
        teams = [
            config.Team(team_name(number), 'ab' * 32, 1, first_token_s, 100_000,
                        frozenset([MODEL]))
            for number in range(len(TEAM_SHARES))
        ]
        endpoints = [
            config.Endpoint(name, self.dc_of[name], EndpointKind.ENGINE, MODEL,
                            '127.0.0.1:9') for name in self.engines
        ]
        stores = [
            config.Store(name, self.dc_of[name], '127.0.0.1:9',
                         size.link_bytes_per_s) for name in self.stores
        ]
        return config.Config(revision=-1,
                             deployment=deployment,
                             teams={each.id: each for each in teams},
                             models={MODEL: config.Model(MODEL, VERSION)},
                             services={},
                             endpoints={each.id: each for each in endpoints},
                             stores={each.id: each for each in stores},
                             dcs=frozenset(size.dcs))

    def _start_vm(self, name: str, new_policy: Callable[['Fleet'],
                                                        Policy]) -> Runtime:
        state = VmState(VmId(name),
                        self.dc_of[name],
                        Incarnation(name),
                        random.Random(self.rng.getrandbits(64)),
                        policy=new_policy(self),
                        tick_s=TICK_S)
        listings: dict[str, Callable[[], Event]] = {}
        listings.update({f.node: f.listing for f in self.engine_feeds})
        listings.update({f.node: f.listing for f in self.store_feeds})
        ports = Ports(callers=FleetCallers(self.replies),
                      engines=MemoryEnginePort(name, self.network, self.engines,
                                               self.rng),
                      services=MemoryServicePort(name, self.network, {},
                                                 self.rng, self.audit),
                      log=SingleRevisionLog(self.config),
                      report=MemoryReport(),
                      transfers=MemoryTransferPort(name, self.network,
                                                   self.engines, self.stores,
                                                   listings))
        runtime = Runtime(state, ports)
        self.posts[name] = runtime.post
        runtime.start()
        return runtime
