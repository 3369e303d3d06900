"""Tests of the evacuation of data centres."""

import unittest
from collections import Counter
from typing import Any, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import (dispatch, evacuations, http_client,
                                   placement, spill, tunnel_client, views)
from plantainridge.gateway.evacuations import EvacuationTable
from plantainridge.gateway.events import (EvacuationChanged, Failure, Part,
                                          RawRecord, View)
from plantainridge.gateway.requests import Call
from plantainridge.gateway.settings import Bounds
from plantainridge.ids import DcId, EndpointId, TunnelId, VmId
from plantainridge.loop import effects as base
from tests.build_fleet import begin_stream, resume_stream
from tests.gateway_scene import (ENGINES, LEDGER, LOCAL_DC, REMOTE_DC, SERVICES,
                                 GatewayScene, configuration, endpoint, head,
                                 request)
from tests.load_fleet import LoadFleet
from tests.registry_fleet import Delivery, RegistryFleet, entry

THIRD_DC: Final = DcId('third')
NEAR: Final = (endpoint('a', LEDGER), endpoint('b', LEDGER))
FAR: Final = (endpoint('c', LEDGER,
                       REMOTE_DC), endpoint('d', LEDGER, REMOTE_DC))
REASON: Final = 'every data centre that has it is evacuated'


def evacuate(scene: GatewayScene, *dcs: DcId, requested: bool = True) -> None:
    """Post the operators' request to evacuate, or its withdrawal."""
    scene.read(View.OPERATOR, *(EvacuationChanged(dc, requested) for dc in dcs))


def sent_to(scene: GatewayScene) -> list[str]:
    """Return the endpoint of each send so far."""
    return [send.endpoint for send in scene.all(fx.Send)]


