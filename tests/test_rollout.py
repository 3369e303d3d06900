"""Tests of leases, orders to engines and changes of weight versions."""

import asyncio
import random
import unittest

import attrs

from plantainridge import lease_records as lr
from plantainridge import leases, virtual_time
from plantainridge.events import LoadReported, Record
from plantainridge.http_ports import new_client
from plantainridge.ids import Incarnation, WeightVersion
from plantainridge.loop.events import Event
from plantainridge.loop.tasks import Tasks
from plantainridge.orders import (EngineReported, OrderEnded, OrderEngine,
                                  OrderOutcome, RequestEngineReport)
from plantainridge.orders_http import HttpOrderPort
from plantainridge.reports import log_fault
from plantainridge.serve import AppServer
from plantainridge.standins import engine_orders_http
from plantainridge.standins.engine import PREFILL_TOKENS_PER_S, token_at
from plantainridge.standins.engine_http import EngineApp
from plantainridge.standins.memory import Reply
from plantainridge.standins.memory_log import LogFaults
from plantainridge.standins.world import DC, MODEL, VERSION, Vm, World

V2 = WeightVersion('v2')
REPORT_INTERVAL_S = 0.5
SEEDS = range(30)


def report_loads(world: World) -> None:
    """Report each engine's load to every VM, at intervals."""
    loop = asyncio.get_running_loop()
    for engine in world.engines.values():
        if engine.alive:
            event = LoadReported(engine.name, loop.time(), len(engine.running),
                                 engine.waiting_tokens(), PREFILL_TOKENS_PER_S,
                                 engine.version)
            for vm in world.vms:
                vm.runtime.post(event)
    loop.call_later(REPORT_INTERVAL_S, report_loads, world)


def publish_version(world: World,
                    version: WeightVersion,
                    adapter: str = '') -> None:
    """Publish a revision that names another weight version."""
    current = world.vms[-1].state.config
    model = attrs.evolve(current.models[MODEL],
                         version=version,
                         adapter=adapter)
    world.publish(current.revision, attrs.evolve(current,
                                                 models={MODEL: model}))


def holders(world: World) -> list[Vm]:
    """Return the VMs that hold the lease of the data centre."""
    now = asyncio.get_running_loop().time()
    return [
        vm for vm in world.vms
        if leases.fence(vm.state, DC, now) != leases.NO_FENCE
    ]


class LeaseRecordTest(unittest.TestCase):
    """Terms of different holders never overlap for any reader."""

    def test_random_records(self) -> None:
        held = 0
        for seed in SEEDS:
            rng = random.Random(seed)
            complete_history = lr.LeaseHistory(complete_since=float('-inf'))
            spans: list[tuple[float, float, str]] = []
            records: list[tuple[lr.LeaseRecord, Record]] = []
            at = 0.0
            for offset in range(300):
                at += rng.expovariate(0.3)
                record = lr.LeaseRecord(
                    'dc', Incarnation(rng.choice('abc')),
                    rng.choice((lr.LeaseAct.CLAIM, lr.LeaseAct.RENEW,
                                lr.LeaseAct.RENEW)), offset)
                log_record = Record(offset, at, b'')
                records.append((record, log_record))
                if complete_history.apply(record, log_record):
                    spans.append((at, at + lr.DURATION_S, record.holder))
            held += len({holder for _, _, holder in spans})
            for start, end, holder in spans:
                for other_start, _, other in spans:
                    if other != holder:
                        self.assertFalse(start <= other_start < end, seed)
            self._check_late_reader(records, complete_history)
        self.assertGreater(held, len(SEEDS))

    def _check_late_reader(self, records: list[tuple[lr.LeaseRecord, Record]],
                           complete_history: lr.LeaseHistory) -> None:
        late_reader = lr.LeaseHistory(complete_since=records[100][1].at)
        for record, log_record in records[100:]:
            late_reader.apply(record, log_record)
        # A late reader may miss a term but never derives a wrong one.
        for holder, term in late_reader.terms.items():
            self.assertEqual(complete_history.terms[holder].at, term.at)


class HolderTest(unittest.TestCase):
    """At most one VM holds the lease, despite restarts and log faults."""

    def test_one_holder_and_a_growing_fence(self) -> None:

        async def scenario() -> None:
            world = World(vms=4)
            fences: list[int] = []
            rng = random.Random(7)
            for step in range(600):
                await asyncio.sleep(0.5)
                found = holders(world)
                self.assertLessEqual(len(found), 1)
                for vm in found:
                    now = vm.runtime.loop.time()
                    fence = leases.fence(vm.state, DC, now)
                    self.assertGreaterEqual(fence, max(fences, default=-1))
                    fences.append(fence)
                if step % 40 == 39 and found:
                    world.replace_vm(found[0])
                if step % 150 == 149:
                    for vm in world.vms:
                        vm.log.faults = LogFaults(lose_answer=0.3,
                                                  delay=rng.choice((0.0, 0.3)))
            self.assertGreater(len(set(fences)), 5)

        virtual_time.run(scenario())

    def test_holder_cut_off_from_the_log_is_replaced(self) -> None:

        async def scenario() -> None:
            world = World(vms=2)
            await asyncio.sleep(30)
            holder = holders(world)[0]
            fence = leases.fence(holder.state, DC, holder.runtime.loop.time())
            world.network.cut.add(frozenset((holder.name, 'log')))
            await asyncio.sleep(60)
            successor = holders(world)
            self.assertEqual(len(successor), 1)
            self.assertIsNot(successor[0], holder)
            self.assertGreater(
                leases.fence(successor[0].state, DC,
                             holder.runtime.loop.time()), fence)

        virtual_time.run(scenario())

    def test_engines_refuse_an_old_fence_where_they_check(self) -> None:

        async def scenario() -> None:
            world = World(engines=2)
            checks, ignores = world.orders.values()
            ignores.checks_fencing = False
            target = attrs.evolve(checks.loaded, version=V2)
            back = attrs.evolve(checks.loaded, version=VERSION)
            for handler in (checks, ignores):
                self.assertIs(await handler.order(9, target), OrderOutcome.DONE)
            self.assertIs(await checks.order(3, back), OrderOutcome.FENCED)
            self.assertIs(await ignores.order(3, back), OrderOutcome.DONE)

        virtual_time.run(scenario())


