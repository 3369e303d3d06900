"""Checks of what must always hold, by what the stand-ins really saw.

Nothing here asks the reducer what it believes, but for the revision in force:
the stand-ins know what ran, the callers what they were told.
"""

import asyncio
import enum
import math
from collections.abc import Iterator
from typing import Final

import attrs

from plantainridge import config
from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.ids import EndpointId, VmId
from plantainridge.loop import effects as loop_fx
from plantainridge.loop.events import Event
from plantainridge.refusals import RanState
from plantainridge.standins.audit import RunOnceCall
from plantainridge.standins.engine import token_at
from plantainridge.standins.memory import Reply
from plantainridge.standins.world import (LEDGER, LOOKUP, MODEL, SentRequest,
                                          Vm, World)

# After this long a leaving endpoint gets no new work, in s.
LEAVING_LIMIT_S: Final = 3.0
# Within this time an accepted configuration is in force everywhere, in s.
IN_FORCE_LIMIT_S: Final = 6.0
PROBE_TOKENS: Final = 3
# Longest that an idle system may take for a probe, in s.
PROBE_S: Final = 20.0


class Check(enum.Enum):
    """The conditions that must always hold, each by a check of its own.

    `RECOVERY` stands beside the nine: a system that refuses everything for
    ever would keep the others.
    """

    COMMITTED_READS = 'freed_or_partial_block_is_never_read'
    TEAM_ISOLATION = 'teams_stay_apart'
    VERSION_ISOLATION = 'no_block_of_another_version'
    COMPLETE_ANSWERS = 'each_caller_gets_its_own_whole_answer'
    ACCURATE_REFUSALS = 'not_run_is_true'
    AT_MOST_ONCE = 'not_repeatable_runs_at_most_once'
    LEAVING = 'leaving_endpoint_gets_no_new_work'
    GRACEFUL_STOP = 'planned_stop_cuts_no_request'
    CONFIG = 'accepted_configuration_in_force_and_never_reverts'
    RECOVERY = 'all_is_served_again_once_faults_end'


@attrs.frozen
class Violation:
    """One condition that was broken, and how."""

    check: Check
    detail: str


@attrs.define
class _Observed:
    """What was seen of one process.

    Attributes:
        revision: Highest revision that was in force.
        ready: Whether it was ever ready.
    """

    revision: int = -1
    ready: bool = False


@attrs.frozen
class _Probe:
    """One request sent after all faults have ended."""

    name: str
    reply: Reply


