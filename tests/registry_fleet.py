"""Fixture: gateways of one data centre with a simulated metadata store."""

import heapq
import itertools
import json
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import peer_messages, relays
from plantainridge.gateway.build_history import BuildHistory
from plantainridge.gateway.builds import BuildTable
from plantainridge.gateway.events import (RawRecord, View, ViewRelayed,
                                          ViewRequested)
from plantainridge.gateway.hints import (DcLoadReceived, HintReceived,
                                         LoadTotalsReceived)
from plantainridge.gateway.peer_messages import (DcLoad, Hint, LoadTotals,
                                                 OriginQuestion, RelayedView,
                                                 StreamOrigins, ViewRequest)
from plantainridge.gateway.resumptions import OriginsAsked, OriginsReceived
from plantainridge.gateway.views import ViewCursor
from plantainridge.ids import DcId, EndpointId, VmId
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event
from plantainridge.platform import names, records
from tests.gateway_scene import LOCAL_DC, MODEL, GatewayScene

STEP_S: Final = 0.01
ANSWER_DELAY_S: Final = 0.004
# A call that a store which is down does not answer times out.
CALL_TIMEOUT_S: Final = 0.35
MESSAGE_DELAY_S: Final = 0.001


def entry(name: str,
          draining: bool = False,
          sequence: int = 0,
          born: int = 1,
          build: str = '',
          dc: str = LOCAL_DC) -> RawRecord:
    """Return an engine's registry record."""
    value = {
        'service': 'engines',
        'address': f'{name}:1',
        'zone': dc,
        'version': build,
        'state': 'draining' if draining else 'ready',
        'slots': 64,
        'sequence': sequence,
        'born': born,
        'models': [{
            'name': MODEL,
            'version': 1
        }],
    }
    return RawRecord(name, json.dumps(value).encode())


def named_version(version: int) -> RawRecord:
    """Return the record that names a weight version."""
    value = {'model': MODEL, 'version': version}
    return RawRecord(names.VERSION_KEY_PREFIX + MODEL,
                     json.dumps(value).encode())


def removal(name: str) -> RawRecord:
    """Return the record that removes an engine's entry."""
    return RawRecord(name, None)


@attrs.define
class FakeMetadataStore:
    """A simulated metadata store with one log for each view.

    Attributes:
        build_log: Records of builds, oldest first.
        logs: Records of each view, oldest first.
        up: Whether it answers.
        max_records: Records that an answer to a read of a log holds at most.
        era: Rises with each restore.
        starts: Start that each engine stated last.
    """

    build_log: list[bytes] = attrs.field(factory=list)
    logs: dict[View, list[RawRecord]] = attrs.field(
        factory=lambda: {view: [RawRecord('unknown', b'{}')] for view in View})
    up: bool = True
    max_records: int = 1_000_000
    era: int = 0
    starts: dict[str, int] = attrs.field(factory=dict)

    def restore(self, count: int) -> None:
        """Return from a copy that lacks the last records of each view."""
        self.era += 1
        for log in self.logs.values():
            del log[max(1, len(log) - count):]

    def append(self, *new: RawRecord, view: View = View.REGISTRY) -> None:
        """Append records to a view's log."""
        self.logs[view].extend(new)
        for record in new:
            if record.value:
                self.starts[record.key] = json.loads(record.value).get(
                    'born', 1)

    def newest(self, view: View) -> dict[str, RawRecord]:
        """Return the newest record of each key that is not deleted."""
        found = {record.key: record for record in self.logs[view]}
        return {key: each for key, each in found.items() if each.value}

    def born(self, name: str) -> int:
        """Return the start that an engine stated last, also if it was lost."""
        return self.starts.get(name, 1)

    def endpoints(self) -> set[EndpointId]:
        """Return the registered endpoints."""
        return {
            EndpointId(key)
            for key in self.newest(View.REGISTRY)
            if key != 'unknown'
        }


@attrs.frozen
class Delivery:
    """How a message between two VMs is delivered.

    Attributes:
        delays_s: Delay of each copy, in s; none for a lost message.
    """

    delays_s: tuple[float, ...] = (MESSAGE_DELAY_S,)


