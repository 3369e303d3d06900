"""Decodes what KV cache stores say of their contents."""

from typing import Any

from plantainridge.gateway.events import StoreChanged, StoreListed, StoredPart
from plantainridge.ids import ServiceId
from plantainridge.platform.fields import InvalidField, get, get_list, get_or


def decode_listing(store: ServiceId, data: Any) -> StoreListed:
    """Decodes a whole listing.

    Raises:
        InvalidField: A field is missing or of another type.
    """
    kept = {}
    for row in get_list(data, 'held'):
        salt, part, tokens, _ = _row(row, 4)
        kept[StoredPart(salt, part)] = int(tokens)
    partial = {}
    for row in get_list(data, 'partial'):
        salt, part, _, reserved = _row(row, 4)
        partial[StoredPart(salt, part)] = int(reserved)
    return StoreListed(store, get(data, 'epoch', int), get(data, 'next', int),
                       kept, partial)


def decode_changes(store: ServiceId, data: Any) -> StoreChanged:
    """Decodes events; their `tokens` are those that are stored after each.

    Raises:
        InvalidField: A field is missing or of another type.
    """
    changes = []
    for row in get_list(data, 'events'):
        _, sign, salt, part, tokens, _ = _row(row, 6)
        left = int(tokens) if sign == '+' else 0
        changes.append((StoredPart(salt, part), left))
    return StoreChanged(store, get(data, 'epoch', int), get(data, 'next', int),
                        get_or(data, 'lost', False), tuple(changes),
                        get_or(data, 'clock_ms', 0.0))


def _row(row: Any, length: int) -> list[Any]:
    if not isinstance(row, list) or len(row) < length:
        raise InvalidField('row', f'a list of {length}')
    return row[:length]
