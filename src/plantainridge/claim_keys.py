"""Idempotency keys that carry the time of their making.

Records of the log expire. A key without a time could be sent again after its
records are gone and would run a second time, so that only keys are taken
whose age can be told: `<unix seconds>-<anything>` or a UUID of version 7.
"""

import re
import uuid
from typing import Final

import attrs

MAX_KEY_CHARS: Final = 128

_UUID: Final = re.compile(r'[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}')
_STAMPED: Final = re.compile(r'(\d{1,11})-[A-Za-z0-9._~:-]+')
_UUID_VERSION: Final = 7
_UUID_TIME_SHIFT: Final = 80
_MS_PER_S: Final = 1_000.0


@attrs.frozen
class KeyFault:
    """Says why a key is not taken."""

    detail: str


def made_at(key: str) -> float | KeyFault:
    """Returns when a key was made by its own word, in s since the epoch."""
    if len(key) > MAX_KEY_CHARS:
        return KeyFault(f'the key is longer than {MAX_KEY_CHARS} characters')
    if _UUID.fullmatch(key):
        number = uuid.UUID(key)
        if number.version != _UUID_VERSION:
            return KeyFault('a UUID must be of version 7, which holds a time')
        return (number.int >> _UUID_TIME_SHIFT) / _MS_PER_S
    match = _STAMPED.fullmatch(key)
    if match is None:
        return KeyFault('the key must be <unix seconds>-<letters, digits or '
                        '._~:-> or a UUID of version 7')
    return float(match.group(1))


def new_key(at: float, unique: int) -> str:
    """Returns a key made at a time, in s since the epoch."""
    return f'{int(at)}-{unique:016x}'
