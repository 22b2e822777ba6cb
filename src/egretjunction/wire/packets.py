"""The datagram header between fabric, entry and agent, and version-independent QUIC.

The header is version 2 of the PROXY protocol (UDP over IPv4) with one TLV of
the range that it reserves for applications. The QUIC fields are the invariants
of RFC 8999, which hold for every version of QUIC.
"""

import socket
import struct
import typing

from egretjunction import addresses
from egretjunction import errors

SIGNATURE = b'\r\n\r\n\x00\r\nQUIT\n'
VERSION_AND_COMMAND = 0x21
UDP_OVER_IPV4 = 0x12
TLV_PLACEMENT = 0xE0
TLV_ACKNOWLEDGED = 0xE1
LOCAL_COMMAND = 0x20
UNSPECIFIED = 0
MAX_DATAGRAM_BYTES = 65535
MIN_FIRST_PACKET_BYTES = 1200
CONNECTION_ID_BYTES = 20
LONG_HEADER_BIT = 0x80
FIXED_BIT = 0x40
MAX_CANDIDATES = 8
NO_LOAD_SEEN = 65535

_HEADER = struct.Struct('!12sBBH4s4sHH')
_HEADER_START = struct.Struct('!12sBBH')
_ADDRESSES_BYTES = 12
_CANDIDATE_BYTES = addresses.PACKED_BYTES + 1
_TLV_HEAD = struct.Struct('!BH')
_PLACEMENT_HEAD = struct.Struct('!BBH6s')


class Candidate(typing.NamedTuple):
    """An agent that may accept a flow.

    :param address: address for its datagrams.
    :param domain: one-byte hash of its failure domain.
    """

    address: addresses.Address
    domain: int


class Placement:
    """The agents that may accept a first packet, and their load as seen so far.

    :param tried: bit mask of the candidates that were already tried, by index.
    :param best_index: index of the least loaded candidate seen so far.
    :param best_load: its load in percent of its slots.
    :param entry: the entry that forwards answers to the caller.
    :param candidates: agents in the order of the flow's hash.
    """

    __slots__ = ('best_index', 'best_load', 'candidates', 'entry', 'tried')

    def __init__(
        self,
        tried: int,
        best_index: int,
        best_load: int,
        entry: addresses.Address,
        candidates: tuple[Candidate, ...],
    ) -> None:
        self.tried = tried
        self.best_index = best_index
        self.best_load = best_load
        self.entry = entry
        self.candidates = candidates


class Envelope:
    """A QUIC datagram with its original addresses.

    :param source: address that the datagram was sent from.
    :param destination: address that it was sent to.
    :param payload: the QUIC datagram.
    :param placement: candidate agents, between entry and agent; None elsewhere.
    """

    __slots__ = ('destination', 'payload', 'placement', 'source')

    def __init__(
        self,
        source: addresses.Address,
        destination: addresses.Address,
        payload: bytes,
        placement: Placement | None = None,
    ) -> None:
        self.source = source
        self.destination = destination
        self.payload = payload
        self.placement = placement


class QuicFields:
    """The QUIC header fields that are the same in every version (RFC 8999).

    :param connection_id: the destination connection ID.
    :param is_long: whether the packet has a long header.
    """

    __slots__ = ('connection_id', 'is_long')

    def __init__(self, connection_id: bytes, is_long: bool) -> None:
        self.connection_id = connection_id
        self.is_long = is_long


def _encode_placement(placement: Placement) -> bytes:
    body = _PLACEMENT_HEAD.pack(
        placement.tried,
        placement.best_index,
        placement.best_load,
        addresses.pack(placement.entry),
    )
    body += b''.join(
        addresses.pack(candidate.address) + bytes((candidate.domain,))
        for candidate in placement.candidates
    )
    return _TLV_HEAD.pack(TLV_PLACEMENT, len(body)) + body


def encode(envelope: Envelope) -> bytes:
    """Return a datagram with the header in front."""
    options = b''
    if envelope.placement is not None:
        options = _encode_placement(envelope.placement)
    return (
        _HEADER.pack(
            SIGNATURE,
            VERSION_AND_COMMAND,
            UDP_OVER_IPV4,
            _ADDRESSES_BYTES + len(options),
            socket.inet_aton(envelope.source[0]),
            socket.inet_aton(envelope.destination[0]),
            envelope.source[1],
            envelope.destination[1],
        )
        + options
        + envelope.payload
    )


