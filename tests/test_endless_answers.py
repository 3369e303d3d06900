"""Tests of endpoints' answers that have no end, or no clear one."""

import asyncio
import math
import socket
import time
import unittest
from collections.abc import Callable
from typing import Any, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import http_calls
from plantainridge.gateway.caller_connection import LINGER_RESET
from plantainridge.gateway.events import Failure
from plantainridge.gateway.http_client import MAX_HELD_BYTES, Connection, Pool
from plantainridge.gateway.sender import MAX_ERROR_ANSWER_BYTES, EndpointSender
from plantainridge.gateway.streams import EventSplitter
from plantainridge.gateway.wire import RawRequest
from plantainridge.ids import AttemptId, EndpointId, RequestId
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.platform.requests import PlatformWire
from plantainridge.reports import log_fault
from tests.gateway_scene import LEDGER, GatewayScene, endpoint, head, request
from tests.stream_server import Serve, StreamServer

STATUS_LINE: Final = b'HTTP/1.1 200 OK\r\n'
OK: Final = STATUS_LINE + b'X-Response-Seal: s\r\n'
STREAM: Final = OK + b'Content-Type: text/event-stream\r\n'
CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n'
BLOCK: Final = b'x' * 65_536
CHUNK: Final = b'10000\r\n' + BLOCK + b'\r\n'
# An endpoint without end sends at most this much, then keeps silent.
MAX_SENT_BYTES: Final = 40 << 20
# Time after which a test counts as hanging, in s: it judges no speed.
HANG_TIMEOUT_S: Final = 60.0
POLL_S: Final = 0.01
# Sends whose answers stop in their heads: together more than is held.
STALLED_SENDS: Final = 600
# Longer than any test, so that no answer fails by its deadline instead of its
# limit, in s.
REMAINING_S: Final = 600.0


@attrs.define
class Endpoint:
    """An endpoint that sends `start`, then `block` until the caller closes.

    Attributes:
        sent_bytes: Bytes sent on all connections.
        closed: Connections that the caller closed.
        is_closed: Set once the caller closed one.
    """

    start: bytes
    block: bytes = b''
    pause_s: float = 0.0
    sent_bytes: int = 0
    closed: int = 0
    is_closed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def wait_closed(self) -> None:
        """Wait until the caller has closed a connection.

        Raises:
            TimeoutError: It does not.
        """
        async with asyncio.timeout(HANG_TIMEOUT_S):
            await self.is_closed.wait()

    async def serve(self, reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter) -> None:
        """Answer the request on one connection."""
        await reader.read(65_536)
        sent_bytes = 0
        try:
            writer.write(self.start)
            while self.block and sent_bytes < MAX_SENT_BYTES:
                writer.write(self.block)
                await writer.drain()
                sent_bytes += len(self.block)
                self.sent_bytes += len(self.block)
                await asyncio.sleep(self.pause_s)
            await reader.read()
        except ConnectionError:
            pass
        self.closed += 1
        self.is_closed.set()
        writer.close()


def ending(data: bytes, is_reset: bool = False) -> Serve:
    """Return an endpoint that sends an answer and ends the connection."""

    async def serve(reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter) -> None:
        await reader.read(65_536)
        writer.write(data)
        await asyncio.sleep(0.05)
        if is_reset:
            reset(writer)
        writer.close()

    return serve


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


class _PatientPool(Pool):
    """A pool that connects however long the loop is held up meanwhile."""

    async def connect(self,
                      address: str,
                      timeout_s: float = HANG_TIMEOUT_S,
                      via: str = '') -> Connection:
        return await super().connect(address, timeout_s, via)


