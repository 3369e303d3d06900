"""HTTP interface of the store's model."""

import asyncio
import uuid
from collections import deque
from typing import Any, Final

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plantainridge.events import BlockRef, StoredCopy, Tier
from plantainridge.ids import BlockKey
from plantainridge.standins.store import (StoreModel, StoreRefusal,
                                          StoreWatcher)

JOURNAL_CAPACITY: Final = 4_096
STATUS: Final = {
    StoreRefusal.DEAD: 503,
    StoreRefusal.FULL: 507,
    StoreRefusal.GONE: 410,
    StoreRefusal.CORRUPT: 422,
}


def _refused(refusal: StoreRefusal) -> Response:
    return JSONResponse({'error': refusal.value}, status_code=STATUS[refusal])


def _row(copy: StoredCopy) -> dict[str, Any]:
    return {
        'key': copy.ref.key,
        'generation': copy.ref.generation,
        'length_bytes': copy.ref.length_bytes,
        'tier': copy.tier.value,
    }


class Journal(StoreWatcher):
    """Latest changes of a store, numbered by a position."""

    def __init__(self) -> None:
        self.incarnation = uuid.uuid4().hex
        self.position = 0
        self.changes: deque[tuple[BlockRef,
                                  Tier | None]] = deque(maxlen=JOURNAL_CAPACITY)

    def placed(self, ref: BlockRef, tier: Tier) -> None:
        self.position += 1
        self.changes.append((ref, tier))

    def freed(self, ref: BlockRef) -> None:
        self.position += 1
        self.changes.append((ref, None))

    def restarted(self) -> None:
        self.incarnation = uuid.uuid4().hex
        self.position = 0
        self.changes.clear()

    def since(self, position: int) -> list[tuple[BlockRef, Tier | None]] | None:
        """Return each changed block's latest state after a position.

        A freed block has no tier. The result is None if some changes were
        dropped.
        """
        missing = self.position - position
        if not 0 <= missing <= len(self.changes):
            return None
        newest = list(self.changes)[len(self.changes) - missing:]
        return list({ref.key: (ref, tier) for ref, tier in newest}.values())


class StoreApp:
    """HTTP routes of one store."""

    def __init__(self, model: StoreModel) -> None:
        self.model = model
        self.journal = Journal()
        model.watchers.append(self.journal)
        self.app = Starlette(routes=[
            Route('/writes', self.begin, methods=['POST']),
            Route('/writes/{generation:int}', self.commit, methods=['PUT']),
            Route('/blocks/{key}', self.read),
            Route('/raise', self.promote_blocks, methods=['POST']),
            Route('/feed', self.feed),
        ])

    async def begin(self, request: Request) -> Response:
        """Begin a write, unless the block has a committed copy."""
        key = BlockKey((await request.json())['key'])
        if self.model.holds(key):
            return JSONResponse({'held': True})
        generation = self.model.begin(key)
        if isinstance(generation, StoreRefusal):
            return _refused(generation)
        return JSONResponse({'held': False, 'generation': generation})

    async def commit(self, request: Request) -> Response:
        """Commit a write with the content in the body."""
        done = self.model.commit(request.path_params['generation'], await
                                 request.body(),
                                 request.headers.get('x-checksum', ''))
        if isinstance(done, StoreRefusal):
            return _refused(done)
        return JSONResponse(_row(StoredCopy(done, Tier.MEMORY)))

    async def read(self, request: Request) -> Response:
        """Return the content of the copy with this key, generation and size."""
        ref = BlockRef(BlockKey(request.path_params['key']),
                       int(request.query_params['generation']),
                       int(request.query_params['length_bytes']))
        found = self.model.read(ref)
        if isinstance(found, StoreRefusal):
            return _refused(found)
        return Response(found.payload, headers={'x-checksum': found.checksum})

    async def promote_blocks(self, request: Request) -> Response:
        """Move copies from disk to memory."""
        body = await request.json()
        await self.model.promote_blocks([
            BlockRef(BlockKey(row['key']), row['generation'],
                     row['length_bytes']) for row in body['refs']
        ])
        return JSONResponse({})

    async def feed(self, request: Request) -> Response:
        """Return the state of the link and the changes since a position."""
        journal, link = self.journal, self.model.link
        changes = None
        if request.query_params.get('life') == journal.incarnation:
            changes = journal.since(int(request.query_params.get('after', '0')))
        placed = (list(self.model.copies()) if changes is None else
                  [StoredCopy(ref, tier) for ref, tier in changes if tier])
        freed = [ref for ref, tier in changes or () if tier is None]
        return JSONResponse({
            'life': journal.incarnation,
            'position': journal.position,
            'whole': changes is None,
            'kept': [_row(copy) for copy in placed],
            'freed': [_row(StoredCopy(ref, Tier.DISK)) for ref in freed],
            'transfers': self.model.transfers,
            'queued_bytes': self.model.queued_bytes,
            'bytes_per_s': link.bytes_per_s / link.slowdown,
            'at': asyncio.get_running_loop().time(),
        })
