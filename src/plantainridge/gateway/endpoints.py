"""Endpoints as they register themselves, and what this VM saw of them."""

from collections.abc import Mapping

import attrs

from plantainridge.ids import (AttemptId, DcId, EndpointId, ModelId, ServiceId)


@attrs.frozen
class EndpointEntry:
    """One endpoint's own entry in the registry.

    Attributes:
        born_ms: Unix time of its start, in ms; 0 if it doesn't say.
        orders: Orders that it has accepted since its start.
        versions: Weight version of each model that it runs.
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


@attrs.frozen
class EndpointLoad:
    """An endpoint's word on its load.

    Attributes:
        told_at: Loop time at which the word arrived, in s.
    """

    running: int
    waiting: int
    slots: int
    reported_at: float


@attrs.define
class InFlightSend:
    """One send of this VM that is in flight.

    Attributes:
        pending_tokens: Prompt tokens that the engine has yet to read.
        memory_tokens: Memory that the run takes at its end, in tokens.
    """

    pending_tokens: int = 0
    memory_tokens: int = 0


@attrs.define
class EndpointView:
    """What this VM knows of one endpoint.

    Attributes:
        entry: Its latest entry.
        in_flight: Sends of this VM in flight.
        pending_tokens: Prompt tokens of these that are not read yet.
        memory_tokens: Memory that these take at their end, in tokens.
        load: Its last word on its load, or None.
        versions: Weight version of each model, by the latest news of any kind.
        cooldown_until: Loop time until which it gets no work, in s.
        failures: Failures in a row since its last good answer.
        heard_at: Loop time at which any byte came from it, in s.
        missing_since: Loop time since which its entry is gone, or None.
        reached_at: Loop time at which it was last told to have taken up new
            weights, in s.
        changed_at: Loop time at which its entry named other versions, in s.
    """

    entry: EndpointEntry
    in_flight: dict[AttemptId, InFlightSend] = attrs.field(factory=dict)
    pending_tokens: int = 0
    memory_tokens: int = 0
    load: EndpointLoad | None = None
    versions: dict[ModelId, int] = attrs.field(factory=dict)
    cooldown_until: float = 0.0
    failures: int = 0
    last_received_at: float = 0.0
    missing_since: float | None = None
    changed_at: float = 0.0
    weights_loaded_at: float = 0.0

    def record_weights_loaded(self, model: ModelId, version: int,
                              now: float) -> None:
        """Takes in that it has taken up new weights and serves again."""
        if self.versions.get(model, version) > version:
            return
        self.versions[model] = version
        self.weights_loaded_at = self.cooldown_until = now

    def add_send(self, attempt: AttemptId, send: InFlightSend) -> None:
        """Counts a send of this VM."""
        self.in_flight[attempt] = send
        self.pending_tokens += send.pending_tokens
        self.memory_tokens += send.memory_tokens

    def finish_prefill(self, attempt: AttemptId) -> None:
        """Takes in that a send's prompt was read."""
        send = self.in_flight.get(attempt)
        if send is not None:
            self.pending_tokens -= send.pending_tokens
            send.pending_tokens = 0

    def remove_send(self, attempt: AttemptId) -> None:
        """Counts a send no more that has ended."""
        send = self.in_flight.pop(attempt, None)
        if send is not None:
            self.pending_tokens -= send.pending_tokens
            self.memory_tokens -= send.memory_tokens

    def is_available(self, now: float) -> bool:
        """Whether it is registered, stays, and has not just failed."""
        return not self.entry.draining and now >= self.cooldown_until

    @property
    def request_count(self) -> int:
        """Requests on it, by the larger of its word and this VM's count."""
        told = self.load.running + self.load.waiting if self.load else 0
        return max(told, len(self.in_flight))


def available(views: Mapping[EndpointId, EndpointView], service: ServiceId,
              now: float) -> list[EndpointView]:
    """Returns the endpoints of a service that take work now."""
    return [
        view for view in views.values()
        if view.entry.service == service and view.is_available(now)
    ]
