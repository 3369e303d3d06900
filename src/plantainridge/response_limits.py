"""Limits on the responses that the HTTP client reads into memory."""

import asyncio
import contextlib
from typing import Any, Final

from aiosonic.connection import Connection

from plantainridge import json_values

# Longest head, or sequence of lines between two parts of a body, in bytes.
MAX_HEAD_BYTES: Final = 64 * 1_024
# Longest response that is not a stream, and longest chunk of any, in bytes.
MAX_RESPONSE_BYTES: Final = 8 * 1_024 * 1_024
# Longest time until the end of a body whose head has arrived, in s.
BODY_TIMEOUT_S: Final = 120.0


class ResponseTooLong(ValueError):
    """A response exceeds a limit on its size."""


class BoundedConnection(Connection):  # type: ignore[misc]
    """A connection on which heads and single reads are bounded.

    The library takes the end of a connection within a head for the end of the
    head; here it is an error.

    It is not reused after a response without length or chunks, the bytes of
    which the library would take for those of the next response.

    Attributes:
        line_bytes: Bytes of lines since the request or the last part of a body.
        has_length: Whether a body of a stated length was read.
    """

    line_bytes = 0
    has_length = False

    async def connect(self, *args: Any, **kwargs: Any) -> None:
        self.line_bytes = 0
        self.has_length = False
        await super().connect(*args, **kwargs)

    def keep_alive(self) -> None:
        # The library blocks a connection whose body it reads later.
        self.keep = self.blocked or self.has_length

    async def readline(self) -> bytes:
        line: bytes = await super().readline()
        if not line.endswith(b'\n'):
            self.keep = False
            self.close()
            raise asyncio.IncompleteReadError(line, None)
        self.line_bytes += len(line)
        if self.line_bytes > MAX_HEAD_BYTES:
            raise ResponseTooLong(f'a head exceeds {MAX_HEAD_BYTES} bytes')
        return line

    async def readexactly(self, size: int) -> bytes:
        if size > MAX_RESPONSE_BYTES:
            raise ResponseTooLong(f'a part of {size} bytes exceeds '
                                  f'{MAX_RESPONSE_BYTES} bytes')
        self.line_bytes = 0
        self.has_length = True
        data: bytes = await super().readexactly(size)
        return data


async def read_body(response: Any) -> bytes:
    """Read the body of a response.

    Args:
        response: The client's response, its body not read yet.

    Raises:
        ResponseTooLong: It exceeds `MAX_RESPONSE_BYTES`.
        TimeoutError: It does not end in time.
    """
    body = bytearray()
    async with (asyncio.timeout(BODY_TIMEOUT_S),
                contextlib.aclosing(response.iter_bytes()) as parts):
        async for part in parts:
            body += part
            if len(body) > MAX_RESPONSE_BYTES:
                raise ResponseTooLong(
                    f'a body exceeds {MAX_RESPONSE_BYTES} bytes')
    return bytes(body)


async def read_json(response: Any) -> Any:
    """Read and decode a JSON body; raises as `read_body`, and `ValueError`."""
    return json_values.decode(await read_body(response))
