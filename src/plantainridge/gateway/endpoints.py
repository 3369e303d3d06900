"""Registered endpoints and their state as observed by this VM."""

import math
from collections.abc import Mapping

import attrs

from plantainridge.ids import (AttemptId, DcId, EndpointId, Incarnation,
                               ModelId, ServiceId, VmId)


@attrs.frozen
class EndpointEntry:
    """An endpoint's own entry in the registry.

    Attributes:
        slots: Requests that it runs at once.
        draining: Whether it is leaving and must get no new requests.
        started_ms: Unix time of its start, in ms; 0 if unknown.
        orders: Number of orders that it has accepted since its start.
        versions: Weight version of each model that it runs.
        build: Version of its software; '' if not stated.
        cold_remaining_s: Time for which it stayed cold when it wrote the entry,
            in s; 0 if it was not cold.
    """

    id: EndpointId
    service: ServiceId
    address: str
    dc: DcId
    slots: int
    draining: bool
    started_ms: int = 0
    orders: int = 0
    versions: Mapping[ModelId, int] = attrs.field(factory=dict)
    build: str = ''
    cold_remaining_s: float = 0.0

    def is_heartbeat_after(self, previous: 'EndpointEntry') -> bool:
        """Return whether the entry differs at most in the number of orders."""
        if self.orders != previous.orders:
            previous = attrs.evolve(previous, orders=self.orders)
        return self == previous


