"""Faults of the brief's list, each as something that strikes a scene."""

import abc
import asyncio
import functools
from collections.abc import Callable
from typing import Final

import attrs

from plantainridge.ids import EndpointId
from plantainridge.standins.crashing import CRASH_MARK
from plantainridge.standins.feeds import GAP_CHANCE
from plantainridge.standins.memory import MemoryMembers
from plantainridge.standins.memory_log import LogFaults, MemoryLogPort
from plantainridge.standins.memory_services import ServiceFaults
from plantainridge.standins.scene import Scene
from plantainridge.standins.world import Vm

OUTAGE_S: Final = 20.0
PAUSE_S: Final = 60.0
LOST_ANSWERS_S: Final = 5.0
SLOW_LOG_S: Final = 2.0
REPLACED_AFTER_S: Final = 2.0
SLOWDOWN: Final = 1_000.0
POISON_TOKENS: Final = 20
POISON_RESEND_S: Final = 1.0


class Fault(abc.ABC):
    """One fault.

    Attributes:
        name: Stable, for reports.
        spares_requests: Whether a repeatable request must outlive it.
    """

    name: str
    spares_requests = True

    @abc.abstractmethod
    def strike(self, scene: Scene) -> None:
        """Brings the fault about, and sees to its end."""

    def applies(self, cycle: str) -> str:
        """Returns why the fault cannot touch a life cycle, or nothing."""
        del cycle
        return ''


