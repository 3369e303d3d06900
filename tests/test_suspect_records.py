"""Tests of the record of suspects, which outlasts the VMs.

Each guards against requests that crash engines reaching them again after all
VMs were killed, or against sound ones that are refused because of an old
record.
"""

import functools
import unittest
from typing import Any

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import peer_messages, suspect_history, suspects
from plantainridge.gateway.crash_attribution import Crash, Suspect
from plantainridge.gateway.events import (AppendResult, Part, RecordedCrash,
                                          RecordedQuarantine, SuspectRecord,
                                          SuspectsRead, View)
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.peer_messages import Hint
from plantainridge.gateway.suspects import SuspectTable
from plantainridge.ids import DcId, EndpointId, Incarnation, VmId
from plantainridge.loop.effects import SendPeer
from plantainridge.platform import names, records
from tests.crash_fleet import CrashFleet
from tests.gateway_scene import LOCAL_DC, GatewayScene, endpoint, head

BAD = Suspect('part/bad')
PEER = VmId('vm2')
RECORD = SuspectRecord((RecordedCrash(
    EndpointId('a'), 2.0, {Suspect('request/f'):
                               (Suspect('part/o'), BAD)}, {BAD: 0.5}),),
                       {BAD: RecordedQuarantine(3.0, 1)})
# Crashes after which the platform counts further requests with a part, and how
# many it allows from `STABLE_S` later.
COUNTED_CRASHES = 5
STABLE_S = 3.0
MAX_LATE_REQUESTS = 3


def fleet_of(*deadly: str) -> CrashFleet:
    """Return nine engines under load, served by six VMs."""
    dcs = (DcId('one'), DcId('two'), DcId('three'))
    fleet = CrashFleet(dict.fromkeys(dcs, 6.0),
                       vms_per_dc=2,
                       engines_per_dc=3,
                       deadly=deadly)
    fleet.run(2.0)
    return fleet


class AllVmsKilledTest(unittest.TestCase):
    """Requests that crash engines beside kills of all VMs."""

    def _send_until_crash(self, fleet: CrashFleet, most: int = 6) -> None:
        """Send requests with the part until one more crashes an engine."""
        before = len(fleet.crashed_at['bad'])
        for _ in range(most):
            fleet.send_new('bad')
            fleet.run(0.7)
            if len(fleet.crashed_at['bad']) > before:
                return

    def _late_requests(self, fleet: CrashFleet) -> int:
        counted_from = fleet.crashed_at['bad'][COUNTED_CRASHES - 1:][:1]
        return sum(reached > at + STABLE_S
                   for at in counted_from
                   for reached in fleet.reached_at['bad'])

    def test_quarantined_part_stays_so(self) -> None:
        fleet = fleet_of('bad')
        send_bad = functools.partial(fleet.send_new, 'bad')
        fleet.repeat(0.7, 7.0, send_bad)
        crashes = len(fleet.crashed_at['bad'])
        for _ in range(3):
            fleet.restart_all()
            fleet.repeat(0.7, 5.0, send_bad)
        self.assertEqual(len(fleet.crashed_at['bad']), crashes)

    def test_part_is_quarantined_although_vms_are_killed_after_each_crash(
            self) -> None:
        fleet = fleet_of('bad')
        for _ in range(15):
            self._send_until_crash(fleet)
            fleet.restart_all()
            fleet.run(1.0)
        self.assertLessEqual(self._late_requests(fleet), MAX_LATE_REQUESTS)

    def test_sound_requests_are_served_beside_the_record(self) -> None:
        fleet = fleet_of('bad')
        before = fleet.served_ratio(0.0, fleet.now)
        fleet.repeat(0.7, 7.0, functools.partial(fleet.send_new, 'bad'))
        fleet.restart_all()
        started_at = fleet.now
        fleet.repeat(0.7, 5.0, functools.partial(fleet.send_new, 'bad'))
        after = fleet.served_ratio(started_at + 1.0, fleet.now - 1.0)
        self.assertGreaterEqual(after, before / 2)

    def test_part_is_quarantined_while_the_store_is_away_at_times(self) -> None:
        fleet = fleet_of('bad')
        fleet.store_up = False
        fleet.repeat(0.7, 7.0, functools.partial(fleet.send_new, 'bad'))
        crashes = len(fleet.crashed_at['bad'])
        fleet.store_up = True
        # Longer than the delay after the calls that failed.
        fleet.run(20.0)
        fleet.restart_all()
        fleet.repeat(0.7, 5.0, functools.partial(fleet.send_new, 'bad'))
        self.assertEqual(len(fleet.crashed_at['bad']), crashes)


class WriterTest(unittest.TestCase):
    """One VM writes the record, and seldom."""

    def test_calls_do_not_grow_with_crashes_of_the_same_second(self) -> None:
        fleet = fleet_of()
        fleet.record_calls.clear()
        fleet.repeat(0.1, 3.0, fleet.crash_any)
        fleet.run(5.0)
        # Up to one a second, and the reads of two other data centres.
        self.assertLessEqual(fleet.record_calls['write'], 8)
        self.assertLessEqual(fleet.record_calls['read'], 12)
        fleet.record_calls.clear()
        fleet.run(10.0)
        self.assertEqual(sum(fleet.record_calls.values()), 0)

    def test_nothing_is_written_in_calm(self) -> None:
        fleet = fleet_of()
        fleet.record_calls.clear()
        fleet.run(5.0)
        self.assertEqual(sum(fleet.record_calls.values()), 0)


