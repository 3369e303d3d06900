"""Tests of repeatable calls to plain services."""

import asyncio
import unittest

import attrs

from plantainridge import config, virtual_time
from plantainridge.ids import EndpointId
from plantainridge.refusals import RanState, Reason, Refusal
from plantainridge.standins.memory_services import ServiceFaults
from plantainridge.standins.service import ServiceModel
from plantainridge.standins.world import DC, LOOKUP, World

# Longer than the timeouts of all attempts, in s.
LONG_S = 100.0


async def two_instances() -> World:
    """Return a world with a second instance of the lookup service."""
    world = World()
    second = config.Endpoint(EndpointId('s-lookup-1'), DC,
                             config.EndpointKind.SERVICE, LOOKUP,
                             '127.0.0.1:8001')
    world.services[second.id] = ServiceModel()
    world.publish(
        0,
        attrs.evolve(world.config,
                     endpoints={
                         **world.config.endpoints, second.id: second
                     }))
    await asyncio.sleep(2)
    return world


class RetryTest(unittest.TestCase):
    """A repeatable call is retried on another instance."""

    def test_retries_on_a_reachable_instance(self) -> None:

        async def scenario() -> None:
            world = await two_instances()
            world.network.cut.add(frozenset((world.vms[0].name, 's-lookup')))
            tries = [
                world.call_service(world.vms[0], LOOKUP) for _ in range(10)
            ]
            await asyncio.sleep(1)
            self.assertEqual([t.status for t in tries], [200] * 10)
            self.assertEqual([t.final_count for t in tries], [1] * 10)

        virtual_time.run(scenario())

    def test_reports_whether_the_call_may_have_run(self) -> None:
        cases = (
            (ServiceFaults(refuse=1.0), RanState.NOT_RUN, 0),
            (ServiceFaults(lose_answer=1.0), RanState.UNKNOWN, 2),
            (ServiceFaults(misroute=1.0), RanState.UNKNOWN, 2),
            (ServiceFaults(hang=1.0), RanState.UNKNOWN, 2),
        )

        async def scenario(faults: ServiceFaults, ran: RanState,
                           runs: int) -> None:
            world = await two_instances()
            world.vms[0].services.faults = faults
            reply = world.call_service(world.vms[0], LOOKUP, key='any')
            await asyncio.sleep(LONG_S)
            refusal = reply.refusal
            assert isinstance(refusal, Refusal)
            self.assertEqual((refusal.reason, refusal.ran, reply.final_count),
                             (Reason.ENDPOINT_FAILED, ran, 1))
            self.assertEqual(
                sum(model.runs.total() for model in world.services.values()),
                runs)
            self.assertEqual(world.vms[0].state.calls.attempts, {})

        for case in cases:
            with self.subTest(faults=case[0]):
                virtual_time.run(scenario(*case))

    def test_forgets_a_call_whose_caller_disconnected(self) -> None:

        async def scenario() -> None:
            world = await two_instances()
            world.vms[0].services.run_s = 5.0
            reply = world.call_service(world.vms[0], LOOKUP)
            await asyncio.sleep(1)
            world.disconnect_caller(world.sent_requests[-1])
            await asyncio.sleep(LONG_S)
            self.assertEqual(reply.final_count, 0)
            self.assertEqual(world.vms[0].state.calls.calls, {})
            self.assertEqual(world.vms[0].state.calls.attempts, {})

        virtual_time.run(scenario())
