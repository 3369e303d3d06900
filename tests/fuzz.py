"""Stateful fuzzing of several VMs and stand-ins, checked by the oracle.

Run as `python -m tests.fuzz --seed N --examples N --steps N`.
"""

import asyncio
import json
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

import attrs
import click
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from plantainridge import virtual_time
from plantainridge.ids import EndpointId, TeamId, WeightVersion
from plantainridge.standins import world as worlds
from plantainridge.standins.memory import EngineFaults
from plantainridge.standins.oracle import Oracle, Violation
from plantainridge.standins.world import Vm, World

VM_COUNT: Final = 3
ENGINE_COUNT: Final = 3
SETTLE_S: Final = 150.0
PEER_CUT_S: Final = 30.0
PROMPTS: Final = ('manifest ' * 1_500, 'manifest ' * 3_000, 'survey ' * 2_500,
                  'short')
TEAMS: Final = (worlds.TEAM, worlds.OTHER_TEAM)

T = TypeVar('T')

# Number of runs of each rule, over all examples of the process.
RULE_COUNTS: Counter[str] = Counter()


class InvariantViolated(AssertionError):
    """Violations that the oracle found."""

    def __init__(self, violations: list[Violation]) -> None:
        super().__init__('; '.join(
            f'{each.check.value}: {each.detail}' for each in violations))
        self.violations = violations


@attrs.frozen
class Step:
    """A rule that an example ran, with its arguments."""

    rule: str
    arguments: dict[str, Any]

    def __str__(self) -> str:
        formatted = ', '.join(f'{k}={v!r}' for k, v in self.arguments.items())
        return f'{self.rule}({formatted})'


@attrs.frozen
class FailedExample:
    """An example that violated invariants, and its steps."""

    violations: list[Violation]
    trace: list[Step]


# Examples of the process in which the oracle found violations.
FAILED_EXAMPLES: list[FailedExample] = []


def recorded(rule: Callable[..., None]) -> Callable[..., None]:
    """Record each run of a rule in the counts and in the trace."""

    def wrapper(self: 'WorldMachine', **arguments: Any) -> None:
        RULE_COUNTS[rule.__name__] += 1
        self.trace.append(Step(rule.__name__, arguments))
        rule(self, **arguments)

    wrapper.__name__ = rule.__name__
    return wrapper


vm_index = st.integers(0, VM_COUNT - 1)
engine_index = st.integers(0, ENGINE_COUNT - 1)
store_index = st.integers(0, len(worlds.STORES) - 1)