@attrs.frozen
class EndpointLoad:
    """A load report of an endpoint.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it runs at once.
        reported_at: Loop time at which the report arrived, in s.
        slowdown: Time that work takes there at the moment, relative to the
            usual time; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    reported_at: float
    slowdown: float | None = None


@attrs.define
class Grant:
    """A coordinator's grant of an engine for one run of this VM.

    Attributes:
        coordinator: The VM that granted it.
        incarnation: Incarnation of that VM's process.
        number: Number of the placement request.
        is_counted: Whether that process still coordinates, so that it counts
            the run itself.
    """

    coordinator: VmId
    incarnation: Incarnation
    number: int
    is_counted: bool = True


@attrs.define
class InFlightSend:
    """One send of this VM that is in flight.

    Attributes:
        pending_tokens: Prompt tokens that the engine has yet to compute.
        memory_tokens: Memory that the run takes when it ends, in tokens.
        grant: The grant of its engine, or None.
    """

    pending_tokens: int = 0
    memory_tokens: int = 0
    grant: Grant | None = None


@attrs.define
class EndpointView:
    """State of one endpoint as known to this VM.

    Attributes:
        entry: Its latest entry.
        known_at: Loop time at which the entry of its present run was first
            applied, in s.
        in_flight: Sends of this VM in flight.
        pending_tokens: Prompt tokens of these sends that are not computed yet.
        memory_tokens: Memory that these sends take when they end, in tokens.
        granted_sends: Number of these sends whose engine was granted.
        load: Its latest load report, or None.
        versions: Weight version of each model, by the latest report of any
            kind; a model is missing while its version is not known.
        cooldown_until: Loop time until which it gets no requests since it
            rejected one, loads weights or is another instance, in s.
        unreached_until: Loop time until which it gets no requests since it
            could not be reached or broke answers, in s.
        cooled_down_at: Loop time at which this cool-down last began, in s.
        failures: Consecutive failures since its last successful answer.
        restarted: Whether it restarted and has served no answer since.
        last_received_at: Loop time at which data last arrived from it, in s.
        missing_since: Loop time since which its entry is missing, or None.
        versions_changed_at: Loop time at which the versions in its entry last
            changed, in s.
        versions_asked_at: Loop time at which it was last asked for a version
            that is not known, in s.
        weights_loaded_at: Loop time at which it was last reported to have
            loaded new weights, in s.
        other_run_ms: Unix time of the start of the run that answered in place
            of that of its entry, in ms; 0 if none did.
        other_run_until: Loop time until which it gets no streams that may be
            resumed since another run answers than that of its entry, in s.
        leaving: Whether an answer stated that it is leaving.
        paused_until: Loop time until which it wants no requests, in s.
        probing: Whether it gets one request at a time, after a pause.
        probe: That request's send while it is in flight, or None.
    """

    entry: EndpointEntry
    known_at: float = -math.inf
    in_flight: dict[AttemptId, InFlightSend] = attrs.field(factory=dict)
    pending_tokens: int = 0
    memory_tokens: int = 0
    granted_sends: int = 0
    load: EndpointLoad | None = None
    versions: dict[ModelId, int] = attrs.field(factory=dict)
    cooldown_until: float = 0.0
    unreached_until: float = 0.0
    cooled_down_at: float = -math.inf
    failures: int = 0
    restarted: bool = False
    last_received_at: float = 0.0
    missing_since: float | None = None
    versions_changed_at: float = 0.0
    versions_asked_at: float = -math.inf
    weights_loaded_at: float = 0.0
    other_run_ms: int = 0
    other_run_until: float = -math.inf
    leaving: bool = False
    paused_until: float = -math.inf
    probing: bool = False
    probe: AttemptId | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether it must get no new requests until it has restarted."""
        return self.leaving or self.entry.draining

    @property
    def is_returning(self) -> bool:
        """Whether it failed or restarted and has served no answer since."""
        return self.restarted or self.failures > 0

    def is_version_unknown(self, model: ModelId) -> bool:
        """Return whether it has a model in a version that is not known."""
        return model in self.entry.versions and model not in self.versions

    def record_weights_loaded(self, model: ModelId, version: int,
                              now: float) -> None:
        """Record that it has loaded new weights and serves requests again."""
        if self.versions.get(model, version) > version:
            return
        self.versions[model] = version
        self.weights_loaded_at = self.cooldown_until = now
        self.unreached_until = now

    def add_send(self, attempt: AttemptId, send: InFlightSend) -> None:
        """Add a send of this VM."""
        self.in_flight[attempt] = send
        if self.probing:
            self.probe = attempt
        self.pending_tokens += send.pending_tokens
        self.memory_tokens += send.memory_tokens
        self.granted_sends += send.grant is not None

    def finish_prefill(self, attempt: AttemptId) -> None:
        """Record that the prompt of a send has been computed."""
        send = self.in_flight.get(attempt)
        if send is not None:
            self.pending_tokens -= send.pending_tokens
            send.pending_tokens = 0

    def remove_send(self, attempt: AttemptId) -> None:
        """Remove a send that has ended."""
        send = self.in_flight.pop(attempt, None)
        if self.probe == attempt:
            self.probe = None
        if send is not None:
            self.pending_tokens -= send.pending_tokens
            self.memory_tokens -= send.memory_tokens
            self.granted_sends -= send.grant is not None

    def counted_grants(self) -> list[InFlightSend]:
        """Return the sends that their coordinator counts itself."""
        if not self.granted_sends:
            return []
        return [
            send for send in self.in_flight.values()
            if send.grant is not None and send.grant.is_counted
        ]

    def is_available(self, now: float) -> bool:
        """Return whether it may get a request now."""
        return (not self.is_leaving and now >= self.available_at and
                self.probe is None)

    @property
    def available_at(self) -> float:
        """Loop time at which its cool-downs and its pause end, in s."""
        return max(self.cooldown_until, self.unreached_until, self.paused_until)

    @property
    def request_count(self) -> int:
        """Requests on it: the larger of its report and this VM's own count."""
        reported = self.load.running + self.load.waiting if self.load else 0
        return max(reported, len(self.in_flight))


def available(views: Mapping[EndpointId, EndpointView], service: ServiceId,
              now: float) -> list[EndpointView]:
    """Return the endpoints of a service that may get requests now."""
    return [
        view for view in views.values()
        if view.entry.service == service and view.is_available(now)
    ]
