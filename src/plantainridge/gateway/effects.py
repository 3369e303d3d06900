"""Effects of the gateway's reducer, besides timers and log lines."""

import attrs

from plantainridge.gateway.events import (BuildRecord, Headers, LeaseRecord,
                                          Request, StoredPart, SuspectRecord,
                                          View)
from plantainridge.ids import (AttemptId, DcId, EndpointId, ModelId, RequestId,
                               ServiceId, TeamId, TunnelId)
from plantainridge.loop.effects import Effect

# --- To callers -------------------------------------------------------------


@attrs.frozen
class Reply(Effect):
    """Send an endpoint's complete answer."""

    request: RequestId
    status: int
    headers: Headers = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class StartReply(Effect):
    """Start a streamed answer."""

    request: RequestId
    status: int
    headers: Headers = attrs.field(repr=False)


@attrs.frozen
class ForwardStreamEvents(Effect):
    """Forward events of a stream."""

    request: RequestId
    data: bytes = attrs.field(repr=False)


@attrs.frozen
class EndReply(Effect):
    """End a complete streamed answer."""

    request: RequestId


@attrs.frozen
class AbortReply(Effect):
    """Close the caller's connection to show that the answer is truncated."""

    request: RequestId


@attrs.frozen
class Refuse(Effect):
    """End a request with a status of the gateway itself.

    Attributes:
        retry_after_s: Time after which the caller may retry, in s, or None.
    """

    request: RequestId
    status: int
    reason: str
    retry_after_s: float | None = None


# --- To endpoints -----------------------------------------------------------


@attrs.frozen
class CachePlan:
    """Where an engine fetches and saves the KV cache of a prompt's parts.

    Attributes:
        salt: Salt of the parts' cache keys.
        fetch_from: For each part the address of a store that holds it, or '';
            empty if nothing is fetched.
        save_to: For each part the address of the store to save it to, or '';
            empty if nothing is saved.
        fetch_until_ms: Time on the engines' clock after which fetched parts
            are discarded, in ms; 0 for no bound.
    """

    salt: str
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    fetch_until_ms: int = 0


@attrs.frozen
class Send(Effect):
    """Send a request to an endpoint, once.

    Attributes:
        stream: Whether the answer may be a stream.
        new_connection: Whether a new connection is required.
        allows_stale: Whether a connection may be used that has been idle for
            so long that its server may have dropped it.
        remaining_s: Time that the endpoint may take, in s.
        team: Team of the request; None for a public one.
        version: Weight version that must answer, or None.
        urgency: Priority within the engine, 0 first; None for a plain service.
        last_event_id: Id of the last stream event that the caller received,
            or ''.
        via: Address of the peer that opens a tunnel to the endpoint, or '' for
            a direct connection.
        started_ms: Unix time of the start of the endpoint's run, by its entry,
            in ms; 0 if the endpoint does not state it or is no engine. A stream
            that ends with its connection is complete only if a run of that
            endpoint still answers.
        confirms_run: Whether nothing is sent unless that run is at the other
            end of the connection.
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
    allows_stale: bool = False
    cache: CachePlan | None = None
    via: str = ''
    started_ms: int = 0
    confirms_run: bool = False


@attrs.frozen
class CancelSend(Effect):
    """Close a send's connection; the send posts no further event."""

    attempt: AttemptId


@attrs.frozen
class DropConnections(Effect):
    """Close the idle connections to an address."""

    address: str


@attrs.frozen
class ProbePath(Effect):
    """Open a direct connection to an endpoint and close it.

    Answered by `PathProbed`.
    """

    endpoint: EndpointId
    address: str


@attrs.frozen
class RequestReport(Effect):
    """Request an engine's state.

    Answered by `EndpointReported` or `ReportFailed`.
    """

    endpoint: EndpointId
    address: str


@attrs.frozen
class OrderVersion(Effect):
    """Order an engine to run a version; answered by `OrderAnswered`.

    Attributes:
        orders: Number of orders that the engine must have accepted so far.
        fence: Term of the lease, as fencing token.
    """

    endpoint: EndpointId
    address: str
    model: ModelId
    version: int
    orders: int
    fence: int


