"""Fixture: gateways of three data centres whose processes start together."""

import random
from collections import Counter
from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import reducer
from plantainridge.gateway.events import View
from plantainridge.gateway.settings import GatewaySettings
from plantainridge.gateway.state import GatewayState
from plantainridge.ids import DcId, Incarnation, VmId
from plantainridge.loop.events import Event
from plantainridge.platform import records
from tests import registry_fleet
from tests.gateway_scene import GatewayScene, settings
from tests.registry_fleet import STEP_S, RegistryFleet

DCS: Final = tuple(DcId(name) for name in ('east', 'middle', 'west'))
LINKS_MBPS: Final = (10.0, 30.0, 100.0)
# Range of the metadata store's latency.
LATENCY_S: Final = (0.004, 0.04)


class StartingScene(GatewayScene):
    """A VM's reducer from the start of its process, without any view."""

    def __init__(self, own: GatewaySettings, now: float) -> None:
        # The base class's constructor loads the views.
        # pylint: disable=super-init-not-called
        self.state = GatewayState(own, Incarnation(f'{own.vm}-life'),
                                  random.Random(own.vm))
        self.now = now
        self.done = []
        self.lines = []
        self.timers = {}
        self.tolerates_errors = False
        self._record(reducer.start(self.state, now))


class StartFleet(RegistryFleet):
    """Reducers of all VMs of a deployment, which start at random times.

    Attributes:
        store_calls: Calls to the metadata store, by kind.
        vm_calls: The same by VM and kind.
    """

    def __init__(self, size: int, spread_s: float, endpoints: int) -> None:
        """Start the VMs.

        Args:
            size: Number of VMs.
            spread_s: Time within which they start, in s.
            endpoints: Number of endpoints, which write entries once a second.
        """
        super().__init__(0)
        self.rng = random.Random(size)
        self.store_calls: Counter[str] = Counter()
        self.vm_calls: Counter[tuple[VmId, str]] = Counter()
        self.spread_s = spread_s
        self.waiting: list[tuple[float, VmId, fx.ReadView]] = []
        self.sequence = 0
        self.names = [f'e{at}' for at in range(endpoints)]
        for name in self.names:
            self.store.append(registry_fleet.entry(name))
        starts = sorted(self.rng.uniform(0.0, spread_s) for _ in range(size))
        self.pending = [(self.now + at, VmId(f'vm{number}'))
                        for number, at in enumerate(starts)]

    def run(self, seconds: float) -> None:
        """Advance the clock, starting VMs and writing endpoints' entries."""
        end = self.now + seconds
        while self.now < end:
            while self.pending and self.pending[0][0] <= self.now:
                self._start(self.pending.pop(0)[1])
            self._write_entries()
            self._answer_waiting()
            super().run(STEP_S)

    def _start(self, name: VmId) -> None:
        number = int(name[2:])
        own = attrs.evolve(settings(name),
                           dc=DCS[number % len(DCS)],
                           link_mbps=LINKS_MBPS[number // 3 % 3])
        self.vms[name] = StartingScene(own, self.now)
        self._starts[name] = 1
        self._execute(name)

    def _write_entries(self) -> None:
        """Append the entries that endpoints write in one step."""
        for name in self.names:
            if self.rng.random() < STEP_S:
                self.sequence += 1
                self.store.append(registry_fleet.entry(name))

    def _answer_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        for end, name, effect in waiting:
            if (len(self.store.logs[effect.view]) > effect.offset or
                    self.now >= end):
                super()._answer(name, effect.view, self._read(effect))
            else:
                self.waiting.append((end, name, effect))

    def _execute(self, name: VmId) -> None:
        for effect in self.vms[name].done:
            kind = _call_kind(effect)
            if kind:
                self.store_calls[kind] += 1
                self.vm_calls[name, kind] += 1
            if isinstance(effect, fx.WriteVmEntry):
                value = records.encode_vm_entry(effect.dc, effect.address,
                                                effect.link_mbps)
                self.store.append(ev.RawRecord(name, value), view=View.VMS)
                self._post_later(self.rng.uniform(*LATENCY_S), name,
                                 ev.VmEntryWritten(None))
            elif isinstance(effect, fx.ReadLease):
                self._post_later(self.rng.uniform(*LATENCY_S), name,
                                 ev.LeaseRead(None, 0, 0))
            elif isinstance(effect, fx.ReadView) and effect.wait_s:
                self.waiting.append((self.now + effect.wait_s, name, effect))
        self.vms[name].done[:] = [
            effect for effect in self.vms[name].done
            if not (isinstance(effect, fx.ReadView) and effect.wait_s)
        ]
        super()._execute(name)

    def _answer(self, vm: VmId, view: View, event: Event) -> None:
        self._post_later(self.rng.uniform(*LATENCY_S), vm, event)


def _call_kind(effect: object) -> str:
    """Return the kind of a call to the metadata store, or ''."""
    if isinstance(effect, fx.LoadView):
        return f'load {effect.view.value}'
    if isinstance(effect, fx.ReadView):
        return f'read {effect.view.value}'
    if isinstance(effect, fx.WriteVmEntry):
        return 'write entry'
    return 'read lease' if isinstance(effect, fx.ReadLease) else ''
