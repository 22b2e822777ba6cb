"""What the decisions about relayed flows ask a daemon to do."""

from egretjunction import addresses
from egretjunction.wire import relaying

MILLISECONDS_PER_SECOND = 1_000


class Send:
    """Send a message to another process of the system."""

    __slots__ = ('address', 'message')

    def __init__(self, address: addresses.Address, message: relaying.Message) -> None:
        self.address = address
        self.message = message


class ToServer:
    """Give a packet to the backend server.

    :param token: number that comes back when the server bounces it, or 0.
    """

    __slots__ = ('raw', 'token')

    def __init__(self, raw: bytes, token: int = 0) -> None:
        self.raw = raw
        self.token = token


class ToClient:
    """Send a packet to a flow's client."""

    __slots__ = ('key', 'raw')

    def __init__(self, key: bytes, raw: bytes) -> None:
        self.key = key
        self.raw = raw


class Reset:
    """End a flow at its client.

    :param sequence: a number close to what the client acknowledged last.
    """

    __slots__ = ('key', 'reason', 'sequence')

    def __init__(self, key: bytes, sequence: int, reason: str) -> None:
        self.key = key
        self.sequence = sequence
        self.reason = reason


class Log:
    """Write one event to the log."""

    __slots__ = ('event', 'fields')

    def __init__(self, event: str, **fields: object) -> None:
        self.event = event
        self.fields = fields


Effect = Send | ToServer | ToClient | Reset | Log


def milliseconds(seconds: float) -> float:
    """Return a duration as it stands in the log."""
    return round(seconds * MILLISECONDS_PER_SECOND, 1)
