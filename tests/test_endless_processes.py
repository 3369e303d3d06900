"""Tests of a gateway process whose endpoints send bytes without end."""

import asyncio
import contextlib
import math
import os
import pathlib
import socket
import sys
import tempfile
import unittest
from collections import Counter
from typing import Any, Final, cast

import attrs

from plantainridge.platform import names
from plantainridge.standins.platform_site import StandinStore
from tests.reserved_ports import reserve_port
from tests.stream_server import HOST, StreamServer

ROOT: Final = pathlib.Path(__file__).parents[1]
# Memory limit of a VM of the smallest deployment, in bytes.
MEMORY_LIMIT_BYTES: Final = 150 * 1_000 * 1_000
# Time within which an answer is on time, in s.
TARGET_LATENCY_S: Final = 0.5
START_TIMEOUT_S: Final = 30.0
HANG_TIMEOUT_S: Final = 60.0
POLL_S: Final = 0.05
# Time for which endless answers and sound ones are served at once, in s.
LOAD_S: Final = 3.0
# Pause of an endpoint after each block, in s.
BLOCK_INTERVAL_S: Final = 0.002
ENDPOINTS_PER_FORM: Final = 2
CALLERS_PER_FORM: Final = 4
SOUND_CALLERS: Final = 4
COMMENT_CALLERS: Final = 3
SLOW_CALLERS: Final = 250
# Buffers of a caller that does not read, in bytes.
SLOW_BUFFER_BYTES: Final = 4_096
SLOW_SEGMENT_BYTES: Final = 1_000
# Bytes of a stream for such a caller: less than the limit of one connection.
SLOW_BYTES: Final = 960_000

OK: Final = b'HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n'
STREAM: Final = OK + b'Content-Type: text/event-stream\r\n'
CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n'
BLOCK: Final = b'x' * 65_536
CHUNK: Final = b'10000\r\n' + BLOCK + b'\r\n'
EVENT: Final = b'id: 1\ndata: ' + b'x' * 1_000 + b'\n\n'
EVENTS: Final = EVENT * 60
COMMENTS: Final = b': x\n\n' * 10_000
# JSON whose decoded form takes many times the memory of its text.
NESTED_JSON: Final = b'{"a":[' + b'[],' * 2_500_000 + b'[]]}'


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data)


@attrs.frozen
class Form:
    """Answer that begins with `start`, and then repeats `block`."""

    start: bytes
    block: bytes
    is_stream: bool = False


FORMS: Final = {
    'no-http': Form(BLOCK, BLOCK),
    'control-characters': Form(b'', b'\x01' * 65_534 + b'\r\n'),
    'status-line': Form(b'HTTP/1.1 200 ', BLOCK),
    'head': Form(OK, b'X-A: ' + BLOCK[:1_000] + b'\r\n'),
    'informational': Form(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
    'unframed-body': Form(OK + b'\r\n', BLOCK),
    'long-body': Form(OK + b'Content-Length: 16777215\r\n\r\n', BLOCK),
    'chunks': Form(OK + CHUNKED, CHUNK),
    'chunk-size': Form(OK + CHUNKED, b'0' * 65_536),
    'chunk-extension': Form(OK + CHUNKED + b'1;', BLOCK),
    'trailer': Form(OK + CHUNKED + b'0\r\n', b'X-A: b\r\n' * 1_000),
    'error-body': Form(OK.replace(b'200 OK', b'500 Error') + CHUNKED, CHUNK),
    'event': Form(STREAM + CHUNKED, CHUNK, True),
    'events': Form(STREAM + CHUNKED, _chunk(EVENTS), True),
    'comments': Form(STREAM + CHUNKED, _chunk(COMMENTS), True),
    'unframed-events': Form(STREAM + b'\r\n', EVENTS, True),
}


class FaultyEndpoint:
    """An endpoint whose answers have no end.

    Attributes:
        form: Form of its answers to requests.
        report: Answer to a request for its report; None if it is as endless.
        max_bytes: Bytes after which an answer goes on no further.
        sent_bytes: Bytes sent so far.
        answers: Answers that have begun.
        streaming: Answers that go on.
        reports: Reports that were asked for.
    """

    def __init__(self, form: Form, report: bytes | None,
                 max_bytes: float) -> None:
        self.form = form
        self.report = report
        self.max_bytes = max_bytes
        self.sent_bytes = 0
        self.answers = 0
        self.streaming = 0
        self.reports = 0
        self.server = StreamServer(self._serve)

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b'\r\n\r\n'):
                if not head.startswith(b'GET /report '):
                    await self._send_endless(writer)
                    break
                self.reports += 1
                if self.report is None:
                    await self._send_endless(writer)
                    break
                writer.write(OK +
                             b'Content-Length: %d\r\n\r\n' % len(self.report) +
                             self.report)
                await writer.drain()
        writer.close()

    async def _send_endless(self, writer: asyncio.StreamWriter) -> None:
        self.answers += 1
        self.streaming += 1
        try:
            await self._send_blocks(writer)
        finally:
            self.streaming -= 1
        # Only the caller ends the connection.
        await asyncio.sleep(HANG_TIMEOUT_S)

    async def _send_blocks(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self.form.start)
        sent_bytes = 0
        while sent_bytes < self.max_bytes:
            writer.write(self.form.block)
            await writer.drain()
            sent_bytes += len(self.form.block)
            self.sent_bytes += len(self.form.block)
            # Leaves time to the other endpoints and callers of the test.
            await asyncio.sleep(BLOCK_INTERVAL_S)


