"""HTTP interface for operators: health, readiness, state and metrics."""

from collections.abc import Iterator

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from plantainridge import members
from plantainridge.metrics import Metrics
from plantainridge.runtime import Runtime


class OperatorsApp:
    """ASGI application that serves operators."""

    def __init__(self, runtime: Runtime, metrics: Metrics) -> None:
        self.runtime = runtime
        self.metrics = metrics
        self.app = Starlette(routes=[
            Route('/healthz', self.health),
            Route('/readyz', self.ready),
            Route('/state', self.state),
            Route('/members', self.members),
            Route('/histograms', self.histograms),
            Route('/metrics', self.prometheus),
        ])

    async def health(self, request: Request) -> Response:
        """Report that the process is running."""
        del request
        return PlainTextResponse('ok')

    async def ready(self, request: Request) -> Response:
        """Report whether the load balancer may send requests to this VM."""
        del request
        state = self.runtime.state
        return PlainTextResponse(state.readiness.value,
                                 status_code=200 if state.ready else 503)

    async def state(self, request: Request) -> Response:
        """Show this VM's state, without prompts and API keys."""
        del request
        state = self.runtime.state
        return JSONResponse({
            'vm': state.vm,
            'dc': state.dc,
            'incarnation': state.incarnation,
            'ready': state.ready,
            'revision': state.config.revision,
            'config_next': state.config_next,
            'readiness': state.readiness.value,
            'conflicts': [
                attrs.asdict(each) for each in state.revisions.conflicts
            ],
            'calls': len(state.calls.calls),
            'endpoints': {
                view.id: {
                    'own': len(view.own_attempts),
                    'waiting_tokens': view.waiting_tokens(),
                    'leaving': view.leaving or view.endpoint.leaving,
                } for view in state.endpoints.values()
            },
        })

    async def members(self, request: Request) -> Response:
        """Show the VMs considered alive and the membership list."""
        del request
        state = self.runtime.state
        return JSONResponse({
            'live_in_dc': members.live_in_dc(state, self.runtime.loop.time()),
            'listed': [
                attrs.asdict(member)
                for member in state.members.listed.values()
            ],
            'leaving_endpoints': sorted(state.members.leaving_endpoints),
        })

    async def histograms(self, request: Request) -> Response:
        """Show a summary of each histogram as JSON."""
        del request
        return JSONResponse({
            'histograms': list(self.metrics.rows()),
            'dropped': self.metrics.dropped
        })

    async def prometheus(self, request: Request) -> Response:
        """Show gauges and histograms in the Prometheus text format."""
        del request
        lines = [*self._gauges(), *self.metrics.prometheus()]
        return PlainTextResponse('\n'.join(lines) + '\n')

    def _gauges(self) -> Iterator[str]:
        state = self.runtime.state
        gauges = {
            'ready': int(state.ready),
            'config_revision': state.config.revision,
            'calls_in_flight': len(state.calls.calls),
            'attempts_in_flight': len(state.calls.attempts),
            'histograms_dropped': self.metrics.dropped,
        }
        for name, value in gauges.items():
            yield f'# TYPE plantainridge_{name} gauge'
            yield f'plantainridge_{name} {value}'
