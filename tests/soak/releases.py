"""Injector of releases and restarts of engines whose streams are resumed."""

import asyncio
import random
import time
from typing import Final

from tests.soak.faults import FaultInjector, WeightedFault
from tests.soak.fleet import Engine
from tests.soak.site import WRITER_COUNT, SoakSite

# Time between the starts of two events, beside the other faults.
INTERVAL_RANGE_S: Final = (0.3, 1.5)
# Time for which an engine is gone before it starts again.
DOWN_RANGE_S: Final = (0.1, 1.5)
# Time from an engine's start to its entry, if it is not written at once.
LATE_ENTRY_RANGE_S: Final = (0.5, 2.0)
LATE_ENTRY_RATIO: Final = 0.5
UPGRADE_RATIO: Final = 0.7
# Ratio of resets of all connections while a run's entry is not written, and in
# each step of a release.
RESET_RATIO: Final = 0.5
PAUSE_RATIO: Final = 0.5
CRASH_RATIO: Final = 0.5
STEP_RANGE_S: Final = (0.2, 1.0)
# Time from the drain of an engine to its exit, when its streams have ended.
DRAIN_TIME_S: Final = 5.0


class ReleaseInjector(FaultInjector):
    """Injector of changes of builds, whose draws are its own.

    Attributes:
        changing: Names of engines that restart or leave.
        is_releasing: Whether a release is in progress.
    """

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        super().__init__(site, rng)
        self.fleet = site.fleet
        self.changing: set[str] = set()
        self.is_releasing = False
        planned: list[WeightedFault] = [(1, self.release_by_drains)]
        self.planned_work = planned
        self.all_faults = [(6, self.restart_engines),
                           (2, self._reset_connections),
                           (1, self.release_beside_faults),
                           (1, self._pause_gateway)]

    async def inject_for(self, seconds: float, in_calm: bool) -> None:
        """Inject planned changes, or faults, for some time; await their end."""
        faults = self.planned_work if in_calm else self.all_faults
        end = time.monotonic() + seconds
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            _, fault = self.rng.choices(faults, [each[0] for each in faults])[0]
            running.add(asyncio.ensure_future(self._inject(fault)))
            await asyncio.sleep(self.rng.uniform(*INTERVAL_RANGE_S))
        await asyncio.gather(*running)

    def _pick_engine(self) -> Engine | None:
        """Return an engine that does not change yet, or None."""
        candidates = [
            engine for name, engine in self.fleet.engines.items()
            if name not in self.changing
        ]
        return self.rng.choice(candidates) if candidates else None

    async def restart_engines(self) -> None:
        """Restart some engines one after the other, mostly upgraded."""
        for _ in range(self.rng.randint(1, WRITER_COUNT)):
            engine = self._pick_engine()
            if engine is None:
                return
            self.changing.add(engine.name)
            await self._restart_engine(engine)
            self.changing.discard(engine.name)

    async def _restart_engine(self, engine: Engine) -> None:
        build = int(engine.entry['version'][1:])
        if self.rng.random() < UPGRADE_RATIO:
            # Engines that are upgraded one after the other get one build.
            build = self.fleet.build = max(self.fleet.build, build + 1)
        await self.fleet.restart(engine, build, self.rng.uniform(*DOWN_RANGE_S))
        if self.rng.random() < LATE_ENTRY_RATIO:
            late_s = self.rng.uniform(*LATE_ENTRY_RANGE_S)
            resets_at_s = self.rng.uniform(late_s / 2, late_s)
            await asyncio.sleep(resets_at_s)
            if self.rng.random() < RESET_RATIO:
                self.fleet.reset_connections()
            await asyncio.sleep(late_s - resets_at_s)
        self.fleet.write_entry(engine)

    async def _reset_connections(self) -> None:
        self.fleet.reset_connections()

    async def release_by_drains(self) -> None:
        """Replace all engines by ones of a new build; the old ones drain."""
        await self._release(in_calm=True)

    async def release_beside_faults(self) -> None:
        """Replace all engines; some crash while gateways are paused."""
        await self._release(in_calm=False)

    async def _release(self, in_calm: bool) -> None:
        if self.is_releasing:
            return
        self.is_releasing = True
        self.fleet.build += 1
        leaving: list[asyncio.Task[None]] = []
        changing: set[str] = set()
        for _ in range(len(self.fleet.engines)):
            old = self._pick_engine()
            if old is None:
                break
            self.changing.add(old.name)
            if not in_calm and self.rng.random() < PAUSE_RATIO:
                leaving.append(asyncio.ensure_future(self._pause_gateway()))
            changing |= {old.name, (await self.fleet.add()).name}
            self.changing |= changing
            await asyncio.sleep(self.rng.uniform(*STEP_RANGE_S))
            crashes = not in_calm and self.rng.random() < CRASH_RATIO
            leaving.append(asyncio.ensure_future(self._remove(old, crashes)))
            if not in_calm and self.rng.random() < RESET_RATIO:
                self.fleet.reset_connections()
        await asyncio.gather(*leaving)
        self.changing -= changing
        self.is_releasing = False

    async def _remove(self, engine: Engine, crashes: bool) -> None:
        if not crashes:
            self.fleet.drain(engine)
            await asyncio.sleep(DRAIN_TIME_S)
        late_s = self.rng.uniform(*STEP_RANGE_S) if crashes else 0.0
        await self.fleet.remove(engine, late_s)
