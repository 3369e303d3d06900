"""Hints by which the VMs of a deployment share their load in flight.

VMs that each saw only their own requests would all send to the same engine that
looks idle. A hint costs one datagram per peer in the data centre, and a lost
hint is superseded by the next. In a large deployment most hints go to the data
centre's load reporter alone (see `load_reports`). Hints with suspects go to all
VMs, since a request that crashes engines may be repeated at any of them; so do
hints with engines that loaded new weights, which the VM that orders them sends.

A VM that does not know when a version was named asks in its hints. An answer
repeats the time of the question, so that the version's age counts from there:
it is not taken for younger than it is, however long the answer was on its way.
"""

import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import (endpoint_speed, eras, load_reports, notices,
                                   peer_messages, peer_ranks, relays,
                                   speed_updates, suspects, versions)
from plantainridge.gateway.endpoint_speed import SpeedDigest
from plantainridge.gateway.endpoints import EndpointView
from plantainridge.gateway.events import TimerKind, View, VmEntry
from plantainridge.gateway.load_reports import LoadReportTable
from plantainridge.gateway.peer_loads import (NO_LOAD, PeerLoad, PeerLoadTable)
from plantainridge.gateway.peer_messages import (BrokenSendReport, DcLoad, Hint,
                                                 LoadTotals, OwnLoad,
                                                 RateReports, WeightsLoaded)
from plantainridge.gateway.rates import WindowCount
from plantainridge.gateway.stated_rates import Source
from plantainridge.gateway.suspects import BrokenSend
from plantainridge.ids import DcId, EndpointId, ServiceId, VmId
from plantainridge.loop.effects import Effect, LogLine, SendPeer, SetTimer
from plantainridge.loop.events import Event, TimerKey

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Minimum time between hints to other data centres while engines are loaded, in
# s: traffic between data centres is charged for.
MIN_REMOTE_INTERVAL_S: Final = 0.1
# The same per VM of the deployment, in s; the larger of both bounds applies.
MIN_REMOTE_INTERVAL_PER_VM_S: Final = 0.01
# Number of VMs of the deployment up to which each sends its load to all others.
# Above, one VM of each data centre reports the load of all.
MAX_DIRECT_SHARING_VMS: Final = 12
# Window over which the work that arrives is counted, in s.
WORK_WINDOW_S: Final = 3.0
# Minimum time between two hints to the VM that reports the load, in s.
REPORTER_HINT_INTERVAL_S: Final = 0.25
# Prompt tokens in flight on one engine from which it counts as loaded: their
# prefill takes a good part of a usual latency target.
LOADED_TOKENS: Final = 12_000
# Ratio of an engine's KV cache memory in flight from which it counts as loaded.
LOADED_MEMORY_RATIO: Final = 0.5
# Maximum time between two hints of a VM that has load to report, in s.
MAX_INTERVAL_S: Final = 0.3
# The same for a VM that has none, in s: hints also show that a VM is alive.
IDLE_INTERVAL_S: Final = 1.0
# Time between two hints that ask for the ages of versions, in s: for the first
# of them, and for the others, since peers may not know either.
ASK_INTERVAL_S: Final = 0.2
LATER_ASK_INTERVAL_S: Final = 1.0
FREQUENT_ASKS: Final = 10
# Time from a question to its answer beyond which the ages in it are too old to
# count as precise, in s.
MAX_ANSWER_DELAY_S: Final = 1.0
# Hints that ask in any case if the metadata store returned from an older copy:
# it may show an older version than peers know.
START_ASKS: Final = 3
# Time from a VM's first read of the VMs within which it elects readers among
# all of them, with or without a hint. By then each VM has sent one.
START_GRACE_S: Final = 2.0
# Shortest time between two reads of the VMs meanwhile, in s.
MIN_VM_READ_INTERVAL_S: Final = 0.3
# Time between two hints to other data centres with rates that endpoints stated,
# in s, if there are no reports of load.
RATE_REPORT_INTERVAL_S: Final = 1.0
# Subject of the hash by which a VM chooses whom to ask.
AGES_SUBJECT: Final = 'ages'


@attrs.frozen
class HintReceived(Event):
    """A hint of a peer was received."""

    hint: Hint


@attrs.frozen
class DcLoadReceived(Event):
    """The load of another data centre was received."""

    load: DcLoad


@attrs.frozen
class LoadTotalsReceived(Event):
    """The load of the deployment was received."""

    totals: LoadTotals


