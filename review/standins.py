"""Stand-ins for the cases: the platform's log, model workers, cache stores.

They follow the users' pages and use the standard library only. Each case runs
them in its own process; the gateways are processes of their own.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
RESET = struct.pack('ii', 1, 0)
# One subnet of loopback addresses for each run of a case.
SUBNET = f'127.{20 + os.getpid() % 200}'


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.started_at = time.time()
        self.broken: list[str] = []

    def write(self, text: str) -> None:
        at = time.time() - self.started_at
        self.file.write(f'{at:8.3f} {text}\n')
        self.file.flush()

    def break_rule(self, text: str) -> None:
        self.broken.append(text)
        self.write(f'RULE BROKEN: {text}')


class Request:
    """One request that a server has read."""

    def __init__(self, method: str, target: str, headers: dict[str, str],
                 body: bytes, writer: asyncio.StreamWriter) -> None:
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body
        self.writer = writer

    def json(self) -> dict:
        return json.loads(self.body or b'{}')


class Server:
    """A server of HTTP/1.1 with one handler for all requests.

    Attributes:
        serve: Returns status, headers and body, or None if it has written the
            answer itself; a `ConnectionResetError` resets the connection.
    """

    def __init__(self, host: str, serve: Callable[[Request],
                                                  Awaitable]) -> None:
        self.host = host
        self.port = 0
        self.serve = serve
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self._run, self.host,
                                                   self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """End as a process that crashes: all its connections are reset."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def _run(self, reader: asyncio.StreamReader,
                   writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader, writer)
                if request is None:
                    break
                answer = await self._serve(request, reader)
                if answer is False:
                    break
                if answer is not None:
                    write_answer(writer, *answer)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            reset(writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve(self, request: Request, reader: asyncio.StreamReader):
        """Serve a request; stop if its connection ends meanwhile."""
        work = asyncio.ensure_future(self.serve(request))
        gone = asyncio.ensure_future(_wait_end(reader))
        await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if work.done():
            return work.result()
        work.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await work
        return False


async def _wait_end(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader,
                       writer: asyncio.StreamWriter) -> Request | None:
    try:
        first, headers = await read_head(reader)
    except asyncio.IncompleteReadError:
        return None
    method, target, _ = first.split(' ')
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body, writer)


def write_answer(writer: asyncio.StreamWriter, status: int, headers: dict,
                 body: bytes) -> None:
    lines = [f'HTTP/1.1 {status} X', *(f'{k}: {v}' for k, v in headers.items())]
    lines.append(f'content-length: {len(body)}')
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)


def json_answer(value: object, headers: dict | None = None) -> tuple:
    return 200, {
        'content-type': 'application/json',
        **(headers or {})
    }, json.dumps(value).encode()


class Platform:
    """The platform's store: a log with keyed topics of one partition."""

    def __init__(self, host: str) -> None:
        self.topics: dict[str, list[tuple[str, bytes | None]]] = {}
        self.era = 0
        self.is_down = False
        self.changed = asyncio.Event()
        self.server = Server(host, self._serve)

    def put(self, topic: str, key: str, value: dict | None) -> None:
        data = None if value is None else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, data))
        self._notify()

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(self, request: Request) -> tuple:
        if self.is_down:
            return 503, {'Store-Era': self.era}, b''
        status, headers, body = await self._answer(request)
        return status, {**headers, 'Store-Era': self.era}, body

    async def _answer(self, request: Request) -> tuple:
        topic = request.query.get('topic', '')
        stored = self.topics.setdefault(topic, [])
        if request.path == '/log-newest':
            newest = {key: (at, value) for at, (key, value) in enumerate(stored)}
            return json_answer({
                'items': [{
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': at
                } for key, (at, value) in newest.items() if value],
                'has-more': False,
                'end': len(stored)
            })
        if request.path == '/log-read':
            start = int(request.query['from'])
            if start > len(stored):
                return 410, {}, json.dumps({'first': 0}).encode()
            until = time.monotonic() + int(request.query.get('wait-ms',
                                                             0)) / 1_000
            while len(stored) <= start and time.monotonic() < until:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(until - time.monotonic()):
                        await self.changed.wait()
            data = struct.pack('>qq', len(stored), 0)
            for key, value in stored[start:]:
                content = bytes([len(key)]) + key.encode() + (value or b'')
                data += struct.pack('>I', len(content)) + content
            return 200, {}, data
        if request.path == '/log-append':
            if topic in ('keyed.op', 'keyed.servers'):
                return 403, {}, b''
            at = request.query.get('at')
            if at is not None and int(at) != len(stored):
                return 412, {}, json.dumps({'end': len(stored)}).encode()
            offset, body = len(stored), request.body
            while body:
                size, = struct.unpack('>I', body[:4])
                content, body = body[4:4 + size], body[4 + size:]
                key_end = 1 + content[0]
                stored.append((content[1:key_end].decode(), content[key_end:] or
                               None))
            self._notify()
            return json_answer({'offset': offset, 'end': len(stored)})
        return 404, {}, b''


