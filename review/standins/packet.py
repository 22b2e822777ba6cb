"""Packets of the platform: a header of 36 bytes, then up to 1,200 bytes of data."""

import socket
import struct
import typing
import zlib

SYN, ACK, FIN, RST, BOUNCED = 8, 2, 32, 64, 1
RANGE = 2**32
_HEADER = struct.Struct('!II4sH4sHHB5sII')
_SUM_KEY = b'stand-in'  # the stand-ins' own; the system never learns it
_FLAGS_OFFSET = 22
_PAD = slice(23, 28)


class Packet(typing.NamedTuple):
    """A decoded packet; ``is_genuine`` tells whether its sender wrote it so."""

    source: tuple[str, int]
    destination: tuple[str, int]
    flags: int
    seq: int
    ack: int
    data: bytes
    is_genuine: bool


def _sum(head: bytes, data: bytes) -> int:
    """Return the keyed sum over all fields except ``sum``, ``echo``, ``pad``, BOUNCED."""
    fields = bytearray(head[8:23] + head[28:])
    fields[_FLAGS_OFFSET - 8] &= ~BOUNCED
    return zlib.crc32(_SUM_KEY + bytes(fields) + data) or 1


def encode(source, destination, flags, seq, ack, data=b''):
    """Return the bytes of a packet that a client or a backend sends."""
    raw = _HEADER.pack(
        0, 0,
        socket.inet_aton(source[0]), source[1],
        socket.inet_aton(destination[0]), destination[1],
        len(data), flags, bytes(5), seq % RANGE, ack % RANGE,
    )
    return _sum(raw, data).to_bytes(4) + raw[4:] + data


def decode(raw: bytes) -> Packet:
    """Return the packet in a datagram."""
    head, data = raw[: _HEADER.size], raw[_HEADER.size:]
    fields = _HEADER.unpack(head)
    return Packet(
        (socket.inet_ntoa(fields[2]), fields[3]),
        (socket.inet_ntoa(fields[4]), fields[5]),
        fields[7], fields[9], fields[10], data,
        fields[0] == _sum(head, data),
    )


def bounce(raw: bytes) -> bytes:
    """Return a packet as a backend hands it back."""
    bounced = bytearray(raw)
    bounced[_FLAGS_OFFSET] |= BOUNCED
    bounced[_PAD] = bytes(5)
    return bytes(bounced)


def distance(one: int, other: int) -> int:
    """Return how far two sequence numbers are apart."""
    difference = (one - other) % RANGE
    return min(difference, RANGE - difference)
