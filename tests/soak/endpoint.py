"""One endpoint as a process; tells on standard output what it runs."""

import asyncio
import hashlib
import json
import random
import sys
import time
from typing import Any, Final

from starlette.requests import Request
from starlette.responses import Response, StreamingResponse

from plantainridge.platform import names
from plantainridge.standins.platform_site import StandinEndpoint

# How long a plain service takes for a request, in s.
WORK_S: Final = 0.05
# Part of the answers that are those of the request before.
CROSSED_PART: Final = 0.01


def expected_body(attempt: str, subject: str) -> bytes:
    """Returns what a plain service answers an attempt with."""
    digest = hashlib.sha256(f'{attempt}/{subject}'.encode()).hexdigest()
    return digest.encode() * 20


def expected_event(subject: str, number: int) -> bytes:
    """Returns an event of the stream for a subject."""
    digest = hashlib.sha256(f'{subject}/{number}'.encode()).hexdigest()
    return f'id: {number}\ndata: {digest}\n\n'.encode()


def _tell(line: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(line) + '\n')
    sys.stdout.flush()


class TellingEndpoint(StandinEndpoint):
    """An endpoint whose answers can be foretold, and that tells its runs.

    Now and then a plain one gives the answer of the request before.

    Attributes:
        before: Attempt id and subject of that request.
    """

    before = ('', '')
    rng = random.Random(1)

    def tell_run(self, attempt: str, request: Request) -> None:
        """Writes a line on the run that begins."""
        fields = request.headers
        _tell({
            'attempt': attempt,
            'endpoint': self.name,
            'at': time.time(),
            'target': request.url.path,
            'team': fields.get(names.TEAM.decode(), ''),
            'salt': fields.get(names.CACHE_SALT.decode(), ''),
            'version': self.version,
        })

    async def run(self, attempt: str, request: Request,
                  echo: dict[str, str]) -> Response:
        self.tell_run(attempt, request)
        subject = request.url.path
        if not self.version:
            await asyncio.sleep(WORK_S)
            answered = (attempt, subject)
            if self.before[0] and self.rng.random() < CROSSED_PART:
                answered = self.before
            self.before = (attempt, subject)
            echo[names.ATTEMPT_ID.decode()] = answered[0]
            return Response(expected_body(*answered), headers=echo)
        start = int(request.headers.get(names.LAST_EVENT_ID.decode(), 0))
        return StreamingResponse(self.stream(start, subject),
                                 headers=echo,
                                 media_type='text/event-stream')

    def on_order(self, order: dict[str, Any]) -> None:
        _tell({
            'ordered': order['version'],
            'holder': order['holder'],
            'fence': order['fencing-token'],
        })

    def event(self, number: int, subject: str) -> bytes:
        return expected_event(subject, number)


async def _main(name: str, service: str, version: int, events: int) -> None:
    endpoint = TellingEndpoint(name, service, version)
    endpoint.events = events
    await endpoint.server.start()
    _tell({'address': endpoint.server.address})
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(
        _main(sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])))
