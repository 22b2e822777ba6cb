"""A UDP socket on an event loop, read in batches."""

import socket
import typing

from egretjunction import addresses

BATCH_SIZE = 64
MAX_DATAGRAM_BYTES = 65_535
BUFFER_BYTES = 4 * 1024 * 1024

Receive = typing.Callable[[bytes, tuple[str, int]], None]


class Loop(typing.Protocol):
    """What a socket needs of an event loop; asyncio's has it."""

    def add_reader(self, source: socket.socket, ready: typing.Callable) -> typing.Any:
        """Call a function whenever a socket can be read."""

    def remove_reader(self, source: socket.socket) -> typing.Any:
        """Stop that."""


class DatagramSocket:
    """One bound UDP socket that hands each datagram to a function.

    :param address: where to bind.
    :param receive: called with a datagram and its sender.
    :param loop: event loop that tells when there is something to read.
    """

    __slots__ = ('_loop', '_receive', '_socket', 'dropped')

    def __init__(
        self,
        address: addresses.Address,
        receive: Receive,
        loop: Loop,
    ) -> None:
        self._receive = receive
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self.dropped = 0
        self._loop = loop
        self._loop.add_reader(self._socket, self._on_ready)

    @property
    def address(self) -> addresses.Address:
        """Return the address that the socket is bound to."""
        return addresses.Address(*self._socket.getsockname())

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that does not fit the buffer is dropped."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            self.dropped += 1

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def read(self, limit: int) -> None:
        """Hand over what has arrived.

        :param limit: most datagrams to read.
        """
        for _ in range(limit):
            try:
                datagram, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += 1
                return
            self._receive(datagram, sender)

    def _on_ready(self) -> None:
        self.read(BATCH_SIZE)
