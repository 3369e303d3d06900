"""Keeps the blocks of contexts that will return: what is held, and where.

Handlers that follow the feeds of endpoints and stores, release requests that
waited for a fetch, export before eviction and raise before a return.
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

# Shortest gap worth a raise from disk, in s.
RAISE_LEAST_S: Final = 1_800.0
# Stores that hold a context which has returned at least once.
MAX_COPIES: Final = 2
# How long before the expected return blocks are raised, in s.
RAISE_LEAD_S: Final = 60.0


def on_load_reported(state: VmState, event: LoadReported,
                     now: float) -> Iterator[Effect]:
    """Takes in an endpoint's load report."""
    del now
    view = state.endpoints.get(event.endpoint)
    if view is not None:
        view.record_report(event)
    yield from ()


def on_cache_changed(state: VmState, event: CacheChanged,
                     now: float) -> Iterator[Effect]:
    """Takes in a piece of an endpoint's cache events."""
    if event.endpoint in state.endpoints:
        state.directory.on_cache_changed(event)
        yield from _ask_listings(state, now)


def on_cache_listed(state: VmState, event: CacheListed,
                    now: float) -> Iterator[Effect]:
    """Takes in an endpoint's whole listing."""
    del now
    if event.endpoint in state.endpoints:
        state.directory.on_cache_listed(event)
    yield from ()


def on_store_changed(state: VmState, event: StoreChanged,
                     now: float) -> Iterator[Effect]:
    """Takes in a piece of a store's events."""
    if event.store in state.config.stores:
        state.directory.on_store_changed(event)
        yield from _ask_listings(state, now)


def on_store_listed(state: VmState, event: StoreListed,
                    now: float) -> Iterator[Effect]:
    """Takes in a store's whole listing."""
    del now
    if event.store in state.config.stores:
        state.directory.on_store_listed(event)
    yield from ()


def on_store_load_reported(state: VmState, event: StoreLoadReported,
                           now: float) -> Iterator[Effect]:
    """Takes in a store's report of its link."""
    del now
    store = state.config.stores.get(event.store)
    if store is not None:
        state.links.add(store.id, store.link_bytes_per_s)
        state.links.links[store.id].record_report(event)
    yield from ()


def on_transfer_ended(state: VmState, event: TransferEnded,
                      now: float) -> Iterator[Effect]:
    """Closes a transfer and dispatches the requests that waited for it."""
    yield from _release(state, transfers.on_ended(state, event, now), now)


def on_transfer_timeout(state: VmState, event: TimerFired,
                        now: float) -> Iterator[Effect]:
    """Gives a transfer up and dispatches the requests that waited for it."""
    yield from _release(state, transfers.on_timeout(state, event.key, now), now)


def on_model_called(state: VmState, event: ModelCalled,
                    now: float) -> Iterator[Effect]:
    """Learns after which gap a context returned; adds to the link budget."""
    if event.prompt.blocks:
        state.transfers.budget_blocks += len(event.prompt.blocks)
        state.return_gaps.record_visit(event.team, event.prompt.blocks[0], now)
    yield from ()


def on_attempt_ended(state: VmState, event: AttemptEnded,
                     now: float) -> Iterator[Effect]:
    """Exports what no store holds yet and plans the raise from disk.

    Runs before the call is forgotten.
    """
    call = state.calls.find_by_attempt(event.attempt)
    if call is None or not isinstance(call.arrival, ModelCalled):
        return
    arrival = call.arrival
    yield Observe('computed_share', arrival.team, arrival.model,
                  1 - call.cached_tokens / max(1, arrival.prompt.tokens))
    if not arrival.prompt.blocks or not state.policy.uses_stores:
        return
    state.return_gaps.expect(arrival.team, arrival.prompt.blocks, now,
                             RAISE_LEAST_S, RAISE_LEAD_S)
    _export(state, call, arrival, now)
    yield from transfers.start_queued(state, now)


def on_tick(state: VmState, event: TimerFired, now: float) -> Iterator[Effect]:
    """Asks for missing listings, raises what returns soon, goes on moving."""
    del event
    yield from _ask_listings(state, now)
    for expected in state.return_gaps.due(now):
        yield from _raise(state, expected)
    yield from transfers.start_queued(state, now)


def _release(state: VmState, steps: Iterable[Effect | ReleasedRequest],
             now: float) -> Iterator[Effect]:
    for step in steps:
        if isinstance(step, ReleasedRequest):
            yield from requests.on_fetch_ended(state, step.request,
                                               step.endpoint, now)
        else:
            yield step


def _ask_listings(state: VmState, now: float) -> Iterator[Effect]:
    for endpoint in state.directory.endpoints.listings_wanted(now):
        view = state.endpoints.get(endpoint)
        if view is not None:
            yield ListEndpointCache(endpoint, view.endpoint.address)
    for name in state.directory.stores.listings_wanted(now):
        store = state.config.stores.get(name)
        if store is not None:
            yield ListStore(name, store.address)


def _export(state: VmState, call: Call, arrival: ModelCalled,
            now: float) -> None:
    blocks = arrival.prompt.blocks
    held = state.directory.stores.prefix_lengths(blocks)
    usable = {
        store: held.get(store, 0)
        for store in state.config.stores
        if state.links.usable(store, now) is not None
    }
    ranked = sorted(usable,
                    key=lambda each: (usable[each], _rank(blocks[0], each)),
                    reverse=True)
    for copy, store in enumerate(ranked[:_copies_wanted(call)]):
        missing = blocks[usable[store]:]
        if not missing:
            continue
        assert call.attempt is not None
        endpoint = state.calls.attempts[call.attempt].endpoint
        transfers.export(state,
                         endpoint,
                         store,
                         missing,
                         len(missing) * state.links.block_bytes,
                         spare=copy > 0)


def _copies_wanted(call: Call) -> int:
    """A context that has returned is kept at one more store."""
    return MAX_COPIES if call.cached_tokens else 1


def _rank(first: BlockKey, store: StoreId) -> bytes:
    """Ranks the stores for a context, alike on every VM."""
    return hashlib.blake2b(f'{first}/{store}'.encode(), digest_size=8).digest()


def _raise(state: VmState, expected: ExpectedReturn) -> Iterator[Effect]:
    prefix_lengths = state.directory.stores.prefix_lengths(expected.blocks)
    if not prefix_lengths:
        return
    name = max(prefix_lengths, key=lambda each: prefix_lengths[each])
    store = state.config.stores.get(name)
    refs: tuple[BlockRef, ...] = tuple(
        copy.ref
        for copy in state.directory.copies(name, expected.blocks)
        if copy.tier is Tier.DISK)
    if store is not None and refs:
        yield PromoteBlocks(name, store.address, refs)
