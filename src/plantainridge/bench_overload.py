"""Bench of admission control: several loads, while one team floods."""

import asyncio
import itertools
import random
from collections.abc import Iterator
from typing import Any, Final

import attrs
import click

from plantainridge import benches, virtual_time
from plantainridge.config import Team
from plantainridge.ids import EndpointId, RequestId
from plantainridge.standins.engine import EngineModel, Job, Sink
from plantainridge.standins.traffic import (Outcome, Platform, RequestSpec,
                                            config_with_teams, new_team)
from plantainridge.standins.world import VERSION, World

LOADS: Final = (0.5, 1.0, 2.0, 4.0)
VMS: Final = 7
ENGINES: Final = 5
WARM_UP_S: Final = 5.0
MEASUREMENT_S: Final = 20.0
SETTLE_S: Final = 30.0
VICTIMS: Final = 6
# Load of all victims together, as a ratio of the capacity.
VICTIMS_LOAD_RATIO: Final = 0.4
FLOOD_PRIORITY: Final = 1
PARALLEL_JOBS: Final = 28
MIN_PROMPT_TOKENS: Final = 500
MODE_PROMPT_TOKENS: Final = 1_000
MAX_PROMPT_TOKENS: Final = 6_000
MIN_ANSWER_TOKENS: Final = 8
MAX_ANSWER_TOKENS: Final = 24

MIN_GOODPUT_RATIO: Final = 0.9
MIN_VICTIMS_MET_RATIO: Final = 0.95


@attrs.frozen
class LoadFigures:
    """Figures of one load.

    Attributes:
        goodput_rps: Complete answers per second whose first token arrived
            within the target time.
        promised_met_share: Ratio of such answers to admitted requests.
        victim_met_share: Ratio of such answers to all requests of victims.
        refused_wait_p95_s: 95th percentile of the time to a refusal, in s.
    """

    goodput_rps: float
    promised_met_share: float
    victim_met_share: float
    refused_wait_p95_s: float


class _ClosedLoopClient(Sink):
    """Closed-loop client, which submits the next job as one ends."""

    def __init__(self, engine: EngineModel,
                 specs: Iterator[RequestSpec]) -> None:
        self.engine = engine
        self.specs = specs
        self.completed = 0

    def submit(self) -> None:
        """Submit the next job."""
        spec = next(self.specs)
        self.engine.submit(
            Job(request=RequestId('any'),
                prompt=spec.text,
                prompt_tokens=len(spec.text) // 4,
                blocks=(),
                max_tokens=spec.max_tokens,
                priority=0,
                next_index=0,
                sink=self,
                version=VERSION))

    def tokens(self, first: int, tokens: tuple[str, ...],
               cached_tokens: int) -> None:
        del first, tokens, cached_tokens

    def end(self, total: int) -> None:
        del total
        self.completed += 1
        asyncio.get_running_loop().call_soon(self.submit)

    def failed(self) -> None:
        raise AssertionError('engine crashed during the capacity measurement')


def generate_requests(team: Team, rng: random.Random) -> Iterator[RequestSpec]:
    """Yield random requests of one team without end."""
    for number in itertools.count():
        tokens = int(
            rng.triangular(MIN_PROMPT_TOKENS, MAX_PROMPT_TOKENS,
                           MODE_PROMPT_TOKENS))
        text = f'{team.id} {number} '.ljust(tokens * 4, 'x')
        yield RequestSpec(team.id, text,
                          rng.randint(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS))


async def measure_capacity_rps(seed: int) -> float:
    """Measure the requests per second that fully loaded engines complete."""
    engine = EngineModel(EndpointId('e0'), VERSION)
    client = _ClosedLoopClient(
        engine, generate_requests(new_team('any'), random.Random(seed)))
    for _ in range(PARALLEL_JOBS):
        client.submit()
    await asyncio.sleep(WARM_UP_S)
    before = client.completed
    await asyncio.sleep(MEASUREMENT_S)
    return ENGINES * (client.completed - before) / MEASUREMENT_S


