"""Tests of forwarding: routing, retries, streams, refusals, endpoints."""

import unittest

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.config import RequestKind
from plantainridge.gateway.events import Failure, View
from tests.gateway_scene import (ENGINES, LEDGER, REMOTE_DC, GatewayScene,
                                 configuration, endpoint, head, route)

A = endpoint('a', LEDGER)
B = endpoint('b', LEDGER)


class RoutingTest(unittest.TestCase):
    """Tests of routing and of denials."""

    def test_denials(self) -> None:
        cases = {
            'no route': ('/none/', 'key', 404),
            'no key': ('/view/x', None, 401),
            'unknown key': ('/view/x', 'stolen', 401),
        }
        for name, (target, key, status) in cases.items():
            with self.subTest(name):
                refused = GatewayScene(A).post_request(target, key=key)
                self.assertEqual(refused.status, status)

    def test_stale_configuration_denies_nothing(self) -> None:
        scene = GatewayScene(A)
        scene.now += 5.0
        refused = scene.post_request('/none/')
        self.assertEqual(refused.status, 503)
        self.assertIsNotNone(refused.retry_after_s)

    def test_older_configuration_is_ignored(self) -> None:
        scene = GatewayScene(A)
        scene.read(View.OPERATOR, configuration(5, teams=()))
        scene.read(View.OPERATOR, configuration(4))
        self.assertEqual(scene.post_request('/view/x').status, 401)

    def test_longest_prefix_wins(self) -> None:
        found = configuration().route('HOST:80', '/view/x?y=/report/')
        assert found is not None
        self.assertEqual(found.prefix, '/view/')


class RunOnceTest(unittest.TestCase):
    """Tests of requests that may not be repeated."""

    def test_is_not_resent_after_its_endpoint_fails(self) -> None:
        for failure in (Failure.BROKEN, Failure.MALFORMED, Failure.SILENT):
            with self.subTest(failure):
                scene = GatewayScene(A, B)
                send = scene.post_request('/submit/x')
                scene.post(ev.SendFailed(send.attempt, failure))
                self.assertEqual(len(scene.all(fx.Send)), 1)
                refused = scene.last(fx.Refuse)
                # A 503 would state that it has not run.
                self.assertEqual(refused.status, 502)
                self.assertIsNone(refused.retry_after_s)

    def test_is_resent_if_it_has_certainly_not_run(self) -> None:
        scene = GatewayScene(A, B)
        first = scene.post_request('/submit/x')
        scene.post(ev.SendFailed(first.attempt, Failure.NOT_CONNECTED))
        second = scene.last(fx.Send)
        self.assertNotEqual(first.endpoint, second.endpoint)
        scene.post(
            ev.AnswerArrived(second.attempt,
                             head(503, not_run=True, signed=False), b''))
        # It was sent to both endpoints and neither ran it.
        scene.advance(1.0)
        third = scene.last(fx.Send)
        self.assertEqual(len(scene.all(fx.Send)), 3)
        scene.post(ev.AnswerArrived(third.attempt, head(), b'done'))
        self.assertEqual(scene.last(fx.Reply).body, b'done')

    def test_needs_a_new_connection(self) -> None:
        self.assertTrue(
            GatewayScene(A).post_request('/submit/x').new_connection)
        self.assertFalse(GatewayScene(A).post_request('/view/x').new_connection)

    def test_resend_of_what_was_not_run_uses_an_idle_connection(self) -> None:
        # Endpoints at their limit of connections reset new ones.
        for not_run in (True, False):
            scene = GatewayScene(A, endpoint('b', LEDGER))
            first = scene.post_request('/view/x')
            answer = head(503, not_run=not_run)
            scene.post(ev.AnswerArrived(first.attempt, answer, b''))
            self.assertEqual(len(scene.all(fx.Send)), 2)
            self.assertEqual(
                scene.last(fx.Send).new_connection, not not_run, not_run)

    def test_retry_of_a_lost_send_uses_a_new_connection(self) -> None:
        # The endpoint may be silent as well; an idle connection hides it.
        for failure in (Failure.TIMED_OUT, Failure.BROKEN, Failure.SILENT):
            scene = GatewayScene(A, endpoint('b', LEDGER))
            first = scene.post_request('/view/x')
            scene.post(ev.SendFailed(first.attempt, failure))
            self.assertEqual(len(scene.all(fx.Send)), 2)
            self.assertTrue(scene.last(fx.Send).new_connection, failure)

    def test_runs_on_after_its_caller_disconnects(self) -> None:
        scene = GatewayScene(A)
        scene.post_request('/submit/x')
        scene.post(ev.CallerLeft(scene.all(fx.Send)[0].request.id))
        self.assertEqual(scene.all(fx.CancelSend), [])
        self.assertEqual(scene.state.calls.calls, {})

    def test_answer_just_before_the_timeout_is_delivered(self) -> None:
        scene = GatewayScene(A)
        send = scene.post_request('/submit/x')
        scene.advance(9.9)
        scene.post(ev.AnswerArrived(send.attempt, head(), b'late'))
        self.assertEqual(scene.last(fx.Reply).body, b'late')

    def test_timeout_answers_504_as_it_may_have_run(self) -> None:
        scene = GatewayScene(A)
        scene.post_request('/submit/x', caller_timeout_s=2.0)
        scene.advance(2.2)
        self.assertEqual(scene.last(fx.Refuse).status, 504)


