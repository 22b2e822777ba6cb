"""Where an entry sends a packet: a function of packet, view and configuration.

The only state is a short memory of first packets. Losing it costs nothing but
the second choice for a caller whose first candidate is dead.
"""

import collections
import typing

from egretjunction import addresses
from egretjunction import errors
from egretjunction import member_records
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from egretjunction.decisions import domains
from egretjunction.decisions import health
from egretjunction.decisions import membership
from egretjunction.decisions import ownership
from egretjunction.decisions import placement
from egretjunction.wire import packets

REPEAT_SECONDS = 0.15
MEMORY_SIZE = 4096


class Forward:
    """Send the packet to an agent, with candidates for a first packet."""

    __slots__ = ('address', 'candidates')

    def __init__(
        self,
        address: addresses.Address,
        candidates: tuple[packets.Candidate, ...] = (),
    ) -> None:
        self.address = address
        self.candidates = candidates


class Drop:
    """Drop the packet for a reason that is counted."""

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class _Weighted:
    """A member with the weight that health, share and slow start give it."""

    __slots__ = ('member', 'name', 'weight')

    def __init__(self, member: member_records.Member, weight: float) -> None:
        self.member = member
        self.name = member.name
        self.weight = weight


class _Seen:
    __slots__ = ('at', 'repeats')

    def __init__(self, at: float) -> None:
        self.at = at
        self.repeats = 0


class Router:
    """Routes packets of callers.

    :param key: the secret that entries and agents share.
    :param view: the members that this entry knows.
    :param active_configuration: the configuration that this entry follows.
    :param reach: the failure domains that can be reached.
    """

    __slots__ = (
        '_active_configuration',
        '_addressed_generation',
        '_key',
        '_reach',
        '_seen_by_connection_id',
        '_service_by_address',
        '_serving_since_by_name',
        '_view',
    )

    def __init__(
        self,
        key: bytes,
        view: membership.View,
        active_configuration: configuration.ActiveConfiguration,
        reach: domains.Domains,
    ) -> None:
        self._key = key
        self._view = view
        self._active_configuration = active_configuration
        self._reach = reach
        self._addressed_generation = 0
        self._service_by_address: dict[addresses.Address, document.Service] = {}
        self._serving_since_by_name: dict[str, tuple[int, float]] = {}
        self._seen_by_connection_id: collections.OrderedDict[bytes, _Seen] = (
            collections.OrderedDict()
        )

    def service_at(self, address: addresses.Address) -> document.Service | None:
        """Return the service that callers reach at an address."""
        if self._addressed_generation != self._active_configuration.generation:
            services = self._active_configuration.document.services.values()
            self._service_by_address = {each.address: each for each in services}
            self._addressed_generation = self._active_configuration.generation
        return self._service_by_address.get(address)

    def route(
        self,
        destination: addresses.Address,
        payload: bytes,
        now: float,
    ) -> Forward | Drop:
        """Decide where a packet of a caller goes.

        :param destination: the service address that the caller used.
        :param payload: the QUIC datagram.
        :param now: time in seconds.
        """
        service = self.service_at(destination)
        if service is None:
            return Drop('unknown_service')
        try:
            fields = packets.read_quic_fields(payload)
        except errors.PacketError:
            return Drop('not_quic')
        owner = ownership.owner_of(self._key, service.name, fields.connection_id)
        if owner is not None:
            return Forward(owner.address)
        if not fields.is_long:
            return Drop('unknown_owner')
        if len(payload) < packets.MIN_FIRST_PACKET_BYTES:
            return Drop('first_packet_too_short')
        return self._route_first(service, fields.connection_id, now)

    def _route_first(
        self,
        service: document.Service,
        connection_id: bytes,
        now: float,
    ) -> Forward | Drop:
        chosen = placement.candidates(connection_id, self.weighted(service, now))
        if not chosen:
            return Drop('no_backend_server')
        turn = self._repeats(connection_id, now) % len(chosen)
        weighted = typing.cast('list[_Weighted]', chosen[turn:] + chosen[:turn])
        listed = tuple(
            packets.Candidate(
                each.member.address,
                placement.domain_byte(each.member.domain),
            )
            for each in weighted
        )
        return Forward(listed[0].address, listed)

    def weighted(self, service: document.Service, now: float) -> list[_Weighted]:
        """Return the agents that may take new flows, with their weights."""
        members = membership.eligible(
            self._view.agents(service.name),
            lambda member: service.may_serve(member.name),
        )
        members = self._reach.reachable(members, now)
        ejected = health.ejected_names(members)
        return [
            _Weighted(member, self._weight(service, member, now))
            for member in members
            if member.name not in ejected
        ]

    def _weight(
        self,
        service: document.Service,
        member: member_records.Member,
        now: float,
    ) -> float:
        since = self._serving_since(member, now)
        ramp = placement.slow_start_weight(now - since, service.slow_start_seconds)
        fitness = member.weight or health.WEIGHT_STEPS[-2]
        return service.share_of(member.name) * fitness * ramp

    def _serving_since(self, member: member_records.Member, now: float) -> float:
        known = self._serving_since_by_name.get(member.name)
        if known is None or known[0] != member.incarnation:
            known = (member.incarnation, now)
            self._serving_since_by_name[member.name] = known
        return known[1]

    def _repeats(self, connection_id: bytes, now: float) -> int:
        """Return how often this first packet came again after a pause."""
        seen = self._seen_by_connection_id.get(connection_id)
        if seen is None:
            self._seen_by_connection_id[connection_id] = _Seen(now)
            if len(self._seen_by_connection_id) > MEMORY_SIZE:
                self._seen_by_connection_id.popitem(last=False)
            return 0
        if now - seen.at >= REPEAT_SECONDS:
            seen.at = now
            seen.repeats += 1
        return seen.repeats
