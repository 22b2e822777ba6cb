"""An entry's searches for the agents that hold flows it has no record of."""

import typing

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_pending
from egretjunction.decisions import relay_questions
from egretjunction.decisions import relay_routes
from egretjunction.relay import packets
from egretjunction.wire import relaying

SEARCH_ROUND_SECONDS = 0.08  # an agent's probe of its server, plus a round trip
MAX_SEARCH_SECONDS = 1.0
LISTING_SECONDS = 0.02  # the store answers within a few milliseconds
MAX_MEMBERS_PER_ROUND = 64  # agents asked at once in a search


class Searches:
    """Searches of one entry for the owners of flows.

    :param members: the agents that the entry knows.
    :param routes: the routes in force.
    :param codec: derives the route's address from a flow's key.
    :param tokens: tokens of the entry's offers and searches.
    :param link_mbps: capacity of the entry's link in megabits per second.
    """

    def __init__(
        self,
        members: relay_members.Members,
        routes: relay_routes.Routes,
        codec: packets.Codec,
        tokens: relay_pending.Tokens,
        link_mbps: float,
    ) -> None:
        self._members = members
        self._routes = routes
        self._codec = codec
        self._tokens = tokens
        self._search_by_token: dict[int, relay_pending.Search] = {}
        self._question_queue = relay_questions.QuestionQueue(link_mbps)

    def on_packet(
        self,
        packet: packets.Packet,
        now: float,
        denied_by: typing.Iterable[str],
    ) -> list[effects.Effect]:
        """Search for the owner of a packet's flow, which gets the packet.

        :param packet: a client's packet of a flow that the entry has no record of.
        :param now: the time in seconds.
        :param denied_by: names of members that have just denied that they hold it.
        """
        search = self._search_by_token.get(self._tokens.token_of(packet.key) or 0)
        if search is not None:
            search.denied.update(denied_by)
            if len(search.queue) < relay_pending.MAX_QUEUED_PACKETS:
                search.queue.append(packet)
            return []
        destination = self._codec.destination_of(packet.key)
        services = self._routes.known_services(destination)
        if not services or self._routes.route_at(destination) is None:
            return [effects.reset_of(packet, 'no_route')]
        if self._tokens.count >= relay_pending.MAX_PENDING:
            return []
        search = relay_pending.Search(packet.key, services, now)
        search.queue.append(packet)
        search.denied.update(denied_by)
        token = self._tokens.issue(packet.key)
        self._search_by_token[token] = search
        return self._advance(token, search, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Continue the searches that are due, and send the questions that may go."""
        emitted: list[effects.Effect] = []
        for token, search in list(self._search_by_token.items()):
            if now >= search.due_at:
                emitted += self._advance(token, search, now)
        return emitted + self._send_due_questions(now)

    def end_with(
        self, token: int, member: relay_members.Member, now: float
    ) -> list[effects.Effect]:
        """End a search whose flow a member holds; deliver the queued packets."""
        search = self._search_by_token[token]
        self._end(token, search)
        event = effects.Log(
            'flow_located',
            flow=search.key.hex(),
            member=member.name,
            packets=len(search.queue),
            ms=effects.milliseconds(now - search.started_at),
        )
        undelivered = search.queue[member.name in search.probed :]
        return [
            event,
            *(
                effects.Send(member.address, relaying.Deliver(packet.raw))
                for packet in undelivered
            ),
        ]

    def on_not_held(
        self,
        denial: relaying.NotHeld,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        """Record which flows a member does not hold."""
        emitted: list[effects.Effect] = []
        for token in denial.tokens:
            search = self._search_by_token.get(token)
            if search is not None:
                search.denied.add(member.name)
                emitted += self._continue(token, search, now)
        return emitted

    def on_unsure(
        self,
        unsure: relaying.Unsure,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        """Send a member the packets to probe its server with."""
        for token in unsure.tokens:
            search = self._search_by_token.get(token)
            if search is not None:
                search.unsure.add(member.name)
                self._add_question(token, search, member)
        return self._send_due_questions(now)

    def _continue(
        self,
        token: int,
        search: relay_pending.Search,
        now: float,
    ) -> list[effects.Effect]:
        """Continue a search at once if all members asked so far have denied it."""
        if search.asked <= search.denied:
            return self._advance(token, search, now)
        return []

    def _advance(
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
            self._end(token, search)
            return [effects.Log('search_failed', flow=search.key.hex())]
        members = self._members.serving(search.services)
        reachable = [member for member in members if not member.is_dead(now)]
        candidates = [
            member for member in reachable if member.name not in search.denied
        ]
        if not candidates and (
            self._members.has_unidentified(now) or not self._members.is_complete(now)
        ):
            search.due_at = now + LISTING_SECONDS
            return []
        if not candidates:
            self._end(token, search)
            return [effects.reset_of(search.queue[-1], 'nobody_holds_it')]
        search.due_at = now + SEARCH_ROUND_SECONDS
        unasked = [member for member in candidates if member.name not in search.asked]
        near = [member for member in unasked if self._members.is_near(member)]
        for member in (near or unasked or candidates)[:MAX_MEMBERS_PER_ROUND]:
            search.asked.add(member.name)
            self._add_question(token, search, member)
        return self._send_due_questions(now)

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

    def _send_due_questions(self, now: float) -> list[effects.Effect]:
        """Send the queued questions that the byte budget allows now."""
        emitted = self._question_queue.pop_due(now, self._search_by_token.__contains__)
        for send in emitted:
            member = self._members.member_by_address.get(send.address)
            if member is None:
                continue
            member.record_request(now)
            if isinstance(send.message, relaying.Ask):
                self._search_by_token[send.message.token].probed.add(member.name)
        return list(emitted)

    def _end(self, token: int, search: relay_pending.Search) -> None:
        self._search_by_token.pop(token, None)
        self._tokens.release(search.key)
