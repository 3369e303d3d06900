"""Resumption of streams by their callers, at the build that began them.

The VM that forwards the first event of a stream records its service and build.
Before that it sends the record to peers, which survive it: in a small
deployment to all of them, else to a few in several data centres (see
`origin_holders`). While the service has had one build only, records are sent in
batches, of streams that have not ended by then: a further build may appear
after their VM is lost. A VM that has no record of a stream asks its peers, and
the request waits for their answer. Before a stream that nobody knows continues
at the only build, the registry is read once more: this VM may have missed a
build whose streams came to its peers.
"""

from collections.abc import Collection, Iterator, Mapping
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import (build_records, builds, containment, dispatch,
                                   endings, hints, origin_holders,
                                   peer_messages, relays, versions, views)
from plantainridge.gateway.builds import Origin, RegistryRead, Unresolved
from plantainridge.gateway.events import View, VmEntry
from plantainridge.gateway.peer_messages import OriginQuestion, StreamOrigins
from plantainridge.gateway.requests import Call
from plantainridge.ids import DcId, EndpointId, ServiceId
from plantainridge.loop.effects import Effect, LogLine, SendPeer
from plantainridge.loop.events import Event

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Longest wait for a peer that knows where a stream began, or for the record of
# builds.
ANSWER_WAIT_S: Final = 0.4
# Longest wait for a read of the registry.
REGISTRY_WAIT_S: Final = 1.5
# Time after which peers are asked again: messages may be lost.
ASK_INTERVAL_S: Final = 0.1
# Minimum time between two questions: callers return in bursts, and streams that
# are asked for together take one message.
MIN_ASK_INTERVAL_S: Final = 0.05
# Interval at which the listed builds are recorded.
LISTING_INTERVAL_S: Final = 1.0
# Streams in one message, which then fits into a datagram.
MAX_STREAMS_PER_MESSAGE: Final = 100
# Delay after which the caller of a stream that cannot go on may try again.
RETRY_AFTER_S: Final = 1.0


@attrs.frozen
class OriginsReceived(Event):
    """A peer sent records of where streams began."""

    origins: StreamOrigins


@attrs.frozen
class OriginsAsked(Event):
    """A peer asks where streams began."""

    question: OriginQuestion


def admit(state: 'GatewayState', call: Call, now: float) -> Iterator[Effect]:
    """Dispatch a request; one that resumes a stream once its build is known."""
    if not call.request.last_event_id or not builds.is_resumable(call.route):
        yield from dispatch.dispatch(state, call, now)
        return
    call.resumed_at = now
    call.origin_due_at = now + ANSWER_WAIT_S
    yield from _resolve(state, call, now)
    if (call.origin_due_at is not None and call.request.resumes and
            now - state.builds.asked_at >= MIN_ASK_INTERVAL_S):
        yield from _ask(state, [call], now)


def _resolve(state: 'GatewayState', call: Call, now: float) -> Iterator[Effect]:
    """Dispatch a request whose build is found, or refuse it, or let it wait."""
    resumes, due_at = call.request.resumes, call.origin_due_at
    assert due_at is not None
    known = state.builds.find(builds.attempt_key(resumes),
                              now) if resumes else None
    found = builds.resolve(known, _only_origin(state, call.service, now),
                           [share.service for share in call.route.shares],
                           now < due_at and _may_learn(state, resumes, now),
                           _registry_read(state, call, known, now))
    if found in (Unresolved.ASK, Unresolved.READ):
        if _is_read_due(state, call, known, now):
            yield from views.refresh(state, View.REGISTRY,
                                     state.views.complete_from(call.resumed_at),
                                     call.resumed_at + REGISTRY_WAIT_S, now)
        return
    call.origin_due_at = None
    yield LogLine('stream_resumed',
                  (('request', call.request.attempt_id), ('resumes', resumes),
                   ('known', int(known is not None)),
                   ('asks', call.origin_asks),
                   ('build', found.build if isinstance(found, Origin) else ''),
                   ('reason', '' if isinstance(found, Origin) else found.value),
                   ('registry_age_s',
                    versions.loggable(state.views.age_s(View.REGISTRY, now))),
                   ('waited_s', round(now - call.arrived_at, 4))))
    if not isinstance(found, Origin):
        yield from endings.fail_request(state, call, found.value, RETRY_AFTER_S,
                                        now)
        return
    if resumes:
        # Its caller may take it up once more, and names the same attempt.
        state.builds.record(builds.attempt_key(resumes), found, now)
    call.service, call.build = found.service, found.build
    call.waiting_since = now
    yield from dispatch.dispatch(state, call, now)


def record_first_event(state: 'GatewayState', call: Call, build: str,
                       now: float) -> Iterator[Effect]:
    """Bind a stream to the build of its first event; send peers its record."""
    if call.build is not None:
        return
    call.begun_by = call.attempt
    yield from _bind(state, call, build, now)