@attrs.frozen
class RatesReceived(Event):
    """Rates that endpoints stated to peers were received."""

    message: RateReports


@attrs.define
class ReceivedHint:
    """A peer's latest hint, with the loop time of its receipt in s."""

    hint: Hint
    at: float


@attrs.define
class HintTable:
    """Hints received from peers, and the state of the hints sent.

    Attributes:
        received: Latest hint of each peer.
        number: Sequence number of the last hint sent.
        sent_loads: Loads in the last hint sent.
        sent_at: Loop time of the last hint sent, in s.
        sent_remote_at: Loop time of the last hint sent to other data centres,
            in s.
        reported_loads: Loads in the last hint to the data centre's reporter.
        reported_at: Loop time of that hint, in s.
        loads: Load that peers have in flight.
        weights_loaded: Engines with new weights, to be sent with the next hint.
        asked_at: Loop time of the last hint that asked for the ages of
            versions, in s.
        asks: Number of such hints since this VM last knew all ages.
        start_asks: Number of such hints, up to `START_ASKS`.
        reports: Loads that data centres report to one another.
        arrivals: Prompt tokens that arrived at this VM, by service.
        grace_until: Loop time until which VMs that have not sent a hint count
            as live, in s.
    """

    received: dict[VmId, ReceivedHint] = attrs.field(factory=dict)
    number: int = 0
    sent_loads: dict[EndpointId, OwnLoad] = attrs.field(factory=dict)
    sent_at: float = -math.inf
    sent_remote_at: float = -math.inf
    reported_loads: dict[EndpointId, OwnLoad] = attrs.field(factory=dict)
    reported_at: float = -math.inf
    loads: PeerLoadTable = attrs.field(factory=PeerLoadTable)
    weights_loaded: list[WeightsLoaded] = attrs.field(factory=list)
    asked_at: float = -math.inf
    asks: int = 0
    start_asks: int = 0
    reports: LoadReportTable = attrs.field(factory=LoadReportTable)
    arrivals: dict[ServiceId, WindowCount] = attrs.field(factory=dict)
    grace_until: float = -math.inf


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Send a hint to peers and report the load if either is due."""
    loads = _own_loads(state, now)
    yield from _send_hint(state, loads, now)
    ask_interval_s = (ASK_INTERVAL_S if state.hints.asks < FREQUENT_ASKS else
                      LATER_ASK_INTERVAL_S)
    if now - state.hints.asked_at >= ask_interval_s:
        yield from _ask_ages(state, loads, now)
    if not shares_load_directly(state):
        yield from _report_load(state, loads, now)


def _own_loads(state: 'GatewayState', now: float) -> dict[EndpointId, OwnLoad]:
    return {
        name: own_load(view, now, state.paths.is_lost(view.entry.service))
        for name, view in state.endpoints.items()
        if view.in_flight or view.cooldown_until > now or
        view.unreached_until > now
    }


def _send_hint(state: 'GatewayState', loads: dict[EndpointId, OwnLoad],
               now: float) -> Iterator[Effect]:
    hints = state.hints
    has_suspects = state.suspects.is_urgent(len(state.peers), now)
    is_urgent = has_suspects or bool(hints.weights_loaded)
    if not (is_urgent or state.leaving.is_unsent or _is_due(state, loads, now)):
        return
    hints.sent_loads, hints.sent_at = loads, now
    payload = _next_hint(state,
                         loads,
                         now,
                         speeds=speed_updates.digests(state, 'hint', ('own',),
                                                      now))
    to_remote = is_urgent or _is_remote_due(state, loads, now)
    if to_remote:
        hints.sent_remote_at = now
    hints.reported_loads, hints.reported_at = loads, now
    if to_remote:
        state.suspects.record_sent(now)
    hints.weights_loaded.clear()
    state.leaving.is_unsent = False
    recipients = [
        entry for vm, entry in state.peers.items()
        if vm != state.settings.vm and
        (to_remote or entry.dc == state.settings.dc)
    ]
    for entry in recipients:
        yield SendPeer(entry.vm, entry.address, payload)
    yield from _send_rates(_rates(state, now, Source.OWN), recipients)


def _ask_ages(state: 'GatewayState', loads: dict[EndpointId, OwnLoad],
              now: float) -> Iterator[Effect]:
    """Ask a VM of this data centre, and one elsewhere if needed, for ages."""
    hints, settings = state.hints, state.settings
    needed = _needs_ages(state)
    asks_at_start = state.views.era > 0 and hints.start_asks < START_ASKS
    if not needed and not asks_at_start:
        hints.asks = 0
        return
    others = [each for vm, each in state.peers.items() if vm != settings.vm]
    local = [each for each in others if each.dc == settings.dc]
    remote = [each for each in others if each.dc != settings.dc]
    # VMs that start together ask different ones, and then others.
    turn = hints.asks + peer_ranks.rendezvous_hash(settings.vm, AGES_SUBJECT)
    asked = [
        candidates[turn % len(candidates)]
        for candidates in (local, remote if needed or not local else [])
        if candidates
    ]
    if not asked:
        return
    hints.asked_at, hints.asks = now, hints.asks + 1
    hints.start_asks = min(hints.start_asks + 1, START_ASKS)
    payload = _next_hint(state, loads, now, asked_at=now)
    for entry in asked:
        yield SendPeer(entry.vm, entry.address, payload)


def _needs_ages(state: 'GatewayState') -> bool:
    """Return whether an engine's weights were replaced at an unknown time."""
    return any(
        state.versions.is_replaced_at_unknown(model, version)
        for view in state.endpoints.values() if not view.is_leaving
        for model, version in view.versions.items())


