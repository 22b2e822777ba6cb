"""Packets of opaque flows, and the interface of a platform's packet codec."""

import typing

from egretjunction import addresses

SEQUENCE_BITS = 32
SEQUENCE_RANGE = 2**SEQUENCE_BITS  # sequence numbers wrap around to 0 here


class Packet:
    """One packet of an opaque flow.

    :param key: identifies the flow: addresses and ports of client and route, the
        same in both directions.
    :param raw: the encoded packet.
    :param sequence: the sender's sequence number.
    :param acknowledged: the sender's acknowledgement number; in a client's first
        packet, the number of copies sent before.
    :param data_bytes: length of the payload.
    :param is_first: whether it requests a new flow.
    :param is_accept: whether it accepts a new flow.
    :param is_last: whether the sender sends no data after it.
    :param is_reset: whether it terminates the flow immediately.
    :param is_bounced: whether a backend server returned it.
    :param token: number that the agent wrote into it before the server received it.
    """

    __slots__ = (
        'acknowledged',
        'data_bytes',
        'is_accept',
        'is_bounced',
        'is_first',
        'is_last',
        'is_reset',
        'key',
        'raw',
        'sequence',
        'token',
    )

    def __init__(
        self,
        key: bytes,
        raw: bytes,
        sequence: int,
        acknowledged: int,
        data_bytes: int,
        *,
        is_first: bool = False,
        is_accept: bool = False,
        is_last: bool = False,
        is_reset: bool = False,
        is_bounced: bool = False,
        token: int = 0,
    ) -> None:
        self.key = key
        self.raw = raw
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.data_bytes = data_bytes
        self.is_first = is_first
        self.is_accept = is_accept
        self.is_last = is_last
        self.is_reset = is_reset
        self.is_bounced = is_bounced
        self.token = token


class Opening:
    """How clients of a platform open a flow.

    :param offsets_seconds: when a client sends the first packet and its
        retransmissions, after the first one.
    :param timeout_seconds: time after which it gives up if no server has accepted.
    """

    __slots__ = ('_offsets_seconds', 'timeout_seconds')

    def __init__(
        self, offsets_seconds: typing.Sequence[float], timeout_seconds: float
    ) -> None:
        self._offsets_seconds = tuple(offsets_seconds)
        self.timeout_seconds = timeout_seconds

    @property
    def last_copy_seconds(self) -> float:
        """Return when a client sends the last copy of a first packet."""
        return self._offsets_seconds[-1]

    def started_at(self, packet: Packet, now: float) -> float:
        """Return when the client sent the original of a first packet."""
        retransmissions = min(packet.acknowledged, len(self._offsets_seconds) - 1)
        return now - self._offsets_seconds[retransmissions]


class Codec(typing.Protocol):
    """Decodes and encodes packets of one platform.

    :param opening: how clients open a flow.
    :param segment_bytes: most data bytes of one packet.
    """

    opening: Opening
    segment_bytes: int

    def from_client(self, raw: bytes) -> Packet:
        """Decode a client's packet.

        :raises errors.PacketError: when the bytes are not a valid packet.
        """

    def from_server(self, raw: bytes) -> Packet:
        """Decode a packet that a backend server sent or bounced.

        :raises errors.PacketError: when the bytes are not a valid packet.
        """

    def with_token(self, raw: bytes, token: int) -> bytes:
        """Return a packet with a token that comes back if the server bounces it."""

    def restore_bounced(self, raw: bytes) -> bytes:
        """Return a bounced packet as its client sent it."""

    def reset(self, key: bytes, sequence: int) -> bytes:
        """Return a packet that terminates a flow at its client."""

    def client_of(self, key: bytes) -> addresses.Address:
        """Return the address at which a flow's client receives packets."""

    def destination_of(self, key: bytes) -> addresses.Address:
        """Return the address and port of a flow's route."""


def acknowledges_first_packet(acknowledged: int, sequence: int) -> bool:
    """Return whether one side acknowledges only the first packet of the other.

    :param acknowledged: acknowledgement number of the one side.
    :param sequence: initial sequence number of the other side.
    """
    return (acknowledged - sequence) % SEQUENCE_RANGE <= 1
