"""The `sheet` commands: check, compare, publish, and wait for the result."""

import asyncio
import enum
import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final, NoReturn

import aiosonic
import attrs
import click
from aiosonic import exceptions as http_errors

from plantainridge import differences, sheet, sheet_checks
from plantainridge.config import Config
from plantainridge.http_ports import HttpLogPort, new_client
from plantainridge.loop.tasks import Tasks
from plantainridge.publishing import LogUnavailable, NoCheckpoint, Publisher
from plantainridge.replica import Accepted
from plantainridge.reports import log_fault
from plantainridge.sheet_rows import SheetRejected

STATUS_OK: Final = 200
POLL_S: Final = 0.25
STATE_TIMEOUT_S: Final = 2.0
NO_ANSWER: Final = -2


class ExitCode(enum.IntEnum):
    """How a command ended, for pipelines."""

    OK = 0
    DIFFERENT = 1
    SHEET_WRONG = 3
    CONFLICT = 4
    CONFIRMATION_NEEDED = 5
    LOG_UNAVAILABLE = 6
    NOT_IN_FORCE = 7
    NO_CHECKPOINT = 8


def _end(code: ExitCode, message: str) -> NoReturn:
    click.echo(message, err=code not in (ExitCode.OK, ExitCode.DIFFERENT))
    sys.exit(int(code))


def _read_sheet(file: pathlib.Path) -> Config:
    try:
        return sheet.parse(file.read_text(encoding='utf-8'))
    except UnicodeDecodeError:
        _end(ExitCode.SHEET_WRONG, f'{file}: not UTF-8 text')
    except SheetRejected as rejected:
        _end(ExitCode.SHEET_WRONG,
             f'{rejected}\n{len(rejected.errors)} faults in {file}')


def _with_publisher(log: str, work: Callable[[Publisher],
                                             Awaitable[ExitCode]]) -> None:
    """Runs work on the configuration stream and exits as it says."""

    async def run() -> ExitCode:
        tasks, client = Tasks(log_fault), new_client()
        try:
            publisher = Publisher(HttpLogPort(client, tasks, log))
            await publisher.read_to_end()
            return await work(publisher)
        finally:
            await tasks.cancel()
            await client.aclose()

    try:
        code = asyncio.run(run())
    except LogUnavailable:
        _end(
            ExitCode.LOG_UNAVAILABLE,
            'the log cannot be reached; if a revision was being published, '
            '"sheet diff" tells later whether it took effect')
    except NoCheckpoint:
        _end(ExitCode.NO_CHECKPOINT,
             'the log is trimmed and holds no whole checkpoint')
    sys.exit(int(code))


file_argument = click.argument('file',
                               type=click.Path(exists=True,
                                               dir_okay=False,
                                               path_type=pathlib.Path))
log_option = click.option('--log',
                          required=True,
                          metavar='IP:PORT',
                          help='Address of the platform\'s log.')


@click.group('sheet')
def commands() -> None:
    """Works with the sheet that declares the day's intended state."""


@commands.command()
@file_argument
def check(file: pathlib.Path) -> None:
    """Names every fault of a sheet: row, column, value, what is allowed."""
    config = _read_sheet(file)
    _end(
        ExitCode.OK, f'{file}: {len(config.teams)} teams, '
        f'{len(config.models)} models, {len(config.services)} services, '
        f'{len(config.endpoints)} endpoints, {len(config.stores)} stores, '
        f'{len(config.dcs)} data centres; no faults')


@commands.command()
@file_argument
@log_option
def diff(file: pathlib.Path, log: str) -> None:
    """Says in words what a sheet would change."""
    wanted = _read_sheet(file)

    async def work(publisher: Publisher) -> ExitCode:
        current = publisher.replica.config
        difference = differences.between(current, wanted)
        for line in differences.describe(current, difference):
            click.echo(line)
        click.echo(f'in force: revision {current.revision}; '
                   f'{len(difference.puts)} rows to add or change, '
                   f'{len(difference.drops)} to remove')
        return ExitCode.OK if difference.is_empty else ExitCode.DIFFERENT

    _with_publisher(log, work)


