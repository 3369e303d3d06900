"""One caller's connection: reads requests, writes their answers.

`h11` parses and frames. Limits, ambiguous framing and disconnects are handled
here: a request whose framing is ambiguous must be refused before it is routed,
and a caller that disconnects must be noticed at once.
"""

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING, Final

import h11

from plantainridge.gateway import sockets
from plantainridge.gateway.events import CallerLeft, Headers
from plantainridge.gateway.poll_times import UnreadTime
from plantainridge.gateway.wire import RawRequest
from plantainridge.ids import RequestId

if TYPE_CHECKING:
    from plantainridge.gateway.http_server import HttpServer

HEAD_END: Final = b'\r\n\r\n'
# Unread bytes of a stream at which its caller is disconnected.
MAX_UNREAD_BYTES: Final = 1_024 * 1_024
# Bytes of pipelined requests at which reading from a connection pauses.
MAX_PIPELINED_BYTES: Final = 64 * 1_024
# Longest time that sent bytes may stay unacknowledged, in ms.
TCP_USER_TIMEOUT_MS: Final = 10_000
# Value of SO_LINGER with which closing resets the connection.
LINGER_RESET: Final = struct.pack('ii', 1, 0)
# Value of SO_LINGER with which closing delivers what was written.
LINGER_OFF: Final = struct.pack('ii', 0, 0)
# How long bytes after a malformed request are read and dropped, in s.
DISCARD_TIMEOUT_S: Final = 0.5
JSON_HEADERS: Final[Headers] = ((b'content-type', b'application/json'),)


