"""Reads typed fields out of decoded JSON."""

from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

T = TypeVar('T')


@attrs.frozen
class InvalidField(Exception):
    """Says which field is missing or of another type."""

    field: str
    expected: str

    def __str__(self) -> str:
        return f'{self.field} is not {self.expected}'


def get(data: Any, field: str, kind: type[T]) -> T:
    """Returns a field of a JSON object.

    Raises:
        InvalidField: It is missing or of another type.
    """
    value = data.get(field) if isinstance(data, Mapping) else None
    # JSON has one kind of number, Python's bool is an int.
    if isinstance(value, bool) and kind is not bool:
        raise InvalidField(field, kind.__name__)
    if kind is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, kind):
        raise InvalidField(field, kind.__name__)
    return value


def get_or(data: Any, field: str, default: T) -> T:
    """Returns a field of a JSON object, or a default if it is absent.

    Raises:
        InvalidField: It is of another type.
    """
    if isinstance(data, Mapping) and data.get(field) is None:
        return default
    return get(data, field, type(default))


def get_list(data: Any, field: str) -> list[Any]:
    """Returns a list field of a JSON object; an absent one is empty.

    Raises:
        InvalidField: It is no list.
    """
    if isinstance(data, Mapping) and data.get(field) is None:
        return []
    return get(data, field, list)
