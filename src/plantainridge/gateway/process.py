"""The process of one gateway VM."""

import asyncio
import gc
import random
import signal
import time
import traceback
import uuid
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import drain, peer_messages, reducer
from plantainridge.gateway.events import (SettingsRead, StopRequested, View,
                                          ViewRelayed, ViewRequested)
from plantainridge.gateway.hints import (DcLoadReceived, HintReceived,
                                         LoadTotalsReceived, RatesReceived)
from plantainridge.gateway.coordination import (PlacementAnswered,
                                                PlacementRequested, RunReported)
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.http_server import HttpServer, PageServer
from plantainridge.gateway.log_writer import LogWriter
from plantainridge.gateway.peer_messages import (
    DcLoad, Hint, LoadTotals, OriginQuestion, PlacementAnswer, PlacementRequest,
    RateReports, RelayedStore, RelayedView, RunReport, StoreBatch,
    StoreSnapshotRequest, StreamOrigins, ViewRequest)
from plantainridge.gateway.resumptions import OriginsAsked, OriginsReceived
from plantainridge.gateway.poll_times import PollTimes, TimedSelector
from plantainridge.gateway.ports import Adapter
from plantainridge.gateway.sender import EndpointSender
from plantainridge.gateway.settings import GatewaySettings
from plantainridge.gateway.state import GatewayState
from plantainridge.gateway.stores import StoreRelayed, StoreSnapshotRequested
from plantainridge.gateway.tunnels import TunnelServer
from plantainridge.ids import Incarnation
from plantainridge.loop import effects as base
from plantainridge.loop.events import Event, PeerMessageReceived
from plantainridge.loop.peers_net import NetPeers
from plantainridge.loop.reducer_loop import ReducerLoop
from plantainridge.loop.tasks import Tasks
from plantainridge.metrics import Metrics

