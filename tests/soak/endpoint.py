"""Endpoint process that reports its runs on standard output, in JSON lines."""

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

# Time that a service without models takes for a request.
SERVICE_TIME_S: Final = 0.05
# Ratio of answers that belong to the previous request: a crossed answer.
CROSSED_ANSWER_RATIO: Final = 0.01


def expected_body(attempt: str, target: str) -> bytes:
    """Return the answer of a service without models to an attempt."""
    digest = hashlib.sha256(f'{attempt}/{target}'.encode()).hexdigest()
    return digest.encode() * 20


def expected_event(target: str, number: int) -> bytes:
    """Return one event of the stream for a target."""
    digest = hashlib.sha256(f'{target}/{number}'.encode()).hexdigest()
    return f'id: {number}\ndata: {digest}\n\n'.encode()


def _write_line(line: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(line) + '\n')
    sys.stdout.flush()


class ReportingEndpoint(StandinEndpoint):
    """An endpoint with predictable answers that reports its runs and orders.

    Without models, it sometimes sends the answer of the previous request.

    Attributes:
        previous: Attempt id and target of the previous request.
        rng: Source of randomness.
        stated_rate: Rate that its answers state, or ''.
    """

    previous = ('', '')
    stated_rate = ''
    rng = random.Random(1)

    async def _serve(self, request: Request) -> Response:
        # A silent endpoint runs a request later than it receives it.
        request.state.received_at = time.time()
        return await super()._serve(request)

    def report_run(self, attempt: str, request: Request) -> None:
        """Report a run that begins."""
        fields = request.headers
        _write_line({
            'attempt': attempt,
            'endpoint': self.name,
            'at': request.state.received_at,
            'target': request.url.path,
            'team': fields.get(names.TEAM.decode(), ''),
            'salt': fields.get(names.CACHE_SALT.decode(), ''),
            'version': self.version,
        })

    async def run(self, attempt: str, request: Request,
                  response_headers: dict[str, str]) -> Response:
        self.report_run(attempt, request)
        target = request.url.path
        if self.stated_rate:
            response_headers[names.STATED_RATE.decode()] = self.stated_rate
        if not self.version:
            await asyncio.sleep(SERVICE_TIME_S)
            await self.wait_while_silent()
            answered_request = (attempt, target)
            if self.previous[0] and self.rng.random() < CROSSED_ANSWER_RATIO:
                answered_request = self.previous
            self.previous = (attempt, target)
            response_headers[names.ATTEMPT_ID.decode()] = answered_request[0]
            return Response(expected_body(*answered_request),
                            headers=response_headers)
        start = int(request.headers.get(names.LAST_EVENT_ID.decode(), 0))
        return StreamingResponse(self.stream(start, target),
                                 headers=response_headers,
                                 media_type='text/event-stream')

    def on_order(self, order: dict[str, Any]) -> None:
        _write_line({
            'ordered': order['version'],
            'holder': order['holder'],
            'fence': order['fencing-token'],
        })

    def event(self, number: int, target: str) -> bytes:
        return expected_event(target, number)


async def _read_commands(endpoint: ReportingEndpoint) -> None:
    """Execute the commands on standard input.

    A line with a number makes the endpoint fall silent for this time, in s;
    `rate` and a text make it state this rate from then on, or none.
    """
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        command, _, rate = line.decode().strip().partition(' ')
        if command == 'rate':
            endpoint.stated_rate = rate
        else:
            endpoint.fall_silent(float(command))


async def _main(name: str, service: str, version: int, events: int) -> None:
    endpoint = ReportingEndpoint(name, service, version)
    endpoint.event_count = events
    await endpoint.server.start()
    _write_line({'address': endpoint.server.address})
    await _read_commands(endpoint)


if __name__ == '__main__':
    asyncio.run(
        _main(sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])))
