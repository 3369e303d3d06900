"""Runs both users' deployments with stand-ins, on loopback, in one process.

Each deployment applies its example sheet and gets its workload: prompts that
return after their blocks were evicted, and calls that must run at most once.
Meanwhile an engine dies mid-stream, an engine leaves and a VM is drained.
"""

import asyncio
import json
import pathlib
import random
from collections import Counter
from collections.abc import Awaitable, Mapping
from typing import Final

import attrs
import click

from plantainridge import demo_report, sheet
from plantainridge.demo_callers import Caller, Outcome
from plantainridge.ids import DcId, EndpointId, ServiceId, TeamId, VmId
from plantainridge.standins import site
from plantainridge.standins.engine import EngineModel, Job

EXAMPLES: Final = pathlib.Path('examples')
VMS: Final = 7
CACHE_BLOCKS: Final = 24
VISITS: Final = 3
VISIT_S: Final = 4.0
CONTEXT_CHARS: Final = (8_000, 40_000)
ANSWER_TOKENS: Final = 20
LEAVING_LIMIT_S: Final = 3.0
# Time that the membership list's lag and one poll may add.
LEAVING_LAG_S: Final = 1.5
# Refusals that no request of the demo deserves.
_NEVER: Final = frozenset({
    'malformed', 'unauthenticated', 'idempotency_key_invalid',
    'idempotency_key_expired', 'idempotency_key_conflict', 'context_too_long'
})


@attrs.define
class Deployment:
    """One user's site, its callers and what is wrong with what happened.

    Attributes:
        outcomes: What each caller got.
        violations: Broken conditions, in words.
    """

    name: str
    site: site.Site
    caller: Caller
    rng: random.Random
    outcomes: list[Outcome] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)
    drained: VmId = VmId('')


def load(path: pathlib.Path, seed: int) -> Deployment:
    """Prepares a deployment from its sheet; teams get keys of the demo."""
    declared = sheet.parse(path.read_text(encoding='utf-8'))
    keys = {team: f'demo-{team}' for team in declared.teams}
    here = site.Site(site.with_keys(declared, keys), seed, CACHE_BLOCKS)
    return Deployment(declared.deployment.name, here, Caller(here, keys),
                      random.Random(seed))


async def run(folder: pathlib.Path, seed: int) -> int:
    """Runs the demo; returns the exit status."""
    deployments = [
        load(folder / name, seed) for name in ('luminar.csv', 'scordato.csv')
    ]
    await asyncio.gather(*(_run(each) for each in deployments))
    for each in deployments:
        for line in demo_report.table(each.name, each.outcomes, each.site):
            click.echo(line)
        for violation in each.violations:
            click.echo(f'VIOLATION in {each.name}: {violation}')
    outcomes = [found for each in deployments for found in each.outcomes]
    violations = sum(len(each.violations) for each in deployments)
    returned = [found for found in outcomes if found.visit > 0 and found.prompt]
    whole = sum(found.whole for found in outcomes)
    good = not violations and whole > 0
    click.echo(
        json.dumps({
            'demo':
                'ok' if good else 'failed',
            'requests':
                len(outcomes),
            'whole':
                whole,
            'refused':
                sum(bool(found.reason) for found in outcomes),
            'violations':
                violations,
            'returned':
                len(returned),
            'recomputed_share_returned':
                round(demo_report.recomputed_share(returned), 3),
            'vms':
                sum(VMS for _ in deployments),
            'drained': [each.drained for each in deployments],
        }))
    return 0 if good else 1


async def _run(here: Deployment) -> None:
    dcs = sorted(here.site.config.dcs)
    await here.site.start(_place(dcs))
    contexts = _contexts(here)
    faults = asyncio.create_task(_faults(here))
    for visit in range(VISITS):
        await asyncio.gather(_visit(here, contexts, visit),
                             asyncio.sleep(VISIT_S))
    await faults
    _check(here)
    await here.caller.close()
    await here.site.stop()


def _place(dcs: list[DcId]) -> Mapping[VmId, DcId]:
    return {VmId(f'vm-{i + 1}'): dcs[i % len(dcs)] for i in range(VMS)}


