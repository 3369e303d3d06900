"""The platform as the gateway sees it, and its command."""

import asyncio
import sys

import click

from plantainridge.gateway import ports
from plantainridge.gateway.events import News, RawRecord, View
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.process import BootTimeLoop, Gateway
from plantainridge.gateway.settings import GatewaySettings, SettingsFault
from plantainridge.platform import records
from plantainridge.platform import settings as platform_settings
from plantainridge.platform.engines import PlatformEngines
from plantainridge.platform.requests import PlatformWire
from plantainridge.platform.store import PlatformStore
from plantainridge.tasks import Tasks

EXIT_SETTINGS = 2


class PlatformAdapter(ports.Adapter):
    """Translates between the gateway and the platform."""

    def __init__(self) -> None:
        self.wire = PlatformWire()

    def store(self, settings: GatewaySettings, pool: Pool, tasks: Tasks,
              post: ports.Post) -> ports.StorePort:
        return PlatformStore(pool, tasks, settings.store_address, settings.vm,
                             post)

    def engines(self, settings: GatewaySettings, pool: Pool, tasks: Tasks,
                post: ports.Post) -> ports.EnginePort:
        return PlatformEngines(pool, tasks, settings.vm, post)

    def decode_record(self, view: View, record: RawRecord) -> News:
        return records.decode_news(view, record)


async def _run(settings: GatewaySettings) -> None:
    await Gateway(settings, PlatformAdapter()).run()


@click.command('gateway')
@click.option('--settings',
              'path',
              envvar=platform_settings.SETTINGS_PATH_VARIABLE,
              show_envvar=True,
              required=True,
              help="The platform's settings file.")
def main(path: str) -> None:
    """Runs the process of one gateway VM until SIGTERM."""
    found = platform_settings.read(path)
    if isinstance(found, SettingsFault):
        click.echo(str(found), err=True)
        sys.exit(EXIT_SETTINGS)
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        runner.run(_run(found))
