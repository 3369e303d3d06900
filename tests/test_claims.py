"""Tests of calls that must run at most once."""

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
from plantainridge.standins.memory import Told
from plantainridge.standins.memory_log import LogFaults
from plantainridge.standins.memory_services import ServiceFaults
from plantainridge.standins.world import LEDGER, OTHER_TEAM, Vm, World

# Longer than any timeout of a marked call.
LONG_S = 60.0


async def warm(vms: int = 2) -> World:
    """Returns a world whose VMs have read the configuration and claims."""
    world = World(vms=vms)
    await asyncio.sleep(1)
    return world


def stop_before(vm: Vm, kind: type[base.Effect | Event],
                stop: Callable[[], None]) -> None:
    """Stops a VM just before its next step of a kind, once."""
    seen: list[base.Effect | Event] = []

    def watch(step: base.Effect | Event) -> None:
        if isinstance(step, kind) and not seen:
            seen.append(step)
            stop()

    vm.runtime.watchers.append(watch)


def claim_records(world: World) -> int:
    """Counts the records of claims in the log."""
    return sum(
        len(stream.records)
        for (name, _), stream in world.log.streams.items()
        if name == 'claims')


class ClaimCase(unittest.TestCase):
    """Helpers of the classes below."""

    def runs(self, scenario: Coroutine[Any, Any, None]) -> None:
        """Runs a scenario under the paused clock."""
        virtual_time.run(scenario)

    def check_ran(self, world: World, key: str, times: int) -> None:
        """Checks how often the service really ran a key."""
        self.assertEqual(world.ledger.runs[f'bureau/{key}'], times)

    def check_refused(self, told: Told, reason: Reason, ran: RanState) -> None:
        """Checks the one final word."""
        refusal = told.refusal
        assert isinstance(refusal, Refusal), told
        self.assertEqual((refusal.reason, refusal.ran, told.finals),
                         (reason, ran, 1))


class SameKeyTest(ClaimCase):
    """Tries with one key, by any VM."""

    def test_second_try_gets_the_first_ones_answer(self) -> None:

        async def scenario() -> None:
            world = await warm()
            key = world.new_key()
            first = world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(1)
            second = world.call_service(world.vms[1], LEDGER, key)
            await asyncio.sleep(1)
            self.assertEqual((first.status, first.body), (200, b'1'))
            self.assertEqual((second.status, second.body), (200, b'1'))
            self.check_ran(world, key, 1)

        self.runs(scenario())

    def test_tries_at_once_run_once_and_all_get_the_answer(self) -> None:

        async def scenario() -> None:
            world = await warm(vms=5)
            key = world.new_key()
            tries = [
                world.call_service(vm, LEDGER, key)
                for vm in world.vms
                for _ in range(2)
            ]
            await asyncio.sleep(LONG_S)
            self.assertEqual([t.body for t in tries], [b'1'] * len(tries))
            self.assertEqual([t.finals for t in tries], [1] * len(tries))
            self.check_ran(world, key, 1)

        self.runs(scenario())

    def test_another_body_is_a_conflict_by_any_vm(self) -> None:

        async def scenario() -> None:
            world = await warm()
            key = world.new_key()
            world.call_service(world.vms[0], LEDGER, key)
            same = world.call_service(world.vms[0], LEDGER, key, b'other')
            await asyncio.sleep(1)
            other = world.call_service(world.vms[1], LEDGER, key, b'other')
            for told in (same, other):
                self.check_refused(told, Reason.KEY_CONFLICT, RanState.NOT_RUN)
            self.check_ran(world, key, 1)

        self.runs(scenario())

    def test_teams_do_not_share_keys(self) -> None:

        async def scenario() -> None:
            world = await warm()
            key = world.new_key()
            world.call_service(world.vms[0], LEDGER, key)
            told = world.call_service(world.vms[1],
                                      LEDGER,
                                      key,
                                      b'x',
                                      team=OTHER_TEAM)
            await asyncio.sleep(1)
            self.assertEqual(told.status, 200)
            self.assertEqual(world.ledger.runs[f'council/{key}'], 1)

        self.runs(scenario())


class KeyFormTest(ClaimCase):
    """Which keys are taken."""

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
            world = await warm()
            for key, reason in cases.items():
                told = world.call_service(world.vms[0], LEDGER, key)
                self.check_refused(told, reason, RanState.NOT_RUN)
            self.assertEqual(sum(world.ledger.runs.values()), 0)

        self.runs(scenario())

    def test_reads_the_time_of_a_key(self) -> None:
        self.assertEqual(claim_keys.made_at('1733270000-pickup.7'), 1733270000)
        self.assertEqual(
            claim_keys.made_at('019389a4-7c80-7000-8000-0123456789ab'),
            0x019389a47c80 / 1000)


