"""One VM of a data centre reads for all of them.

Calls to the metadata store and to KV cache stores are paid for and limited, so
for each subject the live VMs of a data centre agree on one reader by the same
draw. The reader relays what it read; who hears nothing for a while reads by
itself, and a reader that cannot reach the metadata store is passed over.
"""

import hashlib
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.loop.effects import Effect, SendPeer
from plantainridge.gateway import peer_messages
from plantainridge.gateway.peer_messages import (PeerMessage, RelayedStore,
                                                 RelayedView)
from plantainridge.ids import VmId

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Age of a peer's last word beyond which it is passed over, in s; each VM says
# something once a second.
LIVE_S: Final = 1.6


def is_reader(state: 'GatewayState', subject: str, now: float) -> bool:
    """Whether this VM is to read a subject for its data centre."""
    own = draw(state.settings.vm, subject)
    return not any(draw(vm, subject) < own for vm in _live_readers(state, now))


def _live_readers(state: 'GatewayState', now: float) -> Iterator[VmId]:
    for vm, heard in state.hints.heard.items():
        entry = state.peers.get(vm)
        near = entry is not None and entry.dc == state.settings.dc
        if near and now - heard.at <= LIVE_S and not heard.hint.cut_off:
            yield vm


def vms_near(state: 'GatewayState') -> int:
    """Returns the number of VMs of the data centre."""
    return sum(entry.dc == state.settings.dc for entry in state.peers.values())


def rank(state: 'GatewayState', subject: str) -> int:
    """Returns this VM's place in an order of all VMs."""
    own = draw(state.settings.vm, subject)
    return sum(
        draw(vm, subject) < own
        for vm in state.peers
        if vm != state.settings.vm)


def draw(name: str, subject: str) -> int:
    """Draws a number for a name, the same on every VM."""
    digest = hashlib.blake2b(f'{name}/{subject}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def tell(state: 'GatewayState',
         message: RelayedView | RelayedStore) -> Iterator[Effect]:
    """Relays news to the VMs of the data centre."""
    payload = peer_messages.encode(message)
    for vm, entry in state.peers.items():
        if vm != state.settings.vm and entry.dc == state.settings.dc:
            yield SendPeer(vm, entry.address, payload)


def answer(state: 'GatewayState', vm: VmId,
           message: PeerMessage) -> Iterator[Effect]:
    """Sends a message to one VM, if its address is known."""
    entry = state.peers.get(vm)
    if entry is not None:
        yield SendPeer(vm, entry.address, peer_messages.encode(message))
