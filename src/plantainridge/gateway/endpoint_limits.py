"""Limits of cold and brittle endpoints that all VMs share.

A cold endpoint tolerates a number of requests a second from all VMs together.
A few VMs, the first ones by rendezvous hash, send to it, each from a token
bucket of its own: no message between VMs is needed, and VMs that do not reach
each other cannot exceed the limit. Made for several endpoints that return to 20
to 400 VMs at the same instant and look idle to all of them.

A brittle endpoint fails if it rejects too many requests in one second. Each VM
has a share of its slots. It uses more only while a recent load report shows
free ones, and keeps to its share for some time after a rejection.

An endpoint in need states a rate for all VMs together (see `stated_rates`).

`docs/design/endpoint-limits.md` has the calculation of the rates.
"""

import functools
import math
from collections.abc import (Callable, Collection, Iterable, Iterator, Sequence)
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import hints, peer_ranks, stated_rates
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import AnswerHead, View, VmEntry
from plantainridge.gateway.peer_loads import PeerLoad
from plantainridge.gateway.requests import Call, PlacementFailure
from plantainridge.gateway.stated_rates import RateLimit, RateTable
from plantainridge.gateway.token_buckets import (BUCKET_REQUESTS, TokenBucket)
from plantainridge.ids import DcId, EndpointId, ServiceId, VmId
from plantainridge.loop.effects import Effect, LogLine, Observe

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# VMs that send to one cold endpoint, at most. More of them would spend the
# limit on full buckets; fewer would leave it unused, as each VM gets few
# requests.
MAX_ADMITTING_VMS: Final = 3
# Requests per s of one VM below which fewer VMs send instead.
MIN_RATE_PER_S: Final = 1.0
# Lists of VMs that may be in force at once, each with its own admitting VMs.
MAX_LISTS: Final = 2
# Time in which sends can arrive within one second at the endpoint, in s: their
# times of travel differ.
ARRIVAL_WINDOW_S: Final = 1.1
# Longest coldness that is believed, in s.
MAX_COLD_S: Final = 60.0
# Time after the end of coldness within which the other VMs join, in s.
JOIN_S: Final = 1.0
# Time after the first read of the VMs from which their list is complete if it
# was read again, in s: the entries and hints of VMs that start together arrive
# meanwhile, and a hint of a VM that is not listed causes another read.
LIST_SETTLE_S: Final = 0.9
# Time without a hint after which a VM of this data centre is silent, in s. The
# list must be unchanged for as long before a substitute sends.
SILENCE_S: Final = 15.0
# Age of the list of VMs beyond which no substitute sends, in s: longer than the
# time after which a VM reads it without a relay.
MAX_LIST_AGE_S: Final = 10.0
# Time for which a service counts as brittle after its last statement, in s.
BRITTLE_MEMORY_S: Final = 10.0
# Window in which brittle endpoints count rejections, in s.
REJECTION_WINDOW_S: Final = 1.0
# Time after a rejection for which a VM keeps to its own slots, in s, times the
# rejections that the endpoint survives and divided by the VMs, and its limit:
# all VMs together then cause a quarter of these rejections.
REJECTION_PAUSE_RATIO: Final = 4.0
MAX_REJECTION_PAUSE_S: Final = 10.0
# Share of a brittle endpoint's slots below which VMs use more than their own,
# and the age of a load report that may show it, in s.
SHARED_SLOT_RATIO: Final = 0.7
MAX_REPORT_AGE_S: Final = 0.5
# Requests without such a report, in the time in which an endpoint survives one
# rejection, from all VMs together.
PROBES_PER_REJECTION: Final = 0.5
# Time in which a full brittle endpoint is expected to free a slot, in s.
SLOT_WAIT_S: Final = 0.05


@attrs.frozen
class AdmissionRate:
    """How many VMs send to a cold endpoint, and how fast.

    Attributes:
        vms: VMs of one list that send.
        rate_per_s: Requests per s of each of them.
    """

    vms: int
    rate_per_s: float


