"""Tests that each check of the soak reports the violation that it is for."""

import unittest
from typing import Any

import attrs

from tests.soak import checks
from tests.soak.endpoint import expected_body, expected_event
from tests.soak.history import (CallerStream, Evacuation, FaultSpan, History,
                                Order, Outcome, Run, ServingSpan, StatedRate,
                                StreamEvent, StreamTry, Unsent)

AT = 1_000.0
TARGET = '/submit/x'


def outcome(**overrides: Any) -> Outcome:
    """Return the outcome of a request that was served."""
    fields: dict[str, Any] = {
        'attempt': 'r1',
        'kind': 'once',
        'gateway': 'vm0',
        'key': 'key-a',
        'target': TARGET,
        'sent_at': AT,
        'ended_at': AT + 0.5,
        'status': 200,
        'whole': True,
        'signed': True,
        'body': expected_body('r1', TARGET)
    }
    return Outcome(**{**fields, **overrides})


def run(**overrides: Any) -> Run:
    """Return a run of that request."""
    fields: dict[str, Any] = {
        'attempt': 'r1',
        'endpoint': 'i-1',
        'at': AT + 0.1,
        'target': TARGET,
        'team': 'team-a',
        'salt': '',
        'version': 1
    }
    return Run(**{**fields, **overrides})


def history(outcomes: list[Outcome], runs: list[Run],
            **overrides: Any) -> History:
    """Return a history with two teams, one of them isolated."""
    default = History(runs=runs,
                      outcomes=outcomes,
                      team_by_key={
                          'key-a': 'team-a',
                          'key-c': 'team-c'
                      },
                      isolated_teams={'team-c'},
                      faults_ended_at=AT - 100.0)
    return attrs.evolve(default, **overrides)


def stream_try(ids: range, build: str = 'b1', **overrides: Any) -> StreamTry:
    """Return a try that brought events, and ended with the last one."""
    fields: dict[str, Any] = {
        'attempt': f'd{ids.start}',
        'gateway': 'vm0',
        'resumes': 'd1' if ids.start > 1 else '',
        'after': ids.start - 1,
        'sent_at': AT,
        'ended_at': AT + 0.5,
        'status': 200,
        'complete': ids.stop > checks.DRAFT_EVENT_COUNT,
        'events': [StreamEvent(number, build) for number in ids]
    }
    return StreamTry(**{**fields, **overrides})


def resumed_stream(*later: StreamTry) -> CallerStream:
    """Return a stream whose first try brought 10 events."""
    return CallerStream('/draft/x', [stream_try(range(1, 11)), *later])


def lost_stream(*later: StreamTry) -> CallerStream:
    """Return a stream whose first try was cut by the loss of its gateway."""
    lost = stream_try(range(1, 11), gateway='vm1')
    return CallerStream('/draft/x', [lost, *later])


LOSS = FaultSpan('vm1', checks.DC_LOSS, AT + 0.2, AT + 4.0)
EVENT_END = checks.DRAFT_EVENT_COUNT + 1
REFUSED_TRY = stream_try(range(11, 11), status=503, complete=True)
SERVING = [
    ServingSpan('w-1', 'b1', AT - 5.0, float('inf')),
    ServingSpan('w-2', 'b1', AT - 5.0, AT + 9.0)
]

STREAM = b''.join(
    expected_event('/report/x', number + 1)
    for number in range(checks.STREAM_EVENT_COUNT))

