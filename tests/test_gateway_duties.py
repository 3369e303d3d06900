"""Tests of the lease, orders, relays between VMs, shutdown and reload."""

import unittest

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import (AppendResult, LeaseRecord,
                                          OrderResult, View)
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.lease import NO_TERM, STANDBY_VMS, TERM_S
from plantainridge.gateway.peer_messages import (Hint, RelayedView,
                                                 WeightsLoaded, decode)
from plantainridge.gateway.settings import Bounds, InvalidSetting
from plantainridge.ids import EndpointId, Incarnation, RequestId, VmId
from plantainridge.loop import effects as base
from tests.gateway_scene import (LEDGER, LOCAL_DC, MODEL, GatewayScene,
                                 endpoint, head, settings)

A = endpoint('a')
OTHER = LeaseRecord(VmId('vm9'), Incarnation('life9'), 4)


class LeaseTest(unittest.TestCase):
    """At most one VM at a time holds the lease to give orders."""

    def _lagging(self) -> GatewayScene:
        scene = GatewayScene(A)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        scene.advance(0.1)
        return scene

    def test_offset_of_the_record_is_the_fencing_token(self) -> None:
        scene = self._lagging()
        self.assertTrue(scene.all(fx.ReadLease))
        scene.post(ev.LeaseRead(None, 7))
        written = scene.last(fx.WriteLease)
        self.assertEqual((written.end, written.record.term), (7, 7))
        self.assertEqual(scene.state.lease.fence(scene.now), NO_TERM)
        scene.post(ev.LeaseWritten(written.record, AppendResult.DONE))
        self.assertEqual(scene.state.lease.fence(scene.now), 7)

    def test_lease_of_another_vm_is_claimed_only_after_it_expired(self) -> None:
        scene = self._lagging()
        bounds = scene.state.settings.bounds
        waited = 0.0
        while not scene.all(fx.WriteLease):
            scene.post(ev.LeaseRead(OTHER, 5))
            scene.advance(0.5)
            waited += 0.5
            self.assertLess(waited, 10.0)
        # The other VM's term, plus the shortest time between orders of two VMs.
        self.assertGreater(waited, TERM_S + bounds.lease_s)

    def test_renewed_lease_of_another_vm_is_never_claimed(self) -> None:
        scene = self._lagging()
        for end in range(5, 40):
            scene.post(ev.LeaseRead(OTHER, end))
            scene.advance(0.5)
        self.assertEqual(scene.all(fx.WriteLease), [])

    def test_paused_holder_gives_no_orders_after_its_term(self) -> None:
        scene = self._lagging()
        scene.post(ev.LeaseRead(None, 7))
        scene.post(
            ev.LeaseWritten(
                scene.last(fx.WriteLease).record, AppendResult.DONE))
        scene.tick()
        self.assertTrue(scene.all(fx.RequestReport))
        scene.now += 4.0
        scene.post(ev.EndpointReported(A.id, {MODEL: 1}, 0, False))
        self.assertEqual(scene.all(fx.OrderVersion), [])

    def test_conflicting_or_unanswered_write_acquires_no_lease(self) -> None:
        for result in (AppendResult.CONFLICT, AppendResult.UNKNOWN):
            with self.subTest(result):
                scene = self._lagging()
                scene.post(ev.LeaseRead(None, 7))
                scene.post(
                    ev.LeaseWritten(scene.last(fx.WriteLease).record, result))
                self.assertEqual(scene.state.lease.fence(scene.now), NO_TERM)


