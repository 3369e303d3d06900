"""State of one VM's reducer."""

import random

import attrs

from plantainridge import revisions
from plantainridge.calls import CallTable
from plantainridge.catchup import CatchUpState
from plantainridge.checkpoints import CheckpointState
from plantainridge.claim_state import ClaimsState
from plantainridge.config import EMPTY, Config
from plantainridge.directory import Directory
from plantainridge.endpoints import EndpointView, EngineIndex
from plantainridge.fairness import FairnessState
from plantainridge.gossip import GossipState
from plantainridge.health import HealthState
from plantainridge.ids import DcId, EndpointId, Incarnation, VmId
from plantainridge.leases import LeasesState
from plantainridge.limits import LimitsState
from plantainridge.links import LinkTable
from plantainridge.lowest_cost import LowestCost
from plantainridge.members import MembersState
from plantainridge.quarantine import QuarantineState
from plantainridge.readiness import Readiness
from plantainridge.retries import RetriesState
from plantainridge.return_gaps import ReturnGapTable
from plantainridge.revisions import RevisionsState
from plantainridge.rollout import RolloutState
from plantainridge.routing import Policy
from plantainridge.transfers import TransferTable


@attrs.define
class VmState:
    """All state that one VM's decisions depend on.

    Attributes:
        vm: This VM's name.
        dc: Its data centre.
        incarnation: Identifier of this run of its process.
        rng: The only source of randomness, seeded.
        policy: Routing policy: how endpoints are chosen.
        config: Accepted configuration in force.
        revisions: Replica of the configuration log, and its progress.
        catchup: Exchange of configuration records and snapshots with peers.
        checkpoints: Appends of configuration checkpoints to the log.
        leases: Leases that this VM follows or holds.
        rollout: Weight loads of engines that this VM orders while it holds the
            lease for them.
        endpoints: View of each configured endpoint.
        index: Engines by model, made from `endpoints`.
        directory: Endpoints and stores that hold each block.
        links: Load of each store's network link.
        transfers: Transfers of blocks that this VM started.
        return_gaps: Learnt intervals after which contexts return.
        calls: Requests and attempts in flight.
        gossip: Values exchanged with other VMs of the data centre.
        members: Membership list, from which live VMs are derived.
        tick_s: Period of the periodic work, in s.
        claims: Claims of run-once calls.
        limits: Demand of teams and their shares of limits.
        fairness: Teams that demand more than their fair share.
        health: Observed health of each endpoint.
        retries: Retry budgets.
        quarantine: Requests that may crash endpoints.
        stopping_since: Loop time of the stop request in s, or None.
        exiting: Whether the `Exit` effect was issued.
    """

    vm: VmId
    dc: DcId
    incarnation: Incarnation
    rng: random.Random
    policy: Policy = attrs.field(factory=LowestCost)
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
    return_gaps: ReturnGapTable = attrs.field(factory=ReturnGapTable)
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
        """Whether a graceful shutdown was requested."""
        return self.stopping_since is not None

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this VM."""
        return self.config.revision >= 0 and not self.stopping

    @property
    def readiness(self) -> Readiness:
        """Readiness of this VM, with the reason if it is not ready."""
        return revisions.readiness(self)

    @property
    def config_next(self) -> int:
        """Offset of the next configuration record to apply."""
        return self.revisions.replica.next