def _forget_gone(state: 'GatewayState') -> None:
    """Stop reporting endpoints as leaving that are gone or have restarted."""
    leaving = state.leaving
    leaving.observed.intersection_update(
        name for name, view in state.endpoints.items()
        if leaving.has_left(name, view.entry.started_ms))


def _next_hint(
    state: 'GatewayState',
    loads: dict[EndpointId, OwnLoad],
    now: float,
    asked_at: float = 0.0,
    answers_at: float = 0.0,
    speeds: tuple[SpeedDigest, ...] = ()) -> bytes:
    hints = state.hints
    hints.number += 1
    _forget_gone(state)
    return peer_messages.encode(
        Hint(state.settings.vm, state.incarnation, hints.number, loads,
             _broken_sends(state, now), tuple(hints.weights_loaded),
             _cannot_read(state, now), _arriving_work(state, now), {
                 name: state.leaving.started_ms[name]
                 for name in state.leaving.observed
             }, state.views.era, asked_at, answers_at,
             state.versions.ages(now) if answers_at else (),
             tuple(state.suspects.cleared), state.suspects.idle_times(now), now,
             speeds, state.suspects.recorded()))


def _rates(state: 'GatewayState', now: float, *sources:
           Source) -> RateReports | None:
    """Return rates that endpoints in need stated lately; None without any."""
    rates = state.endpoint_limits.rates.reports(sources, now)
    is_relayed = Source.REMOTE in sources
    return RateReports(state.settings.vm, is_relayed, rates) if rates else None


def _send_rates(message: RateReports | None,
                entries: Iterable[VmEntry]) -> Iterator[Effect]:
    if message is not None:
        payload = peer_messages.encode(message)
        for entry in entries:
            yield SendPeer(entry.vm, entry.address, payload)


def _broken_sends(state: 'GatewayState',
                  now: float) -> tuple[BrokenSendReport, ...]:
    return tuple(
        BrokenSendReport(each.fingerprint, each.endpoint, each.parts, now -
                         each.sent_at, now - each.broken_at)
        for each in state.suspects.broken)


def record_arrival(state: 'GatewayState', service: ServiceId, tokens: int,
                   now: float) -> None:
    """Count a prompt that arrived at this VM as work for a service."""
    arrivals = state.hints.arrivals
    if service not in arrivals:
        arrivals[service] = WindowCount(WORK_WINDOW_S)
    arrivals[service].add(now, tokens)


def _arriving_work(state: 'GatewayState', now: float) -> dict[ServiceId, float]:
    """Return the work that arrives at this VM, in tokens per s."""
    return {
        service: count.total(now) / WORK_WINDOW_S
        for service, count in state.hints.arrivals.items()
    }


def _report_load(state: 'GatewayState', loads: dict[EndpointId, OwnLoad],
                 now: float) -> Iterator[Effect]:
    """Report this VM's load, or as the reporter that of the data centre."""
    hints = state.hints
    reporter = relays.load_reporter(state, now)
    if reporter == state.settings.vm:
        if now - hints.reports.sent_at >= load_reports.REPORT_INTERVAL_S:
            yield from _send_reports(state, loads, now)
        return
    if (loads != hints.reported_loads and
            now - hints.reported_at >= REPORTER_HINT_INTERVAL_S):
        hints.reported_loads, hints.reported_at = loads, now
        yield SendPeer(reporter, state.peers[reporter].address,
                       _next_hint(state, loads, now))