class _SenderCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that send requests over real sockets."""

    async def asyncSetUp(self) -> None:
        self.events: list[Event] = []
        self.posted = asyncio.Event()
        self.pool = _PatientPool()
        self.tasks = Tasks(log_fault)
        self.sender = EndpointSender(PlatformWire(), self.pool, self.tasks,
                                     self._post)
        self.addresses: list[str] = []
        self.addAsyncCleanup(self._stop_sending)

    async def _stop_sending(self) -> None:
        """Close all connections to the endpoints."""
        for attempt in list(self.sender.in_flight):
            self.sender.cancel(fx.CancelSend(attempt))
        await self.tasks.cancel()
        for address in self.addresses:
            self.pool.close_idle(address)

    def _post(self, event: Event) -> None:
        self.events.append(event)
        self.posted.set()

    async def listen(self, serve: Serve) -> str:
        """Start an endpoint, which stops with the test; return its address."""
        server = StreamServer(serve)
        # Cleanups run in reverse order: the connections are closed first.
        self.addAsyncCleanup(server.stop)
        self.addresses.append(await server.start())
        return self.addresses[-1]

    def send(self,
             address: str,
             number: int = 0,
             **overrides: Any) -> AttemptId:
        """Send a request; return the id of the send."""
        effect = fx.Send(AttemptId(f'r1.{number}'), request('/submit/x'),
                         EndpointId('e'), address, False, True, REMAINING_S,
                         None)
        effect = attrs.evolve(effect, **overrides)
        self.sender.send(effect)
        return effect.attempt

    async def outcome(self, address: str, **overrides: Any) -> Event:
        """Send a request; return its last event.

        Raises:
            TimeoutError: The send does not end.
        """
        attempt = self.send(address, **overrides)
        await self.wait_for(
            lambda: bool(self.events) and attempt not in self.sender.in_flight)
        return self.events[-1]

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until an event has made a condition true.

        Raises:
            TimeoutError: It does not become true.
        """
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while not condition():
                self.posted.clear()
                await self.posted.wait()


