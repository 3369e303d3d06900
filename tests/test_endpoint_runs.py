"""Tests that a stream is sent to the run of an endpoint that was chosen."""

import asyncio
import contextlib
import re
import sys
import unittest
from collections.abc import Callable
from typing import Any

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import runs
from plantainridge.gateway.events import Failure, View
from plantainridge.gateway.http_calls import MAX_REPORT_BYTES
from plantainridge.gateway.http_client import Connection, Pool
from plantainridge.gateway.runs import RunMatch, StatedRun
from plantainridge.gateway.sender import EndpointSender
from plantainridge.ids import AttemptId, EndpointId, RequestId, TeamId
from plantainridge.loop.tasks import Tasks
from plantainridge.platform.requests import PlatformWire
from plantainridge.reports import log_fault
from tests.build_fleet import begin_stream, resume_stream
from tests.gateway_scene import (REMOTE_DC, GatewayScene, endpoint, head,
                                 request)
from tests.stream_server import StreamServer

STARTED_MS = 5
REPORT = b'{"born": 5, "models": []}'
DEADLINE = re.compile(rb'x-deadline-milliseconds: (\d+)', re.IGNORECASE)
EVENT = b'id: 1\ndata: a\n\n'
STREAM_HEADERS = (b'Content-Type: text/event-stream\r\n'
                  b'X-Attempt-Id: caller-r1\r\nX-Response-Seal: s\r\n')
# Program of an endpoint that writes a stream without length or end.
ENDPOINT_PROGRAM = """
import asyncio

async def serve(reader, writer):
    while data := await reader.read(65536):
        if data.startswith(b'GET'):
            writer.write(b'HTTP/1.1 200 OK\\r\\nContent-Length: 11\\r\\n\\r\\n'
                         b'{"born": 5}')
            continue
        writer.write(b'HTTP/1.1 200 OK\\r\\nX-Attempt-Id: caller-r1\\r\\n'
                     b'X-Response-Seal: s\\r\\n'
                     b'Content-Type: text/event-stream\\r\\n\\r\\n'
                     b'id: 1\\ndata: a\\n\\n')

async def main():
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()

asyncio.run(main())
"""


def answer(body: bytes,
           fields: bytes = b'',
           status: bytes = b'200 OK') -> bytes:
    """Return an HTTP answer."""
    return (b'HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b' %
            (status, fields, len(body), body))


async def _read(reader: asyncio.StreamReader) -> bytes:
    """Return a request; b'' once the connection has ended."""
    with contextlib.suppress(ConnectionResetError):
        return await reader.read(65_536)
    return b''


def _kill(process: asyncio.subprocess.Process) -> None:
    with contextlib.suppress(ProcessLookupError):
        process.kill()


class Worker:
    """An endpoint that states its run and answers with a stream of one event.

    Attributes:
        report: Its answer to the question which run it is; b'' ends the
            connection.
        closed_reports: Reports until it answers with `REPORT`; 0 for never.
        silent_s: Time until it reports, in s.
        unframed: Whether its stream ends with its connection.
        on_end: Called before it ends such a stream.
        deadlines_ms: Time that each request leaves it, in ms.
        targets: Targets of the requests that it received, by connection.
    """

    def __init__(self) -> None:
        self.report = answer(REPORT)
        self.closed_reports = 0
        self.silent_s = 0.0
        self.deadlines_ms: list[int] = []
        self.unframed = False
        self.on_end: Callable[[], None] = lambda: None
        self.targets: list[list[str]] = []
        self.server = StreamServer(self._serve)

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        targets: list[str] = []
        self.targets.append(targets)
        while data := await _read(reader):
            targets.append(data.split(b' ')[1].decode())
            deadline = DEADLINE.search(data)
            if deadline is not None:
                self.deadlines_ms.append(int(deadline.group(1)))
            if targets[-1] != '/report' and self.unframed:
                writer.write(b'HTTP/1.1 200 OK\r\n' + STREAM_HEADERS + b'\r\n' +
                             EVENT)
                await writer.drain()
                self.on_end()
                return
            if targets[-1] != '/report':
                writer.write(answer(EVENT, STREAM_HEADERS))
            elif self.report:
                await asyncio.sleep(self.silent_s)
                writer.write(self.report)
                self.closed_reports -= 1
                if not self.closed_reports:
                    self.report = answer(REPORT)
            else:
                return


