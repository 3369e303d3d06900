"""Platform adapter of the gateway, and the gateway's command."""

import asyncio
import os
import sys

import attrs
import click

from plantainridge.gateway import ports
from plantainridge.gateway.events import RawRecord, View, ViewUpdate
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.process import BootTimeLoop, Gateway
from plantainridge.gateway.settings import GatewaySettings, InvalidSetting
from plantainridge.loop.ports import Post
from plantainridge.loop.tasks import Tasks
from plantainridge.platform import records
from plantainridge.platform import settings as platform_settings
from plantainridge.platform.engines import PlatformEngines
from plantainridge.platform.requests import PlatformWire
from plantainridge.platform.store import PlatformStore

EXIT_INVALID_SETTINGS = 2


class PlatformAdapter(ports.Adapter):
    """Factory of the platform's ports."""

    def __init__(self,
                 path: str,
                 metrics_port: int | None = None,
                 learns_speeds: bool = False) -> None:
        """Initialize the adapter.

        Args:
            path: Path of the settings file.
            metrics_port: Port for metrics; None for the last internal port.
            learns_speeds: Whether the speed of endpoints is always learned.
        """
        self.wire = PlatformWire()
        self.path = path
        self.metrics_port = metrics_port
        self.learns_speeds = learns_speeds

    def read_settings(self) -> GatewaySettings | InvalidSetting:
        settings = platform_settings.read(self.path)
        if isinstance(settings, InvalidSetting):
            return settings
        settings = attrs.evolve(settings, learns_speeds=self.learns_speeds)
        if self.metrics_port is None:
            return settings
        return attrs.evolve(settings, metrics_port=self.metrics_port)

    def settings_mtime_s(self) -> float:
        try:
            return os.stat(self.path).st_mtime
        except OSError:
            return 0.0

    def metadata_store(self, settings: GatewaySettings, pool: Pool,
                       tasks: Tasks, post: Post) -> ports.MetadataStorePort:
        return PlatformStore(pool, tasks, settings.store_address, settings.vm,
                             post)

    def engines(self, settings: GatewaySettings, pool: Pool, tasks: Tasks,
                post: Post) -> ports.EnginePort:
        return PlatformEngines(pool, tasks, settings.vm, post)

    def decode_record(self, view: View, record: RawRecord) -> ViewUpdate:
        return records.decode_update(view, record)


async def _run(settings: GatewaySettings, adapter: PlatformAdapter) -> None:
    await Gateway(settings, adapter).run()


@click.command('gateway')
@click.option('--settings',
              'path',
              envvar=platform_settings.SETTINGS_PATH_VARIABLE,
              show_envvar=True,
              required=True,
              help="Path of the platform's settings file.")
@click.option('--metrics-port',
              envvar='PLANTAINRIDGE_METRICS_PORT',
              show_envvar=True,
              type=click.IntRange(1, 65_535),
              help='Port for metrics; the last internal port by default.')
@click.option('--learn-speeds',
              'learns_speeds',
              envvar='PLANTAINRIDGE_LEARN_SPEEDS',
              show_envvar=True,
              is_flag=True,
              help='Learn the speed of endpoints even if they report none.')
def main(path: str, metrics_port: int | None, learns_speeds: bool) -> None:
    """Run the gateway process of one VM until SIGTERM."""
    adapter = PlatformAdapter(path, metrics_port, learns_speeds)
    settings = adapter.read_settings()
    if isinstance(settings, InvalidSetting):
        click.echo(str(settings), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        runner.run(_run(settings, adapter))
