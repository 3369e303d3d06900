"""Budget for sending requests to a further endpoint.

In any window, all VMs together may retry a share of the requests for a
service, plus a fixed number. Each VM keeps to its share of the fixed number, so
that VMs need not coordinate. A send that found no connection did not reach an
endpoint and is not counted.

Made also for VMs that are killed again and again while endpoints fail: a VM
that starts takes no share of the fixed number for one window, since its
previous process may have used it within this time. Nor does a VM that does not
know how many share it.
"""

import math
from typing import Final

import attrs

from plantainridge.gateway.rates import WindowCount
from plantainridge.gateway.settings import Bounds
from plantainridge.ids import ServiceId

# Share of the budget that is used; the rest covers sliding windows that lie
# between those counted here.
BUDGET_USE_RATIO: Final = 0.85
# Limit of all sends of one request, including those that were not run. Once its
# stream has begun, sends that found no connection do not count.
MAX_SENDS: Final = 6


@attrs.define
class RetryBudget:
    """Retry budget of one VM, by service.

    Attributes:
        vm_count: VMs that share the fixed number; None if not known.
        started_at: Loop time at which this VM's process started, in s; -inf if
            no other process of the VM was before it.
        requests: Requests in the window.
        retry_counts: Sends beyond the first of each request in the window.
    """

    bounds: Bounds = Bounds()
    vm_count: int | None = None
    started_at: float = -math.inf
    requests: dict[ServiceId, WindowCount] = attrs.field(factory=dict)
    retry_counts: dict[ServiceId, WindowCount] = attrs.field(factory=dict)

    def record_request(self, service: ServiceId, now: float) -> None:
        """Count a request for a service."""
        self._count(self.requests, service).add(now)

    def record_retry(self, service: ServiceId, now: float) -> None:
        """Count a send beyond the first one of a request."""
        self._count(self.retry_counts, service).add(now)

    def cancel_retry(self, service: ServiceId, counted_at: float) -> None:
        """Take back a retry that found no connection.

        Args:
            service: Its service.
            counted_at: Loop time at which it was counted, in s. Taken back at
                another time, it would hide another retry once the window no
                longer covers it.
        """
        self._count(self.retry_counts, service).add(counted_at, -1)

    def allows(self,
               service: ServiceId,
               now: float,
               ratio: float = 1.0) -> bool:
        """Return whether a share of the budget allows another retry now."""
        requests, retries = self.usage(service, now)
        allowed = BUDGET_USE_RATIO * (self.bounds.retry_ratio * requests +
                                      self._fixed_share(now))
        return retries + 1 <= ratio * allowed

    def _fixed_share(self, now: float) -> float:
        """Return this VM's share of the fixed number of retries."""
        if (self.vm_count is None or
                now < self.started_at + self.bounds.retry_window_s):
            return 0.0
        return self.bounds.retry_slack / max(1, self.vm_count)

    def usage(self, service: ServiceId, now: float) -> tuple[int, int]:
        """Return the requests and the retries of a service in the window."""
        return (self._count(self.requests, service).total(now),
                self._count(self.retry_counts, service).total(now))

    def _count(self, counts: dict[ServiceId, WindowCount],
               service: ServiceId) -> WindowCount:
        count = counts.get(service)
        if count is None:
            count = counts[service] = WindowCount(self.bounds.retry_window_s)
        return count
