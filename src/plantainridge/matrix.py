"""Fault matrix: each fault at each step of the life cycles, and fault pairs."""

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
class Injection:
    """A fault and the step of a life cycle at which it is injected."""

    fault: type[Fault]
    step: Step


@attrs.frozen
class Cell:
    """A life cycle with one or two injected faults."""

    cycle: type[Cycle]
    injections: tuple[Injection, ...]

    @property
    def name(self) -> str:
        """Name of the cell in reports."""
        faults = [f'{s.fault.name}@{s.step.name}' for s in self.injections]
        return f'{self.cycle.name}: ' + ' + '.join(faults)


@attrs.frozen
class CellResult:
    """Result of one cell's run.

    Attributes:
        injected: Names of the faults that were injected at their step.
        violations: Violations that the oracle found.
    """

    cell: Cell
    injected: tuple[str, ...]
    violations: tuple[Violation, ...]

    @property
    def passed(self) -> bool:
        """Whether every fault was injected and no violation was found."""
        return (len(self.injected) == len(self.cell.injections) and
                not self.violations)


@attrs.define
class Report:
    """Totals of the cells, for the report.

    Attributes:
        passed: Number of cells that passed.
        failed: Name, missing faults and violations of each failed cell.
        not_applicable: Name and reason of each skipped cell.
    """

    passed: int = 0
    failed: list[dict[str, Any]] = attrs.field(factory=list)
    not_applicable: list[dict[str, str]] = attrs.field(factory=list)

    def add(self, result: CellResult) -> None:
        """Add the result of a cell that ran.

        A pair whose first fault ends the life cycle before the step of the
        second one counts as not applicable, unless there are violations.
        """
        if len(result.injected) == 1 < len(
                result.cell.injections) and (not result.violations):
            self.skip(
                result.cell, 'the first fault keeps the life cycle from '
                'the second one\'s step')
            return
        if result.passed:
            self.passed += 1
            return
        missing = [
            injection.fault.name
            for injection in result.cell.injections
            if injection.fault.name not in result.injected
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

    def skip(self, cell: Cell, reason: str) -> None:
        """Add a cell whose fault does not apply to its life cycle."""
        self.not_applicable.append({'cell': cell.name, 'why': reason})

    def as_json(self) -> dict[str, Any]:
        """Return the figures for the report file."""
        return {
            'cells': self.passed + len(self.failed),
            'passed': self.passed,
            'failed': self.failed,
            'not_applicable': self.not_applicable,
        }


def single_cells() -> Iterator[Cell]:
    """Yield a cell for every fault at every step of each life cycle."""
    for cycle in CYCLES:
        for step in cycle.steps:
            for fault in FAULTS:
                yield Cell(cycle, (Injection(fault, step),))


def pair_cells(seed: int, count: int) -> Iterator[Cell]:
    """Yield `count` random pairs of faults, with steps in order."""
    rng = random.Random(seed)
    for _ in range(count):
        cycle = rng.choice(CYCLES)
        first, second = sorted(rng.choices(range(len(cycle.steps)), k=2))
        # A killed VM reaches no further step, so it cannot be the first fault.
        survivable = [fault for fault in FAULTS if fault.name != 'vm_killed']
        yield Cell(cycle,
                   (Injection(rng.choice(survivable), cycle.steps[first]),
                    Injection(rng.choice(FAULTS), cycle.steps[second])))


def skip_reason(cell: Cell) -> str:
    """Return why a cell cannot be run; empty if it can."""
    for injection in cell.injections:
        reason = injection.fault().inapplicable_reason(cell.cycle.name)
        if reason:
            return reason
    return ''


def run_cell(cell: Cell, seed: int) -> CellResult:
    """Run one cell on its own virtual clock."""
    return virtual_time.run(_run(cell, seed))


async def _run(cell: Cell, seed: int) -> CellResult:
    scenario = Scenario(seed)
    await asyncio.sleep(START_S)
    injected: list[str] = []
    for injection in cell.injections:
        fault = injection.fault()

        def inject_fault(fault: Fault = fault) -> None:
            injected.append(fault.name)
            fault.inject(scenario)

        scenario.act_on_nth(injection.step.matches, injection.step.nth,
                            inject_fault)
    cycle = cell.cycle()
    await cycle.run(scenario)
    await scenario.settle(SETTLE_S)
    await scenario.oracle.probe()
    violations = scenario.oracle.find_violations()
    if len(cell.injections) == 1 and cell.injections[0].fault.requests_survive:
        violations += [
            Violation(Check.RECOVERY, request)
            for request in cycle.unfinished_requests(scenario)
        ]
    return CellResult(cell, tuple(injected), tuple(violations))


@attrs.frozen
class Shard:
    """One of several equal shards of the cells.

    Attributes:
        number: Index of the shard, from 1.
        shard_count: Number of shards.
    """

    number: int
    shard_count: int

    def includes(self, index: int) -> bool:
        """Return whether the cell at this index belongs to the shard."""
        return index % self.shard_count == self.number - 1


class ShardType(click.ParamType[Shard]):
    """Parameter type of a shard, such as 2/4."""

    name = 'part'

    def convert(self, value: Any, param: click.Parameter | None,
                ctx: click.Context | None) -> Shard:
        if isinstance(value, Shard):
            return value
        number, _, shard_count = str(value).partition('/')
        if not (number.isdigit() and shard_count.isdigit() and
                1 <= int(number) <= int(shard_count)):
            self.fail(f'{value!r} is not a shard such as 2/4', param, ctx)
        return Shard(int(number), int(shard_count))


ALL_CELLS: Final = Shard(1, 1)


def run(seed: int,
        pairs: int,
        only: str = '',
        shard: Shard = ALL_CELLS) -> Report:
    """Run one shard of the cells whose name contains `only`.

    Args:
        seed: Seed of the scenarios and of the random pairs.
        pairs: Number of fault pairs.
        only: Substring of the names of the cells to run.
        shard: Shard of these cells to run.
    """
    report = Report()
    matching = [
        cell for cell in (*single_cells(), *pair_cells(seed, pairs))
        if only in cell.name
    ]
    cells = [
        cell for index, cell in enumerate(matching) if shard.includes(index)
    ]
    with click.progressbar(cells, label='cells') as progress:
        for cell in progress:
            reason = skip_reason(cell)
            if reason:
                report.skip(cell, reason)
            else:
                report.add(run_cell(cell, seed))
    return report


@click.command()
@click.option('--seed', type=click.IntRange(0), default=1, show_default=True)
@click.option('--pairs',
              type=click.IntRange(0),
              default=DEFAULT_PAIRS,
              show_default=True,
              help='Number of random fault pairs.')
@click.option('--only',
              default='',
              help='Substring of the names of the cells to run.')
@click.option('--part',
              type=ShardType(),
              default='1/1',
              show_default=True,
              help='Shard of the cells to run, such as 2/4.')
@click.option('--json',
              'json_file',
              type=click.Path(dir_okay=False, path_type=pathlib.Path),
              help='File to write the report to.')
def matrix(seed: int, pairs: int, only: str, part: Shard,
           json_file: pathlib.Path | None) -> None:
    """Run every fault at every step; exit with 1 if a cell fails."""
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
