"""Tests of the fault matrix, and regression tests of cells that failed."""

import unittest

from click.testing import CliRunner

from plantainridge import matrix
from plantainridge.matrix import Cell, CellResult, Injection, Report
from plantainridge.standins.cycles import RequestCycle, Step, SwapCycle
from plantainridge.standins.faults import EngineCrashed, LogDown, VmKilled
from plantainridge.standins.oracle import Check, Violation

SEED = 1


def find_step(cycle: type, name: str) -> Step:
    """Return a step of a life cycle by its name."""
    steps: tuple[Step, ...] = cycle.steps  # type: ignore[attr-defined]
    return next(step for step in steps if step.name == name)


class RegressionTest(unittest.TestCase):
    """Regression tests of cells that failed."""

    def test_suspect_of_a_replaced_version_gets_a_final_reply(self) -> None:
        # Without a final reply, the suspect was resent without end to engines
        # that run another version.
        for name in ('order_ended', 'second_order'):
            with self.subTest(step=name):
                injection = Injection(EngineCrashed, find_step(SwapCycle, name))
                result = matrix.run_cell(Cell(SwapCycle, (injection,)), SEED)
                self.assertTrue(result.passed, result.violations)

    def test_copies_ended_by_one_crash_are_not_quarantined(self) -> None:
        # Each VM that had a copy of the request on the engine must not count
        # the crash again.
        injection = Injection(EngineCrashed,
                              find_step(RequestCycle, 'mid_stream'))
        result = matrix.run_cell(Cell(RequestCycle, (injection,)), SEED)
        self.assertTrue(result.passed, result.violations)


class ReportTest(unittest.TestCase):
    """A cell passes only if its faults happened without violations."""

    CELL = Cell(RequestCycle, (Injection(VmKilled, RequestCycle.steps[0]),))
    PAIR = Cell(RequestCycle, (Injection(LogDown, RequestCycle.steps[0]),
                               Injection(VmKilled, RequestCycle.steps[1])))
    VIOLATED = (Violation(Check.AT_MOST_ONCE, 'ran twice'),)

    def test_counts_each_kind(self) -> None:
        cases = [
            (CellResult(self.CELL, ('vm_killed',), ()), (1, 0, 0)),
            (CellResult(self.CELL, (), ()), (0, 1, 0)),
            (CellResult(self.CELL, ('vm_killed',), self.VIOLATED), (0, 1, 0)),
            (CellResult(self.PAIR, ('log_down',), ()), (0, 0, 1)),
            (CellResult(self.PAIR, ('log_down',), self.VIOLATED), (0, 1, 0)),
        ]
        for result, (passed, failed, skipped) in cases:
            with self.subTest(result=result):
                report = Report()
                report.add(result)
                self.assertEqual(report.passed, passed)
                self.assertEqual(len(report.failed), failed)
                self.assertEqual(len(report.not_applicable), skipped)


class CommandTest(unittest.TestCase):
    """Tests of the command line of the matrix."""

    def test_invalid_shard_is_reported(self) -> None:
        for value in ('0/2', '3/2', 'x', '1'):
            with self.subTest(value=value):
                result = CliRunner().invoke(matrix.matrix, ['--part', value])
                self.assertEqual(result.exit_code, 2)
                self.assertIn(value, result.output)

    def test_shards_include_each_cell_once(self) -> None:
        shards = [matrix.Shard(number, 3) for number in (1, 2, 3)]
        for index in range(7):
            owners = [shard for shard in shards if shard.includes(index)]
            self.assertEqual(len(owners), 1)
