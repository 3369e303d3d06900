"""Bench of admission: several loads, with one team that floods."""

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
WARM_S: Final = 5.0
MEASURED_S: Final = 20.0
SETTLE_S: Final = 30.0
VICTIMS: Final = 6
# Part of the capacity that all victims ask for together.
VICTIMS_PART: Final = 0.4
FLOOD_PRIORITY: Final = 1
CAPACITY_JOBS: Final = 28
TOKENS_LOW: Final = 500
TOKENS_MODE: Final = 1_000
TOKENS_HIGH: Final = 6_000
ANSWER_LOW: Final = 8
ANSWER_HIGH: Final = 24

GOODPUT_KEPT: Final = 0.9
VICTIMS_MET: Final = 0.95


@attrs.frozen
class LoadFigures:
    """Figures of one load.

    Attributes:
        goodput_rps: Whole answers per second whose first token came within
            the promised time.
        promised_met_share: Their part of the requests that were taken in.
        victim_met_share: Their part of all that the victims sent.
        refused_wait_p95_s: Time to a refusal, in s.
    """

    goodput_rps: float
    promised_met_share: float
    victim_met_share: float
    refused_wait_p95_s: float


class _Count(Sink):
    """Sends the next job in as one ends."""

    def __init__(self, engine: EngineModel,
                 specs: Iterator[RequestSpec]) -> None:
        self.engine = engine
        self.specs = specs
        self.ended = 0

    def submit(self) -> None:
        """Sends one job in."""
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
        self.ended += 1
        asyncio.get_running_loop().call_soon(self.submit)

    def failed(self) -> None:
        raise AssertionError('the engine does not crash here')


def asks_of(team: Team, rng: random.Random) -> Iterator[RequestSpec]:
    """Yields requests of one team without end."""
    for number in itertools.count():
        tokens = int(rng.triangular(TOKENS_LOW, TOKENS_HIGH, TOKENS_MODE))
        text = f'{team.id} {number} '.ljust(tokens * 4, 'x')
        yield RequestSpec(team.id, text, rng.randint(ANSWER_LOW, ANSWER_HIGH))


async def capacity_rps(seed: int) -> float:
    """Measures what the engines complete per second when always full."""
    engine = EngineModel(EndpointId('e0'), VERSION)
    count = _Count(engine, asks_of(new_team('any'), random.Random(seed)))
    for _ in range(CAPACITY_JOBS):
        count.submit()
    await asyncio.sleep(WARM_S)
    before = count.ended
    await asyncio.sleep(MEASURED_S)
    return ENGINES * (count.ended - before) / MEASURED_S


class _Load:
    """One load offered to a fresh world."""

    def __init__(self, seed: int, load: float, capacity: float,
                 measured_s: float) -> None:
        self.measured_s = measured_s
        self.rng = random.Random(f'{seed} {load}')
        self.victims = [
            new_team(f'victim{i}', priority=i % 3) for i in range(VICTIMS)
        ]
        self.flood = new_team('flood', FLOOD_PRIORITY)
        self.rates = {
            team: VICTIMS_PART * capacity / VICTIMS for team in self.victims
        }
        self.rates[self.flood] = (load - VICTIMS_PART) * capacity
        self.world = World(VMS,
                           ENGINES,
                           seed,
                           initial_config=config_with_teams(
                               [*self.victims, self.flood], ENGINES))
        self.platform = Platform(self.world, self.rng.getrandbits(32))
        self.outcomes: list[Outcome] = []

    async def run(self) -> LoadFigures:
        """Offers the load and waits for every final word."""
        await asyncio.sleep(WARM_S)
        await asyncio.gather(
            *(self._send(team, rate) for team, rate in self.rates.items()))
        await asyncio.sleep(SETTLE_S)
        self.platform.stop()
        for vm in self.world.vms:
            vm.runtime.halt()
        return self._figures()

    async def _send(self, team: Team, rate: float) -> None:
        specs = asks_of(team, self.rng)
        loop = asyncio.get_running_loop()
        until = loop.time() + WARM_S + self.measured_s
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if loop.time() >= until:
                return
            spec = next(specs)
            vm = self.platform.pick()
            assert vm is not None
            reply = self.world.call_model(vm, spec.text, spec.max_tokens,
                                          spec.team)
            self.outcomes.append(Outcome(spec, [reply]))

    def _figures(self) -> LoadFigures:
        start = 2 * WARM_S
        measured = [o for o in self.outcomes if o.replies[0].sent_at >= start]
        met = [o for o in measured if self._met(o)]
        taken = [o for o in measured if o.replies[0].refusal is None]
        victims = {team.id for team in self.victims}
        sent = [o for o in measured if o.spec.team in victims]
        waits = sorted((o.replies[0].last_at or 0.0) - o.replies[0].sent_at
                       for o in measured
                       if o.replies[0].refusal is not None)
        return LoadFigures(
            goodput_rps=round(len(met) / self.measured_s, 2),
            promised_met_share=_share(len(met), len(taken)),
            victim_met_share=_share(len([o for o in sent if self._met(o)]),
                                    len(sent)),
            refused_wait_p95_s=waits[int(0.95 * len(waits))] if waits else 0.0)

    def _met(self, outcome: Outcome) -> bool:
        team = self.world.config.teams[outcome.spec.team]
        return outcome.complete and outcome.first_token_s <= team.first_token_s


def _share(part: int, whole: int) -> float:
    return round(part / whole, 4) if whole else 1.0


async def _run_load(seed: int, load: float, capacity: float,
                    measured_s: float) -> LoadFigures:
    return await _Load(seed, load, capacity, measured_s).run()


def run(seed: int,
        loads: tuple[float, ...] = LOADS,
        measured_s: float = MEASURED_S) -> dict[str, Any]:
    """Runs each load in a fresh world of its own.

    Args:
        seed: Seed of everything random.
        loads: Offered loads, as parts of the capacity.
        measured_s: Time over which each load is measured, in s.
    """
    capacity = virtual_time.run(capacity_rps(seed))
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
    """Returns the targets that figures miss, in words."""
    found = [
        f'load {load:g}: victims had {each.victim_met_share} of their times'
        for load, each in figures.items()
        if each.victim_met_share < VICTIMS_MET
    ]
    if 1.0 in figures and 4.0 in figures:
        least = GOODPUT_KEPT * figures[1.0].goodput_rps
        if figures[4.0].goodput_rps < least:
            found.append(f'load 4: goodput {figures[4.0].goodput_rps} is under '
                         f'{least:.2f}')
    return found


@click.command()
@benches.options
def command(seed: int) -> dict[str, Any]:
    """Offers several times the capacity while one team floods."""
    return run(seed)
