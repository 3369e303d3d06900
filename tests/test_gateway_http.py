"""Tests of the gateway's HTTP server and client on loopback sockets."""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.caller_connection import LINGER_RESET
from plantainridge.gateway.config import CallerLimits
from plantainridge.gateway.events import Failure
from plantainridge.gateway.http_calls import Response, call, call_on
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.http_server import HttpServer
from plantainridge.gateway.sender import EndpointSender
from plantainridge.gateway.streams import EventSplitter
from plantainridge.ids import AttemptId, EndpointId, RequestId, TeamId, VmId
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.platform.engines import PlatformEngines
from plantainridge.platform.requests import PlatformWire
from plantainridge.reports import log_fault
from tests.gateway_scene import (LEDGER, MODEL, GatewayScene, endpoint, request)

HOST = '127.0.0.1'
HEAD = b'POST /submit/x HTTP/1.1\r\nHost: host\r\nX-Attempt-Id: 7\r\n'
SIGNED = b'X-Attempt-Id: caller-r1\r\nX-Response-Seal: s\r\n'


class Caller:
    """A caller's connection to a server whose events are recorded."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.server = HttpServer(PlatformWire(), self.events.append)

    async def connect(self) -> None:
        """Start the server and connect to it."""
        address = await self.server.start(HOST, 0)
        self.reader, self.writer = await asyncio.open_connection(
            HOST, int(address.rpartition(':')[2]))

    async def send(self, data: bytes) -> None:
        """Send bytes and let the server read them."""
        self.writer.write(data)
        await asyncio.sleep(0.05)

    async def answer(self) -> bytes:
        """Return the bytes received."""
        return await asyncio.wait_for(self.reader.read(65_536), 2.0)

    def requests(self) -> list[ev.Request]:
        """Return the requests that were read completely."""
        return [
            each.request
            for each in self.events
            if isinstance(each, ev.RequestArrived)
        ]


def connect(address: str) -> socket.socket:
    """Return a connection, which the system makes without the server."""
    host, _, port = address.rpartition(':')
    return socket.create_connection((host, int(port)), 1.0)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Tests of requests from callers and of the answers written to them."""

    async def test_ambiguous_framing_is_refused_and_closed(self) -> None:
        smuggled = b'0\r\n\r\nGET /view/x HTTP/1.1\r\nHost: host\r\n\r\n'
        cases = {
            'length and chunked':
                HEAD +
                b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n' +
                smuggled,
            'two lengths':
                HEAD + b'Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef',
            'two equal lengths':
                HEAD + b'Content-Length: 1\r\nContent-Length: 1\r\n\r\na',
            'bare newline':
                HEAD + b'X-A: b\nContent-Length: 0\r\n\r\n',
            'space before the colon':
                HEAD + b'Content-Length : 0\r\n\r\n',
            'no host':
                b'GET / HTTP/1.1\r\nX-Attempt-Id: 7\r\n\r\n',
            'two transfer encodings':
                HEAD + b'Transfer-Encoding: chunked\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n' + smuggled,
        }
        for name, data in cases.items():
            with self.subTest(name):
                caller = Caller()
                await caller.connect()
                await caller.send(data)
                answer = await caller.answer()
                self.assertIn(answer[:13], (b'HTTP/1.1 400 ', b'HTTP/1.1 501 '))
                self.assertIn(b'connection: close', answer.lower())
                self.assertEqual(caller.requests(), [])

    async def test_limits_of_head_body_and_time(self) -> None:
        caller = Caller()
        caller.server.limits = CallerLimits(head_bytes=200,
                                            body_bytes=10,
                                            head_timeout_s=0.1)
        await caller.connect()
        await caller.send(HEAD + b'X-A: ' + b'a' * 300)
        self.assertTrue((await caller.answer()).startswith(b'HTTP/1.1 431'))
        await caller.connect()
        await caller.send(HEAD + b'Content-Length: 11\r\n\r\n12345678901')
        self.assertTrue((await caller.answer()).startswith(b'HTTP/1.1 413'))
        await caller.connect()
        await caller.send(HEAD)
        self.assertTrue((await caller.answer()).startswith(b'HTTP/1.1 408'))

    async def test_reads_bodies_by_length_and_in_chunks(self) -> None:
        for body in (
                b'Content-Length: 3\r\n\r\nabc',
                b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'):
            caller = Caller()
            await caller.connect()
            await caller.send(HEAD + body)
            self.assertEqual(caller.requests()[0].body, b'abc')

    async def test_connection_serves_pipelined_requests_in_order(self) -> None:
        caller = Caller()
        await caller.connect()
        await caller.send((HEAD + b'Content-Length: 0\r\n\r\n') * 2)
        self.assertEqual(len(caller.requests()), 1)
        for count in (1, 2):
            request_id = caller.requests()[-1].id
            caller.server.reply(fx.Reply(request_id, 200, (), b'ok'))
            self.assertTrue((await caller.answer()).endswith(b'ok'))
            await asyncio.sleep(0.05)
            self.assertEqual(len(caller.requests()), 2, count)

    async def test_disconnect_of_a_caller_is_reported(self) -> None:
        caller = Caller()
        await caller.connect()
        await caller.send(HEAD + b'Content-Length: 0\r\n\r\n')
        caller.writer.close()
        await asyncio.sleep(0.05)
        self.assertIsInstance(caller.events[-1], ev.CallerLeft)

    async def test_aborted_stream_does_not_look_complete(self) -> None:
        caller = Caller()
        await caller.connect()
        await caller.send(HEAD + b'Content-Length: 0\r\n\r\n')
        request_id = caller.requests()[0].id
        caller.server.start_reply(fx.StartReply(request_id, 200, ()))
        caller.server.forward_stream_events(
            fx.ForwardStreamEvents(request_id, b'id: 1\n\n'))
        await asyncio.sleep(0.05)
        caller.server.abort_reply(fx.AbortReply(request_id))
        received = await asyncio.wait_for(caller.reader.read(), 2.0)
        self.assertIn(b'id: 1', received)
        self.assertFalse(received.endswith(b'0\r\n\r\n'))

    async def test_aborted_stream_without_chunks_is_reset(self) -> None:
        caller = Caller()
        await caller.connect()
        await caller.send(HEAD.replace(b'1.1', b'1.0') + b'\r\n')
        request_id = caller.requests()[0].id
        caller.server.start_reply(fx.StartReply(request_id, 200, ()))
        await asyncio.sleep(0.05)
        caller.server.abort_reply(fx.AbortReply(request_id))
        with self.assertRaises(ConnectionResetError):
            while await asyncio.wait_for(caller.reader.read(65_536), 2.0):
                pass

    async def test_unread_stream_without_chunks_is_reset(self) -> None:
        caller = Caller()
        await caller.connect()
        await caller.send(HEAD.replace(b'1.1', b'1.0') + b'\r\n')
        request_id = caller.requests()[0].id
        caller.server.start_reply(fx.StartReply(request_id, 200, ()))
        caller.server.forward_stream_events(
            fx.ForwardStreamEvents(request_id, b'x' * (16 << 20)))
        caller.server.end_reply(fx.EndReply(request_id))
        await self._assert_reset(caller)

    async def test_stream_without_chunks_is_reset_if_the_process_ends(
            self) -> None:
        caller = Caller()
        await caller.connect()
        await caller.send(HEAD.replace(b'1.1', b'1.0') + b'\r\n')
        caller.server.start_reply(
            fx.StartReply(caller.requests()[0].id, 200, ()))
        await asyncio.sleep(0.05)
        connection = caller.server.connections.pop()
        assert connection.transport is not None
        # The system closes the sockets of a process in this way.
        connection.transport.close()
        await self._assert_reset(caller)

    async def test_complete_stream_without_chunks_is_not_reset(self) -> None:
        caller = Caller()
        await caller.connect()
        await caller.send(HEAD.replace(b'1.1', b'1.0') + b'\r\n')
        request_id = caller.requests()[0].id
        caller.server.start_reply(fx.StartReply(request_id, 200, ()))
        caller.server.forward_stream_events(
            fx.ForwardStreamEvents(request_id, b'id: 1\n\n'))
        caller.server.end_reply(fx.EndReply(request_id))
        received = await asyncio.wait_for(caller.reader.read(), 2.0)
        self.assertTrue(received.endswith(b'id: 1\n\n'))

    async def test_caller_that_reads_gets_a_large_answer(self) -> None:
        caller = Caller()
        await caller.connect()
        await caller.send(HEAD + b'Content-Length: 0\r\n\r\n')
        caller.server.reply(
            fx.Reply(caller.requests()[0].id, 200, (), b'x' * (15 << 20)))
        await asyncio.wait_for(caller.reader.readuntil(b'\r\n\r\n'), 2.0)
        body = await asyncio.wait_for(caller.reader.readexactly(15 << 20), 5.0)
        self.assertEqual(len(body), 15 << 20)

    async def test_unread_answers_together_are_bounded(self) -> None:
        server, callers = HttpServer(PlatformWire(), lambda event: None), []
        for number in range(4):
            caller = Caller()
            caller.server = server
            await caller.connect()
            callers.append(caller)
            await caller.send(HEAD + b'Content-Length: 0\r\n\r\n')
            server.reply(
                fx.Reply(RequestId(f'r{number + 1}'), 200, (),
                         b'x' * (15 << 20)))
        await asyncio.sleep(0.05)
        self.assertLessEqual(len(server.connections), 3)
        self.assertGreaterEqual(len(server.connections), 2)

    async def _assert_reset(self, caller: Caller) -> None:
        with self.assertRaises(ConnectionResetError):
            while await asyncio.wait_for(caller.reader.read(65_536), 2.0):
                pass

    async def test_stopping_server_closes_connection_after_answer(self) -> None:
        caller = Caller()
        await caller.connect()
        caller.server.closing = True
        await caller.send(HEAD + b'Content-Length: 0\r\n\r\n')
        caller.server.reply(fx.Reply(caller.requests()[0].id, 200, (), b'ok'))
        answer = await caller.answer()
        self.assertIn(b'connection: close', answer.lower())
        self.assertTrue(answer.endswith(b'ok'))

    async def test_stream_started_before_stop_closes_at_its_end(self) -> None:
        caller = Caller()
        await caller.connect()
        await caller.send(HEAD + b'Content-Length: 0\r\n\r\n')
        request_id = caller.requests()[0].id
        caller.server.start_reply(fx.StartReply(request_id, 200, ()))
        caller.server.closing = True
        caller.server.end_reply(fx.EndReply(request_id))
        received = await asyncio.wait_for(caller.reader.read(), 2.0)
        self.assertTrue(received.endswith(b'0\r\n\r\n'))

    async def test_requests_that_came_before_the_stop_are_read(self) -> None:
        # Cut off without an answer: connections in the system's queue, accepted
        # ones without a transport, and those whose request was not read yet.
        read = {}
        for passes in range(6):
            caller = Caller()
            address = await caller.server.start(HOST, 0)
            sockets = [connect(address) for _ in range(5)]
            for sock in sockets:
                sock.sendall(HEAD + b'Content-Length: 0\r\n\r\n')
            for _ in range(passes):
                await asyncio.sleep(0)
            caller.server.stop_listening(fx.StopListening())
            await asyncio.sleep(0.05)
            read[passes] = len(caller.requests())
            for sock in sockets:
                sock.close()
            with self.assertRaises(ConnectionRefusedError):
                connect(address)
        self.assertEqual(read, dict.fromkeys(range(6), 5))

    async def test_request_after_an_accept_is_read_while_stopping(self) -> None:
        # Its caller connected before the stop and sends the request after it.
        caller = Caller()
        await caller.connect()
        await asyncio.sleep(0.05)
        caller.server.stop_listening(fx.StopListening())
        await caller.send(HEAD + b'Content-Length: 0\r\n\r\n')
        self.assertEqual(len(caller.requests()), 1)

    async def test_request_on_a_kept_connection_is_read_at_the_stop(
            self) -> None:
        caller = Caller()
        address = await caller.server.start(HOST, 0)
        sock = connect(address)
        for count in (1, 2):
            sock.sendall(HEAD + b'Content-Length: 0\r\n\r\n')
            if count == 2:
                caller.server.stop_listening(fx.StopListening())
            await asyncio.sleep(0.05)
            self.assertEqual(len(caller.requests()), count)
            caller.server.reply(
                fx.Reply(caller.requests()[-1].id, 200, (), b'ok'))
        sock.close()

    async def test_idle_kept_connection_is_closed_at_the_stop(self) -> None:
        caller = Caller()
        await caller.connect()
        await caller.send(HEAD + b'Content-Length: 0\r\n\r\n')
        caller.server.reply(fx.Reply(caller.requests()[0].id, 200, (), b'ok'))
        self.assertTrue(await caller.answer())
        caller.server.stop_listening(fx.StopListening())
        self.assertEqual(await caller.answer(), b'')

    async def test_requests_that_come_at_the_exit_are_refused(self) -> None:
        request_bytes = HEAD + b'Content-Length: 3\r\n\r\nabc'
        for size in (len(request_bytes), len(HEAD), 5, 0):
            for passes in (0, 5):
                caller = Caller()
                address = await caller.server.start(HOST, 0)
                sock = connect(address)
                for _ in range(passes):
                    await asyncio.sleep(0)
                caller.server.stop_listening(fx.StopListening())
                await asyncio.sleep(0.05)
                sock.sendall(request_bytes[:size])
                caller.server.close_callers(fx.CloseCallers('stopping', 0.2))
                await caller.server.wait_closed(
                    asyncio.get_running_loop().time() + 1.0)
                answer = sock.recv(65_536)
                self.assertEqual((size, answer[:12]),
                                 (size, b'HTTP/1.1 503' if size else b''))
                self.assertEqual(caller.requests(), [])
                sock.close()

    async def test_request_that_is_complete_after_the_exit_is_refused(
            self) -> None:
        # The reducer handles no more events then: nobody would answer.
        caller = Caller()
        await caller.connect()
        request_bytes = HEAD + b'Content-Length: 0\r\n\r\n'
        await caller.send(request_bytes + request_bytes[:20])
        stream = caller.requests()[0].id
        # Its head does not say that the connection closes after it.
        caller.server.start_reply(fx.StartReply(stream, 200, ()))
        caller.server.closing = True
        caller.server.close_callers(fx.CloseCallers('stopping', 0.2))
        caller.server.end_reply(fx.EndReply(stream))
        await caller.answer()
        await caller.send(request_bytes[20:])
        self.assertIn(b'HTTP/1.1 503', await caller.answer())
        self.assertEqual(len(caller.requests()), 1)

    async def test_internal_headers_from_callers_are_dropped(self) -> None:
        caller = Caller()
        await caller.connect()
        forged_headers = b''.join(
            name + b': forged\r\n'
            for name in (b'X-Tenant', b'X-Cache-Salt', b'X-Hold', b'Kv-From',
                         b'X-Expected-Instance', b'X-Request-Urgency',
                         b'X-Pin-Milliseconds', b'X-Cache-Fetch-From',
                         b'X-Cache-Save-To', b'X-Cache-Backup'))
        await caller.send(HEAD + forged_headers +
                          b'X-Own: kept\r\nContent-Length: 0'
                          b'\r\nAuthorization: Bearer key\r\n\r\n')
        headers = dict(caller.requests()[0].headers)
        self.assertEqual(headers[b'x-own'], b'kept')
        self.assertNotIn(b'forged', headers.values())
        self.assertNotIn(b'authorization', headers)
        self.assertEqual(caller.requests()[0].key, 'key')


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def endpoint_answering(data: bytes, reset: bool = False) -> Serve:
    """Return an endpoint that answers each request with the same bytes."""

    async def serve(reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter) -> None:
        while await reader.read(65_536):
            writer.write(data)
            await writer.drain()
            if reset:
                await asyncio.sleep(0.05)
                sock = writer.get_extra_info('socket')
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                LINGER_RESET)
                writer.transport.abort()
                return

    return serve


