"""IPv4 addresses with a port, as text and in their packed six-byte form."""

import socket
import struct
import typing

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
ACCEPTED_FORM = 'an IPv4 address and port such as 127.0.0.1:7000'
PACKED_BYTES = 6
_PORT = struct.Struct('!H')


class Address(typing.NamedTuple):
    """An IPv4 address and a port, usable where a socket address is expected."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


def parse(text: str) -> Address:
    """Parse ``host:port``.

    :param text: for example ``127.0.0.1:7000``.
    :return: the address.
    :raises ValueError: with the accepted form as its message, for any other text.
    """
    host, _, port = text.strip().rpartition(':')
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise ValueError(ACCEPTED_FORM) from error
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(ACCEPTED_FORM)
    return Address(host, int(port))


def pack(address: tuple[str, int]) -> bytes:
    """Pack an address into four bytes of host and two bytes of port."""
    return socket.inet_aton(address[0]) + _PORT.pack(address[1])


def unpack(packed: bytes) -> Address:
    """Unpack an address from its six-byte form."""
    return Address(socket.inet_ntoa(packed[:4]), _PORT.unpack(packed[4:6])[0])
