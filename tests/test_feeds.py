"""Tests of polling engines for load and cache events."""

import asyncio
import unittest

from plantainridge import feeds
from plantainridge.ids import BlockKey, DcId, VmId
from plantainridge.standins import site, world

VM = VmId('vm1')
TIMEOUT_S = 10


class PollTest(unittest.TestCase):
    """Polls update the VM's view of engines within the rate limit."""

    def test_polls_load_and_cache(self) -> None:

        async def scenario() -> None:
            local_site = site.Site(world.sample_config())
            await local_site.start({VM: DcId(world.DC)})
            state = local_site.entries[VM].runtime.state
            name, engine = next(iter(local_site.engines.items()))
            keys = [BlockKey('k1'), BlockKey('k2')]
            engine.put(keys)
            async with asyncio.timeout(TIMEOUT_S):
                while name not in state.directory.endpoints.prefix_lengths(
                        keys):
                    await asyncio.sleep(0.01)
                while state.endpoints[name].report is None:
                    await asyncio.sleep(0.01)
            await local_site.stop()

        asyncio.run(scenario())

    def test_exhausted_budget_chooses_no_endpoint(self) -> None:

        async def scenario() -> None:
            local_site = site.Site(world.sample_config())
            await local_site.start({VM: DcId(world.DC)})
            poller = local_site.entries[VM].feed_poller
            self.assertEqual(poller.choose_endpoints(0), [])
            chosen = {
                view.id for _ in range(2) for view in poller.choose_endpoints(1)
            }
            self.assertEqual(chosen, set(local_site.engines))
            self.assertLessEqual(poller.credit_bytes, feeds.MAX_CREDIT_BYTES)
            await local_site.stop()

        asyncio.run(scenario())
