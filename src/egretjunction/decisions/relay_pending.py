"""Records of an entry: flows, offers of first packets, and searches for owners."""

from egretjunction import addresses
from egretjunction.decisions import relay_routes
from egretjunction.relay import packets

SEND_OFFSETS_SECONDS = (0, 0.2, 0.6)  # first packet, then its retransmissions
ATTEMPT_TIMEOUT_SECONDS = 1.4  # clients then give up on an unanswered first packet


class Flow:
    """A flow and the agent that receives its packets.

    Several agents may have accepted its first packet. ``owner_by_sequence`` holds them
    by the initial sequence number of their server. The next packet of the client
    acknowledges one of these numbers and so confirms the owner.

    :param owner: address of the agent that owns the flow.
    :param now: the time in seconds.
    """

    __slots__ = ('is_owner_confirmed', 'owner', 'owner_by_sequence', 'used_at')

    def __init__(self, owner: addresses.Address, now: float) -> None:
        self.owner = owner
        self.owner_by_sequence: dict[int, addresses.Address] = {}
        self.is_owner_confirmed = False
        self.used_at = now


class Offer:
    """A first packet that no agent has accepted yet.

    ``tried`` holds the names of the members that it was offered to, and
    ``early_packets`` later packets of the client that arrived before an answer.
    ``is_final`` is set once all members are full, so that one may queue the flow.

    :param packet: the first packet.
    :param service: service chosen for the flow.
    :param route: route of the flow.
    :param now: the time in seconds.
    """

    __slots__ = (
        'due_at',
        'early_packets',
        'is_final',
        'is_waiting',
        'key',
        'last_seen_at',
        'packet',
        'priority',
        'route',
        'service',
        'started_at',
        'target_seconds',
        'timeout_seconds',
        'tried',
    )

    def __init__(
        self,
        packet: packets.Packet,
        service: str,
        route: relay_routes.Route,
        now: float,
    ) -> None:
        self.packet = packet
        self.key = packet.key
        self.service = service
        self.route = route.name
        self.priority = route.priority
        self.target_seconds = route.target_seconds
        self.timeout_seconds = min(route.timeout_seconds, ATTEMPT_TIMEOUT_SECONDS)
        self.tried: set[str] = set()
        self.early_packets: list[packets.Packet] = []
        self.is_final = False
        self.is_waiting = False
        self.started_at = now - _seconds_since_first_sent(packet)
        self.last_seen_at = now
        self.due_at = now


class Search:
    """A search for the owner of a flow that this entry has no record of.

    ``asked``, ``unsure``, ``probed`` and ``denied`` hold names of members: those that
    were asked, those that must probe their server, those that were sent the first
    queued packet to probe their server with, and those that do not hold the flow.

    :param key: the flow's key.
    :param services: services whose members may hold the flow.
    :param now: the time in seconds.
    """

    __slots__ = (
        'asked',
        'denied',
        'due_at',
        'key',
        'probed',
        'queue',
        'services',
        'started_at',
        'unsure',
    )

    def __init__(self, key: bytes, services: list[str], now: float) -> None:
        self.key = key
        self.services = services
        self.queue: list[packets.Packet] = []
        self.asked: set[str] = set()
        self.unsure: set[str] = set()
        self.probed: set[str] = set()
        self.denied: set[str] = set()
        self.started_at = now
        self.due_at = now


def _seconds_since_first_sent(packet: packets.Packet) -> float:
    """Return how long ago the client sent the original of a first packet."""
    retransmissions = min(packet.acknowledged, len(SEND_OFFSETS_SECONDS) - 1)
    return SEND_OFFSETS_SECONDS[retransmissions]
