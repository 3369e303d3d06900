"""HTTP port for transfers between engines and stores, and poller of stores."""

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
from plantainridge.response_limits import read_json
from plantainridge.runtime import Runtime

# Interval at which each store is polled for changes, in s.
STORE_POLL_INTERVAL_S: Final = 1.0


class HttpTransferPort(TransferPort):
    """Transfers at engines and promotions of blocks at stores, over HTTP.

    Attributes:
        feed_poller: Poller of engines, which requests their listings.
        running: Tasks of the transfers in progress.
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
        self.tasks.spawn(self._promote(effect))

    def list_cache(self, effect: fx.ListEndpointCache, post: Post) -> None:
        if self.feed_poller is not None:
            self.feed_poller.positions.pop(effect.endpoint, None)

    def list_store(self, effect: fx.ListStore, post: Post) -> None:
        # A poll of a store detects a gap by itself and returns a complete
        # listing.
        return

    async def _run(self, effect: fx.StartTransfer, post: Post) -> None:
        action = 'import' if effect.refs else 'export'
        result = ev.TransferEnded(effect.transfer, (), 0,
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
                result = _decode_result(effect, await read_json(response))
        except (http_errors.AiosonicError, OSError, ValueError, EOFError,
                KeyError, TypeError, TimeoutError):
            pass
        post(result)

    async def _promote(self, effect: fx.PromoteBlocks) -> None:
        try:
            await self.client.post(
                f'http://{effect.address}/raise',
                json={'refs': [attrs.asdict(ref) for ref in effect.refs]})
        except POLL_ERRORS:
            # A promotion is best effort; without it a fetch reads from disk.
            return


def _decode_result(effect: fx.StartTransfer, body: Any) -> ev.TransferEnded:
    failure = body['failure']
    return ev.TransferEnded(
        effect.transfer, tuple(BlockKey(key) for key in body['moved']),
        body['moved_bytes'],
        ev.TransferFailure(failure) if failure is not None else None)


@attrs.define
class _StoreCursor:
    """Position in one store's event stream.

    Attributes:
        incarnation_id: Id of the store's process; empty before the first poll.
        position: Position of the last event received.
        incarnation: Number of incarnations seen so far.
        seq: Sequence number of the last event posted; -1 before the first.
    """

    incarnation_id: str = ''
    position: int = 0
    incarnation: int = 0
    seq: int = -1


class StorePoller:
    """Poller of the configured stores on behalf of one VM.

    Attributes:
        cursors: Position in each store's event stream.
    """

    def __init__(self, runtime: Runtime, client: aiosonic.HTTPClient,
                 tasks: Tasks) -> None:
        self.runtime = runtime
        self.client = client
        self.tasks = tasks
        self.cursors: dict[StoreId, _StoreCursor] = {}

    def start(self) -> None:
        """Start to poll, until the tasks of the process are cancelled."""
        self.tasks.spawn(self._poll_all())

    async def _poll_all(self) -> None:
        while True:
            stores = list(self.runtime.state.config.stores.values())
            await asyncio.gather(*(self._poll(store) for store in stores))
            await asyncio.sleep(STORE_POLL_INTERVAL_S)

    async def _poll(self, store: Store) -> None:
        cursor = self.cursors.setdefault(store.id, _StoreCursor())
        try:
            response = await self.client.get(
                f'http://{store.address}/feed?life={cursor.incarnation_id}'
                f'&after={cursor.position}')
            if response.status_code != STATUS_OK:
                return
            for event in store_events(store.id, cursor, await
                                      read_json(response),
                                      self.runtime.loop.time()):
                self.runtime.post(event)
        except POLL_ERRORS:
            # The failure of a transfer shows that a store is unreachable.
            return


def store_events(store: StoreId, cursor: _StoreCursor, body: Any,
                 now: float) -> Iterable[Event]:
    """Yield the events of a store's answer to a poll.

    Args:
        store: The store.
        cursor: Position in its event stream; updated.
        body: Decoded JSON body of the answer.
        now: Loop time in s.
    """
    yield ev.StoreLoadReported(store, now, body['transfers'],
                               body['queued_bytes'], body['bytes_per_s'])
    copies = tuple(
        ev.StoredCopy(_decode_ref(row), ev.Tier(row['tier']))
        for row in body['kept'])
    freed = tuple(_decode_ref(row) for row in body['freed'])
    cursor.position = body['position']
    if body['life'] != cursor.incarnation_id:
        cursor.incarnation_id = body['life']
        cursor.incarnation += 1
        cursor.seq = -1
    if body['whole']:
        cursor.seq += 1
        yield ev.StoreListed(store, cursor.seq, copies, cursor.incarnation)
    elif copies or freed:
        cursor.seq += 1
        yield ev.StoreChanged(store, cursor.seq, copies, freed,
                              cursor.incarnation)


def _decode_ref(row: Any) -> ev.BlockRef:
    return ev.BlockRef(BlockKey(row['key']), row['generation'],
                       row['length_bytes'])
