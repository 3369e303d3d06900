"""Speed of each endpoint, learned from how long its answers took.

Made for endpoints of one service that differ lastingly (some are 1.3 times as
slow), change for parts of a second (2.5 times as slow for 0.6 s), become slow
from some concurrency on, or change for good, while each VM sees an endpoint
only about once a second.

An observation is the time that an endpoint took, divided by the time that the
constants of `placement` predict for the prefill queue, the prompt and the
requests that were known at the send. Observations are kept as weighted sums for
each range of the endpoint's fill ratio; weights halve every `HALF_LIFE_S`.
Long predicted times weigh more: errors of a few ms change them little. VMs
exchange the sums of their own observations.

Estimates are drawn to the endpoint's mean, and that to the median of the
service, as far as there is little evidence. The slowdown that an endpoint
reported a moment ago scales its estimate, relative to the reports at the times
of the observations: it does not matter whether an endpoint's report includes
its lasting slowness.
"""

import bisect
import math
import statistics
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import attrs

from plantainridge.ids import DcId, EndpointId, ServiceId, VmId

# Lower bounds of the ranges of fill ratio above the first one.
FILL_BOUNDS: Final = (0.25, 0.5, 0.75)
# Time in which the weight of an observation halves, in s.
HALF_LIFE_S: Final = 5.0
# Predicted time of an observation with weight 1, in s.
UNIT_WEIGHT_S: Final = 0.05
# Largest weight of one observation.
MAX_OBSERVATION_WEIGHT: Final = 4.0
# Range of the ratios that count: beyond it a cause other than speed is likely.
MIN_RATIO: Final = 0.2
MAX_RATIO: Final = 8.0
# Weight of the median to which an endpoint's mean is drawn, and of that mean
# for its ranges of fill ratio.
PRIOR_WEIGHT: Final = 2.0
RANGE_PRIOR_WEIGHT: Final = 10.0
# Weight from which an endpoint counts for the median of its service.
MIN_WEIGHT: Final = 1.0
# Time after which evidence is dropped, in s: six times HALF_LIFE_S.
MAX_EVIDENCE_AGE_S: Final = 30.0
# Largest weight of the evidence of one VM, and of one or all other data
# centres.
MAX_VM_WEIGHT: Final = 20.0
MAX_DC_WEIGHT: Final = 100.0
# Age up to which a reported slowdown is used, in s.
MAX_REPORT_AGE_S: Final = 0.3
# Time for which a reported slowdown is expected to last, in s: that of a short
# one. With 0.3 s, p95 of the replay with both kinds of slowness was 4% longer.
REPORT_VALIDITY_S: Final = 0.6
# Interval at which estimates are computed anew, in s.
REFRESH_INTERVAL_S: Final = 1.0
# Time between two digests of one endpoint, in s.
DIGEST_INTERVAL_S: Final = 4.0
# Time for which an endpoint without new observations is still in digests, in
# s: a digest that is lost is repeated once.
DIGEST_REPEAT_S: Final = 8.0
# Endpoints in one message: received digests cost processor time in proportion.
MAX_DIGESTS: Final = 2
# Lag of the own loop that is ignored, in s, and relative to the observed time.
MIN_LAG_S: Final = 0.005
MAX_LAG_RATIO: Final = 0.1
# Time for which lags are kept, in s.
LAG_MEMORY_S: Final = 10.0
# Smoothing factor of the typical time of a route of a plain service.
TYPICAL_SMOOTHING: Final = 0.05
# Change of an estimate that is logged, and the time between two log lines of
# one endpoint, in s.
LOGGED_CHANGE: Final = 0.25
LOG_INTERVAL_S: Final = 10.0
# Largest factor by which time limits of silent endpoints are stretched.
MAX_TIMEOUT_STRETCH: Final = 2.0

# Where evidence is from: a peer, a data centre, or all other data centres.
Source = tuple[str, VmId | DcId]
OTHER_DCS: Final[Source] = ('dcs', DcId(''))


