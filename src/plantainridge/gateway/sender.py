"""Sender of requests to endpoints."""

import asyncio
import contextlib
import math
from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import runs
from plantainridge.gateway.events import Failure, Headers
from plantainridge.gateway.http_calls import (MAX_REPORT_BYTES, NoResponse,
                                              call_on)
from plantainridge.gateway.http_client import (MAX_IDLE_S, AnswerHandler,
                                               Connection, Pool, stated_length)
from plantainridge.gateway.runs import RunMatch, StatedRun
from plantainridge.gateway.streams import EventSplitter
from plantainridge.gateway.tunnel_client import RelayError
from plantainridge.gateway.wire import RequestWire
from plantainridge.ids import AttemptId
from plantainridge.loop.events import Event
from plantainridge.loop.ports import Post
from plantainridge.loop.tasks import Tasks

STATUS_OK: Final = 200
# Lowest status of an endpoint's error.
STATUS_ERROR: Final = 500
STREAM_CONTENT_TYPE: Final = b'text/event-stream'
# Time after its deadline at which a send is abandoned, in s: a request
# that may run only once runs on after its caller has left.
OVERTIME_S: Final = 1.0
# Longest answer that is not a stream, in bytes.
MAX_ANSWER_BYTES: Final = 16 * 1_024 * 1_024
# Connections that may close after the endpoint stated its run; the next one is
# used without asking.
MAX_CLOSED_REPORTS: Final = 2
# Time in which an endpoint must state its run after a stream that ended with
# its connection, in s: a sound one may be silent for a second.
END_TIMEOUT_S: Final = 1.5
# Longest error answer, in bytes: it is held while its request is sent again.
MAX_ERROR_ANSWER_BYTES: Final = 1_024 * 1_024


