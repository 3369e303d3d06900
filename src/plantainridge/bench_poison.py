"""Bench of requests that crash endpoints, among innocent ones."""

import asyncio
import contextlib
import random
from typing import Any, Final

import attrs
import click

from plantainridge import benches, virtual_time
from plantainridge.bench_overload import asks_of
from plantainridge.ids import DcId
from plantainridge.quarantine import MAX_CRASHES
from plantainridge.refusals import Reason
from plantainridge.standins.crashing import CRASH_MARK, CrashingEngine
from plantainridge.standins.memory import Reply
from plantainridge.standins.traffic import (Outcome, Platform, RequestSpec,
                                            config_with_teams, new_team)
from plantainridge.standins.world import DC, VERSION, World

VMS: Final = 7
DCS: Final = (DC, DcId('banqiao'), DcId('xinyi'))
ENGINES: Final = 5
WARM_S: Final = 8.0
INNOCENT_RPS: Final = 12.0
POISONS: Final = 4
POISON_EVERY_S: Final = 15.0
RESENDS: Final = 40
# Time after which a caller sends a refused poison again, in s.
RESEND_S: Final = 0.01
RESEND_MOST_S: Final = 1.0
SETTLE_S: Final = 60.0
# Times after which a caller hangs up and sends again, in s.
PATIENCE_S: Final = (0.5, 2.0, 30.0)


@attrs.frozen
class PoisonFigures:
    """Figures of one run.

    Attributes:
        crashes_per_poison: Most crashes under one poison, over all resends.
        innocent_lost: Innocent requests without a whole answer.
        seconds_to_quarantine: Longest time from the first sending of a poison
            to its refusal for good, in s.
    """

    crashes_per_poison: int
    innocent_lost: int
    seconds_to_quarantine: float


class _Run:
    """Innocents and poisons sent to a fresh world."""

    def __init__(self, seed: int, poisons: int) -> None:
        self.poisons = poisons
        self.rng = random.Random(seed)
        self.team = new_team('crews', first_token_s=5.0)
        self.guilty = new_team('guilty', first_token_s=5.0)
        self.world = World(VMS,
                           ENGINES,
                           seed,
                           dcs=DCS,
                           initial_config=config_with_teams(
                               [self.team, self.guilty], ENGINES))
        self.engines = [
            CrashingEngine(name, VERSION) for name in self.world.engines
        ]
        self.world.engines.update({each.name: each for each in self.engines})
        self.platform = Platform(self.world, self.rng.getrandbits(32))
        self.innocents: list[Outcome] = []
        self.quarantined_s: list[float] = []

    async def run(self) -> PoisonFigures:
        """Sends everything and waits for every final word."""
        await asyncio.sleep(WARM_S)
        sending = asyncio.create_task(self._send_innocents())
        poisons = [
            asyncio.create_task(self._send_poison(number))
            for number in range(self.poisons)
        ]
        await asyncio.gather(*poisons)
        sending.cancel()
        await asyncio.sleep(SETTLE_S)
        self.platform.stop()
        for vm in self.world.vms:
            vm.runtime.halt()
        by = [text for engine in self.engines for text in engine.crashed_by]
        return PoisonFigures(
            crashes_per_poison=max((by.count(text) for text in by), default=0),
            innocent_lost=sum(not each.complete for each in self.innocents),
            seconds_to_quarantine=round(max(self.quarantined_s), 3))

    async def _send_innocents(self) -> None:
        specs = asks_of(self.team, self.rng)
        while True:
            await asyncio.sleep(self.rng.expovariate(INNOCENT_RPS))
            vm = self.platform.pick()
            if vm is None:
                continue
            spec = next(specs)
            reply = self.world.call_model(vm, spec.text, spec.max_tokens,
                                          spec.team)
            self.innocents.append(Outcome(spec, [reply]))

    async def _send_poison(self, number: int) -> None:
        """Sends a poison and each of its resends by another VM."""
        await asyncio.sleep(number * POISON_EVERY_S + self.rng.random())
        text = f'manifest {number} {CRASH_MARK} '.ljust(4_000, 'x')
        spec = RequestSpec(self.guilty.id, text, 8, RESENDS)
        began = asyncio.get_running_loop().time()
        first = self.rng.randrange(VMS)
        quarantined_at = None
        for resend in range(RESENDS):
            vm = self.world.vms[(first + resend) % VMS]
            reply = self.world.call_model(vm, spec.text, spec.max_tokens,
                                          spec.team)
            asked = self.world.sent_requests[-1]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.rng.choice(PATIENCE_S)):
                    await reply.done.wait()
            self.world.disconnect_caller(asked)
            if quarantined_at is None and _for_good(reply):
                quarantined_at = asyncio.get_running_loop().time()
            await asyncio.sleep(
                min(RESEND_MOST_S, reply.refusal.retry_after_s or RESEND_S
                   ) if reply.refusal else RESEND_S)
        self.quarantined_s.append(quarantined_at -
                                  began if quarantined_at else float('inf'))


def _for_good(reply: Reply) -> bool:
    refusal = reply.refusal
    return (refusal is not None and refusal.reason is Reason.QUARANTINED and
            refusal.retry_after_s is None)


def run(seed: int, poisons: int = POISONS) -> dict[str, Any]:
    """Runs the bench.

    Args:
        seed: Seed of everything random.
        poisons: Number of requests that crash endpoints.
    """
    figures = virtual_time.run(_start(seed, poisons))
    found = []
    if figures.crashes_per_poison > MAX_CRASHES:
        found.append(f'a poison crashed {figures.crashes_per_poison} endpoints')
    if figures.innocent_lost:
        found.append(f'{figures.innocent_lost} innocent requests were lost')
    return {
        'bench': 'poison',
        'seed': seed,
        'figures': attrs.asdict(figures),
        'violations': found,
    }


async def _start(seed: int, poisons: int) -> PoisonFigures:
    return await _Run(seed, poisons).run()


@click.command()
@benches.options
def command(seed: int) -> dict[str, Any]:
    """Sends requests that crash endpoints, again and again, by all VMs."""
    return run(seed)
