"""Engines that share a KV cache store, and restarts of all gateways.

What gateways know is lost if all of them are killed, and a gateway that starts
does not know whether the store has restarted too. Requests meanwhile share
parts through the store, and some have a part that crashes engines.
"""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any, Final

import h11
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from plantainridge.platform import names
from plantainridge.serve import AppServer
from plantainridge.standins.platform_site import StandinEndpoint
from tests.soak.callers import (CallerConnection, ReceivedAnswer, send_and_read)
from tests.soak.history import FaultSpan, History

if TYPE_CHECKING:
    from tests.soak.site import GatewayVm, SoakSite

SHARERS: Final = 'sharers'
SHARERS_MODEL: Final = 's'
STORE: Final = 'cache'
SHARE_PREFIX: Final = '/share/'
ENGINE_COUNT: Final = 4
MS_PER_S: Final = 1_000.0
# Times of transfers from and to the store, and until a part is computed.
FETCH_S: Final = 0.05
SAVE_S: Final = 0.4
PREFILL_S: Final = 0.05
# A call to a store that is gone is never answered.
NEVER_S: Final = 60.0
# Time for which a crashed engine refuses requests.
CRASHED_S: Final = 0.5
CRASHING_PART: Final = 'bad'
CRASHING_RATIO: Final = 0.1
CONTEXT_COUNT: Final = 4
CALLER_COUNT: Final = 8
CALL_INTERVAL_S: Final = 0.2
CALL_TIMEOUT_S: Final = 3.0
# Restarts of all gateways, each followed by one of a data centre beside a
# restart of the store, with the time after each.
ROUNDS: Final = 2
CALM_S: Final = 4.5
# Time before the first one, in which parts are saved.
FIRST_CALM_S: Final = 7.0
# Time from the first answer of a gateway that starts to the store's restart.
RESTART_DELAY_S: Final = (0.0, 1.2)
STORE_DOWN_S: Final = 0.3


class CacheStore:
    """A KV cache store that drops nothing but at a restart.

    Attributes:
        epoch: Changes with each restart.
        complete: Complete parts, by salt and id.
        partial: Parts that are being written.
        events: Rows of changes since the restart.
    """

    def __init__(self, history: History) -> None:
        self.history = history
        self.epoch = 1
        self.is_up = True
        self.complete: set[tuple[str, str]] = set()
        self.partial: set[tuple[str, str]] = set()
        self.events: list[list[Any]] = []
        self.server = AppServer(
            Starlette(routes=[
                Route('/kv-list', self._list),
                Route('/kv-events', self._poll)
            ]), '127.0.0.1', 0)

    async def restart(self) -> None:
        """Fall silent for a moment, and return empty."""
        self.is_up = False
        await asyncio.sleep(STORE_DOWN_S)
        self.epoch += 1
        self.complete, self.partial, self.events = set(), set(), []
        self.is_up = True

    async def save(self, part: tuple[str, str]) -> None:
        """Write a part, unless it is there or being written."""
        if not self.is_up or part in self.complete | self.partial:
            return
        epoch = self.epoch
        self.partial.add(part)
        await asyncio.sleep(SAVE_S)
        if self.is_up and self.epoch == epoch:
            self.partial.remove(part)
            self.complete.add(part)
            self.events.append([len(self.events) + 1, '+', *part, 1, 'm'])

    async def fetch(self, part: tuple[str, str], until_ms: int) -> None:
        """Read what is there of a part; record one that is not complete."""
        is_partial = self.is_up and part in self.partial
        await asyncio.sleep(FETCH_S)
        if is_partial and time.time() * MS_PER_S <= until_ms:
            self.history.partial_fetches.append(part[1])

    async def _list(self, request: Request) -> Response:
        del request
        epoch = await self._wait_up()
        return JSONResponse({
            'epoch': epoch,
            'next': len(self.events) + 1,
            'held': [[*part, 1, 'm'] for part in self.complete],
            'partial': [[*part, 0, 1] for part in self.partial]
        })

    async def _poll(self, request: Request) -> Response:
        epoch = await self._wait_up()
        since = int(request.query_params['since'])
        wait_s = int(request.headers[names.WAIT_MS.decode()]) / MS_PER_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.is_up and len(self.events) < since:
                    await asyncio.sleep(0.01)
        if not self.is_up or self.epoch != epoch:
            await asyncio.sleep(NEVER_S)
        return JSONResponse({
            'epoch': epoch,
            'next': len(self.events) + 1,
            'lost': since > len(self.events) + 1,
            'clock_ms': time.time() * MS_PER_S,
            'events': self.events[max(0, since - 1):]
        })

    async def _wait_up(self) -> int:
        """Return the epoch; calls to a store that is down are lost."""
        if not self.is_up:
            await asyncio.sleep(NEVER_S)
        return self.epoch