class _PatientPool(Pool):
    """Pool that waits for connections on a busy machine."""

    async def connect(self,
                      address: str,
                      timeout_s: float = 10.0,
                      via: str = '') -> Connection:
        return await super().connect(address, timeout_s, via)


class _SenderCase(unittest.IsolatedAsyncioTestCase):
    """A sender with an endpoint."""

    async def asyncSetUp(self) -> None:
        self.worker = Worker()
        self.address = await self.worker.server.start()
        self.addAsyncCleanup(self.worker.server.stop)
        self.events: list[Any] = []
        self.pool = _PatientPool()
        self.addCleanup(self.pool.close_idle, self.address)
        self.sender = EndpointSender(PlatformWire(), self.pool,
                                     Tasks(log_fault), self.events.append)

    async def _send(self,
                    started_ms: int = STARTED_MS,
                    confirms_run: bool = True,
                    remaining_s: float = 5.0) -> list[Any]:
        """Send a stream; return the events until its last one."""
        self.events.clear()
        attempt = AttemptId('r1.1')
        self.sender.send(
            fx.Send(attempt,
                    request('/report/x'),
                    EndpointId('e'),
                    self.address,
                    stream=True,
                    new_connection=False,
                    remaining_s=remaining_s,
                    team=TeamId('team'),
                    allows_stale=True,
                    started_ms=started_ms,
                    confirms_run=confirms_run))
        async with asyncio.timeout(10.0):
            while attempt in self.sender.in_flight:
                await asyncio.sleep(0.005)
        return list(self.events)


class ConfirmedRunTest(_SenderCase):
    """Tests of sends that only one run of an endpoint may get."""

    def _assert_not_sent(self, events: list[Any], failure: Failure) -> None:
        self.assertEqual([each.failure for each in events], [failure])
        sent = {target for each in self.worker.targets for target in each}
        self.assertLessEqual(sent, {'/report'})

    async def test_asks_each_connection_once(self) -> None:
        for _ in range(3):
            events = await self._send()
            self.assertTrue(events[0].is_run_known)
            self.assertIsInstance(events[-1], ev.StreamEnded)
        self.assertEqual(self.worker.targets,
                         [['/report', '/report/x', '/report/x', '/report/x']])

    async def test_sends_nothing_to_another_run(self) -> None:
        events = await self._send(started_ms=4)
        self._assert_not_sent(events, Failure.OTHER_RUN)
        self.assertEqual(events[0].started_ms, STARTED_MS)

    async def test_asks_a_connection_that_other_requests_opened(self) -> None:
        await self._send(started_ms=0)
        await self._send()
        self.assertEqual(self.worker.targets,
                         [['/report/x', '/report', '/report/x']])

    async def test_connection_of_an_earlier_run_is_not_used(self) -> None:
        await self._send()
        self.worker.report = answer(b'{"born": 6}')
        events = await self._send(started_ms=6)
        self.assertTrue(events[0].is_run_known)
        self.assertEqual(len(self.worker.targets), 2)

    async def test_sends_where_no_run_is_stated(self) -> None:
        for report in (answer(b'{}'), answer(b'', status=b'404 Not Found')):
            self.worker.report = report
            self.pool.close_idle(self.address)
            events = await self._send()
            self.assertFalse(events[0].is_run_known)
            self.assertIsInstance(events[-1], ev.StreamEnded)

    async def test_sends_nothing_without_an_answer(self) -> None:
        late = b'X-Attempt-Id: other\r\n'
        reports = {
            'end of the connection':
                b'',
            'an error':
                answer(b'', status=b'503 Busy'),
            'a late answer to a request':
                answer(REPORT, late),
            'no JSON':
                answer(b'{"born"'),
            'another type':
                answer(b'{"born": "5"}'),
            'no HTTP':
                b'\0' * 100_000,
            'a rejection':
                answer(b'', status=b'429 Busy'),
            'a report that is too long':
                answer(b' ' * MAX_REPORT_BYTES + REPORT),
        }
        for name, report in reports.items():
            with self.subTest(name):
                self.worker.report = report
                self.worker.targets.clear()
                self._assert_not_sent(await self._send(), Failure.UNCONFIRMED)
                self.assertIsNone(self.pool.take(self.address))

    async def test_report_takes_time_of_the_request(self) -> None:
        self.worker.silent_s = 0.3
        await self._send()
        self.assertLessEqual(self.worker.deadlines_ms[0], 4_700)

    async def test_report_that_never_comes_ends_with_the_request(self) -> None:
        self.worker.report = b'HTTP/1.1 200 OK\r\n'
        events = await self._send(remaining_s=0.2)
        self._assert_not_sent(events, Failure.UNCONFIRMED)

    async def test_confirmed_connection_is_pooled_once(self) -> None:
        await self._send()
        self.assertEqual(len(self.pool.idle['', self.address]), 1)

    async def test_connection_that_closes_after_its_report(self) -> None:
        self.worker.report = answer(REPORT, b'Connection: close\r\n')
        self.worker.closed_reports = 1
        events = await self._send()
        self.assertTrue(events[0].is_run_known)
        self.assertEqual(self.worker.targets,
                         [['/report'], ['/report', '/report/x']])

    async def test_endpoint_that_closes_after_each_report(self) -> None:
        self.worker.report = answer(REPORT, b'Connection: close\r\n')
        events = await self._send()
        self.assertFalse(events[0].is_run_known)
        self.assertIsInstance(events[-1], ev.StreamEnded)
        self.assertEqual(self.worker.targets,
                         [['/report'], ['/report'], ['/report/x']])

    async def test_connection_that_the_server_dropped_is_replaced(self) -> None:
        await self._send(started_ms=0)
        idle = self.pool.idle['', self.address][0]
        idle.idle_since -= 2.0
        idle.max_idle_s = 5.0
        self.worker.report = b''

        async def recover() -> None:
            while len(self.worker.targets[0]) < 2:
                await asyncio.sleep(0.001)
            self.worker.report = answer(REPORT)

        recovery = asyncio.ensure_future(recover())
        events = await self._send()
        await recovery
        self.assertIsInstance(events[-1], ev.StreamEnded)
        self.assertEqual(self.worker.targets[1], ['/report', '/report/x'])

    async def test_cancelled_before_its_run_is_known(self) -> None:
        self.worker.report = b'HTTP/1.1 200 OK\r\n'
        sending = asyncio.ensure_future(self._send())
        while not (self.worker.targets and self.worker.targets[0]):
            await asyncio.sleep(0.001)
        self.sender.cancel(fx.CancelSend(AttemptId('r1.1')))
        self.assertEqual(await sending, [])


