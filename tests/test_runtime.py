"""Tests of pausing the runtime."""

import asyncio
import contextlib
import unittest

from plantainridge import effects as fx
from plantainridge import virtual_time
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.standins.world import LOOKUP, World


class PauseTest(unittest.TestCase):
    """A paused VM does nothing; once resumed, it continues in order."""

    def test_events_are_queued_until_resumed(self) -> None:

        async def scenario() -> None:
            world = World()
            await asyncio.sleep(1)
            vm = world.vms[0]
            vm.runtime.pause()
            reply = world.call_service(vm, LOOKUP)
            await asyncio.sleep(60)
            self.assertEqual(reply.final_count, 0)
            vm.runtime.resume()
            await asyncio.sleep(1)
            self.assertEqual(reply.status, 200)

        virtual_time.run(scenario())

    def test_watcher_pauses_just_before_an_effect(self) -> None:

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
            reply = world.call_service(vm, LOOKUP)
            await asyncio.sleep(60)
            self.assertEqual(reply.final_count, 0)
            vm.runtime.resume()
            await asyncio.sleep(1)
            self.assertEqual(reply.status, 200)
            self.assertEqual(len(watched), 1)

        virtual_time.run(scenario())


class TasksTest(unittest.TestCase):
    """Background tasks of a process that stops."""

    def test_dropped_cancellation_does_not_hold_up_the_stop(self) -> None:

        async def drop_one_cancellation() -> None:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(3_600)
            await asyncio.sleep(3_600)

        async def scenario() -> None:
            tasks = Tasks(lambda error: None)
            tasks.spawn(drop_one_cancellation())
            await asyncio.sleep(0)
            async with asyncio.timeout(60):
                await tasks.cancel()
            self.assertFalse(tasks.running)

        virtual_time.run(scenario())
