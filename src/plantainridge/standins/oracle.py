"""Invariant checks based on what the stand-ins and callers observed.

The reducers' state is not used, except for readiness and the configuration in
force: the stand-ins record what ran and the callers what they received.
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

# Time after which a leaving endpoint must get no new work.
LEAVING_LIMIT_S: Final = 3.0
# Time within which an accepted configuration must be in force on every VM.
IN_FORCE_LIMIT_S: Final = 6.0
PROBE_TOKENS: Final = 3
# Time within which an idle system must answer a probe.
PROBE_S: Final = 20.0


class Check(enum.Enum):
    """Invariants, each with a check of its own.

    `RECOVERY` is added to the nine invariants because a system that refuses
    every request satisfies all of them.
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
    """A violated invariant and how it was violated."""

    check: Check
    detail: str


@attrs.define
class _Observed:
    """Observations of one process.

    Attributes:
        revision: Highest revision that was in force.
        ready: Whether the process has ever been ready.
    """

    revision: int = -1
    ready: bool = False


@attrs.frozen
class _Probe:
    """One request sent after all faults have ended."""

    name: str
    reply: Reply


class Oracle:
    """Observer of a world that reports violations of the invariants.

    Attributes:
        violations: Violations found so far.
        leaving_since: Loop time at which an endpoint was announced as leaving,
            in s.
        published: Revisions in log order, as (offset, base, loop time in s).
        exempt_until: Loop time in s until which a VM could not receive
            changes; only later dispatches to leaving endpoints count.
        observed: Observations by process.
        highest_revision: Highest revision that was in force while a VM of the
            name was ready.
        configs: Configuration of each revision that was in force.
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
        """Observe a VM's process from now on."""
        self.observed[vm] = _Observed()
        vm.runtime.watchers.append(
            lambda loop_step: self._on_step(vm, loop_step))

    def record_published(self, offset: int, base: int, now: float) -> None:
        """Record a revision that an operator appended."""
        self.published.append((offset, base, now))

    def record_leaving(self, endpoint: EndpointId, now: float) -> None:
        """Record that an endpoint was announced as leaving."""
        self.leaving_since.setdefault(endpoint, now)

    def exempt(self, vm: VmId, until: float) -> None:
        """Record that a VM cannot receive changes until a loop time, in s."""
        self.exempt_until[vm] = max(until, self.exempt_until.get(vm, 0.0))

    def set_exempt(self, vm: VmId, unreachable: bool, now: float) -> None:
        """Record whether a VM is unable to receive changes from now on."""
        if unreachable:
            self.exempt_until[vm] = math.inf
        elif self.exempt_until.get(vm) == math.inf:
            self.exempt_until[vm] = now

    def accepted_revision(self) -> int:
        """Return the offset of the newest accepted revision.

        A revision is accepted if its base is the one accepted before it in log
        order.
        """
        current = -1
        for offset, base, _ in sorted(self.published):
            if base == current:
                current = offset
        return current

    async def probe(self) -> None:
        """Send one request of each kind to each VM after all faults have ended.

        Keys whose call did not run are resent: they must not stay blocked,
        unless a VM that halted may have been about to run the call.
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
        """Return all violations, once no request is in progress any more."""
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
                Check.CONFIG, f'{vm.name} reverted from {observed.revision} to '
                f'{in_force.revision}')
        if vm.state.ready and not observed.ready:
            observed.ready = True
            before = self.highest_revision.get(vm.name, -1)
            if in_force.revision < before:
                self._report(
                    Check.CONFIG, f'{vm.name} restarted with '
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
        """Check that a process exits only after all its requests have ended."""
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
                    f'in force, expected by the log: {newest}')
        for engine in self.world.engines.values():
            model = self.world.config.models[MODEL]
            if engine.version != model.version:
                yield Violation(
                    Check.CONFIG, f'{engine.name} runs {engine.version}, '
                    f'expected {model.version}')


def _send_one_of_each(world: World, vm: Vm) -> Iterator[tuple[str, Reply]]:
    yield 'model request', world.call_model(vm, 'probe', PROBE_TOKENS)
    yield 'service call', world.call_service(vm, LOOKUP)
    yield 'run-once call', world.call_service(vm, LEDGER, world.new_key())


def _resend_free_keys(world: World) -> Iterator[tuple[str, Reply]]:
    """Resend each key that did not run and that no halted VM may run."""
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
        yield Violation(
            Check.COMPLETE_ANSWERS,
            f'{name} got {sent.reply.final_count} final responses, '
            'expected 1')
    if isinstance(sent.event, ev.ModelCalled):
        yield from _check_tokens(sent, sent.event,
                                 versions | {sent.event.version})
    elif sent.reply.status is not None and not sent.reply.body.isdigit():
        # Plain services of the world answer with their number of runs.
        yield Violation(Check.COMPLETE_ANSWERS,
                        f'{name} got the answer to another request')
    refusal = sent.reply.refusal
    if refusal is not None and refusal.ran is RanState.NOT_RUN:
        if name in world.audit.started:
            yield Violation(
                Check.ACCURATE_REFUSALS,
                f'{name} ran but was refused with not_run, reason: '
                f'{refusal.reason.value}')


def _check_tokens(sent: SentRequest, asked: ev.ModelCalled,
                  versions: set[str]) -> Iterator[Violation]:
    """Check that an answer is complete and of one version throughout.

    A request of which nothing was delivered may be bound to a newer version, so
    each version that was in force is allowed.
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
    yield Violation(
        Check.COMPLETE_ANSWERS,
        f'{asked.request} got tokens of another request or '
        'of several versions')


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
