"""Tests of the dump of a hanging test."""

import asyncio
import unittest

from tests import hang_dump


class HangDumpTest(unittest.IsolatedAsyncioTestCase):
    """The dump names the place at which a task waits."""

    async def test_names_every_coroutine_of_a_task_that_waits(self) -> None:
        never = asyncio.Event()

        async def inner() -> None:
            await never.wait()

        async def outer() -> None:
            await inner()

        task = asyncio.create_task(outer(), name='waiting')
        await asyncio.sleep(0)
        lines = list(hang_dump.waits())
        start = lines.index('waiting, cancelled 0 times')
        places = [line.split()[-1] for line in lines[start + 1:start + 4]]
        self.assertEqual(places, ['outer', 'inner', 'wait'])
        task.cancel()
