"""Withdrawal of sends that would begin on replaced weights after the bound.

A request that was sent in time may wait longer in its engine's queue than
expected. One that has shown no event shortly before the bound is sent anew,
under the limits of any other retry. One that may not be repeated stays, and so
does an answer that has begun while no other engine can take it over: to give it
up would cut it.
"""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import dispatch, endings, takeover
from plantainridge.gateway import effects as fx
from plantainridge.gateway.config import RequestKind
from plantainridge.gateway.placement import Placement
from plantainridge.gateway.requests import Attempt, Call
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

# Time before the version bound at which a send without events is withdrawn: the
# engine learns of it within this time.
WITHDRAWAL_MARGIN_S: Final = 0.5


def may_begin_late(events_received: bool, replaced_for_s: float,
                   bound_s: float) -> bool:
    """Return whether a send may begin on replaced weights after the bound.

    Made for engines whose queues grow after a request was sent to them.

    Args:
        events_received: Whether any stream event arrived.
        replaced_for_s: Time since the weights were replaced, in s; inf if it is
            not known.
        bound_s: Time after which nothing may begin on replaced weights, in s.
    """
    if events_received or math.isinf(replaced_for_s):
        return False
    return replaced_for_s >= bound_s - WITHDRAWAL_MARGIN_S


def on_tick(state: 'GatewayState', now: float) -> Iterator[Effect]:
    """Withdraw the sends that may begin late, and send their requests anew."""
    if state.suspension.may_have_backlog(now):
        # Events of these sends, and ages from peers, may not be handled yet.
        return
    for attempt in list(state.calls.attempts.values()):
        call = state.calls.of_attempt(attempt.id)
        if (call is not None and call.route.kind is RequestKind.STREAM and
                may_begin_late(attempt.events_received,
                               _replaced_for_s(state, call, attempt, now),
                               state.settings.bounds.version_s) and
                call.route.repeatable):
            choice = takeover.plan(state, call, now)
            if isinstance(choice, Placement):
                yield from _withdraw(state, call, attempt, now)
                yield from dispatch.send(state, call, choice, now)
            elif (not call.reply_started and
                  dispatch.may_retry(state, call, now)):
                yield from _withdraw(state, call, attempt, now)
                yield from dispatch.dispatch(state, call, now)


def _replaced_for_s(state: 'GatewayState', call: Call, attempt: Attempt,
                    now: float) -> float:
    """Return for how long a send's weights have been replaced, in s."""
    replaced_at = state.versions.replaced_at(call.request.model,
                                             attempt.version)
    return 0.0 if replaced_at is None else now - replaced_at


def _withdraw(state: 'GatewayState', call: Call, attempt: Attempt,
              now: float) -> Iterator[Effect]:
    yield fx.CancelSend(attempt.id)
    yield from endings.close_attempt(state, attempt.id)
    yield LogLine('send_withdrawn',
                  (('request', call.request.attempt_id),
                   ('endpoint', attempt.endpoint),
                   ('version', attempt.version or 0),
                   ('after_s', round(now - attempt.sent_at, 4))))
