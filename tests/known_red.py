"""nose2 plugin that passes over the failing tests listed in KNOWN-RED.txt.

An entry starts with the test's id at the beginning of a line; its details are
indented. A listed test still runs: its outcome is printed, a failure counts as
expected, and a success as unexpected.
"""

import pathlib
from collections.abc import Collection
from typing import Any, Final

from nose2 import events, result

KNOWN_RED_FILE: Final = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'


def listed_tests(text: str) -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists.

    Args:
        text: Content of the file.
    """
    heads = (line.split() for line in text.splitlines() if line[:1].isalpha())
    return frozenset(
        words[0] for words in heads if words and words[0].startswith('tests.'))


def judge(listed: Collection[str], test_id: str, outcome: str,
          expected: bool) -> tuple[str, bool]:
    """Return a test's outcome and whether it is expected.

    Args:
        listed: Ids of the tests that are known to fail.
        test_id: Id of the test.
        outcome: Its outcome, one of the constants of `nose2.result`.
        expected: Whether the outcome is expected of a test that is not listed.
    """
    if test_id not in listed:
        return outcome, expected
    if outcome in (result.ERROR, result.FAIL):
        return result.FAIL, True
    return outcome, outcome != result.PASS


class KnownRed(events.Plugin):  # type: ignore[misc]
    """Plugin that turns failures of listed tests into expected ones."""

    alwaysOn = True
    configSection = 'known-red'

    def __init__(self) -> None:
        self.listed = listed_tests(KNOWN_RED_FILE.read_text(encoding='utf-8'))

    def setTestOutcome(  # pylint: disable=invalid-name
            self, event: Any) -> None:
        """Set the outcome of a listed test."""
        test_id = event.test.id()
        if test_id in self.listed:
            print(f'known red: {test_id}: {event.outcome}')
        event.outcome, event.expected = judge(self.listed, test_id,
                                              event.outcome, event.expected)
