"""Decisions of an entry about flows: offers of first packets, searches for owners."""

import typing

from egretjunction import addresses
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_introducing
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_pending
from egretjunction.decisions import relay_routes
from egretjunction.decisions import relay_searching
from egretjunction.decisions import relay_waiting
from egretjunction.decisions.load import placing
from egretjunction.decisions.load import rejecting
from egretjunction.relay import packets
from egretjunction.wire import relaying

OFFER_TIMEOUT_SECONDS = 0.06  # round trip to another failure domain, plus a handshake
REOFFER_INTERVAL_SECONDS = 0.05  # between offers of waiting first packets
FULL_SECONDS_PER_MEMBER = 0.002  # allows 500 offers per second to full servers


class EntryFlows:
    """Decides how one entry handles each packet and message.

    ``newest_version`` is the highest configuration version that an agent has reported.

    :param members: the agents that the entry knows.
    :param routes: the routes in force.
    :param codec: reads packets and derives the route's address from a flow's key.
    :param link_mbps: capacity of the entry's link in megabits per second.
    :param max_flow_seconds: age from which a flow may be dropped.
    :param configuration_seconds: time within which an accepted configuration must be in
        force.
    :param placer: places first packets by expected finish; None for the least loaded
        member.
    """

    def __init__(
        self,
        members: relay_members.Members,
        routes: relay_routes.Routes,
        codec: packets.Codec,
        link_mbps: float,
        max_flow_seconds: float,
        configuration_seconds: float,
        placer: placing.Placer | None = None,
    ) -> None:
        self._placer = placer
        self._max_flow_seconds = max_flow_seconds
        self.members = members
        self.routes = routes
        self.newest_version = 0
        self._codec = codec
        self._flow_by_key: dict[bytes, relay_pending.Flow] = {}
        self._offer_by_token: dict[int, relay_pending.Offer] = {}
        self._waiting_offers = placer.queue if placer else relay_waiting.WaitingOffers()
        self._tokens = relay_pending.Tokens()
        self._searches = relay_searching.Searches(
            members, routes, codec, self._tokens, link_mbps, configuration_seconds
        )
        self._last_cleanup_at = float('-inf')
        self._last_reoffer_at = float('-inf')
        self._handler_by_type: dict[type, typing.Any] = {
            relaying.Held: self._on_held,
            relaying.Passed: self._on_passed,
            relaying.NotHeld: self._searches.on_not_held,
            relaying.Unsure: self._searches.on_unsure,
            relaying.Returned: self._on_returned,
            relaying.Pong: self._on_pong,
        }

    @property
    def flow_count(self) -> int:
        """Return the number of flows with a known owner."""
        return len(self._flow_by_key)

    @property
    def pending_count(self) -> int:
        """Return the number of pending offers and searches."""
        return self._tokens.count

    def on_client_packet(
        self,
        packet: packets.Packet,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a packet from a client."""
        if packet.is_first:
            return self._on_first_packet(packet, now)
        flow = self._flow_by_key.get(packet.key)
        if flow is None:
            return self._on_unknown_flow(packet, now)
        flow.used_at = now
        if not flow.is_owner_confirmed:
            flow.confirm_owner(packet.acknowledged)
        owner = self.members.member_by_address.get(flow.owner)
        if owner is None or owner.is_dead(now):
            self._flow_by_key.pop(packet.key)
            return self._on_unknown_flow(packet, now)
        if packet.is_reset:
            self._flow_by_key.pop(packet.key)
        owner.used_at = now
        return [effects.Send(flow.owner, relaying.Deliver(packet.raw))]

    def on_message(
        self,
        message: typing.Any,
        agent: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a message from an agent."""
        if isinstance(message, relaying.Announce):
            return self._on_announced(message, agent, now)
        member = self.members.member_by_address.get(agent)
        handler = self._handler_by_type.get(type(message))
        if handler is None:
            return [effects.Log('message_unexpected', kind=type(message).__name__)]
        if member is None:
            return [effects.Log('agent_unknown', agent=str(agent))]
        status = message.status
        before = member.status
        known_older_born = member.older_server_born
        if status.is_evacuated and not before.is_evacuated:
            self.review_waiting_offers(now)
        if self._placer is None:
            member.record_status(status, now)
        else:
            self._placer.record_message(member, message, now)
        stops = status.leaves_flows and self.members.record_stop(
            member, status.process, now
        )
        self._searches.note_status(member, before)
        self.newest_version = max(self.newest_version, status.version)
        emitted = handler(message, member, now)
        if stops:
            emitted.append(
                effects.Log('member_away', member=member.name, process=status.process)
            )
        if member.older_server_born != known_older_born:
            emitted.append(self._ping(member, now))
        emitted += self._offer_waiting_to(member, now)
        if before.state == status.state:
            return emitted
        event = effects.Log(
            'member_changed',
            member=member.name,
            before=before.state.name,
            state=status.state.name,
        )
        return [event, *emitted]

    def _on_announced(
        self,
        announcement: relaying.Announce,
        agent: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        member, emitted = relay_introducing.add_announced(
            self.members, announcement, agent
        )
        service_tag = relaying.compute_service_tag(announcement.service)
        pong = relaying.Pong(service_tag, announcement.status)
        return emitted + self.on_message(pong, member.address, now)

    def review_waiting_offers(self, now: float) -> None:
        """Decide again at the next tick about first packets that wait for a server."""
        for offer in self._offer_by_token.values():
            if offer.is_waiting:
                offer.due_at = now

    def _on_pong(
        self, pong: relaying.Pong, member: relay_members.Member, _now: float
    ) -> list[effects.Effect]:
        return relay_introducing.check_identity(
            pong, member, self.routes.version, self._searches.note_identity
        )

    def tick(self, now: float, stalled_seconds: float = 0) -> list[effects.Effect]:
        """Run all timers that are due.

        :param now: the time in seconds.
        :param stalled_seconds: time since the last call in which this process could
            not read what agents sent.
        """
        self.members.discount_pause(stalled_seconds)
        emitted: list[effects.Effect] = []
        if self._placer is not None:
            self._placer.record_pause(stalled_seconds, now)
            emitted += self._placer.pop_events()
            emitted += self._serve_waiting(self._placer, now)
        for member in self.members.due_for_ping(now):
            emitted.append(self._ping(member, now))
        if now - self._last_reoffer_at >= REOFFER_INTERVAL_SECONDS:
            self._last_reoffer_at = now
            emitted.extend(self._offer_waiting_to_all(now))
        for token, offer in list(self._offer_by_token.items()):
            if now >= offer.due_at:
                if self._placer is not None:
                    self._placer.record_unanswered(token, now)
                emitted += self._advance_offer(token, offer, now)
        emitted += self._searches.tick(now)
        if now - self._last_cleanup_at > 1:
            self._last_cleanup_at = now
            self._remove_expired(now)
        return emitted

    def _ping(self, member: relay_members.Member, now: float) -> effects.Send:
        member.pinged_at = now
        member.record_request(now)
        ping = relaying.Ping(
            self.routes.version,
            not member.is_listed,
            self.members.can_vouch,
            *self.members.evacuations.claim(member.domain, now),
            cold_per_second=self.routes.cold_per_second(member.service),
            older_server_born=member.older_server_born,
        )
        return effects.Send(member.address, ping)

    def _on_first_packet(
        self, packet: packets.Packet, now: float
    ) -> list[effects.Effect]:
        token = self._tokens.token_of(packet.key)
        offer = self._offer_by_token.get(token or 0)
        if offer is not None and token is not None:
            offer.last_seen_at = now
            if self._placer is not None:
                self._placer.queue.touch(offer)
            return [] if offer.is_waiting else self._advance_offer(token, offer, now)
        self._searches.forget(packet.key)
        flow = self._flow_by_key.get(packet.key)
        if flow is not None:
            is_retransmission = packet.acknowledged > 0
            owner = self.members.member_by_address.get(flow.owner)
            if is_retransmission and _takes_retransmission(flow, owner, now):
                return [effects.Send(flow.owner, relaying.Deliver(packet.raw))]
            self._flow_by_key.pop(packet.key)
        destination = self._codec.destination_of(packet.key)
        route = self.routes.route_at(destination)
        if route is None:
            return [effects.reset_of(packet, 'no_route')]
        if self._tokens.count >= relay_pending.MAX_PENDING:
            return [effects.reset_of(packet, 'too_many_pending')]
        service = relay_routes.choose_service(route, packet.key)
        opening = self._codec.opening
        offer = relay_pending.Offer(packet, service, route, opening, now)
        token = self._tokens.issue(packet.key)
        self._offer_by_token[token] = offer
        if self._placer is not None:
            self._placer.queue.record_arrival(offer, now)
        return self._advance_offer(token, offer, now)

    def _advance_offer(
        self,
        token: int,
        offer: relay_pending.Offer,
        now: float,
    ) -> list[effects.Effect]:
        """Offer a first packet to the next member, or let it wait for free capacity."""
        if offer.early_packets:
            self._end_offer(token, offer)
            return self._handle_early_packets(offer.early_packets, now)
        reset = self._rejection_of(token, offer, now)
        if reset is not None:
            self._end_offer(token, offer)
            return [reset]
        member = self._choose_member(offer, now)
        if member is not None:
            return [self._send_offer(token, offer, member, now)]
        if self.members.is_service_evacuated(offer.service, now):
            self._end_offer(token, offer)
            return [effects.reset_of(offer.packet, 'service_evacuated')]
        event = effects.Log(
            'flow_waiting',
            flow=offer.key.hex(),
            route=offer.route,
            version=self.routes.version,
            members=self.members.count_ready(offer.service, now),
            **offer.estimate_fields,
        )
        offer.tried.clear()
        offer.due_at = relay_waiting.expires_at(offer)
        self._waiting_offers.add(token, offer)
        if self._placer is None:
            return [event]
        return [event, *self._serve_waiting(self._placer, now, offer.service)]

    def _rejection_of(
        self, token: int, offer: relay_pending.Offer, now: float
    ) -> effects.Reset | None:
        """Return the reset of a first packet that no server can serve in time."""
        if relay_waiting.is_expired(offer, now):
            fields = offer.estimate_fields
            return effects.reset_of(offer.packet, 'nobody_took_it', **fields)
        if self._placer and self._placer.misses_deadline(token, offer, now):
            return effects.reset_of(offer.packet, rejecting.DEADLINE)
        return None

    def _choose_member(
        self, offer: relay_pending.Offer, now: float
    ) -> relay_members.Member | None:
        """Return the member that a first packet is offered to next, if any."""
        if self._placer is not None:
            return self._placer.place_unless_others_wait(offer, now)
        member = self._next_member(offer, now)
        if member is None and not offer.is_final:
            offer.is_final = True
            offer.tried.clear()
            member = self._next_member(offer, now)
        return member

    def _serve_waiting(
        self, placer: placing.Placer, now: float, *services: str
    ) -> list[effects.Effect]:
        """Offer the first packets that go next, and reset those without a chance.

        :param placer: chooses members.
        :param now: the time in seconds.
        :param services: services whose next first packet is offered.
        """
        emitted: list[effects.Effect] = []
        for service in services:
            waiting = placer.queue.next_of(service, now)
            member = waiting and placer.place(waiting[1], now)
            if waiting and member:
                emitted.append(self._send_offer(*waiting, member, now))
        for token, offer, reason in placer.queue.rejections(now):
            self._end_offer(token, offer)
            emitted.append(
                effects.reset_of(offer.packet, reason, **offer.estimate_fields)
            )
        return emitted

    def _next_member(
        self,
        offer: relay_pending.Offer,
        now: float,
    ) -> relay_members.Member | None:
        """Return the least loaded member that may have capacity for a first packet.

        A member that recently reported itself as full is skipped. How recently grows
        with the number of members, which limits the rate of offers to full servers.
        """
        full_since = now - FULL_SECONDS_PER_MEMBER * len(self.members.member_by_name)

        def is_eligible(member: relay_members.Member) -> bool:
            if member.name in offer.tried:
                return False
            return (
                member.remaining_capacity() > 0
                if offer.is_final
                else not member.is_full(full_since)
            )

        return self.members.least_loaded(offer.service, offer.key, now, is_eligible)

    def _send_offer(
        self,
        token: int,
        offer: relay_pending.Offer,
        member: relay_members.Member,
        now: float,
    ) -> effects.Send:
        self._waiting_offers.remove(offer)
        offer.due_at = now + OFFER_TIMEOUT_SECONDS
        offer.tried.add(member.name)
        member.used_at = now
        member.record_request(now)
        member.offered_flows += 1
        if self._placer is not None:
            self._placer.record_offer(token, member, now)
        message = relaying.Offer(
            token,
            relaying.compute_service_tag(offer.service),
            offer.is_final,
            offer.packet.raw,
            round(offer.request_seconds * effects.MILLISECONDS_PER_SECOND),
        )
        return effects.Send(member.address, message)

    def _offer_waiting_to_all(self, now: float) -> typing.Iterator[effects.Effect]:
        for member in self.members.member_by_name.values():
            yield from self._offer_waiting_to(member, now)

    def _offer_waiting_to(
        self,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        """Offer waiting first packets to a member as long as it has capacity."""
        emitted: list[effects.Effect] = []
        while member.remaining_capacity() > 0 and member.accepts_flows(now):
            waiting = self._waiting_offers.next_of(member.service, now)
            if waiting is None:
                return emitted
            if self._placer and not self._placer.suits(member, waiting[1], now):
                return emitted
            emitted.append(self._send_offer(*waiting, member, now))
        return emitted

    def _on_unknown_flow(
        self,
        packet: packets.Packet,
        now: float,
        denied_by: relay_members.Member | None = None,
    ) -> list[effects.Effect]:
        """Search for the owner of a flow, unless a search or an offer is pending.

        :param denied_by: member that has just denied that it holds the flow.
        """
        if packet.is_reset:
            return []
        token = self._tokens.token_of(packet.key)
        offer = self._offer_by_token.get(token or 0)
        if offer is not None and token is not None:
            offer.add_early_packet(packet, now)
            return []
        return self._searches.on_packet(packet, now, denied_by)

    def _on_held(
        self, held: relaying.Held, member: relay_members.Member, now: float
    ) -> list[effects.Effect]:
        flow = self._flow_by_key.get(held.key)
        if flow is None:
            flow = relay_pending.Flow(member.address, now)
            self._flow_by_key[held.key] = flow
        self._searches.forget(held.key)
        if held.sequence:
            flow.owner_by_sequence[held.sequence] = member.address
        token = self._tokens.token_of(held.key)
        if token is None:
            return []
        offer = self._offer_by_token.get(token)
        if offer is not None:
            if self._placer is not None:
                self._placer.record_accepted(offer, member, now)
            self._end_offer(token, offer)
            placed_event = effects.Log(
                'flow_placed',
                flow=held.key.hex(),
                route=offer.route,
                version=self.routes.version,
                member=member.name,
                work=member.status.work,
                flows=member.status.flows,
                tried=len(offer.tried),
                final=offer.is_final,
                ms=effects.milliseconds(now - offer.started_at),
                **offer.estimate_fields,
            )
            return [placed_event, *self._handle_early_packets(offer.early_packets, now)]
        flow.owner = member.address
        flow.is_owner_confirmed = True
        return self._searches.end_with(token, member, now)

    def _handle_early_packets(
        self, early_packets: list[packets.Packet], now: float
    ) -> list[effects.Effect]:
        return [
            effect
            for packet in early_packets
            for effect in self.on_client_packet(packet, now)
        ]

    def _on_passed(
        self,
        passed: relaying.Passed,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        offer = self._offer_by_token.get(passed.token)
        if self._placer is not None:
            self._placer.record_passed(passed, member, now)
        if offer is None:
            return []
        return self._advance_offer(passed.token, offer, now)

    def _on_returned(
        self,
        returned: relaying.Returned,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        packet = self._codec.from_client(returned.packet)
        flow = self._flow_by_key.get(packet.key)
        if flow is not None and flow.owner != member.address:
            return [effects.Send(flow.owner, relaying.Deliver(packet.raw))]
        self._flow_by_key.pop(packet.key, None)
        if packet.is_first:
            return []
        return self._on_unknown_flow(packet, now, member)

    def _end_offer(self, token: int, offer: relay_pending.Offer) -> None:
        self._waiting_offers.remove(offer)
        if self._placer is not None:
            self._placer.forget_offer(token)
        self._offer_by_token.pop(token, None)
        self._tokens.release(offer.key)

    def _remove_expired(self, now: float) -> None:
        for key, flow in list(self._flow_by_key.items()):
            if now - flow.used_at > self._max_flow_seconds:
                self._flow_by_key.pop(key)
        for member in self.members.expired(now):
            if not member.is_listed:
                self.members.remove(member)
                if self._placer is not None:
                    self._placer.forget(member)


def _takes_retransmission(
    flow: relay_pending.Flow, owner: relay_members.Member | None, now: float
) -> bool:
    """Tell whether the owner of a flow gets retransmissions of its first packet.

    An agent of an evacuated domain gets none of a flow that its client has not opened.
    """
    if owner is None or owner.is_suspect(now):
        return False
    return flow.is_owner_confirmed or not owner.is_evacuated()
