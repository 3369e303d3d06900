"""What the gateway's reducer can ask for, beside timers and log lines."""

import attrs

from plantainridge.gateway.events import (Headers, LeaseRecord, Request,
                                          StoredPart, View)
from plantainridge.ids import (AttemptId, DcId, EndpointId, ModelId, RequestId,
                               ServiceId, TeamId)
from plantainridge.loop.effects import Effect

# --- To callers -------------------------------------------------------------


@attrs.frozen
class Reply(Effect):
    """Gives an endpoint's whole answer."""

    request: RequestId
    status: int
    headers: Headers = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class StartReply(Effect):
    """Begins a streamed answer."""

    request: RequestId
    status: int
    headers: Headers = attrs.field(repr=False)


@attrs.frozen
class ForwardStreamEvents(Effect):
    """Passes events of a stream on."""

    request: RequestId
    data: bytes = attrs.field(repr=False)


@attrs.frozen
class EndReply(Effect):
    """Ends a streamed answer that is whole."""

    request: RequestId


@attrs.frozen
class AbortReply(Effect):
    """Closes the caller's connection so that the answer is not whole."""

    request: RequestId


@attrs.frozen
class Refuse(Effect):
    """Ends a request with this system's own status.

    Attributes:
        retry_after_s: When the caller may come back, in s, or None.
    """

    request: RequestId
    status: int
    reason: str
    retry_after_s: float | None = None


# --- To endpoints -----------------------------------------------------------


@attrs.frozen
class CachePlan:
    """What an engine is told of a prompt's cached parts.

    Attributes:
        salt: Text under which it keeps and finds parts.
        fetch_from: For each part a holder's address, or ''; empty for none.
        save_to: For each part a store's address, or ''; empty for none.
        fetch_until_ms: Time on the engines' clock after which fetched parts
            are thrown away, in ms; 0 for none.
    """

    salt: str
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    fetch_until_ms: int = 0


@attrs.frozen
class Send(Effect):
    """Sends a request to an endpoint, once.

    Attributes:
        stream: Whether the answer may be a stream.
        new_connection: Whether it needs a new connection.
        remaining_s: How long the endpoint may take, in s.
        team: Whose request it is; empty for a public one.
        version: Weight version that must answer, or None.
        urgency: Rank within the engine, 0 first; None for a plain service.
        last_event_id: Last event of the stream that the caller has, or ''.
    """

    attempt: AttemptId
    request: Request = attrs.field(repr=False)
    endpoint: EndpointId
    address: str
    stream: bool
    new_connection: bool
    remaining_s: float
    team: TeamId | None
    version: int | None = None
    urgency: int | None = None
    last_event_id: str = ''
    cache: CachePlan | None = None


@attrs.frozen
class CancelSend(Effect):
    """Closes a send's connection; nothing more comes of it."""

    attempt: AttemptId


@attrs.frozen
class DropConnections(Effect):
    """Closes the idle connections to an address."""

    address: str


@attrs.frozen
class RequestReport(Effect):
    """Asks an engine how it is: `EndpointReported` or `ReportFailed`."""

    endpoint: EndpointId
    address: str


@attrs.frozen
class OrderVersion(Effect):
    """Orders an engine to run a version; answered by `OrderAnswered`.

    Attributes:
        orders: Orders that it must have accepted so far.
        fence: The lease's term.
    """

    endpoint: EndpointId
    address: str
    model: ModelId
    version: int
    orders: int
    fence: int


@attrs.frozen
class ListStore(Effect):
    """Requests a KV cache store's full listing.

    Answered by `StoreListed` or `StoreRequestFailed`.
    """

    store: ServiceId
    address: str


@attrs.frozen
class PollStore(Effect):
    """Requests a KV cache store's changes since an event number.

    Answered by `StoreChanged` or `StoreRequestFailed`.
    """

    store: ServiceId
    address: str
    since: int
    wait_s: float


@attrs.frozen
class FreeParts(Effect):
    """Frees parts at a KV cache store if it is still in an epoch."""

    store: ServiceId
    address: str
    epoch: int
    parts: tuple[StoredPart, ...]


# --- To the store -----------------------------------------------------------


@attrs.frozen
class LoadView(Effect):
    """Reads all that a view holds: `ViewRead` or `ViewFailed`."""

    view: View


@attrs.frozen
class ReadView(Effect):
    """Reads a view's news from an offset, waiting for some up to `wait_s`."""

    view: View
    offset: int
    wait_s: float


@attrs.frozen
class WriteVmEntry(Effect):
    """Writes this VM's own entry, for peers; answered by `VmEntryWritten`."""

    dc: DcId
    address: str
    link_mbps: float


@attrs.frozen
class ReadLease(Effect):
    """Reads the lease: `LeaseRead` or `LeaseFailed`."""


@attrs.frozen
class WriteLease(Effect):
    """Appends to the lease if the log still ends at `end`."""

    record: LeaseRecord
    end: int


# --- To the process ---------------------------------------------------------


@attrs.frozen
class StopListening(Effect):
    """Takes no further connections and closes those that are idle."""


@attrs.frozen
class CloseAfterAnswers(Effect):
    """Closes each caller's connection after its next answer."""