class Oracle:
    """Watches a world from its start and judges it at its end.

    Attributes:
        left_at: Loop time at which an endpoint was said to leave, in s.
        published: Revisions in log order, as (offset, base, loop time in s).
        excused: VMs that could not hear of a change, with the loop time until
            which they could not, in s.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.violations: list[Violation] = []
        self.leaving_since: dict[EndpointId, float] = {}
        self.published: list[tuple[int, int, float]] = [(0, -1, 0.0)]
        self.exempt_until: dict[VmId, float] = {}
        self.observed: dict[Vm, _Observed] = {}
        self.highest_revision: dict[VmId, int] = {}
        self.configs: dict[int, config.Config] = {}
        world.exit_watchers.append(self._check_exit)
        for vm in world.vms:
            self.watch(vm)

    def watch(self, vm: Vm) -> None:
        """Follows a VM's process from now on."""
        self.observed[vm] = _Observed()
        vm.runtime.watchers.append(
            lambda loop_step: self._on_step(vm, loop_step))

    def record_published(self, offset: int, base: int, now: float) -> None:
        """Notes a revision that an operator appended."""
        self.published.append((offset, base, now))

    def record_leaving(self, endpoint: EndpointId, now: float) -> None:
        """Notes that an endpoint was said to leave."""
        self.leaving_since.setdefault(endpoint, now)

    def exempt(self, vm: VmId, until: float) -> None:
        """Notes that a VM cannot hear of changes until a loop time, in s."""
        self.exempt_until[vm] = max(until, self.exempt_until.get(vm, 0.0))

    def set_exempt(self, vm: VmId, unreachable: bool, now: float) -> None:
        """Notes whether a VM cannot hear of changes from now on."""
        if unreachable:
            self.exempt_until[vm] = math.inf
        elif self.exempt_until.get(vm) == math.inf:
            self.exempt_until[vm] = now

    def accepted_revision(self) -> int:
        """Returns the revision that the log's order makes the newest."""
        current = -1
        for offset, base, _ in sorted(self.published):
            if base == current:
                current = offset
        return current

    async def probe(self) -> None:
        """Asks each VM for one of each; all faults must have ended.

        A key that did not run is tried again: it must not be blocked, unless
        a VM that died may have been about to run it.
        """
        probes = [
            _Probe(f'{kind} by {vm.name}', reply)
            for vm in self.world.vms
            for kind, reply in _send_one_of_each(self.world, vm)
        ]
        probes += [
            _Probe(f'resend of {key}', reply)
            for key, reply in _resend_free_keys(self.world)
        ]
        await asyncio.sleep(PROBE_S)
        for probe in probes:
            if probe.reply.ended is None and probe.reply.status is None:
                self._report(Check.RECOVERY,
                             f'{probe.name}: {probe.reply.refusal}')

    def find_violations(self) -> list[Violation]:
        """Returns all violations; the world must have come to rest."""
        versions: set[str] = {
            model.version
            for in_force in self.configs.values()
            for model in in_force.models.values()
        }
        for sent in self.world.sent_requests:
            self.violations.extend(_check_request(self.world, sent, versions))
        self.violations.extend(_check_runs(self.world))
        self.violations.extend(_check_block_reads(self.world))
        self.violations.extend(self._check_config())
        return self.violations

    def _report(self, check: Check, detail: str) -> None:
        self.violations.append(Violation(check, detail))

    def _on_step(self, vm: Vm, loop_step: Event | loop_fx.Effect) -> None:
        self._follow_config(vm)
        if isinstance(loop_step, (fx.StartAttempt, fx.CallService)):
            self._check_dispatch(vm, loop_step.endpoint)

    def _follow_config(self, vm: Vm) -> None:
        observed = self.observed[vm]
        in_force = vm.state.config
        if in_force.revision < observed.revision:
            self._report(
                Check.CONFIG,
                f'{vm.name} went back from {observed.revision} to '
                f'{in_force.revision}')
        if vm.state.ready and not observed.ready:
            observed.ready = True
            before = self.highest_revision.get(vm.name, -1)
            if in_force.revision < before:
                self._report(
                    Check.CONFIG, f'{vm.name} came back with '
                    f'{in_force.revision} after {before}')
        if in_force.revision != observed.revision:
            known = self.configs.setdefault(in_force.revision, in_force)
            if known is not in_force and known != in_force:
                self._report(Check.CONFIG,
                             f'revision {in_force.revision} differs by VM')
        observed.revision = max(observed.revision, in_force.revision)
        if vm.state.ready:
            self.highest_revision[vm.name] = max(
                self.highest_revision.get(vm.name, -1), in_force.revision)

    def _check_dispatch(self, vm: Vm, endpoint: EndpointId) -> None:
        now = vm.runtime.loop.time()
        leaving_since = self.leaving_since.get(endpoint)
        if leaving_since is None or now <= leaving_since + LEAVING_LIMIT_S:
            return
        if now <= self.exempt_until.get(vm.name, -1.0) + LEAVING_LIMIT_S:
            return
        self._report(
            Check.LEAVING, f'{vm.name} sent work to {endpoint} '
            f'{now - leaving_since:.1f} s after it began to leave')

    def _check_exit(self, vm: Vm) -> None:
        """Checks a process that ends; what came before has been taken in."""
        for sent in self.world.sent_requests:
            if (sent.vm is vm and sent.reply.final_count == 0 and
                    not sent.disconnected):
                self._report(
                    Check.GRACEFUL_STOP,
                    f'{vm.name} exited before {sent.event.request} ended')

    def _check_config(self) -> Iterator[Violation]:
        newest = self.accepted_revision()
        for vm in self.world.vms:
            if vm.runtime.halted:
                continue
            if vm.state.config.revision != newest:
                yield Violation(
                    Check.CONFIG, f'{vm.name} has {vm.state.config.revision} '
                    f'in force, the log says {newest}')
        for engine in self.world.engines.values():
            model = self.world.config.models[MODEL]
            if engine.version != model.version:
                yield Violation(
                    Check.CONFIG, f'{engine.name} runs {engine.version}, not '
                    f'{model.version}')