class StandstillTest(ClaimCase):
    """A VM stands still at a step for longer than any timeout."""

    def test_one_run_whatever_the_step(self) -> None:
        steps: tuple[type[base.Effect | Event],
                     ...] = (fx.AppendLog, ev.AppendEnded, ev.LogRead,
                             fx.CallService, ev.ServiceAnswered,
                             fx.SendServiceAnswer)

        async def scenario(step: type[base.Effect | Event]) -> None:
            world = await warm()
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
            self.assertEqual([t.finals for t in (early, resent, again)],
                             [1, 1, 1])
            self.assertEqual(again.body, b'1')

        for step in steps:
            with self.subTest(step=step.__name__):
                self.runs(scenario(step))


class KillTest(ClaimCase):
    """A VM dies at a step; its work is never run again."""

    def test_later_tries_hear_unknown_or_the_outcome(self) -> None:
        # Step before which the VM dies, and what became of the key.
        unknown = (Reason.OUTCOME_UNKNOWN, RanState.UNKNOWN)
        cases: dict[type[base.Effect | Event], tuple[int, Any]] = {
            fx.AppendLog: (1, None),
            ev.AppendEnded: (0, unknown),
            fx.CallService: (0, unknown),
            ev.ServiceAnswered: (1, unknown),
            fx.SendServiceAnswer: (1, unknown),
        }

        async def scenario(step: type[base.Effect | Event], runs: int,
                           word: Any) -> None:
            world = await warm()
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
            if word is None:
                self.assertEqual((soon.body, late.body), (b'1', b'1'))
                return
            self.check_refused(soon, Reason.IN_PROGRESS, RanState.UNKNOWN)
            self.check_refused(late, *word)

        for step, (runs, word) in cases.items():
            with self.subTest(step=step.__name__):
                self.runs(scenario(step, runs, word))


class StopTest(ClaimCase):
    """A planned stop while a marked call is not settled."""

    def test_waits_for_another_vms_outcome(self) -> None:

        async def scenario() -> None:
            world = await warm()
            first, second = world.vms
            first.services.run_s = 8.0
            key = world.new_key()
            world.call_service(first, LEDGER, key)
            await asyncio.sleep(1)
            told = world.call_service(second, LEDGER, key)
            second.runtime.post(ev.StopRequested())
            await asyncio.sleep(LONG_S)
            self.assertEqual(told.body, b'1')
            self.assertTrue(second.exited)

        self.runs(scenario())

    def test_leaves_the_outcome_in_the_log_if_it_can(self) -> None:

        async def scenario(out_s: float, body: bytes) -> None:
            world = await warm()
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
            told = world.call_service(second, LEDGER, key)
            await asyncio.sleep(LONG_S)
            self.assertEqual(told.body, body)

        self.runs(scenario(5.0, b'1'))
        self.runs(scenario(100.0, b''))


class LogFaultTest(ClaimCase):
    """The log is out or its answers are lost."""

    def test_lost_answer_of_an_append_is_read(self) -> None:

        async def scenario() -> None:
            world = await warm()
            world.vms[0].log.faults = LogFaults(lose_answer=1.0)
            key = world.new_key()
            told = world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(1)
            self.assertEqual(told.body, b'1')
            self.check_ran(world, key, 1)

        self.runs(scenario())

    def test_claim_that_appears_late_never_runs_and_is_released(self) -> None:

        async def scenario() -> None:
            world = await warm()
            first, second = world.vms
            first.log.faults = LogFaults(delay=1.0, delay_s=20.0)
            world.rng.seed(3)
            key = world.new_key()
            before = claim_records(world)
            told = world.call_service(first, LEDGER, key)
            await asyncio.sleep(4)
            self.check_refused(told, Reason.LOG_UNAVAILABLE, RanState.NOT_RUN)
            self.assertEqual(claim_records(world), before)
            first.log.faults = LogFaults()
            await asyncio.sleep(LONG_S)
            # The late claim and its release.
            self.assertEqual(claim_records(world) - before, 2)
            self.check_ran(world, key, 0)
            again = world.call_service(second, LEDGER, key)
            await asyncio.sleep(LONG_S)
            self.assertEqual(again.body, b'1')
            self.check_ran(world, key, 1)

        self.runs(scenario())

    def test_outcome_that_could_not_be_appended_is_appended_later(self) -> None:

        async def scenario() -> None:
            world = await warm()
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
            told = world.call_service(second, LEDGER, key)
            await asyncio.sleep(1)
            self.assertEqual(told.body, b'1')
            self.check_ran(world, key, 1)

        self.runs(scenario())

    def test_appended_twice_runs_once(self) -> None:

        async def scenario() -> None:
            world = await warm()
            for vm in world.vms:
                vm.log.faults = LogFaults(double=1.0)
            key = world.new_key()
            tries = [world.call_service(vm, LEDGER, key) for vm in world.vms]
            await asyncio.sleep(LONG_S)
            tries.append(world.call_service(world.vms[0], LEDGER, key))
            await asyncio.sleep(1)
            self.assertEqual([t.body for t in tries], [b'1'] * 3)
            self.check_ran(world, key, 1)

        self.runs(scenario())

    def test_out_for_an_hour_refuses_at_once_and_truly(self) -> None:

        async def scenario() -> None:
            world = await warm(vms=1)
            world.log.down = True
            await asyncio.sleep(10)
            for _ in range(60):
                key = world.new_key()
                told = world.call_service(world.vms[0], LEDGER, key)
                self.check_refused(told, Reason.LOG_UNAVAILABLE,
                                   RanState.NOT_RUN)
                self.check_ran(world, key, 0)
                await asyncio.sleep(60)
            world.log.down = False
            await asyncio.sleep(10)
            told = world.call_service(world.vms[0], LEDGER, world.new_key())
            await asyncio.sleep(1)
            self.assertEqual(told.body, b'1')

        self.runs(scenario())

    def test_resend_is_not_called_not_run_without_proof(self) -> None:

        async def scenario() -> None:
            world = await warm()
            first, second = world.vms
            world.network.cut.add(frozenset((second.name, 'log')))
            await asyncio.sleep(10)
            key = world.new_key()
            world.call_service(first, LEDGER, key)
            await asyncio.sleep(1)
            told = world.call_service(second, LEDGER, key, resend=True)
            self.check_refused(told, Reason.LOG_UNAVAILABLE, RanState.UNKNOWN)

        self.runs(scenario())


