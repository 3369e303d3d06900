"""Bench of run-once calls: counts actual runs while faults are injected."""

import asyncio
import random
from collections import Counter
from typing import Any, Final

import attrs
import click

from plantainridge import benches, virtual_time
from plantainridge.events import Stream
from plantainridge.refusals import RanState, Reason
from plantainridge.standins.claim_callers import Callers, Operation
from plantainridge.standins.claim_faults import FaultInjector
from plantainridge.standins.claim_world import ClaimPolicy, ClaimWorld
from plantainridge.standins.world import SentRequest

VMS: Final = 7
CALLS_PER_S: Final = 10.0
FAULTS_PER_S: Final = 1.0
MIN_DURATION_S: Final = 120.0
WARM_UP_S: Final = 2.0
# Covers the longest time until a caller or a paused VM finishes.
SETTLE_S: Final = 150.0


@attrs.frozen
class CheckResult:
    """Outcome as services and callers observed it, without data of the VMs.

    Attributes:
        ran_once: Number of operations that ran once.
        ran_twice: Number of operations that ran more than once.
        false_not_run: Number of attempts refused as `not_run` although the
            operation had run.
        final_words: Number of attempts with no final reply or several.
        crossed: Number of attempts with the answer of another request.
        violations: One message for each violation.
    """

    ran_once: int
    ran_twice: int
    false_not_run: int
    final_words: int
    crossed: int
    violations: list[str]


def run(seed: int,
        policy: ClaimPolicy = ClaimPolicy.LOG,
        faults: int = 1_000,
        calls_per_s: float = CALLS_PER_S) -> dict[str, Any]:
    """Run the bench and return its figures.

    Args:
        seed: Seed of callers and faults.
        policy: Where claims are stored.
        faults: Number of faults to inject.
        calls_per_s: Rate of new operations, per second.
    """
    return virtual_time.run(_run(seed, policy, faults, calls_per_s))


async def _run(seed: int, policy: ClaimPolicy, faults: int,
               calls_per_s: float) -> dict[str, Any]:
    world = ClaimWorld(VMS, seed, policy)
    callers = Callers(world, random.Random(f'callers {seed}'))
    injector = FaultInjector(world, random.Random(f'faults {seed}'))
    await asyncio.sleep(WARM_UP_S)
    duration_s = max(MIN_DURATION_S, faults / FAULTS_PER_S)
    await asyncio.gather(_send_operations(callers, calls_per_s, duration_s),
                         _inject_faults(injector, faults, duration_s))
    injector.end()
    await asyncio.sleep(SETTLE_S)
    check_result = check(world, callers.operations)
    figures = _figures(world, callers.operations, check_result, duration_s)
    figures['faults_injected'] = injector.injected.total()
    return {
        'bench': 'claims',
        'seed': seed,
        'policy': policy.value,
        'figures': figures,
        'faults': dict(sorted(injector.injected.items())),
        'violations': check_result.violations,
    }


async def _send_operations(callers: Callers, calls_per_s: float,
                           duration_s: float) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + duration_s
    tasks = []
    while loop.time() < end:
        tasks.append(loop.create_task(callers.run_operation()))
        await asyncio.sleep(callers.rng.expovariate(calls_per_s))
    await asyncio.gather(*tasks)


async def _inject_faults(injector: FaultInjector, faults: int,
                         duration_s: float) -> None:
    for _ in range(faults):
        await asyncio.sleep(injector.rng.uniform(0, 2 * duration_s / faults))
        injector.inject()


def check(world: ClaimWorld, operations: list[Operation]) -> CheckResult:
    """Compare the runs at the services with the replies to callers."""
    runs = [(operation, _runs(world, operation)) for operation in operations]
    false_refusals = [
        attempt for operation in operations for attempt in operation.attempts
        if _false_not_run(world, operation, attempt)
    ]
    attempts = [
        attempt for operation in operations for attempt in operation.attempts
    ]
    wrong_final_counts = [
        attempt for attempt in attempts if attempt.reply.final_count != 1 and
        not attempt.disconnected and not attempt.interrupted
    ]
    crossed = [
        attempt for attempt in attempts
        if attempt.reply.status is not None and attempt.reply.body not in (b'1',
                                                                           b'2',
                                                                           b'3')
    ]
    repeated = [operation for operation, count in runs if count > 1]
    violations = [f'{each.key} ran more than once' for each in repeated]
    violations += [
        f'{attempt.event.request} was refused as not_run'
        for attempt in false_refusals
    ]
    violations += [
        f'{attempt.event.request} got {attempt.reply.final_count} final replies'
        for attempt in wrong_final_counts
    ]
    violations += [
        f'{attempt.event.request} got another answer' for attempt in crossed
    ]
    return CheckResult(ran_once=sum(count == 1 for _, count in runs),
                       ran_twice=len(repeated),
                       false_not_run=len(false_refusals),
                       final_words=len(wrong_final_counts),
                       crossed=len(crossed),
                       violations=violations)


