"""Tests of decisions under overload and faults, and of their benchmarks."""

import asyncio
import unittest

import attrs

from plantainridge import (bench_drain, bench_overload, bench_poison, drain,
                           fairness, quarantine, retries, virtual_time)
from plantainridge import events as ev
from plantainridge.ids import EndpointId
from plantainridge.refusals import RanState, Reason
from plantainridge.requests import STALL_TIMEOUT_S
from plantainridge.standins.crashing import CRASH_MARK, CrashingEngine
from plantainridge.standins.engine import token_at
from plantainridge.standins.traffic import Platform
from plantainridge.standins.world import (LEDGER, LOOKUP, TEAM, VERSION, World)

READY_S = 3.0
WAIT_S = 60.0


class BenchTest(unittest.TestCase):
    """The benchmarks meet their targets at a small size."""

    def test_overload_keeps_goodput(self) -> None:
        result = bench_overload.run(1, (1.0, 4.0), 6.0)
        figures = result['figures']
        self.assertGreaterEqual(
            figures['4']['goodput_rps'],
            bench_overload.MIN_GOODPUT_RATIO * figures['1']['goodput_rps'])
        # Refused at once.
        self.assertEqual(figures['4']['refused_wait_p95_s'], 0.0)

    def test_poison_and_drain_have_no_violation(self) -> None:
        self.assertEqual(bench_poison.run(1, 1)['violations'], [])
        self.assertEqual(bench_drain.run(1)['violations'], [])


class QuarantineTest(unittest.TestCase):
    """A request that crashes endpoints is refused after two crashes."""

    def test_two_crashes_in_all_by_any_vm(self) -> None:

        async def scenario() -> None:
            world = World(vms=3, engines=4)
            engines = [CrashingEngine(name, VERSION) for name in world.engines]
            world.engines.update({each.name: each for each in engines})
            await asyncio.sleep(READY_S)
            text = f'{CRASH_MARK} at once'
            reply = world.call_model(world.vms[0], text)
            await asyncio.wait_for(reply.done.wait(), WAIT_S)
            self.assertEqual(reply.refusal and reply.refusal.reason,
                             Reason.QUARANTINED)
            self.assertEqual(reply.refusal and reply.refusal.ran,
                             RanState.UNKNOWN)
            await asyncio.sleep(0.003)
            for vm in world.vms:
                again = world.call_model(vm, text)
                self.assertEqual(again.refusal and again.refusal.reason,
                                 Reason.QUARANTINED)
                self.assertEqual(again.refusal and again.refusal.ran,
                                 RanState.NOT_RUN)
            self.assertEqual(sum(len(e.crashed_by) for e in engines), 2)
            await asyncio.sleep(quarantine.RETENTION_S + 1)
            for vm in world.vms:
                self.assertEqual(vm.state.quarantine.suspects, {})

        virtual_time.run(scenario())

    def test_a_cleared_suspect_gets_its_complete_answer(self) -> None:

        async def scenario() -> None:
            world = World(vms=2, engines=3)
            await asyncio.sleep(READY_S)
            reply = world.call_model(world.vms[0], 'q', max_tokens=80)
            await asyncio.sleep(0.5)
            for engine in world.engines.values():
                if engine.running:
                    engine.crash()
            await asyncio.wait_for(reply.done.wait(), WAIT_S)
            self.assertEqual(reply.tokens,
                             [token_at('q', VERSION, i) for i in range(80)])
            await asyncio.sleep(1)
            for vm in world.vms:
                self.assertEqual(vm.state.quarantine.suspects, {})

        virtual_time.run(scenario())


