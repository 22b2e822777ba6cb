"""Flows at an entry that relays: offers of first packets, searches for owners."""

import typing

from egretjunction import addresses
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_pending
from egretjunction.decisions import relay_questions
from egretjunction.decisions import relay_routes
from egretjunction.decisions import relay_waiting
from egretjunction.relay import packets
from egretjunction.wire import relaying

OFFER_SECONDS = 0.06  # twice the way to another failure domain, and a handshake
WAITING_SECONDS = 0.05  # members with room get waiting first packets this often
SEARCH_SECONDS = 0.08  # an agent's wait for its server, and the way
SEARCH_LIFE_SECONDS = 1.0
IDLE_SECONDS = 75.0  # flows are at most 60 s old, and 15 s idle
EARLY_SECONDS = 0.02  # an agent's answer is at most one way between domains behind
QUEUE_PACKETS = 32  # both windows of a flow
SEARCH_WIDTH = 64  # agents asked at once
FULL_SECONDS = 0.002  # for each member: 500 offers a second to full servers
MAX_PENDING = 4096


class EntryFlows:
    """Decides about each packet and message of one entry.

    :param members: the agents it knows.
    :param routes: the routes in force.
    :param codec: knows the address of a flow's route.
    :param link_mbps: megabits a second that this entry's link carries.
    """

    def __init__(
        self,
        members: relay_members.Members,
        routes: relay_routes.Routes,
        codec: packets.Codec,
        link_mbps: float,
    ) -> None:
        self.members = members
        self.routes = routes
        self.newest_version = 0
        self._codec = codec
        self._flow_by_key: dict[bytes, relay_pending.Flow] = {}
        self._offer_by_token: dict[int, relay_pending.Offer] = {}
        self._search_by_token: dict[int, relay_pending.Search] = {}
        self._questions = relay_questions.Questions(link_mbps)
        self._token_by_key: dict[bytes, int] = {}
        self._token = 0
        self._swept_at = float('-inf')
        self._refilled_at = float('-inf')
        self._handler_by_kind: dict[type, typing.Any] = {
            relaying.Held: self._on_held,
            relaying.Passed: self._on_passed,
            relaying.NotHeld: self._on_not_held,
            relaying.Unsure: self._on_unsure,
            relaying.Returned: self._on_returned,
            relaying.Pong: self._on_pong,
        }

    @property
    def flow_count(self) -> int:
        """Return how many flows have a known owner."""
        return len(self._flow_by_key)

    @property
    def pending_count(self) -> int:
        """Return how many offers and searches go on."""
        return len(self._token_by_key)

    def on_client_packet(
        self,
        packet: packets.Packet,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a packet of a client."""
        if packet.is_first:
            return self._on_first(packet, now)
        flow = self._flow_by_key.get(packet.key)
        if flow is None:
            return self._on_unknown(packet, now)
        flow.used_at = now
        if not flow.is_settled:
            self._settle(flow, packet)
        owner = self.members.member_by_address.get(flow.owner)
        if owner is None or owner.is_dead(now):
            self._flow_by_key.pop(packet.key)
            return self._on_unknown(packet, now)
        if packet.is_reset:
            self._flow_by_key.pop(packet.key)
        return [effects.Send(flow.owner, relaying.Deliver(packet.raw))]

    def on_message(
        self,
        message: typing.Any,
        agent: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a message of an agent."""
        member = self.members.member_by_address.get(agent)
        handler = self._handler_by_kind.get(type(message))
        if handler is None:
            return [effects.Log('message_unexpected', kind=type(message).__name__)]
        if member is None:
            return [effects.Log('agent_unknown', agent=str(agent))]
        status = message.status
        before = member.status.state
        member.heard(status, now)
        self.newest_version = max(self.newest_version, status.version)
        found = handler(message, member, now)
        found += self._fill(member, now)
        if before == status.state:
            return found
        changed = effects.Log(
            'member_changed',
            member=member.name,
            before=before.name,
            state=status.state.name,
        )
        return [changed, *found]

    def tick(self, now: float, late: float = 0) -> list[effects.Effect]:
        """Do what is due.

        :param late: seconds by which this process was held up since the last call.
        """
        self.members.excuse(late)
        found: list[effects.Effect] = []
        for member in self.members.due_for_ping(now):
            member.pinged_at = now
            member.asked(now)
            ping = relaying.Ping(self.routes.version, not member.is_listed)
            found.append(effects.Send(member.address, ping))
        if now - self._refilled_at >= WAITING_SECONDS:
            self._refilled_at = now
            found.extend(self._fill_all(now))
        for token, offer in list(self._offer_by_token.items()):
            if now >= offer.due_at:
                found += self._advance_offer(token, offer, now)
        for token, search in list(self._search_by_token.items()):
            if now >= search.due_at:
                found += self._advance_search(token, search, now)
        found += self._ask(now)
        if now - self._swept_at > 1:
            self._swept_at = now
            self._sweep(now)
        return found

    def _on_first(self, packet: packets.Packet, now: float) -> list[effects.Effect]:
        token = self._token_by_key.get(packet.key)
        offer = self._offer_by_token.get(token or 0)
        if offer is not None and token is not None:
            offer.seen_at = now
            return [] if offer.is_waiting else self._advance_offer(token, offer, now)
        flow = self._flow_by_key.get(packet.key)
        if flow is not None:
            is_copy = packet.acknowledged > 0
            owner = self.members.member_by_address.get(flow.owner)
            if is_copy and owner is not None and not owner.is_suspect(now):
                return [effects.Send(flow.owner, relaying.Deliver(packet.raw))]
            self._flow_by_key.pop(packet.key)
        destination = self._codec.destination_of(packet.key)
        route = self.routes.route_at(destination)
        if route is None:
            return [self._reset(packet, 'no_route')]
        if len(self._token_by_key) >= MAX_PENDING:
            return [self._reset(packet, 'too_many_pending')]
        service = relay_routes.service_of(route, packet.key)
        offer = relay_pending.Offer(packet, service, route, now)
        token = self._next_token(packet.key)
        self._offer_by_token[token] = offer
        return self._advance_offer(token, offer, now)

    def _advance_offer(
        self,
        token: int,
        offer: relay_pending.Offer,
        now: float,
    ) -> list[effects.Effect]:
        """Offer a first packet to the next member, or let it wait for room."""
        if offer.early:
            self._end_offer(token, offer)
            return self._flush(offer.early, now)
        if relay_waiting.is_hopeless(offer, now):
            self._end_offer(token, offer)
            return [self._reset(offer.packet, 'nobody_took_it')]
        member = self._next_member(offer, now)
        if member is None and not offer.is_final:
            offer.is_final = True
            offer.tried.clear()
            member = self._next_member(offer, now)
        if member is not None:
            return [self._offer(token, offer, member, now)]
        waiting = effects.Log(
            'flow_waiting',
            flow=offer.key.hex(),
            route=offer.route,
            version=self.routes.version,
            members=self.members.count_ready(offer.service, now),
        )
        offer.tried.clear()
        offer.due_at = relay_waiting.hopeless_at(offer)
        offer.is_waiting = True
        return [waiting]

    def _next_member(
        self,
        offer: relay_pending.Offer,
        now: float,
    ) -> relay_members.Member | None:
        """Return the best member that may have room for a first packet.

        One that was full a moment ago is not asked, and the moment grows with the
        number of members, so that the offers to full servers stay bounded.
        """
        since = now - FULL_SECONDS * len(self.members.member_by_name)

        def suits(member: relay_members.Member) -> bool:
            if member.name in offer.tried:
                return False
            return member.room() > 0 if offer.is_final else not member.is_full(since)

        return self.members.best(offer.service, offer.key, now, suits)

    def _offer(
        self,
        token: int,
        offer: relay_pending.Offer,
        member: relay_members.Member,
        now: float,
    ) -> effects.Send:
        offer.is_waiting = False
        offer.due_at = now + OFFER_SECONDS
        offer.tried.add(member.name)
        member.asked(now)
        member.expected_work += 1
        message = relaying.Offer(
            token,
            relaying.compute_service_tag(offer.service),
            offer.is_final,
            offer.packet.raw,
        )
        return effects.Send(member.address, message)

    def _fill_all(self, now: float) -> typing.Iterator[effects.Effect]:
        for member in self.members.member_by_name.values():
            yield from self._fill(member, now)

    def _fill(
        self,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        """Offer what waits to a member that has room."""
        found: list[effects.Effect] = []
        if not self._offer_by_token or member.room() <= 0 or not member.may_take(now):
            return found
        token_by_offer = {
            offer: token
            for token, offer in self._offer_by_token.items()
            if offer.is_waiting and offer.service == member.service
        }
        while token_by_offer and member.room() > 0:
            chosen = relay_waiting.next_of(token_by_offer, now)
            offer = typing.cast('relay_pending.Offer', chosen)
            found.append(self._offer(token_by_offer.pop(offer), offer, member, now))
        return found

    def _on_unknown(self, packet: packets.Packet, now: float) -> list[effects.Effect]:
        if packet.is_reset:
            return []
        token = self._token_by_key.get(packet.key)
        search = self._search_by_token.get(token or 0)
        if search is not None:
            if len(search.queue) < QUEUE_PACKETS:
                search.queue.append(packet)
            return []
        offer = self._offer_by_token.get(token or 0)
        if offer is not None and token is not None:
            return self._on_early(token, offer, packet, now)
        return self._search(packet, now)

    def _on_early(
        self,
        token: int,
        offer: relay_pending.Offer,
        packet: packets.Packet,
        now: float,
    ) -> list[effects.Effect]:
        """Keep what a client sends before its agent's answer has come here.

        An agent in another failure domain answers the client sooner than this entry.
        """
        if len(offer.early) < QUEUE_PACKETS:
            offer.early.append(packet)
        offer.due_at = min(offer.due_at, now + EARLY_SECONDS)
        return []

    def _search(self, packet: packets.Packet, now: float) -> list[effects.Effect]:
        destination = self._codec.destination_of(packet.key)
        services = self.routes.services_of(destination)
        if not services or self.routes.route_at(destination) is None:
            return [self._reset(packet, 'no_route')]
        if len(self._token_by_key) >= MAX_PENDING:
            return []
        search = relay_pending.Search(packet.key, services, now)
        search.queue.append(packet)
        token = self._next_token(packet.key)
        self._search_by_token[token] = search
        return self._advance_search(token, search, now)

    def _advance_search(
        self,
        token: int,
        search: relay_pending.Search,
        now: float,
    ) -> list[effects.Effect]:
        if now - search.began_at > SEARCH_LIFE_SECONDS:
            self._end_search(token, search)
            return [effects.Log('search_failed', flow=search.key.hex())]
        members = self.members.of_services(search.services)
        alive = [member for member in members if not member.is_dead(now)]
        open_members = [member for member in alive if member.name not in search.denied]
        if not open_members:
            self._end_search(token, search)
            return [self._reset(search.queue[-1], 'nobody_holds_it')]
        search.due_at = now + SEARCH_SECONDS
        fresh = [member for member in open_members if member.name not in search.asked]
        for member in (fresh or open_members)[:SEARCH_WIDTH]:
            search.asked.add(member.name)
            self._question(token, search, member)
        return list(self._ask(now))

    def _question(
        self,
        token: int,
        search: relay_pending.Search,
        member: relay_members.Member,
    ) -> None:
        """Ask a member whether it holds a flow, or let it ask its server."""
        packet = search.queue[0]
        if member.status.knows_all_flows and member.name not in search.unsure:
            question = relaying.Question(token, search.key, packet.acknowledged)
            self._questions.add(member.address, question)
        else:
            self._questions.add_ask(member.address, relaying.Ask(token, packet.raw))

    def _ask(self, now: float) -> list[effects.Send]:
        """Return the questions whose turn has come."""
        found = self._questions.due(now, self._search_by_token.__contains__)
        for each in found:
            member = self.members.member_by_address.get(each.address)
            if member is None:
                continue
            member.asked(now)
            if isinstance(each.message, relaying.Ask):
                self._search_by_token[each.message.token].given.add(member.name)
        return found

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
            self._end_offer(token, offer)
            placed = effects.Log(
                'flow_placed',
                flow=held.key.hex(),
                route=offer.route,
                version=self.routes.version,
                member=member.name,
                work=member.status.work,
                flows=member.status.flows,
                tried=len(offer.tried),
                final=offer.is_final,
                ms=effects.milliseconds(now - offer.began_at),
            )
            return [placed, *self._flush(offer.early, now)]
        search = self._search_by_token[token]
        self._end_search(token, search)
        flow.owner = member.address
        flow.is_settled = True
        located = effects.Log(
            'flow_located',
            flow=held.key.hex(),
            member=member.name,
            packets=len(search.queue),
            ms=effects.milliseconds(now - search.began_at),
        )
        return [
            located,
            *(
                effects.Send(member.address, relaying.Deliver(packet.raw))
                for packet in search.queue[member.name in search.given :]
            ),
        ]

    def _flush(
        self,
        early: list[packets.Packet],
        now: float,
    ) -> list[effects.Effect]:
        found: list[effects.Effect] = []
        for packet in early:
            found.extend(self.on_client_packet(packet, now))
        return found

    def _on_passed(
        self,
        passed: relaying.Passed,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        offer = self._offer_by_token.get(passed.token)
        if offer is None:
            return []
        return self._advance_offer(passed.token, offer, now)

    def _on_not_held(
        self,
        denial: relaying.NotHeld,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        found: list[effects.Effect] = []
        for token in denial.tokens:
            search = self._search_by_token.get(token)
            if search is not None:
                search.denied.add(member.name)
                found += self._continue_search(token, search, now)
        return found

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
                self._question(token, search, member)
        return list(self._ask(now))

    def _continue_search(
        self,
        token: int,
        search: relay_pending.Search,
        now: float,
    ) -> list[effects.Effect]:
        """Go on at once when everyone asked so far has answered."""
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
        found = self._on_unknown(packet, now)
        search = self._search_by_token.get(self._token_by_key.get(packet.key, 0))
        if search is not None:
            search.denied.add(member.name)
        return found

    def _on_pong(
        self,
        _pong: relaying.Pong,
        _member: relay_members.Member,
        _now: float,
    ) -> list[effects.Effect]:
        return []

    def _settle(self, flow: relay_pending.Flow, packet: packets.Packet) -> None:
        """Choose the agent whose server the client has acknowledged."""
        flow.is_settled = True
        for ahead in (0, 1):
            sequence = (packet.acknowledged - ahead) % packets.SEQUENCE_RANGE
            owner = flow.owner_by_sequence.get(sequence)
            if owner is not None:
                flow.owner = owner

    def _reset(self, packet: packets.Packet, reason: str) -> effects.Reset:
        return effects.Reset(packet.key, packet.acknowledged, reason)

    def _next_token(self, key: bytes) -> int:
        self._token = self._token % (packets.SEQUENCE_RANGE - 1) + 1
        self._token_by_key[key] = self._token
        return self._token

    def _end_offer(self, token: int, offer: relay_pending.Offer) -> None:
        self._offer_by_token.pop(token, None)
        self._token_by_key.pop(offer.key, None)

    def _end_search(self, token: int, search: relay_pending.Search) -> None:
        self._search_by_token.pop(token, None)
        self._token_by_key.pop(search.key, None)

    def _sweep(self, now: float) -> None:
        for key, flow in list(self._flow_by_key.items()):
            if now - flow.used_at > IDLE_SECONDS:
                self._flow_by_key.pop(key)
        for member in self.members.forgettable(now):
            if not member.is_listed:
                self.members.remove(member)
