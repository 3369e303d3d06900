"""Life cycles of the fault matrix and the steps that each goes through."""

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
from plantainridge.standins.scene import Scene, Sign, resend_until_final

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
    """A point of a life cycle: the nth event or effect that matches."""

    name: str
    matches: Callable[[Sign], bool]
    nth: int = 1


def _is(*kinds: type[Sign]) -> Callable[[Sign], bool]:
    return lambda sign: isinstance(sign, kinds)


def _reads(stream: Stream) -> Callable[[Sign], bool]:
    return lambda sign: (isinstance(sign, ev.LogRead) and sign.stream is stream
                         and bool(sign.records))


def _appends(stream: Stream) -> Callable[[Sign], bool]:
    return lambda sign: (isinstance(sign, fx.AppendLog) and sign.stream is
                         stream)


def _logs(event: str) -> Callable[[Sign], bool]:
    return lambda sign: isinstance(sign, base.LogLine) and sign.event == event


def _exports(sign: Sign) -> bool:
    return isinstance(sign, fx.StartTransfer) and bool(sign.blocks)


def _fetches(sign: Sign) -> bool:
    return isinstance(sign, fx.StartTransfer) and bool(sign.refs)


class Cycle(abc.ABC):
    """One life cycle.

    Attributes:
        name: Stable, for reports.
        steps: Points at which a fault can strike, in order.
    """

    name: str
    steps: tuple[Step, ...]

    @abc.abstractmethod
    async def run(self, scene: Scene) -> None:
        """Goes through the life cycle; the caller's part of it."""

    def lost(self, scene: Scene) -> Iterator[str]:
        """Yields requests that should have ended whole and did not."""
        del scene
        yield from ()


class RequestCycle(Cycle):
    """A model request from its call to its end."""

    name = 'request'
    steps = (
        Step('called', _is(ev.ModelCalled)),
        Step('dispatched', _is(fx.StartAttempt)),
        Step('first_token', _is(ev.TokensReceived)),
        Step('mid_stream', _is(ev.TokensReceived), MID_STREAM),
        Step('ended', _is(ev.AttemptEnded)),
        Step('answered', _is(fx.FinishAnswer)),
    )

    async def run(self, scene: Scene) -> None:
        for vm in scene.peers():
            scene.world.ask_model(vm, PROMPT, TOKENS)
        scene.world.ask_model(scene.subject, PROMPT, TOKENS)
        await asyncio.sleep(RUN_S)

    def lost(self, scene: Scene) -> Iterator[str]:
        for ask in scene.world.asks:
            event = ask.event
            if not isinstance(event, ev.ModelCalled):
                continue
            if event.prompt.text == PROMPT and ask.told.ended is None:
                yield f'{event.request} ended with {ask.told.refusal}'


class MarkedCycle(Cycle):
    """A call that must run at most once, and its resends by other VMs."""

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

    async def run(self, scene: Scene) -> None:
        key = scene.world.new_key()
        await resend_until_final(scene, key, RESENDS, RESEND_PAUSE_S)
        # A caller that got no word, or is not sure, sends it once more.
        await resend_until_final(scene, key, 2, RESEND_PAUSE_S)


class ConfigCycle(Cycle):
    """A revision from its publishing to its being in force."""

    name = 'config_change'
    steps = (
        Step('read', _reads(Stream.CONFIG)),
        Step('in_force', _logs('config_in_force')),
        Step(
            'reading_on', lambda sign: isinstance(sign, fx.ReadLog) and sign.
            stream is Stream.CONFIG),
    )

    async def run(self, scene: Scene) -> None:
        for limit in (21, 22):
            teams = {
                name: attrs.evolve(team, max_running=limit)
                for name, team in scene.world.config.teams.items()
            }
            scene.publish(scene.oracle.accepted(),
                          attrs.evolve(scene.world.config, teams=teams))
            await asyncio.sleep(RUN_S / 2)


