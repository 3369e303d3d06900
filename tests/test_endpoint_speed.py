"""Tests of learned endpoint speeds, by the load pattern that is replayed."""

import functools
import random
import unittest
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final
from unittest import mock

import attrs

from plantainridge.gateway import (endpoint_speed, health, peer_messages,
                                   speed_updates)
from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.endpoint_speed import (Estimate, Prediction,
                                                  SpeedTable)
from plantainridge.gateway.endpoints import EndpointLoad
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.peer_messages import Hint
from plantainridge.ids import (DcId, EndpointId, Incarnation, ServiceId, VmId)
from tests.gateway_scene import LEDGER, GatewayScene, endpoint, head
from tests.load_fleet import PREFILL_TOKENS_PER_S, LoadFleet

DC: Final = DcId('a')
# Nominal requests per engine and second: with slow engines, these are about two
# thirds busy, and nearly saturated.
RATE: Final = 12.0
HIGH_RATE: Final = 17.0
REPLAY_S: Final = 30.0
# Time for which speeds are learned before latencies count, in s.
WARM_UP_S: Final = 6.0
# Time at which one engine becomes slow in the replay of a step, in s.
STEP_AT_S: Final = 110.0
MAX_P95_RATIO: Final = 1.1
MAX_LOSS: Final = 0.03
# Mean slowdown of an engine that is 2.5 times as slow for a sixth of the time.
MEAN_BURST: Final = 1.25
FLAG: Final = {'learns_speeds': True}
REPORTS: Final = {'report_delay_s': 0.0}

Slowdown = Callable[[EndpointId, float, int], float]


def _number(name: EndpointId) -> int:
    return int(name.rpartition('e')[2])


def _equal(name: EndpointId, at: float, requests: int) -> float:
    del name, at, requests
    return 1.0


def _third_slow(name: EndpointId, at: float, requests: int) -> float:
    del at, requests
    return 1.3 if _number(name) % 3 == 2 else 1.0


@functools.cache
def _is_burst(name: EndpointId, slot: int) -> bool:
    return random.Random(f'{name}/{slot}').random() < 1 / 6


def _bursts(name: EndpointId, at: float, requests: int) -> float:
    del requests
    slot = int((at + 0.1 * _number(name)) / 0.6)
    return 2.5 if _is_burst(name, slot) else 1.0


def _third_slow_and_bursts(name: EndpointId, at: float, requests: int) -> float:
    return _third_slow(name, at, requests) * _bursts(name, at, requests)


def _slow_when_half_full(name: EndpointId, at: float, requests: int) -> float:
    del at
    return 2.0 if requests >= 6 and _number(name) % 3 == 2 else 1.0


def _step(name: EndpointId, at: float, requests: int) -> float:
    del requests
    return 2.5 if at > STEP_AT_S and _number(name) == 0 else 1.0


def _p95(latencies: Iterable[float]) -> float:
    ordered = sorted(latencies)
    return ordered[int(0.95 * len(ordered))]


@attrs.define
class _Result:
    """Figures of replays with several seeds.

    Attributes:
        p95_s: 95th percentile of the time to the first event, in s.
        worth: Share of the credit earned.
    """

    p95_s: float
    worth: float


def _ideal(fleet: LoadFleet) -> Callable[..., Prediction]:
    """Return a prediction that uses the engines' true speed of the moment."""

    def predict(_: Any, view: Any, work_s: float, fetch_s: float, requests: int,
                now: float) -> Prediction:
        current = fleet.slowdown(view.entry.id, now, requests + 1)
        mean = current
        if fleet.slowdown is _bursts:
            mean = MEAN_BURST
        elif fleet.slowdown is _third_slow_and_bursts:
            mean = MEAN_BURST * _third_slow(view.entry.id, now, requests)
        scale = 60_000.0 / PREFILL_TOKENS_PER_S
        known = Estimate(by_range=(scale * mean,) * 4, reported=(mean,) * 4)
        slowdown = endpoint_speed.slowdown_for(known, 0.0, work_s, current)
        return Prediction(work_s, fetch_s, 0.0, None, slowdown)

    return predict


