"""Callers that keep connections and log what they see."""

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
from tests.soak.history import Outcome

PATIENCE_S: Final = 3.0
PAUSE_S: Final = (0.0, 0.12)
STREAMS: Final = ('/report/', '/tag/')
ONCE: Final = '/submit/'
READ_BYTES: Final = 64 * 1_024
# Contexts that prompts share.
CONTEXTS: Final = 20


@attrs.define
class _Kept:
    """A connection to one gateway."""

    gateway: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@attrs.define
class Seen:
    """What was read of one answer."""

    status: int = 0
    whole: bool = False
    sealed: bool = False
    closes: bool = True
    retry_after_s: float = 0.0
    body: bytearray = attrs.field(factory=bytearray)


class Caller:
    """One caller that asks again and again until it is told to stop."""

    def __init__(self, name: str, rng: random.Random,
                 pick: Callable[[], tuple[str, str]],
                 choose: Callable[[],
                                  tuple[str,
                                        str]], outcomes: list[Outcome]) -> None:
        """Prepares a caller.

        Args:
            name: Begins the ids of its attempts.
            rng: Source of randomness.
            pick: Returns a key and the prefix of a route.
            choose: Returns a gateway in rotation and its address.
            outcomes: Where what it sees is logged.
        """
        self.name = name
        self.rng = rng
        self.pick = pick
        self.choose = choose
        self.outcomes = outcomes
        self._numbers = itertools.count(1)
        self._kept: _Kept | None = None

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            try:
                pause_s = await self._ask()
            except OSError:
                pause_s = 0.1
            await asyncio.sleep(pause_s + self.rng.uniform(*PAUSE_S))

    async def _ask(self) -> float:
        """Sends one attempt; returns when to send the next, in s."""
        key, prefix = self.pick()
        number = next(self._numbers)
        attempt = f'{self.name}-{number}'
        target = f'{prefix}{self.name}/{number}'
        if self._kept is None:
            gateway, address = self.choose()
            host, _, port = address.rpartition(':')
            async with asyncio.timeout(1.0):
                streams = await asyncio.open_connection(host, int(port))
            self._kept = _Kept(gateway, *streams)
        kept = self._kept
        seen = Seen()
        sent_at = time.time()
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            async with asyncio.timeout(PATIENCE_S + 1.0):
                await _exchange(kept, _request(attempt, key, target), seen)
        if seen.closes or not seen.whole or self.rng.random() < 0.1:
            kept.writer.transport.abort()
            self._kept = None
        kind = 'stream' if prefix in STREAMS else 'safe'
        kind = 'once' if prefix == ONCE else kind
        self.outcomes.append(
            Outcome(attempt, kind, kept.gateway, key, target, sent_at,
                    time.time(), seen.status, seen.whole, seen.sealed,
                    bytes(seen.body)))
        return min(1.0, seen.retry_after_s)


def _request(attempt: str, key: str, target: str) -> h11.Request:
    headers = [(b'host', b'h'), (names.ATTEMPT_ID, attempt.encode()),
               (names.DEADLINE, str(round(PATIENCE_S * 1_000)).encode()),
               (names.AUTHORIZATION, f'Bearer {key}'.encode()),
               (b'content-length', b'0')]
    if target.startswith(STREAMS):
        context = zlib.crc32(target.encode()) % CONTEXTS
        parts = f'aa:100,{context:x}:300,{attempt.encode().hex()}:50'
        headers += [(names.MODEL, b'm'), (names.TOKEN_USAGE, b'450,20'),
                    (names.PROMPT_PREFIX, parts.encode())]
    return h11.Request(method=b'POST', target=target.encode(), headers=headers)


async def _exchange(kept: _Kept, request: h11.Request, seen: Seen) -> None:
    http = h11.Connection(h11.CLIENT)
    kept.writer.write(http.send(request) + http.send(h11.EndOfMessage()))
    await kept.writer.drain()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await kept.reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            fields = dict(event.headers)
            seen.status = event.status_code
            seen.sealed = names.SIGNATURE in fields
            seen.closes = fields.get(b'connection', b'') == b'close'
            seen.retry_after_s = float(fields.get(names.RETRY_AFTER, b'0'))
        elif isinstance(event, h11.Data):
            seen.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            seen.whole = True
            return
        else:
            return
