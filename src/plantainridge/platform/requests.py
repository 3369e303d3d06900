"""Decoder of callers' requests and of endpoints' answers."""

import math
import re
from typing import Final

from plantainridge import json_values
from plantainridge.gateway.effects import CachePlan, Send
from plantainridge.gateway.endpoints import EndpointLoad
from plantainridge.gateway.events import AnswerHead, Headers, Part, Request
from plantainridge.gateway.runs import StatedRun
from plantainridge.gateway.wire import BadRequest, RawRequest, RequestWire
from plantainridge.ids import ModelId, RequestId
from plantainridge.platform import names
from plantainridge.platform.engines import REPORT_TARGET
from plantainridge.platform.fields import InvalidField
from plantainridge.platform.records import decode_start

MS_PER_S = 1_000.0
STATUS_OK: Final = 200
STATUS_MISDIRECTED: Final = 421
# An endpoint that makes no reports.
STATUS_NOT_FOUND: Final = 404
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
# Statuses that promise callers that a request has not run and never will.
# Endpoints promise it by `X-Not-Executed` alone.
PROMISES: Final = frozenset({408, 429, STATUS_UNAVAILABLE})
# A number of seconds, whole or with a fraction.
_DECIMAL: Final = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')
# Longest text of a whole number in a header: any 64-bit number fits.
MAX_NUMBER_LENGTH: Final = 20
BEARER_PREFIX = 'bearer '
# Numbers that each load report has.
LOAD_FIELDS: Final = 3
# Its fourth number while work takes as long as usual.
USUAL_PERCENT: Final = 100


class PlatformWire(RequestWire):
    """The platform's format of requests and answers."""

    def read_request(self, request_id: RequestId,
                     raw: RawRequest) -> Request | BadRequest:
        fields = {key: value.decode('latin-1') for key, value in raw.headers}
        attempt_id = fields.get(names.ATTEMPT_ID, '')
        if not attempt_id:
            return BadRequest(400, 'the attempt has no id')
        deadline_ms = _parse_int(fields.get(names.DEADLINE))
        prompt_tokens, output_tokens = _parse_usage(
            fields.get(names.TOKEN_USAGE, ''))
        return Request(
            id=request_id,
            attempt_id=attempt_id,
            method=raw.method.decode(),
            host=fields.get(b'host', ''),
            target=raw.target.decode('latin-1'),
            headers=_forwarded_headers(raw.headers),
            body=raw.body,
            key=_parse_key(fields.get(names.AUTHORIZATION)),
            caller_timeout_s=None if deadline_ms is None else deadline_ms /
            MS_PER_S,
            model=ModelId(fields.get(names.MODEL, '')),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            expected_tokens=_parse_int(fields.get(names.LENGTH_HINT)) or 0,
            parts=_parse_parts(fields.get(names.PROMPT_PREFIX, '')),
            last_event_id=fields.get(names.LAST_EVENT_ID, ''),
            resumes=fields.get(names.RESUMES, ''))

    def write_request(self, send: Send, elapsed_s: float) -> RawRequest:
        headers = list(send.request.headers)
        remaining_s = send.remaining_s - elapsed_s
        deadline_ms = max(1, math.floor(remaining_s * MS_PER_S))
        headers.append((names.DEADLINE, str(deadline_ms).encode()))
        headers.append((names.EXPECTED_INSTANCE, send.endpoint.encode()))
        if send.team is not None:
            headers.append((names.TEAM, send.team.encode()))
        if send.last_event_id:
            headers.append((names.LAST_EVENT_ID, send.last_event_id.encode()))
        if send.version is not None:
            headers.append((names.EXPECTED_VERSION, str(send.version).encode()))
        if send.urgency is not None:
            headers.append((names.URGENCY, str(send.urgency).encode()))
        if send.cache is not None:
            headers.extend(_cache_headers(send.cache))
        return RawRequest(send.request.method.encode(),
                          send.request.target.encode('latin-1'), tuple(headers),
                          send.request.body)

    def read_answer_head(self, send: Send, status: int, headers: Headers,
                         now: float) -> AnswerHead | None:
        fields = {key: value.decode('latin-1') for key, value in headers}
        attempts = {
            value.decode('latin-1')
            for key, value in headers
            if key == names.ATTEMPT_ID
        }
        if attempts - {send.request.attempt_id}:
            return None
        pause_s, invalid_pause = _parse_pause(status, headers)
        not_run = names.NOT_RUN in fields or status == STATUS_MISDIRECTED
        if not not_run and status in PROMISES:
            # Forwarded, it would promise the caller that nothing ran. The
            # endpoint's signature holds for its own status only.
            status = STATUS_BAD_GATEWAY
            headers = tuple((key, value)
                            for key, value in headers
                            if key not in (names.RETRY_AFTER, names.SIGNATURE))
        cold_ms = _parse_int(fields.get(names.COLD_REMAINING))
        rate_per_s, invalid_rate = _parse_rate(headers)
        return AnswerHead(
            status=status,
            headers=tuple((key, value)
                          for key, value in _end_to_end_headers(headers)
                          if key not in names.INTERNAL_ANSWER_HEADERS),
            signed=names.SIGNATURE in fields,
            not_run=not_run,
            names_attempt=bool(attempts),
            instance=fields.get(names.INSTANCE, ''),
            load=parse_load(fields.get(names.LOAD, ''), now),
            version=_parse_int(fields.get(names.WEIGHT_VERSION)),
            leaving=fields.get(names.LEAVING) == '1',
            pause_s=pause_s,
            invalid_pause=invalid_pause,
            cold_remaining_s=(None if cold_ms is None else cold_ms / MS_PER_S),
            max_rejections_per_s=_parse_int(fields.get(names.BRITTLE)),
            max_requests_per_s=rate_per_s,
            invalid_rate=invalid_rate)

    def write_run_request(self, send: Send) -> RawRequest:
        return RawRequest(b'GET', REPORT_TARGET.encode(),
                          ((b'host', send.address.encode()),), b'')

    def read_run(self, status: int, headers: Headers, body: bytes) -> StatedRun:
        fields = dict(headers)
        # An answer that names an attempt is a second one to a request.
        if (names.ATTEMPT_ID in fields or
                status not in (STATUS_OK, STATUS_NOT_FOUND)):
            return StatedRun(is_valid=False)
        started_ms = 0
        if status == STATUS_OK:
            try:
                started_ms = decode_start(json_values.decode(body))
            except (InvalidField, ValueError):
                return StatedRun(is_valid=False)
        return StatedRun(True, started_ms)

    def refusal_headers(self, retry_after_s: float | None) -> Headers:
        if retry_after_s is None:
            return ()
        return ((names.RETRY_AFTER, f'{retry_after_s:.2f}'.encode()),)


