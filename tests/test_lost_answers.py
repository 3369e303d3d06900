"""Tests of requests whose answers are lost, and of the status that they get.

Each guards against work that runs twice, or against a caller that is told that
its request has not run although it may have.
"""

import asyncio
import unittest
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.answers import NOT_RUN
from plantainridge.gateway.events import Failure, View
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.sender import EndpointSender
from plantainridge.ids import AttemptId, EndpointId
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.platform.requests import PlatformWire
from plantainridge.reports import log_fault
from tests.gateway_scene import LEDGER, GatewayScene, endpoint, head, request

HOST: Final = '127.0.0.1'
# Statuses that promise callers that a request has not run and never will.
PROMISES: Final = (408, 421, 429, 503)
SEAL: Final = (b'x-response-seal', b's')
RETRY_AFTER: Final = ((b'retry-after', b'1'),)
PATHS: Final = ('/submit/x', '/view/x', '/report/x', '/tag/x')


def status_of(scene: GatewayScene) -> int | None:
    """Return the status that the caller got, or None."""
    for effect in scene.done:
        if isinstance(effect, (fx.Refuse, fx.Reply)):
            return effect.status
    return None


def scene_with_two(path: str) -> GatewayScene:
    """Return a VM with two endpoints of each service and a request sent."""
    scene = GatewayScene(endpoint('a'), endpoint('b'), endpoint('c', LEDGER),
                         endpoint('d', LEDGER))
    scene.post_request(path)
    return scene


class RunOnceTest(unittest.TestCase):
    """Tests of requests that may run at most once."""

    def test_is_not_sent_again_if_it_may_have_run(self) -> None:
        found = {}
        for failure in Failure:
            scene = scene_with_two('/submit/x')
            scene.post(ev.SendFailed(scene.last(fx.Send).attempt, failure))
            scene.advance(20.0)
            found[failure] = len(scene.all(fx.Send)), status_of(scene)
        expected = {
            failure: (2, 504) if failure in NOT_RUN else (1, 502)
            for failure in Failure
        }
        self.assertEqual(found, expected)

    def test_each_send_uses_a_new_connection(self) -> None:
        # A server may close a kept one while the request is under way.
        scene = scene_with_two('/submit/x')
        scene.post(
            ev.SendFailed(scene.last(fx.Send).attempt, Failure.NOT_CONNECTED))
        self.assertEqual([each.new_connection for each in scene.all(fx.Send)],
                         [True, True])

    def test_a_send_after_a_refusal_uses_a_new_connection(self) -> None:
        # A faulty server may write the refusal once more on the kept one.
        scene = scene_with_two('/submit/x')
        refusal = head(503, not_run=True)
        scene.post(ev.AnswerArrived(scene.last(fx.Send).attempt, refusal, b''))
        scene.advance(0.3)
        self.assertEqual([each.new_connection for each in scene.all(fx.Send)],
                         [True, True])

    def test_is_not_taken_over(self) -> None:
        scene = scene_with_two('/submit/x')
        scene.advance(9.0)
        scene.read(View.REGISTRY, ev.EndpointRemoved(EndpointId('c')),
                   ev.EndpointRemoved(EndpointId('d')))
        scene.advance(0.5)
        self.assertEqual((len(scene.all(fx.Send)), scene.all(fx.CancelSend)),
                         (1, []))
        scene.advance(1.0)
        self.assertEqual(status_of(scene), 504)


class PromiseTest(unittest.TestCase):
    """Tests of the statuses that promise that a request has not run."""

    def test_endpoint_does_not_promise_by_its_status_alone(self) -> None:
        # Only `X-Not-Executed` and 421 state that nothing was run.
        found = {}
        for path in PATHS:
            for status in PROMISES:
                if status == 421:
                    continue
                scene = scene_with_two(path)
                for _ in range(3):
                    sends = [
                        each for each in scene.all(fx.Send)
                        if each.attempt in scene.state.calls.attempts
                    ]
                    for send in sends:
                        answer = PlatformWire().read_answer_head(
                            send, status, (*RETRY_AFTER, SEAL), scene.now)
                        assert answer is not None
                        scene.post(ev.AnswerArrived(send.attempt, answer, b''))
                scene.advance(20.0)
                found[path, status] = status_of(scene)
                for effect in scene.done:
                    if isinstance(effect, fx.Reply):
                        self.assertNotIn(b'retry-after', dict(effect.headers))
                        # The signature holds for the endpoint's status only.
                        self.assertNotIn(SEAL[0], dict(effect.headers))
                    if isinstance(effect, fx.Refuse):
                        self.assertIsNone(effect.retry_after_s)
        self.assertEqual(found, dict.fromkeys(found, 502))

    def test_no_promise_after_a_send_that_may_have_run(self) -> None:
        # The first answer is lost; each further send is turned away.
        found = {}
        for path in PATHS:
            for failure in Failure:
                if failure in NOT_RUN:
                    continue
                scene = scene_with_two(path)
                scene.post(ev.SendFailed(scene.last(fx.Send).attempt, failure))
                for _ in range(20):
                    for attempt in list(scene.state.calls.attempts):
                        scene.post(
                            ev.AnswerArrived(
                                attempt, head(503, signed=False, not_run=True),
                                b''))
                    scene.advance(1.0)
                found[path, failure] = status_of(scene)
        self.assertLessEqual(set(found.values()), {502, 504})


class SocketTest(unittest.IsolatedAsyncioTestCase):
    """Tests of a run-once request on real connections."""

    async def test_lost_answer_is_not_followed_by_a_second_request(
            self) -> None:
        requests: list[tuple[int, bytes]] = []

        async def serve(reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter) -> None:
            number = len({each for each, _ in requests}) + 1
            while data := await reader.read(65_536):
                requests.append((number, data.split(b' ')[1]))
                if b'/submit' in data:
                    break
                writer.write(b'HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n'
                             b'Content-Length: 2\r\n\r\nok')
            writer.transport.abort()

        server = await asyncio.start_server(serve, HOST, 0)
        address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        posted: list[Event] = []
        sender = EndpointSender(PlatformWire(), Pool(), Tasks(log_fault),
                                posted.append)
        for number, path in enumerate(('/view/x', '/submit/x')):
            sender.send(
                fx.Send(AttemptId(f'r{number}'), request(path), EndpointId('e'),
                        address, False, path == '/submit/x', 5.0, None))
            await asyncio.sleep(0.1)
        server.close()
        self.assertEqual(requests, [(1, b'/view/x'), (2, b'/submit/x')])
        self.assertEqual([type(each) for each in posted],
                         [ev.AnswerArrived, ev.SendFailed])
        self.assertNotIn(posted[1].failure, NOT_RUN)  # type: ignore


if __name__ == '__main__':
    unittest.main()
