"""The whole state of one VM's reducer."""

import random

import attrs

from plantainridge.config import EMPTY, Config
from plantainridge.calls import CallTable
from plantainridge.endpoints import EndpointView
from plantainridge.exchange import ExchangeState
from plantainridge.fairness import FairnessState
from plantainridge.health import HealthState
from plantainridge.ids import DcId, EndpointId, Incarnation, VmId
from plantainridge.limits import LimitsState
from plantainridge.members import MembersState
from plantainridge.quarantine import QuarantineState
from plantainridge.retries import RetriesState
from plantainridge.routing import LeastLoaded, Policy


@attrs.define
class VmState:
    """Everything that one VM decides from.

    Attributes:
        vm: This VM's name.
        dc: Its data centre.
        incarnation: This life of its process.
        rng: The only source of randomness, seeded.
        policy: How endpoints are chosen.
        config: The accepted configuration in force.
        config_next: Offset of the next configuration record to read.
        endpoints: What is known of each configured endpoint.
        calls: Requests and attempts in flight.
        exchange: What VMs of the data centre tell one another.
        members: Which VMs live.
        limits: Demand of teams and their shares of limits.
        fairness: Teams that ask for more than their fair part.
        health: What was seen of each endpoint.
        retries: Budgets for retries.
        quarantine: Requests that may crash endpoints.
        stopping_since: Loop time of the word to shut down, in s, or None.
        exiting: Whether the process was told to end.
    """

    vm: VmId
    dc: DcId
    incarnation: Incarnation
    rng: random.Random
    policy: Policy = attrs.field(factory=LeastLoaded)
    config: Config = EMPTY
    config_next: int = 0
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    calls: CallTable = attrs.field(factory=CallTable)
    exchange: ExchangeState = attrs.field(factory=ExchangeState)
    members: MembersState = attrs.field(factory=MembersState)
    limits: LimitsState = attrs.field(factory=LimitsState)
    fairness: FairnessState = attrs.field(factory=FairnessState)
    health: HealthState = attrs.field(factory=HealthState)
    retries: RetriesState = attrs.field(factory=RetriesState)
    quarantine: QuarantineState = attrs.field(factory=QuarantineState)
    stopping_since: float | None = None
    exiting: bool = False

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown was asked for."""
        return self.stopping_since is not None

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests here."""
        return self.config.revision >= 0 and not self.stopping