class WorldMachine(stateful.RuleBasedStateMachine):
    """State machine of callers, operators and faults, in any order.

    Attributes:
        stop_at_first: Whether the first failed example ends the run.
    """

    stop_at_first = False

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=virtual_time.new_loop)
        self.world = self.run_coroutine(self._build)
        self.oracle = Oracle(self.world)
        self.version = 1
        self.trace: list[Step] = []
        self.sent_keys: list[tuple[TeamId, str]] = []
        self.advance_clock(1.0)

    async def _build(self) -> World:
        return World(VM_COUNT, ENGINE_COUNT)

    def run_coroutine(self, work: Callable[[], Coroutine[Any, Any, T]]) -> T:
        """Run a coroutine on the machine's event loop."""
        return self.runner.run(work())

    def run_on_loop(self, step: Callable[[], None]) -> None:
        """Call a plain function inside the machine's event loop."""

        async def work() -> None:
            step()

        self.run_coroutine(work)

    def advance_clock(self, seconds: float) -> None:
        """Advance the virtual clock by a number of seconds."""
        self.run_coroutine(lambda: asyncio.sleep(seconds))

    def running_vm(self, index: int) -> Vm:
        """Return a VM, replaced first if its process has ended."""
        vm = self.world.vms[index]
        if vm.runtime.halted:
            vm = self.start_replacement(vm)
        return vm

    def start_replacement(self, vm: Vm) -> Vm:
        """Replace a VM by an empty one that the oracle observes."""

        async def work() -> Vm:
            replacement = self.world.replace_vm(vm)
            self.oracle.watch(replacement)
            return replacement

        return self.run_coroutine(work)

    # --- Callers ------------------------------------------------------------

    @stateful.rule(vm=vm_index,
                   text=st.integers(0,
                                    len(PROMPTS) - 1),
                   team=st.sampled_from(TEAMS),
                   tokens=st.integers(1, 40))
    @recorded
    def ask_model(self, vm: int, text: int, team: Any, tokens: int) -> None:
        """Send a prompt to a model."""
        target = self.running_vm(vm)
        self.run_on_loop(lambda: _ignore(
            self.world.call_model(target, PROMPTS[text], tokens, team)))

    @stateful.rule(text=st.integers(0, len(PROMPTS) - 1))
    @recorded
    def ask_everywhere(self, text: int) -> None:
        """Send a prompt of each team to each VM at the same time."""
        for index in range(VM_COUNT):
            target = self.running_vm(index)
            for team in TEAMS:
                self.run_on_loop(
                    lambda vm=target, caller_team=team: _ignore(  # type: ignore
                        self.world.call_model(vm, PROMPTS[text], 20, caller_team
                                             )))

    @stateful.rule(vm=vm_index, team=st.sampled_from(TEAMS))
    @recorded
    def call_ledger(self, vm: int, team: Any) -> None:
        """Send a new run-once call."""
        target = self.running_vm(vm)

        def call() -> None:
            key = self.world.new_key()
            self.sent_keys.append((team, key))
            self.world.call_service(target, worlds.LEDGER, key, team=team)

        self.run_on_loop(call)

    @stateful.precondition(lambda self: self.sent_keys)
    @stateful.rule(vm=vm_index,
                   pick=st.integers(0, 100),
                   body=st.sampled_from([b'{}', b'{}', b'{"other": 1}']),
                   resend=st.booleans())
    @recorded
    def resend_ledger(self, vm: int, pick: int, body: bytes,
                      resend: bool) -> None:
        """Resend a call through any VM, maybe with another body."""
        team, key = self.sent_keys[pick % len(self.sent_keys)]
        target = self.running_vm(vm)
        self.run_on_loop(lambda: _ignore(
            self.world.call_service(target, worlds.LEDGER, key, body, team,
                                    resend)))

    @stateful.rule(vm=vm_index)
    @recorded
    def call_lookup(self, vm: int) -> None:
        """Send a call to a repeatable service."""
        target = self.running_vm(vm)
        self.run_on_loop(
            lambda: _ignore(self.world.call_service(target, worlds.LOOKUP)))

    @stateful.rule(pick=st.integers(0, 10_000))
    @recorded
    def hang_up(self, pick: int) -> None:
        """Close a caller's connection."""
        if self.world.sent_requests:
            sent = self.world.sent_requests[pick %
                                            len(self.world.sent_requests)]
            self.run_on_loop(lambda: self.world.disconnect_caller(sent))

    # --- Time ---------------------------------------------------------------

    @stateful.rule(
        seconds=st.sampled_from([0.002, 0.02, 0.1, 0.5, 2.0, 10.0, 90.0]))
    @recorded
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.advance_clock(seconds)

    # --- Faults -------------------------------------------------------------

    @stateful.rule(engine=engine_index)
    @recorded
    def crash_engine(self, engine: int) -> None:
        """Crash an engine, or restart a crashed one with an empty cache."""
        model = self.world.engines[EndpointId(f'e{engine}')]
        if model.alive:
            self.run_on_loop(model.crash)
        else:
            model.alive = True

    @stateful.rule(vm=vm_index)
    @recorded
    def replace_vm(self, vm: int) -> None:
        """Kill a VM and start an empty one under its name."""
        self.start_replacement(self.world.vms[vm])

    @stateful.rule(vm=vm_index)
    @recorded
    def stop_vm(self, vm: int) -> None:
        """Send a VM a stop request, so that it drains."""
        target = self.running_vm(vm)
        self.run_on_loop(self.world.stop_callback(target))

    @stateful.rule(vm=vm_index)
    @recorded
    def cut_from_log(self, vm: int) -> None:
        """Cut or restore the network path of a VM to the log."""
        name = self.world.vms[vm].name
        self.world.network.toggle_cut(name, 'log')

    @stateful.rule()
    @recorded
    def log_outage(self) -> None:
        """Take the log down, or bring it back."""
        self.world.log.down = not self.world.log.down

    @stateful.rule(probability=st.sampled_from([0.0, 0.5, 1.0]), vm=vm_index)
    @recorded
    def lose_answers(self, probability: float, vm: int) -> None:
        """Lose answers of the log and services to a VM after the effect."""
        self.world.vms[vm].log.faults.lose_answer = probability
        self.world.vms[vm].services.faults.lose_answer = probability

    @stateful.rule(probability=st.sampled_from([0.0, 0.5, 1.0]), vm=vm_index)
    @recorded
    def delay_appends(self, probability: float, vm: int) -> None:
        """Make a VM's failed appends take effect late, or appends run twice."""
        self.world.vms[vm].log.faults.delay = probability
        self.world.vms[vm].log.faults.duplicate = probability / 2

    @stateful.rule(probability=st.sampled_from([0.0, 0.5]), vm=vm_index)
    @recorded
    def cross_answers(self, probability: float, vm: int) -> None:
        """Make services answer with another request's ID, or never."""
        self.world.vms[vm].services.faults.misroute = probability
        self.world.vms[vm].services.faults.hang = probability / 2

    @stateful.rule(probability=st.sampled_from([0.0, 0.02, 0.2]), vm=vm_index)
    @recorded
    def garble_streams(self, probability: float, vm: int) -> None:
        """Lose or duplicate stream events, or send those of another request."""
        self.world.vms[vm].engines.faults = EngineFaults(
            probability, probability, probability, probability)

    @stateful.rule(store=store_index)
    @recorded
    def end_store(self, store: int) -> None:
        """Crash a store, or restart it empty."""
        model = self.world.stores[worlds.STORES[store]]
        self.run_on_loop(model.crash if model.alive else model.restart)

    @stateful.rule(store=store_index,
                   full=st.booleans(),
                   slowdown=st.sampled_from([1.0, 10.0, 1_000.0]))
    @recorded
    def trouble_store(self, store: int, full: bool, slowdown: float) -> None:
        """Make a store refuse or take writes, and change its link's speed."""
        model = self.world.stores[worlds.STORES[store]]
        model.refuses_writes = full
        model.link.slowdown = slowdown

    @stateful.rule(probability=st.sampled_from([0.01, 0.5, 1.0]))
    @recorded
    def lose_cache_events(self, probability: float) -> None:
        """Set the probability of gaps in cache events."""
        self.world.feed_settings.gap_probability = probability

    @stateful.rule(vm=vm_index)
    @recorded
    def pause_vm(self, vm: int) -> None:
        """Pause or resume a VM's process."""
        runtime = self.world.vms[vm].runtime
        if runtime.paused:
            self.run_on_loop(runtime.resume)
        else:
            self.run_on_loop(runtime.pause)

    @stateful.rule(slow=st.booleans())
    @recorded
    def slow_log(self, slow: bool) -> None:
        """Make the log slow, or fast again."""
        self.world.log.slow_s = 1.0 if slow else 0.0

    @stateful.rule(a=vm_index, b=vm_index)
    @recorded
    def cut_peers(self, a: int, b: int) -> None:
        """Cut or restore the network path between two VMs."""
        if a != b:
            self.world.network.toggle_cut(f'vm{a}', f'vm{b}')

    @stateful.rule(vm=vm_index, engine=engine_index)
    @recorded
    def cut_engine(self, vm: int, engine: int) -> None:
        """Cut or restore the network path of a VM to an engine."""
        self.world.network.toggle_cut(f'vm{vm}', f'e{engine}')

    # --- Operators ----------------------------------------------------------

    @stateful.rule(stale=st.booleans())
    @recorded
    def publish(self, stale: bool) -> None:
        """Publish a new weight version, maybe on a stale base."""
        base = self.oracle.accepted_revision() - int(stale)
        version = WeightVersion(f'v{self.version + 1}')
        model = attrs.evolve(self.world.config.models[worlds.MODEL],
                             version=version)
        new_config = attrs.evolve(self.world.config, models={model.id: model})
        self._publish(base, new_config)
        if not stale:
            self.version += 1

    @stateful.rule(engine=engine_index, leaving=st.booleans())
    @recorded
    def set_leaving(self, engine: int, leaving: bool) -> None:
        """Mark an engine as leaving, or as in use again."""
        name = EndpointId(f'e{engine}')
        endpoint = attrs.evolve(self.world.config.endpoints[name],
                                leaving=leaving)
        endpoints = {**self.world.config.endpoints, name: endpoint}
        self._publish(self.oracle.accepted_revision(),
                      attrs.evolve(self.world.config, endpoints=endpoints))
        now = self.runner.get_loop().time()
        if leaving:
            self.oracle.record_leaving(name, now)
        else:
            self.oracle.leaving_since.pop(name, None)

    def _readmit_endpoints(self) -> None:
        """Mark every endpoint as in use again."""
        endpoints = {
            name: attrs.evolve(endpoint, leaving=False)
            for name, endpoint in self.world.config.endpoints.items()
        }
        self._publish(self.oracle.accepted_revision(),
                      attrs.evolve(self.world.config, endpoints=endpoints))
        self.oracle.leaving_since.clear()

    def _publish(self, base: int, new_config: Any) -> None:

        async def work() -> None:
            now = self.runner.get_loop().time()
            offset = self.world.publish(base, new_config)
            self.oracle.record_published(offset, base, now)
            if base == self.oracle.accepted_revision() or offset == (
                    self.oracle.accepted_revision()):
                self.world.config = new_config

        self.run_coroutine(work)

    # --- End ----------------------------------------------------------------

    @stateful.invariant()
    def excuse_the_cut_off(self) -> None:
        """Exempt VMs that cannot read the log from the time limit."""
        for vm in self.world.vms:
            unreachable = (self.world.log.down or self.world.log.slow_s > 0 or
                           vm.runtime.paused or
                           not self.world.network.reaches(vm.name, 'log'))
            self.oracle.set_exempt(vm.name, unreachable,
                                   self.runner.get_loop().time())

    def teardown(self) -> None:
        """End every fault, let the system settle, and check for violations."""
        self.run_on_loop(self.world.end_faults)
        self.excuse_the_cut_off()
        self._readmit_endpoints()
        # A VM that received a stop request may exit only now.
        for _ in range(2):
            for vm in list(self.world.vms):
                if vm.runtime.halted:
                    self.start_replacement(vm)
            self.advance_clock(SETTLE_S / 2)
        self.run_coroutine(self.oracle.probe)
        violations = self.oracle.find_violations()
        self.runner.close()
        if not violations:
            return
        FAILED_EXAMPLES.append(FailedExample(violations, self.trace))
        if self.stop_at_first:
            raise InvariantViolated(violations)


