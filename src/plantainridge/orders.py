"""What engines are told to run, and what they say they run."""

import enum

import attrs

from plantainridge.ids import EndpointId, ModelId, WeightVersion
from plantainridge.loop.effects import Effect
from plantainridge.loop.events import Event


@attrs.frozen
class LoadedModel:
    """What an engine runs."""

    model: ModelId
    version: WeightVersion
    adapter: str


class OrderOutcome(enum.Enum):
    """What became of an order."""

    DONE = 'done'
    # The engine has seen a higher fencing number.
    FENCED = 'fenced'
    # The engine says that it could not.
    FAILED = 'failed'
    # No answer; it may be carried out yet.
    UNKNOWN = 'unknown'


@attrs.frozen
class OrderEngine(Effect):
    """Orders an engine to run something; the same order again is harmless.

    Attributes:
        fence: Fencing number of the giver's lease.
        target: What it must run from now on; running answers go on.
    """

    order: str
    endpoint: EndpointId
    address: str
    fence: int
    target: LoadedModel


@attrs.frozen
class RequestEngineReport(Effect):
    """Asks an engine what it runs; answered by `EngineReported`."""

    endpoint: EndpointId
    address: str


@attrs.frozen
class OrderEnded(Event):
    """An order was answered, or its answer was lost."""

    order: str
    endpoint: EndpointId
    outcome: OrderOutcome


@attrs.frozen
class EngineReported(Event):
    """An engine says what it runs.

    Attributes:
        loading: Whether it is loading something now.
    """

    endpoint: EndpointId
    loaded: LoadedModel
    loading: bool