class RanStateTest(unittest.TestCase):
    """The final answer comes once and states whether the request ran."""

    def test_a_stalled_stream_is_resumed_elsewhere(self) -> None:

        async def scenario() -> None:
            world = World()
            await asyncio.sleep(READY_S)
            reply = world.call_model(world.vms[0], 'q', max_tokens=60)
            await asyncio.sleep(0.5)
            [busy] = [e for e in world.engines.values() if e.running]
            busy.slowdown = 1e9
            await asyncio.sleep(STALL_TIMEOUT_S + 10)
            self.assertEqual(reply.tokens,
                             [token_at('q', VERSION, i) for i in range(60)])
            self.assertEqual(busy.running, [])

        virtual_time.run(scenario())

    def test_not_run_only_if_no_attempt_may_have_run(self) -> None:

        async def scenario(failure: ev.Failure) -> RanState | None:
            world = World(engines=1)
            await asyncio.sleep(READY_S)
            vm = world.vms[0]
            reply = world.call_model(vm, 'q')
            [attempt] = vm.state.calls.attempts
            world.engines[EndpointId('e0')].alive = False
            vm.runtime.post(ev.AttemptFailed(attempt, failure))
            await asyncio.wait_for(reply.done.wait(), WAIT_S)
            self.assertEqual(reply.final_count, 1)
            return reply.refusal.ran if reply.refusal else None

        cases = ((ev.Failure.CONNECT_REFUSED, RanState.NOT_RUN),
                 (ev.Failure.TIMED_OUT, RanState.UNKNOWN))
        for failure, ran in cases:
            with self.subTest(failure.value):
                self.assertIs(virtual_time.run(scenario(failure)), ran)

    def test_a_retry_succeeds_after_its_team_and_endpoint_are_removed(
            self) -> None:

        async def scenario() -> None:
            world = World()
            await asyncio.sleep(READY_S)
            vm = world.vms[0]
            reply = world.call_model(vm, 'q', max_tokens=60)
            await asyncio.sleep(0.3)
            [busy] = [e for e in world.engines.values() if e.running]
            left = {
                name: each
                for name, each in world.config.endpoints.items()
                if name != busy.name
            }
            world.publish(0, attrs.evolve(world.config,
                                          teams={},
                                          endpoints=left))
            await asyncio.sleep(0.3)
            self.assertNotIn(TEAM, vm.state.config.teams)
            busy.crash()
            await asyncio.wait_for(reply.done.wait(), WAIT_S)
            self.assertEqual(reply.tokens,
                             [token_at('q', VERSION, i) for i in range(60)])

        virtual_time.run(scenario())


class StopTest(unittest.TestCase):
    """A planned stop cuts no request."""

    def test_serves_through_the_grace_period_and_finishes_before_exit(
            self) -> None:

        async def scenario() -> None:
            world = World()
            await asyncio.sleep(READY_S)
            vm = world.vms[0]
            stream = world.call_model(vm, 'q', max_tokens=400)
            world.stop_callback(vm)()
            self.assertFalse(vm.state.ready)
            called = world.call_service(vm, LOOKUP)
            run_once = world.call_service(vm, LEDGER, world.new_key())
            await asyncio.sleep(drain.STOP_GRACE_S)
            self.assertEqual((called.status, run_once.status), (200, 200))
            for late in (world.call_model(vm,
                                          'r'), world.call_service(vm, LOOKUP)):
                self.assertEqual(late.refusal and late.refusal.ran,
                                 RanState.NOT_RUN)
            self.assertFalse(vm.exited)
            await asyncio.wait_for(stream.done.wait(), WAIT_S)
            self.assertEqual(len(stream.tokens), 400)
            await asyncio.sleep(1)
            self.assertTrue(vm.exited)
            self.assertEqual(vm.state.claims.unconfirmed, {})

        virtual_time.run(scenario())


class BudgetTest(unittest.TestCase):
    """Retries stay within a ratio of the first attempts."""

    def test_refills_on_first_attempts_only(self) -> None:
        budget = retries.Budget(burst=3, available=3)
        self.assertEqual([budget.take() for _ in range(4)],
                         [True, True, True, False])
        for _ in range(25):
            budget.refill()
        self.assertEqual([budget.take() for _ in range(3)], [True, True, False])


class SlowEndpointTest(unittest.TestCase):
    """A slow endpoint is detected by its latency and avoided."""

    def test_gets_no_work_until_its_slowness_decays(self) -> None:

        async def scenario() -> None:
            world = World(engines=4)
            platform = Platform(world, 1)
            await asyncio.sleep(READY_S)
            slow = EndpointId('e2')
            world.engines[slow].slowdown = 100.0
            for number in range(60):
                world.call_model(world.vms[0], f'{number}'.ljust(4_000), 2)
                await asyncio.sleep(0.1)
            self.assertIn(slow, world.vms[0].state.health.slow)
            world.engines[slow].slowdown = 1.0
            await asyncio.sleep(60)
            self.assertNotIn(slow, world.vms[0].state.health.slow)
            platform.stop()

        virtual_time.run(scenario())


class MaxMinShareTest(unittest.TestCase):
    """Max-min shares add up to the capacity, and none exceeds its demand."""

    def test_level(self) -> None:
        cases: tuple[tuple[list[float], float, float],
                     ...] = (([10, 10], 10, 5), ([1, 3, 20], 10, 6),
                             ([1, 2], 10, 2), ([], 1, 0))
        for offered, capacity, share in cases:
            with self.subTest(offered=offered):
                self.assertAlmostEqual(fairness.fair_share(offered, capacity),
                                       share)
