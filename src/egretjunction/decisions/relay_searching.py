"""An entry's searches for the agents that hold flows it has no record of."""

from egretjunction.decisions import relay_candidates
from egretjunction.decisions import relay_denials
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_pending
from egretjunction.decisions import relay_questions
from egretjunction.decisions import relay_routes
from egretjunction.relay import packets
from egretjunction.wire import relaying

SEARCH_ROUND_SECONDS = 0.08  # an agent's probe of its server, plus a round trip
MAX_SEARCH_SECONDS = 1.0
# A search whose agents have not all answered by then asks those of other services too.
WIDENING_SECONDS = relay_members.SUSPECT_AFTER_SECONDS
LISTING_SECONDS = 0.02  # the store answers within a few milliseconds
MAX_NAMED_MEMBERS = 3  # in a log line
MAX_MEMBERS_PER_ROUND = 64  # agents asked at once in a search


class Searches:
    """Searches of one entry for the owners of flows.

    :param members: the agents that the entry knows.
    :param routes: the routes in force.
    :param codec: derives the route's address from a flow's key.
    :param tokens: tokens of the entry's offers and searches.
    :param link_mbps: capacity of the entry's link in megabits per second.
    :param configuration_seconds: time within which an accepted configuration must be in
        force.
    """

    def __init__(
        self,
        members: relay_members.Members,
        routes: relay_routes.Routes,
        codec: packets.Codec,
        tokens: relay_pending.Tokens,
        link_mbps: float,
        configuration_seconds: float,
    ) -> None:
        self._members = members
        self._routes = routes
        self._codec = codec
        self._tokens = tokens
        self._search_by_token: dict[int, relay_pending.Search] = {}
        self._denials = relay_denials.Denials()
        self._candidates = relay_candidates.Candidates(members, self._clear)
        self._question_queue = relay_questions.QuestionQueue(link_mbps)
        self._unknown_addresses = relay_routes.UnknownAddresses(configuration_seconds)

    def on_packet(
        self,
        packet: packets.Packet,
        now: float,
        denied_by: relay_members.Member | None = None,
    ) -> list[effects.Effect]:
        """Search for the owner of a packet's flow, which gets the packet.

        :param packet: a client's packet of a flow that the entry has no record of.
        :param now: the time in seconds.
        :param denied_by: member that has just denied that it holds the flow.
        """
        search = self._search_by_token.get(self._tokens.token_of(packet.key) or 0)
        if search is not None:
            if denied_by is not None:
                search.record.denied |= self._candidates.bit_of(denied_by)
            if len(search.queue) < relay_pending.MAX_QUEUED_PACKETS:
                search.queue.append(packet)
            return []
        destination = self._codec.destination_of(packet.key)
        services = self._routes.known_services(destination)
        if self._routes.route_at(destination) is None:
            is_removed = services or self._unknown_addresses.has_no_route(
                destination, now
            )
            return [effects.reset_of(packet, 'no_route')] if is_removed else []
        if self._tokens.count >= relay_pending.MAX_PENDING:
            return []
        record = self._denials.record_of(packet, now)
        if denied_by is not None:
            record.denied |= self._candidates.bit_of(denied_by)
        search = relay_pending.Search(packet, record, services, now)
        token = self._tokens.issue(packet.key)
        self._search_by_token[token] = search
        return self._advance(token, search, now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Continue the searches that are due, and send the questions that may go."""
        self._candidates.update_dead(now)
        self._denials.remove_expired(now)
        self._question_queue.queue_repeats(now, self._search_by_token.__contains__)
        emitted: list[effects.Effect] = []
        for token, search in list(self._search_by_token.items()):
            if now >= search.due_at:
                emitted += self._advance(token, search, now)
        return emitted + self._send_due_questions(now)

    def note_status(
        self, member: relay_members.Member, before: relaying.Status
    ) -> None:
        """Note that a member has sent a status.

        :param member: the member, with the new status.
        :param before: its status before.
        """
        self._candidates.note_status(member, before)
        self._question_queue.record_message(member.address)
        if member.status.knows_all_flows and not before.knows_all_flows:
            self._ask_without_packets(member)

    def note_identity(self, member: relay_members.Member) -> None:
        """Note that another agent answers at a member's address than before."""
        self._candidates.renew(member)

    def forget(self, key: bytes) -> None:
        """Drop what is known about a flow's owner, since the flow is opened anew."""
        self._denials.forget(key)

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
        self._question_queue.settle(member.address, denial.tokens)
        bit = self._candidates.bit_of(member)
        for token in denial.tokens:
            search = self._search_by_token.get(token)
            if search is not None:
                search.record.denied |= bit
                emitted += self._continue(token, search, now)
        return emitted

    def on_unsure(
        self,
        unsure: relaying.Unsure,
        member: relay_members.Member,
        now: float,
    ) -> list[effects.Effect]:
        """Send a member the packets to probe its server with."""
        self._question_queue.settle(member.address, unsure.tokens)
        for token in unsure.tokens:
            search = self._search_by_token.get(token)
            if search is not None:
                search.unsure |= self._candidates.bit_of(member)
                self._add_question(token, search, member)
        return self._send_due_questions(now)

    def _ask_without_packets(self, member: relay_members.Member) -> None:
        """Replace packets for a member's server by questions that it can answer now."""
        bit = self._candidates.bit_of(member)
        for token in self._question_queue.take_asks(member.address):
            search = self._search_by_token.get(token)
            if search is not None:
                search.unsure &= ~bit
                self._add_question(token, search, member)

    def _continue(
        self,
        token: int,
        search: relay_pending.Search,
        now: float,
    ) -> list[effects.Effect]:
        """Continue a search at once if all members asked so far have denied it."""
        if not search.asked & ~search.record.denied:
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
        holders = self._candidates.all_holders() & ~search.record.denied
        if not holders and self._is_view_complete(now):
            self._end(token, search)
            return [self._reset_of(search)]
        if now - search.started_at > MAX_SEARCH_SECONDS:
            self._end(token, search)
            return [self._failure_event(search, holders, now)]
        if not holders:
            search.due_at = now + LISTING_SECONDS
            return []
        search.due_at = now + SEARCH_ROUND_SECONDS
        unasked = self._candidates_now(search, holders, now) & ~search.asked
        chosen = unasked & self._candidates.near() or unasked
        for member in self._candidates.members_in(chosen, MAX_MEMBERS_PER_ROUND):
            search.asked |= self._candidates.bit_of(member)
            self._add_question(token, search, member)
        return self._send_due_questions(now)

    def _candidates_now(
        self, search: relay_pending.Search, holders: int, now: float
    ) -> int:
        """Return the members to ask now: first those of the route's known services.

        Another service may hold the flow: its weight was removed before this process
        started, or other entries follow a version that this one has not adopted.

        :param search: the search.
        :param holders: the members that have not denied the flow.
        :param now: the time in seconds.
        """
        expected = self._candidates.serving(search.services) & holders
        is_wide = not expected or now - search.started_at >= WIDENING_SECONDS
        return holders if is_wide else expected

    def _reset_of(self, search: relay_pending.Search) -> effects.Reset:
        """Return the reset of a flow, with how many agents denied it or were not asked.

        An agent that was not asked may hold the flow.
        """
        holders = self._candidates.all_holders()
        return effects.reset_of(
            search.queue[-1],
            'nobody_holds_it',
            denied=search.record.denied.bit_count(),
            unasked=(holders & ~search.record.denied).bit_count(),
        )

    def _failure_event(
        self, search: relay_pending.Search, candidates: int, now: float
    ) -> effects.Log:
        """Return the event of an abandoned search, with the agents it waited for."""
        named = self._candidates.members_in(candidates, MAX_NAMED_MEMBERS)
        is_complete = (
            self._members.has_current_listing(now)
            and self._members.eras.is_settled(now)
            and not self._candidates.has_unidentified(now)
        )
        return effects.Log(
            'search_failed',
            flow=search.key.hex(),
            undecided=candidates.bit_count(),
            unasked=(candidates & ~search.asked).bit_count(),
            members=','.join(
                f'{member.name}:{_describe_state(member, now)}' for member in named
            ),
            complete=is_complete,
            ms=effects.milliseconds(now - search.started_at),
        )

    def _is_view_complete(self, now: float) -> bool:
        """Tell whether the entry knows every agent that may hold a flow."""
        return not self._candidates.has_unidentified(now) and self._members.is_complete(
            now
        )

    def _add_question(
        self,
        token: int,
        search: relay_pending.Search,
        member: relay_members.Member,
    ) -> None:
        """Queue a question to a member, or a packet to probe its server with."""
        packet = search.queue[0]
        if member.status.knows_all_flows and not (
            search.unsure & self._candidates.bit_of(member)
        ):
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

    def _clear(self, mask: int) -> None:
        """Remove members from all sets, since their bits are used again."""
        self._denials.clear(mask)
        for search in self._search_by_token.values():
            search.record.denied &= ~mask
            search.asked &= ~mask
            search.unsure &= ~mask


def _describe_state(member: relay_members.Member, now: float) -> str:
    return 'away' if member.is_away(now) else member.status.state.name.lower()
