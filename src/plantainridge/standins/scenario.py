"""Scenario of the fault matrix: a world in which faults hit chosen steps."""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from plantainridge import config
from plantainridge import effects as fx
from plantainridge.ids import DcId, EndpointId
from plantainridge.loop import effects as loop_fx
from plantainridge.loop.events import Event
from plantainridge.refusals import RanState
from plantainridge.standins import world as worlds
from plantainridge.standins.oracle import Oracle
from plantainridge.standins.world import Vm, World

DCS: Final = (DcId('neihu'), DcId('banqiao'))
VMS: Final = 4
ENGINES: Final = 3
START_S: Final = 15.0

LoopStep = Event | loop_fx.Effect


class Scenario:
    """World and oracle in which one cell of the fault matrix runs.

    Attributes:
        subject: The VM whose events and effects trigger the faults.
        endpoint: Endpoint that the subject last sent work to.
        loop_step_count: Number of the subject's events and effects so far.
    """

    def __init__(self, seed: int) -> None:
        self.world = World(VMS, ENGINES, seed, DCS)
        self.oracle = Oracle(self.world)
        self.subject = self.world.vms[0]
        self.endpoint: EndpointId | None = None
        self.loop_step_count = 0
        self._triggers: list[_Trigger] = []
        self.follow(self.subject)

    def follow(self, vm: Vm) -> None:
        """Make a VM the subject."""
        self.subject = vm
        vm.runtime.watchers.append(
            lambda loop_step: self._on_step(vm, loop_step))

    def act_on_nth(self, matches: Callable[[LoopStep], bool], nth: int,
                   act: Callable[[], None]) -> None:
        """Call `act` at the nth matching event or effect of the subject."""
        self._triggers.append(_Trigger(matches, nth, act))

    def replace(self, vm: Vm) -> Vm:
        """Replace a VM by one with empty state, watched by the oracle."""
        replacement = self.world.replace_vm(vm)
        self.oracle.watch(replacement)
        if vm is self.subject:
            self.follow(replacement)
        return replacement

    def publish(self, base: int, wanted: config.Config) -> int:
        """Publish a revision, record it in the oracle and return its offset."""
        now = asyncio.get_running_loop().time()
        offset = self.world.publish(base, wanted)
        self.oracle.record_published(offset, base, now)
        if self.oracle.accepted_revision() == offset:
            self.world.config = wanted
        return offset

    def peers(self) -> list[Vm]:
        """List the VMs other than the subject."""
        return [vm for vm in self.world.vms if vm is not self.subject]

    async def settle(self, seconds: float) -> None:
        """End every fault, replace halted VMs and let the world settle."""
        self._triggers.clear()
        for endpoint in self.world.members.leaving_endpoints:
            self.oracle.leaving_since.pop(endpoint, None)
        self.world.end_faults()
        # VMs with a pending stop request may exit only during the first half.
        for _ in range(2):
            for vm in list(self.world.vms):
                if vm.runtime.halted:
                    self.replace(vm)
            await asyncio.sleep(seconds / 2)

    def _on_step(self, vm: Vm, loop_step: LoopStep) -> None:
        if vm is not self.subject:
            return
        self.loop_step_count += 1
        if isinstance(loop_step, (fx.StartAttempt, fx.CallService)):
            self.endpoint = loop_step.endpoint
        for trigger in list(self._triggers):
            if not trigger.matches(loop_step):
                continue
            trigger.nth -= 1
            if trigger.nth == 0:
                self._triggers.remove(trigger)
                trigger.act()


@attrs.define
class _Trigger:
    matches: Callable[[LoopStep], bool]
    nth: int
    act: Callable[[], None]


async def resend_until_final(scenario: Scenario, key: str, tries: int,
                             pause_s: float) -> None:
    """Call the ledger through one VM after another until a final answer.

    The caller resends only after a timeout or a `not_run` refusal.
    """
    for number in range(tries):
        vm = scenario.world.vms[number % len(scenario.world.vms)]
        if vm.runtime.halted:
            await asyncio.sleep(pause_s)
            continue
        reply = scenario.world.call_service(vm,
                                            worlds.LEDGER,
                                            key,
                                            resend=number > 0)
        try:
            await asyncio.wait_for(reply.done.wait(), pause_s)
        except TimeoutError:
            continue
        refusal = reply.refusal
        if refusal is None or refusal.ran is not RanState.NOT_RUN:
            return
        await asyncio.sleep(pause_s)
