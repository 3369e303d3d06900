"""Stand-ins of the platform on loopback: its metadata store and endpoints.

They implement the part of the platform's protocol that the gateway uses, and
fail on demand. All servers run on the running event loop.
"""

import asyncio
import base64
import contextlib
import ctypes
import json
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, Final

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from plantainridge.platform import names, records
from plantainridge.serve import AppServer

HOST: Final = '127.0.0.1'
POLL_INTERVAL_S: Final = 0.02
EVENT_INTERVAL_S: Final = 0.01
MS_PER_S: Final = 1_000.0
METHODS: Final = ['GET', 'POST', 'PUT', 'DELETE']

SO_ATTACH_FILTER: Final = 26
SO_DETACH_FILTER: Final = 27
# BPF program that returns 0: the socket drops every packet.
_DROP_CODE: Final = ctypes.create_string_buffer(struct.pack('HBBI', 6, 0, 0, 0))
DROP_ALL: Final = struct.pack('HP', 1, ctypes.addressof(_DROP_CODE))

Handler = Callable[[Request], Coroutine[Any, Any, Response]]


@attrs.frozen
class StoredRecord:
    """A record of a keyed topic; the value is None for a deleted key."""

    key: str
    value: bytes | None


class StandinStore:
    """The platform's log: keyed topics with one partition each.

    Attributes:
        topics: Records of each topic, from offset 0.
        forced_status: Status of the answer to every call; 0 to serve.
        era: Stated in every answer; rises with each restore.
        calls_by_path: Number of calls so far.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[StoredRecord]] = {}
        self.forced_status = 0
        self.era = 0
        self.calls_by_path: dict[str, int] = {}
        routes = {
            names.LOG_NEWEST: self._newest,
            names.LOG_READ: self._read,
            names.LOG_APPEND: self._append
        }
        self.server = AppServer(
            Starlette(routes=[
                Route(path, self._guard(handler), methods=METHODS)
                for path, handler in routes.items()
            ]), HOST, 0)

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record of a JSON value, or delete the key for None."""
        data = None if value is None else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append(StoredRecord(key, data))

    def restore(self, count: int) -> None:
        """Return from a copy that lacks the last records of each topic."""
        self.era += 1
        for stored in self.topics.values():
            del stored[max(0, len(stored) - count):]

    def _guard(self, handler: Handler) -> Handler:

        async def guarded(request: Request) -> Response:
            path = request.url.path
            self.calls_by_path[path] = self.calls_by_path.get(path, 0) + 1
            response = (Response(status_code=self.forced_status)
                        if self.forced_status else await handler(request))
            response.headers[names.STORE_ERA.decode()] = str(self.era)
            return response

        return guarded

    async def _newest(self, request: Request) -> Response:
        stored = self.topics.get(request.query_params['topic'], [])
        newest = {each.key: (at, each) for at, each in enumerate(stored)}
        items = [{
            'key': key,
            'value': base64.b64encode(each.value).decode(),
            'offset': at
        } for key, (at, each) in newest.items() if each.value is not None]
        return JSONResponse({
            'items': items,
            'has-more': False,
            'end': len(stored)
        })

    async def _read(self, request: Request) -> Response:
        query = request.query_params
        start = int(query['from'])
        if start > len(self.topics.get(query['topic'], [])):
            return JSONResponse({'first': 0}, 410)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get('wait-ms', 0)) / 1_000
        while True:
            stored = self.topics.get(query['topic'], [])
            if len(stored) > start or loop.time() >= deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        data = len(stored).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
        for each in stored[start:]:
            data += records.encode_keyed(each.key, each.value or b'')
        return Response(data)

    async def _append(self, request: Request) -> Response:
        query = request.query_params
        stored = self.topics.setdefault(query['topic'], [])
        at = query.get('at')
        if at is not None and int(at) != len(stored):
            return JSONResponse({'end': len(stored)}, 412)
        body = await request.body()
        page = records.decode_log(bytes(16) + body, 0)
        offset = len(stored)
        stored.extend(
            StoredRecord(each.key, each.value) for each in page.records)
        return JSONResponse({'offset': offset, 'end': len(stored)})


