"""Request and response bodies of the OpenAI-style completions interface."""

import json
import time
from typing import Any, Final

import attrs

from plantainridge import effects as fx
from plantainridge.ids import ModelId
from plantainridge.refusals import RanState, Reason, Refusal

DEFAULT_MAX_TOKENS: Final = 256
MAX_TOKENS: Final = 131_072
DONE_EVENT: Final = 'data: [DONE]\n\n'


@attrs.frozen
class CompletionRequest:
    """A caller's completion request.

    Attributes:
        model: The requested model.
        text: The prompt, or the conversation as one text; never logged.
        max_tokens: Limit of the answer's length, in tokens.
        stream: Whether the answer is streamed.
        chat: Whether the request is a chat completion.
        include_usage: Whether a stream ends with a chunk of token counts.
    """

    model: ModelId
    text: str = attrs.field(repr=False)
    max_tokens: int
    stream: bool
    chat: bool
    include_usage: bool = False


def malformed(detail: str) -> Refusal:
    """Return the refusal of a malformed request."""
    return Refusal(Reason.MALFORMED, RanState.NOT_RUN, detail)


def parse(data: bytes, chat: bool) -> CompletionRequest | Refusal:
    """Parse the body of a completion request.

    Args:
        data: The body as received.
        chat: Whether it is the body of a chat completion.

    Returns:
        The request, or the refusal of a malformed one.
    """
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return malformed('the body is not JSON')
    if not isinstance(body, dict):
        return malformed('the body is not a JSON object')
    model = body.get('model')
    if not isinstance(model, str):
        return malformed('model must be a string')
    if body.get('n', 1) != 1:
        return malformed('n must be 1')
    max_tokens = body.get('max_completion_tokens', body.get('max_tokens'))
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if not _is_valid_max_tokens(max_tokens):
        return malformed(
            f'max_tokens must be an integer from 1 to {MAX_TOKENS}')
    stream = body.get('stream', False)
    if not isinstance(stream, bool):
        return malformed('stream must be true or false')
    text = _chat_text(body.get('messages')) if chat else _prompt_text(
        body.get('prompt'))
    if not text:
        return malformed('messages must hold text' if chat else
                         'prompt must be one text that is not empty')
    if not _is_unicode(text):
        return malformed('the text holds half a surrogate pair')
    return CompletionRequest(ModelId(model), text, max_tokens, stream, chat,
                             _wants_usage(body))


def _is_valid_max_tokens(value: Any) -> bool:
    # bool is a subclass of int in Python, but a separate type in JSON.
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return 1 <= value <= MAX_TOKENS


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _wants_usage(body: dict[str, Any]) -> bool:
    options = body.get('stream_options')
    return isinstance(options, dict) and options.get('include_usage') is True


def _prompt_text(prompt: Any) -> str:
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    return prompt if isinstance(prompt, str) else ''


def _chat_text(messages: Any) -> str:
    if not isinstance(messages, list):
        return ''
    lines: list[str] = []
    for message in messages:
        if not isinstance(message, dict):
            return ''
        content = _content_text(message.get('content'))
        role = message.get('role', 'user')
        if not content or not isinstance(role, str):
            return ''
        lines.append(f'{role}: {content}\n')
    return ''.join(lines)


def _content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ''
    texts: list[str] = []
    for part in content:
        text = part.get('text') if isinstance(part, dict) else None
        if not isinstance(text, str):
            return ''
        texts.append(text)
    return ''.join(texts)


def encode_event(body: dict[str, Any]) -> str:
    """Return a JSON body as one server-sent event."""
    return f'data: {json.dumps(body)}\n\n'


class ChunkEncoder:
    """Encodes one streamed answer as server-sent events.

    The part of a chunk around its text is encoded only once.
    """

    def __init__(self, request_id: str, request: CompletionRequest) -> None:
        self.request_id = request_id
        self.request = request
        self.common_fields = {
            'id': request_id,
            'object':
                ('chat.completion.chunk' if request.chat else 'text_completion'
                ),
            'created': int(time.time()),
            'model': request.model,
        }
        prefix, suffix = json.dumps(self._chunk_body('\0',
                                                     None)).split('"\\u0000"')
        self._prefix = f'data: {prefix}'
        self._suffix = f'{suffix}\n\n'

    def _chunk_body(self, text: str,
                    finish_reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
        if self.request.chat:
            choice['delta'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return {**self.common_fields, 'choices': [choice]}

    def text(self, text: str) -> str:
        """Return the event for the next part of the answer's text."""
        return f'{self._prefix}{json.dumps(text)}{self._suffix}'

    def finish(self, answer: fx.FinishAnswer) -> str:
        """Return the last events of a complete answer."""
        events = encode_event(self._chunk_body('', 'stop'))
        if self.request.include_usage:
            events += encode_event({
                **self.common_fields, 'choices': [],
                'usage': usage_body(answer)
            })
        return events + DONE_EVENT


def usage_body(answer: fx.FinishAnswer) -> dict[str, Any]:
    """Return the token counts of a complete answer."""
    return {
        'prompt_tokens': answer.prompt_tokens,
        'completion_tokens': answer.total,
        'total_tokens': answer.prompt_tokens + answer.total,
        'prompt_tokens_details': {
            'cached_tokens': answer.cached_tokens
        },
    }


def completion_body(request_id: str, request: CompletionRequest, text: str,
                    answer: fx.FinishAnswer) -> dict[str, Any]:
    """Return the body of a complete answer that is not streamed."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
    if request.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': request_id,
        'object': 'chat.completion' if request.chat else 'text_completion',
        'created': int(time.time()),
        'model': request.model,
        'choices': [choice],
        'usage': usage_body(answer),
    }