class RolloutTest(unittest.TestCase):
    """Engines load new weights, a share of them at a time."""

    def _holder(self, *names: str, vm: str = 'vm1') -> GatewayScene:
        scene = GatewayScene(*(endpoint(name) for name in names), vm=vm)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        scene.advance(0.1)
        scene.post(ev.LeaseRead(None, 7))
        record = scene.last(fx.WriteLease).record
        scene.post(ev.LeaseWritten(record, AppendResult.DONE))
        scene.tick()
        return scene

    def test_most_engines_keep_serving(self) -> None:
        for engines in (1, 2, 5, 30, 56):
            scene = self._holder(*(f'e{at}' for at in range(engines)))
            requested = len(scene.all(fx.RequestReport))
            self.assertLessEqual(requested, max(1, 0.4 * engines))
            # All engines are updated within the bound if each takes 2 s.
            bound = scene.state.settings.bounds.version_s
            self.assertLessEqual(2.0 * engines / requested, bound)

    def test_order_names_the_number_of_accepted_orders(self) -> None:
        scene = self._holder('a')
        scene.post(ev.EndpointReported(A.id, {MODEL: 1}, 3, False))
        order = scene.last(fx.OrderVersion)
        self.assertEqual((order.version, order.orders, order.fence), (2, 3, 7))

    def test_busy_engine_gets_no_second_order(self) -> None:
        scene = self._holder('a')
        scene.post(ev.EndpointReported(A.id, {MODEL: 1}, 0, False))
        scene.post(ev.OrderAnswered(A.id, OrderResult.ACCEPTED))
        scene.post(ev.EndpointReported(A.id, {MODEL: 1}, 1, True))
        self.assertEqual(len(scene.all(fx.OrderVersion)), 1)

    def test_unanswered_order_is_repeated_after_a_report(self) -> None:
        scene = self._holder('a')
        scene.post(ev.EndpointReported(A.id, {MODEL: 1}, 0, False))
        scene.post(ev.OrderAnswered(A.id, OrderResult.UNKNOWN))
        scene.advance(0.3)
        scene.post(ev.EndpointReported(A.id, {MODEL: 1}, 0, False))
        # Both name the same number, so that at most one of them takes effect.
        orders = scene.all(fx.OrderVersion)
        self.assertEqual([each.orders for each in orders], [0, 0])

    def test_unresponsive_engine_delays_no_other(self) -> None:
        scene = self._holder(*'abc')
        for _ in range(3):
            scene.post(
                ev.ReportFailed(
                    scene.last(fx.RequestReport).endpoint, 'silent'))
            scene.tick()
        self.assertEqual(len({x.endpoint for x in scene.all(fx.RequestReport)}),
                         3)

    def test_engine_loading_weights_gets_no_requests(self) -> None:
        scene = self._holder('a', 'b')
        scene.post(ev.EndpointReported(A.id, {MODEL: 1}, 0, False))
        scene.post(ev.OrderAnswered(A.id, OrderResult.ACCEPTED))
        for number in range(5):
            send = scene.post_request('/report/x', f'r{number}')
            self.assertEqual(send.endpoint, 'b')
        scene.post(ev.EndpointReported(A.id, {MODEL: 2}, 1, False))
        self.assertTrue(scene.state.endpoints[A.id].is_available(scene.now))

    def test_holder_keeps_the_lease_for_the_next_version(self) -> None:
        for vm in ('vm1', 'vm2', 'vm3', 'vm4'):
            scene = self._holder('a', vm=vm)
            names = [f'vm{number}' for number in range(1, 61)]
            scene.read(
                View.VMS,
                *(ev.VmEntry(VmId(name), LOCAL_DC, f'{name}:1')
                  for name in names))
            scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 3))
            scene.tick()
            self.assertTrue(scene.state.lease.wanted, vm)

    def test_only_standby_vms_read_the_lease_during_progress(self) -> None:
        requested = 0
        names = [f'vm{number}' for number in range(1, 61)]
        for name in names:
            scene = GatewayScene(A, endpoint('b'), vm=name)
            scene.read(
                View.VMS,
                *(ev.VmEntry(VmId(each), LOCAL_DC, f'{each}:1')
                  for each in names))
            scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
            scene.done.clear()
            for number in range(1, 6):
                scene.advance(1.0)
                scene.post(ev.LeaseRead(OTHER, number))
                reached = WeightsLoaded(EndpointId(f'x{number}'), MODEL, 2)
                scene.post(
                    HintReceived(
                        Hint(VmId('vm99'), Incarnation('life'), number, {}, (),
                             (reached,))))
            requested += bool(scene.all(fx.ReadLease))
        self.assertEqual(requested, STANDBY_VMS)

    def test_any_vm_takes_over_without_progress(self) -> None:
        names = [f'vm{number}' for number in range(1, 61)]
        for name in names:
            scene = GatewayScene(A, vm=name)
            scene.read(
                View.VMS,
                *(ev.VmEntry(VmId(each), LOCAL_DC, f'{each}:1')
                  for each in names))
            scene.done.clear()
            scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
            scene.advance(6.0)
            self.assertTrue(scene.all(fx.ReadLease), name)


