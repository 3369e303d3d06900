"""Tests of the HTTP interface for callers, over real sockets."""

import asyncio
import contextlib
import io
import json
import logging
import socket
import time
import unittest
from collections.abc import AsyncIterator, Coroutine
from typing import Any
from unittest import mock

import aiosonic
import attrs
import openai

from plantainridge import effects as fx
from plantainridge import mailboxes, reports
from plantainridge.entry import Entry
from plantainridge.http_ports import new_client
from plantainridge.ids import DcId, RequestId, VmId
from plantainridge.serve import AppServer
from plantainridge.standins import site, world
from plantainridge.standins.engine import token_at

VM = VmId('vm1')
KEY = 'a-secret-key'
SLOWDOWN = 0.02
MAX_RUNNING = 256
POLL_S = 0.005
# The client shares the loop, and its own timeouts would expire too.
TIMEOUT_S = 60.0
# Time after which a site counts as hanging, in s: it judges no speed.
IDLE_TIMEOUT_S = 120.0


@contextlib.asynccontextmanager
async def run_site(slowdown: float = SLOWDOWN) -> AsyncIterator[site.Site]:
    """Run one VM with two engines and two services."""
    config = site.with_keys(world.sample_config(), {world.TEAM: KEY})
    team = attrs.evolve(config.teams[world.TEAM], max_running=MAX_RUNNING)
    config = attrs.evolve(config, teams={**config.teams, team.id: team})
    running_site = site.Site(config)
    await running_site.start({VM: DcId(world.DC)})
    for engine in running_site.engines.values():
        engine.slowdown = slowdown
    try:
        yield running_site
    finally:
        await running_site.stop()


def expected_text(prompt: str, count: int) -> str:
    """Return the text that the engines generate for a prompt."""
    return ''.join(token_at(prompt, world.VERSION, i) for i in range(count))


async def wait_until_idle(running_site: site.Site) -> None:
    """Wait until every request is released.

    Raises:
        TimeoutError: A request still holds resources after a long time.
    """
    entry = running_site.entries[VM]
    async with asyncio.timeout(IDLE_TIMEOUT_S):
        while (entry.runtime.state.calls.calls or
               entry.mailboxes.open_mailboxes or
               entry.runtime.state.calls.attempts or
               any(engine.running for engine in running_site.engines.values())):
            await asyncio.sleep(POLL_S)


class _Client:
    """Client of one VM's interface for callers."""

    def __init__(self, entry: Entry, client: aiosonic.HTTPClient) -> None:
        self.entry = entry
        self.client = client

    async def post(self,
                   path: str,
                   data: bytes,
                   key: str = KEY,
                   headers: dict[str, str] | None = None) -> tuple[int, Any]:
        """Send a request body; return the status and the JSON body."""
        response = await self.client.post(
            f'http://{self.entry.callers.address}{path}',
            data=data,
            headers={
                'Authorization': f'Bearer {key}',
                **(headers or {})
            })
        body = await response.json()
        return response.status_code, body


class StreamTest(unittest.TestCase):
    """Each of many concurrent callers gets its own complete answer."""

    def test_200_concurrent_streams_are_each_complete(self) -> None:
        self._assert_streams_are_complete(hold_ups_s=())

    def test_streams_are_complete_if_the_loop_is_held_up(self) -> None:
        # Timeouts of connects are then due together with the connections.
        self._assert_streams_are_complete(hold_ups_s=(0.5, 2.5, 2.5, 2.5))

    def _assert_streams_are_complete(self, hold_ups_s: tuple[float,
                                                             ...]) -> None:

        async def hold_up() -> None:
            for seconds in hold_ups_s:
                await asyncio.sleep(0.02)
                time.sleep(seconds)

        async def scenario() -> list[tuple[str, str]]:
            async with run_site() as running_site:
                api = openai.AsyncOpenAI(
                    api_key=KEY,
                    base_url=
                    f'http://{running_site.entries[VM].callers.address}/v1',
                    max_retries=0,
                    timeout=TIMEOUT_S)

                async def stream_answer(number: int) -> tuple[str, str]:
                    prompt = f'manifest {number}'
                    stream = await api.completions.create(model=world.MODEL,
                                                          prompt=prompt,
                                                          max_tokens=12,
                                                          stream=True)
                    text = ''
                    async for chunk in stream:
                        text += chunk.choices[0].text
                    return text, expected_text(prompt, 12)

                async with api:
                    holding_up = asyncio.create_task(hold_up())
                    results = await asyncio.gather(
                        *map(stream_answer, range(200)))
                    await holding_up
                await wait_until_idle(running_site)
                return results

        for actual, expected in asyncio.run(scenario()):
            self.assertEqual(actual, expected)


