"""Events that the reducer handles, as immutable data."""

import enum

import attrs

from plantainridge.ids import (AttemptId, BlockKey, EndpointId, ModelId,
                               RequestId, ServiceId, StoreId, TeamId,
                               TransferId, VmId, WeightVersion)
from plantainridge.loop.events import Event


class TimerKind(enum.Enum):
    """Purposes of timers."""

    TICK = 'tick'
    DEADLINE = 'deadline'
    RETRY = 'retry'
    CLAIM = 'claim'
    CLAIM_FLUSH = 'claim_flush'
    CLAIM_UNCONFIRMED = 'claim_owed'
    CLAIM_READ = 'claim_read'
    SERVICE = 'service'
    LEASE = 'lease'
    TRANSFER = 'transfer'
    STOP = 'stop'


# --- From callers -----------------------------------------------------------


@attrs.frozen
class Prompt:
    """A caller's prompt, split into cache blocks.

    Attributes:
        text: The complete text; never logged.
        tokens: Estimated length in tokens.
        blocks: Chained, salted keys of its full blocks, in order.
    """

    text: str = attrs.field(repr=False)
    tokens: int
    blocks: tuple[BlockKey, ...]


@attrs.frozen
class ModelCalled(Event):
    """A caller requests a completion from a model.

    Attributes:
        version: Weight version for which the prompt's block keys were computed;
            the request stays bound to it.
        adapter: Adapter, bound in the same way.
        max_tokens: Longest answer that the caller accepts, in tokens.
    """

    request: RequestId
    team: TeamId
    model: ModelId
    version: WeightVersion
    adapter: str
    prompt: Prompt
    max_tokens: int


@attrs.frozen
class ServiceCalled(Event):
    """A caller calls a plain service.

    Attributes:
        key: The caller's idempotency key; empty for none.
        run_once: Whether the call must run at most once.
        resend: Whether the caller may have sent the call before under this key.
    """

    request: RequestId
    team: TeamId
    service: ServiceId
    method: str
    path: str
    body: bytes = attrs.field(repr=False)
    key: str = ''
    run_once: bool = False
    resend: bool = False


@attrs.frozen
class CallerDisconnected(Event):
    """The caller closed its connection before its answer was complete."""

    request: RequestId


# --- From endpoints ---------------------------------------------------------


class Failure(enum.Enum):
    """How an attempt failed."""

    # No byte reached the endpoint: not run.
    CONNECT_REFUSED = 'connect_refused'
    # The endpoint rejected the request: not run.
    REJECTED = 'rejected'
    # The engine serves another weight version: not run.
    OTHER_VERSION = 'other_version'
    # The connection broke after bytes may have been sent: may have run.
    BROKEN = 'broken'
    # No progress within the timeout: may have run and may still be running.
    TIMED_OUT = 'timed_out'
    # The answer carried another request's id or another weight version.
    MISMATCHED = 'mismatched'


@attrs.frozen
class TokensReceived(Event):
    """An endpoint delivered the next tokens of an attempt.

    Attributes:
        echoed: Request id in the endpoint's answer.
        version: Weight version in the endpoint's answer.
        first: Index of the first of `tokens` within the complete answer.
        cached_tokens: Prompt tokens that the endpoint found in its cache.
    """

    attempt: AttemptId
    echoed: RequestId
    version: WeightVersion
    first: int
    tokens: tuple[str, ...]
    cached_tokens: int = 0


@attrs.frozen
class AttemptEnded(Event):
    """An endpoint reported the end of an attempt's answer.

    Attributes:
        echoed: Request id in the endpoint's answer.
        total: Number of tokens of the complete answer.
    """

    attempt: AttemptId
    echoed: RequestId
    total: int


@attrs.frozen
class AttemptFailed(Event):
    """An attempt ended before its answer was complete.

    Attributes:
        version: Weight version that the engine serves; empty if not reported.
    """

    attempt: AttemptId
    failure: Failure
    version: WeightVersion = WeightVersion('')


@attrs.frozen
class ServiceAnswered(Event):
    """A plain service returned its complete answer."""

    attempt: AttemptId
    echoed: RequestId
    status: int
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class LoadReported(Event):
    """An endpoint's report of its own load; it arrives with a delay.

    Attributes:
        measured_at: Loop time at which the endpoint measured its load, in s.
        running: Number of requests in its batch.
        waiting_tokens: Prompt tokens queued for prefill.
        prefill_tokens_per_s: Rate at which it prefills prompt tokens.
        version: Weight version that it serves.
    """

    endpoint: EndpointId
    measured_at: float
    running: int
    waiting_tokens: int
    prefill_tokens_per_s: float
    version: WeightVersion


@attrs.frozen
class CacheChanged(Event):
    """A change to an endpoint's cache, from its event stream.

    Attributes:
        seq: Sequence number of the change, from 0 in each incarnation.
        added: Blocks that were added to the cache.
        removed: Blocks that were removed from it.
        incarnation: Number of the endpoint's process that published it.
    """

    endpoint: EndpointId
    seq: int
    added: tuple[BlockKey, ...]
    removed: tuple[BlockKey, ...]
    incarnation: int = 0


