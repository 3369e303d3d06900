"""Many clients send bodies within the operator's limit at once.

One gateway and three workers of a plain service. Clients with slow links keep
their connections and send bodies a little shorter than `max-body-bytes`. For
three seconds 1.7 times as many come.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

# pylint: disable=wrong-import-position
from engines import clock_ms
from standins import (RNG, SUBNET, TROUBLE, Gateway, Platform, Record, Request,
                      Server, exchange, read_head, reset, run_case)

# pylint: enable=wrong-import-position

FOLDER = pathlib.Path(__file__).resolve().parent
# The memory of the machine, `memory-mb` in the settings.
MEMORY_MB = 300
MAX_BODY_BYTES = 4_194_304
BODY_BYTES, UPLOAD_S, STEPS = 4_100_000, 8.0, 80
RATE, BURST, BURST_S = 8.5, 1.7, 3.0
BURST_AT_S, TOTAL_S = 14.0, 32.0
SERVICE_S = 1.0
RESTART_S = 0.5
MAX_LOST = 3


class Traffic:
    """The clients, and what became of their requests.

    Attributes:
        reached: Requests that workers read completely.
        lost: Requests on kept connections that were passed on to a worker and
            whose connections closed without an answer.
    """

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self.record, self.gateway = record, gateway
        self.reached: set[str] = set()
        self.lost: list[str] = []
        self.counts: dict[str, int] = {}

    async def serve(self, request: Request) -> tuple:
        attempt = request.headers.get('x-attempt-id', '')
        self.reached.add(attempt)
        await asyncio.sleep(SERVICE_S if request.body else 0.02)
        return 200, {
            'X-Attempt-Id': attempt,
            'X-Response-Seal': 'i.1',
            'X-Server-Load': '1,0,64'
        }, b'done'

    async def client(self) -> None:
        """Look something up, then send a long body on the same connection."""
        attempt = f'{RNG.getrandbits(64):016x}'
        outcome, is_kept, writer = 'no connection', False, None
        try:
            reader, writer = await asyncio.open_connection(
                self.gateway.host, 8749)
            first = await exchange(reader, writer, 'GET', '/view/x',
                                   _headers(f'v{attempt}', 3_000), b'')
            is_kept = first.status == 200
            lines = ['POST /submit/x HTTP/1.1']
            lines += [
                f'{key}: {value}'
                for key, value in _headers(attempt, 15_000).items()
            ]
            lines.append(f'Content-Length: {BODY_BYTES}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
            step = bytes(BODY_BYTES // STEPS)
            for _ in range(STEPS):
                writer.write(step)
                await writer.drain()
                await asyncio.sleep(UPLOAD_S / STEPS)
            head, _ = await read_head(reader)
            outcome = head.split(' ')[1]
        except (OSError, asyncio.IncompleteReadError) as error:
            outcome = f'closed, no answer: {type(error).__name__}'
            if is_kept and attempt in self.reached:
                self.lost.append(attempt)
        finally:
            if writer is not None:
                reset(writer)
        self.counts[outcome] = self.counts.get(outcome, 0) + 1
        self.record.write(f'client: {attempt} {outcome}, kept: {is_kept}, '
                          f'reached a worker: {attempt in self.reached}')


def _headers(attempt: str, deadline_ms: int) -> dict:
    return {
        'Host': 'h.example',
        'X-Attempt-Id': attempt,
        'Authorization': 'Bearer key-a',
        'X-Deadline-Milliseconds': str(deadline_ms)
    }


def _route(name: str, kind: str) -> dict:
    return {
        'name': name,
        'host': 'h.example',
        'path-prefix': f'/{name}/',
        'kind': kind,
        'service': 'ledger',
        'attempts': 1,
        'timeout-ms': 15_000,
        'target-latency-ms': 400,
        'priority': 2
    }


CONFIGURATION = {
    'version': 1,
    'routes': [_route('submit', 'unsafe'),
               _route('view', 'safe')],
    'services': [{
        'name': 'ledger',
        'health-check-path': '/health'
    }],
    'tenants': [{
        'name': 'tenant-a',
        'api-keys': ['key-a']
    }],
    'limits': {
        'max-header-bytes': 16_384,
        'max-body-bytes': MAX_BODY_BYTES,
        'header-timeout-ms': 3_000,
        'idle-timeout-ms': 15_000
    }
}


def memory_mb(pid: int) -> float:
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1_024
    return 0.0


async def watch(gateway: Gateway, record: Record) -> None:
    """Kill a process that exceeds its memory, as the platform does."""
    shown_at = 0.0
    while True:
        await asyncio.sleep(0.05)
        process = gateway.process
        assert process is not None
        if process.returncode is not None:
            record.write(f'gateway: ended with {process.returncode}')
            used = 0.0
        else:
            used = memory_mb(process.pid)
        if time.monotonic() - shown_at > 1.0:
            shown_at = time.monotonic()
            record.write(f'gateway: uses {used:.0f} MB')
        if used > MEMORY_MB or process.returncode is not None:
            record.write(f'platform: the gateway uses {used:.0f} MB of '
                         f'{MEMORY_MB} MB and is killed')
            await gateway.kill()
            await asyncio.sleep(RESTART_S)
            await gateway.start()


async def case(record: Record, folder: pathlib.Path) -> None:
    platform = Platform(f'{SUBNET}.9.1')
    await platform.server.start()
    platform.put('keyed.op', 'config', CONFIGURATION)
    gateway = Gateway(folder, 'gateway-1', f'{SUBNET}.1.1', 'z1',
                      platform.server.address)
    traffic = Traffic(record, gateway)
    for at in range(3):
        server = Server(f'{SUBNET}.8.{at + 1}', traffic.serve)
        await server.start()
        platform.put(
            'keyed.servers', f'i-{at}', {
                'service': 'ledger',
                'address': server.address,
                'zone': 'z1',
                'version': 'v1',
                'slots': 64,
                'state': 'ready',
                'cold-remaining-ms': 0,
                'sequence': 0,
                'born': clock_ms()
            })
    tasks: set[asyncio.Task] = set()
    try:
        await gateway.start()
        async with asyncio.timeout(20.0):
            while not await gateway.is_ready():
                await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)
        watcher = asyncio.ensure_future(watch(gateway, record))
        started_at = time.monotonic()
        while (elapsed_s := time.monotonic() - started_at) < TOTAL_S:
            is_burst = 0.0 <= elapsed_s - BURST_AT_S < BURST_S
            rate = RATE * (BURST if TROUBLE and is_burst else 1.0)
            task = asyncio.ensure_future(traffic.client())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / rate)
            if len(traffic.lost) > MAX_LOST:
                record.break_rule(
                    f'LOST: {len(traffic.lost)} requests on kept connections '
                    'were passed on to sound workers and got no answer')
                break
        if tasks:
            await asyncio.wait(tasks, timeout=12.0)
        watcher.cancel()
        record.write(f'{traffic.counts}')
    finally:
        await gateway.kill()


if __name__ == '__main__':
    sys.exit(run_case(case, FOLDER))
