"""Reads the platform's membership list over HTTP, again and again."""

import asyncio
from typing import Final

import aiosonic
import cattrs
from aiosonic import exceptions as http_errors
from cattrs.preconf.json import make_converter

from plantainridge.events import MembersListed
from plantainridge.loop.ports import Post

PERIOD_S: Final = 1.0
STATUS_OK: Final = 200
CONVERTER: Final = make_converter()


async def poll_members(client: aiosonic.HTTPClient, address: str,
                       post: Post) -> None:
    """Posts each changed list until it is cancelled.

    A list that cannot be read changes nothing: the last one stays.
    """
    last: MembersListed | None = None
    while True:
        listed = await _read(client, address)
        if listed is not None and listed != last:
            post(listed)
            last = listed
        await asyncio.sleep(PERIOD_S)


async def _read(client: aiosonic.HTTPClient,
                address: str) -> MembersListed | None:
    try:
        response = await client.get(f'http://{address}/members')
        if response.status_code != STATUS_OK:
            return None
        return CONVERTER.structure(await response.json(), MembersListed)
    except (http_errors.AiosonicError, OSError, ValueError, EOFError,
            cattrs.BaseValidationError):
        return None
