"""Tests of the reports that VMs gossip on suspects."""

import unittest

from plantainridge import suspect_report
from plantainridge.gossip import MAX_VALUE_BYTES
from plantainridge.ids import EndpointId, VmId
from plantainridge.suspect_report import (CrashCount, InvalidReport,
                                          SuspectReport)


def report_of(rows: int, name_chars: int) -> SuspectReport:
    """Return a report with numbered counts and names of a given length."""
    return SuspectReport(
        tuple(
            CrashCount(f'{number:016x}', VmId('v' * name_chars),
                       EndpointId('e' * name_chars), 1, True)
            for number in range(rows)), (EndpointId('e'),))


class CodecTest(unittest.TestCase):
    """A report is decoded as it was encoded, as far as its size allows."""

    def test_a_report_round_trips(self) -> None:
        report = report_of(8, 10)
        self.assertEqual(suspect_report.decode(suspect_report.encode(report)),
                         report)

    def test_a_long_report_loses_its_oldest_counts(self) -> None:
        # A value above `MAX_VALUE_BYTES` would not be published at all.
        report = report_of(16, 60)
        payload = suspect_report.encode(report)
        self.assertLessEqual(len(payload), MAX_VALUE_BYTES)
        decoded = suspect_report.decode(payload)
        assert isinstance(decoded, SuspectReport)
        self.assertGreater(len(decoded.counts), 0)
        self.assertEqual(decoded.counts, report.counts[-len(decoded.counts):])

    def test_malformed_values_decode_as_invalid(self) -> None:
        for payload in (b'', b'{}', b'[1,2]', b'[[["a"]],[]]', b'\xff'):
            with self.subTest(payload=payload):
                self.assertEqual(suspect_report.decode(payload),
                                 InvalidReport())
