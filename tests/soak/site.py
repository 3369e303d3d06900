"""The processes of one soak run, and the proxies between them."""

import asyncio
import itertools
import json
import os
import pathlib
import random
import signal
import sys
import time
from typing import Any, Final

import attrs

from plantainridge.gateway.http_calls import Response, call
from plantainridge.gateway.http_client import Pool
from plantainridge.platform import names
from plantainridge.standins.platform_site import StandinStore
from tests.soak.checks import APPLY_S, DRAIN_S, EVENTS
from tests.soak.history import History, Order, Run
from tests.soak.proxy import FaultProxy

ROOT: Final = pathlib.Path(__file__).parents[2]
ENGINES: Final = 'engines'
LEDGER: Final = 'ledger'
GRACE_S: Final = 6.0
READY_POLL_S: Final = 0.25
# Checks that a gateway must miss before it is out of rotation.
MISSES: Final = 2


@attrs.define
class Endpoint:
    """One endpoint's process; callers reach it through a proxy."""

    name: str
    service: str
    process: asyncio.subprocess.Process
    proxy: FaultProxy
    state: str = names.STATE_READY
    version: int = 0


@attrs.define
class GatewayVm:
    """One VM: its addresses, its proxies, and its process of the moment."""

    name: str
    host: str
    dc: str
    callers: FaultProxy
    store: FaultProxy
    settings: pathlib.Path
    log: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    misses: int = MISSES
    stopping: bool = False


