"""Fleet of engines of several builds, which start again under their ids."""

import asyncio
import itertools
import json
import pathlib
import random
import sys
import time
from typing import Any, Final

import attrs

from plantainridge.platform import names
from plantainridge.standins.platform_site import StandinStore
from tests.soak.history import History, ServingSpan
from tests.soak.launch import ENDPOINT_HOST
from tests.soak.proxy import FaultProxy

ROOT: Final = pathlib.Path(__file__).parents[2]
HEARTBEAT_S: Final = 1.0


@attrs.define
class Engine:
    """An engine's current process, with a proxy for each gateway by its name.

    Attributes:
        entry: Its entry in the registry.
        written_at: Loop time of the last write of its entry, in s; None while
            it writes none.
        span: Index of the serving span of its current run; None before its
            entry is written.
    """

    name: str
    dc: str
    address: str
    process: asyncio.subprocess.Process
    proxies: dict[str, FaultProxy]
    entry: dict[str, Any]
    written_at: float | None = None
    span: int | None = None


class Fleet:
    """Processes of engines; writes their entries as heartbeats.

    Attributes:
        proxy_hosts: IP number of each gateway's proxies, by its name.
        engines: Engines that live or start again, by name.
        build: Newest build that was started.
    """

    def __init__(self, rng: random.Random, folder: pathlib.Path,
                 store: StandinStore, history: History,
                 dcs: tuple[str, ...]) -> None:
        self.rng = rng
        self.folder = folder
        self.store = store
        self.history = history
        self.dcs = dcs
        self.proxy_hosts: dict[str, str] = {}
        self.engines: dict[str, Engine] = {}
        self.build = 1
        self._processes: list[asyncio.subprocess.Process] = []
        self._numbers = itertools.count(1)

    async def load(self, name: str) -> asyncio.subprocess.Process:
        """Return a process that is ready to start an engine at once."""
        with (self.folder / f'{name}.log').open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'tests.soak.writer',
                name,
                cwd=ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log)
        self._processes.append(process)
        assert process.stdout is not None
        await process.stdout.readline()
        return process

    async def add(self) -> Engine:
        """Start an engine of the newest build and write its entry."""
        name = f'w-{next(self._numbers)}'
        process = await self.load(name)
        entry = await self._start(process, self.build)
        target = entry['address']
        port = int(target.rpartition(':')[2])
        proxies = {}
        for gateway, host in self.proxy_hosts.items():
            proxies[gateway] = FaultProxy(target, self.rng, host, port)
            await proxies[gateway].start()
        engine = Engine(name, self.rng.choice(self.dcs),
                        f'{ENDPOINT_HOST}:{port}', process, proxies, entry)
        self.engines[name] = engine
        self.history.endpoint_dcs[name] = engine.dc
        self.write_entry(engine)
        return engine

    async def restart(self, engine: Engine, build: int, down_s: float) -> None:
        """Kill an engine and start it again under its id and address.

        It does not write its entry yet.

        Args:
            engine: The engine.
            build: Build of its new run.
            down_s: Time until the new run, in s.
        """
        process = await self.load(engine.name)
        await self._kill(engine)
        await asyncio.sleep(down_s)
        engine.process = process
        engine.entry = await self._start(process, build)
        for proxy in engine.proxies.values():
            proxy.target = engine.entry['address']

    def drain(self, engine: Engine) -> None:
        """Mark an engine as leaving in its entry."""
        engine.entry['state'] = names.STATE_DRAINING
        self.write_entry(engine)
        self._end_span(engine)

    async def remove(self, engine: Engine, late_s: float) -> None:
        """Kill an engine; delete its entry some time later, in s."""
        self.engines.pop(engine.name, None)
        await self._kill(engine)
        await asyncio.sleep(late_s)
        self.store.put(names.REGISTRY_TOPIC, engine.name, None)
        for proxy in engine.proxies.values():
            await proxy.stop()

    def reset_connections(self) -> None:
        """Reset all connections to engines."""
        for engine in self.engines.values():
            for proxy in engine.proxies.values():
                proxy.reset_all()

    def write_entry(self, engine: Engine) -> None:
        """Write an engine's entry; those of each run are counted."""
        engine.entry['sequence'] = engine.entry.get('sequence', 0) + 1
        engine.written_at = time.monotonic()
        self.store.put(
            names.REGISTRY_TOPIC, engine.name, {
                **engine.entry, 'address': engine.address,
                'zone': engine.dc,
                'slots': 16
            })
        if (engine.span is None and engine.entry['state'] == names.STATE_READY):
            engine.span = len(self.history.serving_spans)
            self.history.serving_spans.append(
                ServingSpan(engine.name, engine.entry['version'], time.time(),
                            float('inf')))

    async def write_heartbeats(self) -> None:
        """Write the entries of all engines again, until cancelled."""
        while True:
            for engine in self.engines.values():
                if (engine.written_at is not None and
                        time.monotonic() - engine.written_at >= HEARTBEAT_S):
                    self.write_entry(engine)
            await asyncio.sleep(HEARTBEAT_S / 10)

    async def stop(self) -> None:
        """End every process that was started here."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def _start(self, process: asyncio.subprocess.Process,
                     build: int) -> dict[str, Any]:
        """Start the engine of a loaded process; return its entry."""
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(f'b{build}\n'.encode())
        entry: dict[str, Any] = json.loads(await process.stdout.readline())
        return entry

    async def _kill(self, engine: Engine) -> None:
        engine.written_at = None
        self._end_span(engine)
        if engine.process.returncode is None:
            engine.process.kill()
        await engine.process.wait()

    def _end_span(self, engine: Engine) -> None:
        if engine.span is not None:
            spans = self.history.serving_spans
            spans[engine.span] = attrs.evolve(spans[engine.span],
                                              end=time.time())
        engine.span = None
