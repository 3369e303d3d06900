"""Model of the platform's membership list, which lags, and its HTTP face."""

import asyncio

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plantainridge.events import Member
from plantainridge.ids import EndpointId, VmId


class MembersModel:
    """Live and leaving VMs and leaving endpoints.

    Attributes:
        lag_s: How long a change takes to show, in s.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.members: dict[VmId, Member] = {}
        self.leaving: set[EndpointId] = set()

    def put(self, member: Member) -> None:
        """Lists a VM, or changes its row."""
        asyncio.get_running_loop().call_later(self.lag_s,
                                              self.members.__setitem__,
                                              member.vm, member)

    def remove(self, vm: VmId) -> None:
        """Takes a VM off the list."""
        asyncio.get_running_loop().call_later(self.lag_s, self.members.pop, vm,
                                              None)

    def set_leaving(self, endpoint: EndpointId) -> None:
        """Marks an endpoint as leaving."""
        asyncio.get_running_loop().call_later(self.lag_s, self.leaving.add,
                                              endpoint)


class MembersApp:
    """Routes of the membership list."""

    def __init__(self, model: MembersModel) -> None:
        self.model = model
        self.app = Starlette(routes=[
            Route('/members', self.members),
            Route('/leaving/{endpoint}', self.leave, methods=['POST']),
        ])

    async def members(self, request: Request) -> Response:
        """Returns the list as it shows now."""
        del request
        return JSONResponse({
            'members': [{
                'vm': member.vm,
                'dc': member.dc,
                'address': member.address,
                'leaving': member.leaving
            } for member in self.model.members.values()],
            'leaving_endpoints': sorted(self.model.leaving),
        })

    async def leave(self, request: Request) -> Response:
        """Marks an endpoint as leaving."""
        self.model.set_leaving(EndpointId(request.path_params['endpoint']))
        return Response(status_code=204)
