"""Tests of the decision to what crashes are attributed."""

import unittest

from plantainridge.gateway import crash_attribution
from plantainridge.gateway.crash_attribution import (Crash, part_suspect,
                                                     request_suspect)
from plantainridge.ids import EndpointId


def crashes_of(*prompts_of_each: tuple[str, ...],
               interval_s: float = 1.0) -> list[Crash]:
    """Return crashes, each of some requests with their parts.

    Args:
        *prompts_of_each: For each crash its requests as `name:part,part`.
        interval_s: Time between two crashes, in s.
    """
    crashes = []
    for number, prompts in enumerate(prompts_of_each):
        at = 100.0 + interval_s * number
        crash = Crash(EndpointId(f'e{number}'), at, 10 * number)
        for prompt in prompts:
            name, _, parts = prompt.partition(':')
            request = request_suspect(name)
            crash.parts_of[request] = tuple(
                part_suspect(part) for part in parts.split(','))
            for suspect in (request, *crash.parts_of[request]):
                crash.sent_at[suspect] = at - 0.5 * interval_s
        crashes.append(crash)
    return crashes


def find(crashes: list[Crash],
         known: tuple[str, ...] = (),
         answers: int = 1_000,
         now: float = 200.0) -> list[str]:
    """Return the names of the culprits."""
    found = crash_attribution.find_culprits(crashes,
                                            frozenset(map(part_suspect, known)),
                                            answers, now)
    return [each.suspect for each in found]


class AttributionTest(unittest.TestCase):
    """Tests of `find_culprits`."""

    def test_part_in_three_crashes_is_a_culprit(self) -> None:
        crashes = crashes_of(('r:o,x', 's:o,c'), ('t:o,x',), ('u:p,x', 'v:q,c'))
        self.assertEqual(find(crashes), ['part/x'])

    def test_more_specific_part_is_the_culprit(self) -> None:
        crashes = crashes_of(('r:o,x',), ('t:o,x',), ('u:o,x',))
        self.assertEqual(find(crashes), ['part/x'])

    def test_parts_of_different_prompts_are_told_apart_later(self) -> None:
        both = [(f'r{at}:o,x', f's{at}:p,c') for at in range(4)]
        self.assertEqual(find(crashes_of(*both)), [])
        self.assertEqual(find(crashes_of(*both, ('t:o,x',))), ['part/x'])

    def test_part_is_no_culprit_while_a_crash_is_reported_in_part(self) -> None:
        both = [(f'r{at}:o,x', f's{at}:p,c') for at in range(3)]
        crashes = crashes_of(*both, ('t:p,c',))
        self.assertEqual(find(crashes, now=crashes[-1].at), [])
        self.assertEqual(
            find(crashes,
                 now=crashes[-1].at + crash_attribution.REPORT_DELAY_S),
            ['part/c'])

    def test_crash_with_a_known_culprit_incriminates_nothing_else(self) -> None:
        crashes = crashes_of(('r:o,x', 's:p,c'), ('t:o,x', 'u:p,c'),
                             ('v:o,x', 'w:p,c'), ('y:p,c',))
        self.assertEqual(find(crashes, known=('x',)), [])

    def test_part_is_no_culprit_before_answers_could_clear_it(self) -> None:
        crashes = crashes_of(('r:o,x',), ('t:o,x',), ('u:p,x',))
        last_at = crashes[-1].at
        self.assertEqual(find(crashes, now=last_at + 0.5), [])
        self.assertEqual(find(crashes, answers=crashes[-1].answers), [])

    def test_endpoints_killed_together_count_as_one_crash(self) -> None:
        crashes = crashes_of(*((f'r{at}:o,x',) for at in range(9)),
                             interval_s=0.01)
        self.assertEqual(find(crashes), [])

    def test_part_in_few_of_many_crashes_is_no_culprit(self) -> None:
        prompts = [(f'r{at}:o{at},c{at}',) for at in range(9)]
        for at in (0, 4, 8):
            prompts[at] = (f'r{at}:o{at},x',)
        self.assertEqual(find(crashes_of(*prompts)), [])

    def test_repeated_request_is_the_culprit_and_not_its_parts(self) -> None:
        crashes = crashes_of(('r:o,c', 's:p,d'), ('r:o,c',), ('r:o,c', 't:p,e'))
        self.assertEqual(find(crashes), ['request/r'])