class IdempotentTest(unittest.TestCase):
    """Tests of requests that may be repeated."""

    def test_is_resent_to_another_endpoint_after_an_error(self) -> None:
        scene = GatewayScene(A, B)
        first = scene.post_request('/view/x')
        scene.post(ev.AnswerArrived(first.attempt, head(500), b'bad'))
        second = scene.last(fx.Send)
        self.assertNotEqual(first.endpoint, second.endpoint)
        scene.post(ev.AnswerArrived(second.attempt, head(), b'good'))
        self.assertEqual(scene.last(fx.Reply).body, b'good')

    def test_error_is_forwarded_if_no_endpoint_is_left(self) -> None:
        scene = GatewayScene(A)
        send = scene.post_request('/view/x')
        scene.post(ev.AnswerArrived(send.attempt, head(500), b'bad'))
        reply = scene.last(fx.Reply)
        self.assertEqual((reply.status, reply.body), (500, b'bad'))

    def test_is_not_resent_when_its_deadline_is_near(self) -> None:
        scene = GatewayScene(A, B)
        send = scene.post_request('/view/x', caller_timeout_s=2.0)
        scene.now += 1.99
        scene.post(ev.AnswerArrived(send.attempt, head(504), b'late'))
        self.assertEqual(len(scene.all(fx.Send)), 1)
        self.assertEqual(scene.last(fx.Reply).status, 504)

    def test_unsigned_success_is_not_forwarded(self) -> None:
        scene = GatewayScene(A)
        send = scene.post_request('/submit/x')
        scene.post(ev.AnswerArrived(send.attempt, head(signed=False), b'?'))
        self.assertEqual(scene.all(fx.Reply), [])
        self.assertEqual(scene.last(fx.Refuse).status, 502)

    def test_is_cancelled_when_its_caller_disconnects(self) -> None:
        scene = GatewayScene(A)
        send = scene.post_request('/view/x')
        scene.post(ev.CallerLeft(send.request.id))
        self.assertEqual(scene.last(fx.CancelSend).attempt, send.attempt)
        scene.post(ev.AnswerArrived(send.attempt, head(), b'late'))
        self.assertEqual(scene.all(fx.Reply), [])

    def test_retries_stay_within_the_budget(self) -> None:
        scene = GatewayScene(A, B)
        for number in range(400):
            send = scene.post_request('/view/x', f'r{number}')
            scene.post(ev.AnswerArrived(send.attempt, head(500), b''))
            retry = scene.last(fx.Send)
            if retry.attempt != send.attempt:
                scene.post(ev.AnswerArrived(retry.attempt, head(500), b''))
        retries = len(scene.all(fx.Send)) - 400
        bounds = scene.state.settings.bounds
        self.assertGreater(retries, 0)
        self.assertLessEqual(retries,
                             bounds.retry_ratio * 400 + bounds.retry_slack / 8)

    def test_sends_without_a_connection_do_not_use_the_budget(self) -> None:
        scene = GatewayScene(*(endpoint(f'a{at}', LEDGER) for at in range(40)))
        for number in range(30):
            first = scene.post_request('/submit/x', f'r{number}')
            scene.post(ev.SendFailed(first.attempt, Failure.NOT_CONNECTED))
            second = scene.last(fx.Send)
            self.assertNotEqual(second.attempt, first.attempt, number)
            scene.post(ev.AnswerArrived(second.attempt, head(), b''))
            scene.advance(0.02)
        again = scene.state.retries.retry_counts.get(LEDGER)
        self.assertEqual(again.total(scene.now) if again else 0, 0)