class RequestPathTest(unittest.TestCase):
    """No request reaches an endpoint of an evacuated data centre."""

    def _fail(self, scene: GatewayScene, failure: Failure) -> None:
        scene.post(ev.SendFailed(scene.last(fx.Send).attempt, failure))

    def test_new_requests_go_elsewhere(self) -> None:
        scene = GatewayScene(*NEAR, *FAR)
        evacuate(scene, LOCAL_DC)
        for number in range(20):
            scene.post_request('/view/x', f'r{number}')
        self.assertLessEqual(set(sent_to(scene)), {'c', 'd'})
        self.assertEqual(len(sent_to(scene)), 20)

    def test_waiting_requests_do_not_wait_for_an_evacuated_endpoint(
            self) -> None:
        scene = GatewayScene(*NEAR[:1])
        scene.state.endpoints[EndpointId('a')].cooldown_until = scene.now + 0.2
        scene.post_request('/view/x')
        self.assertEqual(sent_to(scene), [])
        evacuate(scene, LOCAL_DC)
        scene.advance(0.1)
        self.assertEqual(scene.last(fx.Refuse).reason, REASON)
        scene.advance(0.5)
        self.assertEqual(sent_to(scene), [])

    def test_sends_that_fail_are_repeated_elsewhere(self) -> None:
        """Among them one whose connection was still being opened."""
        for failure in (Failure.NOT_CONNECTED, Failure.BROKEN,
                        Failure.TIMED_OUT):
            scene = GatewayScene(*NEAR, *FAR)
            scene.post_request('/view/x')
            self.assertIn(sent_to(scene)[0], ('a', 'b'))
            evacuate(scene, LOCAL_DC)
            self._fail(scene, failure)
            self.assertIn(sent_to(scene)[1], ('c', 'd'), failure)

    def test_rejected_and_failed_answers_are_repeated_elsewhere(self) -> None:
        for fields in ({'status': 503, 'not_run': True}, {'status': 500}):
            scene = GatewayScene(*NEAR, *FAR)
            scene.post_request('/view/x')
            evacuate(scene, LOCAL_DC)
            scene.post(
                ev.AnswerArrived(
                    scene.last(fx.Send).attempt, head(**fields), b''))
            self.assertIn(sent_to(scene)[1], ('c', 'd'), fields)

    def test_connections_are_open_or_given_up_before_the_bound(self) -> None:
        """A send decided before is not withdrawn and may be late by this."""
        opening_s = max(http_client.CONNECT_TIMEOUT_S,
                        tunnel_client.TUNNEL_TIMEOUT_S)
        learns_s = (views.RELAY_TIMEOUT_S[View.OPERATOR] +
                    views.READ_LATENCY_S + views.RETRY_DELAY_S)
        self.assertLess(learns_s + opening_s, Bounds().evacuation_s)

    def test_silent_send_is_not_taken_over_by_an_evacuated_endpoint(
            self) -> None:
        scene = GatewayScene(*NEAR)
        scene.post_request('/view/x')
        evacuate(scene, LOCAL_DC)
        scene.advance(2.0)
        self.assertEqual(len(sent_to(scene)), 1)
        self.assertFalse(scene.all(fx.CancelSend))
        self.assertIn('send_stays', [line.event for line in scene.lines])

    def test_stream_is_resumed_elsewhere(self) -> None:
        engines = endpoint('e'), endpoint('f', dc=REMOTE_DC)
        scene = GatewayScene(*engines)
        begin_stream(scene)
        self.assertEqual(sent_to(scene), ['e'])
        evacuate(scene, LOCAL_DC)
        self._fail(scene, Failure.BROKEN)
        resume_stream(scene)
        scene.advance(0.5)
        self.assertEqual(sent_to(scene), ['e', 'f', 'f'])

    def test_tunnels_lead_to_no_evacuated_data_centre(self) -> None:
        scene = GatewayScene(*NEAR, *FAR)
        scene.read(View.VMS, ev.VmEntry(VmId('vm2'), REMOTE_DC, 'vm2:3'))
        scene.post_request('/submit/x')
        self._fail(scene, Failure.NOT_CONNECTED)
        self._fail(scene, Failure.NOT_CONNECTED)
        self.assertEqual(scene.last(fx.Send).via, 'vm2:5')
        evacuate(scene, LOCAL_DC)
        for number in range(9):
            send = scene.post_request('/submit/x', f'n{number}')
            self.assertEqual((send.via, send.endpoint in 'cd'), ('vm2:5', True))

    def test_peer_opens_no_tunnel_to_an_evacuated_data_centre(self) -> None:
        scene = GatewayScene(*NEAR)
        scene.read(View.VMS, ev.VmEntry(VmId('vm2'), REMOTE_DC, 'vm2:3'))
        evacuate(scene, LOCAL_DC)
        scene.post(ev.TunnelRequested(TunnelId('t'), 'vm2', 'a:1'))
        self.assertEqual(
            scene.last(fx.RefuseTunnel).reason, 'the data centre is evacuated')

    def test_path_to_an_evacuated_data_centre_shows_no_other_path(self) -> None:
        """Else requests would alternate between a lost path and tunnels."""
        scene = GatewayScene(*NEAR, *FAR)
        scene.read(View.VMS, ev.VmEntry(VmId('vm2'), REMOTE_DC, 'vm2:3'))
        evacuate(scene, LOCAL_DC)
        scene.post_request('/submit/x')
        self._fail(scene, Failure.NOT_CONNECTED)
        self._fail(scene, Failure.NOT_CONNECTED)
        scene.advance(3.0)
        probed = {each.endpoint for each in scene.all(fx.ProbePath)}
        self.assertEqual(probed, {'c', 'd'})


