"""Tests of the time for which VMs use replaced weights."""

import math
import unittest
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import relays
from plantainridge.gateway.endpoints import EndpointLoad
from plantainridge.gateway.events import View
from plantainridge.gateway.hints import (FREQUENT_ASKS, LATER_ASK_INTERVAL_S,
                                         MAX_ANSWER_DELAY_S)
from plantainridge.gateway.placement import VERSION_MARGIN_S
from plantainridge.gateway.settings import Bounds
from plantainridge.gateway.versions import (VersionAge, VersionEntry,
                                            VersionTable)
from plantainridge.gateway.views import (READ_LATENCY_S, RELAY_TIMEOUT_S,
                                         ViewCursor)
from plantainridge.ids import EndpointId, VmId
from tests.gateway_scene import MODEL, GatewayScene, endpoint, head, request
from tests.registry_fleet import (Delivery, RegistryFleet, entry, named_version)

VM: Final = VmId('vm1')
# Age of a newer version from which replaced weights get no requests.
LIMIT_S: Final = Bounds().version_s - VERSION_MARGIN_S


class ReplacedWeightsTest(unittest.TestCase):
    """VMs that were away or restarted when a version was named."""

    def setUp(self) -> None:
        self.fleet = RegistryFleet(3)
        self.fleet.store.append(entry('i-0'))
        self.fleet.run(2.0)
        self.sent = 0

    def _name(self, version: int) -> None:
        self.fleet.store.append(named_version(version), view=View.OPERATOR)

    def _sends(self, vm: VmId = VM) -> bool:
        """Return whether a VM sends a request to the replaced weights."""
        self.sent += 1
        arrived = ev.RequestArrived(request('/report/x', f'r{self.sent}'))
        effects = self.fleet.vms[vm].post(arrived)
        return any(isinstance(each, fx.Send) for each in effects)

    def test_restart_does_not_extend_the_use_of_replaced_weights(self) -> None:
        self._name(2)
        self.fleet.run(5.0)
        self.fleet.start(VM)
        self.fleet.run(1.0)
        self.assertTrue(self._sends())
        self.fleet.run(LIMIT_S - 6.0 + 0.1)
        for vm in self.fleet.vms:
            self.assertFalse(self._sends(vm), vm)

    def test_age_counts_from_a_version_that_was_replaced_meanwhile(
            self) -> None:
        self._name(2)
        self.fleet.run(6.0)
        self._name(3)
        self.fleet.run(0.5)
        self.fleet.start(VM)
        self.fleet.run(1.0)
        self.assertTrue(self._sends())
        self.fleet.run(LIMIT_S - 7.5 + 0.1)
        self.assertFalse(self._sends())

    def test_late_answers_make_a_version_older_but_not_precise(self) -> None:
        self._name(2)
        self.fleet.run(1.0)
        self.fleet.deliver = lambda: Delivery((0.6,))
        self.fleet.start(VM)
        self.fleet.run(2.0)
        versions = self.fleet.vms[VM].state.versions
        self.assertTrue(versions.is_replaced_at_unknown(MODEL, 1))
        self.fleet.deliver = Delivery
        self.fleet.run(1.5)
        self.assertFalse(versions.is_replaced_at_unknown(MODEL, 1))
        replaced_for_s = self.fleet.now - (versions.replaced_at(MODEL, 1) or 0)
        self.assertLess(replaced_for_s, 4.5 + MAX_ANSWER_DELAY_S)

    def test_questions_are_frequent_again_for_the_next_version(self) -> None:
        hints = self.fleet.vms[VM].state.hints
        hints.asks = FREQUENT_ASKS
        self.fleet.run(LATER_ASK_INTERVAL_S)
        self.fleet.paused.add(VM)
        self.fleet.run(0.3)
        self._name(2)
        self.fleet.run(2.0)
        self.fleet.paused.clear()
        self.fleet.deliver = lambda: Delivery(())
        self.fleet.run(0.9)
        self.assertGreaterEqual(hints.asks, 3)
        self.assertLess(hints.asks, FREQUENT_ASKS)

    def test_version_of_unknown_age_counts_as_long_named(self) -> None:
        self._name(2)
        self.fleet.run(1.0)
        for vm in list(self.fleet.vms):
            self.fleet.start(vm)
        self.fleet.run(1.0)
        for vm in self.fleet.vms:
            self.assertFalse(self._sends(vm), vm)

    def test_suspension_does_not_extend_the_use_of_replaced_weights(
            self) -> None:
        self.fleet.paused.add(VM)
        self.fleet.run(0.3)
        self._name(2)
        self.fleet.run(5.0)
        self.fleet.paused.clear()
        self.fleet.run(1.0)
        self.assertTrue(self._sends())
        self.fleet.run(LIMIT_S - 6.0 + 0.1)
        self.assertFalse(self._sends())

    def test_suspended_vm_without_answers_assumes_the_longest_age(self) -> None:
        self.fleet.paused.add(VM)
        self.fleet.run(0.3)
        self._name(2)
        self.fleet.run(5.0)
        self.fleet.deliver = lambda: Delivery(())
        self.fleet.paused.clear()
        self.fleet.run(LIMIT_S - 5.0 + 0.1)
        self.assertFalse(self._sends())

    def test_outage_of_the_store_does_not_age_a_version(self) -> None:
        self.fleet.store.up = False
        self.fleet.run(6.0)
        self.fleet.store.up = True
        self._name(2)
        self.fleet.run(5.0)
        self.assertTrue(self._sends())
        self.fleet.run(LIMIT_S - 5.0 + 0.1)
        self.assertFalse(self._sends())

    def test_failed_reads_after_a_suspension_make_no_version_younger(
            self) -> None:
        self.fleet.paused |= set(self.fleet.vms)
        self.fleet.run(0.3)
        self._name(2)
        self.fleet.run(5.0)
        self.fleet.paused.clear()
        self.fleet.rejected.add(VM)
        self.fleet.deliver = lambda: Delivery(())
        self.fleet.run(1.2)
        self.fleet.rejected.clear()
        self.fleet.run(1.2)
        self.fleet.deliver = Delivery
        self.fleet.run(LIMIT_S - 7.4 + 0.1)
        for vm in self.fleet.vms:
            self.assertFalse(self._sends(vm), vm)

    def test_vm_that_starts_during_an_outage_assumes_no_age(self) -> None:
        scene = GatewayScene(endpoint('a'))
        scene.state.views.cursors[View.OPERATOR] = ViewCursor()
        scene.post(ev.ViewFailed(View.OPERATOR, False, 'silent'))
        scene.advance(2.0)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2), is_snapshot=True)
        self.assertEqual(scene.state.versions.replaced_at(MODEL, 1), -math.inf)

    def test_age_assumed_after_failed_reads_is_not_stated_to_peers(
            self) -> None:
        self.fleet.store.up = False
        self.fleet.run(6.0)
        self.fleet.store.up = True
        self._name(2)
        self.fleet.run(1.0)
        for vm, scene in self.fleet.vms.items():
            age, = scene.state.versions.ages(self.fleet.now)
            self.assertGreater(age.age_s, 6.0, vm)

    def test_relays_that_a_suspended_vm_receives_late_give_no_age(self) -> None:
        scene = GatewayScene(endpoint('a'))
        suspended_at = scene.now
        scene.now += 5.0
        scene.post(ev.ViewRelayed(View.OPERATOR, 1, 1, ()))
        named = ev.NamedVersion(MODEL, 2)
        scene.post(ev.ViewRelayed(View.OPERATOR, 1, 2, (named,)))
        self.assertEqual(scene.state.versions.replaced_at(MODEL, 1),
                         suspended_at)

    def test_late_relay_gives_no_age_after_the_suspension_either(self) -> None:
        scene = GatewayScene(endpoint('a'))
        suspended_at = scene.now
        scene.now += 12.0
        scene.post(ev.ViewRelayed(View.OPERATOR, 1, 1, ()))
        for _ in range(10):
            scene.now += 0.104
            scene.tick()
        named = ev.NamedVersion(MODEL, 2)
        scene.post(ev.ViewRelayed(View.OPERATOR, 1, 2, (named,)))
        self.assertTrue(scene.state.versions.is_replaced_at_unknown(MODEL, 1))
        self.assertEqual(scene.state.versions.replaced_at(MODEL, 1),
                         suspended_at)

    def test_peers_state_a_version_that_a_restored_store_lacks(self) -> None:
        self._name(2)
        self.fleet.run(4.0)
        self.fleet.store.restore(1)
        self.fleet.run(1.0)
        self.fleet.start(VM)
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.vms[VM].state.versions.newest(MODEL), 2)
        self.fleet.run(LIMIT_S - 6.0 + 0.1)
        self.assertFalse(self._sends())

    def test_version_written_again_after_a_restore_is_not_new(self) -> None:
        self._name(2)
        self.fleet.run(3.0)
        self.fleet.store.restore(1)
        self.fleet.store.append(entry('i-0'))
        self.fleet.run(0.5)
        self.fleet.deliver = lambda: Delivery(())
        self.fleet.start(VM)
        self.fleet.run(0.8)
        self.fleet.deliver = Delivery
        self.fleet.run(2.7)
        self._name(2)
        self.fleet.run(LIMIT_S - 7.0 + 0.1)
        self.assertFalse(self._sends())

    def test_age_is_known_while_the_reader_is_replaced(self) -> None:
        reader = next(
            vm for vm, scene in self.fleet.vms.items()
            if relays.is_reader(scene.state, View.OPERATOR.value, scene.now))
        # No hint is due in the next 0.3 s: peers wait for the timeout in full.
        self.fleet.run(0.3)
        self.fleet.paused.add(reader)
        self._name(2)
        self.fleet.run(RELAY_TIMEOUT_S[View.OPERATOR] + READ_LATENCY_S)
        for vm in set(self.fleet.vms) - {reader}:
            versions = self.fleet.vms[vm].state.versions
            self.assertEqual(versions.newest(MODEL), 2, vm)
            self.assertFalse(versions.is_replaced_at_unknown(MODEL, 1), vm)


