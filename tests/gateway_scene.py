"""Fixture: a gateway's reducer with configuration and endpoints, no I/O."""

import math
import random
from typing import Any, TypeVar

import attrs

from plantainridge.gateway import config, reducer
from plantainridge.gateway import events as ev
from plantainridge.gateway.config import RequestKind
from plantainridge.gateway.endpoints import EndpointEntry
from plantainridge.gateway.events import TimerKind, View
from plantainridge.gateway.settings import GatewaySettings
from plantainridge.gateway.state import GatewayState
from plantainridge.ids import (DcId, EndpointId, Incarnation, ModelId,
                               RequestId, ServiceId, TeamId, VmId)
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event, TimerFired, TimerKey

E = TypeVar('E')

LOCAL_DC = DcId('near')
REMOTE_DC = DcId('far')
ENGINES = ServiceId('engines')
LEDGER = ServiceId('ledger')
MODEL = ModelId('m')
TEAM = config.Team(TeamId('team'), frozenset({'key'}), priority=0)
ISOLATED = config.Team(TeamId('alone'), frozenset({'other'}), isolated=True)
HEADERS = ((b'host', b'host'), (b'content-type', b'text/plain'))


def route(prefix: str, kind: RequestKind, service: ServiceId,
          **overrides: Any) -> config.Route:
    """Return a route to one service."""
    fields: dict[str, Any] = {
        'target_s': 1.0,
        'timeout_s': 10.0,
        'gap_s': 0.3,
        'attempts': 2
    }
    fields.update(overrides)
    return config.Route(prefix, 'host', prefix, kind,
                        (config.Share(service, 1.0),), **fields)


ROUTES = (
    route('/report/', RequestKind.STREAM, ENGINES, resumable=True),
    route('/tag/', RequestKind.STREAM, ENGINES, attempts=1),
    route('/submit/', RequestKind.ONCE, LEDGER, attempts=1),
    route('/view/', RequestKind.IDEMPOTENT, LEDGER, target_s=0.3),
)

STORES = tuple(
    config.Service(ServiceId(name),
                   store=config.StoreSpec(f'10.0.9.{at}:1', LOCAL_DC, 100_000,
                                          84_000.0, 0.0005))
    for at, name in enumerate(('store-a', 'store-b')))

SERVICES = (config.Service(ENGINES,
                           engine=config.EngineSpec(64, 84_000, 18_432,
                                                    550_000.0, (MODEL,))),
            config.Service(LEDGER), *STORES)


def configuration(version: int = 1, **overrides: Any) -> config.Configuration:
    """Return a configuration with the default routes and teams."""
    return config.build(version=version,
                        routes=overrides.get('routes', ROUTES),
                        services=overrides.get('services', SERVICES),
                        teams=overrides.get('teams', (TEAM, ISOLATED)),
                        limits=overrides.get('limits', config.CallerLimits()))


def endpoint(name: str,
             service: ServiceId = ENGINES,
             dc: DcId = LOCAL_DC,
             **overrides: Any) -> EndpointEntry:
    """Return an endpoint's registry entry."""
    fields: dict[str, Any] = {
        'slots': 64 if service == ENGINES else 6,
        'draining': False,
        'versions': {
            MODEL: 1
        } if service == ENGINES else {}
    }
    fields.update(overrides)
    return EndpointEntry(EndpointId(name), service, f'{name}:1', dc, **fields)


def request(target: str, name: str = 'r1', **overrides: Any) -> ev.Request:
    """Return a request with the team's API key."""
    fields: dict[str, Any] = {
        'key': 'key',
        'caller_timeout_s': 10.0,
        'body': b''
    }
    if target.startswith(('/report', '/tag')):
        fields.update(model=MODEL, prompt_tokens=1_000, output_tokens=50)
    fields.update(overrides)
    return ev.Request(RequestId(name), f'caller-{name}', 'POST', 'host', target,
                      HEADERS, **fields)


