"""Faults in series and overlapping, drawn from a seed."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Final

from tests.soak.checks import STABLE_S
from tests.soak.history import Span
from tests.soak.proxy import Fault, FaultProxy
from tests.soak.site import ENGINES, LEDGER, GatewayVm, SoakSite

Kind = tuple[int, Callable[[], Awaitable[None]]]

# Part of the time in which only planned work is done: bounds hold in calm.
PLANNED_PART: Final = 0.4
PAUSE_BETWEEN_S: Final = (0.1, 1.0)
LASTS_S: Final = (0.3, 3.0)
# How long a leaving endpoint goes on serving, in s.
LINGER_S: Final = 5.0
HARM: Final = [fault for fault in Fault if fault is not Fault.NONE]
STORE_STATUSES: Final = (503, 429)


class FaultInjector:
    """Draws faults and carries them out, several at a time."""

    def __init__(self, site: SoakSite, rng: random.Random) -> None:
        self.site = site
        self.rng = rng
        planned: list[Kind] = [(2, self._stop_gateway),
                               (1, self._reload_gateway),
                               (3, self._replace_endpoint),
                               (2, self._change_route), (1, self._revoke_key),
                               (1, self._bump)]
        self.planned = planned
        self.kinds: list[Kind] = planned + [(3, self._harm_callers),
                                            (3, self._harm_store_path),
                                            (3, self._harm_endpoint),
                                            (2, self._store_down),
                                            (1, self._entries_lapse),
                                            (2, self._kill_gateway),
                                            (3, self._pause_gateway),
                                            (2, self._crash_endpoint),
                                            (2, self._pause_endpoint)]

    async def run(self, seconds: float) -> None:
        """Strikes with everything, then, in calm, with planned work alone."""
        await self._strike_for((1 - PLANNED_PART) * seconds, self.kinds)
        await asyncio.sleep(STABLE_S)
        await self._strike_for(PLANNED_PART * seconds, self.planned)

    async def _strike_for(self, seconds: float, kinds: list[Kind]) -> None:
        """Strikes for some time, then waits until all faults have ended."""
        end = time.monotonic() + seconds
        going: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            _, kind = self.rng.choices(kinds, [each[0] for each in kinds])[0]
            going.add(asyncio.ensure_future(self._strike(kind)))
            await asyncio.sleep(self.rng.uniform(*PAUSE_BETWEEN_S))
        await asyncio.gather(*going)
        for proxy in self.site.proxies():
            proxy.set_fault(Fault.NONE)
        self.site.history.calm_from = time.time()

    async def _strike(self, kind: Callable[[], Awaitable[None]]) -> None:
        await kind()

    def _lasts(self) -> float:
        return self.rng.uniform(*LASTS_S)

    async def _span(self, subject: str, what: str,
                    work: Awaitable[None]) -> None:
        """Carries a fault out and notes when it struck."""
        start = time.time()
        # Noted before it ends: what is judged meanwhile must know of it.
        spans = self.site.history.spans
        spans.append(Span(subject, what, start, float('inf')))
        place = len(spans) - 1
        try:
            await work
        finally:
            spans[place] = Span(subject, what, start, time.time())

    # --- connections ---

    async def _harm(self, proxy: FaultProxy) -> None:
        proxy.set_fault(self.rng.choice(HARM))
        await asyncio.sleep(self._lasts())
        proxy.set_fault(Fault.NONE)

    async def _harm_callers(self) -> None:
        vm = self._gateway()
        await self._span(vm.name, 'callers', self._harm(vm.callers))

    async def _harm_store_path(self) -> None:
        vm = self._gateway()
        await self._span(f'store-{vm.name}', 'path', self._harm(vm.store))

    async def _harm_endpoint(self) -> None:
        endpoint = self.rng.choice(list(self.site.endpoints.values()))
        await self._span(endpoint.name, 'path', self._harm(endpoint.proxy))

    # --- the store ---

    async def _store_down(self) -> None:

        async def down() -> None:
            self.site.store.forced_status = self.rng.choice(STORE_STATUSES)
            await asyncio.sleep(self._lasts())
            self.site.store.forced_status = 0

        await self._span('store', 'down', down())

    async def _entries_lapse(self) -> None:
        """The store is down; entries that lapsed come back after its return."""

        async def lapse() -> None:
            site = self.site
            site.store.forced_status = 503
            await asyncio.sleep(self._lasts())
            living = [
                each for each in site.endpoints.values()
                if self.rng.random() < 0.6
            ]
            for each in living:
                site.store.put('keyed.servers', each.name, None)
            site.store.forced_status = 0
            await asyncio.sleep(self.rng.uniform(0.1, 1.8))
            for each in living:
                if each.name in site.endpoints:
                    site.register(each)

        await self._span('store', 'lapse', lapse())

    # --- gateways ---

    def _gateway(self) -> GatewayVm:
        return self.rng.choice(self.site.gateways)

    async def _end(self, what: str, number: signal.Signals) -> None:
        vm = self._gateway()
        if vm.stopping:
            return

        async def restart() -> None:
            await self.site.end_gateway(vm, number)
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            await self.site.start_gateway(vm)

        await self._span(vm.name, what, restart())

    async def _stop_gateway(self) -> None:
        await self._end('term', signal.SIGTERM)

    async def _kill_gateway(self) -> None:
        await self._end('kill', signal.SIGKILL)

    async def _pause_gateway(self) -> None:
        vm = self._gateway()
        process = vm.process
        if vm.stopping or process is None or process.returncode is not None:
            return

        async def pause() -> None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._lasts())
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

        await self._span(vm.name, 'pause', pause())

    async def _reload_gateway(self) -> None:
        process = self._gateway().process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGHUP)

    # --- endpoints ---

    async def _crash_endpoint(self) -> None:
        endpoint = self.rng.choice(list(self.site.endpoints.values()))

        async def crash() -> None:
            await self.site.remove(endpoint)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await self.site.add_endpoint(endpoint.service)

        if len(self._of(endpoint.service)) > 1:
            await self._span(endpoint.name, 'crash', crash())

    async def _pause_endpoint(self) -> None:
        endpoint = self.rng.choice(list(self.site.endpoints.values()))
        process = endpoint.process

        async def pause() -> None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._lasts())
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

        if process.returncode is None:
            await self._span(endpoint.name, 'pause', pause())

    async def _replace_endpoint(self) -> None:
        """A new endpoint starts, an old one leaves and then exits."""
        service = self.rng.choice((ENGINES, LEDGER))
        await self.site.add_endpoint(service)
        staying = self._of(service)
        if len(staying) < 2:
            return
        endpoint = self.site.endpoints[self.rng.choice(staying)]
        self.site.drain(endpoint)
        await asyncio.sleep(LINGER_S)
        await self._span(endpoint.name, 'exit', self.site.remove(endpoint))

    def _of(self, service: str) -> list[str]:
        return [
            name for name, each in self.site.endpoints.items()
            if each.service == service and name not in self.site.history.drained
        ]

    # --- the operator ---

    async def _change_route(self) -> None:
        """Adds a route, or removes one that was added before."""
        site = self.site
        extra = [name for name in site.routes if name.startswith('/extra')]
        if extra and self.rng.random() < 0.5:
            name = self.rng.choice(extra)
            del site.routes[name]
            site.configure()
            site.history.closed[name] = time.time()
            return
        name = f'/extra{site.operator_version}/'
        site.routes[name] = ('safe', LEDGER)
        site.configure()
        site.history.opened[name] = time.time()

    async def _revoke_key(self) -> None:
        site = self.site
        if 'key-b' in site.keys:
            site.keys['key-d'] = site.keys.pop('key-b')
            site.history.teams['key-d'] = 'team-b'
            site.configure()
            site.history.revoked['key-b'] = time.time()

    async def _bump(self) -> None:
        self.site.name_version()
