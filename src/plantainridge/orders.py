"""Orders to engines and reports of what engines run."""

import enum

import attrs

from plantainridge.ids import EndpointId, ModelId, WeightVersion
from plantainridge.loop.effects import Effect
from plantainridge.loop.events import Event


@attrs.frozen
class LoadedModel:
    """What an engine runs.

    Attributes:
        model: The model.
        version: Version of the model's weights.
        adapter: Name of the adapter; empty if there is none.
    """

    model: ModelId
    version: WeightVersion
    adapter: str


class OrderOutcome(enum.Enum):
    """Outcome of an order."""

    DONE = 'done'
    # Rejected: the engine has seen a higher fencing token.
    FENCED = 'fenced'
    # Not carried out: the engine reported an error or refused the connection.
    FAILED = 'failed'
    # No answer; the order may still be carried out.
    UNKNOWN = 'unknown'


@attrs.frozen
class OrderEngine(Effect):
    """Order an engine to run a model, a version and an adapter; idempotent.

    Attributes:
        order: Identifier of the order.
        endpoint: The engine.
        address: Address of the engine, host and port.
        fence: Fencing token of the sender's lease.
        target: What the engine is to run from now on. Answers in progress are
            not interrupted.
    """

    order: str
    endpoint: EndpointId
    address: str
    fence: int
    target: LoadedModel


@attrs.frozen
class RequestEngineReport(Effect):
    """Request a report of what an engine runs, posted as `EngineReported`."""

    endpoint: EndpointId
    address: str


@attrs.frozen
class OrderEnded(Event):
    """An order ended, with an answer or without one."""

    order: str
    endpoint: EndpointId
    outcome: OrderOutcome


@attrs.frozen
class EngineReported(Event):
    """An engine reported what it runs.

    Attributes:
        endpoint: The engine.
        loaded: What the engine runs.
        loading: Whether the engine is loading weights now.
    """

    endpoint: EndpointId
    loaded: LoadedModel
    loading: bool
