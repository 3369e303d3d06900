"""Mutation test: deliberate faults that the fuzzer or the matrix must detect.

Run as `python -m tests.mutants`. Each mutant is applied to a copy of the
sources in a temporary directory. The detectors run there one after the other,
each in a separate process, until one reports a violation.
"""

import asyncio
import json
import pathlib
import shutil
import sys
import tempfile
from typing import Final

import attrs
import click

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
PACKAGE: Final = 'src/plantainridge'
SEED: Final = 1
DETECTOR_TIMEOUT_S: Final = 600.0


class StaleMutant(Exception):
    """The text of a mutant does not occur in its module exactly once."""


@attrs.frozen
class Mutant:
    """A fault: a piece of a module's source and its replacement.

    Attributes:
        cell_filter: Substring of the names of the matrix cells that should
            detect the mutant; empty if only the fuzzer can.
    """

    name: str
    module: str
    text: str
    replacement: str
    cell_filter: str = ''


MUTANTS: Final = (
    Mutant(
        'dispatch_before_claim_is_read_back', 'claims.py',
        '    yield from claim_sync.read(state, operation.shard)\n\n\n'
        'def _on_record', '    yield from _run(state, operation, now)\n\n\n'
        'def _on_record', 'marked'),
    Mutant('dispatch_under_a_claim_that_lost', 'claims.py',
           'if not table.is_held_by(operation.digest, operation.claim):',
           'if False:', 'marked'),
    Mutant('free_the_key_after_an_unknown_outcome', 'claims.py',
           'Outcome(operation.digest, operation.claim, Ending.UNKNOWN)',
           'Release(operation.digest, operation.claim)', 'marked'),
    Mutant('never_release_a_claim_that_was_given_up', 'claims.py',
           '        elif record.id in state.claims.abandoned:',
           '        elif False:', 'marked'),
    Mutant('send_again_after_a_broken_connection', 'service_attempts.py',
           'frozenset({Failure.CONNECT_REFUSED, Failure.REJECTED})',
           'frozenset(Failure)', 'marked'),
    Mutant('forget_the_team_in_the_salt', 'blocks.py',
           'for part in (team, model, version, adapter):',
           'for part in (model, version, adapter):'),
    Mutant('forget_the_version_in_the_salt', 'blocks.py',
           'for part in (team, model, version, adapter):',
           'for part in (team, model, adapter):'),
    Mutant('accept_a_revision_from_any_base', 'replica.py',
           'if head.base != self.config.revision:', 'if False:', 'operators'),
    Mutant('install_an_older_snapshot', 'replica.py',
           'if snapshot.next <= self.next:', 'if False:'),
    Mutant('take_records_of_the_log_twice', 'replica.py',
           'if record.offset != self.cursor:', 'if False:', 'config_change'),
    Mutant(
        'pass_on_crossed_or_repeated_tokens', 'requests.py',
        "    is_next = (event.echoed == arrival.request and\n"
        "               event.version == arrival.version and\n"
        "               event.first == len(call.delivered))",
        '    is_next = True'),
    Mutant('take_an_answer_of_another_version', 'requests.py',
           'event.version == arrival.version and', ''),
    Mutant(
        'end_an_answer_that_lacks_tokens', 'requests.py',
        'if event.echoed != arrival.request or event.total != '
        'len(call.delivered):', 'if event.echoed != arrival.request:'),
    Mutant('resume_from_the_start', 'requests.py',
           'resume_from=len(call.delivered),', 'resume_from=0,', 'request'),
    Mutant('send_work_to_leaving_endpoints', 'endpoints.py',
           'if self.endpoint.leaving or self.leaving:', 'if False:', 'drain'),
    Mutant('take_any_engine_for_up_to_date', 'rollout.py',
           'if report.loaded == target:', 'if True:', 'weight_swap'),
    Mutant('give_a_crossed_service_answer', 'services.py',
           'if event.echoed != call.arrival.request:', 'if False:'),
)


@attrs.frozen
class MutantResult:
    """Result of one mutant.

    Attributes:
        detector: Name of the detector that reported it; empty if none did.
    """

    mutant: Mutant
    detector: str


def apply_mutant(mutant: Mutant, copy: pathlib.Path) -> None:
    """Apply a mutant to a copy of the sources.

    Raises:
        StaleMutant: The text does not occur exactly once.
    """
    path = copy / PACKAGE / mutant.module
    text = path.read_text()
    if text.count(mutant.text) != 1:
        raise StaleMutant(f'{mutant.name}: {mutant.module} contains the text '
                          f'{text.count(mutant.text)} times')
    path.write_text(text.replace(mutant.text, mutant.replacement))


def detector_commands(mutant: Mutant) -> list[list[str]]:
    """Return the commands that should detect a mutant, fastest first."""
    commands = []
    if mutant.cell_filter:
        commands.append([
            '-m', 'plantainridge', 'matrix', '--pairs', '0', '--only',
            mutant.cell_filter
        ])
    for seed in (SEED, SEED + 1):
        commands.append([
            '-m', 'tests.fuzz', '--seed',
            str(seed), '--examples', '120', '--steps', '50'
        ])
    return commands


def detector_name(command: list[str]) -> str:
    """Return the name of the detector that a command runs."""
    return 'matrix' if 'matrix' in command else 'fuzz'


async def run_detectors(mutant: Mutant,
                        slots: asyncio.Semaphore) -> MutantResult:
    """Run the detectors on a mutant until one reports a violation."""
    async with slots:
        with tempfile.TemporaryDirectory() as folder:
            copy = pathlib.Path(folder)
            for part in ('src', 'tests'):
                shutil.copytree(ROOT / part, copy / part)
            apply_mutant(mutant, copy)
            for command in detector_commands(mutant):
                if await _detects(command, copy):
                    return MutantResult(mutant, detector_name(command))
    return MutantResult(mutant, '')


async def _detects(command: list[str], copy: pathlib.Path) -> bool:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *command,
        cwd=copy,
        env={'PYTHONPATH': str(copy / 'src')},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL)
    try:
        output, _ = await asyncio.wait_for(process.communicate(),
                                           DETECTOR_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        return False
    # A mutant that fails to start shows nothing, so only a report counts.
    reported = b'"violations"' in output or b'"failed"' in output
    return process.returncode == 1 and reported


async def run(only: str, jobs: int) -> list[MutantResult]:
    """Test the mutants whose name contains `only`."""
    slots = asyncio.Semaphore(jobs)
    selected = [mutant for mutant in MUTANTS if only in mutant.name]
    results = []
    for future in asyncio.as_completed(
        [run_detectors(each, slots) for each in selected]):
        result = await future
        click.echo(f'{result.mutant.name}: ' + (
            f'caught by {result.detector}' if result.detector else 'MISSED'))
        results.append(result)
    return results


@click.command()
@click.option('--only',
              default='',
              help='Substring of the names of the mutants to test.')
@click.option('--jobs', type=click.IntRange(1), default=4, show_default=True)
def main(only: str, jobs: int) -> None:
    """Test all mutants; exit with 1 if one is missed."""
    results = asyncio.run(run(only, jobs))
    missed = sorted(each.mutant.name for each in results if not each.detector)
    click.echo(
        json.dumps({
            'mutants': len(results),
            'caught': len(results) - len(missed),
            'missed': missed,
        }))
    sys.exit(1 if missed else 0)


if __name__ == '__main__':
    main()  # pylint: disable=no-value-for-parameter
