"""Rates that endpoints in need state for all VMs together.

Made for one to all endpoints of a service that state in their answers how many
requests a second they take, below one for each of 7 to 410 VMs, and which each
VM learns at another time. A few VMs, the first ones by rendezvous hash, send to
such an endpoint, each from a token bucket: no message is needed to keep to the
rate. VMs report rates to each other only so that those which have not sent
anything lately learn of them as well.
"""

import enum
import math
from collections.abc import Iterable
from typing import Final

import attrs

from plantainridge.gateway.token_buckets import TokenBucket
from plantainridge.ids import EndpointId

# What operators tolerate in any window: so many times the rate, and further
# requests.
WINDOW_S: Final = 4.0
OVERRUN: Final = 1.5
SLACK_REQUESTS: Final = 5.0
# Share of that which full buckets may use. The rest is for a VM that was added,
# since not all VMs know it at once.
USE_RATIO: Final = 0.9
# Time in which sends can arrive within one window, in s: their times of travel
# differ.
ARRIVAL_WINDOW_S: Final = WINDOW_S + 0.1
# Share of a rate, and of the VMs that use it, for the endpoint's own data
# centre. Callers of the others are served there if nothing else serves them.
LOCAL_RATIO: Final = 0.75
# Time after the latest statement from which VMs try whether it holds, each
# with one request, and time from one VM to the next, in s: the answer of one is
# reported to the others meanwhile.
PROBE_DELAY_S: Final = 10.0
PROBE_INTERVAL_S: Final = 1.0
# Time within which VMs return after the end of a rate, one after the other, in
# s.
RETURN_S: Final = 1.0
# Time for which a VM reports what an endpoint stated, in s: some hints and
# reports of load are sent meanwhile.
REPORT_S: Final = 3.0
# Change of a rate, relative to it, that is logged.
LOGGED_CHANGE_RATIO: Final = 0.1


class Source(enum.Enum):
    """Who has the latest statement of an endpoint."""

    OWN = 'own'
    LOCAL = 'local'
    REMOTE = 'remote'


@attrs.frozen
class RateReport:
    """What an endpoint stated, as VMs report it to each other.

    Attributes:
        started_ms: Unix time of the start of the run that stated it, in ms.
        requests_per_s: Requests per s from all VMs together; None if it no
            longer states a rate.
        age_s: Time since then, in s.
    """

    endpoint: EndpointId
    started_ms: int
    requests_per_s: float | None
    age_s: float


@attrs.define
class RateLimit:
    """The rate of an endpoint by its latest statement.

    Attributes:
        started_ms: Unix time of the start of the run that stated it, in ms.
        requests_per_s: The rate; None if the endpoint no longer states one.
        stated_at: Loop time of the statement, in s.
        learned_at: Loop time at which this VM learned of it, in s.
        source: Who has the statement.
        bucket: What this VM may send.
        probed_at: Loop time of this VM's latest try, in s.
        sends: Sends of this VM since the first statement.
        logged_rate: Rate in the latest log line, or None.
    """

    started_ms: int
    requests_per_s: float | None
    stated_at: float
    learned_at: float
    source: Source
    bucket: TokenBucket
    probed_at: float = -math.inf
    sends: int = 0
    logged_rate: float | None = None

    def opens_at(self, own_rate: float, rank: int, vms: int) -> float:
        """Return the loop time from which a VM may send, in s.

        Args:
            own_rate: The VM's share of the rate, in requests per s.
            rank: Its rank for the endpoint among all VMs, from 0.
            vms: Their number.
        """
        if self.requests_per_s is None:
            return self.stated_at + RETURN_S * rank / max(1, vms)
        return min(self.bucket.opens_at(own_rate), self._probes_at(rank, vms))

    def record_send(self, own_rate: float, rank: int, vms: int,
                    now: float) -> None:
        """Count a send of a VM; the other arguments are those of `opens_at`."""
        if now >= self._probes_at(rank, vms):
            self.probed_at = now
        self.bucket.take(own_rate, now)
        self.sends += 1

    def _probes_at(self, rank: int, vms: int) -> float:
        """Return the loop time from which a VM may try one request, in s.

        All VMs together try one in each interval, whatever they hear.
        """
        if self.probed_at >= self.stated_at:
            return self.probed_at + PROBE_DELAY_S + PROBE_INTERVAL_S * vms
        return self.stated_at + PROBE_DELAY_S + PROBE_INTERVAL_S * rank

    def is_over(self, now: float) -> bool:
        """Return whether the rate has ended, and all VMs have returned."""
        return (self.requests_per_s is None and now >= max(
            self.stated_at + RETURN_S, self.learned_at + REPORT_S))

    @property
    def is_to_be_logged(self) -> bool:
        """Whether the rate is new, or differs from what was logged."""
        if self.requests_per_s is None:
            return False
        if self.logged_rate is None:
            return True
        change = abs(self.requests_per_s - self.logged_rate)
        return change > LOGGED_CHANGE_RATIO * self.logged_rate


