"""Operators' HTTP interface: health, readiness, state, histograms."""

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from plantainridge.metrics import Metrics
from plantainridge.runtime import Runtime


class OperatorsApp:
    """Routes of the operators' interface."""

    def __init__(self, runtime: Runtime, metrics: Metrics) -> None:
        self.runtime = runtime
        self.metrics = metrics
        self.app = Starlette(routes=[
            Route('/healthz', self.health),
            Route('/readyz', self.ready),
            Route('/state', self.state),
            Route('/metrics', self.prometheus),
        ])

    async def health(self, request: Request) -> Response:
        """Says that the process runs."""
        del request
        return PlainTextResponse('ok')

    async def ready(self, request: Request) -> Response:
        """Says whether the balancer may send requests here."""
        del request
        ready = self.runtime.state.ready
        return PlainTextResponse('ready' if ready else 'not ready',
                                 status_code=200 if ready else 503)

    async def state(self, request: Request) -> Response:
        """Shows what this VM knows, without prompts and keys."""
        del request
        state = self.runtime.state
        return JSONResponse({
            'vm': state.vm,
            'dc': state.dc,
            'incarnation': state.incarnation,
            'ready': state.ready,
            'revision': state.config.revision,
            'readiness': state.readiness.value,
            'conflicts': [
                attrs.asdict(each) for each in state.revisions.conflicts
            ],
            'calls': len(state.calls.calls),
            'endpoints': {
                view.id: {
                    'own': len(view.own),
                    'waiting_tokens': view.waiting_tokens(),
                    'leaving': view.leaving or view.endpoint.leaving,
                } for view in state.endpoints.values()
            },
        })

    async def prometheus(self, request: Request) -> Response:
        """Shows the histograms in the Prometheus text format."""
        del request
        return PlainTextResponse('\n'.join(self.metrics.prometheus()) + '\n')