VIOLATIONS = {
    checks.ran_once:
        history([outcome()], [run(), run(endpoint='i-2')]),
    checks.refusals_are_true:
        history([outcome(status=503, signed=False, body=b'')], [run()]),
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
        history([outcome()], [], route_removed_at={'/submit/': AT - 5.0}),
    checks.leaving_endpoints_get_no_work:
        history([outcome()], [run()], drained_at={'i-1': AT - 5.0}),
    checks.cold_endpoints_get_few_requests:
        history([], [run(at=AT + 0.1 * at) for at in range(7)],
                cold_at={'i-1': AT}),
    checks.evacuated_dcs_get_no_work:
        history([outcome()], [run()],
                evacuations=[Evacuation('dc-1', AT - 5.0, AT + 5.0)],
                endpoint_dcs={'i-1': 'dc-1'}),
    checks.stated_rates_are_kept:
        history([outcome(sent_at=AT + 10.0)],
                [run(at=AT + 10.0 + 0.1 * at) for at in range(12)],
                stated_rates=[StatedRate('i-1', 1.0, AT, AT + 20.0)]),
    checks.planned_stops_cut_nothing:
        history([outcome(status=0, whole=False)], [run()],
                fault_spans=[FaultSpan('vm0', 'term', AT - 0.2, AT + 1.0)]),
    checks.read_requests_are_answered:
        history([outcome(kind='stream', whole=False, body=STREAM[:300])],
                [run()],
                fault_spans=[
                    FaultSpan('i-2', 'crash', AT, AT + 1.0),
                    FaultSpan('store', 'down', AT, AT + 1.0)
                ]),
    checks.partitioned_gateways_serve:
        history([
            *[outcome(gateway='vm0', status=503)] * 20,
            *[outcome(gateway='vm1')] * 20
        ], [],
                fault_spans=[
                    FaultSpan('endpoints-vm0', 'lost', AT - 3.5, AT + 4.0)
                ]),
    checks.streams_keep_their_build:
        history([], [],
                streams=[
                    resumed_stream(stream_try(range(11, EVENT_END), build='b2'))
                ] * 3),
    checks.streams_follow_on:
        history([], [],
                streams=[resumed_stream(stream_try(range(12, EVENT_END)))]),
    checks.resumed_streams_go_on:
        history([], [],
                streams=[resumed_stream(REFUSED_TRY)] * 12,
                serving_spans=SERVING),
    checks.streams_of_lost_dcs_go_on:
        history([], [],
                streams=[lost_stream(REFUSED_TRY)] * 12,
                serving_spans=SERVING,
                fault_spans=[LOSS]),
    checks.crashing_requests_are_kept_away:
        history([], [], crashing_runs=[AT] * 5 + [AT + 3.5] * 4),
    checks.fetched_parts_are_complete:
        history([], [], partial_fetches=['c0']),
    checks.service_recovers:
        history([outcome(status=503)] * 9 + [outcome()], []),
}


