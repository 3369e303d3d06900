"""Transfer of configuration records between the VMs of a data centre.

A VM that learns of newer records than its own, and does not get them from the
log, requests them from a peer of its data centre. The peer sends the records
or, if it no longer has them, a snapshot of its configuration in parts, a few
per tick.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge import config as cfg
from plantainridge import differences, gossip, revisions
from plantainridge import peer_messages as pm
from plantainridge import revision_records as rr
from plantainridge.ids import VmId
from plantainridge.loop.effects import Effect, LogLine
from plantainridge.loop.events import TimerFired
from plantainridge.replica import Snapshot

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Time that the log has to deliver announced records before a peer is asked.
LOG_TIMEOUT_S: Final = 0.5
# Time without progress after which another peer is asked.
PEER_ANSWER_TIMEOUT_S: Final = 1.5
MAX_RELAYED_BYTES: Final = 64 << 10
# Snapshots sent to peers at the same time, and parts of each sent per tick.
MAX_SNAPSHOTS_SENDING: Final = 4
SENT_PARTS_PER_TICK: Final = 4


@attrs.define
class _Receiving:
    """A peer's snapshot of which some parts have arrived.

    Attributes:
        sender: The peer.
        revision: Revision of the configuration.
        next: Offset of the first record that the snapshot does not cover.
        parts: Number of parts.
        bodies: Decoded parts by index.
    """

    sender: VmId
    revision: int
    next: int
    parts: int
    bodies: dict[int, differences.Difference] = attrs.field(factory=dict)


@attrs.define
class CatchUpState:
    """Requests to peers and snapshots sent to them.

    Attributes:
        peer_offsets: Offset after the newest record that each peer has
            announced.
        behind_since: Loop time in s since which announced records are missing;
            None if none is.
        request_expires_at: Loop time in s until which the answer to the last
            request is awaited.
        receiving: The snapshot that is being received.
        sending: Parts still to send, by requesting peer.
    """

    peer_offsets: dict[VmId, int] = attrs.field(factory=dict)
    behind_since: float | None = None
    request_expires_at: float = 0.0
    receiving: _Receiving | None = None
    sending: dict[VmId, Iterator[pm.SnapshotPart]] = attrs.field(factory=dict)


def on_gossip_update(state: 'VmState', sender: VmId, update: pm.GossipUpdate,
                     now: float) -> Iterator[Effect]:
    """Record a peer's offset, and request records if this VM is behind."""
    state.catchup.peer_offsets[sender] = update.config_next
    yield from _request_if_behind(state, now)


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Request missing records again and send the next snapshot parts."""
    del event
    yield from _request_if_behind(state, now)
    sending = state.catchup.sending
    for vm in list(sending):
        for _ in range(SENT_PARTS_PER_TICK):
            part = next(sending[vm], None)
            if part is None:
                del sending[vm]
                break
            yield from gossip.send(state, vm, part)


def _request_if_behind(state: 'VmState', now: float) -> Iterator[Effect]:
    catchup = state.catchup
    replica = state.revisions.replica
    if state.gossip.config_seen <= replica.next:
        catchup.behind_since = None
        return
    if catchup.behind_since is None:
        catchup.behind_since = now
    if state.revisions.log_ok and now - catchup.behind_since < LOG_TIMEOUT_S:
        return
    if now < catchup.request_expires_at:
        return
    peers = gossip.peers(state)
    peers_ahead = [
        vm for vm, end in catchup.peer_offsets.items()
        if end > replica.next and vm in peers
    ]
    if not peers_ahead:
        return
    catchup.request_expires_at = now + PEER_ANSWER_TIMEOUT_S
    catchup.receiving = None
    yield from gossip.send(state, state.rng.choice(peers_ahead),
                           pm.RecordsRequest(replica.next))


def on_records_request(state: 'VmState', sender: VmId,
                       request: pm.RecordsRequest,
                       now: float) -> Iterator[Effect]:
    """Send records, or a snapshot, to a peer that is behind."""
    del now
    replica = state.revisions.replica
    if request.offset >= replica.next:
        return
    records = replica.records_from(request.offset, MAX_RELAYED_BYTES)
    if records is not None:
        yield from gossip.send(state, sender, pm.RelayedRecords(tuple(records)))
        return
    sending = state.catchup.sending
    if replica.config.revision >= 0 and (sender in sending or
                                         len(sending) < MAX_SNAPSHOTS_SENDING):
        sending[sender] = _snapshot_parts(replica.snapshot())


def _snapshot_parts(snapshot: Snapshot) -> Iterator[pm.SnapshotPart]:
    for part, parts, body in rr.encode_config_parts(snapshot.config):
        yield pm.SnapshotPart(snapshot.config.revision, snapshot.next, part,
                              parts, body, snapshot.checkpoint_offset,
                              snapshot.checkpoint_at)


def on_relayed_records(state: 'VmState', relayed: pm.RelayedRecords,
                       now: float) -> Iterator[Effect]:
    """Apply records relayed by a peer, then request the rest."""
    replica = state.revisions.replica
    old_config, old_next = replica.config, replica.next
    outcomes = replica.apply_relayed_records(relayed.records)
    yield from revisions.handle_outcomes(state, old_config, outcomes, now)
    if replica.next > old_next:
        state.catchup.request_expires_at = now
        yield from _request_if_behind(state, now)


def on_snapshot_part(state: 'VmState', sender: VmId, part: pm.SnapshotPart,
                     now: float) -> Iterator[Effect]:
    """Store a part of a peer's snapshot; install the snapshot if complete."""
    catchup = state.catchup
    replica = state.revisions.replica
    if part.next <= replica.next or not part.part < part.parts <= rr.MAX_PARTS:
        return
    snapshot_id = (sender, part.revision, part.next, part.parts)
    received = catchup.receiving
    if received is None or snapshot_id != (received.sender, received.revision,
                                           received.next, received.parts):
        received = catchup.receiving = _Receiving(*snapshot_id)
    try:
        received.bodies[part.part] = rr.decode_body(part.body)
    except rr.InvalidRecord as error:
        yield LogLine('snapshot_unreadable', (('error', str(error)),))
        return
    catchup.request_expires_at = now + PEER_ANSWER_TIMEOUT_S
    if len(received.bodies) < received.parts:
        return
    catchup.receiving = None
    old_config = replica.config
    replica.install(
        Snapshot(_assemble_config(received), received.next,
                 part.checkpoint_offset, part.checkpoint_at))
    yield from revisions.handle_outcomes(state, old_config, [], now)
    catchup.request_expires_at = now
    yield from _request_if_behind(state, now)


def _assemble_config(received: _Receiving) -> cfg.Config:
    puts = [
        put for index in sorted(received.bodies)
        for put in received.bodies[index].puts
    ]
    config = differences.apply(cfg.EMPTY, differences.Difference(tuple(puts)))
    return attrs.evolve(config, revision=received.revision)
