"""Model workers of the cases that have no cache store."""

import asyncio
import time
from collections.abc import Callable

from standins import Platform, Record, Request, Server, json_answer

READ_TOKENS_PER_S = 56_900.0
HEARTBEAT_S = 1.2


def clock_ms() -> int:
    return round(time.time() * 1_000)


class Engine:
    """A model worker that writes events until its stream is complete.

    Attributes:
        on_begin: Called as it begins to write an answer; it may crash it.
        version: Version of its software, which its events bear.
    """

    def __init__(self,
                 name: str,
                 host: str,
                 zone: str,
                 platform: Platform,
                 record: Record,
                 version: str = 'v1',
                 events: int = 4,
                 event_s: float = 0.02) -> None:
        self.name, self.zone = name, zone
        self.platform, self.record = platform, record
        self.version, self.events, self.event_s = version, events, event_s
        self.born = clock_ms()
        self.on_begin: Callable[['Engine', Request], None] | None = None
        self.running = 0
        self.sequence = 0
        self.is_up = False
        self.server = Server(host, self._serve)

    async def start(self) -> None:
        self.born = clock_ms()
        await self.server.start()
        self.is_up = True
        self.register()

    def register(self) -> None:
        self.sequence += 1
        self.platform.put('keyed.servers', self.name, self.entry())

    async def beat(self) -> None:
        """Write its entry at each heartbeat while it runs."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up:
                self.register()

    async def crash(self, down_s: float) -> None:
        """Crash, and start again under the same id."""
        self.is_up = False
        self.server.crash()
        self.record.write(f'{self.name}: crashed')
        await asyncio.sleep(down_s)
        await self.start()
        self.record.write(f'{self.name}: is back')

    def entry(self) -> dict:
        return {
            'service': 'llm',
            'address': self.server.address,
            'zone': self.zone,
            'version': self.version,
            'slots': 64,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
            'stage': 'prefill_and_decode',
            'models': [{
                'name': 'm',
                'version': 1,
                'adapters': []
            }]
        }

    async def _serve(self, request: Request):
        if request.path == '/report':
            return json_answer({
                **self.entry(), 'sequence': 0,
                'busy': False,
                'waiting': 0,
                'running': self.running,
                'clock_ms': clock_ms()
            })
        fields = request.headers
        attempt = fields.get('x-attempt-id', '')
        if (fields.get('x-expected-instance', self.name) != self.name or
                fields.get('x-expected-version', '1') != '1'):
            return 421, {'X-Attempt-Id': attempt}, b''
        self.running += 1
        try:
            await self._run(request, attempt)
        finally:
            self.running -= 1
        return None

    async def _run(self, request: Request, attempt: str) -> None:
        after = int(request.headers.get('last-event-id', 0))
        self.record.write(f'{self.name}: runs {attempt} after event {after}')
        tokens = int(request.headers['x-token-usage'].split(',')[0])
        await asyncio.sleep(tokens / READ_TOKENS_PER_S)
        if self.on_begin is not None:
            self.on_begin(self, request)
        writer = request.writer
        writer.write((f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n'
                      f'X-Response-Seal: {self.name}.1\r\n'
                      f'X-Weight-Versions: 1\r\n'
                      f'X-Server-Load: {self.running},0,64\r\n'
                      'Content-Type: text/event-stream\r\n'
                      'Transfer-Encoding: chunked\r\n\r\n').encode())
        for number in range(after + 1, self.events + 1):
            event = (f'id: {number}\ndata: {self.version} {number} of '
                     f'{self.events}\n\n').encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def configuration(attempts: int = 2, timeout_ms: int = 15_000) -> dict:
    engine = {
        'slots': 64,
        'cache-capacity-tokens': 84_438,
        'token-size-bytes': 18_432,
        'link-mbps': 550_000.0,
        'models': [{
            'name': 'm'
        }]
    }
    return {
        'version': 1,
        'routes': [{
            'name': 'report',
            'host': 'h.example',
            'path-prefix': '/report/',
            'kind': 'streaming',
            'service': 'llm',
            'attempts': attempts,
            'timeout-ms': timeout_ms,
            'target-latency-ms': 1_000,
            'target-gap-ms': 300,
            'resumable': True,
            'sticky-sessions': True,
            'priority': 1
        }],
        'services': [{
            'name': 'llm',
            'health-check-path': '/health',
            'engine': engine
        }],
        'tenants': [{
            'name': 'tenant-a',
            'api-keys': ['key-a']
        }],
        'limits': {
            'max-header-bytes': 16_384,
            'max-body-bytes': 4_194_304,
            'header-timeout-ms': 3_000,
            'idle-timeout-ms': 15_000
        }
    }


def headers_of(attempt: str, parts: str, tokens: int) -> dict:
    return {
        'Host': 'h.example',
        'X-Attempt-Id': attempt,
        'Authorization': 'Bearer key-a',
        'X-Model': 'm',
        'X-Token-Usage': f'{tokens},64',
        'X-Prompt-Prefix': parts,
        'X-Deadline-Milliseconds': '15000'
    }
