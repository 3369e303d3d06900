"""HTTP interface of an engine's import and export of cache blocks."""

import functools
from typing import Any

import aiosonic
from aiosonic import exceptions as http_errors
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plantainridge.events import TransferFailure
from plantainridge.http_ports import new_client
from plantainridge.ids import BlockKey
from plantainridge.standins.engine import EngineModel
from plantainridge.standins.store import checksum, payload_of

_FAILURES = {
    503: TransferFailure.STORE_UNREACHABLE,
    507: TransferFailure.STORE_FULL,
    410: TransferFailure.BLOCK_GONE,
    422: TransferFailure.CORRUPT,
}
_UNREACHABLE = (http_errors.AiosonicError, OSError, EOFError, TimeoutError)


class CacheRoutes:
    """HTTP routes that move blocks between an engine's cache and stores."""

    def __init__(self, model: EngineModel) -> None:
        self.model = model
        self.routes = [
            Route('/cache/import', self.import_blocks, methods=['POST']),
            Route('/cache/export', self.export_blocks, methods=['POST']),
        ]

    @functools.cached_property
    def client(self) -> aiosonic.HTTPClient:
        """HTTP client for the stores, created at first use."""
        return new_client()

    async def import_blocks(self, request: Request) -> Response:
        """Read copies from a store, verify and cache each."""
        body = await request.json()
        moved: list[BlockKey] = []
        moved_bytes = 0
        failure: TransferFailure | None = None
        for row in body['refs']:
            failure = await self._read(body['store_address'], row)
            if failure is not None:
                break
            moved.append(BlockKey(row['key']))
            moved_bytes += row['length_bytes']
            self.model.put(moved)
        return _ended(moved, moved_bytes, failure)

    async def _read(self, store: str, row: Any) -> TransferFailure | None:
        url = (f'http://{store}/blocks/{row["key"]}'
               f'?generation={row["generation"]}'
               f'&length_bytes={row["length_bytes"]}')
        try:
            response = await self.client.get(url)
            payload = await response.content()
        except _UNREACHABLE:
            return TransferFailure.STORE_UNREACHABLE
        if response.status_code in _FAILURES:
            return _FAILURES[response.status_code]
        if checksum(payload) != response.headers.get('x-checksum'):
            return TransferFailure.CORRUPT
        return None

    async def export_blocks(self, request: Request) -> Response:
        """Write blocks to a store and commit each."""
        body = await request.json()
        moved: list[BlockKey] = []
        moved_bytes = 0
        failure: TransferFailure | None = None
        for key in body['blocks']:
            if key not in self.model.cache:
                failure = TransferFailure.BLOCK_GONE
                break
            sent = await self._write(body['store_address'], BlockKey(key))
            if isinstance(sent, TransferFailure):
                failure = sent
                break
            moved.append(BlockKey(key))
            moved_bytes += sent
        return _ended(moved, moved_bytes, failure)

    async def _write(self, store: str, key: BlockKey) -> int | TransferFailure:
        """Write a block to a store.

        Returns:
            The bytes moved, 0 if the store had the block, or the failure.
        """
        payload = payload_of(key)
        try:
            begun = await self.client.post(f'http://{store}/writes',
                                           json={'key': key})
            if begun.status_code in _FAILURES:
                return _FAILURES[begun.status_code]
            write = await begun.json()
            if write['held']:
                return 0
            done = await self.client.put(
                f'http://{store}/writes/{write["generation"]}',
                data=payload,
                headers={'x-checksum': checksum(payload)})
            if done.status_code in _FAILURES:
                return _FAILURES[done.status_code]
            length: int = (await done.json())['length_bytes']
        except _UNREACHABLE:
            return TransferFailure.STORE_UNREACHABLE
        return length


def _ended(moved: list[BlockKey], moved_bytes: int,
           failure: TransferFailure | None) -> Response:
    return JSONResponse({
        'moved': moved,
        'moved_bytes': moved_bytes,
        'failure': failure.value if failure else None,
    })