@functools.lru_cache
def admission_rate(requests_per_s: float, overrun: float,
                   slack: float) -> AdmissionRate:
    """Return by how many VMs and how fast a cold endpoint is served.

    The buckets of all VMs of two lists without a common VM stay within the
    limit in any one second, also if all were full before.

    Args:
        requests_per_s: Requests per s that the endpoint tolerates.
        overrun: Multiple of them that may reach it in one second.
        slack: Requests beyond that multiple.
    """
    limit = requests_per_s * overrun + slack
    rate = 0.0
    for vms in range(MAX_ADMITTING_VMS, 0, -1):
        per_vm = limit / (MAX_LISTS * vms) - BUCKET_REQUESTS
        rate = min(per_vm / ARRIVAL_WINDOW_S, requests_per_s / vms)
        if rate >= MIN_RATE_PER_S:
            return AdmissionRate(vms, rate)
    return AdmissionRate(1, max(0.0, rate))


@attrs.define
class ColdEndpoint:
    """An endpoint that is cold, or was within the last second.

    Attributes:
        bucket: What this VM may send to it.
        source: What stated it first: `registry` or `answer`.
        entry_until: Loop time at which its coldness ends by its latest entry,
            in s.
        answer_until: The same by its answers.
        sends: Sends of this VM while it was cold.
        is_logged: Whether its coldness was logged.
    """

    bucket: TokenBucket
    source: str
    entry_until: float = -math.inf
    answer_until: float = -math.inf
    sends: int = 0
    is_logged: bool = False

    @property
    def until(self) -> float:
        """Loop time at which its coldness ends, in s."""
        return max(self.entry_until, self.answer_until)


@attrs.define
class BrittleService:
    """A service whose endpoints state that rejections make them fail.

    Attributes:
        max_rejections_per_s: Rejections in one second that an endpoint
            survives.
        since: Loop time of the first statement, in s.
        stated_at: Loop time of the latest statement, in s.
        is_logged: Whether this was logged.
    """

    max_rejections_per_s: int
    since: float
    stated_at: float
    is_logged: bool = False


@attrs.define
class BrittleLoad:
    """What this VM did to one brittle endpoint.

    Attributes:
        rejected_at: Loop times of the rejections that it caused within the
            window, in s, oldest first.
        unreported: Its sends since the endpoint's latest load report.
        sent_at: Loop time of its latest send, in s; -inf before the first.
    """

    rejected_at: list[float] = attrs.field(factory=list)
    unreported: int = 0
    sent_at: float = -math.inf

    def record_rejection(self, now: float) -> None:
        """Count a rejection."""
        self.rejected_at = [
            at for at in self.rejected_at if at > now - MAX_REJECTION_PAUSE_S
        ]
        self.rejected_at.append(now)

    def opens_at(self, max_rejections: int, window_s: float) -> float:
        """Return the loop time from which it may cause another rejection.

        Args:
            max_rejections: Rejections that this VM may cause in a window.
            window_s: Length of the window, in s.
        """
        if len(self.rejected_at) < max_rejections:
            return -math.inf
        return self.rejected_at[-max_rejections] + window_s


@attrs.define
class VmList:
    """The registered VMs in the order in which they serve limited endpoints.

    Attributes:
        changed_at: Loop time at which a VM was last added, in s.
        ranked: Order of the VMs by endpoint, filled on demand.
        counts: Number of VMs by data centre, filled on demand.
        silent: VMs that were silent at the latest check.
        checked_at: Loop time of that check, in s.
    """

    changed_at: float = -math.inf
    ranked: dict[EndpointId, list[VmId]] = attrs.field(factory=dict)
    counts: dict[DcId, int] = attrs.field(factory=dict)
    silent: frozenset[VmId] = frozenset()
    checked_at: float = -math.inf

    def record_changed(self, now: float) -> None:
        """Record that a VM was added or moved to another data centre."""
        self.changed_at = now
        self.ranked.clear()
        self.counts.clear()


