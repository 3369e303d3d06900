"""Load of all engines, reported from data centre to data centre.

Answers the load of a data centre that gets more requests than its own engines
carry while others have headroom. With many VMs, hints from each to each cost
more the more VMs there are, or come too late. Here one reporter per data centre
sums the hints of its VMs and sends the sum to the reporters of the others; each
reporter then sends the totals of the deployment to its own VMs. Traffic between
data centres grows with their number and that of the engines, not with VMs.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from plantainridge.gateway import peer_ranks
from plantainridge.gateway.events import VmEntry
from plantainridge.gateway.peer_loads import PeerLoad
from plantainridge.gateway.peer_messages import DcLoad, LoadTotals, OwnLoad
from plantainridge.ids import DcId, EndpointId, ServiceId, VmId

# Interval at which a reporter sends its sums and totals, in s.
REPORT_INTERVAL_S: Final = 0.25
# First reports of a VM, which do not name VMs that are absent.
REPORTS_WITHOUT_ABSENCES: Final = 4
# Age at which a data centre's load or the totals expire, in s.
MAX_REPORT_AGE_S: Final = 1.2
# Longest time from a VM's observation to its receipt with the totals, in s.
MAX_DELAY_S: Final = 2 * REPORT_INTERVAL_S
# VMs of a data centre that get reports for it while its reporter is unknown.
FALLBACK_RECIPIENTS: Final = 2


@attrs.frozen
class _ReceivedLoad:
    """A data centre's load, with the loop time of its receipt in s."""

    load: DcLoad
    at: float


@attrs.frozen
class _Cooldown:
    """A cool-down with the loop time of its end in s."""

    until: float
    is_unreached: bool


@attrs.define
class LoadReportTable:
    """Loads of other data centres, and the deployment's totals.

    Attributes:
        number: Number of this VM's last report.
        sent_at: Loop time of this VM's last report as a reporter, in s.
        dc_loads: Latest load of each other data centre.
        totals: Load of other VMs, by endpoint.
        totals_at: Loop time at which the totals were received, in s.
        has_local: Whether the totals include this VM's data centre.
        cooldowns: Cool-downs according to the totals.
        work: Work that arrives in each data centre for each service, in tokens
            per s.
        coordinators: VMs that answer placement requests, by data centre.
        absent: 32-bit hashes of VMs that are listed and not live, according to
            the totals.
    """

    number: int = 0
    sent_at: float = -math.inf
    dc_loads: dict[DcId, _ReceivedLoad] = attrs.field(factory=dict)
    totals: dict[EndpointId, PeerLoad] = attrs.field(factory=dict)
    totals_at: float = -math.inf
    cooldowns: dict[EndpointId, _Cooldown] = attrs.field(factory=dict)
    has_local: bool = False
    work: Mapping[DcId, Mapping[ServiceId, float]] = attrs.field(factory=dict)
    coordinators: Mapping[DcId, VmId] = attrs.field(factory=dict)
    absent: frozenset[int] = frozenset()

    def is_fresh(self, now: float) -> bool:
        """Return whether the totals have not expired."""
        return now - self.totals_at <= MAX_REPORT_AGE_S

    def may_be_live(self, entry: VmEntry, now: float) -> bool:
        """Return whether a VM of another data centre is not known to be lost.

        Without totals nothing is known of other data centres. With totals, one
        that is missing from them does not reach this one.
        """
        if not self.is_fresh(now):
            return True
        return (DcId(entry.dc) in self.work and
                peer_ranks.short_hash(entry.vm) not in self.absent)

    def receive_dc_load(self, load: DcLoad, now: float) -> None:
        """Apply another data centre's load unless a newer one overtook it."""
        previous = self.dc_loads.get(load.dc)
        if (previous is not None and previous.load.vm == load.vm and
                previous.load.incarnation == load.incarnation and
                previous.load.number >= load.number):
            return
        self.dc_loads[load.dc] = _ReceivedLoad(load, now)

    def fresh_dc_loads(self, now: float) -> list[DcLoad]:
        """Return the loads of other data centres that have not expired."""
        return [
            each.load
            for each in self.dc_loads.values()
            if now - each.at <= MAX_REPORT_AGE_S
        ]

    def receive_totals(self, totals: LoadTotals, own_loads: Mapping[EndpointId,
                                                                    OwnLoad],
                       now: float) -> None:
        """Replace the totals, less this VM's own load as last reported."""
        self.totals_at = now
        self.has_local, self.work = totals.has_local, totals.work
        self.coordinators, self.absent = totals.coordinators, totals.absent
        if not totals.has_local:
            own_loads = {}
        self.cooldowns = {
            name: _Cooldown(now + load.cooldown_s, load.is_unreached)
            for name, load in totals.loads.items()
            if load.cooldown_s
        }
        self.totals = {
            name: _without(load, own_loads.get(name))
            for name, load in totals.loads.items()
        }

    def cooling_down(self, now: float) -> dict[EndpointId, float]:
        """Return endpoints in a cool-down according to the totals.

        Each is mapped to the earliest loop time of its observation, in s. Those
        that a VM did not reach are not included.
        """
        if not self.is_fresh(now):
            return {}
        observed_at = self.totals_at - MAX_DELAY_S
        return {
            name: observed_at
            for name, each in self.cooldowns.items()
            if now < each.until and not each.is_unreached
        }

    def unreached(self, now: float) -> dict[EndpointId, float]:
        """Return endpoints that a VM did not reach according to the totals.

        Each is mapped to the loop time at which the totals were received, in s.
        """
        if not self.is_fresh(now):
            return {}
        return {
            name: self.totals_at
            for name, each in self.cooldowns.items()
            if now < each.until and each.is_unreached
        }

    def recipients(self, dc: DcId, ranked: list[VmId],
                   now: float) -> list[VmId]:
        """Return the VMs of another data centre to which reports are sent.

        Args:
            dc: The other data centre.
            ranked: Its VMs in the order in which they become reporters.
            now: Loop time in s.

        Returns:
            The reporter from which a load arrived last, or else the VMs that
            are most likely to be it.
        """
        known = self.dc_loads.get(dc)
        if (known is not None and now - known.at <= MAX_REPORT_AGE_S and
                known.load.vm in ranked):
            return [known.load.vm]
        return ranked[:FALLBACK_RECIPIENTS]


