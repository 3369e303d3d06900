"""Tests of a gateway process against stand-ins of the platform."""

import asyncio
import logging
import os
import signal
import time
import unittest
from typing import Any
from unittest import mock

from starlette.responses import Response as AppResponse

from plantainridge.gateway import drain
from plantainridge.gateway.events import StopRequested
from plantainridge.gateway.http_calls import NoResponse, Response, call_on
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.log_writer import LogWriter
from plantainridge.gateway.process import Gateway
from plantainridge.gateway.settings import Bounds, GatewaySettings
from plantainridge.ids import DcId, VmId
from plantainridge.platform import names
from plantainridge.platform.adapter import PlatformAdapter
from plantainridge.standins.platform_site import (HOST, StandinEndpoint,
                                                  StandinStore)
from tests.reserved_ports import reserve_port

# Time that callers allow a new connection to be established, in s.
CONNECT_TIMEOUT_S = 1.0
# A request that may run once, with more time than a stopping VM has left.
LATE_REQUEST = (b'POST /submit/x HTTP/1.1\r\nHost: h\r\n'
                b'X-Attempt-Id: late\r\nAuthorization: Bearer key\r\n'
                b'X-Deadline-Milliseconds: 20000\r\n'
                b'Content-Length: 0\r\n\r\n')


def route(prefix: str, kind: str, service: str, **overrides: Any) -> Any:
    """Return a route as operators write it."""
    return {
        'name': prefix,
        'host': 'h',
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': 3_000,
        'target-latency-ms': 500,
        'service': service,
        'attempts': 2,
        **overrides
    }


CONFIG = {
    'version': 1,
    'routes': [
        route('/report/',
              'streaming',
              'llm',
              resumable=True,
              **{'target-gap-ms': 100}),
        route('/submit/', 'unsafe', 'app')
    ],
    'services': [{
        'name': 'llm',
        'engine': {
            'slots': 6,
            'cache-capacity-tokens': 9_999,
            'models': [{
                'name': 'm'
            }]
        }
    }, {
        'name': 'app'
    }],
    'tenants': [{
        'name': 'team',
        'api-keys': ['key']
    }]
}


class PlatformPathCase(unittest.IsolatedAsyncioTestCase):
    """One VM with two engines and an endpoint of a service without models."""

    async def asyncSetUp(self) -> None:
        # The server logs a traceback for each stream that is cut on demand.
        logging.disable(logging.CRITICAL)
        self.store = StandinStore()
        self.engines = [StandinEndpoint(f'e{at}', 'llm', 1) for at in (1, 2)]
        self.app = StandinEndpoint('a1', 'app')
        self.endpoints = [*self.engines, self.app]
        self.servers = [
            self.store.server, *(each.server for each in self.endpoints)
        ]
        for server in self.servers:
            await server.start()
        self.store.put(names.OPERATOR_TOPIC, 'config', CONFIG)
        for each in self.endpoints:
            self.store.put(names.REGISTRY_TOPIC, each.name, each.entry())
        self.log = os.open(os.devnull, os.O_WRONLY)
        self.pool = Pool()
        self.ports = [self._reserve_port() for _ in range(5)]
        self.gateway = await self._start_gateway('vm', HOST)
        self.address = self.gateway.state.settings.callers_address

    def _reserve_port(self) -> int:
        """Return a port that no other process gets before the test ends."""
        sock = reserve_port()
        self.addCleanup(sock.close)
        port: int = sock.getsockname()[1]
        return port

    async def _start_gateway(self, vm: str, host: str) -> Gateway:
        """Start a VM; return it once it is ready."""
        ports = self.ports
        # A VM that does not know how many there are has little retry budget.
        self.store.put(names.VMS_TOPIC, vm, {
            'dc': 'z',
            'address': f'{host}:{ports[2]}'
        })
        settings = GatewaySettings(VmId(vm),
                                   DcId('z'),
                                   host,
                                   f'{host}:{ports[0]}',
                                   f'{host}:{ports[1]}',
                                   ports[2],
                                   ports[3],
                                   self.store.server.address,
                                   Bounds(lease_s=0.2),
                                   tunnel_port=ports[4],
                                   is_first_start=True)
        gateway = Gateway(settings, PlatformAdapter(os.devnull),
                          LogWriter(vm, self.log))
        await gateway.serve()
        for _ in range(100):
            if gateway.state.ready:
                break
            await asyncio.sleep(0.02)
        return gateway

    async def asyncTearDown(self) -> None:
        self.gateway.halt()
        await self.gateway.tasks.cancel()
        self.pool.close_idle(self.address)
        for server in self.servers:
            await server.kill()
        os.close(self.log)
        logging.disable(logging.NOTSET)

    async def _send(
        self,
        target: str,
        attempt: str,
        key: str = 'key',
        resumes: tuple[str, str] = ('', '')
    ) -> Response | NoResponse:
        headers = [(b'host', b'h'), (names.ATTEMPT_ID, attempt.encode()),
                   (names.DEADLINE, b'3000'),
                   (names.AUTHORIZATION, f'Bearer {key}'.encode())]
        if target.startswith('/report'):
            headers += [(names.MODEL, b'm'), (names.TOKEN_USAGE, b'10,5')]
        if resumes[0]:
            headers += [(names.RESUMES, resumes[0].encode()),
                        (names.LAST_EVENT_ID, resumes[1].encode())]
        connection = (self.pool.take(self.address) or
                      await self.pool.connect(self.address, CONNECT_TIMEOUT_S))
        return await call_on(connection, self.address, 'POST', target, 3.0,
                             b'body', tuple(headers[1:]))

    async def _get_body(self, target: str, attempt: str) -> bytes:
        response = await self._send(target, attempt)
        assert isinstance(response, Response), response
        self.assertEqual(response.status, 200, response.body)
        return response.body

    def _configure(self, **overrides: Any) -> None:
        host = self.address
        routes = [{
            **each, 'host': host
        } for each in CONFIG['routes']]  # type: ignore[attr-defined]
        self.store.put(names.OPERATOR_TOPIC, 'config', {
            **CONFIG, 'routes': routes,
            **overrides
        })


