"""Tests of streams that callers take up at a VM that misses a new build."""

import math
import unittest
from collections.abc import Callable

import attrs

from plantainridge.gateway import builds, resumptions
from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import View, VmEntry
from plantainridge.ids import DcId, EndpointId, RequestId, VmId
from tests.build_fleet import BuildFleet, resume_stream
from tests.gateway_scene import (LOCAL_DC, REMOTE_DC, GatewayScene, endpoint)
from tests.registry_fleet import STEP_S, Delivery, entry

BEGINNER, STALE = VmId('vm0'), VmId('vm1')
SIZES = (2, 7, 16)


def pause(fleet: BuildFleet) -> None:
    """Pause a VM, whose messages overflow its receive buffer meanwhile."""
    fleet.paused.add(STALE)
    fleet.unreachable.add(STALE)


def cut_off(fleet: BuildFleet) -> None:
    """Cut a VM off from the metadata store and its peers."""
    fleet.rejected.add(STALE)
    fleet.unreachable.add(STALE)


def heal(fleet: BuildFleet) -> None:
    """Let a VM run, and reach the store and its peers."""
    fleet.paused.discard(STALE)
    fleet.rejected.discard(STALE)
    fleet.unreachable.discard(STALE)


DISRUPTIONS: dict[str, Callable[[BuildFleet], None]] = {
    'paused': pause,
    'cut off': cut_off,
}


