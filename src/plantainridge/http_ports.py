"""Ports that access endpoints and the platform's log over HTTP."""

import asyncio
import base64
import json
import types
from typing import Any, Final

import aiosonic
from aiosonic import exceptions as http_errors
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge import json_values
from plantainridge.gateway.events import Failure, Headers
from plantainridge.gateway.http_calls import (JSON_HEADERS, MAX_RESPONSE_BYTES,
                                              NoResponse, call_on)
from plantainridge.gateway.http_client import AnswerHandler, Connection, Pool
from plantainridge.gateway.streams import EventSplitter
from plantainridge.gateway.wire import RawRequest
from plantainridge.ids import AttemptId, RequestId, WeightVersion
from plantainridge.loop.monitor import LoopMonitor
from plantainridge.loop.ports import Post
from plantainridge.loop.tasks import Tasks
from plantainridge.ports import EnginePort, LogPort, ServicePort
from plantainridge.response_limits import BoundedConnection, read_json

POOL_SIZE: Final = 4_096
# Less than the time for which servers keep an idle connection open.
MAX_IDLE_CONNECTION_MS: Final = 2_000
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
    """Streams completions from engines, each over a new connection.

    A stream may end with its connection, which the library of the log's port
    takes for an empty response.
    """

    def __init__(self, tasks: Tasks, monitor: LoopMonitor) -> None:
        self.tasks = tasks
        self.monitor = monitor
        self.pool = Pool()
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
        try:
            connection = await _connect(self.pool, effect.address, self.monitor)
        except OSError:
            post(ev.AttemptFailed(effect.attempt, ev.Failure.CONNECT_REFUSED))
            return
        try:
            outcome = await _read_engine(connection, effect, post)
        finally:
            connection.abort()
        post(outcome)


async def _connect(pool: Pool, address: str,
                   monitor: LoopMonitor) -> Connection:
    """Open a connection, again if this VM's loop was held up.

    Raises:
        OSError: It could not be opened; nothing was sent.
    """
    while True:
        started_at = asyncio.get_running_loop().time()
        try:
            return await pool.connect(address, CONNECT_TIMEOUT_S)
        except TimeoutError:
            if not monitor.was_held_up(started_at):
                raise


async def _read_engine(connection: Connection, effect: fx.StartAttempt,
                       post: Post) -> ev.AttemptEnded | ev.AttemptFailed:
    """Send an attempt; post its tokens and return how it ended."""
    if not connection.usable:
        return ev.AttemptFailed(effect.attempt, ev.Failure.CONNECT_REFUSED)
    raw = RawRequest(b'POST', b'/v1/completions',
                     ((b'host', effect.address.encode()),
                      (b'connection', b'close'), *JSON_HEADERS),
                     json.dumps(_engine_body(effect)).encode())
    try:
        async with asyncio.timeout(READ_TIMEOUT_S) as timeout:
            answer = _EngineAnswer(effect, post, timeout)
            connection.send(raw, answer)
            return await answer.outcome
    except TimeoutError:
        return ev.AttemptFailed(effect.attempt, ev.Failure.TIMED_OUT)


class _EngineAnswer(AnswerHandler):
    """Reader of an engine's answer; posts the tokens of its stream.

    Attributes:
        timeout: Time limit of the next part of the answer.
        outcome: How the attempt ended.
        status: Status of the answer; 0 before its head.
        body: Body of an answer that is not a stream.
    """

    def __init__(self, effect: fx.StartAttempt, post: Post,
                 timeout: asyncio.Timeout) -> None:
        self.effect = effect
        self.post = post
        self.timeout = timeout
        self.loop = asyncio.get_running_loop()
        self.outcome: asyncio.Future[ev.AttemptEnded | ev.AttemptFailed] = (
            self.loop.create_future())
        self.status = 0
        self.body = bytearray()
        self.splitter = EventSplitter()

    def on_head(self, status: int, headers: Headers) -> Failure | None:
        del headers
        self._extend_timeout()
        self.status = status
        if status in (STATUS_OK, STATUS_VERSION_MISMATCH):
            return None
        self._fail(ev.Failure.REJECTED)
        return Failure.BROKEN

    def on_data(self, data: bytes) -> Failure | None:
        self._extend_timeout()
        if self.status != STATUS_OK:
            self.body += data
            self.held_bytes = len(self.body)
            return (Failure.TOO_LONG
                    if self.held_bytes > MAX_RESPONSE_BYTES else None)
        events = self.splitter.feed(data)
        self.held_bytes = len(self.splitter.incomplete)
        if events is not None:
            try:
                self._read_events(events.data)
            except (ValueError, KeyError, TypeError):
                return Failure.MALFORMED
        return Failure.TOO_LONG if self.splitter.is_too_long else None

    def on_end(self) -> None:
        if self.status != STATUS_VERSION_MISMATCH:
            # The last event of a complete stream has the total.
            self._fail(ev.Failure.BROKEN)
            return
        try:
            version = WeightVersion(json_values.decode(self.body)['version'])
        except (ValueError, KeyError, TypeError):
            self._fail(ev.Failure.BROKEN)
            return
        self._fail(ev.Failure.OTHER_VERSION, version)

    def on_failure(self, failure: Failure, detail: str) -> None:
        del failure, detail
        self._fail(ev.Failure.BROKEN)

    def _read_events(self, data: bytes) -> None:
        """Post the tokens of complete events, up to the total.

        Raises:
            ValueError, KeyError, TypeError: An event has another form.
        """
        for line in data.decode(errors='replace').split('\n'):
            line = line.removesuffix('\r')
            if not line.startswith('data: ') or line == 'data: [DONE]':
                continue
            if self.outcome.done():
                return
            chunk = json_values.decode(line[len('data: '):])
            echoed = RequestId(chunk['id'])
            if 'total' in chunk:
                self.outcome.set_result(
                    ev.AttemptEnded(self.effect.attempt, echoed,
                                    chunk['total']))
                return
            self.post(
                ev.TokensReceived(self.effect.attempt, echoed,
                                  WeightVersion(chunk['version']),
                                  chunk['first'], tuple(chunk['tokens']),
                                  chunk['cached_tokens']))

    def _extend_timeout(self) -> None:
        if not self.outcome.done():
            self.timeout.reschedule(self.loop.time() + READ_TIMEOUT_S)

    def _fail(
        self, failure: ev.Failure,
        version: WeightVersion = WeightVersion('')) -> None:
        if not self.outcome.done():
            self.outcome.set_result(
                ev.AttemptFailed(self.effect.attempt, failure, version))


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
            connection = await _connect(self.pool, effect.address, self.monitor)
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
