"""Bench of planned VM stops, a killed VM and leaving endpoints, under load."""

import asyncio
import random
from typing import Any, Final

import attrs
import click

from plantainridge import benches, virtual_time
from plantainridge.bench_overload import generate_requests
from plantainridge.ids import EndpointId
from plantainridge.refusals import RanState, Reason
from plantainridge.standins.engine import EngineModel, Job
from plantainridge.standins.memory import Reply
from plantainridge.standins.traffic import (Platform, RequestSpec,
                                            config_with_teams, new_team)
from plantainridge.standins.world import VERSION, Vm, World

VMS: Final = 7
ENGINES: Final = 5
WARM_UP_S: Final = 8.0
LOAD_RPS: Final = 12.0
SETTLE_S: Final = 40.0
POLL_INTERVAL_S: Final = 0.1
# Pause between two planned stops.
STOP_INTERVAL_S: Final = 2.0
# Index of the VM that is killed instead of stopped.
KILLED_VM_INDEX: Final = 3
# Time after which no new job may reach a leaving endpoint.
LEAVE_LIMIT_S: Final = 3.0
LEAVES_BY_SHEET: Final = EndpointId('e0')
LEAVES_BY_MEMBER_LIST: Final = EndpointId('e1')
RESENDS: Final = 10
RESEND_DELAY_S: Final = 0.5


class RecordingEngine(EngineModel):
    """Engine that records when each job was submitted.

    Attributes:
        submitted_at: Loop times of submissions, in s.
    """

    def __init__(self, name: EndpointId) -> None:
        super().__init__(name, VERSION)
        self.submitted_at: list[float] = []

    def submit(self, job: Job) -> None:
        self.submitted_at.append(asyncio.get_running_loop().time())
        super().submit(job)


@attrs.frozen
class DrainFigures:
    """Figures of one run.

    Attributes:
        late_dispatches: Number of jobs that reached an endpoint later than
            `LEAVE_LIMIT_S` after it was marked as leaving.
        cut_requests: Number of requests on stopped VMs without a complete
            answer that may have run, got no final reply, or were refused
            because the VM was stopping or not ready.
        lost_requests: Number of requests without a complete answer after all
            resends.
        replaced_vms: Number of replaced VMs.
    """

    late_dispatches: int
    cut_requests: int
    lost_requests: int
    replaced_vms: int


class _Run:
    """Run of a load on a new world while its VMs are replaced one by one."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.team = new_team('crews', first_token_s=5.0)
        self.world = World(VMS,
                           ENGINES,
                           seed,
                           initial_config=config_with_teams([self.team],
                                                            ENGINES))
        self.engines = [RecordingEngine(name) for name in self.world.engines]
        self.world.engines.update({each.name: each for each in self.engines})
        self.platform = Platform(self.world, self.rng.getrandbits(32))
        self.callers: set[asyncio.Task[bool]] = set()
        self.sent: list[tuple[Vm, Reply]] = []
        self.stopped: list[Vm] = []
        self.leaving_since: dict[EndpointId, float] = {}
        self.replaced = 0

    async def run(self) -> DrainFigures:
        """Replace every VM, wait for all requests and return the figures."""
        await asyncio.sleep(WARM_UP_S)
        send_task = asyncio.create_task(self._send_requests())
        for number in range(VMS):
            await asyncio.sleep(STOP_INTERVAL_S)
            await self._replace_vm(self.world.vms[number],
                                   number == KILLED_VM_INDEX)
            self._start_leaving(number)
        await asyncio.sleep(STOP_INTERVAL_S + LEAVE_LIMIT_S)
        send_task.cancel()
        completed = await asyncio.gather(*self.callers)
        await asyncio.sleep(SETTLE_S)
        self.platform.stop()
        for vm in self.world.vms:
            vm.runtime.halt()
        return DrainFigures(late_dispatches=self._count_late_dispatches(),
                            cut_requests=sum(
                                _is_cut(reply)
                                for vm, reply in self.sent
                                if vm in self.stopped),
                            lost_requests=completed.count(False),
                            replaced_vms=self.replaced)

    async def _replace_vm(self, vm: Vm, kill: bool) -> None:
        if kill:
            self.world.kill_vm(vm)
        else:
            self.stopped.append(vm)
            self.world.stop_callback(vm)()
            while not vm.exited:
                await asyncio.sleep(POLL_INTERVAL_S)
        replacement = self.world.replace_vm(vm)
        while not replacement.state.ready:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.replaced += 1

    def _start_leaving(self, number: int) -> None:
        """Mark one endpoint as leaving in the sheet, one in the member list."""
        now = asyncio.get_running_loop().time()
        if number == 1:
            config = self.world.config
            leaving = attrs.evolve(config.endpoints[LEAVES_BY_SHEET],
                                   leaving=True)
            self.world.publish(
                0,
                attrs.evolve(config,
                             endpoints={
                                 **config.endpoints, LEAVES_BY_SHEET: leaving
                             }))
            self.leaving_since[LEAVES_BY_SHEET] = now
        if number == 4:
            self.world.members.leaving_endpoints.add(LEAVES_BY_MEMBER_LIST)
            self.world.members.changed()
            # The member list shows the change only after its lag.
            self.leaving_since[
                LEAVES_BY_MEMBER_LIST] = now + self.world.members.lag_s

    def _count_late_dispatches(self) -> int:
        return sum(at > self.leaving_since[engine.name] + LEAVE_LIMIT_S
                   for engine in self.engines
                   if engine.name in self.leaving_since
                   for at in engine.submitted_at)

    async def _send_requests(self) -> None:
        specs = generate_requests(self.team, self.rng)
        while True:
            await asyncio.sleep(self.rng.expovariate(LOAD_RPS))
            task = asyncio.create_task(self._send_until_complete(next(specs)))
            self.callers.add(task)

    async def _send_until_complete(self, spec: RequestSpec) -> bool:
        """Send a request until its answer is complete; return success."""
        for _ in range(RESENDS):
            vm = self.platform.pick()
            if vm is None or vm.runtime.halted:
                await asyncio.sleep(RESEND_DELAY_S)
                continue
            reply = self.world.call_model(vm, spec.text, spec.max_tokens,
                                          spec.team)
            self.sent.append((vm, reply))
            while not reply.final_count and not vm.runtime.halted:
                await asyncio.sleep(POLL_INTERVAL_S)
            if reply.ended is not None:
                return True
            await asyncio.sleep(RESEND_DELAY_S)
        return False


def _is_cut(reply: Reply) -> bool:
    if reply.ended is not None:
        return False
    refusal = reply.refusal
    return (refusal is None or refusal.ran is not RanState.NOT_RUN or
            refusal.reason in (Reason.STOPPING, Reason.NOT_READY))


def run(seed: int) -> dict[str, Any]:
    """Run the bench and return its figures.

    Args:
        seed: Seed of all random draws.
    """
    figures = virtual_time.run(_start(seed))
    missed_targets = [
        f'{name}: {value}' for name, value in attrs.asdict(figures).items()
        if name != 'replaced_vms' and value
    ]
    if figures.replaced_vms != VMS:
        missed_targets.append(f'replaced_vms: {figures.replaced_vms}')
    return {
        'bench': 'drain',
        'seed': seed,
        'figures': attrs.asdict(figures),
        'violations': missed_targets,
    }


async def _start(seed: int) -> DrainFigures:
    return await _Run(seed).run()


@click.command()
@benches.options
def command(seed: int) -> dict[str, Any]:
    """Replace every VM and mark endpoints as leaving, under load."""
    return run(seed)
