"""Demo of both users' deployments with stand-ins, on loopback, in one process.

Each deployment uses its example sheet and gets a workload: prompts that return
after their blocks were evicted, and run-once calls. Meanwhile an engine crashes
mid-stream, an engine leaves and a VM is drained.
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
VISIT_INTERVAL_S: Final = 4.0
CONTEXT_CHARS: Final = (8_000, 40_000)
ANSWER_TOKENS: Final = 20
LEAVING_LIMIT_S: Final = 3.0
# Additional time for the lag of the member list and one poll.
LEAVING_DELAY_S: Final = 1.5
# Reasons for which no request of the demo may be refused.
_UNEXPECTED_REASONS: Final = frozenset({
    'malformed', 'unauthenticated', 'idempotency_key_invalid',
    'idempotency_key_expired', 'idempotency_key_conflict', 'context_too_long'
})


@attrs.define
class Deployment:
    """Site of one user, its caller, the outcomes and violations.

    Attributes:
        outcomes: Outcome of each request.
        violations: One message for each violation.
        drained: VM that was drained; empty until then.
    """

    name: str
    site: site.Site
    caller: Caller
    rng: random.Random
    outcomes: list[Outcome] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)
    drained: VmId = VmId('')


def load_deployment(path: pathlib.Path, seed: int) -> Deployment:
    """Return a deployment made from its sheet, with demo keys for teams."""
    sheet_config = sheet.parse(path.read_text(encoding='utf-8'))
    keys = {team: f'demo-{team}' for team in sheet_config.teams}
    loopback_site = site.Site(site.with_keys(sheet_config, keys), seed,
                              CACHE_BLOCKS)
    return Deployment(sheet_config.deployment.name, loopback_site,
                      Caller(loopback_site, keys), random.Random(seed))


async def run(folder: pathlib.Path, seed: int) -> int:
    """Run the demo and return its exit status."""
    deployments = [
        load_deployment(folder / name, seed)
        for name in ('luminar.csv', 'scordato.csv')
    ]
    await asyncio.gather(*(_run(each) for each in deployments))
    for each in deployments:
        for line in demo_report.table(each.name, each.outcomes, each.site):
            click.echo(line)
        for violation in each.violations:
            click.echo(f'VIOLATION in {each.name}: {violation}')
    outcomes = [outcome for each in deployments for outcome in each.outcomes]
    violations = sum(len(each.violations) for each in deployments)
    returned = [
        outcome for outcome in outcomes if outcome.visit > 0 and outcome.prompt
    ]
    whole = sum(outcome.whole for outcome in outcomes)
    passed = not violations and whole > 0
    click.echo(
        json.dumps({
            'demo':
                'ok' if passed else 'failed',
            'requests':
                len(outcomes),
            'whole':
                whole,
            'refused':
                sum(bool(outcome.reason) for outcome in outcomes),
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
    return 0 if passed else 1


async def _run(deployment: Deployment) -> None:
    dcs = sorted(deployment.site.config.dcs)
    await deployment.site.start(_assign_dcs(dcs))
    contexts = _contexts(deployment)
    faults = asyncio.create_task(_inject_faults(deployment))
    for visit in range(VISITS):
        await asyncio.gather(_run_visit(deployment, contexts, visit),
                             asyncio.sleep(VISIT_INTERVAL_S))
    await faults
    _check_conditions(deployment)
    await deployment.caller.close()
    await deployment.site.stop()


def _assign_dcs(dcs: list[DcId]) -> Mapping[VmId, DcId]:
    return {VmId(f'vm-{i + 1}'): dcs[i % len(dcs)] for i in range(VMS)}


def _contexts(deployment: Deployment) -> list[tuple[TeamId, str]]:
    contexts: list[tuple[TeamId, str]] = []
    for number, team in enumerate(deployment.site.config.teams.values()):
        for part in range(3 if number < 3 else 1):
            size = deployment.rng.randint(*CONTEXT_CHARS)
            line = f'{deployment.name} {team.id} context {part} '
            contexts.append((team.id, (line * (size // len(line) + 1))[:size]))
    return contexts


async def _run_visit(deployment: Deployment, contexts: list[tuple[TeamId, str]],
                     visit: int) -> None:
    """Send every context and one service call of each team."""
    completions = [
        _after_random_delay(
            deployment,
            deployment.caller.complete(team, text, ANSWER_TOKENS, visit))
        for team, text in contexts
    ]
    service = next(iter(deployment.site.config.services))
    calls = [
        _after_random_delay(
            deployment,
            deployment.caller.call_once(team, ServiceId(service), visit))
        for team in deployment.site.config.teams
    ]
    deployment.outcomes += await asyncio.gather(*completions, *calls)


async def _after_random_delay(deployment: Deployment,
                              work: Awaitable[Outcome]) -> Outcome:
    await asyncio.sleep(deployment.rng.uniform(0, VISIT_INTERVAL_S / 2))
    return await work


async def _inject_faults(deployment: Deployment) -> None:
    """Crash a busy engine, let one leave and drain a VM, in that order."""
    await asyncio.sleep(VISIT_INTERVAL_S + 1)
    crashed_engine = await _wait_for_busy_engine(deployment)
    await deployment.site.crash_engine(crashed_engine)
    leaving = next(name for name in _engines_of_largest_model(deployment)
                   if name != crashed_engine)
    asyncio.create_task(
        _watch_leaving(deployment, deployment.site.engines[leaving]))
    deployment.site.members.leaving_endpoints.add(leaving)
    deployment.site.members.changed()
    await asyncio.sleep(VISIT_INTERVAL_S - 1)
    deployment.drained = VmId('vm-2')
    deployment.caller.excluded_vms.add(deployment.drained)
    entry = deployment.site.entries.pop(deployment.drained)
    await entry.drain()
    await entry.stop()


def _engines_of_largest_model(deployment: Deployment) -> list[EndpointId]:
    """Return the engines of the model that has the most engines."""
    serving = {
        name: deployment.site.config.endpoints[name].serves
        for name in deployment.site.engines
    }
    largest = Counter(serving.values()).most_common(1)[0][0]
    return [name for name, model in serving.items() if model == largest]


async def _wait_for_busy_engine(deployment: Deployment) -> EndpointId:
    async with asyncio.timeout(VISIT_INTERVAL_S):
        while True:
            for name in _engines_of_largest_model(deployment):
                engine = deployment.site.engines[name]
                if any(job.next_index > 0 for job in engine.running):
                    return name
            await asyncio.sleep(0.005)


async def _watch_leaving(deployment: Deployment, engine: EngineModel) -> None:
    """Record jobs that a leaving engine gets after the time limit."""
    await asyncio.sleep(LEAVING_LIMIT_S + LEAVING_DELAY_S)
    submit = engine.submit

    def record_late_job(job: Job) -> None:
        deployment.violations.append(f'{engine.name} got work while leaving')
        submit(job)

    engine.submit = record_late_job  # type: ignore[method-assign]


def _check_conditions(deployment: Deployment) -> None:
    """Add violations found after the run to the deployment."""
    audit = deployment.site.audit
    violations_found = deployment.violations
    violations_found += [f'unsafe read: {text}' for text in audit.unsafe_reads]
    violations_found += [
        f'foreign read of {each.key}' for each in audit.foreign_reads
    ]
    for each in deployment.outcomes:
        if each.reason in _UNEXPECTED_REASONS:
            violations_found.append(f'{each.team}: refused a good request as '
                                    f'{each.reason}')
        if each.fault:
            violations_found.append(f'{each.team}: {each.fault}')
        if each.ran == 'not_run' and each.request in audit.started:
            violations_found.append(
                f'{each.team}: refused as not run, but it ran')
    for name, service in deployment.site.services.items():
        for key, runs in service.runs.items():
            if (runs > 1 and
                    not deployment.site.config.services[name].repeatable):
                violations_found.append(
                    f'{name}: a call ran {runs} times ({key[:8]})')
    revisions = {
        entry.runtime.state.config.revision
        for entry in deployment.site.entries.values()
    }
    if len(revisions) != 1:
        violations_found.append(
            f'revisions in force differ: {sorted(revisions)}')
