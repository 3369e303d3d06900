"""Everything that the reducer can ask the runtime to do, as data."""

import attrs

from plantainridge.events import BlockRef, Prompt, Stream
from plantainridge.ids import (AttemptId, EndpointId, ModelId, RequestId,
                               ServiceId, StoreId, TeamId, TransferId,
                               WeightVersion, BlockKey)
from plantainridge.loop.effects import Effect
from plantainridge.refusals import Refusal

# --- To callers -------------------------------------------------------------


@attrs.frozen
class SendTokens(Effect):
    """Passes the next tokens of the answer on to the caller."""

    request: RequestId
    tokens: tuple[str, ...]


@attrs.frozen
class FinishAnswer(Effect):
    """Ends a model's whole answer.

    Attributes:
        prompt_tokens: Length of the prompt.
        cached_tokens: Prompt tokens that were not recomputed.
        total: Tokens of the answer.
    """

    request: RequestId
    prompt_tokens: int
    cached_tokens: int
    total: int


@attrs.frozen
class SendServiceAnswer(Effect):
    """Gives a plain service's whole answer to the caller."""

    request: RequestId
    status: int
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class Refuse(Effect):
    """Ends a request with a typed refusal."""

    request: RequestId
    refusal: Refusal


# --- To endpoints -----------------------------------------------------------


@attrs.frozen
class StartAttempt(Effect):
    """Dispatches a model request to an engine.

    Attributes:
        resume_from: Index of the first token wanted; 0 for a new answer.
        delivered: Tokens that the caller already has, in order.
        priority: Rank within the engine; 0 goes first.
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
    """Stops an attempt at its endpoint; no further event comes from it."""

    attempt: AttemptId


@attrs.frozen
class CallService(Effect):
    """Dispatches a call to a plain service's instance.

    The runtime must send it over a new connection and never resend it.
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
        """The key as the service sees it; it differs between teams."""
        return f'{self.team}/{self.key}' if self.key else ''


@attrs.frozen
class StartTransfer(Effect):
    """Moves blocks between an endpoint and a store.

    Attributes:
        refs: Copies to import into the endpoint, in the chain's order; empty
            for an export.
        blocks: Blocks to export from the endpoint, in the chain's order;
            empty for an import.
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
    """Stops a movement of blocks."""

    transfer: TransferId


@attrs.frozen
class PromoteBlocks(Effect):
    """Asks a store to bring copies from its disk into its memory."""

    store: StoreId
    address: str
    refs: tuple[BlockRef, ...]


@attrs.frozen
class ListEndpointCache(Effect):
    """Asks an endpoint for its whole listing; answered by `CacheListed`."""

    endpoint: EndpointId
    address: str


@attrs.frozen
class ListStore(Effect):
    """Asks a store for its whole listing; answered by `StoreListed`."""

    store: StoreId
    address: str


# --- To the platform and to peers -------------------------------------------


@attrs.frozen
class AppendLog(Effect):
    """Appends records to a stream, all or none, in order."""

    append_id: str
    stream: Stream
    shard: int
    payloads: tuple[bytes, ...] = attrs.field(repr=False)


@attrs.frozen
class ReadLog(Effect):
    """Reads a stream from an offset; answered by `LogRead`.

    Attributes:
        wait: Whether to wait a while for records at the stream's end.
    """

    stream: Stream
    shard: int
    offset: int
    wait: bool = True
