"""Bench of the overhead of an entry VM over calling an engine directly.

Caller, entry VM and engine share one process and one event loop, and use
loopback sockets. The same caller sends requests to the same engine directly and
through the VM. The difference in processor time is the overhead of the VM; so
is the difference in time to first token when one request runs at a time.
"""

import asyncio
import cProfile
import itertools
import pstats
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs
import click

from plantainridge import benches
from plantainridge.http_ports import new_client
from plantainridge.ids import DcId, VmId
from plantainridge.standins import site, world

KEY: Final = 'bench-key'
VM: Final = VmId('vm1')
PROMPT: Final = 'turning movements at the crossing ' * 120
SHORT_ANSWER_TOKENS: Final = 16
LONG_ANSWER_TOKENS: Final = 144
WARM_UP_REQUESTS: Final = 10
LOAD_RUNS: Final = 5
TARGET_FIRST_TOKEN_S: Final = 3_600.0
# Packages by which a profile groups processor time.
PACKAGES: Final = ('plantainridge', 'h11', 'uvicorn', 'starlette', 'aiosonic',
                   'asyncio', 'json', 'transitions', 'anyio', 'logging', 'absl')

SendRequest = Callable[[int], Awaitable[float]]


@attrs.frozen
class Load:
    """Cost of concurrent requests.

    Attributes:
        cpu_s: Processor time per request of caller, VM and engine, in s.
        wall_s: Elapsed time per request, in s.
    """

    cpu_s: float
    wall_s: float


class IncompleteStream(Exception):
    """A stream ended without `[DONE]`, so figures would not be comparable."""


class _StreamCaller:
    """Caller that requests streams, directly or through the VM."""

    def __init__(self, site_under_test: site.Site) -> None:
        self.client = new_client()
        self.entry = site_under_test.entries[VM].callers.address
        self.engine = next(iter(
            site_under_test.config.endpoints.values())).address
        self.request_numbers = itertools.count()

    async def through_vm(self, tokens: int) -> float:
        """Return the time to first token, in s."""
        return await self._stream(
            self.entry, {
                'model': world.MODEL,
                'prompt': f'{next(self.request_numbers)} {PROMPT}',
                'max_tokens': tokens,
                'stream': True
            })

    async def direct(self, tokens: int) -> float:
        """Return the time to first token, in s."""
        return await self._stream(
            self.engine, {
                'request_id': str(next(self.request_numbers)),
                'prompt': f'{next(self.request_numbers)} {PROMPT}',
                'prompt_tokens': len(PROMPT) // 4,
                'block_keys': [],
                'max_tokens': tokens,
                'priority': 0,
                'resume_from': 0,
                'stream': True
            })

    async def _stream(self, address: str, body: dict[str, Any]) -> float:
        started_at = time.perf_counter()
        first_s = 0.0
        response = await self.client.request(
            f'http://{address}/v1/completions',
            method='POST',
            headers={'Authorization': f'Bearer {KEY}'},
            json=body,
            stream=True)
        async for line in response.iter_lines():
            if not first_s and line:
                first_s = time.perf_counter() - started_at
            if line == 'data: [DONE]':
                await response.aclose()
                return first_s
        raise IncompleteStream(
            f'stream ended without [DONE], status {response.status_code}')


def _percentile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


async def _first_token_times_s(send_request: SendRequest,
                               requests: int) -> list[float]:
    return [await send_request(SHORT_ANSWER_TOKENS) for _ in range(requests)]


async def _measure_load(send_request: SendRequest, tokens: int, requests: int,
                        at_once: int) -> Load:
    remaining = iter(range(requests))

    async def worker() -> None:
        for _ in remaining:
            await send_request(tokens)

    started_cpu_s, started_at = time.process_time(), time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(at_once)))
    return Load((time.process_time() - started_cpu_s) / requests,
                (time.perf_counter() - started_at) / requests)


async def _lowest_load(send_request: SendRequest, tokens: int, requests: int,
                       at_once: int) -> Load:
    """Repeat a load and return the run with the least processor time.

    That run was disturbed least by other processes.
    """
    loads = [
        await _measure_load(send_request, tokens, requests, at_once)
        for _ in range(LOAD_RUNS)
    ]
    return min(loads, key=lambda load: load.cpu_s)


