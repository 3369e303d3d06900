"""What callers, endpoints and the injector of faults saw during one run."""

import attrs


@attrs.frozen
class Run:
    """An endpoint began to run an attempt; `at` is Unix time in s."""

    attempt: str
    endpoint: str
    at: float
    target: str
    team: str
    salt: str
    version: int


@attrs.frozen
class Order:
    """An endpoint accepted an order, in the order of the rows."""

    endpoint: str
    holder: str
    fence: int


@attrs.frozen
class Outcome:
    """What a caller saw of one attempt.

    Attributes:
        kind: 'once', 'safe' or 'stream'.
        gateway: The gateway that it was sent to.
        sent_at: Unix time at which it was sent, in s.
        ended_at: Unix time of its end, in s.
        status: Status of the answer; 0 without one.
        whole: Whether the answer came to its proper end.
        sealed: Whether it bears an endpoint's signature.
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
    sealed: bool
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class Span:
    """A fault on one subject, from one Unix time to another, in s."""

    subject: str
    what: str
    start: float
    end: float


@attrs.define
class History:
    """Everything that one run saw.

    Attributes:
        teams: Team of each key that was ever valid.
        isolated: Teams that share nothing.
        closed: Unix time from which a target's prefix has no route, in s.
        opened: Unix time from which one has a route, in s.
        revoked: Unix time from which a key is not valid, in s.
        drained: Unix time from which an endpoint leaves, in s.
        calm_from: Unix time at which the last fault ended, in s.
        versions: Weight version of each live engine at the end.
        wanted_version: The newest named version.
    """

    runs: list[Run] = attrs.field(factory=list)
    outcomes: list[Outcome] = attrs.field(factory=list)
    orders: list[Order] = attrs.field(factory=list)
    spans: list[Span] = attrs.field(factory=list)
    teams: dict[str, str] = attrs.field(factory=dict)
    isolated: set[str] = attrs.field(factory=set)
    closed: dict[str, float] = attrs.field(factory=dict)
    opened: dict[str, float] = attrs.field(factory=dict)
    revoked: dict[str, float] = attrs.field(factory=dict)
    drained: dict[str, float] = attrs.field(factory=dict)
    calm_from: float = 0.0
    versions: dict[str, int] = attrs.field(factory=dict)
    wanted_version: int = 1

    def is_calm(self, subjects: set[str], start: float, end: float) -> bool:
        """Whether no fault struck any of the subjects in a span of time."""
        return not any(
            span.subject in subjects and span.start <= end and span.end >= start
            for span in self.spans)
