"""Benchmark of prompts that return after long gaps, by routing policy."""

import asyncio
import pathlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

import attrs
import click

from plantainridge import benches, virtual_time
from plantainridge.blocks import BLOCK_TOKENS
from plantainridge.config import Deployment
from plantainridge.events import ModelCalled, Prompt
from plantainridge.ids import DcId, EndpointId, RequestId
from plantainridge.lowest_cost import LowestCost
from plantainridge.refusals import RanState
from plantainridge.routing import (LeastLoaded, Policy, PrefixAffinity,
                                   RoundRobin)
from plantainridge.standins import arrivals
from plantainridge.standins.arrivals import Visit, Workload
from plantainridge.standins.engine import token_at
from plantainridge.standins.fleet import (MODEL, VERSION, Fleet, FleetSize,
                                          TimedReply)
from plantainridge.standins.omniscient import OmniscientPolicy
from plantainridge.standins.store import BLOCK_LENGTH_BYTES

DAYS: Final = 2
# Length of the run after its last day, which adds one more morning peak, in s.
LAST_PEAK_S: Final = 6_000.0
# Figures count requests after this time, in s; by then most contexts have been
# requested once.
WARM_UP_S: Final = arrivals.DAY_S
# Target time to first token, in s. It is so long that no request is refused for
# it: every policy must serve the same requests.
TARGET_FIRST_TOKEN_S: Final = 3_600.0
# Time after the last request within which every answer must end, in s.
DRAIN_TIMEOUT_S: Final = 900.0
# Most bytes that may cross the links per byte of KV cache of all prompts: one
# import or one export of each block, and a tenth for blocks that are exported
# again after a store was lost.
MAX_LINK_BYTES_RATIO: Final = 1.1


@attrs.frozen
class Scenario:
    """Deployment of one user, with its workload.

    Attributes:
        first_token_s: Time to first token within which an answer counts as
            goodput.
    """

    deployment: Deployment
    size: FleetSize
    workload: Workload
    first_token_s: float


SCENARIOS: Final = {
    'luminar':
        Scenario(Deployment('luminar', recompute_weight=4.0),
                 FleetSize(dcs=(DcId('neihu'), DcId('banqiao'), DcId('xinyi')),
                           vms=(3, 2, 2),
                           engines=(2, 2, 1),
                           stores=(1, 1, 0),
                           cache_blocks=400,
                           memory_blocks=1_500,
                           disk_blocks=12_000,
                           prefill_tokens_per_s=8_000.0,
                           decode_chunk_tokens=256,
                           link_bytes_per_s=1.25e9),
                 Workload(contexts=300,
                          mean_blocks=30.0,
                          max_blocks=110,
                          answer_tokens=(16, 32)),
                 first_token_s=10.0),
    'scordato':
        Scenario(Deployment('scordato', recompute_weight=0.0),
                 FleetSize(dcs=(DcId('catania'), DcId('augusta'),
                                DcId('siracusa'), DcId('lentini')),
                           vms=(2, 2, 2, 1),
                           engines=(2, 1, 1, 1),
                           stores=(1, 1, 0, 0),
                           cache_blocks=400,
                           memory_blocks=1_500,
                           disk_blocks=12_000,
                           prefill_tokens_per_s=8_000.0,
                           decode_chunk_tokens=256,
                           link_bytes_per_s=1.25e9),
                 Workload(contexts=360,
                          mean_blocks=24.0,
                          max_blocks=110,
                          answer_tokens=(12, 24)),
                 first_token_s=3.0),
}

PolicyFactory = Callable[[Fleet], Policy]


def _oracle(fleet: Fleet) -> Policy:
    return OmniscientPolicy(fleet, fleet.in_transit)


POLICIES: Final[dict[str, PolicyFactory]] = {
    RoundRobin.name: lambda fleet: RoundRobin(),
    LeastLoaded.name: lambda fleet: LeastLoaded(),
    PrefixAffinity.name: lambda fleet: PrefixAffinity(),
    OmniscientPolicy.name: _oracle,
    LowestCost.name: lambda fleet: LowestCost(),
}


