"""VMs that are cut off from endpoints while callers and peers reach them."""

import unittest
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.ids import VmId
from tests.partition_fleet import Cut, PartitionFleet

THREE: Final = frozenset({VmId('near-0'), VmId('near-1'), VmId('far-3')})
# Time from the cut within which requests go through peers, in s.
SETTLE_S: Final = 3.0
# Least share of the others' that VMs that are cut off have to serve.
MIN_RATIO: Final = 2 / 3


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
