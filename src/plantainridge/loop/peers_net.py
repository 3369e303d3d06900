"""Transport of messages between VMs: small ones by UDP, large ones by TCP."""

import asyncio
from typing import Final

from plantainridge.ids import VmId
from plantainridge.loop import effects as base
from plantainridge.loop.events import PeerMessageReceived
from plantainridge.loop.ports import MAX_MESSAGE_BYTES
from plantainridge.loop.ports import PeerPort, Post
from plantainridge.loop.tasks import Tasks

# Longest message sent as one datagram; fits the usual path MTUs.
MAX_DATAGRAM_BYTES: Final = 1_200
STREAM_TIMEOUT_S: Final = 10.0
# TCP messages that are received concurrently; further ones are closed.
MAX_INCOMING_STREAMS: Final = 16


class _DatagramReceiver(asyncio.DatagramProtocol):

    def __init__(self, post: Post) -> None:
        self.post = post

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.post(PeerMessageReceived(VmId(''), data))


class NetPeers(PeerPort):
    """UDP and TCP sockets on which one VM sends and receives messages.

    A message that cannot be sent is dropped; its receiver requests the content
    again if it needs it.
    """

    def __init__(self, host: str, port: int, tasks: Tasks) -> None:
        self.host = host
        self.port = port
        self.tasks = tasks
        self.incoming_streams = 0
        self._post: Post | None = None
        self._server: asyncio.Server | None = None
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> str:
        """IP number and port of both sockets, as `host:port`."""
        return f'{self.host}:{self.port}'

    async def start(self, post: Post) -> None:
        """Bind both sockets to one port and post the messages received.

        Raises:
            OSError: The address cannot be bound.
        """
        self._post = post
        self._server = await asyncio.start_server(self._receive, self.host,
                                                  self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(post), local_addr=(self.host, self.port))

    async def stop(self) -> None:
        """Close both sockets."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def send(self, effect: base.SendPeer) -> None:
        host, _, port = effect.address.rpartition(':')
        if not port.isdigit() or self._transport is None:
            return
        if len(effect.payload) <= MAX_DATAGRAM_BYTES:
            self._transport.sendto(effect.payload, (host, int(port)))
            return
        self.tasks.spawn(self._send_stream(host, int(port), effect.payload))

    async def _send_stream(self, host: str, port: int, payload: bytes) -> None:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, port)
                writer.write(payload)
                await writer.drain()
                writer.close()
                await writer.wait_closed()
        except OSError:
            return
        finally:
            if writer is not None:
                # Otherwise what a stalled peer did not read stays in memory.
                writer.transport.abort()

    async def _receive(self, reader: asyncio.StreamReader,
                       writer: asyncio.StreamWriter) -> None:
        if self.incoming_streams >= MAX_INCOMING_STREAMS or self._post is None:
            writer.close()
            return
        self.incoming_streams += 1
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                payload = await reader.read(1)
                while len(payload) <= MAX_MESSAGE_BYTES:
                    chunk = await reader.read(1 << 16)
                    if not chunk:
                        break
                    payload += chunk
            self._post(PeerMessageReceived(VmId(''), payload))
        except OSError:
            return
        finally:
            self.incoming_streams -= 1
            writer.close()
