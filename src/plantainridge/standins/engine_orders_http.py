"""HTTP interface for an engine's orders."""

from typing import Final

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plantainridge.ids import ModelId, WeightVersion
from plantainridge.orders import LoadedModel, OrderOutcome
from plantainridge.orders_http import STATUS_FENCED
from plantainridge.standins.engine_orders import OrderHandler

_STATUS: Final = {
    OrderOutcome.DONE: 200,
    OrderOutcome.FENCED: STATUS_FENCED,
    OrderOutcome.FAILED: 503,
    OrderOutcome.UNKNOWN: 503,
}


def routes(handler: OrderHandler) -> list[Route]:
    """Return the HTTP routes of one engine's order interface."""

    async def order(request: Request) -> Response:
        body = await request.json()
        target = LoadedModel(ModelId(body['model']),
                             WeightVersion(body['version']), body['adapter'])
        outcome = await handler.order(body['fence'], target)
        return JSONResponse({'outcome': outcome.value},
                            status_code=_STATUS[outcome])

    async def loaded(request: Request) -> Response:
        del request
        return JSONResponse({
            'model': handler.loaded.model,
            'version': handler.loaded.version,
            'adapter': handler.loaded.adapter,
            'loading': handler.loading,
        })

    return [
        Route('/orders', order, methods=['POST']),
        Route('/loaded', loaded),
    ]
