"""Faults that the fault matrix injects into a scenario."""

import abc
import asyncio
import functools
from collections.abc import Callable
from typing import Final

import attrs

from plantainridge.ids import EndpointId
from plantainridge.standins.crashing import CRASH_MARK
from plantainridge.standins.feeds import GAP_PROBABILITY
from plantainridge.standins.memory import MemoryMembers
from plantainridge.standins.memory_log import LogFaults, MemoryLogPort
from plantainridge.standins.memory_services import ServiceFaults
from plantainridge.standins.scenario import Scenario
from plantainridge.standins.world import Vm

OUTAGE_S: Final = 20.0
PAUSE_S: Final = 60.0
ANSWER_FAULT_S: Final = 5.0
LOG_DELAY_S: Final = 2.0
REPLACEMENT_DELAY_S: Final = 2.0
SLOWDOWN: Final = 1_000.0
POISON_TOKENS: Final = 20
POISON_RESEND_S: Final = 1.0


class Fault(abc.ABC):
    """One fault.

    Attributes:
        name: Stable name, used in reports.
        requests_survive: Whether repeatable requests must be answered all the
            same.
    """

    name: str
    requests_survive = True

    @abc.abstractmethod
    def inject(self, scenario: Scenario) -> None:
        """Inject the fault and schedule its end."""

    def inapplicable_reason(self, cycle: str) -> str:
        """Return why the fault cannot affect a cycle, or an empty string."""
        del cycle
        return ''


