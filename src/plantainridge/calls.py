"""Requests and attempts in flight on this VM."""

from collections.abc import Iterator

import attrs

from plantainridge.events import ModelCalled, ServiceCalled
from plantainridge.ids import AttemptId, EndpointId, RequestId
from plantainridge.lifecycles import RequestPhase


@attrs.define
class Call:
    """One request in flight.

    Attributes:
        asked: The event that brought it.
        arrived_at: Loop time of its arrival, in s.
        phase: Where it stands in its life cycle.
        attempt: The attempt that runs now, or None.
        tries: Attempts made so far.
        delivered: Tokens that the caller was given, in order.
        cached_tokens: Prompt tokens that the first attempt did not compute.
        tried: Endpoints that failed it.
        may_have_run: Whether a failed attempt may have done the work.
        first_token_at: Loop time of its first token, or None.
    """

    asked: ModelCalled | ServiceCalled
    arrived_at: float
    phase: RequestPhase = RequestPhase.ADMITTED
    attempt: AttemptId | None = None
    tries: int = 0
    delivered: list[str] = attrs.field(factory=list, repr=False)
    cached_tokens: int = 0
    tried: set[EndpointId] = attrs.field(factory=set)
    may_have_run: bool = False
    first_token_at: float | None = None


@attrs.frozen
class Attempt:
    """One dispatch of a call to an endpoint."""

    id: AttemptId
    request: RequestId
    endpoint: EndpointId
    started_at: float


@attrs.define
class CallTable:
    """All calls and attempts in flight, by their ids."""

    calls: dict[RequestId, Call] = attrs.field(factory=dict)
    attempts: dict[AttemptId, Attempt] = attrs.field(factory=dict)

    def of_attempt(self, attempt: AttemptId) -> Call | None:
        """Returns the call that an attempt serves, while it is current."""
        found = self.attempts.get(attempt)
        if found is None:
            return None
        call = self.calls.get(found.request)
        if call is None or call.attempt != attempt:
            return None
        return call

    def on_endpoint(self, endpoint: EndpointId) -> Iterator[Attempt]:
        """Yields the attempts that run on an endpoint."""
        for attempt in self.attempts.values():
            if attempt.endpoint == endpoint:
                yield attempt
