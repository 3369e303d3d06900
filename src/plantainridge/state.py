"""The whole state of one VM's reducer."""

import random

import attrs

from plantainridge import revisions
from plantainridge.calls import CallTable
from plantainridge.catchup import CatchUpState
from plantainridge.checkpoints import CheckpointState
from plantainridge.claim_state import ClaimsState
from plantainridge.config import EMPTY, Config
from plantainridge.directory import Directory
from plantainridge.endpoints import EngineIndex, EndpointView
from plantainridge.fairness import FairnessState
from plantainridge.gossip import GossipState
from plantainridge.health import HealthState
from plantainridge.ids import DcId, EndpointId, Incarnation, VmId
from plantainridge.leases import LeasesState
from plantainridge.limits import LimitsState
from plantainridge.links import LinkTable
from plantainridge.members import MembersState
from plantainridge.quarantine import QuarantineState
from plantainridge.readiness import Readiness
from plantainridge.retries import RetriesState
from plantainridge.returning import Returning
from plantainridge.returns import ReturnTable
from plantainridge.revisions import RevisionsState
from plantainridge.rollout import RolloutState
from plantainridge.routing import Policy
from plantainridge.transfers import TransferTable


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
        revisions: How far this VM has followed the configuration.
        catchup: What it asks of peers and sends them of it.
        checkpoints: Its part in appending checkpoints of it.
        leases: Leases that it follows or holds.
        rollout: What it knows as the giver of orders to engines.
        endpoints: What is known of each configured endpoint.
        index: Engines by model, made from `endpoints`.
        directory: Who holds which blocks.
        links: What is known of each store's link.
        transfers: Movements of blocks that this VM asked for.
        returns: Learnt gaps after which contexts return.
        calls: Requests and attempts in flight.
        gossip: What VMs of the data centre send each other.
        members: Which VMs live.
        tick_s: Period of the work that is done from time to time, in s.
        claims: Calls that must run at most once.
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
    policy: Policy = attrs.field(factory=Returning)
    config: Config = EMPTY
    revisions: RevisionsState = attrs.field(factory=RevisionsState)
    catchup: CatchUpState = attrs.field(factory=CatchUpState)
    checkpoints: CheckpointState = attrs.field(factory=CheckpointState)
    leases: LeasesState = attrs.field(factory=LeasesState)
    rollout: RolloutState = attrs.field(factory=RolloutState)
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    index: EngineIndex = attrs.field(factory=EngineIndex)
    directory: Directory = attrs.field(factory=Directory)
    links: LinkTable = attrs.field(factory=LinkTable)
    transfers: TransferTable = attrs.field(factory=TransferTable)
    returns: ReturnTable = attrs.field(factory=ReturnTable)
    calls: CallTable = attrs.field(factory=CallTable)
    gossip: GossipState = attrs.field(factory=GossipState)
    members: MembersState = attrs.field(factory=MembersState)
    tick_s: float = 0.25
    claims: ClaimsState = attrs.field(factory=ClaimsState)
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

    @property
    def readiness(self) -> Readiness:
        """Whether requests may be sent here, and why not."""
        return revisions.readiness(self)

    @property
    def config_next(self) -> int:
        """Offset of the next configuration record to take in."""
        return self.revisions.replica.next
