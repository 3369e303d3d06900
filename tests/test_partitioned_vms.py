"""VMs that are cut off from endpoints while callers and peers reach them."""

import unittest
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import load_reports, peer_messages
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.peer_messages import Hint, OwnLoad
from plantainridge.ids import Incarnation, VmId
from tests.gateway_scene import GatewayScene, endpoint, head
from tests.partition_fleet import Cut, PartitionFleet

THREE: Final = frozenset({VmId('near-0'), VmId('near-1'), VmId('far-3')})
# Time from the cut within which requests go through peers, in s.
SETTLE_S: Final = 3.0
# Least share of the others' that VMs that are cut off have to serve.
MIN_RATIO: Final = 2 / 3
A: Final = endpoint('a')
B: Final = endpoint('b')
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
