"""Stand-ins and entry VMs over loopback sockets, in one process and loop.

Only the stores and block transfers work in memory.
"""

import asyncio
import hashlib
import random
import time
from collections.abc import Mapping
from typing import Final

import attrs

from plantainridge import config as cfg
from plantainridge.entry import Entry, EntrySettings
from plantainridge.events import Member
from plantainridge.ids import (DcId, EndpointId, ModelId, ServiceId, TeamId,
                               VmId, WeightVersion)
from plantainridge.loop.ports import Post
from plantainridge.orders import LoadedModel
from plantainridge.ports import TransferPort
from plantainridge.revisions import Revision, encode_revision
from plantainridge.serve import AppServer
from plantainridge.standins import engine_orders_http
from plantainridge.standins.audit import Audit
from plantainridge.standins.engine import EngineModel
from plantainridge.standins.engine_http import EngineApp
from plantainridge.standins.engine_orders import OrderHandler
from plantainridge.standins.feeds import FeedSettings, StoreFeed
from plantainridge.standins.log import LogApp, LogModel
from plantainridge.standins.members import MembersApp, MembersModel
from plantainridge.standins.memory import Network
from plantainridge.standins.memory_transfers import MemoryTransferPort
from plantainridge.standins.service import ServiceApp, ServiceModel
from plantainridge.standins.store import StoreModel
from plantainridge.standins.weights import WeightStore

HOST: Final = '127.0.0.1'
READY_POLL_INTERVAL_S: Final = 0.01
CACHE_BLOCKS: Final = 256
STORE_MEMORY_BLOCKS: Final = 256
STORE_DISK_BLOCKS: Final = 1_024
MEMBERS_LAG_S: Final = 0.2


def hash_key(key: str) -> str:
    """Return the hash of a team's key as a sheet stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


class Site:
    """The platform, the endpoints and the entry VMs of one deployment.

    Attributes:
        config: The configuration as published, with the real addresses.
        entries: Running VMs by name.
    """

    def __init__(self,
                 config: cfg.Config,
                 seed: int = 1,
                 cache_blocks: int = CACHE_BLOCKS) -> None:
        """Create a site that is not started yet.

        Args:
            config: Configuration to publish; its endpoint addresses are
                replaced by those that the operating system assigns.
            seed: Seed of the VMs' random generators.
            cache_blocks: Capacity of each engine's cache, in blocks.
        """
        self.config = config
        self.rng = random.Random(seed)
        self.log = LogModel()
        self.members = MembersModel(lag_s=MEMBERS_LAG_S)
        self.engines: dict[EndpointId, EngineModel] = {}
        self.weights = WeightStore()
        self.orders: dict[EndpointId, OrderHandler] = {}
        self.services: dict[ServiceId, ServiceModel] = {
            name: ServiceModel() for name in config.services
        }
        self.entries: dict[VmId, Entry] = {}
        self.servers: dict[str, AppServer] = {}
        self.audit = Audit()
        self.cache_blocks = cache_blocks
        self.network = Network()
        self.posts: dict[str, Post] = {}
        self.stores = {
            store.id:
                StoreModel(store.id, STORE_MEMORY_BLOCKS, STORE_DISK_BLOCKS,
                           store.link_bytes_per_s)
            for store in config.stores.values()
        }
        self.store_feeds = {
            name:
                StoreFeed(store, self.network, self.posts, self.rng,
                          FeedSettings()) for name, store in self.stores.items()
        }

    async def start(self, vms: Mapping[VmId, DcId]) -> None:
        """Start all servers and VMs and wait until every VM is ready."""
        self.log.clock_offset_s = time.time() - asyncio.get_running_loop().time(
        )
        await self._serve('log', LogApp(self.log).app)
        await self._serve('members', MembersApp(self.members).app)
        for endpoint in self.config.endpoints.values():
            await self._start_endpoint(endpoint)
        self.config = attrs.evolve(
            self.config,
            endpoints={
                endpoint.id: self._with_address(endpoint)
                for endpoint in self.config.endpoints.values()
            })
        self.log.append('config', 0,
                        [encode_revision(Revision(-1, self.config))])
        for vm, dc in vms.items():
            await self.start_vm(vm, dc)
        for entry in self.entries.values():
            while not entry.runtime.state.ready:
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def start_vm(self, vm: VmId, dc: DcId) -> Entry:
        """Start a VM's process with empty state."""
        entry = Entry(
            EntrySettings(vm=vm,
                          dc=dc,
                          host=HOST,
                          port=0,
                          operator_port=0,
                          log_address=self.servers['log'].address,
                          members_address=self.servers['members'].address,
                          seed=self.rng.getrandbits(64)), self._transfers(vm))
        self.posts[vm] = entry.runtime.post
        await entry.start()
        self.entries[vm] = entry
        self.members.put(Member(vm, dc, entry.peers.address, leaving=False))
        return entry

    async def stop(self) -> None:
        """Stop the VMs, then the stand-ins' servers."""
        await asyncio.gather(*(entry.stop() for entry in self.entries.values()))
        await asyncio.gather(
            *(server.kill() for server in self.servers.values()))

    async def crash_engine(self, endpoint: EndpointId) -> None:
        """Break an engine's connections and close its port."""
        self.engines[endpoint].crash()
        await self.servers[endpoint].kill()

    async def _serve(self, name: str, app: object) -> None:
        server = AppServer(app, HOST, 0)
        await server.start()
        self.servers[name] = server

    async def _start_endpoint(self, endpoint: cfg.Endpoint) -> None:
        if endpoint.kind is cfg.EndpointKind.SERVICE:
            model = self.services[ServiceId(endpoint.serves)]
            await self._serve(endpoint.id, ServiceApp(model).app)
            return
        served_model = self.config.models.get(
            ModelId(endpoint.serves),
            cfg.Model(ModelId(endpoint.serves), WeightVersion('')))
        engine = EngineModel(endpoint.id,
                             served_model.version,
                             cache_blocks=self.cache_blocks,
                             audit=self.audit)
        self.engines[endpoint.id] = engine
        handler = OrderHandler(
            engine, self.weights,
            LoadedModel(served_model.id, served_model.version,
                        served_model.adapter))
        self.orders[endpoint.id] = handler
        await self._serve(
            endpoint.id,
            EngineApp(engine, engine_orders_http.routes(handler)).app)

    def _transfers(self, vm: VmId) -> TransferPort | None:
        if not self.stores:
            return None
        return MemoryTransferPort(vm, self.network, self.engines, self.stores, {
            name: feed.listing for name, feed in self.store_feeds.items()
        })

    def _with_address(self, endpoint: cfg.Endpoint) -> cfg.Endpoint:
        return attrs.evolve(endpoint, address=self.servers[endpoint.id].address)


def with_keys(config: cfg.Config, keys: Mapping[TeamId, str]) -> cfg.Config:
    """Return a configuration with the hashes of the given team keys."""
    teams = dict(config.teams)
    for name, key in keys.items():
        teams[name] = attrs.evolve(teams[name], key_hash=hash_key(key))
    return attrs.evolve(config, teams=teams)
