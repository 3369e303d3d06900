"""Model of a plain service that counts each run by key."""

from collections import Counter

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


class ServiceModel:
    """A ledger that knows how often each key's call was run."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()

    def run(self, key: str) -> int:
        """Runs a call; returns how often its key has run."""
        self.runs[key] += 1
        return self.runs[key]


class ServiceApp:
    """Routes of one plain service."""

    def __init__(self, model: ServiceModel) -> None:
        self.model = model
        self.app = Starlette(routes=[
            Route('/{path:path}',
                  self.call,
                  methods=['GET', 'POST', 'PUT', 'DELETE'])
        ])

    async def call(self, request: Request) -> Response:
        """Runs one call and echoes the request id."""
        body = await request.body()
        key = request.headers.get('idempotency-key', '')
        count = self.model.run(key)
        return JSONResponse(
            {
                'runs': count,
                'bytes': len(body)
            },
            headers={'x-request-id': request.headers.get('x-request-id', '')})
