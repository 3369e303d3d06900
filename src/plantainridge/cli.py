"""Command line; wires settings to the modules that do the work."""

import asyncio
import sys

import click

from plantainridge import (VERSION, benches, demo, matrix, reports, sheet_cli)


@click.group(context_settings={'auto_envvar_prefix': 'PLANTAINRIDGE'})
def main() -> None:
    """Serves prompts whose shared context returns after long gaps."""
    reports.set_up_logs()


@main.command()
def version() -> None:
    """Prints the version."""
    click.echo(VERSION)


@main.command('demo')
def run_demo() -> None:
    """Runs the whole system with stand-ins on loopback for a short while."""
    sys.exit(asyncio.run(demo.run()))


@main.group(cls=benches.BenchGroup)
def bench() -> None:
    """Measures one part of the system and prints its figures as JSON."""


main.add_command(matrix.matrix)
main.add_command(sheet_cli.commands)