@attrs.define
class EndpointLimits:
    """Cold and brittle endpoints that this VM knows.

    Attributes:
        cold: Cold endpoints.
        brittle: Brittle services.
        loads: This VM's sends and rejections at endpoints of brittle services.
        rates: Rates that endpoints in need state.
        vms: The registered VMs.
    """

    cold: dict[EndpointId, ColdEndpoint] = attrs.field(factory=dict)
    brittle: dict[ServiceId, BrittleService] = attrs.field(factory=dict)
    loads: dict[EndpointId, BrittleLoad] = attrs.field(factory=dict)
    rates: RateTable = attrs.field(factory=RateTable)
    vms: VmList = attrs.field(factory=VmList)

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint is limited."""
        return not (self.cold or self.brittle or self.rates.limits)

    def record_entry(self, endpoint: EndpointId, remaining_s: float,
                     now: float) -> None:
        """Record for how long an endpoint stays cold by its entry, in s.

        The latest entry counts: older ones may be applied again before it.
        """
        if remaining_s > 0.0:
            cold = self._cold_endpoint(endpoint, 'registry', now)
            cold.entry_until = now + min(remaining_s, MAX_COLD_S)
        elif endpoint in self.cold:
            cold = self.cold[endpoint]
            cold.entry_until = min(cold.entry_until, now)

    def record_answer(self, endpoint: EndpointId, remaining_s: float,
                      now: float) -> None:
        """Record for how long an endpoint stays cold by an answer, in s.

        An entry from before does not end this, nor an answer from before.
        """
        cold = self._cold_endpoint(endpoint, 'answer', now)
        cold.answer_until = max(cold.answer_until,
                                now + min(remaining_s, MAX_COLD_S))

    def _cold_endpoint(self, endpoint: EndpointId, source: str,
                       now: float) -> ColdEndpoint:
        """Return a cold endpoint; one whose coldness has ended begins anew."""
        known = self.cold.get(endpoint)
        if known is None or now >= known.until:
            known = ColdEndpoint(TokenBucket(now), source)
            self.cold[endpoint] = known
        return known


def rank_vms(entries: Iterable[VmEntry], endpoint: EndpointId,
             dc: DcId) -> list[VmId]:
    """Return the VMs in the order in which they serve a limited endpoint.

    Those of its data centre come first.
    """
    ranked = sorted(
        entries,
        key=lambda each:
        (each.dc != dc, peer_ranks.rendezvous_hash(each.vm, endpoint)))
    return [each.vm for each in ranked]


def is_admitting(own: VmId, ranked: Sequence[VmId], count: int,
                 silent: Collection[VmId]) -> bool:
    """Return whether a VM is one of the few that serve a limited endpoint.

    The first VMs do in any case. Substitutes of silent ones
    come from as many next VMs, so that at most twice the number serves.

    Args:
        own: The VM.
        ranked: All VMs in their order for the endpoint.
        count: VMs that serve it.
        silent: VMs that are known to be silent.
    """
    candidates = ranked[:2 * count]
    if own not in candidates:
        return False
    rank = candidates.index(own)
    return rank - sum(vm in silent for vm in candidates[:rank]) < count


def slot_share(slots: int, rank: int, vms: int) -> int:
    """Return how many slots of a brittle endpoint are a VM's own.

    The shares of all VMs add up to the slots, so that VMs that keep to them
    cause no rejection, whatever they receive from each other.

    Args:
        slots: Requests that the endpoint runs at once.
        rank: Rank of the VM for the endpoint, from 0.
        vms: VMs that share the slots.
    """
    if rank >= vms:
        return 0
    return slots // vms + (rank < slots % vms)


# --- Use by the reducer -----------------------------------------------------


def admitted(state: 'GatewayState', views: list[EndpointView],
             now: float) -> list[EndpointView]:
    """Return the endpoints to which the limits allow a send now."""
    if state.endpoint_limits.is_empty:
        return views
    peers = hints.peer_load_lookup(state, now)
    return [view for view in views if _opens_at(state, view, peers, now) <= now]


def opens_at(state: 'GatewayState', call: Call, now: float) -> float:
    """Return the loop time from which this VM may send a request, in s.

    Returns:
        The earliest time at which an endpoint is available and its limits allow
        it.
    """
    peers = hints.peer_load_lookup(state, now)
    return min((max(view.available_at, _opens_at(state, view, peers, now))
                for view in state.endpoints.values()
                if view.entry.service == call.service and
                not view.is_leaving and view.entry.id not in call.tried and
                (call.build is None or view.entry.build == call.build)),
               default=math.inf)


def has_urgent_before(state: 'GatewayState', call: Call, now: float) -> bool:
    """Return whether more urgent requests wait for the same limits.

    A request that arrives must not take what they wait for.
    """
    if state.endpoint_limits.is_empty or call.wait_reason is not None:
        return False
    return any(each.service == call.service and each.urgency < call.urgency and
               each.wait_reason is PlacementFailure.ALL_LIMITED
               for each in state.calls.waiting(now))


def record_send(state: 'GatewayState', view: EndpointView, call: Call,
                now: float) -> Iterator[Effect]:
    """Count a send to a limited endpoint."""
    limits, name = state.endpoint_limits, view.entry.id
    if limits.is_empty:
        return
    if view.entry.service in limits.brittle:
        load = limits.loads.setdefault(name, BrittleLoad())
        load.unreported += 1
        load.sent_at = now
    cold, rate = limits.cold.get(name), _cold_rate_of(state, view)
    if cold is not None and rate is not None and now < cold.until:
        cold.bucket.take(rate.rate_per_s, now)
        cold.sends += 1
        yield Observe('cold_send_wait_s', '', view.entry.service,
                      now - call.arrived_at)
    limit = limits.rates.limits.get(name)
    if limit is not None:
        rank, vms = _rank(state, view, now)
        limit.record_send(_own_rate(state, view, limit, now), rank, vms, now)


def record_head(state: 'GatewayState', view: EndpointView, head: AnswerHead,
                sent_at: float, now: float) -> None:
    """Record what the head of an endpoint's answer states of its limits.

    Args:
        state: The VM's state; changed in place.
        view: The endpoint.
        head: The head.
        sent_at: Loop time at which the request was sent, in s.
        now: Loop time in s.
    """
    if head.instance not in ('', view.entry.id):
        return
    limits, service = state.endpoint_limits, view.entry.service
    if head.cold_remaining_s:
        limits.record_answer(view.entry.id, head.cold_remaining_s, now)
    if head.max_rejections_per_s is None:
        if head.signed:
            limits.brittle.pop(service, None)
    elif service in limits.brittle:
        known = limits.brittle[service]
        known.max_rejections_per_s = head.max_rejections_per_s
        known.stated_at = now
    else:
        limits.brittle[service] = BrittleService(head.max_rejections_per_s, now,
                                                 now)
    if head.max_requests_per_s is not None or (head.signed and
                                               not head.invalid_rate):
        limits.rates.record_answer(view.entry.id, view.entry.started_ms,
                                   head.max_requests_per_s, sent_at, now)
    load = limits.loads.get(view.entry.id)
    if load is not None and head.load is not None:
        load.unreported = 0


def record_rejection(state: 'GatewayState', view: EndpointView,
                     now: float) -> Iterator[Effect]:
    """Count a rejection that this VM caused at a brittle endpoint."""
    limits = state.endpoint_limits
    brittle = limits.brittle.get(view.entry.service)
    if brittle is None:
        return
    load = limits.loads.setdefault(view.entry.id, BrittleLoad())
    load.record_rejection(now)
    count = sum(at > now - REJECTION_WINDOW_S for at in load.rejected_at)
    yield Observe('brittle_rejections_1s', '', view.entry.service, count)
    yield LogLine('brittle_rejection',
                  (('endpoint', view.entry.id), ('in_window', count),
                   ('max_rejections_per_s', brittle.max_rejections_per_s)))


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Log limits that began or ended, and forget those that ended."""
    limits = state.endpoint_limits
    if limits.is_empty:
        limits.loads.clear()
        limits.vms.ranked.clear()
        return
    for name, cold in list(limits.cold.items()):
        yield from _log_cold(state, name, cold, now)
    for service, brittle in list(limits.brittle.items()):
        if not brittle.is_logged:
            brittle.is_logged = True
            yield LogLine(
                'service_brittle',
                (('service', service),
                 ('max_rejections_per_s', brittle.max_rejections_per_s)))
        if now - brittle.stated_at > BRITTLE_MEMORY_S:
            del limits.brittle[service]
    for name, limit in list(limits.rates.limits.items()):
        yield from _log_rate(state, name, limit, now)


