"""In-memory port to the plain services' models, with faults."""

import asyncio
import random

import attrs

from plantainridge import effects as fx
from plantainridge import events as ev
from plantainridge.ids import EndpointId, RequestId
from plantainridge.loop.events import Event
from plantainridge.loop.ports import Post
from plantainridge.ports import ServicePort
from plantainridge.standins.audit import Audit, RunOnceCall
from plantainridge.standins.memory import Network
from plantainridge.standins.service import Run, ServiceModel


@attrs.define
class ServiceFaults:
    """Fault probabilities of one VM's calls to plain services.

    Attributes:
        lose_answer: The answer is lost after the call has run.
        refuse: The connection is refused.
        misroute: The answer to another request arrives instead.
        hang: Neither an answer nor an error arrives.
    """

    lose_answer: float = 0.0
    refuse: float = 0.0
    misroute: float = 0.0
    hang: float = 0.0


class MemoryServicePort(ServicePort):
    """Service port of one VM, connected to the plain services' models.

    Attributes:
        run_s: Duration of a call, in s.
        faults: Fault probabilities.
    """

    def __init__(self,
                 vm: str,
                 network: Network,
                 models: dict[EndpointId, ServiceModel],
                 rng: random.Random,
                 audit: Audit | None = None) -> None:
        self.audit = audit or Audit()
        self.vm = vm
        self.network = network
        self.models = models
        self.rng = rng
        self.run_s = 0.01
        self.faults = ServiceFaults()

    def call(self, effect: fx.CallService, post: Post) -> None:
        self.network.schedule(lambda: self._run(effect, post))

    def _run(self, effect: fx.CallService, post: Post) -> None:
        model = self.models.get(effect.endpoint)
        reached = self.network.reaches(self.vm, effect.endpoint)
        if model is None or not reached or self._occurs(self.faults.refuse):
            failed = ev.AttemptFailed(effect.attempt,
                                      ev.Failure.CONNECT_REFUSED)
            self.network.schedule(lambda: post(failed))
            return
        run = model.run(effect.scoped_key)
        self.audit.started.add(effect.request)
        if effect.key and run.executed:
            self.audit.runs[RunOnceCall(effect.team, effect.service,
                                        effect.key)] += 1
        if self._occurs(self.faults.hang):
            return
        asyncio.get_running_loop().call_later(
            self.run_s, lambda: self._answer(effect, run, post))

    def _answer(self, effect: fx.CallService, run: Run, post: Post) -> None:
        event: Event = ev.ServiceAnswered(effect.attempt, effect.request, 200,
                                          str(run.count).encode())
        if self._occurs(self.faults.misroute):
            event = ev.ServiceAnswered(effect.attempt, RequestId('another'),
                                       200, b'crossed')
        cut = not self.network.reaches(self.vm, effect.endpoint)
        if cut or self._occurs(self.faults.lose_answer):
            event = ev.AttemptFailed(effect.attempt, ev.Failure.BROKEN)
        self.network.schedule(lambda: post(event))

    def _occurs(self, probability: float) -> bool:
        return probability > 0.0 and self.rng.random() < probability