class RefusalTest(unittest.TestCase):
    """Requests that only evacuated data centres could serve."""

    def test_all_data_centres_of_a_service(self) -> None:
        engine = endpoint('e', dc=THIRD_DC)
        scene = GatewayScene(*NEAR, *FAR, engine)
        evacuate(scene, LOCAL_DC, REMOTE_DC)
        refusal = scene.post_request('/view/x')
        self.assertEqual((refusal.status, refusal.reason), (503, REASON))
        self.assertGreaterEqual(refusal.retry_after_s,
                                evacuations.MIN_REMAINING_S)
        # Other services go on; so does this one once one of the two is back.
        self.assertEqual(scene.post_request('/tag/x', 'r2').endpoint, 'e')
        evacuate(scene, REMOTE_DC, requested=False)
        self.assertIn(scene.post_request('/view/x', 'r3').endpoint, ('c', 'd'))

    def test_callers_are_told_to_come_back_later_and_not_together(self) -> None:
        scene = GatewayScene(*NEAR)
        evacuate(scene, LOCAL_DC)
        for elapsed_s, expected_s in ((0.5, evacuations.MIN_REMAINING_S), (2.5,
                                                                           3.0),
                                      (60.0, evacuations.MAX_REMAINING_S)):
            scene.advance(elapsed_s)
            times = {
                scene.post_request('/view/x', f'{elapsed_s}{at}').retry_after_s
                for at in range(5)
            }
            self.assertEqual(len(times), 5)
            self.assertGreaterEqual(min(times), expected_s)
            self.assertLessEqual(max(times), 1.25 * expected_s + 0.1)

    def test_paused_endpoints_elsewhere_are_waited_for(self) -> None:
        scene = GatewayScene(NEAR[0], FAR[0])
        evacuate(scene, LOCAL_DC)
        scene.state.endpoints[EndpointId('c')].paused_until = scene.now + 9.0
        refusal = scene.post_request('/view/x')
        self.assertEqual(refusal.reason, 'every endpoint asked for a pause')

    def test_sound_evacuated_endpoint_prolongs_no_wait(self) -> None:
        """Nor does it shorten the time after which callers come back."""
        scene = GatewayScene(NEAR[0], FAR[0])
        evacuate(scene, LOCAL_DC)
        scene.state.endpoints[EndpointId('c')].cooldown_until = scene.now + 60.0
        scene.post_request('/view/x')
        scene.advance(0.2)
        refusal = scene.last(fx.Refuse)
        self.assertEqual(refusal.retry_after_s, dispatch.MAX_RETRY_AFTER_S)

    def test_request_that_may_have_run_is_not_refused_as_not_run(self) -> None:
        scene = GatewayScene(*NEAR)
        scene.post_request('/view/x')
        evacuate(scene, LOCAL_DC)
        scene.post(ev.SendFailed(scene.last(fx.Send).attempt, Failure.BROKEN))
        refusal = scene.last(fx.Refuse)
        self.assertEqual((refusal.status, refusal.retry_after_s), (502, None))

    def test_stream_of_a_build_found_only_there(self) -> None:
        scene = GatewayScene(endpoint('e', build='1'), endpoint('e2',
                                                                build='1'),
                             endpoint('f', dc=REMOTE_DC, build='2'))
        send = begin_stream(scene)
        evacuate(scene, LOCAL_DC)
        # It finishes where it runs. Once that fails, no other may continue it.
        scene.post(ev.StreamEventsReceived(send.attempt, b'two', '2', '2'))
        self.assertEqual(scene.last(fx.ForwardStreamEvents).data, b'two')
        scene.post(ev.SendFailed(send.attempt, Failure.BROKEN))
        self.assertTrue(scene.all(fx.AbortReply))
        resume_stream(scene)
        scene.advance(0.5)
        refusal = scene.last(fx.Refuse)
        self.assertEqual((refusal.status, refusal.reason), (503, REASON))
        self.assertEqual(sent_to(scene), [send.endpoint])


class ShareTest(unittest.TestCase):
    """Work of the evacuated data centre goes to the others."""

    def test_shares_by_engines(self) -> None:
        engines = {REMOTE_DC: 1, THIRD_DC: 3}
        self.assertEqual(spill.shares_by_engines(LOCAL_DC, engines), {
            REMOTE_DC: 0.25,
            THIRD_DC: 0.75
        })
        self.assertEqual(spill.shares_by_engines(LOCAL_DC, {}), {LOCAL_DC: 1.0})

    def test_contexts_keep_their_engines_while_no_load_is_known(self) -> None:
        scene = GatewayScene(*(endpoint(f'{dc}{at}', dc=dc)
                               for dc in (LOCAL_DC, REMOTE_DC, THIRD_DC)
                               for at in range(4)))
        scene.read(
            View.VMS,
            *(ev.VmEntry(VmId(f'p{at}'), REMOTE_DC, f'p{at}:1')
              for at in range(60)))
        evacuate(scene, LOCAL_DC)
        used: Counter[str] = Counter()
        for context in range(40):
            parts = Part(f'c{context}', 900), Part('own', 100)
            engines = {
                scene.post_request('/tag/x', f'{context}-{at}',
                                   parts=parts).endpoint for at in range(6)
            }
            self.assertLessEqual(len(engines), spill.ENGINES_PER_CONTEXT)
            used.update(engines)
        self.assertEqual({name[:3] for name in used}, {'far', 'thi'})
        self.assertEqual(len(used), 8)

    def test_replayed_load_is_served_elsewhere(self) -> None:
        rates = {DcId(name): 8.0 for name in 'abc'}
        fleet = LoadFleet(rates, vms_per_dc=20)
        fleet.run(4.0)
        for scene in fleet.vms.values():
            evacuate(scene, DcId('b'))
        fleet.run(1.0)
        for earned in fleet.credits.values():
            earned.clear()
        idle_since = fleet.engines[EndpointId('b-e0')].free_at
        fleet.run(6.0)
        self.assertEqual(fleet.engines[EndpointId('b-e0')].free_at, idle_since)
        for dc in rates:
            self.assertGreater(fleet.worth(dc), 0.95, dc)


