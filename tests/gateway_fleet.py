"""Fixture: gateways of one data centre with simulated KV cache stores."""

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import config, peer_messages, stores
from plantainridge.gateway.events import StoredPart, View
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.http_client import MAX_IDLE_S
from plantainridge.gateway.peer_messages import (Hint, RelayedStore, StoreBatch,
                                                 StoreSnapshotRequest)
from plantainridge.ids import ServiceId, VmId
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event
from tests.gateway_scene import (LOCAL_DC, SERVICES, STORES, GatewayScene,
                                 configuration, endpoint)

STEP_S: Final = 0.01
MESSAGE_DELAY_S: Final = 0.001
ANSWER_DELAY_S: Final = 0.004
# A connection that nobody accepts times out.
CONNECT_TIMEOUT_S: Final = 0.35
# A poll that is answered sooner counts as a probe.
PROBE_S: Final = 0.2


@attrs.define
class FakeStore:
    """A simulated KV cache store with events.

    Attributes:
        complete: Tokens of each complete part.
        events: Parts with their tokens, in the order of the changes.
        epoch: Changes with each restart.
        up: Whether it answers.
    """

    complete: dict[StoredPart, int] = attrs.field(factory=dict)
    events: list[tuple[StoredPart, int]] = attrs.field(factory=list)
    epoch: int = 1
    up: bool = True

    def save(self, part: StoredPart, tokens: int) -> None:
        """Set the tokens of a complete part, 0 to remove it; add its event."""
        self.complete.pop(part, None)
        if tokens:
            self.complete[part] = tokens
        self.events.append((part, tokens))

    def restart(self) -> None:
        """Restart empty."""
        self.complete, self.events = {}, []
        self.epoch += 1


