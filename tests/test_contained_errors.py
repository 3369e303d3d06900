"""Tests of errors that are raised while an event is handled.

Such an error must end nothing but the request that the event is about: neither
other requests' answers nor the periodic work.
"""

import asyncio
import unittest
from typing import Any
from unittest import mock

from plantainridge.gateway import (dispatch, endings, placement, rollout,
                                   suspects)
from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import TimerKind
from plantainridge.gateway.http_calls import Response
from plantainridge.loop.effects import Exit
from plantainridge.loop.events import TimerKey
from tests import test_platform_path
from tests.gateway_scene import LEDGER, GatewayScene, endpoint, head

TICK = TimerKey(TimerKind.TICK)


class ContainedErrorTest(unittest.TestCase):
    """One handler raises an error; the endpoint is available."""

    def setUp(self) -> None:
        self.scene = GatewayScene(endpoint('a', LEDGER))
        self.scene.tolerates_errors = True

    def _fail(self, module: Any, function: str) -> None:
        """Make a function raise an error from now on."""
        patch = mock.patch.object(module, function, side_effect=ValueError)
        patch.start()
        self.addCleanup(patch.stop)

    def _fail_placement_of(self, name: str) -> None:
        """Make the choice of an endpoint fail for one request."""
        choose = placement.choose

        def choose_or_fail(state: Any, call: Any, *args: Any,
                           **options: Any) -> Any:
            if call.request.id == name:
                raise ZeroDivisionError
            return choose(state, call, *args, **options)

        patch = mock.patch.object(placement, 'choose', choose_or_fail)
        patch.start()
        self.addCleanup(patch.stop)

    def _statuses(self) -> list[int]:
        return [each.status for each in self.scene.all(fx.Refuse)]

    def _failures(self) -> list[Any]:
        return [
            line for line in self.scene.lines if line.event == 'event_failed'
        ]

    def test_request_that_fails_on_arrival_is_refused_and_removed(self) -> None:
        self._fail_placement_of('bad')
        self.scene.post_request('/submit/x', 'bad')
        self.assertEqual(self._statuses(), [503])
        self.assertEqual(self.scene.state.calls.calls, {})
        self.assertEqual(len(self._failures()), 1)

    def test_other_requests_are_dispatched_in_the_same_tick(self) -> None:
        scene = self.scene
        view = next(iter(scene.state.endpoints.values()))
        view.cooldown_until = scene.now + 0.3
        for name in ('first', 'bad', 'last'):
            scene.post_request('/submit/x', name)
        self._fail_placement_of('bad')
        scene.advance(0.5)
        self.assertEqual([each.request.id for each in scene.all(fx.Send)],
                         ['first', 'last'])
        self.assertEqual(self._statuses(), [503])
        self.assertIn(TICK, scene.timers)

    def test_failing_periodic_work_does_not_stop_the_rest(self) -> None:
        self._fail(rollout, '_lagging')
        self.scene.post(ev.StopRequested())
        self.scene.advance(3.1)
        self.assertEqual(len(self.scene.all(fx.StopListening)), 1)
        self.assertIn(TICK, self.scene.timers)

    def test_stop_ends_although_the_end_of_a_request_fails(self) -> None:
        self.scene.post_request('/submit/x', 'one')
        self.scene.post_request('/submit/x', 'two')
        self.scene.post(ev.StopRequested())
        self._fail(endings, 'close_attempt')
        self.scene.advance(8.0)
        self.assertEqual(len(self.scene.all(Exit)), 1)
        self.assertEqual(len(self.scene.all(fx.AbortReply)), 2)
        self.assertEqual(self.scene.state.calls.calls, {})

    def test_request_that_has_run_is_not_refused_as_not_run(self) -> None:
        send = self.scene.post_request('/submit/x')
        self._fail(suspects, 'record_answer')
        self.scene.post(ev.AnswerArrived(send.attempt, head(), b'done'))
        self.assertEqual(self._statuses(), [502])
        self.assertEqual(self.scene.state.calls.calls, {})

    def test_request_whose_end_fails_too_is_aborted(self) -> None:
        send = self.scene.post_request('/submit/x')
        self._fail(endings, 'close_attempt')
        self.scene.post(ev.AnswerArrived(send.attempt, head(), b'done'))
        self.assertEqual(len(self.scene.all(fx.AbortReply)), 1)
        self.assertEqual(self.scene.state.calls.calls, {})
        self.assertEqual(self.scene.state.calls.attempts, {})

    def test_failing_check_of_silence_leaves_the_answer(self) -> None:
        send = self.scene.post_request('/view/x')
        self._fail(dispatch, 'send_limit')
        self.scene.advance(2.0)
        self.scene.post(ev.AnswerArrived(send.attempt, head(), b'late'))
        self.assertEqual(self.scene.last(fx.Reply).body, b'late')
        self.assertEqual(self.scene.all(fx.CancelSend), [])


class FailedRequestPathTest(test_platform_path.PlatformPathCase):
    """A configuration has a route whose requests cannot be placed."""

    async def test_requests_that_wait_are_still_dispatched(self) -> None:
        routes = [{
            **test_platform_path.route(prefix, kind, service), 'host':
                self.address
        } for prefix, kind, service in (('/report/', 'streaming', 'llm'),
                                        ('/submit/', 'unsafe', 'app'))]
        routes[0]['target-latency-ms'] = 0
        self._configure(version=2, routes=routes)
        await asyncio.sleep(0.2)
        failed = await self._send('/report/x', 'one')
        assert isinstance(failed, Response), failed
        self.assertEqual(failed.status, 503)
        self.app.refuses = True
        waiting = asyncio.create_task(self._send('/submit/x', 'two'))
        await asyncio.sleep(0.1)
        self.app.refuses = False
        response = await waiting
        assert isinstance(response, Response), response
        self.assertEqual((response.status, response.body), (200, b'done by a1'))


if __name__ == '__main__':
    unittest.main()
