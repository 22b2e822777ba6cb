"""Packets of flows: header of 36 bytes, then the data."""

import socket
import struct
import zlib

HEADER = struct.Struct('!II4sH4sHHB5sII')
SYN, ACK, FIN, RST, BOUNCED = 8, 2, 32, 64, 1
MAX_DATA_BYTES = 1200
_KEY = b'a key that only clients and backends hold'


class Packet:
    """One packet, decoded.

    :param raw: its bytes.
    """

    __slots__ = (
        'ack', 'data', 'dst', 'echo', 'flags', 'pad', 'raw', 'seq', 'src', 'sum',
    )

    def __init__(self, raw):
        fields = HEADER.unpack(raw[: HEADER.size])
        self.raw = raw
        self.sum, self.echo = fields[0], fields[1]
        self.src = (socket.inet_ntoa(fields[2]), fields[3])
        self.dst = (socket.inet_ntoa(fields[4]), fields[5])
        self.flags, self.pad, self.seq, self.ack = fields[7:]
        self.data = raw[HEADER.size:]

    def is_genuine(self):
        """Tell whether the packet is as its sender wrote it."""
        expected = _sum(self.src, self.dst, self.flags, self.seq, self.ack, self.data)
        return self.sum == expected

    def describe(self):
        """Return the packet as text."""
        names = [
            name
            for name, bit in
            (('SYN', SYN), ('ACK', ACK), ('FIN', FIN), ('RST', RST), ('BOUNCED', BOUNCED))
            if self.flags & bit
        ]
        return (
            f'{"+".join(names) or "-"} {self.src[0]}:{self.src[1]} > '
            f'{self.dst[0]}:{self.dst[1]} seq={self.seq} ack={self.ack} '
            f'len={len(self.data)} sum={self.sum:08x}'
        )


def encode(src, dst, flags, seq, ack, data=b''):
    """Return the bytes of a packet."""
    total = _sum(src, dst, flags, seq, ack, data)
    return HEADER.pack(
        total, 0, socket.inet_aton(src[0]), src[1], socket.inet_aton(dst[0]), dst[1],
        len(data), flags, bytes(5), seq, ack,
    ) + data


def bounce(raw):
    """Return a packet as a backend returns it."""
    packet = bytearray(raw)
    packet[22] |= BOUNCED
    packet[23:28] = bytes(5)
    return bytes(packet)


def _sum(src, dst, flags, seq, ack, data):
    fields = HEADER.pack(
        0, 0, socket.inet_aton(src[0]), src[1], socket.inet_aton(dst[0]), dst[1],
        len(data), flags & ~BOUNCED, bytes(5), seq, ack,
    )
    return zlib.crc32(_KEY + fields + data) or 1
