"""Model of an engine's order interface, with its in-memory port."""

import asyncio
import random
from typing import Final

import attrs

from plantainridge import orders
from plantainridge.ids import EndpointId
from plantainridge.loop.ports import Post
from plantainridge.orders import LoadedModel, OrderOutcome
from plantainridge.ports import OrderPort
from plantainridge.standins.engine import EngineModel
from plantainridge.standins.memory import Network
from plantainridge.standins.weights import WeightStore

LOST_ANSWER_TIMEOUT_S: Final = 5.0


@attrs.define(eq=False)
class OrderHandler:
    """One engine's order interface.

    Attributes:
        checks_fencing: Whether it refuses orders with an outdated fencing
            token.
        highest_fence: Highest fencing token received.
        executed: Executed orders, as (fencing token, target).
    """

    engine: EngineModel
    weights: WeightStore
    loaded: LoadedModel
    checks_fencing: bool = True
    highest_fence: int = -1
    loading: bool = False
    executed: list[tuple[int, LoadedModel]] = attrs.field(factory=list)

    async def order(self, fence: int, target: LoadedModel) -> OrderOutcome:
        """Execute an order; one for what is already loaded does nothing."""
        if self.checks_fencing and fence < self.highest_fence:
            return OrderOutcome.FENCED
        self.highest_fence = max(self.highest_fence, fence)
        if not self.engine.alive or self.loading:
            return OrderOutcome.FAILED
        if target == self.loaded:
            return OrderOutcome.DONE
        self.executed.append((fence, target))
        if target.version != self.loaded.version or (target.model
                                                     != self.loaded.model):
            self.loading = True
            await self.weights.load()
            self.loading = False
        self.loaded = target
        self.engine.version = target.version
        return OrderOutcome.DONE


class MemoryOrderPort(OrderPort):
    """Order port of one VM, connected to the engines' order interfaces.

    Attributes:
        lose_answer: Probability that the answer to an executed order is lost.
    """

    def __init__(self, vm: str, network: Network, handlers: dict[EndpointId,
                                                                 OrderHandler],
                 rng: random.Random) -> None:
        self.vm = vm
        self.network = network
        self.handlers = handlers
        self.rng = rng
        self.lose_answer = 0.0
        self.tasks: set[asyncio.Task[None]] = set()

    def order(self, effect: orders.OrderEngine, post: Post) -> None:
        task = asyncio.get_running_loop().create_task(self._order(effect, post))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _order(self, effect: orders.OrderEngine, post: Post) -> None:
        await asyncio.sleep(self.network.latency_s)
        outcome = OrderOutcome.UNKNOWN
        handler = self.handlers.get(effect.endpoint)
        if handler is not None and self.network.reaches(self.vm,
                                                        effect.endpoint):
            outcome = await handler.order(effect.fence, effect.target)
        if self.rng.random() < self.lose_answer:
            await asyncio.sleep(LOST_ANSWER_TIMEOUT_S)
            outcome = OrderOutcome.UNKNOWN
        await asyncio.sleep(self.network.latency_s)
        post(orders.OrderEnded(effect.order, effect.endpoint, outcome))

    def request_report(self, effect: orders.RequestEngineReport,
                       post: Post) -> None:
        handler = self.handlers.get(effect.endpoint)
        if (handler is None or not handler.engine.alive or
                not self.network.reaches(self.vm, effect.endpoint)):
            return

        def answer() -> None:
            post(
                orders.EngineReported(effect.endpoint, handler.loaded,
                                      handler.loading))

        self.network.schedule(lambda: self.network.schedule(answer))