def _send_one_of_each(world: World, vm: Vm) -> Iterator[tuple[str, Reply]]:
    yield 'model request', world.call_model(vm, 'probe', PROBE_TOKENS)
    yield 'service call', world.call_service(vm, LOOKUP)
    yield 'marked call', world.call_service(vm, LEDGER, world.new_key())


def _resend_free_keys(world: World) -> Iterator[tuple[str, Reply]]:
    """Tries each key again that did not run and that no dead VM may hold."""
    free: dict[RunOnceCall, ev.ServiceCalled] = {}
    possibly_running: set[RunOnceCall] = set()
    for sent in world.sent_requests:
        event = sent.event
        if not isinstance(event, ev.ServiceCalled) or not event.key:
            continue
        call = RunOnceCall(event.team, event.service, event.key)
        if world.audit.runs[call] == 0:
            free.setdefault(call, event)
        if sent.vm.runtime.halted:
            possibly_running.add(call)
    for call, event in free.items():
        if call not in possibly_running:
            yield call.key, world.call_service(world.vms[-1], LEDGER, call.key,
                                               event.body, event.team)


def _check_request(world: World, sent: SentRequest,
                   versions: set[str]) -> Iterator[Violation]:
    name = sent.event.request
    if sent.interrupted or sent.disconnected:
        return
    if sent.reply.final_count != 1:
        yield Violation(Check.COMPLETE_ANSWERS,
                        f'{name} got {sent.reply.final_count} final words')
    if isinstance(sent.event, ev.ModelCalled):
        yield from _check_tokens(sent, sent.event,
                                 versions | {sent.event.version})
    elif sent.reply.status is not None and not sent.reply.body.isdigit():
        # A service of the world answers with the count of its runs.
        yield Violation(Check.COMPLETE_ANSWERS,
                        f'{name} got an answer that is not its own')
    refusal = sent.reply.refusal
    if refusal is not None and refusal.ran is RanState.NOT_RUN:
        if name in world.audit.started:
            yield Violation(Check.ACCURATE_REFUSALS,
                            f'{name} ran, refused as {refusal.reason.value}')


def _check_tokens(sent: SentRequest, asked: ev.ModelCalled,
                  versions: set[str]) -> Iterator[Violation]:
    """Checks an answer; it must be of one version from start to end.

    A request of which nothing was delivered may be bound to a newer version.
    """
    tokens = sent.reply.tokens
    if sent.reply.ended is not None and len(tokens) != asked.max_tokens:
        yield Violation(
            Check.COMPLETE_ANSWERS,
            f'{asked.request} ended with {len(tokens)} of '
            f'{asked.max_tokens} tokens')
    for version in sorted(versions):
        if tokens == _expected_tokens(asked, version, len(tokens)):
            return
    yield Violation(Check.COMPLETE_ANSWERS,
                    f'{asked.request} got tokens that are not its own')


def _expected_tokens(asked: ev.ModelCalled, version: str,
                     count: int) -> list[str]:
    return [
        token_at(asked.prompt.text, version, index) for index in range(count)
    ]


def _check_runs(world: World) -> Iterator[Violation]:
    for name, runs in world.audit.runs.items():
        if runs > 1:
            yield Violation(Check.AT_MOST_ONCE,
                            f'{name.service} ran {runs} times for {name.key}')


def _check_block_reads(world: World) -> Iterator[Violation]:
    for read in world.audit.foreign_reads:
        check = Check.TEAM_ISOLATION
        if read.computed_for.team == read.read_by.team:
            check = Check.VERSION_ISOLATION
        yield Violation(
            check, f'{read.read_by.team}/{read.read_by.version} read a block of'
            f' {read.computed_for.team}/{read.computed_for.version}')
    for detail in world.audit.unsafe_reads:
        yield Violation(Check.COMMITTED_READS, detail)