class VersionTableTest(unittest.TestCase):
    """Ages of several versions of a model."""

    def setUp(self) -> None:
        self.table = VersionTable()
        for version in (2, 3):
            # Both were read as the store returned from an outage.
            self.table.add(MODEL, VersionEntry(version, 100.0, 80.0, False,
                                               98.8))

    def _state(self, version: int, age_s: float) -> None:
        stated = VersionAge(MODEL, version, age_s, True)
        self.table.add_stated(stated, 100.0, 100.0)

    def test_assumed_age_does_not_override_a_later_versions_known_age(
            self) -> None:
        self._state(3, 10.0)
        for version in (1, 2):
            self.assertEqual(self.table.replaced_at(MODEL, version), 90.0)

    def test_earlier_of_two_precise_times_counts(self) -> None:
        for age_s in (9.0, 10.0, 9.5):
            self._state(2, age_s)
        self.assertEqual(self.table.replaced_at(MODEL, 1), 90.0)


class QueueingTest(unittest.TestCase):
    """Requests wait at an engine with replaced weights."""

    def _sends(self, replaced_for_s: float, waiting: int) -> bool:
        scene = GatewayScene(endpoint('a'))
        scene.read(View.OPERATOR)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        scene.now += replaced_for_s
        view = scene.state.endpoints[EndpointId('a')]
        view.load = EndpointLoad(20, waiting, 64, scene.now)
        scene.post_request('/report/x')
        return bool(scene.all(fx.Send))

    def test_request_that_would_begin_after_the_bound_is_not_sent(self) -> None:
        # 20 runs of 3 s each let a request of the queue begin every 0.15 s.
        for replaced_for_s, waiting, expected in (
            (7.0, 0, True),
            (7.0, 10, True),
            (7.0, 20, False),
            (5.0, 20, True),
            (5.0, 90, True),
        ):
            with self.subTest(replaced_for_s=replaced_for_s, waiting=waiting):
                self.assertEqual(self._sends(replaced_for_s, waiting), expected)

    def _wait_at_busy_engine(self, target: str) -> list[str]:
        """Return the endpoints of a request that shows no event."""
        scene = GatewayScene(endpoint('a'))
        scene.read(View.OPERATOR)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        named_at = scene.now
        while scene.now < named_at + Bounds().version_s:
            if not scene.all(fx.Send) and scene.now > named_at + LIMIT_S - 0.2:
                scene.post_request(target)
            scene.advance(0.1)
            scene.read(View.OPERATOR)
            scene.read(View.REGISTRY, endpoint('a'),
                       endpoint('b', versions={MODEL: 2}))
            if not scene.all(fx.Send):
                scene.state.endpoints[EndpointId('b')].cooldown_until = (
                    named_at + LIMIT_S)
            view = scene.state.endpoints[EndpointId('a')]
            view.last_received_at = scene.now
        return [each.endpoint for each in scene.all(fx.Send)]

    def test_send_that_still_waits_before_the_bound_is_withdrawn(self) -> None:
        self.assertEqual(self._wait_at_busy_engine('/report/x'), ['a', 'b'])

    def test_send_that_may_not_be_repeated_is_not_withdrawn(self) -> None:
        self.assertEqual(self._wait_at_busy_engine('/tag/x'), ['a'])