class EndpointSender:
    """Sender of requests to endpoints; posts their answers and failures.

    Each request is sent once.

    Attributes:
        in_flight: Connection, or task that opens one, of each send.
    """

    def __init__(self, wire: RequestWire, pool: Pool, tasks: Tasks,
                 post: Post) -> None:
        self.wire = wire
        self.pool = pool
        self.tasks = tasks
        self.post = post
        self.loop = asyncio.get_running_loop()
        self.in_flight: dict[AttemptId, Connection | asyncio.Task[None]] = {}

    def send(self, effect: fx.Send) -> None:
        """Send a request; post its answer, or `SendFailed`."""
        max_idle_s = math.inf if effect.allows_stale else MAX_IDLE_S
        connection = None if effect.new_connection else self.pool.take(
            effect.address, effect.via, max_idle_s)
        if connection is not None:
            self._confirm_and_send(connection, effect)
            return
        self.connect(effect)

    def connect(self,
                effect: fx.Send,
                elapsed_s: float = 0.0,
                closed_reports: int = 0) -> None:
        """Send a request on a new connection, `elapsed_s` after its `send`.

        Args:
            effect: The send.
            elapsed_s: Time since its `send`, in s.
            closed_reports: Connections that stated the chosen run and closed.
        """
        if closed_reports == MAX_CLOSED_REPORTS:
            effect = attrs.evolve(effect, confirms_run=False)
        task = self.tasks.spawn(
            self._connect_and_send(effect, elapsed_s, closed_reports))
        self.in_flight[effect.attempt] = task

    def cancel(self, effect: fx.CancelSend) -> None:
        """Close a send's connection; post nothing more of it."""
        carrier = self.in_flight.pop(effect.attempt, None)
        if isinstance(carrier, Connection):
            carrier.abort()
        elif carrier is not None:
            carrier.cancel()

    def close_idle(self, effect: fx.DropConnections) -> None:
        """Close the idle connections to an address."""
        self.pool.close_idle(effect.address)

    def probe(self, effect: fx.ProbePath) -> None:
        """Open a direct connection and close it; post `PathProbed`."""
        self.tasks.spawn(self._probe(effect))

    async def _probe(self, effect: fx.ProbePath) -> None:
        try:
            connection = await self.pool.connect(effect.address)
        except OSError as error:
            self.post(ev.PathProbed(effect.endpoint, False, repr(error)))
            return
        connection.abort()
        self.post(ev.PathProbed(effect.endpoint, True))

    async def _connect_and_send(self, effect: fx.Send, elapsed_s: float,
                                closed_reports: int) -> None:
        started_at = self.loop.time() - elapsed_s
        try:
            connection = await self.pool.connect(effect.address, via=effect.via)
        except OSError as error:
            self.in_flight.pop(effect.attempt, None)
            failure = (Failure.RELAY_FAILED if isinstance(error, RelayError)
                       else Failure.NOT_CONNECTED)
            self.post(ev.SendFailed(effect.attempt, failure, repr(error)))
            return
        if effect.attempt not in self.in_flight or not connection.usable:
            connection.abort()
            if self.in_flight.pop(effect.attempt, None) is not None:
                self.post(
                    ev.SendFailed(
                        effect.attempt, Failure.NOT_CONNECTED,
                        'connection closed before the request was sent'))
            return
        self._confirm_and_send(connection, effect,
                               self.loop.time() - started_at, closed_reports)

    def _confirm_and_send(self,
                          connection: Connection,
                          effect: fx.Send,
                          elapsed_s: float = 0.0,
                          closed_reports: int = 0) -> None:
        """Send a request once its connection surely leads to the chosen run.

        A connection ends with the run that accepted it, so each is asked once.
        """
        match = runs.compare(connection.started_ms, effect.started_ms)
        if (not effect.started_ms or not effect.confirms_run or
                match in (RunMatch.SAME, RunMatch.NOT_STATED)):
            self.send_on(connection, effect, elapsed_s)
        elif match is RunMatch.UNKNOWN:
            self.in_flight[effect.attempt] = connection
            connection.send(
                self.wire.write_run_request(effect),
                _RunReader(self, effect, connection, elapsed_s, closed_reports),
                max(0.0, effect.remaining_s - elapsed_s))
        else:
            connection.abort()
            self.connect(effect, elapsed_s)

    def send_on(self,
                connection: Connection,
                effect: fx.Send,
                elapsed_s: float = 0.0) -> None:
        """Send a request on a connection, `elapsed_s` after its `send`."""
        self.in_flight[effect.attempt] = connection
        raw = self.wire.write_request(effect, elapsed_s)
        match = runs.compare(connection.started_ms, effect.started_ms)
        connection.send(
            raw,
            _AnswerReader(self, effect, connection.was_used, match
                          is RunMatch.SAME),
            max(0.0, effect.remaining_s - elapsed_s) + OVERTIME_S)

    def confirm_end(self, effect: fx.Send, is_run_known: bool) -> None:
        """Post the end of a stream if the run that sent it may continue.

        Args:
            effect: The stream's send.
            is_run_known: Whether its connection surely led to the chosen run.
        """
        if effect.attempt in self.in_flight:
            task = self.tasks.spawn(self._confirm_end(effect, is_run_known))
            self.in_flight[effect.attempt] = task

    async def _confirm_end(self, effect: fx.Send, is_run_known: bool) -> None:
        answer: StatedRun | None = None
        with contextlib.suppress(OSError):
            async with asyncio.timeout(END_TIMEOUT_S):
                answer = await self._ask_again(effect)
        may_continue = runs.may_continue(answer, effect.started_ms,
                                         is_run_known)
        self.finish(
            effect.attempt,
            ev.StreamEnded(effect.attempt) if may_continue else ev.SendFailed(
                effect.attempt, Failure.BROKEN, 'the end of its run'))

    async def _ask_again(self, effect: fx.Send) -> StatedRun | None:
        """Return which run an endpoint states after a send, or None.

        Raises:
            OSError: The endpoint was not reached.
        """
        idle = self.pool.take(effect.address, effect.via)
        answer = await self._ask_run(idle, effect) if idle is not None else None
        if answer is not None:
            return answer
        connection = await self.pool.connect(effect.address, via=effect.via)
        return await self._ask_run(connection, effect)

    async def _ask_run(self, connection: Connection,
                       effect: fx.Send) -> StatedRun | None:
        """Return an endpoint's answer to which run it is, or None."""
        raw = self.wire.write_run_request(effect)
        response = await call_on(connection,
                                 effect.address,
                                 raw.method.decode(),
                                 raw.target.decode(),
                                 END_TIMEOUT_S,
                                 headers=(),
                                 max_bytes=MAX_REPORT_BYTES)
        if isinstance(response, NoResponse):
            return None
        return self.wire.read_run(response.status,
                                  tuple(response.headers.items()),
                                  response.body)

    def finish(self, attempt: AttemptId, event: Event) -> None:
        """Post the last event of a send, unless it was cancelled."""
        if self.in_flight.pop(attempt, None) is not None:
            self.post(event)


