"""Packets of the users' pages, and one end of a flow's byte stream."""

import asyncio
import collections
import hashlib
import socket
import struct

HEADER = struct.Struct('!II4sH4sHHB5sII')
SYN, ACK, FIN, RST, BOUNCED = 8, 2, 32, 64, 1
MAX_DATA = 1200
WINDOW = 16
RESET_WINDOW = 76_800
FIRST_RESEND_S, LAST_RESEND_S, MAX_RESENDS = 0.2, 1.6, 8
_KEY = b'known to clients and servers'


class Packet:
    """One packet; ``src`` and ``dst`` are pairs of host and port."""

    def __init__(self, src, dst, flags, seq, ack, data=b'', total=0):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data, self.total = seq, ack, data, total

    def encode(self):
        """Return the bytes, with the sum that clients and servers write."""
        return HEADER.pack(
            self._sum(),
            0,
            socket.inet_aton(self.src[0]),
            self.src[1],
            socket.inet_aton(self.dst[0]),
            self.dst[1],
            len(self.data),
            self.flags,
            bytes(5),
            self.seq,
            self.ack,
        ) + self.data

    def is_genuine(self):
        """Tell whether the sum is that of the sender."""
        return self.total == self._sum()

    def _sum(self):
        covered = repr(
            (self.src, self.dst, self.flags & ~BOUNCED, self.seq, self.ack)
        ).encode()
        digest = hashlib.blake2s(covered + self.data, key=_KEY, digest_size=4).digest()
        return int.from_bytes(digest, 'big') or 1


def decode(raw):
    """Return the packet in some bytes."""
    fields = HEADER.unpack_from(raw)
    src = (socket.inet_ntoa(fields[2]), fields[3])
    dst = (socket.inet_ntoa(fields[4]), fields[5])
    data = raw[HEADER.size :]
    return Packet(src, dst, fields[7], fields[9], fields[10], data, fields[0])


def bounced(raw):
    """Return a packet as a server gives it back: ``echo`` kept, ``pad`` 0."""
    copy = bytearray(raw)
    copy[22] |= BOUNCED
    copy[23:28] = bytes(5)
    return bytes(copy)


class Stream:
    """One end of a flow: resends what is not acknowledged, orders what arrives.

    :param send: sends flags, sequence number, acknowledgement number and data.
    :param own_seq: number of the first byte to send.
    :param peer_seq: number of the first byte to receive.
    :param on_data: called with bytes in order.
    :param on_end: called when the other end has sent its FIN.
    """

    def __init__(self, send, own_seq, peer_seq, on_data, on_end):
        self._send, self._on_data, self._on_end = send, on_data, on_end
        self._next, self._peer_next = own_seq, peer_seq
        self._waiting = collections.deque()
        self._flying = collections.deque()
        self._early = {}
        self._unacknowledged = 0
        self._timer = None
        self._resends = 0
        self.has_sent_fin = self.has_received_fin = False
        self.is_over = False

    def write(self, data):
        """Send bytes."""
        for start in range(0, len(data), MAX_DATA):
            self._waiting.append((ACK, data[start : start + MAX_DATA]))
        self._pump()

    def finish(self):
        """Send a FIN after the bytes written so far."""
        if not self.has_sent_fin:
            self.has_sent_fin = True
            self._waiting.append((ACK | FIN, b''))
            self._pump()

    def is_near(self, seq):
        """Tell whether a reset's number is near the last acknowledgement sent."""
        return abs(seq - self._peer_next) <= RESET_WINDOW

    def stop(self):
        """Send nothing more."""
        self.is_over = True
        if self._timer is not None:
            self._timer.cancel()

    def acknowledge(self):
        """Send an acknowledgement without data."""
        self._unacknowledged = 0
        self._send(ACK, self._next, self._peer_next, b'')

    def receive(self, packet):
        """Handle a packet of the other end."""
        while self._flying and _end_of(self._flying[0]) <= packet.ack:
            self._flying.popleft()
            self._resends = 0
            self._arm(restart=True)
        self._pump()
        if not packet.data and not packet.flags & FIN:
            return
        if packet.seq < self._peer_next:
            self.acknowledge()
            return
        self._early[packet.seq] = packet
        while self._peer_next in self._early:
            self._take(self._early.pop(self._peer_next))
        if self._unacknowledged >= 2 or self._early or self.has_received_fin:
            self.acknowledge()

    def _take(self, packet):
        self._peer_next += len(packet.data) + bool(packet.flags & FIN)
        self._unacknowledged += 1
        if packet.data:
            self._on_data(packet.data)
        if packet.flags & FIN:
            self.has_received_fin = True
            self._on_end()

    def _pump(self):
        while self._waiting and len(self._flying) < WINDOW and not self.is_over:
            flags, data = self._waiting.popleft()
            segment = (self._next, flags, data)
            self._next += len(data) + bool(flags & FIN)
            self._flying.append(segment)
            self._unacknowledged = 0
            self._send(flags, segment[0], self._peer_next, data)
        self._arm()

    def _arm(self, restart=False):
        if self._timer is not None and (restart or not self._flying):
            self._timer.cancel()
            self._timer = None
        if self._flying and self._timer is None and not self.is_over:
            delay = min(LAST_RESEND_S, FIRST_RESEND_S * 2**self._resends)
            self._timer = asyncio.get_running_loop().call_later(delay, self._resend)

    def _resend(self):
        self._timer = None
        self._resends += 1
        if self._resends > MAX_RESENDS:
            self.stop()
            return
        seq, flags, data = self._flying[0]
        self._send(flags, seq, self._peer_next, data)
        self._arm()


def _end_of(segment):
    seq, flags, data = segment
    return seq + len(data) + bool(flags & FIN)
