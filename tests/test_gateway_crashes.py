"""Tests of the attribution of engines' crashes to what their prompts share."""

import functools
import unittest
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import crash_attribution, suspects
from plantainridge.gateway.events import Failure, Part, View
from plantainridge.ids import DcId
from tests.crash_fleet import CrashFleet
from tests.gateway_scene import GatewayScene, endpoint, head

# Crashes after which the platform counts further requests with a part, and
# those after which it counts further sends of one request.
CRASHES_BY_PART: Final = 5
CRASHES_BY_REQUEST: Final = 3
STABLE_S: Final = 3.0
MAX_LATE_REQUESTS: Final = 3
DCS: Final = tuple(DcId(name) for name in ('one', 'two', 'three'))


def fleet_of(*deadly: str) -> CrashFleet:
    """Return nine engines under load, served by six VMs."""
    fleet = CrashFleet(dict.fromkeys(DCS, 6.0),
                       vms_per_dc=2,
                       engines_per_dc=3,
                       deadly=deadly)
    fleet.run(2.0)
    return fleet


class CrashingPartTest(unittest.TestCase):
    """Tests of a deployment that gets prompts that crash engines."""

    def assert_kept_from_engines(self,
                                 fleet: CrashFleet,
                                 crashes: int = CRASHES_BY_PART) -> None:
        """Assert the bound on requests that crash engines."""
        for part, times in fleet.reached_at.items():
            crashed_at = fleet.crashed_at[part]
            self.assertGreaterEqual(len(crashed_at), 2)
            for counted_from in crashed_at[crashes - 1:crashes]:
                late = [at for at in times if at > counted_from + STABLE_S]
                self.assertLessEqual(len(late), MAX_LATE_REQUESTS, part)

    def test_part_that_crashes_engines_is_kept_from_them(self) -> None:
        for interval_s in (0.3, 0.7, 1.5):
            fleet = fleet_of('bad')
            fleet.repeat(interval_s, 14.0,
                         functools.partial(fleet.send_new, 'bad'))
            self.assert_kept_from_engines(fleet)

    def test_two_parts_that_crash_engines_are_kept_from_them(self) -> None:
        fleet = fleet_of('bad', 'worse')

        def send_both() -> None:
            fleet.send_new('bad')
            fleet.send_new('worse')

        fleet.repeat(0.8, 14.0, send_both)
        self.assert_kept_from_engines(fleet)

    def test_request_that_crashes_engines_is_kept_from_them(self) -> None:
        fleet = fleet_of('own-bad')
        fleet.repeat(0.7, 14.0, lambda: fleet.send_again('own-bad'))
        self.assert_kept_from_engines(fleet, CRASHES_BY_REQUEST)

    def test_sound_requests_are_served_beside_a_crashing_part(self) -> None:
        fleet = fleet_of('bad')
        started_at = fleet.now
        fleet.repeat(0.3, 14.0, lambda: fleet.send_new('bad'))
        before = fleet.served_ratio(0.0, started_at)
        crashed_at = fleet.crashed_at['bad'][:CRASHES_BY_PART][-1]
        after = fleet.served_ratio(crashed_at + 2 * STABLE_S, fleet.now - 1.0)
        self.assertGreaterEqual(after, before / 2)

    def test_restarted_vm_learns_which_part_crashes_engines(self) -> None:
        fleet = fleet_of('bad')
        names = list(fleet.vms)

        def restart_one() -> None:
            fleet.restart(names.pop())
            fleet.send_new('bad')

        fleet.repeat(0.7, 7.0, lambda: fleet.send_new('bad'))
        fleet.repeat(1.2, 6.0, restart_one)
        fleet.repeat(0.7, 4.0, lambda: fleet.send_new('bad'))
        self.assert_kept_from_engines(fleet)

    def test_other_crashes_lead_to_no_refusal(self) -> None:
        fleet = fleet_of()
        fleet.repeat(0.7, 8.0, fleet.crash_any)
        stopped_at = fleet.now + 4.0
        fleet.run(8.0)
        self.assertEqual(fleet.served_ratio(stopped_at, fleet.now - 1.0), 1.0)