class StandinEndpoint:
    """A model engine, or an endpoint of a service without models.

    Attributes:
        version: Weight version that it runs; 0 without models.
        build: Version of its software, which its events bear; '' if it states
            none.
        started_ms: Unix time of the start of its run, in ms.
        attempt_ids: Attempt ids of the requests that it ran, in order.
        run_headers: Headers of these requests.
        refuses: Whether it refuses requests without running them.
        pause_s: Time that its refusals ask callers to wait, in s; 0 for none.
        leaving: Whether its answers state that it is leaving.
        cut_after_events: Number of events after which streams break off; 0 to
            complete them.
        event_count: Number of events of a complete stream.
        orders: Orders that it accepted.
        silent_until: Loop time until which it does nothing, in s.
    """

    def __init__(self,
                 name: str,
                 service: str,
                 version: int = 0,
                 build: str = '') -> None:
        self.name = name
        self.service = service
        self.version = version
        self.build = build
        self.started_ms = round(time.time() * MS_PER_S)
        self.attempt_ids: list[str] = []
        self.run_headers: list[dict[str, str]] = []
        self.refuses = False
        self.pause_s = 0.0
        self.leaving = False
        self.cut_after_events = 0
        self.event_count = 5
        self.orders: list[dict[str, Any]] = []
        self.silent_until = 0.0
        self.server = AppServer(
            Starlette(routes=[
                Route('/report', self._report),
                Route('/order', self._order, methods=['POST']),
                Route('/{path:path}', self._serve, methods=METHODS)
            ]), HOST, 0)

    def entry(self, state: str = names.STATE_READY) -> dict[str, Any]:
        """Return its entry in the registry."""
        models = [{'name': 'm', 'version': self.version}]
        return {
            'service': self.service,
            'address': self.server.address,
            'zone': 'z',
            'slots': 6,
            'state': state,
            'version': self.build,
            'born': self.started_ms,
            'models': models if self.version else []
        }

    def fall_silent(self, seconds: float, accepts: bool = True) -> None:
        """Do nothing for some time, then continue where it stopped.

        Args:
            seconds: How long, in s.
            accepts: Whether connections can be opened meanwhile.
        """
        loop = asyncio.get_running_loop()
        self.silent_until = loop.time() + seconds
        if not accepts:
            sock = self.server.socket
            sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, DROP_ALL)
            loop.call_later(seconds, _detach_filter, sock)

    async def wait_while_silent(self) -> None:
        """Return once it is not silent."""
        loop = asyncio.get_running_loop()
        while (remaining_s := self.silent_until - loop.time()) > 0.0:
            await asyncio.sleep(remaining_s)

    async def _report(self, request: Request) -> Response:
        del request
        await self.wait_while_silent()
        return JSONResponse({
            'models': self.entry()['models'],
            'born': self.started_ms,
            'busy': False,
            'sequence': len(self.orders)
        })

    async def _order(self, request: Request) -> Response:
        order = await request.json()
        await self.wait_while_silent()
        if order['expect'] != len(self.orders):
            return Response(status_code=409)
        self.orders.append(order)
        self.version = order['version']
        self.on_order(order)
        return Response(status_code=202)

    def on_order(self, order: dict[str, Any]) -> None:
        """Handle an order that was accepted; does nothing by default."""

    async def _serve(self, request: Request) -> Response:
        fields = dict(request.headers.items())
        await request.body()
        await self.wait_while_silent()
        attempt = fields[names.ATTEMPT_ID.decode()]
        response_headers = {names.ATTEMPT_ID.decode(): attempt}
        if self.leaving:
            response_headers[names.LEAVING.decode()] = '1'
        expected = fields.get(names.EXPECTED_INSTANCE.decode(), self.name)
        version = fields.get(names.EXPECTED_VERSION.decode(), '')
        if expected != self.name or version not in ('', str(self.version)):
            return Response(status_code=421, headers=response_headers)
        if self.refuses and self.pause_s:
            response_headers[names.RETRY_AFTER.decode()] = str(self.pause_s)
        if self.refuses:
            return Response(status_code=503,
                            headers={
                                **response_headers,
                                names.NOT_RUN.decode(): '1'
                            })
        self.attempt_ids.append(attempt)
        self.run_headers.append(fields)
        response_headers[names.SIGNATURE.decode()] = f'{self.name}-seal'
        return await self.run(attempt, request, response_headers)

    async def run(self, attempt: str, request: Request,
                  response_headers: dict[str, str]) -> Response:
        """Run a request and return the answer."""
        del attempt
        if not self.version:
            return Response(f'done by {self.name}', headers=response_headers)
        start = int(request.headers.get(names.LAST_EVENT_ID.decode(), 0))
        return StreamingResponse(self.stream(start, request.url.path),
                                 headers=response_headers,
                                 media_type='text/event-stream')

    async def stream(self, start: int, target: str) -> AsyncIterator[bytes]:
        """Yield the events after number `start`, and break off on demand.

        Raises:
            ConnectionResetError: `cut_after_events` was reached.
        """
        for number in range(start + 1, self.event_count + 1):
            if self.cut_after_events and number > self.cut_after_events:
                yield b'id: %d\nda' % number
                raise ConnectionResetError('stream cut on demand')
            await self.wait_while_silent()
            yield self.event(number, target)
            await asyncio.sleep(EVENT_INTERVAL_S)

    def event(self, number: int, target: str) -> bytes:
        """Return one event of a stream."""
        del target
        text = f't{number} {self.build}' if self.build else f't{number}'
        return f'id: {number}\ndata: {text}\n\n'.encode()


def _detach_filter(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