class OpenAiClientTest(unittest.TestCase):
    """The published OpenAI client works with only its base URL changed."""

    def test_chat_refusals_and_models(self) -> None:

        async def scenario() -> None:
            async with run_site() as running_site:
                base = f'http://{running_site.entries[VM].callers.address}/v1'
                async with openai.AsyncOpenAI(api_key=KEY,
                                              base_url=base) as api:
                    answer = await api.chat.completions.create(
                        model=world.MODEL,
                        max_tokens=5,
                        messages=[{
                            'role': 'user',
                            'content': 'rinse?'
                        }])
                    self.assertEqual(answer.choices[0].message.content,
                                     expected_text('user: rinse?\n', 5))
                    self.assertEqual(
                        answer.usage and answer.usage.completion_tokens, 5)
                    models = await api.models.list()
                    self.assertEqual([each.id for each in models.data],
                                     [world.MODEL])
                    with self.assertRaises(openai.NotFoundError) as caught:
                        await api.completions.create(model='none', prompt='x')
                    self.assertEqual(caught.exception.code, 'unknown_model')
                    self.assertEqual(caught.exception.response.json()['ran'],
                                     'not_run')
                async with openai.AsyncOpenAI(api_key='no',
                                              base_url=base) as wrong_key_api:
                    with self.assertRaises(openai.AuthenticationError):
                        await wrong_key_api.models.list()

        asyncio.run(scenario())


class InvalidRequestTest(unittest.TestCase):
    """Each invalid request is refused with its reason and run state."""

    CASES: list[tuple[str, bytes, dict[str, str], int, str]] = [
        ('/v1/completions', b'{', {}, 400, 'malformed'),
        ('/v1/completions', b'[' * 100_000, {}, 400, 'malformed'),
        ('/v1/completions', b'{"model":"report","prompt":"\\ud800"}', {}, 400,
         'malformed'),
        ('/v1/completions',
         b'{"model":"report","prompt":"x","max_tokens":true}',
         {}, 400, 'malformed'),
        ('/v1/completions', b'{"model":"report","prompt":"x","n":2}', {}, 400,
         'malformed'),
        ('/v1/completions', b'{"model":"other","prompt":"x"}', {}, 404,
         'unknown_model'),
        ('/v1/completions', b'{"model":"report","prompt":"%s"}' %
         (b'x' * 600_000), {}, 400, 'context_too_long'),
        ('/v1/completions', b'x' * 5_000_000, {}, 413, 'too_large'),
        ('/services/none/x', b'{}', {}, 404, 'unknown_service'),
        ('/services/lookup/x', b'{}', {'X-Run-Once': 'no'}, 400, 'malformed'),
        ('/services/lookup/x', b'{}', {'Idempotency-Key': 'k' * 300}, 400,
         'idempotency_key_invalid'),
    ]  # yapf: disable

    def test_each_error_has_its_reason(self) -> None:

        async def scenario() -> None:
            async with run_site() as running_site:
                client = new_client()
                caller = _Client(running_site.entries[VM], client)
                for path, data, headers, status, reason in self.CASES:
                    with self.subTest(path=path, data=data[:30]):
                        actual, body = await caller.post(path,
                                                         data,
                                                         headers=headers)
                        self.assertEqual((actual, body['error']['type']),
                                         (status, reason))
                        self.assertEqual(body['ran'], 'not_run')
                for key in ('', 'wrong', 'k' * 10_000):
                    actual, body = await caller.post('/v1/completions', b'{}',
                                                     key)
                    self.assertEqual((actual, body['error']['type']),
                                     (401, 'unauthenticated'))
                await client.aclose()
                await wait_until_idle(running_site)

        asyncio.run(scenario())


