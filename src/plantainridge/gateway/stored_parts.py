"""Which stored parts of prompts are fetched, saved and freed.

A store checks nothing when a part is fetched, so a part is fetched only if the
store itself said that it is whole, in its present life, and was heard a moment
ago. Parts of replaced weights are freed once no engine runs these any more.
"""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs

from plantainridge.gateway import cache, relays
from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import Part, StoredPart, View
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState
    from plantainridge.gateway.stores import StoreView

# Longest time that a fetch may take, in s; what comes later is thrown away.
FETCH_S: Final = 1.0
# Stores that keep a part which opens many prompts.
OPENING_COPIES: Final = 2
# How long every engine must have run newer weights before older parts are
# freed, in s: longer than a fetch may take.
FREE_UNUSED_S: Final = 2.0
# Age of this VM's views beyond which it frees nothing, in s.
VIEW_FRESH_S: Final = 2.0
# Lead of one VM over the next in freeing the same parts, in s.
FREE_STAGGER_S: Final = 1.0
# Parts freed by one call.
FREE_AT_ONCE: Final = 256
# How long a part that is on its way to a store is not sent again, in s.
SAVING_S: Final = 3.0
# Part of a store's room that is used.
FULL_PART: Final = 0.97


@attrs.frozen
class Fetch:
    """Where leading shared parts of a prompt can be fetched.

    Attributes:
        sources: For each part a store's address, or ''.
        tokens: Tokens of the parts that are there without a gap.
        seconds: Expected time of the transfer, in s.
    """

    sources: tuple[str, ...]
    tokens: int
    seconds: float


NO_FETCH: Final = Fetch((), 0, 0.0)

# For each shared part of a prompt a store that keeps it whole, or None.
Stored = tuple['StoreView | None', ...]


def free_replaced(state: 'GatewayState', view: 'StoreView',
                  now: float) -> Iterator[Effect]:
    """Frees parts of weights that were replaced some time ago."""
    if not state.versions.latest or view.epoch is None:
        return
    if now < _free_at(state,
                      now) + FREE_STAGGER_S * relays.rank(state, view.name):
        return
    versions = {named.version for named in state.versions.latest.values()}
    oldest = min(versions)
    old = [
        part for part in (*view.complete, *view.partial)
        if (cache.salt_version(part.salt) or oldest) < oldest
    ][:FREE_AT_ONCE]
    if not old:
        return
    for part in old:
        view.put(part, 0)
    yield LogLine('parts_freed', (('store', view.name), ('parts', len(old)),
                                  ('below_version', oldest)))
    yield fx.FreeParts(view.name, view.spec.address, view.epoch, tuple(old))


def _free_at(state: 'GatewayState', now: float) -> float:
    """Returns the loop time from which replaced weights' parts go, in s.

    A request is bound to a version, and an engine of another one turns it
    away; so nobody fetches a part whose version no engine runs, however old
    its view.
    """
    for view in (View.OPERATOR, View.REGISTRY):
        if state.views.age_s(view, now) > VIEW_FRESH_S:
            return math.inf
    changed_at = max(each.seen_at for each in state.versions.latest.values())
    for each in state.endpoints.values():
        for model, version in each.entry.versions.items():
            if version < (state.versions.newest(model) or version):
                return math.inf
            changed_at = max(changed_at, each.changed_at)
    return changed_at + FREE_UNUSED_S


def find(state: 'GatewayState', salt: str, parts: tuple[Part, ...],
         now: float) -> Stored:
    """Returns for each shared part of a prompt a store that keeps it whole."""
    if state.stores.clock_offset_ms is None:
        return ()
    fresh = [view for view in state.stores.views.values() if view.is_fresh(now)]
    fresh.sort(key=lambda each: -each.spec.link_mbps)
    return tuple(
        _holder(fresh, StoredPart(salt, part.id)) for part in parts[:-1])


def _holder(stores: list['StoreView'], part: StoredPart) -> 'StoreView | None':
    """Returns the first store that keeps a part whole, or None."""
    return next((view for view in stores if part in view.complete), None)


def plan_fetch(stored: Stored, parts: tuple[Part, ...], held: int,
               token_bytes: int) -> Fetch:
    """Returns from where a prompt's shared parts can be fetched.

    Args:
        stored: For each shared part a store that keeps it whole, or None.
        parts: The prompt's parts, in order.
        held: Leading parts that the engine is likely to keep itself.
        token_bytes: Size of one cached token.
    """
    if not any(stored):
        return NO_FETCH
    sources: list[str] = []
    tokens, seconds = 0, 0.0
    for place, (part, view) in enumerate(zip(parts, stored)):
        if view is None and place >= held:
            break
        tokens += part.tokens
        sources.append(view.spec.address if view is not None else '')
        if view is not None and place >= held:
            seconds += view.spec.setup_s + _seconds(view, part, token_bytes)
    if not any(sources):
        return NO_FETCH
    rest = ('',) * (len(parts) - len(sources))
    return Fetch((*sources, *rest), tokens, seconds)


def _seconds(view: 'StoreView', part: Part, token_bytes: int) -> float:
    bits = part.tokens * token_bytes * 8
    return bits / max(1.0, view.spec.link_mbps * 1e6)


def plan_save(state: 'GatewayState', salt: str, parts: tuple[Part, ...],
              now: float) -> tuple[str, ...]:
    """Returns for each part the store that is to keep it, or ''."""
    targets = []
    for place, part in enumerate(parts[:-1]):
        # Without the opening part nothing behind it is of use.
        copies = OPENING_COPIES if place == 0 else 1
        kept = StoredPart(salt, part.id)
        targets.append(_target(state, kept, part.tokens, copies, now))
    if not any(targets):
        return ()
    return (*targets, '')


def _target(state: 'GatewayState', part: StoredPart, tokens: int, copies: int,
            now: float) -> str:
    """Returns the store that is to keep one more copy of a part, or ''."""
    fresh = [view for view in state.stores.views.values() if view.is_fresh(now)]
    if any(now - view.saving.get(part, -math.inf) < SAVING_S for view in fresh):
        return ''
    if sum(part in view.complete for view in fresh) >= copies:
        return ''
    room = [
        view for view in fresh
        if part not in view.complete and view.used_tokens + tokens < FULL_PART *
        view.spec.capacity_tokens
    ]
    if not room:
        return ''
    chosen = max(room, key=lambda each: _weight(each, part))
    chosen.saving[part] = now
    return chosen.spec.address


def _weight(view: 'StoreView', part: StoredPart) -> float:
    """Draws stores in proportion to their room, the same on every VM."""
    share = (relays.rendezvous_hash(view.name, part.id) + 1) / (2**64 + 1)
    return -view.spec.capacity_tokens / math.log(share)


def until_ms(state: 'GatewayState', now: float) -> int:
    """Returns the engines' time after which a fetch begun now is too late."""
    clock = state.stores.clock_offset_ms or 0.0
    return round((now + FETCH_S) * 1_000 + clock)
