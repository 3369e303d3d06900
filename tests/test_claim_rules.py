"""Tests of the claim table, the claim records and the read-back of claims."""

import random
import unittest

import attrs

from plantainridge import claim_records, reducer
from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.claim_records import (Claim, ClaimId, ClaimRecord, Ending,
                                         KeepAlive, Outcome, Release)
from plantainridge.claim_table import ClaimTable
from plantainridge.ids import Incarnation, RequestId, VmId
from plantainridge.refusals import RanState, Reason
from plantainridge.standins.world import DC, LEDGER, TEAM, sample_config
from plantainridge.state import VmState

DIGEST = b'd' * 16
BODY = b'b' * 8
OWN_CLAIM = ClaimId(b'm' * 8, 1)
OTHER_CLAIM = ClaimId(b't' * 8, 1)


class ClaimTableTest(unittest.TestCase):
    """Entries are derived from the records in log order."""

    def test_entry_after_records(self) -> None:
        own_claim = Claim(DIGEST, OWN_CLAIM, BODY)
        other_claim = Claim(DIGEST, OTHER_CLAIM, BODY)
        cases: tuple[tuple[tuple[ClaimRecord, ...], ClaimId | None], ...] = (
            ((own_claim, other_claim), OWN_CLAIM),
            ((own_claim, Release(DIGEST, OWN_CLAIM)), None),
            ((own_claim, Release(DIGEST, OTHER_CLAIM)), OWN_CLAIM),
            ((own_claim, other_claim, Release(DIGEST, OWN_CLAIM)), None),
            ((own_claim, Release(DIGEST, OWN_CLAIM), other_claim), OTHER_CLAIM),
            ((own_claim, Outcome(DIGEST, OWN_CLAIM, Ending.UNKNOWN),
              Release(DIGEST, OWN_CLAIM)), OWN_CLAIM),
        )
        for records, holder in cases:
            with self.subTest(records=records):
                table = ClaimTable(max_entries=10)
                for at, record in enumerate(records):
                    table.apply(record, float(at))
                entry = table.entries.get(DIGEST)
                self.assertEqual(entry.claim if entry else None, holder)

    def test_outcome_of_a_lost_claim_is_ignored(self) -> None:
        table = ClaimTable(max_entries=10)
        table.apply(Claim(DIGEST, OWN_CLAIM, BODY), 1.0)
        table.apply(Outcome(DIGEST, OTHER_CLAIM, Ending.UNKNOWN), 2.0)
        self.assertIsNone(table.entries[DIGEST].outcome)

    def test_eviction_makes_older_keys_unknown(self) -> None:
        table = ClaimTable(max_entries=2)
        for at in range(4):
            table.apply(Claim(bytes([at]) * 16, OWN_CLAIM, BODY), float(at))
        self.assertEqual(len(table.entries), 2)
        self.assertFalse(table.is_complete_since(1.0))
        self.assertTrue(table.is_complete_since(1.5))
        table.expire(3.0)
        self.assertFalse(table.is_complete_since(2.0))


class CodecTest(unittest.TestCase):
    """Encoding and decoding of records."""

    def test_round_trip(self) -> None:
        records = (Claim(DIGEST, OWN_CLAIM,
                         BODY), Release(DIGEST, OTHER_CLAIM), KeepAlive(),
                   Outcome(DIGEST, OWN_CLAIM, Ending.ANSWERED, 201,
                           b'booked'), Outcome(DIGEST, OWN_CLAIM,
                                               Ending.UNKNOWN))
        for record in records:
            payload = claim_records.encode(record)
            self.assertEqual(claim_records.decode(payload), record)
        claim = claim_records.encode(records[0])
        for damaged in (b'', b'?', claim[:-1], claim + b'?', claim[:9]):
            self.assertIsInstance(claim_records.decode(damaged),
                                  claim_records.InvalidClaimRecord)

    def test_long_answers_are_not_stored(self) -> None:
        body = b'x' * (claim_records.MAX_STORED_BODY_BYTES + 1)
        self.assertEqual(
            claim_records.answered_outcome(DIGEST, OWN_CLAIM, 200, body).ending,
            Ending.ANSWER_NOT_KEPT)


class ReadBackTest(unittest.TestCase):
    """An own claim counts only if all earlier records were read."""

    def test_claim_behind_a_gap_is_not_dispatched(self) -> None:
        state = VmState(VmId('vm'), DC, Incarnation('life'), random.Random(1))
        reducer.start(state, 0.0)
        state.config = attrs.evolve(sample_config(), revision=0)
        shard = ev.Stream.CLAIMS, 0
        reducer.reduce(state, ev.LogRead(*shard, (), 0, 0, at=100.0), 0.0)
        effects_of_call = reducer.reduce(
            state,
            ev.ServiceCalled(RequestId('r1'), TEAM, LEDGER, 'POST', '/', b'',
                             '100-a'), 1.0)
        payloads = [
            payload for effect in effects_of_call
            if isinstance(effect, fx.AppendLog) for payload in effect.payloads
        ]
        claim = ev.Record(7, 101.0, payloads[-1])
        effects_of_read = reducer.reduce(
            state, ev.LogRead(*shard, (claim,), 7, 8, at=101.0), 1.1)
        self.assertFalse(
            [e for e in effects_of_read if isinstance(e, fx.CallService)])
        refused = [
            e.refusal for e in effects_of_read if isinstance(e, fx.Refuse)
        ]
        self.assertEqual([(r.reason, r.ran) for r in refused],
                         [(Reason.KEY_EXPIRED, RanState.UNKNOWN)])
