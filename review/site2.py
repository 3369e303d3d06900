"""A small deployment on loopback: store, workers, gateways and clients.

Stand-ins follow PROTOCOL.md where a case needs it. Gateways are started with
the commands of `deploy/system.toml`. All stand-ins share one event loop.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
HEARTBEAT_S = 1.2
LINGER_RESET = struct.pack('ii', 1, 0)
STABLE_S = 3.0
BOUNDS = {
    'seed-lag-s': 3, 'address-reuse-s': 2, 'stable-window-ms': 3000,
    'confirmation-ms': 4000, 'catch-up-s': 4, 'drain-ms': 2000,
    'grace-period-s': 8, 'loss-slack-ms': 200, 'configuration-apply-ms': 2000,
    'downgrade-slack-ms': 250, 'max-stretch-ms': 5000,
    'strict-revocation': False, 'revocation-ms': 5000,
    'retry-budget-ratio': 0.2, 'budget-window-s': 10, 'retry-budget-slack': 54,
    'recovery-s': 12, 'transit-ms': 120, 'reuse-window-s': 20,
    'require-fencing': False, 'lease-ms': 3000, 'thaw-slack-ms': 300,
    'version-ms': 10000, 'version-all-ms': 14000,
}


def subnet():
    """Return a 127.N prefix whose addresses this process reserves."""
    for number in random.sample(range(20, 250), 200):
        sock = socket.socket()
        try:
            sock.bind((f'127.{number}.255.1', 6_998))
        except OSError:
            sock.close()
            continue
        sock.listen(1)
        return f'127.{number}', sock
    raise OSError('no free subnet')


def free_port(host):
    """Return a port that is free on a host now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        except OSError:
            pass
    writer.transport.abort()


