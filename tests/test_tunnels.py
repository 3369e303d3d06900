"""Tests of tunnels through peers on loopback sockets."""

import asyncio
import os
import socket
import sys
import unittest
from asyncio.subprocess import PIPE
from collections.abc import Callable
from typing import Any
from unittest import mock

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import tunnels
from plantainridge.gateway.caller_connection import LINGER_RESET
from plantainridge.gateway.events import Failure
from plantainridge.gateway.http_client import MAX_TUNNEL_AGE_S, Pool
from plantainridge.gateway.sender import EndpointSender
from plantainridge.gateway.tunnels import TunnelServer
from plantainridge.ids import AttemptId, EndpointId, TeamId
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.platform.requests import PlatformWire
from plantainridge.reports import log_fault
from plantainridge.standins.platform_site import DROP_ALL, SO_ATTACH_FILTER
from tests.gateway_scene import request
from tests.stream_server import StreamServer
from tests.test_endless_answers import early

PEER, ORIGIN = '127.0.0.1', '127.0.0.2'
# Nothing listens there.
CLOSED = f'{PEER}:1'
SIGNED = (b'HTTP/1.1 200 OK\r\nX-Attempt-Id: caller-r1\r\n'
          b'X-Response-Seal: s\r\n')
STREAM = SIGNED + b'Content-Type: text/event-stream\r\n'
UNFRAMED = SIGNED + b'\r\npart'

# A peer that opens every tunnel.
PEER_PROCESS = """
import asyncio
from plantainridge.gateway import effects, events, tunnels
from plantainridge.loop.tasks import Tasks
from plantainridge.reports import log_fault

def post(event):
    if isinstance(event, events.TunnelRequested):
        server.open_tunnel(effects.OpenTunnel(event.tunnel, event.address))

async def main():
    global server
    server = tunnels.TunnelServer(Tasks(log_fault), post)
    print(await server.start('127.0.0.1', 0), flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""


async def wait_for(condition: Callable[[], Any], seconds: float = 2.0) -> bool:
    """Return whether a condition holds in time."""
    for _ in range(round(seconds / 0.01)):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return bool(condition())


def open_files() -> int:
    """Return the number of the process's descriptors."""
    return len(os.listdir('/proc/self/fd'))


