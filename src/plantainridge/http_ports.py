"""Ports that access endpoints and the platform's log over HTTP."""

import asyncio
import base64
import contextlib
import types
from collections.abc import AsyncIterator
from typing import Any, Final

import aiosonic
from aiosonic import exceptions as http_errors
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge import json_values
from plantainridge.gateway.http_calls import NoResponse, call_on
from plantainridge.gateway.http_client import Connection as ServiceConnection
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.streams import EventSplitter
from plantainridge.ids import AttemptId, RequestId, WeightVersion
from plantainridge.loop.monitor import LoopMonitor
from plantainridge.loop.ports import Post
from plantainridge.loop.tasks import Tasks
from plantainridge.ports import EnginePort, LogPort, ServicePort
from plantainridge.response_limits import (BoundedConnection, ResponseTooLong,
                                           read_json)

POOL_SIZE: Final = 4_096
# Less than the time for which servers keep an idle connection open.
MAX_IDLE_CONNECTION_MS: Final = 2_000
MAX_STALE_CONNECTIONS: Final = 3
CONNECT_TIMEOUT_S: Final = 2.0
READ_TIMEOUT_S: Final = 120.0
LOG_POLL_TIMEOUT_S: Final = 5.0
LOG_RETRY_DELAY_S: Final = 0.5
STATUS_OK: Final = 200
# Errors of a response that cannot be read, or that has another form.
RESPONSE_ERRORS: Final = (http_errors.AiosonicError, OSError, ValueError,
                          EOFError, KeyError, TypeError, TimeoutError)
# Status with which an engine rejects a request for a weight version other than
# the one it runs.
STATUS_VERSION_MISMATCH: Final = 409


class _Connection(BoundedConnection):
    """A connection that is closed if its request does not end normally.

    The library returns a reused connection to the pool when a request is
    cancelled before its response's head arrived. The server would work on, and
    the response would belong to no request.
    """

    async def __aexit__(self, exc_type: type[BaseException] | None,
                        exc: BaseException | None,
                        tb: types.TracebackType | None) -> None:
        if exc is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, tb)


def new_client() -> aiosonic.HTTPClient:
    """Return a client whose connection pool allows many concurrent streams."""
    connector = TCPConnector(pool_configs={
        ':default':
            PoolConfig(size=POOL_SIZE, max_conn_idle_ms=MAX_IDLE_CONNECTION_MS)
    },
                             connection_cls=_Connection,
                             timeouts=Timeouts(sock_connect=CONNECT_TIMEOUT_S,
                                               sock_read=READ_TIMEOUT_S,
                                               request_timeout=READ_TIMEOUT_S))
    return aiosonic.HTTPClient(connector)


class HttpEnginePort(EnginePort):
    """Streams completions from engines."""

    def __init__(self, client: aiosonic.HTTPClient, tasks: Tasks,
                 monitor: LoopMonitor) -> None:
        self.client = client
        self.tasks = tasks
        self.monitor = monitor
        self.attempts: dict[AttemptId, asyncio.Task[None]] = {}

    def start(self, effect: fx.StartAttempt, post: Post) -> None:
        task = self.tasks.spawn(self._run(effect, post))
        self.attempts[effect.attempt] = task
        task.add_done_callback(
            lambda _: self.attempts.pop(effect.attempt, None))

    def cancel(self, effect: fx.CancelAttempt) -> None:
        task = self.attempts.pop(effect.attempt, None)
        if task is not None:
            task.cancel()

    async def _run(self, effect: fx.StartAttempt, post: Post) -> None:
        failure = ev.Failure.BROKEN
        version = WeightVersion('')
        try:
            response = await self._send_with_retry(effect)
            if response.status_code == STATUS_VERSION_MISMATCH:
                failure = ev.Failure.OTHER_VERSION
                version = WeightVersion((await read_json(response))['version'])
            elif response.status_code != STATUS_OK:
                failure = ev.Failure.REJECTED
            elif await self._read_stream(effect, response, post):
                return
        except (ConnectionRefusedError, http_errors.ConnectTimeout):
            failure = ev.Failure.CONNECT_REFUSED
        except (http_errors.BaseTimeout, TimeoutError):
            failure = ev.Failure.TIMED_OUT
        except RESPONSE_ERRORS:
            failure = ev.Failure.BROKEN
        post(ev.AttemptFailed(effect.attempt, failure, version))

    async def _send_with_retry(self, effect: fx.StartAttempt) -> Any:
        """Send an attempt, again if the server had closed a pooled connection.

        Only model requests are retried like this, as they are repeatable.
        """
        stale_connections = 0
        while True:
            started_at = asyncio.get_running_loop().time()
            try:
                return await self._send(effect)
            except http_errors.ConnectionDisconnected as error:
                stale_connections += 1
                if (not error.reused_connection or
                        stale_connections > MAX_STALE_CONNECTIONS):
                    raise
            except http_errors.ConnectTimeout:
                if not self.monitor.was_held_up(started_at):
                    raise

    async def _send(self, effect: fx.StartAttempt) -> Any:
        response = await self.client.request(
            f'http://{effect.address}/v1/completions',
            method='POST',
            json=_engine_body(effect),
            stream=True)
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            # In Python 3.11, `wait_for` drops a cancellation that arrives
            # together with its result.
            await response.aclose()
            raise asyncio.CancelledError
        return response

    async def _read_stream(self, effect: fx.StartAttempt, response: Any,
                           post: Post) -> bool:
        try:
            async for line in _read_event_lines(response):
                if not line.startswith('data: ') or line == 'data: [DONE]':
                    continue
                chunk = json_values.decode(line[len('data: '):])
                echoed = RequestId(chunk['id'])
                if 'total' in chunk:
                    post(ev.AttemptEnded(effect.attempt, echoed,
                                         chunk['total']))
                    return True
                post(
                    ev.TokensReceived(effect.attempt, echoed,
                                      WeightVersion(chunk['version']),
                                      chunk['first'], tuple(chunk['tokens']),
                                      chunk['cached_tokens']))
        finally:
            await response.aclose()
        return False


