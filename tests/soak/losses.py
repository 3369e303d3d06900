"""Injector of the loss of all gateways of a data centre at one moment."""

import asyncio
import random
import signal
import time
from typing import Final

import attrs

from tests.soak.checks import DC_LOSS, STABLE_S
from tests.soak.history import FaultSpan
from tests.soak.site import DCS, SoakSite

# Engines of each build that starts; enough that its streams must go on.
BUILD_ENGINES: Final = 2
# Time for which the gateways of a data centre are gone.
DOWN_RANGE_S: Final = (3.0, 4.0)
# Time from the loss to the start of a further build's engines.
NEXT_BUILD_RANGE_S: Final = (-0.5, 1.5)


class LossInjector:
    """Injector of the loss of each data centre, beside builds that start."""

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        self.site = site
        self.rng = rng

    async def run(self) -> None:
        """Lose the gateways of one data centre after the other."""
        for dc in self.rng.sample(DCS, len(DCS)):
            await self._start_build()
            # Streams of all builds are running by then.
            await asyncio.sleep(STABLE_S + 1.0)
            next_build_s = self.rng.uniform(*NEXT_BUILD_RANGE_S)
            await asyncio.gather(self._start_build_after(next_build_s),
                                 self._lose(dc, max(0.0, -next_build_s)))

    async def _start_build(self) -> None:
        self.site.fleet.build += 1
        await asyncio.gather(
            *(self.site.fleet.add() for _ in range(BUILD_ENGINES)))

    async def _start_build_after(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds))
        await self._start_build()

    async def _lose(self, dc: str, delay_s: float) -> None:
        """Kill all gateways of a data centre; start them again later."""
        await asyncio.sleep(delay_s)
        site = self.site
        lost = [vm for vm in site.gateways if vm.dc == dc]
        spans = site.history.fault_spans
        indices = range(len(spans), len(spans) + len(lost))
        spans += [
            FaultSpan(vm.name, DC_LOSS, time.time(), float('inf'))
            for vm in lost
        ]
        await asyncio.gather(
            *(site.end_gateway(vm, signal.SIGKILL) for vm in lost))
        await asyncio.sleep(self.rng.uniform(*DOWN_RANGE_S))
        await asyncio.gather(*(site.start_gateway(vm) for vm in lost))
        for index in indices:
            spans[index] = attrs.evolve(spans[index], end=time.time())
        site.history.faults_ended_at = time.time()
