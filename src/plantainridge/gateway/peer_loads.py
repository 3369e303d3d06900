"""Load that peers have in flight on endpoints, summed from their hints."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Final

import attrs

from plantainridge.gateway.peer_messages import OwnLoad
from plantainridge.ids import EndpointId, VmId

# Age at which a peer's load report expires, in s.
REPORT_TIMEOUT_S: Final = 1.2
# Age at which a cool-down in a peer's load report is no longer honoured, in s.
COOLDOWN_TIMEOUT_S: Final = 1.0


@attrs.define
class PeerLoad:
    """Load that all peers together have in flight on one endpoint.

    Attributes:
        pending_tokens: Prompt tokens whose prefill is not done yet.
        memory_tokens: KV cache memory of the requests at their full length,
            in tokens.
        requests: Requests in flight.
        granted_pending_tokens: Share of `pending_tokens` in runs whose engine
            the current coordinator granted.
        granted_memory_tokens: The same share of `memory_tokens`.
        granted_requests: The same share of `requests`.
    """

    pending_tokens: int = 0
    memory_tokens: int = 0
    requests: int = 0
    granted_pending_tokens: int = 0
    granted_memory_tokens: int = 0
    granted_requests: int = 0

    def add(self, load: OwnLoad, sign: int = 1) -> None:
        """Add one peer's load, or remove it if `sign` is -1."""
        self.pending_tokens += sign * load.pending_tokens
        self.memory_tokens += sign * load.memory_tokens
        self.requests += sign * load.requests
        if load.granted_requests:
            self.granted_pending_tokens += sign * load.granted_pending_tokens
            self.granted_memory_tokens += sign * load.granted_memory_tokens
            self.granted_requests += sign * load.granted_requests

    def plus(self, other: 'PeerLoad') -> 'PeerLoad':
        """Return the sum of two loads."""
        return PeerLoad(self.pending_tokens + other.pending_tokens,
                        self.memory_tokens + other.memory_tokens,
                        self.requests + other.requests)


NO_LOAD: Final = PeerLoad()


@attrs.frozen
class Report:
    """One peer's loads, with the loop time of their receipt in s.

    Attributes:
        cooldowns: Those of the loads with a cool-down, few at most times: they
            are searched for each request that is placed.
    """

    at: float
    loads: Mapping[EndpointId, OwnLoad]
    cooldowns: tuple[tuple[EndpointId, OwnLoad], ...] = ()


@attrs.define
class PeerLoadTable:
    """Loads by endpoint, and the peers' reports of which they are the sum.

    Attributes:
        sums: Load of all peers together, by endpoint.
        reports: Latest report of each peer, oldest first.
    """

    sums: dict[EndpointId, PeerLoad] = attrs.field(factory=dict)
    reports: OrderedDict[VmId, Report] = attrs.field(factory=OrderedDict)

    def replace(self, vm: VmId, loads: Mapping[EndpointId, OwnLoad],
                now: float) -> None:
        """Replace a peer's report."""
        self._drop(vm)
        cooldowns = tuple(each for each in loads.items() if each[1].cooldown_s)
        self.reports[vm] = Report(now, loads, cooldowns)
        for name, load in loads.items():
            self.sums.setdefault(name, PeerLoad()).add(load)

    def fresh(self, now: float) -> Mapping[EndpointId, PeerLoad]:
        """Return the sums of all reports that have not expired."""
        while self.reports:
            vm, oldest = next(iter(self.reports.items()))
            if now - oldest.at <= REPORT_TIMEOUT_S:
                break
            self._drop(vm)
        return self.sums

    def cooling_down(self, now: float) -> dict[EndpointId, float]:
        """Return endpoints in a cool-down that peers report.

        Each is mapped to the loop time of the latest such report, in s. Those
        that a peer did not reach are not included.
        """
        return self._cooldowns(now, is_unreached=False)

    def unreached(self, now: float) -> dict[EndpointId, float]:
        """Return endpoints that peers did not reach.

        Each is mapped to the loop time of the latest such report, in s.
        """
        return self._cooldowns(now, is_unreached=True)

    def _cooldowns(self, now: float,
                   is_unreached: bool) -> dict[EndpointId, float]:
        found: dict[EndpointId, float] = {}
        for report in reversed(self.reports.values()):
            if now - report.at > COOLDOWN_TIMEOUT_S:
                break
            for name, load in report.cooldowns:
                if (load.is_unreached is is_unreached and
                        now < report.at + load.cooldown_s):
                    found[name] = max(report.at, found.get(name, report.at))
        return found

    def _drop(self, vm: VmId) -> None:
        report = self.reports.pop(vm, None)
        if report is None:
            return
        for name, load in report.loads.items():
            total = self.sums.get(name)
            if total is None:
                continue
            total.add(load, -1)
            if not total.requests:
                del self.sums[name]