@attrs.define
class Outcome:
    """The run of one policy.

    Attributes:
        visits: All visits of the workload.
        calls: Each visit that was sent, with what its caller received.
        unhandled_errors: Exceptions that reached the event loop's handler.
    """

    fleet: Fleet
    visits: list[Visit]
    calls: list[tuple[Visit, TimedReply]] = attrs.field(factory=list)
    unhandled_errors: list[str] = attrs.field(factory=list)


def _schedule_faults(fleet: Fleet, horizon_s: float) -> None:
    """Schedule a slow link, a store failure and a slow engine.

    The link is slow around the second morning peak, the store fails four hours
    after that peak begins, and the engine is slow in the last peak.
    """
    loop = asyncio.get_running_loop()
    day = min(arrivals.DAY_S, horizon_s / 2)
    slow_link, failing_store = list(fleet.stores.values())[:2]
    slow_engine = fleet.engines[EndpointId('e0')]
    peak = day + arrivals.PEAK_START_S

    def set_link(factor: float) -> None:
        slow_link.link.slowdown = factor

    def set_engine(factor: float) -> None:
        slow_engine.slowdown = factor

    loop.call_at(peak - 600, set_link, 10.0)
    loop.call_at(peak + 3_600, set_link, 1.0)
    loop.call_at(peak + 4 * 3_600, failing_store.crash)
    loop.call_at(peak + 5 * 3_600, failing_store.restart)
    last = horizon_s - LAST_PEAK_S + arrivals.PEAK_START_S
    loop.call_at(last, set_engine, 10.0)
    loop.call_at(last + arrivals.PEAK_LENGTH_S / 2, set_engine, 1.0)


async def _run(scenario: Scenario, new_policy: PolicyFactory,
               visits: list[Visit], horizon_s: float, seed: int) -> Outcome:
    fleet = Fleet(scenario.size, scenario.deployment, TARGET_FIRST_TOKEN_S,
                  seed, new_policy)
    _schedule_faults(fleet, horizon_s)
    outcome = Outcome(fleet, visits)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: outcome.unhandled_errors.
                               append(str(context.get('exception'))))
    loop.call_at(min(WARM_UP_S, horizon_s / 2), fleet.audit.reset_counts)
    for number, visit in enumerate(visits):
        await asyncio.sleep(max(0.0, visit.at - loop.time()))
        runtime = fleet.vms[int(visit.vm * len(fleet.vms))]
        request = RequestId(f'r{number}')
        reply = fleet.replies[request] = TimedReply(loop.time())
        outcome.calls.append((visit, reply))
        runtime.post(
            ModelCalled(request, visit.team, MODEL, VERSION, '',
                        Prompt(visit.text, visit.tokens, visit.blocks),
                        visit.answer_tokens))
    await asyncio.sleep(DRAIN_TIMEOUT_S)
    return outcome


