"""Tests of requests that cannot end before the process is killed."""

import unittest
from typing import Any

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.settings import Bounds
from plantainridge.ids import EndpointId, RequestId
from plantainridge.loop import effects as base
from tests.gateway_scene import LEDGER, GatewayScene, endpoint, head

MEASURED_REQUESTS = 40
# Time for which a VM has to run until it was surely not suspended before, in s.
RUNNING_S = 2.0


def stopping_scene(grace_s: float = 8.0) -> GatewayScene:
    """Return a VM with one endpoint of each service."""
    scene = GatewayScene(endpoint('a', LEDGER), endpoint('b'))
    scene.state.settings = attrs.evolve(scene.state.settings,
                                        bounds=Bounds(grace_s=grace_s))
    return scene


def serve(scene: GatewayScene,
          target: str,
          took_s: float,
          count: int = MEASURED_REQUESTS,
          **overrides: Any) -> None:
    """Serve requests that each take some time."""
    for each in range(count):
        send = scene.post_request(target, f'served-{took_s}-{each}',
                                  **overrides)
        scene.now += took_s
        scene.post(ev.AnswerArrived(send.attempt, head(), b''))
    scene.advance(RUNNING_S)


class WaitingRequestTest(unittest.TestCase):
    """Requests that wait for an endpoint while their VM stops."""

    def _wait(self, scene: GatewayScene, target: str) -> None:
        """Post a request that can be sent 3.8 s later."""
        scene.state.endpoints[EndpointId('a')].cooldown_until = scene.now + 3.8
        scene.post_request(target)
        self.assertEqual(len(scene.state.calls.waiting(scene.now)), 1)

    def test_is_refused_once_it_may_outlast_the_exit(self) -> None:
        for target in ('/submit/x', '/view/x'):
            with self.subTest(target):
                scene = stopping_scene()
                self._wait(scene, target)
                scene.post(ev.StopRequested())
                scene.advance(8.0)
                self.assertEqual(scene.all(fx.Send), [])
                refusal = scene.last(fx.Refuse)
                self.assertEqual(refusal.status, 503)
                self.assertIsNotNone(refusal.retry_after_s)

    def test_is_sent_if_its_kind_ends_in_time(self) -> None:
        scene = stopping_scene()
        serve(scene, '/submit/x', 0.5)
        sent = len(scene.all(fx.Send))
        self._wait(scene, '/submit/x')
        scene.post(ev.StopRequested())
        scene.advance(4.0)
        self.assertEqual(len(scene.all(fx.Send)), sent + 1)
        self.assertEqual(scene.all(fx.Refuse), [])

    def test_is_refused_after_it_was_rejected_unexecuted(self) -> None:
        scene = stopping_scene()
        send = scene.post_request('/submit/x')
        scene.post(ev.StopRequested())
        scene.advance(5.0)
        scene.post(ev.AnswerArrived(send.attempt, head(503, not_run=True), b''))
        scene.advance(3.0)
        self.assertEqual(len(scene.all(fx.Send)), 1)
        self.assertEqual(scene.last(fx.Refuse).status, 503)

    def test_one_that_may_have_run_is_not_refused(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER), endpoint('c', LEDGER))
        send = scene.post_request('/view/x')
        scene.post(ev.StopRequested())
        scene.advance(3.1)
        scene.post(ev.SendFailed(send.attempt, ev.Failure.BROKEN))
        again = scene.last(fx.Send)
        self.assertNotEqual(again.attempt, send.attempt)
        scene.post(ev.AnswerArrived(again.attempt, head(), b''))
        self.assertEqual(scene.last(fx.Reply).status, 200)


