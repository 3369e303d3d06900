"""Movements of blocks between endpoints and stores, limited per link."""

import enum
from collections import deque
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.effects import CancelTransfer, StartTransfer
from plantainridge.events import (BlockRef, TimerKind, TransferEnded,
                                  TransferFailure)
from plantainridge.ids import BlockKey, EndpointId, RequestId, StoreId
from plantainridge.ids import TransferId
from plantainridge.lifecycles import TRANSFER, TransferPhase
from plantainridge.links import DOWN_S
from plantainridge.loop.effects import CancelTimer, Effect, Observe, SetTimer
from plantainridge.loop.events import TimerKey
from plantainridge.routing import Fetch

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Transfers of one VM that run at once on one store's link.
MAX_FETCHES_PER_LINK: Final = 4
MAX_EXPORTS_PER_LINK: Final = 1
# Exports that may wait; the oldest are dropped first.
MAX_QUEUED_EXPORTS: Final = 256
# A transfer whose end was not heard of is forgotten after this, in s.
EXPORT_LIMIT_S: Final = 120.0


class Direction(enum.Enum):
    """Which way blocks move."""

    FETCH = 'fetch'
    EXPORT = 'export'


@attrs.define(eq=False)
class Transfer:
    """One movement of blocks.

    Attributes:
        refs: Copies to fetch; empty for an export.
        blocks: Keys of the blocks to move.
        size_bytes: Bytes to move, as far as known.
        limit_s: Longest time to wait for its end.
        spare: Whether it waits until nothing else uses the link.
        waiters: Requests that are dispatched when it is over.
    """

    id: TransferId
    direction: Direction
    endpoint: EndpointId
    store: StoreId
    refs: tuple[BlockRef, ...]
    blocks: tuple[BlockKey, ...]
    size_bytes: int
    limit_s: float
    spare: bool = False
    phase: TransferPhase = TransferPhase.QUEUED
    started_at: float = 0.0
    waiters: list[RequestId] = attrs.field(factory=list)


@attrs.frozen
class ReleasedRequest:
    """A request that may now go to the endpoint chosen for it."""

    request: RequestId
    endpoint: EndpointId


@attrs.define
class TransferTable:
    """This VM's transfers.

    Attributes:
        running: Transfers that were started and have not ended.
        fetches: Fetches that wait for their turn on a link.
        exports: Exports that wait for a free link, oldest first.
        budget_blocks: Blocks that spare exports may still move: what was asked
            of this VM less what it moved. It bounds the use of all links by
            the size of the prompts.
        exporting: Blocks that are being exported or wait to be, by store.
    """

    serial: int = 0
    budget_blocks: int = 0
    running: dict[TransferId, Transfer] = attrs.field(factory=dict)
    fetches: dict[TransferId, Transfer] = attrs.field(factory=dict)
    exports: deque[Transfer] = attrs.field(factory=deque)
    exporting: set[tuple[StoreId, BlockKey]] = attrs.field(factory=set)

    def count(self, store: StoreId, direction: Direction) -> int:
        """Counts the transfers that run on a store's link one way."""
        return sum(1 for each in self.running.values()
                   if each.store == store and each.direction is direction)

    def to_join(self, endpoint: EndpointId, first: BlockKey) -> Transfer | None:
        """Returns a fetch of the same prefix to the same endpoint, if any."""
        for table in (self.running, self.fetches):
            for each in table.values():
                if (each.direction is Direction.FETCH and
                        each.endpoint == endpoint and each.blocks[0] == first):
                    return each
        return None


def fetch(state: 'VmState', request: RequestId, endpoint: EndpointId,
          wanted: Fetch, now: float) -> Iterator[Effect]:
    """Starts or joins a fetch; the request waits for its end."""
    refs = tuple(copy.ref for copy in wanted.copies)
    joined = state.transfers.to_join(endpoint, refs[0].key)
    if joined is not None:
        joined.waiters.append(request)
        return
    transfer = Transfer(_new_id(state), Direction.FETCH, endpoint, wanted.store,
                        refs, tuple(ref.key for ref in refs),
                        sum(ref.length_bytes for ref in refs), wanted.limit_s)
    transfer.waiters.append(request)
    state.transfers.fetches[transfer.id] = transfer
    yield SetTimer(_timer(transfer), now + transfer.limit_s)
    yield from start_queued(state, now)


def export(state: 'VmState', endpoint: EndpointId, store: StoreId,
           blocks: tuple[BlockKey, ...], size_bytes: int, spare: bool) -> None:
    """Queues an export of blocks that a store is not known to hold.

    Args:
        spare: Whether another store holds them, so that the export may wait
            until nothing else uses the link.
    """
    table = state.transfers
    fresh = tuple(key for key in blocks if (store, key) not in table.exporting)
    if not fresh:
        return
    table.exporting.update((store, key) for key in fresh)
    table.exports.append(
        Transfer(_new_id(state),
                 Direction.EXPORT,
                 endpoint,
                 store, (),
                 fresh,
                 size_bytes,
                 EXPORT_LIMIT_S,
                 spare=spare))
    if len(table.exports) > MAX_QUEUED_EXPORTS:
        _forget_export(table, table.exports.popleft())


