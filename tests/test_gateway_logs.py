"""Tests of log lines, of their bounds, and of explaining a request."""

import json
import os
import unittest

from click.testing import CliRunner

from plantainridge.gateway import events as ev
from plantainridge.gateway import explain
from plantainridge.gateway.events import Failure, View
from plantainridge.gateway.log_writer import (MAX_BUFFERED_BYTES,
                                              MAX_LINES_PER_S, LogWriter)
from plantainridge.loop.effects import LogLine
from tests.gateway_scene import LEDGER, GatewayScene, endpoint, head


class JournalTest(unittest.TestCase):
    """Log lines are bounded and never wait for their reader."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.journal = LogWriter('vm', self.writer)

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def test_reader_that_never_reads_stops_nothing(self) -> None:
        line = LogLine('long', (('text', 'x' * 1_000),))
        for _ in range(5_000):
            self.journal.write(line)
        self.journal.flush()
        self.assertGreater(self.journal.dropped_lines, 0)

    def test_lines_beyond_the_budget_are_counted(self) -> None:
        for _ in range(3 * MAX_LINES_PER_S):
            self.journal.write(LogLine('usual'))
        self.assertGreaterEqual(self.journal.dropped_lines, MAX_LINES_PER_S)

    def test_failures_of_requests_are_kept_beyond_the_budget(self) -> None:
        for _ in range(3 * MAX_LINES_PER_S):
            self.journal.write(LogLine('usual'))
        self.journal.write(LogLine('request_ended', (('status', 503),)))
        self.journal.flush()
        text = os.read(self.reader, MAX_BUFFERED_BYTES).decode()
        self.assertTrue('"status":503' in text)

    def test_one_line_of_json_each(self) -> None:
        self.journal.write(LogLine('one', (('a', 1),)))
        self.journal.flush()
        line = json.loads(os.read(self.reader, 4_096))
        self.assertEqual((line['event'], line['vm'], line['a']),
                         ('one', 'vm', 1))


class DecisionLineTest(unittest.TestCase):
    """Each kind of decision leaves its line."""

    def test_lines_of_a_request(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER), endpoint('b', LEDGER))
        send = scene.ask('/submit/x')
        scene.post(ev.SendFailed(send.attempt, Failure.NOT_CONNECTED))
        again = scene.done[-1]
        self.assertIsInstance(again, type(send))
        scene.post(
            ev.AnswerArrived(
                again.attempt,  # type: ignore[attr-defined]
                head(503, not_run=True, signed=False),
                b''))
        scene.ask('/none/', 'r2')
        told = [line.event for line in scene.lines]
        for event in ('request_sent', 'send_failed', 'request_turned_away',
                      'request_refused'):
            self.assertIn(event, told)

    def test_line_of_a_wait_tells_what_decided_it(self) -> None:
        scene = GatewayScene()
        scene.ask('/submit/x')
        line = next(
            line for line in scene.lines if line.event == 'request_waits')
        fields = dict(line.fields)
        self.assertEqual(fields['request'], 'caller-r1')
        self.assertEqual(fields['endpoints'], 0)
        self.assertEqual(fields['configuration'], 1)

    def test_lines_of_beliefs(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER))
        scene.read(View.REGISTRY, endpoint('a', LEDGER, draining=True))
        scene.post(ev.ViewFailed(View.REGISTRY, False, 'down'))
        scene.read(View.REGISTRY)
        scene.post(ev.StopRequested())
        told = [line.event for line in scene.lines]
        for event in ('started', 'configuration_taken', 'endpoint_known',
                      'endpoint_leaving', 'view_lost', 'view_back', 'stopping'):
            self.assertIn(event, told)

    def test_no_line_holds_a_key_or_a_body(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER))
        scene.ask('/submit/x', key='key', body=b'secret')
        text = repr(scene.lines)
        self.assertNotIn('secret', text)
        self.assertNotIn("'key'", text)


LOG = [
    '{"at":1.0,"vm":"a","event":"request_sent","request":"q","endpoint":"e1"}',
    'noise', '{"at":1.2,"vm":"a","event":"version_named","version":2}',
    '{"at":1.1,"vm":"b","event":"version_named","version":2}',
    '{"at":1.5,"vm":"a","event":"send_failed","request":"q","endpoint":"e1",'
    '"failure":"broken","after_s":0.5}',
    '{"at":1.6,"vm":"a","event":"request_ended","request":"q","status":502,'
    '"outcome":"broken","took_s":0.6}',
    '{"at":1.7,"vm":"a","event":"request_ended","request":"w","status":200,'
    '"outcome":"answered","took_s":0.6}'
]


class ExplainTest(unittest.TestCase):
    """From a request's id to its cause."""

    def test_story(self) -> None:
        story = explain.explain_request('q', explain.parse(LOG))
        self.assertEqual(
            [line.event for line in story.lines],
            ['request_sent', 'version_named', 'send_failed', 'request_ended'])
        self.assertEqual(story.cause,
                         'broken (502); endpoint e1: broken after 0.5 s')

    def test_unknown_request(self) -> None:
        self.assertEqual(
            explain.explain_request('x', explain.parse(LOG)).lines, ())

    def test_summary(self) -> None:
        self.assertEqual(explain.summarize(explain.parse(LOG)),
                         [('502 broken / endpoint broken', 1, 'q')])

    def test_command(self) -> None:
        runner = CliRunner()
        with runner.isolated_filesystem():
            with open('log', 'w', encoding='utf-8') as file:
                file.write('\n'.join(LOG))
            told = runner.invoke(explain.main, ['q', 'log'])
            self.assertIn('cause: broken (502)', told.output)
            counted = runner.invoke(explain.main, ['--summary', 'log'])
            self.assertIn('such as q', counted.output)
