"""Tests of endpoints that work on while they are silent or their entry is late.

Each guards against running work that is started again elsewhere, or cut, though
the endpoint is sound.
"""

import math
import unittest
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import EndpointRemoved, View
from plantainridge.ids import EndpointId
from tests.gateway_scene import ENGINES, LEDGER, endpoint
from tests.test_silent_endpoints import OTHER, SilentScene

# Streams that may be resumed or not, calls that may run once or again.
STREAMS: Final = ('/report/x', '/tag/x')
PATHS: Final = (*STREAMS, '/submit/x', '/view/x')


def expire(scene: SilentScene) -> None:
    """Remove the entry of the endpoint at work, past all delays."""
    scene.read(View.REGISTRY, EndpointRemoved(scene.send.endpoint))


class ExpiredEntryTest(unittest.TestCase):
    """The entry of an endpoint expires while it still answers."""

    def _play(self, path: str, returns: bool) -> list[str]:
        """Answer a request whose endpoint loses its entry; return faults."""
        scene = SilentScene(path, 2 if path in STREAMS else -1)
        is_stream = scene.is_stream
        # Entries that expire shortly after the first read are kept longer.
        scene.state.views.cursors[View.REGISTRY].recovered_at = -math.inf
        expire(scene)
        self._go_on(scene, is_stream)
        self.assertNotIn(scene.send.endpoint, scene.state.endpoints)
        if returns:
            service = ENGINES if is_stream else LEDGER
            scene.read(View.REGISTRY, endpoint('a', service))
        for _ in range(3):
            self._go_on(scene, is_stream)
        wrong = scene.cuts + ['sent again'] * (len(scene.all(fx.Send)) - 1)
        if is_stream:
            return wrong + scene.complete()
        scene.post(
            ev.AnswerArrived(scene.send.attempt,
                             ev.AnswerHead(200, (), True, False), b'late'))
        if len(scene.all(fx.Reply)) != 1:
            wrong.append('not answered')
        return wrong

    def _go_on(self, scene: SilentScene, is_stream: bool) -> None:
        scene.now += 0.4 if is_stream else 0.0
        scene.advance(0.0)
        if is_stream:
            scene.post_event()

    def test_running_work_goes_on(self) -> None:
        wrong = {}
        for path in PATHS:
            for returns in (False, True):
                wrong[path, returns] = self._play(path, returns)
        self.assertEqual(wrong, dict.fromkeys(wrong, []))


class FrozenEndpointTest(unittest.TestCase):
    """An endpoint sends nothing for a while and then goes on."""

    def test_what_may_run_once_is_left_alone(self) -> None:
        found = {}
        for path, events in (('/tag/x', 3), ('/tag/x', -1), ('/submit/x', -1)):
            for silence_s in (1.0, 2.0, 5.0):
                scene = SilentScene(path, events)
                scene.be_silent(silence_s)
                sends = len(scene.all(fx.Send))
                found[path, events, silence_s] = sends, scene.cuts
        self.assertEqual(found, dict.fromkeys(found, (1, [])))

    def test_stream_is_left_alone_for_three_gaps(self) -> None:
        scene = SilentScene(events=3)
        scene.be_silent(0.8)
        self.assertEqual((len(scene.all(fx.Send)), scene.cuts), (1, []))

    def test_stream_goes_on_elsewhere_after_its_last_event(self) -> None:
        # After a longer silence another engine takes over, without a gap.
        scene = SilentScene(events=3)
        scene.be_silent(2.0)
        second = scene.last(fx.Send)
        self.assertEqual((second.endpoint, second.last_event_id), (OTHER, '3'))
        self.assertEqual(scene.all(fx.AbortReply), [])

    def test_nothing_is_done_while_the_registry_is_late(self) -> None:
        scene = SilentScene(events=3)
        for _ in range(20):
            scene.advance(0.2)
            scene.post_event()
        self.assertGreater(scene.state.views.age_s(View.REGISTRY, scene.now),
                           3.0)
        self.assertIn(EndpointId('a'), scene.state.endpoints)
        self.assertEqual(scene.complete(), [])


if __name__ == '__main__':
    unittest.main()