class SoundEndpoint:
    """An endpoint that answers each request."""

    def __init__(self) -> None:
        self.server = StreamServer(self._serve)

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                attempt = next((line for line in head.split(b'\r\n')
                                if line.lower().startswith(b'x-attempt-id')),
                               b'X-None: 1')
                writer.write(OK + attempt + b'\r\nContent-Length: 2\r\n\r\nok')
                await writer.drain()
        writer.close()


class GatewayProcess:
    """A gateway process with a store and endpoints in the test's process.

    Attributes:
        store: The metadata store.
        address: IP number and port for callers.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.store = StandinStore()
        self.ports = [reserve_port() for _ in range(5)]
        numbers = sorted(each.getsockname()[1] for each in self.ports)
        self.callers_port, self.readiness_port, *self.internal_ports = numbers
        self.process: asyncio.subprocess.Process | None = None

    @property
    def log(self) -> str:
        """What the process has written."""
        return (self.folder / 'gateway.log').read_text(errors='replace')

    def configure(self, services: dict[str, bool],
                  with_models: frozenset[str]) -> None:
        """Write a configuration with a route for each service.

        Args:
            services: Whether the answers of each service are streams.
            with_models: Services that serve a model.
        """
        engine = {
            'slots': 64,
            'cache-capacity-tokens': 99_999,
            'models': [{
                'name': 'm'
            }]
        }
        self.store.put(
            names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, {
                'version':
                    1,
                'routes': [{
                    'name': name,
                    'host': 'h',
                    'path-prefix': f'/{name}/',
                    'kind': 'streaming' if is_stream else 'safe',
                    'service': name,
                    'attempts': 2,
                    'timeout-ms': 20_000,
                    'target-latency-ms': round(TARGET_LATENCY_S * 1_000),
                    'target-gap-ms': 300,
                } for name, is_stream in services.items()],
                'services': [{
                    'name': name,
                    **({
                        'engine': engine
                    } if name in with_models else {})
                } for name in services],
            })

    def register(self, name: str, service: str, address: str) -> None:
        """Write an endpoint's entry."""
        self.store.put(
            names.REGISTRY_TOPIC, name, {
                'service': service,
                'address': address,
                'zone': 'z',
                'slots': 64,
                'state': names.STATE_READY,
                'born': 1,
                'models': [{
                    'name': 'm',
                    'version': 1
                }]
            })

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        await self.store.server.start()
        settings = self.folder / 'gateway.toml'
        settings.write_text(self._settings())
        with (self.folder / 'gateway.log').open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / 'deploy' / 'gateway.py'),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **os.environ, 'PLANTAINRIDGE_CONFIG': str(settings),
                    'PYTHONPATH': str(ROOT / 'src')
                })
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Kill the process, and stop the store."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.store.server.kill()
        for each in self.ports:
            each.close()

    def peak_bytes(self) -> int:
        """Return the largest resident memory of the process so far."""
        assert self.process is not None
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text(
            encoding='ascii')
        fields = dict(line.split(':', 1) for line in status.splitlines())
        return int(fields['VmHWM'].split()[0]) * 1_024

    async def connect(
        self,
        sock: socket.socket | None = None
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a caller's connection."""
        if sock is None:
            return await asyncio.open_connection(HOST, self.callers_port)
        await asyncio.get_running_loop().sock_connect(sock,
                                                      (HOST, self.callers_port))
        return await asyncio.open_connection(sock=sock, limit=SLOW_BUFFER_BYTES)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.readiness_port)
        except OSError:
            return False
        with contextlib.closing(writer):
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n')
            return b' 200 ' in await reader.readline()

    def _settings(self) -> str:
        return f"""
node-name = "vm"
ip-address = "{HOST}"
zone = "z"
internal-port-range = [{self.internal_ports[0]}, {self.internal_ports[-1]}]
[listen-addresses]
frontend = "{HOST}:{self.callers_port}"
readiness = "{HOST}:{self.readiness_port}"
[limits]
link-mbps = 100.0
[bounds]
drain-ms = 2000
configuration-apply-ms = 2000
grace-period-s = 6
version-ms = 10000
lease-ms = 600
retry-budget-ratio = 1.0
retry-budget-slack = 500
budget-window-s = 10
[platform]
address = "{self.store.server.address}"
"""


