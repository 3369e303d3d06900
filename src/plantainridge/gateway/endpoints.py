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
    born_ms: int = 0
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
    told_at: float


@attrs.define
class OwnSend:
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
        own: Sends of this VM in flight.
        load: Its last word on its load, or None.
        versions: Weight version of each model, by the latest news of any kind.
        away_until: Loop time until which it gets no work, in s.
        failures: Failures in a row since its last good answer.
        heard_at: Loop time at which any byte came from it, in s.
        missing_since: Loop time since which its entry is gone, or None.
        reached_at: Loop time at which it was last told to have taken up new
            weights, in s.
        changed_at: Loop time at which its entry named other versions, in s.
    """

    entry: EndpointEntry
    own: dict[AttemptId, OwnSend] = attrs.field(factory=dict)
    load: EndpointLoad | None = None
    versions: dict[ModelId, int] = attrs.field(factory=dict)
    away_until: float = 0.0
    failures: int = 0
    heard_at: float = 0.0
    missing_since: float | None = None
    changed_at: float = 0.0
    reached_at: float = 0.0

    def note_reached(self, model: ModelId, version: int, now: float) -> None:
        """Takes in that it has taken up new weights and serves again."""
        if self.versions.get(model, version) > version:
            return
        self.versions[model] = version
        self.reached_at = self.away_until = now

    def takes_work(self, now: float) -> bool:
        """Whether it is registered, stays, and has not just failed."""
        return not self.entry.draining and now >= self.away_until

    @property
    def pending_tokens(self) -> int:
        """Prompt tokens of this VM's sends that are not read yet."""
        return sum(send.pending_tokens for send in self.own.values())

    @property
    def memory_tokens(self) -> int:
        """Memory that this VM's sends take, in tokens."""
        return sum(send.memory_tokens for send in self.own.values())

    @property
    def running(self) -> int:
        """Requests on it, by the larger of its word and this VM's count."""
        told = self.load.running + self.load.waiting if self.load else 0
        return max(told, len(self.own))


def ready(views: Mapping[EndpointId, EndpointView], service: ServiceId,
          now: float) -> list[EndpointView]:
    """Returns the endpoints of a service that take work now."""
    return [
        view for view in views.values()
        if view.entry.service == service and view.takes_work(now)
    ]