def _replay(slowdown: Slowdown,
            is_ideal: bool = False,
            rate: float = RATE,
            **options: Any) -> _Result:
    latencies: list[float] = []
    worths = []
    for seed in (1, 2, 3):
        fleet = LoadFleet({DC: rate},
                          vms_per_dc=4,
                          engines_per_dc=6,
                          slots=12,
                          seed=seed,
                          slowdown=slowdown,
                          **options)
        counted_from = fleet.now + WARM_UP_S
        predict = _ideal(fleet) if is_ideal else speed_updates.predict
        with mock.patch.object(speed_updates, 'predict', predict):
            fleet.run(REPLAY_S)
        latencies += [
            latency for at, latency in fleet.latencies if at >= counted_from
        ]
        worths.append(fleet.worth())
    return _Result(_p95(latencies), sum(worths) / len(worths))


class ReplayTest(unittest.TestCase):
    """Latency under replayed load, beside a scheduler that knows the speeds."""

    def _check(self,
               slowdown: Slowdown,
               *ways: Mapping[str, Any],
               rate: float = RATE,
               constants_fail: bool = True) -> None:
        ideal = _replay(slowdown, is_ideal=True, rate=rate)
        if constants_fail:
            constants = _replay(slowdown, rate=rate)
            self.assertGreater(constants.p95_s, MAX_P95_RATIO * ideal.p95_s)
        for options in ways:
            learned = _replay(slowdown, rate=rate, **options)
            self.assertLessEqual(learned.p95_s, MAX_P95_RATIO * ideal.p95_s)
            self.assertGreater(learned.worth, ideal.worth - MAX_LOSS)

    def test_third_of_the_engines_slow(self) -> None:
        self._check(_third_slow, FLAG, REPORTS)

    def test_short_slowness_of_a_sixth(self) -> None:
        self._check(_bursts, REPORTS)

    def test_both(self) -> None:
        self._check(_third_slow_and_bursts, REPORTS)

    def test_both_near_saturation(self) -> None:
        self._check(_third_slow_and_bursts, REPORTS, rate=HIGH_RATE)

    def test_slow_from_half_of_the_slots_on(self) -> None:
        self._check(_slow_when_half_full, REPORTS, rate=HIGH_RATE)

    def test_slow_from_half_of_the_slots_on_without_reports(self) -> None:
        self._check(_slow_when_half_full, FLAG, rate=HIGH_RATE)

    def test_step(self) -> None:
        self._check(_step, REPORTS)

    def test_step_without_reports(self) -> None:
        self._check(_step, FLAG)

    def test_equal_engines_are_served_no_worse_than_by_constants(self) -> None:
        self._check(_equal, FLAG, constants_fail=False)

    def test_reports_that_are_half_a_second_old(self) -> None:
        # A VM cannot tell the age of the state in a report that just arrived.
        constants = _replay(_bursts)
        learned = _replay(_bursts, report_delay_s=0.5)
        self.assertLessEqual(learned.p95_s, 1.05 * constants.p95_s)
        self.assertGreater(learned.worth, constants.worth - MAX_LOSS)


class SparseEvidenceTest(unittest.TestCase):
    """134 VMs that each see an engine about once a second."""

    VMS: Final = 45
    ENGINES: Final = 15
    SERVICE: Final = ServiceId('s')

    def _relative_slowdowns(self, loss_ratio: float) -> list[float]:
        """Return what one VM learns in 12 s of engines 1, 1, 1.3, ..."""
        rng = random.Random(3)
        engines = {EndpointId(f'e{at}'): 0 for at in range(self.ENGINES)}
        tables = [SpeedTable() for _ in range(self.VMS)]
        for second in range(100, 112):
            for table in tables:
                for name in engines:
                    took_s = 0.05 * _third_slow(name, 0.0, 0)
                    took_s *= rng.lognormvariate(0.0, 0.6)
                    table.observe(name, 0, Prediction(0.05, 0.0, 0.1, None),
                                  second - took_s, second)
            for at, table in enumerate(tables[1:]):
                digests = table.digests('hint', engines, ('own',), second)
                if rng.random() >= loss_ratio:
                    tables[0].receive(('vm', VmId(f'vm{at}')), digests, second)
        tables[0].refresh({self.SERVICE: engines}, 112.0)
        return [tables[0].estimate(name).relative for name in engines]

    def test_estimates_are_near_the_true_speeds(self) -> None:
        # One VM's own evidence alone is off by a third and more.
        for loss_ratio in (0.0, 0.3):
            for at, relative in enumerate(self._relative_slowdowns(loss_ratio)):
                expected = 1.3 if at % 3 == 2 else 1.0
                self.assertAlmostEqual(relative / expected, 1.0, delta=0.12)
        alone = self._relative_slowdowns(1.0)
        self.assertGreater(
            max(
                abs(each / (1.3 if at % 3 == 2 else 1.0) - 1.0)
                for at, each in enumerate(alone)), 0.12)


