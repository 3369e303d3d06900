"""Fixture: gateways of one data centre with simulated KV cache stores."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import peer_messages, stores
from plantainridge.gateway.events import StoredPart, View
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.peer_messages import (Hint, RelayedStore, StoreBatch,
                                                 StoreSnapshotRequest)
from plantainridge.ids import ServiceId, VmId
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event
from tests.gateway_scene import LOCAL_DC, GatewayScene, endpoint

STEP_S: Final = 0.01
MESSAGE_DELAY_S: Final = 0.001
ANSWER_DELAY_S: Final = 0.004
# A connection that nobody accepts times out.
CONNECT_TIMEOUT_S: Final = 0.35


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
    """

    def __init__(self, size: int, links: Callable[[int], float]) -> None:
        self.vms = {
            VmId(f'vm{at}'): GatewayScene(endpoint('a'), vm=f'vm{at}')
            for at in range(size)
        }
        first = next(iter(self.vms.values()))
        self.now = first.now
        self.stores = {name: FakeStore() for name in first.state.stores.views}
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
            while self._queue and self._queue[0][0] <= self.now:
                _, _, name, event = heapq.heappop(self._queue)
                if name in self.vms:
                    self.vms[name].post(event)
                    self._execute(name, self.vms[name])

    def reset_counts(self) -> None:
        """Reset the counts of calls and bytes."""
        self.calls.clear()
        self.sent_bytes.clear()

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
                self._answer(name, effect.store, self._list(effect))
            elif isinstance(effect, fx.PollStore):
                self.calls['poll'] += 1
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
            if effect.vm in self.vms:
                self._post_later(MESSAGE_DELAY_S, effect.vm, event)


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
