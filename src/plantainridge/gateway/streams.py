"""Cuts a stream's bytes into whole events."""

import re
from typing import Final

import attrs

_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID: Final = re.compile(rb'(?m)^id: ?([^\r\n]*)')


@attrs.frozen
class Pieces:
    """Whole events, in order.

    Attributes:
        first_id: Id of the first of them, or ''.
        last_id: Id of the last of them, or ''.
    """

    data: bytes = attrs.field(repr=False)
    first_id: str
    last_id: str


@attrs.define
class EventSplitter:
    """Collects bytes until an event is whole.

    Attributes:
        after_id: Events up to this numeric id are left out.
        rest: Bytes of an event that is not whole yet.
    """

    after_id: str = ''
    rest: bytes = b''

    def feed(self, data: bytes) -> Pieces | None:
        """Takes bytes in; returns the events that are whole now."""
        self.rest += data
        kept: list[bytes] = []
        ids: list[str] = []
        start = 0
        for end in _END.finditer(self.rest):
            event = self.rest[start:end.end()]
            start = end.end()
            found = _ID.search(event)
            name = found.group(1).decode('latin-1') if found else ''
            if _repeats(name, self.after_id):
                continue
            kept.append(event)
            ids.append(name)
        self.rest = self.rest[start:]
        if not kept:
            return None
        named = [name for name in ids if name]
        return Pieces(b''.join(kept), named[0] if named else '',
                      named[-1] if named else '')


def _repeats(name: str, after: str) -> bool:
    """Whether an event's number is not beyond one that was passed on."""
    return (name.isdecimal() and after.isdecimal() and int(name) <= int(after))