class TunnelCase(unittest.IsolatedAsyncioTestCase):
    """An endpoint, a peer that opens tunnels to it, and a VM that sends."""

    async def asyncSetUp(self) -> None:
        self.served: list[bytes] = []
        self.closed_at: list[float] = []
        self.answer = SIGNED + b'Content-Length: 2\r\n\r\nok'
        self.request_end = b''
        self.reset_count = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.endpoint = await asyncio.start_server(self._serve, PEER, 0)
        self.address = self._address_of(self.endpoint)
        self.tasks = Tasks(log_fault)
        self.peer_events: list[Any] = []
        self.refusal: tuple[int, str] | None = None
        self.peer = TunnelServer(self.tasks, self._on_peer_event)
        self.via = await self.peer.start(PEER, 0)
        self.pool = Pool(ORIGIN)
        self.events: list[Any] = []
        self.sender = EndpointSender(PlatformWire(), self.pool, self.tasks,
                                     self.events.append)
        # Connections to it hang.
        self.silent = socket.create_server((PEER, 0))
        self.silent.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, DROP_ALL)
        self.silent_address = f'{PEER}:{self.silent.getsockname()[1]}'
        self.open_files = open_files()

    async def asyncTearDown(self) -> None:
        for key in list(self.pool.idle):
            self.pool.close_idle(key[1])
        for writer in self.writers:
            writer.transport.abort()
        closed = await wait_for(lambda: not self.peer.tunnels)
        is_free = await wait_for(lambda: open_files() <= self.open_files)
        self.silent.close()
        self.endpoint.close()
        self.peer.stop_listening()
        await self.tasks.cancel()
        # Every tunnel that was requested has ended, once.
        ids: dict[type[Event], list[str]] = {
            kind:
                sorted(each.tunnel
                       for each in self.peer_events
                       if isinstance(each, kind))
            for kind in (ev.TunnelRequested, ev.TunnelEnded)
        }
        self.assertTrue(closed)
        self.assertTrue(is_free)
        self.assertEqual(ids[ev.TunnelRequested], ids[ev.TunnelEnded])

    def _address_of(self, server: asyncio.Server) -> str:
        return f'{PEER}:{server.sockets[0].getsockname()[1]}'

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while data := await reader.read(65_536):
                self.served.append(data)
                if not data.endswith(self.request_end):
                    continue
                writer.write(self.answer)
                await writer.drain()
        except ConnectionError:
            self.reset_count += 1
        self.closed_at.append(asyncio.get_running_loop().time())
        writer.close()

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()

    def _on_peer_event(self, event: Event) -> None:
        """Decide as the peer's reducer does."""
        self.peer_events.append(event)
        if not isinstance(event, ev.TunnelRequested):
            return
        if self.refusal is not None:
            self.peer.refuse_tunnel(fx.RefuseTunnel(event.tunnel,
                                                    *self.refusal))
        else:
            self.peer.open_tunnel(fx.OpenTunnel(event.tunnel, event.address))

    def _start(self, **overrides: Any) -> AttemptId:
        attempt = AttemptId(f'r1.{len(self.sender.in_flight)}')
        fields: dict[str, Any] = {
            'address': self.address,
            'stream': False,
            'via': self.via,
            'request': request('/submit/x', body=b'body')
        }
        fields.update(overrides)
        self.sender.send(
            fx.Send(attempt,
                    endpoint=EndpointId('e'),
                    new_connection=False,
                    remaining_s=5.0,
                    team=TeamId('team'),
                    **fields))
        return attempt

    async def _send(self, **overrides: Any) -> Any:
        """Send a request; return the last event, once it has ended."""
        attempt = self._start(**overrides)
        self.assertTrue(await
                        wait_for(lambda: attempt not in self.sender.in_flight))
        return self.events[-1]

    async def _wait_served(self, count: int) -> None:
        self.assertTrue(await wait_for(lambda: len(self.served) == count))


class TunnelTest(TunnelCase):
    """Tests of requests, answers and streams through a tunnel."""

    async def test_answer_is_complete_and_request_is_sent_once(self) -> None:
        body = os.urandom(3 << 20)
        self.answer = SIGNED + b'Content-Length: %d\r\n\r\n' % len(body) + body
        answer = await self._send()
        self.assertEqual(answer.body, body)
        self.assertEqual(b''.join(self.served).count(b'POST /submit/x'), 1)
        self.assertEqual(self.peer_events[0].origin, ORIGIN)
        self.assertEqual(self.peer_events[0].address, self.address)

    async def test_large_body_arrives_complete(self) -> None:
        self.request_end = b'end'
        body = os.urandom(3 << 20) + self.request_end
        answer = await self._send(request=request('/submit/x', body=body))
        self.assertIsInstance(answer, ev.AnswerArrived)
        self.assertTrue(b''.join(self.served).endswith(body))

    async def test_stream_arrives_event_by_event(self) -> None:
        self.answer = (STREAM + b'Transfer-Encoding: chunked\r\n\r\n'
                       b'f\r\nid: 1\ndata: a\n\n\r\n')
        self._start(stream=True)
        await wait_for(lambda: len(self.events) == 2)
        self.writers[0].write(b'f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n')
        await wait_for(lambda: len(self.events) == 4)
        self.assertEqual([type(each) for each in self.events], [
            ev.StreamStarted, ev.StreamEventsReceived, ev.StreamEventsReceived,
            ev.StreamEnded
        ])
        self.assertEqual(self.events[2].data, b'id: 2\ndata: b\n\n')

    async def test_idle_tunnel_is_reused_until_its_age(self) -> None:
        for _ in range(3):
            await self._send()
        await self._send(via='')
        self.assertEqual(len(self.writers), 2)
        self.assertEqual(set(self.pool.idle), {(self.via, self.address),
                                               ('', self.address)})
        await asyncio.sleep(MAX_TUNNEL_AGE_S / 2)
        await self._send()
        await asyncio.sleep(MAX_TUNNEL_AGE_S / 2)
        self.assertIsNone(self.pool.take(self.address, self.via))
        await self._send()
        self.pool.close_idle(self.address)
        self.assertEqual(self.pool.idle, {})

    async def test_answer_that_ends_with_its_connection_is_complete(
            self) -> None:
        body = b'x' * (3 << 20)
        self.answer = UNFRAMED + body
        self._start()
        await wait_for(lambda: self.served)
        self.writers[0].write_eof()
        await wait_for(lambda: self.events)
        self.assertEqual(self.events[0].body, b'part' + body)
        await wait_for(lambda: self.closed_at)
        self.assertEqual((len(self.closed_at), self.reset_count), (1, 0))

    async def test_many_tunnels_carry_their_own_answers(self) -> None:
        self.request_end = b'none'
        for number in range(100):
            self._start()
            await self._wait_served(number + 1)
        self.assertEqual(len(self.peer.tunnels), 100)
        for writer in self.writers:
            port = b'%d' % writer.get_extra_info('peername')[1]
            writer.write(SIGNED + b'Content-Length: 65536\r\n\r\n' +
                         port.ljust(65_536))
        self.assertTrue(await wait_for(lambda: len(self.events) == 100))
        self.assertEqual({(type(each), len(each.body)) for each in self.events},
                         {(ev.AnswerArrived, 65_536)})
        self.assertEqual(len({each.body for each in self.events}), 100)

    async def test_direct_requests_open_no_tunnel(self) -> None:
        await self._send(via='')
        self.assertEqual(self.peer_events, [])
        self.assertEqual(len(self.peer.opening), 0)