def _ignore(_: object) -> None:
    """Ignore a value, so that a lambda can be used as a statement."""


def settings(examples: int, steps: int, shrink: bool) -> hypothesis.settings:
    """Return settings that make a run depend on its seed alone."""
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    return hypothesis.settings(max_examples=examples,
                               phases=phases,
                               stateful_step_count=steps,
                               deadline=None,
                               database=None,
                               print_blob=False,
                               suppress_health_check=list(
                                   hypothesis.HealthCheck))


def run(seed: int,
        examples: int,
        steps: int,
        shrink: bool = False) -> list[FailedExample]:
    """Run the fuzzer once and return the failed examples.

    Args:
        seed: Seed of all random draws.
        examples: Maximum number of examples.
        steps: Maximum number of rules that one example runs.
        shrink: Whether to stop at the first failure and return the shortest
            example found that still fails.
    """
    RULE_COUNTS.clear()
    FAILED_EXAMPLES.clear()
    machine = hypothesis.seed(seed)(WorldMachine)
    machine.stop_at_first = shrink
    try:
        stateful.run_state_machine_as_test(machine,
                                           settings=settings(
                                               examples, steps, shrink))
    except InvariantViolated:
        # The example recorded last is the shortest one found.
        return FAILED_EXAMPLES[-1:]
    return list(FAILED_EXAMPLES)


@click.command()
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--examples', type=click.IntRange(1), default=100)
@click.option('--steps', type=click.IntRange(1), default=40)
@click.option('--shrink/--no-shrink',
              help='Search for the shortest failing example.')
def main(seed: int, examples: int, steps: int, shrink: bool) -> None:
    """Fuzz and print one line of JSON; exit with 1 on a violation."""
    failed = run(seed, examples, steps, shrink)
    for each in failed[:3]:
        for step in each.trace:
            click.echo(f'  {step}')
        for violation in each.violations:
            click.echo(f'{violation.check.value}: {violation.detail}')
    if failed:
        click.echo(f'replay: make fuzz SEED={seed} EXAMPLES={examples} '
                   f'STEPS={steps}')
    click.echo(
        json.dumps({
            'seed': seed,
            'examples': examples,
            'steps': steps,
            'violations': [
                f'{violation.check.value}: {violation.detail}'
                for each in failed
                for violation in each.violations
            ],
            'rules': dict(sorted(RULE_COUNTS.items())),
        }))
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()  # pylint: disable=no-value-for-parameter
