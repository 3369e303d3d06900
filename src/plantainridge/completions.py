"""Bodies of the OpenAI-style completions interface."""

import json
import time
from typing import Any, Final

import attrs

from plantainridge import effects as fx
from plantainridge.ids import ModelId
from plantainridge.refusals import RanState, Reason, Refusal

DEFAULT_MAX_TOKENS: Final = 256
MAX_TOKENS: Final = 131_072
DONE: Final = 'data: [DONE]\n\n'


@attrs.frozen
class CompletionRequest:
    """A caller's completion request.

    Attributes:
        text: The prompt, or the conversation as one text; never logged.
        usage: Whether a stream ends with a chunk that counts tokens.
    """

    model: ModelId
    text: str = attrs.field(repr=False)
    max_tokens: int
    stream: bool
    chat: bool
    usage: bool = False


def malformed(detail: str) -> Refusal:
    """Returns the refusal of a request that cannot be understood."""
    return Refusal(Reason.MALFORMED, RanState.NOT_RUN, detail)


def parse(data: bytes, chat: bool) -> CompletionRequest | Refusal:
    """Reads the body of a completion request."""
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
    if not _is_count(max_tokens):
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


def _is_count(value: Any) -> bool:
    # JSON's true is an int of Python.
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


def event_line(body: dict[str, Any]) -> str:
    """Returns one server-sent event."""
    return f'data: {json.dumps(body)}\n\n'


class Chunks:
    """Makes the server-sent events of one streamed answer.

    All but the text is encoded once.
    """

    def __init__(self, name: str, ask: CompletionRequest) -> None:
        self.name = name
        self.ask = ask
        self.head = {
            'id': name,
            'object':
                ('chat.completion.chunk' if ask.chat else 'text_completion'),
            'created': int(time.time()),
            'model': ask.model,
        }
        before, after = json.dumps(self._body('\0', None)).split('"\\u0000"')
        self._before = f'data: {before}'
        self._after = f'{after}\n\n'

    def _body(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
        if self.ask.chat:
            choice['delta'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return {**self.head, 'choices': [choice]}

    def text(self, text: str) -> str:
        """Returns the event that carries a piece of the answer."""
        return f'{self._before}{json.dumps(text)}{self._after}'

    def end(self, end: fx.FinishAnswer) -> str:
        """Returns the last events of a whole answer."""
        events = event_line(self._body('', 'stop'))
        if self.ask.usage:
            events += event_line({
                **self.head, 'choices': [],
                'usage': usage(end)
            })
        return events + DONE


def usage(end: fx.FinishAnswer) -> dict[str, Any]:
    """Returns the token counts of a whole answer."""
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.total,
        'total_tokens': end.prompt_tokens + end.total,
        'prompt_tokens_details': {
            'cached_tokens': end.cached_tokens
        },
    }


def completion_body(name: str, ask: CompletionRequest, text: str,
                    end: fx.FinishAnswer) -> dict[str, Any]:
    """Returns the body of an answer that is not streamed."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
    if ask.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': name,
        'object': 'chat.completion' if ask.chat else 'text_completion',
        'created': int(time.time()),
        'model': ask.model,
        'choices': [choice],
        'usage': usage(end),
    }