def _send_reports(state: 'GatewayState', loads: dict[EndpointId, OwnLoad],
                  now: float) -> Iterator[Effect]:
    """Send the load of this data centre to others, and totals to its VMs."""
    settings, reports = state.settings, state.hints.reports
    reports.sent_at = now
    reports.number += 1
    own = DcLoad(
        settings.vm, state.incarnation, reports.number, settings.dc,
        load_reports.add_loads((loads, *_local_loads(state, now))),
        load_reports.add_work((_arriving_work(state,
                                              now), *_local_work(state, now))),
        state.coordination.is_enabled,
        speed_updates.digests(state, 'dc', ('own', 'vm'), now),
        _absent(state, now))
    payload = peer_messages.encode(own)
    remote = [
        state.peers[vm]
        for dc, ranked in relays.load_reporters_by_rank(state).items()
        for vm in reports.recipients(DcId(dc), ranked, now)
    ]
    for entry in remote:
        yield SendPeer(entry.vm, entry.address, payload)
    yield from _send_rates(_rates(state, now, Source.OWN, Source.LOCAL), remote)
    known = [own, *reports.fresh_dc_loads(now)]
    # Hints that are spaced closer than reports are newer.
    has_local = (relays.min_hint_interval_s(state)
                 > load_reports.REPORT_INTERVAL_S)
    totals = LoadTotals(
        settings.vm, state.incarnation, reports.number,
        load_reports.add_loads(
            each.loads for each in known if has_local or each is not own),
        has_local, {each.dc: each.work for each in known},
        {each.dc: each.vm for each in known if each.coordinates},
        speed_updates.digests(state, 'totals', ('dc',), now),
        frozenset(itertools.chain.from_iterable(each.absent for each in known)))
    payload = peer_messages.encode(totals)
    local = relays.local_peers(state)
    for entry in local:
        yield SendPeer(entry.vm, entry.address, payload)
    yield from _send_rates(_rates(state, now, Source.REMOTE), local)
    reports.receive_totals(totals, loads, now)


def _absent(state: 'GatewayState', now: float) -> frozenset[int]:
    """Return hashes of the VMs of this data centre that are not live.

    A VM that has just become the reporter may not have received a hint from
    each of them yet.
    """
    if state.hints.reports.number <= load_reports.REPORTS_WITHOUT_ABSENCES:
        return frozenset()
    return frozenset(
        peer_ranks.short_hash(entry.vm)
        for entry in relays.local_peers(state)
        if not relays.is_live(state, entry.vm, now))


def _local_loads(state: 'GatewayState',
                 now: float) -> Iterator[Mapping[EndpointId, OwnLoad]]:
    """Yield the loads that VMs of this data centre reported lately."""
    state.hints.loads.fresh(now)
    for vm, report in state.hints.loads.reports.items():
        entry = state.peers.get(vm)
        if entry is not None and entry.dc == state.settings.dc:
            yield report.loads


def _local_work(state: 'GatewayState',
                now: float) -> Iterator[Mapping[ServiceId, float]]:
    """Yield the work that arrives at live VMs of this data centre."""
    for entry in relays.live_peers(state, now):
        yield state.hints.received[entry.vm].hint.work


def _cannot_read(state: 'GatewayState', now: float) -> bool:
    """Return whether this VM is not eligible as a reader for its peers."""
    return state.stopping_since is not None or state.views.is_store_unreachable(
        now)


def _is_due(state: 'GatewayState', loads: dict[EndpointId, OwnLoad],
            now: float) -> bool:
    """Return whether a hint to peers in the data centre is due."""
    hints = state.hints
    elapsed_s = now - hints.sent_at
    min_interval_s = relays.min_hint_interval_s(state)
    if elapsed_s >= (max(MAX_INTERVAL_S, min_interval_s)
                     if loads else IDLE_INTERVAL_S):
        return True
    return loads != hints.sent_loads and elapsed_s >= min_interval_s


def _is_remote_due(state: 'GatewayState', loads: dict[EndpointId, OwnLoad],
                   now: float) -> bool:
    """Return whether a hint to other data centres is due."""
    elapsed_s = now - state.hints.sent_remote_at
    if elapsed_s < max(MIN_REMOTE_INTERVAL_S,
                       MIN_REMOTE_INTERVAL_PER_VM_S * len(state.peers)):
        return False
    if state.rollout.weight_updates:
        return True
    if not shares_load_directly(state):
        return False
    if (elapsed_s >= RATE_REPORT_INTERVAL_S and
            _rates(state, now, Source.OWN) is not None):
        return True
    of_peers = state.hints.loads.fresh(now)
    return any(
        _is_loaded(state, name, load, of_peers.get(name, NO_LOAD))
        for name, load in loads.items())


