"""Records of an entry: flows, offers of first packets, and searches for owners."""

from egretjunction import addresses
from egretjunction.decisions import relay_denials
from egretjunction.decisions import relay_routes
from egretjunction.decisions.load import finish
from egretjunction.relay import packets

EARLY_PACKET_SECONDS = 0.02  # answers are late by at most the latency between domains
MAX_QUEUED_PACKETS = 32  # per flow; covers both of its windows
MAX_PENDING = 4096  # offers and searches


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

    def confirm_owner(self, acknowledged: int) -> None:
        """Set the owner to the agent whose server the client has acknowledged.

        A client acknowledges the initial sequence number of the server or the next one.

        :param acknowledged: acknowledgement number of the client's packet.
        """
        self.is_owner_confirmed = True
        for offset in (0, 1):
            sequence = (acknowledged - offset) % packets.SEQUENCE_RANGE
            owner = self.owner_by_sequence.get(sequence)
            if owner is not None:
                self.owner = owner


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

    def add_early_packet(self, packet: packets.Packet, now: float) -> None:
        """Queue a client packet that arrives before the agent's answer to the offer.

        The answer of an agent in another failure domain can reach the client before
        it reaches this entry.
        """
        if len(self.early_packets) < MAX_QUEUED_PACKETS:
            self.early_packets.append(packet)
        self.due_at = min(self.due_at, now + EARLY_PACKET_SECONDS)

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

    ``asked`` and ``unsure`` are sets of members as bit masks: those that were asked,
    and those that must probe their server. ``probed`` holds the names of those that
    were sent the first queued packet to probe their server with.

    :param packet: the client's packet that started the search.
    :param record: the members that have denied the flow.
    :param services: services that the route is known to have had; their members are
        asked first.
    :param now: the time in seconds.
    """

    __slots__ = (
        'asked',
        'due_at',
        'key',
        'probed',
        'queue',
        'record',
        'services',
        'started_at',
        'unsure',
    )

    def __init__(
        self,
        packet: packets.Packet,
        record: relay_denials.Record,
        services: list[str],
        now: float,
    ) -> None:
        self.key = packet.key
        self.record = record
        self.services = services
        self.queue = [packet]
        self.asked = 0
        self.unsure = 0
        self.probed: set[str] = set()
        self.started_at = now
        self.due_at = now


class Tokens:
    """Tokens of the pending offers and searches of one entry, by the flow's key."""

    __slots__ = ('_last_token', '_token_by_key')

    def __init__(self) -> None:
        self._last_token = 0
        self._token_by_key: dict[bytes, int] = {}

    @property
    def count(self) -> int:
        """Return the number of tokens in use."""
        return len(self._token_by_key)

    def token_of(self, key: bytes) -> int | None:
        """Return the token of a flow's offer or search, if one is pending."""
        return self._token_by_key.get(key)

    def issue(self, key: bytes) -> int:
        """Return a new token for a flow."""
        self._last_token = self._last_token % (packets.SEQUENCE_RANGE - 1) + 1
        self._token_by_key[key] = self._last_token
        return self._last_token

    def release(self, key: bytes) -> None:
        """Forget the token of a flow."""
        self._token_by_key.pop(key, None)
