"""Splitting of server-sent event streams into complete events."""

import re
from typing import Final

import attrs

# Longest event, in bytes, with the blank line that ends it.
MAX_EVENT_BYTES: Final = 1_024 * 1_024
# Longest id of an event, in bytes: the latest one is kept for each stream.
MAX_ID_BYTES: Final = 8 * 1_024
# What ends an event.
_BLANK_LINES: Final = (b'\r\n\r\n', b'\n\n', b'\r\r')
# Length of the longest of them, in bytes.
_MAX_END_BYTES: Final = 4
_EVENT_END: Final = re.compile(b'|'.join(_BLANK_LINES))
# The end of a line and the start of one that is neither empty nor a comment.
_FIELD: Final = re.compile(rb'[\r\n][^:\r\n]')
# The end of a line and an id; the first one is for lines that end with LF only.
_ID_FIELD: Final = re.compile(rb'\nid: ?([^\n]*)')
_ID_FIELD_AFTER_CR: Final = re.compile(rb'[\r\n]id: ?([^\r\n]*)')


@attrs.frozen
class StreamEvents:
    """Complete events, in order.

    Attributes:
        data: Their bytes, with the blank line that ends each.
        first_id: Id of the first event that has one, or ''.
        last_id: Id of the last event that has one, or ''.
        has_event: Whether there is any beside comments, which endpoints may
            send without end.
    """

    data: bytes = attrs.field(repr=False)
    first_id: str
    last_id: str
    has_event: bool


@attrs.define
class EventSplitter:
    """Buffer that splits the bytes of a stream into complete events.

    Attributes:
        after_id: Events up to this numeric id are dropped; '' drops none.
        incomplete: Bytes of an event that is not complete yet.
        is_too_long: Whether an event exceeds `MAX_EVENT_BYTES`, or its id
            `MAX_ID_BYTES`; such an id is not returned.
    """

    after_id: str = ''
    incomplete: bytearray = attrs.field(factory=bytearray)
    is_too_long: bool = False

    def feed(self, data: bytes) -> StreamEvents | None:
        """Add bytes; return the events that they complete, or None."""
        # Only the end of what is there already may be part of a blank line.
        unread = max(0, len(self.incomplete) - _MAX_END_BYTES + 1)
        self.incomplete += data
        end = max(
            _end_of_last(each, self.incomplete, unread)
            for each in _BLANK_LINES)
        events = bytes(self.incomplete[:end])
        del self.incomplete[:end]
        self.is_too_long = len(self.incomplete) > MAX_EVENT_BYTES
        ids = _find_ids(events)
        if any(len(each) > MAX_ID_BYTES for each in ids):
            self.is_too_long = True
            return None
        if self.after_id and any(
                _is_repeated(each, self.after_id) for each in set(ids)):
            events = self._without_repeated(events)
            ids = _find_ids(events)
        if not events:
            return None
        return StreamEvents(events, ids[0] if ids else '',
                            ids[-1] if ids else '',
                            _FIELD.search(b'\n' + events) is not None)

    def _without_repeated(self, events: bytes) -> bytes:
        """Return complete events without those that the caller already has."""
        kept: list[bytes] = []
        start = 0
        for delimiter in _EVENT_END.finditer(events):
            event = events[start:delimiter.end()]
            start = delimiter.end()
            if not any(
                    _is_repeated(each, self.after_id)
                    for each in _find_ids(event)):
                kept.append(event)
        return b''.join(kept)


def _end_of_last(text: bytes, data: bytearray, start: int) -> int:
    """Return the end of a text's last occurrence from `start`, or 0."""
    at = data.rfind(text, start)
    return at + len(text) if at >= 0 else 0


def _find_ids(events: bytes) -> list[str]:
    """Return the ids in complete events, in order."""
    field = _ID_FIELD_AFTER_CR if b'\r' in events else _ID_FIELD
    found = field.findall(b'\n' + events)
    return [each.decode('latin-1') for each in found if each]


def _is_repeated(event_id: str, after_id: str) -> bool:
    """Return whether the caller already has an event, by its numeric id."""
    return (event_id.isdecimal() and after_id.isdecimal() and
            _decimal_order(event_id) <= _decimal_order(after_id))


def _decimal_order(digits: str) -> tuple[int, str]:
    """Return a key that orders decimal numbers of any length."""
    significant = digits.lstrip('0')
    return len(significant), significant
