"""Effects that a daemon carries out for the decisions about relayed flows."""

from egretjunction import addresses
from egretjunction.relay import packets
from egretjunction.wire import relaying

MILLISECONDS_PER_SECOND = 1_000


class Send:
    """Send a message to another process of the system."""

    __slots__ = ('address', 'message')

    def __init__(self, address: addresses.Address, message: relaying.Message) -> None:
        self.address = address
        self.message = message


class ToServer:
    """Send a packet to the backend server.

    :param raw: the packet.
    :param token: number that a bounced packet carries back, or 0 for none.
    """

    __slots__ = ('raw', 'token')

    def __init__(self, raw: bytes, token: int = 0) -> None:
        self.raw = raw
        self.token = token


class ToClient:
    """Send a packet to the client of a flow."""

    __slots__ = ('key', 'raw')

    def __init__(self, key: bytes, raw: bytes) -> None:
        self.key = key
        self.raw = raw


class Reset:
    """Reset a flow at its client.

    :param key: the flow's key.
    :param sequence: a sequence number close to the last one that the client
        acknowledged.
    :param reason: the reason that is logged.
    :param fields: further fields of the log line.
    """

    __slots__ = ('fields', 'key', 'reason', 'sequence')

    def __init__(
        self, key: bytes, sequence: int, reason: str, **fields: object
    ) -> None:
        self.fields = fields
        self.key = key
        self.sequence = sequence
        self.reason = reason


class Log:
    """Log an event.

    :param event: name of the event.
    :param fields: its fields.
    """

    __slots__ = ('event', 'fields')

    def __init__(self, event: str, **fields: object) -> None:
        self.event = event
        self.fields = fields


Effect = Send | ToServer | ToClient | Reset | Log


def milliseconds(seconds: float) -> float:
    """Return a duration in milliseconds, rounded for the log."""
    return round(seconds * MILLISECONDS_PER_SECOND, 1)


def reset_of(packet: packets.Packet, reason: str, **fields: object) -> Reset:
    """Return a reset of the flow that a client's packet belongs to.

    :param packet: a client's packet of the flow.
    :param reason: the reason that is logged.
    :param fields: further fields of the log line.
    """
    return Reset(packet.key, packet.acknowledged, reason, **fields)
