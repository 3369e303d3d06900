"""State of the sockets below transports."""

import asyncio
import fcntl
import socket
import struct
import termios
from typing import Final

# Request for the bytes that a TCP socket has not had acknowledged, under the
# name that it has for terminals.
SIOCOUTQ: Final = termios.TIOCOUTQ
INT: Final = struct.Struct('i')


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes passed to the system that its peer may not have.

    Args:
        transport: Transport of a TCP connection.

    Returns:
        The number of bytes; 0 if the system does not state it.
    """
    return _byte_count(transport, SIOCOUTQ)


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the system has received and not passed on yet.

    Args:
        transport: Transport of a TCP connection.

    Returns:
        The number of bytes; 0 if the system does not state it.
    """
    return _byte_count(transport, termios.FIONREAD)


def pending_error(transport: asyncio.BaseTransport) -> int:
    """Remove and return the error of a socket that is not read, 0 for none.

    The system reports a reset that follows the end of the peer's data neither
    to a reader nor, without further data, to a writer.

    Args:
        transport: Transport of a TCP connection.

    Returns:
        The number of the system's error.
    """
    sock: socket.socket | None = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return 0
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def _byte_count(transport: asyncio.BaseTransport, request: int) -> int:
    sock: socket.socket | None = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        state = fcntl.ioctl(sock.fileno(), request, bytes(INT.size))
    except OSError:
        return 0
    count: int = INT.unpack(state)[0]
    return count
