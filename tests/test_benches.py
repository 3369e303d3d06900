"""Tests of the command group that finds the benches."""

import json
import pathlib
import tempfile
import unittest
from collections.abc import Mapping

import click
from click.testing import CliRunner

from plantainridge import benches, cli


@click.command('sample')
@benches.options
def sample(seed: int) -> Mapping[str, int]:
    """Return the seed as a figure."""
    return {'seed': seed}


class BenchGroupTest(unittest.TestCase):
    """Each bench module can be loaded as a command."""

    def test_loads_every_listed_bench(self) -> None:
        context = click.Context(cli.bench)
        for name in cli.bench.list_commands(context):
            with self.subTest(name):
                command = cli.bench.get_command(context, name)
                self.assertIsInstance(command, click.Command)

    def test_an_unknown_bench_is_a_usage_error(self) -> None:
        result = CliRunner().invoke(cli.main, ['bench', 'nowhere'])
        self.assertEqual(result.exit_code, 2)
        self.assertIn('nowhere', result.output)


class OptionsTest(unittest.TestCase):
    """Figures go to standard output and, with `--json`, to a file."""

    def test_writes_the_same_figures_to_both(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'figures.json'
            result = CliRunner().invoke(
                sample,
                ['--seed', '7', '--json', str(path)])
            self.assertEqual(json.loads(result.output), {'seed': 7})
            self.assertEqual(json.loads(path.read_text()), {'seed': 7})