class StartedVmTest(unittest.TestCase):
    """A VM that has just started, and has not read the record."""

    def setUp(self) -> None:
        self.scene = GatewayScene(endpoint('a'))
        self.scene.state.suspects = SuspectTable()
        self.scene.read(View.VMS, ev.VmEntry(PEER, LOCAL_DC, 'vm2:1'))

    def _post_request(self, part: str = 'bad') -> Any:
        return self.scene.post_request('/tag/x',
                                       f'r{part}',
                                       body=part.encode(),
                                       parts=(Part('o', 100), Part(part, 500),
                                              Part('own', 9)))

    def _post_hint(self, **fields: Any) -> None:
        hint = Hint(PEER, Incarnation('l'), round(self.scene.now * 100), {},
                    **fields)
        self.scene.post(HintReceived(hint))

    def test_request_waits_for_the_record_and_is_refused_by_it(self) -> None:
        self._post_request()
        self.scene.advance(0.2)
        self.assertEqual(self.scene.all(fx.Send), [])
        self.scene.post(SuspectsRead(RECORD, 1))
        self.scene.advance(0.1)
        self.assertEqual(self.scene.last(fx.Refuse).status, 503)

    def test_request_is_sent_if_the_record_cannot_be_read(self) -> None:
        self._post_request()
        for _ in range(14):
            self.scene.post(ev.SuspectsFailed('silent'))
            self.scene.advance(0.1)
        self.assertEqual(len(self.scene.all(fx.Send)), 1)

    def test_crashes_before_the_start_count(self) -> None:
        # Both at one endpoint, and both with a request that is sent again.
        crashes = tuple(
            RecordedCrash(
                EndpointId('c'), age_s, {
                    Suspect('request/f'): (Suspect('part/o'),),
                    Suspect(f'request/{age_s}'): (Suspect('part/o'), BAD)
                }, {BAD: 0.1}) for age_s in (8.0, 4.0))
        self.scene.post(SuspectsRead(SuspectRecord(crashes, {}), 1))
        self.scene.advance(0.2)
        send = self._post_request()
        self.scene.post(ev.SendFailed(send.attempt, ev.Failure.BROKEN))
        self.scene.read(View.REGISTRY, endpoint('b'))
        for number in range(3):
            answered = self._post_request(f'sound{number}')
            self.scene.post(ev.AnswerArrived(answered.attempt, head(), b''))
        self.scene.advance(1.5)
        self.assertIn(BAD, self.scene.state.suspects.quarantine)

    def test_crash_that_it_noticed_is_not_counted_again(self) -> None:
        crash = Crash(EndpointId('a'), 99.0, 0, {}, {Suspect('request/f'): ()})
        self.assertEqual(
            list(suspect_history.missed_crashes(RECORD, [crash], 0, 60.0,
                                                100.0)), [])

    def test_recorded_suspect_is_not_spread(self) -> None:
        # Peers would take it for a crash of just now, or for one after an
        # answer that cleared it.
        self.scene.post(SuspectsRead(RECORD, 1))
        self.scene.advance(3.0)
        hint = peer_messages.decode(self.scene.last(SendPeer).payload)
        assert isinstance(hint, Hint)
        self.assertEqual((hint.quarantined, hint.recorded), ({}, (BAD,)))

    def test_peer_knows_the_last_crash_better(self) -> None:
        self.scene.post(SuspectsRead(RECORD, 1))
        self._post_hint(quarantined={BAD: 25.0})
        entry = self.scene.state.suspects.quarantine[BAD]
        self.assertAlmostEqual(self.scene.now - entry.crashed_at, 25.0)

    def test_failed_probes_outlast_the_vms(self) -> None:
        self.scene.post(SuspectsRead(RECORD, 1))
        self.scene.advance(2 * suspects.PROBE_AFTER_S - 4.0)
        self.assertIsInstance(self._post_request(), fx.Refuse)


