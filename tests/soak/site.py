"""Processes of one soak run and the proxies between them."""

import asyncio
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import time
from typing import Any, Final

import attrs

from plantainridge.gateway.http_calls import Response, call
from plantainridge.gateway.http_client import Pool
from plantainridge.platform import names
from plantainridge.standins.platform_site import StandinStore
from tests.soak.checks import (APPLY_S, COLD_OVERRUN, COLD_PER_S, COLD_S,
                               COLD_SLACK, DRAIN_S, STREAM_EVENT_COUNT)
from tests.soak.fleet import Fleet
from tests.soak.history import History, Order, Run
from tests.soak.launch import ENDPOINT_HOST, PROXY_HOST_VARIABLE
from tests.soak.proxy import Fault, FaultProxy
from tests.soak.readers import DRAFT_DEADLINE_S, DRAFT_PREFIX
from tests.soak.sharing import SHARE_PREFIX, SHARERS, SharingSite
from tests.soak.writer import WRITERS, WRITERS_MODEL

ROOT: Final = pathlib.Path(__file__).parents[2]
ENGINES: Final = 'engines'
LEDGER: Final = 'ledger'
DCS: Final = ('dc-1', 'dc-2')
WRITER_COUNT: Final = 5
# Gateways of a run, and of each so many-th seed: more than share all with all.
GATEWAYS: Final = 4
LARGE_RUN_INTERVAL: Final = 5
LARGE_RUN_GATEWAYS: Final = 14
# Subnets 127.N of concurrent runs, and the port that reserves one.
SUBNETS: Final = range(10, 210)
RESERVING_PORT: Final = 6_999
GRACE_S: Final = 6.0
READINESS_INTERVAL_S: Final = 0.25
# Readiness checks that a gateway must fail in a row to leave the rotation.
MISSED_CHECKS_LIMIT: Final = 2


@attrs.define
class Endpoint:
    """An endpoint's process, with a proxy for each gateway VM by its name."""

    name: str
    service: str
    dc: str
    process: asyncio.subprocess.Process
    address: str
    proxies: dict[str, FaultProxy]
    state: str = names.STATE_READY
    version: int = 0

    def state_rate(self, rate: str) -> None:
        """State a rate in all answers from now on; '' for none."""
        assert self.process.stdin is not None
        self.process.stdin.write(f'rate {rate}\n'.encode())

    def fall_silent(self, seconds: float) -> None:
        """Let it do nothing for some time, in s, and then continue."""
        assert self.process.stdin is not None
        self.process.stdin.write(f'{seconds}\n'.encode())


@attrs.define
class GatewayVm:
    """A gateway VM: its addresses, its proxies and its current process.

    Attributes:
        host: Its IP number.
        proxy_host: IP number of its proxies of endpoints.
        path_fault: Fault of its paths to all endpoints.
    """

    name: str
    host: str
    proxy_host: str
    dc: str
    caller_proxy: FaultProxy
    store_proxy: FaultProxy
    settings: pathlib.Path
    log: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    missed_checks: int = MISSED_CHECKS_LIMIT
    stopping: bool = False
    path_fault: Fault = Fault.NONE