class StreamTest(unittest.TestCase):
    """Tests of streams: each event is forwarded once, up to a complete end."""

    def _start_stream(self, target: str) -> tuple[GatewayScene, fx.Send]:
        scene = GatewayScene(endpoint('a'), endpoint('b'))
        send = scene.post_request(target)
        scene.post(ev.StreamStarted(send.attempt, head()))
        scene.post(ev.StreamEventsReceived(send.attempt, b'one', '1', '1'))
        return scene, send

    def test_resumes_at_another_endpoint(self) -> None:
        scene, first = self._start_stream('/report/x')
        scene.post(ev.SendFailed(first.attempt, Failure.BROKEN))
        second = scene.last(fx.Send)
        self.assertNotEqual(first.endpoint, second.endpoint)
        self.assertEqual(second.last_event_id, '1')
        scene.post(ev.StreamStarted(second.attempt, head()))
        scene.post(ev.StreamEventsReceived(second.attempt, b'two', '2', '2'))
        scene.post(ev.StreamEnded(second.attempt))
        self.assertEqual(
            [each.data for each in scene.all(fx.ForwardStreamEvents)],
            [b'one', b'two'])
        # The answer keeps the head of its first endpoint.
        self.assertEqual(len(scene.all(fx.StartReply)), 1)
        self.assertEqual(len(scene.all(fx.EndReply)), 1)

    def _resume(self, attempts: int) -> tuple[GatewayScene, fx.Send]:
        """Return a scene whose stream is resumed at a second endpoint."""
        scene = GatewayScene(*(endpoint(name) for name in 'abc'))
        resumable = route('/report/',
                          RequestKind.STREAM,
                          ENGINES,
                          resumable=True,
                          attempts=attempts)
        scene.read(View.OPERATOR, configuration(2, routes=(resumable,)))
        send = scene.post_request('/report/x')
        scene.post(ev.StreamStarted(send.attempt, head()))
        scene.post(ev.StreamEventsReceived(send.attempt, b'one', '1', '1'))
        scene.post(ev.SendFailed(send.attempt, Failure.BROKEN))
        return scene, scene.last(fx.Send)

    def test_is_resumed_elsewhere_after_an_error(self) -> None:
        scene, second = self._resume(attempts=3)
        scene.post(ev.AnswerArrived(second.attempt, head(500), b'bad'))
        third = scene.last(fx.Send)
        self.assertEqual(len(scene.all(fx.Send)), 3)
        self.assertEqual(third.last_event_id, '1')
        self.assertEqual(scene.all(fx.AbortReply), [])

    def test_is_aborted_if_it_cannot_be_resumed(self) -> None:
        answers = {
            'error': head(500),
            'invalid': head(400, not_run=True, signed=False),
            'not a stream': head(200),
        }
        ends = {}
        for name, answer in answers.items():
            scene, second = self._resume(attempts=2)
            scene.post(ev.AnswerArrived(second.attempt, answer, b''))
            ends[name] = [
                len(scene.all(kind))
                for kind in (fx.Send, fx.Reply, fx.AbortReply)
            ]
        self.assertEqual(ends, dict.fromkeys(answers, [2, 0, 1]))

    def test_is_aborted_if_it_may_not_be_resumed(self) -> None:
        scene, send = self._start_stream('/tag/x')
        scene.post(ev.SendFailed(send.attempt, Failure.BROKEN))
        self.assertEqual(len(scene.all(fx.Send)), 1)
        self.assertEqual(len(scene.all(fx.AbortReply)), 1)
        self.assertEqual(scene.all(fx.EndReply), [])

    def test_runs_on_no_more_endpoints_than_allowed(self) -> None:
        scene = GatewayScene(endpoint('a'), endpoint('b'), endpoint('c'))
        scene.post_request('/report/x')
        for _ in range(4):
            send = scene.last(fx.Send)
            scene.post(ev.SendFailed(send.attempt, Failure.BROKEN))
        self.assertEqual(len(scene.all(fx.Send)), 2)

    def test_busy_engine_gets_more_time(self) -> None:
        scene = GatewayScene(endpoint('a'), endpoint('b'))
        send = scene.post_request('/report/x')
        scene.advance(1.4)
        scene.state.endpoints[send.endpoint].last_received_at = scene.now
        scene.advance(2.0)
        self.assertEqual(len(scene.all(fx.Send)), 1)

    def test_send_to_a_silent_engine_is_cancelled_and_resent(self) -> None:
        scene = GatewayScene(endpoint('a'), endpoint('b'))
        scene.post_request('/report/x')
        scene.advance(2.0)
        self.assertEqual(len(scene.all(fx.Send)), 2)
        self.assertEqual(len(scene.all(fx.CancelSend)), 1)