def _decode_placement(options: bytes) -> Placement | None:
    offset = 0
    while offset + _TLV_HEAD.size <= len(options):
        kind, size = _TLV_HEAD.unpack_from(options, offset)
        offset += _TLV_HEAD.size
        body = options[offset : offset + size]
        offset += size
        if kind == TLV_PLACEMENT:
            return _decode_placement_body(body, size)
    return None


def _decode_placement_body(body: bytes, size: int) -> Placement:
    if len(body) != size or size < _PLACEMENT_HEAD.size:
        raise errors.PacketError('placement option is truncated')
    candidate_bytes = body[_PLACEMENT_HEAD.size :]
    count, rest = divmod(len(candidate_bytes), _CANDIDATE_BYTES)
    if rest or count > MAX_CANDIDATES:
        raise errors.PacketError('placement option has a malformed candidate list')
    tried, best_index, best_load, entry = _PLACEMENT_HEAD.unpack_from(body)
    if best_index and best_index >= count:
        raise errors.PacketError(
            'placement option has a best index outside its candidate list'
        )
    candidates = tuple(
        Candidate(
            addresses.unpack(candidate_bytes[start:]),
            candidate_bytes[start + addresses.PACKED_BYTES],
        )
        for start in range(0, len(candidate_bytes), _CANDIDATE_BYTES)
    )
    return Placement(tried, best_index, best_load, addresses.unpack(entry), candidates)


def decode(datagram: bytes) -> Envelope:
    """Decode a datagram with its header.

    :param datagram: bytes as received.
    :raises errors.PacketError: when the header is malformed or of another kind.
    """
    if len(datagram) < _HEADER.size:
        raise errors.PacketError('datagram is shorter than the PROXY header')
    fields = _HEADER.unpack_from(datagram)
    if fields[0] != SIGNATURE:
        raise errors.PacketError('datagram has no PROXY protocol signature')
    if fields[1] != VERSION_AND_COMMAND or fields[2] != UDP_OVER_IPV4:
        raise errors.PacketError('PROXY header is not for UDP over IPv4')
    options_bytes = fields[3] - _ADDRESSES_BYTES
    start = _HEADER.size + options_bytes
    if options_bytes < 0 or start > len(datagram):
        raise errors.PacketError('PROXY header length does not match the datagram')
    placement = None
    if options_bytes:
        placement = _decode_placement(datagram[_HEADER.size : start])
    return Envelope(
        addresses.Address(socket.inet_ntoa(fields[4]), fields[6]),
        addresses.Address(socket.inet_ntoa(fields[5]), fields[7]),
        datagram[start:],
        placement,
    )


def encode_acknowledgement(connection_id: bytes) -> bytes:
    """Return the datagram that acknowledges a forwarded first packet.

    :param connection_id: the connection ID that the caller chose.
    """
    option = _TLV_HEAD.pack(TLV_ACKNOWLEDGED, len(connection_id)) + connection_id
    start = _HEADER_START.pack(SIGNATURE, LOCAL_COMMAND, UNSPECIFIED, len(option))
    return start + option


def decode_acknowledgement(datagram: bytes) -> bytes | None:
    """Return the connection ID of an acknowledgement, None for other datagrams."""
    if len(datagram) < _HEADER_START.size + _TLV_HEAD.size:
        return None
    signature, command, _, size = _HEADER_START.unpack_from(datagram)
    if signature != SIGNATURE or command != LOCAL_COMMAND:
        return None
    kind, length = _TLV_HEAD.unpack_from(datagram, _HEADER_START.size)
    connection_id = datagram[_HEADER_START.size + _TLV_HEAD.size :]
    if kind != TLV_ACKNOWLEDGED or length != len(connection_id):
        return None
    return connection_id if size == length + _TLV_HEAD.size else None


def read_quic_fields(payload: bytes) -> QuicFields:
    """Decode the version-independent header fields of a QUIC datagram.

    A short header does not carry the length of the connection ID; all IDs that
    agents issue have ``CONNECTION_ID_BYTES``.

    :param payload: the QUIC datagram.
    :raises errors.PacketError: when the datagram is not QUIC.
    """
    if not payload:
        raise errors.PacketError('datagram is empty')
    if payload[0] & LONG_HEADER_BIT:
        if len(payload) < 7 or len(payload) < 6 + payload[5]:
            raise errors.PacketError('long header is truncated')
        return QuicFields(payload[6 : 6 + payload[5]], is_long=True)
    if not payload[0] & FIXED_BIT or len(payload) <= CONNECTION_ID_BYTES:
        raise errors.PacketError('short header is malformed')
    return QuicFields(payload[1 : 1 + CONNECTION_ID_BYTES], is_long=False)