async def read_request(reader):
    """Read one HTTP request; return method, target, headers and body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return method, target, headers, body


def answer_bytes(status, headers, body):
    """Return a complete answer with a length."""
    text = f'HTTP/1.1 {status} X\r\n'
    for name, value in headers.items():
        text += f'{name}: {value}\r\n'
    return (text + f'Content-Length: {len(body)}\r\n\r\n').encode() + body


class Store:
    """The platform's log: keyed topics with one partition each.

    Attributes:
        era: Stated in every answer.
        down: Whether calls get no answer.
        slow_s: Delay of each answer, in s.
    """

    def __init__(self, log):
        self.log = log
        self.topics = {}
        self.changed = asyncio.Event()
        self.era = 1
        self.down = False
        self.slow_s = 0.004
        self.servers = []
        self.address = ''

    async def start(self, host):
        port = free_port(host)
        self.servers.append(await asyncio.start_server(self._serve, host, port))
        self.address = f'{host}:{port}'

    def put(self, topic, key, value):
        """Append a record of a JSON value, or delete the key for None."""
        data = None if value is None else json.dumps(value).encode()
        self._append(topic, [(key, data)])

    def _append(self, topic, rows):
        self.topics.setdefault(topic, []).extend(rows)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                method, target, _, body = await read_request(reader)
                status, headers, data = await self._call(method, target, body)
                await asyncio.sleep(self.slow_s)
                while self.down:
                    await asyncio.sleep(0.05)
                headers['Store-Era'] = str(self.era)
                writer.write(answer_bytes(status, headers, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, body):
        path, _, text = target.partition('?')
        query = dict(each.split('=', 1) for each in text.split('&') if each)
        topic = query.get('topic', '')
        rows = self.topics.get(topic, [])
        if path == '/log-newest':
            newest = {key: (at, value) for at, (key, value) in enumerate(rows)}
            items = [{'key': key, 'offset': at,
                      'value': base64.b64encode(value).decode()}
                     for key, (at, value) in newest.items()
                     if value is not None]
            return 200, {'Content-Type': 'application/json'}, json.dumps(
                {'items': items, 'has-more': False, 'end': len(rows)}).encode()
        if path == '/log-read':
            start = int(query['from'])
            if start > len(rows):
                return 410, {}, b'{"first":0}'
            until = time.monotonic() + int(query.get('wait-ms', 0)) / 1_000
            while len(self.topics.get(topic, [])) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    break
            rows = self.topics.get(topic, [])
            data = len(rows).to_bytes(8, 'big') + bytes(8)
            for key, value in rows[start:]:
                content = bytes([len(key)]) + key.encode() + (value or b'')
                data += len(content).to_bytes(4, 'big') + content
            return 200, {}, data
        if path == '/log-append' and method == 'POST':
            at = query.get('at')
            if at is not None and int(at) != len(rows):
                return 412, {}, json.dumps({'end': len(rows)}).encode()
            new, position = [], 0
            while position < len(body):
                length = int.from_bytes(body[position:position + 4], 'big')
                content = body[position + 4:position + 4 + length]
                position += 4 + length
                end = 1 + content[0]
                new.append((content[1:end].decode(), content[end:] or None))
            offset = len(rows)
            self._append(topic, new)
            return 200, {'Content-Type': 'application/json'}, json.dumps(
                {'offset': offset, 'end': offset + len(new)}).encode()
        return 404, {}, b''


class Worker:
    """A worker of a service; writes its entry as a heartbeat.

    Attributes:
        model: The model that it runs, or '' for a plain service.
        version: Version of its weights.
        crashes_on: Function of a request's headers, target and body; True if
            the request crashes it as it begins to run.
        begin_s: Time until a request begins to run, in s.
        event_count: Events of a stream, `gap_s` apart.
        load_s: Time that it takes to load new weights, in s.
        down_s: Time from a crash to its next start, in s.
    """

    def __init__(self, site, service, zone, model=''):
        self.site, self.service, self.zone = site, service, zone
        self.model, self.version = model, 1
        self.host = site.worker_host
        self.port = free_port(self.host)
        self.crashes_on = lambda headers, target, body: False
        self.begin_s, self.event_count, self.gap_s = 0.03, 20, 0.03
        self.work_s, self.load_s, self.down_s = 0.06, 0.76, 3.0
        self.state, self.sequence, self.build = 'ready', 0, 'v1'
        self.id, self.born = '', 0
        self.server, self.writers = None, set()
        self.running, self.busy, self.heart = 0, False, None
        self.extra_headers = {}

    async def start(self):
        self.id = f'i-{random.randrange(16**10):010x}'
        self.born = int(time.time() * 1_000)
        self.sequence, self.running, self.busy = 0, 0, False
        self.state = 'ready'
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, start_serving=False)
        self.site.on_listen(self.server.sockets[0])
        await self.server.start_serving()
        self.heart = asyncio.create_task(self._beat(self.id))
        self.site.log('worker_started', worker=self.id, service=self.service)

    def entry(self):
        entry = {'service': self.service, 'address': f'{self.host}:{self.port}',
                 'zone': self.zone, 'version': self.build,
                 'slots': 64 if self.model else 6, 'state': self.state,
                 'cold-remaining-ms': 0, 'sequence': self.sequence,
                 'born': self.born}
        if self.model:
            entry['stage'] = 'prefill_and_decode'
            entry['models'] = [{'name': self.model, 'version': self.version,
                                'adapters': []}]
        return entry

    def write_entry(self):
        self.site.store.put('keyed.servers', self.id, self.entry())

    async def _beat(self, name):
        while self.id == name:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """End at once; start again after `down_s` with a new id."""
        if self.server is None:
            return
        self.site.log('worker_crashed', worker=self.id)
        gone, self.id = self.id, ''
        self.heart.cancel()
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()
        self.site.spawn(self._come_back(gone))

    async def _come_back(self, gone):
        start = time.monotonic()
        await asyncio.sleep(self.down_s)
        await self.start()
        await asyncio.sleep(max(0.0, start + 3 * HEARTBEAT_S -
                                time.monotonic()))
        self.site.store.put('keyed.servers', gone, None)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        own = self.id
        try:
            while self.id == own:
                request = await read_request(reader)
                if self.id != own:
                    return
                await self._handle(writer, own, *request)
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _load(self):
        return f'{self.running},0,{64 if self.model else 6}'

    async def _handle(self, writer, own, method, target, headers, body):
        if target == '/report':
            models = [{'name': self.model, 'version': self.version,
                       'adapters': []}] if self.model else []
            data = json.dumps({'stage': 'prefill_and_decode', 'models': models,
                               'busy': self.busy, 'sequence': self.sequence,
                               'waiting': 0, 'running': self.running,
                               'cache-used': 0, 'cache-total': 84_438,
                               'handles': 0, 'born': self.born}).encode()
            writer.write(answer_bytes(
                200, {'Content-Type': 'application/json'}, data))
            return
        if headers.get('x-expected-instance', own) != own:
            writer.write(answer_bytes(421, {'X-Instance-Id': own}, b''))
            return
        if target == '/order':
            self._order(writer, json.loads(body))
            return
        attempt = headers.get('x-attempt-id', '')
        self.site.log('arrived', worker=own, request=attempt,
                      version=self.version, mark=headers.get('x-mark', ''))
        common = {'X-Attempt-Id': attempt, 'X-Instance-Id': own,
                  'X-Server-Load': self._load(), **self.extra_headers}
        expected = headers.get('x-expected-version')
        if expected is not None and int(expected) != self.version:
            writer.write(answer_bytes(
                421, {**common, 'X-Weight-Versions': self.version}, b''))
            return
        if self.busy and self.model:
            writer.write(answer_bytes(
                503, {**common, 'X-Not-Executed': '1'}, b''))
            return
        self.running += 1
        try:
            if self.model:
                await self._stream(writer, own, target, headers, body, common)
            else:
                await self._plain(writer, own, target, headers, body, common)
        finally:
            if self.id == own:
                self.running -= 1

    async def _plain(self, writer, own, target, headers, body, common):
        await asyncio.sleep(self.begin_s)
        self._begin(own, target, headers, body)
        await asyncio.sleep(self.work_s)
        if self.id == own:
            writer.write(answer_bytes(
                200, {**common, 'X-Response-Seal': f'{own}.{target}'},
                b'ok ' + common['X-Attempt-Id'].encode()))
            await writer.drain()

    def _begin(self, own, target, headers, body):
        """Record that a request runs; crash if it is a request that does so."""
        if self.id != own:
            raise OSError('the worker has crashed')
        self.site.log('ran', worker=own, service=self.service,
                      request=headers.get('x-attempt-id', ''),
                      version=self.version, mark=headers.get('x-mark', ''))
        if self.crashes_on(headers, target, body):
            self.crash()
            raise OSError('the worker has crashed')

    async def _stream(self, writer, own, target, headers, body, common):
        await asyncio.sleep(self.begin_s)
        version = self.version
        self._begin(own, target, headers, body)
        text = 'HTTP/1.1 200 X\r\n'
        for name, value in {**common, 'X-Response-Seal': f'{own}.{target}',
                            'X-Weight-Versions': version,
                            'Content-Type': 'text/event-stream',
                            'Transfer-Encoding': 'chunked'}.items():
            text += f'{name}: {value}\r\n'
        writer.write(text.encode() + b'\r\n')
        start = int(headers.get('last-event-id') or 0)
        for number in range(start + 1, self.event_count + 1):
            event = f'id: {number}\ndata: {self.build} {number}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(self.gap_s)
            if self.id != own or writer.is_closing():
                raise OSError('it ended')
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def _order(self, writer, order):
        status = 202
        if order.get('version') == self.version:
            status = 200
        elif self.busy or order.get('expect', self.sequence) != self.sequence:
            status = 409
        self.site.log('order', worker=self.id, status=status,
                      holder=order['holder'], fence=order['fencing-token'],
                      version=order['version'])
        if status == 202:
            self.busy, self.sequence = True, self.sequence + 1
            self.site.spawn(self._load_weights(self.id, order['version']))
        writer.write(answer_bytes(status, {'X-Instance-Id': self.id}, b''))

    async def _load_weights(self, own, version):
        while self.running and self.id == own:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.load_s)
        if self.id == own:
            self.version, self.busy = version, False
            self.site.log('version_in_place', worker=own, version=version)
            self.write_entry()


class Vm:
    """A gateway VM and its process."""

    def __init__(self, site, name, zone, host):
        self.site, self.name, self.zone, self.host = site, name, zone, host
        self.port, self.ready_port = 8749, 8741
        self.process = None
        self.folder = site.folder
        self.settings = self.folder / f'{name}.toml'
        self.bootstrap = True
        self.since = 0.0

    def write_settings(self):
        lines = [f'node-name = "{self.name}"', 'role = "gateway"',
                 'machine-class = "frontend"', 'serves = ["frontend"]',
                 f'ip-address = "{self.host}"', f'zone = "{self.zone}"',
                 'region = "r"', 'internal-port-range = [7580,7595]',
                 'seed-nodes = []', f'bootstrap = {str(self.bootstrap).lower()}',
                 'discovery = "platform"', 'entry-point = "virtual_ip"',
                 f'heartbeat-interval-ms = {int(HEARTBEAT_S * 1_000)}',
                 'contracts = ["base","drain","config","cost","retry",'
                 '"recover","kvcache","stream","engine","tenants","platform"]',
                 '[listen-addresses]', f'frontend = "{self.host}:{self.port}"',
                 f'readiness = "{self.host}:{self.ready_port}"',
                 f'control-plane = "{self.host}:8745"', '[limits]',
                 'cpu-share = 0.537', 'cpu-cores = 2', 'memory-mb = 300',
                 'file-descriptors = 4100', 'link-mbps = 1000.0', 'disk-mb = 0',
                 '[bounds]']
        lines += [f'{key} = {json.dumps(value)}'
                  for key, value in self.site.bounds.items()]
        lines += ['[platform]', f'address = "{self.site.store.address}"',
                  'form = "log"', 'writes-per-s = 400', 'reads-per-s = 2000',
                  'parts = 12', 'min-ttl-ms = 1000']
        self.settings.write_text('\n'.join(lines) + '\n')

    def start(self):
        self.write_settings()
        run = self.site.run_line.split()
        env = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG')
               if key in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['PLANTAINRIDGE_CONFIG'] = str(self.settings)
        with open(self.folder / f'{self.name}.log', 'ab') as out:
            self.process = subprocess.Popen(run, cwd=ROOT, env=env, stdout=out,
                                            stderr=out,
                                            stdin=subprocess.DEVNULL)
        self.bootstrap = False
        self.since = time.monotonic()
        self.site.log('vm_started', vm=self.name)

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.site.log('vm_signal', vm=self.name, signal=int(number))
        if number == signal.SIGKILL and self.process is not None:
            self.process.wait()
            self.process = None

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            status, _, _ = await http(self.host, self.ready_port, 'GET',
                                      '/readiness', {}, b'', 1.0)
        except OSError:
            return False
        return status == 200


async def http(host, port, method, target, headers, body, timeout_s,
               on_event=None):
    """Send a request on a new connection; return status, headers and body.

    The body is None if the answer is not complete.

    Raises:
        OSError: There is no answer.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            text = f'{method} {target} HTTP/1.1\r\n'
            for name, value in {'Host': 'h.example', **headers}.items():
                text += f'{name}: {value}\r\n'
            if body or method == 'POST':
                text += f'Content-Length: {len(body)}\r\n'
            writer.write(text.encode() + b'\r\n' + body)
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *lines = head.split('\r\n')
            status = int(first.split(' ')[1])
            got = {}
            for line in lines:
                name, _, value = line.partition(':')
                if name:
                    got[name.strip().lower()] = value.strip()
            data = b''
            try:
                if got.get('transfer-encoding') == 'chunked':
                    while True:
                        size = int(await reader.readline(), 16)
                        chunk = await reader.readexactly(size + 2)
                        if not size:
                            break
                        data += chunk[:-2]
                        if on_event is not None:
                            on_event(data)
                else:
                    data = await reader.readexactly(
                        int(got.get('content-length', 0)))
            except (OSError, ValueError, asyncio.IncompleteReadError):
                return status, got, None
            return status, got, data
    except (asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        raise OSError(f'no answer: {error!r}') from None
    finally:
        if writer is not None:
            writer.close()


class Site:
    """The deployment, and the record of what was sent, answered and run."""

    def __init__(self, folder):
        self.record = open(pathlib.Path(folder) / 'record.txt', 'w',
                           encoding='utf-8')
        self.events = []
        self.began = time.monotonic()
        self.net, self.reservation = subnet()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.worker_host = f'{self.net}.1.1'
        self.bounds = dict(BOUNDS)
        self.store = Store(self.log)
        self.vms, self.workers, self.tasks = [], [], set()
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self.run_line = tomllib.load(file)['roles']['gateway']['run']
        self.numbers = 0
        self.hosts = 0
        # Called with each worker's socket before it listens.
        self.on_listen = lambda sock: None

    def now(self):
        return time.monotonic() - self.began

    def log(self, event, **fields):
        at = self.now()
        self.events.append((at, event, fields))
        self.record.write(f'{at:9.3f} {event} ' + ' '.join(
            f'{key}={value}' for key, value in fields.items()) + '\n')

    def of(self, event):
        return [(at, fields) for at, name, fields in self.events
                if name == event]

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def add_vm(self, name, zone):
        self.hosts += 1
        vm = Vm(self, name, zone, f'{self.net}.2.{self.hosts}')
        self.vms.append(vm)
        return vm

    async def start(self):
        await self.store.start(f'{self.net}.0.1')

    async def ready(self, vms=None, timeout_s=25.0):
        async with asyncio.timeout(timeout_s):
            for vm in vms if vms is not None else self.vms:
                while not await vm.is_ready():
                    await asyncio.sleep(0.1)
        self.log('ready')

    def attempt(self):
        self.numbers += 1
        return f'{random.randrange(16**10):010x}{self.numbers:06x}'

    async def send(self, vm, path, method='POST', headers=None, body=None,
                   timeout_ms=3000, on_event=None, attempt=None):
        """Send a request; log it and its answer; return status and answer.

        Without a body of its own, each attempt's is different.
        """
        attempt = attempt or self.attempt()
        if body is None:
            body = b'' if method == 'GET' else b'{"text":"%s"}' % (
                attempt.encode())
        fields = {'X-Attempt-Id': attempt, 'X-Deadline-Milliseconds':
                  str(timeout_ms), **(headers or {})}
        mark = fields.get('X-Mark', '')
        self.log('sent', request=attempt, vm=vm.name, path=path, mark=mark)
        try:
            status, got, data = await http(vm.host, vm.port, method, path,
                                           fields, body,
                                           timeout_ms / 1_000 + 1.0, on_event)
        except OSError as error:
            self.log('answer', request=attempt, status=0, mark=mark,
                     reason=str(error)[:60].replace(' ', '_'))
            return 0, {}, None
        text = ''
        if data is not None and status != 200:
            text = data[:90].decode('latin-1').replace(' ', '_')
        self.log('answer', request=attempt, status=status,
                 complete=data is not None, mark=mark, reason=text)
        return status, got, data

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        for vm in self.vms:
            if vm.is_alive():
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        for worker in self.workers:
            worker.id = ''
            if worker.heart is not None:
                worker.heart.cancel()
        self.record.flush()
        self.record.close()
        self.reservation.close()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder, file=sys.stderr)