def _percentile(values: list[float], fraction: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _figures(outcome: Outcome, scenario: Scenario,
             horizon_s: float) -> Mapping[str, float]:
    counted = [
        each for each in outcome.calls
        if each[0].at >= min(WARM_UP_S, horizon_s / 2)
    ]
    first_token_times_s = [
        reply.times[0] - reply.sent_at for _, reply in counted if reply.times
    ]
    intervals_s = [
        later - earlier
        for _, reply in counted
        for earlier, later in zip(reply.times, reply.times[1:])
    ]
    goodput_calls = sum(1 for _, reply in counted
                        if reply.ended and reply.times[0] -
                        reply.sent_at <= scenario.first_token_s)
    recomputed_tokens = outcome.fleet.audit.recomputed_blocks * BLOCK_TOKENS
    prompt_tokens = sum(visit.tokens for visit, _ in counted)
    span_s = horizon_s - min(WARM_UP_S, horizon_s / 2)
    return {
        'ttft_p50_s': round(_percentile(first_token_times_s, 0.5), 4),
        'ttft_p95_s': round(_percentile(first_token_times_s, 0.95), 4),
        'itl_p95_s': round(_percentile(intervals_s, 0.95), 4),
        'recomputed_share': round(recomputed_tokens / prompt_tokens, 5),
        'link_bytes': link_bytes(outcome.fleet),
        'goodput_rps': round(goodput_calls / span_s, 6),
        'refused': sum(1 for _, reply in counted if reply.refusal),
    }


def link_bytes(fleet: Fleet) -> int:
    """Count the bytes that crossed the links of all stores."""
    return sum(store.link.moved_bytes for store in fleet.stores.values())


def violations(outcome: Outcome) -> Iterator[str]:
    """Yield a description of each violated invariant."""
    for visit, reply in outcome.calls:
        if reply.final_count != 1:
            yield f'{visit.text}: {reply.final_count} final answers'
        expected_tokens = [
            token_at(visit.text, VERSION, index)
            for index in range(visit.answer_tokens)
        ]
        if reply.ended and reply.tokens != expected_tokens:
            yield f'{visit.text}: wrong or incomplete answer'
        if (reply.refusal is not None and
                reply.refusal.refusal.ran is RanState.NOT_RUN and
                reply.refusal.request in outcome.fleet.audit.started):
            yield f'{visit.text}: refused as not run, but it ran'
    yield from outcome.fleet.audit.unsafe_reads
    yield from outcome.unhandled_errors
    allowed = MAX_LINK_BYTES_RATIO * BLOCK_LENGTH_BYTES * sum(
        len(visit.blocks) for visit, _ in outcome.calls)
    moved = link_bytes(outcome.fleet)
    if moved > allowed:
        yield f'links moved {moved} bytes, more than the bound of {allowed:.0f}'


def run(deployment: str,
        seed: int,
        days: int = DAYS,
        contexts: int | None = None) -> dict[str, Any]:
    """Run every policy on the same requests and faults.

    Args:
        deployment: Name of the scenario.
        seed: Seed of requests, random choices and lost events.
        days: Number of days before the last morning peak.
        contexts: Number of contexts; None for the deployment's own.
    """
    scenario = SCENARIOS[deployment]
    workload = scenario.workload
    if contexts is not None:
        workload = attrs.evolve(workload, contexts=contexts)
    horizon_s = days * arrivals.DAY_S + LAST_PEAK_S
    visits = arrivals.visits(workload, MODEL, VERSION, horizon_s, seed)
    figures: dict[str, Mapping[str, float]] = {}
    violations_found: list[str] = []
    for name, new_policy in POLICIES.items():
        policy_outcome = virtual_time.run(
            _run(scenario, new_policy, visits, horizon_s, seed))
        figures[name] = _figures(policy_outcome, scenario, horizon_s)
        violations_found += [
            f'{name}: {each}' for each in violations(policy_outcome)
        ]
    return {
        'bench': 'returning',
        'deployment': deployment,
        'seed': seed,
        'requests': len(visits),
        'figures': figures,
        'violations': violations_found,
    }


def _plot(result: Mapping[str, Any], path: pathlib.Path) -> None:
    # pylint: disable-next=import-outside-toplevel
    from matplotlib import figure as mpl
    figures = result['figures']
    names = list(figures)
    chart = mpl.Figure(figsize=(11, 4), layout='tight')
    shown = ('ttft_p95_s', 'recomputed_share', 'link_bytes')
    for column, metric in enumerate(shown, start=1):
        axes = chart.add_subplot(1, len(shown), column)
        axes.bar(names, [figures[name][metric] for name in names])
        axes.set_title(metric)
        axes.tick_params(axis='x', rotation=60)
    chart.suptitle(f'{result["deployment"]}, seed {result["seed"]}')
    chart.savefig(path)


@click.command('returning')
@click.option('--deployment',
              type=click.Choice(sorted(SCENARIOS)),
              default='luminar',
              show_default=True,
              help='Deployment whose workload and weights are used.')
@click.option('--plot',
              type=click.Path(dir_okay=False, path_type=pathlib.Path),
              help='Write a chart of the figures to this file, as PNG.')
@benches.options
def command(deployment: str, plot: pathlib.Path | None,
            seed: int) -> Mapping[str, Any]:
    """Measure prompts that return after minutes to days, by policy."""
    result = run(deployment, seed)
    if plot is not None:
        _plot(result, plot)
    return result
