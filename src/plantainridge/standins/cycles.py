"""Life cycles of the fault matrix, with their steps."""

import abc
import asyncio
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge import leases
from plantainridge.events import Stream
from plantainridge.ids import EndpointId, WeightVersion
from plantainridge.loop import effects as base
from plantainridge.loop.events import PeerMessageReceived
from plantainridge.orders import EngineReported, OrderEnded, OrderEngine
from plantainridge.standins import world as worlds
from plantainridge.standins.scenario import (LoopStep, Scenario,
                                             resend_until_final)

TOKENS: Final = 60
MID_STREAM: Final = 30
RESENDS: Final = 8
RESEND_PAUSE_S: Final = 12.0
RUN_S: Final = 90.0
CONTEXTS: Final = 8
CONTEXT_WORDS: Final = 1_800
VISITS: Final = 3
PROMPT: Final = 'collection manifest ' * 500


@attrs.frozen
class Step:
    """Step of a life cycle: the nth matching event or effect of the subject."""

    name: str
    matches: Callable[[LoopStep], bool]
    nth: int = 1


def _is(*kinds: type[LoopStep]) -> Callable[[LoopStep], bool]:
    return lambda loop_step: isinstance(loop_step, kinds)


def _reads(stream: Stream) -> Callable[[LoopStep], bool]:
    return lambda loop_step: (isinstance(loop_step, ev.LogRead) and loop_step.
                              stream is stream and bool(loop_step.records))


def _appends(stream: Stream) -> Callable[[LoopStep], bool]:
    return lambda loop_step: (isinstance(loop_step, fx.AppendLog) and loop_step.
                              stream is stream)


def _logs(event: str) -> Callable[[LoopStep], bool]:
    return lambda loop_step: isinstance(loop_step, base.LogLine
                                       ) and loop_step.event == event


def _exports(loop_step: LoopStep) -> bool:
    return isinstance(loop_step, fx.StartTransfer) and bool(loop_step.blocks)


def _fetches(loop_step: LoopStep) -> bool:
    return isinstance(loop_step, fx.StartTransfer) and bool(loop_step.refs)


class Cycle(abc.ABC):
    """One life cycle.

    Attributes:
        name: Stable name, used in reports.
        steps: Steps at which a fault can be injected, in order.
    """

    name: str
    steps: tuple[Step, ...]

    @abc.abstractmethod
    async def run(self, scenario: Scenario) -> None:
        """Drive the life cycle as callers and operators do."""

    def unfinished_requests(self, scenario: Scenario) -> Iterator[str]:
        """Yield a description of each request that got no complete answer."""
        del scenario
        yield from ()


class RequestCycle(Cycle):
    """A model request from its arrival to its last token."""

    name = 'request'
    steps = (
        Step('called', _is(ev.ModelCalled)),
        Step('dispatched', _is(fx.StartAttempt)),
        Step('first_token', _is(ev.TokensReceived)),
        Step('mid_stream', _is(ev.TokensReceived), MID_STREAM),
        Step('ended', _is(ev.AttemptEnded)),
        Step('answered', _is(fx.FinishAnswer)),
    )

    async def run(self, scenario: Scenario) -> None:
        for vm in scenario.peers():
            scenario.world.call_model(vm, PROMPT, TOKENS)
        scenario.world.call_model(scenario.subject, PROMPT, TOKENS)
        await asyncio.sleep(RUN_S)

    def unfinished_requests(self, scenario: Scenario) -> Iterator[str]:
        for sent in scenario.world.sent_requests:
            event = sent.event
            if not isinstance(event, ev.ModelCalled):
                continue
            if event.prompt.text == PROMPT and sent.reply.ended is None:
                yield f'{event.request} ended with {sent.reply.refusal}'


class RunOnceCycle(Cycle):
    """A run-once call and its resends through other VMs."""

    name = 'marked'
    steps = (
        Step('called', _is(ev.ServiceCalled)),
        Step('claim_appending', _appends(Stream.CLAIMS)),
        Step('claim_appended', _is(ev.AppendEnded)),
        Step('claim_read', _reads(Stream.CLAIMS)),
        Step('dispatched', _is(fx.CallService)),
        Step('service_answered', _is(ev.ServiceAnswered)),
        Step('answered', _is(fx.SendServiceAnswer)),
        Step('outcome_appending', _appends(Stream.CLAIMS), 2),
        Step('outcome_appended', _is(ev.AppendEnded), 2),
    )

    async def run(self, scenario: Scenario) -> None:
        key = scenario.world.new_key()
        await resend_until_final(scenario, key, RESENDS, RESEND_PAUSE_S)
        # A caller without a final answer, or in doubt, resends the call.
        await resend_until_final(scenario, key, 2, RESEND_PAUSE_S)


class ConfigCycle(Cycle):
    """A revision from its publication until it is in force."""

    name = 'config_change'
    steps = (
        Step('read', _reads(Stream.CONFIG)),
        Step('in_force', _logs('config_in_force')),
        Step(
            'reading_on', lambda loop_step: isinstance(loop_step, fx.ReadLog)
            and loop_step.stream is Stream.CONFIG),
    )

    async def run(self, scenario: Scenario) -> None:
        for limit in (21, 22):
            teams = {
                name: attrs.evolve(team, max_running=limit)
                for name, team in scenario.world.config.teams.items()
            }
            scenario.publish(scenario.oracle.accepted_revision(),
                             attrs.evolve(scenario.world.config, teams=teams))
            await asyncio.sleep(RUN_S / 2)