class Sharer(StandinEndpoint):
    """An engine that fetches parts from the store and saves them there.

    Attributes:
        store: The store.
        crashes: Number of its crashes; each breaks all its streams.
    """

    def __init__(self, name: str, store: CacheStore) -> None:
        super().__init__(name, SHARERS, 1)
        self.refuses = False
        self.store = store
        self.crashes = 0
        self.saves: set[asyncio.Task[None]] = set()

    def entry(self, state: str = names.STATE_READY) -> dict[str, Any]:
        models = [{'name': SHARERS_MODEL, 'version': self.version}]
        return {**super().entry(state), 'models': models, 'slots': 16}

    async def run(self, attempt: str, request: Request,
                  response_headers: dict[str, str]) -> Response:
        """Run a request; fetch and save its parts, or crash."""
        del attempt
        fields = request.headers
        prefix = fields[names.PROMPT_PREFIX.decode()]
        parts = [each.partition(':')[0] for each in prefix.split(',')]
        if CRASHING_PART in parts:
            self.crash()
        salt = fields.get(names.CACHE_SALT.decode(), '')
        until_ms = int(fields.get(names.CACHE_UNTIL.decode(), '0'))
        sources = fields.get(names.CACHE_FETCH.decode(), '').split(',')
        targets = fields.get(names.CACHE_SAVE.decode(), '').split(',')
        for part, source in zip(parts, sources):
            if source not in ('', '-'):
                await self.store.fetch((salt, part), until_ms)
        await asyncio.sleep(PREFILL_S)
        for part, target in zip(parts, targets):
            if target not in ('', '-'):
                save = asyncio.create_task(self.store.save((salt, part)))
                self.saves.add(save)
                save.add_done_callback(self.saves.discard)
        crashes = self.crashes - (CRASHING_PART in parts)
        return StreamingResponse(self._stream_until(crashes, request.url.path),
                                 headers=response_headers,
                                 media_type='text/event-stream')

    def crash(self) -> None:
        """Break all streams, and refuse requests for some time."""
        self.store.history.crashing_runs.append(time.time())
        self.crashes += 1
        self.refuses = True
        asyncio.get_running_loop().call_later(CRASHED_S, setattr, self,
                                              'refuses', False)

    async def _stream_until(self, crashes: int,
                            target: str) -> AsyncIterator[bytes]:
        async for event in self.stream(0, target):
            if self.crashes != crashes:
                raise ConnectionResetError('crashed on demand')
            yield event


