"""Decoding of JSON that others wrote."""

import json
from typing import Any


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