def _contexts(here: Deployment) -> list[tuple[TeamId, str]]:
    contexts: list[tuple[TeamId, str]] = []
    for number, team in enumerate(here.site.config.teams.values()):
        for part in range(3 if number < 3 else 1):
            size = here.rng.randint(*CONTEXT_CHARS)
            line = f'{here.name} {team.id} context {part} '
            contexts.append((team.id, (line * (size // len(line) + 1))[:size]))
    return contexts


async def _visit(here: Deployment, contexts: list[tuple[TeamId, str]],
                 visit: int) -> None:
    """Every context returns once, and each team calls a service once."""
    asks = [
        _later(here, here.caller.complete(team, text, ANSWER_TOKENS, visit))
        for team, text in contexts
    ]
    service = next(iter(here.site.config.services))
    calls = [
        _later(here, here.caller.call_once(team, ServiceId(service), visit))
        for team in here.site.config.teams
    ]
    here.outcomes += await asyncio.gather(*asks, *calls)


async def _later(here: Deployment, work: Awaitable[Outcome]) -> Outcome:
    await asyncio.sleep(here.rng.uniform(0, VISIT_S / 2))
    return await work


async def _faults(here: Deployment) -> None:
    """Kills a busy engine, lets one leave and drains a VM, in that order."""
    await asyncio.sleep(VISIT_S + 1)
    victim = await _busy_engine(here)
    await here.site.crash_engine(victim)
    leaving = next(name for name in _engines_of_largest(here) if name != victim)
    asyncio.create_task(_watch_leaving(here, here.site.engines[leaving]))
    here.site.members.leaving_endpoints.add(leaving)
    here.site.members.changed()
    await asyncio.sleep(VISIT_S - 1)
    here.drained = VmId('vm-2')
    here.caller.avoid.add(here.drained)
    entry = here.site.entries.pop(here.drained)
    await entry.drain()
    await entry.stop()


def _engines_of_largest(here: Deployment) -> list[EndpointId]:
    """Lists the engines of the model that has most of them."""
    serving = {
        name: here.site.config.endpoints[name].serves
        for name in here.site.engines
    }
    largest = Counter(serving.values()).most_common(1)[0][0]
    return [name for name, model in serving.items() if model == largest]


async def _busy_engine(here: Deployment) -> EndpointId:
    async with asyncio.timeout(VISIT_S):
        while True:
            for name in _engines_of_largest(here):
                engine = here.site.engines[name]
                if any(job.next_index > 0 for job in engine.running):
                    return name
            await asyncio.sleep(0.005)


async def _watch_leaving(here: Deployment, engine: EngineModel) -> None:
    """Notes work that a leaving engine is given after the limit."""
    await asyncio.sleep(LEAVING_LIMIT_S + LEAVING_LAG_S)
    submit = engine.submit

    def late(job: Job) -> None:
        here.violations.append(f'{engine.name} got work while leaving')
        submit(job)

    engine.submit = late  # type: ignore[method-assign]


def _check(here: Deployment) -> None:
    """Looks for broken conditions after the run."""
    audit = here.site.audit
    broken = here.violations
    broken += [f'unsafe read: {text}' for text in audit.unsafe_reads]
    broken += [f'foreign read of {found.key}' for found in audit.foreign_reads]
    for found in here.outcomes:
        if found.reason in _NEVER:
            broken.append(f'{found.team}: refused a good request as '
                          f'{found.reason}')
        if found.fault:
            broken.append(f'{found.team}: {found.fault}')
        if found.ran == 'not_run' and found.request in audit.started:
            broken.append(f'{found.team}: refused as not run, but it ran')
    for name, service in here.site.services.items():
        for key, runs in service.runs.items():
            if runs > 1 and not here.site.config.services[name].repeatable:
                broken.append(f'{name}: a call ran {runs} times ({key[:8]})')
    revisions = {
        entry.runtime.state.config.revision
        for entry in here.site.entries.values()
    }
    if len(revisions) != 1:
        broken.append(f'revisions in force differ: {sorted(revisions)}')
