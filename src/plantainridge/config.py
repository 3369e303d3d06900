"""The configuration that a sheet declares, as immutable data."""

import enum
from collections.abc import Mapping

import attrs

from plantainridge.ids import (DcId, EndpointId, ModelId, ServiceId, StoreId,
                               TeamId, WeightVersion)


class EndpointKind(enum.Enum):
    """What an endpoint runs."""

    ENGINE = 'engine'
    SERVICE = 'service'


class FencingMode(enum.Enum):
    """Whether an engine rejects orders with an outdated fencing token."""

    CHECKED = 'checked'
    IGNORED = 'ignored'


@attrs.frozen
class Team:
    """A team with its limits and latency target.

    Attributes:
        id: The team's name.
        key_hash: Hex SHA-256 of the team's bearer key.
        priority: Priority of its requests; 0 is the highest.
        first_token_s: Target time to first token, in s.
        max_running: Most requests that may run at once in one data centre.
        models: Models that the team may call.
    """

    id: TeamId
    key_hash: str
    priority: int
    first_token_s: float
    max_running: int
    models: frozenset[ModelId]


@attrs.frozen
class Model:
    """A model with the weight version and adapter in force.

    Attributes:
        id: The model's public name.
        version: Weight version that new requests are bound to.
        adapter: Adapter name; empty for none.
        max_context_tokens: Bound of prompt and answer together, in tokens.
    """

    id: ModelId
    version: WeightVersion
    adapter: str = ''
    max_context_tokens: int = 131_072


@attrs.frozen
class Service:
    """A plain service, one that is not a model engine.

    Attributes:
        id: The service's public name.
        repeatable: Whether a call may safely run more than once.
        checks_keys: Whether the service itself deduplicates calls by
            idempotency key.
    """

    id: ServiceId
    repeatable: bool
    checks_keys: bool = False


@attrs.frozen
class Endpoint:
    """A worker that runs a model engine or a plain service.

    Attributes:
        id: The endpoint's name.
        dc: Its data centre.
        kind: Engine or service.
        serves: Name of the model or service that it runs.
        address: IP address and port.
        fencing: Whether it checks the fencing token of orders.
        leaving: Whether the operator is taking it out of service.
    """

    id: EndpointId
    dc: DcId
    kind: EndpointKind
    serves: str
    address: str
    fencing: FencingMode = FencingMode.CHECKED
    leaving: bool = False


@attrs.frozen
class Store:
    """A store VM that holds exported cache blocks.

    Attributes:
        id: The store's name.
        dc: Its data centre.
        address: IP address and port.
        link_bytes_per_s: Bandwidth of its network link, in bytes per second.
    """

    id: StoreId
    dc: DcId
    address: str
    link_bytes_per_s: float


@attrs.frozen
class Deployment:
    """Weights that a user's deployment sets for the routing policy.

    Attributes:
        name: The deployment's name.
        recompute_weight: Seconds of time to first token that the policy trades
            for one second of recomputation saved; at 0 only the time to first
            token counts.
    """

    name: str
    recompute_weight: float


@attrs.frozen
class Config:
    """A complete configuration.

    Attributes:
        revision: Log offset of the record that made it; -1 for none.
        deployment: Weights of the routing policy.
        teams: Teams by name.
        models: Models by name.
        services: Plain services by name.
        endpoints: Endpoints by name.
        stores: Stores by name.
        dcs: Names of the data centres.
    """

    revision: int
    deployment: Deployment
    teams: Mapping[TeamId, Team]
    models: Mapping[ModelId, Model]
    services: Mapping[ServiceId, Service]
    endpoints: Mapping[EndpointId, Endpoint]
    stores: Mapping[StoreId, Store]
    dcs: frozenset[DcId]


EMPTY: Config = Config(revision=-1,
                       deployment=Deployment(name='', recompute_weight=0.0),
                       teams={},
                       models={},
                       services={},
                       endpoints={},
                       stores={},
                       dcs=frozenset())