def _forwarded_headers(headers: Headers) -> Headers:
    """Return a caller's headers without those that the gateway sets."""
    dropped = names.SYSTEM_HEADERS | names.REWRITTEN_HEADERS
    return tuple((key, value)
                 for key, value in _end_to_end_headers(headers)
                 if key not in dropped)


def _end_to_end_headers(headers: Headers) -> Headers:
    """Return headers without the hop-by-hop ones."""
    connection_options = {
        option.strip().lower() for key, value in headers if key == b'connection'
        for option in value.split(b',')
    }
    dropped = names.CONNECTION_HEADERS | connection_options
    return tuple((key, value) for key, value in headers if key not in dropped)


def _parse_key(header: str | None) -> str | None:
    if header is None or not header.lower().startswith(BEARER_PREFIX):
        return None
    return header[len(BEARER_PREFIX):].strip()


def _parse_int(text: str | None) -> int | None:
    """Return a decimal number of digits only, or None for other text."""
    if text is None or not text.strip().isdecimal():
        return None
    return int(text) if len(text) <= MAX_NUMBER_LENGTH else None


def _parse_usage(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(',')
    return _parse_int(prompt) or 0, _parse_int(output) or 0


def _parse_parts(text: str) -> tuple[Part, ...]:
    parts = []
    for entry in filter(None, (each.strip() for each in text.split(','))):
        name, _, tokens = entry.partition(':')
        parts.append(Part(name, _parse_int(tokens) or 0))
    return tuple(parts)


def _parse_pause(status: int, headers: Headers) -> tuple[float | None, str]:
    """Return for how long an endpoint wants no requests.

    Only an answer with 503 states it. The longest of several readable times
    counts. A date, a negative or an empty one is not readable: the answer is
    then like one without.

    Returns:
        The time in s or None, and what was stated if it is not readable.
    """
    if status != STATUS_UNAVAILABLE:
        return None, ''
    texts = [
        value.decode('latin-1').strip()
        for key, value in headers
        if key == names.RETRY_AFTER
    ]
    seconds = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
    if seconds:
        return max(seconds), ''
    return None, (', '.join(texts) or 'empty') if texts else ''


def _parse_rate(headers: Headers) -> tuple[float | None, str]:
    """Return how many requests a second an endpoint takes from all VMs.

    The lowest of several readable rates counts.

    Returns:
        The rate or None, and what was stated if none of it is readable.
    """
    texts = [
        value.decode('latin-1').strip()
        for key, value in headers
        if key == names.STATED_RATE
    ]
    rates = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
    if rates:
        return min(rates), ''
    return None, (', '.join(texts) or 'empty') if texts else ''


def parse_load(text: str, now: float) -> EndpointLoad | None:
    """Return a load report, or None if the text is none.

    A fourth number is read on its own: one that cannot be read leaves the
    other three valid.
    """
    fields = text.split(',')
    numbers = [_parse_int(each) for each in fields[:LOAD_FIELDS]]
    if len(fields) not in (LOAD_FIELDS, LOAD_FIELDS + 1) or None in numbers:
        return None
    running, waiting, slots = (each or 0 for each in numbers)
    percent = _parse_int(fields[-1]) if len(fields) > LOAD_FIELDS else None
    slowdown = percent / USUAL_PERCENT if percent else None
    return EndpointLoad(running, waiting, slots, now, slowdown)


def _cache_headers(plan: CachePlan) -> Headers:
    headers = [(names.CACHE_SALT, plan.salt.encode())]
    if any(plan.fetch_from):
        headers.append((names.CACHE_FETCH, _join_addresses(plan.fetch_from)))
        if plan.fetch_until_ms:
            headers.append(
                (names.CACHE_UNTIL, str(plan.fetch_until_ms).encode()))
    if any(plan.save_to):
        headers.append((names.CACHE_SAVE, _join_addresses(plan.save_to)))
    return tuple(headers)


def _join_addresses(parts: tuple[str, ...]) -> bytes:
    return ','.join(each or '-' for each in parts).encode()
