"""Loopback ports for processes that are started later."""

import random
import socket

from egretjunction import addresses

HOST = '127.0.0.1'
# Below the range from which the kernel takes the ports of outgoing connections, so that
# none of them occupies a port before its daemon binds it.
FIRST_PORT = 10_000
LAST_PORT = 30_000
# A port is claimed by a socket on an address that nothing else uses.
CLAIM_HOST = '127.255.255.1'


class PortAllocator:
    """Allocates unused loopback ports, each at most once among all processes.

    Every port stays claimed until ``close`` is called or the process ends, also while
    no daemon is bound to it.
    """

    def __init__(self) -> None:
        self._claim_by_port: dict[int, socket.socket] = {}
        self._random = random.SystemRandom()

    def take(self) -> addresses.Address:
        """Return a loopback address whose port is free for TCP and for UDP."""
        return addresses.Address(HOST, self.take_consecutive(1))

    def take_consecutive(self, count: int) -> int:
        """Return the first of consecutive ports that are free for TCP and for UDP.

        :param count: number of ports.
        """
        while True:
            first_port = self._random.randint(FIRST_PORT, LAST_PORT - count)
            ports = range(first_port, first_port + count)
            claimed_ports = [port for port in ports if self._claim(port)]
            if len(claimed_ports) == count:
                return first_port
            for port in claimed_ports:
                self._claim_by_port.pop(port).close()

    def close(self) -> None:
        """Release all ports."""
        while self._claim_by_port:
            self._claim_by_port.popitem()[1].close()

    def _claim(self, port: int) -> bool:
        """Claim a port; return whether it is free."""
        claim = socket.socket(type=socket.SOCK_DGRAM)
        try:
            claim.bind((CLAIM_HOST, port))
        except OSError:
            claim.close()
            return False
        if not _is_free(port):
            claim.close()
            return False
        self._claim_by_port[port] = claim
        return True


def _is_free(port: int) -> bool:
    """Return whether no process is bound to a port on any loopback address."""
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
        except OSError:
            return False
    return True
