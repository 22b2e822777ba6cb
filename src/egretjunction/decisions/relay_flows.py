"""What an agent remembers of its flows, and of packets its server was asked about."""

from egretjunction import addresses
from egretjunction.relay import packets


class Flow:
    """One flow at this agent.

    :param is_open: whether the client has acknowledged this agent's server.
    :param is_confirmed: whether the server has answered a packet after the first.
    :param is_provisional: whether the server was asked about it and has not told.
    :param first_sequence: the sequence number that its client began with, None for
        an adopted flow.
    :param server_sequence: the sequence number that its server began with.
    """

    __slots__ = (
        'acknowledged',
        'ended_at',
        'entry',
        'first_sequence',
        'is_confirmed',
        'is_open',
        'is_provisional',
        'opened_at',
        'server_sequence',
        'token',
        'used_at',
    )

    def __init__(self, now: float) -> None:
        self.opened_at = now
        self.used_at = now
        self.is_open = False
        self.is_confirmed = False
        self.is_provisional = False
        self.ended_at: float | None = None
        self.server_sequence: int | None = None
        self.first_sequence: int | None = None
        self.acknowledged = 0
        self.entry: addresses.Address | None = None
        self.token = 0


class Question:
    """A packet that the backend server was asked about."""

    __slots__ = ('entry', 'is_first', 'key', 'packet', 'token', 'until')

    def __init__(
        self,
        packet: packets.Packet,
        entry: addresses.Address,
        token: int,
        until: float,
    ) -> None:
        self.key = packet.key
        self.packet = packet.raw
        self.is_first = packet.is_first
        self.entry = entry
        self.token = token
        self.until = until
