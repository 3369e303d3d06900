"""Typed access to the fields of decoded JSON."""

from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

T = TypeVar('T')


@attrs.frozen
class InvalidField(Exception):
    """A field that is missing or not valid.

    Attributes:
        field: The field's name.
        expected: A description of the allowed values.
    """

    field: str
    expected: str

    def __str__(self) -> str:
        return f'{self.field} must be {self.expected}'


def get(data: Any, field: str, expected_type: type[T]) -> T:
    """Return a field of a JSON object.

    Raises:
        InvalidField: The field is missing or has the wrong type.
    """
    value = data.get(field) if isinstance(data, Mapping) else None
    # In JSON a float may be written as an integer; in Python a bool is an int.
    if isinstance(value, bool) and expected_type is not bool:
        raise InvalidField(field, expected_type.__name__)
    if expected_type is float and isinstance(value, int):
        try:
            value = float(value)
        except OverflowError:
            raise InvalidField(field, 'a smaller number') from None
    if not isinstance(value, expected_type):
        raise InvalidField(field, expected_type.__name__)
    return value


def get_or(data: Any, field: str, default: T) -> T:
    """Return a field of a JSON object, or a default if it is absent or null.

    Raises:
        InvalidField: The field has another type than the default.
    """
    if isinstance(data, Mapping) and data.get(field) is None:
        return default
    return get(data, field, type(default))


def get_in_range(data: Any,
                 field: str,
                 limit: int,
                 default: int | None = None) -> int:
    """Return a whole number from 0 to a limit.

    Args:
        data: The JSON object.
        field: The field's name.
        limit: The largest number that is valid.
        default: Returned if the field is absent; None if it may not be.

    Raises:
        InvalidField: The field is no whole number, or out of range.
    """
    value = (get(data, field, int) if default is None else get_or(
        data, field, default))
    if not 0 <= value <= limit:
        raise InvalidField(field, f'from 0 to {limit}')
    return value


def get_list(data: Any, field: str) -> list[Any]:
    """Return a list field of a JSON object; return [] if it is absent or null.

    Raises:
        InvalidField: The field is not a list.
    """
    if isinstance(data, Mapping) and data.get(field) is None:
        return []
    return get(data, field, list)
