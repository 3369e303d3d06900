"""Containment of errors that are raised while an event is handled.

An error ends at most the request that the event is about. What was done for
others before it, and the periodic work after it, take effect.
"""

import traceback
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import endings
from plantainridge.ids import RequestId
from plantainridge.loop.effects import Effect, LogLine

if TYPE_CHECKING:
    from plantainridge.gateway.state import GatewayState

REASON: Final = 'the request cannot be handled'


def contain(state: 'GatewayState', work: Iterator[Effect], subject: str,
            now: float) -> Iterator[Effect]:
    """Yield the effects of work; log an error that it raises.

    Args:
        state: The VM's state.
        work: The effects, yielded as the state changes.
        subject: What the work is, for the log line.
        now: Loop time in s.
    """
    yield from contain_request(state, work, subject, None, now)


def contain_request(state: 'GatewayState',
                    work: Iterator[Effect],
                    subject: str,
                    request: RequestId | None,
                    now: float,
                    spares_send: bool = False) -> Iterator[Effect]:
    """Yield the effects of work; an error ends the request that it is about.

    Args:
        state: The VM's state.
        work: The effects, yielded as the state changes.
        subject: What the work is, for the log line.
        request: The request, or None.
        now: Loop time in s.
        spares_send: Whether the request continues if its send is in flight.
    """
    try:
        yield from work
    except Exception as error:  # pylint: disable=broad-exception-caught
        yield _failure_line(subject, error)
        call = None if request is None else state.calls.calls.get(request)
        is_sent = call is not None and call.attempt in state.calls.attempts
        if request is not None and not (spares_send and is_sent):
            yield from _end(state, request, now)


def _end(state: 'GatewayState', request: RequestId,
         now: float) -> Iterator[Effect]:
    """End a request; one that is not known was not sent or had its answer."""
    call = state.calls.calls.get(request)
    if call is None:
        yield fx.Refuse(request, endings.STATUS_UNAVAILABLE, REASON)
        return
    try:
        yield from endings.fail_request(state, call, REASON, None, now)
    except Exception as error:  # pylint: disable=broad-exception-caught
        yield _failure_line('end', error)
        state.calls.calls.pop(request, None)
        if call.attempt is not None:
            state.calls.attempts.pop(call.attempt, None)
            yield fx.CancelSend(call.attempt)
        yield fx.AbortReply(request)


def _failure_line(subject: str, error: Exception) -> LogLine:
    trace = ''.join(traceback.format_exception(error))
    return LogLine('event_failed', (('kind', subject), ('trace', trace)))
