"""Routes packets at an entry by packet, membership view and configuration.

The only per-flow state is a bounded record of recent first packets. Without it, a
retransmitted first packet would go to the same candidate again, even a dead one.
"""

import collections
import typing

from egretjunction import addresses
from egretjunction import errors
from egretjunction import member_records
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from egretjunction.decisions import domains
from egretjunction.decisions import evacuation
from egretjunction.decisions import health
from egretjunction.decisions import membership
from egretjunction.decisions import ownership
from egretjunction.decisions import placement
from egretjunction.wire import packets

RETRANSMISSION_SECONDS = 0.15
MAX_REMEMBERED_FIRST_PACKETS = 4096


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
    """Drop the packet; the reason is counted in the metrics."""

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Refuse:
    """Refuse the flow of a first packet; the reason is counted in the metrics."""

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class _Weighted:
    """A member and its weight from health, configured share and slow start."""

    __slots__ = ('member', 'name', 'weight')

    def __init__(self, member: member_records.Member, weight: float) -> None:
        self.member = member
        self.name = member.name
        self.weight = weight


class _FirstPacket:
    __slots__ = ('last_counted_at', 'retransmissions')

    def __init__(self, last_counted_at: float) -> None:
        self.last_counted_at = last_counted_at
        self.retransmissions = 0


class Router:
    """Routes packets of callers.

    :param key: secret that entries and agents share.
    :param view: the members that this entry knows.
    :param active_configuration: the configuration of this entry.
    :param reachability: reachability of the failure domains.
    """

    __slots__ = (
        '_active_configuration',
        '_first_packet_by_connection_id',
        '_indexed_generation',
        '_key',
        '_reachability',
        '_service_by_address',
        '_serving_since_by_name',
        '_view',
    )

    def __init__(
        self,
        key: bytes,
        view: membership.View,
        active_configuration: configuration.ActiveConfiguration,
        reachability: domains.Domains,
    ) -> None:
        self._key = key
        self._view = view
        self._active_configuration = active_configuration
        self._reachability = reachability
        self._indexed_generation = 0
        self._service_by_address: dict[addresses.Address, document.Service] = {}
        self._serving_since_by_name: dict[str, tuple[int, float]] = {}
        self._first_packet_by_connection_id: collections.OrderedDict[
            bytes, _FirstPacket
        ] = collections.OrderedDict()

    def service_at(self, address: addresses.Address) -> document.Service | None:
        """Return the service that callers reach at an address."""
        if self._indexed_generation != self._active_configuration.generation:
            services = self._active_configuration.document.services.values()
            self._service_by_address = {
                service.address: service for service in services
            }
            self._indexed_generation = self._active_configuration.generation
        return self._service_by_address.get(address)

    def route(
        self,
        destination: addresses.Address,
        payload: bytes,
        now: float,
    ) -> Forward | Drop | Refuse:
        """Decide where a packet of a caller goes.

        :param destination: service address that the packet was sent to.
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
    ) -> Forward | Drop | Refuse:
        eligible = membership.eligible(
            self._view.agents(service.name),
            lambda member: service.may_serve(member.name),
        )
        evacuated_domains = self._active_configuration.document.evacuated_domains
        members = evacuation.outside(eligible, evacuated_domains)
        chosen = placement.candidates(
            connection_id, self._weighted_members(service, members, now)
        )
        if not chosen:
            is_evacuated = len(members) < len(eligible)
            return Refuse('evacuated') if is_evacuated else Drop('no_backend_server')
        rotation = self._count_retransmissions(connection_id, now) % len(chosen)
        weighted_members = typing.cast(
            'list[_Weighted]', chosen[rotation:] + chosen[:rotation]
        )
        packet_candidates = tuple(
            packets.Candidate(
                choice.member.address,
                placement.domain_byte(choice.member.domain),
            )
            for choice in weighted_members
        )
        return Forward(packet_candidates[0].address, packet_candidates)

    def _weighted_members(
        self,
        service: document.Service,
        members: typing.Sequence[member_records.Member],
        now: float,
    ) -> list[_Weighted]:
        """Return those of the agents that may take new flows, with their weights."""
        members = self._reachability.reachable(members, now)
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
        # An unfit member that is not ejected gets the lowest weight above zero.
        fitness = member.weight or health.WEIGHT_STEPS[-2]
        return service.share_of(member.name) * fitness * ramp

    def _forget_absent(self) -> None:
        """Forget since when members served that the view no longer contains.

        Runs only once absent members outnumber those in the view, so that its cost
        per new member stays constant.
        """
        if len(self._serving_since_by_name) <= 2 * len(self._view):
            return
        for name in list(self._serving_since_by_name):
            if self._view.get(name) is None:
                self._serving_since_by_name.pop(name)

    def _serving_since(self, member: member_records.Member, now: float) -> float:
        first_served = self._serving_since_by_name.get(member.name)
        if first_served is None or first_served[0] != member.incarnation:
            first_served = (member.incarnation, now)
            self._serving_since_by_name[member.name] = first_served
            self._forget_absent()
        return first_served[1]

    def _count_retransmissions(self, connection_id: bytes, now: float) -> int:
        """Count this first packet if it is a retransmission; return the count.

        Copies within ``RETRANSMISSION_SECONDS`` count as one.
        """
        first_packet = self._first_packet_by_connection_id.get(connection_id)
        if first_packet is None:
            self._first_packet_by_connection_id[connection_id] = _FirstPacket(now)
            if len(self._first_packet_by_connection_id) > MAX_REMEMBERED_FIRST_PACKETS:
                self._first_packet_by_connection_id.popitem(last=False)
            return 0
        if now - first_packet.last_counted_at >= RETRANSMISSION_SECONDS:
            first_packet.last_counted_at = now
            first_packet.retransmissions += 1
        return first_packet.retransmissions