def _later(seconds: float, act: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(seconds, act)


class VmKilled(Fault):
    """The subject dies; an empty VM takes its name after a while."""

    name = 'vm_killed'
    spares_requests = False

    def strike(self, scene: Scene) -> None:
        vm = scene.subject
        scene.world.kill_vm(vm)
        _later(REPLACED_AFTER_S,
               lambda: _drop(vm in scene.world.vms and scene.replace(vm)))


class VmPaused(Fault):
    """The subject stands still for longer than any lease."""

    name = 'vm_paused_past_its_lease'

    def strike(self, scene: Scene) -> None:
        vm = scene.subject
        now = vm.runtime.loop.time()
        vm.runtime.pause()
        scene.oracle.excuse(vm.name, now + PAUSE_S)
        _later(PAUSE_S, vm.runtime.resume)


class LogDown(Fault):
    """The log is out for a while."""

    name = 'log_down'

    def strike(self, scene: Scene) -> None:
        scene.world.log.down = True
        _excuse_all(scene, OUTAGE_S)

        def end() -> None:
            scene.world.log.down = False

        _later(OUTAGE_S, end)


class LogSlow(Fault):
    """Each call of the log takes seconds for a while."""

    name = 'log_slow'

    def strike(self, scene: Scene) -> None:
        scene.world.log.slow_s = SLOW_LOG_S
        _excuse_all(scene, OUTAGE_S)

        def end() -> None:
            scene.world.log.slow_s = 0.0

        _later(OUTAGE_S, end)


class AnswerLost(Fault):
    """Answers of the log and of services are lost after they took effect."""

    name = 'answer_lost_after_effect'

    def strike(self, scene: Scene) -> None:
        vm = scene.subject
        vm.log.faults = LogFaults(lose_answer=1.0)
        vm.services.faults = ServiceFaults(lose_answer=1.0)

        def end() -> None:
            vm.log.faults = LogFaults()
            vm.services.faults = ServiceFaults()

        _later(LOST_ANSWERS_S, end)


class AppendDelayed(Fault):
    """Appends fail, and take effect later all the same."""

    name = 'append_takes_effect_late'

    def strike(self, scene: Scene) -> None:
        vm = scene.subject
        vm.log.faults = LogFaults(delay=1.0)

        def end() -> None:
            vm.log.faults = LogFaults()

        _later(LOST_ANSWERS_S, end)


class OperatorsRace(Fault):
    """Two operators publish different revisions from the same base."""

    name = 'operators_race'

    def strike(self, scene: Scene) -> None:
        base = scene.oracle.accepted()
        for limit in (17, 19):
            teams = {
                name: attrs.evolve(team, max_running=limit)
                for name, team in scene.world.config.teams.items()
            }
            scene.publish(base, attrs.evolve(scene.world.config, teams=teams))


class DcCutFromOthers(Fault):
    """The subject's data centre loses the other data centres."""

    name = 'dc_cut_from_others'

    def strike(self, scene: Scene) -> None:
        world = scene.world
        pairs: set[frozenset[str]] = {
            frozenset((a.name, b.name))
            for a in world.vms
            for b in world.vms
            if a.state.dc != b.state.dc
        }
        _cut(scene, pairs)


class DcCutFromPlatform(Fault):
    """The subject's data centre loses the log and the membership list."""

    name = 'dc_cut_from_platform'

    def strike(self, scene: Scene) -> None:
        world = scene.world
        now = scene.subject.runtime.loop.time()
        pairs = set()
        for vm in world.vms:
            if vm.state.dc == scene.subject.state.dc:
                scene.oracle.excuse(vm.name, now + OUTAGE_S)
                pairs |= {
                    frozenset((vm.name, node))
                    for node in (MemoryLogPort.NODE, MemoryMembers.NODE)
                }
        _cut(scene, pairs)


class EndpointLeaving(Fault):
    """The endpoint in use is said to leave by the membership list."""

    name = 'endpoint_leaving'

    def strike(self, scene: Scene) -> None:
        name = scene.endpoint or next(iter(scene.world.engines))
        now = scene.subject.runtime.loop.time()
        members = scene.world.members
        members.leaving_endpoints.add(name)
        members.changed()
        # The list's own lag is the platform's.
        scene.oracle.note_leaving(name, now + members.lag_s)


class EngineCrashed(Fault):
    """The engine in use dies and comes back empty."""

    name = 'engine_crashed'

    def strike(self, scene: Scene) -> None:
        engine = scene.world.engines.get(scene.endpoint or EndpointId('e0'))
        if engine is None:
            return
        engine.crash()

        def end() -> None:
            engine.alive = True

        _later(REPLACED_AFTER_S, end)

    def applies(self, cycle: str) -> str:
        if cycle == 'marked':
            return 'no engine takes part'
        return ''


class StoreDies(Fault):
    """Every store dies and comes back empty."""

    name = 'store_dies'

    def strike(self, scene: Scene) -> None:
        stores = scene.world.stores.values()
        for store in stores:
            store.die()

        def end() -> None:
            for store in stores:
                if not store.alive:
                    store.restart()

        _later(OUTAGE_S, end)


class StoreFull(Fault):
    """Stores take no writes for a while."""

    name = 'store_full'

    def strike(self, scene: Scene) -> None:
        stores = scene.world.stores.values()
        for store in stores:
            store.refuses_writes = True

        def end() -> None:
            for store in stores:
                store.refuses_writes = False

        _later(OUTAGE_S, end)


class LinkSlow(Fault):
    """The stores' links slow down to a thousandth."""

    name = 'link_slow'

    def strike(self, scene: Scene) -> None:
        stores = scene.world.stores.values()
        for store in stores:
            store.link.slowdown = SLOWDOWN

        def end() -> None:
            for store in stores:
                store.link.slowdown = 1.0

        _later(OUTAGE_S, end)


class EventsWithGaps(Fault):
    """Every cache event is missed for a while."""

    name = 'events_with_gaps'

    def strike(self, scene: Scene) -> None:
        settings = scene.world.feed_settings
        settings.gap_chance = 1.0

        def end() -> None:
            settings.gap_chance = GAP_CHANCE

        _later(OUTAGE_S, end)


class PoisonRequest(Fault):
    """A request comes that crashes each engine that runs it."""

    name = 'poison_request'

    def strike(self, scene: Scene) -> None:
        poison = f'{CRASH_MARK} {scene.signs}'
        scene.world.ask_model(scene.subject, poison, POISON_TOKENS)
        # The caller sends it again by every other VM.
        for number, vm in enumerate(scene.peers(), start=1):
            _later(number * POISON_RESEND_S,
                   functools.partial(_resend_poison, scene, vm, poison))


def _resend_poison(scene: Scene, vm: Vm, poison: str) -> None:
    if not vm.runtime.halted:
        scene.world.ask_model(vm, poison, POISON_TOKENS)


FAULTS: Final[tuple[type[Fault],
                    ...]] = (VmKilled, VmPaused, LogDown, LogSlow, AnswerLost,
                             AppendDelayed, OperatorsRace, DcCutFromOthers,
                             DcCutFromPlatform, EndpointLeaving, EngineCrashed,
                             StoreDies, StoreFull, LinkSlow, EventsWithGaps,
                             PoisonRequest)


def _cut(scene: Scene, pairs: set[frozenset[str]]) -> None:
    network = scene.world.network
    network.cut |= pairs

    def end() -> None:
        network.cut -= pairs

    _later(OUTAGE_S, end)


def _excuse_all(scene: Scene, seconds: float) -> None:
    now = scene.subject.runtime.loop.time()
    for vm in scene.world.vms:
        scene.oracle.excuse(vm.name, now + seconds)


def _drop(_: object) -> None:
    """Ignores a value, for use as a statement in a lambda."""
