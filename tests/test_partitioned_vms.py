"""VMs that are cut off from endpoints while callers and peers reach them."""

import unittest
from collections.abc import Callable
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import (lease, load_reports, paths, peer_messages,
                                   tunnel_admission, tunnel_peers)
from plantainridge.gateway.events import View
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.peer_messages import Hint, OwnLoad
from plantainridge.ids import EndpointId, Incarnation, TunnelId, VmId
from plantainridge.loop import effects as base
from tests.gateway_scene import (LEDGER, LOCAL_DC, MODEL, REMOTE_DC,
                                 GatewayScene, endpoint, head)
from tests.partition_fleet import Cut, PartitionFleet

THREE: Final = frozenset({VmId('near-0'), VmId('near-1'), VmId('far-3')})
# Time from the cut within which requests go through peers, in s.
SETTLE_S: Final = 3.0
# Least share of the others' that VMs that are cut off have to serve.
MIN_RATIO: Final = 2 / 3
A: Final = endpoint('a')
B: Final = endpoint('b')
# The second one is local, but sends no hints.
PEERS: Final = (ev.VmEntry(VmId('vm1'), LOCAL_DC,
                           'vm1:3'), ev.VmEntry(VmId('vm4'), LOCAL_DC, 'vm4:3'),
                ev.VmEntry(VmId('vm2'), REMOTE_DC,
                           'vm2:3'), ev.VmEntry(VmId('vm3'), REMOTE_DC,
                                                'vm3:3'))
# Tunnel ports of those peers, in the order in which this VM prefers them.
FIRST: Final = 'vm2:5'
SECOND: Final = 'vm3:5'
UNREACHED: Final = OwnLoad(0, 0, 0, 1.0, is_unreached=True)
LOADS_WEIGHTS: Final = OwnLoad(0, 0, 0, 0.6)