class CallerConnection(asyncio.Protocol):
    """One caller's connection; serves its requests one after the other.

    Attributes:
        unread: How long data that is handled was unread.
        buffer: Bytes received and not parsed yet.
        http: Parser and framer of the current request, or None.
        head: Head of the current request once it has been read, or None.
        body: What was read of the current request's body.
        request: The request that is being answered, or None.
        used: Whether a request was read completely.
        close_after_answer: Whether the current answer is the last one.
        is_streaming: Whether the current answer is a stream.
        answers_are_complete: Whether every answer that began was written to its
            end.
        discarding: Whether further bytes are dropped.
        timer: Timer of the current read or idle timeout, or None.
    """

    def __init__(self, server: 'HttpServer', unread: UnreadTime) -> None:
        self.server = server
        self.unread = unread
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.http: h11.Connection | None = None
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.request: RequestId | None = None
        self.used = False
        self.close_after_answer = False
        self.is_streaming = False
        self.answers_are_complete = False
        self.discarding = False
        self.timer: asyncio.TimerHandle | None = None

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock: socket.socket = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                        TCP_USER_TIMEOUT_MS)
        self.server.connections.add(self)
        self._set_timeout(self.server.limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        if self.discarding:
            return
        self.buffer += data
        if self.request is None:
            self.unread.begin()
            self._advance()
            self.unread.end()
        elif len(self.buffer) > MAX_PIPELINED_BYTES and self.transport:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self.answers_are_complete:
            # All that was written has been passed to the system.
            self._set_linger(LINGER_OFF)
        self.server.remove_connection(self)
        self._cancel_timeout()
        if self.request is not None:
            request, self.request = self.request, None
            self.server.by_request.pop(request, None)
            self.server.post(CallerLeft(request))

    # --- reading ---

    def _advance(self) -> None:
        """Parse until a request is complete or more bytes are needed."""
        if self.head is None and not self._read_head():
            return
        self._read_body()

    def _read_head(self) -> bool:
        """Parse the head of a request; return whether it is complete."""
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
                self._set_timeout(limits.head_timeout_s)
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
        if not isinstance(event, h11.Request) or _is_ambiguous(data, event):
            self._reject(400, 'the framing is ambiguous')
            return False
        self.head = event
        self.body.clear()
        self._set_timeout(limits.idle_timeout_s)
        return True

    def _new_http(self) -> h11.Connection:
        # The margin keeps h11 from rejecting a head that is within the limit,
        # which `_read_head` enforces.
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.server.limits.head_bytes + 1_024)

    def _read_body(self) -> None:
        """Parse the body of a request, and submit the request at its end."""
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
                    self._submit_request()
                    return
                else:
                    break
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, 'the body is malformed')
            return
        if self.http.they_are_waiting_for_100_continue:
            interim = self.http.send(
                h11.InformationalResponse(status_code=100, headers=[]))
            self.transport.write(interim)

    def _submit_request(self) -> None:
        assert self.head is not None
        self._cancel_timeout()
        self.used = True
        request = self.server.next_request_id()
        self.request = request
        raw = RawRequest(self.head.method, self.head.target,
                         tuple(self.head.headers), bytes(self.body))
        self.body.clear()
        self.server.handle(self, request, raw)

    # --- writing ---

    @property
    def unread_bytes(self) -> int:
        """Bytes written that the system has not taken yet."""
        if self.transport is None or self.transport.is_closing():
            return 0
        return self.transport.get_write_buffer_size()

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer."""
        self.is_streaming = False
        length = (b'content-length', str(len(body)).encode())
        self._write(
            h11.Response(status_code=status,
                         headers=[*headers, length,
                                  *self._connection_header()]))
        self.write_body(body)
        self.end_reply()

    def start_reply(self, status: int, headers: Headers) -> None:
        """Write the head of a streamed answer."""
        self.is_streaming = True
        self.answers_are_complete = False
        if self.head is not None and self.head.http_version == b'1.0':
            # Without chunks, an answer that is cut off would look complete
            # unless the connection is reset, also if this process ends.
            self._set_linger(LINGER_RESET)
        self._write(
            h11.Response(status_code=status,
                         headers=[*headers, *self._connection_header()]))

    def write_body(self, data: bytes) -> None:
        """Write a part of an answer's body, unless the request is a HEAD."""
        if data and (self.head is None or self.head.method != b'HEAD'):
            self._write(h11.Data(data=data))

    def end_reply(self) -> None:
        """End an answer, then close or read the next request."""
        self._write(h11.EndOfMessage())
        self.request = None
        self.head = None
        http, self.http = self.http, None
        if self.transport is None or self.transport.is_closing():
            return
        self.answers_are_complete = True
        if self.discarding:
            # Closing with unread bytes would reset the connection, and the
            # caller might lose the answer.
            self.transport.write_eof()
            return
        # An answer that began before the stop request was sent without
        # `Connection: close`. Its connection is closed all the same, unless
        # bytes of another request have arrived.
        stopping = self.server.closing and not self.buffer
        if (self.close_after_answer or stopping or http is None or
                http.our_state is h11.MUST_CLOSE):
            self.transport.close()
            return
        self.transport.resume_reading()
        self._set_timeout(self.server.limits.idle_timeout_s)
        if self.buffer:
            self._advance()

    def refuse(self, status: int, reason: str,
               retry_after_s: float | None) -> None:
        """Write the gateway's own answer, with a status and a reason."""
        headers = self.server.wire.refusal_headers(retry_after_s)
        self.reply(status, JSON_HEADERS + headers,
                   b'{"error":"%s"}' % reason.encode())

    def abort(self) -> None:
        """Close the connection so that its answer does not look complete."""
        self.request = None
        self.disconnect()

    def disconnect(self) -> None:
        """Close the connection; a request in progress counts as left."""
        self.answers_are_complete = False
        if self.transport is not None:
            self.transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served.

        Bytes that the system has received may be a request.
        """
        idle = self.request is None and self.head is None and not self.buffer
        if (idle and self.transport is not None and
                not sockets.unread_bytes(self.transport)):
            self.transport.close()

    def refuse_incomplete(self, reason: str, retry_after_s: float) -> None:
        """Refuse a request that is being read, or close an idle connection."""
        self.close_if_idle()
        if self.request is not None or self.discarding:
            return
        if self.transport is not None and not self.transport.is_closing():
            self._reject(503, reason, retry_after_s)

    def _reject(self,
                status: int,
                reason: str,
                retry_after_s: float | None = None) -> None:
        """Refuse an invalid request and close the connection."""
        self.close_after_answer = True
        self.discarding = True
        self.head = None
        self.http = self._new_http()
        self.buffer.clear()
        self.refuse(status, reason, retry_after_s)
        self._set_timeout(DISCARD_TIMEOUT_S)

    def _connection_header(self) -> Headers:
        """Return `Connection: close` if this answer is the last one."""
        if self.server.closing:
            self.close_after_answer = True
        return ((b'connection', b'close'),) if self.close_after_answer else ()

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
            unread_bytes = self.unread_bytes
            if self.is_streaming and unread_bytes > MAX_UNREAD_BYTES:
                self.disconnect()
            else:
                self.server.record_unread_bytes(self, unread_bytes)

    def _set_linger(self, value: bytes) -> None:
        assert self.transport is not None
        sock: socket.socket = self.transport.get_extra_info('socket')
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    # --- timeouts ---

    def _set_timeout(self, seconds: float) -> None:
        self._cancel_timeout()
        self.timer = self.loop.call_later(seconds, self._on_timeout)

    def _cancel_timeout(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _on_timeout(self) -> None:
        self.timer = None
        if self.transport is None:
            return
        if not self.discarding and (self.head is not None or self.buffer):
            self._reject(408, 'the request took too long')
        else:
            self.transport.close()


def _is_ambiguous(head: bytes, request: h11.Request) -> bool:
    """Return whether two parsers could read different requests from a head."""
    if head.count(b'\n') != head.count(b'\r\n'):
        return True
    if head.count(b'\r') != head.count(b'\r\n') or b'\0' in head:
        return True
    names = [name for name, _ in request.headers]
    if names.count(b'host') != 1 and request.http_version != b'1.0':
        return True
    transfer_encodings = names.count(b'transfer-encoding')
    content_lengths = names.count(b'content-length')
    if transfer_encodings and (content_lengths or transfer_encodings > 1 or
                               request.http_version == b'1.0'):
        return True
    lines = head.lower().split(b'\r\n')
    return sum(line.startswith(b'content-length') for line in lines) > 1
