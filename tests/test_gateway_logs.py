"""Tests of log lines, the limits of the log writer, and `explain`."""

import json
import os
import unittest

from click.testing import CliRunner

from plantainridge.gateway import events as ev
from plantainridge.gateway import explain
from plantainridge.gateway.builds import Origin, attempt_key
from plantainridge.gateway.events import Failure, View
from plantainridge.gateway.log_writer import (MAX_BUFFERED_BYTES,
                                              MAX_LINES_PER_S, LogWriter)
from plantainridge.ids import RequestId
from plantainridge.loop.effects import LogLine
from tests.build_fleet import begin_stream, resume_stream
from tests.gateway_scene import (ENGINES, LEDGER, MODEL, GatewayScene,
                                 configuration, endpoint, head)


class LogWriterTest(unittest.TestCase):
    """Tests of the limits on log lines and of non-blocking writes."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.log_writer = LogWriter('vm', self.writer)

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def test_reader_that_never_reads_blocks_nothing(self) -> None:
        line = LogLine('long', (('text', 'x' * 1_000),))
        for _ in range(5_000):
            self.log_writer.write(line)
        self.log_writer.flush()
        self.assertGreater(self.log_writer.dropped_lines, 0)

    def test_lines_over_the_limit_are_counted(self) -> None:
        for _ in range(3 * MAX_LINES_PER_S):
            self.log_writer.write(LogLine('usual'))
        self.assertGreaterEqual(self.log_writer.dropped_lines, MAX_LINES_PER_S)

    def test_failures_of_requests_are_written_over_the_limit(self) -> None:
        for _ in range(3 * MAX_LINES_PER_S):
            self.log_writer.write(LogLine('usual'))
        self.log_writer.write(LogLine('request_ended', (('status', 503),)))
        self.log_writer.flush()
        text = os.read(self.reader, MAX_BUFFERED_BYTES).decode()
        self.assertTrue('"status":503' in text)

    def test_each_line_is_a_json_object(self) -> None:
        self.log_writer.write(LogLine('one', (('a', 1),)))
        self.log_writer.flush()
        line = json.loads(os.read(self.reader, 4_096))
        self.assertEqual((line['event'], line['vm'], line['a']),
                         ('one', 'vm', 1))


class LogLineTest(unittest.TestCase):
    """Tests of the log lines of decisions."""

    def test_lines_of_a_request(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER), endpoint('b', LEDGER))
        send = scene.post_request('/submit/x')
        scene.post(ev.SendFailed(send.attempt, Failure.NOT_CONNECTED))
        retry = scene.done[-1]
        self.assertIsInstance(retry, type(send))
        scene.post(
            ev.AnswerArrived(
                retry.attempt,  # type: ignore[attr-defined]
                head(503, not_run=True, signed=False),
                b''))
        scene.post_request('/none/', 'r2')
        logged = [line.event for line in scene.lines]
        for event in ('request_sent', 'send_failed', 'request_turned_away',
                      'request_refused'):
            self.assertIn(event, logged)

    def test_send_states_what_it_resumes_and_the_build(self) -> None:
        scene = GatewayScene(endpoint('a', build='v1'))
        scene.state.builds.record(attempt_key('first'), Origin(ENGINES, 'v1'),
                                  scene.now)
        scene.post_request('/report/x', last_event_id='3', resumes='first')
        fields = {line.event: dict(line.fields) for line in scene.lines}
        self.assertEqual(fields['endpoint_known']['build'], 'v1')
        sent = fields['request_sent']
        self.assertEqual((sent['build'], sent['after_event'], sent['resumes']),
                         ('v1', '3', 'first'))

    def test_lines_tell_the_runs_of_an_endpoint_apart(self) -> None:
        scene = GatewayScene(endpoint('a', build='v1', started_ms=5))
        send = begin_stream(scene)
        scene.post(ev.CallerLeft(RequestId('r1')))
        resume_stream(scene)
        scene.post(
            ev.EndpointReported(send.endpoint, {MODEL: 1},
                                0,
                                False,
                                started_ms=7))
        fields = {line.event: dict(line.fields) for line in scene.lines}
        bound, report = fields['stream_bound'], fields['report_of_other_run']
        self.assertEqual(fields['endpoint_known']['started_ms'], 5)
        self.assertEqual((bound['endpoint'], bound['build'],
                          bound['started_ms'], bound['registry_age_s']),
                         ('a', 'v1', 5, 0.0))
        self.assertEqual((report['started_ms'], report['listed_ms']), (7, 5))
        self.assertEqual(fields['stream_resumed']['registry_age_s'], 0.0)

    def test_line_of_a_wait_has_the_inputs_of_the_decision(self) -> None:
        scene = GatewayScene()
        scene.post_request('/submit/x')
        line = next(
            line for line in scene.lines if line.event == 'request_waits')
        fields = dict(line.fields)
        self.assertEqual(fields['request'], 'caller-r1')
        self.assertEqual(fields['endpoints'], 0)
        self.assertEqual(fields['configuration'], 1)

    def test_lines_of_views_and_of_the_stop(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER))
        scene.read(View.REGISTRY, endpoint('a', LEDGER, draining=True))
        scene.post(ev.ViewFailed(View.REGISTRY, False, 'down'))
        scene.read(View.REGISTRY)
        scene.post(ev.StopRequested())
        logged = [line.event for line in scene.lines]
        for event in ('started', 'configuration_taken', 'endpoint_known',
                      'endpoint_leaving', 'view_lost', 'view_back', 'stopping'):
            self.assertIn(event, logged)

    def test_line_of_a_configuration_has_its_source_and_age(self) -> None:
        scene = GatewayScene()
        scene.read(View.OPERATOR)
        scene.advance(0.4)
        scene.post(ev.ViewRelayed(View.OPERATOR, 1, 2, (configuration(2),)))
        line = [
            each for each in scene.lines if each.event == 'configuration_taken'
        ][-1]
        self.assertEqual(dict(line.fields), {
            'version': 2,
            'source': 'relay',
            'unread_s': 0.4
        })

    def test_line_of_a_retry_has_the_inputs_of_the_budget(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER), endpoint('b', LEDGER))
        send = scene.post_request('/view/x')
        scene.post(ev.AnswerArrived(send.attempt, head(500), b''))
        line = next(
            each for each in scene.lines if each.event == 'retry_counted')
        fields = dict(line.fields)
        self.assertEqual((fields['request'], fields['service']),
                         ('caller-r1', LEDGER))
        self.assertEqual((fields['requests'], fields['retries']), (1, 1))
        self.assertEqual(fields['vms'], scene.state.retries.vm_count)

    def test_no_line_contains_a_key_or_a_body(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER))
        scene.post_request('/submit/x', key='key', body=b'secret')
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
    """Tests of explaining a request by its id."""

    def test_history_and_cause(self) -> None:
        history = explain.explain_request('q', explain.parse(LOG))
        self.assertEqual(
            [line.event for line in history.lines],
            ['request_sent', 'version_named', 'send_failed', 'request_ended'])
        self.assertEqual(history.cause,
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
            explained = runner.invoke(explain.main, ['q', 'log'])
            self.assertIn('cause: broken (502)', explained.output)
            summary = runner.invoke(explain.main, ['--summary', 'log'])
            self.assertIn('such as q', summary.output)