class UnknownVersionTest(unittest.TestCase):
    """An engine rejects the newest version without stating its own."""

    def setUp(self) -> None:
        self.scene = GatewayScene(endpoint('a', versions={MODEL: 2}))
        self.scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        send = self.scene.post_request('/report/x')
        answer = ev.AnswerArrived(send.attempt, head(421, not_run=True), b'')
        self.scene.post(answer)

    def test_engine_of_unknown_version_gets_no_request_of_the_model(
            self) -> None:
        self.scene.post_request('/report/x', 'r2')
        self.assertEqual(len(self.scene.all(fx.Send)), 1)

    def test_report_of_its_version_brings_it_back(self) -> None:
        for _ in range(2):
            # The first request for a report is not answered.
            self.scene.advance(1.2)
            self.scene.post(ev.ReportFailed(EndpointId('a'), 'silent'))
        self.assertGreater(len(self.scene.all(fx.RequestReport)), 1)
        self.scene.post(
            ev.EndpointReported(EndpointId('a'), {MODEL: 1}, 0, False))
        send = self.scene.post_request('/report/x', 'r3')
        self.assertEqual((send.endpoint, send.version), ('a', 1))


class OlderWeightsTest(unittest.TestCase):
    """An order that is carried out late brings older weights back."""

    def test_engine_with_older_weights_again_is_updated_again(self) -> None:
        scene = GatewayScene(endpoint('a', versions={MODEL: 2}))
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        scene.tick()
        self.assertFalse(scene.state.lease.wanted)
        scene.read(View.REGISTRY, endpoint('a', versions={MODEL: 1}))
        scene.tick()
        self.assertTrue(scene.state.lease.wanted)
        self.assertEqual(scene.post_request('/report/x').version, 1)


if __name__ == '__main__':
    unittest.main()