class EndlessAnswerTest(_SenderCase):
    """An answer without end fails at its limit, and its connection closes."""

    async def _assert_fails(self,
                            start: bytes,
                            block: bytes,
                            max_bytes: int = 32 << 20,
                            **overrides: Any) -> None:
        server = Endpoint(start, block)
        address = await self.listen(server.serve)
        event = await self.outcome(address, **overrides)
        assert isinstance(event, ev.SendFailed), event
        self.assertIn(event.failure, (Failure.TOO_LONG, Failure.MALFORMED))
        await server.wait_closed()
        self.assertEqual(server.closed, 1)
        self.assertLess(server.sent_bytes, max_bytes)

    async def test_head_without_end(self) -> None:
        await self._assert_fails(OK, b'X-A: ' + BLOCK[:1_000] + b'\r\n',
                                 8 << 20)

    async def test_no_http_without_end(self) -> None:
        await self._assert_fails(BLOCK, BLOCK, 8 << 20)

    async def test_informational_heads_without_end(self) -> None:
        await self._assert_fails(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100,
                                 8 << 20)

    async def test_body_without_length_or_end(self) -> None:
        await self._assert_fails(OK + b'\r\n', BLOCK)

    async def test_chunks_without_end(self) -> None:
        await self._assert_fails(OK + CHUNKED, CHUNK)

    async def test_stated_length_over_the_limit_fails_at_its_head(self) -> None:
        await self._assert_fails(OK + b'Content-Length: 99999999999\r\n\r\n',
                                 BLOCK, 8 << 20)

    async def test_chunk_extension_without_end(self) -> None:
        await self._assert_fails(OK + CHUNKED + b'1;', BLOCK, 8 << 20)

    async def test_trailer_without_end(self) -> None:
        await self._assert_fails(OK + CHUNKED + b'0\r\n', b'X-A: b\r\n' * 1_000,
                                 8 << 20)

    async def test_error_answer_without_end(self) -> None:
        await self._assert_fails(
            OK.replace(b'200 OK', b'500 Error') + CHUNKED, CHUNK, 12 << 20)

    async def test_event_without_end(self) -> None:
        await self._assert_fails(STREAM + CHUNKED, CHUNK, 12 << 20, stream=True)

    async def test_switch_of_protocols_without_end(self) -> None:
        connect = attrs.evolve(request('/submit/x'), method='CONNECT')
        await self._assert_fails(OK + b'\r\n', BLOCK, 8 << 20, request=connect)

    async def test_slow_answer_ends_after_its_deadline(self) -> None:
        # Nobody waits for the answer to a run-once request whose caller left.
        server = Endpoint(OK + b'\r\n', b'x', pause_s=0.02)
        address = await self.listen(server.serve)
        self.send(address, remaining_s=0.1)
        await server.wait_closed()
        self.assertEqual(server.closed, 1)
        self.assertEqual(self.sender.in_flight, {})

    async def test_all_answers_together_are_bounded(self) -> None:
        # Each is below its own limit; together they exceed a VM's memory.
        block = b'x' * (15 << 20)
        length = b'Content-Length: %d\r\n\r\n' % (len(block) + 1)
        server = Endpoint(OK + length + block)
        address = await self.listen(server.serve)
        for number in range(6):
            self.send(address, number)
        held = self.pool.held_answers
        await self.wait_for(lambda: len(self.events) >= 4)
        # The other two are complete but for their last byte.
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while held.total < 2 * len(block):
                await asyncio.sleep(POLL_S)
        self.assertEqual([
            (type(each), getattr(each, 'failure', None)) for each in self.events
        ], [(ev.SendFailed, Failure.TOO_LONG)] * 4)
        self.assertEqual(len(self.sender.in_flight), 2)

    async def test_incomplete_heads_together_are_bounded(self) -> None:
        server = Endpoint(OK + b'X-A: ' + b'x' * 60_000)
        address = await self.listen(server.serve)
        for number in range(STALLED_SENDS):
            self.send(address, number)
        held = self.pool.held_answers
        await self.wait_for(lambda: len(self.events) >= 1)
        self.assertEqual(getattr(self.events[0], 'failure', None),
                         Failure.TOO_LONG)
        self.assertGreater(held.total, MAX_HELD_BYTES - (1 << 20))
        self.assertLessEqual(held.total, MAX_HELD_BYTES)

    async def test_endless_answer_to_a_control_call(self) -> None:
        server = Endpoint(STATUS_LINE + b'\r\n', BLOCK)
        address = await self.listen(server.serve)
        response = await http_calls.call(self.pool, address, 'GET', '/report',
                                         HANG_TIMEOUT_S)
        assert isinstance(response, http_calls.NoResponse)
        self.assertEqual(response.reason, Failure.TOO_LONG.value)
        self.assertLess(server.sent_bytes, 24 << 20)

    async def test_control_calls_together_are_bounded(self) -> None:
        block = b'x' * (7 << 20)
        length = b'Content-Length: %d\r\n\r\n' % (len(block) + 1)
        server = Endpoint(STATUS_LINE + length + block)
        address = await self.listen(server.serve)
        calls = [
            asyncio.create_task(
                http_calls.call(self.pool, address, 'GET', '/report',
                                HANG_TIMEOUT_S)) for _ in range(6)
        ]
        held = self.pool.held_answers
        # The others are complete but for their last byte, and wait for it.
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while (sum(each.done() for each in calls) < 2 or
                   held.total < 4 * len(block)):
                await asyncio.sleep(POLL_S)
        reasons = [
            getattr(each.result(), 'reason', '')
            for each in calls
            if each.done()
        ]
        self.assertEqual(reasons, [Failure.TOO_LONG.value] * 2)
        for each in calls:
            each.cancel()
        await asyncio.wait(calls)


