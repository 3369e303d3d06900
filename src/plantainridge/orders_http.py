"""Port for orders to engines and their reports over HTTP."""

import asyncio
from typing import Any, Final

import aiosonic
from aiosonic import exceptions as http_errors

from plantainridge import orders
from plantainridge.http_ports import STATUS_OK
from plantainridge.ids import ModelId, WeightVersion
from plantainridge.loop.ports import Post
from plantainridge.loop.tasks import Tasks
from plantainridge.orders import LoadedModel, OrderOutcome
from plantainridge.ports import OrderPort
from plantainridge.response_limits import read_body, read_json

# The engine has seen a higher fencing token.
STATUS_FENCED: Final = 412
ORDER_TIMEOUT_S: Final = 10.0
REPORT_TIMEOUT_S: Final = 2.0
VALID_STATUSES: Final = range(200, 600)


class HttpOrderPort(OrderPort):
    """Orders to engines and requests for their reports, over HTTP."""

    def __init__(self, client: aiosonic.HTTPClient, tasks: Tasks) -> None:
        self.client = client
        self.tasks = tasks

    def order(self, effect: orders.OrderEngine, post: Post) -> None:
        self.tasks.spawn(self._order(effect, post))

    async def _order(self, effect: orders.OrderEngine, post: Post) -> None:
        outcome = OrderOutcome.UNKNOWN
        target = effect.target
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                response = await self.client.post(
                    f'http://{effect.address}/orders',
                    json={
                        'order': effect.order,
                        'fence': effect.fence,
                        'model': target.model,
                        'version': target.version,
                        'adapter': target.adapter,
                    })
                await read_body(response)
            outcome = _outcome(response.status_code)
        except (ConnectionRefusedError, http_errors.ConnectTimeout):
            outcome = OrderOutcome.FAILED
        except (http_errors.AiosonicError, OSError, ValueError, EOFError):
            pass
        post(orders.OrderEnded(effect.order, effect.endpoint, outcome))

    def request_report(self, effect: orders.RequestEngineReport,
                       post: Post) -> None:
        self.tasks.spawn(self._request_report(effect, post))

    async def _request_report(self, effect: orders.RequestEngineReport,
                              post: Post) -> None:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                response = await self.client.get(
                    f'http://{effect.address}/loaded')
                if response.status_code != STATUS_OK:
                    return
                body: Any = await read_json(response)
            loaded = LoadedModel(ModelId(str(body['model'])),
                                 WeightVersion(str(body['version'])),
                                 str(body['adapter']))
            loading = bool(body['loading'])
        except (http_errors.AiosonicError, OSError, ValueError, EOFError,
                KeyError, TypeError):
            return
        post(orders.EngineReported(effect.endpoint, loaded, loading))


def _outcome(status: int) -> OrderOutcome:
    if status == STATUS_OK:
        return OrderOutcome.DONE
    if status == STATUS_FENCED:
        return OrderOutcome.FENCED
    # A status that HTTP does not define does not show what became of the order.
    return (OrderOutcome.FAILED
            if status in VALID_STATUSES else OrderOutcome.UNKNOWN)
