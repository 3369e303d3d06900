"""Model of the platform's lagging membership list, with its HTTP interface."""

import asyncio
from typing import Final

import attrs
from cattrs.preconf.json import make_converter
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plantainridge.events import Member, MembersListed
from plantainridge.ids import EndpointId, VmId

LAG_S: Final = 2.0
CONVERTER: Final = make_converter()


@attrs.define
class MembersModel:
    """Membership list whose changes become visible after `lag_s`.

    Attributes:
        down: While true, the list cannot be read.
        visible: The list as readers see it.
    """

    lag_s: float = LAG_S
    down: bool = False
    members: dict[VmId, Member] = attrs.field(factory=dict)
    leaving_endpoints: set[EndpointId] = attrs.field(factory=set)
    visible: MembersListed = MembersListed(())
    changes: int = 0
    visible_change: int = 0

    def put(self, member: Member) -> None:
        """Add or replace a row."""
        self.members[member.vm] = member
        self.changed()

    def remove(self, vm: VmId) -> None:
        """Remove a row."""
        self.members.pop(vm, None)
        self.changed()

    def changed(self) -> None:
        """Make the current rows visible after the lag."""
        snapshot = MembersListed(tuple(self.members.values()),
                                 frozenset(self.leaving_endpoints))
        self.changes += 1
        asyncio.get_running_loop().call_later(self.lag_s, self._publish,
                                              snapshot, self.changes)

    def _publish(self, snapshot: MembersListed, change: int) -> None:
        if change > self.visible_change:
            self.visible = snapshot
            self.visible_change = change


class MembersApp:
    """HTTP routes of the membership list."""

    def __init__(self, model: MembersModel) -> None:
        self.model = model
        self.app = Starlette(routes=[Route('/members', self.list_members)])

    async def list_members(self, request: Request) -> Response:
        """Return the list as it is visible now."""
        del request
        if self.model.down:
            return JSONResponse({'error': 'outage'}, status_code=503)
        return JSONResponse(CONVERTER.unstructure(self.model.visible))