@attrs.define
class SpeedSum:
    """Weighted sums of observations.

    Attributes:
        weight: Sum of the weights.
        ratios: Sum of weight times observed time relative to the predicted one.
        reports: Sum of weight times the slowdown reported at the send.
    """

    weight: float = 0.0
    ratios: float = 0.0
    reports: float = 0.0

    def add(self, other: 'SpeedSum', factor: float = 1.0) -> None:
        """Add other sums, scaled."""
        self.weight += factor * other.weight
        self.ratios += factor * other.ratios
        self.reports += factor * other.reports

    def scale(self, factor: float) -> None:
        """Scale all sums."""
        self.weight *= factor
        self.ratios *= factor
        self.reports *= factor


@attrs.define
class Evidence:
    """Observations of one endpoint from one source.

    Attributes:
        started_ms: Start of the endpoint's run that was observed, in Unix ms.
        at: Loop time up to which the weights have decayed, in s.
        observed_at: Loop time of the latest change, in s.
        ranges: Sums by number of the range of fill ratio.
    """

    started_ms: int
    at: float
    observed_at: float
    ranges: dict[int, SpeedSum] = attrs.field(factory=dict)

    @property
    def total(self) -> SpeedSum:
        """Sums over all ranges."""
        total = SpeedSum()
        for each in self.ranges.values():
            total.add(each)
        return total

    def decay(self, now: float) -> None:
        """Reduce the weights for the time that has passed."""
        if now <= self.at:
            return
        factor = 0.5**((now - self.at) / HALF_LIFE_S)
        self.at = now
        for each in self.ranges.values():
            each.scale(factor)

    def add(self, other: 'Evidence', max_weight: float) -> None:
        """Add evidence of the same loop time, with its weight capped."""
        weight = other.total.weight
        factor = min(1.0, max_weight / weight) if weight else 0.0
        for fill_range, sums in other.ranges.items():
            self.ranges.setdefault(fill_range, SpeedSum()).add(sums, factor)
        self.observed_at = max(self.observed_at, other.observed_at)


@attrs.frozen
class SpeedDigest:
    """Evidence on one endpoint in a message.

    Attributes:
        started_ms: Start of the endpoint's run that was observed, in Unix ms.
        ranges: Sums by number of the range of fill ratio.
    """

    endpoint: EndpointId
    started_ms: int
    ranges: Mapping[int, SpeedSum]


@attrs.frozen
class Prediction:
    """Time that a send was predicted to take.

    Attributes:
        work_s: Time in s that the constants give for the endpoint's work; for a
            plain service, the typical time of the route, or 0 if not known.
        fetch_s: Time to fetch stored parts of the prompt, in s.
        fill_ratio: The endpoint's fill ratio with this request.
        reported: Its slowdown by a report that was new at the send, or None.
        slowdown: Slowdown that was expected.
    """

    work_s: float
    fetch_s: float
    fill_ratio: float
    reported: float | None
    slowdown: float = 1.0


@attrs.frozen
class Estimate:
    """Learned speed of one endpoint.

    Attributes:
        slowdown: Time that work takes, relative to the constants.
        by_range: The same by range of fill ratio.
        reported: Mean slowdown reported at the times of the observations, by
            range of fill ratio: an endpoint that is slow for a moment is also
            fuller then.
        weight: Weight of the evidence.
        observed_at: Loop time of the latest evidence, in s; -inf for none.
        common: Median slowdown of the service's endpoints.
    """

    slowdown: float = 1.0
    by_range: tuple[float, ...] = (1.0,) * (len(FILL_BOUNDS) + 1)
    reported: tuple[float, ...] = (1.0,) * (len(FILL_BOUNDS) + 1)
    weight: float = 0.0
    observed_at: float = -math.inf
    common: float = 1.0

    @property
    def relative(self) -> float:
        """Slowdown relative to the service's median."""
        return self.slowdown / self.common


NO_ESTIMATE: Final = Estimate()


def range_of(fill_ratio: float) -> int:
    """Return the number of the range to which a fill ratio belongs."""
    return bisect.bisect_right(FILL_BOUNDS, fill_ratio)


