"""Splitting of server-sent event streams into complete events."""

import re
from typing import Final

import attrs

# Longest event, in bytes, with the blank line that ends it.
MAX_EVENT_BYTES: Final = 1_024 * 1_024
# Length of the longest blank line that ends an event, in bytes.
_MAX_END_BYTES: Final = 4
_EVENT_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
# A line that is neither empty nor a comment.
_FIELD: Final = re.compile(rb'(?:^|[\r\n])[^:\r\n]')
_ID_FIELD: Final = re.compile(rb'(?m)^id: ?([^\r\n]*)')


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
        is_too_long: Whether an event exceeds `MAX_EVENT_BYTES`.
    """

    after_id: str = ''
    incomplete: bytearray = attrs.field(factory=bytearray)
    is_too_long: bool = False

    def feed(self, data: bytes) -> StreamEvents | None:
        """Add bytes; return the events that they complete, or None."""
        # Only the end of what is there already may be part of a blank line.
        unread = max(0, len(self.incomplete) - _MAX_END_BYTES + 1)
        self.incomplete += data
        events: list[bytes] = []
        ids: list[str] = []
        start = 0
        for delimiter in _EVENT_END.finditer(self.incomplete, unread):
            event = bytes(self.incomplete[start:delimiter.end()])
            start = delimiter.end()
            match = _ID_FIELD.search(event)
            event_id = match.group(1).decode('latin-1') if match else ''
            if _is_repeated(event_id, self.after_id):
                continue
            events.append(event)
            ids.append(event_id)
        del self.incomplete[:start]
        self.is_too_long = len(self.incomplete) > MAX_EVENT_BYTES
        if not events:
            return None
        known_ids = [event_id for event_id in ids if event_id]
        return StreamEvents(b''.join(events), known_ids[0] if known_ids else '',
                            known_ids[-1] if known_ids else '',
                            any(_FIELD.search(each) for each in events))


def _is_repeated(event_id: str, after_id: str) -> bool:
    """Return whether the caller already has an event, by its numeric id."""
    return (event_id.isdecimal() and after_id.isdecimal() and
            _decimal_order(event_id) <= _decimal_order(after_id))


def _decimal_order(digits: str) -> tuple[int, str]:
    """Return a key that orders decimal numbers of any length."""
    significant = digits.lstrip('0')
    return len(significant), significant
