"""Live VMs, from the platform's delayed membership list and from gossip."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge import gossip
from plantainridge.events import Member, MembersListed
from plantainridge.ids import EndpointId, VmId
from plantainridge.loop.effects import Effect

if TYPE_CHECKING:
    from plantainridge.state import VmState

# A VM without heartbeats for longer than this is considered dead.
DEAD_AFTER_S: Final = 10.0


@attrs.define
class MembersState:
    """The platform's membership list as last read.

    Attributes:
        listed: Members by VM.
        listed_since: Loop time since when each VM has been listed, in s.
        leaving_endpoints: Endpoints that are listed as leaving.
    """

    listed: dict[VmId, Member] = attrs.field(factory=dict)
    listed_since: dict[VmId, float] = attrs.field(factory=dict)
    leaving_endpoints: frozenset[EndpointId] = frozenset()


def live_in_dc(state: 'VmState', now: float) -> list[VmId]:
    """Return the live VMs of this VM's data centre, including itself.

    A VM is live if it sent a heartbeat within `DEAD_AFTER_S`, listed or not, or
    if it sent none so far and was listed within that time. A VM that is listed
    as leaving is not live.

    Args:
        state: State of this VM.
        now: Loop time in s.
    """
    listed = state.members.listed
    candidates = {
        vm for vm in state.gossip.heartbeats
        if gossip.silence_s(state, vm, now) <= DEAD_AFTER_S
    }
    candidates |= {
        vm for vm, since in state.members.listed_since.items()
        if vm not in state.gossip.heartbeats and now - since <= DEAD_AFTER_S
    }
    live_vms = {
        vm for vm in candidates if vm not in listed or
        (listed[vm].dc == state.dc and not listed[vm].leaving)
    }
    return sorted(live_vms | {state.vm})


def on_listed(state: 'VmState', event: MembersListed,
              now: float) -> Iterator[Effect]:
    """Apply the platform's membership list."""
    members = state.members
    members.listed = {member.vm: member for member in event.members}
    members.listed_since = {
        vm: members.listed_since.get(vm, now) for vm in members.listed
    }
    members.leaving_endpoints = event.leaving_endpoints
    for view in state.endpoints.values():
        view.leaving = view.id in event.leaving_endpoints
    yield from ()