@attrs.frozen
class CacheListed(Event):
    """A complete listing of an endpoint's cache as of change number `seq`."""

    endpoint: EndpointId
    seq: int
    blocks: tuple[BlockKey, ...]
    incarnation: int = 0


@attrs.frozen
class BlockRef:
    """Reference to one committed copy of a block at a store.

    Attributes:
        generation: Number of the write that made the copy; never reused.
        length_bytes: Size of the copy.
    """

    key: BlockKey
    generation: int
    length_bytes: int


class Tier(enum.Enum):
    """Storage tier of a block at a store."""

    MEMORY = 'memory'
    DISK = 'disk'


@attrs.frozen
class StoredCopy:
    """A copy of a block at a store, and the tier that holds it."""

    ref: BlockRef
    tier: Tier


@attrs.frozen
class StoreChanged(Event):
    """A change to a store's copies, from its event stream.

    Attributes:
        seq: Sequence number of the change, from 0 in each incarnation.
        copies: Copies committed or moved between tiers, with their new tier.
        freed: Copies that were deleted.
        incarnation: Number of the store's process that published it.
    """

    store: StoreId
    seq: int
    copies: tuple[StoredCopy, ...]
    freed: tuple[BlockRef, ...]
    incarnation: int = 0


@attrs.frozen
class StoreListed(Event):
    """A complete listing of a store's copies as of change number `seq`."""

    store: StoreId
    seq: int
    copies: tuple[StoredCopy, ...]
    incarnation: int = 0


@attrs.frozen
class StoreLoadReported(Event):
    """A store's report of its network link; it arrives with a delay.

    Attributes:
        measured_at: Loop time at which the store measured its load, in s.
        transfers: Number of transfers in progress.
        queued_bytes: Bytes of these transfers that remain to be sent.
        bytes_per_s: Current rate of the link.
    """

    store: StoreId
    measured_at: float
    transfers: int
    queued_bytes: int
    bytes_per_s: float


class TransferFailure(enum.Enum):
    """Why a transfer of blocks did not complete."""

    STORE_UNREACHABLE = 'store_unreachable'
    ENDPOINT_UNREACHABLE = 'endpoint_unreachable'
    STORE_FULL = 'store_full'
    # The requested copy or block no longer exists.
    BLOCK_GONE = 'block_gone'
    # The bytes do not match their checksum.
    CORRUPT = 'corrupt'


@attrs.frozen
class TransferEnded(Event):
    """A transfer of blocks ended.

    Attributes:
        moved: Blocks that were received completely and verified or committed,
            in order.
        moved_bytes: Bytes that were sent over the store's link.
        failure: Why the other blocks were not transferred, or None if all were.
    """

    transfer: TransferId
    moved: tuple[BlockKey, ...]
    moved_bytes: int
    failure: TransferFailure | None = None


# --- From the platform ------------------------------------------------------


class Stream(enum.Enum):
    """Streams of the platform's log that the system uses."""

    CONFIG = 'config'
    CLAIMS = 'claims'
    LEASES = 'leases'


@attrs.frozen
class Record:
    """One record of the log.

    Attributes:
        offset: Position in its stream, from 0, without gaps.
        at: Time of the append by the platform's clock, in s.
        payload: Content of the record.
    """

    offset: int
    at: float
    payload: bytes = attrs.field(repr=False)


@attrs.frozen
class LogRead(Event):
    """Records read from a stream, in order.

    Attributes:
        first: Lowest offset that the log still holds.
        end: Offset of the next record to be appended.
        at: Time of the answer by the platform's clock, in s.
    """

    stream: Stream
    shard: int
    records: tuple[Record, ...]
    first: int
    end: int
    at: float = 0.0


@attrs.frozen
class LogReadFailed(Event):
    """A read of a stream failed."""

    stream: Stream
    shard: int


@attrs.frozen
class AppendEnded(Event):
    """The log confirmed an append.

    Attributes:
        first: Offset of the first of the appended records.
    """

    append_id: str
    first: int


@attrs.frozen
class AppendFailed(Event):
    """An append failed.

    Attributes:
        may_have_applied: Whether the log may nevertheless hold the records.
    """

    append_id: str
    may_have_applied: bool


@attrs.frozen
class Member:
    """One VM in the platform's membership list.

    Attributes:
        address: IP number and port at which the VM receives messages.
        leaving: Whether the VM is being removed.
    """

    vm: VmId
    dc: str
    address: str
    leaving: bool


@attrs.frozen
class MembersListed(Event):
    """The platform's list of VMs and of leaving endpoints; it may be stale."""

    members: tuple[Member, ...]
    leaving_endpoints: frozenset[EndpointId] = frozenset()


# --- From the process -------------------------------------------------------


@attrs.frozen
class StopRequested(Event):
    """The process was asked to shut down gracefully."""
