"""Ports that stay reserved for a test until its servers listen on them."""

import contextlib
import itertools
import os
import socket
from typing import Final

# Ports below those that systems assign (from 32768 on Linux), so that no
# connection of another process takes one, by TCP or UDP.
PORT_RANGE: Final = range(20_000, 32_000)
# Distance between the first ports that two processes try.
_PROCESS_STRIDE: Final = 16
_FIRST: Final = os.getpid() * _PROCESS_STRIDE % len(PORT_RANGE)
_candidates: Final = itertools.cycle(
    [*PORT_RANGE[_FIRST:], *PORT_RANGE[:_FIRST]])


def reserve_port() -> socket.socket:
    """Return a socket that reserves a port on all hosts until it is closed.

    Servers can listen on the port, but no other reservation gets it: a port
    that is only found to be free may be taken before a server binds it.

    Raises:
        OSError: No port is free.
    """
    for _ in PORT_RANGE:
        port = next(_candidates)
        sock = socket.socket()
        with contextlib.suppress(OSError), socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            datagrams.bind(('', port))
            # Without SO_REUSEADDR, this fails if the port is bound at all.
            sock.bind(('', port))
            # Servers set it too, and then share the port.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            return sock
        sock.close()
    raise OSError('no port is free')