def _request(path: str, number: int, method: str = 'GET') -> bytes:
    return (f'{method} {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a{number}'
            '\r\nX-Model: m\r\nX-Token-Usage: 10,10\r\nContent-Length: 0'
            '\r\n\r\n').encode()


class EndlessAnswersProcessTest(unittest.IsolatedAsyncioTestCase):
    """The memory of a gateway process stays within a VM's limit."""

    async def asyncSetUp(self) -> None:
        # pylint: disable-next=consider-using-with
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.gateway = GatewayProcess(pathlib.Path(folder))
        self.addAsyncCleanup(self.gateway.stop)
        self.services: dict[str, bool] = {'sound': False}
        self.statuses: Counter[str] = Counter()
        self.numbers = iter(range(1_000_000))
        self.tasks: list[asyncio.Task[None]] = []
        self.addAsyncCleanup(self._cancel_callers)
        await self._add('sound', SoundEndpoint().server, False)

    async def _add(self, service: str, server: StreamServer,
                   is_stream: bool) -> None:
        self.addAsyncCleanup(server.stop)
        address = await server.start()
        self.services[service] = is_stream
        self.gateway.register(f'i-{next(self.numbers)}', service, address)

    async def _add_faulty(self,
                          service: str,
                          form: Form,
                          report: bytes | None = b'{"born":1}',
                          max_bytes: float = math.inf) -> FaultyEndpoint:
        endpoint = FaultyEndpoint(form, report, max_bytes)
        await self._add(service, endpoint.server, form.is_stream)
        return endpoint

    async def _start(self, with_models: frozenset[str] = frozenset()) -> None:
        self.gateway.configure(self.services, with_models)
        await self.gateway.start()

    def _spawn(self, work: Any) -> None:
        self.tasks.append(asyncio.create_task(work))

    async def _cancel_callers(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _call_repeatedly(self, service: str, method: str = 'GET') -> None:
        """Send requests of one caller, each on a new connection."""
        while True:
            reader, writer = await self.gateway.connect()
            with contextlib.closing(writer), contextlib.suppress(
                    ConnectionError):
                writer.write(
                    _request(f'/{service}/x', next(self.numbers), method))
                line = await reader.readline()
                status = line.decode('latin-1')[9:12] or 'none'
                self.statuses[f'{service} {status}'] += 1
                while service != 'sound' and await reader.read(65_536):
                    pass
            await asyncio.sleep(POLL_S)

    async def _stall(self, service: str) -> None:
        """Send a request, and read nothing of its answer."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG,
                        SLOW_SEGMENT_BYTES)
        _, writer = await self.gateway.connect(sock)
        with contextlib.closing(writer):
            cast(asyncio.Transport, writer.transport).pause_reading()
            writer.write(_request(f'/{service}/x', next(self.numbers)))
            await asyncio.sleep(HANG_TIMEOUT_S)

    def _assert_within_limits(self) -> None:
        process = self.gateway.process
        assert process is not None
        self.assertIsNone(process.returncode, self.gateway.log[-2_000:])
        peak = self.gateway.peak_bytes()
        self.assertLess(peak, MEMORY_LIMIT_BYTES)
        self.assertGreater(self.statuses['sound 200'], 0)
        self.assertEqual(
            {
                key: count
                for key, count in self.statuses.items()
                if key.startswith('sound')
            }, {'sound 200': self.statuses['sound 200']})

    async def test_every_form_at_once(self) -> None:
        endpoints = [
            await self._add_faulty(name, form)
            for name, form in FORMS.items()
            for _ in range(ENDPOINTS_PER_FORM)
        ]
        await self._start()
        for name in FORMS:
            for _ in range(CALLERS_PER_FORM):
                self._spawn(self._call_repeatedly(name))
        for _ in range(SOUND_CALLERS):
            self._spawn(self._call_repeatedly('sound'))
        await asyncio.sleep(LOAD_S)
        self._assert_within_limits()
        sent = [each.sent_bytes for each in endpoints]
        self.assertTrue(
            all(
                any(sent[at:at + ENDPOINTS_PER_FORM])
                for at in range(0, len(sent), ENDPOINTS_PER_FORM)), sent)

    async def test_comments_leave_time_to_other_callers(self) -> None:
        for _ in range(ENDPOINTS_PER_FORM):
            await self._add_faulty('comments', FORMS['comments'])
        await self._start()
        for _ in range(COMMENT_CALLERS):
            self._spawn(self._call_repeatedly('comments'))
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while self.statuses['comments 200'] < COMMENT_CALLERS:
                await asyncio.sleep(POLL_S)
        for _ in range(SOUND_CALLERS):
            self._spawn(self._call_repeatedly('sound'))
        await asyncio.sleep(LOAD_S)
        self._assert_within_limits()
        self.assertGreater(self.statuses['sound 200'],
                           SOUND_CALLERS * LOAD_S / TARGET_LATENCY_S)

    async def test_callers_that_do_not_read(self) -> None:
        endpoints = [
            await self._add_faulty('events',
                                   FORMS['events'],
                                   max_bytes=SLOW_BYTES)
            for _ in range(ENDPOINTS_PER_FORM)
        ]
        await self._start()
        for _ in range(SLOW_CALLERS):
            self._spawn(self._stall('events'))
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while sum(each.answers for each in endpoints) < SLOW_CALLERS:
                await asyncio.sleep(POLL_S)
        for _ in range(SOUND_CALLERS):
            self._spawn(self._call_repeatedly('sound'))
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while any(each.streaming for each in endpoints):
                await asyncio.sleep(POLL_S)
        await asyncio.sleep(LOAD_S)
        self._assert_within_limits()

    async def test_answers_that_switch_protocols(self) -> None:
        form = Form(OK + b'\r\n', BLOCK)
        for _ in range(ENDPOINTS_PER_FORM):
            await self._add_faulty('switched', form)
        await self._start()
        for _ in range(CALLERS_PER_FORM):
            self._spawn(self._call_repeatedly('switched', 'CONNECT'))
        for _ in range(SOUND_CALLERS):
            self._spawn(self._call_repeatedly('sound'))
        await asyncio.sleep(LOAD_S)
        self._assert_within_limits()

    async def test_reports(self) -> None:
        reports = {'endless': None, 'dense': NESTED_JSON}
        endpoints = [
            await self._add_faulty(name, Form(OK + b'\r\n', BLOCK), report)
            for name, report in reports.items()
            for _ in range(ENDPOINTS_PER_FORM)
        ]
        await self._start(frozenset(reports))
        self.gateway.store.put(names.OPERATOR_TOPIC,
                               f'{names.VERSION_KEY_PREFIX}m', {
                                   'model': 'm',
                                   'version': 2
                               })
        for _ in range(SOUND_CALLERS):
            self._spawn(self._call_repeatedly('sound'))
        for name in reports:
            self._spawn(self._call_repeatedly(name))
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while any(each.reports < 2 for each in endpoints):
                await asyncio.sleep(POLL_S)
        await asyncio.sleep(LOAD_S)
        self._assert_within_limits()