SETTINGS = """
node-name = "{name}"
role = "gateway"
machine-class = "frontend"
serves = ["frontend"]
ip-address = "{host}"
zone = "{zone}"
region = "r"
internal-port-range = [7580, 7595]
bootstrap = false
discovery = "platform"
entry-point = "virtual_ip"
heartbeat-interval-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[listen-addresses]
frontend = "{host}:8749"
readiness = "{host}:8741"
[limits]
cpu-share = 0.537
cpu-cores = 2
memory-mb = 300
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
address-reuse-s = 2
stable-window-ms = 3000
confirmation-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-period-s = 8
loss-slack-ms = 200
configuration-apply-ms = 2000
downgrade-slack-ms = 250
max-stretch-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-slack = 54
recovery-s = 12
transit-ms = 120
reuse-window-s = 20
require-fencing = false
lease-ms = 3000
thaw-slack-ms = 300
version-ms = 10000
version-all-ms = 14000
[platform]
address = "{store}"
form = "log"
writes-per-s = 400
reads-per-s = 2000
parts = 12
append-ms = 2.0
part-mb-per-s = 20.0
read-mb-per-s = 80.0
record-bytes = 262144
call-bytes = 2097152
keep_s = 300
partition-mb = 200
min-ttl-ms = 1000
"""


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(self, folder: pathlib.Path, name: str, host: str, zone: str,
                 store: str) -> None:
        self.name = name
        self.host = host
        self.settings = folder / f'{name}.toml'
        self.settings.write_text(
            SETTINGS.format(name=name, host=host, zone=zone, store=store))
        self.log = folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        return f'{self.host}:8749'

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        words = deploy['roles']['gateway']['run'].split()
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['PLANTAINRIDGE_CONFIG'] = str(self.settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(*words,
                                                                cwd=ROOT,
                                                                stdout=log,
                                                                stderr=log,
                                                                env=env)

    async def kill(self) -> None:
        process = self.process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(0.5):
                status, _, _, _ = await call(f'{self.host}:8741', 'GET',
                                             '/readiness', {}, b'')
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200


class Answer:
    """What a client got: status 0 means no complete answer."""

    def __init__(self, status: int, headers: dict, body: bytes,
                 is_whole: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    def __iter__(self):
        return iter((self.status, self.headers, self.body, self.is_whole))


async def call(address: str, method: str, target: str, headers: dict,
               body: bytes) -> Answer:
    """Send a request on a new connection and read its answer to the end."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        return await exchange(reader, writer, method, target, {
            'Host': address,
            **headers
        }, body)
    finally:
        reset(writer)


async def exchange(reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                   method: str, target: str, headers: dict,
                   body: bytes) -> Answer:
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{key}: {value}' for key, value in headers.items()]
    lines.append(f'content-length: {len(body)}')
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    first, fields = await read_head(reader)
    status = int(first.split(' ')[1])
    data = b''
    try:
        if fields.get('transfer-encoding') == 'chunked':
            while size := int(await reader.readline(), 16):
                data += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        elif 'content-length' in fields:
            data = await reader.readexactly(int(fields['content-length']))
        else:
            data = await reader.read()
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return Answer(status, fields, data, False)
    return Answer(status, fields, data, True)


def run_case(case: Callable[[Record, pathlib.Path], Awaitable[None]],
             folder: pathlib.Path,
             limit_s: float = 115.0) -> int:
    """Run a case; return its exit code."""
    record = Record(pathlib.Path(os.environ.get('RECORD_FOLDER', folder)))

    async def run(temporary: pathlib.Path) -> None:
        async with asyncio.timeout(limit_s):
            await case(record, temporary)

    with tempfile.TemporaryDirectory() as name:
        try:
            asyncio.run(run(pathlib.Path(name)))
        except Exception as error:  # pylint: disable=broad-exception-caught
            record.write(f'the case could not run: {error!r}')
            if not record.broken:
                return NOT_RUN
        finally:
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                for log in pathlib.Path(name).glob('*.log'):
                    (pathlib.Path(keep) / log.name).write_bytes(
                        log.read_bytes())
    record.write('rule broken' if record.broken else 'rule held')
    return BROKEN if record.broken else HELD


RNG = random.Random(int(os.environ.get('SEED', '0')) or None)
