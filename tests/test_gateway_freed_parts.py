"""Tests that no part is freed while a VM may have an engine fetch it."""

import asyncio
import json
import math
import unittest
from collections.abc import Callable, Mapping
from typing import Any, Final
from unittest import mock

from plantainridge.gateway import cache, http_client, stored_parts
from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import Part, StoredPart, View
from plantainridge.gateway.http_calls import NoResponse, Response
from plantainridge.ids import ServiceId, VmId
from plantainridge.loop.events import Event, TimerFired, TimerKey
from plantainridge.platform import engines
from tests.gateway_fleet import GatewayFleet
from tests.gateway_scene import (MODEL, TEAM, GatewayScene, endpoint, request)

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


class FailedFreeTest(unittest.TestCase):
    """One VM whose call that frees a part may fail."""

    def setUp(self) -> None:
        self.scene = GatewayScene(NEW)
        self.store = next(iter(self.scene.state.stores.views))
        self.part = StoredPart(cache.make_salt(MODEL, 1, TEAM), 'opening')
        self.scene.post(ev.StoreListed(self.store, 1, 9, {self.part: 400}, {}))
        self.scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))

    def _run_to_free(self, count: int) -> float:
        """Run until a number of calls were made; return the time in s."""
        scene, start = self.scene, self.scene.now
        while len(scene.all(fx.FreeParts)) < count:
            self.assertLess(scene.now, start + RUN_S)
            scene.now += STEP_S
            scene.read(View.OPERATOR)
            scene.read(View.REGISTRY, NEW)
            scene.post(
                ev.StoreChanged(self.store, 1, 9, False, (), scene.now * 1_000))
            scene.post(TimerFired(TimerKey(ev.TimerKind.STORE, self.store)))
            scene.tick()
        return scene.now - start

    def _used_tokens(self) -> int:
        return self.scene.state.stores.views[self.store].used_tokens

    def test_call_without_effect_is_repeated_and_frees_no_space(self) -> None:
        self._run_to_free(1)
        self.assertEqual(self._used_tokens(), 400)
        self.assertLess(self._run_to_free(2), 5.0)
        self.assertEqual(self._used_tokens(), 400)

    def test_failed_call_is_logged_with_its_reason(self) -> None:
        self._run_to_free(1)
        self.scene.post(ev.FreeFailed(self.store, 'status 409'))
        self.assertEqual(self.scene.lines[-1].event, 'parts_not_freed')
        self.assertIn(('reason', 'status 409'), self.scene.lines[-1].fields)

    def test_confirmed_call_frees_the_space_in_the_same_run_only(self) -> None:
        self._run_to_free(1)
        for epoch, tokens in ((2, 400), (1, 0)):
            self.scene.post(ev.PartsFreed(self.store, epoch, (self.part,)))
            self.assertEqual(self._used_tokens(), tokens)

    def test_call_is_repeated_only_once_it_is_void(self) -> None:
        self.assertGreater(
            stored_parts.FREE_RETRY_S, stored_parts.FREE_TIMEOUT_S +
            engines.TIMEOUT_S + http_client.CONNECT_TIMEOUT_S)


class FreeCallTest(unittest.TestCase):
    """Answers of a store to a call that frees parts."""

    def test_each_answer_is_reported(self) -> None:
        parts = (StoredPart('1.s', 'p'),)
        free = fx.FreeParts(ServiceId('s'), '10.0.9.1:1', 3, parts, 0)
        cases = (
            (Response(200, b''), ev.PartsFreed(free.store, 3, parts)),
            (Response(409, b''), ev.FreeFailed(free.store, 'status 409')),
            (Response(503, b''), ev.FreeFailed(free.store, 'status 503')),
            (NoResponse('down', True), ev.FreeFailed(free.store, 'down')),
        )
        for answer, event in cases:
            with self.subTest(answer):
                posted: list[Event] = []
                port = engines.PlatformEngines(mock.Mock(),
                                               mock.Mock(spawn=asyncio.run),
                                               OTHER, posted.append)
                with mock.patch.object(engines, 'call',
                                       mock.AsyncMock(return_value=answer)):
                    port.free_parts(free)
                self.assertEqual(posted, [event])


# Position of the body among the arguments of `http_calls.call`.
BODY_ARGUMENT = 5


def _call_body(free: fx.FreeParts) -> dict[str, Any]:
    """Return the body with which a store is called to free parts."""
    bodies: list[dict[str, Any]] = []

    async def call(*args: Any) -> NoResponse:
        bodies.append(json.loads(args[BODY_ARGUMENT]))
        return NoResponse('down', True)

    tasks = mock.Mock(spawn=asyncio.run)
    port = engines.PlatformEngines(mock.Mock(), tasks, OTHER,
                                   lambda event: None)
    with mock.patch.object(engines, 'call', call):
        port.free_parts(free)
    return bodies[0]
