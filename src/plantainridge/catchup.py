"""VMs of a data centre give one another the configuration's newest records.

A VM that knows of newer records than its own, and does not get them from the
log, asks a peer. The peer answers with the records, or, when it no longer
keeps them, with its whole configuration in parts, a few at a time.
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

# Time that the log gets to bring what peers told of, in s.
LOG_GRACE_S: Final = 0.5
# Silence of the asked peer after which another one is asked, in s.
ANSWER_S: Final = 1.5
RELAY_BYTES: Final = 64 << 10
# Whole configurations that are sent at once, and parts of each per tick.
MAX_SENDING: Final = 4
PARTS_PER_TICK: Final = 4


@attrs.define
class _Receiving:
    """Parts of one peer's snapshot that have come so far."""

    sender: VmId
    revision: int
    next: int
    parts: int
    bodies: dict[int, differences.Difference] = attrs.field(factory=dict)


@attrs.define
class CatchUpState:
    """What is asked of peers and sent to them.

    Attributes:
        told: Offset after the newest record that each peer said it knows of.
        behind_since: Loop time since which records are missing; None if none.
        asked_until: Loop time until which an answer is awaited, in s.
        receiving: The snapshot that is coming in.
        sending: Parts still to send, by asking peer.
    """

    told: dict[VmId, int] = attrs.field(factory=dict)
    behind_since: float | None = None
    asked_until: float = 0.0
    receiving: _Receiving | None = None
    sending: dict[VmId, Iterator[pm.SnapshotPart]] = attrs.field(factory=dict)


def on_gossip_update(state: 'VmState', sender: VmId, news: pm.GossipUpdate,
                     now: float) -> Iterator[Effect]:
    """Takes in how far a peer is, and asks it if this VM is behind."""
    state.catchup.told[sender] = news.config_next
    yield from _ask_if_behind(state, now)


def on_tick(state: 'VmState', event: TimerFired,
            now: float) -> Iterator[Effect]:
    """Asks again for what is missing and sends the next parts."""
    del event
    yield from _ask_if_behind(state, now)
    sending = state.catchup.sending
    for vm in list(sending):
        for _ in range(PARTS_PER_TICK):
            part = next(sending[vm], None)
            if part is None:
                del sending[vm]
                break
            yield from gossip.send(state, vm, part)


def _ask_if_behind(state: 'VmState', now: float) -> Iterator[Effect]:
    own = state.catchup
    replica = state.revisions.replica
    if state.gossip.config_seen <= replica.next:
        own.behind_since = None
        return
    if own.behind_since is None:
        own.behind_since = now
    if state.revisions.log_ok and now - own.behind_since < LOG_GRACE_S:
        return
    if now < own.asked_until:
        return
    peers = gossip.peers(state)
    ahead = [
        vm for vm, end in own.told.items() if end > replica.next and vm in peers
    ]
    if not ahead:
        return
    own.asked_until = now + ANSWER_S
    own.receiving = None
    yield from gossip.send(state, state.rng.choice(ahead),
                           pm.RecordsRequest(replica.next))


def on_records_request(state: 'VmState', sender: VmId,
                       wanted: pm.RecordsRequest,
                       now: float) -> Iterator[Effect]:
    """Answers a peer that is behind."""
    del now
    replica = state.revisions.replica
    if wanted.offset >= replica.next:
        return
    records = replica.records_from(wanted.offset, RELAY_BYTES)
    if records is not None:
        yield from gossip.send(state, sender, pm.RelayedRecords(tuple(records)))
        return
    sending = state.catchup.sending
    if replica.config.revision >= 0 and (sender in sending or
                                         len(sending) < MAX_SENDING):
        sending[sender] = _parts(replica.snapshot())


def _parts(snapshot: Snapshot) -> Iterator[pm.SnapshotPart]:
    for part, parts, body in rr.encode_config_parts(snapshot.config):
        yield pm.SnapshotPart(snapshot.config.revision, snapshot.next, part,
                              parts, body, snapshot.checkpoint_offset,
                              snapshot.checkpoint_at)


def on_relayed_records(state: 'VmState', relayed: pm.RelayedRecords,
                       now: float) -> Iterator[Effect]:
    """Takes in records that a peer passed on, then asks for the rest."""
    replica = state.revisions.replica
    before, start = replica.config, replica.next
    outcomes = replica.apply_relayed_records(relayed.records)
    yield from revisions.handle_outcomes(state, before, outcomes, now)
    if replica.next > start:
        state.catchup.asked_until = now
        yield from _ask_if_behind(state, now)


def on_snapshot_part(state: 'VmState', sender: VmId, part: pm.SnapshotPart,
                     now: float) -> Iterator[Effect]:
    """Takes in a part of a peer's snapshot; installs it once it is whole."""
    own = state.catchup
    replica = state.revisions.replica
    if part.next <= replica.next or not part.part < part.parts <= rr.MAX_PARTS:
        return
    wanted = (sender, part.revision, part.next, part.parts)
    got = own.receiving
    if got is None or wanted != (got.sender, got.revision, got.next, got.parts):
        got = own.receiving = _Receiving(*wanted)
    try:
        got.bodies[part.part] = rr.decode_body(part.body)
    except rr.InvalidRecord as error:
        yield LogLine('snapshot_unreadable', (('error', str(error)),))
        return
    own.asked_until = now + ANSWER_S
    if len(got.bodies) < got.parts:
        return
    own.receiving = None
    before = replica.config
    replica.install(
        Snapshot(_join(got), got.next, part.checkpoint_offset,
                 part.checkpoint_at))
    yield from revisions.handle_outcomes(state, before, [], now)
    own.asked_until = now
    yield from _ask_if_behind(state, now)


def _join(got: _Receiving) -> cfg.Config:
    puts = [
        put for index in sorted(got.bodies) for put in got.bodies[index].puts
    ]
    config = differences.apply(cfg.EMPTY, differences.Difference(tuple(puts)))
    return attrs.evolve(config, revision=got.revision)