class WindowTest(ClaimCase):
    """Records expire, and new VMs read what is left."""

    def test_resend_after_the_records_expired_does_not_run(self) -> None:

        async def scenario() -> None:
            world = await warm()
            limits = ClaimLimits(max_key_age_s=60, max_clock_skew_s=2)
            world.vms[0].state.claims.limits = limits
            world.log.retention_s['claims'] = 70
            key = world.new_key()
            world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(80)
            fresh = world.replace_vm(world.vms[1])
            fresh.state.claims.limits = limits
            await asyncio.sleep(10)
            for vm in (fresh, world.vms[0]):
                told = world.call_service(vm, LEDGER, key)
                self.check_refused(told, Reason.KEY_EXPIRED, RanState.UNKNOWN)
            self.check_ran(world, key, 1)

        self.runs(scenario())

    def test_new_vm_that_misses_records_refuses_keys_as_old(self) -> None:

        async def scenario() -> None:
            world = await warm()
            key = world.new_key()
            world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(300)
            world.log.trim('claims', 0, world.log.stream('claims', 0).end)
            fresh = world.replace_vm(world.vms[1])
            await asyncio.sleep(10)
            told = world.call_service(fresh, LEDGER, key)
            self.check_refused(told, Reason.KEY_EXPIRED, RanState.UNKNOWN)
            await asyncio.sleep(120)
            told = world.call_service(fresh, LEDGER, world.new_key())
            await asyncio.sleep(1)
            self.assertEqual(told.status, 200)
            self.check_ran(world, key, 1)

        self.runs(scenario())

    def test_new_vm_refuses_until_it_has_read_all_claims(self) -> None:

        async def scenario() -> None:
            world = await warm()
            key = world.new_key()
            world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(1)
            fresh = world.replace_vm(world.vms[1])
            world.network.cut.add(frozenset((fresh.name, 'log')))
            fresh.runtime.state.config = world.vms[0].state.config
            told = world.call_service(fresh, LEDGER, key, resend=True)
            self.check_refused(told, Reason.NOT_READY, RanState.UNKNOWN)
            self.check_ran(world, key, 1)

        self.runs(scenario())


class ServiceFaultTest(ClaimCase):
    """The way to the service breaks."""

    def test_tells_what_the_failure_proves(self) -> None:
        cases = (
            (ServiceFaults(refuse=1.0), Reason.NO_ENDPOINT, RanState.NOT_RUN,
             0),
            (ServiceFaults(lose_answer=1.0), Reason.OUTCOME_UNKNOWN,
             RanState.UNKNOWN, 1),
            (ServiceFaults(cross=1.0), Reason.OUTCOME_UNKNOWN, RanState.UNKNOWN,
             1),
            (ServiceFaults(hang=1.0), Reason.OUTCOME_UNKNOWN, RanState.UNKNOWN,
             1),
        )

        async def scenario(faults: ServiceFaults, reason: Reason, ran: RanState,
                           runs: int) -> None:
            world = await warm()
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
                self.runs(scenario(*case))

    def test_gone_caller_leaves_an_outcome_for_its_resend(self) -> None:

        async def scenario() -> None:
            world = await warm()
            key = world.new_key()
            world.vms[0].services.run_s = 5.0
            world.call_service(world.vms[0], LEDGER, key)
            await asyncio.sleep(1)
            world.hang_up(world.asks[-1])
            told = world.call_service(world.vms[1], LEDGER, key)
            await asyncio.sleep(LONG_S)
            self.assertEqual(told.body, b'1')
            self.check_ran(world, key, 1)

        self.runs(scenario())
