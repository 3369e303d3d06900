"""Callers that reuse connections and record the outcome of each attempt."""

import asyncio
import contextlib
import itertools
import random
import time
import zlib
from collections.abc import Callable
from typing import Final

import attrs
import h11

from plantainridge.platform import names
from tests.soak.history import History, Outcome, Unsent

CALLER_TIMEOUT_S: Final = 3.0
PAUSE_RANGE_S: Final = (0.0, 0.12)
STREAM_PREFIXES: Final = ('/report/', '/tag/')
ONCE_PREFIX: Final = '/submit/'
READ_BYTES: Final = 64 * 1_024
# Number of contexts that prompts share.
SHARED_CONTEXTS: Final = 20


@attrs.define
class CallerConnection:
    """A connection to one gateway."""

    gateway: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@attrs.define
class ReceivedAnswer:
    """The part of an answer that was received.

    Attributes:
        complete: Whether the answer came to its proper end.
        signed: Whether it bears an endpoint's signature.
        closes_connection: Whether the gateway closes the connection after it.
        retry_after_s: Time until the next attempt that the gateway asks for,
            in s.
    """

    status: int = 0
    complete: bool = False
    signed: bool = False
    closes_connection: bool = True
    retry_after_s: float = 0.0
    body: bytearray = attrs.field(factory=bytearray)

    def record_head(self, head: h11.Response) -> None:
        """Record the status and what the headers state."""
        fields = dict(head.headers)
        self.status = head.status_code
        self.signed = names.SIGNATURE in fields
        self.closes_connection = fields.get(b'connection', b'') == b'close'
        self.retry_after_s = float(fields.get(names.RETRY_AFTER, b'0'))


class Caller:
    """A caller that sends one attempt after another until it is cancelled."""

    def __init__(self, name: str, rng: random.Random,
                 pick_key_and_prefix: Callable[[], tuple[str, str]],
                 pick_gateway: Callable[[],
                                        tuple[str,
                                              str]], history: History) -> None:
        """Initialize the caller.

        Args:
            name: Prefix of the ids of its attempts.
            rng: Source of randomness.
            pick_key_and_prefix: Returns a key and the prefix of a route.
            pick_gateway: Returns a gateway in rotation and its address.
            history: Receives the outcome of each attempt.
        """
        self.name = name
        self.rng = rng
        self.pick_key_and_prefix = pick_key_and_prefix
        self.pick_gateway = pick_gateway
        self.history = history
        self._numbers = itertools.count(1)
        self._connection: CallerConnection | None = None

    async def run(self) -> None:
        """Send attempts until cancelled."""
        while True:
            try:
                pause_s = await self._send_attempt()
            except OSError:
                pause_s = 0.1
            await asyncio.sleep(pause_s + self.rng.uniform(*PAUSE_RANGE_S))

    async def _send_attempt(self) -> float:
        """Send one attempt; return the time until the next, in s."""
        key, prefix = self.pick_key_and_prefix()
        number = next(self._numbers)
        attempt = f'{self.name}-{number}'
        target = f'{prefix}{self.name}/{number}'
        if self._connection is None:
            gateway, address = self.pick_gateway()
            host, _, port = address.rpartition(':')
            try:
                async with asyncio.timeout(1.0):
                    streams = await asyncio.open_connection(host, int(port))
            except OSError:
                self.history.unsent.append(Unsent(gateway, time.time()))
                raise
            self._connection = CallerConnection(gateway, *streams)
        connection = self._connection
        answer = ReceivedAnswer()
        sent_at = time.time()
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            async with asyncio.timeout(CALLER_TIMEOUT_S + 1.0):
                await send_and_read(connection, _request(attempt, key, target),
                                    answer)
        if (answer.closes_connection or not answer.complete or
                self.rng.random() < 0.1):
            connection.writer.transport.abort()
            self._connection = None
        kind = 'stream' if prefix in STREAM_PREFIXES else 'safe'
        kind = 'once' if prefix == ONCE_PREFIX else kind
        self.history.outcomes.append(
            Outcome(attempt, kind, connection.gateway, key, target, sent_at,
                    time.time(), answer.status, answer.complete, answer.signed,
                    bytes(answer.body)))
        return min(1.0, answer.retry_after_s)


def _request(attempt: str, key: str, target: str) -> h11.Request:
    headers = [(b'host', b'h'), (names.ATTEMPT_ID, attempt.encode()),
               (names.DEADLINE, str(round(CALLER_TIMEOUT_S * 1_000)).encode()),
               (names.AUTHORIZATION, f'Bearer {key}'.encode()),
               (b'content-length', b'0')]
    if target.startswith(STREAM_PREFIXES):
        context = zlib.crc32(target.encode()) % SHARED_CONTEXTS
        parts = f'aa:100,{context:x}:300,{attempt.encode().hex()}:50'
        headers += [(names.MODEL, b'm'), (names.TOKEN_USAGE, b'450,20'),
                    (names.PROMPT_PREFIX, parts.encode())]
    return h11.Request(method=b'POST', target=target.encode(), headers=headers)


async def send_and_read(connection: CallerConnection, request: h11.Request,
                        answer: ReceivedAnswer) -> None:
    """Send a request without a body, and read its answer."""
    http = h11.Connection(h11.CLIENT)
    connection.writer.write(http.send(request) + http.send(h11.EndOfMessage()))
    await connection.writer.drain()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await connection.reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            answer.record_head(event)
        elif isinstance(event, h11.Data):
            answer.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            answer.complete = True
            return
        else:
            return
