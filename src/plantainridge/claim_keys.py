"""Idempotency keys that contain their creation time.

Records of the log expire. A key without a time could be sent again after its
records have expired and would run a second time. So only keys with a known age
are accepted: `<unix seconds>-<anything>` or a UUID of version 7.
"""

import re
import uuid
from typing import Final

import attrs

MAX_KEY_CHARS: Final = 128

_UUID: Final = re.compile(r'[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}')
_TIMESTAMPED: Final = re.compile(r'(\d{1,11})-[A-Za-z0-9._~:-]+')
_UUID_VERSION: Final = 7
_UUID_TIME_SHIFT: Final = 80
_MS_PER_S: Final = 1_000.0


@attrs.frozen
class InvalidKey:
    """A key that is not accepted.

    Attributes:
        detail: The reason, as text for the caller.
    """

    detail: str


def creation_time(key: str) -> float | InvalidKey:
    """Return the creation time in a key, in s since the epoch."""
    if len(key) > MAX_KEY_CHARS:
        return InvalidKey(f'the key is longer than {MAX_KEY_CHARS} characters')
    if _UUID.fullmatch(key):
        number = uuid.UUID(key)
        if number.version != _UUID_VERSION:
            return InvalidKey('a UUID must be of version 7, which holds a time')
        return (number.int >> _UUID_TIME_SHIFT) / _MS_PER_S
    match = _TIMESTAMPED.fullmatch(key)
    if match is None:
        return InvalidKey('the key must be <unix seconds>-<letters, digits or '
                          '._~:-> or a UUID of version 7')
    return float(match.group(1))


def new_key(at: float, unique: int) -> str:
    """Return a key created at a time, in s since the epoch."""
    return f'{int(at)}-{unique:016x}'
