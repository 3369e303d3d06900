"""World of VMs and plain services for run-once calls."""

import asyncio
import enum
import random
from typing import Final

import attrs

from plantainridge import config
from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.claim_state import ClaimLimits
from plantainridge.ids import DcId, EndpointId, ServiceId
from plantainridge.loop import effects as loop_fx
from plantainridge.loop.events import Event
from plantainridge.loop.ports import Post
from plantainridge.ports import LogPort
from plantainridge.standins.log import LogModel
from plantainridge.standins.memory import Network
from plantainridge.standins.memory_log import MemoryLogPort
from plantainridge.standins.service import Run, ServiceModel
from plantainridge.standins.world import DC, LEDGER, Vm, World

BOOKING: Final = ServiceId('booking')
LIMITS: Final = ClaimLimits(max_key_age_s=60.0,
                            max_clock_skew_s=5.0,
                            outcome_timeout_s=5.0)
RETENTION_S: Final = 75.0
_INSTANCES: Final = {
    LEDGER: ('s-ledger', 's-ledger-1', 's-ledger-2'),
    BOOKING: ('s-booking', 's-booking-1'),
}


class ClaimPolicy(enum.Enum):
    """Where claims are stored."""

    LOG = 'log'
    # Each VM has a log of its own and sees only its own claims.
    LOCAL_ONLY = 'local_only'


class TimedService(ServiceModel):
    """Service that also records when each key first ran.

    Attributes:
        first_run_at: Loop time of each key's first run, in s.
    """

    def __init__(self, checks_keys: bool = False) -> None:
        super().__init__(checks_keys)
        self.first_run_at: dict[str, float] = {}

    def run(self, key: str) -> Run:
        self.first_run_at.setdefault(key, asyncio.get_running_loop().time())
        return super().run(key)


class SplitLog(LogPort):
    """Log port with a separate log for one VM's claims."""

    def __init__(self, shared: MemoryLogPort, vm: str, network: Network,
                 rng: random.Random) -> None:
        self.shared = shared
        self.own = MemoryLogPort(vm, network, LogModel(), rng)

    def append(self, effect: fx.AppendLog, post: Post) -> None:
        self._port_for(effect).append(effect, post)

    def read(self, effect: fx.ReadLog, post: Post) -> None:
        self._port_for(effect).read(effect, post)

    def _port_for(self, effect: fx.AppendLog | fx.ReadLog) -> MemoryLogPort:
        return (self.own if effect.stream is ev.Stream.CLAIMS else self.shared)


def claim_config(base: config.Config) -> config.Config:
    """Return a configuration with more instances and the booking service."""
    endpoints = {
        EndpointId(name):
            config.Endpoint(EndpointId(name), DC, config.EndpointKind.SERVICE,
                            service, '127.0.0.1:8000')
        for service, names in _INSTANCES.items() for name in names
    }
    booking = config.Service(BOOKING, repeatable=False, checks_keys=True)
    return attrs.evolve(base,
                        endpoints={
                            **base.endpoints,
                            **endpoints
                        },
                        services={
                            **base.services, BOOKING: booking
                        })


class ClaimWorld(World):
    """VMs, a ledger and a booking service that checks keys.

    Attributes:
        claim_s: Time from a call's arrival to its dispatch in s, by dispatch.
        timed_services: Model of each service, shared by its instances.
    """

    def __init__(self, vms: int, seed: int, policy: ClaimPolicy) -> None:
        self.policy = policy
        self.claim_s: list[float] = []
        super().__init__(vms=vms, engines=0, seed=seed)
        self.log.retention_s['claims'] = RETENTION_S
        self.timed_services = {
            LEDGER: TimedService(),
            BOOKING: TimedService(checks_keys=True)
        }
        for service, names in _INSTANCES.items():
            for name in names:
                self.services[EndpointId(name)] = self.timed_services[service]
        self.publish(0, claim_config(self.config))

    def start_vm(self, name: str, dc: DcId = DC) -> Vm:
        vm = super().start_vm(name, dc)
        vm.state.claims.limits = LIMITS
        vm.runtime.watchers.append(self._observe)
        if self.policy is ClaimPolicy.LOCAL_ONLY:
            vm.runtime.ports.log = SplitLog(vm.log, name, self.network,
                                            self.rng)
        return vm

    def _observe(self, step: Event | loop_fx.Effect) -> None:
        if isinstance(step, loop_fx.Observe) and step.metric == 'claim_s':
            self.claim_s.append(step.value)
