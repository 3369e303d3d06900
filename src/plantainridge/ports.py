"""Interfaces through which the runtime carries out effects.

Each port carries out one family of effects and posts the results as events.
The product's ports do network I/O; those of tests and benches work in memory.
"""

import abc
from collections.abc import Callable

import attrs

from plantainridge import effects, orders
from plantainridge.loop import effects as base
from plantainridge.loop.ports import PeerPort, Post


class CallerPort(abc.ABC):
    """Sends replies to callers."""

    @abc.abstractmethod
    def send_tokens(self, effect: effects.SendTokens) -> None:
        """Send the next tokens of an answer."""

    @abc.abstractmethod
    def finish(self, effect: effects.FinishAnswer) -> None:
        """End a complete answer."""

    @abc.abstractmethod
    def answer(self, effect: effects.SendServiceAnswer) -> None:
        """Send the answer of a plain service, which ends the request."""

    @abc.abstractmethod
    def refuse(self, effect: effects.Refuse) -> None:
        """End a request with a refusal."""


class EnginePort(abc.ABC):
    """Sends requests to model engines."""

    @abc.abstractmethod
    def start(self, effect: effects.StartAttempt, post: Post) -> None:
        """Start an attempt and post its tokens and its end or failure."""

    @abc.abstractmethod
    def cancel(self, effect: effects.CancelAttempt) -> None:
        """Cancel an attempt; no more events are posted for it."""


class ServicePort(abc.ABC):
    """Sends calls to plain services."""

    @abc.abstractmethod
    def call(self, effect: effects.CallService, post: Post) -> None:
        """Send a call once, over a new connection.

        Post `ServiceAnswered` or `AttemptFailed`.
        """


class LogPort(abc.ABC):
    """Access to the platform's append-only log."""

    @abc.abstractmethod
    def append(self, effect: effects.AppendLog, post: Post) -> None:
        """Append records and post `AppendEnded` or `AppendFailed`."""

    @abc.abstractmethod
    def read(self, effect: effects.ReadLog, post: Post) -> None:
        """Read a stream; if asked to, wait for new records at its end.

        Post `LogRead`, or `LogReadFailed` after a retry delay.
        """


class TransferPort(abc.ABC):
    """Transfers blocks between endpoints and stores, and lists them."""

    @abc.abstractmethod
    def start(self, effect: effects.StartTransfer, post: Post) -> None:
        """Start a transfer and post `TransferEnded`."""

    @abc.abstractmethod
    def cancel(self, effect: effects.CancelTransfer) -> None:
        """Cancel a transfer; no more events are posted for it."""

    @abc.abstractmethod
    def promote_blocks(self, effect: effects.PromoteBlocks) -> None:
        """Promote blocks from a store's disk to its memory.

        Best effort: a failure is not reported.
        """

    @abc.abstractmethod
    def list_cache(self, effect: effects.ListEndpointCache, post: Post) -> None:
        """Post `CacheListed`, or nothing if the endpoint is unreachable."""

    @abc.abstractmethod
    def list_store(self, effect: effects.ListStore, post: Post) -> None:
        """Post `StoreListed`, or nothing if the store is unreachable."""


class OrderPort(abc.ABC):
    """Access to engines' order interfaces."""

    @abc.abstractmethod
    def order(self, effect: orders.OrderEngine, post: Post) -> None:
        """Send an order and post `OrderEnded`."""

    @abc.abstractmethod
    def request_report(self, effect: orders.RequestEngineReport,
                       post: Post) -> None:
        """Ask what an engine runs; post `EngineReported` if it answers."""


class ReportPort(abc.ABC):
    """Destination of log lines and measurements."""

    @abc.abstractmethod
    def log(self, effect: base.LogLine) -> None:
        """Write one log line."""

    @abc.abstractmethod
    def observe(self, effect: base.Observe) -> None:
        """Record one measurement."""


@attrs.define
class Ports:
    """All ports of one process; effects of a port that is None are ignored.

    Attributes:
        callers: Sends replies to callers.
        engines: Sends requests to model engines.
        services: Sends calls to plain services.
        log: The platform's append-only log.
        report: Destination of log lines and measurements.
        transfers: Transfers blocks between endpoints and stores, or None.
        peers: Sends messages to other VMs, or None.
        orders: Sends orders to engines, or None.
        on_exit: Called when the reducer has ended the process, or None.
    """

    callers: CallerPort
    engines: EnginePort
    services: ServicePort
    log: LogPort
    report: ReportPort
    transfers: TransferPort | None = None
    peers: PeerPort | None = None
    orders: OrderPort | None = None
    on_exit: Callable[[], None] | None = None
