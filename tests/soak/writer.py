"""Process of an engine whose streams take seconds and state its build.

`python -m tests.soak.writer NAME` waits for the build on standard input, and
starts with it. Thus a run can follow another one at once, although a process
takes long to load its modules.
"""

import asyncio
import json
import random
import sys
import time
from collections.abc import AsyncIterator
from typing import Any, Final

from starlette.requests import Request
from starlette.responses import Response

from plantainridge.platform import names
from plantainridge.standins.platform_site import StandinEndpoint
from tests.soak.checks import DRAFT_EVENT_COUNT

WRITERS: Final = 'writers'
WRITERS_MODEL: Final = 'w'
DRAFT_EVENT_INTERVAL_S: Final = 0.1
# Ratio of events that are written in two parts.
SPLIT_RATIO: Final = 0.3
SPLIT_PAUSE_S: Final = 0.02


class Writer(StandinEndpoint):
    """An engine that logs its runs, and often writes events in two parts."""

    def entry(self, state: str = names.STATE_READY) -> dict[str, Any]:
        models = [{'name': WRITERS_MODEL, 'version': self.version}]
        return {**super().entry(state), 'models': models}

    async def run(self, attempt: str, request: Request,
                  response_headers: dict[str, str]) -> Response:
        after = request.headers.get(names.LAST_EVENT_ID.decode(), 0)
        print(
            f'{time.time():.3f} {self.name} {self.build} runs {attempt} '
            f'after {after}',
            file=sys.stderr,
            flush=True)
        return await super().run(attempt, request, response_headers)

    async def stream(self, start: int, target: str) -> AsyncIterator[bytes]:
        for number in range(start + 1, DRAFT_EVENT_COUNT + 1):
            data = self.event(number, target)
            split_at = len(data)
            if random.random() < SPLIT_RATIO:
                split_at = random.randrange(1, len(data))
            yield data[:split_at]
            if split_at < len(data):
                await asyncio.sleep(SPLIT_PAUSE_S)
                yield data[split_at:]
            await asyncio.sleep(DRAFT_EVENT_INTERVAL_S)


async def _main(name: str) -> None:
    print('loaded', flush=True)
    build = sys.stdin.readline().strip()
    if not build:
        return
    writer = Writer(name, WRITERS, version=1, build=build)
    await writer.server.start()
    print(json.dumps(writer.entry()), flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_main(sys.argv[1]))
