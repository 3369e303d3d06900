"""Ports that reach the stand-ins' models in memory, with delays and cuts.

Used under a paused clock by tests, benches, the fuzzer and the fault matrix.
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
    """Delays and cuts between named nodes.

    Attributes:
        cut: Unordered pairs of nodes that cannot reach each other.
        latency_s: One-way delay in s.
    """

    cut: set[frozenset[str]] = attrs.field(factory=set)
    latency_s: float = LATENCY_S
    in_flight: deque[Callable[[], None]] = attrs.field(factory=deque)

    def reaches(self, a: str, b: str) -> bool:
        """Whether two nodes can reach each other."""
        return frozenset((a, b)) not in self.cut

    def toggle_cut(self, a: str, b: str) -> None:
        """Cuts two nodes off from each other, or joins them again."""
        self.cut ^= {frozenset((a, b))}

    def schedule(self, act: Callable[[], None]) -> None:
        """Acts after one delay; what was sent first arrives first.

        The loop alone does not keep the order of equal times.
        """
        self.in_flight.append(act)
        asyncio.get_running_loop().call_later(self.latency_s, self._arrive)

    def _arrive(self) -> None:
        self.in_flight.popleft()()


@attrs.define
class Reply:
    """What one caller was told.

    Attributes:
        tokens: Tokens in the order that they came.
        ended: Whether the answer's end came.
        refusal: The refusal, or None.
        status: Status of a plain service's answer, or None.
        body: Body of a plain service's answer.
        finals: How many final words came; must end as 1.
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
    """Keeps what each caller was told."""

    def __init__(self) -> None:
        self.replies: dict[RequestId, Reply] = {}

    def expect(self, request: RequestId) -> Reply:
        """Opens the record of a new request."""
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
    """Chances of faults of each piece of an answer, by one VM's way.

    Attributes:
        lose: The piece is lost.
        double: The piece comes twice.
        cross: Another request's piece comes instead.
        swap: The piece is of another weight version, and says so.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    misroute: float = 0.0
    wrong_version: float = 0.0


class MemoryEnginePort(EnginePort):
    """One VM's way to the engines' models.

    Attributes:
        faults: Chances of faults.
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
        """Carries a piece of an answer back, unless the path is cut."""
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

    def _occurs(self, chance: float) -> bool:
        return chance > 0.0 and self.rng.random() < chance

    def halt(self) -> None:
        """Breaks every connection, as the VM's end does."""
        for model, job in self.jobs.values():
            model.cancel(job)
        self.jobs.clear()

    def cancel(self, effect: fx.CancelAttempt) -> None:
        found = self.jobs.pop(effect.attempt, None)
        if found is not None:
            found[0].cancel(found[1])


class MemoryPeers(PeerPort):
    """One VM's way to the others' reducers."""

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
    """Reads the membership list for one VM, again and again."""

    NODE: Final = 'members'

    def __init__(self, vm: str, network: Network, model: MembersModel,
                 runtime: Runtime) -> None:
        self.vm = vm
        self.network = network
        self.model = model
        self.runtime = runtime

    def start(self) -> None:
        """Reads once, and again after a pause until the VM ends."""
        if self.runtime.halted:
            return
        if not self.model.down and self.network.reaches(self.vm, self.NODE):
            self.runtime.post(self.model.visible)
        self.runtime.loop.call_later(MEMBERS_POLL_INTERVAL_S, self.start)


class MemoryReport(ReportPort):
    """Keeps log lines and histograms."""

    def __init__(self) -> None:
        self.lines: list[base.LogLine] = []
        self.metrics = Metrics()

    def log(self, effect: base.LogLine) -> None:
        self.lines.append(effect)

    def observe(self, effect: base.Observe) -> None:
        self.metrics.observe(effect.metric, effect.team, effect.klass,
                             effect.value)
