"""Poller of the platform's membership list over HTTP."""

import asyncio
from typing import Final

import aiosonic
import cattrs
from aiosonic import exceptions as http_errors
from cattrs.preconf.json import make_converter

from plantainridge.events import MembersListed
from plantainridge.loop.ports import Post
from plantainridge.response_limits import read_json

POLL_INTERVAL_S: Final = 1.0
STATUS_OK: Final = 200
CONVERTER: Final = make_converter()


async def poll_members(client: aiosonic.HTTPClient, address: str,
                       post: Post) -> None:
    """Post the list whenever it has changed, until the task is cancelled.

    If a list cannot be read, the last one stays in force.

    Args:
        client: Client for the requests.
        address: Address of the platform, host and port.
        post: Receives a `MembersListed` event for each changed list.
    """
    last: MembersListed | None = None
    while True:
        listed = await _fetch(client, address)
        if listed is not None and listed != last:
            post(listed)
            last = listed
        await asyncio.sleep(POLL_INTERVAL_S)


async def _fetch(client: aiosonic.HTTPClient,
                 address: str) -> MembersListed | None:
    try:
        response = await client.get(f'http://{address}/members')
        if response.status_code != STATUS_OK:
            return None
        return CONVERTER.structure(await read_json(response), MembersListed)
    except (http_errors.AiosonicError, OSError, ValueError, EOFError, TypeError,
            cattrs.BaseValidationError):
        return None