class RampTest(unittest.TestCase):
    """Contexts return over the service's cold start, alike on all VMs."""

    def _scene(self, *entries: Any, vm: str = 'vm1') -> GatewayScene:
        scene = GatewayScene(*entries, vm=vm)
        services = [
            attrs.evolve(each, cold_start_s=4.0)
            if each.name == ENGINES else each for each in SERVICES
        ]
        scene.read(View.OPERATOR, configuration(2, services=services))
        evacuate(scene, LOCAL_DC)
        evacuate(scene, LOCAL_DC, requested=False)
        return scene

    def _returned(self, scene: GatewayScene) -> set[int]:
        """Return which of 200 contexts may use the data centre again."""
        returned = set()
        for number in range(200):
            parts = Part(f'c{number}', 900), Part('own', 100)
            call = _call(scene, parts)
            usable = placement.usable_endpoints(scene.state, call, scene.now)
            if any(view.entry.dc == LOCAL_DC for view in usable):
                returned.add(number)
        return returned

    def test_contexts_return_one_after_another_and_alike(self) -> None:
        engines = endpoint('e'), endpoint('f', dc=REMOTE_DC)
        one, other = (self._scene(*engines, vm=vm) for vm in ('vm1', 'vm2'))
        before: set[int] = set()
        for at, share in enumerate((0.0, 0.25, 0.5, 0.75, 1.0)):
            returned = self._returned(one)
            self.assertEqual(returned, self._returned(other))
            self.assertLessEqual(before, returned)
            self.assertAlmostEqual(len(returned) / 200, share, delta=0.08)
            before = returned
            if at < 4:
                one.advance(1.0)
                other.advance(1.0)

    def test_what_only_it_can_serve_returns_at_once(self) -> None:
        scene = self._scene(endpoint('e'))
        self.assertEqual(len(self._returned(scene)), 200)

    def test_service_without_cold_start_returns_at_once(self) -> None:
        scene = self._scene(*NEAR, *FAR)
        scene.post_request('/view/x')
        self.assertIn(sent_to(scene)[0], ('a', 'b'))


def _call(scene: GatewayScene, parts: tuple[Part, ...]) -> Call:
    """Return a request for an engine that was not dispatched."""
    arrived = request('/tag/x', parts=parts)
    route = scene.state.config.route('host', '/tag/x')
    assert route is not None
    return Call(arrived, route, ENGINES, None, scene.now, scene.now + 9.0, 0)


def record(dc: str, requested: bool = True) -> RawRecord:
    """Return the operators' record of an evacuation, or its deletion."""
    return RawRecord(f'evacuate/{dc}', b'{}' if requested else None)


