"""Retention of the KV cache blocks of contexts that are expected to return.

Handlers that follow the event streams of endpoints and stores, dispatch
requests whose fetch has ended, export computed blocks to stores, and promote
blocks from a store's disk to its memory before a context returns.
"""

import hashlib
from collections.abc import Iterable, Iterator
from typing import Final

from plantainridge import requests, transfers
from plantainridge.calls import Call
from plantainridge.effects import ListEndpointCache, ListStore, PromoteBlocks
from plantainridge.events import (AttemptEnded, BlockRef, CacheChanged,
                                  CacheListed, LoadReported, ModelCalled,
                                  StoreChanged, StoreListed, StoreLoadReported,
                                  Tier, TransferEnded)
from plantainridge.ids import BlockKey, StoreId
from plantainridge.loop.effects import Effect, Observe
from plantainridge.loop.events import TimerFired
from plantainridge.return_gaps import ExpectedReturn
from plantainridge.state import VmState
from plantainridge.transfers import ReleasedRequest

# Shortest expected gap for which blocks are promoted from disk, in s.
MIN_PROMOTION_GAP_S: Final = 1_800.0
# Stores to which a context is exported once it has returned.
MAX_COPIES: Final = 2
# Time between the promotion of blocks and their expected return, in s.
PROMOTION_LEAD_S: Final = 60.0


def on_load_reported(state: VmState, event: LoadReported,
                     now: float) -> Iterator[Effect]:
    """Apply an endpoint's load report."""
    del now
    view = state.endpoints.get(event.endpoint)
    if view is not None:
        view.record_report(event)
    yield from ()


def on_cache_changed(state: VmState, event: CacheChanged,
                     now: float) -> Iterator[Effect]:
    """Apply a change to an endpoint's cache."""
    if event.endpoint in state.endpoints:
        state.directory.on_cache_changed(event)
        yield from _request_listings(state, now)


def on_cache_listed(state: VmState, event: CacheListed,
                    now: float) -> Iterator[Effect]:
    """Apply a complete listing of an endpoint's cache."""
    del now
    if event.endpoint in state.endpoints:
        state.directory.on_cache_listed(event)
    yield from ()


def on_store_changed(state: VmState, event: StoreChanged,
                     now: float) -> Iterator[Effect]:
    """Apply a change to a store's copies."""
    if event.store in state.config.stores:
        state.directory.on_store_changed(event)
        yield from _request_listings(state, now)


def on_store_listed(state: VmState, event: StoreListed,
                    now: float) -> Iterator[Effect]:
    """Apply a complete listing of a store's copies."""
    del now
    if event.store in state.config.stores:
        state.directory.on_store_listed(event)
    yield from ()


def on_store_load_reported(state: VmState, event: StoreLoadReported,
                           now: float) -> Iterator[Effect]:
    """Apply a store's report of its network link."""
    del now
    store = state.config.stores.get(event.store)
    if store is not None:
        state.links.add(store.id, store.link_bytes_per_s)
        state.links.links[store.id].record_report(event)
    yield from ()


def on_transfer_ended(state: VmState, event: TransferEnded,
                      now: float) -> Iterator[Effect]:
    """Close a transfer that ended and dispatch its requests."""
    yield from _dispatch_released(state, transfers.on_ended(state, event, now),
                                  now)


def on_transfer_timeout(state: VmState, event: TimerFired,
                        now: float) -> Iterator[Effect]:
    """Cancel a transfer that timed out and dispatch its requests."""
    yield from _dispatch_released(state,
                                  transfers.on_timeout(state, event.key, now),
                                  now)


def on_model_called(state: VmState, event: ModelCalled,
                    now: float) -> Iterator[Effect]:
    """Record the gap since the context's last visit.

    Also adds the prompt's blocks to the budget of low-priority exports.
    """
    if event.prompt.blocks:
        state.transfers.budget_blocks += len(event.prompt.blocks)
        state.return_gaps.record_visit(event.team, event.prompt.blocks[0], now)
    yield from ()