class PartitionedVmsTest(unittest.TestCase):
    """Three VMs of seven lose their paths to all endpoints."""

    def _cut(self, how: Cut) -> tuple[PartitionFleet, float, float]:
        """Return the fleet, and the served shares of those cut and others."""
        fleet = PartitionFleet(how)
        fleet.run(3.0)
        fleet.cut_off(*THREE)
        since = fleet.now + SETTLE_S
        fleet.run(12.0)
        return (fleet, fleet.served_ratio(set(THREE), since),
                fleet.served_ratio(set(fleet.vms) - THREE, since))

    def test_vms_cut_off_from_all_endpoints_serve_through_peers(self) -> None:
        for how in Cut:
            _, cut_off, others = self._cut(how)
            self.assertGreaterEqual(cut_off, MIN_RATIO * others, how)

    def test_other_vms_serve_as_without_the_cut(self) -> None:
        uncut = PartitionFleet()
        uncut.run(15.0)
        expected = uncut.served_ratio(set(uncut.vms) - THREE, 103.0)
        for how in Cut:
            fleet, _, _ = self._cut(how)
            others = set(fleet.vms) - THREE
            self.assertGreaterEqual(fleet.served_ratio(others, 103.0), expected,
                                    how)

    def test_path_is_suspected_within_a_second(self) -> None:
        for how in Cut:
            fleet = PartitionFleet(how)
            fleet.run(3.0)
            fleet.cut_off(*THREE)
            cut_at = fleet.now
            fleet.run(5.0)
            for vm in THREE:
                first_at = min(at for at, name, _ in fleet.sends
                               if name == vm and at > cut_at)
                lost = fleet.vms[vm].state.paths.services
                self.assertEqual(len(lost), 2)
                with self.subTest(f'{how} {vm}'):
                    self.assertLess(
                        min(each.lost_since or 0.0 for each in lost.values()),
                        first_at + 1.0)

    def test_every_vm_cut_off_refuses_at_once_and_returns_at_once(self) -> None:
        for how in Cut:
            with self.subTest(how):
                fleet = PartitionFleet(how)
                fleet.run(3.0)
                fleet.cut_off(*fleet.vms)
                fleet.run(6.0)
                since = fleet.now
                fleet.run(6.0)
                refused = [
                    each for each in fleet.outcomes.values()
                    if since <= each.at < fleet.now - 1.0
                ]
                for each in refused:
                    assert each.refusal is not None
                    self.assertEqual(each.refusal.status, 503)
                    self.assertIsNotNone(each.refusal.retry_after_s)
                    self.assertLess(each.ended_at - each.at, 0.3)
                fleet.cut.clear()
                fleet.run(1.0)
                since = fleet.now
                fleet.run(6.0)
                self.assertEqual(fleet.served_ratio(set(fleet.vms), since), 1.0)
                self.assertFalse([
                    send for at, _, send in fleet.sends
                    if at > since and send.via
                ])

    def test_short_outage_of_all_endpoints_loses_no_request(self) -> None:
        for how in Cut:
            fleet = PartitionFleet(how)
            fleet.run(3.0)
            since = fleet.now
            fleet.cut_off(*fleet.vms)
            fleet.run(1.9)
            fleet.cut.clear()
            fleet.run(6.0)
            self.assertEqual(fleet.served_ratio(set(fleet.vms), since), 1.0,
                             how)

    def test_peer_that_ends_or_is_cut_off_is_replaced_and_nothing_runs_twice(
            self) -> None:
        for how in Cut:
            for peer_ends in (True, False):
                with self.subTest(f'{how}, peer ends: {peer_ends}'):
                    fleet = PartitionFleet(how)
                    fleet.run(3.0)
                    fleet.cut_off(*THREE)
                    fleet.run(3.0)
                    peers = {VmId('near-2'), VmId('far-4')}
                    if peer_ends:
                        fleet.kill(VmId('near-2'))
                        fleet.kill(VmId('far-4'))
                    else:
                        fleet.cut_off(*peers)
                    since = fleet.now + SETTLE_S
                    fleet.run(9.0)
                    others = set(fleet.vms) - THREE - peers
                    self.assertGreaterEqual(
                        fleet.served_ratio(set(THREE), since),
                        MIN_RATIO * fleet.served_ratio(others, since))
                    for each in fleet.outcomes.values():
                        self.assertLessEqual(
                            each.runs, 1 if each.target == '/submit/x' else 2)

    def test_nothing_cut_needs_no_tunnel_and_no_probe(self) -> None:
        fleet = PartitionFleet()
        fleet.run(10.0)
        self.assertEqual(
            sum(fleet.counts[each.__name__]
                for each in (fx.ProbePath, fx.OpenTunnel, fx.RefuseTunnel)), 0)
        self.assertFalse([send for _, _, send in fleet.sends if send.via])


