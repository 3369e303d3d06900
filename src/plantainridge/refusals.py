"""Typed refusals of requests that end without a complete answer."""

import enum

import attrs


class RanState(enum.Enum):
    """Whether a request was executed on any endpoint."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Why a request was refused or failed; part of the public API."""

    # Invalid requests.
    MALFORMED = 'malformed'
    UNAUTHENTICATED = 'unauthenticated'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    TOO_LARGE = 'too_large'
    CONTEXT_TOO_LONG = 'context_too_long'
    KEY_REQUIRED = 'idempotency_key_required'
    KEY_INVALID = 'idempotency_key_invalid'
    KEY_CONFLICT = 'idempotency_key_conflict'
    KEY_EXPIRED = 'idempotency_key_expired'
    # Rejections before any work was started, by overload, limits or failures.
    NOT_READY = 'not_ready'
    STOPPING = 'stopping'
    OVERLOADED = 'overloaded'
    TEAM_LIMIT = 'team_limit'
    DEADLINE = 'deadline'
    NO_ENDPOINT = 'no_endpoint'
    QUARANTINED = 'quarantined'
    LOG_UNAVAILABLE = 'log_unavailable'
    # Failures after work may have been started.
    ENDPOINT_FAILED = 'endpoint_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    IN_PROGRESS = 'in_progress'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    CALLER_GONE = 'caller_gone'
    CALLER_SLOW = 'caller_slow'


HTTP_STATUS: dict[Reason, int] = {
    Reason.MALFORMED: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.TOO_LARGE: 413,
    Reason.CONTEXT_TOO_LONG: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_INVALID: 400,
    Reason.KEY_CONFLICT: 422,
    Reason.KEY_EXPIRED: 410,
    Reason.NOT_READY: 503,
    Reason.STOPPING: 503,
    Reason.OVERLOADED: 503,
    Reason.TEAM_LIMIT: 429,
    Reason.DEADLINE: 503,
    Reason.NO_ENDPOINT: 503,
    Reason.QUARANTINED: 422,
    Reason.LOG_UNAVAILABLE: 503,
    Reason.ENDPOINT_FAILED: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.IN_PROGRESS: 409,
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.CALLER_GONE: 499,
    Reason.CALLER_SLOW: 499,
}


@attrs.frozen
class Refusal:
    """The final response to a request that gets no complete answer.

    Attributes:
        reason: Why the request was refused.
        ran: Whether the request was executed.
        detail: One sentence for people; holds no prompt text and no key.
        retry_after_s: Delay after which a resend may succeed, in s; None if a
            resend cannot succeed.
    """

    reason: Reason
    ran: RanState
    detail: str
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status code for the reason."""
        return HTTP_STATUS[self.reason]
