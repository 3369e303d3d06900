"""Transfers of blocks between engines and stores, limited per link."""

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
from plantainridge.links import COOLDOWN_S
from plantainridge.loop.effects import CancelTimer, Effect, Observe, SetTimer
from plantainridge.loop.events import TimerKey
from plantainridge.routing import Fetch

if TYPE_CHECKING:
    from plantainridge.state import VmState

# Most transfers of one VM in progress on one store's link.
MAX_FETCHES_PER_LINK: Final = 4
MAX_EXPORTS_PER_LINK: Final = 1
# Most queued exports; the oldest is dropped when there are more.
MAX_QUEUED_EXPORTS: Final = 256
# An export that has not ended by then is cancelled, in s.
EXPORT_TIMEOUT_S: Final = 120.0


class Direction(enum.Enum):
    """Direction of a transfer, seen from the engine."""

    FETCH = 'fetch'
    EXPORT = 'export'


@attrs.define(eq=False)
class Transfer:
    """One transfer of blocks between an endpoint and a store.

    Attributes:
        refs: Copies to fetch; empty for an export.
        blocks: Keys of the blocks to move.
        size_bytes: Bytes to move, as far as known.
        timeout_s: Time after which it is cancelled, in s. It counts from the
            request for a fetch, and from the start of an export.
        low_priority: Whether it waits until nothing else uses the link.
        started_at: Loop time at which it was started, in s.
        waiters: Requests that are dispatched once it has ended.
    """

    id: TransferId
    direction: Direction
    endpoint: EndpointId
    store: StoreId
    refs: tuple[BlockRef, ...]
    blocks: tuple[BlockKey, ...]
    size_bytes: int
    timeout_s: float
    low_priority: bool = False
    phase: TransferPhase = TransferPhase.QUEUED
    started_at: float = 0.0
    waiters: list[RequestId] = attrs.field(factory=list)


@attrs.frozen
class ReleasedRequest:
    """A request whose fetch has ended and that may now be sent.

    Attributes:
        endpoint: Endpoint that was chosen for it.
    """

    request: RequestId
    endpoint: EndpointId


@attrs.define
class TransferTable:
    """This VM's transfers.

    Attributes:
        serial: Number of transfers created; part of their ids.
        budget_blocks: Blocks that low-priority exports may still move: blocks
            of the prompts received by this VM less blocks of its transfers.
            It bounds the use of all links by the size of the prompts.
        running: Transfers that were started and have not ended.
        fetches: Queued fetches.
        exports: Queued exports, oldest first_block.
        exporting: Blocks of running and queued exports, with their stores.
    """

    serial: int = 0
    budget_blocks: int = 0
    running: dict[TransferId, Transfer] = attrs.field(factory=dict)
    fetches: dict[TransferId, Transfer] = attrs.field(factory=dict)
    exports: deque[Transfer] = attrs.field(factory=deque)
    exporting: set[tuple[StoreId, BlockKey]] = attrs.field(factory=set)

    def count(self, store: StoreId, direction: Direction) -> int:
        """Count the running transfers of a store in one direction."""
        return sum(1 for each in self.running.values()
                   if each.store == store and each.direction is direction)

    def find_fetch(self, endpoint: EndpointId,
                   first_block: BlockKey) -> Transfer | None:
        """Return a fetch to an endpoint that begins with a block, or None."""
        for table in (self.running, self.fetches):
            for each in table.values():
                if (each.direction is Direction.FETCH and
                        each.endpoint == endpoint and
                        each.blocks[0] == first_block):
                    return each
        return None


def fetch(state: 'VmState', request: RequestId, endpoint: EndpointId,
          planned: Fetch, now: float) -> Iterator[Effect]:
    """Queue a fetch, or join one in progress, on behalf of a request.

    The request is released when the fetch ends or times out.
    """
    refs = tuple(copy.ref for copy in planned.copies)
    existing = state.transfers.find_fetch(endpoint, refs[0].key)
    if existing is not None:
        existing.waiters.append(request)
        return
    transfer = Transfer(_new_id(state), Direction.FETCH, endpoint,
                        planned.store, refs, tuple(ref.key for ref in refs),
                        sum(ref.length_bytes for ref in refs), planned.limit_s)
    transfer.waiters.append(request)
    state.transfers.fetches[transfer.id] = transfer
    yield SetTimer(_timer_key(transfer), now + transfer.timeout_s)
    yield from start_queued(state, now)