class SoakCheckTest(unittest.TestCase):
    """Histories with one violation each, and histories without."""

    def test_every_check_reports_its_violation(self) -> None:
        self.assertEqual(set(VIOLATIONS), set(checks.CHECKS))
        for check, violating in VIOLATIONS.items():
            with self.subTest(check.__name__):
                self.assertTrue(list(check(violating)))

    def test_correct_history_has_no_violations(self) -> None:
        stream = outcome(attempt='r2',
                         kind='stream',
                         target='/report/x',
                         body=STREAM)
        correct = history([outcome(), stream], [run()])
        self.assertEqual(checks.violations(correct), [])

    def test_violations_caused_by_a_fault_are_excused(self) -> None:
        cut_off = FaultSpan('store-vm0', 'path', AT - 4.0, AT - 1.0)
        late = history([outcome()], [run()],
                       drained_at={'i-1': AT - 5.0},
                       fault_spans=[cut_off])
        self.assertEqual(checks.violations(late), [])

    def test_runs_that_an_evacuation_allows_are_no_violation(self) -> None:
        played = VIOLATIONS[checks.evacuated_dcs_get_no_work]
        restart = FaultSpan('vm0', 'kill', AT - 4.0, AT - 1.0)
        for excused in ({
                'evacuations': [Evacuation('dc-1', AT - 3.0, AT + 5.0)]
        }, {
                'evacuations': [Evacuation('dc-1', AT - 9.0, AT)]
        }, {
                'endpoint_dcs': {
                    'i-1': 'dc-2'
                }
        }, {
                'fault_spans': [restart]
        }):
            with self.subTest(list(excused)):
                late = attrs.evolve(played, **excused)
                self.assertFalse(list(checks.evacuated_dcs_get_no_work(late)))

    def test_two_streams_may_hold_events_of_two_builds(self) -> None:
        within_answer = stream_try(range(11, 20))
        within_answer.events[5] = StreamEvent(16, 'b2')
        over_tries = stream_try(range(11, EVENT_END), build='b2')
        for mixed, violates in (([within_answer, over_tries], False),
                                ([within_answer, over_tries,
                                  over_tries], True)):
            streams = [
                resumed_stream(stream_try(range(11, EVENT_END))),
                *(resumed_stream(each) for each in mixed)
            ]
            played = history([], [], streams=streams)
            with self.subTest(len(mixed)):
                self.assertEqual(
                    bool(list(checks.streams_keep_their_build(played))),
                    violates)

    def test_events_of_streams_follow_one_another(self) -> None:
        last = stream_try(range(11, EVENT_END))
        for later, violates in (
            ([last], False),
            ([REFUSED_TRY, last], False),
            ([stream_try(range(11, 20)),
              stream_try(range(20, EVENT_END))], False),
            ([stream_try(range(11, 20))], False),
                # The end is not repeated if only that was lost.
            ([last, stream_try(range(31, 31))], False),
            ([stream_try(range(10, EVENT_END))], True),
            ([stream_try(range(12, 20))], True),
            ([stream_try(range(1, 11))], True),
            ([stream_try(range(11, 20), complete=True)], True),
            ([stream_try(range(11, 11), complete=True)], True)):
            played = history([], [], streams=[resumed_stream(*later)])
            with self.subTest([each.after for each in later]):
                self.assertEqual(bool(list(checks.streams_follow_on(played))),
                                 violates)

    def test_resumed_streams_may_be_refused_within_the_bounds(self) -> None:
        goes_on = stream_try(range(11, 20))
        only_end = stream_try(range(11, 11), complete=True)
        late = [SERVING[0], attrs.evolve(SERVING[1], start=AT)]
        left = [SERVING[0], attrs.evolve(SERVING[1], end=AT + 0.4)]
        other = [SERVING[0], attrs.evolve(SERVING[1], build='b2')]
        pause = FaultSpan('vm0', 'pause', AT - 3.2, AT - 2.9)
        paths = FaultSpan('endpoints-vm0', 'lost', AT - 1.0, AT + 1.0)
        for served, refused, spans, fault, violates in (([goes_on] * 6, 6,
                                                         SERVING, None, False),
                                                        ([goes_on] * 5, 7,
                                                         SERVING, None, True),
                                                        ([only_end] * 6, 6,
                                                         SERVING, None, False),
                                                        ([], 11, SERVING, None,
                                                         False), ([], 12, late,
                                                                  None, False),
                                                        ([], 12, left, None,
                                                         False), ([], 12, other,
                                                                  None, False),
                                                        ([], 12, SERVING, pause,
                                                         False), ([], 12,
                                                                  SERVING,
                                                                  paths, True)):
            tries = [*served, *[REFUSED_TRY] * refused]
            played = history([], [],
                             streams=[resumed_stream(each) for each in tries],
                             serving_spans=spans,
                             fault_spans=[fault] if fault else [])
            with self.subTest(refused=refused, spans=spans, fault=fault):
                self.assertEqual(
                    bool(list(checks.resumed_streams_go_on(played))), violates)

    def test_streams_of_lost_dcs_may_be_refused_within_the_bounds(self) -> None:
        goes_on = stream_try(range(11, 20))
        at_lost = stream_try(range(11, 11), gateway='vm1', status=0)
        for served, refused, spans, fault, violates in (
            (6, 6, SERVING, LOSS, False), (5, 7, SERVING, LOSS, True),
            (0, 11, SERVING, LOSS, False), (0, 12, SERVING[:1], LOSS, False),
            (0, 12, SERVING, attrs.evolve(LOSS, fault_name='kill'),
             False), (0, 12, SERVING, attrs.evolve(LOSS,
                                                   start=AT + 0.6), False)):
            # A try at a gateway that is gone is not judged.
            tries = [goes_on] * served + [REFUSED_TRY] * refused
            played = history(
                [], [],
                streams=[lost_stream(at_lost, each) for each in tries],
                serving_spans=spans,
                fault_spans=[fault])
            with self.subTest(refused=refused, spans=spans, fault=fault):
                self.assertEqual(
                    bool(list(checks.streams_of_lost_dcs_go_on(played))),
                    violates)

    def test_evacuated_engines_do_not_serve_resumed_streams(self) -> None:
        played = attrs.evolve(VIOLATIONS[checks.resumed_streams_go_on],
                              endpoint_dcs={
                                  'w-1': 'dc-1',
                                  'w-2': 'dc-2'
                              })
        for start, violates in ((AT - 1.0, False), (AT + 1.0, True)):
            evacuations = [Evacuation('dc-1', start, AT + 5.0)]
            played = attrs.evolve(played, evacuations=evacuations)
            with self.subTest(start=start):
                self.assertEqual(
                    bool(list(checks.resumed_streams_go_on(played))), violates)

    def test_share_of_new_streams_bounds_that_of_resumed_ones(self) -> None:
        unbegun = CallerStream('/draft/x',
                               [stream_try(range(1, 1), status=503)])
        streams = [resumed_stream(stream_try(range(11, 20)))] * 3
        streams += [resumed_stream(REFUSED_TRY)] * 9
        for failed, violates in ((12, False), (11, True)):
            played = history([], [],
                             streams=streams + [unbegun] * failed,
                             serving_spans=SERVING)
            with self.subTest(failed):
                self.assertEqual(
                    bool(list(checks.resumed_streams_go_on(played))), violates)

    def test_few_crashing_requests_may_reach_engines_late(self) -> None:
        for late in ([AT + 2.9] * 9, [AT + 3.5] * 3):
            played = history([], [], crashing_runs=[AT] * 5 + late)
            self.assertFalse(
                list(checks.crashing_requests_are_kept_away(played)))

    def test_partitioned_gateways_may_fail_within_the_bounds(self) -> None:
        cut = FaultSpan('endpoints-vm0', 'lost', AT - 3.5, AT + 4.0)
        early = attrs.evolve(cut, start=AT - 2.5)
        for served, failed, unsent, span, violates in (
                # Two thirds of the share of the others, which serve 18 of 20.
            (18, 12, 0, cut, False),
            (17, 13, 0, cut, True),
                # 10 and 1 in 50 of all attempts fail.
            (0, 10, 0, cut, False),
            (0, 11, 0, cut, True),
            (0, 8, 3, cut, True),
                # Before the bound of the cut has passed.
            (0, 20, 0, early, False)):
            outcomes = [outcome(gateway='vm0')] * served
            outcomes += [outcome(gateway='vm0', status=503)] * failed
            outcomes += [outcome(gateway='vm1')] * 18
            outcomes += [outcome(gateway='vm1', status=503)] * 2
            played = history(outcomes, [],
                             fault_spans=[span],
                             unsent=[Unsent('vm0', AT)] * unsent)
            with self.subTest(served=served, failed=failed, unsent=unsent):
                found = list(checks.partitioned_gateways_serve(played))
                self.assertEqual(bool(found), violates)

    def test_gateways_with_faults_of_their_own_are_not_compared(self) -> None:
        cut = FaultSpan('endpoints-vm0', 'lost', AT - 3.5, AT + 4.0)
        for subject in ('vm0', 'store-vm0', 'store'):
            played = attrs.evolve(
                VIOLATIONS[checks.partitioned_gateways_serve],
                fault_spans=[cut,
                             FaultSpan(subject, 'pause', AT, AT + 1.0)])
            with self.subTest(subject):
                self.assertFalse(list(
                    checks.partitioned_gateways_serve(played)))

    def test_lost_paths_excuse_only_streams_that_had_begun(self) -> None:
        cut = FaultSpan('endpoints-vm0', 'lost', AT, AT + 4.0)
        for status, excused in ((200, True), (0, False)):
            broken = outcome(kind='stream',
                             status=status,
                             whole=False,
                             body=b'')
            played = history([broken], [run()], fault_spans=[cut])
            with self.subTest(status=status):
                self.assertEqual(
                    not list(checks.read_requests_are_answered(played)),
                    excused)

    def test_only_answers_that_had_begun_are_excused_by_the_deadline(
            self) -> None:
        stop = FaultSpan('vm0', 'term', AT + 2.0, AT + 4.0)
        for status, excused in ((200, True), (0, False)):
            late = outcome(status=status, whole=False, ended_at=AT + 3.1)
            cut = history([late], [run()], fault_spans=[stop])
            for check in (checks.planned_stops_cut_nothing,
                          checks.read_requests_are_answered):
                with self.subTest(check.__name__, status=status):
                    self.assertEqual(not list(check(cut)), excused)
