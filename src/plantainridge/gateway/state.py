"""State of one gateway's reducer."""

import random

import attrs

from plantainridge.gateway.build_history import BuildHistory
from plantainridge.gateway.builds import BuildTable
from plantainridge.gateway.cache import CacheState
from plantainridge.gateway.config import NO_CONFIGURATION, Configuration
from plantainridge.gateway.endpoint_limits import EndpointLimits
from plantainridge.gateway.endpoint_speed import SpeedTable
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.evacuations import EvacuationTable
from plantainridge.gateway.events import VmEntry
from plantainridge.gateway.hints import HintTable
from plantainridge.gateway.lease import Lease
from plantainridge.gateway.notices import LeavingTable
from plantainridge.gateway.placement_requests import CoordinationState
from plantainridge.gateway.part_lifetimes import PartLifetimes
from plantainridge.gateway.paths import PathTable
from plantainridge.gateway.peer_ranks import PeerRanks
from plantainridge.gateway.relays import RelayBuffer
from plantainridge.gateway.requests import CallTable
from plantainridge.gateway.retries import RetryBudget
from plantainridge.gateway.rollout import RolloutState
from plantainridge.gateway.service_times import ServiceTimes
from plantainridge.gateway.settings import GatewaySettings
from plantainridge.gateway.stores import StoreTable
from plantainridge.gateway.suspects import SuspectTable
from plantainridge.gateway.suspension import Suspension
from plantainridge.gateway.tunnel_admission import TunnelTable
from plantainridge.gateway.tunnel_peers import TunnelPeerTable
from plantainridge.gateway.versions import VersionTable
from plantainridge.gateway.views import ViewTable
from plantainridge.ids import EndpointId, Incarnation, VmId


@attrs.define
class GatewayState:
    """All data on which one VM bases its decisions.

    Attributes:
        incarnation: Incarnation of this VM's process.
        rng: The only source of randomness.
        config: The newest configuration that was read.
        endpoints: State of each registered endpoint.
        endpoint_limits: Endpoints that get few requests: cold and brittle ones.
        peers: Entries of all VMs of the deployment, including this one.
        peer_ranks: Orders of these VMs, by which they elect readers.
        speeds: Learned speeds of endpoints.
        leaving: Endpoints that were leaving.
        evacuations: Data centres that operators evacuate.
        versions: Weight versions that operators set as targets.
        builds: Builds at which streams began.
        build_history: The record of builds in the metadata store.
        views: Read positions in the metadata store's views.
        calls: Requests and sends in flight.
        paths: Direct paths to the endpoints of each service.
        tunnel_peers: Peers that opened no tunnel for this VM.
        tunnels: Tunnels that this VM opened for peers.
        retries: Budget of repeated sends.
        suspects: Requests that may crash endpoints.
        hints: Load that peers have in flight.
        relays: Updates of KV cache stores that are queued for peers.
        stores: Contents of KV cache stores.
        part_lifetimes: Periods in which stored parts are fetched and freed.
        cache: Prompt parts that engines are expected to have cached.
        coordination: Placement requests and grants.
        lease: Lease whose holder orders engines to change versions.
        rollout: Progress of the rollout of weight versions.
        suspension: The last time at which this VM did not run.
        service_times: Times that recent requests took.
        stopping_since: Loop time at which the stop request was handled, in s,
            or None.
        stop_delay_s: Longest time for which the stop request was not handled,
            in s.
        listening: Whether new connections are accepted.
        exiting: Whether the reducer has emitted `Exit`.
    """

    settings: GatewaySettings
    incarnation: Incarnation
    rng: random.Random
    config: Configuration = NO_CONFIGURATION
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    endpoint_limits: EndpointLimits = attrs.field(factory=EndpointLimits)
    speeds: SpeedTable = attrs.field(factory=SpeedTable)
    leaving: LeavingTable = attrs.field(factory=LeavingTable)
    peers: dict[VmId, VmEntry] = attrs.field(factory=dict)
    evacuations: EvacuationTable = attrs.field(factory=EvacuationTable)
    peer_ranks: PeerRanks = attrs.field(factory=PeerRanks)
    versions: VersionTable = attrs.field(factory=VersionTable)
    builds: BuildTable = attrs.field(factory=BuildTable)
    build_history: BuildHistory = attrs.field(factory=BuildHistory)
    views: ViewTable = attrs.field(factory=ViewTable)
    calls: CallTable = attrs.field(factory=CallTable)
    paths: PathTable = attrs.field(factory=PathTable)
    tunnel_peers: TunnelPeerTable = attrs.field(factory=TunnelPeerTable)
    tunnels: TunnelTable = attrs.field(factory=TunnelTable)
    retries: RetryBudget = attrs.field(factory=RetryBudget)
    suspects: SuspectTable = attrs.field(factory=SuspectTable)
    hints: HintTable = attrs.field(factory=HintTable)
    relays: RelayBuffer = attrs.field(factory=RelayBuffer)
    stores: StoreTable = attrs.field(factory=StoreTable)
    part_lifetimes: PartLifetimes = attrs.field(factory=PartLifetimes)
    cache: CacheState = attrs.field(factory=CacheState)
    coordination: CoordinationState = attrs.field(factory=CoordinationState)
    lease: Lease = attrs.field(factory=Lease)
    rollout: RolloutState = attrs.field(factory=RolloutState)
    suspension: Suspension = attrs.field(factory=Suspension)
    service_times: ServiceTimes = attrs.field(factory=ServiceTimes)
    stopping_since: float | None = None
    stop_delay_s: float = 0.0
    listening: bool = True
    exiting: bool = False

    @property
    def ready(self) -> bool:
        """Whether the load balancer may open connections to this VM."""
        return (self.config.version >= 0 and self.views.registry_loaded and
                self.stopping_since is None)