@attrs.frozen
class ListStore(Effect):
    """Request a KV cache store's complete listing.

    Answered by `StoreListed` or `StoreRequestFailed`.

    Attributes:
        issued_at: Loop time of the request, in s.
    """

    store: ServiceId
    address: str
    issued_at: float


@attrs.frozen
class PollStore(Effect):
    """Request a KV cache store's changes.

    Answered by `StoreChanged` or `StoreRequestFailed`.

    Attributes:
        since: Number of the first event to return.
        wait_s: Longest wait for an event, in s.
    """

    store: ServiceId
    address: str
    since: int
    wait_s: float


@attrs.frozen
class FreeParts(Effect):
    """Free parts at a KV cache store if its epoch is still `epoch`.

    Answered by `PartsFreed` or `FreeFailed`.

    Attributes:
        until_ms: Time on the engines' clock after which the call has no effect,
            in ms.
    """

    store: ServiceId
    address: str
    epoch: int
    parts: tuple[StoredPart, ...]
    until_ms: int


# --- To peers ---------------------------------------------------------------


@attrs.frozen
class OpenTunnel(Effect):
    """Connect a tunnel that a peer requested to an endpoint.

    Answered by `TunnelEnded`, also if the endpoint cannot be reached.
    """

    tunnel: TunnelId
    address: str


@attrs.frozen
class RefuseTunnel(Effect):
    """Refuse a tunnel; answered by `TunnelEnded`."""

    tunnel: TunnelId
    status: int
    reason: str


# --- To the metadata store --------------------------------------------------


@attrs.frozen
class LoadView(Effect):
    """Read a view's entire contents.

    Answered by `ViewRead` or `ViewFailed`.

    Attributes:
        issued_at: Loop time of this effect, in s.
    """

    view: View
    issued_at: float


@attrs.frozen
class ReadView(Effect):
    """Read a view's updates from an offset on.

    Answered by `ViewRead` or `ViewFailed`.

    Attributes:
        wait_s: Longest wait for an update, in s.
        era: The metadata store's era to which the offset belongs.
        issued_at: Loop time of this effect, in s.
    """

    view: View
    offset: int
    wait_s: float
    era: int
    issued_at: float


@attrs.frozen
class WriteVmEntry(Effect):
    """Write this VM's entry; answered by `VmEntryWritten`."""

    dc: DcId
    address: str
    link_mbps: float


@attrs.frozen
class ReadLease(Effect):
    """Read the lease; answered by `LeaseRead` or `LeaseFailed`."""


@attrs.frozen
class WriteLease(Effect):
    """Append to the lease if its log still ends at `end`.

    Answered by `LeaseWritten`.

    Attributes:
        era: The metadata store's era to which `end` belongs.
    """

    record: LeaseRecord
    end: int
    era: int = 0


@attrs.frozen
class ReadBuilds(Effect):
    """Read the record of builds; answered by `BuildsRead` or `BuildsFailed`."""


@attrs.frozen
class WriteBuilds(Effect):
    """Append the record of builds if its log still ends at `end`.

    Answered by `BuildsWritten`.

    Attributes:
        era: The metadata store's era to which `end` belongs.
    """

    record: BuildRecord
    end: int
    era: int = 0


@attrs.frozen
class ReadSuspects(Effect):
    """Read the record of suspects.

    Answered by `SuspectsRead` or `SuspectsFailed`.
    """


@attrs.frozen
class WriteSuspects(Effect):
    """Append the record of suspects if its log still ends at `end`.

    Answered by `SuspectsWritten`.

    Attributes:
        era: The metadata store's era to which `end` belongs.
    """

    record: SuspectRecord
    end: int
    era: int = 0


# --- To the process ---------------------------------------------------------


@attrs.frozen
class StopListening(Effect):
    """Accept no further connections and close idle ones."""


@attrs.frozen
class CloseCallers(Effect):
    """Refuse requests that are incomplete with 503; close idle connections.

    Attributes:
        retry_after_s: Time after which their callers may retry, in s.
    """

    reason: str
    retry_after_s: float


@attrs.frozen
class CloseAfterAnswers(Effect):
    """Close each caller's connection after its next answer."""
