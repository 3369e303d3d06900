"""Fixture: a loaded deployment whose engines crash, also on prompt parts."""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection
from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import Failure, Part, View
from plantainridge.gateway.suspects import SuspectTable
from plantainridge.ids import AttemptId, DcId, EndpointId, Incarnation, VmId
from plantainridge.loop.events import Event
from plantainridge.platform import names, records
from tests.gateway_scene import GatewayScene, endpoint, request
from tests.load_fleet import Engine, Job, LoadFleet

# Time until a crashed engine serves again, in s.
DOWN_S: Final = 3.0
# Times until the metadata store answers, and until a call counts as lost.
STORE_DELAY_S: Final = 0.005
STORE_TIMEOUT_S: Final = 1.0
# First part of all prompts.
OPENING: Final = Part('opening', 400)


@attrs.frozen
class Outcome:
    """End of a sound request.

    Attributes:
        at: Loop time of its arrival, in s.
        served: Whether its answer began.
    """

    at: float
    served: bool


@attrs.define
class CrashFleet(LoadFleet):
    """A `LoadFleet` with engines that crash.

    Attributes:
        deadly: Ids of parts that crash the engines that answer on them.
        crashed_at: Times of the crashes on each such part, in s.
        reached_at: Times at which requests with each reached engines, in s.
        outcomes: Ends of the sound requests.
        store_up: Whether the metadata store answers.
        record_log: Records of suspects in the metadata store.
        record_calls: Calls to that log, by type.
    """

    deadly: Collection[str] = ()
    crashed_at: dict[str, list[float]] = attrs.field(
        factory=lambda: defaultdict(list), init=False)
    reached_at: dict[str, list[float]] = attrs.field(
        factory=lambda: defaultdict(list), init=False)
    outcomes: list[Outcome] = attrs.field(factory=list, init=False)
    store_up: bool = attrs.field(default=True, init=False)
    record_log: list[bytes] = attrs.field(factory=list, init=False)
    record_calls: Counter[str] = attrs.field(factory=Counter, init=False)
    _runs: dict[AttemptId, tuple[VmId, EndpointId]] = attrs.field(factory=dict,
                                                                  init=False)

    def send_new(self, part: str) -> None:
        """Send a request with a part, like no other one."""
        number = next(self._sequence)
        self._send(Part(part, 2_000), Part(f'own{number}', 500), f'{number}')

    def send_again(self, own: str) -> None:
        """Send the same request again, which has a part of its own."""
        self._send(Part('c1-8600', 8_600), Part(own, 500), own)

    def _send(self, shared: Part, own: Part, body: str) -> None:
        vm = self._rng.choice(list(self.vms))
        arrived = request('/report/x',
                          f'r{next(self._sequence)}',
                          body=body.encode(),
                          parts=(OPENING, shared, own),
                          prompt_tokens=2_900,
                          output_tokens=64)
        self.vms[vm].now = max(self.vms[vm].now, self.now)
        self.vms[vm].post(ev.RequestArrived(arrived))
        self._execute(vm, self.vms[vm])

    def repeat(self, interval_s: float, seconds: float,
               action: Callable[[], None]) -> None:
        """Repeat an action while the clock advances by a time in s."""
        end = self.now + seconds
        while self.now < end:
            action()
            self.run(interval_s)

    def crash(self, name: EndpointId) -> None:
        """Break all runs of an engine, which is down for a while."""
        engine = self.engines[name]
        engine.up = False
        engine.free_at = 0.0
        engine.cached.clear()
        broken = [(attempt, vm)
                  for attempt, (vm, at) in self._runs.items()
                  if at == name]
        for attempt, vm in broken:
            del self._runs[attempt]
            super()._post_at(self.now, vm,
                             ev.SendFailed(attempt, Failure.BROKEN))

        def start() -> None:
            engine.up = True

        self._at(self.now + DOWN_S, start)

    def crash_any(self) -> None:
        """Crash a random engine that is up."""
        up = [name for name, engine in self.engines.items() if engine.up]
        if up:
            self.crash(self._rng.choice(up))

    def restart(self, name: VmId) -> None:
        """Start a VM's process again, with nothing in memory."""
        dc = self.dcs[name]
        scene = GatewayScene(
            *(endpoint(each, dc=self.dcs[each]) for each in self.engines),
            vm=name)
        scene.state.settings = attrs.evolve(scene.state.settings, dc=DcId(dc))
        scene.state.incarnation = Incarnation(f'{name}-{self.now}')
        scene.advance(self.now - scene.now)
        scene.read(
            View.VMS,
            *(ev.VmEntry(VmId(each), self.dcs[each], f'{each}:1')
              for each in self.vms))
        # It has not read the record yet.
        scene.state.suspects = SuspectTable()
        self.vms[name] = scene

    def restart_all(self) -> None:
        """Start the processes of all VMs again."""
        for name in list(self.vms):
            self.restart(name)

    def served_ratio(self, start: float, end: float) -> float:
        """Return the share of sound requests served, by arrival time in s."""
        served = [
            each.served for each in self.outcomes if start <= each.at < end
        ]
        return sum(served) / len(served)

    def _execute(self, name: VmId, scene: GatewayScene) -> None:
        for effect in scene.done:
            if isinstance(effect, fx.ReadSuspects):
                self.record_calls['read'] += 1
                self._answer_store(name, self._read_record(),
                                   ev.SuspectsFailed('silent'))
            elif isinstance(effect, fx.WriteSuspects):
                self.record_calls['write'] += 1
                written = ev.SuspectsWritten(effect.record,
                                             self._write_record(effect))
                lost = attrs.evolve(written, result=ev.AppendResult.UNKNOWN)
                self._answer_store(name, written, lost)
        super()._execute(name, scene)

    def _answer_store(self, vm: VmId, answer: Event, failure: Event) -> None:
        if self.store_up:
            self._post_at(self.now + STORE_DELAY_S, vm, answer)
        else:
            self._post_at(self.now + STORE_TIMEOUT_S, vm, failure)

    def _read_record(self) -> ev.SuspectsRead:
        newest = self.record_log[-1] if self.record_log else None
        raw = ev.RawRecord(names.SUSPECTS_KEY, newest)
        return ev.SuspectsRead(
            records.decode_suspects(raw) if newest else None,
            len(self.record_log))

    def _write_record(self, effect: fx.WriteSuspects) -> ev.AppendResult:
        if effect.end != len(self.record_log):
            return ev.AppendResult.CONFLICT
        if self.store_up:
            self.record_log.append(records.encode_suspects(effect.record))
        return ev.AppendResult.DONE

    def _finish(self, request_id: str, served: bool) -> None:
        known = self._arrivals.get(request_id)
        if known is not None:
            self.outcomes.append(Outcome(known[1], served))
        super()._finish(request_id, served)

    def _start(self, vm: VmId, send: fx.Send) -> None:
        if self.engines[send.endpoint].up:
            self._runs[send.attempt] = (vm, send.endpoint)
            for part in self._deadly_parts(send):
                self.reached_at[part].append(self.now)
        super()._start(vm, send)

    def _generate(self, engine: Engine, job: Job) -> None:
        if job.send.attempt not in self._runs:
            return
        deadly = self._deadly_parts(job.send)
        for part in deadly:
            self.crashed_at[part].append(self.now)
        if deadly:
            self.crash(job.send.endpoint)
            return
        super()._generate(engine, job)

    def _post_at(self, time_s: float, vm: VmId, event: Event) -> None:
        if isinstance(event, ev.StreamEnded):
            self._at(time_s, lambda: self._end(vm, event))
        else:
            super()._post_at(time_s, vm, event)

    def _end(self, vm: VmId, event: ev.StreamEnded) -> None:
        if self._runs.pop(event.attempt, None) is not None:
            super()._post_at(self.now, vm, event)

    def _deadly_parts(self, send: fx.Send) -> list[str]:
        ids = (part.id for part in send.request.parts)
        return [part for part in ids if part in self.deadly]
