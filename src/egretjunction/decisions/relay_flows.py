"""Records of an agent: its flows, and probes sent to its backend server."""

import enum
import typing

from egretjunction import addresses
from egretjunction.relay import packets


class Direction(enum.Enum):
    """Direction in which an end of a flow sends."""

    TO_SERVER = 'to_server'
    TO_CLIENT = 'to_client'


class Flow:
    """One flow at this agent.

    :param is_open: whether the client has acknowledged this agent's server.
    :param is_server_confirmed: whether the server has sent a packet other than the
        answer to the first one.
    :param is_provisional: whether the server was sent a probe and has not answered.
    :param first_sequence: initial sequence number of the client, or None if this
        agent did not handle the first packet.
    :param server_sequence: initial sequence number of the server, or None if this
        agent did not see it.
    :param acknowledged: last acknowledgement number of the client.
    :param entry: entry that sent the last packet of the flow.
    :param token: token with which that entry identifies its offer or search.
    :param ended_at: time of the first end of a direction or of a reset, or None.
    :param closed_at: time at which both directions had ended, or of a reset, or None.
    """

    __slots__ = (
        '_ended_directions',
        'acknowledged',
        'closed_at',
        'ended_at',
        'entry',
        'first_sequence',
        'is_open',
        'is_provisional',
        'is_server_confirmed',
        'opened_at',
        'server_sequence',
        'token',
        'used_at',
    )

    def __init__(self, now: float) -> None:
        self.opened_at = now
        self.used_at = now
        self.is_open = False
        self.is_server_confirmed = False
        self.is_provisional = False
        self.ended_at: float | None = None
        self.closed_at: float | None = None
        self._ended_directions: set[Direction] = set()
        self.server_sequence: int | None = None
        self.first_sequence: int | None = None
        self.acknowledged = 0
        self.entry: addresses.Address | None = None
        self.token = 0

    def record_end(self, ended: typing.Collection[Direction], now: float) -> None:
        """Record the end of one direction, or that of both by a reset.

        One end may go on sending for long after the other has sent its last packet.
        """
        self._ended_directions.update(ended)
        if self.ended_at is None:
            self.ended_at = now
        if self.closed_at is None and len(self._ended_directions) == len(Direction):
            self.closed_at = now

    @property
    def is_proven(self) -> bool:
        """Tell whether a packet of the server has shown that it took the flow."""
        return self.is_server_confirmed or self.server_sequence is not None


class Probe:
    """A packet sent to the backend server to learn whether it holds the flow.

    :param packet: the packet that was sent.
    :param entry: entry that sent the packet to this agent.
    :param token: the entry's token for its offer or search, or 0.
    :param sent_at: time at which it was sent.
    :param expires_at: time after which the probe counts as unanswered.
    """

    __slots__ = (
        'entry',
        'expires_at',
        'is_first',
        'key',
        'packet',
        'sent_at',
        'token',
    )

    def __init__(
        self,
        packet: packets.Packet,
        entry: addresses.Address,
        token: int,
        sent_at: float,
        expires_at: float,
    ) -> None:
        self.key = packet.key
        self.packet = packet.raw
        self.is_first = packet.is_first
        self.entry = entry
        self.token = token
        self.sent_at = sent_at
        self.expires_at = expires_at

    def restart(self, now: float) -> None:
        """Record that the packet is sent again."""
        self.expires_at += now - self.sent_at
        self.sent_at = now

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the time without an answer."""
        self.sent_at += seconds
        self.expires_at += seconds