def settings(vm: str = 'vm1') -> GatewaySettings:
    """Return the settings of a VM in the local data centre."""
    return GatewaySettings(VmId(vm),
                           LOCAL_DC,
                           '10.0.0.1',
                           '10.0.0.1:1',
                           '10.0.0.1:2',
                           3,
                           4,
                           '10.9.9.9:1',
                           tunnel_port=5)


class GatewayScene:
    """A VM's reducer on a clock that the test advances.

    Attributes:
        now: Loop time in s.
        done: All effects so far, except timers, metrics and log lines.
        lines: All log lines so far.
        timers: Loop times of the timers that are set, in s.
        tolerates_errors: Whether an event may fail.

    Unless the VM is new, its process has run for longer than the window of the
    retry budget, and knows seven other VMs.
    """

    def __init__(self,
                 *entries: EndpointEntry,
                 vm: str = 'vm1',
                 now: float = 100.0,
                 is_new: bool = False,
                 is_first_start: bool = False) -> None:
        self.state = GatewayState(
            attrs.evolve(settings(vm), is_first_start=is_first_start),
            Incarnation('life'), random.Random(1))
        self.now = now
        self.done: list[base.Effect] = []
        self.lines: list[base.LogLine] = []
        self.timers: dict[TimerKey, float] = {}
        self.tolerates_errors = False
        self._record(reducer.start(self.state, self.now))
        if not is_new:
            self.state.retries.started_at = -math.inf
            self.state.retries.vm_count = 8
        self.read(View.OPERATOR, configuration(), is_snapshot=True)
        self.read(View.REGISTRY, *entries, is_snapshot=True)
        # The first start of a deployment: nothing has been recorded.
        self.post(ev.BuildsRead(None, 0))
        self.post(ev.SuspectsRead(None, 0))

    def read(self,
             view: View,
             *updates: ev.ViewUpdate,
             is_snapshot: bool = False) -> None:
        """Post updates of a view."""
        self.post(ev.ViewRead(view, is_snapshot, updates, 1,
                              issued_at=self.now))

    def post(self, event: Event) -> list[base.Effect]:
        """Reduce an event and return its effects, as recorded in `done`."""
        return self._record(reducer.reduce(self.state, event, self.now))

    def post_request(self,
                     target: str,
                     name: str = 'r1',
                     **overrides: Any) -> Any:
        """Post a request and return the latest recorded effect."""
        self.post(ev.RequestArrived(request(target, name, **overrides)))
        return self.done[-1]

    def advance(self, seconds: float) -> None:
        """Advance the clock and fire the timers that are due, in order."""
        end = self.now + seconds
        while self.timers:
            key = min(self.timers, key=lambda each: self.timers[each])
            if self.timers[key] > end:
                break
            self.now = max(self.now, self.timers.pop(key))
            self.post(TimerFired(key))
        self.now = end

    def tick(self) -> None:
        """Fire the periodic timer."""
        self.post(TimerFired(TimerKey(TimerKind.TICK)))

    def all(self, kind: type[E]) -> list[E]:
        """Return all effects of a type so far."""
        return [each for each in self.done if isinstance(each, kind)]

    def last(self, kind: type[E]) -> E:
        """Return the latest effect of a type."""
        return self.all(kind)[-1]

    def _record(self, effects: list[base.Effect]) -> list[base.Effect]:
        recorded: list[base.Effect] = []
        for effect in effects:
            if isinstance(effect, base.SetTimer):
                self.timers[effect.key] = effect.at
            elif isinstance(effect, base.CancelTimer):
                self.timers.pop(effect.key, None)
            elif isinstance(effect, base.LogLine):
                self.lines.append(effect)
                if effect.event == 'event_failed' and not self.tolerates_errors:
                    raise AssertionError(dict(effect.fields)['trace'])
            elif not isinstance(effect, base.Observe):
                recorded.append(effect)
        self.done.extend(recorded)
        return recorded


def head(status: int = 200, **overrides: Any) -> ev.AnswerHead:
    """Return the head of an endpoint's answer."""
    fields: dict[str, Any] = {'signed': True, 'not_run': False}
    fields.update(overrides)
    return ev.AnswerHead(status, HEADERS, **fields)
