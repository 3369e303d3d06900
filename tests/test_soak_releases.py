"""Tests of the changes of builds that the soak injects."""

import asyncio
import random
import unittest
from unittest import mock

from tests.soak.fleet import Engine
from tests.soak.releases import ReleaseInjector


class FakeFleet:
    """A fleet without processes, whose restarts last until they are released.

    Attributes:
        engines: Engines that live, by name.
        restarting: Names of engines in restarts, one for each restart.
        removed: Names of engines that were removed.
    """

    def __init__(self) -> None:
        self.build = 1
        self.engines: dict[str, Engine] = {}
        self.restarting: list[str] = []
        self.removed: list[str] = []
        self.may_end = asyncio.Event()

    async def add(self) -> Engine:
        """Add an engine."""
        name = f'w-{len(self.engines) + len(self.removed) + 1}'
        self.engines[name] = Engine(name, 'dc-1', '', mock.Mock(), {},
                                    {'version': f'b{self.build}'})
        return self.engines[name]

    async def restart(self, engine: Engine, build: int, down_s: float) -> None:
        """Restart an engine."""
        del build, down_s
        self.restarting.append(engine.name)
        await self.may_end.wait()

    async def remove(self, engine: Engine, late_s: float) -> None:
        """Remove an engine."""
        del late_s
        self.removed.append(engine.name)
        del self.engines[engine.name]

    def drain(self, engine: Engine) -> None:
        """Mark an engine as leaving."""

    def write_entry(self, engine: Engine) -> None:
        """Write an engine's entry."""

    def reset_connections(self) -> None:
        """Reset all connections to engines."""


class ReleaseInjectorTest(unittest.IsolatedAsyncioTestCase):
    """Releases beside restarts."""

    async def test_engine_that_restarts_is_not_changed_after_a_release(
            self) -> None:
        fleet = FakeFleet()
        for _ in range(3):
            await fleet.add()
        injector = ReleaseInjector(mock.Mock(fleet=fleet), random.Random(1))
        restart = asyncio.ensure_future(injector.restart_engines())
        await asyncio.sleep(0)
        with mock.patch.multiple('tests.soak.releases',
                                 STEP_RANGE_S=(0.0, 0.0),
                                 DRAIN_TIME_S=0.0):
            await injector.release_by_drains()
            await injector.release_by_drains()
        self.assertEqual(len(fleet.removed), 4)
        self.assertEqual(len(fleet.restarting), 1)
        self.assertNotIn(fleet.restarting[0], fleet.removed)
        fleet.may_end.set()
        await asyncio.wait_for(restart, 10.0)


if __name__ == '__main__':
    unittest.main()
