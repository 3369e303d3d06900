"""Tests of streams that are slow, and of streams that only look alive."""

import asyncio
import unittest
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.sender import EndpointSender
from plantainridge.gateway.streams import EventSplitter
from plantainridge.ids import AttemptId, EndpointId
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.platform.requests import PlatformWire
from plantainridge.reports import log_fault
from tests.gateway_scene import request
from tests.test_silent_endpoints import SilentScene, _remove

HOST: Final = '127.0.0.1'
HEAD: Final = (b'HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n'
               b'Content-Type: text/event-stream\r\n\r\n')
# Longest pause between two events that the route allows, in s.
GAP_S: Final = 0.3


def post_bytes(scene: SilentScene, data: bytes) -> None:
    """Receive bytes of the first send's stream."""
    events = EventSplitter().feed(data)
    if events is not None:
        scene.post(
            ev.StreamEventsReceived(scene.send.attempt, events.data,
                                    events.first_id, events.last_id,
                                    events.has_event))


def post_comment(scene: SilentScene) -> None:
    """Receive a comment of the first send's stream."""
    post_bytes(scene, b': still there\n\n')


class StalledStreamTest(unittest.TestCase):
    """A stream without events is taken over, whatever else it sends."""

    def test_comments_are_no_progress(self) -> None:
        # A stream was held by comments until its deadline.
        sends = {}
        for events in (0, 3):
            scene = SilentScene(events=events)
            scene.be_silent(2.0, post_comment)
            sends[events] = len(scene.all(fx.Send))
        self.assertEqual(sends, {0: 2, 3: 2})

    def test_ends_at_its_deadline_without_another_engine(self) -> None:
        scene = SilentScene(events=3)
        _remove(scene)
        scene.be_silent(8.5, post_comment)
        self.assertEqual(scene.cuts, [])
        scene.be_silent(1.5, post_comment)
        self.assertEqual(scene.cuts, ['CancelSend', 'AbortReply'])

    def test_comments_are_forwarded(self) -> None:
        scene = SilentScene(events=1)
        post_comment(scene)
        self.assertEqual(
            scene.last(fx.ForwardStreamEvents).data, b': still there\n\n')

    def test_comment_is_not_the_first_event(self) -> None:
        # A prompt is still computed: a stall of events must not be assumed.
        scene = SilentScene(events=0)
        post_comment(scene)
        scene.be_silent(1.3)
        self.assertEqual(scene.complete(), [])


class SlowStreamTest(unittest.TestCase):
    """A stream that keeps its allowed gap is not cut, however slow it is."""

    def test_event_in_each_gap(self) -> None:
        scene = SilentScene(events=3)
        for _ in range(25):
            scene.advance(GAP_S - 0.01)
            scene.post_event()
        self.assertEqual(scene.complete(), [])


class CommentTest(unittest.TestCase):
    """Tests of what counts as an event."""

    def test_blocks(self) -> None:
        cases = {
            b': a comment\n\n': False,
            b':\r\n\r\n': False,
            b'\n\n': False,
            b': one\n: two\n\n: three\n\n': False,
            b'id: 1\n\n': True,
            b': one\ndata: x\n\n': True,
            b': one\r\ndata: x\r\n\r\n': True,
            b': one\rdata: x\r\r': True,
            b': one\n\ndata: x\n\n': True,
        }
        found = {}
        for data in cases:
            events = EventSplitter().feed(data)
            assert events is not None
            found[data] = events.has_event
        self.assertEqual(found, cases)


class TrickleTest(unittest.IsolatedAsyncioTestCase):
    """Tests of bytes that come one at a time."""

    async def _events(self, trickle: bytes) -> list[Event]:
        """Return what a stream posts that sends a byte now and then."""

        async def serve(reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter) -> None:
            await reader.read(65_536)
            writer.write(HEAD)
            for at in range(len(trickle)):
                writer.write(trickle[at:at + 1])
                await asyncio.sleep(0.005)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        posted: list[Event] = []
        sender = EndpointSender(PlatformWire(), Pool(), Tasks(log_fault),
                                posted.append)
        sender.send(
            fx.Send(AttemptId('r1.1'), request('/report/x'), EndpointId('e'),
                    address, True, True, 5.0, None))
        await asyncio.sleep(0.2 + 0.01 * len(trickle))
        sender.cancel(fx.CancelSend(AttemptId('r1.1')))
        await asyncio.sleep(0.05)
        server.close()
        return posted

    async def test_incomplete_event_is_no_progress(self) -> None:
        posted = await self._events(b'data: ' + b'x' * 40)
        self.assertEqual([type(each) for each in posted], [ev.StreamStarted])

    async def test_comments_are_posted_as_such(self) -> None:
        posted = await self._events(b': x\n\n' * 4)
        self.assertEqual([
            each.has_event
            for each in posted
            if isinstance(each, ev.StreamEventsReceived)
        ], [False] * 4)


if __name__ == '__main__':
    unittest.main()