def correct_build(state: 'GatewayState', call: Call, build: str,
                  now: float) -> Iterator[Effect]:
    """Bind a stream anew whose engine was taken for its earlier run."""
    yield LogLine('build_corrected',
                  (('request', call.request.attempt_id), ('build', build),
                   ('previous', call.build or '')))
    yield from _bind(state, call, build, now)


def _bind(state: 'GatewayState', call: Call, build: str,
          now: float) -> Iterator[Effect]:
    """Bind a stream to a build; send peers its record."""
    call.build = build
    if not builds.is_resumable(call.route):
        return
    attempt = state.calls.attempts.get(call.attempt) if call.attempt else None
    endpoint = attempt.endpoint if attempt is not None else ''
    view = state.endpoints.get(EndpointId(endpoint))
    yield LogLine('stream_bound',
                  (('request', call.request.attempt_id), ('endpoint', endpoint),
                   ('build', build),
                   ('started_ms', view.entry.started_ms if view else 0),
                   ('registry_age_s',
                    versions.loggable(state.views.age_s(View.REGISTRY, now)))))
    key = builds.attempt_key(call.request.attempt_id)
    origin = Origin(call.service, build)
    state.builds.record(key, origin, now)
    state.builds.unshared[key] = origin
    is_only = _only_origin(state, call.service, now) == origin
    if not is_only or not _is_steady(state, call.service, now):
        yield from _send_unshared(state, now)


def forget_ended(state: 'GatewayState', call: Call) -> None:
    """Forget a stream that is complete, unless its record was sent."""
    if builds.is_resumable(call.route):
        key = builds.attempt_key(call.request.attempt_id)
        state.builds.unshared.pop(key, None)


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Send records of streams, and ask again for those that are not known."""
    table = state.builds
    if now - table.listed_at >= LISTING_INTERVAL_S:
        table.listed_at = now
        table.record_listed([view.entry for view in state.endpoints.values()],
                            now)
        table.record_listed(state.views.cursors[View.REGISTRY].logged.values(),
                            now)
        table.forget_unlisted(now)
    yield from _send_unshared(state, now)
    asking = []
    for call in state.calls.waiting(now):
        if call.origin_due_at is None:
            continue
        yield from containment.contain_request(state,
                                               _resolve(state, call, now),
                                               'resume', call.request.id, now)
        if call.origin_due_at is not None and call.request.resumes:
            asking.append(call)
    yield from _ask(state, asking, now)


def on_origins(state: 'GatewayState', event: OriginsReceived,
               now: float) -> Iterator[Effect]:
    """Record where streams began, and dispatch requests that waited for it."""
    origin = Origin(event.origins.service, event.origins.build)
    for key in event.origins.attempts:
        state.builds.record(key, origin, now)
    for call in state.calls.waiting(now):
        if call.origin_due_at is not None:
            yield from containment.contain_request(state,
                                                   _resolve(state, call,
                                                            now), 'resume',
                                                   call.request.id, now)


def on_question(state: 'GatewayState', event: OriginsAsked,
                now: float) -> Iterator[Effect]:
    """Answer a peer's question with the records that this VM has."""
    question = event.question
    entry = state.peers.get(question.vm)
    if question.address:
        # A VM that was just added asks before its peers have read its entry.
        entry = VmEntry(question.vm, '', question.address)
    if entry is None:
        return
    found: dict[Origin, list[int]] = {}
    for key in question.attempts:
        origin = state.builds.find(key, now)
        if origin is not None:
            found.setdefault(origin, []).append(key)
    for origin, keys in found.items():
        yield from _send_origins([entry], origin, keys)


def _may_learn(state: 'GatewayState', resumes: str, now: float) -> bool:
    """Return whether it may become known where a stream began."""
    return (bool(resumes) and bool(_all_peers(state)) or
            not build_records.is_known(state, now))


def _registry_read(state: 'GatewayState', call: Call, known: Origin | None,
                   now: float) -> RegistryRead:
    """Return whether the registry was read after a new try arrived.

    A read is awaited only where it may show how the stream continues.
    """
    needed_at = state.views.complete_from(call.resumed_at)
    if state.views.cursors[View.REGISTRY].complete_at >= needed_at:
        return RegistryRead.DONE
    until = call.resumed_at + REGISTRY_WAIT_S
    if known is not None:
        is_useful = not state.builds.has_seen(known)
    else:
        is_useful = (build_records.is_known(state, now) and
                     state.builds.has_one_build(call.service))
    if not is_useful or max(now, needed_at) >= until:
        return RegistryRead.OLD
    return RegistryRead.AWAITED


def _is_read_due(state: 'GatewayState', call: Call, known: Origin | None,
                 now: float) -> bool:
    """Return whether the registry is to be read for a new try.

    Peers mostly know the stream, and answer within one interval.
    """
    if _registry_read(state, call, known, now) is not RegistryRead.AWAITED:
        return False
    asks_peers = (known is None and bool(call.request.resumes) and
                  bool(_all_peers(state)))
    return not asks_peers or now - call.resumed_at >= ASK_INTERVAL_S


