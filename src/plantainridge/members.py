"""Which VMs live, by the platform's lagging list and by what is heard."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge import gossip
from plantainridge.events import Member, MembersListed
from plantainridge.ids import EndpointId, VmId
from plantainridge.loop.effects import Effect

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Silence after which a VM counts as dead, in s.
DEAD_AFTER_S: Final = 10.0


@attrs.define
class MembersState:
    """Members by name as the platform's list last said.

    Attributes:
        listed: Rows by VM.
        listed_since: Loop time at which each row first appeared, in s.
        leaving_endpoints: Endpoints that the list says are leaving.
    """

    listed: dict[VmId, Member] = attrs.field(factory=dict)
    listed_since: dict[VmId, float] = attrs.field(factory=dict)
    leaving_endpoints: frozenset[EndpointId] = frozenset()


def live_in_dc(state: 'VmState', now: float) -> list[VmId]:
    """Lists the live VMs of this VM's data centre, itself among them.

    A VM lives if it was heard a short while ago, listed or not, or if it has
    only just been listed. A VM that the list says is leaving does not.
    """
    listed = state.members.listed
    names = {
        vm for vm in state.gossip.heartbeats
        if gossip.silence_s(state, vm, now) <= DEAD_AFTER_S
    }
    names |= {
        vm for vm, since in state.members.listed_since.items()
        if vm not in state.gossip.heartbeats and now - since <= DEAD_AFTER_S
    }
    live = {
        vm for vm in names if vm not in listed or
        (listed[vm].dc == state.dc and not listed[vm].leaving)
    }
    return sorted(live | {state.vm})


def on_listed(state: 'VmState', event: MembersListed,
              now: float) -> Iterator[Effect]:
    """Takes in the platform's list."""
    members = state.members
    members.listed = {member.vm: member for member in event.members}
    members.listed_since = {
        vm: members.listed_since.get(vm, now) for vm in members.listed
    }
    members.leaving_endpoints = event.leaving_endpoints
    for view in state.endpoints.values():
        view.leaving = view.id in event.leaving_endpoints
    yield from ()
