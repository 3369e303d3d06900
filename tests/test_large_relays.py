"""Tests of relays of large records by VMs with low bandwidth.

They guard against a reader whose link is full for seconds: its peers learn of a
configuration late, and its own callers wait.
"""

import json
import unittest
from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import peer_messages, peer_ranks, relays
from plantainridge.gateway.events import RawRecord, View, VmEntry
from plantainridge.gateway.peer_messages import RelayedView
from plantainridge.gateway.peer_ranks import PeerRanks
from plantainridge.ids import VmId
from plantainridge.loop.effects import SendPeer
from plantainridge.platform import names, records
from tests.gateway_scene import LOCAL_DC, GatewayScene, settings

PEERS: Final = 44
LOW_MBPS: Final = 10.0
HIGH_MBPS: Final = 200.0


def configuration(kilobytes: int) -> RawRecord:
    """Return the record of a configuration of some size."""
    value = {
        'version': 2,
        'routes': [],
        'services': [],
        'padding': 'x' * 1_000 * kilobytes
    }
    return RawRecord(names.CONFIGURATION_KEY, json.dumps(value).encode())


class LowBandwidthReaderTest(unittest.TestCase):
    """A reader of 45 VMs reads a configuration."""

    def _relays(self, link_mbps: float, record: RawRecord) -> list[RelayedView]:
        scene = GatewayScene()
        scene.state.settings = attrs.evolve(scene.state.settings,
                                            link_mbps=link_mbps)
        scene.read(
            View.VMS,
            *(VmEntry(VmId(f'p{at}'), LOCAL_DC, f'p{at}:1', 1.0)
              for at in range(PEERS)))
        scene.state.hints.grace_until = 0.0
        scene.done.clear()
        scene.post(
            ev.ViewRead(View.OPERATOR, False,
                        (records.decode_update(View.OPERATOR, record),), 2,
                        (record,)))
        self.assertEqual(scene.state.config.version, 2)
        sent = [
            peer_messages.decode(each.payload) for each in scene.all(SendPeer)
        ]
        return [each for each in sent if isinstance(each, RelayedView)]

    def test_what_the_link_carries_in_time_is_relayed(self) -> None:
        for link_mbps, kilobytes in ((HIGH_MBPS, 40), (LOW_MBPS, 4)):
            sent = self._relays(link_mbps, configuration(kilobytes))
            self.assertEqual(len(sent), PEERS)
            self.assertTrue(all(each.records for each in sent))

    def test_peers_are_told_to_read_what_it_does_not_carry_in_time(
            self) -> None:
        sent = self._relays(LOW_MBPS, configuration(40))
        self.assertEqual(len(sent), PEERS)
        for each in sent:
            self.assertEqual((each.start, each.end, each.records), (2, 2, ()))

    def test_the_contents_of_a_restored_store_are_relayed_whole(self) -> None:
        record = configuration(40)
        scene = GatewayScene()
        scene.state.settings = attrs.evolve(scene.state.settings,
                                            link_mbps=LOW_MBPS)
        scene.read(
            View.VMS,
            *(VmEntry(VmId(f'p{at}'), LOCAL_DC, f'p{at}:1', 1.0)
              for at in range(PEERS)))
        scene.done.clear()
        message = RelayedView(VmId('vm1'),
                              View.OPERATOR.value,
                              2,
                              2, (record,),
                              is_snapshot=True)
        for effect in relays.broadcast_read(scene.state, message, scene.now):
            assert isinstance(effect, SendPeer)
            sent = peer_messages.decode(effect.payload)
            assert isinstance(sent, RelayedView)
            self.assertEqual(sent.records, (record,))

    def test_a_peer_that_is_told_so_reads_at_once(self) -> None:
        scene = GatewayScene()
        scene.done.clear()
        scene.post(ev.ViewRelayed(View.OPERATOR, 2, 2, ()))
        scene.advance(0.01)
        self.assertTrue(scene.all(fx.ReadView))


class ReaderTest(unittest.TestCase):
    """Two VMs of a data centre have much more bandwidth than the others."""

    def _fast_ratio(self, subject: str) -> float:
        """Return the share of draws in which a fast VM is chosen."""
        fast = 0
        for number in range(100):
            entries = {
                VmId(f'{number}-vm{at}'):
                    VmEntry(VmId(f'{number}-vm{at}'), LOCAL_DC, 'a:1',
                            HIGH_MBPS if at < 2 else LOW_MBPS)
                for at in range(PEERS + 1)
            }
            first = next(vm for vm, entry in entries.items(
            ) if not PeerRanks().ranked_ahead(
                entries, attrs.evolve(settings(vm), link_mbps=entry.link_mbps),
                subject))
            fast += entries[first].link_mbps == HIGH_MBPS
        return fast / 100

    def test_slow_vm_seldom_reads_the_operators_records(self) -> None:
        self.assertGreaterEqual(self._fast_ratio(View.OPERATOR.value), 0.97)

    def test_slow_vm_seldom_reports_the_load(self) -> None:
        self.assertGreaterEqual(self._fast_ratio(peer_ranks.LOAD_SUBJECT), 0.97)

    def test_other_duties_go_by_bandwidth(self) -> None:
        self.assertLess(self._fast_ratio('store'), 0.7)


if __name__ == '__main__':
    unittest.main()
