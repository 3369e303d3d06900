"""Requests during which endpoints broke the connection, by fingerprint."""

import hashlib
from collections import OrderedDict
from typing import Final

import attrs

from plantainridge.gateway.events import Request
from plantainridge.ids import EndpointId, TeamId

# Endpoints broken by a request after which it is quarantined.
MAX_BREAKS: Final = 2
# Age at which a broken send expires, in s.
RETENTION_S: Final = 60.0
# Fingerprints stored; the least recently updated are evicted first.
MAX_FINGERPRINTS: Final = 4_096


@attrs.define
class SuspectTable:
    """Endpoints that broke the connection, by the request that they processed.

    Attributes:
        breaks: For each fingerprint, the loop time of the last break of each
            endpoint, in s.
    """

    breaks: OrderedDict[str, dict[EndpointId,
                                  float]] = attrs.field(factory=OrderedDict)

    def record_break(self, fingerprint: str, endpoint: EndpointId,
                     now: float) -> None:
        """Record that an endpoint broke the connection during a request."""
        found = self.breaks.setdefault(fingerprint, {})
        found[endpoint] = now
        self.breaks.move_to_end(fingerprint)
        while len(self.breaks) > MAX_FINGERPRINTS:
            self.breaks.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Clear a request that an endpoint completed."""
        self.breaks.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether a request broke too many endpoints to be retried."""
        found = self.breaks.get(fingerprint)
        if found is None:
            return False
        recent = sum(now - at < RETENTION_S for at in found.values())
        return recent >= MAX_BREAKS


def fingerprint_of(team: TeamId | None, request: Request) -> str:
    """Return a hash of a request's team, method, host, target and body.

    It is the same for every resend of a request.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (team or '', request.method, request.host, request.target):
        digest.update(part.encode() + b'\0')
    digest.update(request.body)
    return digest.hexdigest()
