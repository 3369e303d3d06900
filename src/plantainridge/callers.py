"""Callers' HTTP interface: OpenAI-style completions and plain services."""

import asyncio
import contextlib
import time
import uuid
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import attrs
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import Receive

from plantainridge import blocks, completions, versions
from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.completions import CompletionRequest, malformed
from plantainridge.config import Team
from plantainridge.event_stream import EventStream
from plantainridge.ids import RequestId, ServiceId
from plantainridge.loop import effects as base
from plantainridge.mailboxes import Disconnected, Mailbox, Mailboxes
from plantainridge.problems import problem, problem_body
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.runtime import Runtime
from plantainridge.team_keys import AuthFailure, KeyIndex

SERVICE_PREFIX: Final = '/services'
SERVICE_METHODS: Final = ('GET', 'POST', 'PUT', 'DELETE')
# Marks a call that must run at most once; also said by a service's row.
RUN_ONCE_HEADER: Final = 'x-run-once'
KEY_HEADER: Final = 'idempotency-key'
# Says that the caller may have sent the call before under its key.
RESEND_HEADER: Final = 'idempotency-resend'
YES: Final = 'yes'
MAX_KEY_CHARS: Final = 255
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
BODY_TIMEOUT_S: Final = 30.0
STALL_TIMEOUT_S: Final = 20.0
# Bytes beyond the limit that are read and dropped.
DISCARD_BYTES: Final = 16 * 1024 * 1024

AbortConnection = Callable[[Any], None]


