"""Decisions of an entry about flows: offers of first packets, searches for owners."""

import typing

from egretjunction import addresses
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_pending
from egretjunction.decisions import relay_questions
from egretjunction.decisions import relay_routes
from egretjunction.decisions import relay_waiting
from egretjunction.decisions.load import placing
from egretjunction.decisions.load import rejecting
from egretjunction.relay import packets
from egretjunction.wire import relaying

OFFER_TIMEOUT_SECONDS = 0.06  # round trip to another failure domain, plus a handshake
REOFFER_INTERVAL_SECONDS = 0.05  # between offers of waiting first packets
SEARCH_ROUND_SECONDS = 0.08  # an agent's probe of its server, plus a round trip
MAX_SEARCH_SECONDS = 1.0
LISTING_SECONDS = 0.02  # the store answers within a few milliseconds
EARLY_PACKET_SECONDS = 0.02  # answers are late by at most the latency between domains
MAX_QUEUED_PACKETS = 32  # per flow; covers both of its windows
MAX_MEMBERS_PER_ROUND = 64  # agents asked at once in a search
FULL_SECONDS_PER_MEMBER = 0.002  # allows 500 offers per second to full servers
MAX_PENDING = 4096  # offers and searches


class EntryFlows:
    """Decides how one entry handles each packet and message.

    ``newest_version`` is the highest configuration version that an agent has reported.

    :param members: the agents that the entry knows.
    :param routes: the routes in force.
    :param codec: reads packets and derives the route's address from a flow's key.
    :param link_mbps: capacity of the entry's link in megabits per second.
    :param max_flow_seconds: age from which a flow may be dropped.
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
        self._search_by_token: dict[int, relay_pending.Search] = {}
        self._question_queue = relay_questions.QuestionQueue(link_mbps)
        self._token_by_key: dict[bytes, int] = {}
        self._last_token = 0
        self._last_cleanup_at = float('-inf')
        self._last_reoffer_at = float('-inf')
        self._handler_by_type: dict[type, typing.Any] = {
            relaying.Held: self._on_held,
            relaying.Passed: self._on_passed,
            relaying.NotHeld: self._on_not_held,
            relaying.Unsure: self._on_unsure,
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
        return len(self._token_by_key)

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
            self._confirm_owner(flow, packet)
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
            return self._on_announce(message, agent, now)
        member = self.members.member_by_address.get(agent)
        handler = self._handler_by_type.get(type(message))
        if handler is None:
            return [effects.Log('message_unexpected', kind=type(message).__name__)]
        if member is None:
            return [effects.Log('agent_unknown', agent=str(agent))]
        status = message.status
        before = member.status.state
        if self._placer is None:
            member.record_status(status, now)
        else:
            self._placer.record_message(member, message, now)
        self.newest_version = max(self.newest_version, status.version)
        emitted = handler(message, member, now)
        emitted += self._offer_waiting_to(member, now)
        if before == status.state:
            return emitted
        event = effects.Log(
            'member_changed',
            member=member.name,
            before=before.name,
            state=status.state.name,
        )
        return [event, *emitted]

    def _on_announce(
        self,
        announcement: relaying.Announce,
        agent: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        """Add an agent that has just started, before the store's listing is read."""
        member = relay_members.Member(
            announcement.name,
            announcement.service,
            announcement.domain,
            addresses.Address(*agent),
        )
        emitted: list[effects.Effect] = []
        if self.members.add_or_update(member) is not None:
            event = effects.Log(
                'member_announced', member=member.name, service=member.service
            )
            emitted.append(event)
        pong = relaying.Pong(
            relaying.compute_service_tag(announcement.service), announcement.status
        )
        return emitted + self.on_message(pong, member.address, now)

    def tick(self, now: float, stalled_seconds: float = 0) -> list[effects.Effect]:
        """Run all timers that are due.

        :param now: the time in seconds.
        :param stalled_seconds: how long this process was stalled since the last call.
        """
        self.members.discount_pause(stalled_seconds)
        emitted: list[effects.Effect] = []
        if self._placer is not None:
            self._placer.record_pause(stalled_seconds, now)
            emitted += self._placer.pop_events()
            emitted += self._serve_waiting(self._placer, now)
        for member in self.members.due_for_ping(now):
            member.pinged_at = now
            member.record_request(now)
            ping = relaying.Ping(
                self.routes.version, not member.is_listed, self.members.can_vouch
            )
            emitted.append(effects.Send(member.address, ping))
        if now - self._last_reoffer_at >= REOFFER_INTERVAL_SECONDS:
            self._last_reoffer_at = now
            emitted.extend(self._offer_waiting_to_all(now))
        for token, offer in list(self._offer_by_token.items()):
            if now >= offer.due_at:
                if self._placer is not None:
                    self._placer.record_unanswered(token, now)
                emitted += self._advance_offer(token, offer, now)
        for token, search in list(self._search_by_token.items()):
            if now >= search.due_at:
                emitted += self._advance_search(token, search, now)
        emitted += self._send_due_questions(now)
        if now - self._last_cleanup_at > 1:
            self._last_cleanup_at = now
            self._remove_expired(now)
        return emitted

    def _on_first_packet(
        self, packet: packets.Packet, now: float
    ) -> list[effects.Effect]:
        token = self._token_by_key.get(packet.key)
        offer = self._offer_by_token.get(token or 0)
        if offer is not None and token is not None:
            offer.last_seen_at = now
            if self._placer is not None:
                self._placer.queue.touch(offer)
            return [] if offer.is_waiting else self._advance_offer(token, offer, now)
        flow = self._flow_by_key.get(packet.key)
        if flow is not None:
            is_retransmission = packet.acknowledged > 0
            owner = self.members.member_by_address.get(flow.owner)
            if is_retransmission and owner is not None and not owner.is_suspect(now):
                return [effects.Send(flow.owner, relaying.Deliver(packet.raw))]
            self._flow_by_key.pop(packet.key)
        destination = self._codec.destination_of(packet.key)
        route = self.routes.route_at(destination)
        if route is None:
            return [_reset_flow(packet, 'no_route')]
        if len(self._token_by_key) >= MAX_PENDING:
            return [_reset_flow(packet, 'too_many_pending')]
        service = relay_routes.choose_service(route, packet.key)
        opening = self._codec.opening
        offer = relay_pending.Offer(packet, service, route, opening, now)
        token = self._next_token(packet.key)
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
        if relay_waiting.is_expired(offer, now):
            self._end_offer(token, offer)
            return [
                _reset_flow(offer.packet, 'nobody_took_it', **offer.estimate_fields)
            ]
        if self._placer is not None:
            if self._placer.misses_deadline(token, offer, now):
                self._end_offer(token, offer)
                return [_reset_flow(offer.packet, rejecting.DEADLINE)]
            member = self._placer.place_unless_others_wait(offer, now)
        else:
            member = self._next_member(offer, now)
            if member is None and not offer.is_final:
                offer.is_final = True
                offer.tried.clear()
                member = self._next_member(offer, now)
        if member is not None:
            return [self._send_offer(token, offer, member, now)]
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
            emitted.append(_reset_flow(offer.packet, reason, **offer.estimate_fields))
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
        denied_by: typing.Iterable[str] = (),
    ) -> list[effects.Effect]:
        """Search for the owner of a flow, unless a search or an offer is pending.

        :param denied_by: names of members that have just denied that they hold it.
        """
        if packet.is_reset:
            return []
        token = self._token_by_key.get(packet.key)
        search = self._search_by_token.get(token or 0)
        if search is not None:
            search.denied.update(denied_by)
            if len(search.queue) < MAX_QUEUED_PACKETS:
                search.queue.append(packet)
            return []
        offer = self._offer_by_token.get(token or 0)
        if offer is not None and token is not None:
            return self._on_early_packet(token, offer, packet, now)
        return self._start_search(packet, now, denied_by)

    def _on_early_packet(
        self,
        token: int,
        offer: relay_pending.Offer,
        packet: packets.Packet,
        now: float,
    ) -> list[effects.Effect]:
        """Queue a client packet that arrives before the agent's answer to the offer.

        The answer of an agent in another failure domain can reach the client before
        it reaches this entry.
        """
        if len(offer.early_packets) < MAX_QUEUED_PACKETS:
            offer.early_packets.append(packet)
        offer.due_at = min(offer.due_at, now + EARLY_PACKET_SECONDS)
        return []

    def _start_search(
        self, packet: packets.Packet, now: float, denied_by: typing.Iterable[str]
    ) -> list[effects.Effect]:
        destination = self._codec.destination_of(packet.key)
        services = self.routes.known_services(destination)
        if not services or self.routes.route_at(destination) is None:
            return [_reset_flow(packet, 'no_route')]
        if len(self._token_by_key) >= MAX_PENDING:
            return []
        search = relay_pending.Search(packet.key, services, now)
        search.queue.append(packet)
        search.denied.update(denied_by)
        token = self._next_token(packet.key)
        self._search_by_token[token] = search
        return self._advance_search(token, search, now)

    def _advance_search(
        self,
        token: int,
        search: relay_pending.Search,
        now: float,
    ) -> list[effects.Effect]:
        """Ask the next members, those of the own failure domain first.

        Flows are placed in the own domain unless its servers are full, so that most
        searches send nothing to other domains when the routers move flows to other
        entries of the domain. That nobody holds a flow is known only once all members
        of a complete view have denied it.
        """
        if now - search.started_at > MAX_SEARCH_SECONDS:
            self._end_search(token, search)
            return [effects.Log('search_failed', flow=search.key.hex())]
        members = self.members.serving(search.services)
        reachable = [member for member in members if not member.is_dead(now)]
        candidates = [
            member for member in reachable if member.name not in search.denied
        ]
        if not candidates and (
            self.members.has_unidentified(now) or not self.members.is_complete(now)
        ):
            search.due_at = now + LISTING_SECONDS
            return []
        if not candidates:
            self._end_search(token, search)
            return [_reset_flow(search.queue[-1], 'nobody_holds_it')]
        search.due_at = now + SEARCH_ROUND_SECONDS
        unasked = [member for member in candidates if member.name not in search.asked]
        near = [member for member in unasked if self.members.is_near(member)]
        for member in (near or unasked or candidates)[:MAX_MEMBERS_PER_ROUND]:
            search.asked.add(member.name)
            self._add_question(token, search, member)
        return list(self._send_due_questions(now))

    def _add_question(
        self,
        token: int,
        search: relay_pending.Search,
        member: relay_members.Member,
    ) -> None:
        """Queue a question to a member, or a packet to probe its server with."""
        packet = search.queue[0]
        if member.status.knows_all_flows and member.name not in search.unsure:
            question = relaying.Question(token, search.key, packet.acknowledged)
            self._question_queue.add(member.address, question)
        else:
            self._question_queue.add_ask(
                member.address, relaying.Ask(token, packet.raw)
            )

    def _send_due_questions(self, now: float) -> list[effects.Send]:
        """Send the queued questions that the byte budget allows now."""
        emitted = self._question_queue.pop_due(now, self._search_by_token.__contains__)
        for send in emitted:
            member = self.members.member_by_address.get(send.address)
            if member is None:
                continue
            member.record_request(now)
            if isinstance(send.message, relaying.Ask):
                self._search_by_token[send.message.token].probed.add(member.name)
        return emitted

    def _on_held(
        self,
        held: relaying.Held,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        flow = self._flow_by_key.get(held.key)
        if flow is None:
            flow = relay_pending.Flow(member.address, now)
            self._flow_by_key[held.key] = flow
        if held.sequence:
            flow.owner_by_sequence[held.sequence] = member.address
        token = self._token_by_key.get(held.key)
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
        search = self._search_by_token[token]
        self._end_search(token, search)
        flow.owner = member.address
        flow.is_owner_confirmed = True
        located_event = effects.Log(
            'flow_located',
            flow=held.key.hex(),
            member=member.name,
            packets=len(search.queue),
            ms=effects.milliseconds(now - search.started_at),
        )
        return [
            located_event,
            *(
                effects.Send(member.address, relaying.Deliver(packet.raw))
                for packet in search.queue[member.name in search.probed :]
            ),
        ]

    def _handle_early_packets(
        self,
        early_packets: list[packets.Packet],
        now: float,
    ) -> list[effects.Effect]:
        emitted: list[effects.Effect] = []
        for packet in early_packets:
            emitted.extend(self.on_client_packet(packet, now))
        return emitted

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

    def _on_not_held(
        self,
        denial: relaying.NotHeld,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        emitted: list[effects.Effect] = []
        for token in denial.tokens:
            search = self._search_by_token.get(token)
            if search is not None:
                search.denied.add(member.name)
                emitted += self._continue_search(token, search, now)
        return emitted

    def _on_unsure(
        self,
        unsure: relaying.Unsure,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        for token in unsure.tokens:
            search = self._search_by_token.get(token)
            if search is not None:
                search.unsure.add(member.name)
                self._add_question(token, search, member)
        return list(self._send_due_questions(now))

    def _continue_search(
        self,
        token: int,
        search: relay_pending.Search,
        now: float,
    ) -> list[effects.Effect]:
        """Continue a search at once if all members asked so far have denied it."""
        if search.asked <= search.denied:
            return self._advance_search(token, search, now)
        return []

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
        return self._on_unknown_flow(packet, now, {member.name})

    def _on_pong(
        self,
        pong: relaying.Pong,
        member: relay_members.Member,
        _now: float,
    ) -> list[effects.Effect]:
        """Ask an agent that answers in place of the listed one to announce itself."""
        was_mistaken = member.is_mistaken
        listed_tag = relaying.compute_service_tag(member.service)
        member.is_mistaken = pong.service_tag != listed_tag
        if not member.is_mistaken:
            return []
        member.is_listed = False
        if was_mistaken:
            return []
        ping = relaying.Ping(self.routes.version, is_unlisted=True)
        return [
            effects.Log('member_mistaken', member=member.name, service=member.service),
            effects.Send(member.address, ping),
        ]

    def _confirm_owner(self, flow: relay_pending.Flow, packet: packets.Packet) -> None:
        """Set the owner to the agent whose server the client has acknowledged.

        A client acknowledges the initial sequence number of the server or the next one.
        """
        flow.is_owner_confirmed = True
        for offset in (0, 1):
            sequence = (packet.acknowledged - offset) % packets.SEQUENCE_RANGE
            owner = flow.owner_by_sequence.get(sequence)
            if owner is not None:
                flow.owner = owner

    def _next_token(self, key: bytes) -> int:
        self._last_token = self._last_token % (packets.SEQUENCE_RANGE - 1) + 1
        self._token_by_key[key] = self._last_token
        return self._last_token

    def _end_offer(self, token: int, offer: relay_pending.Offer) -> None:
        self._waiting_offers.remove(offer)
        if self._placer is not None:
            self._placer.forget_offer(token)
        self._offer_by_token.pop(token, None)
        self._token_by_key.pop(offer.key, None)

    def _end_search(self, token: int, search: relay_pending.Search) -> None:
        self._search_by_token.pop(token, None)
        self._token_by_key.pop(search.key, None)

    def _remove_expired(self, now: float) -> None:
        for key, flow in list(self._flow_by_key.items()):
            if now - flow.used_at > self._max_flow_seconds:
                self._flow_by_key.pop(key)
        for member in self.members.expired(now):
            if not member.is_listed:
                self.members.remove(member)
                if self._placer is not None:
                    self._placer.forget(member)


def _reset_flow(packet: packets.Packet, reason: str, **fields: object) -> effects.Reset:
    return effects.Reset(packet.key, packet.acknowledged, reason, **fields)