def slowdown_for(estimate: Estimate, fill_ratio: float, work_s: float,
                 reported: float | None) -> float:
    """Return the expected slowdown of some work.

    Args:
        estimate: Learned speed of the endpoint.
        fill_ratio: Its fill ratio.
        work_s: Time that the constants predict, in s.
        reported: Slowdown in a new report, or None. It is expected to last for
            `REPORT_VALIDITY_S`; work beyond that takes the learned time.
    """
    fill_range = range_of(fill_ratio)
    learned = estimate.by_range[fill_range]
    if reported is None:
        return learned
    current = learned * reported / estimate.reported[fill_range]
    if work_s * current <= REPORT_VALIDITY_S:
        return current
    done_s = REPORT_VALIDITY_S / current
    return (REPORT_VALIDITY_S + (work_s - done_s) * learned) / work_s


def timeout_stretch(slowdown: float) -> float:
    """Return the factor for time limits of an endpoint's silence."""
    return min(MAX_TIMEOUT_STRETCH, max(1.0, slowdown))


@attrs.define
class LoopLag:
    """Lags of this VM's own event loop.

    Attributes:
        tick_due_at: Loop time at which the periodic timer is due, in s.
        lags: Lags of recent ticks above `MIN_LAG_S`, with their loop times.
    """

    tick_due_at: float = math.inf
    lags: list[tuple[float, float]] = attrs.field(factory=list)

    def record_tick(self, now: float) -> None:
        """Record that the periodic timer fired."""
        lag_s = now - self.tick_due_at
        self.lags = [each for each in self.lags if each[0] > now - LAG_MEMORY_S]
        if lag_s > MIN_LAG_S:
            self.lags.append((now, lag_s))

    def since(self, start: float, now: float) -> float:
        """Return the largest lag since a loop time, in s."""
        return max(0.0, now - self.tick_due_at,
                   *(lag_s for at, lag_s in self.lags if at >= start))


