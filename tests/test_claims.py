"""Tests of run-once calls."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from plantainridge import claim_keys, virtual_time
from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.claim_state import ClaimLimits
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.standins.memory import Reply
from plantainridge.standins.memory_log import LogFaults
from plantainridge.standins.memory_services import ServiceFaults
from plantainridge.standins.world import LEDGER, OTHER_TEAM, Vm, World

# Longer than any timeout of a run-once call.
LONG_S = 60.0


async def start_world(vms: int = 2) -> World:
    """Start a world and wait until its VMs have read the log."""
    world = World(vms=vms)
    await asyncio.sleep(1)
    return world


def stop_before(vm: Vm, kind: type[base.Effect | Event],
                stop: Callable[[], None]) -> None:
    """Stop a VM once, just before its next effect or event of a kind."""
    seen: list[base.Effect | Event] = []

    def watch(step: base.Effect | Event) -> None:
        if isinstance(step, kind) and not seen:
            seen.append(step)
            stop()

    vm.runtime.watchers.append(watch)


def count_claim_records(world: World) -> int:
    """Count the records in the claims streams of the log."""
    return sum(
        len(stream.records)
        for (name, _), stream in world.log.streams.items()
        if name == 'claims')


class ClaimCase(unittest.TestCase):
    """Base class with helpers for scenarios."""

    def run_scenario(self, scenario: Coroutine[Any, Any, None]) -> None:
        """Run a scenario in virtual time."""
        virtual_time.run(scenario)

    def check_ran(self, world: World, key: str, times: int) -> None:
        """Check how often the service ran the call of a key."""
        self.assertEqual(world.ledger.runs[f'bureau/{key}'], times)

    def check_refused(self, reply: Reply, reason: Reason,
                      ran: RanState) -> None:
        """Check that the caller got exactly this refusal."""
        refusal = reply.refusal
        assert isinstance(refusal, Refusal), reply
        self.assertEqual((refusal.reason, refusal.ran, reply.final_count),
                         (reason, ran, 1))


class SameKeyTest(ClaimCase):
    """Calls with the same key on any VMs."""

    def test_second_call_gets_the_first_answer(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            key = world.new_key()
            first = world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(1)
            second = world.call_service(world.vms[1], LEDGER, key)
            await asyncio.sleep(1)
            self.assertEqual((first.status, first.body), (200, b'1'))
            self.assertEqual((second.status, second.body), (200, b'1'))
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())

    def test_concurrent_calls_run_once_and_share_the_answer(self) -> None:

        async def scenario() -> None:
            world = await start_world(vms=5)
            key = world.new_key()
            attempts = [
                world.call_service(vm, LEDGER, key)
                for vm in world.vms
                for _ in range(2)
            ]
            await asyncio.sleep(LONG_S)
            self.assertEqual([t.body for t in attempts], [b'1'] * len(attempts))
            self.assertEqual([t.final_count for t in attempts],
                             [1] * len(attempts))
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())

    def test_another_body_is_a_conflict_on_any_vm(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            key = world.new_key()
            world.call_service(world.vms[0], LEDGER, key)
            same = world.call_service(world.vms[0], LEDGER, key, b'other')
            await asyncio.sleep(1)
            other = world.call_service(world.vms[1], LEDGER, key, b'other')
            for reply in (same, other):
                self.check_refused(reply, Reason.KEY_CONFLICT, RanState.NOT_RUN)
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())

    def test_teams_do_not_share_keys(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            key = world.new_key()
            world.call_service(world.vms[0], LEDGER, key)
            reply = world.call_service(world.vms[1],
                                       LEDGER,
                                       key,
                                       b'x',
                                       team=OTHER_TEAM)
            await asyncio.sleep(1)
            self.assertEqual(reply.status, 200)
            self.assertEqual(world.ledger.runs[f'council/{key}'], 1)

        self.run_scenario(scenario())


class KeyFormTest(ClaimCase):
    """Accepted and refused forms of keys."""

    def test_refuses_keys_without_a_time(self) -> None:
        cases = {
            '': Reason.KEY_REQUIRED,
            'pickup': Reason.KEY_INVALID,
            '12-': Reason.KEY_INVALID,
            '12-a b': Reason.KEY_INVALID,
            '12-' + 'x' * claim_keys.MAX_KEY_CHARS: Reason.KEY_INVALID,
            'f47ac10b-58cc-4372-a567-0e02b2c3d479': Reason.KEY_INVALID,
            '99999-far-ahead': Reason.KEY_INVALID,
        }

        async def scenario() -> None:
            world = await start_world()
            for key, reason in cases.items():
                reply = world.call_service(world.vms[0], LEDGER, key)
                self.check_refused(reply, reason, RanState.NOT_RUN)
            self.assertEqual(sum(world.ledger.runs.values()), 0)

        self.run_scenario(scenario())

    def test_reads_the_creation_time_of_a_key(self) -> None:
        self.assertEqual(claim_keys.creation_time('1733270000-pickup.7'),
                         1733270000)
        self.assertEqual(
            claim_keys.creation_time('019389a4-7c80-7000-8000-0123456789ab'),
            0x019389a47c80 / 1000)


class PauseTest(ClaimCase):
    """A VM is paused at a step for longer than any timeout."""

    def test_runs_once_whatever_the_step(self) -> None:
        steps: tuple[type[base.Effect | Event],
                     ...] = (fx.AppendLog, ev.AppendEnded, ev.LogRead,
                             fx.CallService, ev.ServiceAnswered,
                             fx.SendServiceAnswer)

        async def scenario(step: type[base.Effect | Event]) -> None:
            world = await start_world()
            first, second = world.vms
            stop_before(first, step, first.runtime.pause)
            key = world.new_key()
            early = world.call_service(first, LEDGER, key)
            await asyncio.sleep(LONG_S)
            resent = world.call_service(second, LEDGER, key)
            await asyncio.sleep(LONG_S)
            first.runtime.resume()
            await asyncio.sleep(LONG_S)
            again = world.call_service(second, LEDGER, key)
            await asyncio.sleep(LONG_S)
            self.check_ran(world, key, 1)
            self.assertEqual([t.final_count for t in (early, resent, again)],
                             [1, 1, 1])
            self.assertEqual(again.body, b'1')

        for step in steps:
            with self.subTest(step=step.__name__):
                self.run_scenario(scenario(step))


class KillTest(ClaimCase):
    """A VM is killed at a step; its call is never run again."""

    def test_later_calls_get_the_outcome_or_unknown(self) -> None:
        # By the step before which the VM is killed: how often the call ran in
        # total, and the refusal of later calls (None: they are answered).
        unknown = (Reason.OUTCOME_UNKNOWN, RanState.UNKNOWN)
        cases: dict[type[base.Effect | Event], tuple[int, Any]] = {
            fx.AppendLog: (1, None),
            ev.AppendEnded: (0, unknown),
            fx.CallService: (0, unknown),
            ev.ServiceAnswered: (1, unknown),
            fx.SendServiceAnswer: (1, unknown),
        }

        async def scenario(step: type[base.Effect | Event], runs: int,
                           expected_refusal: Any) -> None:
            world = await start_world()
            first, second = world.vms
            stop_before(first, step, lambda: world.kill_vm(first))
            key = world.new_key()
            world.call_service(first, LEDGER, key)
            await asyncio.sleep(1)
            soon = world.call_service(second, LEDGER, key)
            await asyncio.sleep(LONG_S)
            late = world.call_service(second, LEDGER, key)
            await asyncio.sleep(LONG_S)
            self.check_ran(world, key, runs)
            if expected_refusal is None:
                self.assertEqual((soon.body, late.body), (b'1', b'1'))
                return
            self.check_refused(soon, Reason.IN_PROGRESS, RanState.UNKNOWN)
            self.check_refused(late, *expected_refusal)

        for step, (runs, expected_refusal) in cases.items():
            with self.subTest(step=step.__name__):
                self.run_scenario(scenario(step, runs, expected_refusal))


class StopTest(ClaimCase):
    """A planned stop while a run-once call is in progress."""

    def test_waits_for_another_vms_outcome(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            first, second = world.vms
            first.services.run_s = 8.0
            key = world.new_key()
            world.call_service(first, LEDGER, key)
            await asyncio.sleep(1)
            reply = world.call_service(second, LEDGER, key)
            second.runtime.post(ev.StopRequested())
            await asyncio.sleep(LONG_S)
            self.assertEqual(reply.body, b'1')
            self.assertTrue(second.exited)

        self.run_scenario(scenario())

    def test_appends_the_outcome_before_exit_if_possible(self) -> None:

        async def scenario(out_s: float, body: bytes) -> None:
            world = await start_world()
            first, second = world.vms
            key = world.new_key()
            world.call_service(first, LEDGER, key)
            await asyncio.sleep(0.006)
            world.log.down = True
            first.runtime.post(ev.StopRequested())
            await asyncio.sleep(out_s)
            world.log.down = False
            await asyncio.sleep(LONG_S)
            self.assertTrue(first.exited)
            self.check_ran(world, key, 1)
            reply = world.call_service(second, LEDGER, key)
            await asyncio.sleep(LONG_S)
            self.assertEqual(reply.body, body)

        self.run_scenario(scenario(5.0, b'1'))
        self.run_scenario(scenario(100.0, b''))


class LogFaultTest(ClaimCase):
    """The log is unavailable or its answers are lost."""

    def test_claim_is_read_back_if_the_append_answer_is_lost(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            world.vms[0].log.faults = LogFaults(lose_answer=1.0)
            key = world.new_key()
            reply = world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(1)
            self.assertEqual(reply.body, b'1')
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())

    def test_delayed_claim_never_runs_and_is_released(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            first, second = world.vms
            first.log.faults = LogFaults(delay=1.0, delay_s=20.0)
            world.rng.seed(3)
            key = world.new_key()
            before = count_claim_records(world)
            reply = world.call_service(first, LEDGER, key)
            await asyncio.sleep(4)
            self.check_refused(reply, Reason.LOG_UNAVAILABLE, RanState.NOT_RUN)
            self.assertEqual(count_claim_records(world), before)
            first.log.faults = LogFaults()
            await asyncio.sleep(LONG_S)
            # The delayed claim and its release.
            self.assertEqual(count_claim_records(world) - before, 2)
            self.check_ran(world, key, 0)
            again = world.call_service(second, LEDGER, key)
            await asyncio.sleep(LONG_S)
            self.assertEqual(again.body, b'1')
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())

    def test_outcome_is_appended_once_the_log_is_reachable(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            first, second = world.vms
            cut = frozenset((first.name, 'log'))
            stop_before(first, fx.CallService,
                        lambda: world.network.cut.add(cut))
            key = world.new_key()
            world.call_service(first, LEDGER, key)
            await asyncio.sleep(5)
            world.network.cut.clear()
            await asyncio.sleep(5)
            world.kill_vm(first)
            reply = world.call_service(second, LEDGER, key)
            await asyncio.sleep(1)
            self.assertEqual(reply.body, b'1')
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())

    def test_claim_appended_twice_runs_once(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            for vm in world.vms:
                vm.log.faults = LogFaults(duplicate=1.0)
            key = world.new_key()
            attempts = [world.call_service(vm, LEDGER, key) for vm in world.vms]
            await asyncio.sleep(LONG_S)
            attempts.append(world.call_service(world.vms[0], LEDGER, key))
            await asyncio.sleep(1)
            self.assertEqual([t.body for t in attempts], [b'1'] * 3)
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())

    def test_one_hour_log_outage_refuses_at_once_as_not_run(self) -> None:

        async def scenario() -> None:
            world = await start_world(vms=1)
            world.log.down = True
            await asyncio.sleep(10)
            for _ in range(60):
                key = world.new_key()
                reply = world.call_service(world.vms[0], LEDGER, key)
                self.check_refused(reply, Reason.LOG_UNAVAILABLE,
                                   RanState.NOT_RUN)
                self.check_ran(world, key, 0)
                await asyncio.sleep(60)
            world.log.down = False
            await asyncio.sleep(10)
            reply = world.call_service(world.vms[0], LEDGER, world.new_key())
            await asyncio.sleep(1)
            self.assertEqual(reply.body, b'1')

        self.run_scenario(scenario())

    def test_resend_is_not_refused_as_not_run_without_proof(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            first, second = world.vms
            world.network.cut.add(frozenset((second.name, 'log')))
            await asyncio.sleep(10)
            key = world.new_key()
            world.call_service(first, LEDGER, key)
            await asyncio.sleep(1)
            reply = world.call_service(second, LEDGER, key, resend=True)
            self.check_refused(reply, Reason.LOG_UNAVAILABLE, RanState.UNKNOWN)

        self.run_scenario(scenario())


class WindowTest(ClaimCase):
    """Records expire, and new VMs read only the remaining ones."""

    def test_resend_after_the_records_expired_does_not_run(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            limits = ClaimLimits(max_key_age_s=60, max_clock_skew_s=2)
            world.vms[0].state.claims.limits = limits
            world.log.retention_s['claims'] = 70
            key = world.new_key()
            world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(80)
            replacement = world.replace_vm(world.vms[1])
            replacement.state.claims.limits = limits
            await asyncio.sleep(10)
            for vm in (replacement, world.vms[0]):
                reply = world.call_service(vm, LEDGER, key)
                self.check_refused(reply, Reason.KEY_EXPIRED, RanState.UNKNOWN)
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())

    def test_new_vm_with_missing_records_refuses_keys_as_old(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            key = world.new_key()
            world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(300)
            world.log.trim('claims', 0, world.log.stream('claims', 0).end)
            replacement = world.replace_vm(world.vms[1])
            await asyncio.sleep(10)
            reply = world.call_service(replacement, LEDGER, key)
            self.check_refused(reply, Reason.KEY_EXPIRED, RanState.UNKNOWN)
            await asyncio.sleep(120)
            reply = world.call_service(replacement, LEDGER, world.new_key())
            await asyncio.sleep(1)
            self.assertEqual(reply.status, 200)
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())

    def test_new_vm_refuses_until_it_has_read_all_claims(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            key = world.new_key()
            world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(1)
            replacement = world.replace_vm(world.vms[1])
            world.network.cut.add(frozenset((replacement.name, 'log')))
            replacement.runtime.state.config = world.vms[0].state.config
            reply = world.call_service(replacement, LEDGER, key, resend=True)
            self.check_refused(reply, Reason.NOT_READY, RanState.UNKNOWN)
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())


class ServiceFaultTest(ClaimCase):
    """Connections to the service fail."""

    def test_refusal_states_what_the_failure_proves(self) -> None:
        cases = (
            (ServiceFaults(refuse=1.0), Reason.NO_ENDPOINT, RanState.NOT_RUN,
             0),
            (ServiceFaults(lose_answer=1.0), Reason.OUTCOME_UNKNOWN,
             RanState.UNKNOWN, 1),
            (ServiceFaults(misroute=1.0), Reason.OUTCOME_UNKNOWN,
             RanState.UNKNOWN, 1),
            (ServiceFaults(hang=1.0), Reason.OUTCOME_UNKNOWN, RanState.UNKNOWN,
             1),
        )

        async def scenario(faults: ServiceFaults, reason: Reason, ran: RanState,
                           runs: int) -> None:
            world = await start_world()
            world.vms[0].services.faults = faults
            key = world.new_key()
            first = world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(LONG_S)
            self.check_refused(first, reason, ran)
            self.check_ran(world, key, runs)
            again = world.call_service(world.vms[1], LEDGER, key)
            await asyncio.sleep(LONG_S)
            self.check_ran(world, key, 1)
            if runs == 0:
                self.assertEqual(again.body, b'1')
            else:
                self.check_refused(again, Reason.OUTCOME_UNKNOWN,
                                   RanState.UNKNOWN)

        for case in cases:
            with self.subTest(reason=case[1], faults=case[0]):
                self.run_scenario(scenario(*case))

    def test_outcome_is_recorded_for_a_disconnected_caller(self) -> None:

        async def scenario() -> None:
            world = await start_world()
            key = world.new_key()
            world.vms[0].services.run_s = 5.0
            world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(1)
            world.disconnect_caller(world.sent_requests[-1])
            reply = world.call_service(world.vms[1], LEDGER, key)
            await asyncio.sleep(LONG_S)
            self.assertEqual(reply.body, b'1')
            self.check_ran(world, key, 1)

        self.run_scenario(scenario())
