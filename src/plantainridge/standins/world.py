"""World of VMs and stand-ins connected in memory, run on a paused clock."""

import random
from collections.abc import Callable, Iterator

import attrs

from plantainridge import blocks, claim_keys, config, versions
from plantainridge import events as ev
from plantainridge.ids import (DcId, EndpointId, Incarnation, ModelId,
                               RequestId, ServiceId, StoreId, TeamId, VmId,
                               WeightVersion)
from plantainridge.loop.ports import Post
from plantainridge.orders import LoadedModel
from plantainridge.ports import Ports
from plantainridge.revisions import Revision, encode_revision
from plantainridge.runtime import Runtime
from plantainridge.standins.audit import Audit
from plantainridge.standins.crashing import CrashingEngine
from plantainridge.standins.engine import EngineModel
from plantainridge.standins.engine_orders import MemoryOrderPort, OrderHandler
from plantainridge.standins.feeds import (GAP_PROBABILITY, EngineFeed,
                                          FeedSettings, StoreFeed)
from plantainridge.standins.log import LogModel
from plantainridge.standins.members import MembersModel
from plantainridge.standins.memory import (EngineFaults, MemoryCallers,
                                           MemoryEnginePort, MemoryMembers,
                                           MemoryPeers, MemoryReport, Network,
                                           Reply)
from plantainridge.standins.memory_log import LogFaults, MemoryLogPort
from plantainridge.standins.memory_services import (MemoryServicePort,
                                                    ServiceFaults)
from plantainridge.standins.memory_transfers import MemoryTransferPort
from plantainridge.standins.service import ServiceModel
from plantainridge.standins.store import StoreModel
from plantainridge.standins.weights import WeightStore
from plantainridge.state import VmState

TEAM = TeamId('bureau')
OTHER_TEAM = TeamId('council')
MODEL = ModelId('report')
VERSION = WeightVersion('v1')
LEDGER = ServiceId('ledger')
LOOKUP = ServiceId('lookup')
DC = DcId('neihu')
STORES = (StoreId('k0'), StoreId('k1'))
# Small enough that the contexts of a test exceed the engines' caches.
CACHE_BLOCKS = 8
MEMORY_BLOCKS = 16
DISK_BLOCKS = 64
LINK_BYTES_PER_S = 2e9


def sample_config(engines: int = 2) -> config.Config:
    """Return a configuration with one team, model and two services."""
    endpoints = [
        config.Endpoint(EndpointId(f'e{i}'), DC, config.EndpointKind.ENGINE,
                        MODEL, f'127.0.0.1:{9000 + i}') for i in range(engines)
    ]
    endpoints += [
        config.Endpoint(EndpointId(f's-{name}'), DC,
                        config.EndpointKind.SERVICE, name, '127.0.0.1:8000')
        for name in (LEDGER, LOOKUP)
    ]
    teams = [
        config.Team(name, digest * 32, 1, 1.5, 64, frozenset([MODEL]))
        for name, digest in ((TEAM, 'ab'), (OTHER_TEAM, 'cd'))
    ]
    stores = [
        config.Store(each, DC, '127.0.0.1:7000', LINK_BYTES_PER_S)
        for each in STORES
    ]
    services = (config.Service(LEDGER, repeatable=False),
                config.Service(LOOKUP, repeatable=True))
    return config.Config(revision=-1,
                         deployment=config.Deployment('luminar', 1.0),
                         teams={each.id: each for each in teams},
                         models={MODEL: config.Model(MODEL, VERSION)},
                         services={each.id: each for each in services},
                         endpoints={each.id: each for each in endpoints},
                         stores={each.id: each for each in stores},
                         dcs=frozenset([DC]))


@attrs.define(eq=False)
class Vm:
    """One VM of the world, with the ports that its process uses.

    Attributes:
        exited: Whether the process has exited by itself.
    """

    name: VmId
    runtime: Runtime
    callers: MemoryCallers
    engines: MemoryEnginePort
    services: MemoryServicePort
    log: MemoryLogPort
    report: MemoryReport
    exited: bool = False

    @property
    def state(self) -> VmState:
        """The reducer's state."""
        return self.runtime.state