async def _read_event_lines(response: Any) -> AsyncIterator[str]:
    """Yield the lines of a stream's complete events.

    Raises:
        ResponseTooLong: An event exceeds its limit.
    """
    splitter = EventSplitter()
    async with contextlib.aclosing(response.iter_bytes()) as parts:
        async for part in parts:
            events = splitter.feed(part)
            if events is not None:
                for line in events.data.decode(errors='replace').split('\n'):
                    yield line.removesuffix('\r')
            if splitter.is_too_long:
                raise ResponseTooLong('an event of a stream is too long')


def _engine_body(effect: fx.StartAttempt) -> dict[str, Any]:
    return {
        'request_id': effect.request,
        'team': effect.team,
        'model': effect.model,
        'version': effect.version,
        'adapter': effect.adapter,
        'prompt': effect.prompt.text,
        'prompt_tokens': effect.prompt.tokens,
        'block_keys': effect.prompt.blocks,
        'max_tokens': effect.max_tokens,
        'priority': effect.priority,
        'resume_from': effect.resume_from,
        'delivered': ''.join(effect.delivered),
        'stream': True,
    }


class HttpServicePort(ServicePort):
    """Calls plain services, sending each call once over a new connection.

    A response may end with its connection, which the library of the other ports
    takes for an empty one.
    """

    def __init__(self, tasks: Tasks, monitor: LoopMonitor) -> None:
        self.tasks = tasks
        self.monitor = monitor
        self.pool = Pool()

    def call(self, effect: fx.CallService, post: Post) -> None:
        self.tasks.spawn(self._call(effect, post))

    async def _call(self, effect: fx.CallService, post: Post) -> None:
        try:
            connection = await self._connect(effect.address)
        except OSError:
            post(ev.AttemptFailed(effect.attempt, ev.Failure.CONNECT_REFUSED))
            return
        headers = ((b'x-request-id', effect.request.encode()),
                   (b'idempotency-key',
                    effect.scoped_key.encode()), (b'connection', b'close'))
        response = await call_on(connection, effect.address, effect.method,
                                 effect.path, READ_TIMEOUT_S, effect.body,
                                 headers)
        if isinstance(response, NoResponse):
            post(ev.AttemptFailed(effect.attempt, _service_failure(response)))
            return
        echoed = response.headers.get(b'x-request-id', b'').decode('latin-1')
        post(
            ev.ServiceAnswered(effect.attempt, RequestId(echoed),
                               response.status, response.body))

    async def _connect(self, address: str) -> ServiceConnection:
        """Open a connection, again if this VM's loop was held up.

        Raises:
            OSError: It could not be opened; nothing was sent.
        """
        while True:
            started_at = asyncio.get_running_loop().time()
            try:
                return await self.pool.connect(address, CONNECT_TIMEOUT_S)
            except TimeoutError:
                if not self.monitor.was_held_up(started_at):
                    raise


def _service_failure(response: NoResponse) -> ev.Failure:
    if not response.sent:
        return ev.Failure.CONNECT_REFUSED
    return (ev.Failure.TIMED_OUT if response.timed_out else ev.Failure.BROKEN)


class HttpLogPort(LogPort):
    """Appends records to the log service and reads them."""

    def __init__(self, client: aiosonic.HTTPClient, tasks: Tasks,
                 address: str) -> None:
        self.client = client
        self.tasks = tasks
        self.address = address

    def append(self, effect: fx.AppendLog, post: Post) -> None:
        self.tasks.spawn(self._append(effect, post))

    def read(self, effect: fx.ReadLog, post: Post) -> None:
        self.tasks.spawn(self._read_log(effect, post))

    def _url(self, stream: ev.Stream, shard: int) -> str:
        return (f'http://{self.address}/streams/{stream.value}/{shard}'
                '/records')

    async def _append(self, effect: fx.AppendLog, post: Post) -> None:
        payloads = [
            base64.b64encode(payload).decode() for payload in effect.payloads
        ]
        may_have_applied = True
        try:
            response = await self.client.post(self._url(effect.stream,
                                                        effect.shard),
                                              json={'payloads': payloads})
            if response.status_code == STATUS_OK:
                body = await read_json(response)
                post(ev.AppendEnded(effect.append_id, body['first']))
                return
        except (ConnectionRefusedError, http_errors.ConnectTimeout):
            may_have_applied = False
        except RESPONSE_ERRORS:
            pass
        post(ev.AppendFailed(effect.append_id, may_have_applied))

    async def _read_log(self, effect: fx.ReadLog, post: Post) -> None:
        try:
            response = await self.client.get(
                self._url(effect.stream, effect.shard),
                params={
                    'offset': str(effect.offset),
                    'wait_s': str(LOG_POLL_TIMEOUT_S if effect.wait else 0)
                })
            if response.status_code == STATUS_OK:
                post(
                    _parse_log_read(effect.stream, effect.shard, await
                                    read_json(response)))
                return
        except RESPONSE_ERRORS:
            pass
        await asyncio.sleep(LOG_RETRY_DELAY_S)
        post(ev.LogReadFailed(effect.stream, effect.shard))


def _parse_log_read(stream: ev.Stream, shard: int, body: Any) -> ev.LogRead:
    records = tuple(
        ev.Record(row['offset'], row['at'], base64.b64decode(row['payload']))
        for row in body['records'])
    return ev.LogRead(stream, shard, records, body['first'], body['end'],
                      body['at'])