def _schedule(seconds: float, act: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(seconds, act)


class VmKilled(Fault):
    """The subject is killed; a VM with empty state replaces it later."""

    name = 'vm_killed'
    requests_survive = False

    def inject(self, scenario: Scenario) -> None:
        vm = scenario.subject
        scenario.world.kill_vm(vm)
        _schedule(
            REPLACEMENT_DELAY_S,
            lambda: _discard(vm in scenario.world.vms and scenario.replace(vm)))


class VmPaused(Fault):
    """The subject is paused for longer than any lease."""

    name = 'vm_paused_past_its_lease'

    def inject(self, scenario: Scenario) -> None:
        vm = scenario.subject
        now = vm.runtime.loop.time()
        vm.runtime.pause()
        scenario.oracle.exempt(vm.name, now + PAUSE_S)
        _schedule(PAUSE_S, vm.runtime.resume)


class LogDown(Fault):
    """The log is unavailable for a while."""

    name = 'log_down'

    def inject(self, scenario: Scenario) -> None:
        scenario.world.log.down = True
        _exempt_all(scenario, OUTAGE_S)

        def end() -> None:
            scenario.world.log.down = False

        _schedule(OUTAGE_S, end)


class LogSlow(Fault):
    """Every call to the log is delayed by seconds for a while."""

    name = 'log_slow'

    def inject(self, scenario: Scenario) -> None:
        scenario.world.log.slow_s = LOG_DELAY_S
        _exempt_all(scenario, OUTAGE_S)

        def end() -> None:
            scenario.world.log.slow_s = 0.0

        _schedule(OUTAGE_S, end)


class AnswerLost(Fault):
    """Answers of the log and of services are lost after the call's effect."""

    name = 'answer_lost_after_effect'

    def inject(self, scenario: Scenario) -> None:
        vm = scenario.subject
        vm.log.faults = LogFaults(lose_answer=1.0)
        vm.services.faults = ServiceFaults(lose_answer=1.0)

        def end() -> None:
            vm.log.faults = LogFaults()
            vm.services.faults = ServiceFaults()

        _schedule(ANSWER_FAULT_S, end)


class AppendDelayed(Fault):
    """Appends fail, and take effect later all the same."""

    name = 'append_takes_effect_late'

    def inject(self, scenario: Scenario) -> None:
        vm = scenario.subject
        vm.log.faults = LogFaults(delay=1.0)

        def end() -> None:
            vm.log.faults = LogFaults()

        _schedule(ANSWER_FAULT_S, end)


class OperatorsRace(Fault):
    """Two operators publish different revisions from the same base."""

    name = 'operators_race'

    def inject(self, scenario: Scenario) -> None:
        base = scenario.oracle.accepted_revision()
        for limit in (17, 19):
            teams = {
                name: attrs.evolve(team, max_running=limit)
                for name, team in scenario.world.config.teams.items()
            }
            scenario.publish(base,
                             attrs.evolve(scenario.world.config, teams=teams))


class DcCutFromOthers(Fault):
    """The subject's data centre is cut off from the other data centres."""

    name = 'dc_cut_from_others'

    def inject(self, scenario: Scenario) -> None:
        world = scenario.world
        pairs: set[frozenset[str]] = {
            frozenset((a.name, b.name))
            for a in world.vms
            for b in world.vms
            if a.state.dc != b.state.dc
        }
        _cut(scenario, pairs)


class DcCutFromPlatform(Fault):
    """The subject's data centre is cut off from the log and the members."""

    name = 'dc_cut_from_platform'

    def inject(self, scenario: Scenario) -> None:
        world = scenario.world
        now = scenario.subject.runtime.loop.time()
        pairs = set()
        for vm in world.vms:
            if vm.state.dc == scenario.subject.state.dc:
                scenario.oracle.exempt(vm.name, now + OUTAGE_S)
                pairs |= {
                    frozenset((vm.name, node))
                    for node in (MemoryLogPort.NODE, MemoryMembers.NODE)
                }
        _cut(scenario, pairs)


class EndpointLeaving(Fault):
    """The membership list announces the endpoint in use as leaving."""

    name = 'endpoint_leaving'

    def inject(self, scenario: Scenario) -> None:
        name = scenario.endpoint or next(iter(scenario.world.engines))
        now = scenario.subject.runtime.loop.time()
        members = scenario.world.members
        members.leaving_endpoints.add(name)
        members.changed()
        # The VMs can know of it only after the membership list's own lag.
        scenario.oracle.record_leaving(name, now + members.lag_s)


class EngineCrashed(Fault):
    """The engine in use crashes and restarts with an empty cache."""

    name = 'engine_crashed'

    def inject(self, scenario: Scenario) -> None:
        engine = scenario.world.engines.get(scenario.endpoint or
                                            EndpointId('e0'))
        if engine is None:
            return
        engine.crash()

        def end() -> None:
            engine.alive = True

        _schedule(REPLACEMENT_DELAY_S, end)

    def inapplicable_reason(self, cycle: str) -> str:
        if cycle == 'marked':
            return 'no engine takes part'
        return ''


class StoreDies(Fault):
    """Every store crashes and restarts empty."""

    name = 'store_dies'

    def inject(self, scenario: Scenario) -> None:
        stores = scenario.world.stores.values()
        for store in stores:
            store.crash()

        def end() -> None:
            for store in stores:
                if not store.alive:
                    store.restart()

        _schedule(OUTAGE_S, end)


class StoreFull(Fault):
    """Stores refuse writes for a while."""

    name = 'store_full'

    def inject(self, scenario: Scenario) -> None:
        stores = scenario.world.stores.values()
        for store in stores:
            store.refuses_writes = True

        def end() -> None:
            for store in stores:
                store.refuses_writes = False

        _schedule(OUTAGE_S, end)


class LinkSlow(Fault):
    """The stores' links run at a thousandth of their rate for a while."""

    name = 'link_slow'

    def inject(self, scenario: Scenario) -> None:
        stores = scenario.world.stores.values()
        for store in stores:
            store.link.slowdown = SLOWDOWN

        def end() -> None:
            for store in stores:
                store.link.slowdown = 1.0

        _schedule(OUTAGE_S, end)


class EventsWithGaps(Fault):
    """Every VM misses all cache events for a while."""

    name = 'events_with_gaps'

    def inject(self, scenario: Scenario) -> None:
        settings = scenario.world.feed_settings
        settings.gap_probability = 1.0

        def end() -> None:
            settings.gap_probability = GAP_PROBABILITY

        _schedule(OUTAGE_S, end)


class PoisonRequest(Fault):
    """A request arrives that crashes each engine that runs it."""

    name = 'poison_request'

    def inject(self, scenario: Scenario) -> None:
        poison = f'{CRASH_MARK} {scenario.loop_step_count}'
        scenario.world.call_model(scenario.subject, poison, POISON_TOKENS)
        # The caller resends it through every other VM.
        for number, vm in enumerate(scenario.peers(), start=1):
            _schedule(number * POISON_RESEND_S,
                      functools.partial(_resend_poison, scenario, vm, poison))


def _resend_poison(scenario: Scenario, vm: Vm, poison: str) -> None:
    if not vm.runtime.halted:
        scenario.world.call_model(vm, poison, POISON_TOKENS)


FAULTS: Final[tuple[type[Fault],
                    ...]] = (VmKilled, VmPaused, LogDown, LogSlow, AnswerLost,
                             AppendDelayed, OperatorsRace, DcCutFromOthers,
                             DcCutFromPlatform, EndpointLeaving, EngineCrashed,
                             StoreDies, StoreFull, LinkSlow, EventsWithGaps,
                             PoisonRequest)


def _cut(scenario: Scenario, pairs: set[frozenset[str]]) -> None:
    network = scenario.world.network
    network.cut |= pairs

    def end() -> None:
        network.cut -= pairs

    _schedule(OUTAGE_S, end)


def _exempt_all(scenario: Scenario, seconds: float) -> None:
    now = scenario.subject.runtime.loop.time()
    for vm in scenario.world.vms:
        scenario.oracle.exempt(vm.name, now + seconds)


def _discard(_: object) -> None:
    """Ignore a value, so that a lambda returns None."""
