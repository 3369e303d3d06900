"""Bench of one gateway VM's processor time, by kind of event.

One VM's reducer runs as one of a deployment's, on a virtual clock; the other
VMs are messages at the rates at which they would send them. Processor time is
real. Sockets and HTTP are not included.
"""

import cProfile
import gc
import heapq
import io
import itertools
import pstats
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs
import click

from plantainridge import benches
from plantainridge.gateway import config, peer_messages, reducer
from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.config import RequestKind
from plantainridge.gateway.endpoints import EndpointEntry, EndpointLoad
from plantainridge.gateway.events import View
from plantainridge.gateway.hints import HintReceived, LoadTotalsReceived
from plantainridge.gateway.peer_messages import (Hint, LoadTotals, OwnLoad,
                                                 RelayedStore, StoreBatch)
from plantainridge.gateway.settings import GatewaySettings
from plantainridge.gateway.state import GatewayState
from plantainridge.gateway.stores import StoreRelayed
from plantainridge.ids import (DcId, EndpointId, Incarnation, ModelId,
                               RequestId, ServiceId, TeamId, VmId)
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event, TimerFired, TimerKey

DCS: Final = tuple(DcId(name) for name in ('east', 'middle', 'west'))
MODEL: Final = ModelId('m')
ENGINES: Final = ServiceId('engines')
TEAM: Final = config.Team(TeamId('team'), frozenset({'key'}))
# Time before measuring begins, in s: views, hints and stores are known then.
SETTLE_S: Final = 4.0
# Interval of the operators' and the registry's relays, in s.
RELAY_INTERVAL_S: Final = 0.9
# Interval of a store's relays, in s.
STORE_INTERVAL_S: Final = 1.5
# Interval of a reporter's totals and of a loaded VM's hints to it, in s.
REPORT_INTERVAL_S: Final = 0.25
# Events of one answer, and the time between them, in s.
STREAM_EVENTS: Final = 30
EVENT_INTERVAL_S: Final = 0.06
FIRST_EVENT_S: Final = 0.4
# Contexts among which the prompts are distributed.
CONTEXTS: Final = 400
# Rate of the measured VM's link: with the higher one it is a reader and the
# load's reporter of its data centre.
LOW_LINK_MBPS: Final = 1.0
HIGH_LINK_MBPS: Final = 1e9
MICROSECONDS_PER_S: Final = 1e6

# Decodes and creates one event, as the process does.
Source = Callable[[], Event]


@attrs.define
class Usage:
    """Processor time of events, by kind.

    Attributes:
        seconds: Processor time, in s.
        counts: Number of events.
    """

    seconds: defaultdict[str, float] = attrs.field(
        factory=lambda: defaultdict(float))
    counts: Counter[str] = attrs.field(factory=Counter)