class VmEntryTest(unittest.TestCase):
    """A VM writes its entry even if the store is down at its start."""

    def test_failed_write_is_repeated_until_it_succeeds(self) -> None:
        scene = GatewayScene(A)
        for _ in range(3):
            scene.done.clear()
            scene.post(ev.VmEntryWritten('status 503'))
            self.assertEqual(scene.lines[-1].event, 'announce_failed')
            scene.advance(1.05)
            self.assertEqual(len(scene.all(fx.WriteVmEntry)), 1)
        scene.post(ev.VmEntryWritten(None))
        scene.done.clear()
        scene.advance(5.0)
        self.assertEqual(scene.all(fx.WriteVmEntry), [])


class RelayTest(unittest.TestCase):
    """One VM of a data centre reads the views for all of them."""

    def _scene_with_peer(self, vm: str) -> GatewayScene:
        scene = GatewayScene(A, vm=vm)
        for name in ('vm1', 'vm2'):
            scene.read(View.VMS, ev.VmEntry(VmId(name), LOCAL_DC, f'{name}:1'))
        other = 'vm2' if vm == 'vm1' else 'vm1'
        scene.post(HintReceived(Hint(VmId(other), Incarnation('life'), 1, {})))
        return scene

    def test_exactly_one_of_two_reads(self) -> None:
        readers = []
        for vm in ('vm1', 'vm2'):
            scene = self._scene_with_peer(vm)
            scene.read(View.REGISTRY)
            scene.done.clear()
            scene.advance(0.85)
            readers.append(
                any(each.view is View.REGISTRY
                    for each in scene.all(fx.ReadView)))
        self.assertEqual(sorted(readers), [False, True])

    def test_silent_reader_is_replaced_in_time(self) -> None:
        for vm in ('vm1', 'vm2'):
            scene = self._scene_with_peer(vm)
            scene.read(View.REGISTRY)
            scene.done.clear()
            scene.advance(1.2)
            self.assertTrue(
                any(each.view is View.REGISTRY
                    for each in scene.all(fx.ReadView)), vm)

    def test_relayed_updates_apply_only_without_a_gap(self) -> None:
        scene = GatewayScene(A)
        leaving = endpoint('a', draining=True)
        gap = ev.ViewRelayed(View.REGISTRY, 5, 6, (leaving,))
        scene.post(gap)
        self.assertFalse(scene.state.endpoints[A.id].entry.draining)
        covering = ev.ViewRelayed(View.REGISTRY, 1, 6, (leaving,))
        scene.post(covering)
        self.assertTrue(scene.state.endpoints[A.id].entry.draining)
        # An update that was relayed before has no effect.
        scene.post(ev.ViewRelayed(View.REGISTRY, 1, 2, (A,)))
        self.assertTrue(scene.state.endpoints[A.id].entry.draining)

    def test_gap_is_read_at_once_and_does_not_count_as_an_outage(self) -> None:
        for vm in ('vm1', 'vm2'):
            scene = self._scene_with_peer(vm)
            for _ in range(4):
                scene.advance(0.8)
                scene.read(View.REGISTRY)
            scene.done.clear()
            scene.post(ev.ViewRelayed(View.REGISTRY, 5, 6, ()))
            scene.advance(0.01)
            self.assertEqual(scene.last(fx.ReadView).view, View.REGISTRY)
            scene.read(View.REGISTRY, ev.EndpointRemoved(A.id))
            self.assertNotIn(A.id, scene.state.endpoints)

    def test_heartbeats_are_not_relayed(self) -> None:
        for vm in ('vm1', 'vm2'):
            scene = self._scene_with_peer(vm)
            scene.done.clear()
            raw = ev.RawRecord('a', b'{}')
            scene.post(ev.ViewRead(View.REGISTRY, False, (A,), 2, (raw,)))
            for sent in scene.all(base.SendPeer):
                message = decode(sent.payload)
                if isinstance(message, RelayedView):
                    self.assertEqual(message.records, ())

    def test_reader_that_cannot_reach_the_store_is_replaced(self) -> None:
        scene = self._scene_with_peer('vm1')
        hint = Hint(VmId('vm2'), Incarnation('life'), 2, {}, cannot_read=True)
        scene.post(HintReceived(hint))
        scene.read(View.REGISTRY)
        scene.done.clear()
        scene.advance(0.85)
        self.assertTrue(
            any(each.view is View.REGISTRY for each in scene.all(fx.ReadView)))