class SoakSite:
    """Gateways, endpoints, a store, and what was seen of them.

    Attributes:
        operator_version: Version of the newest configuration.
        routes: Prefixes of the routes in force, with kind and service.
        keys: Keys in force, with their teams.
    """

    def __init__(self, seed: int, folder: pathlib.Path, gateways: int,
                 launcher: list[str]) -> None:
        self.rng = random.Random(seed)
        self.folder = folder
        self.launcher = launcher
        self.count = gateways
        self.history = History()
        self.store = StandinStore()
        self.gateways: list[GatewayVm] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.operator_version = 0
        self.routes: dict[str, tuple[str, str]] = {
            '/report/': ('streaming', ENGINES),
            '/tag/': ('streaming', ENGINES),
            '/submit/': ('unsafe', LEDGER),
            '/view/': ('safe', LEDGER),
        }
        self.keys = {'key-a': 'team-a', 'key-b': 'team-b', 'key-c': 'team-c'}
        self.history.teams = dict(self.keys)
        self.history.isolated = {'team-c'}
        self.pool = Pool()
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts every process and waits until all gateways are ready."""
        await self.store.server.start()
        self.configure()
        for service, count in ((ENGINES, 3), (LEDGER, 2)):
            for _ in range(count):
                await self.add_endpoint(service)
        net = os.getpid() % 200 + 10
        for number in range(self.count):
            await self._add_gateway(number, f'127.{net}.0.{number + 1}')
        self._spawn(self._balance())
        async with asyncio.timeout(20.0):
            while any(vm.misses for vm in self.gateways):
                await asyncio.sleep(0.1)

    def died(self) -> dict[str, int]:
        """Returns exit codes of endpoints that nobody has ended."""
        return {
            each.name: each.process.returncode
            for each in self.endpoints.values()
            if each.process.returncode is not None
        }

    async def stop(self) -> None:
        """Ends every process that was started here."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        started = [vm.process for vm in self.gateways]
        started += [each.process for each in self.endpoints.values()]
        for process in started:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for proxy in self.proxies():
            await proxy.stop()
        await self.store.server.kill()

    def proxies(self) -> list[FaultProxy]:
        """Returns every proxy."""
        found = [each.proxy for each in self.endpoints.values()]
        for vm in self.gateways:
            found += [vm.callers, vm.store]
        return found

    # --- the operator ---

    def configure(self) -> None:
        """Writes a configuration of the routes and keys in force."""
        self.operator_version += 1
        models = [{'name': 'm'}]
        self.store.put(
            names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, {
                'version':
                    self.operator_version,
                'routes': [
                    self._route(prefix, *terms)
                    for prefix, terms in self.routes.items()
                ],
                'services': [{
                    'name': ENGINES,
                    'engine': {
                        'slots': 16,
                        'cache-capacity-tokens': 99_999,
                        'models': models
                    }
                }, {
                    'name': LEDGER
                }],
                'tenants': [{
                    'name': team,
                    'api-keys': [
                        key for key, owner in self.keys.items() if owner == team
                    ],
                    'isolated': team in self.history.isolated,
                } for team in sorted(set(self.history.teams.values()))],
            })

    def _route(self, prefix: str, kind: str, service: str) -> dict[str, Any]:
        return {
            'name': prefix,
            'host': 'h',
            'path-prefix': prefix,
            'kind': kind,
            'service': service,
            'attempts': 1 if kind == 'unsafe' else 2,
            'resumable': prefix == '/report/',
            'timeout-ms': 3_000,
            'target-latency-ms': 500,
            'target-gap-ms': 300,
        }

    def name_version(self) -> None:
        """Names new weights."""
        self.history.wanted_version += 1
        self.store.put(names.OPERATOR_TOPIC, f'{names.VERSION_KEY_PREFIX}m', {
            'model': 'm',
            'version': self.history.wanted_version
        })

    # --- endpoints ---

    async def add_endpoint(self, service: str) -> Endpoint:
        """Starts an endpoint that registers itself."""
        name = f'i-{next(self._numbers)}'
        version = self.history.wanted_version if service == ENGINES else 0
        with (self.folder / f'{name}.log').open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'tests.soak.endpoint',
                name,
                service,
                str(version),
                str(EVENTS),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
                stderr=log)
        assert process.stdout is not None
        address = json.loads(await process.stdout.readline())['address']
        proxy = FaultProxy(address, self.rng)
        await proxy.start()
        endpoint = Endpoint(name, service, process, proxy, version=version)
        self.endpoints[name] = endpoint
        self._spawn(self._read_runs(endpoint))
        self.register(endpoint)
        return endpoint

    def register(self, endpoint: Endpoint) -> None:
        """Writes an endpoint's entry."""
        models = [{'name': 'm', 'version': endpoint.version}]
        self.store.put(
            names.REGISTRY_TOPIC, endpoint.name, {
                'service': endpoint.service,
                'address': endpoint.proxy.address,
                'zone': 'dc-1',
                'slots': 16,
                'state': endpoint.state,
                'models': models if endpoint.version else []
            })

    def drain(self, endpoint: Endpoint) -> None:
        """Lets an endpoint report that it leaves."""
        endpoint.state = names.STATE_DRAINING
        self.register(endpoint)
        self.history.drained[endpoint.name] = time.time()

    async def remove(self, endpoint: Endpoint) -> None:
        """Kills an endpoint and drops its entry."""
        self.endpoints.pop(endpoint.name, None)
        if endpoint.process.returncode is None:
            endpoint.process.kill()
        await endpoint.process.wait()
        self.store.put(names.REGISTRY_TOPIC, endpoint.name, None)
        await endpoint.proxy.stop()

    async def _read_runs(self, endpoint: Endpoint) -> None:
        assert endpoint.process.stdout is not None
        while line := await endpoint.process.stdout.readline():
            data = json.loads(line)
            if 'ordered' in data:
                endpoint.version = data['ordered']
                self.history.orders.append(
                    Order(endpoint.name, data['holder'], data['fence']))
                self.register(endpoint)
            else:
                self.history.runs.append(Run(**data))

    # --- gateways ---

    async def _add_gateway(self, number: int, host: str) -> None:
        name = f'vm{number}'
        store = FaultProxy(self.store.server.address, self.rng)
        await store.start()
        callers = FaultProxy(f'{host}:7000', self.rng)
        await callers.start()
        settings = self.folder / f'{name}.toml'
        settings.write_text(_settings(name, host, store.address))
        vm = GatewayVm(name, host, 'dc-1', callers, store, settings,
                       self.folder / f'{name}.log')
        self.gateways.append(vm)
        await self.start_gateway(vm)

    async def start_gateway(self, vm: GatewayVm) -> None:
        """Starts a gateway's process."""
        with vm.log.open('ab') as log:
            vm.process = await asyncio.create_subprocess_exec(
                *self.launcher,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **os.environ, 'PLANTAINRIDGE_CONFIG':
                        str(vm.settings),
                    'PYTHONPATH':
                        os.pathsep.join([str(ROOT / 'src'),
                                         str(ROOT)])
                })
        vm.stopping = False

    async def end_gateway(self, vm: GatewayVm, number: signal.Signals) -> None:
        """Sends a signal that ends a gateway, and waits; kills it at last."""
        process = vm.process
        if process is None or process.returncode is not None:
            return
        vm.stopping = True
        process.send_signal(number)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    def in_rotation(self) -> tuple[str, str]:
        """Returns a gateway that takes new connections, and its address."""
        ready = [vm for vm in self.gateways if vm.misses < MISSES]
        vm = self.rng.choice(ready or self.gateways)
        return vm.name, vm.callers.address

    async def _balance(self) -> None:
        while True:
            for vm in self.gateways:
                reply = await call(self.pool, f'{vm.host}:7001', 'GET',
                                   '/readiness', READY_POLL_S)
                ready = isinstance(reply, Response) and reply.status == 200
                vm.misses = 0 if ready else vm.misses + 1
            await asyncio.sleep(READY_POLL_S)

    def _spawn(self, work: Any) -> None:
        self._tasks.append(asyncio.create_task(work))


def _settings(name: str, host: str, store: str) -> str:
    return f"""
node-name = "{name}"
ip-address = "{host}"
zone = "dc-1"
internal-port-range = [7002, 7003]
[listen-addresses]
frontend = "{host}:7000"
readiness = "{host}:7001"
[limits]
link-mbps = 100.0
[bounds]
drain-ms = {round(DRAIN_S * 1_000)}
configuration-apply-ms = {round(APPLY_S * 1_000)}
grace-period-s = {GRACE_S}
version-ms = 10000
lease-ms = 600
retry-budget-ratio = 0.2
retry-budget-slack = 54
budget-window-s = 10
[platform]
address = "{store}"
"""
