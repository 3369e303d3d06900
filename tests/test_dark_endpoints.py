"""Tests of sound endpoints that receive nothing for a while, then continue.

Only the endpoint or the request's own limits may end a send to them: the
system's retransmissions deliver it once the endpoint receives again.
"""

import asyncio
import contextlib
import ctypes
import errno
import socket
import struct
import unittest
from typing import Any, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import Failure
from plantainridge.gateway.http_client import Connection, Pool
from plantainridge.gateway.sender import EndpointSender
from plantainridge.gateway.tunnels import TunnelServer
from plantainridge.ids import AttemptId, EndpointId
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.platform.requests import PlatformWire
from plantainridge.reports import log_fault
from tests.gateway_scene import (ENGINES, LEDGER, GatewayScene, endpoint, head,
                                 request)

HOST: Final = '127.0.0.1'
# It names its attempt: on a kept connection, an answer that does not may be a
# second one to an earlier request.
ANSWER: Final = (b'HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n'
                 b'X-Attempt-Id: caller-r1\r\n'
                 b'Content-Length: 2\r\n\r\nok')
# Times for which a sound endpoint may be silent, in s.
SILENCES_S: Final = (1.3, 1.6, 1.9)
# Time left to the requests, in s: longer than the next retransmission takes.
REMAINING_S: Final = 6.0
# Longer than the buffers of both sides.
LONG_BODY: Final = b'x' * 4_000_000
SO_ATTACH_FILTER: Final = 26
SO_DETACH_FILTER: Final = 27
# Program of the socket filter that accepts no byte of any segment.
DROP_ALL: Final = struct.pack('HBBI', 6, 0, 0, 0)


def drop_segments(sock: socket.socket) -> None:
    """Drop all that arrives for a socket, unacknowledged, until detached."""
    program = ctypes.create_string_buffer(DROP_ALL)
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                    struct.pack('HL', 1, ctypes.addressof(program)))