def _without(load: OwnLoad, own: OwnLoad | None) -> PeerLoad:
    if own is None:
        return PeerLoad(load.pending_tokens, load.memory_tokens, load.requests)
    return PeerLoad(max(0, load.pending_tokens - own.pending_tokens),
                    max(0, load.memory_tokens - own.memory_tokens),
                    max(0, load.requests - own.requests))


def add_work(
        work: Iterable[Mapping[ServiceId, float]]) -> dict[ServiceId, float]:
    """Return the sums of work by service, in tokens per s."""
    sums: dict[ServiceId, float] = {}
    for each in work:
        for service, tokens_per_s in each.items():
            sums[service] = sums.get(service, 0.0) + tokens_per_s
    return sums


def add_loads(
        loads: Iterable[Mapping[EndpointId,
                                OwnLoad]]) -> dict[EndpointId, OwnLoad]:
    """Return the sums of loads by endpoint.

    Of their cool-downs the longest counts; one that an endpoint caused itself
    counts before those of VMs that did not reach it.
    """
    sums: dict[EndpointId, OwnLoad] = {}
    for each in loads:
        for name, load in each.items():
            total = sums.get(name)
            if total is None:
                sums[name] = load
                continue
            longest = max(
                total,
                load,
                key=lambda one:
                (one.cooldown_s > 0.0 and not one.is_unreached, one.cooldown_s))
            sums[name] = OwnLoad(
                total.pending_tokens + load.pending_tokens,
                total.memory_tokens + load.memory_tokens,
                total.requests + load.requests, longest.cooldown_s,
                longest.is_unreached,
                total.granted_pending_tokens + load.granted_pending_tokens,
                total.granted_memory_tokens + load.granted_memory_tokens,
                total.granted_requests + load.granted_requests)
    return sums