class UnframedAnswerTest(_SenderCase):
    """An answer without length or chunks ends with its connection."""

    async def _answer(self,
                      data: bytes,
                      is_reset: bool = False,
                      **overrides: Any) -> Event:
        address = await self.listen(ending(data, is_reset))
        event = await self.outcome(address, new_connection=False, **overrides)
        self.assertEqual(self.pool.idle, {})
        return event

    async def test_answer_that_ends_is_complete(self) -> None:
        event = await self._answer(OK + b'\r\nok')
        assert isinstance(event, ev.AnswerArrived)
        self.assertEqual(event.body, b'ok')

    async def test_answer_that_is_reset_is_not_complete(self) -> None:
        event = await self._answer(OK + b'\r\nok', is_reset=True)
        self.assertEqual(
            event, ev.SendFailed(AttemptId('r1.0'), Failure.BROKEN,
                                 'ECONNRESET'))

    async def test_stream_that_ends_at_an_event_is_complete(self) -> None:
        event = await self._answer(STREAM + b'\r\nid: 1\n\n', stream=True)
        self.assertIsInstance(event, ev.StreamEnded)

    async def test_stream_that_is_reset_at_an_event_is_broken(self) -> None:
        event = await self._answer(STREAM + b'\r\nid: 1\n\n',
                                   is_reset=True,
                                   stream=True)
        self.assertEqual(
            event, ev.SendFailed(AttemptId('r1.0'), Failure.BROKEN,
                                 'ECONNRESET'))

    async def test_stream_that_ends_within_an_event_is_broken(self) -> None:
        event = await self._answer(STREAM + b'\r\nid: 1\n\nid: 2\nda',
                                   stream=True)
        self.assertEqual(
            event, ev.SendFailed(AttemptId('r1.0'), Failure.BROKEN, 'EOF'))

    async def test_chunks_that_end_within_an_event_are_broken(self) -> None:
        event = await self._answer(STREAM + CHUNKED + b'3\r\nid:\r\n'
                                   b'0\r\n\r\n',
                                   stream=True)
        assert isinstance(event, ev.SendFailed)
        self.assertEqual(event.failure, Failure.BROKEN)

    async def test_send_beyond_its_deadline_is_silent(self) -> None:
        address = await self.listen(Endpoint(b'').serve)
        event = await self.outcome(address, remaining_s=0.0)
        self.assertEqual(
            event, ev.SendFailed(AttemptId('r1.0'), Failure.SILENT, 'deadline'))

    async def test_stream_without_any_event_is_broken(self) -> None:
        event = await self._answer(STREAM + b'\r\n', stream=True)
        assert isinstance(event, ev.SendFailed)
        self.assertEqual(event.failure, Failure.BROKEN)

    async def test_resumed_stream_may_have_no_further_event(self) -> None:
        event = await self._answer(STREAM + b'\r\n',
                                   stream=True,
                                   last_event_id='3')
        self.assertIsInstance(event, ev.StreamEnded)


def early(data: bytes,
          reads_after_s: float = math.inf,
          resets_after_s: float = math.inf) -> Serve:
    """Return an endpoint that answers at the first byte of a request.

    It ends its sending direction then.

    Args:
        data: The answer.
        reads_after_s: Time after which it reads the rest and closes, in s.
        resets_after_s: Time after which it resets the connection, in s.
    """

    async def serve(reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter) -> None:
        await reader.read(1)
        writer.write(data)
        await writer.drain()
        writer.write_eof()
        await asyncio.sleep(min(reads_after_s, resets_after_s))
        if reads_after_s < resets_after_s:
            while await reader.read(65_536):
                pass
        else:
            reset(writer)

    return serve