class OutOfStepTest(unittest.TestCase):
    """Tests of a VM that was out of step while engines of a new build came."""

    def _begin(self, fleet: BuildFleet, count: int = 8) -> dict[str, str]:
        """Begin streams at the engines that serve; return their builds."""
        return {
            name: fleet.begin(BEGINNER, name)
            for name in (f's{at}' for at in range(count))
        }

    def _join(self, size: int, disrupt: Callable[[BuildFleet], None],
              out_s: float) -> tuple[BuildFleet, dict[str, str]]:
        """Let engines join and begin streams while one VM is out of step."""
        fleet = BuildFleet(size, 'v1')
        fleet.run(2.0)
        disrupt(fleet)
        fleet.add_engines('v2')
        fleet.run(out_s)
        begun = self._begin(fleet)
        self.assertIn('v2', begun.values())
        return fleet, begun

    def _resume_all(self,
                    fleet: BuildFleet,
                    begun: dict[str, str],
                    resumes: str | None = None) -> int:
        """Resume streams; return how many go on, none at another build."""
        went_on = 0
        for name, build in begun.items():
            found = fleet.resume(STALE, f'{name}-again', name, resumes)
            if isinstance(found, str):
                self.assertEqual(found, build, name)
                went_on += 1
            else:
                self.assertEqual(found.status, 503)
                self.assertIsNotNone(found.retry_after_s)
        return went_on

    def test_stream_taken_up_while_the_vm_is_out_of_step(self) -> None:
        for size in SIZES:
            with self.subTest(size=size):
                fleet, begun = self._join(size, cut_off, 1.5)
                self.assertEqual(self._resume_all(fleet, begun), 0)

    def test_stream_taken_up_as_the_vm_is_back_and_its_peer_is_lost(
            self) -> None:
        for size in SIZES:
            for cause, disrupt in DISRUPTIONS.items():
                with self.subTest(size=size, cause=cause):
                    fleet, begun = self._join(size, disrupt, 1.5)
                    for vm in list(fleet.vms):
                        if vm != STALE:
                            fleet.kill(vm)
                    heal(fleet)
                    self._resume_all(fleet, begun)

    def test_stream_whose_caller_names_no_attempt(self) -> None:
        for size in SIZES:
            for cause, disrupt in DISRUPTIONS.items():
                with self.subTest(size=size, cause=cause):
                    fleet, begun = self._join(size, disrupt, 1.5)
                    heal(fleet)
                    self.assertEqual(self._resume_all(fleet, begun, ''), 0)

    def test_stream_taken_up_after_the_store_lost_entries(self) -> None:
        # Engines write their entries again shortly after the store's return.
        for size in SIZES:
            with self.subTest(size=size):
                fleet, begun = self._join(size, cut_off, 1.5)
                fleet.store.restore(2)
                heal(fleet)
                first = dict([begun.popitem()])
                self.assertEqual(self._resume_all(fleet, first, ''), 0)
                fleet.add_engines('v2')
                self.assertEqual(self._resume_all(fleet, begun, ''), 0)

    def test_answer_that_waited_for_a_paused_vm_shows_nothing(self) -> None:
        # The new try seems to have arrived before the pause as well.
        fleet = BuildFleet(2, 'v1')
        fleet.unreachable.add(STALE)
        fleet.run(2.0)
        scene = fleet.vms[STALE]
        cursor = scene.state.views.cursors[View.REGISTRY]
        while not cursor.is_reading:
            fleet.run(STEP_S)
        fleet.paused.add(STALE)
        fleet.run(0.2)
        fleet.add_engines('v2')
        fleet.run(0.9)
        begun = self._begin(fleet)
        fleet.kill(BEGINNER)
        heal(fleet)
        scene.now = fleet.now
        for name in begun:
            resume_stream(scene, f'{name}-again', name, '', unread_s=1.15)
        fleet.run(2.0)
        sent = {
            fleet.builds[effect.endpoint]
            for vm, effect in fleet.outputs
            if vm == STALE and isinstance(effect, fx.Send)
        }
        self.assertEqual(sent, set())

    def test_build_of_a_run_whose_start_is_stated_earlier(self) -> None:
        # The clock of its machine was set back before it started again.
        for size in SIZES:
            with self.subTest(size=size):
                fleet = BuildFleet(size)
                fleet.builds.update({
                    EndpointId('a'): 'v2',
                    EndpointId('b'): 'v1'
                })
                fleet.store.append(entry('a', born=2, build='v1'),
                                   entry('b', born=2, build='v1'))
                fleet.run(2.0)
                fleet.store.append(entry('a', born=1, build='v2'))
                for waited_s in (2.0, builds.ORIGIN_RETENTION_S + 5.0):
                    fleet.run(waited_s)
                    found = fleet.resume(STALE, f'r{waited_s}', 'unknown')
                    self.assertIsInstance(found, fx.Refuse)

    def test_build_that_came_and_went_while_only_peers_answered(self) -> None:
        for size in SIZES:
            with self.subTest(size=size):
                fleet = BuildFleet(size, 'v1')
                fleet.run(5.0)
                fleet.unreachable.add(STALE)
                fleet.rejected.add(STALE)
                fleet.add_engines('v2')
                fleet.run(2.0)
                begun = self._begin(fleet)
                fleet.remove_engines('v2')
                fleet.run(2.0)
                # The peers' answers hold the newest record of each engine.
                fleet.unreachable.discard(STALE)
                fleet.run(2.0)
                self.assertEqual(fleet.endpoints(STALE),
                                 fleet.store.endpoints())
                fleet.rejected.discard(STALE)
                fleet.run(2.0)
                self.assertEqual(self._resume_all(fleet, begun, ''), 0)

    def test_registry_that_takes_several_reads(self) -> None:
        for size in SIZES:
            with self.subTest(size=size):
                fleet = BuildFleet(size, 'v1')
                cut_off(fleet)
                fleet.store.append(*(entry('v1-a', sequence=at, build='v1')
                                     for at in range(1, 13)))
                fleet.add_engines('v2')
                fleet.run(2.0)
                begun = self._begin(fleet)
                for vm in list(fleet.vms):
                    if vm != STALE:
                        fleet.kill(vm)
                fleet.store.max_records = 4
                heal(fleet)
                self.assertEqual(self._resume_all(fleet, begun, ''), 0)

    def test_data_centre_that_reads_the_registry_later(self) -> None:
        for is_lost in (False, True):
            with self.subTest(is_lost=is_lost):
                found = self._resume_at_late_data_centre(is_lost)
                self.assertEqual(found, set() if is_lost else {'v2'})

    def _resume_at_late_data_centre(self, is_lost: bool) -> set[str]:
        """Return the builds at which streams of a new build go on.

        Args:
            is_lost: Whether all messages between VMs are lost meanwhile.
        """
        fleet = BuildFleet(18, 'v1')
        fleet.spread(LOCAL_DC, REMOTE_DC, DcId('third'))
        fleet.add_engines('v2')
        joined = EndpointId('v2-a')
        early: list[VmId] = []
        while not early:
            fleet.run(STEP_S)
            early = [vm for vm in fleet.vms if joined in fleet.endpoints(vm)]
        dc = fleet.vms[early[0]].state.settings.dc
        late = next(vm for vm, scene in fleet.vms.items()
                    if joined not in fleet.endpoints(vm) and
                    scene.state.settings.dc != dc)
        if is_lost:
            fleet.deliver = lambda: Delivery(())
        names = [f's{at}' for at in range(8)]
        self.assertEqual({fleet.begin(early[0], name) for name in names},
                         {'v2'})
        scene = fleet.vms[late]
        scene.now = fleet.now
        for name in names:
            resume_stream(scene, f'{name}-again', name)
        fleet.run(2.0)
        sent = {
            effect.request.id: fleet.builds[effect.endpoint]
            for vm, effect in fleet.outputs
            if vm == late and isinstance(effect, fx.Send)
        }
        self.assertEqual(len(sent), 0 if is_lost else len(names))
        return set(sent.values())

    def test_streams_go_on_once_the_vm_is_back(self) -> None:
        for size in SIZES:
            for cause, disrupt in DISRUPTIONS.items():
                with self.subTest(size=size, cause=cause):
                    fleet, begun = self._join(size, disrupt, 1.5)
                    heal(fleet)
                    self.assertEqual(self._resume_all(fleet, begun), len(begun))

    def test_streams_go_on_while_one_build_serves(self) -> None:
        for size in SIZES:
            for cause, disrupt in DISRUPTIONS.items():
                for resumes in (None, ''):
                    with self.subTest(size=size, cause=cause, resumes=resumes):
                        fleet = BuildFleet(size, 'v1')
                        begun = self._begin(fleet)
                        fleet.kill(BEGINNER)
                        disrupt(fleet)
                        fleet.run(1.5)
                        heal(fleet)
                        self.assertEqual(
                            self._resume_all(fleet, begun, resumes), len(begun))