def export(state: 'VmState', endpoint: EndpointId, store: StoreId,
           blocks: tuple[BlockKey,
                         ...], size_bytes: int, low_priority: bool) -> None:
    """Queue an export of blocks that a store is not known to hold.

    Args:
        size_bytes: Expected size of the blocks; 0 if unknown.
        low_priority: Whether another store is to hold the blocks too, so that
            the export may wait until nothing else uses the link.
    """
    table = state.transfers
    new_blocks = tuple(
        key for key in blocks if (store, key) not in table.exporting)
    if not new_blocks:
        return
    table.exporting.update((store, key) for key in new_blocks)
    table.exports.append(
        Transfer(_new_id(state),
                 Direction.EXPORT,
                 endpoint,
                 store, (),
                 new_blocks,
                 size_bytes,
                 EXPORT_TIMEOUT_S,
                 low_priority=low_priority))
    if len(table.exports) > MAX_QUEUED_EXPORTS:
        _clear_exporting(table, table.exports.popleft())


def start_queued(state: 'VmState', now: float) -> Iterator[Effect]:
    """Start queued transfers within the limits, fetches before exports."""
    table = state.transfers
    for transfer in list(table.fetches.values()):
        running = table.count(transfer.store, Direction.FETCH)
        if running < MAX_FETCHES_PER_LINK:
            del table.fetches[transfer.id]
            yield from _start(state, transfer, now)
    for _ in range(len(table.exports)):
        transfer = table.exports.popleft()
        if not _can_export(state, transfer, now):
            table.exports.append(transfer)
            continue
        yield SetTimer(_timer_key(transfer), now + transfer.timeout_s)
        yield from _start(state, transfer, now)


def on_ended(state: 'VmState', event: TransferEnded,
             now: float) -> Iterator[Effect | ReleasedRequest]:
    """Close a transfer that ended and release its requests."""
    transfer = state.transfers.running.pop(event.transfer, None)
    if transfer is None:
        return
    TRANSFER.fire(transfer, 'fail' if event.failure else 'finish')
    yield CancelTimer(_timer_key(transfer))
    yield Observe(f'{transfer.direction.value}_s', '', transfer.store,
                  now - transfer.started_at)
    _apply_result(state, transfer, event, now)
    yield from _close(state, transfer)
    yield from start_queued(state, now)


def on_timeout(state: 'VmState', key: TimerKey,
               now: float) -> Iterator[Effect | ReleasedRequest]:
    """Cancel a transfer that timed out and release its requests."""
    transfer_id = TransferId(key.subject)
    table = state.transfers
    transfer = table.running.pop(transfer_id, None) or table.fetches.pop(
        transfer_id, None)
    if transfer is None:
        return
    if transfer.phase is TransferPhase.RUNNING:
        yield CancelTransfer(transfer_id)
    TRANSFER.fire(transfer, 'cancel')
    yield Observe('transfer_late_s', '', transfer.store, transfer.timeout_s)
    yield from _close(state, transfer)
    yield from start_queued(state, now)


def _can_export(state: 'VmState', transfer: Transfer, now: float) -> bool:
    table = state.transfers
    link = state.links.usable(transfer.store, now)
    if link is None:
        return False
    if transfer.low_priority and (link.pending_bytes(now) > 0 or
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
    state.links.links[store.id].own_bytes[transfer.id] = transfer.size_bytes
    fetching = transfer.direction is Direction.FETCH
    yield StartTransfer(transfer=transfer.id,
                        endpoint=transfer.endpoint,
                        address=view.endpoint.address,
                        store=transfer.store,
                        store_address=store.address,
                        refs=transfer.refs,
                        blocks=() if fetching else transfer.blocks)


def _apply_result(state: 'VmState', transfer: Transfer, event: TransferEnded,
                  now: float) -> None:
    link = state.links.links.get(transfer.store)
    if link is None:
        return
    if event.failure is TransferFailure.STORE_UNREACHABLE:
        link.cooldown_until = now + COOLDOWN_S
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
    _clear_exporting(state.transfers, transfer)
    link = state.links.links.get(transfer.store)
    if link is not None:
        link.own_bytes.pop(transfer.id, None)
    for request in transfer.waiters:
        yield ReleasedRequest(request, transfer.endpoint)


def _clear_exporting(table: TransferTable, transfer: Transfer) -> None:
    if transfer.direction is Direction.EXPORT:
        table.exporting.difference_update(
            (transfer.store, key) for key in transfer.blocks)


def _new_id(state: 'VmState') -> TransferId:
    state.transfers.serial += 1
    return TransferId(f'{state.incarnation}.{state.transfers.serial}')


def _timer_key(transfer: Transfer) -> TimerKey:
    return TimerKey(TimerKind.TRANSFER, transfer.id)
