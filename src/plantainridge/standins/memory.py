"""In-memory ports to the stand-ins' models, with delays and network cuts.

Tests, benches, the fuzzer and the fault matrix use them on a paused clock.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.ids import (AttemptId, EndpointId, RequestId, VmId,
                               WeightVersion)
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event, PeerMessageReceived
from plantainridge.loop.ports import PeerPort, Post
from plantainridge.metrics import Metrics
from plantainridge.ports import CallerPort, EnginePort, ReportPort
from plantainridge.refusals import Refusal
from plantainridge.runtime import Runtime
from plantainridge.standins.engine import EngineModel, Job, Sink
from plantainridge.standins.members import MembersModel

LATENCY_S: Final = 0.0015
MEMBERS_POLL_INTERVAL_S: Final = 1.0


@attrs.define
class Network:
    """Network between named nodes, with a delay and cuts.

    Attributes:
        cut: Unordered pairs of nodes that cannot reach each other.
        latency_s: One-way delay in s.
        in_flight: Deliveries that have not arrived yet, oldest first.
    """

    cut: set[frozenset[str]] = attrs.field(factory=set)
    latency_s: float = LATENCY_S
    in_flight: deque[Callable[[], None]] = attrs.field(factory=deque)

    def reaches(self, a: str, b: str) -> bool:
        """Whether two nodes can reach each other."""
        return frozenset((a, b)) not in self.cut

    def toggle_cut(self, a: str, b: str) -> None:
        """Cut the connection between two nodes, or restore it."""
        self.cut ^= {frozenset((a, b))}

    def schedule(self, act: Callable[[], None]) -> None:
        """Call `act` after one delay, in the order of the calls to this method.

        The queue is needed because the event loop does not preserve the order
        of timers with equal times.
        """
        self.in_flight.append(act)
        asyncio.get_running_loop().call_later(self.latency_s, self._arrive)

    def _arrive(self) -> None:
        self.in_flight.popleft()()


@attrs.define
class Reply:
    """Everything that one caller received for a request.

    Attributes:
        sent_at: Loop time at which the request was sent, in s.
        tokens: Tokens in order of arrival.
        first_token_at: Loop time of the first token in s, or None.
        last_at: Loop time of the latest response in s, or None.
        ended: The effect that completed a model's answer, or None.
        refusal: The refusal, or None.
        status: Status of a plain service's answer, or None.
        body: Body of a plain service's answer.
        final_count: Number of final responses; must be 1 in the end.
        done: Set by the first final response.
    """

    sent_at: float
    tokens: list[str] = attrs.field(factory=list)
    first_token_at: float | None = None
    last_at: float | None = None
    ended: fx.FinishAnswer | None = None
    refusal: Refusal | None = None
    status: int | None = None
    body: bytes = b''
    final_count: int = 0
    done: asyncio.Event = attrs.field(factory=asyncio.Event)


class MemoryCallers(CallerPort):
    """Caller port that keeps the reply to each request."""

    def __init__(self) -> None:
        self.replies: dict[RequestId, Reply] = {}

    def expect(self, request: RequestId) -> Reply:
        """Create and return the empty reply to a new request."""
        reply = Reply(asyncio.get_running_loop().time())
        self.replies[request] = reply
        return reply

    def send_tokens(self, effect: fx.SendTokens) -> None:
        reply = self.replies[effect.request]
        now = asyncio.get_running_loop().time()
        if reply.first_token_at is None:
            reply.first_token_at = now
        reply.last_at = now
        reply.tokens.extend(effect.tokens)

    def finish(self, effect: fx.FinishAnswer) -> None:
        reply = self.replies[effect.request]
        reply.ended = effect
        self._final(reply)

    def answer(self, effect: fx.SendServiceAnswer) -> None:
        reply = self.replies[effect.request]
        reply.status = effect.status
        reply.body = effect.body
        self._final(reply)

    def refuse(self, effect: fx.Refuse) -> None:
        reply = self.replies[effect.request]
        reply.refusal = effect.refusal
        self._final(reply)

    def _final(self, reply: Reply) -> None:
        reply.last_at = asyncio.get_running_loop().time()
        reply.final_count += 1
        reply.done.set()


class _PostSink(Sink):

    def __init__(self, port: 'MemoryEnginePort', effect: fx.StartAttempt,
                 version: WeightVersion, post: Post) -> None:
        self.port = port
        self.effect = effect
        self.version = version
        self.post = post

    def _send(self, event: Event) -> None:
        self.port.deliver(self.effect, event, self.post)

    def tokens(self, first: int, tokens: tuple[str, ...],
               cached_tokens: int) -> None:
        self._send(
            ev.TokensReceived(self.effect.attempt, self.effect.request,
                              self.version, first, tokens, cached_tokens))

    def end(self, total: int) -> None:
        self._send(
            ev.AttemptEnded(self.effect.attempt, self.effect.request, total))

    def failed(self) -> None:
        self._send(ev.AttemptFailed(self.effect.attempt, ev.Failure.BROKEN))


@attrs.define
class EngineFaults:
    """Fault probabilities of each token event that one VM receives.

    Attributes:
        drop: The event is lost.
        duplicate: The event arrives twice.
        misroute: An event of another request arrives instead.
        wrong_version: The event names another weight version.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    misroute: float = 0.0
    wrong_version: float = 0.0