def _by_package(profile: cProfile.Profile) -> dict[str, float]:
    """Return each package's share of the profiled time."""
    stats: Any = pstats.Stats(profile)
    spent: Counter[str] = Counter()
    for (path, _, _), row in stats.stats.items():
        package = next((name for name in PACKAGES if f'/{name}' in path),
                       'other')
        spent[package] += row[2]
    total = sum(spent.values())
    shares = {name: value / total for name, value in spent.most_common()}
    return {name: round(fraction, 3) for name, fraction in shares.items()}


async def _run(requests: int, at_once: int, profiled: bool) -> dict[str, Any]:
    config = site.with_keys(world.sample_config(engines=1), {world.TEAM: KEY})
    # The engine is faster than its load reports say, so a short target time
    # would refuse requests as late.
    team = attrs.evolve(config.teams[world.TEAM],
                        first_token_s=TARGET_FIRST_TOKEN_S)
    config = attrs.evolve(config, teams={**config.teams, world.TEAM: team})
    site_under_test = site.Site(config)
    await site_under_test.start({VM: DcId(world.DC)})
    for engine in site_under_test.engines.values():
        engine.slowdown = 0.0
        engine.max_batch = at_once
    caller = _StreamCaller(site_under_test)
    for send_request in (caller.direct, caller.through_vm):
        await _first_token_times_s(send_request, WARM_UP_REQUESTS)
    direct = await _first_token_times_s(caller.direct, requests)
    through = await _first_token_times_s(caller.through_vm, requests)
    loads: dict[tuple[str, int], Load] = {}
    for tokens in (SHORT_ANSWER_TOKENS, LONG_ANSWER_TOKENS):
        loads['direct', tokens] = await _lowest_load(caller.direct, tokens,
                                                     requests, at_once)
        loads['through', tokens] = await _lowest_load(caller.through_vm, tokens,
                                                      requests, at_once)
    profile = cProfile.Profile()
    if profiled:
        profile.enable()
        await _measure_load(caller.through_vm, LONG_ANSWER_TOKENS, requests,
                            at_once)
        profile.disable()
    await caller.client.aclose()
    await site_under_test.stop()
    short_cpu_s = loads['through', SHORT_ANSWER_TOKENS].cpu_s - loads[
        'direct', SHORT_ANSWER_TOKENS].cpu_s
    long_cpu_s = (loads['through', LONG_ANSWER_TOKENS].cpu_s -
                  loads['direct', LONG_ANSWER_TOKENS].cpu_s)
    cpu_per_token_s = (long_cpu_s - short_cpu_s) / (LONG_ANSWER_TOKENS -
                                                    SHORT_ANSWER_TOKENS)
    cpu_per_request_s = short_cpu_s - SHORT_ANSWER_TOKENS * cpu_per_token_s
    figures: dict[str, Any] = {
        'requests': requests,
        'at_once': at_once,
        'direct_first_token_p50_ms': _percentile(direct, 0.5) * 1e3,
        'direct_first_token_p95_ms': _percentile(direct, 0.95) * 1e3,
        'added_first_token_p50_ms': (_percentile(through, 0.5) -
                                     _percentile(direct, 0.5)) * 1e3,
        'added_first_token_p95_ms': (_percentile(through, 0.95) -
                                     _percentile(direct, 0.95)) * 1e3,
        'vm_cpu_per_request_ms': cpu_per_request_s * 1e3,
        'vm_cpu_per_token_us': cpu_per_token_s * 1e6,
        'vm_requests_per_s_per_core': 1 / short_cpu_s,
        'vm_tokens_per_s_per_core': 1 / cpu_per_token_s,
        'all_parts_tokens_per_s': LONG_ANSWER_TOKENS /
                                  loads['through', LONG_ANSWER_TOKENS].wall_s,
    }  # yapf: disable
    if profiled:
        figures['profile'] = _by_package(profile)
    return figures


def run(seed: int, requests: int, at_once: int,
        profiled: bool) -> dict[str, Any]:
    """Run the bench, which has no random draws, and return its figures.

    Args:
        seed: Seed to report; not used otherwise.
        requests: Number of requests of each run.
        at_once: Number of requests in flight in the runs under load.
        profiled: Whether to profile an additional run.
    """
    figures = asyncio.run(_run(requests, at_once, profiled))
    return {'seed': seed, **figures}


@click.command('entry')
@click.option('--requests', type=click.IntRange(10, 100_000), default=200)
@click.option('--at-once', type=click.IntRange(1, 500), default=16)
@click.option('--profile',
              'profiled',
              is_flag=True,
              help='Profile processor time by package.')
@benches.options
def command(**arguments: Any) -> dict[str, Any]:
    """Measure the overhead of an entry VM over calling an engine directly."""
    return run(**arguments)