def route(name, prefix, kind, service, target_ms, timeout_ms, attempts,
          priority=1, **more):
    """Return a route of the configuration."""
    return {'name': name, 'host': 'h.example', 'path-prefix': prefix,
            'kind': kind, 'timeout-ms': timeout_ms,
            'target-latency-ms': target_ms, 'priority': priority,
            'service': service, 'attempts': attempts, 'public': True, **more}


def configuration(version=1, routes=None):
    """Return a configuration like that of lta-tpe, with public routes."""
    return {
        'version': version,
        'routes': routes or [
            route('report', '/report-llm/', 'streaming', 'llm', 1000, 15000, 2,
                  resumable=True, **{'sticky-sessions': True,
                                     'target-gap-ms': 300}),
            route('tag', '/tag/', 'streaming', 'llm', 800, 3000, 1, 0,
                  resumable=False, **{'sticky-sessions': True,
                                      'target-gap-ms': 300}),
            route('submit', '/submit/', 'unsafe', 'ledger', 300, 1500, 1, 2),
            route('view', '/view/', 'safe', 'ledger', 300, 1500, 2, 2),
        ],
        'services': [
            {'name': 'llm', 'health-check-path': '/health',
             'connection-limit': 360, 'protocol': 'h1', 'tls': False,
             'engine': {'slots': 64, 'cache-capacity-tokens': 84438,
                        'token-size-bytes': 18432, 'link-mbps': 550000.0,
                        'managed': True, 'models': [{'name': 'm0'}]}},
            {'name': 'ledger', 'health-check-path': '/health',
             'connection-limit': 100, 'protocol': 'h1', 'tls': False},
        ],
        'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304,
                   'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
    }


