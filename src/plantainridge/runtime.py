"""Runs the reducer on an event loop and carries out its effects."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from plantainridge import effects as fx
from plantainridge import orders, reducer
from plantainridge.events import Event, TimerFired, TimerKey
from plantainridge.ports import Ports
from plantainridge.state import VmState


class Runtime:
    """One VM's reducer with its timers and ports, on the running loop.

    Attributes:
        state: The reducer's state.
        ports: Where effects go.
        watchers: Called before each event is taken in and each effect carried
            out; a watcher may halt or pause the process just there.
        halted: True once the process was killed; events are then dropped.
        paused: True while the process stands still and events pile up.
    """

    def __init__(self, state: VmState, ports: Ports) -> None:
        self.state = state
        self.ports = ports
        self.loop = asyncio.get_running_loop()
        self.halted = False
        self.paused = False
        self.watchers: list[Callable[[Event | fx.Effect], None]] = []
        self._queue: deque[Event] = deque()
        self._effects: deque[fx.Effect] = deque()
        self._watched = False
        self._busy = False
        self._timers: dict[TimerKey, asyncio.TimerHandle] = {}
        self._carriers: dict[type[fx.Effect], Callable[[Any], None]] = {
            fx.SetTimer: self._set_timer,
            fx.CancelTimer: self._cancel_timer,
            fx.SendTokens: ports.callers.send_tokens,
            fx.FinishAnswer: ports.callers.finish,
            fx.SendServiceAnswer: ports.callers.answer,
            fx.Refuse: ports.callers.refuse,
            fx.StartAttempt: lambda e: ports.engines.start(e, self.post),
            fx.CancelAttempt: ports.engines.cancel,
            fx.CallService: lambda e: ports.services.call(e, self.post),
            fx.AppendLog: lambda e: ports.log.append(e, self.post),
            fx.ReadLog: lambda e: ports.log.read(e, self.post),
            fx.LogLine: ports.report.log,
            fx.Observe: ports.report.observe,
            fx.Exit: self._exit,
        }
        if ports.transfers is not None:
            transfers = ports.transfers
            self._carriers[fx.StartTransfer] = (
                lambda e: transfers.start(e, self.post))
            self._carriers[fx.CancelTransfer] = transfers.cancel
            self._carriers[fx.RaiseBlocks] = transfers.raise_blocks
            self._carriers[fx.ListEndpointCache] = (
                lambda e: transfers.list_cache(e, self.post))
            self._carriers[fx.ListStore] = (
                lambda e: transfers.list_store(e, self.post))
        if ports.orders is not None:
            order_port = ports.orders
            self._carriers[orders.OrderEngine] = (
                lambda e: order_port.order(e, self.post))
            self._carriers[orders.AskEngine] = (
                lambda e: order_port.ask(e, self.post))
        if ports.peers is not None:
            self._carriers[fx.SendPeer] = ports.peers.send

    def start(self) -> None:
        """Carries out the first effects of the process."""
        self._effects.extend(reducer.start(self.state, self.loop.time()))
        self._run()

    def post(self, event: Event) -> None:
        """Takes one event in; reentrant calls are queued in order."""
        if self.halted:
            return
        self._queue.append(event)
        self._run()

    def pause(self) -> None:
        """Stands still while time goes on, as a stalled VM does."""
        self.paused = True

    def resume(self) -> None:
        """Goes on where it stood; what came meanwhile arrives now, in order."""
        self.paused = False
        self._run()

    def halt(self) -> None:
        """Stops at once, as a killed process does."""
        self.halted = True
        for handle in self._timers.values():
            handle.cancel()
        self._timers.clear()
        self._queue.clear()
        self._effects.clear()

    def _run(self) -> None:
        if self._busy:
            return
        self._busy = True
        try:
            while not self.paused and (self._effects or self._queue):
                self._step()
        finally:
            self._busy = False

    def _step(self) -> None:
        upcoming = self._effects[0] if self._effects else self._queue[0]
        if not self._watched:
            self._watched = True
            for watcher in self.watchers:
                watcher(upcoming)
            # A watcher may have stopped the process just before this step.
            if self.halted or self.paused:
                return
        self._watched = False
        if isinstance(upcoming, Event):
            self._queue.popleft()
            self._effects.extend(
                reducer.reduce(self.state, upcoming, self.loop.time()))
            return
        self._effects.popleft()
        carrier = self._carriers.get(type(upcoming))
        if carrier is not None:
            carrier(upcoming)

    def _set_timer(self, effect: fx.SetTimer) -> None:
        self._cancel_timer(fx.CancelTimer(effect.key))
        self._timers[effect.key] = self.loop.call_at(effect.at, self._fire,
                                                     effect.key)

    def _cancel_timer(self, effect: fx.CancelTimer) -> None:
        handle = self._timers.pop(effect.key, None)
        if handle is not None:
            handle.cancel()

    def _fire(self, key: TimerKey) -> None:
        self._timers.pop(key, None)
        self.post(TimerFired(key))

    def _exit(self, effect: fx.Exit) -> None:
        del effect
        if self.ports.on_exit is not None:
            self.ports.on_exit()