class EndTest(TunnelCase):
    """Tests of the end of a tunnel from either side."""

    async def test_caller_that_leaves_reaches_the_endpoint_at_once(
            self) -> None:
        for answer in (b'', UNFRAMED):
            self.answer, self.closed_at = answer, []
            attempt = self._start()
            await wait_for(lambda: self.served)
            await asyncio.sleep(0.1)
            self.sender.cancel(fx.CancelSend(attempt))
            self.assertTrue(await wait_for(lambda: self.closed_at, 0.3))
            self.served.clear()
        self.assertEqual(self.events, [])

    async def test_cut_answer_never_looks_complete(self) -> None:
        answers = {
            'nothing': b'',
            'no length': UNFRAMED,
            'stream without a length': STREAM + b'\r\nid: 1\ndata: a\n\n',
        }
        for cut in ('endpoint resets', 'peer is killed'):
            for name, self.answer in answers.items():
                with self.subTest(f'{cut}: {name}'):
                    peer = await asyncio.create_subprocess_exec(sys.executable,
                                                                '-c',
                                                                PEER_PROCESS,
                                                                stdout=PIPE)
                    assert peer.stdout is not None
                    via = (await peer.stdout.readline()).decode().strip()
                    self.served.clear()
                    self._start(stream=True, via=via)
                    await wait_for(lambda: self.served)
                    await asyncio.sleep(0.05)
                    self.assertEqual(len(self.sender.in_flight), 1)
                    if cut == 'endpoint resets':
                        self._reset(self.writers[-1])
                    else:
                        peer.kill()
                    self.assertTrue(await
                                    wait_for(lambda: not self.sender.in_flight,
                                             0.3))
                    self.assertEqual(self.events[-1].failure, Failure.BROKEN)
                    if peer.returncode is None:
                        peer.kill()
                    await peer.wait()

    # The peer of the tunnel acknowledges more than the endpoint has received.
    async def test_early_answer_is_broken_by_a_later_reset(self) -> None:
        upload = request('/submit/x', body=bytes(3_000_000))
        for name, data, is_stream in (('no length', UNFRAMED, False),
                                      ('stream', STREAM + b'\r\nid: 1\n\n',
                                       True)):
            for after_s in (0.0, 0.01, 0.3):
                server = StreamServer(early(data, resets_after_s=after_s))
                address = await server.start()
                event = await self._send(address=address,
                                         request=upload,
                                         stream=is_stream)
                with self.subTest(name, after_s=after_s):
                    self.assertEqual(event.failure, Failure.BROKEN)
                await server.stop()

    async def test_early_answer_is_complete_once_the_request_was_received(
            self) -> None:
        upload = request('/submit/x', body=bytes(3_000_000))
        for after_s in (0.0, 0.3):
            server = StreamServer(early(UNFRAMED, reads_after_s=after_s))
            event = await self._send(address=await server.start(),
                                     request=upload)
            self.assertEqual(event.body, b'part')
            await server.stop()

    async def test_head_that_is_cut_is_not_passed_on(self) -> None:
        head = STREAM + b'Transfer-Encoding: chunked\r\n\r\n'
        for cut in range(len(head)):
            self.answer = head[:cut]
            self.served.clear()
            self._start(stream=True, via=self.via)
            await wait_for(lambda: self.served)
            self.writers[-1].close()
            with self.subTest(f'{cut} bytes'):
                self.assertTrue(await
                                wait_for(lambda: not self.sender.in_flight))
                self.assertEqual(self.events.pop().failure, Failure.BROKEN)
                self.assertEqual(self.events, [])

    async def test_half_open_tunnel_is_reset_in_time(self) -> None:
        await self._send()
        connection = self.pool.take(self.address, self.via)
        assert connection is not None and connection.transport is not None
        with mock.patch.object(tunnels, 'HALF_OPEN_TIMEOUT_S', 0.1):
            connection.transport.write_eof()
            self.assertTrue(await wait_for(lambda: self.closed_at, 0.3))
            self.assertTrue(await wait_for(lambda: not self.peer.tunnels, 0.5))

    async def test_slow_reader_holds_bounded_memory(self) -> None:
        self.answer = bytes(1 << 20)
        reader, writer = await asyncio.open_connection(*self.via.split(':'),
                                                       limit=1_024)
        writer.write(b'CONNECT %s HTTP/1.1\r\nHost: e\r\n\r\nearly' %
                     self.address.encode())
        await wait_for(lambda: self.served)
        for _ in range(64):
            self.writers[0].write(bytes(1 << 20))
        await asyncio.sleep(0.5)
        end = next(iter(self.peer.tunnels.values()))
        assert end.transport is not None
        held = end.transport.get_write_buffer_size()
        self.assertLess(held, 512 << 10)
        # The system holds up to 4 MB that the endpoint has sent.
        self.assertGreater(self.writers[0].transport.get_write_buffer_size(),
                           57 << 20)
        self.assertEqual(self.served, [b'early'])
        received = len(await reader.readuntil(b'\r\n\r\n'))
        while received < 65 << 20:
            received += len(await reader.read(1 << 20))
        writer.transport.abort()