@attrs.frozen
class RequestLimits:
    """What one request may ask of the process.

    Attributes:
        body_bytes: Longest body.
        body_s: Longest time in s until the whole body has come.
        stall_s: Longest time in s that a caller may read nothing of a stream.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    body_timeout_s: float = BODY_TIMEOUT_S
    stall_timeout_s: float = STALL_TIMEOUT_S


@attrs.define
class _Visit:
    """One caller's request while its handler runs.

    Attributes:
        name: The request's id.
        client: Address of the caller's end of the connection.
        team: Name of the team, or empty.
        target: Model or service asked for, or empty.
        outcome: How it ended.
        tokens: Tokens sent so far.
    """

    name: RequestId
    client: Any
    began_at: float = attrs.field(factory=time.monotonic)
    team: str = ''
    target: str = ''
    outcome: str = 'hung_up'
    tokens: int = 0


class CallersApp:
    """Routes of the callers' interface.

    Attributes:
        abort: Breaks the connection of a caller's address.
    """

    def __init__(
        self,
        runtime: Runtime,
        mailboxes: Mailboxes,
        limits: RequestLimits = RequestLimits()) -> None:
        self.runtime = runtime
        self.mailboxes = mailboxes
        self.limits = limits
        self.keys = KeyIndex()
        self.abort: AbortConnection = lambda client: None
        self.app = Starlette(routes=[
            Route('/v1/completions', self.completions, methods=['POST']),
            Route('/v1/chat/completions', self.chat, methods=['POST']),
            Route('/v1/models', self.models),
            Route(SERVICE_PREFIX + '/{service}/{path:path}',
                  self.service,
                  methods=list(SERVICE_METHODS)),
        ])

    async def completions(self, request: Request) -> Response:
        """Completes a text prompt."""
        return await self._complete(request, chat=False)

    async def chat(self, request: Request) -> Response:
        """Completes a conversation."""
        return await self._complete(request, chat=True)

    async def models(self, request: Request) -> Response:
        """Lists the models that the team may call."""
        visit = _new_visit(request)
        team = self._team(request)
        if isinstance(team, Refusal):
            return self._refused(visit, team)
        return JSONResponse({
            'object':
                'list',
            'data': [{
                'id': model,
                'object': 'model',
                'created': 0,
                'owned_by': 'plantainridge'
            } for model in sorted(team.models)],
        })

    async def service(self, request: Request) -> Response:
        """Passes a call on to a plain service."""
        visit = _new_visit(request)
        visit.target = request.path_params['service']
        team = self._team(request)
        if isinstance(team, Refusal):
            await self._body(request, limit=0)
            return self._refused(visit, team)
        visit.team = team.id
        data = await self._body(request, self.limits.max_body_bytes)
        if isinstance(data, Refusal):
            return self._refused(visit, data)
        called = _service_called(request, visit, team, data)
        if isinstance(called, Refusal):
            return self._refused(visit, called)
        async with self._mailbox(visit, request) as mailbox:
            self.runtime.post(called)
            reply = await mailbox.next()
            if isinstance(reply, fx.SendServiceAnswer):
                visit.outcome = 'whole'
                return Response(reply.body,
                                status_code=reply.status,
                                headers={'x-request-id': visit.name})
            return self._ended(visit, reply)

    def _team(self, request: Request) -> Team | Refusal:
        found = self.keys.find(self.runtime.state.config.teams,
                               request.headers.get('authorization', ''))
        if isinstance(found, AuthFailure):
            return Refusal(Reason.UNAUTHENTICATED, RanState.NOT_RUN,
                           found.value)
        return found

    async def _body(self, request: Request, limit: int) -> bytes | Refusal:
        """Reads a body within the limits of size and time.

        The rest of one that is too large is dropped piece by piece: a caller
        that still sends would not see the refusal.
        """
        data = bytearray()
        size = 0
        try:
            async with asyncio.timeout(self.limits.body_timeout_s):
                async for piece in request.stream():
                    size += len(piece)
                    if size <= limit:
                        data += piece
                    elif size > limit + DISCARD_BYTES:
                        break
        except TimeoutError:
            return malformed(
                f'no whole body within {self.limits.body_timeout_s} s')
        except ClientDisconnect:
            return Refusal(Reason.CALLER_GONE, RanState.NOT_RUN,
                           'the caller closed its connection')
        if size > limit:
            return Refusal(Reason.TOO_LARGE, RanState.NOT_RUN,
                           f'the body exceeds {limit} bytes')
        return bytes(data)

    async def _complete(self, request: Request, chat: bool) -> Response:
        visit = _new_visit(request)
        team = self._team(request)
        if isinstance(team, Refusal):
            await self._body(request, limit=0)
            return self._refused(visit, team)
        visit.team = team.id
        data = await self._body(request, self.limits.max_body_bytes)
        if isinstance(data, Refusal):
            return self._refused(visit, data)
        ask = completions.parse(data, chat)
        if isinstance(ask, Refusal):
            return self._refused(visit, ask)
        visit.target = ask.model
        called = self._model_called(visit, team, ask)
        if isinstance(called, Refusal):
            return self._refused(visit, called)
        async with contextlib.AsyncExitStack() as stack:
            mailbox = await stack.enter_async_context(
                self._mailbox(visit, request))
            self.runtime.post(called)
            if not ask.stream:
                return await self._collect(visit, ask, mailbox)
            # A refusal of the whole request has its own status.
            first = await mailbox.next()
            if not isinstance(first, (fx.SendTokens, fx.FinishAnswer)):
                return self._ended(visit, first)
            events = self._events(visit, ask, first, mailbox)
            return EventStream(events, visit.name, stack.pop_all(),
                               self.limits.stall_timeout_s,
                               lambda: self._cut_off(visit))

    def _model_called(self, visit: _Visit, team: Team,
                      ask: CompletionRequest) -> ev.ModelCalled | Refusal:
        model = self.runtime.state.config.models.get(ask.model)
        if model is None:
            return Refusal(Reason.UNKNOWN_MODEL, RanState.NOT_RUN,
                           'there is no such model')
        data = ask.text.encode()
        model = versions.bind(self.runtime.state, model, team.id, data,
                              self.runtime.loop.time())
        seed = blocks.salt(team.id, model.id, model.version, model.adapter)
        prompt = ev.Prompt(ask.text, blocks.count_tokens(data),
                           tuple(blocks.chain(seed, data)))
        return ev.ModelCalled(request=visit.name,
                              team=team.id,
                              model=model.id,
                              version=model.version,
                              adapter=model.adapter,
                              prompt=prompt,
                              max_tokens=ask.max_tokens)

    async def _collect(self, visit: _Visit, ask: CompletionRequest,
                       mailbox: Mailbox) -> Response:
        """Waits for the whole answer."""
        texts: list[str] = []
        reply = await mailbox.next()
        while isinstance(reply, fx.SendTokens):
            texts.extend(reply.tokens)
            reply = await mailbox.next()
        if not isinstance(reply, fx.FinishAnswer):
            return self._ended(visit, reply)
        visit.outcome = 'whole'
        visit.tokens = reply.total
        return JSONResponse(completions.completion_body(visit.name, ask,
                                                        ''.join(texts), reply),
                            headers={'x-request-id': visit.name})

    async def _events(self, visit: _Visit, ask: CompletionRequest,
                      reply: fx.SendTokens | fx.FinishAnswer,
                      mailbox: Mailbox) -> AsyncIterator[str]:
        """Yields the events of a stream until its final word."""
        chunks = completions.Chunks(visit.name, ask)
        current: Any = reply
        while isinstance(current, fx.SendTokens):
            visit.tokens += len(current.tokens)
            yield chunks.text(''.join(current.tokens))
            current = await mailbox.next()
        if isinstance(current, fx.FinishAnswer):
            visit.outcome = 'whole'
            yield chunks.end(current)
        elif isinstance(current, fx.Refuse):
            visit.outcome = current.refusal.reason.value
            yield completions.event_line(
                problem_body(current.refusal, visit.name))

    @contextlib.asynccontextmanager
    async def _mailbox(self, visit: _Visit,
                       request: Request) -> AsyncIterator[Mailbox]:
        """Opens a mailbox; at the end nothing of the request is left."""
        mailbox = self.mailboxes.open(visit.name, lambda: self._cut_off(visit))
        listener = asyncio.create_task(_listen(request.receive, mailbox))
        try:
            yield mailbox
        finally:
            listener.cancel()
            self.mailboxes.close(visit.name)
            # Without effect on a request that has had its final word.
            self.runtime.post(ev.CallerDisconnected(visit.name))
            self._log(visit)

    def _cut_off(self, visit: _Visit) -> None:
        """Gives up a caller that reads too slowly."""
        visit.outcome = Reason.CALLER_SLOW.value
        self.abort(visit.client)

    def _ended(self, visit: _Visit, reply: Any) -> Response:
        if isinstance(reply, fx.Refuse):
            visit.outcome = reply.refusal.reason.value
            return problem(reply.refusal, visit.name)
        # Nobody reads this: the connection is gone.
        return Response(status_code=499)

    def _refused(self, visit: _Visit, refusal: Refusal) -> Response:
        """Refuses what the reducer was not told of."""
        visit.outcome = refusal.reason.value
        self._log(visit)
        return problem(refusal, visit.name)

    def _log(self, visit: _Visit) -> None:
        took_s = time.monotonic() - visit.began_at
        report = self.runtime.ports.report
        report.observe(
            base.Observe('request_s', visit.team, visit.outcome, took_s))
        report.log(
            base.LogLine('request_ended',
                         (('request', visit.name), ('team', visit.team),
                          ('target', visit.target), ('outcome', visit.outcome),
                          ('tokens', visit.tokens),
                          ('took_s', round(took_s, 4)))))


def _new_visit(request: Request) -> _Visit:
    return _Visit(RequestId(uuid.uuid4().hex), request.scope.get('client'))


async def _listen(receive: Receive, mailbox: Mailbox) -> None:
    """Tells the mailbox when the caller closes its connection."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    mailbox.put(Disconnected())


def _service_called(request: Request, visit: _Visit, team: Team,
                    data: bytes) -> ev.ServiceCalled | Refusal:
    key = request.headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
        return Refusal(
            Reason.KEY_INVALID, RanState.NOT_RUN,
            f'{KEY_HEADER} must be printable ASCII, at most '
            f'{MAX_KEY_CHARS} characters')
    for header in (RUN_ONCE_HEADER, RESEND_HEADER):
        if request.headers.get(header, YES).lower() != YES:
            return malformed(f'{header} may only be {YES}')
    path = '/' + request.path_params['path']
    if not path.isascii() or not path.isprintable() or ' ' in path:
        return malformed('the path must be printable ASCII without spaces')
    return ev.ServiceCalled(request=visit.name,
                            team=team.id,
                            service=ServiceId(visit.target),
                            method=request.method,
                            path=path,
                            body=data,
                            key=key,
                            run_once=RUN_ONCE_HEADER in request.headers,
                            resend=RESEND_HEADER in request.headers)
