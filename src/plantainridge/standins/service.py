"""Model of a plain service that counts each run by key."""

from collections import Counter

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


@attrs.frozen
class Run:
    """What became of one call at the service.

    Attributes:
        count: How often the key's call has run.
        fresh: Whether this call did the work, rather than an earlier one.
    """

    count: int
    executed: bool


class ServiceModel:
    """A ledger that knows how often each key's call was run.

    Attributes:
        checks_keys: Whether a key that was seen before is not run again.
    """

    def __init__(self, checks_keys: bool = False) -> None:
        self.checks_keys = checks_keys
        self.runs: Counter[str] = Counter()

    def run(self, key: str) -> Run:
        """Run a call, unless its key is checked and was seen before."""
        executed = not (self.checks_keys and key and self.runs[key])
        self.runs[key] += executed
        return Run(self.runs[key], executed)


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
        """Run one call and echoes the request id."""
        body = await request.body()
        run = self.model.run(request.headers.get('idempotency-key', ''))
        return JSONResponse(
            {
                'runs': run.count,
                'bytes': len(body)
            },
            headers={'x-request-id': request.headers.get('x-request-id', '')})