def on_vms_listed(state: 'GatewayState', now: float) -> None:
    """Count all listed VMs as live at first, and send them a hint soon.

    Hints have not arrived yet, and a VM that knew no other would read all views
    for its data centre. In a small deployment this costs few calls.
    """
    if not shares_load_directly(state):
        state.hints.grace_until = now + START_GRACE_S
        state.hints.sent_at = -math.inf


def shares_load_directly(state: 'GatewayState') -> bool:
    """Return whether each VM sends its load to all others."""
    return len(state.peers) <= MAX_DIRECT_SHARING_VMS


def peer_load_lookup(state: 'GatewayState',
                     now: float) -> Callable[[EndpointId], PeerLoad]:
    """Return a function that gives what other VMs have on an endpoint."""
    reports = state.hints.reports
    hinted = state.hints.loads.fresh(now)
    if shares_load_directly(state) or not reports.is_fresh(now):
        return lambda name: hinted.get(name, NO_LOAD)
    if reports.has_local:
        return lambda name: reports.totals.get(name, NO_LOAD)
    return lambda name: hinted.get(name, NO_LOAD).plus(
        reports.totals.get(name, NO_LOAD))


def work_by_dc(state: 'GatewayState', service: ServiceId,
               now: float) -> dict[DcId, float]:
    """Return the work for a service that arrives in each data centre.

    Data centres whose load is not known are missing. The result is empty if
    this VM has no reports.
    """
    reports = state.hints.reports
    if not reports.is_fresh(now):
        return {}
    return {dc: work.get(service, 0.0) for dc, work in reports.work.items()}


def cooling_down(state: 'GatewayState',
                 now: float) -> Mapping[EndpointId, float]:
    """Return endpoints in a cool-down that peers report.

    Each is mapped to the loop time of the latest such report, in s.
    """
    found = state.hints.reports.cooling_down(now)
    found.update(state.hints.loads.cooling_down(now))
    return found


def unreached(state: 'GatewayState', now: float) -> Mapping[EndpointId, float]:
    """Return endpoints that peers report as not reached.

    Each is mapped to the loop time at which the latest such report was
    received, in s.
    """
    found = state.hints.reports.unreached(now)
    for name, at in state.hints.loads.unreached(now).items():
        found[name] = max(at, found.get(name, at))
    return found


def _is_loaded(state: 'GatewayState', name: EndpointId, load: OwnLoad,
               peer_load: PeerLoad) -> bool:
    """Return whether an engine's load is to be known in all data centres."""
    if load.pending_tokens + peer_load.pending_tokens >= LOADED_TOKENS:
        return True
    service = state.config.services.get(state.endpoints[name].entry.service)
    if service is None or service.engine is None:
        return False
    memory_tokens = load.memory_tokens + peer_load.memory_tokens
    return memory_tokens >= LOADED_MEMORY_RATIO * service.engine.cache_tokens


def own_load(view: EndpointView,
             now: float,
             is_path_lost: bool = False) -> OwnLoad:
    """Return the load that this VM has in flight on an endpoint.

    Args:
        view: The endpoint.
        now: Loop time in s.
        is_path_lost: Whether the path to its service is suspected lost; then
            the endpoint is not reported as unreached.
    """
    is_unreached = (view.cooldown_until <= now < view.unreached_until and
                    not is_path_lost)
    until = view.unreached_until if is_unreached else view.cooldown_until
    # Rounded up to steps of 0.2 s, so that elapsed time alone causes few hints.
    cooldown_s = math.ceil(max(0.0, until - now) * 5) / 5
    granted = view.counted_grants()
    return OwnLoad(view.pending_tokens, view.memory_tokens, len(view.in_flight),
                   cooldown_s, is_unreached,
                   sum(each.pending_tokens for each in granted),
                   sum(each.memory_tokens for each in granted), len(granted))


def on_dc_load(state: 'GatewayState', event: DcLoadReceived,
               now: float) -> Iterator[Effect]:
    """Apply another data centre's load; it goes out with the next totals."""
    state.hints.reports.receive_dc_load(event.load, now)
    state.speeds.receive(('dc', event.load.dc), event.load.speeds, now)
    yield from ()


