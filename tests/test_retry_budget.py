"""Tests of the retry budget that all VMs share.

They guard against retries that add up to more than operators allow although
each VM keeps to its share.
"""

import random
import unittest
from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import View, VmEntry
from plantainridge.gateway.settings import Bounds
from plantainridge.ids import VmId
from tests.gateway_scene import LEDGER, LOCAL_DC, GatewayScene, endpoint, head

VMS: Final = 30
BOUNDS: Final = Bounds(retry_ratio=0.2, retry_slack=75.0, retry_window_s=10.0)
# Requests that arrive at each VM per s.
RATE: Final = 3.4
STEP_S: Final = 0.1


class FailingFleet:
    """Reducers of many VMs whose endpoints fail every request.

    Attributes:
        requests: Time of each request, in s.
        retries: Time of each send beyond the first of its request, in s.
        knows_vms: Whether VMs that start read the list of VMs.
    """

    def __init__(self) -> None:
        self.now = 100.0
        self.rng = random.Random(1)
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.knows_vms = True
        self.entries = [
            VmEntry(VmId(f'vm{at}'), LOCAL_DC, f'vm{at}:1') for at in range(VMS)
        ]
        self.vms: dict[VmId, GatewayScene] = {}
        for each in self.entries:
            self.start(each.vm)

    def start(self, vm: VmId) -> None:
        """Start a VM's process, again if it runs."""
        scene = GatewayScene(
            *(endpoint(f'i{at}', LEDGER, slots=10_000) for at in range(3)),
            vm=vm,
            now=self.now,
            is_new=True)
        scene.state.settings = attrs.evolve(scene.state.settings, bounds=BOUNDS)
        scene.state.retries.bounds = BOUNDS
        if self.knows_vms:
            scene.read(View.VMS, *self.entries)
        self.vms[vm] = scene

    def restart(self, ratio: float) -> None:
        """Kill and start a share of the VMs."""
        for entry in self.entries[:round(ratio * VMS)]:
            self.start(entry.vm)

    def run(self, seconds: float) -> None:
        """Advance the clock under load."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for scene in self.vms.values():
                scene.advance(self.now - scene.now)
                scene.done.clear()
                if self.rng.random() < RATE * STEP_S:
                    self._request(scene)

    def _request(self, scene: GatewayScene) -> None:
        name = f'r{len(self.requests)}'
        self.requests.append(self.now)
        scene.post_request('/view/x', name)
        sends = 0
        while len(scene.all(fx.Send)) > sends:
            sends += 1
            send = scene.last(fx.Send)
            scene.post(ev.AnswerArrived(send.attempt, head(500), b''))
        self.retries.extend([self.now] * (sends - 1))

    def excess(self) -> float:
        """Return by how much retries exceed what is allowed, at most.

        The requests are those of the same window, of the one before it or of
        the one half a window before it, whichever has most.
        """
        window_s = BOUNDS.retry_window_s

        def count(times: list[float], start: float) -> int:
            return sum(start <= each < start + window_s for each in times)

        return max(
            count(self.retries, start) - BOUNDS.retry_slack -
            BOUNDS.retry_ratio * max(
                count(self.requests, start - before)
                for before in (0.0, window_s / 2, window_s))
            for start in sorted(set(self.retries)))


class RestartedVmsTest(unittest.TestCase):
    """Load: all requests fail while most VMs are killed, again and again."""

    def setUp(self) -> None:
        self.fleet = FailingFleet()
        self.fleet.run(12.0)

    def _kill_in_series(self) -> None:
        for ratio, seconds in ((0.6, 1.4), (1.0, 2.0), (0.6, 1.4), (1.0, 8.0)):
            self.fleet.restart(ratio)
            self.fleet.run(seconds)

    def test_retries_stay_within_the_budget(self) -> None:
        self.fleet.run(12.0)
        self.assertLessEqual(self.fleet.excess(), 0.0)
        self.assertGreater(len(self.fleet.retries),
                           BOUNDS.retry_ratio * len(self.fleet.requests))

    def test_a_restarted_vm_has_no_new_share_of_the_budget(self) -> None:
        self._kill_in_series()
        self.assertLessEqual(self.fleet.excess(), 0.0)

    def test_a_vm_that_does_not_know_the_others_takes_no_share(self) -> None:
        self.fleet.knows_vms = False
        self.fleet.restart(1.0)
        self.fleet.run(24.0)
        self.assertLessEqual(self.fleet.excess(), 0.0)


class FirstStartTest(unittest.TestCase):
    """VMs of a deployment that starts for the first time."""

    def test_a_vm_that_has_no_former_process_has_its_share(self) -> None:
        for is_first_start in (False, True):
            scene = GatewayScene(endpoint('a', LEDGER),
                                 endpoint('b', LEDGER),
                                 is_new=True,
                                 is_first_start=is_first_start)
            scene.read(View.VMS, VmEntry(VmId('vm1'), LOCAL_DC, 'vm1:1'))
            send = scene.post_request('/view/x')
            scene.post(ev.AnswerArrived(send.attempt, head(500), b''))
            self.assertEqual(len(scene.all(fx.Send)), 1 + is_first_start)


class CancelledRetryTest(unittest.TestCase):
    """Load: retries find no connection, while others do run."""

    def test_a_cancelled_retry_hides_no_other_one_later(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER), endpoint('b', LEDGER))
        scene.advance(0.9)
        send = scene.post_request('/view/x')
        scene.post(ev.AnswerArrived(send.attempt, head(500), b''))
        retry = scene.last(fx.Send)
        scene.advance(0.35)
        scene.post(ev.SendFailed(retry.attempt, ev.Failure.NOT_CONNECTED))
        for _ in range(120):
            scene.advance(0.1)
            _, retries = scene.state.retries.usage(LEDGER, scene.now)
            self.assertEqual(retries, 0)


if __name__ == '__main__':
    unittest.main()