@attrs.define
class SpeedTable:
    """Evidence and estimates of the speed of endpoints.

    Attributes:
        services: Services whose endpoints report a slowdown.
        own: This VM's own observations.
        received: Evidence of other VMs, by endpoint and source.
        estimates: Estimates as of the last refresh.
        refreshed_at: Loop time of that, in s.
        typical_s: Typical time of an answer by plain service and route, in s.
        digested_at: Loop time of the latest digest by kind of message and
            endpoint, in s.
        logged: Slowdown in the latest log line of each endpoint, with its loop
            time in s.
        lag: Lags of this VM's own loop.
    """

    services: set[ServiceId] = attrs.field(factory=set)
    own: dict[EndpointId, Evidence] = attrs.field(factory=dict)
    received: dict[EndpointId, dict[Source,
                                    Evidence]] = attrs.field(factory=dict)
    estimates: dict[EndpointId, Estimate] = attrs.field(factory=dict)
    refreshed_at: float = -math.inf
    typical_s: dict[tuple[ServiceId, str], float] = attrs.field(factory=dict)
    digested_at: dict[tuple[str, EndpointId], float] = attrs.field(factory=dict)
    logged: dict[EndpointId, tuple[float, float]] = attrs.field(factory=dict)
    lag: LoopLag = attrs.field(factory=LoopLag)

    def estimate(self, endpoint: EndpointId) -> Estimate:
        """Return the learned speed of an endpoint."""
        return self.estimates.get(endpoint, NO_ESTIMATE)

    def observe(self, endpoint: EndpointId, started_ms: int,
                prediction: Prediction, sent_at: float, now: float) -> bool:
        """Add the time from a send to its first event, or to its answer.

        Args:
            endpoint: The endpoint.
            started_ms: Start of its run, in Unix ms.
            prediction: Prediction at the send.
            sent_at: Loop time of the send, in s.
            now: Loop time at which the event was handled, in s.

        Returns:
            Whether it counts. It does not if it was mostly a fetch, or if this
            VM's own loop was late meanwhile.
        """
        observed_s = now - sent_at
        work_s = prediction.work_s
        if work_s <= 0.0 or prediction.fetch_s > observed_s / 2:
            return False
        if self.lag.since(sent_at, now) > max(MIN_LAG_S,
                                              MAX_LAG_RATIO * observed_s):
            return False
        ratio = (observed_s - prediction.fetch_s) / work_s
        ratio = max(MIN_RATIO, min(MAX_RATIO, ratio))
        fill_range = range_of(prediction.fill_ratio)
        reported = (prediction.reported or
                    self.estimate(endpoint).reported[fill_range])
        weight = min(MAX_OBSERVATION_WEIGHT, work_s / UNIT_WEIGHT_S)
        evidence = self.own.get(endpoint)
        if evidence is None or evidence.started_ms != started_ms:
            evidence = self.own[endpoint] = Evidence(started_ms, now, now)
        evidence.decay(now)
        evidence.observed_at = now
        evidence.ranges.setdefault(fill_range, SpeedSum()).add(
            SpeedSum(weight, weight * ratio, weight * reported))
        return True

    def observe_typical(self, service: ServiceId, route: str,
                        answer_s: float) -> None:
        """Add the time of an answer to the typical one of its route, in s."""
        previous = self.typical_s.get((service, route), answer_s)
        self.typical_s[service, route] = (previous + TYPICAL_SMOOTHING *
                                          (answer_s - previous))

    def receive(self, source: Source, digests: Iterable[SpeedDigest],
                now: float) -> None:
        """Replace what a source stated of some endpoints before."""
        for each in digests:
            sources = self.received.setdefault(each.endpoint, {})
            # All other data centres include each single one.
            for other in [
                    known for known in sources if known[0] != 'vm' and
                    source[0] != 'vm' and known[0] != source[0]
            ]:
                del sources[other]
            sources[source] = Evidence(
                each.started_ms, now, now, {
                    fill_range: SpeedSum(sums.weight, sums.ratios, sums.reports)
                    for fill_range, sums in each.ranges.items()
                })

    def merged(self, endpoint: EndpointId, started_ms: int, now: float,
               kinds: Iterable[str]) -> Evidence:
        """Return the sum of the evidence on an endpoint's present run.

        Args:
            endpoint: The endpoint.
            started_ms: Start of its run, in Unix ms.
            now: Loop time in s.
            kinds: Kinds of sources that count: `own`, `vm`, `dc` and `dcs`.
        """
        total = Evidence(started_ms, now, -math.inf)
        own = self.own.get(endpoint)
        if own is not None and own.started_ms == started_ms and 'own' in kinds:
            own.decay(now)
            total.add(own, MAX_VM_WEIGHT)
        for (kind, _), each in self.received.get(endpoint, {}).items():
            if kind in kinds and each.started_ms == started_ms:
                each.decay(now)
                total.add(each,
                          MAX_VM_WEIGHT if kind == 'vm' else MAX_DC_WEIGHT)
        return total

    def refresh(self, services: Mapping[ServiceId, Mapping[EndpointId, int]],
                now: float) -> None:
        """Compute all estimates anew.

        Args:
            services: Endpoints of each service, with the start of their run in
                Unix ms.
            now: Loop time in s.
        """
        self.refreshed_at = now
        self._drop_negligible(services, now)
        self.estimates = {}
        for endpoints in services.values():
            evidence = {
                name:
                    self.merged(name, started_ms, now,
                                ('own', 'vm', 'dc', 'dcs'))
                for name, started_ms in endpoints.items()
            }
            common = _common_slowdown(evidence.values())
            for name, each in evidence.items():
                self.estimates[name] = _estimate(each, common)

    def digests(self, kind: str, endpoints: Mapping[EndpointId, int],
                sources: Iterable[str], now: float) -> tuple[SpeedDigest, ...]:
        """Return digests that are due in one kind of message, oldest first.

        Args:
            kind: Kind of the message.
            endpoints: Endpoints that may be stated, with the start of their run
                in Unix ms.
            sources: Kinds of sources whose evidence is stated.
            now: Loop time in s.
        """
        due = sorted(
            (self.digested_at.get((kind, name), -math.inf), name)
            for name in endpoints
            if self._is_digest_due(kind, name, sources, now))[:MAX_DIGESTS]
        for _, name in due:
            self.digested_at[kind, name] = now
        return tuple(
            SpeedDigest(name, endpoints[name],
                        self.merged(name, endpoints[name], now, sources).ranges)
            for _, name in due)

    def _is_digest_due(self, kind: str, endpoint: EndpointId,
                       sources: Iterable[str], now: float) -> bool:
        digested_at = self.digested_at.get((kind, endpoint), -math.inf)
        if now - digested_at < DIGEST_INTERVAL_S:
            return False
        since = now - DIGEST_REPEAT_S
        own = self.own.get(endpoint)
        if own is not None and own.observed_at >= since and 'own' in sources:
            return True
        return any(each.observed_at >= since and source_kind in sources
                   for (source_kind,
                        _), each in self.received.get(endpoint, {}).items())

    def changes_to_log(self,
                       now: float) -> Iterator[tuple[EndpointId, Estimate]]:
        """Yield estimates that changed by a quarter since they were logged."""
        for name, each in self.estimates.items():
            logged, at = self.logged.get(name, (1.0, -math.inf))
            if (abs(each.slowdown / logged - 1.0) >= LOGGED_CHANGE and
                    now - at >= LOG_INTERVAL_S):
                self.logged[name] = each.slowdown, now
                yield name, each

    def _drop_negligible(self, services: Mapping[ServiceId, Mapping[EndpointId,
                                                                    int]],
                         now: float) -> None:
        """Drop evidence on endpoints that are gone, and what has decayed."""
        known = {name for names in services.values() for name in names}
        for name in [each for each in self.own if each not in known]:
            del self.own[name]
        for name in [each for each in self.received if each not in known]:
            del self.received[name]
        self.digested_at = {
            key: at for key, at in self.digested_at.items() if key[1] in known
        }
        self.logged = {
            name: each for name, each in self.logged.items() if name in known
        }
        for sources in self.received.values():
            for source, each in list(sources.items()):
                if now - each.observed_at > MAX_EVIDENCE_AGE_S:
                    del sources[source]


