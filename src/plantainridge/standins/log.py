"""Model of the platform's append-only log, with its HTTP interface."""

import asyncio
import base64
import math
from typing import Final

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plantainridge.events import Record

MAX_WAIT_S: Final = 5.0
MAX_READ_RECORDS: Final = 1_000
APPENDS_PER_S: Final = 500.0


@attrs.define
class _Stream:
    first: int = 0
    records: list[Record] = attrs.field(factory=list)
    appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class LogModel:
    """All streams of the log; they use the running loop's clock.

    Attributes:
        down: While true, every call fails without effect.
        slow_s: Extra one-way delay of each call, in s.
        appends_per_s: Maximum rate of appends.
        retention_s: Retention period by stream name, in s; records of other
            streams never expire.
        clock_offset_s: Log clock minus loop clock, in s.
        appends: Number of appends so far.
    """

    def __init__(self) -> None:
        self.streams: dict[tuple[str, int], _Stream] = {}
        self.down = False
        self.slow_s = 0.0
        self.appends_per_s = APPENDS_PER_S
        self.retention_s: dict[str, float] = {}
        self.clock_offset_s = 0.0
        self._next_slot_at = 0.0
        self.appends = 0

    def time(self) -> float:
        """Return the log's clock time, in s."""
        return asyncio.get_running_loop().time() + self.clock_offset_s

    def stream(self, name: str, shard: int) -> _Stream:
        """Return a stream, created empty if it does not exist."""
        return self.streams.setdefault((name, shard), _Stream())

    async def wait_for_append_slot(self) -> None:
        """Wait until the rate limit allows another append."""
        now = asyncio.get_running_loop().time()
        slot_at = max(now, self._next_slot_at)
        self._next_slot_at = slot_at + 1.0 / self.appends_per_s
        if slot_at > now:
            await asyncio.sleep(slot_at - now)

    def append(self, name: str, shard: int, payloads: list[bytes]) -> int:
        """Append records in one step and return the first one's offset."""
        stream = self.stream(name, shard)
        first = stream.end
        now = self.time()
        for payload in payloads:
            stream.records.append(Record(stream.end, now, payload))
        self.appends += 1
        stream.appended.set()
        stream.appended = asyncio.Event()
        return first

    def read(self, name: str, shard: int, offset: int) -> list[Record]:
        """Return one page of records from an offset on."""
        stream = self.stream(name, shard)
        self._expire(stream, self.retention_s.get(name, math.inf))
        start = max(0, offset - stream.first)
        return stream.records[start:start + MAX_READ_RECORDS]

    def trim(self, name: str, shard: int, first: int) -> None:
        """Drop the records before an offset."""
        stream = self.stream(name, shard)
        expired = max(0, min(first, stream.end) - stream.first)
        del stream.records[:expired]
        stream.first += expired

    def _expire(self, stream: _Stream, retention_s: float) -> None:
        oldest = self.time() - retention_s
        expired = 0
        while expired < len(
                stream.records) and stream.records[expired].at < oldest:
            expired += 1
        del stream.records[:expired]
        stream.first += expired

    async def wait(self, name: str, shard: int, offset: int,
                   wait_s: float) -> None:
        """Wait until a record exists at an offset, or for `wait_s` at most."""
        stream = self.stream(name, shard)
        if stream.end > offset or wait_s <= 0:
            return
        try:
            await asyncio.wait_for(stream.appended.wait(), wait_s)
        except TimeoutError:
            return


class LogApp:
    """HTTP routes of the log service."""

    def __init__(self, model: LogModel) -> None:
        self.model = model
        path = '/streams/{name}/{shard:int}/records'
        self.app = Starlette(routes=[
            Route(path, self.append, methods=['POST']),
            Route(path, self.read, methods=['GET']),
        ])

    async def append(self, request: Request) -> Response:
        """Append the records of the body and return the first offset."""
        if self.model.down:
            return JSONResponse({'error': 'outage'}, status_code=503)
        body = await request.json()
        await self.model.wait_for_append_slot()
        payloads = [base64.b64decode(text) for text in body['payloads']]
        first = self.model.append(request.path_params['name'],
                                  request.path_params['shard'], payloads)
        return JSONResponse({'first': first})

    async def read(self, request: Request) -> Response:
        """Return records; at the stream's end, wait for new ones."""
        if self.model.down:
            return JSONResponse({'error': 'outage'}, status_code=503)
        name = request.path_params['name']
        shard = request.path_params['shard']
        offset = int(request.query_params['offset'])
        wait_s = min(MAX_WAIT_S, float(request.query_params.get('wait_s', 0)))
        await self.model.wait(name, shard, offset, wait_s)
        stream = self.model.stream(name, shard)
        return JSONResponse({
            'first':
                stream.first,
            'end':
                stream.end,
            'at':
                self.model.time(),
            'records': [{
                'offset': record.offset,
                'at': record.at,
                'payload': base64.b64encode(record.payload).decode()
            } for record in self.model.read(name, shard, offset)],
        })
