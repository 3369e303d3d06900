"""Tests with the entry VM and stand-ins as separate processes."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import unittest
import urllib.request
from typing import Any

import attrs
from click.testing import CliRunner

from plantainridge import cli
from plantainridge import config as cfg
from plantainridge import revisions
from plantainridge.ids import EndpointId
from plantainridge.standins import site, world
from plantainridge.standins.engine import token_at

KEY = 'a-secret-key'
PROMPT = 'a prompt that no log line may hold'
TIMEOUT_S = 30
# The single-file binary under test, or None for this interpreter.
BINARY = os.environ.get('PLANTAINRIDGE_TEST_BINARY')
COMMAND = [BINARY] if BINARY else [sys.executable, '-m', 'plantainridge']


class StartedProcess:
    """A running process and the addresses that it printed."""

    def __init__(self, *arguments: str) -> None:
        self.process = subprocess.Popen(  # pylint: disable=R1732
            [*COMMAND, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True)
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise AssertionError(self.process.communicate()[1])
        self.addresses: dict[str, str] = json.loads(line)

    @property
    def address(self) -> str:
        """Address that a stand-in listens on."""
        return self.addresses['address']

    def children(self) -> str:
        """Return the ids of its child processes."""
        pid = self.process.pid
        return pathlib.Path(f'/proc/{pid}/task/{pid}/children').read_text(
            encoding='ascii')

    def stop(self) -> tuple[int, str]:
        """Send SIGTERM; return the exit status and standard error."""
        self.process.send_signal(signal.SIGTERM)
        _, errors = self.process.communicate(timeout=TIMEOUT_S)
        return self.process.returncode, errors


def _post_json(url: str, body: dict[str, Any], key: str = KEY) -> Any:
    request = urllib.request.Request(f'http://{url}',
                                     json.dumps(body).encode(),
                                     {'Authorization': f'Bearer {key}'})
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
        return json.load(response)


def _get_text(url: str) -> str:
    with urllib.request.urlopen(f'http://{url}', timeout=TIMEOUT_S) as response:
        return str(response.read().decode())


def _publish(log: str, engine: str, service: str) -> None:
    config = site.with_keys(world.sample_config(), {world.TEAM: KEY})
    endpoints = {
        name:
            attrs.evolve(endpoint,
                         address=engine if endpoint.kind
                         is cfg.EndpointKind.ENGINE else service)
        for name, endpoint in config.endpoints.items()
        if name != EndpointId('e1')
    }
    config = attrs.evolve(config, endpoints=endpoints)
    payload = revisions.encode_revision(revisions.Revision(-1, config))
    _post_json(f'{log}/streams/config/0/records',
               {'payloads': [base64.b64encode(payload).decode()]})


class SeparateProcessesTest(unittest.TestCase):
    """Processes that share only sockets serve requests together."""

    def setUp(self) -> None:
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def _start(self, *arguments: str) -> StartedProcess:
        started_process = StartedProcess(*arguments)
        self.stack.callback(started_process.process.kill)
        return started_process

    def test_serves_requests_writes_logs_and_stops(self) -> None:
        stand_ins = [
            self._start('standin', kind)
            for kind in ('log', 'members', 'service', 'engine')
        ]
        log, members, service, engine = (
            process.address for process in stand_ins)
        _publish(log, engine, service)
        entry = self._start('entry', '--vm', 'vm1', '--dc', world.DC, '--host',
                            '127.0.0.1', '--port', '0', '--operator-port', '0',
                            '--peer-port', '0', '--log', log, '--members',
                            members)
        asyncio.run(self._wait_until_ready(entry.addresses['operators']))
        answer = _post_json(f'{entry.addresses["callers"]}/v1/completions', {
            'model': world.MODEL,
            'prompt': PROMPT,
            'max_tokens': 3
        })
        self.assertEqual(
            answer['choices'][0]['text'],
            ''.join(token_at(PROMPT, world.VERSION, i) for i in range(3)))
        _post_json(f'{entry.addresses["callers"]}/services/lookup/x', {})
        metrics = _get_text(f'{entry.addresses["operators"]}/metrics')
        self.assertIn(f'plantainridge_first_token_s_count{{team="{world.TEAM}"',
                      metrics)
        # No process starts child processes.
        self.assertEqual(
            [process.children() for process in [*stand_ins, entry]], [''] * 5)
        status, errors = entry.stop()
        self.assertEqual(status, 0, errors)
        for line in errors.splitlines():
            self.assertIn('event', json.loads(line))
        request_lines = [
            json.loads(line)
            for line in errors.splitlines()
            if '"request_ended"' in line
        ]
        self.assertEqual(
            [(line['team'], line['outcome']) for line in request_lines],
            [(world.TEAM, 'whole')] * 2)
        self.assertTrue(all(line['request'] for line in request_lines))
        self.assertNotIn(PROMPT, errors)
        self.assertNotIn(KEY, errors)
        self.assertEqual([process.stop()[0] for process in stand_ins], [0] * 4)

    async def _wait_until_ready(self, operators: str) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    _get_text(f'{operators}/readyz')
                    return
                await asyncio.sleep(0.02)


class SettingsTest(unittest.TestCase):
    """An error names the flag, its value and the allowed values."""

    CASES = [
        (['--log', 'here:80'], ('--log', 'here:80', 'IPv4')),
        (['--host', 'localhost'], ('--host', 'localhost', 'IPv4')),
        (['--port', '70000'], ('--port', '70000', '65535')),
        (['--dc', 'a b'], ('--dc', 'a b', 'letters')),
        (['--max-body-bytes', '1'], ('--max-body-bytes', '1', '1024')),
    ]

    def test_errors_name_flag_value_and_allowed_values(self) -> None:
        for arguments, expected_texts in self.CASES:
            with self.subTest(arguments):
                result = CliRunner().invoke(cli.main, ['entry', *arguments])
                self.assertEqual(result.exit_code, 2)
                for text in expected_texts:
                    self.assertIn(text, result.output)

    def test_reads_environment_variables(self) -> None:
        names = {'VM': 'vm1', 'DC': 'neihu', 'HOST': '10.0.0.1', 'PORT': 'x'}
        environment = {
            f'PLANTAINRIDGE_ENTRY_{name}': value
            for name, value in names.items()
        }
        result = CliRunner().invoke(cli.main, ['entry'], env=environment)
        self.assertEqual(result.exit_code, 2)
        for text in ('--port', "'x'", 'whole numbers from 0 to 65535'):
            self.assertIn(text, result.output)
