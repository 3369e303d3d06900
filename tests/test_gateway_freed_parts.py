"""Tests that no part is freed while a VM may have an engine fetch it."""

import asyncio
import json
import math
import unittest
from collections.abc import Callable, Mapping
from typing import Any, Final
from unittest import mock

from plantainridge.gateway import cache
from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import Part, StoredPart, View
from plantainridge.gateway.http_calls import NoResponse
from plantainridge.ids import VmId
from plantainridge.platform import engines
from tests.gateway_fleet import GatewayFleet
from tests.gateway_scene import MODEL, TEAM, endpoint, request

SENDER: Final = VmId('vm0')
OTHER: Final = VmId('vm1')
# The VM with the faster link reads the stores, and frees parts.
LINKS_MBPS: Final = (1.0, 1_000.0)
STEP_S: Final = 0.1
RUN_S: Final = 30.0
# Time within which a call that frees parts must take effect.
MAX_CALL_S: Final = 2.0
OLD = endpoint('a')
NEW = endpoint('a', versions={MODEL: 2})
DRAINING = endpoint('a', draining=True)
GONE = ev.EndpointRemoved(OLD.id)
PROMPT = (Part('opening', 500), Part('context', 8_000), Part('own', 1_000))

# Registry updates of one VM, by the time in s at which it reads them.
Registry = Mapping[float, ev.ViewUpdate]


class FreedPartsTest(unittest.TestCase):
    """Two VMs, of which one sends requests while the other frees parts."""

    def setUp(self) -> None:
        self.fleet = GatewayFleet(2, LINKS_MBPS.__getitem__)
        self.cut_off: set[VmId] = set()
        self.elapsed_s = 0.0
        self._step({})
        salt = cache.make_salt(MODEL, 1, TEAM)
        for store in self.fleet.stores.values():
            for part in PROMPT[:-1]:
                store.save(StoredPart(salt, part.id), part.tokens)
        for _ in range(40):
            self._step({})
        self.elapsed_s = 0.0

    def _send(self, name: VmId) -> None:
        """Send a request whose caller leaves at once."""
        scene = self.fleet.vms[name]
        arrived = request('/report/x',
                          f'r{scene.now:.2f}',
                          parts=PROMPT,
                          prompt_tokens=9_500)
        scene.post(ev.RequestArrived(arrived))
        scene.post(ev.CallerLeft(arrived.id))

    def _step(self, registry: Mapping[VmId, Registry]) -> None:
        self.fleet.run(STEP_S)
        self.elapsed_s = round(self.elapsed_s + STEP_S, 2)
        for name, scene in self.fleet.vms.items():
            if name in self.cut_off:
                scene.post(ev.ViewFailed(View.OPERATOR, False, 'down'))
                continue
            updates = registry.get(name, {})
            scene.read(View.OPERATOR)
            scene.read(
                View.REGISTRY,
                *(each for at, each in updates.items() if at == self.elapsed_s))

    def _name_version(self) -> None:
        for name, scene in self.fleet.vms.items():
            if name not in self.cut_off:
                scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))

    def _run(self,
             registry: Mapping[VmId, Registry],
             at_step: Callable[[], None] = lambda: None) -> None:
        """Send requests from both VMs while the registry changes."""
        while self.elapsed_s < RUN_S:
            self._step(registry)
            at_step()
            for name in self.fleet.vms:
                self._send(name)
        self._check()

    def _check(self) -> None:
        """Check that each fetch ends before its parts are freed."""
        self.assertTrue(self.fleet.frees)
        for freed_at, free in self.fleet.frees:
            freed = {(part.salt, part.id) for part in free.parts}
            for sent_at, send in self.fleet.sends:
                plan = send.cache
                assert plan is not None
                fetched = {(plan.salt, part.id)
                           for part, source in zip(PROMPT, plan.fetch_from)
                           if source == free.address}
                if fetched & freed:
                    self.assertLess(plan.fetch_until_ms / 1_000, freed_at,
                                    f'fetch that was sent at {sent_at:.2f} s')

    def test_parts_outlast_an_engine_whose_entry_expires(self) -> None:
        self._name_version()
        self._run({OTHER: {1.0: GONE}})

    def test_parts_outlast_an_engine_that_drains(self) -> None:
        self._name_version()
        self._run({OTHER: {1.0: DRAINING, 2.0: GONE}})

    def test_parts_outlast_an_engine_that_crashes_and_returns(self) -> None:
        self._name_version()
        self._run({OTHER: {1.0: GONE, 3.5: OLD, 8.0: NEW}})

    def test_parts_outlast_a_vm_cut_off_from_the_metadata_store(self) -> None:
        self.cut_off.add(SENDER)
        self._name_version()
        self._run({OTHER: {1.0: GONE}})

    def test_parts_outlast_a_vm_that_reads_the_new_version_late(self) -> None:
        self.cut_off.add(SENDER)
        self._name_version()

        def reconnect() -> None:
            if self.elapsed_s == 3.5:
                self.cut_off.clear()
                self._name_version()

        self._run({OTHER: {1.0: GONE}}, reconnect)

    def test_restarted_vm_does_not_fetch_parts_of_replaced_weights(
            self) -> None:
        self._name_version()

        def restart() -> None:
            if self.elapsed_s != 1.5:
                return
            started = GatewayFleet(2, LINKS_MBPS.__getitem__).vms[SENDER]
            started.now = self.fleet.now
            started.timers = dict.fromkeys(started.timers, self.fleet.now)
            started.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
            self.fleet.vms[SENDER] = started

        self._run({OTHER: {1.0: GONE}, SENDER: {1.0: GONE}}, restart)

    def test_late_call_to_free_parts_is_void(self) -> None:
        self._name_version()
        self._run({OTHER: {1.0: NEW}, SENDER: {1.0: NEW}})
        freed_at, free = self.fleet.frees[0]
        until_ms = _call_body(free).get('until_ms', math.inf)
        self.assertGreater(until_ms, freed_at * 1_000)
        self.assertLess(until_ms, (freed_at + MAX_CALL_S) * 1_000)


def _call_body(free: fx.FreeParts) -> dict[str, Any]:
    """Return the body with which a store is called to free parts."""
    bodies: list[dict[str, Any]] = []

    async def call(*args: Any) -> NoResponse:
        bodies.append(json.loads(args[-1]))
        return NoResponse('down', True)

    tasks = mock.Mock(spawn=asyncio.run)
    port = engines.PlatformEngines(mock.Mock(), tasks, OTHER,
                                   lambda event: None)
    with mock.patch.object(engines, 'call', call):
        port.free_parts(free)
    return bodies[0]
