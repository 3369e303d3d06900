"""Tests of the life cycle of a model request."""

import asyncio
import unittest

from plantainridge import virtual_time
from plantainridge.refusals import RanState, Reason
from plantainridge.standins.engine import token_at
from plantainridge.standins.world import VERSION, World

WAIT_S = 60.0


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens that the engines generate for a prompt."""
    return [token_at(prompt, VERSION, index) for index in range(count)]


class CompleteAnswerTest(unittest.TestCase):
    """A caller gets every token once, or a typed refusal."""

    def test_streams_the_complete_answer(self) -> None:

        async def scenario() -> None:
            world = World()
            await asyncio.sleep(1)
            reply = world.call_model(world.vms[0], 'how many lorries')
            await asyncio.wait_for(reply.done.wait(), WAIT_S)
            self.assertEqual(reply.tokens,
                             expected_tokens('how many lorries', 10))
            self.assertEqual(reply.final_count, 1)
            self.assertIsNotNone(reply.ended)

        virtual_time.run(scenario())

    def test_resumes_on_another_engine_after_a_crash_mid_stream(self) -> None:

        async def scenario() -> None:
            world = World()
            await asyncio.sleep(1)
            reply = world.call_model(world.vms[0], 'q', max_tokens=50)
            await asyncio.sleep(0.3)
            self.assertGreater(len(reply.tokens), 0)
            busy = [e for e in world.engines.values() if e.running]
            self.assertEqual(len(busy), 1)
            busy[0].crash()
            await asyncio.wait_for(reply.done.wait(), WAIT_S)
            self.assertEqual(reply.tokens, expected_tokens('q', 50))

        virtual_time.run(scenario())

    def test_refuses_before_it_has_a_configuration(self) -> None:

        async def scenario() -> None:
            world = World()
            reply = world.call_model(world.vms[0], 'q')
            self.assertEqual(reply.refusal and reply.refusal.reason,
                             Reason.NOT_READY)
            self.assertEqual(reply.refusal and reply.refusal.ran,
                             RanState.NOT_RUN)

        virtual_time.run(scenario())
