"""Choice of an endpoint for a request."""

import abc
from collections.abc import Sequence

import attrs

from plantainridge.endpoints import EndpointView
from plantainridge.events import Prompt
from plantainridge.ids import EndpointId


@attrs.frozen
class NoEndpoint:
    """Says that no candidate can take the request."""

    detail: str


@attrs.frozen
class Choice:
    """The endpoint that a policy chose."""

    endpoint: EndpointId


class Policy(abc.ABC):
    """A way to choose among candidates that all serve the request."""

    name: str

    @abc.abstractmethod
    def choose(self, prompt: Prompt, candidates: Sequence[EndpointView],
               now: float) -> Choice | NoEndpoint:
        """Chooses an endpoint.

        Args:
            prompt: The request's context.
            candidates: Endpoints that may take it, in a fixed order.
            now: Loop time in s.
        """


class RoundRobin(Policy):
    """Baseline: each candidate in turn."""

    name = 'round_robin'

    def __init__(self) -> None:
        self.turn = 0

    def choose(self, prompt: Prompt, candidates: Sequence[EndpointView],
               now: float) -> Choice | NoEndpoint:
        if not candidates:
            return NoEndpoint('no endpoint takes work')
        self.turn += 1
        return Choice(candidates[self.turn % len(candidates)].id)


class LeastLoaded(Policy):
    """Baseline: the candidate with the fewest queued prompt tokens."""

    name = 'least_loaded'

    def choose(self, prompt: Prompt, candidates: Sequence[EndpointView],
               now: float) -> Choice | NoEndpoint:
        if not candidates:
            return NoEndpoint('no endpoint takes work')
        best = min(candidates,
                   key=lambda view: (view.waiting_tokens(), len(view.own)))
        return Choice(best.id)