def on_totals(state: 'GatewayState', event: LoadTotalsReceived,
              now: float) -> Iterator[Effect]:
    """Apply the deployment's load as reported within the data centre."""
    state.hints.reports.receive_totals(event.totals, state.hints.reported_loads,
                                       now)
    state.speeds.receive(endpoint_speed.OTHER_DCS, event.totals.speeds, now)
    yield from ()


def on_hint(state: 'GatewayState', event: HintReceived,
            now: float) -> Iterator[Effect]:
    """Apply a peer's hint; one that a newer hint overtook is ignored."""
    hint = event.hint
    previous = state.hints.received.get(hint.vm)
    if (previous is not None and
            previous.hint.incarnation == hint.incarnation and
            previous.hint.number >= hint.number):
        return
    yield from eras.enter(state, hint.era, now)
    state.hints.received[hint.vm] = ReceivedHint(hint, now)
    if hint.vm not in state.peers and now < state.hints.grace_until:
        # The peer's entry was written after this VM read them.
        issued_at = state.views.cursors[View.VMS].issued_at
        yield SetTimer(TimerKey(TimerKind.VIEW, View.VMS.value),
                       max(now, issued_at + MIN_VM_READ_INTERVAL_S))
    state.hints.loads.replace(hint.vm, hint.loads, now)
    _apply_speeds(state, hint, now)
    yield from _apply_suspects(state, hint, now)
    for each in hint.weights_loaded:
        view = state.endpoints.get(each.endpoint)
        if view is not None:
            view.record_weights_loaded(each.model, each.version, now)
    if hint.weights_loaded:
        state.rollout.progress_at = now
    for endpoint, started_ms in hint.leaving.items():
        yield from notices.on_peer_leaving(state, endpoint, started_ms)
    yield from _apply_version_ages(state, hint, now)
    peer = state.peers.get(hint.vm)
    if hint.asked_at and peer is not None:
        yield SendPeer(
            hint.vm, peer.address,
            _next_hint(state,
                       _own_loads(state, now),
                       now,
                       answers_at=hint.asked_at))


def _apply_speeds(state: 'GatewayState', hint: Hint, now: float) -> None:
    """Apply a peer's digests of speeds.

    Those of VMs in other data centres are in load reports as well, if there are
    any.
    """
    peer = state.peers.get(hint.vm)
    if shares_load_directly(state) or (peer is not None and
                                       peer.dc == state.settings.dc):
        state.speeds.receive(('vm', hint.vm), hint.speeds, now)


def on_rates(state: 'GatewayState', event: RatesReceived,
             now: float) -> Iterator[Effect]:
    """Apply rates that endpoints stated to peers."""
    message = event.message
    peer = state.peers.get(message.vm)
    is_local = (peer is not None and peer.dc == state.settings.dc and
                not message.is_relayed)
    state.endpoint_limits.rates.receive(
        (each for each in message.rates if each.endpoint in state.endpoints),
        Source.LOCAL if is_local else Source.REMOTE, now)
    yield from ()


def _apply_version_ages(state: 'GatewayState', hint: Hint,
                        now: float) -> Iterator[Effect]:
    """Apply the ages of versions that a peer stated when asked."""
    if not 0.0 < hint.answers_at <= now:
        return
    is_late = now - hint.answers_at > MAX_ANSWER_DELAY_S
    for stated in hint.versions:
        each = attrs.evolve(stated, precise=stated.precise and not is_late)
        if state.versions.add_stated(each, hint.answers_at, now):
            age_s = now - hint.answers_at + each.age_s
            yield LogLine('version_age_stated',
                          (('model', each.model), ('version', each.version),
                           ('age_s', versions.loggable(age_s)),
                           ('precise', int(each.precise)), ('vm', hint.vm)))


def _apply_suspects(state: 'GatewayState', hint: Hint,
                    now: float) -> Iterator[Effect]:
    """Apply broken sends, clearings and the quarantine of a peer."""
    for each in hint.suspects:
        suspects.on_peer_break(
            state,
            BrokenSend(each.fingerprint, each.endpoint, each.parts,
                       now - each.sent_ago_s, now - each.broken_ago_s), now)
    for suspect in hint.cleared:
        yield from suspects.on_peer_cleared(state, suspect, now)
    for suspect, idle_s in hint.quarantined.items():
        yield from suspects.on_peer_quarantine(state, suspect, idle_s, now)
    for suspect in hint.recorded:
        suspects.on_peer_recorded(state, suspect, now)
