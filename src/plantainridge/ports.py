"""What the runtime needs of the outside, as abstract base classes.

Each port carries out one family of effects and posts what comes of it as
events. Real ports do network I/O; those of tests and benches stay in memory.
"""

import abc
from collections.abc import Callable

import attrs

from plantainridge import effects, orders
from plantainridge.loop import effects as base
from plantainridge.loop.ports import PeerPort, Post


class CallerPort(abc.ABC):
    """The way back to callers."""

    @abc.abstractmethod
    def send_tokens(self, effect: effects.SendTokens) -> None:
        """Passes tokens on."""

    @abc.abstractmethod
    def finish(self, effect: effects.FinishAnswer) -> None:
        """Ends a whole answer."""

    @abc.abstractmethod
    def answer(self, effect: effects.SendServiceAnswer) -> None:
        """Gives a plain service's answer."""

    @abc.abstractmethod
    def refuse(self, effect: effects.Refuse) -> None:
        """Ends a request with a refusal."""


class EnginePort(abc.ABC):
    """The way to model engines."""

    @abc.abstractmethod
    def start(self, effect: effects.StartAttempt, post: Post) -> None:
        """Starts an attempt and posts its tokens, end or failure."""

    @abc.abstractmethod
    def cancel(self, effect: effects.CancelAttempt) -> None:
        """Stops an attempt; nothing more is posted for it."""


class ServicePort(abc.ABC):
    """The way to plain services."""

    @abc.abstractmethod
    def call(self, effect: effects.CallService, post: Post) -> None:
        """Sends a call once, over a new connection, and posts the answer."""


class LogPort(abc.ABC):
    """The way to the platform's append-only log."""

    @abc.abstractmethod
    def append(self, effect: effects.AppendLog, post: Post) -> None:
        """Appends records and posts `AppendEnded` or `AppendFailed`."""

    @abc.abstractmethod
    def read(self, effect: effects.ReadLog, post: Post) -> None:
        """Reads a stream, waiting a while for records at its end.

        Posts `LogRead`, or `LogReadFailed` after a pause.
        """


class TransferPort(abc.ABC):
    """The way to move blocks between endpoints and stores."""

    @abc.abstractmethod
    def start(self, effect: effects.StartTransfer, post: Post) -> None:
        """Starts a movement and posts `TransferEnded`."""

    @abc.abstractmethod
    def cancel(self, effect: effects.CancelTransfer) -> None:
        """Stops a movement; nothing more is posted for it."""

    @abc.abstractmethod
    def promote_blocks(self, effect: effects.PromoteBlocks) -> None:
        """Brings copies from a store's disk into its memory; may fail."""

    @abc.abstractmethod
    def list_cache(self, effect: effects.ListEndpointCache, post: Post) -> None:
        """Posts `CacheListed`, or nothing if the endpoint is unreachable."""

    @abc.abstractmethod
    def list_store(self, effect: effects.ListStore, post: Post) -> None:
        """Posts `StoreListed`, or nothing if the store is unreachable."""


class OrderPort(abc.ABC):
    """The way to engines' order interfaces."""

    @abc.abstractmethod
    def order(self, effect: orders.OrderEngine, post: Post) -> None:
        """Gives an order and posts `OrderEnded`."""

    @abc.abstractmethod
    def request_report(self, effect: orders.RequestEngineReport,
                       post: Post) -> None:
        """Asks what an engine runs; posts `EngineReported` if it answers."""


class ReportPort(abc.ABC):
    """Where log lines and measurements go."""

    @abc.abstractmethod
    def log(self, effect: base.LogLine) -> None:
        """Writes one log line."""

    @abc.abstractmethod
    def observe(self, effect: base.Observe) -> None:
        """Counts one measurement."""


@attrs.define
class Ports:
    """All ports of one process; an absent one drops its effects."""

    callers: CallerPort
    engines: EnginePort
    services: ServicePort
    log: LogPort
    report: ReportPort
    transfers: TransferPort | None = None
    peers: PeerPort | None = None
    orders: OrderPort | None = None
    on_exit: Callable[[], None] | None = None