class SoakSite:
    """Gateways, endpoints and a store, with the history of the run.

    Attributes:
        operator_version: Version of the newest configuration.
        timeout_ms: Timeout of all routes, in ms.
        routes: Kind and service of each route in force, by prefix.
        keys: Team of each key in force.
    """

    def __init__(self, seed: int, folder: pathlib.Path, gateways: int,
                 launcher: list[str]) -> None:
        self.rng = random.Random(seed)
        self.folder = folder
        self.launcher = launcher
        self.gateway_count = gateways
        self.history = History()
        self.store = StandinStore()
        self.gateways: list[GatewayVm] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.operator_version = 0
        self.timeout_ms = 3_000
        self.routes: dict[str, tuple[str, str]] = {
            '/report/': ('streaming', ENGINES),
            '/tag/': ('streaming', ENGINES),
            '/submit/': ('unsafe', LEDGER),
            '/view/': ('safe', LEDGER),
        }
        self.keys = {'key-a': 'team-a', 'key-b': 'team-b', 'key-c': 'team-c'}
        self.history.team_by_key = dict(self.keys)
        self.history.isolated_teams = {'team-c'}
        self.fleet = Fleet(random.Random(f'{seed} fleet'), folder, self.store,
                           self.history, DCS)
        self.sharing = SharingSite(random.Random(f'{seed} sharing'),
                                   self.history)
        self.pool = Pool()
        self.subnet, self._reservation = reserve_subnet()
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start every process and wait until all gateways are ready."""
        await self.store.server.start()
        await self.sharing.start()
        self.configure()
        for sharer in self.sharing.engines:
            self.store.put(names.REGISTRY_TOPIC, sharer.name, {
                **sharer.entry(), 'zone': DCS[0]
            })
        for number in range(self.gateway_count):
            await self._add_gateway(number)
        self.fleet.proxy_hosts = {
            vm.name: vm.proxy_host for vm in self.gateways
        }
        await asyncio.gather(*(self.fleet.add() for _ in range(WRITER_COUNT)))
        self._spawn(self.fleet.write_heartbeats())
        for service, count in ((ENGINES, 3), (LEDGER, 2)):
            for _ in range(count):
                await self.add_endpoint(service)
        for vm in self.gateways:
            await self.start_gateway(vm)
        self._spawn(self._check_readiness())
        async with asyncio.timeout(20.0):
            while any(vm.missed_checks for vm in self.gateways):
                await asyncio.sleep(0.1)

    def get_exit_codes(self) -> dict[str, int]:
        """Return the exit codes of endpoints that exited by themselves."""
        return {
            each.name: each.process.returncode
            for each in self.endpoints.values()
            if each.process.returncode is not None
        }

    async def stop(self) -> None:
        """End every process that was started here."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        started = [vm.process for vm in self.gateways]
        started += [each.process for each in self.endpoints.values()]
        for process in started:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        await self.fleet.stop()
        await self.sharing.stop()
        for proxy in self.proxies():
            await proxy.stop()
        await self.store.server.kill()
        self._reservation.close()

    def proxies(self) -> list[FaultProxy]:
        """Return every proxy."""
        found = [
            proxy for proxies in self._endpoint_proxies()
            for proxy in proxies.values()
        ]
        for vm in self.gateways:
            found += [vm.caller_proxy, vm.store_proxy]
        return found

    async def set_path_fault(self, vm: GatewayVm, fault: Fault) -> None:
        """Set the fault of a VM's paths to all endpoints, later ones too."""
        vm.path_fault = fault
        for proxies in self._endpoint_proxies():
            await proxies[vm.name].set_fault(fault)

    def _endpoint_proxies(self) -> list[dict[str, FaultProxy]]:
        """Return the proxies of each endpoint, by the gateways' names."""
        return ([each.proxies for each in self.endpoints.values()] +
                [each.proxies for each in self.fleet.engines.values()])

    # --- the operator ---

    def configure(self) -> None:
        """Write a configuration of the routes and keys in force."""
        self.operator_version += 1
        models = [{'name': 'm'}]
        self.store.put(
            names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, {
                'version':
                    self.operator_version,
                'routes': [
                    *(self._route(prefix, *target)
                      for prefix, target in self.routes.items()),
                    self._draft_route(),
                    self._share_route()
                ],
                'services': [
                    *self.sharing.services(), {
                        'name': ENGINES,
                        'engine': {
                            'slots': 16,
                            'cache-capacity-tokens': 99_999,
                            'models': models
                        }
                    }, {
                        'name': WRITERS,
                        'engine': {
                            'slots': 16,
                            'cache-capacity-tokens': 99_999,
                            'models': [{
                                'name': WRITERS_MODEL
                            }]
                        }
                    }, {
                        'name': LEDGER,
                        'cold-start-s': COLD_S,
                        'cold-per-s': COLD_PER_S
                    }
                ],
                'tenants': [{
                    'name': team,
                    'api-keys': [
                        key for key, owner in self.keys.items() if owner == team
                    ],
                    'isolated': team in self.history.isolated_teams,
                } for team in sorted(set(self.history.team_by_key.values()))],
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
            'timeout-ms': self.timeout_ms,
            'target-latency-ms': 500,
            'target-gap-ms': 300,
        }

    def _draft_route(self) -> dict[str, Any]:
        return {
            **self._route(DRAFT_PREFIX, 'streaming', WRITERS), 'attempts': 3,
            'resumable': True,
            'timeout-ms': round(DRAFT_DEADLINE_S * 1_000)
        }

    def _share_route(self) -> dict[str, Any]:
        return {
            **self._route(SHARE_PREFIX, 'streaming', SHARERS), 'public': True
        }

    def name_version(self) -> None:
        """Name the next weight version."""
        self.history.newest_version += 1
        self.store.put(names.OPERATOR_TOPIC, f'{names.VERSION_KEY_PREFIX}m', {
            'model': 'm',
            'version': self.history.newest_version
        })

    def evacuate(self, dc: str, requested: bool) -> None:
        """Write the record that evacuates a data centre, or delete it."""
        self.store.put(names.OPERATOR_TOPIC, names.EVACUATION_KEY_PREFIX + dc,
                       {} if requested else None)

    # --- endpoints ---

    async def add_endpoint(self, service: str) -> Endpoint:
        """Start an endpoint and write its entry."""
        name = f'i-{next(self._numbers)}'
        version = self.history.newest_version if service == ENGINES else 0
        with (self.folder / f'{name}.log').open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'tests.soak.endpoint',
                name,
                service,
                str(version),
                str(STREAM_EVENT_COUNT),
                cwd=ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log)
        assert process.stdout is not None
        address = json.loads(await process.stdout.readline())['address']
        port = int(address.rpartition(':')[2])
        proxies = {}
        for vm in self.gateways:
            proxies[vm.name] = FaultProxy(address, self.rng, vm.proxy_host,
                                          port)
            await proxies[vm.name].start()
            await proxies[vm.name].set_fault(vm.path_fault)
        endpoint = Endpoint(name,
                            service,
                            self.rng.choice(DCS),
                            process,
                            f'{ENDPOINT_HOST}:{port}',
                            proxies,
                            version=version)
        self.endpoints[name] = endpoint
        self.history.endpoint_dcs[name] = endpoint.dc
        self._spawn(self._read_reports(endpoint))
        if service == LEDGER:
            self.history.cold_at[name] = time.time()
        self.register(endpoint)
        return endpoint

    def register(self, endpoint: Endpoint) -> None:
        """Write an endpoint's entry."""
        models = [{'name': 'm', 'version': endpoint.version}]
        cold_until = self.history.cold_at.get(endpoint.name, 0.0) + COLD_S
        self.store.put(
            names.REGISTRY_TOPIC, endpoint.name, {
                'service': endpoint.service,
                'address': endpoint.address,
                'zone': endpoint.dc,
                'slots': 16,
                'state': endpoint.state,
                'cold-remaining-ms': max(0.0, cold_until - time.time()) * 1_000,
                'models': models if endpoint.version else []
            })

    def drain(self, endpoint: Endpoint) -> None:
        """Mark an endpoint as draining in its entry."""
        endpoint.state = names.STATE_DRAINING
        self.register(endpoint)
        self.history.drained_at[endpoint.name] = time.time()

    async def remove(self, endpoint: Endpoint) -> None:
        """Kill an endpoint and delete its entry."""
        self.endpoints.pop(endpoint.name, None)
        if endpoint.process.returncode is None:
            endpoint.process.kill()
        await endpoint.process.wait()
        self.store.put(names.REGISTRY_TOPIC, endpoint.name, None)
        for proxy in endpoint.proxies.values():
            await proxy.stop()

    async def _read_reports(self, endpoint: Endpoint) -> None:
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

    async def _add_gateway(self, number: int) -> None:
        name, host = f'vm{number}', f'{self.subnet}.0.{number + 1}'
        dc = DCS[number % len(DCS)]
        store_proxy = FaultProxy(self.store.server.address, self.rng)
        await store_proxy.start()
        caller_proxy = FaultProxy(f'{host}:7000', self.rng)
        await caller_proxy.start()
        settings = self.folder / f'{name}.toml'
        settings.write_text(_settings(name, host, dc, store_proxy.address))
        self.gateways.append(
            GatewayVm(name, host, f'{self.subnet}.1.{number + 1}', dc,
                      caller_proxy, store_proxy, settings,
                      self.folder / f'{name}.log'))

    async def start_gateway(self, vm: GatewayVm) -> None:
        """Start a gateway's process."""
        with vm.log.open('ab') as log:
            vm.process = await asyncio.create_subprocess_exec(
                *self.launcher,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **os.environ, 'PLANTAINRIDGE_CONFIG':
                        str(vm.settings),
                    PROXY_HOST_VARIABLE:
                        vm.proxy_host,
                    'PYTHONPATH':
                        os.pathsep.join([str(ROOT / 'src'),
                                         str(ROOT)])
                })
        vm.stopping = False

    async def end_gateway(self, vm: GatewayVm,
                          signal_number: signal.Signals) -> None:
        """Send a signal that ends a gateway; kill it after the grace period."""
        process = vm.process
        if process is None or process.returncode is not None:
            return
        vm.stopping = True
        process.send_signal(signal_number)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    def pick_gateway(self) -> tuple[str, str]:
        """Return a gateway that takes new connections, and its address.

        Unready ones of a data centre are only avoided while at least half of
        it is ready, or while none is but others are ready elsewhere.
        """
        dc = self.rng.choice(self.gateways).dc
        local = [vm for vm in self.gateways if vm.dc == dc]
        ready = [
            vm for vm in self.gateways if vm.missed_checks < MISSED_CHECKS_LIMIT
        ]
        ready_local = [vm for vm in local if vm in ready]
        if not ready_local:
            candidates = ready or self.gateways
        elif 2 * len(ready_local) < len(local):
            candidates = local
        else:
            candidates = ready_local
        vm = self.rng.choice(candidates)
        return vm.name, vm.caller_proxy.address

    def pick_gateway_for_stream(self, is_any: bool) -> tuple[str, str]:
        """Return any gateway, or one that takes new connections."""
        if not is_any:
            return self.pick_gateway()
        vm = self.rng.choice(self.gateways)
        return vm.name, vm.caller_proxy.address

    async def _check_readiness(self) -> None:
        while True:
            for vm in self.gateways:
                reply = await call(self.pool, f'{vm.host}:7001', 'GET',
                                   '/readiness', READINESS_INTERVAL_S)
                ready = isinstance(reply, Response) and reply.status == 200
                vm.missed_checks = 0 if ready else vm.missed_checks + 1
            await asyncio.sleep(READINESS_INTERVAL_S)

    def _spawn(self, work: Any) -> None:
        self._tasks.append(asyncio.create_task(work))


def reserve_subnet() -> tuple[str, socket.socket]:
    """Return a subnet that no other run uses, and what reserves it."""
    start = os.getpid() % len(SUBNETS)
    for number in [*SUBNETS[start:], *SUBNETS[:start]]:
        reservation = socket.socket()
        try:
            reservation.bind((f'127.{number}.0.1', RESERVING_PORT))
            return f'127.{number}', reservation
        except OSError:
            reservation.close()
    raise OSError('every subnet is in use')


def _settings(name: str, host: str, dc: str, store: str) -> str:
    return f"""
node-name = "{name}"
ip-address = "{host}"
zone = "{dc}"
internal-port-range = [7002, 7004]
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
cold-overrun = {COLD_OVERRUN}
cold-slack = {COLD_SLACK}
retry-budget-ratio = 0.2
retry-budget-slack = 54
budget-window-s = 10
[platform]
address = "{store}"
"""