async def standard(site, engines=5, ledgers=3, zones=(3, 2, 2),
                   names=('za', 'zb', 'zc'), builds=('v1',)):
    """Start a deployment like lta-tpe, with engines of some builds in turn."""
    await site.start()
    site.store.put('keyed.op', 'config', configuration())
    site.store.put('keyed.op', 'version/m0', {'model': 'm0', 'version': 1})
    for number in range(engines):
        worker = Worker(site, 'llm', names[number % len(names)], 'm0')
        worker.build = builds[number % len(builds)]
        site.workers.append(worker)
    for number in range(ledgers):
        site.workers.append(Worker(site, 'ledger', names[number % len(names)]))
    for worker in site.workers:
        await worker.start()
    for zone, count in zip(names, zones):
        for number in range(count):
            site.add_vm(f'frontend-{zone}-{number + 1}', zone).start()
    await site.ready()


def prompt(parts, output=20):
    """Return the headers of a generation."""
    total = sum(tokens for _, tokens in parts)
    return {'X-Model': 'm0', 'X-Token-Usage': f'{total},{output}',
            'X-Prompt-Prefix': ','.join(f'{name}:{tokens}'
                                        for name, tokens in parts)}


def main(case):
    """Run a case; exit with its result: 0 held, 1 broken, 2 did not run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent

    async def run():
        site = Site(folder)
        try:
            return await case(site, os.environ.get('TROUBLE', '1') != '0')
        finally:
            await site.stop()

    try:
        result = asyncio.run(run())
    except Exception as error:  # pylint: disable=broad-exception-caught
        print(f'did not run: {error!r}', file=sys.stderr)
        raise SystemExit(2) from error
    raise SystemExit(result)
