"""How often requests may be sent to a second endpoint.

All VMs together may send again a part of the requests for a service, and a
fixed number besides, in any window. Each VM keeps to its part of that number,
so that no VM need know what the others do. A send that found no connection is
no arrival and takes nothing of it.
"""

from typing import Final

import attrs

from plantainridge.gateway.rates import WindowCount
from plantainridge.gateway.settings import Bounds
from plantainridge.ids import ServiceId

# Part of the allowance that is used; the rest covers windows that slide
# between those that are counted here.
USED_PART: Final = 0.85
# VMs that share the fixed number while their count is unknown.
ASSUMED_VMS: Final = 8
# Most sends of one request, with those that were not run.
MAX_SENDS: Final = 6


@attrs.define
class RetryBudget:
    """Counts of one VM, by service.

    Attributes:
        vm_count: VMs that share the fixed number.
    """

    bounds: Bounds = Bounds()
    vm_count: int = ASSUMED_VMS
    requests: dict[ServiceId, WindowCount] = attrs.field(factory=dict)
    again: dict[ServiceId, WindowCount] = attrs.field(factory=dict)

    def record_request(self, service: ServiceId, now: float) -> None:
        """Counts a request for a service."""
        self._count(self.requests, service).add(now)

    def record_resend(self, service: ServiceId, now: float) -> None:
        """Counts a send beyond a request's first."""
        self._count(self.again, service).add(now)

    def allows(self, service: ServiceId, now: float) -> bool:
        """Whether another request may be sent again now."""
        requests = self._count(self.requests, service).total(now)
        again = self._count(self.again, service).total(now)
        slack = self.bounds.retry_slack / max(1, self.vm_count)
        allowed = USED_PART * (self.bounds.retry_ratio * requests + slack)
        return again + 1 <= allowed

    def _count(self, counts: dict[ServiceId, WindowCount],
               service: ServiceId) -> WindowCount:
        found = counts.get(service)
        if found is None:
            found = counts[service] = WindowCount(self.bounds.retry_window_s)
        return found
