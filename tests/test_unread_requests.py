"""Tests of requests that wait unread while the event loop is busy.

They guard against requests that are answered late by the time for which they
were unread, and against callers that wait longer than their route allows.
"""

import asyncio
import math
import time
import unittest
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway.config import RequestKind
from plantainridge.gateway.events import RequestArrived, View
from plantainridge.gateway.http_server import HttpServer
from plantainridge.gateway.poll_times import (TOLERANCE_S, PollTimes,
                                              UnreadTime)
from plantainridge.gateway.process import BootTimeLoop
from plantainridge.loop.events import Event
from plantainridge.platform.requests import PlatformWire
from tests.gateway_scene import (LEDGER, GatewayScene, configuration, endpoint,
                                 request, route)

RAW: Final = (b'GET /view/x HTTP/1.1\r\nhost: host\r\n'
              b'x-attempt-id: a\r\n\r\n')
BUSY_S: Final = 0.6


class UnreadTimeTest(unittest.TestCase):
    """Bounds of the time for which data was unread."""

    def setUp(self) -> None:
        self.times = PollTimes()
        self.times.record(9.0, 10.0)

    def _unread_s(self, accepted_since: float, now: float) -> float:
        unread = UnreadTime(self.times, accepted_since)
        unread.begin()
        return unread.seconds(now)

    def test_data_that_woke_the_loop_was_not_unread(self) -> None:
        self.assertEqual(self._unread_s(5.0, 10.0), 0.0)

    def test_data_that_a_busy_loop_found_may_be_as_old_as_the_poll_before(
            self) -> None:
        self.times.record(11.0, 11.0)
        self.assertAlmostEqual(self._unread_s(5.0, 11.2), 1.2 - TOLERANCE_S)

    def test_data_of_a_new_connection_may_be_as_old_as_the_connection(
            self) -> None:
        for at in (10.4, 10.8, 11.2):
            self.times.record(at, at)
        self.assertAlmostEqual(self._unread_s(10.0, 11.3), 1.3 - TOLERANCE_S)
        self.assertAlmostEqual(self._unread_s(9.9, 11.3), 0.5 - TOLERANCE_S)

    def test_nothing_is_assumed_without_times_of_polls(self) -> None:
        self.times = PollTimes()
        self.assertEqual(self._unread_s(math.inf, 10.0), 0.0)


class DeadlineTest(unittest.TestCase):
    """The time of a request counts from before it was read."""

    def _scene(self, unread_s: float) -> GatewayScene:
        scene = GatewayScene(endpoint('a', LEDGER))
        slow = route('/view/', RequestKind.IDEMPOTENT, LEDGER, timeout_s=2.0)
        scene.read(View.OPERATOR, configuration(2, routes=(slow,)))
        scene.post(RequestArrived(request('/view/x'), unread_s))
        return scene

    def test_request_that_was_unread_ends_in_time(self) -> None:
        scene = self._scene(0.7)
        self.assertAlmostEqual(scene.last(fx.Send).remaining_s, 1.3)
        scene.advance(1.4)
        self.assertEqual(scene.last(fx.Refuse).status, 504)

    def test_request_whose_time_is_over_is_refused_at_once(self) -> None:
        scene = self._scene(2.1)
        self.assertEqual(scene.last(fx.Refuse).status, 503)
        self.assertEqual(scene.all(fx.Send), [])


class BusyLoopTest(unittest.TestCase):
    """Callers send while the loop handles something else."""

    async def _unread_s(self) -> list[float]:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, BootTimeLoop)
        events: list[Event] = []
        server = HttpServer(PlatformWire(), events.append, loop.poll_times)
        host, _, port = (await server.start('127.0.0.1', 0)).rpartition(':')
        streams = [await asyncio.open_connection(host, int(port))]
        await asyncio.sleep(0.05)
        streams.append(await asyncio.open_connection(host, int(port)))
        for _, writer in streams:
            writer.write(RAW)
        time.sleep(BUSY_S)
        while len(events) < len(streams):
            await asyncio.sleep(0.01)
        for _, writer in streams:
            writer.close()
            await writer.wait_closed()
        return [
            each.unread_s
            for each in events
            if isinstance(each, RequestArrived)
        ]

    def test_unread_time_counts_on_a_kept_and_a_new_connection(self) -> None:
        with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
            unread = runner.run(self._unread_s())
        self.assertEqual(len(unread), 2)
        for each in unread:
            self.assertGreaterEqual(each, BUSY_S - TOLERANCE_S)


if __name__ == '__main__':
    unittest.main()
