"""Bench of the control overhead of one node, and how it grows.

Control is everything that a node does without callers: its timers, gossip with
other VMs, configuration and load reports. The reducer and its runtime are those
of the product. The clock is virtual, but processor time is real.
"""

import asyncio
import gc
import hashlib
import os
import pathlib
import time
import tracemalloc
from collections.abc import Iterable
from typing import Any, Final

import attrs
import click

from plantainridge import benches, virtual_time
from plantainridge import config as cfg
from plantainridge import revision_records as rr
from plantainridge.differences import Difference, items
from plantainridge.directory import (MAX_ENDPOINT_ENTRIES, MAX_STORE_ENTRIES,
                                     Directory)
from plantainridge.events import CacheListed, LoadReported
from plantainridge.ids import (BlockKey, DcId, EndpointId, TeamId,
                               WeightVersion)
from plantainridge.loop.effects import Effect, SendPeer
from plantainridge.loop.events import Event, PeerMessageReceived
from plantainridge.metrics import MAX_HISTOGRAMS, Metrics
from plantainridge.standins.world import DC, MODEL, Vm, World, sample_config

# Number of data centres of the whole system.
DCS: Final = 9
# Time after the start of VMs before measuring begins.
SETTLE_S: Final = 10.0
# Size of the IP and UDP headers of one packet.
PACKET_HEADER_BYTES: Final = 28
# Largest number of VMs simulated in one data centre; the cost in larger ones
# is extrapolated.
MAX_SIMULATED_VMS: Final = 16
# Assumed size of one engine's load report.
LOAD_REPORT_BYTES: Final = 700
# Budget of one VM for reading load reports.
LOAD_BUDGET_BYTES_PER_S: Final = 1_200
# Number of changes, histograms and directory entries over which the cost of one
# is averaged.
CHANGES: Final = 20
HISTOGRAMS: Final = 50
DIRECTORY_ENTRIES: Final = 20_000


@attrs.frozen
class Cost:
    """Control cost of one VM.

    Attributes:
        core_share: Processor time per second of loop time.
        sent_bytes_per_s: Bytes sent to peers, with packet headers.
        received_bytes_per_s: Bytes received from peers, with packet headers.
    """

    core_share: float
    sent_bytes_per_s: float
    received_bytes_per_s: float


