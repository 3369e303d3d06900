"""Plays soak runs: `python -m tests.soak --seed 1 --runs 50 --jobs 4`."""

import asyncio
import logging
import pathlib
import random
import sys
import tempfile
from typing import Final

import click

from tests.soak.callers import Caller
from tests.soak.checks import RECOVERY_S, violations
from tests.soak.faults import FaultInjector
from tests.soak.history import History
from tests.soak.site import ROOT, SoakSite

GATEWAY: Final = [
    sys.executable,
    str(ROOT / 'deploy' / 'gateway.py'), '--metrics-port', '7004'
]
# Time after the last fault in which callers are still judged, in s.
TAIL_S: Final = RECOVERY_S + 3.0


async def play(seed: int, seconds: float, gateways: int, callers: int,
               folder: pathlib.Path, launcher: list[str]) -> History:
    """Plays one run; returns what was seen."""
    logging.disable(logging.CRITICAL)
    site = SoakSite(seed, folder, gateways, launcher)
    rng = random.Random(seed)
    tasks: list[asyncio.Task[None]] = []
    try:
        await site.start()

        def pick() -> tuple[str, str]:
            prefixes = [*site.routes, *site.history.closed]
            keys = [*site.keys, *site.history.revoked]
            return rng.choice(keys), rng.choice(prefixes)

        tasks = [
            asyncio.create_task(
                Caller(f'c{number}', rng, pick, site.in_rotation,
                       site.history.outcomes).run())
            for number in range(callers)
        ]
        await FaultInjector(site, rng).run(seconds)
        await asyncio.sleep(TAIL_S)
        for name, code in site.died().items():
            click.echo(f'endpoint {name} ended by itself with {code}')
        site.history.versions = {
            each.name: each.version
            for each in site.endpoints.values()
            if each.version and each.name not in site.history.drained
        }
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()
    return site.history


async def _play_all(seeds: list[int], seconds: float, gateways: int,
                    callers: int, jobs: int, keep: pathlib.Path) -> int:
    free = asyncio.Semaphore(jobs)

    async def one(seed: int) -> bool:
        async with free:
            folder = keep / f'seed-{seed}'
            folder.mkdir(parents=True, exist_ok=True)
            process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'tests.soak', '--one',
                '--seed', str(seed), '--seconds', str(seconds), '--gateways',
                str(gateways), '--callers', str(callers), '--keep', str(folder))
            return await process.wait() == 0

    results = await asyncio.gather(*(one(seed) for seed in seeds))
    failed = [seed for seed, good in zip(seeds, results) if not good]
    click.echo(f'{len(seeds)} runs, failed seeds: {failed or "none"}')
    return len(failed)


@click.command()
@click.option('--seed', default=1, show_default=True, help='First seed.')
@click.option('--runs', default=1, show_default=True, help='Seeds to play.')
@click.option('--seconds',
              default=12.0,
              show_default=True,
              help='Time with faults in each run.')
@click.option('--gateways', default=4, show_default=True)
@click.option('--callers', default=16, show_default=True)
@click.option('--jobs', default=2, show_default=True, help='Runs at once.')
@click.option('--keep', help="Folder for the gateways' logs.")
@click.option('--one', is_flag=True, help='Plays one seed in this process.')
@click.option('--mutant', default='', help='Breaks one promise on purpose.')
def main(seed: int, runs: int, seconds: float, gateways: int, callers: int,
         jobs: int, keep: str | None, one: bool, mutant: str) -> None:
    """Plays soak runs and exits with 1 if a promise was broken."""
    folder = pathlib.Path(keep or tempfile.mkdtemp(prefix='soak-'))
    folder.mkdir(parents=True, exist_ok=True)
    if not one:
        seeds = list(range(seed, seed + runs))
        failed = asyncio.run(
            _play_all(seeds, seconds, gateways, callers, jobs, folder))
        sys.exit(1 if failed else 0)
    launcher = GATEWAY
    if mutant:
        launcher = [sys.executable, '-m', 'tests.soak.mutants', mutant]
    history = asyncio.run(
        play(seed, seconds, gateways, callers, folder, launcher))
    broken = violations(history)
    whole = sum(each.whole and each.status == 200 for each in history.outcomes)
    click.echo(f'seed {seed}: {len(history.outcomes)} attempts, {whole} served '
               f'whole, {len(history.spans)} faults, {len(broken)} violations')
    for line in broken[:20]:
        click.echo(f'  {line}')
    if broken:
        click.echo(f'  logs in {folder}')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()  # pylint: disable=no-value-for-parameter
