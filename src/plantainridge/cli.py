"""Command line of the package: parses options and runs commands."""

import asyncio
import pathlib
import sys
from typing import Any

import click
from absl import logging

from plantainridge import (VERSION, benches, demo, matrix, process, reports,
                           settings, sheet_cli)
from plantainridge.callers import BODY_TIMEOUT_S, MAX_BODY_BYTES, RequestLimits
from plantainridge.entry import EntryProcess, EntrySettings
from plantainridge.gateway import explain
from plantainridge.platform import adapter
from plantainridge.standins.commands import standin


@click.group(
    context_settings={'auto_envvar_prefix': settings.ENVIRONMENT_PREFIX})
def main() -> None:
    """Serve prompts with shared context that is reused after long gaps."""
    reports.set_up_logs()


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(VERSION)


@main.command('entry')
@settings.option('--vm',
                 type=settings.NAME,
                 required=True,
                 help='Name of the VM.')
@settings.option('--dc',
                 type=settings.NAME,
                 required=True,
                 help='Name of the data centre of the VM.')
@settings.option('--host',
                 type=settings.HOST,
                 required=True,
                 help='IP address to listen on.')
@settings.option('--port',
                 type=settings.PORT,
                 default=8080,
                 help='Port for callers; 0 for one that the system assigns.')
@settings.option('--operator-port',
                 type=settings.PORT,
                 default=8081,
                 help='Port for operators; 0 for one that the system assigns.')
@settings.option('--peer-port',
                 type=settings.PORT,
                 default=8082,
                 help='UDP and TCP port for other VMs; 0 for one that the '
                 'system assigns.')
@settings.option('--peer',
                 'peers',
                 type=settings.ADDRESS,
                 multiple=True,
                 help='Address of another VM of the data centre; may be '
                 'repeated.')
@settings.option('--log',
                 'log_address',
                 type=settings.ADDRESS,
                 required=True,
                 help="Address of the platform's append-only log.")
@settings.option('--members',
                 'members_address',
                 type=settings.ADDRESS,
                 help="Address of the platform's membership list; none by "
                 "default.")
@settings.option('--max-body-bytes',
                 type=settings.NumberType(1_024, 64 * 1_024 * 1_024),
                 default=MAX_BODY_BYTES,
                 help="Size limit of a request body from callers, in bytes.")
@settings.option('--body-timeout-s',
                 type=settings.NumberType(1.0, 600.0),
                 default=BODY_TIMEOUT_S,
                 help='Time limit for receiving a complete request body, '
                 'in s.')
def run_entry(max_body_bytes: int, body_timeout_s: float, peers: tuple[str,
                                                                       ...],
              members_address: str | None, **options: Any) -> None:
    """Run an entry VM until SIGTERM, then shut it down gracefully."""
    entry_settings = EntrySettings(members_address=members_address or '',
                                   peers=peers,
                                   limits=RequestLimits(max_body_bytes,
                                                        body_timeout_s),
                                   **options)
    asyncio.run(process.run(EntryProcess(entry_settings)))


main.add_command(standin)


@main.command('demo')
@settings.option('--examples',
                 type=click.Path(exists=True,
                                 file_okay=False,
                                 path_type=pathlib.Path),
                 default=demo.EXAMPLES,
                 help='Directory that contains luminar.csv and scordato.csv.')
@settings.option('--seed', type=settings.NumberType(0, 2**32), default=1)
@settings.option('--verbose', is_flag=True, help='Show log lines.')
def run_demo(examples: pathlib.Path, seed: int, verbose: bool) -> None:
    """Run both example deployments on loopback, with stand-ins."""
    if not verbose:
        reports.set_up_logs(logging.FATAL)
    sys.exit(asyncio.run(demo.run(examples, seed)))


@main.group(cls=benches.BenchGroup)
def bench() -> None:
    """Run a benchmark of one part and print its results as JSON."""


main.add_command(matrix.matrix)
main.add_command(explain.main)
main.add_command(adapter.main)
main.add_command(sheet_cli.commands)
