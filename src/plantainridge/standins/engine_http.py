"""HTTP face of the engine's model."""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from plantainridge.ids import BlockKey, RequestId
from plantainridge.standins.engine import EngineModel, Job, Sink


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

    def broken(self) -> None:
        self.queue.put_nowait(None)


class EngineApp:
    """Routes of one engine."""

    def __init__(self, model: EngineModel) -> None:
        self.model = model
        self.app = Starlette(routes=[
            Route('/v1/completions', self.complete, methods=['POST']),
            Route('/load', self.load),
        ])

    async def complete(self, request: Request) -> Response:
        """Streams one completion."""
        body = await request.json()
        sink = _QueueSink()
        job = Job(request=RequestId(body['request_id']),
                  prompt=body['prompt'],
                  prompt_tokens=body['prompt_tokens'],
                  blocks=tuple(BlockKey(key) for key in body['block_keys']),
                  max_tokens=body['max_tokens'],
                  priority=body['priority'],
                  next_index=body['resume_from'],
                  sink=sink,
                  version=self.model.version)
        self.model.submit(job)
        return StreamingResponse(self._stream(job, sink),
                                 media_type='text/event-stream')

    async def _stream(self, job: Job, sink: _QueueSink) -> AsyncIterator[str]:
        try:
            while True:
                piece = await sink.queue.get()
                if piece is None:
                    raise ConnectionResetError
                piece['id'] = job.request
                piece['version'] = job.version
                yield f'data: {json.dumps(piece)}\n\n'
                if 'total' in piece:
                    yield 'data: [DONE]\n\n'
                    return
        finally:
            self.model.cancel(job)

    async def load(self, request: Request) -> Response:
        """Reports the load as it is now."""
        del request
        return JSONResponse({
            'running': len(self.model.running),
            'waiting_tokens': self.model.waiting_tokens(),
            'version': self.model.version,
        })