class _Meter:
    """Counter of the bytes of messages between VMs."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0

    def __call__(self, step: Event | Effect) -> None:
        if isinstance(step, SendPeer):
            self.sent += len(step.payload) + PACKET_HEADER_BYTES
        elif isinstance(step, PeerMessageReceived):
            self.received += len(step.payload) + PACKET_HEADER_BYTES


def _resident_bytes() -> int:
    pages = int(
        pathlib.Path('/proc/self/statm').read_text(encoding='ascii').split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def _config(teams: int, endpoints: int) -> cfg.Config:
    base = sample_config()
    sample = next(iter(base.teams.values()))
    teams_by_id = {
        TeamId(f'team-{i:05d}'):
            attrs.evolve(sample,
                         id=TeamId(f'team-{i:05d}'),
                         key_hash=hashlib.sha256(b'%d' % i).hexdigest())
        for i in range(teams)
    }
    engines = {
        EndpointId(f'engine-{i}'):
            cfg.Endpoint(EndpointId(f'engine-{i}'), DC, cfg.EndpointKind.ENGINE,
                         MODEL, f'10.0.{i // 250}.{i % 250}:9000')
        for i in range(endpoints)
    }
    return attrs.evolve(base, teams=teams_by_id, endpoints=engines)


def _post_load_reports(vm: Vm, names: Iterable[EndpointId]) -> None:
    """Post one load report for each engine to a VM."""
    now = asyncio.get_running_loop().time()
    for name in names:
        vm.runtime.post(
            LoadReported(name, now, 1, 1_000, 20_000.0, WeightVersion('v1')))


async def _measure_idle(world: World, seconds: float) -> Cost:
    """Measure idle VMs that get as many load reports as the budget allows."""
    names = [
        name for name, endpoint in
        world.vms[0].runtime.state.config.endpoints.items()
        if endpoint.kind is cfg.EndpointKind.ENGINE
    ]
    per_s = max(1, LOAD_BUDGET_BYTES_PER_S // LOAD_REPORT_BYTES)
    meters = []
    for vm in world.vms:
        meter = _Meter()
        vm.runtime.watchers.append(meter)
        meters.append(meter)
    started_at = time.process_time()
    for second in range(round(seconds)):
        start = second * per_s % max(1, len(names))
        for vm in world.vms:
            _post_load_reports(vm, names[start:start + per_s])
        await asyncio.sleep(1)
    cpu_s = (time.process_time() - started_at) / len(world.vms)
    count = len(world.vms) * seconds
    return Cost(cpu_s / seconds,
                sum(meter.sent for meter in meters) / count,
                sum(meter.received for meter in meters) / count)


def _measure_group(vms: int, seconds: float, seed: int) -> Cost:
    """Measure the cost of one VM among others of its data centre."""

    async def scenario() -> Cost:
        world = World(vms=vms, seed=seed)
        await asyncio.sleep(SETTLE_S)
        return await _measure_idle(world, seconds)

    return virtual_time.run(scenario())


@attrs.frozen
class LargeConfigCost:
    """Memory and processor time of one VM with a large configuration.

    Attributes:
        held_bytes: Memory allocated by one VM, with its configuration.
        core_share: Processor time per second of loop time.
        change_s: Processor time to apply one change, in s.
        change_bytes: Size of the record of a change.
    """

    held_bytes: int
    core_share: float
    change_s: float
    change_bytes: int


async def _start_large(teams: int, endpoints: int, seed: int) -> World:
    """Return a world whose log contains a large configuration."""
    world = World(vms=0, seed=seed)
    initial_items = tuple(items(_config(teams, endpoints)))
    world.log.append(
        'config', 0,
        list(rr.encode_change('first', 0, Difference(initial_items),
                              whole=True)))
    return world


async def _start_vm(world: World) -> Vm:
    vm = world.start_vm('vm0', DcId(DC))
    world.vms.append(vm)
    while not vm.runtime.state.ready:
        await asyncio.sleep(1)
    await asyncio.sleep(SETTLE_S)
    return vm


def _measure_held_bytes(teams: int, endpoints: int, seed: int) -> int:
    """Return the bytes that one VM allocates with a large configuration."""

    async def scenario() -> int:
        world = await _start_large(teams, endpoints, seed)
        gc.collect()
        tracemalloc.start()
        await _start_vm(world)
        gc.collect()
        allocated, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return allocated

    return virtual_time.run(scenario())


def _measure_large_config(teams: int, endpoints: int, seconds: float,
                          seed: int) -> LargeConfigCost:
    """Measure the cost of one VM with a large configuration."""

    async def scenario() -> LargeConfigCost:
        world = await _start_large(teams, endpoints, seed)
        vm = await _start_vm(world)
        cost = await _measure_idle(world, seconds)
        change_s, change_bytes = await _measure_changes(world, vm)
        return LargeConfigCost(allocated_bytes, cost.core_share, change_s,
                               change_bytes)

    allocated_bytes = _measure_held_bytes(teams, endpoints, seed)
    return virtual_time.run(scenario())


def _measure_entry_bytes(entries: int) -> float:
    """Return the bytes of memory of one entry of the block directory."""
    directory = Directory()
    gc.collect()
    tracemalloc.start()
    keys = tuple(BlockKey(f'{number:032x}') for number in range(entries))
    directory.on_cache_listed(CacheListed(EndpointId('engine-0'), 0, keys))
    del keys
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / entries


def _measure_histogram_bytes() -> float:
    """Return the bytes of memory of one histogram."""
    tracemalloc.start()
    metrics = Metrics()
    for number in range(HISTOGRAMS):
        metrics.observe('first_token_s', f'team-{number}', 'report', 0.5)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / HISTOGRAMS


async def _measure_changes(world: World, vm: Vm) -> tuple[float, int]:
    """Publish single changes; return processor time (s) and bytes of one."""
    state = vm.runtime.state
    size = 0
    started_at = time.process_time()
    for number in range(CHANGES):
        team = next(iter(state.config.teams.values()))
        changed = attrs.evolve(team, priority=1 + number % 7)
        records = list(
            rr.encode_change(f'change-{number}', state.config.revision,
                             Difference((changed,))))
        size += sum(len(record) for record in records)
        before = state.config.revision
        world.log.append('config', 0, records)
        while state.config.revision == before:
            await asyncio.sleep(0.05)
    return (time.process_time() - started_at) / CHANGES, size // CHANGES


def run(seed: int, nodes: int, teams: int, endpoints: int,
        seconds: float) -> dict[str, Any]:
    """Run the bench and extrapolate the cost of a node to the design size.

    Args:
        seed: Seed of the VMs' random draws.
        nodes: Number of nodes of the whole system, over `DCS` data centres.
        teams: Number of teams in the configuration.
        endpoints: Number of endpoints in the configuration.
        seconds: Loop time of each run, in s.
    """
    base_bytes = _resident_bytes()
    vms_per_dc = max(2, -(-nodes // DCS))
    large_vm_count = min(vms_per_dc, MAX_SIMULATED_VMS)
    small_vm_count = max(1, large_vm_count // 2)
    small_group, large_group = (_measure_group(small_vm_count, seconds, seed),
                                _measure_group(large_vm_count, seconds, seed))
    vm_difference = max(1, large_vm_count - small_vm_count)
    half_config = _measure_large_config(teams // 2, endpoints // 2, seconds,
                                        seed)
    full_config = _measure_large_config(teams, endpoints, seconds, seed)
    bytes_slope = (large_group.sent_bytes_per_s +
                   large_group.received_bytes_per_s -
                   small_group.sent_bytes_per_s -
                   small_group.received_bytes_per_s) / vm_difference
    cpu_slope = (large_group.core_share -
                 small_group.core_share) / vm_difference
    unmeasured_vms = vms_per_dc - large_vm_count
    histogram_bytes = _measure_histogram_bytes()
    entry_bytes = _measure_entry_bytes(DIRECTORY_ENTRIES)
    bounded_bytes = (MAX_HISTOGRAMS * histogram_bytes +
                     (MAX_ENDPOINT_ENTRIES + MAX_STORE_ENTRIES) * entry_bytes)
    # Share of a core at the design size of 840 configuration changes in a day
    # of 86,400 s.
    change_share = 840 / 86_400 * full_config.change_s
    gossip_bytes_per_s = (large_group.sent_bytes_per_s +
                          large_group.received_bytes_per_s +
                          unmeasured_vms * max(0.0, bytes_slope))
    return {
        'nodes': nodes,
        'peers_in_dc': vms_per_dc,
        'peers_measured': large_vm_count,
        'teams': teams,
        'endpoints': endpoints,
        'base_mb': base_bytes / 1e6,
        'held_mb': full_config.held_bytes / 1e6,
        'bytes_per_team': (full_config.held_bytes - half_config.held_bytes) /
                          max(1, teams - teams // 2),
        'histogram_bytes': histogram_bytes,
        'directory_entry_bytes': entry_bytes,
        'node_mb_at_bounds': (base_bytes + full_config.held_bytes +
                              bounded_bytes) / 1e6,
        'core_share': max(full_config.core_share, large_group.core_share) +
                      unmeasured_vms * max(0.0, cpu_slope) + change_share,
        'core_share_per_peer': cpu_slope,
        'core_share_idle_small_config': small_group.core_share,
        'core_share_idle_full_config': full_config.core_share,
        'change_s': full_config.change_s,
        'change_s_half_teams': half_config.change_s,
        'change_bytes': full_config.change_bytes,
        'exchange_bytes_per_s': gossip_bytes_per_s,
        'exchange_bytes_per_s_per_peer': bytes_slope,
        'control_bytes_per_s': gossip_bytes_per_s + LOAD_BUDGET_BYTES_PER_S,
        'load_refresh_s': endpoints / DCS /
                          (LOAD_BUDGET_BYTES_PER_S / LOAD_REPORT_BYTES),
    }  # yapf: disable


@click.command('footprint')
@click.option('--nodes', type=click.IntRange(1, 2_000), default=410)
@click.option('--teams', type=click.IntRange(2, 100_000), default=28_000)
@click.option('--endpoints', type=click.IntRange(2, 10_000), default=1_100)
@click.option('--seconds', type=click.FloatRange(1, 3_600), default=60.0)
@benches.options
def command(**arguments: Any) -> dict[str, Any]:
    """Measure the control overhead of one node, and how it grows."""
    return run(**arguments)
