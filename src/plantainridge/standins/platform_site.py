"""A small platform on loopback: its metadata store and its endpoints.

They speak the platform's wire as far as the gateway uses it, and misbehave on
demand. Everything lives on the running loop.
"""

import asyncio
import base64
import json
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
# Pause between two events of a stream, in s.
EVENT_INTERVAL_S: Final = 0.01
METHODS: Final = ['GET', 'POST', 'PUT', 'DELETE']

Handler = Callable[[Request], Coroutine[Any, Any, Response]]


@attrs.frozen
class StoredRecord:
    """One record of a keyed topic; no value for a dropped key."""

    key: str
    value: bytes | None


class StandinStore:
    """The platform's log: keyed topics with one partition each.

    Attributes:
        topics: Records of each topic, from offset 0.
        status: Answers every call with this status; 0 to serve.
        calls: Calls so far, by path.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[StoredRecord]] = {}
        self.status = 0
        self.calls: dict[str, int] = {}
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
        """Appends a record of a JSON value, or drops a key for None."""
        data = None if value is None else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append(StoredRecord(key, data))

    def _guard(self, handler: Handler) -> Handler:

        async def guarded(request: Request) -> Response:
            path = request.url.path
            self.calls[path] = self.calls.get(path, 0) + 1
            if self.status:
                return Response(status_code=self.status)
            return await handler(request)

        return guarded

    async def _newest(self, request: Request) -> Response:
        found = self.topics.get(request.query_params['topic'], [])
        newest = {each.key: (at, each) for at, each in enumerate(found)}
        items = [{
            'key': key,
            'value': base64.b64encode(each.value).decode(),
            'offset': at
        } for key, (at, each) in newest.items() if each.value is not None]
        return JSONResponse({
            'items': items,
            'has-more': False,
            'end': len(found)
        })

    async def _read(self, request: Request) -> Response:
        query = request.query_params
        start = int(query['from'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get('wait-ms', 0)) / 1_000
        while True:
            found = self.topics.get(query['topic'], [])
            if len(found) > start or loop.time() >= until:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        data = len(found).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
        for each in found[start:]:
            data += records.encode_keyed(each.key, each.value or b'')
        return Response(data)

    async def _append(self, request: Request) -> Response:
        query = request.query_params
        found = self.topics.setdefault(query['topic'], [])
        at = query.get('at')
        if at is not None and int(at) != len(found):
            return JSONResponse({'end': len(found)}, 412)
        body = await request.body()
        page = records.decode_log(bytes(16) + body, 0)
        offset = len(found)
        found.extend(
            StoredRecord(each.key, each.value) for each in page.records)
        return JSONResponse({'offset': offset, 'end': len(found)})


class StandinEndpoint:
    """A model engine, or an instance of a plain service.

    Attributes:
        version: The weights that it runs; 0 for a plain service.
        runs: Attempt ids of the requests that it ran, in order.
        seen: Headers of these.
        refuse: Turns requests away unrun.
        cut_after: Breaks streams off after as many events; 0 for none.
        orders: Orders that it accepted.
    """

    def __init__(self, name: str, service: str, version: int = 0) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.runs: list[str] = []
        self.run_headers: list[dict[str, str]] = []
        self.refuse = False
        self.cut_after = 0
        self.events = 5
        self.orders: list[dict[str, Any]] = []
        self.server = AppServer(
            Starlette(routes=[
                Route('/report', self._report),
                Route('/order', self._order, methods=['POST']),
                Route('/{path:path}', self._serve, methods=METHODS)
            ]), HOST, 0)

    def entry(self, state: str = names.STATE_READY) -> dict[str, Any]:
        """Returns its entry in the registry."""
        models = [{'name': 'm', 'version': self.version}]
        return {
            'service': self.service,
            'address': self.server.address,
            'zone': 'z',
            'slots': 6,
            'state': state,
            'models': models if self.version else []
        }

    async def _report(self, request: Request) -> Response:
        del request
        return JSONResponse({
            'models': self.entry()['models'],
            'busy': False,
            'sequence': len(self.orders)
        })

    async def _order(self, request: Request) -> Response:
        order = await request.json()
        if order['expect'] != len(self.orders):
            return Response(status_code=409)
        self.orders.append(order)
        self.version = order['version']
        self.on_order(order)
        return Response(status_code=202)

    def on_order(self, order: dict[str, Any]) -> None:
        """Called with each order that is accepted."""

    async def _serve(self, request: Request) -> Response:
        fields = dict(request.headers.items())
        await request.body()
        attempt = fields[names.ATTEMPT_ID.decode()]
        echo = {names.ATTEMPT_ID.decode(): attempt}
        expected = fields.get(names.EXPECTED_INSTANCE.decode(), self.name)
        version = fields.get(names.EXPECTED_VERSION.decode(), '')
        if expected != self.name or version not in ('', str(self.version)):
            return Response(status_code=421, headers=echo)
        if self.refuse:
            return Response(status_code=503,
                            headers={
                                **echo, names.NOT_RUN.decode(): '1'
                            })
        self.runs.append(attempt)
        self.run_headers.append(fields)
        echo[names.SIGNATURE.decode()] = f'{self.name}-seal'
        return await self.run(attempt, request, echo)

    async def run(self, attempt: str, request: Request,
                  echo: dict[str, str]) -> Response:
        """Answers a request that it runs."""
        del attempt
        if not self.version:
            return Response(f'done by {self.name}', headers=echo)
        start = int(request.headers.get(names.LAST_EVENT_ID.decode(), 0))
        return StreamingResponse(self.stream(start, request.url.path),
                                 headers=echo,
                                 media_type='text/event-stream')

    async def stream(self, start: int, subject: str) -> AsyncIterator[bytes]:
        """Makes the events behind a number, and may break off."""
        for number in range(start + 1, self.events + 1):
            if self.cut_after and number > self.cut_after:
                yield b'id: %d\nda' % number
                raise ConnectionResetError('broken off on demand')
            yield self.event(number, subject)
            await asyncio.sleep(EVENT_INTERVAL_S)

    def event(self, number: int, subject: str) -> bytes:
        """Returns one event of a stream."""
        del subject
        return b'id: %d\ndata: t%d\n\n' % (number, number)