class _RunReader(AnswerHandler):
    """Reader of which run answers on a connection; then sends a request on it.

    Attributes:
        closed_reports: Connections before that stated the chosen run and
            closed.
        started_at: Loop time of the request's `send`, in s.
    """

    def __init__(self, sender: EndpointSender, effect: fx.Send,
                 connection: Connection, elapsed_s: float,
                 closed_reports: int) -> None:
        self.sender = sender
        self.effect = effect
        self.connection = connection
        self.closed_reports = closed_reports
        self.started_at = sender.loop.time() - elapsed_s
        self.status = 0
        self.headers: Headers = ()
        self.body = bytearray()

    def on_head(self, status: int, headers: Headers) -> Failure | None:
        self.status, self.headers = status, headers
        return (Failure.TOO_LONG
                if stated_length(headers) > MAX_REPORT_BYTES else None)

    def on_data(self, data: bytes) -> Failure | None:
        self.body += data
        self.held_bytes = len(self.body)
        return (Failure.TOO_LONG if len(self.body) > MAX_REPORT_BYTES else None)

    def on_end(self) -> None:
        effect, connection, sender = self.effect, self.connection, self.sender
        report = sender.wire.read_run(self.status, self.headers,
                                      bytes(self.body))
        is_usable = sender.pool.claim(connection)
        if not report.is_valid:
            connection.abort()
            self._fail('no report')
            return
        connection.started_ms = report.started_ms
        match = runs.compare(report.started_ms, effect.started_ms)
        if match is RunMatch.OTHER:
            connection.abort()
            sender.finish(
                effect.attempt,
                ev.SendFailed(effect.attempt,
                              Failure.OTHER_RUN,
                              started_ms=report.started_ms))
        elif effect.attempt not in sender.in_flight:
            connection.abort()
        elif is_usable:
            sender.send_on(connection, effect, self._elapsed_s())
        else:
            connection.abort()
            sender.connect(effect, self._elapsed_s(), self.closed_reports + 1)

    def on_failure(self, failure: Failure, detail: str) -> None:
        if failure is not Failure.STALE:
            self._fail(f'{failure.value} {detail}'.strip())
            return
        self.sender.pool.close_idle(self.effect.address)
        if self.effect.attempt in self.sender.in_flight:
            self.sender.connect(self.effect, self._elapsed_s(),
                                self.closed_reports)

    def _fail(self, detail: str) -> None:
        attempt = self.effect.attempt
        self.sender.finish(attempt,
                           ev.SendFailed(attempt, Failure.UNCONFIRMED, detail))

    def _elapsed_s(self) -> float:
        return self.sender.loop.time() - self.started_at


