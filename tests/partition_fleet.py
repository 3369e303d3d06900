"""Fixture: VMs of three data centres, some cut off from all endpoints."""

import enum
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import peer_messages
from plantainridge.gateway.events import View
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.peer_messages import Hint
from plantainridge.ids import AttemptId, DcId, EndpointId, TunnelId, VmId
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event
from tests.gateway_scene import LEDGER, GatewayScene, endpoint, head, request

STEP_S: Final = 0.01
MESSAGE_DELAY_S: Final = 0.001
ANSWER_DELAY_S: Final = 0.05
# A connection that nobody accepts times out; one through a peer takes longer.
CONNECT_TIMEOUT_S: Final = 0.35
TUNNEL_TIMEOUT_S: Final = 0.5
# Time for which an idle connection is reused.
IDLE_S: Final = 0.9
DCS: Final = ('near', 'near', 'near', 'far', 'far', 'third', 'third')
# Requests per second at each VM.
RATE: Final = 4.0
TARGETS: Final = ('/report/x', '/tag/x', '/submit/x', '/view/x')


class Cut(enum.Enum):
    """What becomes of the connections of a VM that is cut off.

    With `HANG`, nothing is answered any more. With `RESET`, all connections are
    reset. With `REFUSE_NEW`, open ones go on.
    """

    HANG = 'hang'
    RESET = 'reset'
    REFUSE_NEW = 'refuse new'


@attrs.define
class Outcome:
    """A request at one VM.

    Attributes:
        at: Time of its arrival, in s.
        ended_at: Time of its end, in s.
        runs: Sends that an endpoint began to run.
        refusal: The gateway's own answer, or None.
    """

    vm: VmId
    target: str
    at: float
    is_served: bool | None = None
    ended_at: float = 0.0
    runs: int = 0
    refusal: fx.Refuse | None = None