class EarlyAnswerTest(_SenderCase):
    """An answer without framing ends while its request is being written."""

    UPLOAD = request('/submit/x', body=bytes(3_000_000))

    # The part of an answer was taken for all of it: its end had come in order,
    # and the reset only later.
    async def test_answer_is_broken_by_a_later_reset(self) -> None:
        for data, is_stream in ((OK + b'\r\npart', False),
                                (STREAM + b'\r\nid: 1\n\n', True)):
            for resets_after_s in (0.0, 0.01, 0.3, 1.0):
                address = await self.listen(
                    early(data, resets_after_s=resets_after_s))
                event = await self.outcome(address,
                                           request=self.UPLOAD,
                                           stream=is_stream)
                with self.subTest(stream=is_stream, after_s=resets_after_s):
                    assert isinstance(event, ev.SendFailed), event
                    self.assertEqual(event.failure, Failure.BROKEN)

    async def test_answer_is_complete_once_the_request_was_received(
            self) -> None:
        for reads_after_s in (0.0, 0.3):
            address = await self.listen(
                early(OK + b'\r\nwhole', reads_after_s=reads_after_s))
            event = await self.outcome(address, request=self.UPLOAD)
            assert isinstance(event, ev.AnswerArrived), event
            self.assertEqual(event.body, b'whole')

    async def test_answer_to_an_endpoint_that_stays_silent_is_silent(
            self) -> None:
        address = await self.listen(early(OK + b'\r\npart'))
        event = await self.outcome(address,
                                   request=self.UPLOAD,
                                   remaining_s=0.1)
        self.assertEqual(
            event, ev.SendFailed(AttemptId('r1.0'), Failure.SILENT, 'deadline'))


class FramedAnswerTest(_SenderCase):
    """An answer with a length or chunks that ends early is not complete."""

    async def test_end_of_data_and_reset(self) -> None:
        framed = {
            'part of its length': OK + b'Content-Length: 9\r\n\r\nok',
            'nothing of its length': OK + b'Content-Length: 9\r\n\r\n',
            'a part of a chunk': OK + CHUNKED + b'9\r\nok',
            'no last chunk': OK + CHUNKED + b'2\r\nok\r\n',
            'no end of the last chunk': OK + CHUNKED + b'2\r\nok\r\n0\r\n',
            'part of its head': OK + b'Content-Le',
        }
        streams = {
            'events and no last chunk':
                STREAM + CHUNKED + b'7\r\nid: 1\n\n\r\n',
            'a part of its length':
                STREAM + b'Content-Length: 99\r\n\r\nid: 1\n\n',
        }
        for is_stream, cases in ((False, framed), (True, streams)):
            for name, data in cases.items():
                for is_reset in (False, True):
                    address = await self.listen(ending(data, is_reset))
                    event = await self.outcome(address,
                                               new_connection=False,
                                               stream=is_stream)
                    assert isinstance(event, ev.SendFailed), (name, event)
                    self.assertEqual(event.failure, Failure.BROKEN, name)
                    self.assertEqual(self.pool.idle, {}, name)
                    self.events.clear()


class LongNumberTest(_SenderCase):
    """A number of more digits than Python reads counts as not stated."""

    DIGITS = b'9' * 5_000

    async def test_number_in_an_answer(self) -> None:
        for name in (b'X-Weight-Versions', b'X-Server-Load'):
            value = self.DIGITS + b',1,1' * (name == b'X-Server-Load')
            address = await self.listen(
                ending(OK + name + b': ' + value +
                       b'\r\nContent-Length: 2\r\n\r\nok'))
            event = await self.outcome(address)
            assert isinstance(event, ev.AnswerArrived), event
            self.assertEqual((event.head.version, event.head.load),
                             (None, None))

    def test_number_in_a_request(self) -> None:
        for name in (b'x-deadline-milliseconds', b'x-token-usage'):
            raw = RawRequest(b'POST', b'/x',
                             ((b'host', b'h'), (b'x-attempt-id', b'7'),
                              (name, self.DIGITS)), b'')
            decoded = PlatformWire().read_request(RequestId('r'), raw)
            assert isinstance(decoded, ev.Request)
            self.assertEqual((decoded.caller_timeout_s, decoded.prompt_tokens),
                             (None, 0))

    def test_number_of_an_event(self) -> None:
        events = EventSplitter('3').feed(b'id: ' + self.DIGITS + b'\n\n')
        self.assertIsNotNone(events)


class SplitterLimitTest(unittest.TestCase):
    """The splitter's work is linear in the bytes of a stream."""

    def test_long_event_in_small_pieces_is_read_once(self) -> None:
        splitter = EventSplitter()
        started_at = time.process_time()
        for _ in range(6_000):
            splitter.feed(b'x' * 16)
        events = splitter.feed(b'\n\n')
        # Reading everything again for each piece takes over ten times as long.
        self.assertLess(time.process_time() - started_at, 0.5)
        assert events is not None
        self.assertEqual(len(events.data), 6_000 * 16 + 2)


