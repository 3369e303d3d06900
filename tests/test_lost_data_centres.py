"""Tests of streams that go on after a data centre, or most VMs, were lost."""

import math
import random
import unittest
from collections import Counter
from collections.abc import Collection

from plantainridge.gateway import builds, origin_holders
from plantainridge.gateway.events import VmEntry
from plantainridge.ids import DcId, VmId
from tests.build_fleet import BuildFleet
from tests.gateway_scene import LOCAL_DC

DCS = (DcId(LOCAL_DC), DcId('dc1'), DcId('dc2'), DcId('dc3'))
STREAMS = 24
# Streams go on at least half as often as new ones begin, which all do here.
MIN_WENT_ON = STREAMS // 2


class LostHoldersTest(unittest.TestCase):
    """Tests of streams of two builds whose VMs are lost at one moment."""

    def _lose(self,
              fleet: BuildFleet,
              lost: Collection[VmId],
              at: Collection[VmId] = ()) -> int:
        """Return how many streams of lost VMs go on, none at another build.

        Args:
            fleet: The VMs.
            lost: VMs that are killed once their streams have begun.
            at: VMs that get the new tries; by default all that are left.
        """
        owners = sorted(lost)
        begun = {
            f's{each}': fleet.begin(owners[each % len(owners)], f's{each}')
            for each in range(STREAMS)
        }
        self.assertEqual(set(begun.values()), {'v1', 'v2'})
        fleet.run(0.3)
        for vm in lost:
            fleet.kill(vm)
        left = sorted(at) or [vm for vm in fleet.vms if vm not in lost]
        fleet.run(0.5)
        went_on = 0
        for number, (name, build) in enumerate(begun.items()):
            found = fleet.resume(left[number % len(left)], f'{name}-on', name)
            if isinstance(found, str):
                self.assertEqual(found, build, name)
                went_on += 1
        return went_on

    def _fleet(self, size: int, dcs: int) -> BuildFleet:
        fleet = BuildFleet(size, 'v1', 'v2')
        fleet.spread(*DCS[:dcs])
        return fleet

    # Streams of a lost data centre of more than 12 VMs were all refused, since
    # only VMs of that data centre held their records.
    def test_data_centre_is_lost(self) -> None:
        for dcs in (2, 3, 4):
            fleet = self._fleet(16, dcs)
            lost = fleet.vms_of(DCS[0])
            self.assertEqual(self._lose(fleet, lost), STREAMS, dcs)

    def test_data_centre_and_a_vm_of_each_other_are_lost(self) -> None:
        fleet = self._fleet(15, 3)
        lost = [
            *fleet.vms_of(DCS[0]), *(fleet.vms_of(dc)[0] for dc in DCS[1:3])
        ]
        self.assertGreaterEqual(self._lose(fleet, lost), MIN_WENT_ON)

    def test_most_vms_are_lost(self) -> None:
        fleet = self._fleet(15, 3)
        lost = random.Random(3).sample(sorted(fleet.vms), 9)
        self.assertGreaterEqual(self._lose(fleet, lost), MIN_WENT_ON)

    def test_removed_vms_hold_no_records(self) -> None:
        fleet = self._fleet(7, 3)
        fleet.list_removed(DCS[2], 6)
        self.assertEqual(self._lose(fleet, fleet.vms_of(DCS[0])), STREAMS)

    def test_holder_has_restarted(self) -> None:
        fleet = self._fleet(15, 3)
        for vm in [fleet.vms_of(dc)[0] for dc in DCS[1:3]]:
            fleet.kill(vm)
        fleet.run(4.0)
        lost = fleet.vms_of(DCS[0])
        begun = {
            f's{at}': fleet.begin(lost[at % 5], f's{at}') for at in range(8)
        }
        fleet.run(0.3)
        for dc in DCS[1:3]:
            fleet.restart(fleet.vms_of(dc)[0])
        fleet.run(2.0)
        for vm in lost:
            fleet.kill(vm)
        for name, build in begun.items():
            vm = fleet.vms_of(DCS[1])[0]
            self.assertEqual(fleet.resume(vm, f'{name}-on', name), build)

    def test_data_centre_is_partitioned(self) -> None:
        fleet = self._fleet(15, 3)
        local = fleet.vms_of(DCS[0])
        fleet.unreachable.update(vm for vm in fleet.vms if vm not in local)
        fleet.run(3.0)
        self.assertEqual(self._lose(fleet, local[:2], local[2:]), STREAMS)

    def test_vm_that_others_do_not_list_asks(self) -> None:
        fleet = self._fleet(15, 3)
        added = fleet.vms_of(DCS[1])[0]
        for vm, scene in fleet.vms.items():
            if vm != added:
                del scene.state.peers[added]
                scene.state.peer_ranks.clear()
        fleet.run(0.2)
        lost = fleet.vms_of(DCS[0])
        self.assertEqual(self._lose(fleet, lost, [added]), STREAMS)


