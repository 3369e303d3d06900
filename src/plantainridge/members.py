"""Which VMs live, by the platform's lagging list and by what is heard."""

from typing import TYPE_CHECKING

import attrs

from plantainridge.events import Member
from plantainridge.ids import VmId

if TYPE_CHECKING:
    from plantainridge.state import VmState


@attrs.define
class MembersState:
    """Members by name as the platform's list last said."""

    listed: dict[VmId, Member] = attrs.field(factory=dict)


def live_in_dc(state: 'VmState', now: float) -> list[VmId]:
    """Lists the live VMs of this VM's data centre, itself among them."""
    del now
    names = {
        vm for vm, member in state.members.listed.items()
        if member.dc == state.dc and not member.leaving
    }
    return sorted(names | {state.vm})
