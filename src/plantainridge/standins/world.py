"""VMs and stand-ins joined in memory, for a paused clock."""

import random

import attrs

from plantainridge import blocks, config
from plantainridge import events as ev
from plantainridge.ids import (DcId, EndpointId, Incarnation, ModelId,
                               RequestId, ServiceId, TeamId, VmId,
                               WeightVersion)
from plantainridge.ports import Ports, Post
from plantainridge.revisions import Revision, encode
from plantainridge.runtime import Runtime
from plantainridge.standins.engine import EngineModel
from plantainridge.standins.log import LogModel
from plantainridge.standins.memory import (MemoryCallers, MemoryEnginePort,
                                           MemoryLogPort, MemoryPeers,
                                           MemoryReport, MemoryServicePort,
                                           Network, Told)
from plantainridge.standins.service import ServiceModel
from plantainridge.state import VmState

TEAM = TeamId('bureau')
MODEL = ModelId('report')
VERSION = WeightVersion('v1')
LEDGER = ServiceId('ledger')
LOOKUP = ServiceId('lookup')
DC = DcId('neihu')


def sample_config(engines: int = 2) -> config.Config:
    """Returns a configuration with one team, model and two services."""
    endpoints = [
        config.Endpoint(EndpointId(f'e{i}'), DC, config.EndpointKind.ENGINE,
                        MODEL, f'127.0.0.1:{9000 + i}') for i in range(engines)
    ]
    endpoints += [
        config.Endpoint(EndpointId(f's-{name}'), DC,
                        config.EndpointKind.SERVICE, name, '127.0.0.1:8000')
        for name in (LEDGER, LOOKUP)
    ]
    team = config.Team(TEAM, 'ab' * 32, 1, 1.5, 64, frozenset([MODEL]))
    services = (config.Service(LEDGER, repeatable=False),
                config.Service(LOOKUP, repeatable=True))
    return config.Config(revision=-1,
                         deployment=config.Deployment('luminar', 1.0),
                         teams={TEAM: team},
                         models={MODEL: config.Model(MODEL, VERSION)},
                         services={each.id: each for each in services},
                         endpoints={each.id: each for each in endpoints},
                         stores={},
                         dcs=frozenset([DC]))


@attrs.define
class Vm:
    """One VM of the world."""

    runtime: Runtime
    callers: MemoryCallers
    report: MemoryReport


class World:
    """VMs, engines, services and the log in one loop.

    Build it inside the running loop.
    """

    def __init__(self,
                 vms: int = 1,
                 engines: int = 2,
                 seed: int = 1,
                 declared: config.Config | None = None) -> None:
        self.rng = random.Random(seed)
        self.network = Network()
        self.log = LogModel()
        self.config = declared or sample_config(engines)
        self.log.append('config', 0, [encode(Revision(-1, self.config))])
        self.engines = {
            EndpointId(f'e{i}'): EngineModel(EndpointId(f'e{i}'), VERSION)
            for i in range(engines)
        }
        self.ledger = ServiceModel()
        self.services = {
            EndpointId('s-ledger'): self.ledger,
            EndpointId('s-lookup'): ServiceModel()
        }
        self.posts: dict[str, Post] = {}
        self.vms = [self.start_vm(f'vm{i}') for i in range(vms)]
        self.asked = 0

    def start_vm(self, name: str) -> Vm:
        """Starts a VM's process with nothing kept."""
        callers, report = MemoryCallers(), MemoryReport()
        state = VmState(VmId(name), DC,
                        Incarnation(f'{name}-{self.rng.getrandbits(64):x}'),
                        random.Random(self.rng.getrandbits(64)))
        ports = Ports(callers=callers,
                      engines=MemoryEnginePort(name, self.network,
                                               self.engines),
                      services=MemoryServicePort(name, self.network,
                                                 self.services, self.rng),
                      log=MemoryLogPort(name, self.network, self.log, self.rng),
                      report=report,
                      peers=MemoryPeers(name, self.network, self.posts))
        runtime = Runtime(state, ports)
        self.posts[name] = runtime.post
        runtime.start()
        return Vm(runtime, callers, report)

    def ask_model(self,
                  vm: Vm,
                  text: str,
                  max_tokens: int = 10,
                  team: TeamId = TEAM) -> Told:
        """Sends a model request to a VM."""
        self.asked += 1
        request = RequestId(f'r{self.asked}')
        told = vm.callers.expect(request)
        seed = blocks.salt(team, MODEL, VERSION, '')
        prompt = ev.Prompt(text, blocks.count_tokens(text.encode()),
                           tuple(blocks.chain(seed, text.encode())))
        vm.runtime.post(
            ev.ModelCalled(request, team, MODEL, VERSION, '', prompt,
                           max_tokens))
        return told

    def call_service(self,
                     vm: Vm,
                     service: ServiceId,
                     key: str = '',
                     body: bytes = b'{}') -> Told:
        """Sends a plain service's call to a VM."""
        self.asked += 1
        request = RequestId(f'r{self.asked}')
        told = vm.callers.expect(request)
        vm.runtime.post(
            ev.ServiceCalled(request, TEAM, service, 'POST', '/', body, key))
        return told
