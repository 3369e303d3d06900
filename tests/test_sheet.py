"""Tests of the sheet and its commands."""

import asyncio
import pathlib
import unittest

from click.testing import CliRunner

from plantainridge import differences, sheet, sheet_checks, sheet_cli
from plantainridge.config import Config
from plantainridge.serve import AppServer
from plantainridge.sheet_cli import ExitCode
from plantainridge.sheet_rows import SheetRejected
from plantainridge.standins.log import LogApp, LogModel

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
KEY_HASH = 'ab' * 32
LUMINAR = EXAMPLES / 'luminar.csv'

VALID_ROWS = [
    {'kind': 'dc', 'name': 'neihu'},
    {'kind': 'model', 'name': 'report', 'version': 'v1'},
    {'kind': 'team', 'name': 'bureau', 'key_hash': KEY_HASH,
     'models': 'report'},
    {'kind': 'engine', 'name': 'e1', 'dc': 'neihu', 'serves': 'report',
     'address': '10.0.0.1:9000'},
]  # yapf: disable

# Rows added to the valid ones, and the columns of each row's errors.
INVALID_ROWS = [
    ({'kind': 'team', 'name': 'b c', 'key_hash': 'cd' * 32}, ['name']),
    ({'kind': 'team', 'name': 't2', 'key_hash': 'xyz'}, ['key_hash']),
    ({'kind': 'team', 'name': 't3', 'key_hash': KEY_HASH}, ['key_hash']),
    ({'kind': 'team', 'name': 't4', 'key_hash': '12' * 32, 'models': 'nix'},
     ['models']),
    ({'kind': 'team', 'name': 't5', 'key_hash': '13' * 32, 'priority': '1.5',
      'first_token_s': '1,5'}, ['priority', 'first_token_s']),
    ({'kind': 'team', 'name': 't6', 'key_hash': '14' * 32, 'dc': 'neihu'},
     ['dc']),
    ({'kind': 'engine', 'name': 'e1', 'dc': 'nowhere', 'serves': 'nothing',
      'address': 'host:80', 'fencing': 'maybe', 'leaving': 'perhaps'},
     ['fencing', 'address', 'leaving', 'name', 'dc', 'serves']),
    ({'kind': 'engine', 'name': 'e2', 'dc': 'neihu', 'serves': 'report',
      'address': '10.0.0.1:9000'}, ['address']),
    ({'kind': 'instance', 'name': 's1', 'dc': 'neihu', 'serves': 'report',
      'address': '10.0.0.1:70000'}, ['address', 'serves']),
    ({'kind': 'wagon', 'name': 'x'}, ['kind']),
]  # yapf: disable


def make_sheet(rows: list[dict[str, str]], end: int | None = None) -> str:
    """Return a sheet with these rows and an end row that gives their number."""
    count = len(rows) if end is None else end
    lines = [','.join(sheet.COLUMNS)]
    for row in [*rows, {'kind': 'end', 'name': str(count)}]:
        cells = [row.get(column, '') for column in sheet.COLUMNS]
        lines.append(','.join(
            f'"{cell}"' if ',' in cell else cell for cell in cells))
    return '\n'.join(lines) + '\n'


def error_cells(sheet_text: str) -> list[tuple[int, str]]:
    """Return row and column of each error."""
    try:
        sheet.parse(sheet_text)
    except SheetRejected as rejected:
        return [(each.row, each.column) for each in rejected.errors]
    return []


class ParseTest(unittest.TestCase):
    """A sheet is accepted completely, or rejected with all its errors."""

    def test_reports_all_errors_at_once(self) -> None:
        rows = VALID_ROWS + [row for row, _ in INVALID_ROWS]
        expected = {(number, column)
                    for number, (_, columns) in enumerate(INVALID_ROWS, 6)
                    for column in columns}
        self.assertEqual(set(error_cells(make_sheet(rows))), expected)

    def test_rejects_a_truncated_file(self) -> None:
        complete = make_sheet(VALID_ROWS)
        lines = complete.splitlines(keepends=True)
        for line_count in range(1, len(lines)):
            self.assertTrue(error_cells(''.join(lines[:line_count])),
                            line_count)
        self.assertEqual(error_cells(make_sheet(VALID_ROWS, end=9)),
                         [(6, 'name')])
        self.assertEqual(error_cells(complete), [])

    def test_accepts_other_csv_dialects(self) -> None:
        plain = sheet.parse(make_sheet(VALID_ROWS))
        forms = [
            '\ufeff' + make_sheet(VALID_ROWS),
            make_sheet(VALID_ROWS).replace(',', ';'),
            make_sheet(VALID_ROWS).replace('\n', '\r\n'),
            make_sheet(VALID_ROWS) + ',' * (len(sheet.COLUMNS) - 1) + '\n',
        ]
        for form in forms:
            self.assertEqual(sheet.parse(form), plain)

    def test_removals_above_a_tenth_need_confirmation(self) -> None:

        def teams(count: int) -> Config:
            rows = [{
                'kind': 'team',
                'name': f't{i}',
                'key_hash': f'{i:064x}'
            } for i in range(count)]
            return sheet.parse(make_sheet(rows))

        self.assertFalse(
            sheet_checks.needs_removal_confirmation(teams(20), teams(18)))
        self.assertTrue(
            sheet_checks.needs_removal_confirmation(teams(20), teams(17)))

    def test_describes_changes(self) -> None:
        old = sheet.parse(make_sheet(VALID_ROWS))
        changed = [dict(row) for row in VALID_ROWS]
        changed[1]['version'] = 'v2'
        new = sheet.parse(make_sheet(changed[:3]))
        self.assertEqual(
            list(differences.describe(old, differences.between(old, new))), [
                'remove endpoint e1',
                'change model report: version from v1 to v2'
            ])


class CommandTest(unittest.TestCase):
    """The commands exit with the documented codes."""

    def test_apply_conflict_diff_and_outage(self) -> None:
        asyncio.run(self._scenario())

    async def _scenario(self) -> None:
        model = LogModel()
        server = AppServer(LogApp(model).app, '127.0.0.1', 0)
        await server.start()
        at = ('--log', server.address)
        steps = [
            (('check', str(LUMINAR)), ExitCode.OK),
            (('apply', str(LUMINAR), '--base', '-1', *at), ExitCode.OK),
            (('diff', str(LUMINAR), *at), ExitCode.OK),
            (('diff', str(EXAMPLES / 'scordato.csv'), *at),
             ExitCode.DIFFERENT),
            (('apply', str(LUMINAR), '--base', '-1', *at), ExitCode.CONFLICT),
            (('apply', str(EXAMPLES / 'scordato.csv'), '--base', '0', *at),
             ExitCode.CONFIRMATION_NEEDED),
            (('apply', str(EXAMPLES / 'scordato.csv'), '--base', '0',
              '--confirm-removals', *at), ExitCode.OK),
            (('status', '127.0.0.1:9'), ExitCode.NOT_IN_FORCE),
        ]  # yapf: disable
        for arguments, code in steps:
            self.assertEqual(await _run(arguments), code, arguments)
        model.down = True
        self.assertEqual(await _run(('diff', str(LUMINAR), *at)),
                         ExitCode.LOG_UNAVAILABLE)
        await server.stop()


async def _run(arguments: tuple[str, ...]) -> int:
    """Run a command in another thread and return its exit code."""
    result = await asyncio.to_thread(CliRunner().invoke, sheet_cli.commands,
                                     arguments)
    return result.exit_code
