"""Tests of what VMs tell one another of suspects."""

import unittest

from plantainridge import suspect_report
from plantainridge.gossip import MAX_VALUE_BYTES
from plantainridge.ids import EndpointId, VmId
from plantainridge.suspect_report import (CrashCount, InvalidReport,
                                          SuspectReport)


def word_of(rows: int, name_chars: int) -> SuspectReport:
    """Returns a word with numbered counts and long names."""
    return SuspectReport(
        tuple(
            CrashCount(f'{number:016x}', VmId('v' * name_chars),
                       EndpointId('e' * name_chars), 1, True)
            for number in range(rows)), (EndpointId('e'),))


class CodecTest(unittest.TestCase):
    """A word survives its way, as far as it fits."""

    def test_a_word_comes_back(self) -> None:
        word = word_of(8, 10)
        self.assertEqual(suspect_report.decode(suspect_report.encode(word)),
                         word)

    def test_a_long_word_loses_its_oldest_counts(self) -> None:
        # A value that is too long would not be sent at all.
        word = word_of(16, 60)
        payload = suspect_report.encode(word)
        self.assertLessEqual(len(payload), MAX_VALUE_BYTES)
        read = suspect_report.decode(payload)
        assert isinstance(read, SuspectReport)
        self.assertGreater(len(read.counts), 0)
        self.assertEqual(read.counts, word.counts[-len(read.counts):])

    def test_damaged_values_are_named(self) -> None:
        for payload in (b'', b'{}', b'[1,2]', b'[[["a"]],[]]', b'\xff'):
            with self.subTest(payload=payload):
                self.assertEqual(suspect_report.decode(payload),
                                 InvalidReport())