class VmStartCycle(Cycle):
    """An empty VM from its start to its first answer."""

    name = 'vm_start'
    steps = (
        Step('first_read', _is(fx.ReadLog)),
        Step('records_read', _reads(Stream.CONFIG)),
        Step('in_force', _logs('config_in_force')),
        Step('peer_heard', _is(PeerMessageReceived)),
        Step('first_call', _is(ev.ModelCalled)),
    )

    async def run(self, scene: Scene) -> None:
        scene.replace(scene.subject)
        await asyncio.sleep(RUN_S / 3)
        if not scene.subject.runtime.halted:
            scene.world.ask_model(scene.subject, PROMPT, TOKENS)
        await asyncio.sleep(RUN_S)


class VmStopCycle(Cycle):
    """A graceful shutdown with a stream and a marked call in flight."""

    name = 'vm_stop'
    steps = (
        Step('asked', _is(ev.StopRequested)),
        Step('stream_ended', _is(ev.AttemptEnded)),
        Step('exit', _is(base.Exit)),
    )

    async def run(self, scene: Scene) -> None:
        world = scene.world
        subject = scene.subject
        world.ask_model(subject, PROMPT, TOKENS)
        world.call_service(subject, worlds.LEDGER, world.new_key())
        await asyncio.sleep(0.5)
        world.stopper(subject)()
        await asyncio.sleep(RUN_S)


class DrainCycle(Cycle):
    """An endpoint leaves by the sheet while its streams run."""

    name = 'drain'
    steps = (
        Step('dispatched', _is(fx.StartAttempt)),
        Step('revision_read', _reads(Stream.CONFIG)),
        Step('in_force', _logs('config_in_force')),
        Step('stream_ended', _is(ev.AttemptEnded)),
    )

    async def run(self, scene: Scene) -> None:
        world = scene.world
        world.ask_model(scene.subject, PROMPT, TOKENS)
        await asyncio.sleep(0.5)
        name = scene.endpoint or EndpointId('e0')
        row = attrs.evolve(world.config.endpoints[name], leaving=True)
        endpoints = {**world.config.endpoints, name: row}
        scene.publish(scene.oracle.accepted(),
                      attrs.evolve(world.config, endpoints=endpoints))
        scene.oracle.note_leaving(name, scene.subject.runtime.loop.time())
        for _ in range(20):
            await asyncio.sleep(1.0)
            for vm in world.vms:
                if not vm.runtime.halted:
                    world.ask_model(vm, PROMPT, 4)
        await asyncio.sleep(RUN_S)


class TransferCycle(Cycle):
    """Contexts that do not all fit into caches, and their returns."""

    name = 'transfer'
    steps = (
        Step('export_started', _exports),
        Step('export_ended', _is(ev.TransferEnded)),
        Step('fetch_started', _fetches),
        Step('fetch_dispatched', _is(fx.StartAttempt), CONTEXTS + 1),
        Step('cache_event', _is(ev.CacheChanged)),
    )

    async def run(self, scene: Scene) -> None:
        for _ in range(VISITS):
            for number in range(CONTEXTS):
                if not scene.subject.runtime.halted:
                    text = f'context {number:04} ' * CONTEXT_WORDS
                    scene.world.ask_model(scene.subject, text, 2)
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

    async def run(self, scene: Scene) -> None:
        world = scene.world
        now = scene.subject.runtime.loop.time()
        for vm in world.vms:
            if leases.fence(vm.state, vm.state.dc, now) != leases.NO_FENCE:
                if vm.state.dc == worlds.DC:
                    scene.follow(vm)
        model = attrs.evolve(world.config.models[worlds.MODEL],
                             version=WeightVersion('v2'))
        scene.publish(scene.oracle.accepted(),
                      attrs.evolve(world.config, models={model.id: model}))
        for _ in range(20):
            for vm in world.vms:
                if not vm.runtime.halted:
                    world.ask_model(vm, PROMPT, TOKENS)
            await asyncio.sleep(1.0)
        await asyncio.sleep(RUN_S)


CYCLES: Final[tuple[type[Cycle],
                    ...]] = (RequestCycle, MarkedCycle, ConfigCycle,
                             VmStartCycle, VmStopCycle, DrainCycle,
                             TransferCycle, SwapCycle)
