"""What callers of marked calls are told, and whether it may say `not_run`.

`not_run` speaks of the call that is refused: it was not dispatched and never
will be. To a caller that says it may have sent the call before, only what
the log proves is told; else the word is `unknown`.
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


def unproven_refusal(asked: ServiceCalled, reason: Reason, detail: str,
                     retry_after_s: float | None) -> Refusal:
    """Refuses a call that this VM has not run; earlier tries are unseen."""
    ran = RanState.UNKNOWN if asked.resend else RanState.NOT_RUN
    return Refusal(reason, ran, detail, retry_after_s)


def key_required() -> Refusal:
    """Refuses a marked call without a key."""
    return Refusal(Reason.KEY_REQUIRED, RanState.NOT_RUN,
                   'the call needs an Idempotency-Key header')


def key_invalid(detail: str) -> Refusal:
    """Refuses a key that no VM takes."""
    return Refusal(Reason.KEY_INVALID, RanState.NOT_RUN, detail)


def conflict() -> Refusal:
    """Refuses another call under a key that is taken."""
    return Refusal(Reason.KEY_CONFLICT, RanState.NOT_RUN,
                   'the key was used for another call')


def expired() -> Refusal:
    """Refuses a key whose records may be gone; it may have run."""
    return Refusal(Reason.KEY_EXPIRED, RanState.UNKNOWN,
                   'the key is too old to tell whether its call ran')


def not_caught_up(asked: ServiceCalled) -> Refusal:
    """Refuses while this VM has not read the claims of others."""
    return unproven_refusal(asked, Reason.NOT_READY,
                            'this VM has not read all claims yet',
                            SHORT_RETRY_AFTER_S)


def log_unavailable(asked: ServiceCalled) -> Refusal:
    """Refuses while no claim can be made."""
    return unproven_refusal(asked, Reason.LOG_UNAVAILABLE,
                            'the platform log cannot be reached',
                            LONG_RETRY_AFTER_S)


def in_progress() -> Refusal:
    """Refuses to wait longer for the outcome of another VM's try."""
    return Refusal(Reason.IN_PROGRESS, RanState.UNKNOWN,
                   'another try with this key has not ended',
                   LONG_RETRY_AFTER_S)


def outcome_unknown(retry_after_s: float | None = None) -> Refusal:
    """Says that the call may have run and that nobody can tell."""
    return Refusal(Reason.OUTCOME_UNKNOWN, RanState.UNKNOWN,
                   'the call may have run; its outcome is not known',
                   retry_after_s)


def no_instance(may_have_run: bool) -> Refusal:
    """Refuses while no instance of the service takes work."""
    return Refusal(Reason.NO_ENDPOINT,
                   RanState.UNKNOWN if may_have_run else RanState.NOT_RUN,
                   'no instance of the service takes work', SHORT_RETRY_AFTER_S)


def unfit(asked: ServiceCalled, made_at: float, limits: ClaimLimits,
          table: ClaimTable, at: float) -> Refusal | None:
    """Returns why a key's age forbids to claim it, or None.

    Args:
        asked: The call.
        made_at: When the key was made by its own word, in s.
        limits: Bounds of the key's age.
        table: Claims of the key's shard.
        at: Platform time, in s.
    """
    if made_at > at + limits.max_clock_skew_s:
        return unproven_refusal(asked, Reason.KEY_INVALID,
                                'the time in the key lies in the future', None)
    if made_at < at - limits.max_key_age_s:
        return expired()
    # The clock that made the key may be ahead of the platform's.
    if not table.knows_all_since(made_at - limits.max_clock_skew_s):
        return expired()
    return None


def tell(asked: list[ServiceCalled], outcome: Outcome) -> Iterator[Effect]:
    """Gives a recorded outcome to callers."""
    for each in asked:
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
