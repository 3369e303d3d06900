"""HTTP interface for callers: OpenAI-style completions and plain services."""

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
# Requests that a call runs at most once; a service's configuration row can
# require the same.
RUN_ONCE_HEADER: Final = 'x-run-once'
KEY_HEADER: Final = 'idempotency-key'
# Declares that the caller may have sent the call before with the same
# idempotency key.
RESEND_HEADER: Final = 'idempotency-resend'
HEADER_TRUE: Final = 'yes'
MAX_KEY_CHARS: Final = 255
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
BODY_TIMEOUT_S: Final = 30.0
STALL_TIMEOUT_S: Final = 20.0
# Bytes of an oversized body that are read and discarded.
MAX_DISCARDED_BYTES: Final = 16 * 1024 * 1024

AbortConnection = Callable[[Any], None]


@attrs.frozen
class RequestLimits:
    """Limits of one caller's request.

    Attributes:
        max_body_bytes: Size limit of a request body, in bytes.
        body_timeout_s: Time limit for receiving the complete body, in s.
        stall_timeout_s: Time without progress after which a streaming caller
            is disconnected, in s.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    body_timeout_s: float = BODY_TIMEOUT_S
    stall_timeout_s: float = STALL_TIMEOUT_S


@attrs.define
class _RequestContext:
    """State of one caller's request while its handler runs.

    Attributes:
        request_id: Id that the response carries and the log records.
        client_address: Remote address of the connection; None if unknown.
        started_at: Monotonic time at which the handler started, in s.
        team: The caller's team; empty before authentication.
        target: The requested model or service, or empty.
        outcome: How the request ended, for the log and the metrics.
        tokens: Number of tokens sent so far.
    """

    request_id: RequestId
    client_address: Any
    started_at: float = attrs.field(factory=time.monotonic)
    team: str = ''
    target: str = ''
    outcome: str = 'hung_up'
    tokens: int = 0


class CallersApp:
    """ASGI application that serves callers.

    Attributes:
        abort: Aborts the connection from a client address.
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
        self.abort: AbortConnection = lambda client_address: None
        self.app = Starlette(routes=[
            Route('/v1/completions', self.completions, methods=['POST']),
            Route('/v1/chat/completions', self.chat, methods=['POST']),
            Route('/v1/models', self.models),
            Route(SERVICE_PREFIX + '/{service}/{path:path}',
                  self.service,
                  methods=list(SERVICE_METHODS)),
        ])

    async def completions(self, request: Request) -> Response:
        """Handle a text completion."""
        return await self._handle_completion(request, chat=False)

    async def chat(self, request: Request) -> Response:
        """Handle a chat completion."""
        return await self._handle_completion(request, chat=True)

    async def models(self, request: Request) -> Response:
        """List the models available to the caller's team."""
        context = _new_context(request)
        team = self._authenticate(request)
        if isinstance(team, Refusal):
            return self._refuse(context, team)
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
        """Forward a call to a plain service."""
        context = _new_context(request)
        context.target = request.path_params['service']
        team = self._authenticate(request)
        if isinstance(team, Refusal):
            await self._read_body(request, limit=0)
            return self._refuse(context, team)
        context.team = team.id
        data = await self._read_body(request, self.limits.max_body_bytes)
        if isinstance(data, Refusal):
            return self._refuse(context, data)
        event = _service_called(request, context, team, data)
        if isinstance(event, Refusal):
            return self._refuse(context, event)
        async with self._open_mailbox(context, request) as mailbox:
            self.runtime.post(event)
            reply = await mailbox.next()
            if isinstance(reply, fx.SendServiceAnswer):
                context.outcome = 'whole'
                return Response(reply.body,
                                status_code=reply.status,
                                headers={'x-request-id': context.request_id})
            return self._final_response(context, reply)

    def _authenticate(self, request: Request) -> Team | Refusal:
        result = self.keys.find(self.runtime.state.config.teams,
                                request.headers.get('authorization', ''))
        if isinstance(result, AuthFailure):
            return Refusal(Reason.UNAUTHENTICATED, RanState.NOT_RUN,
                           result.value)
        return result

    async def _read_body(self, request: Request, limit: int) -> bytes | Refusal:
        """Read a request body within the limits of size and time.

        The rest of an oversized body is read and discarded, as a caller that
        is still sending would not see the refusal.

        Args:
            request: The request to read from.
            limit: Size limit, in bytes.
        """
        data = bytearray()
        size = 0
        try:
            async with asyncio.timeout(self.limits.body_timeout_s):
                async for chunk in request.stream():
                    size += len(chunk)
                    if size <= limit:
                        data += chunk
                    elif size > limit + MAX_DISCARDED_BYTES:
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

    async def _handle_completion(self, request: Request,
                                 chat: bool) -> Response:
        context = _new_context(request)
        team = self._authenticate(request)
        if isinstance(team, Refusal):
            await self._read_body(request, limit=0)
            return self._refuse(context, team)
        context.team = team.id
        data = await self._read_body(request, self.limits.max_body_bytes)
        if isinstance(data, Refusal):
            return self._refuse(context, data)
        completion = completions.parse(data, chat)
        if isinstance(completion, Refusal):
            return self._refuse(context, completion)
        context.target = completion.model
        event = self._model_called(context, team, completion)
        if isinstance(event, Refusal):
            return self._refuse(context, event)
        async with contextlib.AsyncExitStack() as stack:
            mailbox = await stack.enter_async_context(
                self._open_mailbox(context, request))
            self.runtime.post(event)
            if not completion.stream:
                return await self._collect_answer(context, completion, mailbox)
            # A request refused before its first token gets a problem document
            # with its own status instead of a stream.
            first = await mailbox.next()
            if not isinstance(first, (fx.SendTokens, fx.FinishAnswer)):
                return self._final_response(context, first)
            events = self._stream_events(context, completion, first, mailbox)
            return EventStream(events, context.request_id, stack.pop_all(),
                               self.limits.stall_timeout_s,
                               lambda: self._abort_slow_caller(context))

    def _model_called(
            self, context: _RequestContext, team: Team,
            completion: CompletionRequest) -> ev.ModelCalled | Refusal:
        model = self.runtime.state.config.models.get(completion.model)
        if model is None:
            return Refusal(Reason.UNKNOWN_MODEL, RanState.NOT_RUN,
                           'there is no such model')
        data = completion.text.encode()
        model = versions.bind(self.runtime.state, model, team.id, data,
                              self.runtime.loop.time())
        seed = blocks.salt(team.id, model.id, model.version, model.adapter)
        prompt = ev.Prompt(completion.text, blocks.count_tokens(data),
                           tuple(blocks.chain(seed, data)))
        return ev.ModelCalled(request=context.request_id,
                              team=team.id,
                              model=model.id,
                              version=model.version,
                              adapter=model.adapter,
                              prompt=prompt,
                              max_tokens=completion.max_tokens)

    async def _collect_answer(self, context: _RequestContext,
                              completion: CompletionRequest,
                              mailbox: Mailbox) -> Response:
        """Return the complete answer as one response."""
        texts: list[str] = []
        reply = await mailbox.next()
        while isinstance(reply, fx.SendTokens):
            texts.extend(reply.tokens)
            reply = await mailbox.next()
        if not isinstance(reply, fx.FinishAnswer):
            return self._final_response(context, reply)
        context.outcome = 'whole'
        context.tokens = reply.total
        return JSONResponse(completions.completion_body(context.request_id,
                                                        completion,
                                                        ''.join(texts), reply),
                            headers={'x-request-id': context.request_id})

    async def _stream_events(self, context: _RequestContext,
                             completion: CompletionRequest,
                             reply: fx.SendTokens | fx.FinishAnswer,
                             mailbox: Mailbox) -> AsyncIterator[str]:
        """Yield server-sent events up to the final reply."""
        encoder = completions.ChunkEncoder(context.request_id, completion)
        current: Any = reply
        while isinstance(current, fx.SendTokens):
            context.tokens += len(current.tokens)
            yield encoder.text(''.join(current.tokens))
            current = await mailbox.next()
        if isinstance(current, fx.FinishAnswer):
            context.outcome = 'whole'
            yield encoder.finish(current)
        elif isinstance(current, fx.Refuse):
            context.outcome = current.refusal.reason.value
            yield completions.encode_event(
                problem_body(current.refusal, context.request_id))

    @contextlib.asynccontextmanager
    async def _open_mailbox(self, context: _RequestContext,
                            request: Request) -> AsyncIterator[Mailbox]:
        """Open the request's mailbox and release its resources on exit."""
        mailbox = self.mailboxes.open(context.request_id,
                                      lambda: self._abort_slow_caller(context))
        watcher = asyncio.create_task(
            _watch_disconnect(request.receive, mailbox))
        try:
            yield mailbox
        finally:
            watcher.cancel()
            self.mailboxes.close(context.request_id)
            # The reducer ignores this for a request that has ended.
            self.runtime.post(ev.CallerDisconnected(context.request_id))
            self._log(context)

    def _abort_slow_caller(self, context: _RequestContext) -> None:
        """Abort the connection of a caller that reads too slowly."""
        context.outcome = Reason.CALLER_SLOW.value
        self.abort(context.client_address)

    def _final_response(self, context: _RequestContext, reply: Any) -> Response:
        if isinstance(reply, fx.Refuse):
            context.outcome = reply.refusal.reason.value
            return problem(reply.refusal, context.request_id)
        # The caller has disconnected and does not receive this response.
        return Response(status_code=499)

    def _refuse(self, context: _RequestContext, refusal: Refusal) -> Response:
        """Refuse a request that was never posted to the reducer."""
        context.outcome = refusal.reason.value
        self._log(context)
        return problem(refusal, context.request_id)

    def _log(self, context: _RequestContext) -> None:
        elapsed_s = time.monotonic() - context.started_at
        report = self.runtime.ports.report
        report.observe(
            base.Observe('request_s', context.team, context.outcome, elapsed_s))
        report.log(
            base.LogLine(
                'request_ended',
                (('request', context.request_id), ('team', context.team),
                 ('target', context.target), ('outcome', context.outcome),
                 ('tokens', context.tokens), ('took_s', round(elapsed_s, 4)))))


