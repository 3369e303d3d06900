"""Decoding of JSON that others wrote."""

import json
from typing import Any, Final

# Bytes that each begin a value of an array or an object, or follow one.
_SEPARATORS: Final = (b',', b'[', b'{')


def decode_limited(data: bytes | bytearray, max_values: int) -> Any:
    """Decode JSON that takes a limited amount of memory.

    A decoded value may take many times the memory of its text.

    Args:
        data: The text in UTF-8.
        max_values: Largest number of values; commas and brackets in texts count
            as well.

    Raises:
        ValueError: It is not JSON, is nested too deeply or has too many values.
    """
    if sum(data.count(each) for each in _SEPARATORS) > max_values:
        raise ValueError(f'the JSON has more than {max_values} values')
    return decode(data)


def decode(data: str | bytes | bytearray) -> Any:
    """Decode JSON.

    Args:
        data: The text, or its bytes in an encoding of Unicode.

    Raises:
        ValueError: It is not JSON, or is nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError:
        raise ValueError('the JSON is nested too deeply') from None