class SoundRequestTest(unittest.TestCase):
    """Tests of sound requests in flight at the crashes of others."""

    def test_sound_request_at_two_crashes_is_not_refused(self) -> None:
        scene = GatewayScene(endpoint('a'))
        sound = {'parts': (Part('o', 100), Part('c', 500), Part('s', 9))}
        deadly = {'parts': (Part('o', 100), Part('bad', 500), Part('d', 9))}
        scene.post_request('/report/x', 'sound', **sound)
        scene.post_request('/report/y', 'deadly', **deadly)
        for engine in 'bc':
            for send in scene.all(fx.Send)[-2:]:
                scene.post(ev.SendFailed(send.attempt, Failure.BROKEN))
            scene.read(View.REGISTRY, endpoint(engine))
            scene.advance(0.2)
        again = scene.post_request('/report/x', 'again', **sound)
        self.assertIsInstance(again, fx.Send)
        self.assertEqual(len(scene.all(fx.Send)), 5)

    def test_part_is_not_refused_at_the_first_broken_send_of_a_crash(
            self) -> None:
        # The crashing part is in flight at the same VM, and breaks next.
        scene = GatewayScene(endpoint('a'))
        opening = Part('o', 100)
        for number, engine in enumerate('bcde'):
            for part in ('c', 'bad'):
                scene.post_request('/tag/x',
                                   f'{part}{number}',
                                   body=f'{part}{number}'.encode(),
                                   parts=(opening, Part(part,
                                                        500), Part('own', 9)))
            for send in scene.all(fx.Send)[-2:]:
                scene.post(ev.SendFailed(send.attempt, Failure.BROKEN))
            scene.read(View.REGISTRY, endpoint(engine))
            for other in range(crash_attribution.MIN_ANSWERS):
                self._answer(scene, f'other{number}-{other}')
            scene.advance(suspects.CRASH_SPAN_S)
        quarantined = [
            line for line in scene.lines if line.event == 'suspect_quarantined'
        ]
        self.assertEqual(quarantined, [])

    def _answer(self, scene: GatewayScene, name: str) -> None:
        send = scene.post_request('/tag/x',
                                  name,
                                  body=name.encode(),
                                  parts=(Part(name, 100), Part('own', 9)))
        scene.post(ev.StreamStarted(send.attempt, head()))
        scene.post(ev.StreamEventsReceived(send.attempt, b'id: 1\n\n', '1',
                                           '1'))
        scene.post(ev.StreamEnded(send.attempt))


class QuarantineTest(unittest.TestCase):
    """Tests of the end of a quarantine."""

    def setUp(self) -> None:
        super().setUp()
        self.scene = GatewayScene(*(endpoint(name) for name in 'abcd'))
        self.scene.post_request('/report/x')
        for _ in range(2):
            send = self.scene.last(fx.Send)
            self.scene.post(ev.SendFailed(send.attempt, Failure.BROKEN))

    def test_one_request_probes_after_a_while(self) -> None:
        self.scene.advance(suspects.PROBE_AFTER_S)
        self.assertIsInstance(self.scene.post_request('/report/x', 'r2'),
                              fx.Send)
        self.assertIsInstance(self.scene.post_request('/report/x', 'r3'),
                              fx.Refuse)

    def test_answer_to_the_probe_ends_the_quarantine(self) -> None:
        self.scene.advance(suspects.PROBE_AFTER_S)
        probe = self.scene.post_request('/report/x', 'r2')
        self.scene.post(ev.StreamStarted(probe.attempt, head()))
        self.scene.post(
            ev.StreamEventsReceived(probe.attempt, b'id: 1\n\n', '1', '1'))
        self.scene.post(ev.StreamEnded(probe.attempt))
        self.assertIsInstance(self.scene.post_request('/report/x', 'r3'),
                              fx.Send)

    def test_failed_probe_doubles_the_time_to_the_next(self) -> None:
        self.scene.advance(suspects.PROBE_AFTER_S)
        probe = self.scene.post_request('/report/x', 'r2')
        self.scene.post(ev.SendFailed(probe.attempt, Failure.BROKEN))
        self.scene.advance(suspects.PROBE_AFTER_S)
        self.assertIsInstance(self.scene.post_request('/report/x', 'r3'),
                              fx.Refuse)
        self.scene.advance(suspects.PROBE_AFTER_S)
        self.assertIsInstance(self.scene.post_request('/report/x', 'r4'),
                              fx.Send)
