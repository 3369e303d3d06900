"""Takeover of running sends by other endpoints.

A running send is given up only for another one that begins in the same step.
Otherwise it stays: an endpoint that is merely silent may continue by itself,
and an answer that was given up for nothing is lost.
"""

import enum
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import dispatch, suspects
from plantainridge.gateway.placement import Placement
from plantainridge.gateway.requests import Attempt, Call, SendLimit

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time after which a send that stayed is checked again, in s.
RECHECK_INTERVAL_S: Final = 0.2
# Share of the retry budget that takeovers may use: the rest is left to sends
# that have failed, whose answers do not continue by themselves.
TAKEOVER_BUDGET_RATIO: Final = 0.75
# Limits that a request does not get back below.
FINAL_LIMITS: Final = frozenset({SendLimit.ATTEMPTS, SendLimit.TIME})


class Stay(enum.Enum):
    """Why a running send stays: nothing can take over yet, or ever."""

    FOR_NOW = 'for now'
    FOR_GOOD = 'for good'


def decide(limit: SendLimit | None,
           choice: Placement | None) -> (Placement | Stay):
    """Return the endpoint that takes over a running send, or why it stays.

    Made for sound endpoints that are silent for a second while the others cool
    down, or with more streams than the retry budget lets run elsewhere.

    Args:
        limit: Limit that prevents the request from being sent again, or None.
        choice: An endpoint that is available for it, or None.
    """
    if limit in FINAL_LIMITS:
        return Stay.FOR_GOOD
    return choice if limit is None and choice is not None else Stay.FOR_NOW


def plan(state: 'GatewayState',
         call: Call,
         now: float,
         silent: Attempt | None = None) -> Placement | Stay:
    """Return the endpoint that takes over a request's send, or why it stays.

    Args:
        state: The VM's state.
        call: The request.
        now: Loop time in s.
        silent: Its send if that is silent. If the path of this send is lost and
            no other endpoint is available, its own takes over through a peer.
    """
    limit = dispatch.send_limit(state, call, now, TAKEOVER_BUDGET_RATIO)
    if limit is not None:
        return decide(limit, None)
    choice = dispatch.choose(state, call, now)
    if (not isinstance(choice, Placement) and silent is not None and
            silent.peer is None and state.paths.is_lost(call.service)):
        call.unreached.add(silent.endpoint)
        choice = dispatch.choose(state, call, now)
    if not isinstance(choice, Placement):
        return decide(None, None)
    if not suspects.admits(state, call, now):
        return decide(SendLimit.QUARANTINE, choice)
    return decide(None, choice)