class _AnswerReader(AnswerHandler):
    """Reader of one answer; posts it complete or as stream events.

    Attributes:
        is_reused: Whether its connection carried an earlier request.
        is_run_known: Whether its connection surely leads to the chosen run.
        is_framed: Whether the end of the body is known without the end of the
            connection.
        has_events: Whether the stream had an event.
    """

    def __init__(self, sender: EndpointSender, effect: fx.Send, is_reused: bool,
                 is_run_known: bool) -> None:
        self.sender = sender
        self.effect = effect
        self.is_reused = is_reused
        self.is_run_known = is_run_known
        self.head: ev.AnswerHead | None = None
        self.body = bytearray()
        self.splitter: EventSplitter | None = None
        self.is_framed = True
        self.has_events = False

    def on_head(self, status: int, headers: Headers) -> Failure | None:
        effect = self.effect
        head = self.sender.wire.read_answer_head(effect, status, headers,
                                                 self.sender.loop.time())
        if head is None or (self.is_reused and not head.names_attempt):
            # On a connection that was used before, an answer that names no
            # request may be a second one to an earlier request.
            return Failure.MALFORMED
        self.head = head
        is_expected = head.instance in ('', effect.endpoint)
        if is_expected and (head.leaving or head.pause_s is not None or
                            head.invalid_pause):
            self.sender.post(ev.EndpointNotified(effect.endpoint, head))
        fields = dict(headers)
        self.is_framed = (b'content-length' in fields or
                          b'transfer-encoding' in fields)
        content_type = fields.get(b'content-type', b'')
        if (effect.stream and status == STATUS_OK and
                content_type.startswith(STREAM_CONTENT_TYPE)):
            self.splitter = EventSplitter(effect.last_event_id)
            self._post(ev.StreamStarted(effect.attempt, head,
                                        self.is_run_known))
            return None
        if effect.request.method == 'HEAD':
            return None
        return (Failure.TOO_LONG
                if stated_length(headers) > self._max_bytes() else None)

    def on_data(self, data: bytes) -> Failure | None:
        if self.splitter is None:
            self.body += data
            self.held_bytes = len(self.body)
            return (Failure.TOO_LONG
                    if len(self.body) > self._max_bytes() else None)
        events = self.splitter.feed(data)
        self.held_bytes = len(self.splitter.incomplete)
        if events is not None:
            self.has_events = self.has_events or events.has_event
            self._post(
                ev.StreamEventsReceived(self.effect.attempt, events.data,
                                        events.first_id, events.last_id,
                                        events.has_event))
        return Failure.TOO_LONG if self.splitter.is_too_long else None

    def check_end(self) -> Failure | None:
        if self.splitter is None:
            return None
        # A stream whose end is that of its connection and that has no event
        # looks like one of an endpoint that crashed.
        is_empty = not (self.is_framed or self.has_events or
                        self.effect.last_event_id)
        return (Failure.BROKEN
                if self.splitter.incomplete or is_empty else None)

    def on_end(self) -> None:
        assert self.head is not None
        attempt = self.effect.attempt
        if self.splitter is None:
            event = ev.AnswerArrived(attempt, self.head, bytes(self.body))
            self.sender.finish(attempt, event)
        elif self.is_framed or not self.effect.started_ms:
            self.sender.finish(attempt, ev.StreamEnded(attempt))
        else:
            self.sender.confirm_end(self.effect, self.is_run_known)

    def on_failure(self, failure: Failure, detail: str) -> None:
        attempt = self.effect.attempt
        if failure is Failure.STALE:
            self.sender.pool.close_idle(self.effect.address)
        self.sender.finish(attempt, ev.SendFailed(attempt, failure, detail))

    def _max_bytes(self) -> int:
        """Return the longest body of this answer, in bytes."""
        is_error = self.head is not None and self.head.status >= STATUS_ERROR
        return MAX_ERROR_ANSWER_BYTES if is_error else MAX_ANSWER_BYTES

    def _post(self, event: Event) -> None:
        if self.effect.attempt in self.sender.in_flight:
            self.sender.post(event)
