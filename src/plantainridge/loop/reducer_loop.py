"""Takes events into a reducer and carries out its effects, with timers."""

import abc
import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from plantainridge.loop import effects as base
from plantainridge.loop.events import Event, TimerFired, TimerKey

EffectHandler = Callable[[Any], None]


class ReducerLoop(abc.ABC):
    """A reducer with its timers, on the running loop.

    Attributes:
        watchers: Called before each event is taken in and each effect carried
            out; a watcher may halt or pause the process just there.
        halted: True once the process was killed; events are then dropped.
        paused: True while the process stands still and events pile up.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.halted = False
        self.paused = False
        self.watchers: list[Callable[[Event | base.Effect], None]] = []
        self._queue: deque[Event] = deque()
        self._effects: deque[base.Effect] = deque()
        self._watched = False
        self._busy = False
        self._exiting = False
        self._timers: dict[TimerKey, asyncio.TimerHandle] = {}
        self.effect_handlers: dict[type[base.Effect], EffectHandler] = {
            base.SetTimer: self._set_timer,
            base.CancelTimer: self._cancel_timer,
            base.Exit: self._exit,
        }

    @abc.abstractmethod
    def first_effects(self, now: float) -> list[base.Effect]:
        """Returns what a new process does first."""

    @abc.abstractmethod
    def reduce(self, event: Event, now: float) -> list[base.Effect]:
        """Takes one event in and returns what is to be done, in order."""

    @abc.abstractmethod
    def on_exit(self) -> None:
        """Called once all that came before the end has been taken in."""

    def start(self) -> None:
        """Carries out the first effects of the process."""
        self._effects.extend(self.first_effects(self.loop.time()))
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
        if self._exiting and not self.paused and not self.halted:
            self._exiting = False
            self.on_exit()

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
            self._effects.extend(self.reduce(upcoming, self.loop.time()))
            return
        self._effects.popleft()
        carrier = self.effect_handlers.get(type(upcoming))
        if carrier is not None:
            carrier(upcoming)

    def _set_timer(self, effect: base.SetTimer) -> None:
        self._cancel_timer(base.CancelTimer(effect.key))
        self._timers[effect.key] = self.loop.call_at(effect.at, self._fire,
                                                     effect.key)

    def _cancel_timer(self, effect: base.CancelTimer) -> None:
        handle = self._timers.pop(effect.key, None)
        if handle is not None:
            handle.cancel()

    def _fire(self, key: TimerKey) -> None:
        self._timers.pop(key, None)
        self.post(TimerFired(key))

    def _exit(self, effect: base.Exit) -> None:
        # Requests that came before the end still get their final word.
        del effect
        self._exiting = True
