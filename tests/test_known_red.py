"""Tests of the plugin that passes over known failures."""

import unittest

from nose2 import result

from tests import known_red

TEXT = """# Tests that fail.

tests.test_a.ATest.test_fails
  command: make test
  seen: tests.test_b.BTest.test_is_no_entry fails too

None at present.
"""

LISTED = known_red.listed_tests(TEXT)
LISTED_ID = 'tests.test_a.ATest.test_fails'
OTHER_ID = 'tests.test_a.ATest.test_other'


class KnownRedTest(unittest.TestCase):
    """Outcomes of listed and other tests."""

    def test_only_heads_of_entries_are_listed(self) -> None:
        self.assertEqual(LISTED, {LISTED_ID})

    def test_failure_is_expected_only_if_listed(self) -> None:
        for outcome in (result.FAIL, result.ERROR):
            self.assertEqual(known_red.judge(LISTED, LISTED_ID, outcome, False),
                             (result.FAIL, True))
            self.assertEqual(known_red.judge(LISTED, OTHER_ID, outcome, False),
                             (outcome, False))

    def test_success_of_a_listed_test_is_unexpected(self) -> None:
        self.assertEqual(known_red.judge(LISTED, LISTED_ID, result.PASS, True),
                         (result.PASS, False))
