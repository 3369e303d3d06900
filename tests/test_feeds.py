"""Tests of the polls of engines."""

import asyncio
import unittest

from plantainridge import feeds
from plantainridge.ids import BlockKey, DcId, VmId
from plantainridge.standins import site, world

VM = VmId('vm1')
LIMIT_S = 10


class PollTest(unittest.TestCase):
    """Polls bring what engines hold, within their budget of bytes."""

    def test_brings_the_load_and_the_cache(self) -> None:

        async def scenario() -> None:
            here = site.Site(world.sample_config())
            await here.start({VM: DcId(world.DC)})
            state = here.entries[VM].runtime.state
            name, engine = next(iter(here.engines.items()))
            keys = [BlockKey('k1'), BlockKey('k2')]
            engine.put(keys)
            async with asyncio.timeout(LIMIT_S):
                while name not in state.directory.endpoints.prefixes(keys):
                    await asyncio.sleep(0.01)
                while state.endpoints[name].report is None:
                    await asyncio.sleep(0.01)
            await here.stop()

        asyncio.run(scenario())

    def test_a_spent_budget_asks_nobody(self) -> None:

        async def scenario() -> None:
            here = site.Site(world.sample_config())
            await here.start({VM: DcId(world.DC)})
            polls = here.entries[VM].feed_poller
            self.assertEqual(polls.due(0), [])
            asked = {view.id for _ in range(2) for view in polls.due(1)}
            self.assertEqual(asked, set(here.engines))
            self.assertLessEqual(polls.credit_bytes, feeds.MAX_CREDIT_BYTES)
            await here.stop()

        asyncio.run(scenario())