class DenseJsonTest(unittest.TestCase):
    """JSON is not decoded where it takes many times the memory of its text."""

    def test_too_many_values_are_unreadable(self) -> None:
        for value in (b'[]', b'{}', b'0', b'""'):
            with self.subTest(value):
                data = b'[' + value + (b',' + value) * 300_000 + b']'
                is_unreadable = http_calls.Response(200, data).json() is None
                self.assertTrue(is_unreadable)

    def test_a_long_listing_is_read(self) -> None:
        row = b'["salt","5c1e07a2",800,"daka510000"]'
        data = b'[' + row + (b',' + row) * 40_000 + b']'
        rows = http_calls.Response(200, data).json()
        self.assertEqual(len(rows), 40_001)


class LongTextTest(_SenderCase):
    """Texts of an answer that are kept, or written to logs, are short."""

    async def test_malformed_head_is_quoted_in_part(self) -> None:
        address = await self.listen(ending(b'\x80' * 60_000 + b'\r\n\r\n'))
        event = await self.outcome(address)
        assert isinstance(event, ev.SendFailed)
        self.assertEqual(event.failure, Failure.MALFORMED)
        self.assertLess(len(event.detail), 1_000)

    async def test_long_id_of_an_event_is_not_kept(self) -> None:
        stream = STREAM + b'\r\nid: ' + b'9' * 60_000 + b'\n\n'
        address = await self.listen(ending(stream))
        event = await self.outcome(address, stream=True)
        assert isinstance(event, ev.SendFailed), event
        self.assertEqual(event.failure, Failure.TOO_LONG)
        self.assertFalse([
            each for each in self.events
            if isinstance(each, ev.StreamEventsReceived)
        ])


class FailedAnswerTest(unittest.TestCase):
    """Callers of an answer without end are answered, or served elsewhere."""

    def _scene_after_failure(self, target: str) -> GatewayScene:
        scene = GatewayScene(endpoint('a'), endpoint('b'))
        sent = scene.post_request(target)
        scene.post(ev.StreamStarted(sent.attempt, head()))
        scene.post(ev.StreamEventsReceived(sent.attempt, b'id: 1\n\n', '1',
                                           '1'))
        scene.post(ev.SendFailed(sent.attempt, Failure.TOO_LONG, 'x'))
        return scene

    def test_stream_goes_on_elsewhere_or_is_broken_off(self) -> None:
        resumed = self._scene_after_failure('/report/x').last(fx.Send)
        self.assertEqual(resumed.last_event_id, '1')
        broken_off = self._scene_after_failure('/tag/x')
        self.assertEqual(len(broken_off.all(fx.AbortReply)), 1)
        self.assertIn('send_failed', [line.event for line in broken_off.lines])

    def test_error_answers_that_are_held_are_bounded(self) -> None:
        body = bytes(MAX_ERROR_ANSWER_BYTES)
        scene = GatewayScene(*(endpoint(f'e{at}', LEDGER) for at in range(60)))
        scene.state.retries.bounds = attrs.evolve(scene.state.retries.bounds,
                                                  retry_slack=1_000.0)
        for number in range(40):
            scene.post_request('/view/x', f'r{number}')
            sent = scene.last(fx.Send)
            self.assertEqual(sent.request.id, f'r{number}')
            scene.post(ev.AnswerArrived(sent.attempt, head(500), body))
        replies = scene.all(fx.Reply)
        held = [
            call.fallback.body
            for call in scene.state.calls.calls.values()
            if call.fallback is not None
        ]
        self.assertLessEqual(sum(len(each) for each in held), 16 << 20)
        # All others have got the error itself.
        self.assertEqual(len(replies) + len(held), 40)
        self.assertEqual({each.status for each in replies}, {500})
