"""A UDP socket that an event loop reads in batches."""

import socket
import typing

from egretjunction import addresses

MAX_DATAGRAMS_PER_READ = 64
MAX_DATAGRAM_BYTES = 65_535
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

Receive = typing.Callable[[bytes, tuple[str, int]], None]


class Loop(typing.Protocol):
    """The event loop methods that a socket uses; asyncio's loop has them."""

    def add_reader(self, sock: socket.socket, callback: typing.Callable) -> typing.Any:
        """Call a function whenever a socket is readable."""

    def remove_reader(self, sock: socket.socket) -> typing.Any:
        """Stop calling the function that was added for a socket."""


class DatagramSocket:
    """A bound UDP socket that passes each datagram to a callback.

    ``dropped`` counts datagrams that were not sent and reads that failed.

    :param address: address to bind to.
    :param receive: called with each datagram and the address of its sender.
    :param loop: event loop that reports when the socket is readable.
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
            self._socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
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
        """Send a datagram; drop and count it if the send fails."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            self.dropped += 1

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def read(self, max_datagrams: int) -> bool:
        """Pass received datagrams to the callback.

        :param max_datagrams: upper bound on the number of datagrams to read.
        :return: whether no datagram is left.
        """
        for _ in range(max_datagrams):
            try:
                datagram, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return True
            except OSError:
                self.dropped += 1
                return False
            self._receive(datagram, sender)
        return False

    def _on_ready(self) -> None:
        self.read(MAX_DATAGRAMS_PER_READ)