def _only_origin(state: 'GatewayState', service: ServiceId,
                 now: float) -> Origin | None:
    if not build_records.is_known(state, now):
        return None
    age_s = state.views.age_s(View.REGISTRY, now)
    return state.builds.only_origin(service, age_s)


def _is_steady(state: 'GatewayState', service: ServiceId, now: float) -> bool:
    """Return whether a service surely has had one build for some time.

    Records may then be sent late: a stream goes on without one unless another
    build appears after its VM is lost.
    """
    return (state.builds.has_watched(now) and
            _only_origin(state, service, now) is not None)


def _send_unshared(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Send the records that were not sent yet, once there are peers."""
    if state.builds.unshared and _all_peers(state):
        yield from _send_to_holders(state, state.builds.take_unshared(), now)


def _ask(state: 'GatewayState', calls: Collection[Call],
         now: float) -> Iterator[Effect]:
    """Ask peers where the streams of requests began."""
    due = [call for call in calls if now - call.asked_at >= ASK_INTERVAL_S]
    if not due:
        return
    asked: dict[VmEntry, list[int]] = {}
    live = _peers_by_dc(state, now)
    listed = _peers_by_dc(state, None)
    for call in due:
        key = builds.attempt_key(call.request.resumes)
        # What this VM knows of its peers may be out of date.
        peers = listed if call.origin_asks else live
        for entry in _peers_to_ask(state, key, peers, call.origin_asks):
            asked.setdefault(entry, []).append(key)
        call.asked_at = state.builds.asked_at = now
        call.origin_asks += 1
    settings = state.settings
    address = f'{settings.host}:{settings.peer_port}'
    for entry, keys in asked.items():
        for start in range(0, len(keys), MAX_STREAMS_PER_MESSAGE):
            question = OriginQuestion(
                settings.vm, tuple(keys[start:start + MAX_STREAMS_PER_MESSAGE]),
                address)
            yield SendPeer(entry.vm, entry.address,
                           peer_messages.encode(question))


def _send_to_holders(state: 'GatewayState', origins: Mapping[Origin,
                                                             Collection[int]],
                     now: float) -> Iterator[Effect]:
    """Send the records of streams to the VMs that hold them."""
    peers = _peers_by_dc(state, now)
    batches: dict[tuple[Origin, tuple[VmEntry, ...]], list[int]] = {}
    for origin, keys in origins.items():
        for key in keys:
            holders = _holders(state, key, peers)
            batches.setdefault((origin, tuple(holders)), []).append(key)
    for (origin, recipients), batch in batches.items():
        yield from _send_origins(recipients, origin, batch)


def _send_origins(peers: Collection[VmEntry], origin: Origin,
                  keys: list[int]) -> Iterator[Effect]:
    """Send records of where streams began."""
    for start in range(0, len(keys), MAX_STREAMS_PER_MESSAGE):
        payload = peer_messages.encode(
            StreamOrigins(origin.service, origin.build,
                          tuple(keys[start:start + MAX_STREAMS_PER_MESSAGE])))
        for entry in peers:
            yield SendPeer(entry.vm, entry.address, payload)


def _all_peers(state: 'GatewayState') -> list[VmEntry]:
    return [
        entry for vm, entry in state.peers.items() if vm != state.settings.vm
    ]


def _peers_by_dc(state: 'GatewayState',
                 now: float | None) -> dict[DcId, list[VmEntry]]:
    """Return the listed peers by data centre.

    Args:
        state: The VM's state.
        now: Loop time in s, to leave out peers that are known to be lost, or
            None for all peers.
    """
    found: dict[DcId, list[VmEntry]] = {}
    for entry in _all_peers(state):
        if now is None or _may_be_live(state, entry, now):
            found.setdefault(DcId(entry.dc), []).append(entry)
    return found


def _may_be_live(state: 'GatewayState', entry: VmEntry, now: float) -> bool:
    if entry.dc == state.settings.dc:
        return relays.is_live(state, entry.vm, now)
    return state.hints.reports.may_be_live(entry, now)


def _peers_to_ask(state: 'GatewayState', key: int,
                  peers: Mapping[DcId,
                                 list[VmEntry]], asks: int) -> list[VmEntry]:
    """Return the peers that may know a stream; more with each question."""
    if hints.shares_load_directly(state):
        return _all_peers(state)
    return origin_holders.choose_to_ask(key, state.settings.dc, peers,
                                        origin_holders.HOLDERS * 2**asks)


def _holders(state: 'GatewayState', key: int,
             peers: Mapping[DcId, list[VmEntry]]) -> list[VmEntry]:
    """Return the peers that get the record of a stream of this VM."""
    if hints.shares_load_directly(state):
        return _all_peers(state)
    return origin_holders.choose(key, state.settings.dc, peers)