class NewBuildTest(unittest.TestCase):
    """Tests of streams whose VMs are lost as a further build starts."""

    def _lose(self, size: int, lost: int, started_s: float) -> int:
        """Return how many streams of lost VMs go on at their build.

        Args:
            size: Number of VMs, of three data centres in turn.
            lost: Number of VMs that are lost, data centre by data centre.
            started_s: Time from the loss to the start of the further build's
                engines, in s.
        """
        fleet = BuildFleet(size, 'v1')
        fleet.spread(*DCS[:3])
        for scene in fleet.vms.values():
            scene.state.builds.watched_since = -math.inf
        killed = [vm for dc in DCS[:3] for vm in fleet.vms_of(dc)][:lost]
        for at in range(STREAMS):
            fleet.begin(killed[at % lost], f's{at}')
        fleet.run(0.2)
        if started_s <= 0.0:
            fleet.add_engines('v2')
            fleet.run(-started_s)
        for vm in killed:
            fleet.kill(vm)
        if started_s > 0.0:
            fleet.run(started_s)
            fleet.add_engines('v2')
        fleet.run(1.5)
        left = [vm for vm in fleet.vms if vm not in killed]
        found = [
            fleet.resume(left[at % len(left)], f's{at}-on', f's{at}')
            for at in range(STREAMS)
        ]
        self.assertNotIn('v2', found)
        return found.count('v1')

    # Streams of lost VMs were all refused once a further build was listed: no
    # records were sent while one build served.
    def test_build_starts_around_the_loss(self) -> None:
        for size, lost in ((7, 3), (7, 4), (15, 5)):
            for started_s in (-0.5, 0.0, 1.0):
                with self.subTest(size=size, lost=lost, started_s=started_s):
                    self.assertEqual(self._lose(size, lost, started_s), STREAMS)


class HolderChoiceTest(unittest.TestCase):
    """Tests of the choice of VMs that hold a record."""

    VMS = {
        dc: [VmEntry(VmId(f'{dc}-vm{at}'), dc, 'a:1') for at in range(20)]
        for dc in (DCS[0], DCS[1], DCS[2], DCS[3])
    }

    def _keys(self) -> list[int]:
        return [builds.attempt_key(f'{at}') for at in range(4_000)]

    def test_holders_are_of_several_data_centres(self) -> None:
        for key in self._keys():
            found = origin_holders.choose(key, DCS[0], self.VMS)
            dcs = [each.dc for each in found]
            self.assertEqual(len(set(dcs)), origin_holders.HOLDERS)
            self.assertIn(DCS[0], dcs)

    def test_all_vms_hold_about_as_many(self) -> None:
        held = Counter(each.vm
                       for key in self._keys()
                       for each in origin_holders.choose(key, DCS[0], self.VMS))
        for dc, entries in self.VMS.items():
            counts = [held[each.vm] for each in entries]
            mean = sum(counts) / len(counts)
            self.assertGreater(min(counts), mean / 2, dc)
            self.assertLess(max(counts), mean * 2, dc)

    def test_too_few_data_centres(self) -> None:
        cases = {
            'one': ({
                DCS[0]: self.VMS[DCS[0]]
            }, [DCS[0]] * 3),
            'two': ({
                dc: self.VMS[dc] for dc in DCS[:2]
            }, [DCS[1], DCS[0], DCS[1]]),
            'only others': ({
                DCS[1]: self.VMS[DCS[1]]
            }, [DCS[1]] * 3),
            'one VM': ({
                DCS[1]: self.VMS[DCS[1]][:1]
            }, [DCS[1]]),
            'none': ({}, []),
        }
        for name, (vms, expected) in cases.items():
            found = origin_holders.choose(7, DCS[0], vms)
            self.assertEqual([each.dc for each in found], expected, name)
            self.assertEqual(len(set(found)), len(found), name)

    def test_holders_are_asked_by_any_vm_that_knows_others(self) -> None:
        # The VM that asks does not take the same VMs for live.
        for key in self._keys()[:500]:
            rng = random.Random(key)
            known = {
                dc: [each for each in entries if rng.random() < 0.9]
                for dc, entries in self.VMS.items()
            }
            holders = origin_holders.choose(key, DCS[0], known)
            for own_dc in DCS:
                asked = origin_holders.choose_to_ask(key, own_dc, self.VMS, 6)
                self.assertGreaterEqual(len({*holders} & {*asked}), 2)


if __name__ == '__main__':
    unittest.main()