class PeersReportTest(unittest.TestCase):
    """What a peer's own lost paths mean for other VMs."""

    def _sent_to(self,
                 load: OwnLoad,
                 *names: str,
                 bytes_after: bool = False) -> set[str]:
        """Return the engines that get requests after a peer's report."""
        scene = GatewayScene(A, B)
        send = scene.post_request('/report/x', 'running')
        while send.endpoint != A.id:
            send = scene.post_request('/report/x', f'one-of-{scene.now}')
            scene.now += 0.001
        scene.post(ev.StreamStarted(send.attempt, head()))
        scene.now += 0.1
        scene.post(
            HintReceived(
                Hint(VmId('vm2'), Incarnation('life'), 1,
                     {endpoint(name).id: load for name in names})))
        scene.now += 0.1
        if bytes_after:
            scene.post(ev.StreamEventsReceived(send.attempt, b'.', '1', '1'))
        first = len(scene.all(fx.Send))
        for number in range(20):
            scene.post_request('/report/x', f'r{number}')
        return {str(each.endpoint) for each in scene.all(fx.Send)[first:]}

    def test_unreached_endpoints_are_a_last_resort_without_own_evidence(
            self) -> None:
        cases = {
            'one is left': (UNREACHED, ('a',), False, {'b'}),
            'none is left': (UNREACHED, ('a', 'b'), False, {'a', 'b'}),
            'own evidence': (UNREACHED, ('a',), True, {'a', 'b'}),
            'weights': (LOADS_WEIGHTS, ('a',), True, {'b'}),
            'weights at all': (LOADS_WEIGHTS, ('a', 'b'), True, set()),
        }
        for name, (load, names, bytes_after, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(
                    self._sent_to(load, *names, bytes_after=bytes_after),
                    expected)

    def test_sum_of_reports_keeps_the_kind_of_its_cooldown(self) -> None:
        short = OwnLoad(0, 0, 0, 0.2)
        cases = (((UNREACHED, short), short), ((short, UNREACHED), short),
                 ((UNREACHED, OwnLoad(0, 0, 0, 0.0)), UNREACHED))
        for loads, expected in cases:
            total = load_reports.add_loads({A.id: each} for each in loads)[A.id]
            self.assertEqual(total, expected)

    def test_message_keeps_the_kind_of_a_cooldown(self) -> None:
        sent = Hint(VmId('vm2'), Incarnation('life'), 1, {A.id: UNREACHED})
        self.assertEqual(peer_messages.decode(peer_messages.encode(sent)), sent)


class LostPathTest(unittest.TestCase):
    """Decisions of one VM whose path to a service may be lost."""

    def _scene(self, *names: str) -> GatewayScene:
        scene = GatewayScene(*(endpoint(name, LEDGER) for name in names))
        scene.read(View.VMS, *PEERS)
        return scene

    def _fail(self, scene: GatewayScene, failure: ev.Failure) -> fx.Send:
        scene.post(ev.SendFailed(scene.last(fx.Send).attempt, failure))
        return scene.last(fx.Send)

    def _lose_path(self, scene: GatewayScene, target: str) -> fx.Send:
        """Fail two direct sends; return the one through a peer."""
        scene.post_request(target)
        self._fail(scene, ev.Failure.NOT_CONNECTED)
        return self._fail(scene, ev.Failure.NOT_CONNECTED)

    def test_one_failed_endpoint_of_several_is_no_lost_path(self) -> None:
        scene = self._scene('p', 'q', 'r')
        scene.post_request('/submit/x')
        self.assertEqual(self._fail(scene, ev.Failure.NOT_CONNECTED).via, '')
        scene.advance(paths.FAILURE_WINDOW_S + 0.1)
        send = self._fail(scene, ev.Failure.NOT_CONNECTED)
        self.assertEqual((send.via, scene.all(fx.ProbePath)), ('', []))

    def test_probe_that_connects_ends_a_wrong_suspicion(self) -> None:
        scene = self._scene('p', 'q', 'r')
        first = self._lose_path(scene, '/submit/x')
        self.assertEqual(first.via, FIRST)
        probed = scene.all(fx.ProbePath)[0].endpoint
        failed = {each.endpoint for each in scene.all(fx.Send)[:2]}
        self.assertNotIn(probed, failed)
        scene.post(ev.PathProbed(probed, True))
        send = scene.post_request('/submit/x', 'r2')
        self.assertEqual((send.via, send.endpoint), ('', probed))

    def test_later_probes_come_every_half_second(self) -> None:
        scene = self._scene('p', 'q', 'r')
        self._lose_path(scene, '/submit/x')
        for each in scene.all(fx.ProbePath):
            scene.post(ev.PathProbed(each.endpoint, False))
        first = len(scene.all(fx.ProbePath))
        scene.advance(3.0)
        self.assertIn(len(scene.all(fx.ProbePath)) - first, (5, 6))

    def test_peer_that_opens_no_tunnel_is_replaced_at_no_cost(self) -> None:
        scene = self._scene('p', 'q')
        self._lose_path(scene, '/submit/x')
        send = self._fail(scene, ev.Failure.RELAY_FAILED)
        self.assertEqual(send.via, SECOND)
        call = next(iter(scene.state.calls.calls.values()))
        self.assertEqual((call.executions, call.deliveries), (1, 1))
        self.assertEqual(scene.state.endpoints[send.endpoint].failures, 1)

    def test_broken_tunnel_is_no_crash_of_its_endpoint(self) -> None:
        scene = self._scene('p', 'q')
        send = self._lose_path(scene, '/view/x')
        failures = scene.state.endpoints[send.endpoint].failures
        self.assertEqual(self._fail(scene, ev.Failure.BROKEN).via, SECOND)
        self.assertFalse(scene.state.suspects.crashes)
        self.assertEqual(scene.state.endpoints[send.endpoint].failures,
                         failures)

    def test_broken_tunnel_does_not_repeat_what_may_run_once(self) -> None:
        scene = self._scene('p', 'q')
        self._lose_path(scene, '/submit/x')
        sends = len(scene.all(fx.Send))
        self._fail(scene, ev.Failure.BROKEN)
        self.assertEqual(scene.last(fx.Refuse).status, 502)
        self.assertEqual(len(scene.all(fx.Send)), sends)

    def test_silent_send_moves_through_a_peer_to_its_only_endpoint(
            self) -> None:
        scene = self._scene('p')
        direct = scene.post_request('/view/x')
        scene.advance(1.0)
        send = scene.last(fx.Send)
        self.assertEqual(scene.last(fx.CancelSend).attempt, direct.attempt)
        self.assertEqual((send.endpoint, send.via), ('p', FIRST))

    def test_lost_path_is_not_reported_as_failed_endpoints(self) -> None:
        scene = self._scene('p', 'q')
        self._lose_path(scene, '/submit/x')
        scene.done.clear()
        scene.advance(0.5)
        hint = peer_messages.decode(scene.last(base.SendPeer).payload)
        assert isinstance(hint, Hint)
        self.assertEqual({each.cooldown_s for each in hint.loads.values()},
                         {0.0})

    def test_vms_cut_off_together_prefer_different_peers(self) -> None:
        entries = [
            ev.VmEntry(VmId(f'vm{at}'), 'z', f'vm{at}:1') for at in range(20)
        ]
        preferred = {
            tunnel_peers.rank(own, entries, ())[0].vm for own in entries
        }
        self.assertGreater(len(preferred), 8)

    def test_peers_with_low_bandwidth_are_rarely_preferred(self) -> None:
        # In proportion to the rates, 1 of 21 choices.
        entries = [
            ev.VmEntry(VmId(f'vm{at}'), 'z', f'vm{at}:1',
                       5.0 if at % 2 else 100.0) for at in range(60)
        ]
        preferred = [tunnel_peers.rank(own, entries, ())[0] for own in entries]
        slow = sum(each.link_mbps < 100.0 for each in preferred)
        self.assertLess(slow, len(entries) / 10)


class TunnelAdmissionTest(unittest.TestCase):
    """Tunnels that peers request."""

    def _scene(self) -> GatewayScene:
        scene = GatewayScene(A, endpoint('p', LEDGER), endpoint('q', LEDGER))
        scene.read(View.VMS, *PEERS)
        return scene

    def _request(self,
                 scene: GatewayScene,
                 origin: str = 'vm2',
                 address: str = 'p:1',
                 name: str = 't') -> base.Effect:
        scene.post(ev.TunnelRequested(TunnelId(name), origin, address))
        return scene.done[-1]

    def test_refuses_what_is_not_registered_or_leads_on(self) -> None:
        scene = self._scene()
        for origin, address, status in (('vm9', 'p:1', 403), ('vm2', 'vm3:5',
                                                              403),
                                        ('vm2', '10.9.9.9:1', 403)):
            refusal = self._request(scene, origin, address)
            assert isinstance(refusal, fx.RefuseTunnel)
            self.assertEqual(refusal.status, status)

    def test_refuses_while_it_cannot_or_must_not_send_itself(self) -> None:
        cases: dict[str, Callable[[GatewayScene], object]] = {
            'stops':
                lambda scene: scene.post(ev.StopRequested()),
            'leaves':
                lambda scene: setattr(scene.state.endpoints[EndpointId('p')],
                                      'leaving', True),
            'pauses':
                lambda scene: setattr(scene.state.endpoints[EndpointId('p')],
                                      'paused_until', 1e9),
            'too many':
                lambda scene: scene.state.tunnels.endpoints.update({
                    TunnelId(str(at)): A.id
                    for at in range(tunnel_admission.MAX_TUNNELS)
                }),
        }
        for name, prepare in cases.items():
            with self.subTest(name):
                scene = self._scene()
                self.assertIsInstance(self._request(scene, name='first'),
                                      fx.OpenTunnel)
                prepare(scene)
                refusal = self._request(scene)
                assert isinstance(refusal, fx.RefuseTunnel)
                self.assertEqual(refusal.status, 503)

    def test_tunnels_that_find_no_endpoint_show_the_own_lost_path(self) -> None:
        scene = self._scene()
        for at, address in enumerate(('p:1', 'q:1')):
            self._request(scene, address=address, name=f't{at}')
            scene.post(
                ev.TunnelEnded(TunnelId(f't{at}'), 'timeout', is_reached=False))
        self.assertIsInstance(self._request(scene), fx.RefuseTunnel)
        self.assertIsInstance(self._request(scene, address='a:1', name='u'),
                              fx.OpenTunnel)

    def test_open_tunnel_delays_the_exit_up_to_its_margin(self) -> None:
        scene = self._scene()
        self._request(scene, name='first')
        self._request(scene, name='second')
        scene.post(ev.TunnelEnded(TunnelId('first'), 'closed'))
        scene.post(ev.StopRequested())
        scene.advance(5.0)
        self.assertFalse(scene.state.exiting)
        scene.advance(3.0)
        self.assertTrue(scene.state.exiting)


class LeaseTest(unittest.TestCase):
    """A holder of the lease that is cut off from the engines."""

    def _holder(self) -> GatewayScene:
        scene = GatewayScene(A, B, endpoint('c'))
        scene.read(View.VMS, *PEERS)
        scene.advance(5.0)
        scene.read(View.OPERATOR)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        scene.advance(1.0)
        scene.post(ev.LeaseRead(None, 7))
        self._renew(scene)
        scene.tick()
        return scene

    def _renew(self, scene: GatewayScene) -> None:
        record = scene.last(fx.WriteLease).record
        scene.post(ev.LeaseWritten(record, ev.AppendResult.DONE))

    def test_holder_cut_off_from_the_engines_leaves_the_lease_to_others(
            self) -> None:
        scene = self._holder()
        for each in scene.all(fx.RequestReport):
            scene.post(ev.ReportFailed(each.endpoint, 'timeout'))
        scene.tick()
        scene.post(
            ev.ReportFailed(scene.last(fx.RequestReport).endpoint, 'timeout'))
        scene.done.clear()
        scene.advance(lease.TERM_S + 0.1)
        self.assertEqual(scene.all(fx.WriteLease), [])
        self.assertEqual(scene.state.lease.fence(scene.now), lease.NO_TERM)
        self.assertEqual(scene.state.rollout.weight_updates, {})

    def test_holder_that_reaches_another_engine_renews_the_lease(self) -> None:
        scene = self._holder()
        scene.post(ev.ReportFailed(A.id, 'timeout'))
        scene.post(ev.ReportFailed(B.id, 'timeout'))
        scene.post(ev.PathProbed(endpoint('c').id, True))
        scene.done.clear()
        scene.advance(lease.RENEW_INTERVAL_S + 0.2)
        self._renew(scene)
        self.assertNotEqual(scene.state.lease.fence(scene.now), lease.NO_TERM)
