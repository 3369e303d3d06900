"""Tests of the ports that fixtures reserve."""

import asyncio
import os
import pathlib
import socket
import subprocess
import sys
import unittest

from tests.reserved_ports import PORT_RANGE, reserve_port

HOST = '127.0.0.1'
SYSTEM_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


class ReservedPortTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a port that is taken between its choice and its use."""

    def _reserve(self) -> int:
        sock = reserve_port()
        self.addCleanup(sock.close)
        port: int = sock.getsockname()[1]
        return port

    async def test_servers_can_listen_on_several_hosts(self) -> None:
        port = self._reserve()
        for host in (HOST, '127.0.0.2'):
            server = await asyncio.start_server(lambda r, w: w.close(), host,
                                                port)
            self.addCleanup(server.close)
            transport, _ = await asyncio.get_running_loop(
            ).create_datagram_endpoint(asyncio.DatagramProtocol, (host, port))
            self.addCleanup(transport.close)

    async def test_port_is_kept_from_others_before_and_after_use(self) -> None:
        port = self._reserve()
        self._assert_taken(port)
        server = await asyncio.start_server(lambda r, w: w.close(), HOST, port)
        self._assert_taken(port)
        server.close()
        await server.wait_closed()
        self._assert_taken(port)

    def _assert_taken(self, port: int) -> None:
        for host in ('', HOST):
            with socket.socket() as sock, self.assertRaises(OSError):
                sock.bind((host, port))

    def test_no_port_is_reserved_twice(self) -> None:
        ports = [self._reserve() for _ in range(50)]
        self.assertEqual(len(set(ports)), len(ports))

    def test_no_port_is_reserved_twice_by_two_processes(self) -> None:
        # The other process starts at the same port as this one.
        program = ('import os\n'
                   f'os.getpid = lambda: {os.getpid()}\n'
                   'from tests import reserved_ports\n'
                   'for _ in range(20):\n'
                   '    sock = reserved_ports.reserve_port()\n'
                   '    print(sock.getsockname()[1])\n')
        ports = [self._reserve() for _ in range(20)]
        output = subprocess.run([sys.executable, '-c', program],
                                check=True,
                                capture_output=True,
                                text=True).stdout
        others = [int(line) for line in output.split()]
        self.assertEqual(len(others), 20)
        self.assertEqual(set(others) & set(ports), set())

    @unittest.skipUnless(SYSTEM_RANGE.exists(), 'the system is not Linux')
    def test_system_assigns_none_of_the_ports(self) -> None:
        lowest = int(SYSTEM_RANGE.read_text(encoding='ascii').split()[0])
        self.assertLess(PORT_RANGE[-1], lowest)


if __name__ == '__main__':
    unittest.main()
