"""Callers' HTTP interface: OpenAI-style completions and plain services."""

import asyncio
import hashlib
import hmac
import json
import time
import uuid
from collections.abc import AsyncIterator
from typing import Any, Final

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from plantainridge import blocks
from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.config import Team
from plantainridge.ids import ModelId, RequestId, ServiceId
from plantainridge.ports import CallerPort
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.runtime import Runtime

PROBLEM_TYPE: Final = 'application/problem+json'
SERVICE_PREFIX: Final = '/services'
DEFAULT_MAX_TOKENS: Final = 256
# Marks a call that must run at most once; also said by a service's row.
ONCE_HEADER: Final = 'idempotency-required'
# Says that the caller may have sent the call before under its key.
RESEND_HEADER: Final = 'idempotency-resend'

Reply = fx.SendTokens | fx.FinishAnswer | fx.SendServiceAnswer | fx.Refuse


class Mailboxes(CallerPort):
    """A queue of effects for each request in flight."""

    def __init__(self) -> None:
        self.queues: dict[RequestId, asyncio.Queue[Reply]] = {}

    def open(self, request: RequestId) -> asyncio.Queue[Reply]:
        """Makes the queue of a new request."""
        queue: asyncio.Queue[Reply] = asyncio.Queue()
        self.queues[request] = queue
        return queue

    def close(self, request: RequestId) -> None:
        """Forgets a request."""
        self.queues.pop(request, None)

    def _put(self, effect: Reply) -> None:
        queue = self.queues.get(effect.request)
        if queue is not None:
            queue.put_nowait(effect)

    def send_tokens(self, effect: fx.SendTokens) -> None:
        self._put(effect)

    def finish(self, effect: fx.FinishAnswer) -> None:
        self._put(effect)

    def answer(self, effect: fx.SendServiceAnswer) -> None:
        self._put(effect)

    def refuse(self, effect: fx.Refuse) -> None:
        self._put(effect)


@attrs.frozen
class _Ask:
    """A parsed completion request."""

    model: ModelId
    text: str
    max_tokens: int
    stream: bool
    chat: bool


def problem(refusal: Refusal, request: str) -> Response:
    """Returns a problem document (RFC 9457) for a refusal."""
    body = problem_body(refusal, request)
    headers = {'x-request-id': request}
    if refusal.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(refusal.retry_after_s)))
    return Response(json.dumps(body),
                    status_code=refusal.status,
                    headers=headers,
                    media_type=PROBLEM_TYPE)


def problem_body(refusal: Refusal, request: str) -> dict[str, Any]:
    """Returns the members of a refusal's problem document."""
    return {
        'type': f'urn:plantainridge:{refusal.reason.value}',
        'title': refusal.reason.value.replace('_', ' '),
        'status': refusal.status,
        'detail': refusal.detail,
        'ran': refusal.ran.value,
        'request': request,
        # What clients of the OpenAI interface look for.
        'error': {
            'message': refusal.detail,
            'type': refusal.reason.value,
            'code': refusal.reason.value,
        },
    }