class EarlyRequestTest(unittest.TestCase):
    """Requests that arrive while the load balancer still sends some."""

    def _arrive(self, scene: GatewayScene, target: str, after_s: float) -> Any:
        scene.post(ev.StopRequested())
        scene.now += after_s
        return scene.post_request(target, 'early', caller_timeout_s=20.0)

    def test_is_refused_if_its_kind_outlasts_the_exit(self) -> None:
        for target in ('/submit/x', '/view/x'):
            with self.subTest(target):
                scene = stopping_scene()
                serve(scene, target, 6.0)
                refusal = self._arrive(scene, target, 2.0)
                self.assertIsInstance(refusal, fx.Refuse)
                self.assertEqual(refusal.status, 503)
                self.assertIsNotNone(refusal.retry_after_s)

    def test_is_taken_if_its_kind_ends_in_time(self) -> None:
        for target in ('/submit/x', '/view/x'):
            with self.subTest(target):
                scene = stopping_scene()
                serve(scene, target, 5.0)
                self.assertIsInstance(self._arrive(scene, target, 2.0), fx.Send)

    def test_is_taken_if_its_deadline_comes_first(self) -> None:
        scene = stopping_scene()
        serve(scene, '/submit/x', 6.0)
        scene.post(ev.StopRequested())
        scene.now += 2.0
        self.assertIsInstance(
            scene.post_request('/submit/x', caller_timeout_s=5.0), fx.Send)

    def test_is_taken_while_its_kind_is_not_known(self) -> None:
        scene = stopping_scene()
        serve(scene, '/submit/x', 6.0, count=3)
        self.assertIsInstance(self._arrive(scene, '/submit/x', 2.0), fx.Send)

    def test_rare_long_requests_matter_to_what_runs_once(self) -> None:
        for target, expected in (('/submit/x', fx.Refuse), ('/view/x',
                                                            fx.Send)):
            with self.subTest(target):
                scene = stopping_scene()
                serve(scene, target, 6.0, count=1)
                serve(scene, target, 0.1)
                self.assertIsInstance(self._arrive(scene, target, 2.0),
                                      expected)

    def test_sizes_are_told_apart(self) -> None:
        scene = stopping_scene()
        for size, took_s in ((50, 1.0), (4_000, 6.0)):
            for each in range(MEASURED_REQUESTS):
                send = scene.post_request('/tag/x',
                                          f'{size}-{each}',
                                          output_tokens=size)
                scene.post(ev.StreamStarted(send.attempt, head()))
                scene.now += took_s
                scene.post(ev.StreamEnded(send.attempt))
        scene.advance(RUNNING_S)
        scene.post(ev.StopRequested())
        scene.now += 2.0
        for size, expected in ((50, fx.Send), (4_000, fx.Refuse)):
            self.assertIsInstance(
                scene.post_request('/tag/x',
                                   f'{size}',
                                   output_tokens=size,
                                   caller_timeout_s=20.0), expected)


class LateStopRequestTest(unittest.TestCase):
    """A stop request that a paused VM handles late."""

    def test_requests_end_before_the_kill(self) -> None:
        scene = stopping_scene()
        scene.advance(1.0)
        scene.post_request('/submit/x', caller_timeout_s=60.0)
        # Killed 8 s after the request to stop, which came at the start of it.
        killed_at = scene.now + 8.0
        scene.now += 3.0
        scene.post(ev.StopRequested())
        scene.advance(killed_at - scene.now)
        self.assertEqual(scene.last(fx.Refuse).request, RequestId('r1'))
        self.assertEqual(len(scene.all(base.Exit)), 1)

    def test_late_requests_are_refused(self) -> None:
        scene = stopping_scene()
        scene.advance(1.0)
        scene.now += 3.0
        scene.post(ev.StopRequested())
        refusal = scene.post_request('/submit/x')
        self.assertIsInstance(refusal, fx.Refuse)

    def test_request_after_a_pause_counts_from_its_own_time(self) -> None:
        scene = stopping_scene()
        scene.advance(1.0)
        scene.post_request('/submit/x')
        scene.now += 5.0
        scene.advance(0.8)
        scene.post(ev.StopRequested())
        scene.advance(4.0)
        self.assertEqual(scene.all(fx.Refuse), [])

    def test_listens_until_the_load_balancer_knows(self) -> None:
        scene = stopping_scene()
        scene.advance(1.0)
        scene.now += 3.0
        scene.post(ev.StopRequested())
        scene.advance(2.5)
        self.assertEqual(scene.all(fx.StopListening), [])
        scene.advance(0.7)
        self.assertEqual(len(scene.all(fx.StopListening)), 1)


class ShortGraceTest(unittest.TestCase):
    """A grace that is shorter than the load balancer's time to notice."""

    def test_requests_end_in_the_last_sixth(self) -> None:
        for grace_s in (1.0, 2.0, 3.0, 4.0, 8.0):
            with self.subTest(grace_s):
                scene = stopping_scene(grace_s)
                scene.post_request('/submit/x', caller_timeout_s=60.0)
                scene.post(ev.StopRequested())
                scene.advance(5.0 / 6.0 * grace_s)
                self.assertEqual(scene.all(fx.Refuse), [])
                scene.advance(grace_s / 6.0)
                self.assertEqual(scene.last(fx.Refuse).status, 502)
                self.assertEqual(len(scene.all(base.Exit)), 1)


if __name__ == '__main__':
    unittest.main()
