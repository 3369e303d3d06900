"""Dispatch of messages received from other VMs."""

from collections.abc import Iterator

from plantainridge import catchup, gossip
from plantainridge import peer_messages as pm
from plantainridge.loop.effects import Effect
from plantainridge.loop.events import PeerMessageReceived
from plantainridge.state import VmState


def on_peer_message(state: VmState, event: PeerMessageReceived,
                    now: float) -> Iterator[Effect]:
    """Decode a message and pass its content to the module in charge of it.

    A malformed message, or one that this VM sent itself, is dropped and
    counted.
    """
    message = pm.decode(event.payload)
    if isinstance(message, pm.DecodeFault) or message.vm == state.vm:
        state.gossip.dropped += 1
        return
    yield from gossip.record_sender(state, message, now)
    content = message.content
    if isinstance(content, pm.GossipUpdate):
        gossip.apply_update(state, content, now)
        yield from catchup.on_gossip_update(state, message.vm, content, now)
    elif isinstance(content, pm.RecordsRequest):
        yield from catchup.on_records_request(state, message.vm, content, now)
    elif isinstance(content, pm.RelayedRecords):
        yield from catchup.on_relayed_records(state, content, now)
    else:
        yield from catchup.on_snapshot_part(state, message.vm, content, now)