class SharingSite:
    """The store, its engines and their callers."""

    def __init__(self, rng: random.Random, history: History) -> None:
        self.rng = rng
        self.history = history
        self.store = CacheStore(history)
        self.engines = [
            Sharer(f's-{number}', self.store) for number in range(ENGINE_COUNT)
        ]
        self._numbers = itertools.count(1)

    async def start(self) -> None:
        """Start the store and the engines."""
        for server in self._servers():
            await server.start()

    async def stop(self) -> None:
        """Stop them, with calls that are never answered."""
        for server in self._servers():
            await server.kill()

    def _servers(self) -> list[AppServer]:
        return [self.store.server, *(each.server for each in self.engines)]

    def services(self) -> list[dict[str, Any]]:
        """Return the services of the configuration."""
        return [{
            'name': SHARERS,
            'engine': {
                'slots': 16,
                'cache-capacity-tokens': 99_999,
                'token-size-bytes': 1_000,
                'link-mbps': 100_000.0,
                'models': [{
                    'name': SHARERS_MODEL
                }]
            }
        }, {
            'name': STORE,
            'managed': True,
            'cache-store-address': self.store.server.address,
            'zone': 'dc-1',
            'cache-capacity-tokens': 10_000_000,
            'link-mbps': 100_000.0,
            'first_ms': 1.0,
            'max-concurrent': 16
        }]

    async def run(self, site: 'SoakSite') -> None:
        """Restart gateways and the store while callers send requests."""
        callers = [
            asyncio.create_task(self._call(site)) for _ in range(CALLER_COUNT)
        ]
        try:
            await asyncio.sleep(FIRST_CALM_S)
            for _ in range(ROUNDS):
                await self._restart(site, site.gateways)
                await asyncio.sleep(CALM_S)
                dc = self.rng.choice(site.gateways).dc
                await self._restart(site,
                                    [vm for vm in site.gateways if vm.dc == dc])
                await asyncio.sleep(self.rng.uniform(*RESTART_DELAY_S))
                await self.store.restart()
                await asyncio.sleep(CALM_S)
        finally:
            for task in callers:
                task.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        site.history.faults_ended_at = time.time()

    async def _restart(self, site: 'SoakSite', vms: list['GatewayVm']) -> None:
        """Kill gateways at the same moment, and wait until they run again."""
        start = time.time()
        spans = self.history.fault_spans
        first = len(spans)
        spans += [FaultSpan(vm.name, 'kill', start, float('inf')) for vm in vms]
        for vm in vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
        for vm in vms:
            if vm.process is not None:
                await vm.process.wait()
            await site.start_gateway(vm)
        for at, vm in enumerate(vms):
            await _wait_listening(vm)
            spans[first + at] = FaultSpan(vm.name, 'kill', start, time.time())

    async def _call(self, site: 'SoakSite') -> None:
        while True:
            number = next(self._numbers)
            context = f'c{self.rng.randrange(CONTEXT_COUNT)}'
            if self.rng.random() < CRASHING_RATIO:
                context = CRASHING_PART
            vm = self.rng.choice(site.gateways)
            headers = [(b'host', b'h'), (b'content-length', b'0'),
                       (names.ATTEMPT_ID, f's{number}'.encode()),
                       (names.MODEL, SHARERS_MODEL.encode()),
                       (names.TOKEN_USAGE, b'4150,20'),
                       (names.PROMPT_PREFIX,
                        f'aa:100,{context}:4000,{number:x}:50'.encode()),
                       (names.DEADLINE, b'3000')]
            request = h11.Request(method=b'POST',
                                  target=f'{SHARE_PREFIX}{number}'.encode(),
                                  headers=headers)
            with contextlib.suppress(OSError, h11.RemoteProtocolError):
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    await _send(vm, request)
            await asyncio.sleep(CALL_INTERVAL_S)


async def _send(vm: 'GatewayVm', request: h11.Request) -> None:
    """Send a request on a connection of its own."""
    connection = CallerConnection(
        vm.name, *await asyncio.open_connection(vm.host, 7_000))
    try:
        await send_and_read(connection, request, ReceivedAnswer())
    finally:
        connection.writer.transport.abort()


async def _wait_listening(vm: 'GatewayVm') -> None:
    """Wait until a gateway answers; it need not be ready."""
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(vm.host, 7_001)
            writer.close()
            return
        await asyncio.sleep(0.02)
