"""The typed packet of an opaque flow, and what a codec of packets can do."""

import typing

from egretjunction import addresses

SEQUENCE_BITS = 32
SEQUENCE_RANGE = 2**SEQUENCE_BITS  # sequence numbers begin anew at this one


class Packet:
    """One packet of an opaque flow.

    :param key: the flow: addresses and ports of client and route, the same for
        both directions.
    :param raw: the datagram.
    :param sequence: the sender's sequence number.
    :param acknowledged: what the sender acknowledges; in a client's first packet
        the number of copies sent before.
    :param data_bytes: length of the data.
    :param is_first: whether it asks to open a flow.
    :param is_accept: whether it accepts a flow.
    :param is_last: whether the sender has no more data.
    :param is_reset: whether it ends the flow at once.
    :param is_bounced: whether a backend server gave it back.
    :param token: number that the agent wrote before the server saw it.
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


class Codec(typing.Protocol):
    """Reads and writes packets of one platform."""

    def from_client(self, raw: bytes) -> Packet:
        """Read a client's packet.

        :raises errors.PacketError: when it is none.
        """

    def from_server(self, raw: bytes) -> Packet:
        """Read a packet that a backend server has sent or given back.

        :raises errors.PacketError: when it is none.
        """

    def with_token(self, raw: bytes, token: int) -> bytes:
        """Return a packet with a number that comes back when it is bounced."""

    def restore_bounced(self, raw: bytes) -> bytes:
        """Return a bounced packet as its client has sent it."""

    def reset(self, key: bytes, sequence: int) -> bytes:
        """Return a packet that ends a flow at its client."""

    def client_of(self, key: bytes) -> addresses.Address:
        """Return the address that a flow's client receives packets at."""

    def destination_of(self, key: bytes) -> addresses.Address:
        """Return the route's address and port of a flow."""


def acknowledges_first_packet(acknowledged: int, sequence: int) -> bool:
    """Tell whether an end acknowledges just the first packet of the other.

    :param acknowledged: its acknowledgement number.
    :param sequence: the sequence number that the other end began with.
    """
    return (acknowledged - sequence) % SEQUENCE_RANGE <= 1