@commands.command()
@file_argument
@log_option
@click.option('--base',
              type=int,
              required=True,
              help='Revision that the sheet was made from; -1 for none.')
@click.option('--confirm-removals',
              is_flag=True,
              help='Allows the removal of more than a tenth of the teams.')
def apply(file: pathlib.Path, log: str, base: int,
          confirm_removals: bool) -> None:
    """Publishes a sheet as the next revision."""
    wanted = _read_sheet(file)

    async def work(publisher: Publisher) -> ExitCode:
        current = publisher.replica.config
        if current.revision != base:
            return _conflict(base, current.revision)
        difference = differences.between(current, wanted)
        if difference.is_empty:
            click.echo(f'revision {base} is as the sheet says')
            return ExitCode.OK
        if (sheet_checks.removes_too_much(current, wanted) and
                not confirm_removals):
            click.echo(
                f'{len(current.teams)} teams would become '
                f'{len(wanted.teams)}; repeat with --confirm-removals if '
                'that is meant',
                err=True)
            return ExitCode.CONFIRMATION_NEEDED
        outcome = await publisher.publish(base, difference)
        if isinstance(outcome, Accepted):
            click.echo(f'revision {outcome.offset}')
            return ExitCode.OK
        return _conflict(base, outcome.in_force)

    _with_publisher(log, work)


def _conflict(base: int, in_force: int) -> ExitCode:
    click.echo(
        f'conflict: the sheet was made from revision {base}, in force is '
        f'revision {in_force}; see "sheet diff" and apply again',
        err=True)
    return ExitCode.CONFLICT


@attrs.frozen
class VmStatus:
    """What one VM says of itself.

    Attributes:
        revision: The revision in force; `NO_ANSWER` if it gave no answer.
    """

    address: str
    vm: str
    revision: int
    readiness: str


@commands.command()
@click.argument('operators', nargs=-1, required=True, metavar='IP:PORT...')
@click.option('--revision',
              type=int,
              default=0,
              show_default=True,
              help='Revision that must be in force, or a newer one.')
@click.option('--wait-s',
              type=float,
              default=0.0,
              show_default=True,
              help='How long to wait for it.')
def status(operators: tuple[str, ...], revision: int, wait_s: float) -> None:
    """Shows the revision in force on each VM, by its operators' address."""
    found = asyncio.run(_wait(operators, revision, wait_s))
    for each in found:
        shown = 'no answer' if each.revision == NO_ANSWER else each.revision
        click.echo(f'{each.address}\t{each.vm}\t{shown}\t{each.readiness}')
    behind = sum(each.revision < revision for each in found)
    if behind:
        _end(ExitCode.NOT_IN_FORCE,
             f'{behind} of {len(found)} VMs are behind revision {revision}')


async def _wait(operators: tuple[str, ...], revision: int,
                wait_s: float) -> list[VmStatus]:
    loop = asyncio.get_running_loop()
    end = loop.time() + wait_s
    client = new_client()
    try:
        with click.progressbar(length=len(operators),
                               label=f'revision {revision} in force',
                               file=sys.stderr) as progress:
            while True:
                found = list(await asyncio.gather(
                    *(_ask(client, address) for address in operators)))
                done = sum(each.revision >= revision for each in found)
                progress.update(done - progress.pos)
                if done == len(found) or loop.time() >= end:
                    return found
                await asyncio.sleep(POLL_S)
    finally:
        await client.aclose()


async def _ask(client: aiosonic.HTTPClient, address: str) -> VmStatus:
    try:
        async with asyncio.timeout(STATE_TIMEOUT_S):
            response = await client.get(f'http://{address}/state')
            body: Any = await response.json()
        if response.status_code == STATUS_OK:
            return VmStatus(address, str(body['vm']), int(body['revision']),
                            str(body['readiness']))
    except (http_errors.AiosonicError, OSError, ValueError, EOFError, KeyError,
            TypeError):
        pass
    return VmStatus(address, '?', NO_ANSWER, '')
