"""Requests and their sends in flight on this VM."""

import enum
import math
from typing import Final

import attrs

from plantainridge.gateway.config import Route, Team
from plantainridge.gateway.endpoint_speed import Prediction
from plantainridge.gateway.endpoints import Grant
from plantainridge.gateway.events import Headers, Request
from plantainridge.ids import (AttemptId, EndpointId, RequestId, ServiceId,
                               VmId)
from plantainridge.loop.lifecycle import LifeCycle


class CallPhase(enum.Enum):
    """State of a request in its life cycle."""

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
    """Reason why a request waits: there is no endpoint for it, or no retry."""

    NO_ENDPOINT = 'no endpoint takes it'
    NO_CAPACITY = 'no engine has memory for it'
    ALL_PAUSED = 'every endpoint asked for a pause'
    ALL_LIMITED = 'every endpoint limits what it takes for now'
    ALL_LEAVING = 'every endpoint is leaving'
    ALL_EVACUATED = 'every data centre that has it is evacuated'
    NO_BUILD = 'no endpoint that stays has its build'
    NO_PATH = 'neither this VM nor a peer reaches its endpoints'
    NO_RETRY = 'no more sends are allowed'
    SUSPECTS_UNREAD = 'the requests that crash endpoints are not known yet'


class SendLimit(enum.Enum):
    """Limit that prevents a request from being sent again."""

    ATTEMPTS = 'no more attempts are allowed'
    TIME = 'too little time is left'
    BUDGET = 'the retry budget is used up'
    QUARANTINE = 'it, or a part of it, crashes endpoints'


@attrs.define
class Call:
    """One request in flight.

    Attributes:
        arrived_at: Loop time of its arrival, in s.
        expires_at: Loop time after which an answer is too late, in s.
        urgency: Rank; 0 is the most urgent.
        attempt: The current send, or None.
        sends: Sends so far.
        executions: Sends that an endpoint may have run.
        deliveries: Sends that may have reached an endpoint.
        tried: Endpoints that it was sent to.
        given_up: Those of them that were given up although they may be sound.
        unreached: Those of them that were not reached.
        misdirected: Sends that found another run of their endpoint.
        failed_peers: Peers through which a send failed.
        reply_started: Whether the answer's head was sent to the caller.
        last_event_id: Id of the last stream event that the caller has, or ''.
        waiting_since: Loop time since which it waits for an endpoint, in s.
        wait_reason: Why it waits, or None.
        fingerprint: Hash of its team, target and content.
        fallback: An endpoint's error to answer with if all sends fail.
        build: Build to whose endpoints it is bound, or None: that of the first
            stream event that its caller got.
        begun_by: Send that brought the first stream event, if it was in this
            answer, or None.
        origin_due_at: Loop time until which peers may answer at which build its
            stream began, in s; None if it does not wait for that.
        resumed_at: Loop time at which it was found to resume a stream, in s;
            -inf if it does not. It had arrived by then.
        asked_at: Loop time at which peers were last asked for it, in s.
        origin_asks: Number of times that they were asked.
        first_event_s: Time from arrival to the first stream event, in s, or
            None.
        progress_at: Loop time of its latest stream event, or of its arrival,
            in s.
        ask: Number of its placement request while it waits for the answer of a
            coordinator, or None.
        was_asked: Whether a coordinator was asked for its engine.
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
    given_up: set[EndpointId] = attrs.field(factory=set)
    unreached: set[EndpointId] = attrs.field(factory=set)
    misdirected: int = 0
    failed_peers: set[VmId] = attrs.field(factory=set)
    reply_started: bool = False
    last_event_id: str = ''
    waiting_since: float = 0.0
    wait_reason: PlacementFailure | None = None
    fingerprint: str = ''
    fallback: 'FallbackAnswer | None' = None
    build: str | None = None
    begun_by: AttemptId | None = None
    origin_due_at: float | None = None
    resumed_at: float = -math.inf
    asked_at: float = -math.inf
    origin_asks: int = 0
    first_event_s: float | None = None
    progress_at: float = attrs.field(
        default=attrs.Factory(lambda self: self.arrived_at, takes_self=True))
    ask: int | None = None
    was_asked: bool = False


@attrs.frozen
class FallbackAnswer:
    """An error that an endpoint answered with."""

    status: int
    headers: Headers = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)


@attrs.define
class Attempt:
    """One send of a request to an endpoint.

    Attributes:
        sent_at: Loop time at which it was sent, in s.
        progress_at: Loop time of its latest stream event, or of the send, in s.
        version: Weight version that it is bound to, or None.
        build: Build of the endpoint, by its entry at the send; corrected once
            a later entry is known to be that of the run that answers.
        address: Address to which it was sent.
        is_run_known: Whether the run that answers is surely that of the entry
            at the send.
        events_received: Whether any stream event arrived.
        is_silent: Whether it stays although its endpoint is silent.
        new_connection: Whether it required a new connection.
        peer: The peer through which it was sent, or None.
        grant: The grant of its engine, or None.
        prediction: Time that it was predicted to take; None if the speeds of
            the service's endpoints are not learned.
    """

    id: AttemptId
    request: RequestId
    endpoint: EndpointId
    sent_at: float
    progress_at: float
    version: int | None
    build: str = ''
    address: str = ''
    is_run_known: bool = False
    events_received: bool = False
    is_silent: bool = False
    new_connection: bool = False
    peer: VmId | None = None
    grant: Grant | None = None
    prediction: Prediction | None = None


@attrs.define
class CallTable:
    """All requests and sends in flight, by id."""

    calls: dict[RequestId, Call] = attrs.field(factory=dict)
    attempts: dict[AttemptId, Attempt] = attrs.field(factory=dict)

    def of_attempt(self, attempt: AttemptId) -> Call | None:
        """Return the request of a send, or None if the send is not current."""
        known = self.attempts.get(attempt)
        call = self.calls.get(known.request) if known is not None else None
        return call if call is not None and call.attempt == attempt else None

    def waiting(self, now: float) -> list[Call]:
        """Return the requests that wait for an endpoint, in dispatch order.

        Among equally urgent requests, those that can still meet their target
        go first: under overload, serving the oldest first makes all of them
        late.
        """
        calls = [
            call for call in self.calls.values()
            if call.phase is CallPhase.WAITING
        ]
        calls.sort(key=lambda each: (each.urgency, now - each.arrived_at > each.
                                     route.target_s, each.expires_at))
        return calls