class _LoadRun:
    """Run of one load on a new world."""

    def __init__(self, seed: int, load: float, capacity: float,
                 measured_s: float) -> None:
        self.measured_s = measured_s
        self.rng = random.Random(f'{seed} {load}')
        self.victims = [
            new_team(f'victim{i}', priority=i % 3) for i in range(VICTIMS)
        ]
        self.flood = new_team('flood', FLOOD_PRIORITY)
        self.rates_rps = {
            team: VICTIMS_LOAD_RATIO * capacity / VICTIMS
            for team in self.victims
        }
        self.rates_rps[self.flood] = (load - VICTIMS_LOAD_RATIO) * capacity
        self.world = World(VMS,
                           ENGINES,
                           seed,
                           initial_config=config_with_teams(
                               [*self.victims, self.flood], ENGINES))
        self.platform = Platform(self.world, self.rng.getrandbits(32))
        self.outcomes: list[Outcome] = []

    async def run(self) -> LoadFigures:
        """Offer the load, wait until all requests ended, return the figures."""
        await asyncio.sleep(WARM_UP_S)
        await asyncio.gather(*(self._send_requests(team, rate_rps)
                               for team, rate_rps in self.rates_rps.items()))
        await asyncio.sleep(SETTLE_S)
        self.platform.stop()
        for vm in self.world.vms:
            vm.runtime.halt()
        return self._figures()

    async def _send_requests(self, team: Team, rate_rps: float) -> None:
        specs = generate_requests(team, self.rng)
        loop = asyncio.get_running_loop()
        end_at = loop.time() + WARM_UP_S + self.measured_s
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_rps))
            if loop.time() >= end_at:
                return
            spec = next(specs)
            vm = self.platform.pick()
            assert vm is not None
            reply = self.world.call_model(vm, spec.text, spec.max_tokens,
                                          spec.team)
            self.outcomes.append(Outcome(spec, [reply]))

    def _figures(self) -> LoadFigures:
        start = 2 * WARM_UP_S
        measured = [o for o in self.outcomes if o.replies[0].sent_at >= start]
        met = [o for o in measured if self._met_target(o)]
        admitted = [o for o in measured if o.replies[0].refusal is None]
        victims = {team.id for team in self.victims}
        victim_outcomes = [o for o in measured if o.spec.team in victims]
        refusal_waits_s = sorted(
            (o.replies[0].last_at or 0.0) - o.replies[0].sent_at
            for o in measured
            if o.replies[0].refusal is not None)
        return LoadFigures(
            goodput_rps=round(len(met) / self.measured_s, 2),
            promised_met_share=_ratio(len(met), len(admitted)),
            victim_met_share=_ratio(
                len([o for o in victim_outcomes if self._met_target(o)]),
                len(victim_outcomes)),
            refused_wait_p95_s=refusal_waits_s[int(0.95 * len(refusal_waits_s))]
            if refusal_waits_s else 0.0)

    def _met_target(self, outcome: Outcome) -> bool:
        team = self.world.config.teams[outcome.spec.team]
        return outcome.complete and outcome.first_token_s <= team.first_token_s


def _ratio(numerator: int, denominator: int) -> float:
    return round(numerator / denominator, 4) if denominator else 1.0


async def _run_load(seed: int, load: float, capacity: float,
                    measured_s: float) -> LoadFigures:
    return await _LoadRun(seed, load, capacity, measured_s).run()


def run(seed: int,
        loads: tuple[float, ...] = LOADS,
        measured_s: float = MEASUREMENT_S) -> dict[str, Any]:
    """Run each load on a new world.

    Args:
        seed: Seed of all random draws.
        loads: Offered loads, as ratios of the capacity.
        measured_s: Time over which each load is measured, in s.
    """
    capacity = virtual_time.run(measure_capacity_rps(seed))
    figures = {
        load: virtual_time.run(_run_load(seed, load, capacity, measured_s))
        for load in loads
    }
    return {
        'bench': 'overload',
        'seed': seed,
        'capacity_rps': round(capacity, 2),
        'figures': {
            f'{load:g}': attrs.asdict(each) for load, each in figures.items()
        },
        'violations': violations(figures),
    }


def violations(figures: dict[float, LoadFigures]) -> list[str]:
    """Return a message for each target that the figures miss."""
    missed_targets = [
        f'load {load:g}: victims had {each.victim_met_share} of their times'
        for load, each in figures.items()
        if each.victim_met_share < MIN_VICTIMS_MET_RATIO
    ]
    if 1.0 in figures and 4.0 in figures:
        min_goodput_rps = MIN_GOODPUT_RATIO * figures[1.0].goodput_rps
        if figures[4.0].goodput_rps < min_goodput_rps:
            missed_targets.append(
                f'load 4: goodput {figures[4.0].goodput_rps} is under '
                f'{min_goodput_rps:.2f}')
    return missed_targets


@click.command()
@benches.options
def command(seed: int) -> dict[str, Any]:
    """Measure goodput at several loads while one team floods the system."""
    return run(seed)