HOUSEKEEPING_INTERVAL_S: Final = 0.5
# Allocations between two garbage collections: requests leave few reference
# cycles, so that frequent collections cost more time than they save memory.
GC_THRESHOLD_ALLOCATIONS: Final = 20_000
READINESS_PATH: Final = '/readiness'
METRICS_PATH: Final = '/metrics'


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock includes time in which the VM was suspended.

    Attributes:
        poll_times: When it polled its sockets.
    """

    def __init__(self) -> None:
        selector = TimedSelector(self.time)
        super().__init__(selector)
        self.poll_times = selector.times

    def time(self) -> float:
        """Return the time since the VM booted, in s."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class Gateway(ReducerLoop):
    """One VM's gateway process on the running event loop.

    Attributes:
        state: The reducer's state.
        exited: Set once the process may exit after a stop request.
    """

    def __init__(self,
                 settings: GatewaySettings,
                 adapter: Adapter,
                 log_writer: LogWriter | None = None) -> None:
        """Create the process without starting it.

        Args:
            settings: Identity, addresses and limits.
            adapter: Connects the gateway to the platform.
            log_writer: Writes log lines; by default, to standard output.
        """
        super().__init__()
        incarnation = Incarnation(uuid.uuid4().hex)
        self.state = GatewayState(settings, incarnation,
                                  random.Random(incarnation))
        self.state.retries.bounds = settings.bounds
        self.adapter = adapter
        self.pool = Pool(settings.host)
        self.metrics = Metrics()
        self.log_writer = log_writer or LogWriter(settings.vm)
        self.tasks = Tasks(self._log_task_failure)
        self.exited = asyncio.Event()
        self.peers = NetPeers(settings.host, settings.peer_port, self.tasks)
        poll_times = PollTimes()
        if isinstance(self.loop, BootTimeLoop):
            poll_times = self.loop.poll_times
        self.callers = HttpServer(adapter.wire, self.post, poll_times)
        self.tunnels = TunnelServer(self.tasks, self.post)
        self.readiness_server = PageServer(adapter.wire, self._readiness_page)
        self.metrics_server = PageServer(adapter.wire, self._metrics_page)
        sender = EndpointSender(adapter.wire, self.pool, self.tasks, self.post)
        store = adapter.metadata_store(settings, self.pool, self.tasks,
                                       self.post)
        engines = adapter.engines(settings, self.pool, self.tasks, self.post)
        self.effect_handlers.update({
            base.LogLine: self.log_writer.write,
            base.Observe: self._observe,
            base.SendPeer: self.peers.send,
            fx.Reply: self.callers.reply,
            fx.StartReply: self.callers.start_reply,
            fx.ForwardStreamEvents: self.callers.forward_stream_events,
            fx.EndReply: self.callers.end_reply,
            fx.AbortReply: self.callers.abort_reply,
            fx.Refuse: self.callers.refuse,
            fx.CloseAfterAnswers: self._close_after_answers,
            fx.StopListening: self._stop_listening,
            fx.CloseCallers: self.callers.close_callers,
            fx.Send: sender.send,
            fx.CancelSend: sender.cancel,
            fx.DropConnections: sender.close_idle,
            fx.ProbePath: sender.probe,
            fx.OpenTunnel: self.tunnels.open_tunnel,
            fx.RefuseTunnel: self.tunnels.refuse_tunnel,
            fx.LoadView: store.load_view,
            fx.ReadView: store.read_view,
            fx.WriteVmEntry: store.write_vm_entry,
            fx.ReadLease: store.read_lease,
            fx.WriteLease: store.write_lease,
            fx.ReadBuilds: store.read_builds,
            fx.WriteBuilds: store.write_builds,
            fx.ReadSuspects: store.read_suspects,
            fx.WriteSuspects: store.write_suspects,
            fx.RequestReport: engines.request_report,
            fx.OrderVersion: engines.order_version,
            fx.ListStore: engines.list_store,
            fx.PollStore: engines.poll_store,
            fx.FreeParts: engines.free_parts,
        })

    def first_effects(self, now: float) -> list[base.Effect]:
        return reducer.start(self.state, now)

    def reduce(self, event: Event, now: float) -> list[base.Effect]:
        effects = reducer.reduce(self.state, event, now)
        self.callers.limits = self.state.config.limits
        return effects

    def on_exit(self) -> None:
        self.exited.set()

    async def serve(self) -> None:
        """Start all servers; return once callers can connect."""
        settings = self.state.settings
        await self.readiness_server.start(
            *_split_address(settings.readiness_address))
        await self.metrics_server.start(settings.host, settings.metrics_port)
        await self.peers.start(self._on_peer_message)
        if settings.tunnel_port:
            await self.tunnels.start(settings.host, settings.tunnel_port)
        await self.callers.start(*_split_address(settings.callers_address))
        self.start()
        # Modules and objects loaded so far exist as long as the process.
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
        self.tasks.spawn(self._housekeeping())

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then until the drain has ended."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.post,
                                         StopRequested())
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.serve()
        await self.exited.wait()
        await self.callers.wait_closed(drain.schedule(self.state).closing_until)
        self.log_writer.flush()

    def _on_peer_message(self, event: Event) -> None:
        """Decode a peer's message and post it as an event."""
        assert isinstance(event, PeerMessageReceived)
        message = peer_messages.decode(event.payload)
        if isinstance(message, Hint):
            self.post(HintReceived(message))
        elif isinstance(message, DcLoad):
            self.post(DcLoadReceived(message))
        elif isinstance(message, LoadTotals):
            self.post(LoadTotalsReceived(message))
        elif isinstance(message, RateReports):
            self.post(RatesReceived(message))
        elif isinstance(message, RelayedView):
            view = View(message.view)
            updates = tuple(
                self.adapter.decode_record(view, each)
                for each in message.records)
            self.post(
                ViewRelayed(view, message.start, message.end, updates,
                            message.era, message.is_snapshot,
                            message.receiver_time, message.receiver_incarnation,
                            message.records, message.is_answer))
        elif isinstance(message, ViewRequest):
            self.post(
                ViewRequested(View(message.view), message.vm, message.start,
                              message.era))
        elif isinstance(message, RelayedStore):
            self.post(StoreRelayed(message))
        elif isinstance(message, StoreBatch):
            for relay in message.relays:
                self.post(StoreRelayed(relay))
        elif isinstance(message, StoreSnapshotRequest):
            self.post(StoreSnapshotRequested(message))
        elif isinstance(message, StreamOrigins):
            self.post(OriginsReceived(message))
        elif isinstance(message, OriginQuestion):
            self.post(OriginsAsked(message))
        elif isinstance(message, PlacementRequest):
            self.post(PlacementRequested(message))
        elif isinstance(message, PlacementAnswer):
            self.post(PlacementAnswered(message))
        elif isinstance(message, RunReport):
            self.post(RunReported(message))
        else:
            self.log_writer.write(
                base.LogLine('message_unreadable',
                             (('reason', message.reason),)))

    def _reload(self) -> None:
        self.post(SettingsRead(self.adapter.read_settings()))

    async def _housekeeping(self) -> None:
        """Reload changed settings, close idle connections and flush logs."""
        mtime_s = self.adapter.settings_mtime_s()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            if self.adapter.settings_mtime_s() != mtime_s:
                mtime_s = self.adapter.settings_mtime_s()
                self._reload()
            self.pool.close_expired()
            self.log_writer.flush()

    def _log_task_failure(self, error: BaseException) -> None:
        trace = ''.join(traceback.format_exception(error))
        self.log_writer.write(base.LogLine('task_failed', (('trace', trace),)))

    def _observe(self, effect: base.Observe) -> None:
        self.metrics.observe(effect.metric, effect.team, effect.klass,
                             effect.value)

    def _close_after_answers(self, effect: fx.CloseAfterAnswers) -> None:
        del effect
        self.callers.closing = True

    def _stop_listening(self, effect: fx.StopListening) -> None:
        # Peers take a refused connection as they take a refused tunnel.
        self.tunnels.stop_listening()
        self.callers.stop_listening(effect)

    def _readiness_page(self, path: str) -> tuple[int, str] | None:
        if path != READINESS_PATH:
            return None
        return (200, 'ready\n') if self.state.ready else (503, 'not ready\n')

    def _metrics_page(self, path: str) -> tuple[int, str] | None:
        if path != METRICS_PATH:
            return None
        evacuated = len(self.state.evacuations.started_at)
        return 200, '\n'.join([
            '# TYPE plantainridge_evacuated_data_centres gauge',
            f'plantainridge_evacuated_data_centres {evacuated}',
            *self.metrics.prometheus(), ''
        ])


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