@attrs.define(eq=False)
class SentRequest:
    """One request that a caller sent, with the reply that it received.

    Attributes:
        vm: The VM that received it.
        at: Loop time at which it was sent, in s.
        disconnected: Whether the caller closed its connection before the end.
    """

    event: ev.ModelCalled | ev.ServiceCalled
    vm: Vm
    reply: Reply
    at: float
    disconnected: bool = False

    @property
    def interrupted(self) -> bool:
        """Whether the VM was killed before it sent a final response."""
        return self.vm.runtime.halted and self.reply.final_count == 0


class World:
    """VMs, engines, services and the log in one event loop.

    It must be created while the loop is running.
    """

    def __init__(self,
                 vms: int = 1,
                 engines: int = 2,
                 seed: int = 1,
                 dcs: tuple[DcId, ...] = (DC,),
                 initial_config: config.Config | None = None) -> None:
        self.rng = random.Random(seed)
        self.network = Network()
        self.log = LogModel()
        self.audit = Audit()
        self.config = initial_config or sample_config(engines)
        self.log.append('config', 0,
                        [encode_revision(Revision(-1, self.config))])
        self.engines: dict[EndpointId, EngineModel] = {
            EndpointId(f'e{i}'):
                CrashingEngine(EndpointId(f'e{i}'), VERSION, audit=self.audit)
            for i in range(engines)
        }
        self.weights = WeightStore()
        self.orders = {
            name:
                OrderHandler(engine, self.weights,
                             LoadedModel(MODEL, VERSION, ''))
            for name, engine in self.engines.items()
        }
        for engine in self.engines.values():
            engine.cache_blocks = CACHE_BLOCKS
        self.stores = {
            each: StoreModel(each, MEMORY_BLOCKS, DISK_BLOCKS, LINK_BYTES_PER_S)
            for each in STORES
        }
        self.ledger = ServiceModel()
        self.services = {
            EndpointId('s-ledger'): self.ledger,
            EndpointId('s-lookup'): ServiceModel()
        }
        self.posts: dict[str, Post] = {}
        self.feed_settings = FeedSettings()
        self.feeds: list[EngineFeed | StoreFeed] = [
            EngineFeed(engine, self.network, self.posts, self.rng,
                       self.feed_settings) for engine in self.engines.values()
        ]
        self.feeds += [
            StoreFeed(store, self.network, self.posts, self.rng,
                      self.feed_settings) for store in self.stores.values()
        ]
        self.members = MembersModel()
        self.sent_requests: list[SentRequest] = []
        self.former_vms: list[Vm] = []
        # Called when a process exits by itself.
        self.exit_watchers: list[Callable[[Vm], None]] = []
        self.vms = [
            self.start_vm(f'vm{i}', dcs[i % len(dcs)]) for i in range(vms)
        ]

    def start_vm(self, name: str, dc: DcId = DC) -> Vm:
        """Start a VM's process with empty state."""
        callers, report = MemoryCallers(), MemoryReport()
        state = VmState(VmId(name), dc,
                        Incarnation(f'{name}-{self.rng.getrandbits(64):x}'),
                        random.Random(self.rng.getrandbits(64)))
        engines = MemoryEnginePort(name, self.network, self.engines, self.rng)
        services = MemoryServicePort(name, self.network, self.services,
                                     self.rng, self.audit)
        log = MemoryLogPort(name, self.network, self.log, self.rng)
        ports = Ports(callers=callers,
                      engines=engines,
                      services=services,
                      log=log,
                      report=report,
                      orders=MemoryOrderPort(name, self.network, self.orders,
                                             self.rng),
                      transfers=MemoryTransferPort(
                          name, self.network, self.engines, self.stores,
                          {feed.node: feed.listing for feed in self.feeds}),
                      peers=MemoryPeers(name, self.network, self.posts))
        runtime = Runtime(state, ports)
        vm = Vm(VmId(name), runtime, callers, engines, services, log, report)
        ports.on_exit = lambda: self._exited(vm)
        self.posts[name] = runtime.post
        state.gossip.address = name
        self.members.put(ev.Member(VmId(name), dc, name, leaving=False))
        runtime.start()
        MemoryMembers(name, self.network, self.members, runtime).start()
        return vm

    def _exited(self, vm: Vm) -> None:
        vm.exited = True
        for watcher in self.exit_watchers:
            watcher(vm)
        vm.runtime.halt()

    def kill_vm(self, vm: Vm) -> None:
        """Kill a VM's process without shutdown and break its connections."""
        vm.runtime.halt()
        vm.engines.halt()

    def replace_vm(self, vm: Vm) -> Vm:
        """Replace a VM by one of the same name with empty state."""
        self.kill_vm(vm)
        self.former_vms.append(vm)
        replacement = self.start_vm(vm.name, vm.state.dc)
        self.vms[self.vms.index(vm)] = replacement
        return replacement

    def stop_callback(self, vm: Vm) -> Callable[[], None]:
        """Return a function that requests a VM's graceful shutdown."""
        return lambda: vm.runtime.post(ev.StopRequested())

    def end_faults(self) -> None:
        """End every active fault; data that a fault destroyed stays lost."""
        self.network.cut.clear()
        self.log.down = False
        self.log.slow_s = 0.0
        self.members.down = False
        self.members.leaving_endpoints.clear()
        self.members.changed()
        for engine in self.engines.values():
            engine.alive = True
            engine.slowdown = 1.0
        for store in self.stores.values():
            store.refuses_writes = False
            store.link.slowdown = 1.0
            if not store.alive:
                store.restart()
        self.feed_settings.gap_probability = GAP_PROBABILITY
        for vm in self.vms:
            vm.runtime.resume()
            vm.log.faults = LogFaults()
            vm.services.faults = ServiceFaults()
            vm.engines.faults = EngineFaults()

    def all_vms(self) -> Iterator[Vm]:
        """Yield all VMs of the run, replaced ones first."""
        yield from self.former_vms
        yield from self.vms

    def publish(self, base: int, wanted: config.Config) -> int:
        """Append a revision as an operator does and return its offset."""
        return self.log.append('config', 0,
                               [encode_revision(Revision(base, wanted))])

    def call_model(self,
                   vm: Vm,
                   text: str,
                   max_tokens: int = 10,
                   team: TeamId = TEAM) -> Reply:
        """Send a model request to a VM."""
        model = vm.state.config.models.get(MODEL, config.Model(MODEL, VERSION))
        data = text.encode()
        model = versions.bind(vm.state, model, team, data,
                              vm.runtime.loop.time())
        seed = blocks.salt(team, model.id, model.version, model.adapter)
        prompt = ev.Prompt(text, blocks.count_tokens(data),
                           tuple(blocks.chain(seed, data)))
        return self._post(
            vm,
            ev.ModelCalled(self._next_request(), team, model.id, model.version,
                           model.adapter, prompt, max_tokens))

    def call_service(self,
                     vm: Vm,
                     service: ServiceId,
                     key: str = '',
                     body: bytes = b'{}',
                     team: TeamId = TEAM,
                     resend: bool = False) -> Reply:
        """Send a call to a plain service through a VM."""
        return self._post(
            vm,
            ev.ServiceCalled(self._next_request(),
                             team,
                             service,
                             'POST',
                             '/',
                             body,
                             key,
                             resend=resend))

    def new_key(self) -> str:
        """Return an idempotency key with the log's current time."""
        return claim_keys.new_key(self.log.time(), self.rng.getrandbits(64))

    def disconnect_caller(self, sent: SentRequest) -> None:
        """Close a caller's connection unless its answer is complete."""
        if sent.reply.final_count == 0 and not sent.disconnected:
            sent.disconnected = True
            sent.vm.runtime.post(ev.CallerDisconnected(sent.event.request))

    def _next_request(self) -> RequestId:
        return RequestId(f'r{len(self.sent_requests) + 1}')

    def _post(self, vm: Vm, event: ev.ModelCalled | ev.ServiceCalled) -> Reply:
        reply = vm.callers.expect(event.request)
        self.sent_requests.append(
            SentRequest(event, vm, reply, vm.runtime.loop.time()))
        vm.runtime.post(event)
        return reply
