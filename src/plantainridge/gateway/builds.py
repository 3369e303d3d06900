"""Builds at which streams began, and where a resumed stream may continue.

The load pattern: engines of several builds serve a service side by side for a
minute, which operators do not order. Streams are many and are rarely resumed,
then often hundreds at once, since VMs are killed or all connections break. What
engines of two builds write does not fit together, so that a stream may continue
only at the build that began it.

Nothing here does input or output; `resolve` decides from values alone.
"""

import enum
import hashlib
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from typing import Final

import attrs

from plantainridge.gateway.config import RequestKind, Route
from plantainridge.gateway.endpoints import EndpointEntry
from plantainridge.ids import ServiceId

# Time for which the origin of a stream is kept; callers take a stream up within
# their own deadline.
ORIGIN_RETENTION_S: Final = 60.0
# Origins that are kept; the oldest are forgotten first.
MAX_ORIGINS: Final = 65_536
# Time since the last read of the registry beyond which a build may be missing.
MAX_REGISTRY_AGE_S: Final = 3.0


@attrs.frozen
class Origin:
    """The service and the build at which a stream began."""

    service: ServiceId
    build: str


class Unresolved(enum.Enum):
    """Why it is not known where a stream may continue."""

    ASK = 'peers or the metadata store may know where it began'
    READ = 'the registry must be read to know where it may continue'
    UNREAD = 'the registry could not be read'
    UNKNOWN = 'it is not known where the stream began'
    OTHER_SERVICE = 'the stream began at another service'


class RegistryRead(enum.Enum):
    """Whether the registry was read after a new try arrived."""

    DONE = 'it was read'
    AWAITED = 'a read of it is awaited'
    OLD = 'it was last read before that'


@attrs.define
class KnownOrigin:
    """Origin of one stream, with the loop time of its record in s."""

    origin: Origin
    at: float


def attempt_key(attempt_id: str) -> int:
    """Return a 64-bit hash of a caller's attempt id."""
    digest = hashlib.blake2b(attempt_id.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


@attrs.define
class BuildTable:
    """Origins of streams, and the builds that services have.

    Attributes:
        origins: Origin of each stream by its attempt's key, oldest first.
        unshared: Origins of streams of this VM that were not sent to peers
            yet.
        seen: Builds of each service, with the loop time at which each was last
            listed, in s.
        watched_since: Loop time since which no listed build was missed, in s.
        listed_at: Loop time of the last full update of `seen`, in s.
        asked_at: Loop time of the last question to peers, in s.
    """

    origins: OrderedDict[int, KnownOrigin] = attrs.field(factory=OrderedDict)
    unshared: dict[int, Origin] = attrs.field(factory=dict)
    seen: dict[ServiceId, dict[str, float]] = attrs.field(factory=dict)
    watched_since: float = math.inf
    listed_at: float = -math.inf
    asked_at: float = -math.inf

    def record(self, key: int, origin: Origin, now: float) -> None:
        """Record where a stream began, and forget what is too old."""
        self.origins[key] = KnownOrigin(origin, now)
        self.origins.move_to_end(key)
        while self.origins:
            oldest = next(iter(self.origins))
            is_old = now - self.origins[oldest].at > ORIGIN_RETENTION_S
            if not is_old and len(self.origins) <= MAX_ORIGINS:
                break
            del self.origins[oldest]
            self.unshared.pop(oldest, None)

    def find(self, key: int, now: float) -> Origin | None:
        """Return where a stream began, or None if it is not known."""
        known = self.origins.get(key)
        if known is None or now - known.at > ORIGIN_RETENTION_S:
            return None
        return known.origin

    def record_listed(self, entries: Iterable[EndpointEntry],
                      now: float) -> None:
        """Record the builds of endpoints that are listed now."""
        for entry in entries:
            self.seen.setdefault(entry.service, {})[entry.build] = now

    def add_seen(self, listed: Mapping[ServiceId, Mapping[str, float]]) -> None:
        """Add builds with the loop times at which they were last listed, in s.

        Of two times of a build the later one counts.
        """
        for service, times in listed.items():
            seen = self.seen.setdefault(service, {})
            for build, at in times.items():
                seen[build] = max(at, seen.get(build, at))

    def forget_unlisted(self, now: float) -> None:
        """Forget the builds that were not listed for the retention."""
        for service, seen in list(self.seen.items()):
            for build, at in list(seen.items()):
                if now - at > ORIGIN_RETENTION_S:
                    del seen[build]
            if not seen:
                del self.seen[service]

    def has_seen(self, origin: Origin) -> bool:
        """Return whether the build of an origin was seen."""
        return origin.build in self.seen.get(origin.service, {})

    def has_one_build(self, service: ServiceId) -> bool:
        """Return whether a single build of a service was seen."""
        return len(self.seen.get(service, {})) == 1

    def only_origin(self, service: ServiceId,
                    registry_age_s: float) -> Origin | None:
        """Return the only origin that was seen for a service's streams, if any.

        Args:
            service: The service.
            registry_age_s: Time since the registry was last read, in s.
        """
        if (not self.has_one_build(service) or
                registry_age_s > MAX_REGISTRY_AGE_S):
            return None
        return Origin(service, next(iter(self.seen[service])))

    def has_watched(self, now: float) -> bool:
        """Return whether no build was missed for as long as origins count."""
        return now - self.watched_since >= ORIGIN_RETENTION_S

    def take_unshared(self) -> dict[Origin, list[int]]:
        """Remove and return the streams that were not sent, by origin."""
        taken: dict[Origin, list[int]] = {}
        for key, origin in self.unshared.items():
            taken.setdefault(origin, []).append(key)
        self.unshared.clear()
        return taken


def is_resumable(route: Route) -> bool:
    """Return whether a route's requests are streams that may be resumed."""
    return route.kind is RequestKind.STREAM and route.resumable


def resolve(known: Origin | None, only: Origin | None,
            services: Collection[ServiceId], may_ask: bool,
            registry: RegistryRead) -> Origin | Unresolved:
    """Return where a caller's new try of a stream may continue.

    Made for VMs that are killed while streams run: mostly a peer has the record
    of what the VM that is gone had begun. Without a record, or if the caller
    names no attempt, the stream continues only if one build alone is known to
    have served lately. It is refused otherwise, since another build would
    corrupt it. VMs forward no event of an engine before they have read its
    entry: a registry that was read after the new try arrived lists the build
    at which the stream began. The same read shows the engines of a build that
    a peer has seen first.

    Args:
        known: Where the stream began, or None.
        only: The only origin that was seen for the service's streams, or None.
        services: Services that the route leads to.
        may_ask: Whether peers, or the record of builds, may still show it.
        registry: Whether the registry was read after the new try arrived.
    """
    if known is not None:
        if known.service not in services:
            return Unresolved.OTHER_SERVICE
        return (Unresolved.READ if registry is RegistryRead.AWAITED else known)
    if may_ask:
        return Unresolved.ASK
    if registry is RegistryRead.AWAITED:
        return Unresolved.READ
    if only is None:
        return Unresolved.UNKNOWN
    return only if registry is RegistryRead.DONE else Unresolved.UNREAD
