"""The operators' configuration: routes, services, teams and limits."""

import enum
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from plantainridge.ids import ModelId, ServiceId, TeamId

DEFAULT_HEAD_BYTES: Final = 16_384
DEFAULT_BODY_BYTES: Final = 4 * 1_024 * 1_024
DEFAULT_HEAD_TIMEOUT_S: Final = 3.0
DEFAULT_IDLE_TIMEOUT_S: Final = 15.0


class RequestKind(enum.Enum):
    """Whether a request may be repeated, and how it is answered."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@attrs.frozen
class Share:
    """A service and its weight in the traffic split of a route."""

    service: ServiceId
    weight: float


@attrs.frozen
class Route:
    """How requests of one host and path prefix are served.

    Attributes:
        target_s: Latency of the answer, or of a stream's first event, up to
            which it earns full credit, in s.
        timeout_s: Longest time for which a request may be in flight, in s.
        gap_s: Longest pause within a stream, in s; 0 if not a stream.
        attempts: Largest number of endpoints that may run one request.
        priority: Rank; 0 is served first.
        public: Whether requests need no API key.
        resumable: Whether a stream may be resumed at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    target_s: float
    timeout_s: float
    gap_s: float = 0.0
    attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return (self.kind is RequestKind.IDEMPOTENT or
                self.kind is RequestKind.STREAM and self.resumable)


@attrs.frozen
class EngineSpec:
    """Properties common to all model engines of a service.

    Attributes:
        cache_tokens: KV cache memory, in tokens.
        token_bytes: Size of one cached token, in bytes.
        link_mbps: Rate of an engine's transfers, in Mbit/s.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[ModelId, ...]


@attrs.frozen
class StoreSpec:
    """Properties of a KV cache store.

    Attributes:
        address: IP number and port.
        capacity_tokens: Capacity, in tokens.
        link_mbps: Rate of its transfers, in Mbit/s.
        setup_s: Delay before each transfer, in s.
    """

    address: str
    dc: str
    capacity_tokens: int
    link_mbps: float
    setup_s: float


@attrs.frozen
class Service:
    """A service: model engines, plain instances, or one KV cache store.

    Attributes:
        cold_start_s: Time for which an endpoint stays cold after its start, in
            s; 0 if it does not.
        cold_requests_per_s: Requests per s that a cold endpoint tolerates, from
            all VMs together; 0 for no limit.
    """

    name: ServiceId
    engine: EngineSpec | None = None
    store: StoreSpec | None = None
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0


@attrs.frozen
class Team:
    """A team; an isolated one shares no cached parts with other teams."""

    name: TeamId
    keys: frozenset[str] = attrs.field(repr=False)
    priority: int | None = None
    isolated: bool = False


@attrs.frozen
class CallerLimits:
    """Limits on the size of requests and on the time to receive them."""

    head_bytes: int = DEFAULT_HEAD_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    head_timeout_s: float = DEFAULT_HEAD_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@attrs.frozen
class Configuration:
    """One version of the complete configuration.

    Attributes:
        has_teams: Whether requests need an API key at all.
        routes_by_host: Routes of each host, longest prefix first.
        teams_by_key: Teams by API key.
    """

    version: int
    services: Mapping[ServiceId, Service]
    limits: CallerLimits
    has_teams: bool
    routes_by_host: Mapping[str, tuple[Route, ...]]
    teams_by_key: Mapping[str, Team] = attrs.field(repr=False)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        path_only = path.split('?', 1)[0]
        for route in self.routes_by_host.get(normalize_host(host), ()):
            if path_only.startswith(route.prefix):
                return route
        return None


NO_CONFIGURATION: Final = Configuration(-1, {}, CallerLimits(), True, {}, {})


def normalize_host(host: str) -> str:
    """Return a host name without its port, in lower case."""
    return host.rsplit(':', 1)[0].lower()


def build(version: int, routes: Iterable[Route], services: Iterable[Service],
          teams: Iterable[Team] | None, limits: CallerLimits) -> Configuration:
    """Return a configuration with its lookup tables."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(normalize_host(route.host), []).append(route)
    for group in routes_by_host.values():
        group.sort(key=lambda each: -len(each.prefix))
    known = list(teams or ())
    return Configuration(
        version=version,
        services={each.name: each for each in services},
        limits=limits,
        has_teams=teams is not None,
        routes_by_host={
            host: tuple(group) for host, group in routes_by_host.items()
        },
        teams_by_key={key: team for team in known for key in team.keys})