class StoreTest(unittest.TestCase):
    """VMs follow the operators' records through faults of all kinds."""

    def setUp(self) -> None:
        self.fleet = RegistryFleet(3)
        self.fleet.store.append(entry('e'), entry('f', dc=REMOTE_DC))
        # A restore keeps a log's first record.
        self._write(record('elsewhere', False))
        self.fleet.run(3.0)

    def _write(self, *records: RawRecord) -> None:
        self.fleet.store.append(*records, view=View.OPERATOR)

    def _evacuated(self) -> set[frozenset[str]]:
        """Return the sets of evacuated data centres that VMs know."""
        return {
            frozenset(scene.state.evacuations.started_at)
            for scene in self.fleet.vms.values()
        }

    def _assert_evacuated(self, *dcs: str) -> None:
        self.assertEqual(self._evacuated(), {frozenset(dcs)})

    def _evacuate(self, *dcs: str) -> None:
        self._write(*(record(dc) for dc in dcs))
        self.fleet.run(1.5)
        self._assert_evacuated(*dcs)

    def _lines(self, event: str) -> list[dict[str, object]]:
        return [
            dict(line.fields)
            for scene in self.fleet.vms.values()
            for line in scene.lines
            if line.event == event
        ]

    def test_two_at_once_and_their_withdrawal(self) -> None:
        self._evacuate('near', 'far')
        self._write(record('near', False))
        self.fleet.run(1.5)
        self._assert_evacuated('far')
        self.assertEqual(len(self._lines('evacuation_started')), 6)
        ended = self._lines('evacuation_ended')
        self.assertEqual({(each['dc'], each['cause']) for each in ended},
                         {('near', 'withdrawn')})

    def test_restarted_vm_reads_it_before_it_sends_anything(self) -> None:
        self._evacuate('near')
        for name in list(self.fleet.vms):
            self.fleet.start(name)
            scene = self.fleet.vms[name]
            scene.post_request('/tag/x', f'r-{name}')
            self.assertEqual(scene.last(fx.Send).endpoint, 'f')

    def test_relays_lost(self) -> None:
        self.fleet.deliver = lambda: Delivery(())
        self._write(record('near'))
        self.fleet.run(2.5)
        self._assert_evacuated('near')

    def test_vm_cut_off_from_the_store_follows_relays(self) -> None:
        """Also after it missed one, which it cannot make up for."""
        for lost in (False, True):
            self.setUp()
            cut_off = VmId('vm0')
            self.fleet.rejected = {cut_off}
            self.fleet.run(2.0)
            if lost:
                self.fleet.unreachable = {cut_off}
                self._write(record('elsewhere', False))
                self.fleet.run(1.0)
                self.fleet.unreachable = set()
                self.fleet.run(1.0)
            self._write(record('near'))
            self.fleet.run(2.0)
            self._assert_evacuated('near')
            self._write(record('near', False))
            self.fleet.run(2.0)
            self._assert_evacuated()

    def test_frozen_vm_learns_of_it_as_it_continues(self) -> None:
        frozen = VmId('vm1')
        self.fleet.paused = {frozen}
        self._write(record('near'))
        self.fleet.run(8.0)
        self.fleet.paused = set()
        self.fleet.run(0.5)
        self._assert_evacuated('near')

    def test_store_down_keeps_it(self) -> None:
        self._evacuate('near')
        self.fleet.store.up = False
        self.fleet.run(6.0)
        self._assert_evacuated('near')

    def test_trimmed_log(self) -> None:
        """A snapshot without the record is a withdrawal that was missed."""
        self._evacuate('near', 'far')
        self.fleet.store.logs[View.OPERATOR] = [record('far')]
        for scene in self.fleet.vms.values():
            scene.post(ev.ViewFailed(View.OPERATOR, True, 'trimmed'))
        self.fleet.run(2.5)
        self._assert_evacuated('far')
        self.assertEqual(
            {each['cause'] for each in self._lines('evacuation_ended')},
            {'not listed'})

    def test_restored_store_that_has_the_record(self) -> None:
        self._evacuate('near')
        self._write(record('elsewhere', False))
        self.fleet.run(1.5)
        self.fleet.store.restore(1)
        self.fleet.run(12.0)
        self._assert_evacuated('near')
        self.assertFalse(self._lines('evacuation_unlisted'))

    def test_restored_store_without_the_record(self) -> None:
        self._evacuate('near')
        self.fleet.store.restore(1)
        self.fleet.run(4.4)
        self._assert_evacuated('near')
        self.fleet.run(2.5)
        self._assert_evacuated()
        self.assertEqual(len(self._lines('evacuation_unlisted')), 3)

    def test_record_written_again_after_a_restore(self) -> None:
        self._evacuate('near')
        self.fleet.store.restore(1)
        self.fleet.run(4.0)
        self._write(record('near'))
        for _ in range(100):
            self.fleet.run(0.1)
            self._assert_evacuated('near')

    def test_second_restore_before_the_first_is_confirmed(self) -> None:
        self._evacuate('near')
        self.fleet.store.restore(1)
        self.fleet.run(3.0)
        self.fleet.store.restore(1)
        self.fleet.run(4.4)
        self._assert_evacuated('near')
        self.fleet.run(3.0)
        self._assert_evacuated()


class TableTest(unittest.TestCase):
    """Snapshots and records applied to the table."""

    def test_early_snapshot_does_not_confirm_a_withdrawal(self) -> None:
        table = EvacuationTable()
        near = DcId('near')
        list(evacuations.apply(table, EvacuationChanged(near, True), 0.0))
        list(evacuations.reconcile(table, (), True, 10.0, 10.0))
        for at, evacuated in ((14.4, True), (14.5, False)):
            list(evacuations.reconcile(table, (), False, at, at + 0.1))
            self.assertEqual(table.is_evacuated(near), evacuated, at)

    def test_repeated_records_change_nothing(self) -> None:
        table = EvacuationTable()
        lines: list[base.LogLine] = []
        for at, requested in enumerate((False, True, True, False, False)):
            change = EvacuationChanged(DcId('near'), requested)
            lines += evacuations.apply(table, change, float(at))
        self.assertEqual([line.event for line in lines],
                         ['evacuation_started', 'evacuation_ended'])
        self.assertEqual(dict(lines[1].fields)['lasted_s'], 2.0)
        self.assertEqual(table.ended_at, {'near': 3.0})
