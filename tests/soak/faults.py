"""Fault injector: draws sequential and overlapping faults from a seed."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Final

import attrs

from tests.soak.checks import EVACUATION_S, STABLE_S, paths_to_endpoints
from tests.soak.history import Evacuation, FaultSpan, StatedRate
from tests.soak.proxy import PARTITIONS, Fault, FaultProxy
from tests.soak.site import ENGINES, LEDGER, GatewayVm, SoakSite

WeightedFault = tuple[int, Callable[[], Awaitable[None]]]

# Share of a run in which only planned work takes place, and bounds must be
# kept.
PLANNED_WORK_RATIO: Final = 0.4
# Time between the starts of two faults.
START_INTERVAL_RANGE_S: Final = (0.1, 1.0)
FAULT_DURATION_RANGE_S: Final = (0.3, 3.0)
# Silence of a sound endpoint, which is no fault.
SILENCE_RANGE_S: Final = (0.8, 1.8)
BETWEEN_SILENCES_S: Final = 0.5
CHANGES_IN_SILENCE: Final = 3
# Time for which paths to all endpoints are cut: longer than `STABLE_S`, after
# which gateways must serve again.
PARTITION_RANGE_S: Final = (6.0, 8.0)
# Time for which a data centre is evacuated: a gateway that restarts meanwhile
# must know of it for some seconds.
EVACUATION_RANGE_S: Final = (EVACUATION_S + 5.0, EVACUATION_S + 6.0)
# Timeout of all routes, never below that of callers.
TIMEOUT_RANGE_MS: Final = (3_000, 4_000)
# Rate that endpoints in need state, far below their share of the load.
STATED_RATE_PER_S: Final = 1.0
# Time from the drain of an endpoint to its exit.
EXIT_DELAY_S: Final = 5.0
PROXY_FAULTS: Final = [
    fault for fault in Fault if fault not in (Fault.NONE, *PARTITIONS)
]
STORE_STATUSES: Final = (503, 429)


class FaultInjector:
    """Injector of randomly drawn faults, several at a time."""

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        self.site = site
        self.rng = rng
        self.silence_ends_at = 0.0
        planned: list[WeightedFault] = [(2, self._stop_gateway),
                                        (1, self._reload_gateway),
                                        (3, self._replace_endpoint),
                                        (2, self._change_route),
                                        (1, self._revoke_key),
                                        (1, self._name_version),
                                        (4, self._silence_endpoints)]
        self.planned_work = planned
        self.partition_work: list[WeightedFault] = [(2, self._change_route),
                                                    (1, self._replace_endpoint),
                                                    (1, self._silence_endpoints)
                                                   ]
        self.all_faults: list[WeightedFault] = planned + [
            (3, self._disturb_caller_path), (3, self._disturb_store_path),
            (3, self._disturb_endpoint_path), (2, self._take_store_down),
            (1, self._expire_entries), (2, self._kill_gateway),
            (3, self._pause_gateway), (2, self._crash_endpoint),
            (2, self._pause_endpoint)
        ]

    async def run(
            self, seconds: float,
            inject_releases: Callable[[float, bool], Awaitable[None]]) -> None:
        """Inject faults, then planned work only, then a partition.

        Args:
            seconds: Time for faults and planned work, in s.
            inject_releases: Injects changes of builds for some time, planned
                ones only if the second argument is set.

        The weight version changes at the start of the first two, whatever is
        drawn: without a change, no order is given that a check could judge. A
        data centre is evacuated during the planned work, and an endpoint of
        each service states a rate during the faults, which is longer.
        """
        rates = [self._state_rate(ENGINES), self._state_rate(LEDGER)]
        self.site.name_version()
        faults_s = (1 - PLANNED_WORK_RATIO) * seconds
        await asyncio.gather(inject_releases(faults_s, False),
                             self._inject_for(faults_s, self.all_faults))
        for span in rates:
            self._end_rate(span)
        await asyncio.sleep(STABLE_S)
        self.site.name_version()
        planned_s = PLANNED_WORK_RATIO * seconds
        await asyncio.gather(inject_releases(planned_s, True),
                             self._inject_for(planned_s, self.planned_work),
                             self._evacuate_dc())
        self.site.history.faults_ended_at = time.time()
        await asyncio.sleep(STABLE_S)
        await self._partition_gateways()

    async def _inject_for(self, seconds: float,
                          faults: list[WeightedFault]) -> None:
        """Inject faults for some time, then wait until all have ended."""
        end = time.monotonic() + seconds
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            _, fault = self.rng.choices(faults, [each[0] for each in faults])[0]
            running.add(asyncio.ensure_future(self._inject(fault)))
            await asyncio.sleep(self.rng.uniform(*START_INTERVAL_RANGE_S))
        await asyncio.gather(*running)
        for proxy in self.site.proxies():
            await proxy.set_fault(Fault.NONE)
        self.site.history.faults_ended_at = time.time()

    async def _inject(self, fault: Callable[[], Awaitable[None]]) -> None:
        await fault()

    def _duration_s(self) -> float:
        return self.rng.uniform(*FAULT_DURATION_RANGE_S)

    async def _record_span(self, subject: str, fault_name: str,
                           work: Awaitable[None]) -> None:
        """Run a fault and record its span."""
        start = time.time()
        # Recorded before the fault ends, so that a check in the meantime finds
        # it.
        fault_spans = self.site.history.fault_spans
        fault_spans.append(FaultSpan(subject, fault_name, start, float('inf')))
        index = len(fault_spans) - 1
        try:
            await work
        finally:
            fault_spans[index] = FaultSpan(subject, fault_name, start,
                                           time.time())

    # --- connections ---

    async def _disturb_proxies(self, *proxies: FaultProxy) -> None:
        fault = self.rng.choice(PROXY_FAULTS)
        for proxy in proxies:
            await proxy.set_fault(fault)
        await asyncio.sleep(self._duration_s())
        for proxy in proxies:
            await proxy.set_fault(Fault.NONE)

    async def _disturb_caller_path(self) -> None:
        vm = self._pick_gateway()
        await self._record_span(vm.name, 'callers',
                                self._disturb_proxies(vm.caller_proxy))

    async def _disturb_store_path(self) -> None:
        vm = self._pick_gateway()
        await self._record_span(f'store-{vm.name}', 'path',
                                self._disturb_proxies(vm.store_proxy))

    async def _disturb_endpoint_path(self) -> None:
        endpoint = self.rng.choice(list(self.site.endpoints.values()))
        await self._record_span(
            endpoint.name, 'path',
            self._disturb_proxies(*endpoint.proxies.values()))

    async def _partition_gateways(self) -> None:
        """Cut the paths of some gateways to all endpoints, beside changes."""
        vms = self._pick_partitioned()
        fault = self.rng.choice(PARTITIONS)
        seconds = self.rng.uniform(*PARTITION_RANGE_S)

        async def partition(vm: GatewayVm) -> None:
            await self.site.set_path_fault(vm, fault)
            await asyncio.sleep(seconds)
            await self.site.set_path_fault(vm, Fault.NONE)

        await asyncio.gather(
            self._inject_for(seconds, self.partition_work),
            *(self._record_span(paths_to_endpoints(vm.name), fault.value,
                                partition(vm)) for vm in vms))
        self.site.history.faults_ended_at = time.time()

    async def _evacuate_dc(self) -> None:
        """Evacuate a data centre that has engines; kill a gateway meanwhile.

        Draws are the site's own, so that those of the faults stay the same.
        """
        site = self.site
        dc = site.endpoints[site.rng.choice(
            self._staying_endpoints(ENGINES))].dc
        start = time.time()
        site.evacuate(dc, True)
        await asyncio.gather(
            self._kill_gateway(),
            asyncio.sleep(site.rng.uniform(*EVACUATION_RANGE_S)))
        site.history.evacuations.append(Evacuation(dc, start, time.time()))
        site.evacuate(dc, False)

    def _pick_partitioned(self) -> list[GatewayVm]:
        """Return all gateways of one data centre, or half or more of any.

        Fewer do not receive enough attempts for the check to judge.
        """
        gateways = self.site.gateways
        if self.rng.random() < 0.5:
            dc = self._pick_gateway().dc
            return [vm for vm in gateways if vm.dc == dc]
        return self.rng.sample(
            gateways, self.rng.randint(len(gateways) // 2,
                                       len(gateways) - 1))

    # --- the store ---

    async def _take_store_down(self) -> None:

        async def down() -> None:
            self.site.store.forced_status = self.rng.choice(STORE_STATUSES)
            await asyncio.sleep(self._duration_s())
            self.site.store.forced_status = 0

        await self._record_span('store', 'down', down())

    async def _expire_entries(self) -> None:
        """Take the store down and let some entries expire; write them again."""

        async def expire() -> None:
            site = self.site
            site.store.forced_status = 503
            await asyncio.sleep(self._duration_s())
            expiring = [
                each for each in site.endpoints.values()
                if self.rng.random() < 0.6
            ]
            for each in expiring:
                site.store.put('keyed.servers', each.name, None)
            site.store.forced_status = 0
            await asyncio.sleep(self.rng.uniform(0.1, 1.8))
            for each in expiring:
                if each.name in site.endpoints:
                    site.register(each)

        await self._record_span('store', 'lapse', expire())

    # --- gateways ---

    def _pick_gateway(self) -> GatewayVm:
        return self.rng.choice(self.site.gateways)

    async def _restart_gateway(self, fault_name: str,
                               signal_number: signal.Signals) -> None:
        vm = self._pick_gateway()
        if vm.stopping:
            return

        async def restart() -> None:
            await self.site.end_gateway(vm, signal_number)
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            await self.site.start_gateway(vm)

        await self._record_span(vm.name, fault_name, restart())

    async def _stop_gateway(self) -> None:
        await self._restart_gateway('term', signal.SIGTERM)

    async def _kill_gateway(self) -> None:
        await self._restart_gateway('kill', signal.SIGKILL)

    async def _pause_gateway(self) -> None:
        vm = self._pick_gateway()
        process = vm.process
        if vm.stopping or process is None or process.returncode is not None:
            return

        async def pause() -> None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._duration_s())
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

        await self._record_span(vm.name, 'pause', pause())

    async def _reload_gateway(self) -> None:
        process = self._pick_gateway().process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGHUP)

    # --- endpoints ---

    async def _crash_endpoint(self) -> None:
        endpoint = self.rng.choice(list(self.site.endpoints.values()))

        async def crash() -> None:
            await self.site.remove(endpoint)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await self.site.add_endpoint(endpoint.service)

        if len(self._staying_endpoints(endpoint.service)) > 1:
            await self._record_span(endpoint.name, 'crash', crash())

    async def _pause_endpoint(self) -> None:
        endpoint = self.rng.choice(list(self.site.endpoints.values()))
        process = endpoint.process

        async def pause() -> None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._duration_s())
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

        if process.returncode is None:
            await self._record_span(endpoint.name, 'pause', pause())

    def _state_rate(self, service: str) -> StatedRate:
        """Let an endpoint state a rate; return the span, without its end."""
        name = self.rng.choice(self._staying_endpoints(service))
        self.site.endpoints[name].state_rate(str(STATED_RATE_PER_S))
        return StatedRate(name, STATED_RATE_PER_S, time.time(), float('inf'))

    def _end_rate(self, span: StatedRate) -> None:
        """Record a span, and let its endpoint state none if it still runs."""
        endpoint = self.site.endpoints.get(span.endpoint)
        if endpoint is not None and endpoint.process.returncode is None:
            endpoint.state_rate('')
        self.site.history.stated_rates.append(
            attrs.evolve(span, end=time.time()))

    async def _replace_endpoint(self) -> None:
        """Start a new endpoint; drain an old one and let it exit."""
        service = self.rng.choice((ENGINES, LEDGER))
        await self.site.add_endpoint(service)
        staying = self._staying_endpoints(service)
        if len(staying) < 2:
            return
        endpoint = self.site.endpoints[self.rng.choice(staying)]
        self.site.drain(endpoint)
        await asyncio.sleep(EXIT_DELAY_S)
        await self._record_span(endpoint.name, 'exit',
                                self.site.remove(endpoint))

    async def _silence_endpoints(self) -> None:
        """Silence endpoints of one service while the configuration changes."""
        if self.silence_ends_at > time.monotonic() - BETWEEN_SILENCES_S:
            return
        service = self.rng.choice((ENGINES, LEDGER))
        seconds = self.rng.uniform(*SILENCE_RANGE_S)
        self.silence_ends_at = time.monotonic() + seconds
        for endpoint in self.site.endpoints.values():
            if endpoint.service == service:
                endpoint.fall_silent(seconds)
        for _ in range(CHANGES_IN_SILENCE):
            self.site.timeout_ms = self.rng.randrange(*TIMEOUT_RANGE_MS)
            self.site.configure()
            await asyncio.sleep(seconds / CHANGES_IN_SILENCE)

    def _staying_endpoints(self, service: str) -> list[str]:
        return [
            name for name, each in self.site.endpoints.items() if
            each.service == service and name not in self.site.history.drained_at
        ]

    # --- the operator ---

    async def _change_route(self) -> None:
        """Add a route, or remove one that was added before."""
        site = self.site
        added_routes = [
            name for name in site.routes if name.startswith('/extra')
        ]
        if added_routes and self.rng.random() < 0.5:
            name = self.rng.choice(added_routes)
            del site.routes[name]
            site.configure()
            site.history.route_removed_at[name] = time.time()
            return
        name = f'/extra{site.operator_version}/'
        site.routes[name] = ('safe', LEDGER)
        site.configure()
        site.history.route_added_at[name] = time.time()

    async def _revoke_key(self) -> None:
        site = self.site
        if 'key-b' in site.keys:
            site.keys['key-d'] = site.keys.pop('key-b')
            site.history.team_by_key['key-d'] = 'team-b'
            site.configure()
            site.history.key_revoked_at['key-b'] = time.time()

    async def _name_version(self) -> None:
        self.site.name_version()