class CallersApp:
    """Routes of the callers' interface."""

    def __init__(self, runtime: Runtime, mailboxes: Mailboxes) -> None:
        self.runtime = runtime
        self.mailboxes = mailboxes
        self.app = Starlette(routes=[
            Route('/v1/completions', self.completions, methods=['POST']),
            Route('/v1/chat/completions', self.chat, methods=['POST']),
            Route('/v1/models', self.models),
            Route(SERVICE_PREFIX + '/{service}/{path:path}',
                  self.service,
                  methods=['GET', 'POST', 'PUT', 'DELETE']),
        ])

    async def completions(self, request: Request) -> Response:
        """Completes a text prompt."""
        return await self._complete(request, chat=False)

    async def chat(self, request: Request) -> Response:
        """Completes a conversation."""
        return await self._complete(request, chat=True)

    async def models(self, request: Request) -> Response:
        """Lists the models that the team may call."""
        team = self._team(request)
        if team is None:
            return problem(_UNAUTHENTICATED, _new_request())
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
        name = _new_request()
        team = self._team(request)
        if team is None:
            return problem(_UNAUTHENTICATED, name)
        queue = self.mailboxes.open(name)
        finished = False
        try:
            self.runtime.post(
                ev.ServiceCalled(request=name,
                                 team=team.id,
                                 service=ServiceId(
                                     request.path_params['service']),
                                 method=request.method,
                                 path='/' + request.path_params['path'],
                                 body=await request.body(),
                                 key=request.headers.get('idempotency-key', ''),
                                 marked=_says_yes(request, ONCE_HEADER),
                                 resend=_says_yes(request, RESEND_HEADER)))
            reply = await queue.get()
            finished = True
            if isinstance(reply, fx.SendServiceAnswer):
                return Response(reply.body,
                                status_code=reply.status,
                                headers={'x-request-id': name})
            assert isinstance(reply, fx.Refuse)
            return problem(reply.refusal, name)
        finally:
            self._close(name, finished)

    def _team(self, request: Request) -> Team | None:
        scheme, _, key = request.headers.get('authorization', '').partition(' ')
        if scheme.lower() != 'bearer' or not key:
            return None
        digest = hashlib.sha256(key.encode()).hexdigest()
        for team in self.runtime.state.config.teams.values():
            if hmac.compare_digest(team.key_hash, digest):
                return team
        return None

    async def _complete(self, request: Request, chat: bool) -> Response:
        name = _new_request()
        team = self._team(request)
        if team is None:
            return problem(_UNAUTHENTICATED, name)
        ask = _parse(await request.body(), chat)
        if isinstance(ask, Refusal):
            return problem(ask, name)
        model = self.runtime.state.config.models.get(ask.model)
        if model is None:
            return problem(
                Refusal(Reason.UNKNOWN_MODEL, RanState.NOT_RUN,
                        'there is no such model'), name)
        queue = self.mailboxes.open(name)
        seed = blocks.salt(team.id, model.id, model.version, model.adapter)
        data = ask.text.encode()
        self.runtime.post(
            ev.ModelCalled(request=name,
                           team=team.id,
                           model=model.id,
                           version=model.version,
                           adapter=model.adapter,
                           prompt=ev.Prompt(ask.text, blocks.count_tokens(data),
                                            tuple(blocks.chain(seed, data))),
                           max_tokens=ask.max_tokens))
        if ask.stream:
            return await self._start_stream(name, ask, queue)
        return await self._collect(name, ask, queue)

    async def _collect(self, name: RequestId, ask: _Ask,
                       queue: 'asyncio.Queue[Reply]') -> Response:
        tokens: list[str] = []
        finished = False
        try:
            while True:
                reply = await queue.get()
                if isinstance(reply, fx.SendTokens):
                    tokens.extend(reply.tokens)
                    continue
                finished = True
                if isinstance(reply, fx.FinishAnswer):
                    return _whole(name, ask, ''.join(tokens), reply)
                assert isinstance(reply, fx.Refuse)
                return problem(reply.refusal, name)
        finally:
            self._close(name, finished)

    async def _start_stream(self, name: RequestId, ask: _Ask,
                            queue: 'asyncio.Queue[Reply]') -> Response:
        """Waits for the first reply, so that a refusal has its own status."""
        try:
            first = await queue.get()
        except asyncio.CancelledError:
            self._close(name, finished=False)
            raise
        if isinstance(first, fx.Refuse):
            self._close(name, finished=True)
            return problem(first.refusal, name)
        return StreamingResponse(self._stream(name, ask, first, queue),
                                 media_type='text/event-stream',
                                 headers={'x-request-id': name})

    async def _stream(self, name: RequestId, ask: _Ask, reply: Reply,
                      queue: 'asyncio.Queue[Reply]') -> AsyncIterator[str]:
        finished = False
        try:
            while True:
                if isinstance(reply, fx.SendTokens):
                    yield _sse(_chunk(name, ask, ''.join(reply.tokens), None))
                    reply = await queue.get()
                    continue
                finished = True
                if isinstance(reply, fx.FinishAnswer):
                    yield _sse(_chunk(name, ask, '', 'stop'))
                    yield 'data: [DONE]\n\n'
                else:
                    assert isinstance(reply, fx.Refuse)
                    yield _sse(problem_body(reply.refusal, name))
                return
        finally:
            self._close(name, finished)

    def _close(self, name: RequestId, finished: bool) -> None:
        self.mailboxes.close(name)
        if not finished:
            self.runtime.post(ev.CallerGone(name))


_UNAUTHENTICATED: Final = Refusal(Reason.UNAUTHENTICATED, RanState.NOT_RUN,
                                  'the bearer key is missing or unknown')


def _new_request() -> RequestId:
    return RequestId(uuid.uuid4().hex)


def _says_yes(request: Request, header: str) -> bool:
    return request.headers.get(header, '').lower() in ('yes', 'true', '1')


def _malformed(detail: str) -> Refusal:
    return Refusal(Reason.MALFORMED, RanState.NOT_RUN, detail)


def _parse(data: bytes, chat: bool) -> _Ask | Refusal:
    try:
        body = json.loads(data)
    except ValueError:
        return _malformed('the body is not JSON')
    if not isinstance(body, dict):
        return _malformed('the body is not a JSON object')
    model = body.get('model')
    if not isinstance(model, str):
        return _malformed('model must be a string')
    max_tokens = body.get('max_tokens', DEFAULT_MAX_TOKENS)
    if not isinstance(max_tokens, int) or max_tokens < 1:
        return _malformed('max_tokens must be a positive integer')
    text = _chat_text(body) if chat else body.get('prompt')
    if not isinstance(text, str) or not text:
        return _malformed('messages or prompt must hold text')
    return _Ask(ModelId(model), text, max_tokens, bool(body.get('stream')),
                chat)


def _chat_text(body: dict[str, Any]) -> str | None:
    messages = body.get('messages')
    if not isinstance(messages, list):
        return None
    parts: list[str] = []
    for message in messages:
        if not isinstance(message, dict):
            return None
        content = message.get('content')
        if not isinstance(content, str):
            return None
        parts.append(f'{message.get("role", "user")}: {content}\n')
    return ''.join(parts)


def _sse(body: dict[str, Any]) -> str:
    return f'data: {json.dumps(body)}\n\n'


def _chunk(name: str, ask: _Ask, text: str,
           finish_reason: str | None) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
    if ask.chat:
        choice['delta'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': name,
        'object': 'chat.completion.chunk' if ask.chat else 'text_completion',
        'created': int(time.time()),
        'model': ask.model,
        'choices': [choice],
    }


def _whole(name: str, ask: _Ask, text: str, end: fx.FinishAnswer) -> Response:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
    if ask.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return JSONResponse(
        {
            'id': name,
            'object': 'chat.completion' if ask.chat else 'text_completion',
            'created': int(time.time()),
            'model': ask.model,
            'choices': [choice],
            'usage': {
                'prompt_tokens': end.prompt_tokens,
                'completion_tokens': end.total,
                'total_tokens': end.prompt_tokens + end.total,
                'prompt_tokens_details': {
                    'cached_tokens': end.cached_tokens
                },
            },
        },
        headers={'x-request-id': name})
