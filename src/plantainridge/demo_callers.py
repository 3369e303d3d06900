"""Callers of the demo, which know the answers to expect."""

import asyncio
import itertools
import json
import time
from collections.abc import Mapping
from typing import Any, Final

import attrs
from aiosonic import exceptions as http_errors

from plantainridge.http_ports import STATUS_OK, new_client
from plantainridge.ids import ServiceId, TeamId, VmId
from plantainridge.standins.engine import token_at
from plantainridge.standins.site import Site

TIMEOUT_S: Final = 20.0
_CONNECTION_ERRORS: Final = (http_errors.AiosonicError, OSError, EOFError,
                             ValueError, TimeoutError)


@attrs.define
class Outcome:
    """Outcome of one request.

    Attributes:
        visit: Index of the visit of the context, from 0.
        prompt: Whether it is a prompt to a model, not a service call.
        request: ID of the request; empty if the VM sent none.
        whole: Whether the complete and correct answer arrived.
        reason: Reason of a refusal; empty if not refused.
        ran: Whether the request ran, as stated by the refusal.
        fault: Description of an error; empty if there was none.
        first_token_s: Time to first token in s; None without a token.
        prompt_tokens: Length of the prompt, as counted by the VM.
        cached_tokens: Number of its tokens that were not recomputed.
    """

    team: TeamId
    visit: int
    prompt: bool
    request: str = ''
    whole: bool = False
    reason: str = ''
    ran: str = ''
    fault: str = ''
    first_token_s: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0


class Caller:
    """Caller that sends requests to VMs round-robin, like a load balancer.

    Attributes:
        excluded_vms: VMs that the load balancer no longer sends to.
    """

    def __init__(self, site: Site, keys: Mapping[TeamId, str]) -> None:
        self.site = site
        self.keys = keys
        self.client = new_client()
        self.request_numbers = itertools.count()
        self.excluded_vms: set[VmId] = set()

    async def close(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    def _url(self) -> str:
        # A load balancer sends only to VMs that report that they are ready.
        ready = [
            entry for vm, entry in sorted(self.site.entries.items())
            if vm not in self.excluded_vms and entry.runtime.state.ready
        ]
        entry = ready[next(self.request_numbers) % len(ready)]
        return f'http://{entry.callers.address}'

    def _headers(self, team: TeamId) -> dict[str, str]:
        return {'Authorization': f'Bearer {self.keys[team]}'}

    async def complete(self, team: TeamId, text: str, tokens: int,
                       visit: int) -> Outcome:
        """Stream a completion and check every token."""
        outcome = Outcome(team, visit, prompt=True)
        model = min(self.site.config.teams[team].models)
        version = self.site.config.models[model].version
        expected = ''.join(token_at(text, version, i) for i in range(tokens))
        body = {
            'model': model,
            'prompt': text,
            'max_tokens': tokens,
            'stream': True,
            'stream_options': {
                'include_usage': True
            },
        }
        started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                response = await self.client.request(
                    f'{self._url()}/v1/completions',
                    method='POST',
                    headers=self._headers(team),
                    json=body,
                    stream=True)
                outcome.request = response.headers.get('x-request-id') or ''
                received = await self._read_stream(response, outcome,
                                                   started_at)
        except _CONNECTION_ERRORS as error:
            outcome.fault = f'the connection failed: {type(error).__name__}'
            return outcome
        outcome.whole = received == expected
        if not outcome.whole and not outcome.reason:
            outcome.fault = 'the answer is incomplete or wrong'
        return outcome

    async def _read_stream(self, response: Any, outcome: Outcome,
                           started_at: float) -> str:
        if response.status_code != STATUS_OK:
            _record_problem(outcome, json.loads(await response.content()))
            return ''
        text = ''
        async for line in response.iter_lines():
            if not line.startswith('data: {'):
                continue
            event = json.loads(line[len('data: '):])
            if 'error' in event:
                _record_problem(outcome, event)
            elif event.get('usage'):
                _record_usage(outcome, event['usage'])
            else:
                if outcome.first_token_s is None:
                    outcome.first_token_s = (asyncio.get_running_loop().time() -
                                             started_at)
                text += event['choices'][0]['text']
        return text

    async def call_once(self, team: TeamId, service: ServiceId,
                        visit: int) -> Outcome:
        """Send a run-once call, and resend it once."""
        outcome = Outcome(team, visit, prompt=False)
        headers = {
            **self._headers(team),
            'Idempotency-Key':
                f'{int(time.time())}-{team}-{visit}',
            'X-Run-Once':
                'yes',
        }
        for resend in (False, True):
            if resend:
                headers['Idempotency-Resend'] = 'yes'
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    response = await self.client.post(
                        f'{self._url()}/services/{service}/submit',
                        headers=headers,
                        data=b'{"count": 1}')
                    data = await response.content()
            except _CONNECTION_ERRORS as error:
                outcome.fault = f'the connection failed: {type(error).__name__}'
                return outcome
            outcome.request = response.headers.get('x-request-id') or ''
            if response.status_code == STATUS_OK:
                outcome.whole, outcome.reason, outcome.ran = True, '', ''
            elif not outcome.whole:
                _record_problem(outcome, json.loads(data))
        return outcome


def _record_problem(outcome: Outcome, body: Mapping[str, Any]) -> None:
    outcome.reason = body['error']['type']
    outcome.ran = body['ran']


def _record_usage(outcome: Outcome, usage: Mapping[str, Any]) -> None:
    outcome.prompt_tokens = usage['prompt_tokens']
    outcome.cached_tokens = usage['prompt_tokens_details']['cached_tokens']