class ClearedSuspectTest(unittest.TestCase):
    """A suspect that an answer has cleared since the record was written."""

    def setUp(self) -> None:
        self.scene = GatewayScene(endpoint('a'))
        self.scene.read(View.VMS, ev.VmEntry(PEER, LOCAL_DC, 'vm2:1'))
        self.scene.post(SuspectsRead(RECORD, 1))
        self.number = 0

    def _post_hint(self, **fields: Any) -> None:
        self.number += 1
        hint = Hint(PEER, Incarnation('l'), self.number, {}, **fields)
        self.scene.post(HintReceived(hint))

    def test_is_removed_from_the_record(self) -> None:
        self._post_hint(cleared=(BAD,))
        self.scene.advance(0.2)
        written = self.scene.last(fx.WriteSuspects)
        self.assertEqual((written.record.quarantine, written.end), ({}, 1))

    def test_does_not_come_back_by_an_older_record(self) -> None:
        self._post_hint(cleared=(BAD,))
        self.scene.post(SuspectsRead(RECORD, 1))
        self.assertNotIn(BAD, self.scene.state.suspects.quarantine)

    def test_is_cleared_on_a_vm_that_read_an_older_record(self) -> None:
        self._post_hint(cleared=(BAD,))
        self.scene.advance(20.0)
        self._post_hint(recorded=(BAD,))
        self.scene.advance(0.5)
        hints = (peer_messages.decode(each.payload)
                 for each in self.scene.all(SendPeer)[-3:])
        self.assertTrue(
            any(
                isinstance(each, Hint) and each.cleared == (BAD,)
                for each in hints))


class RestoredStoreTest(unittest.TestCase):
    """A metadata store that returned from an older copy."""

    def test_record_is_written_anew_in_the_new_era(self) -> None:
        scene = GatewayScene(endpoint('a'))
        scene.read(View.VMS, ev.VmEntry(PEER, LOCAL_DC, 'vm2:1'))
        scene.post(SuspectsRead(RECORD, 3))
        scene.post(ev.EraSeen(1))
        scene.advance(0.2)
        scene.post(SuspectsRead(None, 0, 1))
        scene.advance(0.2)
        written = scene.last(fx.WriteSuspects)
        self.assertEqual((list(written.record.quarantine), written.record.era,
                          written.end, written.era), ([BAD], 1, 0, 1))

    def test_answer_of_another_era_is_not_used(self) -> None:
        scene = GatewayScene(endpoint('a'))
        scene.post(SuspectsRead(RECORD, 3, 1))
        self.assertEqual(scene.state.suspects.quarantine, {})


class LostWriteTest(unittest.TestCase):
    """A write whose answer is lost, or that another VM overtook."""

    def test_log_is_read_before_the_next_write(self) -> None:
        for result in (AppendResult.UNKNOWN, AppendResult.CONFLICT):
            with self.subTest(result):
                scene = GatewayScene(endpoint('a'))
                scene.read(View.VMS, ev.VmEntry(PEER, LOCAL_DC, 'vm2:1'))
                scene.post(SuspectsRead(RECORD, 1))
                scene.state.suspects.clear(BAD, scene.now)
                scene.advance(0.2)
                record = scene.last(fx.WriteSuspects).record
                scene.post(ev.SuspectsWritten(record, result))
                scene.advance(1.2)
                self.assertEqual(len(scene.all(fx.WriteSuspects)), 1)
                scene.post(SuspectsRead(RECORD, 2))
                scene.advance(0.2)
                self.assertEqual(scene.last(fx.WriteSuspects).end, 2)


class FormatTest(unittest.TestCase):
    """The record's form in the metadata store."""

    def test_record_round_trips(self) -> None:
        raw = ev.RawRecord(names.SUSPECTS_KEY, records.encode_suspects(RECORD))
        self.assertEqual(records.decode_suspects(raw), RECORD)

    def test_unreadable_record_is_empty(self) -> None:
        for value in (b'', b'{', b'[]', b'{"quarantine":{"x":1},"era":0}',
                      b'{"quarantine":{},"crashes":[{}],"era":0}'):
            with self.subTest(value):
                found = records.decode_suspects(
                    ev.RawRecord(names.SUSPECTS_KEY, value))
                self.assertEqual((found.crashes, found.quarantine), ((), {}))

    def test_fields_of_later_releases_are_ignored(self) -> None:
        value = records.encode_suspects(RECORD)
        raw = ev.RawRecord(names.SUSPECTS_KEY, b'{"new":1,' + value[1:])
        self.assertEqual(records.decode_suspects(raw), RECORD)

    def test_size_is_bounded(self) -> None:
        # The metadata store accepts no larger record.
        names_of = 'x' * (suspect_history.MAX_NAME_CHARS - 20)
        crashes = []
        for at in range(64):
            parts_of: dict[Suspect, tuple[Suspect, ...]] = {
                Suspect(f'request/{at}-{number}-{names_of}'): (
                    Suspect(f'part/{at}-{number}-{names_of}'),
                    Suspect('x' * 5_000)) for number in range(64)
            }
            sent_at: dict[Suspect, float] = {
                suspect: 0.0 for request, parts in parts_of.items()
                for suspect in (request, *parts)
            }
            crashes.append(
                Crash(EndpointId(f'e{at}'), float(at), 0, sent_at, parts_of))
        quarantine = {
            Suspect(f'part/{number}-{names_of}'): RecordedQuarantine(1.0)
            for number in range(suspects.MAX_QUARANTINED)
        }
        record = suspect_history.next_record(crashes, quarantine, 0, 100.0)
        self.assertEqual(record.crashes[-1].endpoint, 'e63')
        self.assertLess(len(records.encode_suspects(record)), 262_144)
        history = suspect_history.SuspectHistory(known=True, record=record)
        self.assertFalse(history.differs(crashes, quarantine, 0))
