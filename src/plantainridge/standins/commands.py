"""The `standin` commands: each stand-in as a process of its own."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Final

import click

from plantainridge import process, settings
from plantainridge.ids import EndpointId, ModelId, StoreId, WeightVersion
from plantainridge.orders import LoadedModel
from plantainridge.serve import AppServer
from plantainridge.standins import engine_orders_http
from plantainridge.standins.engine import EngineModel
from plantainridge.standins.engine_http import EngineApp
from plantainridge.standins.engine_orders import OrderHandler
from plantainridge.standins.log import LogApp, LogModel
from plantainridge.standins.members import MembersApp, MembersModel
from plantainridge.standins.service import ServiceApp, ServiceModel
from plantainridge.standins.store import StoreModel
from plantainridge.standins.store_http import StoreApp
from plantainridge.standins.weights import WeightStore

STORE_MEMORY_BLOCKS: Final = 1_500
STORE_DISK_BLOCKS: Final = 12_000
STORE_LINK_BYTES_PER_S: Final = 1.25e9


class ServerProcess(process.Process):
    """Process that serves one application on one address.

    The application is created on the running loop.
    """

    def __init__(self, make_app: Callable[[], Any], host: str,
                 port: int) -> None:
        self.make_app = make_app
        self.host = host
        self.port = port
        self.server: AppServer | None = None

    async def start(self) -> dict[str, str]:
        self.server = AppServer(self.make_app(), self.host, self.port)
        await self.server.start()
        return {'address': self.server.address}

    async def stop(self) -> None:
        if self.server is not None:
            await self.server.kill()


def _log_app() -> Any:
    model = LogModel()
    model.clock_offset_s = time.time() - asyncio.get_running_loop().time()
    return LogApp(model).app


@click.group()
@settings.option('--host', type=settings.HOST, default='127.0.0.1')
@settings.option('--port',
                 type=settings.PORT,
                 default=0,
                 help='Port to listen on; 0 lets the system choose.')
@click.pass_context
def standin(ctx: click.Context, host: str, port: int) -> None:
    """Run a stand-in for a component that the system depends on."""

    def serve(make_app: Callable[[], Any]) -> None:
        asyncio.run(process.run(ServerProcess(make_app, host, port)))

    ctx.obj = serve


Serve = Callable[[Callable[[], Any]], None]


@standin.command()
@settings.option('--name', type=settings.NAME, default='engine')
@settings.option('--weights', default='v1', help='Weight version to serve.')
@click.option('--model', default='report', help='Model to run.')
@click.pass_obj
def engine(serve: Serve, name: str, weights: str, model: str) -> None:
    """Run a model engine."""

    def make_app() -> Any:
        running = EngineModel(EndpointId(name), WeightVersion(weights))
        handler = OrderHandler(running, WeightStore(),
                               LoadedModel(ModelId(model), running.version, ''))
        return EngineApp(running, engine_orders_http.routes(handler)).app

    serve(make_app)


@standin.command()
@click.pass_obj
def service(serve: Serve) -> None:
    """Run a plain service that counts the runs of each idempotency key."""
    serve(lambda: ServiceApp(ServiceModel()).app)


@standin.command()
@click.pass_obj
def log(serve: Serve) -> None:
    """Run the platform's append-only log."""
    serve(_log_app)


@standin.command()
@click.pass_obj
def members(serve: Serve) -> None:
    """Run the platform's membership list."""
    serve(lambda: MembersApp(MembersModel()).app)


@standin.command()
@settings.option('--name', type=settings.NAME, default='store')
@click.pass_obj
def store(serve: Serve, name: str) -> None:
    """Run a store of cache blocks, with memory and disk tiers."""
    serve(lambda: StoreApp(
        StoreModel(StoreId(name), STORE_MEMORY_BLOCKS, STORE_DISK_BLOCKS,
                   STORE_LINK_BYTES_PER_S)).app)
