"""One caller's connection: reads requests, writes their answers.

`h11` parses and frames; limits are kept here, since a request whose framing is
ambiguous must be refused before it is routed, and a caller that leaves must be
noticed at once.
"""

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING, Final

import h11

from plantainridge.gateway.events import CallerLeft, Headers
from plantainridge.gateway.wire import RawRequest
from plantainridge.ids import RequestId

if TYPE_CHECKING:
    from plantainridge.gateway.http_server import HttpServer

HEAD_END: Final = b'\r\n\r\n'
# A caller that leaves this much of its answer unread is cut off, in bytes.
MAX_UNREAD_BYTES: Final = 1_024 * 1_024
# Requests of one connection that may wait behind the current one, in bytes.
MAX_BEHIND_BYTES: Final = 64 * 1_024
# How long a caller may leave sent bytes unacknowledged, in ms.
UNACKNOWLEDGED_MS: Final = 10_000
# Lingers for no time: closing resets the connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
# How long bytes behind a refused head are read and dropped, in s.
DISCARD_S: Final = 0.5
JSON_HEADERS: Final[Headers] = ((b'content-type', b'application/json'),)


class CallerConnection(asyncio.Protocol):
    """One caller's connection; serves its requests one after the other."""

    def __init__(self, server: 'HttpServer') -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.http: h11.Connection | None = None
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.request: RequestId | None = None
        self.close_after = False
        self.discarding = False
        self.timer: asyncio.TimerHandle | None = None

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock: socket.socket = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                        UNACKNOWLEDGED_MS)
        self.server.connections.add(self)
        self._wait(self.server.limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        if self.discarding:
            return
        self.buffer += data
        if self.request is None:
            self._advance()
        elif len(self.buffer) > MAX_BEHIND_BYTES and self.transport:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.server.connections.discard(self)
        self._stop_timer()
        if self.request is not None:
            request, self.request = self.request, None
            self.server.by_request.pop(request, None)
            self.server.post(CallerLeft(request))

    # --- reading ---

    def _advance(self) -> None:
        """Reads on until a request is whole or more bytes are needed."""
        if self.head is None and not self._read_head():
            return
        self._read_body()

    def _read_head(self) -> bool:
        if not self.buffer:
            return False
        end = self.buffer.find(HEAD_END)
        limits = self.server.limits
        if (end if end >= 0 else len(self.buffer)) > limits.head_bytes:
            self._reject(431, 'the head is too long')
            return False
        if end < 0:
            if self.http is None:
                self.http = self._new_http()
                self._wait(limits.head_timeout_s)
            return False
        data = bytes(self.buffer[:end + len(HEAD_END)])
        del self.buffer[:len(data)]
        self.http = self._new_http()
        try:
            self.http.receive_data(data)
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, 'the head is malformed')
            return False
        if not isinstance(event, h11.Request) or _ambiguous(data, event):
            self._reject(400, 'the framing is ambiguous')
            return False
        self.head = event
        self.body.clear()
        self._wait(limits.idle_timeout_s)
        return True

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.server.limits.head_bytes + 1_024)

    def _read_body(self) -> None:
        assert self.http is not None and self.transport is not None
        try:
            if self.buffer:
                self.http.receive_data(bytes(self.buffer))
                self.buffer.clear()
            while True:
                event = self.http.next_event()
                if isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > self.server.limits.body_bytes:
                        self._reject(413, 'the body is too long')
                        return
                elif isinstance(event, h11.EndOfMessage):
                    self.buffer += self.http.trailing_data[0]
                    self._take_request()
                    return
                else:
                    break
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, 'the body is malformed')
            return
        if self.http.they_are_waiting_for_100_continue:
            go_on = self.http.send(
                h11.InformationalResponse(status_code=100, headers=[]))
            self.transport.write(go_on)

    def _take_request(self) -> None:
        assert self.head is not None
        self._stop_timer()
        name = self.server.next_request()
        self.request = name
        raw = RawRequest(self.head.method, self.head.target,
                         tuple(self.head.headers), bytes(self.body))
        self.body.clear()
        self.server.take(self, name, raw)

    # --- writing ---

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a whole answer."""
        length = (b'content-length', str(len(body)).encode())
        self._write(
            h11.Response(status_code=status,
                         headers=[*headers, length, *self._closing()]))
        self.pass_data(body)
        self.end_reply()

    def start_reply(self, status: int, headers: Headers) -> None:
        """Writes the head of a streamed answer."""
        self._write(
            h11.Response(status_code=status,
                         headers=[*headers, *self._closing()]))

    def pass_data(self, data: bytes) -> None:
        """Writes a part of an answer's body."""
        if data and (self.head is None or self.head.method != b'HEAD'):
            self._write(h11.Data(data=data))

    def end_reply(self) -> None:
        """Ends an answer and goes on with the next request."""
        self._write(h11.EndOfMessage())
        self.request = None
        self.head = None
        http, self.http = self.http, None
        if self.transport is None or self.transport.is_closing():
            return
        if self.discarding:
            # Closing with unread bytes would reset the answer away.
            self.transport.write_eof()
            return
        # An answer that began before the word to stop did not announce it.
        stopping = self.server.closing and not self.buffer
        if (self.close_after or stopping or http is None or
                http.our_state is h11.MUST_CLOSE):
            self.transport.close()
            return
        self.transport.resume_reading()
        self._wait(self.server.limits.idle_timeout_s)
        if self.buffer:
            self._advance()

    def refuse(self, status: int, reason: str,
               retry_after_s: float | None) -> None:
        """Answers with this system's own status."""
        headers = self.server.wire.refusal_headers(retry_after_s)
        self.reply(status, JSON_HEADERS + headers,
                   b'{"error":"%s"}' % reason.encode())

    def abort(self) -> None:
        """Resets the connection."""
        self.request = None
        if self.transport is None:
            return
        if self.head is not None and self.head.http_version == b'1.0':
            # An answer without chunks would end like a whole one.
            sock: socket.socket = self.transport.get_extra_info('socket')
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                RESET_ON_CLOSE)
        self.transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is being read or served."""
        idle = self.request is None and self.head is None and not self.buffer
        if idle and self.transport is not None:
            self.transport.close()

    def _reject(self, status: int, reason: str) -> None:
        """Refuses bytes that are no proper request, and closes."""
        self.close_after = True
        self.discarding = True
        self.head = None
        self.http = self._new_http()
        self.buffer.clear()
        self.refuse(status, reason, None)
        self._wait(DISCARD_S)

    def _closing(self) -> Headers:
        if self.server.closing:
            self.close_after = True
        return ((b'connection', b'close'),) if self.close_after else ()

    def _write(self, event: h11.Event) -> None:
        if self.http is None or self.transport is None:
            return
        try:
            data = self.http.send(event)
        except h11.LocalProtocolError:
            self.transport.abort()
            return
        if data and not self.transport.is_closing():
            self.transport.write(data)
            if self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
                self.transport.abort()

    # --- time ---

    def _wait(self, seconds: float) -> None:
        self._stop_timer()
        self.timer = self.loop.call_later(seconds, self._on_time)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _on_time(self) -> None:
        self.timer = None
        if self.transport is None:
            return
        if not self.discarding and (self.head is not None or self.buffer):
            self._reject(408, 'the request took too long')
        else:
            self.transport.close()


def _ambiguous(head: bytes, request: h11.Request) -> bool:
    """Whether two readers of a head could see different requests in it."""
    if head.count(b'\n') != head.count(b'\r\n'):
        return True
    if head.count(b'\r') != head.count(b'\r\n') or b'\0' in head:
        return True
    names = [name for name, _ in request.headers]
    if names.count(b'host') != 1 and request.http_version != b'1.0':
        return True
    coded = names.count(b'transfer-encoding')
    sized = names.count(b'content-length')
    if coded and (sized or coded > 1 or request.http_version == b'1.0'):
        return True
    lines = head.lower().split(b'\r\n')
    return sum(line.startswith(b'content-length') for line in lines) > 1
