"""The process of one entry VM."""

import asyncio
import random
import uuid

import attrs

from plantainridge import members_http, process
from plantainridge.callers import CallersApp, RequestLimits
from plantainridge.events import StopRequested
from plantainridge.feeds import FeedPoller
from plantainridge.http_ports import (HttpEnginePort, HttpLogPort,
                                      HttpServicePort, new_client)
from plantainridge.http_transfers import HttpTransferPort, StorePoller
from plantainridge.ids import DcId, Incarnation, VmId
from plantainridge.loop.monitor import LoopMonitor
from plantainridge.loop.peers_net import NetPeers
from plantainridge.loop.tasks import Tasks
from plantainridge.mailboxes import Mailboxes
from plantainridge.metrics import Metrics
from plantainridge.operators import OperatorsApp
from plantainridge.orders_http import HttpOrderPort
from plantainridge.ports import Ports, TransferPort
from plantainridge.reports import ProcessReport, log_fault
from plantainridge.runtime import Runtime
from plantainridge.serve import AppServer
from plantainridge.state import VmState


@attrs.frozen
class EntrySettings:
    """Settings of an entry VM's process.

    Attributes:
        vm: Name of the VM.
        dc: Name of its data centre.
        host: IP address to listen on.
        port: Port for callers; 0 for a port that the system assigns.
        operator_port: Port for operators; 0 for a port that the system
            assigns.
        log_address: IP address and port of the platform's log.
        limits: Limits of one caller's request.
        seed: Seed of the reducer's random numbers; None to use a new one for
            each incarnation.
        members_address: IP address and port of the platform's membership
            list; empty for none.
        peer_port: UDP and TCP port for other VMs; 0 for a port that the system
            assigns.
        peers: Addresses of other VMs of the data centre to contact first; need
            not be complete.
    """

    vm: VmId
    dc: DcId
    host: str
    port: int
    operator_port: int
    log_address: str
    members_address: str = ''
    limits: RequestLimits = RequestLimits()
    seed: int | None = None
    peer_port: int = 0
    peers: tuple[str, ...] = ()


class Entry:
    """An entry VM's servers, ports and reducer, on the running event loop.

    Attributes:
        exited: Set when the reducer has completed a graceful shutdown.
    """

    def __init__(self,
                 settings: EntrySettings,
                 transfers: TransferPort | None = None) -> None:
        """Bind the servers' sockets and connect the reducer to its ports.

        Args:
            settings: Settings of the process.
            transfers: Port for transfers of blocks; None to use HTTP.

        Raises:
            OSError: An address cannot be bound.
        """
        self.settings = settings
        incarnation = Incarnation(uuid.uuid4().hex)
        state = VmState(vm=settings.vm,
                        dc=settings.dc,
                        incarnation=incarnation,
                        rng=random.Random(incarnation if settings.seed is
                                          None else settings.seed))
        self.metrics = Metrics()
        self.tasks = Tasks(log_fault)
        self.monitor = LoopMonitor()
        self.client = new_client()
        self.mailboxes = Mailboxes()
        self.exited = asyncio.Event()
        self.peers = NetPeers(settings.host, settings.peer_port, self.tasks)
        http_transfers = HttpTransferPort(self.client, self.tasks)
        ports = Ports(callers=self.mailboxes,
                      engines=HttpEnginePort(self.tasks, self.monitor),
                      services=HttpServicePort(self.tasks, self.monitor),
                      log=HttpLogPort(self.client, self.tasks,
                                      settings.log_address),
                      report=ProcessReport(self.metrics, settings.vm),
                      transfers=transfers or http_transfers,
                      on_exit=self._set_exited,
                      peers=self.peers,
                      orders=HttpOrderPort(self.client, self.tasks))
        self.runtime = Runtime(state, ports)
        self.feed_poller = FeedPoller(self.runtime, self.client, self.tasks)
        http_transfers.feed_poller = self.feed_poller
        self.store_poller = StorePoller(self.runtime, self.client, self.tasks)
        callers = CallersApp(self.runtime, self.mailboxes, settings.limits)
        self.callers = AppServer(callers.app, settings.host, settings.port)
        callers.abort = self.callers.abort
        self.operators = AppServer(
            OperatorsApp(self.runtime, self.metrics).app, settings.host,
            settings.operator_port)

    def _set_exited(self) -> None:
        self.exited.set()

    async def start(self) -> None:
        """Start the process; return when callers can connect."""
        self.tasks.spawn(self.monitor.run())
        await self.peers.start(self.runtime.post)
        gossip = self.runtime.state.gossip
        gossip.address = self.peers.address
        gossip.seeds = self.settings.peers
        if self.settings.members_address:
            self.tasks.spawn(
                members_http.poll_members(self.client,
                                          self.settings.members_address,
                                          self.runtime.post))
        self.runtime.start()
        self.feed_poller.start()
        self.store_poller.start()
        await self.callers.start()
        await self.operators.start()

    async def drain(self) -> None:
        """Requests a graceful shutdown; returns when it is complete."""
        self.runtime.post(StopRequested())
        await self.exited.wait()

    async def stop(self) -> None:
        """Complete all responses, then stop the process."""
        await self.callers.stop()
        await self.operators.stop()
        self.runtime.halt()
        await self.peers.stop()
        await self.tasks.cancel()
        await self.client.aclose()

    async def kill(self) -> None:
        """Stop immediately, as on a failure of the VM."""
        self.runtime.halt()
        await self.callers.kill()
        await self.operators.kill()
        await self.tasks.cancel()
        await self.client.aclose()


class EntryProcess(process.Process):
    """Process of one entry VM, which SIGTERM shuts down gracefully."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.entry: Entry | None = None

    async def start(self) -> dict[str, str]:
        self.entry = Entry(self.settings)
        await self.entry.start()
        return {
            'callers': self.entry.callers.address,
            'operators': self.entry.operators.address,
            'peers': self.entry.peers.address,
        }

    async def stop(self) -> None:
        if self.entry is not None:
            await self.entry.drain()
            await self.entry.stop()