class RefusalTest(unittest.TestCase):
    """Tests of requests that cannot be served: they wait or are refused."""

    def test_is_refused_with_retry_after_without_endpoints(self) -> None:
        scene = GatewayScene()
        scene.post_request('/view/x')
        scene.advance(0.3)
        refused = scene.last(fx.Refuse)
        self.assertEqual(refused.status, 503)
        self.assertIsNotNone(refused.retry_after_s)
        self.assertEqual(scene.all(fx.Send), [])

    def test_waits_for_an_endpoint_that_is_briefly_full(self) -> None:
        scene = GatewayScene(A)
        first = scene.post_request('/submit/x')
        scene.post(
            ev.AnswerArrived(first.attempt, head(503,
                                                 not_run=True,
                                                 signed=False), b''))
        self.assertEqual(scene.all(fx.Refuse), [])
        scene.advance(0.3)
        self.assertEqual(len(scene.all(fx.Send)), 2)

    def test_request_that_crashed_endpoints_is_quarantined(self) -> None:
        scene = GatewayScene(*(endpoint(name) for name in 'abcd'))
        scene.post_request('/report/x')
        for _ in range(2):
            scene.post(
                ev.SendFailed(scene.last(fx.Send).attempt, Failure.BROKEN))
        sends = len(scene.all(fx.Send))
        refused = scene.post_request('/report/x', 'again')
        self.assertEqual(refused.status, 503)
        self.assertEqual(len(scene.all(fx.Send)), sends)

    def test_other_requests_are_sent_after_a_quarantine(self) -> None:
        scene = GatewayScene(*(endpoint(name) for name in 'abcd'))
        scene.post_request('/report/x')
        for _ in range(2):
            scene.post(
                ev.SendFailed(scene.last(fx.Send).attempt, Failure.BROKEN))
        scene.advance(5.0)
        self.assertIsInstance(scene.post_request('/report/y', 'other'), fx.Send)