class GatewayFleet:
    """Reducers of one data centre's VMs on one clock.

    Attributes:
        calls: Calls to stores, by type.
        sent_bytes: Bytes of messages, by sending VM.
        sends: Requests sent to engines, with the time in s.
        frees: Calls that free parts, with the time in s.
        pollers: Polls by VM and store.
        quick_polls: Polls that were answered in less than `PROBE_S`.
        connections: Calls to stores that began on a new connection.
        max_idle_s: Idle time up to which a connection is kept, in s.
        deliver: Decides whether a message arrives at a VM.
    """

    def __init__(self,
                 size: int,
                 links: Callable[[int], float],
                 store_count: int = 0,
                 waits: bool = False) -> None:
        """Create the VMs.

        Args:
            size: Number of VMs.
            links: Rate of each VM's link, in Mbit/s.
            store_count: Number of stores; 0 for those of the default
                configuration.
            waits: Whether a store answers a poll only once it has events or
                the poll's time is over.
        """
        self.vms = {
            VmId(f'vm{at}'): GatewayScene(endpoint('a'), vm=f'vm{at}')
            for at in range(size)
        }
        first = next(iter(self.vms.values()))
        self.now = first.now
        if store_count:
            new = configuration(2, services=_services(store_count))
            for scene in self.vms.values():
                scene.read(View.OPERATOR, new)
        self.stores = {name: FakeStore() for name in first.state.stores.views}
        self.pollers: Counter[tuple[VmId, ServiceId]] = Counter()
        self.quick_polls = 0
        self.connections = 0
        self.max_idle_s = MAX_IDLE_S
        self.deliver: Callable[[VmId], bool] = lambda vm: True
        self._waits = waits
        self._waiting: list[tuple[float, VmId, fx.PollStore]] = []
        self._used_at: dict[tuple[VmId, ServiceId], float] = {}
        self.calls: Counter[str] = Counter()
        self.sent_bytes: Counter[VmId] = Counter()
        self.sends: list[tuple[float, fx.Send]] = []
        self.frees: list[tuple[float, fx.FreeParts]] = []
        self._seen = dict.fromkeys(self.vms, 0)
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, VmId, Event]] = []
        entries = [
            ev.VmEntry(name, LOCAL_DC, f'{name}:1', links(at))
            for at, name in enumerate(self.vms)
        ]
        for at, scene in enumerate(self.vms.values()):
            settings = attrs.evolve(scene.state.settings, link_mbps=links(at))
            scene.state.settings = settings
            scene.read(View.VMS, *entries)

    def run(self, seconds: float) -> None:
        """Advance the clock, delivering messages and answers."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name, scene in self.vms.items():
                scene.advance(max(0.0, self.now - scene.now))
                self._execute(name, scene)
            self._answer_waiting()
            while self._queue and self._queue[0][0] <= self.now:
                _, _, name, event = heapq.heappop(self._queue)
                if name in self.vms:
                    self.vms[name].post(event)
                    self._execute(name, self.vms[name])

    def reset_counts(self) -> None:
        """Reset the counts of calls and bytes."""
        self.calls.clear()
        self.sent_bytes.clear()
        self.pollers.clear()
        self.quick_polls = self.connections = 0

    def _post_later(self, delay_s: float, vm: VmId, event: Event) -> None:
        heapq.heappush(self._queue,
                       (self.now + delay_s, next(self._sequence), vm, event))

    def _execute(self, name: VmId, scene: GatewayScene) -> None:
        effects, scene.done[:] = list(scene.done), []
        for effect in effects:
            if isinstance(effect, base.SendPeer):
                self._deliver(name, effect)
            elif isinstance(effect, fx.ListStore):
                self.calls['list'] += 1
                self._connect(name, effect.store)
                self._answer(name, effect.store, self._list(effect))
            elif isinstance(effect, fx.PollStore):
                self.calls['poll'] += 1
                self.pollers[name, effect.store] += 1
                self._connect(name, effect.store)
                if self._waits and self.stores[effect.store].up:
                    self._waiting.append((self.now, name, effect))
                else:
                    self._answer(name, effect.store, self._poll(effect))
            elif isinstance(effect, fx.Send):
                self.sends.append((self.now, effect))
            elif isinstance(effect, fx.FreeParts):
                self.frees.append((self.now, effect))
                for part in effect.parts:
                    self.stores[effect.store].save(part, 0)
                self._post_later(
                    ANSWER_DELAY_S, name,
                    ev.PartsFreed(effect.store, effect.epoch, effect.parts))

    def _connect(self, vm: VmId, store: ServiceId) -> None:
        """Count a new connection unless an idle one is kept."""
        used_at = self._used_at.get((vm, store), -math.inf)
        if self.now - used_at > self.max_idle_s:
            self.connections += 1
        self._used_at[vm, store] = self.now

    def _answer_waiting(self) -> None:
        """Answer the polls that have events or have waited long enough."""
        waiting, self._waiting = self._waiting, []
        for started_at, name, effect in waiting:
            has_events = len(self.stores[effect.store].events) > effect.since
            waited_s = self.now - started_at
            if not has_events and waited_s < effect.wait_s:
                self._waiting.append((started_at, name, effect))
                continue
            self.quick_polls += waited_s < PROBE_S
            self._used_at[name, effect.store] = self.now
            self._answer(name, effect.store, self._poll(effect))

    def _answer(self, vm: VmId, store: ServiceId, event: Event) -> None:
        if self.stores[store].up:
            self._post_later(ANSWER_DELAY_S, vm, event)
        else:
            self._post_later(CONNECT_TIMEOUT_S, vm,
                             ev.StoreRequestFailed(store, 'silent'))

    def _list(self, effect: fx.ListStore) -> Event:
        store = self.stores[effect.store]
        return ev.StoreListed(effect.store, store.epoch, len(store.events),
                              dict(store.complete), {})

    def _poll(self, effect: fx.PollStore) -> Event:
        store = self.stores[effect.store]
        return ev.StoreChanged(effect.store, store.epoch, len(store.events),
                               False, tuple(store.events[effect.since:]),
                               self.now * 1_000)

    def _deliver(self, sender: VmId, effect: base.SendPeer) -> None:
        self.sent_bytes[sender] += len(effect.payload)
        message = peer_messages.decode(effect.payload)
        for event in _events(message):
            if effect.vm in self.vms and self.deliver(effect.vm):
                self._post_later(MESSAGE_DELAY_S, effect.vm, event)


def _services(store_count: int) -> tuple[config.Service, ...]:
    """Return the engines' service and stores."""
    engines = next(each for each in SERVICES if each.engine is not None)
    template = STORES[0].store
    assert template is not None
    return (engines, *(config.Service(ServiceId(f'store-{at:02}'),
                                      store=attrs.evolve(
                                          template, address=f'10.0.9.{at}:1'))
                       for at in range(store_count)))


def _events(message: object) -> Iterator[Event]:
    if isinstance(message, Hint):
        yield HintReceived(message)
    elif isinstance(message, RelayedStore):
        yield stores.StoreRelayed(message)
    elif isinstance(message, StoreBatch):
        for relay in message.relays:
            yield stores.StoreRelayed(relay)
    elif isinstance(message, StoreSnapshotRequest):
        yield stores.StoreSnapshotRequested(message)
