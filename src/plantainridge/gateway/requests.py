"""Requests and sends in flight on this VM."""

import enum
from typing import Final

import attrs

from plantainridge.gateway.config import Route, Team
from plantainridge.gateway.events import Headers, Request
from plantainridge.ids import AttemptId, EndpointId, RequestId, ServiceId
from plantainridge.loop.lifecycle import LifeCycle


class CallPhase(enum.Enum):
    """Where a request stands."""

    WAITING = 'waiting'
    SENT = 'sent'
    STREAMING = 'streaming'
    ENDED = 'ended'


CALL_LIFECYCLE: Final = LifeCycle(CallPhase, [
    ('send', [CallPhase.WAITING, CallPhase.SENT, CallPhase.STREAMING
             ], CallPhase.SENT),
    ('wait', [CallPhase.WAITING, CallPhase.SENT, CallPhase.STREAMING
             ], CallPhase.WAITING),
    ('stream', [CallPhase.SENT, CallPhase.STREAMING], CallPhase.STREAMING),
    ('end', [CallPhase.WAITING, CallPhase.SENT, CallPhase.STREAMING
            ], CallPhase.ENDED),
])


class PlacementFailure(enum.Enum):
    """Why a request has no endpoint for now."""

    NO_ENDPOINT = 'no endpoint takes it'
    NO_CAPACITY = 'no engine has memory for it'


@attrs.define
class Call:
    """One request in flight.

    Attributes:
        arrived_at: Loop time of its arrival, in s.
        expires_at: Loop time after which no answer is of use, in s.
        urgency: Rank, 0 first.
        attempt: The send that runs now, or None.
        sends: Sends so far.
        executions: Sends that may have run.
        arrivals: Sends that may have reached an endpoint.
        tried: Endpoints that it was sent to.
        replying: Whether the caller has the head of the answer.
        last_event_id: Last event of the stream that the caller has, or ''.
        waiting_since: Loop time since which it waits for an endpoint, in s.
        held_for: Why it waits, or None.
        fingerprint: Names its team, target and content.
        spare: An endpoint's failure to answer with if nothing better comes.
        first_piece_s: Time from arrival to the first piece, in s, or None.
    """

    request: Request
    route: Route
    service: ServiceId
    team: Team | None
    arrived_at: float
    expires_at: float
    urgency: int
    phase: CallPhase = CallPhase.WAITING
    attempt: AttemptId | None = None
    sends: int = 0
    executions: int = 0
    deliveries: int = 0
    tried: set[EndpointId] = attrs.field(factory=set)
    reply_started: bool = False
    last_event_id: str = ''
    waiting_since: float = 0.0
    wait_reason: PlacementFailure | None = None
    fingerprint: str = ''
    fallback: 'FallbackAnswer | None' = None
    first_event_s: float | None = None


@attrs.frozen
class FallbackAnswer:
    """A failure that an endpoint answered with."""

    status: int
    headers: Headers = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)


@attrs.define
class Attempt:
    """One send of a request to an endpoint.

    Attributes:
        sent_at: Loop time at which it was sent, in s.
        progress_at: Loop time of its latest piece, or of the send, in s.
        version: Weight version that it is bound to, or None.
        answered: Whether any piece came.
    """

    id: AttemptId
    request: RequestId
    endpoint: EndpointId
    sent_at: float
    progress_at: float
    version: int | None
    events_received: bool = False


@attrs.define
class CallTable:
    """All requests and sends in flight, by their ids."""

    calls: dict[RequestId, Call] = attrs.field(factory=dict)
    attempts: dict[AttemptId, Attempt] = attrs.field(factory=dict)

    def of_attempt(self, attempt: AttemptId) -> Call | None:
        """Returns the request that a send serves, while it is current."""
        found = self.attempts.get(attempt)
        call = self.calls.get(found.request) if found is not None else None
        return call if call is not None and call.attempt == attempt else None

    def waiting(self, now: float) -> list[Call]:
        """Returns requests that wait for an endpoint, in order of their turn.

        Of equally urgent ones, those that can still be answered in time go
        first: under overload, taking the oldest first makes all of them late.
        """
        found = [
            call for call in self.calls.values()
            if call.phase is CallPhase.WAITING
        ]
        found.sort(key=lambda each: (each.urgency, now - each.arrived_at > each.
                                     route.target_s, each.expires_at))
        return found
