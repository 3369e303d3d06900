"""Listens for callers and gives their connections the answers to write."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway.caller_connection import CallerConnection
from plantainridge.gateway.config import CallerLimits
from plantainridge.gateway.events import Headers, RequestArrived
from plantainridge.gateway.wire import BadRequest, RawRequest, RequestWire
from plantainridge.ids import RequestId
from plantainridge.loop.ports import Post

BACKLOG: Final = 512
PAGE_HEADERS: Final[Headers] = ((b'content-type',
                                 b'text/plain; charset=utf-8'),)


class HttpServer:
    """Listens for callers.

    Attributes:
        limits: What callers may send; changes with the configuration.
        closing: Whether each answer ends its connection.
        connections: Open connections.
        by_request: The connection that waits for each request's answer.
    """

    def __init__(self, wire: RequestWire, post: Post) -> None:
        self.wire = wire
        self.post = post
        self.limits = CallerLimits()
        self.closing = False
        self.connections: set[CallerConnection] = set()
        self.by_request: dict[RequestId, CallerConnection] = {}
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> str:
        """Listens; returns the address.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, port, backlog=BACKLOG)
        name = self._server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    def next_request(self) -> RequestId:
        """Returns a new name for a request."""
        return RequestId(f'r{next(self._numbers)}')

    def take(self, connection: 'CallerConnection', name: RequestId,
             raw: RawRequest) -> None:
        """Takes in a request that was read whole."""
        read = self.wire.read_request(name, raw)
        if isinstance(read, BadRequest):
            connection.refuse(read.status, read.reason, None)
            return
        self.by_request[name] = connection
        self.post(RequestArrived(read))

    def stop_listening(self, _: fx.StopListening) -> None:
        """Takes no further connections and closes those that are idle."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    def reply(self, effect: fx.Reply) -> None:
        """Gives a whole answer."""
        connection = self.by_request.pop(effect.request, None)
        if connection is not None:
            connection.reply(effect.status, effect.headers, effect.body)

    def start_reply(self, effect: fx.StartReply) -> None:
        """Begins a streamed answer."""
        connection = self.by_request.get(effect.request)
        if connection is not None:
            connection.start_reply(effect.status, effect.headers)

    def forward_stream_events(self, effect: fx.ForwardStreamEvents) -> None:
        """Passes a part of a streamed answer on."""
        connection = self.by_request.get(effect.request)
        if connection is not None:
            connection.pass_data(effect.data)

    def end_reply(self, effect: fx.EndReply) -> None:
        """Ends a streamed answer."""
        connection = self.by_request.pop(effect.request, None)
        if connection is not None:
            connection.end_reply()

    def abort_reply(self, effect: fx.AbortReply) -> None:
        """Closes a connection in the middle of its answer."""
        connection = self.by_request.pop(effect.request, None)
        if connection is not None:
            connection.abort()

    def refuse(self, effect: fx.Refuse) -> None:
        """Answers with this system's own status."""
        connection = self.by_request.pop(effect.request, None)
        if connection is not None:
            connection.refuse(effect.status, effect.reason,
                              effect.retry_after_s)


class PageServer(HttpServer):
    """Serves pages that are made at once.

    Attributes:
        page: Returns status and text of a path, or None if there is none.
    """

    def __init__(self, wire: RequestWire,
                 page: Callable[[str], tuple[int, str] | None]) -> None:
        super().__init__(wire, lambda event: None)
        self.page = page

    def take(self, connection: 'CallerConnection', name: RequestId,
             raw: RawRequest) -> None:
        found = self.page(raw.target.decode('latin-1'))
        if found is None:
            connection.refuse(404, 'there is no such page', None)
            return
        status, text = found
        connection.reply(status, PAGE_HEADERS, text.encode())