class EndpointUpdateTest(unittest.TestCase):
    """Tests of endpoints that leave, expire or restart."""

    def test_leaving_endpoint_gets_no_requests(self) -> None:
        scene = GatewayScene(A, endpoint('b', LEDGER, REMOTE_DC))
        scene.read(View.REGISTRY, endpoint('a', LEDGER, draining=True))
        # An older entry, written late.
        scene.read(View.REGISTRY, A)
        for number in range(20):
            self.assertEqual(
                scene.post_request('/view/x', f'r{number}').endpoint, 'b')

    def test_removed_endpoint_gets_no_requests(self) -> None:
        scene = GatewayScene(A)
        scene.advance(10.0)
        scene.read(View.REGISTRY)
        for _ in range(3):
            scene.advance(0.8)
            scene.read(View.REGISTRY)
        scene.advance(0.8)
        scene.read(View.REGISTRY, ev.EndpointRemoved(A.id))
        scene.post_request('/view/x')
        self.assertEqual(scene.all(fx.Send), [])

    def test_expired_endpoint_may_return_after_an_outage(self) -> None:
        scene = GatewayScene(A)
        scene.post(ev.ViewFailed(View.REGISTRY, False, 'down'))
        scene.advance(5.0)
        scene.read(View.REGISTRY, ev.EndpointRemoved(A.id))
        self.assertIsInstance(scene.post_request('/view/x'), fx.Send)
        scene.advance(1.0)
        scene.read(View.REGISTRY, A)
        scene.advance(3.0)
        scene.read(View.REGISTRY)
        self.assertIn(A.id, scene.state.endpoints)

    def test_expired_endpoint_that_does_not_return_is_removed(self) -> None:
        scene = GatewayScene(A)
        scene.post(ev.ViewFailed(View.REGISTRY, False, 'down'))
        scene.advance(5.0)
        scene.read(View.REGISTRY, ev.EndpointRemoved(A.id))
        for _ in range(3):
            self.assertIn(A.id, scene.state.endpoints)
            scene.advance(0.8)
            scene.read(View.REGISTRY)
        self.assertNotIn(A.id, scene.state.endpoints)

    def test_restarted_endpoint_with_the_same_id_is_new(self) -> None:
        scene = GatewayScene(A)
        scene.state.endpoints[A.id].failures = 5
        scene.read(View.REGISTRY, endpoint('a', LEDGER, started_ms=7))
        self.assertEqual(scene.state.endpoints[A.id].failures, 0)

    def test_expiry_relayed_by_a_peer_is_also_delayed(self) -> None:
        scene = GatewayScene(A)
        scene.post(ev.ViewFailed(View.REGISTRY, False, 'down'))
        scene.now += 5.0
        relayed = ev.ViewRelayed(View.REGISTRY, 1, 2,
                                 (ev.EndpointRemoved(A.id),))
        scene.post(relayed)
        self.assertIn(A.id, scene.state.endpoints)
        for _ in range(2):
            scene.now += 1.0
            scene.post(ev.ViewRelayed(View.REGISTRY, 2, 2, ()))
            self.assertIn(A.id, scene.state.endpoints)
        scene.now += 1.0
        scene.post(ev.ViewRelayed(View.REGISTRY, 2, 2, ()))
        self.assertNotIn(A.id, scene.state.endpoints)

    def test_trimmed_registry_log_leaves_the_vm_ready(self) -> None:
        scene = GatewayScene(A)
        scene.post(ev.ViewFailed(View.REGISTRY, True, 'trimmed'))
        self.assertTrue(scene.state.ready)
        scene.advance(0.3)
        self.assertEqual(scene.last(fx.LoadView).view, View.REGISTRY)

    def test_invalid_record_changes_nothing(self) -> None:
        scene = GatewayScene(A)
        scene.read(View.REGISTRY, ev.InvalidRecord('a', 'no JSON'))
        self.assertIsInstance(scene.post_request('/view/x'), fx.Send)
        self.assertIn('record_unreadable', [each.event for each in scene.lines])