@attrs.define
class PartitionFleet:
    """Reducers of seven VMs, five engines and three plain instances.

    Attributes:
        cut: VMs that are cut off from all endpoints.
        dead: VMs that neither run nor answer.
        down: Endpoints that accept nothing.
        outcomes: Requests by id.
        counts: Effects by type.
        sends: Sends with their time in s.
    """

    how: Cut = Cut.HANG
    rate: float = RATE
    cut: set[VmId] = attrs.field(factory=set)
    dead: set[VmId] = attrs.field(factory=set)
    down: set[EndpointId] = attrs.field(factory=set)
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    counts: Counter[str] = attrs.field(factory=Counter)
    sends: list[tuple[float, VmId, fx.Send]] = attrs.field(factory=list)
    vms: dict[VmId, GatewayScene] = attrs.field(factory=dict, init=False)
    now: float = attrs.field(default=100.0, init=False)
    # The carriers of sends in flight: the VM that sent, and that connected.
    _carriers: dict[AttemptId, tuple[VmId, VmId]] = attrs.field(factory=dict)
    _tunnels: dict[TunnelId, tuple[VmId, fx.Send]] = attrs.field(factory=dict)
    _idle: dict[tuple[VmId, str], float] = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)
    _queue: list[tuple[float, int, Callable[[],
                                            None]]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        entries = [endpoint(f'e{at}', dc=DcId(DCS[at])) for at in range(5)]
        entries += [
            endpoint(f'p{at}', LEDGER, DcId(DCS[at * 3])) for at in range(3)
        ]
        vm_entries = [
            ev.VmEntry(VmId(f'{dc}-{at}'), dc, f'{dc}-{at}:3')
            for at, dc in enumerate(DCS)
        ]
        for at, each in enumerate(vm_entries):
            scene = GatewayScene(*entries, vm=each.vm)
            scene.state.settings = attrs.evolve(scene.state.settings,
                                                dc=DcId(each.dc),
                                                host=each.vm)
            scene.state.rng.seed(each.vm)
            scene.read(View.VMS, *vm_entries)
            self.vms[each.vm] = scene
            if self.rate:
                self._at(self.now + at * 0.03, self._arrivals(each.vm))

    def run(self, seconds: float) -> None:
        """Advance the clock by a time in s."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
            for name, scene in self.vms.items():
                if name not in self.dead:
                    scene.advance(max(0.0, self.now - scene.now))
                    self._execute(name, scene)

    def cut_off(self, *vms: VmId) -> None:
        """Cut VMs off from all endpoints."""
        self.cut.update(vms)
        for attempt, (sender, connector) in list(self._carriers.items()):
            if connector in vms and self.how is Cut.RESET:
                del self._carriers[attempt]
                self._post(sender, ev.SendFailed(attempt, ev.Failure.BROKEN))

    def kill(self, vm: VmId) -> None:
        """Stop a VM without notice; connections to it are reset."""
        self.dead.add(vm)
        for attempt, (sender, connector) in list(self._carriers.items()):
            if connector == vm and sender != vm:
                del self._carriers[attempt]
                self._post(sender, ev.SendFailed(attempt, ev.Failure.BROKEN))

    def served_ratio(self, vms: set[VmId], since: float) -> float:
        """Return the share of requests since a time that were served."""
        ended = [
            each for each in self.outcomes.values()
            if each.vm in vms and since <= each.at <= self.now - 2.0
        ]
        return sum(bool(each.is_served) for each in ended) / len(ended)

    def post_request(self, vm: VmId, target: str) -> str:
        """Post a request to a VM and return its id."""
        name = f'r{next(self._sequence)}'
        self.outcomes[name] = Outcome(vm, target, self.now)
        self._post(vm,
                   ev.RequestArrived(request(target, name, body=name.encode())))
        return name

    def _arrivals(self, vm: VmId) -> Callable[[], None]:

        def arrive() -> None:
            if vm not in self.dead:
                self.post_request(vm, self._rng.choice(TARGETS))
            self._at(self.now + self._rng.expovariate(self.rate), arrive)

        return arrive

    def _at(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time_s, next(self._sequence), action))

    def _post(self, vm: VmId, event: Event, delay_s: float = 0.0) -> None:

        def post() -> None:
            if vm not in self.dead:
                scene = self.vms[vm]
                scene.now = max(scene.now, self.now)
                scene.post(event)
                self._execute(vm, scene)

        self._at(self.now + delay_s, post)

    def _execute(self, name: VmId, scene: GatewayScene) -> None:
        effects, scene.done[:] = list(scene.done), []
        for effect in effects:
            self.counts[type(effect).__name__] += 1
            if isinstance(effect, base.SendPeer):
                message = peer_messages.decode(effect.payload)
                if isinstance(message, Hint):
                    self._post(effect.vm, HintReceived(message),
                               MESSAGE_DELAY_S)
            elif isinstance(effect, fx.Send):
                self.sends.append((self.now, name, effect))
                self._send(name, effect)
            elif isinstance(effect, fx.CancelSend):
                self._carriers.pop(effect.attempt, None)
            elif isinstance(effect, fx.ProbePath):
                self._probe(name, effect)
            elif isinstance(effect, fx.OpenTunnel):
                self._open(name, effect)
            elif isinstance(effect, fx.RefuseTunnel):
                self._fail(effect.tunnel, ev.Failure.RELAY_FAILED)
                self._post(name, ev.TunnelEnded(effect.tunnel, 'refused'))
            elif isinstance(effect,
                            (fx.Reply, fx.EndReply, fx.Refuse, fx.AbortReply)):
                outcome = self.outcomes[effect.request]
                outcome.is_served = isinstance(effect, (fx.Reply, fx.EndReply))
                outcome.ended_at = self.now
                if isinstance(effect, fx.Refuse):
                    outcome.refusal = effect

    def _send(self, vm: VmId, send: fx.Send) -> None:
        if send.via:
            self._request_tunnel(vm, send)
            return
        idle_since = self._idle.pop((vm, send.address), -1.0)
        is_reused = (self.now - idle_since < IDLE_S and not send.new_connection)
        hangs = vm in self.cut and self.how is Cut.HANG
        resets = vm in self.cut and self.how is Cut.RESET
        if is_reused and not (hangs or resets):
            self._carry(vm, vm, send)
        elif is_reused and resets:
            self._post(vm, ev.SendFailed(send.attempt, ev.Failure.BROKEN))
        elif vm in self.cut or send.endpoint in self.down:
            if not is_reused:
                self._post(
                    vm, ev.SendFailed(send.attempt, ev.Failure.NOT_CONNECTED),
                    CONNECT_TIMEOUT_S if hangs else MESSAGE_DELAY_S)
        else:
            self._carry(vm, vm, send)

    def _request_tunnel(self, vm: VmId, send: fx.Send) -> None:
        peer = VmId(send.via.removesuffix(':5'))
        if peer in self.dead:
            self._post(vm, ev.SendFailed(send.attempt, ev.Failure.RELAY_FAILED),
                       TUNNEL_TIMEOUT_S)
            return
        tunnel = TunnelId(f't{next(self._sequence)}')
        self._tunnels[tunnel] = vm, send
        self._post(peer, ev.TunnelRequested(tunnel, vm, send.address),
                   MESSAGE_DELAY_S)

    def _open(self, peer: VmId, effect: fx.OpenTunnel) -> None:
        vm, send = self._tunnels[effect.tunnel]
        if peer in self.cut or send.endpoint in self.down:
            delay_s = CONNECT_TIMEOUT_S if self.how is Cut.HANG else 0.0
            self._fail(effect.tunnel, ev.Failure.NOT_CONNECTED, delay_s)
            self._post(
                peer,
                ev.TunnelEnded(effect.tunnel, 'no connection',
                               is_reached=False), delay_s)
            return
        self._carry(vm, peer, send)
        self._post(peer, ev.TunnelEnded(effect.tunnel, 'closed'),
                   4 * ANSWER_DELAY_S)

    def _fail(self,
              tunnel: TunnelId,
              failure: ev.Failure,
              delay_s: float = 0.0) -> None:
        vm, send = self._tunnels.pop(tunnel)
        self._post(vm, ev.SendFailed(send.attempt, failure),
                   delay_s + MESSAGE_DELAY_S)

    def _probe(self, vm: VmId, probe: fx.ProbePath) -> None:
        is_reached = vm not in self.cut and probe.endpoint not in self.down
        hangs = not is_reached and self.how is Cut.HANG
        self._post(vm, ev.PathProbed(probe.endpoint, is_reached),
                   CONNECT_TIMEOUT_S if hangs else MESSAGE_DELAY_S)

    def _carry(self, sender: VmId, connector: VmId, send: fx.Send) -> None:
        """Answer a send, unless its connection hangs or has ended by then."""
        self._carriers[send.attempt] = sender, connector
        self.outcomes[send.request.id].runs += 1
        if not send.stream:
            self._step(send, [ev.AnswerArrived(send.attempt, head(), b'')])
            return
        self._step(send, [
            ev.StreamStarted(send.attempt, head()),
            ev.StreamEventsReceived(send.attempt, b'.', '1', '1'),
            ev.StreamEnded(send.attempt)
        ])

    def _step(self, send: fx.Send, answers: list[Event]) -> None:

        def step() -> None:
            sender, connector = self._carriers.get(send.attempt,
                                                   (VmId(''), VmId('')))
            hangs = connector in self.cut and self.how is Cut.HANG
            if not sender or hangs or send.endpoint in self.down:
                return
            self._post(sender, answers[0])
            if answers[1:]:
                self._step(send, answers[1:])
                return
            del self._carriers[send.attempt]
            if not send.via:
                self._idle[sender, send.address] = self.now

        self._at(self.now + ANSWER_DELAY_S, step)