class SenderTest(unittest.IsolatedAsyncioTestCase):
    """Tests of answers from endpoints."""

    async def _send(self,
                    serve: Serve,
                    count: int = 1,
                    stream: bool = False) -> list[Event]:
        """Send requests one after the other; return the events posted."""
        server = await asyncio.start_server(serve, HOST, 0)
        address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        events: list[Event] = []
        pool = Pool()
        sender = EndpointSender(PlatformWire(), pool, Tasks(log_fault),
                                events.append)
        for number in range(count):
            sender.send(
                fx.Send(AttemptId(f'r1.{number}'), request('/submit/x'),
                        EndpointId('e'), address, stream, False, 5.0,
                        TeamId('team')))
            await asyncio.sleep(0.15)
        pool.close_idle(address)
        await asyncio.sleep(0.05)
        server.close()
        return events

    async def test_complete_answer(self) -> None:
        data = (b'HTTP/1.1 200 OK\r\n' + SIGNED +
                b'Content-Length: 2\r\n\r\nok')
        answer, = await self._send(endpoint_answering(data))
        assert isinstance(answer, ev.AnswerArrived)
        self.assertEqual((answer.head.signed, answer.body), (True, b'ok'))

    async def test_bytes_after_an_answer_are_discarded(self) -> None:
        one = b'HTTP/1.1 200 OK\r\n' + SIGNED + b'Content-Length: 2\r\n\r\nok'
        events = await self._send(
            endpoint_answering(one + one.replace(b'ok', b'no')), 2)
        bodies = [
            each.body for each in events if isinstance(each, ev.AnswerArrived)
        ]
        self.assertEqual(bodies, [b'ok', b'ok'])

    async def test_answer_to_another_request_is_rejected(self) -> None:
        data = (b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n'
                b'X-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok')
        self.assertEqual(await self._send(endpoint_answering(data)),
                         [ev.SendFailed(AttemptId('r1.0'), Failure.MALFORMED)])

    async def test_incomplete_answers_fail(self) -> None:
        ok = b'HTTP/1.1 200 OK\r\n' + SIGNED
        cases = {
            'cut short':
                ok + b'Content-Length: 9\r\n\r\nok',
            'no length, then a reset':
                ok + b'\r\nok',
            'chunks without an end':
                ok + b'Transfer-Encoding: chunked\r\n\r\n'
                b'2\r\nok\r\n',
            'nothing':
                b'',
            'no HTTP':
                b'hello\r\n\r\n',
        }
        for name, data in cases.items():
            with self.subTest(name):
                event, = await self._send(endpoint_answering(data, reset=True))
                self.assertIsInstance(event, ev.SendFailed)

    async def test_answer_without_length_ends_with_the_connection(self) -> None:

        async def serve(reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter) -> None:
            await reader.read(65_536)
            writer.write(b'HTTP/1.1 200 OK\r\n' + SIGNED + b'\r\nok')
            writer.close()

        answer, = await self._send(serve)
        assert isinstance(answer, ev.AnswerArrived)
        self.assertEqual(answer.body, b'ok')

    async def test_stream_that_ends_within_an_event_fails(self) -> None:
        start = (b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n' +
                 SIGNED + b'Transfer-Encoding: chunked\r\n\r\n')
        body = b'id: 1\ndata: a\n\nid: 2\nda'
        chunk = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        events = await self._send(endpoint_answering(start + chunk),
                                  stream=True)
        self.assertEqual(
            [type(each) for each in events],
            [ev.StreamStarted, ev.StreamEventsReceived, ev.SendFailed])

    async def test_refused_connection_is_reported_as_not_connected(
            self) -> None:
        events: list[Any] = []
        sender = EndpointSender(PlatformWire(), Pool(), Tasks(log_fault),
                                events.append)
        sender.send(
            fx.Send(AttemptId('r1.0'), request('/submit/x'), EndpointId('e'),
                    f'{HOST}:1', False, True, 5.0, None))
        await asyncio.sleep(0.1)
        self.assertEqual([(each.attempt, each.failure) for each in events],
                         [(AttemptId('r1.0'), Failure.NOT_CONNECTED)])
        self.assertIn('ConnectionRefusedError', events[0].detail)


class ExtraAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Tests of a second copy of an answer, on a connection that is reused.

    Each guards against a caller that gets an answer that is not its own.
    """

    async def _send_two(self,
                        extra: bytes,
                        copy: bytes,
                        delay_s: float = 0.0) -> list[Event]:
        """Send two requests of two callers on one connection.

        Args:
            extra: What the endpoint sends right after its first answer.
            copy: What it sends when the second request has arrived, before its
                answer.
            delay_s: Time after which it sends `extra`, in s.

        Returns:
            The events that were posted.
        """

        async def serve(reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter) -> None:
            number = 0
            while await reader.read(65_536):
                number += 1
                connections.append(number)
                if number == 1:
                    writer.write(answer_to('one') + (b'' if delay_s else extra))
                    await asyncio.sleep(delay_s)
                    writer.write(extra if delay_s else b'')
                else:
                    writer.write(copy + answer_to('two'))

        connections: list[int] = []
        server = await asyncio.start_server(serve, HOST, 0)
        address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        events: list[Event] = []
        sender = EndpointSender(PlatformWire(), Pool(), Tasks(log_fault),
                                events.append)
        for name in ('one', 'two'):
            sender.send(
                fx.Send(AttemptId(name),
                        attrs.evolve(request('/submit/x'), attempt_id=name),
                        EndpointId('e'), address, False, False, 5.0,
                        TeamId('team')))
            await asyncio.sleep(0.1)
        server.close()
        return events

    def _assert_own(self, events: list[Event], note: object) -> None:
        for event in events:
            if isinstance(event, ev.AnswerArrived):
                self.assertEqual(event.body, event.attempt.encode(), note)
        self.assertEqual(len(events), 2, note)

    async def test_each_caller_gets_its_own_answer(self) -> None:
        one = answer_to('one')
        unnamed = one.replace(b'X-Attempt-Id: one\r\n', b'')
        missing = b'HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\n\r\none'
        named_twice = one.replace(
            b'X-Attempt-Id: one\r\n',
            b'X-Attempt-Id: one\r\nX-Attempt-Id: two\r\n')
        for copy in (one, unnamed, missing, named_twice):
            for delay_s in (0.0, 0.03):
                events = await self._send_two(copy, b'', delay_s)
                self._assert_own(events, ('behind', copy, delay_s))
            events = await self._send_two(b'', copy)
            self._assert_own(events, ('in the moment of reuse', copy))

    async def test_second_answer_is_no_answer_to_a_control_call(self) -> None:
        # It would count as the confirmation of an order.

        async def serve(reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter) -> None:
            while await reader.read(65_536):
                writer.write(answer_to('one'))

        server = await asyncio.start_server(serve, HOST, 0)
        address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        events: list[Event] = []
        pool, tasks = Pool(), Tasks(log_fault)
        sender = EndpointSender(PlatformWire(), pool, tasks, events.append)
        sender.send(
            fx.Send(AttemptId('one'),
                    attrs.evolve(request('/submit/x'), attempt_id='one'),
                    EndpointId('e'), address, False, False, 5.0, None))
        await asyncio.sleep(0.1)
        engines = PlatformEngines(pool, tasks, VmId('vm'), events.append)
        engines.order_version(
            fx.OrderVersion(EndpointId('e'), address, MODEL, 2, 0, 1))
        await asyncio.sleep(0.1)
        server.close()
        self.assertEqual(
            events[1], ev.OrderAnswered(EndpointId('e'),
                                        ev.OrderResult.UNKNOWN))
        # The next call would get the response that is still to come.
        self.assertIsNone(pool.take(address))

    async def test_unnamed_answer_on_a_new_connection_is_its_own(self) -> None:
        data = b'HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno'
        server = await asyncio.start_server(endpoint_answering(data), HOST, 0)
        events: list[Event] = []
        sender = EndpointSender(PlatformWire(), Pool(), Tasks(log_fault),
                                events.append)
        address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        sender.send(
            fx.Send(AttemptId('one'), request('/submit/x'), EndpointId('e'),
                    address, False, False, 5.0, None))
        await asyncio.sleep(0.1)
        server.close()
        self.assertIsInstance(events[0], ev.AnswerArrived)


def answer_to(name: str) -> bytes:
    """Return an endpoint's answer to an attempt."""
    return (b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Seal: s\r\n'
            b'Content-Length: %d\r\n\r\n%b' %
            (name.encode(), len(name), name.encode()))


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Connections that are kept as long as a server states.

    Attributes:
        served: Requests that the server received.
        connections: Connections that it accepted.
        dropped: Connections up to this one, from 1, are reset at a request.
    """

    async def asyncSetUp(self) -> None:
        self.served = self.connections = self.dropped = 0
        self.keep_alive = b'Keep-Alive: timeout=5, max=100\r\n'
        self.events: list[Event] = []
        self.pool = Pool()
        self.sender = EndpointSender(PlatformWire(), self.pool,
                                     Tasks(log_fault), self.events.append)
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.addCleanup(server.close)
        self.address = f'{HOST}:{server.sockets[0].getsockname()[1]}'

    async def asyncTearDown(self) -> None:
        self.pool.close_idle(self.address)
        await asyncio.sleep(0.02)

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        while await reader.read(65_536):
            if number <= self.dropped:
                sock = writer.get_extra_info('socket')
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                LINGER_RESET)
                writer.transport.abort()
                return
            self.served += 1
            writer.write(b'HTTP/1.1 200 OK\r\n' + SIGNED + self.keep_alive +
                         b'Content-Length: 2\r\n\r\nok')

    async def _send(self, idle_s: float, **overrides: Any) -> Event:
        """Send a request on a connection idle for a time, if any is kept."""
        for connections in self.pool.idle.values():
            for each in connections:
                each.idle_since -= idle_s
        self.pool.close_expired()
        fields: dict[str, Any] = {'allows_stale': True, 'new_connection': False}
        fields.update(overrides)
        count = len(self.events)
        self.sender.send(
            fx.Send(AttemptId(f'r1.{count}'),
                    request('/submit/x'),
                    EndpointId('e'),
                    self.address,
                    stream=False,
                    remaining_s=5.0,
                    team=TeamId('team'),
                    **fields))
        for _ in range(100):
            await asyncio.sleep(0.005)
            if len(self.events) > count:
                break
        return self.events[-1]

    async def test_is_kept_as_long_as_stated(self) -> None:
        for keep_alive, idle_s, connections in (
            (b'Keep-Alive: timeout=5\r\n', 4.3, 1),
            (b'Keep-Alive: timeout=5\r\n', 4.6, 2),
            (b'Keep-Alive: timeout=0\r\n', 0.1, 2),
            (b'Keep-Alive: timeout=soon\r\n', 1.0, 2),
            (b'', 0.7, 1),
            (b'', 1.0, 2),
        ):
            with self.subTest(keep_alive=keep_alive, idle_s=idle_s):
                self.pool.close_idle(self.address)
                self.connections, self.keep_alive = 0, keep_alive
                await self._send(0.0)
                await self._send(idle_s)
                self.assertEqual(self.connections, connections)

    async def test_no_other_request_uses_one_that_may_be_stale(self) -> None:
        # A run-once call on a connection that its server drops is in doubt.
        await self._send(0.0)
        self.dropped = 1
        event = await self._send(2.0, allows_stale=False)
        self.assertIsInstance(event, ev.AnswerArrived)
        self.dropped = 2
        event = await self._send(0.1, new_connection=True)
        self.assertIsInstance(event, ev.AnswerArrived)
        self.assertEqual((self.connections, self.served), (3, 3))

    async def test_reset_of_a_kept_one_is_reported_as_stale(self) -> None:
        await self._send(0.0)
        self.dropped = 2
        for idle_s, failure in ((2.0, Failure.STALE), (0.0, Failure.BROKEN)):
            event = await self._send(idle_s)
            assert isinstance(event, ev.SendFailed)
            self.assertIs(event.failure, failure)
        self.assertFalse(self.pool.idle.get(('', self.address)))

    async def test_get_is_repeated_on_a_new_connection(self) -> None:
        for method, served in (('GET', 2), ('POST', 3)):
            await call(self.pool, self.address, method, '/', 1.0)
            kept, = self.pool.idle['', self.address]
            kept.idle_since -= 2.0
            self.dropped = self.connections
            response = await call(self.pool, self.address, method, '/', 1.0)
            self.assertIsInstance(response, Response)
            self.assertGreaterEqual(self.served, served)
        # Only the GET was sent on a connection that the server had dropped.
        self.assertEqual((self.connections, self.served), (3, 4))

    async def test_few_are_kept(self) -> None:
        # A server's `connection-limit` holds for all VMs together.
        held = [await self.pool.connect(self.address) for _ in range(4)]
        for connection in held:
            await call_on(connection, self.address, 'GET', '/', 1.0)
            connection.idle_since -= 2.0
        self.pool.close_expired()
        self.assertEqual(len(self.pool.idle['', self.address]), 1)


class StaleSendTest(unittest.TestCase):
    """Sends that failed since their connection had been dropped."""

    def test_is_no_crash_and_is_sent_again_on_a_new_connection(self) -> None:
        scene = GatewayScene(endpoint('a'), endpoint('b'))
        first = scene.post_request('/report/x')
        self.assertTrue(first.allows_stale)
        scene.now += 0.01
        scene.post(ev.SendFailed(first.attempt, Failure.STALE))
        second = scene.last(fx.Send)
        self.assertNotEqual(second.attempt, first.attempt)
        self.assertTrue(second.new_connection)
        self.assertEqual(len(scene.state.suspects.broken), 0)
        for view in scene.state.endpoints.values():
            self.assertEqual((view.failures, view.cooldown_until > scene.now),
                             (0, False))

    def test_calls_with_one_attempt_use_no_such_connection(self) -> None:
        scene = GatewayScene(endpoint('a'), endpoint('l', service=LEDGER))
        for target in ('/tag/x', '/submit/x'):
            effect = scene.post_request(target, name=target)
            self.assertFalse(effect.allows_stale)


class SplitterTest(unittest.TestCase):
    """Tests of splitting a stream into events, wherever its bytes are cut."""

    def test_split_does_not_depend_on_cuts_in_the_bytes(self) -> None:
        stream = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n'
        for cut in range(len(stream)):
            splitter = EventSplitter()
            parts = [splitter.feed(stream[:cut]), splitter.feed(stream[cut:])]
            data = b''.join(each.data for each in parts if each is not None)
            self.assertEqual(data, stream)
            self.assertEqual(splitter.incomplete, b'')

    def test_events_that_the_caller_already_has_are_dropped(self) -> None:
        splitter = EventSplitter('2')
        events = splitter.feed(b'id: 1\n\nid: 2\n\nid: 3\ndata: c\n\n')
        assert events is not None
        self.assertEqual(events.data, b'id: 3\ndata: c\n\n')
