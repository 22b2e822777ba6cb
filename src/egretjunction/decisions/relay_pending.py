"""Records of an entry: flows, offers of first packets, and searches for owners."""

from egretjunction import addresses
from egretjunction.decisions import relay_routes
from egretjunction.decisions.load import finish
from egretjunction.relay import packets


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
    ``opening_seconds`` is how long the client waits for its flow to open, and
    ``request_seconds`` how long for the answer to its request.

    :param packet: the first packet.
    :param service: service chosen for the flow.
    :param route: route of the flow.
    :param opening: how clients open a flow.
    :param now: the time in seconds.
    """

    __slots__ = (
        '_estimate',
        'due_at',
        'early_packets',
        'is_final',
        'is_waiting',
        'last_seen_at',
        'opening_seconds',
        'packet',
        'priority',
        'request_seconds',
        'route',
        'service',
        'started_at',
        'target_seconds',
        'tried',
    )

    def __init__(
        self,
        packet: packets.Packet,
        service: str,
        route: relay_routes.Route,
        opening: packets.Opening,
        now: float,
    ) -> None:
        self.packet = packet
        self.service = service
        self.route = route.name
        self.priority = route.priority
        self.target_seconds = route.target_seconds
        self.opening_seconds = min(route.timeout_seconds, opening.timeout_seconds)
        self.request_seconds = route.timeout_seconds
        self.tried: set[str] = set()
        self.early_packets: list[packets.Packet] = []
        self.is_final = False
        self._estimate: finish.Estimate | None = None
        self.is_waiting = False
        self.started_at = opening.started_at(packet, now)
        self.last_seen_at = now
        self.due_at = now

    @property
    def key(self) -> bytes:
        """Return the key of the flow."""
        return self.packet.key

    def record_estimate(self, estimate: finish.Estimate) -> None:
        """Record the expected finish that led to the last choice of a member."""
        self._estimate = estimate

    @property
    def estimate_fields(self) -> dict[str, float]:
        """Return that estimate in milliseconds for the log, if there is one."""
        if self._estimate is None:
            return {}
        return {
            name: round(seconds * finish.MILLISECONDS_PER_SECOND, 1)
            for name, seconds in self._estimate._asdict().items()
        }


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
