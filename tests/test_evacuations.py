"""Tests of the evacuation of data centres."""

import unittest

from plantainridge.gateway import evacuations
from plantainridge.gateway import events as ev
from plantainridge.gateway.evacuations import EvacuationTable
from plantainridge.gateway.events import EvacuationChanged, RawRecord, View
from plantainridge.ids import DcId, VmId
from plantainridge.loop import effects as base
from tests.gateway_scene import REMOTE_DC
from tests.registry_fleet import Delivery, RegistryFleet, entry


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
