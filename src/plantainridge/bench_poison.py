"""Bench of poison requests, which crash endpoints, among normal ones."""

import asyncio
import contextlib
import random
from typing import Any, Final

import attrs
import click

from plantainridge import benches, virtual_time
from plantainridge.bench_overload import generate_requests
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
WARM_UP_S: Final = 8.0
NORMAL_RPS: Final = 12.0
POISONS: Final = 4
POISON_INTERVAL_S: Final = 15.0
RESENDS: Final = 40
# Delay before a caller resends a refused poison request.
RESEND_DELAY_S: Final = 0.01
MAX_RESEND_DELAY_S: Final = 1.0
SETTLE_S: Final = 60.0
# Timeouts after which a caller disconnects and resends.
CALLER_TIMEOUTS_S: Final = (0.5, 2.0, 30.0)


@attrs.frozen
class PoisonFigures:
    """Figures of one run.

    Attributes:
        crashes_per_poison: Maximum number of crashes that one poison request
            caused, over all resends.
        innocent_lost: Number of normal requests without a complete answer.
        seconds_to_quarantine: Maximum time from the first send of a poison
            request to its permanent refusal, in s.
    """

    crashes_per_poison: int
    innocent_lost: int
    seconds_to_quarantine: float


class _Run:
    """Run with normal and poison requests on a new world."""

    def __init__(self, seed: int, poisons: int) -> None:
        self.poisons = poisons
        self.rng = random.Random(seed)
        self.team = new_team('crews', first_token_s=5.0)
        self.poison_team = new_team('guilty', first_token_s=5.0)
        self.world = World(VMS,
                           ENGINES,
                           seed,
                           dcs=DCS,
                           initial_config=config_with_teams(
                               [self.team, self.poison_team], ENGINES))
        self.engines = [
            CrashingEngine(name, VERSION) for name in self.world.engines
        ]
        self.world.engines.update({each.name: each for each in self.engines})
        self.platform = Platform(self.world, self.rng.getrandbits(32))
        self.normal_outcomes: list[Outcome] = []
        self.times_to_quarantine_s: list[float] = []

    async def run(self) -> PoisonFigures:
        """Send all requests, wait until they ended, return the figures."""
        await asyncio.sleep(WARM_UP_S)
        send_task = asyncio.create_task(self._send_normal_requests())
        poisons = [
            asyncio.create_task(self._send_poison(number))
            for number in range(self.poisons)
        ]
        await asyncio.gather(*poisons)
        send_task.cancel()
        await asyncio.sleep(SETTLE_S)
        self.platform.stop()
        for vm in self.world.vms:
            vm.runtime.halt()
        crash_causes = [
            text for engine in self.engines for text in engine.crashed_by
        ]
        return PoisonFigures(
            crashes_per_poison=max(
                (crash_causes.count(text) for text in crash_causes), default=0),
            innocent_lost=sum(
                not each.complete for each in self.normal_outcomes),
            seconds_to_quarantine=round(max(self.times_to_quarantine_s), 3))

    async def _send_normal_requests(self) -> None:
        specs = generate_requests(self.team, self.rng)
        while True:
            await asyncio.sleep(self.rng.expovariate(NORMAL_RPS))
            vm = self.platform.pick()
            if vm is None:
                continue
            spec = next(specs)
            reply = self.world.call_model(vm, spec.text, spec.max_tokens,
                                          spec.team)
            self.normal_outcomes.append(Outcome(spec, [reply]))

    async def _send_poison(self, number: int) -> None:
        """Send a poison request, with each resend through another VM."""
        await asyncio.sleep(number * POISON_INTERVAL_S + self.rng.random())
        text = f'manifest {number} {CRASH_MARK} '.ljust(4_000, 'x')
        spec = RequestSpec(self.poison_team.id, text, 8, RESENDS)
        started_at = asyncio.get_running_loop().time()
        first_vm = self.rng.randrange(VMS)
        quarantined_at = None
        for resend in range(RESENDS):
            vm = self.world.vms[(first_vm + resend) % VMS]
            reply = self.world.call_model(vm, spec.text, spec.max_tokens,
                                          spec.team)
            sent_request = self.world.sent_requests[-1]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.rng.choice(CALLER_TIMEOUTS_S)):
                    await reply.done.wait()
            self.world.disconnect_caller(sent_request)
            if quarantined_at is None and _is_quarantined(reply):
                quarantined_at = asyncio.get_running_loop().time()
            await asyncio.sleep(
                min(MAX_RESEND_DELAY_S, reply.refusal.retry_after_s or
                    RESEND_DELAY_S) if reply.refusal else RESEND_DELAY_S)
        self.times_to_quarantine_s.append(
            quarantined_at - started_at if quarantined_at else float('inf'))


def _is_quarantined(reply: Reply) -> bool:
    refusal = reply.refusal
    return (refusal is not None and refusal.reason is Reason.QUARANTINED and
            refusal.retry_after_s is None)


def run(seed: int, poisons: int = POISONS) -> dict[str, Any]:
    """Run the bench and return its figures.

    Args:
        seed: Seed of all random draws.
        poisons: Number of poison requests.
    """
    figures = virtual_time.run(_start(seed, poisons))
    missed_targets = []
    if figures.crashes_per_poison > MAX_CRASHES:
        missed_targets.append(
            f'a poison request crashed {figures.crashes_per_poison} endpoints')
    if figures.innocent_lost:
        missed_targets.append(
            f'{figures.innocent_lost} normal requests were lost')
    return {
        'bench': 'poison',
        'seed': seed,
        'figures': attrs.asdict(figures),
        'violations': missed_targets,
    }


async def _start(seed: int, poisons: int) -> PoisonFigures:
    return await _Run(seed, poisons).run()


@click.command()
@benches.options
def command(seed: int) -> dict[str, Any]:
    """Resend requests that crash endpoints through all VMs."""
    return run(seed)
