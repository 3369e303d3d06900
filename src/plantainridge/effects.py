"""Effects that the reducer requests from the runtime, as data."""

import attrs

from plantainridge.events import BlockRef, Prompt, Stream
from plantainridge.ids import (AttemptId, BlockKey, EndpointId, ModelId,
                               RequestId, ServiceId, StoreId, TeamId,
                               TransferId, WeightVersion)
from plantainridge.loop.effects import Effect
from plantainridge.refusals import Refusal

# --- To callers -------------------------------------------------------------


@attrs.frozen
class SendTokens(Effect):
    """Send the next tokens of the answer to the caller."""

    request: RequestId
    tokens: tuple[str, ...]


@attrs.frozen
class FinishAnswer(Effect):
    """End a model's complete answer.

    Attributes:
        prompt_tokens: Length of the prompt in tokens.
        cached_tokens: Prompt tokens that were reused from a cache.
        total: Length of the answer in tokens.
    """

    request: RequestId
    prompt_tokens: int
    cached_tokens: int
    total: int


@attrs.frozen
class SendServiceAnswer(Effect):
    """Send a plain service's complete answer to the caller."""

    request: RequestId
    status: int
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class Refuse(Effect):
    """End a request with a typed refusal."""

    request: RequestId
    refusal: Refusal


# --- To endpoints -----------------------------------------------------------


@attrs.frozen
class StartAttempt(Effect):
    """Dispatch a model request to an engine.

    Attributes:
        resume_from: Index of the first token to generate; 0 for a new answer.
        delivered: Tokens that were already sent to the caller, in order.
        priority: Scheduling priority at the engine; 0 is the highest.
    """

    attempt: AttemptId
    request: RequestId
    endpoint: EndpointId
    address: str
    team: TeamId
    model: ModelId
    version: WeightVersion
    adapter: str
    prompt: Prompt
    max_tokens: int
    priority: int
    resume_from: int = 0
    delivered: tuple[str, ...] = attrs.field(default=(), repr=False)


@attrs.frozen
class CancelAttempt(Effect):
    """Cancel an attempt at its endpoint; it gives no further events."""

    attempt: AttemptId


@attrs.frozen
class CallService(Effect):
    """Dispatch a call to a plain service's instance.

    The runtime must send the call over a new connection and never retry it.
    """

    attempt: AttemptId
    request: RequestId
    endpoint: EndpointId
    address: str
    team: TeamId
    service: ServiceId
    method: str
    path: str
    key: str
    body: bytes = attrs.field(repr=False)

    @property
    def scoped_key(self) -> str:
        """The idempotency key sent to the service, unique across teams."""
        return f'{self.team}/{self.key}' if self.key else ''


@attrs.frozen
class StartTransfer(Effect):
    """Transfer blocks between an endpoint and a store.

    Attributes:
        refs: Copies to import into the endpoint, in the order of the
            prompt; empty for an export.
        blocks: Blocks to export from the endpoint, in the order of the
            prompt; empty for an import.
    """

    transfer: TransferId
    endpoint: EndpointId
    address: str
    store: StoreId
    store_address: str
    refs: tuple[BlockRef, ...] = ()
    blocks: tuple[BlockKey, ...] = ()


@attrs.frozen
class CancelTransfer(Effect):
    """Cancel a transfer of blocks."""

    transfer: TransferId


@attrs.frozen
class PromoteBlocks(Effect):
    """Request a store to promote copies from its disk to its memory."""

    store: StoreId
    address: str
    refs: tuple[BlockRef, ...]


@attrs.frozen
class ListEndpointCache(Effect):
    """Request a listing of an endpoint's cache; answered by `CacheListed`."""

    endpoint: EndpointId
    address: str


@attrs.frozen
class ListStore(Effect):
    """Request a listing of a store's copies; answered by `StoreListed`."""

    store: StoreId
    address: str


# --- To the platform and to peers -------------------------------------------


@attrs.frozen
class AppendLog(Effect):
    """Append records to a stream atomically, in order."""

    append_id: str
    stream: Stream
    shard: int
    payloads: tuple[bytes, ...] = attrs.field(repr=False)


@attrs.frozen
class ReadLog(Effect):
    """Read a stream from an offset; answered by `LogRead`.

    Attributes:
        wait: Whether to long-poll if there are no records yet.
    """

    stream: Stream
    shard: int
    offset: int
    wait: bool = True
