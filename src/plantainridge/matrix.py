"""Fault matrix: every fault at every step of each life cycle, and pairs."""

import asyncio
import json
import pathlib
import random
from collections.abc import Iterator
from typing import Any, Final

import attrs
import click

from plantainridge import virtual_time
from plantainridge.standins.cycles import CYCLES, Cycle, Step
from plantainridge.standins.faults import FAULTS, Fault
from plantainridge.standins.oracle import Check, Violation
from plantainridge.standins.scenario import START_S, Scenario

SETTLE_S: Final = 100.0
DEFAULT_PAIRS: Final = 60


@attrs.frozen
class Strike:
    """A fault and the step at which it strikes."""

    fault: type[Fault]
    step: Step


@attrs.frozen
class Cell:
    """One life cycle with one or two strikes."""

    cycle: type[Cycle]
    strikes: tuple[Strike, ...]

    @property
    def name(self) -> str:
        """The cell's name in reports."""
        parts = [f'{s.fault.name}@{s.step.name}' for s in self.strikes]
        return f'{self.cycle.name}: ' + ' + '.join(parts)


@attrs.frozen
class CellResult:
    """What a cell's run showed.

    Attributes:
        struck: Names of faults that happened at their step.
    """

    cell: Cell
    struck: tuple[str, ...]
    violations: tuple[Violation, ...]

    @property
    def passed(self) -> bool:
        """Whether every fault happened and no condition was broken."""
        return (len(self.struck) == len(self.cell.strikes) and
                not self.violations)


@attrs.define
class Report:
    """Counts cells and words the summary."""

    passed: int = 0
    failed: list[dict[str, Any]] = attrs.field(factory=list)
    not_applicable: list[dict[str, str]] = attrs.field(factory=list)

    def add(self, result: CellResult) -> None:
        """Counts a cell that ran."""
        if len(result.struck) == 1 < len(
                result.cell.strikes) and (not result.violations):
            self.skip(
                result.cell, 'the first fault keeps the life cycle from '
                'the second one\'s step')
            return
        if result.passed:
            self.passed += 1
            return
        missing = [
            strike.fault.name
            for strike in result.cell.strikes
            if strike.fault.name not in result.struck
        ]
        self.failed.append({
            'cell':
                result.cell.name,
            'did_not_happen':
                missing,
            'violations': [
                f'{each.check.value}: {each.detail}'
                for each in result.violations
            ],
        })

    def skip(self, cell: Cell, why: str) -> None:
        """Counts a cell whose fault cannot touch its life cycle."""
        self.not_applicable.append({'cell': cell.name, 'why': why})

    def as_json(self) -> dict[str, Any]:
        """Returns the figures for the report file."""
        return {
            'cells': self.passed + len(self.failed),
            'passed': self.passed,
            'failed': self.failed,
            'not_applicable': self.not_applicable,
        }


def single_cells() -> Iterator[Cell]:
    """Yields every fault at every step of each life cycle."""
    for cycle in CYCLES:
        for step in cycle.steps:
            for fault in FAULTS:
                yield Cell(cycle, (Strike(fault, step),))


def pair_cells(seed: int, count: int) -> Iterator[Cell]:
    """Yields pairs of faults at steps in order, drawn by a seed."""
    rng = random.Random(seed)
    for _ in range(count):
        cycle = rng.choice(CYCLES)
        first, second = sorted(rng.choices(range(len(cycle.steps)), k=2))
        # A VM that has died goes through no further step.
        harmless = [fault for fault in FAULTS if fault.name != 'vm_killed']
        yield Cell(cycle, (Strike(rng.choice(harmless), cycle.steps[first]),
                           Strike(rng.choice(FAULTS), cycle.steps[second])))


def why_not(cell: Cell) -> str:
    """Returns why a cell cannot be run, or nothing."""
    for strike in cell.strikes:
        why = strike.fault().inapplicable_reason(cell.cycle.name)
        if why:
            return why
    return ''


def run_cell(cell: Cell, seed: int) -> CellResult:
    """Runs one cell on a clock of its own."""
    return virtual_time.run(_run(cell, seed))


async def _run(cell: Cell, seed: int) -> CellResult:
    scenario = Scenario(seed)
    await asyncio.sleep(START_S)
    struck: list[str] = []
    for strike in cell.strikes:
        fault = strike.fault()

        def act(fault: Fault = fault) -> None:
            struck.append(fault.name)
            fault.inject(scenario)

        scenario.act_on_nth(strike.step.matches, strike.step.nth, act)
    cycle = cell.cycle()
    await cycle.run(scenario)
    await scenario.settle(SETTLE_S)
    await scenario.oracle.probe()
    violations = scenario.oracle.find_violations()
    if len(cell.strikes) == 1 and cell.strikes[0].fault.requests_survive:
        violations += [
            Violation(Check.RECOVERY, lost)
            for lost in cycle.unfinished_requests(scenario)
        ]
    return CellResult(cell, tuple(struck), tuple(violations))


@attrs.frozen
class Part:
    """One of several equal shares of the cells, counted from 1."""

    number: int
    parts: int

    def takes(self, index: int) -> bool:
        """Whether a cell belongs to this share."""
        return index % self.parts == self.number - 1


class PartType(click.ParamType[Part]):
    """A share of the cells, such as 2/4."""

    name = 'part'

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> Part:
        if isinstance(value, Part):
            return value
        number, _, parts = str(value).partition('/')
        if not (number.isdigit() and parts.isdigit() and
                1 <= int(number) <= int(parts)):
            self.fail(f'{value!r} is no share such as 2/4', param, ctx)
        return Part(int(number), int(parts))


WHOLE: Final = Part(1, 1)


def run(seed: int, pairs: int, only: str = '', part: Part = WHOLE) -> Report:
    """Runs one share of the cells whose name holds `only`."""
    report = Report()
    named = [
        cell for cell in (*single_cells(), *pair_cells(seed, pairs))
        if only in cell.name
    ]
    cells = [cell for index, cell in enumerate(named) if part.takes(index)]
    with click.progressbar(cells, label='cells') as shown:
        for cell in shown:
            why = why_not(cell)
            if why:
                report.skip(cell, why)
            else:
                report.add(run_cell(cell, seed))
    return report


@click.command()
@click.option('--seed', type=click.IntRange(0), default=1, show_default=True)
@click.option('--pairs',
              type=click.IntRange(0),
              default=DEFAULT_PAIRS,
              show_default=True,
              help='How many pairs of faults are drawn.')
@click.option('--only', default='', help='Part of the names of cells to run.')
@click.option('--part',
              type=PartType(),
              default='1/1',
              show_default=True,
              help='Share of the cells to run.')
@click.option('--json',
              'json_file',
              type=click.Path(dir_okay=False, path_type=pathlib.Path),
              help='File to write the report to.')
def matrix(seed: int, pairs: int, only: str, part: Part,
           json_file: pathlib.Path | None) -> None:
    """Runs every fault at every step; exits with 1 if a cell fails."""
    report = run(seed, pairs, only, part)
    figures = report.as_json()
    if json_file is not None:
        json_file.write_text(json.dumps(figures, indent=2) + '\n')
    for failed in report.failed:
        click.echo(f'{failed["cell"]}: {failed["violations"]} '
                   f'did not happen: {failed["did_not_happen"]}')
    click.echo(
        json.dumps({
            'cells': figures['cells'],
            'passed': report.passed,
            'failed': len(report.failed),
            'not_applicable': len(report.not_applicable),
        }))
    raise SystemExit(1 if report.failed else 0)
