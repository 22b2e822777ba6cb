"""What an entry remembers of flows, of first packets, and of searches for owners."""

from egretjunction import addresses
from egretjunction.decisions import relay_routes
from egretjunction.relay import packets

COPY_SECONDS = (0, 0.2, 0.6)  # when a client sends a first packet and its copies
ATTEMPT_SECONDS = 1.4  # a client gives an unanswered first packet up


class Flow:
    """Where a flow's packets go.

    :param owner_by_sequence: agents that answered its first packet, by the
        sequence number of their server; the client's next packet chooses.
    """

    __slots__ = ('is_settled', 'owner', 'owner_by_sequence', 'used_at')

    def __init__(self, owner: addresses.Address, now: float) -> None:
        self.owner = owner
        self.owner_by_sequence: dict[int, addresses.Address] = {}
        self.is_settled = False
        self.used_at = now


class Offer:
    """A first packet that no agent has taken yet."""

    __slots__ = (
        'began_at',
        'due_at',
        'early',
        'is_final',
        'is_waiting',
        'key',
        'packet',
        'priority',
        'route',
        'seen_at',
        'service',
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
        self.timeout_seconds = min(route.timeout_seconds, ATTEMPT_SECONDS)
        self.tried: set[str] = set()
        self.early: list[packets.Packet] = []
        self.is_final = False
        self.is_waiting = False
        self.began_at = now - _sent_before(packet)
        self.seen_at = now
        self.due_at = now


class Search:
    """A flow whose owner is not known here."""

    __slots__ = (
        'asked',
        'began_at',
        'denied',
        'due_at',
        'given',
        'key',
        'queue',
        'services',
        'unsure',
    )

    def __init__(self, key: bytes, services: list[str], now: float) -> None:
        self.key = key
        self.services = services
        self.queue: list[packets.Packet] = []
        self.asked: set[str] = set()
        self.unsure: set[str] = set()
        self.given: set[str] = set()
        self.denied: set[str] = set()
        self.began_at = now
        self.due_at = now


def _sent_before(packet: packets.Packet) -> float:
    """Return how long ago a client sent a first packet whose copy has come."""
    copies = min(packet.acknowledged, len(COPY_SECONDS) - 1)
    return COPY_SECONDS[copies]
