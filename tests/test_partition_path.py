"""Tests of gateway processes of which one is cut off from all endpoints."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.drain import LATE_ARRIVAL_S, UNREADY_S
from plantainridge.gateway.http_calls import Response
from plantainridge.gateway.http_client import CONNECT_TIMEOUT_S, Connection
from plantainridge.gateway.process import Gateway
from plantainridge.platform import names
from plantainridge.standins.platform_site import StandinEndpoint
from tests.test_platform_path import PlatformPathCase, route

INTERVAL_S = 0.25
# Time after which a VM sends through peers, as the platform allows it, in s.
DETECTION_S = 3.0
MEASURED_S = 2.0


class PartitionedVmTest(PlatformPathCase):
    """Tests of three VMs whose peers reach each other and all endpoints."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        app = StandinEndpoint('a2', 'app')
        self.endpoints.append(app)
        self.servers.append(app.server)
        await app.server.start()
        self.store.put(names.REGISTRY_TOPIC, app.name, app.entry())
        self.vms = [
            self.gateway, *[
                await self._start_gateway(f'vm{at}', f'127.0.0.{at}')
                for at in (2, 3)
            ]
        ]
        self.seen: list[Any] = []
        for vm in self.vms:
            vm.watchers.append(self.seen.append)
        self.sent = 0
        hosts = [vm.state.settings.callers_address for vm in self.vms]
        routes = [
            route(prefix, kind, service, host=host, name=f'{prefix} {host}')
            for host in hosts
            for prefix, kind, service in (('/report/', 'streaming', 'llm'),
                                          ('/submit/', 'unsafe', 'app'))
        ]
        self._configure(version=2, routes=routes)
        await asyncio.sleep(0.5)

    async def asyncTearDown(self) -> None:
        for vm in self.vms:
            vm.halt()
            await vm.tasks.cancel()
            self.pool.close_idle(vm.state.settings.callers_address)
        await super().asyncTearDown()

    async def _served(self, vm: Gateway, target: str) -> bool:
        self.sent += 1
        attempt = f'{target[1:4]}{self.sent}'
        self.address = vm.state.settings.callers_address
        response = await self._send(target, attempt)
        return isinstance(response, Response) and response.status == 200

    async def _play(self, seconds: float, vms: int = 3) -> list[float]:
        """Send to the first VMs for a time; return the ratio each served."""
        tasks: list[list[asyncio.Task[bool]]] = [[] for _ in range(vms)]
        for _ in range(round(seconds / INTERVAL_S)):
            for vm, sent in zip(self.vms, tasks):
                for target in ('/submit/x', '/report/x'):
                    sent.append(asyncio.create_task(self._served(vm, target)))
            await asyncio.sleep(INTERVAL_S)
        served = [await asyncio.gather(*each) for each in tasks]
        return [sum(each) / len(each) for each in served]

    def _seen(self, *kinds: type[Any]) -> int:
        return sum(isinstance(each, kinds) for each in self.seen)

    @contextlib.contextmanager
    def _cut(self, hangs: bool, drops_connections: bool) -> Iterator[None]:
        """Cut the first VM off from all endpoints."""
        pool = self.vms[0].pool
        addresses = {each.server.address for each in self.endpoints}
        connect = pool.connect

        async def connect_unless_cut(address: str,
                                     timeout_s: float = CONNECT_TIMEOUT_S,
                                     via: str = '') -> Connection:
            if via or address not in addresses:
                return await connect(address, timeout_s, via)
            if hangs:
                await asyncio.sleep(timeout_s)
                raise TimeoutError
            raise ConnectionRefusedError

        if drops_connections:
            for address in addresses:
                pool.close_idle(address)
        with mock.patch.object(pool, 'connect', connect_unless_cut):
            yield

    async def _check_cut(self, hangs: bool, drops_connections: bool) -> None:
        kinds = (ev.TunnelRequested, fx.ProbePath)
        self.assertEqual(await self._play(1.0), [1.0, 1.0, 1.0])
        self.assertEqual(self._seen(*kinds), 0)
        with self._cut(hangs, drops_connections):
            await self._play(DETECTION_S)
            served = await self._play(MEASURED_S)
            self.assertGreaterEqual(served[0], min(served[1:]) * 2 / 3, served)
            self.assertEqual(served[1:], [1.0, 1.0])
        self.assertGreater(self._seen(ev.TunnelRequested), 0)
        # After the cut, connections are direct again.
        await asyncio.sleep(1.5)
        self.seen.clear()
        self.assertEqual(await self._play(1.0), [1.0, 1.0, 1.0])
        self.assertEqual(self._seen(*kinds), 0)
        self.assertEqual([each.tunnels.tunnels for each in self.vms], [{}] * 3)
        self._check_runs()

    def _check_runs(self) -> None:
        """Check that what may run once ran at most once."""
        runs = [each for app in self.endpoints for each in app.attempt_ids]
        submits = [each for each in runs if each.startswith('sub')]
        self.assertEqual(len(submits), len(set(submits)))

    async def test_vm_whose_connections_hang_serves_through_peers(self) -> None:
        await self._check_cut(hangs=True, drops_connections=True)

    async def test_vm_whose_connections_are_reset_serves_through_peers(
            self) -> None:
        await self._check_cut(hangs=False, drops_connections=True)

    async def test_vm_whose_old_connections_live_serves_through_peers(
            self) -> None:
        await self._check_cut(hangs=False, drops_connections=False)

    async def test_peer_that_stops_cuts_no_request_and_exits_early(
            self) -> None:
        with self._cut(hangs=True, drops_connections=True):
            await self._play(DETECTION_S)
            peer = max(self.vms[1:], key=lambda vm: len(vm.tunnels.tunnels))
            self.assertGreater(len(peer.tunnels.tunnels), 0)
            peer.post(ev.StopRequested())
            self.assertEqual(
                await self._play(UNREADY_S + LATE_ARRIVAL_S + 0.5, vms=1),
                [1.0])
            self.assertTrue(peer.exited.is_set())
        self._check_runs()
