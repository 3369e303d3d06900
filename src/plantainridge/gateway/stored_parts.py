"""Decisions on fetching, saving and freeing prompt parts in KV cache stores.

A store does not validate a fetch. A part is therefore fetched only if the store
reported it as complete since its last restart and has answered recently. Parts
of replaced weights are freed once no VM can have them fetched any more (see
`part_lifetimes`).
"""

import itertools
import math
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import cache, peer_ranks, relays
from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import (FreeFailed, Part, PartsFreed,
                                          StoredPart, View)
from plantainridge.gateway.part_lifetimes import FREE_DELAY_S
from plantainridge.ids import ModelId
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState
    from plantainridge.gateway.stores import StoreView

# Fetched parts that arrive later are discarded.
FETCH_TIMEOUT_S: Final = 1.0
# Stores that hold the first part of a prompt, which many prompts share.
FIRST_PART_COPIES: Final = 2
# Time for which every registered engine must have run newer weights before
# older parts are freed.
ENGINE_DELAY_S: Final = 2.0
# Age of this VM's views beyond which it frees nothing.
MAX_VIEW_AGE_S: Final = 2.0
# Delay per rank, so that VMs do not free the same parts at once.
FREE_STAGGER_S: Final = 1.0
# Time within which a store must receive a call that frees parts.
FREE_TIMEOUT_S: Final = 1.0
# Time after which a call is repeated for parts that the store still holds. By
# then the earlier call was answered or is void.
FREE_RETRY_S: Final = 3.0
# Parts that one call frees.
MAX_FREED_PARTS: Final = 256
# Time for which a part on its way to a store is not sent again.
SAVE_TIMEOUT_S: Final = 3.0
# Share of a store's capacity that is used.
MAX_FILL_RATIO: Final = 0.97


@attrs.frozen
class FetchPlan:
    """Stores from which the leading shared parts of a prompt are fetched.

    Attributes:
        sources: The store's address for each part, or ''.
        tokens: Tokens of the contiguous leading parts that are cached or
            stored.
        seconds: Expected time of the transfer, in s.
    """

    sources: tuple[str, ...]
    tokens: int
    seconds: float


NO_FETCH: Final = FetchPlan((), 0, 0.0)

# For each shared part of a prompt, a store that holds it completely, or None.
PartHolders = tuple['StoreView | None', ...]


def free_replaced(state: 'GatewayState', view: 'StoreView',
                  now: float) -> Iterator[Effect]:
    """Free the parts of weights that were replaced long ago."""
    observe(state, now)
    if not state.versions.latest or view.epoch is None:
        return
    if state.stores.clock_offset_ms is None:
        return
    if now < _free_at(state,
                      now) + FREE_STAGGER_S * relays.rank(state, view.name):
        return
    models = {
        cache.model_digest(model): model for model in state.versions.latest
    }
    view.free_called_at = {
        part: at
        for part, at in view.free_called_at.items()
        if now - at < FREE_RETRY_S
    }
    ages_s = ((part, _replaced_for_s(state, models, part, now))
              for part in (*view.complete, *view.partial)
              if part not in view.free_called_at)
    replaced = dict(
        itertools.islice(
            ((part, age_s) for part, age_s in ages_s if age_s > FREE_DELAY_S),
            MAX_FREED_PARTS))
    if not replaced:
        return
    view.free_called_at.update(dict.fromkeys(replaced, now))
    yield _free_log_line(state, view, replaced, now)
    yield fx.FreeParts(view.name, view.spec.address, view.epoch,
                       tuple(replaced),
                       round(state.stores.clock_ms(now + FREE_TIMEOUT_S)))


def on_freed(state: 'GatewayState', event: PartsFreed,
             now: float) -> Iterator[Effect]:
    """Remove the parts that a store has freed."""
    del now
    view = state.stores.views.get(event.store)
    if view is not None and view.epoch == event.epoch:
        for part in event.parts:
            view.set_part(part, 0)
    yield from ()