def _log_rate(state: 'GatewayState', name: EndpointId, limit: RateLimit,
              now: float) -> Iterator[Effect]:
    """Log a new or changed rate, and its end; forget one that has ended."""
    view = state.endpoints.get(name)
    if (view is None or view.entry.started_ms != limit.started_ms or
            limit.is_over(now)):
        del state.endpoint_limits.rates.limits[name]
        yield LogLine('endpoint_rate_ended',
                      (('endpoint', name), ('sends', limit.sends),
                       ('stated', int(limit.requests_per_s is None))))
        return
    if limit.is_to_be_logged:
        limit.logged_rate = limit.requests_per_s
        yield LogLine(
            'endpoint_rate_limited',
            (('endpoint', name),
             ('requests_per_s', limit.requests_per_s or 0.0),
             ('source', limit.source.value),
             ('own_per_s', round(_own_rate(state, view, limit, now), 3))))


def _log_cold(state: 'GatewayState', name: EndpointId, cold: ColdEndpoint,
              now: float) -> Iterator[Effect]:
    """Log a cold endpoint once, and once more when all VMs have joined."""
    view = state.endpoints.get(name)
    if view is None or now >= cold.until + JOIN_S:
        del state.endpoint_limits.cold[name]
        yield LogLine('endpoint_warm',
                      (('endpoint', name), ('sends', cold.sends)))
        return
    rate = _cold_rate_of(state, view)
    if cold.is_logged or rate is None:
        return
    cold.is_logged = True
    is_one = _is_one_of_few(state, view, rate.vms, now)
    yield LogLine('endpoint_cold',
                  (('endpoint', name), ('source', cold.source),
                   ('remaining_s', round(cold.until - now, 3)),
                   ('vms', rate.vms), ('admits', int(is_one)),
                   ('rate_per_s', round(rate.rate_per_s, 2) if is_one else 0)))


