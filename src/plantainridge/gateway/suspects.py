"""Requests under which endpoints broke off, by team, target and content."""

import hashlib
from collections import OrderedDict
from typing import Final

import attrs

from plantainridge.gateway.events import Request
from plantainridge.ids import EndpointId, TeamId

# Broken sends after which a request is sent no more.
MAX_BREAKS: Final = 2
# How long a broken send counts, in s.
KEEP_S: Final = 60.0
# Fingerprints kept; the oldest go first.
MAX_FINGERPRINTS: Final = 4_096


@attrs.define
class SuspectTable:
    """Endpoints that broke off under each request, with loop times in s."""

    breaks: OrderedDict[str, dict[EndpointId,
                                  float]] = attrs.field(factory=OrderedDict)

    def record_break(self, fingerprint: str, endpoint: EndpointId,
                     now: float) -> None:
        """Counts a send under which an endpoint broke off."""
        found = self.breaks.setdefault(fingerprint, {})
        found[endpoint] = now
        self.breaks.move_to_end(fingerprint)
        while len(self.breaks) > MAX_FINGERPRINTS:
            self.breaks.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Clears a request that ran to its end."""
        self.breaks.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Whether a request broke too many endpoints to be sent again."""
        found = self.breaks.get(fingerprint)
        if found is None:
            return False
        recent = sum(now - at < KEEP_S for at in found.values())
        return recent >= MAX_BREAKS


def fingerprint_of(team: TeamId | None, request: Request) -> str:
    """Names a request by what it asks for, whoever resends it."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (team or '', request.method, request.host, request.target):
        digest.update(part.encode() + b'\0')
    digest.update(request.body)
    return digest.hexdigest()