def accept_segments(sock: socket.socket) -> None:
    """End the effect of `drop_segments`."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


@attrs.define
class DarkEndpoint:
    """An endpoint that answers each request, and may be dark.

    Attributes:
        address: IP number and port.
        received: Bytes received.
        requests: Requests received completely.
        sockets: Connections accepted.
        reads: Set while the process reads from its connections.
        works: Whether requests are at work until their connection ends.
        ended: Requests whose connection ended while they were at work.
    """

    address: str = ''
    received: int = 0
    requests: int = 0
    sockets: list[socket.socket] = attrs.field(factory=list)
    reads: asyncio.Event = attrs.field(factory=asyncio.Event)
    works: bool = False
    ended: int = 0

    async def serve(self, reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        # The transport's own wrapper does not allow socket options by number.
        sock = socket.socket(fileno=writer.get_extra_info('socket').fileno())
        self.sockets.append(sock)
        try:
            while True:
                await self.reads.wait()
                head_ = await reader.readuntil(b'\r\n\r\n')
                self.received += len(head_)
                for line in head_.lower().split(b'\r\n'):
                    if line.startswith(b'content-length:'):
                        await reader.readexactly(int(line[15:]))
                self.requests += 1
                if self.works:
                    await self._work(reader)
                    return
                writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            self.sockets.remove(sock)
            sock.detach()
            writer.close()

    async def _work(self, reader: asyncio.StreamReader) -> None:
        """Work on a request until its connection ends."""
        with contextlib.suppress(ConnectionError):
            await reader.read(1)
        self.ended += 1

    async def be_dark(self, seconds: float) -> None:
        """Receive nothing on the open connections for a time in s."""
        sockets = tuple(self.sockets)
        for each in sockets:
            drop_segments(each)
        await asyncio.sleep(seconds)
        for each in sockets:
            accept_segments(each)


class _DarkCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that send over real sockets.

    Attributes:
        via: Address of a peer that opens tunnels, or '' for direct sends.
    """

    via = ''

    async def asyncSetUp(self) -> None:
        self.events: list[Event] = []
        self.pool = Pool()
        self.sender = EndpointSender(PlatformWire(), self.pool,
                                     Tasks(log_fault), self.events.append)

    async def listen(self) -> DarkEndpoint:
        """Start an endpoint that reads."""
        dark = DarkEndpoint()
        dark.reads.set()
        server = await asyncio.start_server(dark.serve, HOST, 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        dark.address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        return dark

    def send(self, dark: DarkEndpoint, name: str, **overrides: Any) -> None:
        """Send a request, on an idle connection if there is one."""
        self.sender.send(
            fx.Send(AttemptId(name),
                    request('/submit/x', **overrides),
                    EndpointId('e'),
                    dark.address,
                    False,
                    False,
                    REMAINING_S,
                    None,
                    via=self.via))

    async def open_connection(self, dark: DarkEndpoint) -> None:
        """Have one request answered; its connection stays in the pool."""
        self.send(dark, 'first')
        while self.sender.in_flight:
            await asyncio.sleep(0.01)
        self.assertEqual(dark.requests, 1, self.events)
        self.events.clear()


class DarkEndpointTest(_DarkCase):
    """A request is sent while its endpoint receives nothing."""

    async def _answers_after(self, *silences_s: float) -> list[str]:
        """Return how sends end whose endpoints are dark for these times."""
        endpoints = [await self.listen() for _ in silences_s]
        for dark in endpoints:
            await self.open_connection(dark)
        darkness = asyncio.gather(
            *(dark.be_dark(seconds)
              for dark, seconds in zip(endpoints, silences_s)))
        await asyncio.sleep(0.01)
        for dark, seconds in zip(endpoints, silences_s):
            self.send(dark, f'dark for {seconds} s')
        await darkness
        while self.sender.in_flight:
            await asyncio.sleep(0.1)
        self.assertEqual([dark.requests for dark in endpoints],
                         [2] * len(endpoints), self.events)
        return [type(each).__name__ for each in self.events]

    async def test_request_to_a_sound_endpoint_is_answered(self) -> None:
        self.assertEqual(await self._answers_after(*SILENCES_S),
                         ['AnswerArrived'] * len(SILENCES_S), self.events)

    async def test_long_request_is_answered_by_one_that_reads_late(
            self) -> None:
        dark = await self.listen()
        dark.reads.clear()
        self.send(dark, 'long', body=LONG_BODY)
        await asyncio.sleep(2.8)
        dark.reads.set()
        while self.sender.in_flight:
            await asyncio.sleep(0.1)
        self.assertEqual([type(each) for each in self.events],
                         [ev.AnswerArrived], self.events)

    async def test_cancelled_request_is_not_delivered_later(self) -> None:
        dark = await self.listen()
        await self.open_connection(dark)
        darkness = asyncio.create_task(dark.be_dark(0.5))
        await asyncio.sleep(0.01)
        self.send(dark, 'cancelled')
        await asyncio.sleep(0.3)
        self.sender.cancel(fx.CancelSend(AttemptId('cancelled')))
        await darkness
        await asyncio.sleep(0.6)
        self.assertEqual(dark.requests, 1)

    async def test_failed_request_is_not_delivered_later(self) -> None:
        dark = await self.listen()
        await self.open_connection(dark)
        darkness = asyncio.create_task(dark.be_dark(0.5))
        await asyncio.sleep(0.01)
        self.send(dark, 'failed')
        await asyncio.sleep(0.3)
        connection = self.sender.in_flight[AttemptId('failed')]
        assert isinstance(connection, Connection)
        connection.fail(Failure.SILENT)
        await darkness
        await asyncio.sleep(0.6)
        self.assertEqual(dark.requests, 1)

    async def test_idle_connections_have_no_limit_of_the_system(self) -> None:
        dark = await self.listen()
        await self.open_connection(dark)
        connection = self.pool.take(dark.address, self.via)
        assert connection is not None and connection.transport is not None
        self.addCleanup(connection.abort)
        sock: socket.socket = connection.transport.get_extra_info('socket')
        self.assertEqual(
            (sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
             sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)), (0, 0))

    async def test_request_at_work_ends_if_it_is_cancelled_in_the_dark(
            self) -> None:
        # A lost reset would leave it at work beside the one that took over.
        dark = await self.listen()
        dark.works = True
        self.send(dark, 'at work')
        await asyncio.sleep(0.1)
        darkness = asyncio.create_task(dark.be_dark(0.5))
        await asyncio.sleep(0.2)
        self.sender.cancel(fx.CancelSend(AttemptId('at work')))
        await darkness
        self.assertEqual(dark.ended, 0)
        await asyncio.sleep(1.0)
        self.assertEqual((dark.requests, dark.ended), (1, 1))