class RegistryFleet:
    """Reducers of one data centre's VMs on one clock.

    Attributes:
        deliver: Decides how a message between VMs is delivered.
        paused: VMs whose processes are stopped.
        rejected: VMs that the store does not answer.
        answer_delay_s: Time that the store takes for a read, in s.
        call_timeout_s: Time after which a call without an answer fails, in s.
        unreachable: VMs whose messages to and from peers are lost.
        builds_up: Whether the store answers calls for the record of builds.
        build_calls: These calls, with the time in s and the VM of each.
        lose_append: Returns '' for an append to this record that succeeds;
            'call' or 'answer' if that is lost.
        outputs: Effects for callers and endpoints, with the VM of each.
        reads: Number of reads of each VM.
        registry_reads: Number of those of the registry.
        loads: Number of loads of each view, by all VMs.
    """

    def __init__(self, size: int) -> None:
        self.store = FakeMetadataStore()
        self.deliver: Callable[[], Delivery] = Delivery
        self.paused: set[VmId] = set()
        self.rejected: set[VmId] = set()
        self.answer_delay_s = ANSWER_DELAY_S
        self.call_timeout_s = CALL_TIMEOUT_S
        self.unreachable: set[VmId] = set()
        self.builds_up = True
        self.build_calls: list[tuple[float, VmId, base.Effect]] = []
        self.lose_append: Callable[[], str] = str
        self.outputs: list[tuple[VmId, base.Effect]] = []
        self.reads: dict[VmId, int] = {}
        self.registry_reads: Counter[VmId] = Counter()
        self.loads: Counter[View] = Counter()
        self.now = 100.0
        self.vms: dict[VmId, GatewayScene] = {}
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, VmId, int, Event]] = []
        self._starts: dict[VmId, int] = {}
        vms = [VmId(f'vm{at}') for at in range(size)]
        self._entries = [
            ev.VmEntry(name, LOCAL_DC, f'{name}:1') for name in vms
        ]
        for name in vms:
            self.start(name)

    def start(self, name: VmId) -> None:
        """Start a VM's process, again if it runs."""
        scene = GatewayScene(vm=name)
        scene.advance(self.now - scene.now)
        scene.done.clear()
        scene.state.incarnation = type(
            scene.state.incarnation)(f'{name}-{next(self._sequence)}')
        dc = next(each.dc for each in self._entries if each.vm == name)
        scene.state.settings = attrs.evolve(scene.state.settings, dc=DcId(dc))
        scene.read(View.VMS, *self._entries)
        scene.state.views.cursors[View.REGISTRY].offset = None
        scene.state.views.cursors[View.OPERATOR] = ViewCursor()
        scene.state.builds = BuildTable()
        scene.state.build_history = BuildHistory()
        self.vms[name] = scene
        self._starts[name] = self._starts.get(name, 0) + 1
        scene.post(ev.EraSeen(self.store.era))
        scene.post(self._load(View.REGISTRY))
        scene.post(self._load(View.OPERATOR))
        self._execute(name)

    def load_ahead(self, name: VmId, count: int) -> None:
        """Load the registry at a VM, with an offset that lies too low.

        The pages of a snapshot are not read at one instant.

        Args:
            name: The VM.
            count: Number of records that were appended between two pages.
        """
        log = self.store.logs[View.REGISTRY]
        self.vms[name].state.views.cursors[View.REGISTRY].offset = None
        event = attrs.evolve(self._load(View.REGISTRY),
                             next=len(log) - count,
                             ahead=frozenset(each.key for each in log[-count:]))
        self.vms[name].post(event)

    def run(self, seconds: float) -> None:
        """Advance the clock, delivering messages and answers."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name, scene in self.vms.items():
                if name not in self.paused:
                    # After a pause all timers that are due fire late.
                    scene.now = self.now
                    scene.advance(0.0)
                    self._execute(name)
            while self._queue and self._queue[0][0] <= self.now:
                _, _, name, starts, event = heapq.heappop(self._queue)
                if starts != self._starts[name]:
                    continue
                if name in self.paused:
                    self._post_later(STEP_S, name, event)
                    continue
                self.vms[name].post(event)
                self._execute(name)

    def endpoints(self, name: VmId) -> set[EndpointId]:
        """Return the endpoints that a VM knows."""
        return set(self.vms[name].state.endpoints)

    def reader(self) -> VmId:
        """Return the VM that reads the registry for the data centre."""
        return next(
            name for name, scene in self.vms.items()
            if relays.is_reader(scene.state, View.REGISTRY.value, scene.now))

    def _post_later(self, delay_s: float, vm: VmId, event: Event) -> None:
        heapq.heappush(self._queue, (self.now + delay_s, next(
            self._sequence), vm, self._starts[vm], event))

    def _execute(self, name: VmId) -> None:
        scene = self.vms[name]
        effects, scene.done[:] = list(scene.done), []
        for effect in effects:
            if isinstance(effect, base.SendPeer):
                if not self.unreachable & {name, effect.vm}:
                    self._send(effect)
            elif isinstance(effect, fx.LoadView):
                self.loads[effect.view] += 1
                self._answer(name, effect.view,
                             self._load(effect.view, effect.issued_at))
            elif isinstance(effect, fx.ReadView):
                self.reads[name] = self.reads.get(name, 0) + 1
                self.registry_reads[name] += effect.view is View.REGISTRY
                self._answer(name, effect.view, self._read(effect))
            elif isinstance(effect, fx.ReadBuilds):
                self.build_calls.append((self.now, name, effect))
                self._answer_builds(name, self._read_builds(),
                                    ev.BuildsFailed('silent'))
            elif isinstance(effect, fx.WriteBuilds):
                self.build_calls.append((self.now, name, effect))
                self._write_builds(name, effect)
            else:
                self.outputs.append((name, effect))

    def _answer(self, vm: VmId, view: View, event: Event) -> None:
        if self.store.up and vm not in self.rejected:
            # The port posts the era of an answer before its contents.
            self._post_later(self.answer_delay_s, vm,
                             ev.EraSeen(self.store.era))
            self._post_later(self.answer_delay_s, vm, event)
        else:
            self._post_later(self.call_timeout_s, vm,
                             ev.ViewFailed(view, False, 'silent'))

    def _reaches_builds(self, vm: VmId) -> bool:
        return (self.store.up and self.builds_up and vm not in self.rejected)

    def _answer_builds(self, vm: VmId, event: Event, failed: Event) -> None:
        if self._reaches_builds(vm):
            self._post_later(ANSWER_DELAY_S, vm, ev.EraSeen(self.store.era))
            self._post_later(ANSWER_DELAY_S, vm, event)
        else:
            self._post_later(CALL_TIMEOUT_S, vm, failed)

    def _read_builds(self) -> ev.BuildsRead:
        log = self.store.build_log
        newest = RawRecord(names.BUILDS_KEY, log[-1]) if log else None
        return ev.BuildsRead(
            records.decode_builds(newest) if newest else None, len(log),
            self.store.era)

    def _write_builds(self, vm: VmId, effect: fx.WriteBuilds) -> None:
        log = self.store.build_log
        result = ev.AppendResult.CONFLICT
        if effect.era == self.store.era and effect.end == len(log):
            result = ev.AppendResult.DONE
        lost = self.lose_append()
        if not self._reaches_builds(vm):
            lost = 'call'
        if result is ev.AppendResult.DONE and lost != 'call':
            log.append(records.encode_builds(effect.record))
        unknown = ev.BuildsWritten(effect.record, ev.AppendResult.UNKNOWN,
                                   effect.era)
        written = attrs.evolve(unknown, result=result)
        self._answer_builds(vm, unknown if lost else written, unknown)

    def _load(self, view: View, issued_at: float | None = None) -> ev.ViewRead:
        raw = tuple(self.store.newest(view).values())
        return self._view_read(view, True, raw, len(self.store.logs[view]),
                               self.now if issued_at is None else issued_at)

    def _read(self, effect: fx.ReadView) -> Event:
        log = self.store.logs[effect.view]
        if effect.era != self.store.era or effect.offset > len(log):
            return ev.ViewFailed(effect.view, True, 'restored')
        end = min(len(log), effect.offset + self.store.max_records)
        event = self._view_read(effect.view, False,
                                tuple(log[effect.offset:end]), end,
                                effect.issued_at)
        return attrs.evolve(event, is_complete=end == len(log))

    def _view_read(self, view: View, is_snapshot: bool, raw: tuple[RawRecord,
                                                                   ...],
                   end: int, issued_at: float) -> ev.ViewRead:
        updates = tuple(records.decode_update(view, each) for each in raw)
        return ev.ViewRead(view,
                           is_snapshot,
                           updates,
                           end,
                           raw,
                           era=self.store.era,
                           issued_at=issued_at)

    def _send(self, effect: base.SendPeer) -> None:
        event = _event_of(peer_messages.decode(effect.payload))
        if event is None or effect.vm not in self.vms:
            return
        for delay_s in self.deliver().delays_s:
            self._post_later(delay_s, effect.vm, event)


def _event_of(message: object) -> Event | None:
    if isinstance(message, Hint):
        return HintReceived(message)
    if isinstance(message, RelayedView):
        view = View(message.view)
        return ViewRelayed(
            view, message.start, message.end,
            tuple(records.decode_update(view, raw) for raw in message.records),
            message.era, message.is_snapshot, message.receiver_time,
            message.receiver_incarnation, message.records, message.is_answer)
    if isinstance(message, ViewRequest):
        return ViewRequested(View(message.view), message.vm, message.start,
                             message.era)
    if isinstance(message, DcLoad):
        return DcLoadReceived(message)
    if isinstance(message, LoadTotals):
        return LoadTotalsReceived(message)
    if isinstance(message, StreamOrigins):
        return OriginsReceived(message)
    if isinstance(message, OriginQuestion):
        return OriginsAsked(message)
    return None


def unreliable(rng: random.Random) -> Callable[[], Delivery]:
    """Return deliveries that are lost, late or duplicated at random."""

    def deliver() -> Delivery:
        if rng.random() < 0.3:
            return Delivery(())
        copies: Any = range(1 + (rng.random() < 0.1))
        return Delivery(tuple(rng.choice((0.001, 0.02, 1.2)) for _ in copies))

    return deliver