def _new_context(request: Request) -> _RequestContext:
    return _RequestContext(RequestId(uuid.uuid4().hex),
                           request.scope.get('client'))


async def _watch_disconnect(receive: Receive, mailbox: Mailbox) -> None:
    """Notify the mailbox when the caller closes its connection."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
    mailbox.put(Disconnected())


def _service_called(request: Request, context: _RequestContext, team: Team,
                    data: bytes) -> ev.ServiceCalled | Refusal:
    key = request.headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
        return Refusal(
            Reason.KEY_INVALID, RanState.NOT_RUN,
            f'{KEY_HEADER} must be printable ASCII, at most '
            f'{MAX_KEY_CHARS} characters')
    for header in (RUN_ONCE_HEADER, RESEND_HEADER):
        if request.headers.get(header, HEADER_TRUE).lower() != HEADER_TRUE:
            return malformed(f'{header} may only be {HEADER_TRUE}')
    path = '/' + request.path_params['path']
    if not path.isascii() or not path.isprintable() or ' ' in path:
        return malformed('the path must be printable ASCII without spaces')
    return ev.ServiceCalled(request=context.request_id,
                            team=team.id,
                            service=ServiceId(context.target),
                            method=request.method,
                            path=path,
                            body=data,
                            key=key,
                            run_once=RUN_ONCE_HEADER in request.headers,
                            resend=RESEND_HEADER in request.headers)