class TunnelledDarkEndpointTest(DarkEndpointTest):
    """The same requests are sent through a tunnel of a peer."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()

        def open_tunnel(event: Event) -> None:
            if isinstance(event, ev.TunnelRequested):
                peer.open_tunnel(fx.OpenTunnel(event.tunnel, event.address))

        peer = TunnelServer(Tasks(log_fault), open_tunnel)
        self.via = await peer.start(HOST, 0)
        self.addCleanup(peer.stop_listening)


class AnsweringEndpointTest(_DarkCase):
    """An endpoint answers before it has received a request completely."""

    async def test_cancel_does_not_reset_its_connection(self) -> None:
        ends: list[type[Exception]] = []
        reads = asyncio.Event()

        async def serve(reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter) -> None:
            writer.write(ANSWER[:-2])
            await reads.wait()
            try:
                await reader.readexactly(2 * len(LONG_BODY))
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                ends.append(type(error))
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.send(DarkEndpoint(f'{HOST}:{port}'), 'long', body=LONG_BODY)
        await asyncio.sleep(0.1)
        self.sender.cancel(fx.CancelSend(AttemptId('long')))
        reads.set()
        await asyncio.sleep(0.5)
        self.assertEqual(ends, [asyncio.IncompleteReadError])


class SystemTimeoutTest(_DarkCase):
    """This system gives up a connection; its endpoint did not end it."""

    async def _lose(self,
                    scene: GatewayScene,
                    send: fx.Send,
                    error: int = errno.ETIMEDOUT) -> None:
        """Post what the sender reports when the system gives up a send."""
        dark = await self.listen()
        dark.reads.clear()
        self.sender.send(attrs.evolve(send, address=dark.address))
        await asyncio.sleep(0.05)
        connection = self.sender.in_flight[send.attempt]
        assert isinstance(connection, Connection)
        connection.connection_lost(OSError(error, 'lost'))
        scene.post(self.events.pop())

    async def test_no_crash_is_attributed(self) -> None:
        scene = GatewayScene(endpoint('a'))
        for error in (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH):
            send = scene.post_request('/report/x', errno.errorcode[error])
            await self._lose(scene, send, error)
        self.assertEqual(scene.state.suspects.crashes, [])
        self.assertEqual(scene.state.suspects.broken, [])

    async def test_endpoint_is_not_in_a_cooldown(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER))
        for name in ('r1', 'r2'):
            await self._lose(scene, scene.post_request('/submit/x', name))
        view = scene.state.endpoints[EndpointId('a')]
        self.assertLess(view.cooldown_until, scene.now)
        self.assertIsInstance(scene.post_request('/submit/x', 'r3'), fx.Send)

    def _begin_stream(self, scene: GatewayScene, name: str = 'r1') -> fx.Send:
        send: fx.Send = scene.post_request('/report/x', name)
        scene.post(ev.StreamStarted(send.attempt, head()))
        scene.post(ev.StreamEventsReceived(send.attempt, b'1', '1', '1'))
        return send

    async def test_stream_returns_to_its_only_endpoint(self) -> None:
        scene = GatewayScene(endpoint('a'))
        send = self._begin_stream(scene)
        await self._lose(scene, send)
        resumed = scene.last(fx.Send)
        self.assertEqual((resumed.attempt, resumed.endpoint),
                         (AttemptId('r1.2'), EndpointId('a')))
        self.assertEqual(resumed.last_event_id, '1')

    async def test_stream_is_not_cut_when_the_budget_of_60_vms_is_used_up(
            self) -> None:
        scene = GatewayScene(endpoint('a'), endpoint('b'))
        scene.state.retries.vm_count = 60
        send = self._begin_stream(scene)
        scene.state.retries.record_retry(ENGINES, scene.now)
        await self._lose(scene, send)
        self.assertEqual(scene.all(fx.AbortReply), [])
        self.assertEqual(len(scene.all(fx.Send)), 1)
        for _ in range(20):
            scene.state.retries.record_request(ENGINES, scene.now)
        scene.advance(0.3)
        self.assertEqual(scene.last(fx.Send).attempt, AttemptId('r1.2'))

    async def test_request_that_runs_once_is_not_sent_again(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER), endpoint('b', LEDGER))
        await self._lose(scene, scene.post_request('/submit/x'))
        self.assertEqual(len(scene.all(fx.Send)), 1)
        self.assertEqual(scene.last(fx.Refuse).status, 502)

    async def test_reset_by_the_endpoint_still_counts_as_a_crash(self) -> None:
        scene = GatewayScene(endpoint('a'))
        send = scene.post_request('/report/x')
        scene.post(ev.SendFailed(send.attempt, Failure.BROKEN, 'ECONNRESET'))
        self.assertEqual(len(scene.state.suspects.crashes), 1)


if __name__ == '__main__':
    unittest.main()
