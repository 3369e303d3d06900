"""Command of the soak: `python -m tests.soak --seed 1 --runs 50 --jobs 4`."""

import asyncio
import logging
import pathlib
import random
import re
import sys
import tempfile
from typing import Final

import click

from tests.soak.callers import Caller
from tests.soak.checks import (RECOVERY_S, lost_streams, mixed_streams,
                               violations)
from tests.soak.faults import FaultInjector
from tests.soak.history import History
from tests.soak.losses import LossInjector
from tests.soak.readers import Reader
from tests.soak.releases import ReleaseInjector
from tests.soak.site import (GATEWAYS, LARGE_RUN_GATEWAYS, LARGE_RUN_INTERVAL,
                             SoakSite)

GATEWAY_COMMAND: Final = [
    sys.executable, '-m', 'tests.soak.launch', '--metrics-port', '7004'
]
# Time after the last fault for which callers still send requests.
FINAL_CALM_S: Final = RECOVERY_S + 3.0
READERS: Final = 32
# Ids of attempts in findings.
ATTEMPT_PATTERN: Final = re.compile(r'\b[cr]\d+-\d+\b')
MAX_TRACED_FINDINGS: Final = 3


async def play_run(seed: int, seconds: float, gateways: int, callers: int,
                   folder: pathlib.Path, launcher: list[str]) -> History:
    """Play one run and return its history."""
    logging.disable(logging.CRITICAL)
    site = SoakSite(seed, folder, gateways, launcher)
    rng = random.Random(seed)
    tasks: list[asyncio.Task[None]] = []
    try:
        await site.start()

        def pick_key_and_prefix() -> tuple[str, str]:
            prefixes = [*site.routes, *site.history.route_removed_at]
            keys = [*site.keys, *site.history.key_revoked_at]
            return rng.choice(keys), rng.choice(prefixes)

        tasks = [
            asyncio.create_task(
                Caller(f'c{number}', rng, pick_key_and_prefix,
                       site.pick_gateway, site.history).run())
            for number in range(callers)
        ]
        stream_rng = random.Random(f'{seed} streams')
        readers = [
            asyncio.create_task(
                Reader(f'r{number}', stream_rng, site.pick_gateway_for_stream,
                       site.history).run()) for number in range(READERS)
        ]
        tasks += readers
        releases = ReleaseInjector(site, random.Random(f'{seed} releases'))
        await FaultInjector(site, rng).run(seconds, releases.inject_for)
        await LossInjector(site, random.Random(f'{seed} losses')).run()
        await asyncio.sleep(FINAL_CALM_S)
        # Streams of two builds do not go on once all gateways were killed.
        for task in readers:
            task.cancel()
        await site.sharing.run(site)
        await asyncio.sleep(FINAL_CALM_S)
        for name, code in site.get_exit_codes().items():
            click.echo(
                f'endpoint {name} exited unexpectedly with status {code}')
        site.history.engine_versions = {
            each.name: each.version
            for each in site.endpoints.values()
            if each.version and each.name not in site.history.drained_at
        }
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()
    return site.history


async def _play_runs(seeds: list[int], seconds: float, gateways: int,
                     callers: int, jobs: int, keep: pathlib.Path) -> int:
    free_jobs = asyncio.Semaphore(jobs)
    failed: list[int] = []
    failed_output: list[str] = []

    async def play_seed(seed: int) -> None:
        async with free_jobs:
            folder = keep / f'seed-{seed}'
            folder.mkdir(parents=True, exist_ok=True)
            count = (gateways if seed %
                     LARGE_RUN_INTERVAL else LARGE_RUN_GATEWAYS)
            command = [
                sys.executable, '-m', 'tests.soak', '--one', '--seed',
                str(seed), '--seconds',
                str(seconds), '--gateways',
                str(count), '--callers',
                str(callers), '--keep',
                str(folder)
            ]
            process = await asyncio.create_subprocess_exec(
                *command,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT)
            output = (await process.communicate())[0].decode()
            if process.returncode == 0:
                click.echo(output, nl=False)
            else:
                failed.append(seed)
                failed_output.append(output)

    await asyncio.gather(*(play_seed(seed) for seed in seeds))
    click.echo(f'{len(seeds)} runs, failed seeds: {sorted(failed) or "none"}')
    # Failed runs come last, where a shortened CI log still holds them.
    click.echo(''.join(failed_output), nl=False)
    return len(failed)