def on_attempt_ended(state: VmState, event: AttemptEnded,
                     now: float) -> Iterator[Effect]:
    """Export blocks that stores lack and schedule their promotion.

    Runs before the handler of requests, which removes the call.
    """
    call = state.calls.find_by_attempt(event.attempt)
    if call is None or not isinstance(call.arrival, ModelCalled):
        return
    arrival = call.arrival
    yield Observe('computed_share', arrival.team, arrival.model,
                  1 - call.cached_tokens / max(1, arrival.prompt.tokens))
    if not arrival.prompt.blocks or not state.policy.uses_stores:
        return
    state.return_gaps.schedule(arrival.team, arrival.prompt.blocks, now,
                               MIN_PROMOTION_GAP_S, PROMOTION_LEAD_S)
    _export(state, call, arrival, now)
    yield from transfers.start_queued(state, now)


def on_tick(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Request listings, promote blocks and start queued transfers."""
    del event
    yield from _request_listings(state, now)
    for expected in state.return_gaps.pop_due(now):
        yield from _promote(state, expected)
    yield from transfers.start_queued(state, now)


def _dispatch_released(state: VmState,
                       steps: Iterable[Effect | ReleasedRequest],
                       now: float) -> Iterator[Effect]:
    for step in steps:
        if isinstance(step, ReleasedRequest):
            yield from requests.on_fetch_ended(state, step.request,
                                               step.endpoint, now)
        else:
            yield step


def _request_listings(state: VmState, now: float) -> Iterator[Effect]:
    for endpoint in state.directory.endpoints.listings_due(now):
        view = state.endpoints.get(endpoint)
        if view is not None:
            yield ListEndpointCache(endpoint, view.endpoint.address)
    for store_id in state.directory.stores.listings_due(now):
        store = state.config.stores.get(store_id)
        if store is not None:
            yield ListStore(store_id, store.address)


def _export(state: VmState, call: Call, arrival: ModelCalled,
            now: float) -> None:
    blocks = arrival.prompt.blocks
    prefix_lengths = state.directory.stores.prefix_lengths(blocks)
    held_blocks = {
        store: prefix_lengths.get(store, 0)
        for store in state.config.stores
        if state.links.usable(store, now) is not None
    }
    ranked = sorted(held_blocks,
                    key=lambda each:
                    (held_blocks[each], _rendezvous_hash(blocks[0], each)),
                    reverse=True)
    for copy_index, store in enumerate(ranked[:_copy_count(call)]):
        missing = blocks[held_blocks[store]:]
        if not missing:
            continue
        assert call.attempt is not None
        endpoint = state.calls.attempts[call.attempt].endpoint
        transfers.export(state,
                         endpoint,
                         store,
                         missing,
                         len(missing) * state.links.block_bytes,
                         low_priority=copy_index > 0)


def _copy_count(call: Call) -> int:
    """Return the number of stores to export a context to.

    A prompt with cached tokens belongs to a context that has returned.
    """
    return MAX_COPIES if call.cached_tokens else 1


def _rendezvous_hash(first_block: BlockKey, store: StoreId) -> bytes:
    """Rendezvous hash of a store for a context, the same on every VM."""
    return hashlib.blake2b(f'{first_block}/{store}'.encode(),
                           digest_size=8).digest()


def _promote(state: VmState, expected: ExpectedReturn) -> Iterator[Effect]:
    prefix_lengths = state.directory.stores.prefix_lengths(expected.blocks)
    if not prefix_lengths:
        return
    store_id = max(prefix_lengths, key=lambda each: prefix_lengths[each])
    store = state.config.stores.get(store_id)
    refs: tuple[BlockRef, ...] = tuple(
        copy.ref
        for copy in state.directory.copies(store_id, expected.blocks)
        if copy.tier is Tier.DISK)
    if store is not None and refs:
        yield PromoteBlocks(store_id, store.address, refs)