def _opens_at(state: 'GatewayState', view: EndpointView,
              peers: Callable[[EndpointId], PeerLoad], now: float) -> float:
    """Return the loop time from which the limits allow a send, in s."""
    return max(_cold_opens_at(state, view, now),
               _brittle_opens_at(state, view, peers, now),
               _rate_opens_at(state, view, now))


def _cold_rate_of(state: 'GatewayState',
                  view: EndpointView) -> AdmissionRate | None:
    """Return how an endpoint is served while it is cold; None if as usual."""
    service = state.config.services.get(view.entry.service)
    if service is None or service.cold_requests_per_s <= 0.0:
        return None
    bounds = state.settings.bounds
    return admission_rate(service.cold_requests_per_s, bounds.cold_overrun,
                          bounds.cold_slack)


def _cold_opens_at(state: 'GatewayState', view: EndpointView,
                   now: float) -> float:
    """Return the loop time from which coldness allows a send, in s."""
    cold = state.endpoint_limits.cold.get(view.entry.id)
    rate = _cold_rate_of(state, view) if cold is not None else None
    if cold is None or rate is None:
        return -math.inf
    joins_at = cold.until + JOIN_S
    if not _is_list_complete(state, now):
        return joins_at
    ranked = _ranked(state, view)
    rank = ranked.index(state.settings.vm)
    joins_at = cold.until + JOIN_S * rank / len(ranked)
    if now < cold.until and _is_one_of_few(state, view, rate.vms, now):
        return min(joins_at, cold.bucket.opens_at(rate.rate_per_s))
    return joins_at


def _rate_opens_at(state: 'GatewayState', view: EndpointView,
                   now: float) -> float:
    """Return the loop time from which a stated rate allows a send, in s."""
    limit = state.endpoint_limits.rates.limits.get(view.entry.id)
    if limit is None or limit.started_ms != view.entry.started_ms:
        return -math.inf
    rank, vms = _rank(state, view, now)
    return limit.opens_at(_own_rate(state, view, limit, now), rank, vms)


def _rank(state: 'GatewayState', view: EndpointView,
          now: float) -> tuple[int, int]:
    """Return this VM's rank for an endpoint among all VMs, and their number.

    A VM whose list of VMs is not complete comes last.
    """
    if not _is_list_complete(state, now):
        return len(state.peers), len(state.peers)
    ranked = _ranked(state, view)
    return ranked.index(state.settings.vm), len(ranked)


def _own_rate(state: 'GatewayState', view: EndpointView, limit: RateLimit,
              now: float) -> float:
    """Return this VM's share of the rate that an endpoint states, per s."""
    if limit.requests_per_s is None or not _is_list_complete(state, now):
        return 0.0
    rank, vms = _rank(state, view, now)
    local = _vm_count_of(state, view.entry.dc)
    return stated_rates.vm_rate(limit.requests_per_s, rank, local, vms - local)


def _vm_count_of(state: 'GatewayState', dc: DcId) -> int:
    """Return the number of VMs in a data centre."""
    counts = state.endpoint_limits.vms.counts
    if dc not in counts:
        counts[dc] = sum(each.dc == dc for each in state.peers.values())
    return counts[dc]