class EvidenceTest(unittest.TestCase):
    """Evidence that must not count, or not twice."""

    A: Final = EndpointId('a')
    SERVICE: Final = ServiceId('s')
    SLOW: Final = Prediction(0.1, 0.0, 0.1, None)

    def _observe_slow(self, table: SpeedTable, count: int = 30) -> None:
        for _ in range(count):
            table.observe(self.A, 1, self.SLOW, 99.7, 100.0)

    def _slowdown(self,
                  table: SpeedTable,
                  now: float = 100.0,
                  started_ms: int = 1) -> float:
        table.refresh(
            {
                self.SERVICE: {
                    self.A: started_ms,
                    EndpointId('b'): 1,
                    EndpointId('c'): 1
                }
            }, now)
        return table.estimate(self.A).slowdown

    def test_endpoint_that_restarts_is_not_judged_by_its_earlier_run(
            self) -> None:
        table, peer = SpeedTable(), SpeedTable()
        self._observe_slow(peer)
        table.receive(('vm', VmId('p')),
                      peer.digests('hint', {self.A: 1}, ('own',), 100.0), 100.0)
        self._observe_slow(table)
        self.assertGreater(self._slowdown(table), 2.5)
        self.assertEqual(self._slowdown(table, started_ms=2), 1.0)

    def test_endpoint_that_recovers_is_tried_again_without_evidence(
            self) -> None:
        # An endpoint that gets no requests would otherwise stay slow for ever.
        table = SpeedTable()
        for name in (EndpointId('b'), EndpointId('c')):
            table.observe(name, 1, self.SLOW, 99.9, 100.0)
        self._observe_slow(table)
        self.assertGreater(self._slowdown(table), 2.5)
        self.assertLess(self._slowdown(table, 160.0), 1.1)

    def test_digest_that_arrives_twice_counts_once(self) -> None:
        peer = SpeedTable()
        self._observe_slow(peer, 1)
        digests = peer.digests('hint', {self.A: 1}, ('own',), 100.0)
        slowdowns = []
        for copies in (1, 5):
            table = SpeedTable()
            for _ in range(copies):
                table.receive(('vm', VmId('p')), digests, 100.0)
            slowdowns.append(self._slowdown(table))
        self.assertEqual(slowdowns[0], slowdowns[1])

    def test_weight_of_one_vm_is_capped(self) -> None:
        table, peer = SpeedTable(), SpeedTable()
        self._observe_slow(peer, 1_000)
        table.receive(('vm', VmId('p')),
                      peer.digests('hint', {self.A: 1}, ('own',), 100.0), 100.0)
        self._slowdown(table)
        self.assertLessEqual(
            table.estimate(self.A).weight, endpoint_speed.MAX_VM_WEIGHT)

    def test_lag_of_the_own_loop_is_no_evidence(self) -> None:
        for tick_due_at, counts in ((99.8, False), (100.1, True)):
            table = SpeedTable()
            table.lag.tick_due_at = tick_due_at
            self.assertIs(table.observe(self.A, 1, self.SLOW, 99.7, 100.0),
                          counts)
        table.lag.tick_due_at = 99.9
        table.lag.record_tick(99.95)
        table.lag.tick_due_at = 100.05
        self.assertFalse(table.observe(self.A, 1, self.SLOW, 99.7, 100.0))

    def test_report_scales_the_estimate_relative_to_earlier_reports(
            self) -> None:
        # A report may include an endpoint's lasting slowness or not.
        for mean in (1.3, 1.0):
            known = Estimate(by_range=(1.3,) * 4, reported=(mean,) * 4)
            self.assertAlmostEqual(
                endpoint_speed.slowdown_for(known, 0.1, 0.05, 2.5 * mean),
                2.5 * 1.3)