class ControlBench:
    """One VM on a virtual clock, before simulated peers and endpoints."""

    def __init__(self, vms: int, engines: int, stores: int, rate: float,
                 is_reporter: bool, seed: int) -> None:
        """Create the VM and load its views.

        Args:
            vms: VMs of the deployment, in all data centres.
            engines: Engines.
            stores: KV cache stores.
            rate: Prompts that arrive at each VM, per s.
            is_reporter: Whether the VM reads and reports for its data centre.
            seed: Seed of arrivals and prompts.
        """
        self.rng = random.Random(seed)
        self.rate = rate
        self.now = 1_000.0
        link_mbps = HIGH_LINK_MBPS if is_reporter else LOW_LINK_MBPS
        settings = GatewaySettings(VmId('vm0'),
                                   DCS[0],
                                   '10.0.0.1',
                                   '10.0.0.1:1',
                                   '10.0.0.1:2',
                                   3,
                                   4,
                                   '10.9.9.9:1',
                                   link_mbps=link_mbps)
        self.state = GatewayState(settings, Incarnation('life'), self.rng)
        self.usage = Usage()
        self.timers: dict[TimerKey, float] = {}
        self.profile: cProfile.Profile | None = None
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, str, Source]] = []
        self._vms = [VmId(f'vm{at}') for at in range(vms)]
        self._engines = [EndpointId(f'engine-{at}') for at in range(engines)]
        self._stores = [ServiceId(f'store-{at}') for at in range(stores)]
        self._numbers: Counter[str] = Counter()
        self._apply(reducer.start(self.state, self.now))
        self._load_views(link_mbps)
        self._start_peers()

    def run(self, seconds: float) -> None:
        """Advance the clock, reducing what is due."""
        end = self.now + seconds
        while True:
            key = min(self.timers, key=lambda each: self.timers[each])
            at = self.timers[key]
            if self._queue and self._queue[0][0] <= at:
                at, _, kind, source = heapq.heappop(self._queue)
            else:
                del self.timers[key]
                kind, source = key.kind.name, _fired(key)
            if at > end:
                self._queue_event(at, kind, source)
                break
            self.now = max(self.now, at)
            self._measure(kind, source)
        self.now = end

    def _measure(self, kind: str, source: Source) -> None:
        if self.profile is not None:
            self.profile.enable()
        started_at = time.process_time()
        effects = reducer.reduce(self.state, source(), self.now)
        self.usage.seconds[kind] += time.process_time() - started_at
        if self.profile is not None:
            self.profile.disable()
        self.usage.counts[kind] += 1
        self._apply(effects)

    def _queue_event(self, at: float, kind: str, source: Source) -> None:
        heapq.heappush(self._queue, (at, next(self._sequence), kind, source))

    def _apply(self, effects: list[base.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, base.SetTimer):
                self.timers[effect.key] = effect.at
            elif isinstance(effect, base.CancelTimer):
                self.timers.pop(effect.key, None)
            elif isinstance(effect, fx.Send):
                self._answer(effect)
            elif isinstance(effect, fx.ReadView):
                self._answer_read(effect)
            elif isinstance(effect, fx.ListStore):
                listed = ev.StoreListed(effect.store, 1, 0, {}, {})
                self._queue_event(self.now + 0.01, 'store', _constant(listed))
            elif isinstance(effect, fx.PollStore):
                changed = ev.StoreChanged(effect.store, 1, effect.since, False,
                                          (), self.now * 1_000)
                self._queue_event(self.now + effect.wait_s, 'store',
                                  _constant(changed))
            elif (isinstance(effect, base.LogLine) and
                  effect.event == 'event_failed'):
                raise RuntimeError(dict(effect.fields)['trace'])

    def _answer_read(self, effect: fx.ReadView) -> None:
        read = ev.ViewRead(effect.view,
                           False, (),
                           effect.offset, (),
                           issued_at=self.now)
        self._queue_event(self.now + max(0.01, effect.wait_s), 'view read',
                          lambda: read)

    def _answer(self, effect: fx.Send) -> None:
        """Queue the events of an engine's answer."""
        head = ev.AnswerHead(200, (),
                             signed=True,
                             not_run=False,
                             load=EndpointLoad(20, 0, 64, self.now),
                             version=effect.version)
        attempt = effect.attempt
        started = ev.StreamStarted(attempt, head)
        at = self.now + FIRST_EVENT_S
        self._queue_event(at, 'answer start', lambda: started)
        for number in range(STREAM_EVENTS):
            received = ev.StreamEventsReceived(attempt, b'id: 1\ndata: x\n\n',
                                               str(number), str(number))
            at += EVENT_INTERVAL_S
            self._queue_event(at, 'answer event', _constant(received))
        ended = ev.StreamEnded(attempt)
        self._queue_event(at + EVENT_INTERVAL_S, 'answer end', lambda: ended)

    def _load_views(self, link_mbps: float) -> None:
        services = [
            config.Service(ENGINES,
                           engine=config.EngineSpec(64, 94_194, 18_432,
                                                    550_000.0, (MODEL,)))
        ]
        services += [
            config.Service(name,
                           store=config.StoreSpec(f'10.1.0.{at}:1', DCS[0],
                                                  1_000_000, 84_000.0, 0.0005))
            for at, name in enumerate(self._stores)
        ]
        route = config.Route('/report/',
                             'host',
                             '/report/',
                             RequestKind.STREAM, (config.Share(ENGINES, 1.0),),
                             target_s=0.845,
                             timeout_s=10.0,
                             gap_s=0.3,
                             attempts=2)
        entries = [
            EndpointEntry(name,
                          ENGINES,
                          f'{name}:1',
                          DCS[at % len(DCS)],
                          64,
                          False,
                          versions={MODEL: 1})
            for at, name in enumerate(self._engines)
        ]
        vms = [
            ev.VmEntry(name, DCS[at % len(DCS)], f'{name}:1',
                       100.0 if at else link_mbps)
            for at, name in enumerate(self._vms)
        ]
        built = config.build(version=1,
                             routes=(route,),
                             services=tuple(services),
                             teams=(TEAM,),
                             limits=config.CallerLimits())
        named = ev.NamedVersion(MODEL, 1)
        for view, updates in ((View.OPERATOR, (built, named)),
                              (View.REGISTRY, entries), (View.VMS, vms)):
            read = ev.ViewRead(view,
                               True,
                               tuple(updates),
                               1,
                               issued_at=self.now)
            self._apply(reducer.reduce(self.state, read, self.now))

    def _start_peers(self) -> None:
        """Queue the first message of each kind from each sender."""
        local = [
            name for at, name in enumerate(self._vms)
            if at and at % len(DCS) == 0
        ]
        is_reporter = self.state.settings.link_mbps == HIGH_LINK_MBPS
        is_direct = len(self._vms) <= 12
        own_interval_s = 0.3 if self.rate else 1.0
        interval_s = max(own_interval_s, min(1.0, 0.04 * (len(local) + 1)))
        if is_reporter and self.rate and not is_direct:
            interval_s = REPORT_INTERVAL_S
        senders = self._vms[1:] if is_direct and self.rate else local
        for name in senders:
            self._repeat('hint', interval_s, self._hint(name))
        if not is_direct and not is_reporter:
            self._repeat('totals', REPORT_INTERVAL_S, self._totals())
        if not is_reporter:
            for view in (View.OPERATOR, View.REGISTRY):
                self._repeat('view relay', RELAY_INTERVAL_S,
                             _constant(ev.ViewRelayed(view, 1, 1, ())))
            for store in self._stores:
                self._repeat('store relay', STORE_INTERVAL_S,
                             self._store_relay(store))
        if self.rate:
            self._queue_arrival()

    def _repeat(self, kind: str, interval_s: float, source: Source) -> None:
        """Queue an event now and then at an interval."""

        def fire() -> Event:
            self._queue_event(self.now + interval_s, kind, fire)
            return source()

        self._queue_event(self.now + self.rng.uniform(0.0, interval_s), kind,
                          fire)

    def _loads(self, count: int) -> dict[EndpointId, OwnLoad]:
        if not self.rate:
            return {}
        chosen = self.rng.sample(self._engines, min(count, len(self._engines)))
        return {
            name: OwnLoad(self.rng.randrange(8_000), 12_000, 2, 0.0)
            for name in chosen
        }

    def _hint(self, name: VmId) -> Source:
        payloads = [
            peer_messages.encode(
                Hint(name,
                     Incarnation('life'),
                     0,
                     self._loads(6),
                     work={ENGINES: 30_000.0} if self.rate else {}))
            for _ in range(4)
        ]

        def source() -> Event:
            # The number is set here: encoding is not the receiver's work.
            self._numbers[name] += 1
            hint = peer_messages.decode(self.rng.choice(payloads))
            assert isinstance(hint, Hint)
            return HintReceived(attrs.evolve(hint, number=self._numbers[name]))

        return source

    def _totals(self) -> Source:
        totals = LoadTotals(VmId('vm3'), Incarnation('life'), 1,
                            self._loads(len(self._engines)), False,
                            {dc: {
                                ENGINES: 400_000.0
                            } for dc in DCS})
        payload = peer_messages.encode(totals)

        def source() -> Event:
            decoded = peer_messages.decode(payload)
            assert isinstance(decoded, LoadTotals)
            return LoadTotalsReceived(decoded)

        return source

    def _store_relay(self, store: ServiceId) -> Source:

        def source() -> Event:
            view = self.state.stores.views[store]
            relay = RelayedStore(VmId('vm3'), store, view.epoch or 0, view.next,
                                 view.next, view.epoch is None, False, (),
                                 self.now * 1_000)
            batch = peer_messages.decode(
                peer_messages.encode(StoreBatch((relay,))))
            assert isinstance(batch, StoreBatch)
            return StoreRelayed(batch.relays[0])

        return source

    def _queue_arrival(self) -> None:
        at = self.now + self.rng.expovariate(self.rate)

        def source() -> Event:
            self._queue_arrival()
            number = next(self._sequence)
            context = self.rng.randrange(CONTEXTS)
            parts = (ev.Part(f'shared-{context}',
                             9_122), ev.Part(f'own-{number}', 2_870))
            return ev.RequestArrived(
                ev.Request(RequestId(f'r{number}'),
                           f'caller-{number}',
                           'POST',
                           'host',
                           '/report/x', ((b'host', b'host'),),
                           b'',
                           key='key',
                           caller_timeout_s=10.0,
                           model=MODEL,
                           prompt_tokens=11_992,
                           output_tokens=100,
                           parts=parts))

        self._queue_event(at, 'request', source)


def _fired(key: TimerKey) -> Source:
    return lambda: TimerFired(key)


def _constant(event: Event) -> Source:
    return lambda: event


def measure(bench: ControlBench, seconds: float) -> dict[str, Any]:
    """Return processor time and events of a VM, by kind of event."""
    bench.run(SETTLE_S)
    bench.usage = Usage()
    gc.collect()
    bench.run(seconds)
    usage = bench.usage
    kinds = {
        kind: {
            'us_each':
                round(usage.seconds[kind] / count * MICROSECONDS_PER_S, 1),
            'per_s':
                round(count / seconds, 1)
        } for kind, count in sorted(usage.counts.items())
    }
    return {
        'core_share': round(sum(usage.seconds.values()) / seconds, 5),
        'kinds': kinds
    }


def _sizes(text: str) -> Iterator[int]:
    return (int(each) for each in text.split(','))


def run(sizes: str, engines: int, stores: int, rate: float, seconds: float,
        profile_vms: int, seed: int) -> dict[str, Any]:
    """Measure an ordinary VM idle and loaded, and a loaded reporter.

    Args:
        sizes: Numbers of VMs, separated by commas.
        engines: Engines.
        stores: KV cache stores.
        rate: Prompts that arrive at each VM while it is loaded, per s.
        seconds: Loop time that is measured, in s.
        profile_vms: Number of VMs at which the loaded reporter is profiled, or
            0.
        seed: Seed of arrivals and prompts.
    """
    figures: dict[str, Any] = {}
    for size in _sizes(sizes):
        for name, load, is_reporter in (('idle', 0.0, False),
                                        ('loaded', rate, False), ('reporter',
                                                                  rate, True)):
            bench = ControlBench(size, engines, stores, load, is_reporter, seed)
            figures[f'{size} {name}'] = measure(bench, seconds)
    if profile_vms:
        for is_reporter in (False, True):
            bench = ControlBench(profile_vms, engines, stores, rate,
                                 is_reporter, seed)
            bench.run(SETTLE_S)
            bench.profile = cProfile.Profile()
            bench.run(seconds)
            text = io.StringIO()
            stats = pstats.Stats(bench.profile, stream=text)
            stats.sort_stats('tottime').print_stats(30)
            click.echo(text.getvalue(), err=True)
    return figures


@click.command('control')
@click.option('--sizes', default='7,21,60,134,200', show_default=True)
@click.option('--engines', type=click.IntRange(1, 1_000), default=45)
@click.option('--stores', type=click.IntRange(0, 200), default=25)
@click.option('--rate', type=click.FloatRange(0.1, 100), default=3.0)
@click.option('--seconds', type=click.FloatRange(1, 3_600), default=20.0)
@click.option('--profile-vms', type=click.IntRange(0, 1_000), default=0)
@benches.options
def command(**arguments: Any) -> dict[str, Any]:
    """Measure the processor time of one gateway VM, by kind of event."""
    return run(**arguments)
