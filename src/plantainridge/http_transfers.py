"""Port that has engines import and export blocks, and polls stores."""

import asyncio
from collections.abc import Iterable
from typing import Any, Final

import aiosonic
import attrs
from aiosonic import exceptions as http_errors

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.config import Store
from plantainridge.feeds import POLL_ERRORS, FeedPoller
from plantainridge.http_ports import STATUS_OK
from plantainridge.ids import BlockKey, StoreId, TransferId
from plantainridge.loop.events import Event
from plantainridge.loop.ports import Post
from plantainridge.loop.tasks import Tasks
from plantainridge.ports import TransferPort
from plantainridge.runtime import Runtime

# Period in which each store is asked for its changes, in s.
STORE_POLL_S: Final = 1.0


class HttpTransferPort(TransferPort):
    """Asks engines and stores over HTTP.

    Attributes:
        feed_poller: Polls of engines; a listing is asked for through them.
    """

    def __init__(self, client: aiosonic.HTTPClient, tasks: Tasks) -> None:
        self.client = client
        self.tasks = tasks
        self.feed_poller: FeedPoller | None = None
        self.running: dict[TransferId, asyncio.Task[None]] = {}

    def start(self, effect: fx.StartTransfer, post: Post) -> None:
        task = self.tasks.spawn(self._run(effect, post))
        self.running[effect.transfer] = task
        task.add_done_callback(
            lambda _: self.running.pop(effect.transfer, None))

    def cancel(self, effect: fx.CancelTransfer) -> None:
        task = self.running.pop(effect.transfer, None)
        if task is not None:
            task.cancel()

    def promote_blocks(self, effect: fx.PromoteBlocks) -> None:
        self.tasks.spawn(self._raise(effect))

    def list_cache(self, effect: fx.ListEndpointCache, post: Post) -> None:
        if self.feed_poller is not None:
            self.feed_poller.positions.pop(effect.endpoint, None)

    def list_store(self, effect: fx.ListStore, post: Post) -> None:
        # Polls of stores notice a gap themselves and then list all.
        return

    async def _run(self, effect: fx.StartTransfer, post: Post) -> None:
        action = 'import' if effect.refs else 'export'
        ended = ev.TransferEnded(effect.transfer, (), 0,
                                 ev.TransferFailure.ENDPOINT_UNREACHABLE)
        try:
            response = await self.client.post(
                f'http://{effect.address}/cache/{action}',
                json={
                    'store_address': effect.store_address,
                    'refs': [attrs.asdict(ref) for ref in effect.refs],
                    'blocks': list(effect.blocks),
                })
            if response.status_code == STATUS_OK:
                ended = _ended(effect, await response.json())
        except (http_errors.AiosonicError, OSError, ValueError, EOFError,
                KeyError, TypeError, TimeoutError):
            pass
        post(ended)

    async def _raise(self, effect: fx.PromoteBlocks) -> None:
        try:
            await self.client.post(
                f'http://{effect.address}/raise',
                json={'refs': [attrs.asdict(ref) for ref in effect.refs]})
        except POLL_ERRORS:
            # A raise is only a help; the fetch reads from disk without it.
            return


def _ended(effect: fx.StartTransfer, body: Any) -> ev.TransferEnded:
    failure = body['failure']
    return ev.TransferEnded(
        effect.transfer, tuple(BlockKey(key) for key in body['moved']),
        body['moved_bytes'],
        ev.TransferFailure(failure) if failure is not None else None)


@attrs.define
class _Followed:
    life: str = ''
    position: int = 0
    lives: int = 0
    pieces: int = -1


class StorePoller:
    """Polls the configured stores on behalf of one VM."""

    def __init__(self, runtime: Runtime, client: aiosonic.HTTPClient,
                 tasks: Tasks) -> None:
        self.runtime = runtime
        self.client = client
        self.tasks = tasks
        self.followed: dict[StoreId, _Followed] = {}

    def start(self) -> None:
        """Polls from now on, until the process's tasks are cancelled."""
        self.tasks.spawn(self._poll_all())

    async def _poll_all(self) -> None:
        while True:
            stores = list(self.runtime.state.config.stores.values())
            await asyncio.gather(*(self._poll(store) for store in stores))
            await asyncio.sleep(STORE_POLL_S)

    async def _poll(self, store: Store) -> None:
        followed = self.followed.setdefault(store.id, _Followed())
        try:
            response = await self.client.get(
                f'http://{store.address}/feed?life={followed.life}'
                f'&after={followed.position}')
            if response.status_code != STATUS_OK:
                return
            for event in store_events(store.id, followed, await response.json(),
                                      self.runtime.loop.time()):
                self.runtime.post(event)
        except POLL_ERRORS:
            # A store that is down shows by its transfers.
            return


def store_events(store: StoreId, followed: _Followed, body: Any,
                 now: float) -> Iterable[Event]:
    """Yields what a store's answer to a poll says."""
    yield ev.StoreLoadReported(store, now, body['transfers'],
                               body['queued_bytes'], body['bytes_per_s'])
    kept = tuple(
        ev.StoredCopy(_ref(row), ev.Tier(row['tier'])) for row in body['kept'])
    freed = tuple(_ref(row) for row in body['freed'])
    followed.position = body['position']
    if body['life'] != followed.life:
        followed.life = body['life']
        followed.lives += 1
        followed.pieces = -1
    if body['whole']:
        followed.pieces += 1
        yield ev.StoreListed(store, followed.pieces, kept, followed.lives)
    elif kept or freed:
        followed.pieces += 1
        yield ev.StoreChanged(store, followed.pieces, kept, freed,
                              followed.lives)


def _ref(row: Any) -> ev.BlockRef:
    return ev.BlockRef(BlockKey(row['key']), row['generation'],
                       row['length_bytes'])
