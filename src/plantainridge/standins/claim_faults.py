"""Random, overlapping faults of a claim world."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Final

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.ids import EndpointId
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event, TimerFired
from plantainridge.standins.claim_world import ClaimWorld
from plantainridge.standins.memory_log import LogFaults, MemoryLogPort
from plantainridge.standins.memory_services import ServiceFaults
from plantainridge.standins.world import Vm

# Longest pause of a VM; it exceeds the age limit of keys.
MAX_PAUSE_S: Final = 90.0
# Upper bound of short pauses, which are as frequent as long ones.
SHORT_PAUSE_S: Final = 5.0
# Events and effects before which a VM is killed or paused.
STEPS: Final[tuple[type[Event | base.Effect],
                   ...]] = (fx.AppendLog, ev.AppendEnded, ev.AppendFailed,
                            ev.LogRead, fx.CallService, ev.ServiceAnswered,
                            ev.AttemptFailed, fx.SendServiceAnswer, fx.Refuse,
                            TimerFired)


class FaultInjector:
    """Injector of random faults into a world.

    Attributes:
        injected: Number of faults by the name of their kind.
        kinds: Weight and method of each kind; the methods' names are printed.
    """

    def __init__(self, world: ClaimWorld, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.injected: Counter[str] = Counter()
        self.kinds: tuple[tuple[float, Callable[[], None]], ...] = (
            (2.0, self.log_out),
            (2.0, self.log_slow),
            (4.0, self.appends_fail),
            (3.0, self.kill),
            (4.0, self.pause),
            (4.0, self.kill_at_step),
            (6.0, self.pause_at_step),
            (2.0, self.cut_from_log),
            (1.0, self.cut_from_peers),
            (2.0, self.cut_from_services),
            (4.0, self.services_fail),
            (0.3, self.trim),
        )

    def inject(self) -> None:
        """Inject one fault of a random kind."""
        weights = [weight for weight, _ in self.kinds]
        kind = self.rng.choices(self.kinds, weights)[0][1]
        self.injected[kind.__name__] += 1
        kind()

    def end(self) -> None:
        """End every active fault."""
        self.world.log.down = False
        self.world.log.slow_s = 0.0
        self.world.network.cut.clear()
        for vm in self.world.vms:
            vm.log.faults = LogFaults()
            vm.services.faults = ServiceFaults()
            vm.runtime.resume()

    def log_out(self) -> None:
        """Make the log unavailable for a while."""
        self.world.log.down = True
        self._reset_later(self.rng.uniform(0.1, 15.0), 'down', False)

    def log_slow(self) -> None:
        """Delay every call to the log, sometimes beyond every timeout."""
        self.world.log.slow_s = self.rng.choice((0.05, 0.3, 1.5, 5.0))
        self._reset_later(self.rng.uniform(1.0, 10.0), 'slow_s', 0.0)

    def appends_fail(self) -> None:
        """Lose, delay or duplicate appends of a VM."""
        log = self._pick_vm().log
        log.faults = LogFaults(lose_answer=self.rng.choice((0.0, 0.5, 1.0)),
                               delay=self.rng.choice((0.0, 0.3, 0.8)),
                               delay_s=self.rng.choice((1.0, 5.0, 100.0)),
                               duplicate=self.rng.choice((0.0, 0.3)))
        self.loop.call_later(self.rng.uniform(1.0, 15.0), _clear_log_faults,
                             log)

    def kill(self) -> None:
        """Replace a VM by one with empty state."""
        self._replace(self._pick_vm())

    def pause(self) -> None:
        """Pause a VM, sometimes for longer than any limit."""
        self._pause_vm(self._pick_vm())

    def kill_at_step(self) -> None:
        """Replace a VM just before its next step of a kind from `STEPS`."""
        self._at_step(self._pick_vm(), self._replace)

    def pause_at_step(self) -> None:
        """Pause a VM just before its next step of a kind from `STEPS`."""
        self._at_step(self._pick_vm(), self._pause_vm)

    def cut_from_log(self) -> None:
        """Cut three VMs off from the log, as a data centre would be."""
        for vm in self.rng.sample(self.world.vms, 3):
            self._cut(vm.name, MemoryLogPort.NODE)

    def cut_from_peers(self) -> None:
        """Cut a VM off from all other VMs."""
        vm = self._pick_vm()
        for other in self.world.vms:
            if other is not vm:
                self._cut(vm.name, other.name)

    def cut_from_services(self) -> None:
        """Cut a VM off from one instance of a service."""
        names: list[EndpointId] = sorted(self.world.services)
        self._cut(self._pick_vm().name, self.rng.choice(names))

    def services_fail(self) -> None:
        """Make a VM's calls to services fail in random ways."""
        port = self._pick_vm().services
        port.faults = ServiceFaults(lose_answer=self.rng.choice((0.0, 0.5)),
                                    refuse=self.rng.choice((0.0, 0.5)),
                                    misroute=self.rng.choice((0.0, 0.2)),
                                    hang=self.rng.choice((0.0, 0.2)))

        def clear_faults() -> None:
            port.faults = ServiceFaults()

        self.loop.call_later(self.rng.uniform(1.0, 10.0), clear_faults)

    def trim(self) -> None:
        """Trim claims from the log, sometimes before their retention ends."""
        stream = self.world.log.stream('claims', 0)
        remaining_ratio = self.rng.uniform(0.0, 1.0)
        first = stream.first + int(
            (1.0 - remaining_ratio) * len(stream.records))
        self.world.log.trim('claims', 0, first)

    def _pick_vm(self) -> Vm:
        return self.rng.choice(self.world.vms)

    def _reset_later(self, after_s: float, name: str, value: object) -> None:
        self.loop.call_later(after_s, setattr, self.world.log, name, value)

    def _cut(self, a: str, b: str) -> None:
        pair = frozenset((a, b))
        self.world.network.cut.add(pair)
        self.loop.call_later(self.rng.uniform(0.5, 30.0),
                             self.world.network.cut.discard, pair)

    def _replace(self, vm: Vm) -> None:
        if vm in self.world.vms:
            vm.runtime.halt()
            # Deferred, so that the new process does not start in the middle of
            # a step of the old one.
            self.loop.call_soon(self._start_replacement, vm)

    def _start_replacement(self, vm: Vm) -> None:
        if vm in self.world.vms:
            self.world.replace_vm(vm)

    def _pause_vm(self, vm: Vm) -> None:
        longest = self.rng.choice((SHORT_PAUSE_S, MAX_PAUSE_S))
        vm.runtime.pause()
        self.loop.call_later(self.rng.uniform(0.0, longest), vm.runtime.resume)

    def _at_step(self, vm: Vm, act: Callable[[Vm], None]) -> None:
        kind = self.rng.choice(STEPS)
        vm.runtime.watchers.append(_StepWatcher(vm, kind, act))


class _StepWatcher:
    """Watcher that acts once, before a VM's next event or effect of a kind."""

    def __init__(self, vm: Vm, kind: type[Event | base.Effect],
                 act: Callable[[Vm], None]) -> None:
        self.vm = vm
        self.kind = kind
        self.act = act
        self.done = False

    def __call__(self, step: Event | base.Effect) -> None:
        if self.done or not isinstance(step, self.kind):
            return
        if isinstance(step, fx.AppendLog | ev.LogRead):
            if step.stream is not ev.Stream.CLAIMS:
                return
        self.done = True
        self.act(self.vm)


def _clear_log_faults(log: MemoryLogPort) -> None:
    log.faults = LogFaults()
