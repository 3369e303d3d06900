"""Answers and refusals of run-once calls, and when they may state `not_run`.

`not_run` states that the refused call was not dispatched and never will be. If
the caller states that it may have sent the call before, `not_run` is stated
only if the log proves it, otherwise `unknown`.
"""

from collections.abc import Iterator
from typing import Final

from plantainridge.claim_records import Ending, Outcome
from plantainridge.claim_state import ClaimLimits
from plantainridge.claim_table import ClaimTable
from plantainridge.effects import Refuse, SendServiceAnswer
from plantainridge.events import ServiceCalled
from plantainridge.loop.effects import Effect
from plantainridge.refusals import RanState, Reason, Refusal

SHORT_RETRY_AFTER_S: Final = 1.0
LONG_RETRY_AFTER_S: Final = 5.0


def unproven_refusal(arrival: ServiceCalled, reason: Reason, detail: str,
                     retry_after_s: float | None) -> Refusal:
    """Refuse a call that this VM has not run.

    Whether an earlier attempt of a resent call ran is not known.
    """
    ran = RanState.UNKNOWN if arrival.resend else RanState.NOT_RUN
    return Refusal(reason, ran, detail, retry_after_s)


def key_required() -> Refusal:
    """Refuse a run-once call without an idempotency key."""
    return Refusal(Reason.KEY_REQUIRED, RanState.NOT_RUN,
                   'the call needs an Idempotency-Key header')


def key_invalid(detail: str) -> Refusal:
    """Refuse a malformed key."""
    return Refusal(Reason.KEY_INVALID, RanState.NOT_RUN, detail)


def conflict() -> Refusal:
    """Refuse a call whose key belongs to a different call."""
    return Refusal(Reason.KEY_CONFLICT, RanState.NOT_RUN,
                   'the key was used for another call')


def expired() -> Refusal:
    """Refuse a key whose records may have expired; its call may have run."""
    return Refusal(Reason.KEY_EXPIRED, RanState.UNKNOWN,
                   'the key is too old to tell whether its call ran')


def not_caught_up(arrival: ServiceCalled) -> Refusal:
    """Refuse a call while this VM has not read all claims."""
    return unproven_refusal(arrival, Reason.NOT_READY,
                            'this VM has not read all claims yet',
                            SHORT_RETRY_AFTER_S)


def log_unavailable(arrival: ServiceCalled) -> Refusal:
    """Refuse a call because no claim can be appended or read back."""
    return unproven_refusal(arrival, Reason.LOG_UNAVAILABLE,
                            'the platform log cannot be reached',
                            LONG_RETRY_AFTER_S)


def in_progress() -> Refusal:
    """Refuse a call because another VM's attempt is still in progress."""
    return Refusal(Reason.IN_PROGRESS, RanState.UNKNOWN,
                   'another try with this key has not ended',
                   LONG_RETRY_AFTER_S)


def outcome_unknown(retry_after_s: float | None = None) -> Refusal:
    """Refuse a call that may have run without a recorded outcome."""
    return Refusal(Reason.OUTCOME_UNKNOWN, RanState.UNKNOWN,
                   'the call may have run; its outcome is not known',
                   retry_after_s)


def no_instance(may_have_run: bool) -> Refusal:
    """Refuse a call because no instance of the service is available."""
    return Refusal(Reason.NO_ENDPOINT,
                   RanState.UNKNOWN if may_have_run else RanState.NOT_RUN,
                   'no instance of the service takes work', SHORT_RETRY_AFTER_S)


def key_age_refusal(arrival: ServiceCalled, created_at: float,
                    limits: ClaimLimits, table: ClaimTable,
                    platform_now: float) -> Refusal | None:
    """Return the refusal of a key that is too old or from the future, or None.

    Args:
        arrival: The call.
        created_at: Platform time in the key at which it was created, in s.
        limits: Limits of the key's age.
        table: Claims of the key's shard.
        platform_now: Platform time in s.
    """
    if created_at > platform_now + limits.max_clock_skew_s:
        return unproven_refusal(arrival, Reason.KEY_INVALID,
                                'the time in the key lies in the future', None)
    if created_at < platform_now - limits.max_key_age_s:
        return expired()
    # The clock that timestamped the key may be ahead of the platform's.
    if not table.is_complete_since(created_at - limits.max_clock_skew_s):
        return expired()
    return None


def send_outcome(arrival: list[ServiceCalled],
                 outcome: Outcome) -> Iterator[Effect]:
    """Send a recorded outcome to callers."""
    for each in arrival:
        if outcome.ending is Ending.ANSWERED:
            yield SendServiceAnswer(each.request, outcome.status,
                                    outcome.answer)
        elif outcome.ending is Ending.ANSWER_NOT_KEPT:
            yield Refuse(
                each.request,
                Refusal(Reason.ANSWER_NOT_KEPT, RanState.RAN,
                        'the call ran; its answer was too long to be kept'))
        else:
            yield Refuse(each.request, outcome_unknown())
