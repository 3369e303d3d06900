"""Tests that each check of the soak notices its broken promise."""

import unittest
from typing import Any

import attrs

from tests.soak import checks
from tests.soak.endpoint import expected_body, expected_event
from tests.soak.history import History, Order, Outcome, Run, Span

AT = 1_000.0
TARGET = '/submit/x'


def outcome(**given: Any) -> Outcome:
    """Returns what a caller saw of a request that was served well."""
    terms: dict[str, Any] = {
        'attempt': 'r1',
        'kind': 'once',
        'gateway': 'vm0',
        'key': 'key-a',
        'target': TARGET,
        'sent_at': AT,
        'ended_at': AT + 0.5,
        'status': 200,
        'whole': True,
        'sealed': True,
        'body': expected_body('r1', TARGET)
    }
    return Outcome(**{**terms, **given})


def run(**given: Any) -> Run:
    """Returns a run of that request."""
    terms: dict[str, Any] = {
        'attempt': 'r1',
        'endpoint': 'i-1',
        'at': AT + 0.1,
        'target': TARGET,
        'team': 'team-a',
        'salt': '',
        'version': 1
    }
    return Run(**{**terms, **given})


def history(outcomes: list[Outcome], runs: list[Run], **given: Any) -> History:
    """Returns a history with the usual teams."""
    found = History(runs=runs,
                    outcomes=outcomes,
                    teams={
                        'key-a': 'team-a',
                        'key-c': 'team-c'
                    },
                    isolated={'team-c'},
                    calm_from=AT - 100.0)
    return attrs.evolve(found, **given)


STREAM = b''.join(
    expected_event('/report/x', number + 1) for number in range(checks.EVENTS))

BROKEN = {
    checks.ran_once:
        history([outcome()], [run(), run(endpoint='i-2')]),
    checks.refusals_are_true:
        history([outcome(status=503, sealed=False, body=b'')], [run()]),
    checks.answers_are_whole:
        history([outcome(body=b'of another')], [run()]),
    checks.broken_streams_hold_no_gap:
        history([
            outcome(kind='stream',
                    target='/report/x',
                    whole=False,
                    body=STREAM[90:300])
        ], []),
    checks.teams_stay_apart:
        history([outcome()], [run(team='team-c')]),
    checks.versions_stay_apart:
        history([], [run(salt='s', version=1),
                     run(salt='s', version=2)]),
    checks.orders_are_fenced:
        history([], [], orders=[Order('i-1', 'vm0', 4),
                                Order('i-1', 'vm1', 3)]),
    checks.configuration_is_in_force:
        history([outcome()], [], closed={'/submit/': AT - 5.0}),
    checks.leaving_endpoints_get_no_work:
        history([outcome()], [run()], drained={'i-1': AT - 5.0}),
    checks.planned_stops_cut_nothing:
        history([outcome(status=0, whole=False)], [run()],
                spans=[Span('vm0', 'term', AT - 0.2, AT + 1.0)]),
    checks.service_recovers:
        history([outcome(status=503)] * 9 + [outcome()], []),
}


class SoakCheckTest(unittest.TestCase):
    """Histories with one broken promise each, and one with none."""

    def test_every_check_notices_its_promise(self) -> None:
        self.assertEqual(set(BROKEN), set(checks.CHECKS))
        for check, seen in BROKEN.items():
            with self.subTest(check.__name__):
                self.assertTrue(list(check(seen)))

    def test_good_history_breaks_none(self) -> None:
        stream = outcome(attempt='r2',
                         kind='stream',
                         target='/report/x',
                         body=STREAM)
        good = history([outcome(), stream], [run()])
        self.assertEqual(checks.violations(good), [])

    def test_faults_excuse_what_they_cause(self) -> None:
        cut_off = Span('store-vm0', 'path', AT - 4.0, AT - 1.0)
        late = history([outcome()], [run()],
                       drained={'i-1': AT - 5.0},
                       spans=[cut_off])
        self.assertEqual(checks.violations(late), [])
