"""The whole state of one gateway's reducer."""

import random
import attrs

from plantainridge.gateway.cache import CacheState
from plantainridge.gateway.config import NO_CONFIGURATION, Configuration
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import VmEntry
from plantainridge.gateway.hints import HintTable
from plantainridge.gateway.lease import Lease
from plantainridge.gateway.relays import RelayBuffer
from plantainridge.gateway.requests import CallTable
from plantainridge.gateway.retries import RetryBudget
from plantainridge.gateway.rollout import RolloutState
from plantainridge.gateway.settings import GatewaySettings
from plantainridge.gateway.stores import StoreTable
from plantainridge.gateway.suspects import SuspectTable
from plantainridge.gateway.versions import VersionTable
from plantainridge.gateway.views import ViewTable
from plantainridge.ids import EndpointId, Incarnation, VmId


@attrs.define
class GatewayState:
    """Everything that one VM decides from.

    Attributes:
        incarnation: This life of its process.
        rng: The only source of randomness.
        config: The newest configuration that was read.
        endpoints: What is known of each registered endpoint.
        peers: Entries of this system's VMs, this one's too.
        versions: Weight versions that operators named.
        views: How far the store's views were followed.
        calls: Requests and sends in flight.
        retries: How often a request may be sent again.
        suspects: Requests that may crash endpoints.
        hints: What peers have in flight.
        relays: News of these that waits to be sent.
        stores: What KV cache stores keep.
        cache: Which parts engines read.
        lease: The right to give orders.
        rollout: Orders in progress.
        stopping_since: Loop time of the word to stop, in s, or None.
        listening: Whether new connections are taken.
        exiting: Whether the process was told to end.
    """

    settings: GatewaySettings
    incarnation: Incarnation
    rng: random.Random
    config: Configuration = NO_CONFIGURATION
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    peers: dict[VmId, VmEntry] = attrs.field(factory=dict)
    versions: VersionTable = attrs.field(factory=VersionTable)
    views: ViewTable = attrs.field(factory=ViewTable)
    calls: CallTable = attrs.field(factory=CallTable)
    retries: RetryBudget = attrs.field(factory=RetryBudget)
    suspects: SuspectTable = attrs.field(factory=SuspectTable)
    hints: HintTable = attrs.field(factory=HintTable)
    relays: RelayBuffer = attrs.field(factory=RelayBuffer)
    stores: StoreTable = attrs.field(factory=StoreTable)
    cache: CacheState = attrs.field(factory=CacheState)
    lease: Lease = attrs.field(factory=Lease)
    rollout: RolloutState = attrs.field(factory=RolloutState)
    stopping_since: float | None = None
    listening: bool = True
    exiting: bool = False

    @property
    def ready(self) -> bool:
        """Whether the balancer may send new connections here."""
        return (self.config.version >= 0 and self.views.registry_loaded and
                self.stopping_since is None)