class RunMatchTest(unittest.TestCase):
    """Tests of the decisions on runs."""

    def test_run_of_a_connection(self) -> None:
        cases = {
            (None, 5): RunMatch.UNKNOWN,
            (0, 5): RunMatch.NOT_STATED,
            (5, 5): RunMatch.SAME,
            (4, 5): RunMatch.OTHER,
            (6, 5): RunMatch.OTHER,
        }
        self.assertEqual({each: runs.compare(*each) for each in cases}, cases)

    def test_end_of_a_run(self) -> None:
        same, other = StatedRun(True, 5), StatedRun(True, 6)
        not_stated, invalid = StatedRun(True, 0), StatedRun(False)
        may_continue = {
            (same, True): True,
            (other, True): False,
            (not_stated, True): False,
            (invalid, True): False,
            (None, True): False,
            (same, False): True,
            (other, False): True,
            (not_stated, False): True,
            (invalid, False): True,
            (None, False): False,
        }
        self.assertEqual(
            {
                (answer, is_known): runs.may_continue(answer, 5, is_known)
                for answer, is_known in may_continue
            }, may_continue)


class UnframedStreamEndTest(_SenderCase):
    """Tests of streams that end with their connection.

    Each guards against a stream that looks complete since its engine crashed.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.worker.unframed = True

    def _fall_silent(self) -> None:
        self.worker.report = b'HTTP/1.1 200 OK\r\n'

    async def _assert_ends(self, kind: type, **overrides: Any) -> None:
        events = await self._send(**overrides)
        self.assertEqual([type(each) for each in events],
                         [ev.StreamStarted, ev.StreamEventsReceived, kind],
                         events)
        if kind is ev.SendFailed:
            self.assertIs(events[-1].failure, Failure.BROKEN)

    async def test_is_complete_while_its_run_continues(self) -> None:
        for confirms_run in (True, False):
            await self._assert_ends(ev.StreamEnded, confirms_run=confirms_run)

    async def test_is_broken_if_another_run_follows(self) -> None:

        def restart() -> None:
            self.worker.report = answer(b'{"born": 6}')

        self.worker.on_end = restart
        await self._assert_ends(ev.SendFailed)

    async def test_may_be_of_the_run_that_follows_an_outdated_entry(
            self) -> None:
        # A stream that may not be resumed is sent without asking.
        await self._assert_ends(ev.StreamEnded,
                                started_ms=4,
                                confirms_run=False)

    async def test_is_broken_if_nothing_answers(self) -> None:
        self.worker.on_end = self._fall_silent
        await self._assert_ends(ev.SendFailed)

    async def test_is_complete_if_its_engine_is_silent_for_a_second(
            self) -> None:
        self.worker.silent_s = 1.0
        await self._assert_ends(ev.StreamEnded, confirms_run=False)

    async def test_is_complete_where_no_run_is_stated(self) -> None:
        self.worker.report = answer(b'', status=b'404 Not Found')
        await self._assert_ends(ev.StreamEnded)
        self.worker.report = b''
        await self._assert_ends(ev.StreamEnded, started_ms=0)

    async def test_is_broken_if_its_process_is_killed(self) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            ENDPOINT_PROGRAM,
            stdout=asyncio.subprocess.PIPE)
        self.addAsyncCleanup(process.wait)
        self.addCleanup(_kill, process)
        assert process.stdout is not None
        port = int(await process.stdout.readline())
        self.address = f'127.0.0.1:{port}'
        sending = asyncio.ensure_future(self._send())
        async with asyncio.timeout(10.0):
            while len(self.events) < 2:
                await asyncio.sleep(0.005)
        _kill(process)
        events = await sending
        self.assertIsInstance(events[-1], ev.SendFailed)

    async def test_cancelled_before_its_end_is_known(self) -> None:
        self.worker.on_end = self._fall_silent
        sending = asyncio.ensure_future(self._send())
        async with asyncio.timeout(10.0):
            while self.worker.targets[-1:] != [['/report']]:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        self.sender.cancel(fx.CancelSend(AttemptId('r1.1')))
        events = await sending
        self.assertEqual([type(each) for each in events],
                         [ev.StreamStarted, ev.StreamEventsReceived])


class OtherRunTest(unittest.TestCase):
    """Tests of an endpoint whose present run has no entry that was read.

    They guard against streams that continue at another software version, and
    against requests that are refused although an endpoint can serve them.
    """

    OLD = endpoint('old', build='v1', started_ms=1)
    OLD_FAR = endpoint('old-far', dc=REMOTE_DC, build='v1', started_ms=1)
    RESTARTED = endpoint('old', build='v2', started_ms=2)

    def _find_restarted(self, scene: GatewayScene) -> fx.Send:
        """Let the last send find another run; return it."""
        send = scene.last(fx.Send)
        scene.post(ev.SendFailed(send.attempt, Failure.OTHER_RUN, started_ms=2))
        return send

    def test_sends_name_the_run_that_must_answer(self) -> None:
        scene = GatewayScene(self.OLD)
        sends = [
            scene.post_request(target, name)
            for name, target in (('r1', '/report/x'), ('r2', '/tag/x'))
        ]
        self.assertEqual(
            [(each.started_ms, each.confirms_run) for each in sends],
            [(1, True), (1, False)])

    def test_stream_continues_at_another_endpoint_of_its_build(self) -> None:
        scene = GatewayScene(self.OLD_FAR)
        first = begin_stream(scene)
        scene.read(View.REGISTRY, self.OLD)
        scene.post(ev.SendFailed(first.attempt, Failure.BROKEN))
        scene.read(View.REGISTRY, endpoint('third', dc=REMOTE_DC, build='v1'))
        self.assertEqual(self._find_restarted(scene).endpoint, 'old')
        self.assertEqual(scene.last(fx.Send).endpoint, 'third')

    def test_send_that_found_another_run_is_no_retry(self) -> None:
        scene = GatewayScene(self.OLD, self.OLD_FAR)
        scene.post_request('/report/x')
        self._find_restarted(scene)
        call, = scene.state.calls.calls.values()
        self.assertEqual((call.executions, call.deliveries), (1, 1))

    def test_new_streams_begin_elsewhere_until_its_entry_is_read(self) -> None:
        scene = GatewayScene(self.OLD, self.OLD_FAR)
        scene.post_request('/report/x')
        self._find_restarted(scene)
        self.assertEqual(
            scene.post_request('/report/x', 'r2').endpoint, 'old-far')
        self.assertEqual(scene.post_request('/tag/x', 'r3').endpoint, 'old')
        scene.read(View.REGISTRY, self.RESTARTED)
        send = scene.post_request('/report/x', 'r4')
        self.assertEqual((send.endpoint, send.started_ms), ('old', 2))

    def test_is_asked_again_where_no_entry_follows(self) -> None:
        scene = GatewayScene(self.OLD)
        scene.post_request('/report/x')
        self._find_restarted(scene)
        scene.advance(1.5)
        self.assertEqual(len(scene.all(fx.Send)), 2)

    def test_stream_is_refused_once_no_endpoint_has_its_build(self) -> None:
        scene = GatewayScene(self.OLD)
        begin_stream(scene)
        scene.post(ev.CallerLeft(RequestId('r1')))
        resume_stream(scene)
        self._find_restarted(scene)
        self.assertFalse(scene.all(fx.Refuse))
        scene.read(View.REGISTRY, self.RESTARTED)
        scene.tick()
        self.assertEqual(scene.last(fx.Refuse).status, 503)

    def test_confirmed_run_outlasts_its_entry(self) -> None:
        scene = GatewayScene(self.OLD)
        send = scene.post_request('/report/x')
        scene.post(ev.StreamStarted(send.attempt, head(), is_run_known=True))
        scene.read(View.REGISTRY, self.RESTARTED, self.OLD_FAR)
        scene.advance(1.2)
        scene.post(ev.StreamEventsReceived(send.attempt, b'one', '1', '1'))
        self.assertEqual(scene.all(fx.Send), [send])
        scene.read(View.REGISTRY, endpoint('new', build='v2', started_ms=1))
        scene.post(ev.SendFailed(send.attempt, Failure.BROKEN))
        self.assertEqual(scene.last(fx.Send).endpoint, 'old-far')

    def test_unconfirmed_send_has_not_run(self) -> None:
        scene = GatewayScene(self.OLD, self.OLD_FAR)
        send = scene.post_request('/report/x')
        scene.post(ev.SendFailed(send.attempt, Failure.UNCONFIRMED))
        self.assertEqual(scene.last(fx.Send).endpoint, 'old-far')
        call, = scene.state.calls.calls.values()
        self.assertEqual((call.executions, call.deliveries), (1, 1))

    def test_many_restarted_endpoints_do_not_use_up_the_sends(self) -> None:
        restarted = [
            endpoint(f'e{at}', build='v1', started_ms=1) for at in range(8)
        ]
        scene = GatewayScene(*restarted, self.OLD_FAR)
        scene.post_request('/report/x')
        for _ in restarted:
            self.assertNotEqual(scene.last(fx.Send).endpoint, 'old-far')
            self._find_restarted(scene)
        self.assertEqual(scene.last(fx.Send).endpoint, 'old-far')
        self.assertFalse(scene.all(fx.Refuse))

    def test_run_whose_entry_was_read_meanwhile_is_not_held_back(self) -> None:
        scene = GatewayScene(self.OLD)
        scene.post_request('/report/x')
        scene.read(View.REGISTRY, self.RESTARTED)
        self._find_restarted(scene)
        self.assertEqual(scene.last(fx.Send).started_ms, 2)

    def test_run_that_states_an_earlier_start_is_used(self) -> None:
        scene = GatewayScene(endpoint('old', build='v1', started_ms=9))
        scene.post_request('/report/x')
        self._find_restarted(scene)
        scene.read(View.REGISTRY, endpoint('old', build='v2', started_ms=1))
        self.assertEqual(len(scene.all(fx.Send)), 1)
        scene.read(View.REGISTRY, self.RESTARTED)
        scene.tick()
        self.assertEqual(scene.last(fx.Send).started_ms, 2)


if __name__ == '__main__':
    unittest.main()