def _runs(world: ClaimWorld, operation: Operation) -> int:
    return world.timed_services[operation.service].runs[_service_key(operation)]


def _service_key(operation: Operation) -> str:
    team = operation.attempts[0].event.team
    return f'{team}/{operation.key}'


def _false_not_run(world: ClaimWorld, operation: Operation,
                   attempt: SentRequest) -> bool:
    refusal = attempt.reply.refusal
    if refusal is None or refusal.ran is not RanState.NOT_RUN:
        return False
    if attempt.event.request in world.audit.started:
        return True
    if refusal.reason is Reason.KEY_CONFLICT:
        return False
    if attempt.disconnected:
        # The caller disconnected and never received the refusal.
        return False
    # Not even an earlier attempt of the operation may have run by then.
    ran_at = world.timed_services[operation.service].first_run_at.get(
        _service_key(operation))
    replied_at = attempt.reply.last_at
    return (ran_at is not None and replied_at is not None and
            ran_at <= replied_at)


def _figures(world: ClaimWorld, operations: list[Operation],
             check_result: CheckResult, duration_s: float) -> dict[str, Any]:
    ran_states = Counter(
        each.refusal.ran for each in operations if each.refusal is not None)
    reasons = Counter(each.refusal.reason.value
                      for each in operations
                      if each.refusal is not None)
    ports = [vm.log for vm in world.all_vms()]
    sent = sum(port.sent_bytes[Stream.CLAIMS] for port in ports)
    read = sum(port.read_bytes[Stream.CLAIMS] for port in ports)
    appends = sum(port.appends[Stream.CLAIMS] for port in ports)
    return {
        'marked':
            len(operations),
        'tries':
            sum(len(each.attempts) for each in operations),
        'ran_once':
            check_result.ran_once,
        'ran_twice':
            check_result.ran_twice,
        'false_not_run':
            check_result.false_not_run,
        'answered':
            sum(each.final_request is not None and
                each.final_request.reply.status is not None
                for each in operations),
        'unknown':
            ran_states[RanState.UNKNOWN],
        'refused_not_run':
            ran_states[RanState.NOT_RUN],
        'claim_p50_s':
            _percentile(world.claim_s, 0.50),
        'claim_p95_s':
            _percentile(world.claim_s, 0.95),
        'appends_per_s':
            round(appends / duration_s, 1),
        'bytes_per_s_per_vm':
            round((sent + read) / duration_s / VMS, 1),
        'last_reasons':
            dict(sorted(reasons.items())),
    }


def _percentile(values: list[float], fraction: float) -> float:
    if not values:
        return 0.0
    sorted_values = sorted(values)
    return round(sorted_values[int(fraction * (len(sorted_values) - 1))], 6)


@click.command('claims')
@click.option('--policy',
              type=click.Choice([each.value for each in ClaimPolicy]),
              default=ClaimPolicy.LOG.value,
              show_default=True,
              help='Where claims are stored.')
@click.option('--faults',
              type=click.IntRange(min=0),
              default=1_000,
              show_default=True,
              help='Number of faults to inject.')
@click.option('--calls-per-s',
              type=click.FloatRange(min=0.1),
              default=CALLS_PER_S,
              show_default=True,
              help='Rate of new run-once calls, per second.')
@benches.options
def command(seed: int, policy: str, faults: int,
            calls_per_s: float) -> dict[str, Any]:
    """Send run-once calls under all faults and count the actual runs."""
    return run(seed, ClaimPolicy(policy), faults, calls_per_s)
