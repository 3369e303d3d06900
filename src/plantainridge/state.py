"""The whole state of one VM's reducer."""

import random

import attrs

from plantainridge.config import EMPTY, Config
from plantainridge.calls import CallTable
from plantainridge.claim_state import ClaimsState
from plantainridge.endpoints import EndpointView
from plantainridge.exchange import ExchangeState
from plantainridge.ids import DcId, EndpointId, Incarnation, VmId
from plantainridge.members import MembersState
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
        claims: Calls that must run at most once.
        stopping: Whether a graceful shutdown was asked for.
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
    claims: ClaimsState = attrs.field(factory=ClaimsState)
    stopping: bool = False

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests here."""
        return self.config.revision >= 0 and not self.stopping
