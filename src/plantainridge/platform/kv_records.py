"""Decoder of the listings and events of KV cache stores."""

from typing import Any

from plantainridge.gateway.events import StoreChanged, StoredPart, StoreListed
from plantainridge.ids import ServiceId
from plantainridge.platform.fields import InvalidField, get, get_list, get_or


def decode_listing(store: ServiceId, data: Any) -> StoreListed:
    """Decode the listing of a store.

    Raises:
        InvalidField: A field is missing or has the wrong type.
    """
    complete = {}
    for row in get_list(data, 'held'):
        salt, part, tokens, _ = _check_row(row, 4)
        complete[StoredPart(salt, part)] = int(tokens)
    partial = {}
    for row in get_list(data, 'partial'):
        salt, part, _, reserved = _check_row(row, 4)
        partial[StoredPart(salt, part)] = int(reserved)
    return StoreListed(store, get(data, 'epoch', int), get(data, 'next', int),
                       complete, partial)


def decode_changes(store: ServiceId, data: Any) -> StoreChanged:
    """Decode the events of a store.

    Each event becomes a part with the tokens that are stored after it; 0 for a
    part that was removed.

    Raises:
        InvalidField: A field is missing or has the wrong type.
    """
    parts = []
    for row in get_list(data, 'events'):
        _, sign, salt, part, tokens, _ = _check_row(row, 6)
        stored_tokens = int(tokens) if sign == '+' else 0
        parts.append((StoredPart(salt, part), stored_tokens))
    return StoreChanged(store, get(data, 'epoch', int), get(data, 'next', int),
                        get_or(data, 'lost', False), tuple(parts),
                        get_or(data, 'clock_ms', 0.0))


def _check_row(row: Any, length: int) -> list[Any]:
    if not isinstance(row, list) or len(row) < length:
        raise InvalidField('row', f'a list of at least {length}')
    return row[:length]