class RefreshTest(unittest.TestCase):
    """Tests of the reads of the registry that new tries wait for."""

    def _begin(self, size: int) -> tuple[BuildFleet, list[str]]:
        """Begin streams at a VM of a steady fleet, which is then killed."""
        fleet = BuildFleet(size, 'v1')
        fleet.run(builds.ORIGIN_RETENTION_S + 5.0)
        names = [f's{at}' for at in range(12)]
        for name in names:
            fleet.begin(BEGINNER, name)
        fleet.kill(BEGINNER)
        fleet.run(3.0)
        return fleet, names

    def test_a_burst_shares_one_read(self) -> None:
        for size in SIZES:
            fleet, names = self._begin(size)
            usual = self._reads(fleet, 2.0)
            scene = fleet.vms[STALE]
            scene.now = fleet.now
            for name in names:
                resume_stream(scene, f'{name}-again', name)
            with self.subTest(size=size):
                self.assertLessEqual(self._reads(fleet, 2.0), usual + 1)
                self.assertEqual(len(self._sent(fleet)), len(names))

    def test_a_caller_who_names_no_attempt_waits_for_one_read(self) -> None:
        for size in SIZES:
            fleet, names = self._begin(size)
            scene = fleet.vms[STALE]
            scene.now = fleet.now
            resume_stream(scene, 'again', names[0], '')
            fleet.run(0.06)
            with self.subTest(size=size):
                self.assertEqual(len(self._sent(fleet)), 1)

    def test_no_read_while_a_peer_knows_the_stream(self) -> None:
        for size in SIZES:
            fleet = BuildFleet(size, 'v1')
            fleet.run(builds.ORIGIN_RETENTION_S + 5.0)
            fleet.begin(BEGINNER, 's')
            self.assertEqual(fleet.resume(STALE, 'again', 's'), 'v1')
            views = fleet.vms[STALE].state.views
            self.assertEqual(views.cursors[View.REGISTRY].wanted_until,
                             -math.inf, size)

    def test_is_refused_in_time_while_the_store_is_down(self) -> None:
        fleet, names = self._begin(2)
        fleet.store.up = False
        start = fleet.now
        found = fleet.resume(STALE, 'again', names[0])
        assert isinstance(found, fx.Refuse)
        self.assertEqual(found.status, 503)
        self.assertLessEqual(fleet.now - start,
                             resumptions.REGISTRY_WAIT_S + 0.3)

    def test_goes_on_where_the_store_is_slow(self) -> None:
        fleet, names = self._begin(2)
        fleet.answer_delay_s = 0.3
        self.assertEqual(fleet.resume(STALE, 'again', names[0], ''), 'v1')

    def test_all_vms_together_leave_reads_of_the_store_to_others(self) -> None:
        vms, seconds = 410, 4.0
        scene = GatewayScene(endpoint('old', build='v1', started_ms=1))
        scene.state.settings = attrs.evolve(scene.state.settings,
                                            store_reads_per_s=2_000.0)
        for at in range(vms):
            scene.state.peers[VmId(f'vm{at}')] = VmEntry(
                VmId(f'vm{at}'), LOCAL_DC, '10.0.0.1:1')
        end, answered = scene.now + seconds, 0
        while scene.now < end:
            resume_stream(scene, f'r{scene.now}', resumes='')
            scene.advance(0.1)
            reads = [
                each for each in scene.all(fx.ReadView)
                if each.view is View.REGISTRY
            ]
            if len(reads) > answered:
                answered = len(reads)
                scene.read(View.REGISTRY)
        self.assertLessEqual(answered * vms, 0.25 * 2_000.0 * seconds + vms)

    def _reads(self, fleet: BuildFleet, seconds: float) -> int:
        """Return the VM's reads of the registry while time passes."""
        before = fleet.registry_reads[STALE]
        fleet.run(seconds)
        return fleet.registry_reads[STALE] - before

    def _sent(self, fleet: BuildFleet) -> set[RequestId]:
        return {
            effect.request.id for vm, effect in fleet.outputs if vm == STALE and
            isinstance(effect, fx.Send) and effect.request.last_event_id
        }