class PlatformPathTest(PlatformPathCase):
    """Tests of a VM between callers, the metadata store and endpoints."""

    async def test_requests_are_served_with_system_headers(self) -> None:
        self._configure(version=2)
        await asyncio.sleep(0.2)
        self.assertEqual(await self._get_body('/submit/x', 'one'),
                         b'done by a1')
        run_headers = self.app.run_headers[0]
        self.assertEqual(run_headers[names.TEAM.decode()], 'team')
        self.assertEqual(run_headers[names.EXPECTED_INSTANCE.decode()], 'a1')
        self.assertLessEqual(int(run_headers[names.DEADLINE.decode()]), 3_000)
        self.assertNotIn('authorization', run_headers)
        stream = await self._get_body('/report/x', 'two')
        self.assertEqual(stream.count(b'data: t'), 5)

    async def test_cut_stream_is_resumed_on_another_engine(self) -> None:
        self._configure(version=2)
        await asyncio.sleep(0.2)
        for engine in self.engines:
            engine.cut_after_events = 3
        self.engines[0].cut_after_events = 2
        stream = await self._send('/report/x', 'two')
        attempt_ids = [
            attempt for each in self.engines for attempt in each.attempt_ids
        ]
        self.assertEqual(attempt_ids, ['two', 'two'])
        # Both engines cut the stream: the answer must not look complete.
        self.assertIsInstance(stream, NoResponse)
        for engine in self.engines:
            engine.cut_after_events = 0
        self.engines[0].cut_after_events = self.engines[1].cut_after_events = 0
        self.engines[0].event_count = self.engines[1].event_count = 6
        complete = await self._get_body('/report/y', 'three')
        self.assertEqual(
            [f'data: t{at}\n'.encode() in complete for at in range(1, 7)],
            [True] * 6)

    async def _start_builds(self, *builds: str) -> None:
        for engine, build in zip(self.engines, builds):
            engine.build = build
            self.store.put(names.REGISTRY_TOPIC, engine.name, engine.entry())
        self._configure(version=2)
        await asyncio.sleep(1.2)

    async def test_cut_stream_is_not_resumed_on_another_build(self) -> None:
        await self._start_builds('v1', 'v2')
        for engine in self.engines:
            engine.cut_after_events = 2
        stream = await self._send('/report/x', 'one')
        self.assertIsInstance(stream, NoResponse)
        attempt_ids = [
            attempt for each in self.engines for attempt in each.attempt_ids
        ]
        self.assertEqual(attempt_ids, ['one'])

    async def test_callers_new_try_is_sent_to_the_same_build(self) -> None:
        await self._start_builds('v1', 'v2')
        for engine in self.engines:
            engine.cut_after_events = 2
        await self._send('/report/x', 'one')
        began = next(each for each in self.engines if each.attempt_ids)
        for engine in self.engines:
            engine.cut_after_events = 0
        for number in range(6):
            response = await self._send('/report/x',
                                        f'again{number}',
                                        resumes=('one', '2'))
            assert isinstance(response, Response), response
            self.assertIn(f'data: t3 {began.build}\n'.encode(), response.body)

    async def test_stream_does_not_go_on_at_a_restarted_engine(self) -> None:
        await self._start_builds('v1', 'v1')
        stays, restarted = self.engines
        stays.cut_after_events = restarted.cut_after_events = 2
        restarted.build = 'v2'
        restarted.started_ms += 1
        for number in range(4):
            await self._send(f'/report/{number}', f'one{number}')
            await self._send(f'/report/{number}',
                             f'again{number}',
                             resumes=(f'one{number}', '2'))
        self.assertEqual(
            set(stays.attempt_ids) & set(restarted.attempt_ids), set())
        self.assertIn('one0', stays.attempt_ids)

    async def test_new_version_is_ordered_from_every_engine(self) -> None:
        self.store.put(names.OPERATOR_TOPIC, 'version/m', {
            'model': 'm',
            'version': 2
        })
        await asyncio.sleep(1.5)
        self.assertEqual([each.version for each in self.engines], [2, 2])
        fences = [each.orders[0]['fencing-token'] for each in self.engines]
        self.assertEqual(fences, [0, 0])

    async def test_store_outage_does_not_stop_serving(self) -> None:
        self._configure(version=2)
        await asyncio.sleep(0.2)
        self.store.forced_status = 503
        await asyncio.sleep(1.0)
        self.assertEqual(await self._get_body('/submit/x', 'one'),
                         b'done by a1')
        self.store.forced_status = 0
        self._configure(version=3, tenants=[])
        await asyncio.sleep(0.8)
        response = await self._send('/submit/x', 'two')
        assert isinstance(response, Response)
        self.assertEqual(response.status, 401)

    async def test_refused_request_does_not_run(self) -> None:
        self._configure(version=2)
        await asyncio.sleep(0.2)
        self.app.refuses = True
        response = await self._send('/submit/x', 'one')
        assert isinstance(response, Response)
        self.assertEqual(response.status, 503)
        await asyncio.sleep(0.5)
        self.assertEqual(self.app.attempt_ids, [])

    async def test_store_that_returns_from_an_older_copy(self) -> None:
        self._configure(version=2)
        self._configure(version=3)
        await asyncio.sleep(0.3)
        self.store.restore(2)
        # The operator writes the newest again, at an offset of before.
        self._configure(version=4)
        await asyncio.sleep(2.0)
        self.assertEqual(self.gateway.state.config.version, 4)
        self.assertEqual(self.gateway.state.views.era, 1)
        keys = [each.key for each in self.store.topics[names.VMS_TOPIC]]
        self.assertEqual(keys, ['vm'])
        self.assertEqual(await self._get_body('/submit/x', 'one'),
                         b'done by a1')

    async def test_leaving_endpoint_gets_nothing_new(self) -> None:
        self._configure(version=2)
        await asyncio.sleep(0.2)
        self.app.leaving = True
        response = await self._send('/submit/x', 'one')
        assert isinstance(response, Response)
        self.assertEqual(response.headers[names.LEAVING], b'1')
        response = await self._send('/submit/x', 'two')
        assert isinstance(response, Response)
        self.assertEqual(response.status, 503)
        self.assertEqual(self.app.attempt_ids, ['one'])

    async def test_pause_of_an_endpoint_is_kept(self) -> None:
        self._configure(version=2)
        await asyncio.sleep(0.2)
        self.app.refuses, self.app.pause_s = True, 1.0
        response = await self._send('/submit/x', 'one')
        assert isinstance(response, Response)
        self.assertGreaterEqual(float(response.headers[names.RETRY_AFTER]), 0.9)
        self.app.refuses = False
        response = await self._send('/submit/x', 'two')
        assert isinstance(response, Response)
        self.assertEqual(response.status, 503)
        self.assertEqual(self.app.attempt_ids, [])
        await asyncio.sleep(1.3)
        self.assertEqual(await self._get_body('/submit/x', 'three'),
                         b'done by a1')

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(':')
        return await asyncio.open_connection(host, int(port))

    async def _connect(
            self,
            body: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send a request whose body has 4 bytes."""
        reader, writer = await self._open()
        writer.write(b'POST /submit/x HTTP/1.1\r\nHost: h\r\n'
                     b'X-Attempt-Id: one\r\nAuthorization: Bearer key\r\n'
                     b'Content-Length: 4\r\n\r\n' + body)
        await asyncio.sleep(0.3)
        return reader, writer

    def _stop(self, elapsed_s: float = 3.3) -> asyncio.Task[None]:
        """Request a stop, as if some time ago; return the process's task."""
        serve = mock.patch.object(self.gateway, 'serve')
        serve.start()
        self.addCleanup(serve.stop)
        process = asyncio.create_task(self.gateway.run())
        self.gateway.post(StopRequested())
        self.gateway.state.stopping_since = (self.gateway.loop.time() -
                                             elapsed_s)
        return process

    async def test_late_request_of_a_stop_is_refused_and_not_run(self) -> None:

        async def run(*_: Any) -> AppResponse:
            await asyncio.sleep(1.0)
            return AppResponse(b'done', headers={'X-Response-Seal': 's'})

        late_reader, late_writer = await self._open()
        with mock.patch.object(self.app, 'run', side_effect=run):
            reader, writer = await self._connect(b'body')
            process = self._stop(elapsed_s=5.0)
            await asyncio.sleep(0.2)
            late_writer.write(LATE_REQUEST)
            late = await asyncio.wait_for(late_reader.read(65_536), 0.5)
            answer = await asyncio.wait_for(reader.read(65_536), 3.0)
        self.assertTrue(late.startswith(b'HTTP/1.1 503 '), late)
        self.assertIn(b'retry-after', late.lower())
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)
        self.assertEqual(self.app.attempt_ids, ['one'])
        await asyncio.wait_for(process, 2.0)
        late_writer.close()
        writer.close()

    async def test_stop_signal_of_a_paused_process_counts_from_the_pause(
            self) -> None:
        with mock.patch.object(self.gateway, 'serve'):
            process = asyncio.create_task(self.gateway.run())
            await asyncio.sleep(0.2)
            paused_at = self.gateway.loop.time()
            os.kill(os.getpid(), signal.SIGTERM)
            # Nothing of the process runs meanwhile.
            time.sleep(1.0)
            await asyncio.sleep(0.2)
            state = self.gateway.state
            assert state.stopping_since is not None
            self.assertGreaterEqual(state.stopping_since, paused_at + 1.0)
            killed_at = paused_at + state.settings.bounds.grace_s
            self.assertLessEqual(
                drain.schedule(state).exit_at, killed_at - drain.EXIT_MARGIN_S)
            self.gateway.exited.set()
            await asyncio.wait_for(process, 1.0)

    async def test_stopped_process_writes_its_last_answers(self) -> None:
        body = b'x' * (15 << 20)
        answer = AppResponse(body, headers={'X-Response-Seal': 's'})
        with mock.patch.object(self.app, 'run', return_value=answer):
            reader, writer = await self._connect(b'body')
        process = self._stop()
        await asyncio.sleep(0.5)
        # The caller has read little so far.
        self.assertFalse(process.done())
        await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 2.0)
        await asyncio.wait_for(reader.readexactly(len(body)), 5.0)
        await asyncio.wait_for(process, 1.0)
        writer.close()

    async def test_stopped_process_refuses_incomplete_requests(self) -> None:
        reader, writer = await self._connect(b'bo')
        process = self._stop()
        answer = await asyncio.wait_for(reader.read(65_536), 2.0)
        self.assertTrue(answer.startswith(b'HTTP/1.1 503 '), answer)
        self.assertIn(b'retry-after', answer.lower())
        await asyncio.wait_for(process, 2.0)
        writer.close()
