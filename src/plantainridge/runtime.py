"""The loop that runs a VM's reducer and carries out its effects."""

from plantainridge import effects as fx
from plantainridge import orders, reducer
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event
from plantainridge.loop.reducer_loop import ReducerLoop
from plantainridge.ports import Ports
from plantainridge.state import VmState


class Runtime(ReducerLoop):
    """The reducer loop of one VM.

    Attributes:
        state: The reducer's state.
        ports: Ports that carry out effects.
    """

    def __init__(self, state: VmState, ports: Ports) -> None:
        super().__init__()
        self.state = state
        self.ports = ports
        self.effect_handlers.update({
            fx.SendTokens: ports.callers.send_tokens,
            fx.FinishAnswer: ports.callers.finish,
            fx.SendServiceAnswer: ports.callers.answer,
            fx.Refuse: ports.callers.refuse,
            fx.StartAttempt: lambda e: ports.engines.start(e, self.post),
            fx.CancelAttempt: ports.engines.cancel,
            fx.CallService: lambda e: ports.services.call(e, self.post),
            fx.AppendLog: lambda e: ports.log.append(e, self.post),
            fx.ReadLog: lambda e: ports.log.read(e, self.post),
            base.LogLine: ports.report.log,
            base.Observe: ports.report.observe,
        })
        if ports.transfers is not None:
            transfers = ports.transfers
            self.effect_handlers[fx.StartTransfer] = (
                lambda e: transfers.start(e, self.post))
            self.effect_handlers[fx.CancelTransfer] = transfers.cancel
            self.effect_handlers[fx.PromoteBlocks] = transfers.promote_blocks
            self.effect_handlers[fx.ListEndpointCache] = (
                lambda e: transfers.list_cache(e, self.post))
            self.effect_handlers[fx.ListStore] = (
                lambda e: transfers.list_store(e, self.post))
        if ports.orders is not None:
            order_port = ports.orders
            self.effect_handlers[orders.OrderEngine] = (
                lambda e: order_port.order(e, self.post))
            self.effect_handlers[orders.RequestEngineReport] = (
                lambda e: order_port.request_report(e, self.post))
        if ports.peers is not None:
            self.effect_handlers[base.SendPeer] = ports.peers.send

    def first_effects(self, now: float) -> list[base.Effect]:
        return reducer.start(self.state, now)

    def reduce(self, event: Event, now: float) -> list[base.Effect]:
        return reducer.reduce(self.state, event, now)

    def on_exit(self) -> None:
        if self.ports.on_exit is not None:
            self.ports.on_exit()
