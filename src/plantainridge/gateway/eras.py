"""Return of the metadata store from an older copy.

The store's era rises each time. What it had acknowledged in the last seconds
may be gone, and offsets go back and are given out again, so that a read may
silently return other records. A VM that learns of a new era, from an answer or
from a peer, therefore reads all views anew. What it knows does not go back: a
configuration, a weight version, or an endpoint's start that is older than what
it has seen is not applied.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway.events import EraSeen, TimerKind
from plantainridge.loop.effects import Effect, LogLine, SetTimer
from plantainridge.loop.events import TimerKey

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time in which VMs write their entries again, in s, and the same per VM of the
# deployment: the store limits the rate of writes.
REWRITE_SPREAD_S: Final = 1.0
REWRITE_SPREAD_PER_VM_S: Final = 0.005


def on_era_seen(state: 'GatewayState', event: EraSeen,
                now: float) -> Iterator[Effect]:
    """Enter the era that an answer of the metadata store bore."""
    yield from enter(state, event.era, now)


def enter(state: 'GatewayState', era: int, now: float) -> Iterator[Effect]:
    """Drop what belongs to an older era, and read and write it anew.

    The era that a VM learns of before it has read any view is not a change.
    """
    views = state.views
    if era <= views.era:
        return
    previous, views.era = views.era, era
    views.era_entered_at = now
    state.lease.enter_era(now)
    if not any(cursor.loaded for cursor in views.cursors.values()):
        return
    views.restored_at = now
    yield LogLine('store_restored', (('era', era), ('previous', previous)))
    for view, cursor in views.cursors.items():
        cursor.drop_position(now)
        # The reader reads at once; others wait for its snapshot.
        yield SetTimer(TimerKey(TimerKind.VIEW, view.value), now)
    spread_s = REWRITE_SPREAD_S + REWRITE_SPREAD_PER_VM_S * len(state.peers)
    yield SetTimer(TimerKey(TimerKind.VM_ENTRY),
                   now + state.rng.uniform(0.0, spread_s))
