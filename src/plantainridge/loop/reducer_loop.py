"""Event loop that passes events to a reducer and executes its effects."""

import abc
import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from plantainridge.loop import effects as fx
from plantainridge.loop.events import Event, TimerFired, TimerKey

EffectHandler = Callable[[Any], None]


class ReducerLoop(abc.ABC):
    """A reducer and its timers on the running asyncio loop.

    Attributes:
        effect_handlers: Function that executes each type of effect; effects
            without a handler are ignored.
        watchers: Called before each event is reduced and each effect executed;
            a watcher may halt or pause the process at that point.
        halted: True after `halt`; events are then dropped.
        paused: True while the process is paused and events are queued.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.halted = False
        self.paused = False
        self.watchers: list[Callable[[Event | fx.Effect], None]] = []
        self._queue: deque[Event] = deque()
        self._effects: deque[fx.Effect] = deque()
        self._watchers_called = False
        self._is_running = False
        self._exiting = False
        self._timers: dict[TimerKey, asyncio.TimerHandle] = {}
        self.effect_handlers: dict[type[fx.Effect], EffectHandler] = {
            fx.SetTimer: self._set_timer,
            fx.CancelTimer: self._cancel_timer,
            fx.Exit: self._exit,
        }

    @abc.abstractmethod
    def first_effects(self, now: float) -> list[fx.Effect]:
        """Return the effects of a process's start."""

    @abc.abstractmethod
    def reduce(self, event: Event, now: float) -> list[fx.Effect]:
        """Handle one event and return its effects, in order."""

    @abc.abstractmethod
    def on_exit(self) -> None:
        """Handle `Exit`, once all queued events and effects are done."""

    def start(self) -> None:
        """Execute the effects of the process's start."""
        self._effects.extend(self.first_effects(self.loop.time()))
        self._run()

    def post(self, event: Event) -> None:
        """Queue and handle an event; reentrant calls only queue it."""
        if self.halted:
            return
        self._queue.append(event)
        self._run()

    def pause(self) -> None:
        """Stop handling events while time passes, as on a stalled VM."""
        self.paused = True

    def resume(self) -> None:
        """Continue, and handle the events queued meanwhile in order."""
        self.paused = False
        self._run()

    def halt(self) -> None:
        """Stop immediately and drop timers, events and effects.

        This has the effect of killing the process.
        """
        self.halted = True
        for handle in self._timers.values():
            handle.cancel()
        self._timers.clear()
        self._queue.clear()
        self._effects.clear()

    def _run(self) -> None:
        if self._is_running:
            return
        self._is_running = True
        try:
            while not self.paused and (self._effects or self._queue):
                self._step()
        finally:
            self._is_running = False
        if self._exiting and not self.paused and not self.halted:
            self._exiting = False
            self.on_exit()

    def _step(self) -> None:
        upcoming = self._effects[0] if self._effects else self._queue[0]
        # A step that a watcher delays by a pause is not shown to them again.
        if not self._watchers_called:
            self._watchers_called = True
            for watcher in self.watchers:
                watcher(upcoming)
            # A watcher may have halted or paused the process.
            if self.halted or self.paused:
                return
        self._watchers_called = False
        if isinstance(upcoming, Event):
            self._queue.popleft()
            self._effects.extend(self.reduce(upcoming, self.loop.time()))
            return
        self._effects.popleft()
        handler = self.effect_handlers.get(type(upcoming))
        if handler is not None:
            handler(upcoming)

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
        # Events queued before `Exit` are handled first, so that their requests
        # get a final answer.
        del effect
        self._exiting = True
