"""Tests of engines that return while the others are full."""

import unittest

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import returning
from plantainridge.gateway.events import View
from plantainridge.ids import AttemptId, DcId, EndpointId, VmId
from tests.crash_fleet import DOWN_S, CrashFleet
from tests.gateway_scene import GatewayScene, endpoint, head
from tests.load_fleet import Engine, Job

DC = DcId('one')
# Several times what five engines can serve, so that all of them are full.
RATE = 50.0
# Time within which an engine begins the prompts of its first second, in s.
# Without the limit they took up to 4.6 s; those of the others take 1.5 s.
MAX_START_DELAY_S = 2.0


@attrs.define
class _ReturnFleet(CrashFleet):
    """Seven VMs before five engines, of which one crashes and returns.

    Attributes:
        sent_at: Time of each send to the engine that returned, in s.
        begun_at: Time at which an engine began to answer each send, in s.
    """

    returned: EndpointId | None = None
    sent_at: dict[AttemptId, float] = attrs.field(factory=dict, init=False)
    begun_at: dict[AttemptId, float] = attrs.field(factory=dict, init=False)

    def crash_first(self) -> None:
        """Crash an engine and advance the clock until it is up again."""
        name = next(iter(self.engines))
        self.crash(name)
        self.run(DOWN_S)
        self.returned = name

    def start_delays_s(self) -> list[float]:
        """Return the delays of the prompts of the engine's first second."""
        first = min(self.sent_at.values())
        return [
            self.begun_at.get(attempt, self.now) - sent_at
            for attempt, sent_at in self.sent_at.items()
            if sent_at < first + 1.0
        ]

    def _start(self, vm: VmId, send: fx.Send) -> None:
        if send.endpoint == self.returned:
            self.sent_at[send.attempt] = self.now
        CrashFleet._start(self, vm, send)

    def _generate(self, engine: Engine, job: Job) -> None:
        self.begun_at[job.send.attempt] = self.now
        CrashFleet._generate(self, engine, job)


class FullFleetTest(unittest.TestCase):
    """All VMs have requests that wait for an engine's memory."""

    def test_engine_that_returns_begins_all_its_prompts_soon(self) -> None:
        for seed in (1, 2):
            fleet = _ReturnFleet({DC: RATE}, vms_per_dc=7, engines_per_dc=5)
            fleet.reseed(seed)
            fleet.run(8.0)
            fleet.crash_first()
            fleet.run(5.0)
            delays_s = fleet.start_delays_s()
            self.assertGreater(len(delays_s), 5)
            self.assertLess(max(delays_s), MAX_START_DELAY_S)


class LimitTest(unittest.TestCase):
    """Which engines a VM sends its share only, and for how long."""

    PROMPT_TOKENS = 12_000

    def _send_all(self, scene: GatewayScene, name: str) -> list[fx.Send]:
        """Post five large requests; return those that are sent."""
        before = len(scene.all(fx.Send))
        for number in range(5):
            scene.post_request('/report/x',
                               f'{name}{number}',
                               prompt_tokens=self.PROMPT_TOKENS)
        return scene.all(fx.Send)[before:]

    def test_engine_that_restarts_gets_one_request_until_it_serves(
            self) -> None:
        scene = GatewayScene(endpoint('a', started_ms=1))
        scene.read(View.REGISTRY, endpoint('a', started_ms=2))
        first = self._send_all(scene, 'first')
        self.assertEqual(len(first), 1)
        scene.post(ev.StreamStarted(first[0].attempt, head()))
        scene.post(ev.StreamEventsReceived(first[0].attempt, b'.', '1', '1'))
        scene.post(ev.StreamEnded(first[0].attempt))
        scene.advance(0.1)
        self.assertGreater(len(scene.all(fx.Send)), 3)

    def test_engine_that_was_not_seen_to_fail_is_not_limited(self) -> None:
        scene = GatewayScene(endpoint('a'))
        self.assertGreater(len(self._send_all(scene, 'first')), 3)

    def test_share_is_that_of_all_vms(self) -> None:
        self.assertTrue(returning.may_send(1_000, 1_000, 14_000.0, 7))
        self.assertFalse(returning.may_send(1_000, 1_001, 14_000.0, 7))
        # One request is allowed, whatever its size.
        self.assertTrue(returning.may_send(0, 9_000, 14_000.0, 7))


if __name__ == '__main__':
    unittest.main()