def on_free_failed(state: 'GatewayState', event: FreeFailed,
                   now: float) -> Iterator[Effect]:
    """Log that a call freed nothing; it is repeated."""
    del state, now
    yield LogLine('parts_not_freed',
                  (('store', event.store), ('reason', event.reason)))


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Record which versions are the newest."""
    observe(state, now)
    yield from ()


def observe(state: 'GatewayState', now: float) -> None:
    """Record which versions are the newest, and since when."""
    cursor = state.views.cursors[View.OPERATOR]
    newest = {
        model: entry.version for model, entry in state.versions.latest.items()
    }
    state.part_lifetimes.observe(newest, cursor.complete_at, state.views.era,
                                 now)


def _replaced_for_s(state: 'GatewayState', models: Mapping[str, ModelId],
                    part: StoredPart, now: float) -> float:
    """Return for how long a part's weights are known to be replaced, in s.

    Args:
        state: The VM's state.
        models: Models by the digest in their salts.
        part: The part.
        now: Loop time in s.

    Returns:
        The time, or -inf if they are not, or the salt is unknown.
    """
    fields = cache.parse_salt(part.salt)
    if fields is None or not fields.version:
        return -math.inf
    model = models.get(fields.model_digest)
    if model is None:
        return -math.inf
    return state.part_lifetimes.replaced_for_s(model, fields.version, now)


def _free_log_line(state: 'GatewayState', view: 'StoreView',
                   replaced: Mapping[StoredPart, float], now: float) -> LogLine:
    """Return the log line of freed parts, with the inputs of the decision.

    Args:
        state: The VM's state.
        view: The store.
        replaced: The parts, with the time since when each is replaced, in s.
        now: Loop time in s.
    """
    salts = (cache.parse_salt(part.salt) for part in replaced)
    versions = sorted({fields.version for fields in salts if fields})
    oldest = min(each.version for each in state.versions.latest.values())
    return LogLine('parts_freed', (
        ('store', view.name),
        ('parts', len(replaced)),
        ('below_version', oldest),
        ('versions', ','.join(map(str, versions))),
        ('replaced_for_s', round(min(replaced.values()), 3)),
        ('engines',
         sum(bool(each.entry.versions) for each in state.endpoints.values())),
        ('store_tokens',
         view.used_tokens - sum(map(view.stored_tokens, replaced))),
        ('registry_age_s', round(state.views.age_s(View.REGISTRY, now), 3)),
    ))


def _free_at(state: 'GatewayState', now: float) -> float:
    """Return the earliest loop time at which older parts are freed, in s.

    This is a matter of economy: engines that still run replaced weights can use
    the parts. It does not prove that no engine fetches them, since an engine
    may be missing from this VM's view.

    Returns:
        `math.inf` while this VM's views are too old, or an engine still runs
        replaced weights.
    """
    for view in (View.OPERATOR, View.REGISTRY):
        if state.views.age_s(view, now) > MAX_VIEW_AGE_S:
            return math.inf
    changed_at = max(each.seen_at for each in state.versions.latest.values())
    for each in state.endpoints.values():
        for model, version in each.entry.versions.items():
            if version < (state.versions.newest(model) or version):
                return math.inf
            changed_at = max(changed_at, each.versions_changed_at)
    return changed_at + ENGINE_DELAY_S


def find_holders(state: 'GatewayState', model: ModelId, version: int, salt: str,
                 parts: tuple[Part, ...], now: float) -> PartHolders:
    """Return for each shared part a store that holds it completely, or None.

    There is none if the parts may be freed before a fetch ends.
    """
    observe(state, now)
    if (state.stores.clock_offset_ms is None or
            not state.part_lifetimes.may_fetch(model, version,
                                               now + FETCH_TIMEOUT_S)):
        return ()
    fresh = [view for view in state.stores.views.values() if view.is_fresh(now)]
    fresh.sort(key=lambda each: -each.spec.link_mbps)
    return tuple(
        _first_holder(fresh, StoredPart(salt, part.id)) for part in parts[:-1])


def _first_holder(stores: list['StoreView'],
                  part: StoredPart) -> 'StoreView | None':
    """Return the first store that holds a part completely, or None."""
    return next((view for view in stores if part in view.complete), None)


def plan_fetch(holders: PartHolders, parts: tuple[Part, ...], cached_parts: int,
               token_bytes: int) -> FetchPlan:
    """Return the stores from which a prompt's shared parts can be fetched.

    Args:
        holders: For each shared part, a store that holds it completely, or
            None.
        parts: The prompt's parts, in order.
        cached_parts: Number of leading parts that the engine probably caches.
        token_bytes: Size of one cached token, in bytes.
    """
    if not any(holders):
        return NO_FETCH
    sources: list[str] = []
    tokens, seconds = 0, 0.0
    for index, (part, view) in enumerate(zip(parts, holders)):
        if view is None and index >= cached_parts:
            break
        tokens += part.tokens
        sources.append(view.spec.address if view is not None else '')
        if view is not None and index >= cached_parts:
            seconds += view.spec.setup_s + _transfer_s(view, part, token_bytes)
    if not any(sources):
        return NO_FETCH
    padding = ('',) * (len(parts) - len(sources))
    return FetchPlan((*sources, *padding), tokens, seconds)


def _transfer_s(view: 'StoreView', part: Part, token_bytes: int) -> float:
    bits = part.tokens * token_bytes * 8
    return bits / max(1.0, view.spec.link_mbps * 1e6)


def plan_save(state: 'GatewayState', salt: str, parts: tuple[Part, ...],
              now: float) -> tuple[str, ...]:
    """Return for each part the address of the store to save it to, or ''."""
    targets = []
    for index, part in enumerate(parts[:-1]):
        # The later parts cannot be used without the first one.
        copies = FIRST_PART_COPIES if index == 0 else 1
        stored = StoredPart(salt, part.id)
        targets.append(_save_target(state, stored, part.tokens, copies, now))
    if not any(targets):
        return ()
    return (*targets, '')


def _save_target(state: 'GatewayState', part: StoredPart, tokens: int,
                 copies: int, now: float) -> str:
    """Return the address of the store for one more copy of a part, or ''."""
    fresh = [view for view in state.stores.views.values() if view.is_fresh(now)]
    if any(now - view.save_started_at.get(part, -math.inf) < SAVE_TIMEOUT_S
           for view in fresh):
        return ''
    if sum(part in view.complete for view in fresh) >= copies:
        return ''
    candidates = [
        view for view in fresh
        if view.accepts_saves(now) and part not in view.complete and
        view.used_tokens + tokens < MAX_FILL_RATIO * view.spec.capacity_tokens
    ]
    if not candidates:
        return ''
    chosen = max(candidates, key=lambda each: _store_rank(each, part))
    chosen.save_started_at[part] = now
    return chosen.spec.address


def _store_rank(view: 'StoreView', part: StoredPart) -> float:
    """Return a rendezvous hash weighted by capacity, the same on every VM."""
    fraction = (peer_ranks.rendezvous_hash(view.name, part.id) + 1) / (2**64 +
                                                                       1)
    return -view.spec.capacity_tokens / math.log(fraction)


def fetch_deadline_ms(state: 'GatewayState', now: float) -> int:
    """Return the time on the engines' clock at which a fetch expires, in ms."""
    return round(state.stores.clock_ms(now + FETCH_TIMEOUT_S))
