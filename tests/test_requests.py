"""Tests of the life of a model request."""

import asyncio
import unittest

from plantainridge import virtual_time
from plantainridge.refusals import RanState, Reason
from plantainridge.standins.engine import token_at
from plantainridge.standins.world import VERSION, World

WAIT_S = 60.0


def whole(prompt: str, count: int) -> list[str]:
    """Returns the answer that the engines give to a prompt."""
    return [token_at(prompt, VERSION, index) for index in range(count)]


class WholeAnswerTest(unittest.TestCase):
    """A caller gets every token once, or a typed refusal."""

    def test_streams_the_whole_answer(self) -> None:

        async def scenario() -> None:
            world = World()
            await asyncio.sleep(1)
            told = world.ask_model(world.vms[0], 'how many lorries')
            await asyncio.wait_for(told.done.wait(), WAIT_S)
            self.assertEqual(told.tokens, whole('how many lorries', 10))
            self.assertEqual(told.finals, 1)
            self.assertIsNotNone(told.ended)

        virtual_time.run(scenario())

    def test_resumes_elsewhere_when_an_engine_dies_mid_stream(self) -> None:

        async def scenario() -> None:
            world = World()
            await asyncio.sleep(1)
            told = world.ask_model(world.vms[0], 'q', max_tokens=50)
            await asyncio.sleep(0.3)
            self.assertGreater(len(told.tokens), 0)
            busy = [e for e in world.engines.values() if e.running]
            self.assertEqual(len(busy), 1)
            busy[0].crash()
            await asyncio.wait_for(told.done.wait(), WAIT_S)
            self.assertEqual(told.tokens, whole('q', 50))

        virtual_time.run(scenario())

    def test_refuses_before_it_has_a_configuration(self) -> None:

        async def scenario() -> None:
            world = World()
            told = world.ask_model(world.vms[0], 'q')
            self.assertEqual(told.refusal and told.refusal.reason,
                             Reason.NOT_READY)
            self.assertEqual(told.refusal and told.refusal.ran,
                             RanState.NOT_RUN)

        virtual_time.run(scenario())