class GatewayTest(unittest.TestCase):
    """Learned speeds in the reducer."""

    A: Final = EndpointId('a')

    def _answer(self,
                scene: GatewayScene,
                name: str,
                took: dict[str, float],
                slowdown: float | None = None) -> str:
        send = scene.post_request('/view/x', name)
        scene.advance(took.get(send.endpoint, 0.05))
        load = EndpointLoad(0, 0, 6, scene.now, slowdown)
        scene.post(ev.AnswerArrived(send.attempt, head(load=load), b''))
        return str(send.endpoint)

    def _count_slow(self, slowdown: float | None) -> int:
        scene = GatewayScene(*(endpoint(name, LEDGER) for name in 'abc'))
        for at in range(60):
            self._answer(scene, f'w{at}', {'a': 0.2}, slowdown)
        return sum(
            self._answer(scene, f'r{at}', {'a': 0.2}, slowdown) == 'a'
            for at in range(60))

    def test_slow_plain_instance_gets_less_work_once_one_reports(self) -> None:
        self.assertGreater(self._count_slow(None), 12)
        self.assertLess(self._count_slow(1.0), 8)

    def _send_slow(self) -> float:
        scene = GatewayScene(endpoint('a'))
        scene.state.settings = attrs.evolve(scene.state.settings,
                                            learns_speeds=True)
        scene.state.speeds.estimates[self.A] = Estimate(by_range=(1.8,) * 4)
        send: fx.Send = scene.post_request('/report/x')
        call = scene.state.calls.of_attempt(send.attempt)
        assert call is not None
        attempt = scene.state.calls.attempts[send.attempt]
        return (health.send_timeout_at(scene.state, call, attempt) -
                scene.now) / call.route.target_s

    def test_slow_endpoint_is_not_given_up_as_silent_too_early(self) -> None:
        self.assertAlmostEqual(self._send_slow(),
                               1.8 * health.SILENT_TIMEOUT_RATIO)

    def test_old_report_is_ignored(self) -> None:
        view = GatewayScene(endpoint('a')).state.endpoints[self.A]
        view.load = EndpointLoad(0, 0, 6, 100.0, 2.5)
        self.assertEqual(speed_updates.reported_slowdown(view, 100.2), 2.5)
        self.assertIsNone(speed_updates.reported_slowdown(view, 100.5))

    def test_hint_carries_own_observations_to_a_peer(self) -> None:
        scenes = [GatewayScene(endpoint('a'), vm=vm) for vm in ('vm1', 'vm2')]
        for scene in scenes:
            scene.state.settings = attrs.evolve(scene.state.settings,
                                                learns_speeds=True)
        speeds = scenes[0].state.speeds
        for _ in range(20):
            speeds.observe(self.A, 0, Prediction(0.1, 0.0, 0.6, None),
                           scenes[0].now - 0.2, scenes[0].now)
        digests = speed_updates.digests(scenes[0].state, 'hint', ('own',),
                                        scenes[0].now)
        hint = Hint(VmId('vm1'), Incarnation('i'), 1, {}, speeds=digests)
        message = peer_messages.decode(peer_messages.encode(hint))
        assert isinstance(message, Hint)
        scenes[1].post(HintReceived(message))
        scenes[1].advance(1.5)
        estimate = scenes[1].state.speeds.estimate(self.A)
        self.assertAlmostEqual(estimate.by_range[2], 2.0, delta=0.1)
        self.assertTrue([
            line for line in scenes[1].lines
            if line.event == 'endpoint_speed_changed'
        ])

    def test_nothing_is_learned_without_reports_or_the_flag(self) -> None:
        # Deployments without reports must behave exactly as before.
        scene = GatewayScene(endpoint('a'), endpoint('b'))
        send = scene.post_request('/report/x')
        scene.advance(0.9)
        scene.post(ev.StreamStarted(send.attempt, head()))
        scene.post(ev.StreamEventsReceived(send.attempt, b'.', '1', '1'))
        scene.advance(2.0)
        self.assertEqual(scene.state.speeds.own, {})
        self.assertEqual(scene.state.speeds.estimates, {})