class FailureTest(TunnelCase):
    """Tests of tunnels that are not opened: the request does not run."""

    async def _assert_not_run(self, failure: Failure, detail: str,
                              **overrides: Any) -> None:
        started_at = asyncio.get_running_loop().time()
        event = await self._send(**overrides)
        self.assertLess(asyncio.get_running_loop().time() - started_at, 1.0)
        self.assertEqual(event.failure, failure, event)
        self.assertIn(detail, event.detail)
        self.assertEqual(self.served, [])

    async def test_unreached_endpoint_is_not_connected(self) -> None:
        for address, detail in ((CLOSED, 'ConnectionRefused'),
                                (self.silent_address, '502'), ('nowhere',
                                                               '502')):
            with self.subTest(address):
                await self._assert_not_run(Failure.NOT_CONNECTED,
                                           detail,
                                           address=address)
        self.assertEqual([
            each.is_reached
            for each in self.peer_events
            if isinstance(each, ev.TunnelEnded)
        ], [False] * 3)

    async def test_refusing_peer_is_a_failed_relay(self) -> None:
        for refusal in ((403, 'unknown origin'), (503, 'stopping')):
            self.refusal = refusal
            await self._assert_not_run(Failure.RELAY_FAILED, refusal[1])

    async def test_unreached_peer_is_a_failed_relay(self) -> None:
        for via in (CLOSED, self.silent_address):
            await self._assert_not_run(Failure.RELAY_FAILED, '', via=via)

    async def test_peer_that_does_not_speak_the_protocol_is_a_failed_relay(
            self) -> None:
        cases = {
            'garbage': b'\0hello\r\n\r\n',
            'endless head': b'HTTP/1.1 200 OK\r\nX-A: ' + b'a' * 9_999,
            'informational': b'HTTP/1.1 100 Continue\r\n\r\n',
            'nothing': b'',
            'end': None,
        }
        for name, data in cases.items():

            async def serve(reader: asyncio.StreamReader,
                            writer: asyncio.StreamWriter,
                            data: bytes | None = data) -> None:
                await reader.read(65_536)
                if data is None:
                    writer.close()
                    return
                writer.write(data)
                await reader.read()
                writer.close()

            with self.subTest(name):
                peer = await asyncio.start_server(serve, PEER, 0)
                await self._assert_not_run(Failure.RELAY_FAILED,
                                           '',
                                           via=self._address_of(peer))
                peer.close()

    async def test_bytes_before_the_request_are_not_its_answer(self) -> None:

        async def serve(reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter) -> None:
            await reader.read(65_536)
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n' + self.answer)
            await reader.read()
            writer.close()

        peer = await asyncio.start_server(serve, PEER, 0)
        await self._assert_not_run(Failure.NOT_CONNECTED,
                                   'closed',
                                   via=self._address_of(peer))
        peer.close()

    async def test_peer_refuses_malformed_requests(self) -> None:
        head = b'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n'
        cases = {
            'other method': (b'GET / HTTP/1.1\r\nHost: h\r\n\r\n', b'405'),
            'body': (head + b'Content-Length: 2\r\n\r\nab', b'400'),
            'no host': (b'CONNECT h:1 HTTP/1.1\r\n\r\n', b'400'),
            'garbage': (b'\0hello\r\n\r\n', b'400'),
            'long head': (head + b'X-A: ' + b'a' * 9_999, b'431'),
            'incomplete head': (head, b'408'),
        }
        for name, (data, status) in cases.items():
            with self.subTest(name):
                reader, writer = await asyncio.open_connection(
                    *self.via.split(':'))
                writer.write(data)
                answer = await asyncio.wait_for(reader.read(), 2.0)
                self.assertEqual(answer[:13], b'HTTP/1.1 %s ' % status)
                writer.close()
        self.assertEqual(self.peer_events, [])

    async def test_connections_that_open_no_tunnel_are_bounded(self) -> None:
        with mock.patch.object(tunnels, 'MAX_OPENING', 3):
            pairs = [
                await asyncio.open_connection(*self.via.split(':'))
                for _ in range(5)
            ]
            await asyncio.sleep(0.05)
            self.assertEqual(len(self.peer.opening), 3)
            self.assertEqual(await self._failure(), Failure.RELAY_FAILED)
            for _, writer in pairs:
                writer.transport.abort()
            await wait_for(lambda: not self.peer.opening)
            self.assertIsInstance(await self._send(), ev.AnswerArrived)

    async def _failure(self) -> Failure:
        failure: Failure = (await self._send()).failure
        return failure

    async def test_cancel_in_each_phase_posts_nothing(self) -> None:
        hung = await asyncio.start_server(
            lambda reader, writer: self.writers.append(writer), PEER, 0)
        phases: dict[str, dict[str, Any]] = {
            'connecting to the peer': {
                'via': self.silent_address
            },
            'waiting for the peer': {
                'via': self._address_of(hung)
            },
            'connecting to the endpoint': {
                'address': self.silent_address
            },
            'waiting for the answer': {},
        }
        self.answer = b''
        for name, overrides in phases.items():
            for delay_s in (0.0, 0.001, 0.05):
                with self.subTest(name, delay_s=delay_s):
                    attempt = self._start(**overrides)
                    await asyncio.sleep(delay_s)
                    self.sender.cancel(fx.CancelSend(attempt))
                    await asyncio.sleep(0.02)
        self.assertTrue(await wait_for(lambda: not self.tasks.running))
        hung.close()
        self.assertEqual(self.events, [])

    async def test_probe_reports_whether_the_direct_path_works(self) -> None:
        for address in (self.address, CLOSED, self.silent_address):
            self.sender.probe(fx.ProbePath(EndpointId('e'), address))
            await wait_for(lambda: not self.tasks.running)
        self.assertEqual([each.reached for each in self.events],
                         [True, False, False])
        self.assertEqual(self.pool.idle, {})
