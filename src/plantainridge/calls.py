"""Requests and attempts in flight on this VM."""

from collections import Counter
from collections.abc import Iterator

import attrs

from plantainridge.events import ModelCalled, ServiceCalled
from plantainridge.ids import AttemptId, EndpointId, RequestId, TeamId
from plantainridge.lifecycles import RequestPhase
from plantainridge.refusals import RanState


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
        team_priority: The team's priority, fixed when it was taken in.
        priority: Rank within an engine, fixed when it was taken in.
        promised_s: Promised time to first token in s, fixed when taken in.
        expected_s: Expected time to first token of the last choice, in s.
        suspect: Fingerprint once an endpoint crashed under it, or empty.
        progress_at: Loop time of its last dispatch or token, in s.
        waiting_since: Loop time since which it waits for an endpoint without
            a token, in s; None if it does not.
    """

    arrival: ModelCalled | ServiceCalled
    arrived_at: float
    phase: RequestPhase = RequestPhase.ADMITTED
    attempt: AttemptId | None = None
    attempt_count: int = 0
    delivered: list[str] = attrs.field(factory=list, repr=False)
    cached_tokens: int = 0
    failed_endpoints: set[EndpointId] = attrs.field(factory=set)
    may_have_run: bool = False
    first_token_at: float | None = None
    team_priority: int = 0
    priority: int = 0
    first_token_target_s: float = 0.0
    expected_s: float = 0.0
    suspect: str = ''
    progress_at: float = 0.0
    waiting_since: float | None = None

    @property
    def ran(self) -> RanState:
        """What a refusal may truly say about work done for the call."""
        if self.delivered:
            return RanState.RAN
        return RanState.UNKNOWN if self.may_have_run else RanState.NOT_RUN


@attrs.frozen
class Attempt:
    """One dispatch of a call to an endpoint.

    Attributes:
        expected_s: Time to first token that was expected, in s.
    """

    id: AttemptId
    request: RequestId
    endpoint: EndpointId
    started_at: float
    expected_s: float = 0.0


@attrs.define
class CallTable:
    """All calls and attempts in flight, by their ids.

    Attributes:
        running: Calls in flight by team.
    """

    calls: dict[RequestId, Call] = attrs.field(factory=dict)
    attempts: dict[AttemptId, Attempt] = attrs.field(factory=dict)
    running: Counter[TeamId] = attrs.field(factory=Counter)

    def open(self, call: Call) -> None:
        """Takes a call in."""
        self.calls[call.arrival.request] = call
        self.running[call.arrival.team] += 1

    def close(self, request: RequestId) -> Call:
        """Forgets a call that got its final word or lost its caller."""
        call = self.calls.pop(request)
        self.running[call.arrival.team] -= 1
        if self.running[call.arrival.team] <= 0:
            del self.running[call.arrival.team]
        return call

    def find_by_attempt(self, attempt: AttemptId) -> Call | None:
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