def _brittle_opens_at(state: 'GatewayState', view: EndpointView,
                      peers: Callable[[EndpointId],
                                      PeerLoad], now: float) -> float:
    """Return the loop time from which brittleness allows a send, in s."""
    limits = state.endpoint_limits
    brittle = limits.brittle.get(view.entry.service)
    if brittle is None:
        return -math.inf
    load = limits.loads.get(view.entry.id, BrittleLoad())
    slots, reported = view.entry.slots, view.load
    rank, vms = _local_rank(state, view, now)
    if len(view.in_flight) < slot_share(slots, rank, vms):
        max_rejections = 1
        if rank < MAX_ADMITTING_VMS:
            max_rejections = max(
                1,
                brittle.max_rejections_per_s // (MAX_LISTS * MAX_ADMITTING_VMS))
        return load.opens_at(max_rejections, REJECTION_WINDOW_S)
    pause_s = max(
        REJECTION_WINDOW_S,
        REJECTION_PAUSE_RATIO * vms / max(1, brittle.max_rejections_per_s))
    reopens_at = load.opens_at(1, min(MAX_REJECTION_PAUSE_S, pause_s))
    if now < reopens_at:
        return reopens_at
    if reported is None or now - reported.reported_at > MAX_REPORT_AGE_S:
        if view.in_flight:
            return now + SLOT_WAIT_S
        return _probes_at(state, brittle, load, rank)
    requests = max(
        len(view.in_flight) + peers(view.entry.id).requests,
        reported.running + reported.waiting + load.unreported)
    return now if requests < SHARED_SLOT_RATIO * slots else now + SLOT_WAIT_S


def _probes_at(state: 'GatewayState', brittle: BrittleService,
               load: BrittleLoad, rank: int) -> float:
    """Return the loop time from which a request may show the load, in s.

    VMs begin in the order of their ranks.
    """
    vms = max(1, len(state.peers))
    interval_s = vms / (PROBES_PER_REJECTION *
                        max(1, brittle.max_rejections_per_s))
    if load.sent_at > -math.inf:
        return load.sent_at + interval_s
    return brittle.since + interval_s * (rank + 1) / vms


def _local_rank(state: 'GatewayState', view: EndpointView,
                now: float) -> tuple[int, int]:
    """Return this VM's rank for an endpoint and the VMs that share its slots.

    VMs of other data centres have no share; nor has one whose list of VMs is
    not complete.
    """
    vms = _vm_count_of(state, view.entry.dc) or len(state.peers)
    if not _is_list_complete(state, now):
        return vms, vms
    return _ranked(state, view).index(state.settings.vm), vms


def _is_one_of_few(state: 'GatewayState', view: EndpointView, count: int,
                   now: float) -> bool:
    """Return whether this VM is one of the few that serve an endpoint."""
    if not _is_list_complete(state, now):
        return False
    ranked = _ranked(state, view)
    own = state.settings.vm
    if own in ranked[:count]:
        return True
    if own not in ranked[:2 * count] or view.entry.dc != state.settings.dc:
        return False
    return is_admitting(own, ranked, count, _silent_vms(state, now))


def _is_list_complete(state: 'GatewayState', now: float) -> bool:
    """Return whether this VM knows all VMs that started with it or before."""
    cursor = state.views.cursors[View.VMS]
    return (state.settings.vm in state.peers and
            cursor.read_at > cursor.first_read_at and
            now >= cursor.first_read_at + LIST_SETTLE_S)


def _ranked(state: 'GatewayState', view: EndpointView) -> list[VmId]:
    """Return the order of all VMs for an endpoint."""
    ranked = state.endpoint_limits.vms.ranked
    name = view.entry.id
    if name not in ranked:
        ranked[name] = rank_vms(state.peers.values(), name, view.entry.dc)
    return ranked[name]


def _silent_vms(state: 'GatewayState', now: float) -> frozenset[VmId]:
    """Return the VMs of this data centre that are known to be silent.

    A VM that receives hints of at most half may be cut off, and one whose
    list is old or has just changed may have another order than its peers: it
    counts none as silent.
    """
    vms = state.endpoint_limits.vms
    if (now - vms.changed_at < SILENCE_S or
            state.views.age_s(View.VMS, now) > MAX_LIST_AGE_S):
        return frozenset()
    if now - vms.checked_at < hints.IDLE_INTERVAL_S:
        return vms.silent
    settings, received = state.settings, state.hints.received
    local = [
        vm for vm, entry in state.peers.items()
        if entry.dc == settings.dc and vm != settings.vm
    ]
    silent = frozenset(
        vm for vm in local
        if vm not in received or now - received[vm].at >= SILENCE_S)
    is_majority = 2 * (len(local) + 1 - len(silent)) > len(local) + 1
    vms.checked_at = now
    vms.silent = silent if is_majority else frozenset()
    return vms.silent