def _common_slowdown(evidence: Iterable[Evidence]) -> float:
    """Return the median slowdown of a service's endpoints."""
    totals = [each.total for each in evidence]
    return statistics.median([
        each.ratios / each.weight
        for each in totals
        if each.weight >= MIN_WEIGHT
    ] or [1.0])


def _estimate(evidence: Evidence, common: float) -> Estimate:
    """Return the estimate for one endpoint.

    Args:
        evidence: All evidence on it.
        common: Median slowdown of its service.
    """
    total = evidence.total
    ranges = [
        evidence.ranges.get(number, SpeedSum())
        for number in range(len(FILL_BOUNDS) + 1)
    ]
    slowdown = _drawn(total.ratios, total.weight, common, PRIOR_WEIGHT)
    reported = _drawn(total.reports, total.weight, 1.0, PRIOR_WEIGHT)
    return Estimate(
        slowdown,
        tuple(
            _drawn(each.ratios, each.weight, slowdown, RANGE_PRIOR_WEIGHT)
            for each in ranges),
        tuple(
            _drawn(each.reports, each.weight, reported, RANGE_PRIOR_WEIGHT)
            for each in ranges), total.weight, evidence.observed_at, common)


def _drawn(weighted_sum: float, weight: float, prior: float,
           prior_weight: float) -> float:
    """Return a weighted mean, drawn to a prior value."""
    return (weighted_sum + prior_weight * prior) / (weight + prior_weight)


def capacity(estimates: Iterable[Estimate]) -> float:
    """Return the work that endpoints can do, in endpoints of usual speed.

    Rounded to tenths, so that VMs with slightly different estimates mostly
    compute the same shares.
    """
    return round(sum(1.0 / each.relative for each in estimates), 1)