def start_queued(state: 'VmState', now: float) -> Iterator[Effect]:
    """Starts what the limits allow; fetches go before exports."""
    table = state.transfers
    for transfer in list(table.fetches.values()):
        running = table.count(transfer.store, Direction.FETCH)
        if running < MAX_FETCHES_PER_LINK:
            del table.fetches[transfer.id]
            yield from _start(state, transfer, now)
    for _ in range(len(table.exports)):
        transfer = table.exports.popleft()
        if not _may_export(state, transfer, now):
            table.exports.append(transfer)
            continue
        yield SetTimer(_timer(transfer), now + transfer.limit_s)
        yield from _start(state, transfer, now)


def on_ended(state: 'VmState', event: TransferEnded,
             now: float) -> Iterator[Effect | ReleasedRequest]:
    """Takes in a transfer's end; yields the requests that waited for it."""
    transfer = state.transfers.running.pop(event.transfer, None)
    if transfer is None:
        return
    TRANSFER.fire(transfer, 'fail' if event.failure else 'finish')
    yield CancelTimer(_timer(transfer))
    yield Observe(f'{transfer.direction.value}_s', '', transfer.store,
                  now - transfer.started_at)
    _learn(state, transfer, event, now)
    yield from _close(state, transfer)
    yield from start_queued(state, now)


def on_timeout(state: 'VmState', key: TimerKey,
               now: float) -> Iterator[Effect | ReleasedRequest]:
    """Cancels a transfer that took too long; its requests go on without."""
    name = TransferId(key.subject)
    table = state.transfers
    transfer = table.running.pop(name, None) or table.fetches.pop(name, None)
    if transfer is None:
        return
    if transfer.phase is TransferPhase.RUNNING:
        yield CancelTransfer(name)
    TRANSFER.fire(transfer, 'cancel')
    yield Observe('transfer_late_s', '', transfer.store, transfer.limit_s)
    yield from _close(state, transfer)
    yield from start_queued(state, now)


def _may_export(state: 'VmState', transfer: Transfer, now: float) -> bool:
    table = state.transfers
    link = state.links.usable(transfer.store, now)
    if link is None:
        return False
    if transfer.spare and (link.waiting_bytes(now) > 0 or
                           table.budget_blocks < len(transfer.blocks)):
        return False
    return (table.count(transfer.store, Direction.FETCH) == 0 and table.count(
        transfer.store, Direction.EXPORT) < MAX_EXPORTS_PER_LINK)


def _start(state: 'VmState', transfer: Transfer,
           now: float) -> Iterator[Effect]:
    view = state.endpoints.get(transfer.endpoint)
    store = state.config.stores.get(transfer.store)
    state.transfers.running[transfer.id] = transfer
    state.transfers.budget_blocks -= len(transfer.blocks)
    TRANSFER.fire(transfer, 'start')
    transfer.started_at = now
    if view is None or store is None:
        return
    state.links.add(store.id, store.link_bytes_per_s)
    state.links.links[store.id].own[transfer.id] = transfer.size_bytes
    fetching = transfer.direction is Direction.FETCH
    yield StartTransfer(transfer=transfer.id,
                        endpoint=transfer.endpoint,
                        address=view.endpoint.address,
                        store=transfer.store,
                        store_address=store.address,
                        refs=transfer.refs,
                        blocks=() if fetching else transfer.blocks)


def _learn(state: 'VmState', transfer: Transfer, event: TransferEnded,
           now: float) -> None:
    link = state.links.links.get(transfer.store)
    if link is None:
        return
    if event.failure is TransferFailure.STORE_UNREACHABLE:
        link.down_until = now + DOWN_S
    if event.moved:
        state.links.block_bytes = event.moved_bytes // len(event.moved)
    if transfer.direction is Direction.EXPORT:
        return
    for key in event.moved:
        state.directory.endpoints.add(transfer.endpoint, key)
    if event.failure in (TransferFailure.BLOCK_GONE, TransferFailure.CORRUPT):
        state.directory.stores.remove(transfer.store,
                                      transfer.blocks[len(event.moved)])


def _close(state: 'VmState',
           transfer: Transfer) -> Iterator[Effect | ReleasedRequest]:
    _forget_export(state.transfers, transfer)
    link = state.links.links.get(transfer.store)
    if link is not None:
        link.own.pop(transfer.id, None)
    for request in transfer.waiters:
        yield ReleasedRequest(request, transfer.endpoint)


def _forget_export(table: TransferTable, transfer: Transfer) -> None:
    if transfer.direction is Direction.EXPORT:
        table.exporting.difference_update(
            (transfer.store, key) for key in transfer.blocks)


def _new_id(state: 'VmState') -> TransferId:
    state.transfers.serial += 1
    return TransferId(f'{state.incarnation}.{state.transfers.serial}')


def _timer(transfer: Transfer) -> TimerKey:
    return TimerKey(TimerKind.TRANSFER, transfer.id)