class StopTest(unittest.TestCase):
    """A planned stop aborts no request."""

    def test_unready_at_once_and_exits_after_the_last_answer(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER))
        self.assertTrue(scene.state.ready)
        send = scene.post_request('/submit/x')
        scene.post(ev.StopRequested())
        self.assertFalse(scene.state.ready)
        self.assertEqual(len(scene.all(fx.CloseAfterAnswers)), 1)
        # Requests that arrive before the load balancer notices are served.
        late = scene.post_request('/view/x', 'late')
        self.assertIsInstance(late, fx.Send)
        scene.advance(4.0)
        self.assertEqual(len(scene.all(fx.StopListening)), 1)
        self.assertEqual(scene.all(base.Exit), [])
        for each in (send, late):
            scene.post(ev.AnswerArrived(each.attempt, head(), b''))
        scene.advance(0.5)
        self.assertEqual(len(scene.all(base.Exit)), 1)

    def test_request_too_late_to_finish_is_refused(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER))
        scene.post(ev.StopRequested())
        scene.now += 6.0
        refused = scene.post_request('/submit/x')
        self.assertEqual(refused.status, 503)
        self.assertIsNotNone(refused.retry_after_s)
        self.assertEqual(scene.all(fx.Send), [])

    def test_request_that_may_outlast_the_exit_is_refused(self) -> None:
        # A stream taken 3.042 s after a stop request was cut by the exit.
        cases = {
            'may outlast the exit': (3.042, 12.0, fx.Refuse),
            'ends before the exit': (3.042, 0.8, fx.Send),
            'arrives while callers may not know yet': (2.5, 12.0, fx.Send),
        }
        for name, (after_s, timeout_s, expected) in cases.items():
            with self.subTest(name):
                scene = GatewayScene(endpoint('a'))
                scene.post(ev.StopRequested())
                scene.now += after_s
                effect = scene.post_request('/tag/x',
                                            caller_timeout_s=timeout_s)
                self.assertIsInstance(effect, expected)

    def test_exit_ends_every_open_request(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER), endpoint('b'))
        scene.state.settings = attrs.evolve(scene.state.settings,
                                            bounds=Bounds(grace_s=4.0))
        scene.post_request('/submit/x', 'sent')
        scene.post_request('/tag/x', 'silent')
        stream = scene.post_request('/tag/y', 'stream')
        scene.post(ev.StreamStarted(stream.attempt, head()))
        scene.state.endpoints[EndpointId('a')].cooldown_until = scene.now + 3.9
        scene.post_request('/view/x', 'waiting')
        scene.post(ev.StopRequested())
        scene.advance(4.0)
        refused = {each.request: each for each in scene.all(fx.Refuse)}
        self.assertEqual({
            name: each.status for name, each in refused.items()
        }, {
            'sent': 502,
            'silent': 502,
            'waiting': 503
        })
        self.assertIsNotNone(refused[RequestId('waiting')].retry_after_s)
        self.assertEqual([each.request for each in scene.all(fx.AbortReply)],
                         ['stream'])
        self.assertIsInstance(scene.done[-1], base.Exit)

    def test_exits_before_it_is_killed(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER))
        scene.post_request('/submit/x', caller_timeout_s=60.0)
        scene.post(ev.StopRequested())
        scene.advance(scene.state.settings.bounds.grace_s)
        self.assertEqual(len(scene.all(base.Exit)), 1)

    def test_not_ready_before_the_registry_is_loaded(self) -> None:
        scene = GatewayScene()
        self.assertTrue(scene.state.ready)
        scene.state.views.cursors[View.REGISTRY].loaded = False
        self.assertFalse(scene.state.ready)
        self.assertNotIn(EndpointId('a'), scene.state.endpoints)


class ReloadTest(unittest.TestCase):
    """Settings that change while the process runs."""

    def test_new_bounds_apply_at_once(self) -> None:
        scene = GatewayScene(A)
        bounds = Bounds(drain_s=9.0)
        wanted = attrs.evolve(settings(), bounds=bounds, host='10.9.9.9')
        scene.post(ev.SettingsRead(wanted))
        self.assertEqual(scene.state.settings.bounds, bounds)
        self.assertEqual(scene.state.settings.host, settings().host)
        self.assertEqual(dict(scene.lines[-1].fields)['needs_restart'], 'host')

    def test_invalid_settings_change_nothing(self) -> None:
        scene = GatewayScene(A)
        before = scene.state.settings
        scene.post(ev.SettingsRead(InvalidSetting('zone', '7', 'text')))
        self.assertEqual(scene.state.settings, before)
        self.assertEqual(scene.lines[-1].event, 'settings_refused')
