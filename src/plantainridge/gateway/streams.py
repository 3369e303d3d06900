"""Splitting of server-sent event streams into complete events."""

import re
from typing import Final

import attrs

_EVENT_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_FIELD: Final = re.compile(rb'(?m)^id: ?([^\r\n]*)')


@attrs.frozen
class StreamEvents:
    """Complete events, in order.

    Attributes:
        data: Their bytes, with the blank line that ends each.
        first_id: Id of the first event that has one, or ''.
        last_id: Id of the last event that has one, or ''.
    """

    data: bytes = attrs.field(repr=False)
    first_id: str
    last_id: str


@attrs.define
class EventSplitter:
    """Buffer that splits the bytes of a stream into complete events.

    Attributes:
        after_id: Events up to this numeric id are dropped; '' drops none.
        incomplete: Bytes of an event that is not complete yet.
    """

    after_id: str = ''
    incomplete: bytes = b''

    def feed(self, data: bytes) -> StreamEvents | None:
        """Add bytes; return the events that they complete, or None."""
        self.incomplete += data
        events: list[bytes] = []
        ids: list[str] = []
        start = 0
        for delimiter in _EVENT_END.finditer(self.incomplete):
            event = self.incomplete[start:delimiter.end()]
            start = delimiter.end()
            match = _ID_FIELD.search(event)
            event_id = match.group(1).decode('latin-1') if match else ''
            if _is_repeated(event_id, self.after_id):
                continue
            events.append(event)
            ids.append(event_id)
        self.incomplete = self.incomplete[start:]
        if not events:
            return None
        known_ids = [event_id for event_id in ids if event_id]
        return StreamEvents(b''.join(events), known_ids[0] if known_ids else '',
                            known_ids[-1] if known_ids else '')


def _is_repeated(event_id: str, after_id: str) -> bool:
    """Return whether the caller already has an event, by its numeric id."""
    return (event_id.isdecimal() and after_id.isdecimal() and
            int(event_id) <= int(after_id))
