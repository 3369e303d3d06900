"""Tests of the runtime's standstill."""

import asyncio
import unittest

from plantainridge import effects as fx
from plantainridge import virtual_time
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event
from plantainridge.standins.world import LOOKUP, World


class PauseTest(unittest.TestCase):
    """A VM that stands still does nothing and then goes on in order."""

    def test_events_wait_until_it_resumes(self) -> None:

        async def scenario() -> None:
            world = World()
            await asyncio.sleep(1)
            vm = world.vms[0]
            vm.runtime.pause()
            told = world.call_service(vm, LOOKUP)
            await asyncio.sleep(60)
            self.assertEqual(told.finals, 0)
            vm.runtime.resume()
            await asyncio.sleep(1)
            self.assertEqual(told.status, 200)

        virtual_time.run(scenario())

    def test_stands_just_before_the_effect_that_was_watched(self) -> None:

        async def scenario() -> None:
            world = World()
            await asyncio.sleep(1)
            vm = world.vms[0]
            watched: list[base.Effect] = []

            def watch(step: Event | base.Effect) -> None:
                if isinstance(step, fx.CallService):
                    watched.append(step)
                    vm.runtime.pause()

            vm.runtime.watchers.append(watch)
            told = world.call_service(vm, LOOKUP)
            await asyncio.sleep(60)
            self.assertEqual(told.finals, 0)
            vm.runtime.resume()
            await asyncio.sleep(1)
            self.assertEqual(told.status, 200)
            self.assertEqual(len(watched), 1)

        virtual_time.run(scenario())
