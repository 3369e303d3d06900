"""Program of a gateway VM, whose connections to endpoints pass its own proxies.

`python -m tests.soak.launch` takes the place of `python deploy/gateway.py`.
"""

import os
import pathlib
import runpy
import socket
from typing import Any, Final

GATEWAY: Final = pathlib.Path(__file__).parents[2] / 'deploy' / 'gateway.py'
# Registered host of all endpoints, on which nothing listens.
ENDPOINT_HOST: Final = '127.0.0.2'
# Environment variable with the IP number on which a VM's proxies listen, each
# on the port of its endpoint.
PROXY_HOST_VARIABLE: Final = 'SOAK_PROXY_HOST'


def run_gateway() -> None:
    """Run the gateway, with its connections to endpoints redirected."""
    proxy_host = os.environ[PROXY_HOST_VARIABLE]
    connect = socket.socket.connect

    def connect_by_proxy(sock: socket.socket, address: Any) -> None:
        host, *rest = address
        if host == ENDPOINT_HOST:
            host = proxy_host
        connect(sock, (host, *rest))

    setattr(socket.socket, 'connect', connect_by_proxy)
    runpy.run_path(str(GATEWAY), run_name='__main__')


if __name__ == '__main__':
    run_gateway()
