"""Calls and attempts in flight on this VM."""

from collections import Counter
from collections.abc import Iterator

import attrs

from plantainridge.events import ModelCalled, ServiceCalled
from plantainridge.ids import AttemptId, EndpointId, RequestId, TeamId
from plantainridge.lifecycles import RequestPhase
from plantainridge.refusals import RanState


@attrs.define
class Call:
    """One call in flight.

    Attributes:
        arrival: The event that carried the request.
        arrived_at: Loop time of the arrival, in s.
        phase: Phase of the life cycle.
        attempt: The current attempt, or None.
        attempt_count: Attempts made so far.
        delivered: Tokens sent to the caller, in order.
        cached_tokens: Prompt tokens that the first attempt did not compute.
        failed_endpoints: Endpoints on which an attempt failed.
        may_have_run: Whether a failed attempt may have done the work.
        first_token_at: Loop time of the first token, in s, or None.
        team_priority: The team's priority at admission.
        priority: Priority within an engine, fixed at admission; 0 runs first.
        first_token_target_s: The team's target for the time to first token at
            admission, in s.
        expected_s: Expected time to first token of the last choice, in s.
        suspect: Fingerprint if an endpoint crashed while running the call, or
            empty.
        progress_at: Loop time of the last dispatch or token, in s.
        waiting_since: Loop time since which the call has waited for an endpoint
            without receiving a token, in s, or None.
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
        """Whether work was done for the call, as far as this VM knows."""
        if self.delivered:
            return RanState.RAN
        return RanState.UNKNOWN if self.may_have_run else RanState.NOT_RUN


@attrs.frozen
class Attempt:
    """One dispatch of a call to an endpoint.

    Attributes:
        started_at: Loop time of the dispatch, in s.
        expected_s: Expected time to first token, in s; 0 if not estimated.
    """

    id: AttemptId
    request: RequestId
    endpoint: EndpointId
    started_at: float
    expected_s: float = 0.0


@attrs.define
class CallTable:
    """Calls and attempts in flight, by id.

    Attributes:
        running: Calls in flight by team.
    """

    calls: dict[RequestId, Call] = attrs.field(factory=dict)
    attempts: dict[AttemptId, Attempt] = attrs.field(factory=dict)
    running: Counter[TeamId] = attrs.field(factory=Counter)

    def open(self, call: Call) -> None:
        """Add a call."""
        self.calls[call.arrival.request] = call
        self.running[call.arrival.team] += 1

    def close(self, request: RequestId) -> Call:
        """Remove a call that ended or whose caller disconnected.

        Raises:
            KeyError: There is no such call.
        """
        call = self.calls.pop(request)
        self.running[call.arrival.team] -= 1
        if self.running[call.arrival.team] <= 0:
            del self.running[call.arrival.team]
        return call

    def find_by_attempt(self, attempt: AttemptId) -> Call | None:
        """Return the call whose current attempt this is, or None."""
        found = self.attempts.get(attempt)
        if found is None:
            return None
        call = self.calls.get(found.request)
        if call is None or call.attempt != attempt:
            return None
        return call

    def on_endpoint(self, endpoint: EndpointId) -> Iterator[Attempt]:
        """Yield the attempts that run on an endpoint."""
        for attempt in self.attempts.values():
            if attempt.endpoint == endpoint:
                yield attempt