def _print_streams(history: History) -> None:
    """Print what was played on streams that callers resume."""
    tries = [each for stream in history.streams for each in stream.tries]
    resumed = [each for each in tries if each.after]
    went_on = sum(bool(each.events) for each in resumed)
    mixed = list(mixed_streams(history))
    lost = lost_streams(history)
    click.echo(f'  {len(lost)} streams of lost data centres, {sum(lost)} went '
               f'on')
    click.echo(f'  {len(history.streams)} resumable streams, '
               f'{sum(each.complete and each.status == 200 for each in tries)} '
               f'complete, '
               f'{len(resumed)} resumed, {went_on} went on, '
               f'{len(mixed)} of several builds')
    for line in mixed:
        click.echo(f'  {line}')


def _print_evidence(history: History, found: list[str],
                    folder: pathlib.Path) -> None:
    """Print the faults of a run and what logs hold on the first findings."""
    for span in history.fault_spans:
        click.echo(f'  {span.start:.3f} to {span.end:.3f}: {span.fault_name} '
                   f'of {span.subject}')
    attempts = ATTEMPT_PATTERN.findall(' '.join(found[:MAX_TRACED_FINDINGS]))
    for log in sorted(folder.glob('*.log')):
        lines = log.read_text(errors='replace').splitlines()
        for attempt in attempts:
            named = re.compile(rf'\b{attempt}\b')
            for line in filter(named.search, lines):
                click.echo(f'  {log.name}: {line}')


@click.command()
@click.option('--seed', default=1, show_default=True, help='First seed.')
@click.option('--runs',
              default=1,
              show_default=True,
              help='Number of seeds to play.')
@click.option('--seconds',
              default=12.0,
              show_default=True,
              help='Time with faults in each run, in s.')
@click.option('--gateways',
              default=GATEWAYS,
              show_default=True,
              help=f'Number of gateways; each {LARGE_RUN_INTERVAL}th seed of '
              f'several has {LARGE_RUN_GATEWAYS}.')
@click.option('--callers', default=16, show_default=True)
@click.option('--jobs',
              default=2,
              show_default=True,
              help='Number of concurrent runs.')
@click.option('--keep', help="Folder for the gateways' logs.")
@click.option('--one', is_flag=True, help='Play one seed in this process.')
@click.option('--mutant',
              default='',
              help='Mutant to run in place of the gateway.')
def main(seed: int, runs: int, seconds: float, gateways: int, callers: int,
         jobs: int, keep: str | None, one: bool, mutant: str) -> None:
    """Play soak runs; exit with status 1 if a check found a violation."""
    folder = pathlib.Path(keep or tempfile.mkdtemp(prefix='soak-'))
    folder.mkdir(parents=True, exist_ok=True)
    if not one:
        seeds = list(range(seed, seed + runs))
        failed = asyncio.run(
            _play_runs(seeds, seconds, gateways, callers, jobs, folder))
        sys.exit(1 if failed else 0)
    launcher = GATEWAY_COMMAND
    if mutant:
        launcher = [sys.executable, '-m', 'tests.soak.mutants', mutant]
    history = asyncio.run(
        play_run(seed, seconds, gateways, callers, folder, launcher))
    found = violations(history)
    served = sum(each.whole and each.status == 200 for each in history.outcomes)
    click.echo(
        f'seed {seed}: {len(history.outcomes)} attempts, {served} served '
        f'whole, {len(history.fault_spans)} faults, {len(found)} violations')
    _print_streams(history)
    for line in found[:20]:
        click.echo(f'  {line}')
    if found:
        _print_evidence(history, found, folder)
        click.echo(f'  logs in {folder}')
    sys.exit(1 if found else 0)


if __name__ == '__main__':
    main()  # pylint: disable=no-value-for-parameter
