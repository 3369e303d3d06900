"""Model of a plain service that counts runs by idempotency key."""

from collections import Counter

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


@attrs.frozen
class Run:
    """Result of one call to the service.

    Attributes:
        count: Number of times that the key's call has run.
        executed: Whether this call ran, rather than an earlier one only.
    """

    count: int
    executed: bool


class ServiceModel:
    """Service that counts the runs of each key's call.

    Attributes:
        checks_keys: Whether a call is not run again for a known key.
        runs: Number of runs by key.
    """

    def __init__(self, checks_keys: bool = False) -> None:
        self.checks_keys = checks_keys
        self.runs: Counter[str] = Counter()

    def run(self, key: str) -> Run:
        """Run a call, unless keys are checked and its key has run before."""
        executed = not (self.checks_keys and key and self.runs[key])
        self.runs[key] += executed
        return Run(self.runs[key], executed)


class ServiceApp:
    """HTTP routes of one plain service."""

    def __init__(self, model: ServiceModel) -> None:
        self.model = model
        self.app = Starlette(routes=[
            Route('/{path:path}',
                  self.call,
                  methods=['GET', 'POST', 'PUT', 'DELETE'])
        ])

    async def call(self, request: Request) -> Response:
        """Run one call and return the request id in the answer's header."""
        body = await request.body()
        run = self.model.run(request.headers.get('idempotency-key', ''))
        return JSONResponse(
            {
                'runs': run.count,
                'bytes': len(body)
            },
            headers={'x-request-id': request.headers.get('x-request-id', '')})