class VersionChangeTest(unittest.TestCase):
    """Engines change to the configured version without losing requests."""

    def test_version_change_under_load(self) -> None:

        async def scenario() -> None:
            world = World(vms=3, engines=5)
            # One engine does not check fencing tokens.
            next(iter(world.orders.values())).checks_fencing = False
            report_loads(world)
            await asyncio.sleep(25)
            rng = random.Random(3)
            requests: list[tuple[str, Reply]] = []
            for step in range(1_200):
                if step == 200:
                    publish_version(world, V2)
                if step == 210:
                    world.replace_vm(holders(world)[0])
                text = f'{rng.randrange(60)} ' * 2_000
                vm = rng.choice([vm for vm in world.vms if vm.state.ready])
                requests.append((text, world.call_model(vm, text)))
                await asyncio.sleep(0.05)
            await asyncio.sleep(30)
            self.assertEqual(
                {engine.version for engine in world.engines.values()}, {V2})
            self.assertLessEqual(world.weights.peak_loading, 2)
            served = self._versions(world, requests)
            self.assertEqual(served, {VERSION, V2})
            self.assertEqual(world.audit.foreign_reads, [])

        virtual_time.run(scenario())

    def _versions(self, world: World, requests: list[tuple[str,
                                                           Reply]]) -> set[str]:
        interrupted = {
            id(sent.reply) for sent in world.sent_requests if sent.interrupted
        }
        versions: set[str] = set()
        for text, reply in requests:
            if id(reply) in interrupted:
                continue
            self.assertIsNotNone(reply.ended, reply.refusal)
            expected = {
                version: [token_at(text, version, i) for i in range(10)]
                for version in (VERSION, V2)
            }
            found = [
                v for v, tokens in expected.items() if tokens == reply.tokens
            ]
            self.assertEqual(len(found), 1)
            versions.update(found)
        return versions

    def test_lost_orders_are_sent_again(self) -> None:

        async def scenario() -> None:
            world = World(vms=2, engines=4)
            report_loads(world)
            for vm in world.vms:
                port = vm.runtime.ports.orders
                setattr(port, 'lose_answer', 0.5)
            await asyncio.sleep(25)
            publish_version(world, V2, adapter='night')
            await asyncio.sleep(90)
            for handler in world.orders.values():
                self.assertEqual(
                    (handler.loaded.version, handler.loaded.adapter),
                    (V2, 'night'))
            # A rollback is a new revision.
            publish_version(world, VERSION)
            await asyncio.sleep(90)
            for handler in world.orders.values():
                self.assertEqual(
                    (handler.loaded.version, handler.loaded.adapter),
                    (VERSION, ''))
            self.assertLessEqual(world.weights.peak_loading, 2)

        virtual_time.run(scenario())


class SocketTest(unittest.TestCase):
    """Orders over loopback HTTP end with the expected outcome."""

    def test_orders_over_http(self) -> None:

        async def scenario() -> None:
            world = World(vms=0, engines=1)
            handler = next(iter(world.orders.values()))
            app = EngineApp(handler.engine,
                            engine_orders_http.routes(handler)).app
            server = AppServer(app, '127.0.0.1', 0)
            await server.start()
            tasks, client = Tasks(log_fault), new_client()
            port = HttpOrderPort(client, tasks)
            received = asyncio.Queue[Event]()
            name = handler.engine.name
            target = attrs.evolve(handler.loaded, version=V2)
            for fence, address, outcome in ((7, server.address,
                                             OrderOutcome.DONE),
                                            (3, server.address,
                                             OrderOutcome.FENCED),
                                            (8, '127.0.0.1:9',
                                             OrderOutcome.FAILED)):
                port.order(OrderEngine('o', name, address, fence, target),
                           received.put_nowait)
                self.assertEqual(await received.get(),
                                 OrderEnded('o', name, outcome))
            port.request_report(RequestEngineReport(name, server.address),
                                received.put_nowait)
            self.assertEqual(await received.get(),
                             EngineReported(name, target, False))
            await tasks.cancel()
            await client.aclose()
            await server.stop()

        asyncio.run(scenario())