class UnreliableCallerTest(unittest.TestCase):
    """A caller that disconnects or does not read holds no resources."""

    ANSWER_TOKENS = 100_000
    BODY = json.dumps({
        'model': world.MODEL,
        'prompt': 'long report',
        'max_tokens': ANSWER_TOKENS,
        'stream': True
    }).encode()

    @contextlib.asynccontextmanager
    async def _send_request(self, running_site: site.Site,
                            body: bytes) -> AsyncIterator[asyncio.StreamWriter]:
        """Send a request whose answer is not read, until the block ends.

        Also a test that fails closes the connection: the site's stop waits for
        the answer, and for a caller to read it.
        """
        host, port = running_site.entries[VM].callers.address.split(':')
        sock = socket.socket()
        # The system would otherwise buffer megabytes for a caller that never
        # reads.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect((host, int(port)))
        _, writer = await asyncio.open_connection(sock=sock, limit=1_024)
        head = ('POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
                f'Authorization: Bearer {KEY}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n')
        writer.write(head.encode() + body)
        try:
            yield writer
        finally:
            writer.close()

    def _ended_requests(self, scenario: Coroutine[Any, Any, None]) -> list[Any]:
        """Run a scenario; return its log lines of requests that ended."""
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        handler.setFormatter(reports.JsonFormatter())
        reports.set_up_logs()
        root = logging.getLogger()
        root.addHandler(handler)
        try:
            asyncio.run(scenario)
        finally:
            root.removeHandler(handler)
        self.assertNotIn(KEY, stream.getvalue())
        self.assertNotIn('long report', stream.getvalue())
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        return [line for line in lines if line['event'] == 'request_ended']

    def test_disconnecting_releases_everything(self) -> None:

        async def scenario() -> None:
            async with run_site() as running_site:
                for stream in (True, False):
                    body = json.loads(self.BODY)
                    body['stream'] = stream
                    async with self._send_request(running_site,
                                                  json.dumps(body).encode()):
                        async with asyncio.timeout(IDLE_TIMEOUT_S):
                            while not any(
                                    e.running
                                    for e in running_site.engines.values()):
                                await asyncio.sleep(POLL_S)
                    await wait_until_idle(running_site)

        ended = self._ended_requests(scenario())
        self.assertEqual([line['outcome'] for line in ended], ['hung_up'] * 2)

    def test_disconnects_a_caller_that_does_not_read(self) -> None:

        async def scenario() -> None:
            async with (run_site(slowdown=0.01) as running_site,
                        self._send_request(running_site, self.BODY)):
                mailboxes_ = running_site.entries[VM].mailboxes
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    while not mailboxes_.open_mailboxes:
                        await asyncio.sleep(POLL_S)
                await wait_until_idle(running_site)

        ended = self._ended_requests(scenario())
        self.assertEqual([line['outcome'] for line in ended], ['caller_slow'])
        tokens = ended[0]['tokens']
        # The time until then is that of the engine, which a busy machine holds
        # up; what was sent is bounded by the buffers.
        self.assertLess(tokens, self.ANSWER_TOKENS / 10)


class ServerStopTest(unittest.IsolatedAsyncioTestCase):
    """A server stops, whatever its clients do."""

    async def test_stops_with_a_connection_that_is_accepted_meanwhile(
            self) -> None:
        # The system accepts it; the loop learns of it some iterations later.
        for iterations in range(6):
            with self.subTest(iterations=iterations):
                await self._stop_while_connecting(iterations)

    async def _stop_while_connecting(self, iterations: int) -> None:
        """Stop a server just after a client that sends nothing connected."""
        server = AppServer(None, '127.0.0.1', 0)
        await server.start()
        shut_down = server.server.shutdown
        client = socket.socket()
        self.addCleanup(client.close)

        async def connect_and_shut_down(sockets: Any = None) -> None:
            client.connect(server.socket.getsockname())
            for _ in range(iterations):
                await asyncio.sleep(0)
            await shut_down(sockets)

        with mock.patch.object(server.server, 'shutdown',
                               connect_and_shut_down):
            async with asyncio.timeout(5):
                await server.stop()


class MailboxTest(unittest.TestCase):
    """A mailbox's backlog is bounded."""

    def test_reports_an_overflow_once(self) -> None:
        overflows: list[None] = []
        mailbox = mailboxes.Mailbox(lambda: overflows.append(None))
        chunk = fx.SendTokens(RequestId('r'), ('t',))
        for _ in range(mailboxes.MAX_BACKLOG_TOKENS):
            mailbox.put(chunk)
        self.assertEqual(len(overflows), 0)
        for _ in range(2):
            mailbox.put(chunk)
        self.assertEqual(len(overflows), 1)
        self.assertEqual(list(mailbox.replies), [mailboxes.Disconnected()])
