"""Tests of the cool-downs of endpoints that fail."""

import unittest

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import health
from plantainridge.gateway.events import Failure
from plantainridge.ids import EndpointId
from tests.gateway_scene import GatewayScene, endpoint


class CooldownTest(unittest.TestCase):
    """Tests of the length of a cool-down."""

    # Failure, sends that fail at once, expected length in s.
    TOGETHER = (
        (Failure.SILENT, 4, health.COOLDOWN_S),
        (Failure.NOT_CONNECTED, 4, health.COOLDOWN_S),
        (Failure.BROKEN, 8, 2 * health.COOLDOWN_S),
    )

    def _fail(self, scene: GatewayScene, failure: Failure, count: int) -> float:
        """Let sends to the only endpoint fail; return the cool-down, in s."""
        sent = len(scene.all(fx.Send))
        for number in range(count):
            scene.post_request('/tag/x', f'r{sent}-{number}')
        scene.advance(0.1)
        for send in scene.all(fx.Send)[sent:]:
            scene.post(ev.SendFailed(send.attempt, failure))
        view = scene.state.endpoints[EndpointId('a')]
        return view.available_at - scene.now

    def test_sends_that_fail_together_do_not_lengthen_it(self) -> None:
        for failure, count, expected_s in self.TOGETHER:
            with self.subTest(failure=failure):
                scene = GatewayScene(endpoint('a'))
                self.assertAlmostEqual(self._fail(scene, failure, count),
                                       expected_s)

    def test_failure_after_it_doubles_it(self) -> None:
        scene = GatewayScene(endpoint('a'))
        for expected_s in (0.5, 1.0, 2.0, 4.0, 4.0):
            cooldown_s = self._fail(scene, Failure.SILENT, 3)
            self.assertAlmostEqual(cooldown_s, expected_s)
            scene.advance(cooldown_s)
