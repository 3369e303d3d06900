"""Record of one run, by callers, endpoints and the fault injector."""

import attrs


@attrs.frozen
class Run:
    """The start of an attempt on an endpoint; `at` is Unix time in s."""

    attempt: str
    endpoint: str
    at: float
    target: str
    team: str
    salt: str
    version: int


@attrs.frozen
class Order:
    """An order that an endpoint accepted."""

    endpoint: str
    holder: str
    fence: int


@attrs.frozen
class Outcome:
    """Outcome of one attempt, as the caller observed it.

    Attributes:
        kind: 'once', 'safe' or 'stream'.
        gateway: Gateway that it was sent to.
        sent_at: Unix time at which it was sent, in s.
        ended_at: Unix time at which it ended, in s.
        status: Status of the answer; 0 without one.
        whole: Whether the answer came to its proper end.
        signed: Whether it bears an endpoint's signature.
    """

    attempt: str
    kind: str
    gateway: str
    key: str
    target: str
    sent_at: float
    ended_at: float
    status: int
    whole: bool
    signed: bool
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class Unsent:
    """An attempt whose connection to a gateway failed; `at` as above."""

    gateway: str
    at: float


@attrs.frozen
class FaultSpan:
    """A fault of one subject.

    Attributes:
        subject: Name of a gateway or an endpoint; 'store' for the metadata
            store, 'store-VM' for a gateway's connection to it, 'endpoints-VM'
            for its paths to all endpoints.
        fault_name: Kind of the fault, such as 'term' or 'pause'.
        start: Unix time at which it began, in s.
        end: Unix time at which it ended, in s; infinite while it lasts.
    """

    subject: str
    fault_name: str
    start: float
    end: float


@attrs.frozen
class Evacuation:
    """An evacuation of a data centre.

    Attributes:
        start: Unix time at which its record was written, in s.
        end: Unix time at which it was withdrawn, in s.
    """

    dc: str
    start: float
    end: float


@attrs.frozen
class StatedRate:
    """Span in which an endpoint stated a rate, in requests per s."""

    endpoint: str
    rate: float
    start: float
    end: float


@attrs.frozen
class StreamEvent:
    """An event of a stream, and the build of the engine that wrote it."""

    id: int
    build: str


@attrs.define
class StreamTry:
    """One attempt at a stream that its caller may resume.

    Attributes:
        resumes: Attempt that brought the stream's first event; '' if none did.
        after: Id of the last event that the caller had; 0 without one.
        sent_at: Unix time at which it was sent, in s.
        ended_at: Unix time at which it ended, in s.
        status: Status of the answer; 0 without one.
        complete: Whether the answer came to its proper end.
        events: Complete events that it brought, in order.
    """

    attempt: str
    gateway: str
    resumes: str
    after: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    events: list[StreamEvent] = attrs.field(factory=list)


@attrs.define
class CallerStream:
    """A stream over all tries of its caller, in order."""

    target: str
    tries: list[StreamTry] = attrs.field(factory=list)

    @property
    def events(self) -> list[StreamEvent]:
        """Return the events of all tries."""
        return [event for each in self.tries for event in each.events]


@attrs.frozen
class ServingSpan:
    """Span in which a run of an engine serves and its entry is written.

    Attributes:
        start: Unix time at which its entry was written, in s.
        end: Unix time of its drain or crash, in s; infinite before.
    """

    endpoint: str
    build: str
    start: float
    end: float


@attrs.define
class History:
    """History of one run.

    Attributes:
        runs: Runs as the endpoints reported them.
        outcomes: Outcomes in the order of their ends.
        unsent: Attempts whose connections failed.
        orders: Accepted orders, for each endpoint in the order of acceptance.
        fault_spans: Faults, planned stops among them.
        team_by_key: Team of each key that was ever valid.
        isolated_teams: Teams that share no cache contents with others.
        route_removed_at: Unix time of removal of a route, by prefix, in s.
        route_added_at: Unix time of addition of a route, by prefix, in s.
        key_revoked_at: Unix time of revocation, by key, in s.
        cold_at: Unix time from which a new endpoint is cold, by name, in s.
        drained_at: Unix time from which an endpoint leaves, by name, in s.
        evacuations: Evacuations that were withdrawn again.
        stated_rates: Rates that endpoints stated.
        streams: Streams that their callers may resume.
        serving_spans: Spans in which engines of these streams served.
        endpoint_dcs: Data centre of each endpoint that was ever started.
        faults_ended_at: Unix time at which the last fault ended, in s.
        engine_versions: Weight version of each live engine at the end.
        newest_version: The newest weight version that was named.
        crashing_runs: Unix times at which requests with a part that crashes
            engines reached one, in s.
        partial_fetches: Ids of parts that were fetched from a KV cache store
            while they were being written there.
    """

    runs: list[Run] = attrs.field(factory=list)
    outcomes: list[Outcome] = attrs.field(factory=list)
    unsent: list[Unsent] = attrs.field(factory=list)
    orders: list[Order] = attrs.field(factory=list)
    fault_spans: list[FaultSpan] = attrs.field(factory=list)
    team_by_key: dict[str, str] = attrs.field(factory=dict)
    isolated_teams: set[str] = attrs.field(factory=set)
    route_removed_at: dict[str, float] = attrs.field(factory=dict)
    route_added_at: dict[str, float] = attrs.field(factory=dict)
    key_revoked_at: dict[str, float] = attrs.field(factory=dict)
    cold_at: dict[str, float] = attrs.field(factory=dict)
    drained_at: dict[str, float] = attrs.field(factory=dict)
    evacuations: list[Evacuation] = attrs.field(factory=list)
    stated_rates: list[StatedRate] = attrs.field(factory=list)
    streams: list[CallerStream] = attrs.field(factory=list)
    serving_spans: list[ServingSpan] = attrs.field(factory=list)
    endpoint_dcs: dict[str, str] = attrs.field(factory=dict)
    faults_ended_at: float = 0.0
    engine_versions: dict[str, int] = attrs.field(factory=dict)
    newest_version: int = 1
    crashing_runs: list[float] = attrs.field(factory=list)
    partial_fetches: list[str] = attrs.field(factory=list)

    def is_fault_free(self, subjects: set[str], start: float,
                      end: float) -> bool:
        """Return whether no subject had a fault between two Unix times."""
        return not any(
            span.subject in subjects and span.start <= end and span.end >= start
            for span in self.fault_spans)
