"""The `sheet` commands: check, compare and publish a sheet, show its status."""

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
POLL_INTERVAL_S: Final = 0.25
STATE_TIMEOUT_S: Final = 2.0
NO_ANSWER: Final = -2


class ExitCode(enum.IntEnum):
    """Exit status of a command, for pipelines."""

    OK = 0
    DIFFERENT = 1
    INVALID_SHEET = 3
    CONFLICT = 4
    CONFIRMATION_NEEDED = 5
    LOG_UNAVAILABLE = 6
    NOT_IN_FORCE = 7
    NO_CHECKPOINT = 8


def _exit_with(code: ExitCode, message: str) -> NoReturn:
    click.echo(message, err=code not in (ExitCode.OK, ExitCode.DIFFERENT))
    sys.exit(int(code))


def _read_sheet(file: pathlib.Path) -> Config:
    try:
        return sheet.parse(file.read_text(encoding='utf-8'))
    except UnicodeDecodeError:
        _exit_with(ExitCode.INVALID_SHEET, f'{file}: not UTF-8 text')
    except SheetRejected as rejected:
        _exit_with(ExitCode.INVALID_SHEET,
                   f'{rejected}\n{len(rejected.errors)} faults in {file}')


def _run_with_publisher(
        log: str, work: Callable[[Publisher], Awaitable[ExitCode]]) -> None:
    """Run work on the configuration stream and exit with its status.

    Args:
        log: Address of the log, as `IP:PORT`.
        work: Gets a publisher that has read to the end of the log.
    """

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
        _exit_with(
            ExitCode.LOG_UNAVAILABLE,
            'the log cannot be reached; if a revision was being published, '
            'run "sheet diff" later to see whether it took effect')
    except NoCheckpoint:
        _exit_with(ExitCode.NO_CHECKPOINT,
                   'the log is trimmed and holds no complete checkpoint')
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
    """Check, compare and publish the sheet that declares the configuration."""


@commands.command()
@file_argument
def check(file: pathlib.Path) -> None:
    """List every error of a sheet: row, column, value and allowed values."""
    config = _read_sheet(file)
    _exit_with(
        ExitCode.OK, f'{file}: {len(config.teams)} teams, '
        f'{len(config.models)} models, {len(config.services)} services, '
        f'{len(config.endpoints)} endpoints, {len(config.stores)} stores, '
        f'{len(config.dcs)} data centres; no faults')


@commands.command()
@file_argument
@log_option
def diff(file: pathlib.Path, log: str) -> None:
    """Describe the changes that a sheet would make."""
    declared = _read_sheet(file)

    async def work(publisher: Publisher) -> ExitCode:
        current = publisher.replica.config
        difference = differences.between(current, declared)
        for line in differences.describe(current, difference):
            click.echo(line)
        click.echo(f'in force: revision {current.revision}; '
                   f'{len(difference.puts)} rows to add or change, '
                   f'{len(difference.drops)} to remove')
        return ExitCode.OK if difference.is_empty else ExitCode.DIFFERENT

    _run_with_publisher(log, work)


@commands.command()
@file_argument
@log_option
@click.option('--base',
              type=int,
              required=True,
              help='Revision that the sheet was made from; -1 for none.')
@click.option('--confirm-removals',
              is_flag=True,
              help='Allow the removal of more than a tenth of the teams.')
def apply(file: pathlib.Path, log: str, base: int,
          confirm_removals: bool) -> None:
    """Publish a sheet as the next revision."""
    declared = _read_sheet(file)

    async def work(publisher: Publisher) -> ExitCode:
        current = publisher.replica.config
        if current.revision != base:
            return _report_conflict(base, current.revision)
        difference = differences.between(current, declared)
        if difference.is_empty:
            click.echo(f'revision {base} is as the sheet says')
            return ExitCode.OK
        if (sheet_checks.needs_removal_confirmation(current, declared) and
                not confirm_removals):
            click.echo(
                f'{len(current.teams)} teams would become '
                f'{len(declared.teams)}; repeat with --confirm-removals if '
                'that is meant',
                err=True)
            return ExitCode.CONFIRMATION_NEEDED
        outcome = await publisher.publish(base, difference)
        if isinstance(outcome, Accepted):
            click.echo(f'revision {outcome.offset}')
            return ExitCode.OK
        return _report_conflict(base, outcome.in_force)

    _run_with_publisher(log, work)


def _report_conflict(base: int, in_force: int) -> ExitCode:
    click.echo(
        f'conflict: the sheet was made from revision {base}, in force is '
        f'revision {in_force}; see "sheet diff" and apply again',
        err=True)
    return ExitCode.CONFLICT


@attrs.frozen
class VmStatus:
    """Status that one VM reports.

    Attributes:
        address: Operators' address of the VM, as `IP:PORT`.
        vm: Name of the VM; `?` if it did not answer.
        revision: Revision in force; `NO_ANSWER` if it did not answer.
        readiness: The VM's readiness; empty if it did not answer.
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
              help='Time to wait for the revision, in s.')
def status(operators: tuple[str, ...], revision: int, wait_s: float) -> None:
    """Show the revision in force on each VM, given its operators' address."""
    statuses = asyncio.run(_poll_until_in_force(operators, revision, wait_s))
    for each in statuses:
        shown = 'no answer' if each.revision == NO_ANSWER else each.revision
        click.echo(f'{each.address}\t{each.vm}\t{shown}\t{each.readiness}')
    behind_count = sum(each.revision < revision for each in statuses)
    if behind_count:
        _exit_with(
            ExitCode.NOT_IN_FORCE, f'{behind_count} of {len(statuses)} VMs '
            f'are behind revision {revision}')


async def _poll_until_in_force(operators: tuple[str, ...], revision: int,
                               wait_s: float) -> list[VmStatus]:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    client = new_client()
    try:
        with click.progressbar(length=len(operators),
                               label=f'revision {revision} in force',
                               file=sys.stderr) as progress:
            while True:
                statuses = list(await asyncio.gather(
                    *(_request_status(client, address) for address in operators)
                ))
                in_force_count = sum(
                    each.revision >= revision for each in statuses)
                progress.update(in_force_count - progress.pos)
                if in_force_count == len(statuses) or loop.time() >= deadline:
                    return statuses
                await asyncio.sleep(POLL_INTERVAL_S)
    finally:
        await client.aclose()


async def _request_status(client: aiosonic.HTTPClient,
                          address: str) -> VmStatus:
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