class VmStartCycle(Cycle):
    """A VM with empty state from its start to its first answer."""

    name = 'vm_start'
    steps = (
        Step('first_read', _is(fx.ReadLog)),
        Step('records_read', _reads(Stream.CONFIG)),
        Step('in_force', _logs('config_in_force')),
        Step('peer_heard', _is(PeerMessageReceived)),
        Step('first_call', _is(ev.ModelCalled)),
    )

    async def run(self, scenario: Scenario) -> None:
        scenario.replace(scenario.subject)
        await asyncio.sleep(RUN_S / 3)
        if not scenario.subject.runtime.halted:
            scenario.world.call_model(scenario.subject, PROMPT, TOKENS)
        await asyncio.sleep(RUN_S)


class VmStopCycle(Cycle):
    """A graceful shutdown with a stream and a run-once call in progress."""

    name = 'vm_stop'
    steps = (
        Step('asked', _is(ev.StopRequested)),
        Step('stream_ended', _is(ev.AttemptEnded)),
        Step('exit', _is(base.Exit)),
    )

    async def run(self, scenario: Scenario) -> None:
        world = scenario.world
        subject = scenario.subject
        world.call_model(subject, PROMPT, TOKENS)
        world.call_service(subject, worlds.LEDGER, world.new_key())
        await asyncio.sleep(0.5)
        world.stop_callback(subject)()
        await asyncio.sleep(RUN_S)


class DrainCycle(Cycle):
    """An endpoint marked as leaving in the sheet while it streams answers."""

    name = 'drain'
    steps = (
        Step('dispatched', _is(fx.StartAttempt)),
        Step('revision_read', _reads(Stream.CONFIG)),
        Step('in_force', _logs('config_in_force')),
        Step('stream_ended', _is(ev.AttemptEnded)),
    )

    async def run(self, scenario: Scenario) -> None:
        world = scenario.world
        world.call_model(scenario.subject, PROMPT, TOKENS)
        await asyncio.sleep(0.5)
        name = scenario.endpoint or EndpointId('e0')
        row = attrs.evolve(world.config.endpoints[name], leaving=True)
        endpoints = {**world.config.endpoints, name: row}
        scenario.publish(scenario.oracle.accepted_revision(),
                         attrs.evolve(world.config, endpoints=endpoints))
        scenario.oracle.record_leaving(name,
                                       scenario.subject.runtime.loop.time())
        for _ in range(20):
            await asyncio.sleep(1.0)
            for vm in world.vms:
                if not vm.runtime.halted:
                    world.call_model(vm, PROMPT, 4)
        await asyncio.sleep(RUN_S)


class TransferCycle(Cycle):
    """Returning contexts that exceed the capacity of the engines' caches."""

    name = 'transfer'
    steps = (
        Step('export_started', _exports),
        Step('export_ended', _is(ev.TransferEnded)),
        Step('fetch_started', _fetches),
        Step('fetch_dispatched', _is(fx.StartAttempt), CONTEXTS + 1),
        Step('cache_event', _is(ev.CacheChanged)),
    )

    async def run(self, scenario: Scenario) -> None:
        for _ in range(VISITS):
            for number in range(CONTEXTS):
                if not scenario.subject.runtime.halted:
                    text = f'context {number:04} ' * CONTEXT_WORDS
                    scenario.world.call_model(scenario.subject, text, 2)
                await asyncio.sleep(2.0)
            await asyncio.sleep(RUN_S / 3)


class SwapCycle(Cycle):
    """A new weight version, from its revision to the engines' reports."""

    name = 'weight_swap'
    steps = (
        Step('in_force', _logs('config_in_force')),
        Step('ordered', _is(OrderEngine)),
        Step('order_ended', _is(OrderEnded)),
        Step('second_order', _is(OrderEngine), 2),
        Step('reported', _is(EngineReported), 2),
    )

    async def run(self, scenario: Scenario) -> None:
        world = scenario.world
        now = scenario.subject.runtime.loop.time()
        for vm in world.vms:
            if leases.fence(vm.state, vm.state.dc, now) != leases.NO_FENCE:
                if vm.state.dc == worlds.DC:
                    scenario.follow(vm)
        model = attrs.evolve(world.config.models[worlds.MODEL],
                             version=WeightVersion('v2'))
        scenario.publish(scenario.oracle.accepted_revision(),
                         attrs.evolve(world.config, models={model.id: model}))
        for _ in range(20):
            for vm in world.vms:
                if not vm.runtime.halted:
                    world.call_model(vm, PROMPT, TOKENS)
            await asyncio.sleep(1.0)
        await asyncio.sleep(RUN_S)


CYCLES: Final[tuple[type[Cycle],
                    ...]] = (RequestCycle, RunOnceCycle, ConfigCycle,
                             VmStartCycle, VmStopCycle, DrainCycle,
                             TransferCycle, SwapCycle)
