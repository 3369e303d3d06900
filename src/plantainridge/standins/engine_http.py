"""HTTP interface of the engine's model."""

import asyncio
import json
import uuid
from collections import deque
from collections.abc import AsyncIterator, Iterable
from typing import Any, Final

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from plantainridge.http_ports import STATUS_VERSION_MISMATCH
from plantainridge.ids import BlockKey, RequestId
from plantainridge.standins.cache_http import CacheRoutes
from plantainridge.standins.engine import EngineModel, Job, Sink

JOURNAL_CAPACITY: Final = 1_024


class _QueueSink(Sink):

    def __init__(self) -> None:
        self.queue: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()

    def tokens(self, first: int, tokens: tuple[str, ...],
               cached_tokens: int) -> None:
        self.queue.put_nowait({
            'first': first,
            'tokens': tokens,
            'cached_tokens': cached_tokens
        })

    def end(self, total: int) -> None:
        self.queue.put_nowait({'total': total})

    def failed(self) -> None:
        self.queue.put_nowait(None)


@attrs.frozen
class Changes:
    """Changes of the cache since a position."""

    added: list[BlockKey]
    removed: list[BlockKey]


class Journal:
    """Latest changes of the cache, numbered by a position.

    Attributes:
        position: Number of changes so far.
        known: Cached blocks as of the last refresh.
    """

    def __init__(self) -> None:
        self.position = 0
        self.known: set[BlockKey] = set()
        self.changes: deque[tuple[BlockKey,
                                  bool]] = deque(maxlen=JOURNAL_CAPACITY)

    def refresh(self, cache: Iterable[BlockKey]) -> None:
        """Record the changes since the last call."""
        now = set(cache)
        for key in sorted(self.known - now):
            self.changes.append((key, False))
        for key in sorted(now - self.known):
            self.changes.append((key, True))
        self.position += len(now ^ self.known)
        self.known = now

    def since(self, position: int) -> Changes | None:
        """Return the changes after a position, or None if some were dropped."""
        missing = self.position - position
        if not 0 <= missing <= len(self.changes):
            return None
        last = dict(list(self.changes)[len(self.changes) - missing:])
        return Changes([key for key, held in last.items() if held],
                       [key for key, held in last.items() if not held])


class EngineApp:
    """HTTP routes of one engine."""

    def __init__(self, model: EngineModel,
                 orders: Iterable[Route] = ()) -> None:
        self.model = model
        self.incarnation = uuid.uuid4().hex
        self.journal = Journal()
        self.app = Starlette(routes=[
            Route('/v1/completions', self.complete, methods=['POST']),
            Route('/feed', self.feed),
            *orders,
            *CacheRoutes(model).routes,
        ])

    async def complete(self, request: Request) -> Response:
        """Stream one completion."""
        body = await request.json()
        if body['version'] != self.model.version:
            return JSONResponse({'version': self.model.version},
                                status_code=STATUS_VERSION_MISMATCH)
        sink = _QueueSink()
        job = Job(request=RequestId(body['request_id']),
                  prompt=body['prompt'],
                  prompt_tokens=body['prompt_tokens'],
                  blocks=tuple(BlockKey(key) for key in body['block_keys']),
                  max_tokens=body['max_tokens'],
                  priority=body['priority'],
                  next_index=body['resume_from'],
                  sink=sink,
                  version=self.model.version,
                  team=body.get('team', ''),
                  model=body.get('model', ''),
                  adapter=body.get('adapter', ''))
        self.model.submit(job)
        return StreamingResponse(self._stream(job, sink),
                                 media_type='text/event-stream')

    async def _stream(self, job: Job, sink: _QueueSink) -> AsyncIterator[str]:
        try:
            while True:
                event = await sink.queue.get()
                if event is None:
                    raise ConnectionResetError
                event['id'] = job.request
                event['version'] = job.version
                yield f'data: {json.dumps(event)}\n\n'
                if 'total' in event:
                    yield 'data: [DONE]\n\n'
                    return
        finally:
            self.model.cancel(job)

    async def feed(self, request: Request) -> Response:
        """Return the load and the changes of the cache since a position."""
        self.journal.refresh(self.model.cache)
        after = int(request.query_params.get('after', '0'))
        known = request.query_params.get('life') == self.incarnation
        changes = self.journal.since(after) if known else None
        model = self.model
        return JSONResponse({
            'life': self.incarnation,
            'position': self.journal.position,
            'whole': changes is None,
            'added': list(model.cache) if changes is None else changes.added,
            'removed': [] if changes is None else changes.removed,
            'load': {
                'age_s':
                    0.0,
                'running':
                    len(model.running),
                'waiting_tokens':
                    model.waiting_tokens(),
                'prefill_tokens_per_s':
                    model.prefill_tokens_per_s / model.slowdown,
                'version':
                    model.version,
            },
        })