class MemoryEnginePort(EnginePort):
    """Engine port of one VM, connected to the engines' models.

    Attributes:
        faults: Fault probabilities.
    """

    def __init__(self, vm: str, network: Network, models: dict[EndpointId,
                                                               EngineModel],
                 rng: random.Random) -> None:
        self.rng = rng
        self.faults = EngineFaults()
        self.vm = vm
        self.network = network
        self.models = models
        self.jobs: dict[AttemptId, tuple[EngineModel, Job]] = {}

    def start(self, effect: fx.StartAttempt, post: Post) -> None:
        self.network.schedule(lambda: self._submit(effect, post))

    def _submit(self, effect: fx.StartAttempt, post: Post) -> None:
        model = self.models[effect.endpoint]
        if not model.alive or not self.network.reaches(self.vm,
                                                       effect.endpoint):
            failed = ev.AttemptFailed(effect.attempt,
                                      ev.Failure.CONNECT_REFUSED)
            self.network.schedule(lambda: post(failed))
            return
        if effect.version != model.version:
            rejected = ev.AttemptFailed(effect.attempt,
                                        ev.Failure.OTHER_VERSION, model.version)
            self.network.schedule(lambda: post(rejected))
            return
        job = Job(request=effect.request,
                  prompt=effect.prompt.text,
                  prompt_tokens=effect.prompt.tokens,
                  blocks=effect.prompt.blocks,
                  max_tokens=effect.max_tokens,
                  priority=effect.priority,
                  next_index=effect.resume_from,
                  sink=_PostSink(self, effect, model.version, post),
                  version=model.version,
                  team=effect.team,
                  model=effect.model,
                  adapter=effect.adapter)
        self.jobs[effect.attempt] = (model, job)
        model.submit(job)

    def deliver(self, effect: fx.StartAttempt, event: Event,
                post: Post) -> None:
        """Deliver an engine's event; fail the attempt if the network is cut."""
        if effect.attempt not in self.jobs:
            return
        if not self.network.reaches(self.vm, effect.endpoint):
            event = ev.AttemptFailed(effect.attempt, ev.Failure.BROKEN)
        if isinstance(event, (ev.AttemptEnded, ev.AttemptFailed)):
            model, job = self.jobs.pop(effect.attempt)
            model.cancel(job)
        if isinstance(event, ev.TokensReceived):
            self._deliver_tokens(event, post)
        else:
            self.network.schedule(lambda: post(event))

    def _deliver_tokens(self, event: ev.TokensReceived, post: Post) -> None:
        if self._occurs(self.faults.drop):
            return
        if self._occurs(self.faults.misroute):
            event = attrs.evolve(event,
                                 echoed=RequestId('another'),
                                 tokens=('crossed ',))
        if self._occurs(self.faults.wrong_version):
            event = attrs.evolve(event,
                                 version=WeightVersion('another'),
                                 tokens=('swapped ',))
        self.network.schedule(lambda: post(event))
        if self._occurs(self.faults.duplicate):
            self.network.schedule(lambda: post(event))

    def _occurs(self, probability: float) -> bool:
        return probability > 0.0 and self.rng.random() < probability

    def halt(self) -> None:
        """Cancel every job, as a killed VM's broken connections do."""
        for model, job in self.jobs.values():
            model.cancel(job)
        self.jobs.clear()

    def cancel(self, effect: fx.CancelAttempt) -> None:
        found = self.jobs.pop(effect.attempt, None)
        if found is not None:
            found[0].cancel(found[1])


class MemoryPeers(PeerPort):
    """Peer port of one VM, connected to the reducers of the others."""

    def __init__(self, vm: str, network: Network, posts: dict[str,
                                                              Post]) -> None:
        self.vm = vm
        self.network = network
        self.posts = posts

    def send(self, effect: base.SendPeer) -> None:
        if not self.network.reaches(self.vm, effect.vm):
            return
        post = self.posts.get(effect.vm)
        if post is not None:
            event = PeerMessageReceived(VmId(self.vm), effect.payload)
            self.network.schedule(lambda: post(event))


class MemoryMembers:
    """Periodic reader of the membership list for one VM."""

    NODE: Final = 'members'

    def __init__(self, vm: str, network: Network, model: MembersModel,
                 runtime: Runtime) -> None:
        self.vm = vm
        self.network = network
        self.model = model
        self.runtime = runtime

    def start(self) -> None:
        """Read the list now and at intervals until the VM is halted."""
        if self.runtime.halted:
            return
        if not self.model.down and self.network.reaches(self.vm, self.NODE):
            self.runtime.post(self.model.visible)
        self.runtime.loop.call_later(MEMBERS_POLL_INTERVAL_S, self.start)


class MemoryReport(ReportPort):
    """Report port that keeps log lines and histograms."""

    def __init__(self) -> None:
        self.lines: list[base.LogLine] = []
        self.metrics = Metrics()

    def log(self, effect: base.LogLine) -> None:
        self.lines.append(effect)

    def observe(self, effect: base.Observe) -> None:
        self.metrics.observe(effect.metric, effect.team, effect.klass,
                             effect.value)
