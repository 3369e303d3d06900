"""Command group `bench`, with the options that all benches share.

A bench is a module `bench_<name>.py` of this package with a click command
named `command`. The group lists modules by this prefix and imports a bench only
when it is run.
"""

import functools
import importlib
import json
import pathlib
import pkgutil
from collections.abc import Callable, Mapping
from typing import Any, Final

import click

import plantainridge

_MODULE_PREFIX: Final = 'bench_'

Command = Callable[..., Any]


class BenchGroup(click.Group):
    """Group whose commands are the bench modules of the package."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        names = {
            module.name.removeprefix(_MODULE_PREFIX).replace('_', '-')
            for module in pkgutil.iter_modules(plantainridge.__path__)
            if module.name.startswith(_MODULE_PREFIX)
        }
        return sorted(names | set(super().list_commands(ctx)))

    def get_command(self, ctx: click.Context,
                    cmd_name: str) -> click.Command | None:
        registered = super().get_command(ctx, cmd_name)
        if registered is not None:
            return registered
        if cmd_name not in self.list_commands(ctx):
            return None
        name = _MODULE_PREFIX + cmd_name.replace('-', '_')
        module = importlib.import_module(f'{plantainridge.__name__}.{name}')
        command: click.Command = module.command
        return command


def options(command: Command) -> Command:
    """Add the options `--seed` and `--json` to a bench.

    The wrapped function takes `seed` and returns its figures as a mapping that
    can be encoded as JSON. The figures are printed as one line and, with
    `--json`, written to a file.
    """

    @click.option('--seed',
                  type=click.IntRange(min=0),
                  default=1,
                  show_default=True,
                  help='Seed of all random draws.')
    @click.option('--json',
                  'json_file',
                  type=click.Path(dir_okay=False, path_type=pathlib.Path),
                  help='File to write the figures to.')
    @functools.wraps(command)
    def run(json_file: pathlib.Path | None, **kwargs: Any) -> None:
        figures: Mapping[str, Any] = command(**kwargs)
        if json_file is not None:
            json_file.write_text(json.dumps(figures, indent=2) + '\n')
        click.echo(json.dumps(figures))

    return run