@attrs.define
class RateTable:
    """Rates of endpoints that state one, or did a short while ago."""

    limits: dict[EndpointId, RateLimit] = attrs.field(factory=dict)

    def record_answer(self, endpoint: EndpointId, started_ms: int,
                      requests_per_s: float | None, sent_at: float,
                      now: float) -> None:
        """Record what an answer of an endpoint states.

        An answer without a rate ends it only if its request was sent after the
        latest statement: answers on several connections overtake each other.

        Args:
            endpoint: The endpoint.
            started_ms: Unix time of its start, in ms.
            requests_per_s: The rate, or None.
            sent_at: Loop time at which the request was sent, in s.
            now: Loop time in s.
        """
        known = self._known(endpoint, started_ms)
        if requests_per_s is not None:
            self._record(endpoint, started_ms, requests_per_s, now, now,
                         Source.OWN)
        elif (known is not None and known.requests_per_s is not None and
              sent_at > known.stated_at):
            self._record(endpoint, started_ms, None, sent_at, now, Source.OWN)

    def receive(self, reports: Iterable[RateReport], source: Source,
                now: float) -> None:
        """Apply what a peer reports, unless a later statement is known."""
        for report in reports:
            stated_at = now - report.age_s
            known = self.limits.get(report.endpoint)
            if known is not None and (known.started_ms > report.started_ms or
                                      known.stated_at >= stated_at):
                continue
            if known is not None or report.requests_per_s is not None:
                self._record(report.endpoint, report.started_ms,
                             report.requests_per_s, stated_at, now, source)

    def reports(self, sources: Iterable[Source],
                now: float) -> tuple[RateReport, ...]:
        """Return what is to be reported of statements from some sources."""
        if not self.limits:
            return ()
        return tuple(
            RateReport(name, each.started_ms, each.requests_per_s,
                       max(0.0, now - each.stated_at))
            for name, each in self.limits.items()
            if each.source in sources and now - each.learned_at <= REPORT_S)

    def _known(self, endpoint: EndpointId, started_ms: int) -> RateLimit | None:
        known = self.limits.get(endpoint)
        is_same_run = known is not None and known.started_ms == started_ms
        return known if is_same_run else None

    def _record(self, endpoint: EndpointId, started_ms: int,
                requests_per_s: float | None, stated_at: float, now: float,
                source: Source) -> None:
        known = self._known(endpoint, started_ms)
        if known is None:
            self.limits[endpoint] = RateLimit(started_ms, requests_per_s,
                                              stated_at, now, source,
                                              TokenBucket(now))
            return
        known.requests_per_s, known.stated_at = requests_per_s, stated_at
        known.learned_at, known.source = now, source


def max_vms(requests_per_s: float) -> int:
    """Return how many VMs may use a rate, each from a bucket of one request.

    Full buckets and the whole rate stay within what is tolerated.
    """
    tolerated = USE_RATIO * (OVERRUN * WINDOW_S * requests_per_s +
                             SLACK_REQUESTS)
    return max(1, math.floor(tolerated - ARRIVAL_WINDOW_S * requests_per_s))


def vm_rate(requests_per_s: float, rank: int, local_vms: int,
            remote_vms: int) -> float:
    """Return the requests per s that one VM may send to an endpoint.

    The rates of all VMs add up to that of the endpoint.

    Args:
        requests_per_s: The rate that the endpoint states.
        rank: Rank of the VM for the endpoint, from 0; those of the endpoint's
            data centre come first.
        local_vms: VMs in the endpoint's data centre.
        remote_vms: VMs in other data centres.
    """
    vms = max_vms(requests_per_s)
    local = min(local_vms, math.ceil(LOCAL_RATIO * vms))
    remote = min(remote_vms, vms - local)
    local_ratio = LOCAL_RATIO if remote else 1.0
    if not local:
        local_ratio = 0.0
    if rank < local_vms:
        return (requests_per_s * local_ratio / local if rank < local else 0.0)
    is_one_of_few = rank - local_vms < remote
    return (requests_per_s * (1.0 - local_ratio) /
            remote if is_one_of_few else 0.0)
