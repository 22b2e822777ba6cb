"""Flows of one agent that relays: which it holds, which it takes, which it passes."""

import typing

from egretjunction import addresses
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_flows
from egretjunction.decisions import relay_server
from egretjunction.decisions import relay_work
from egretjunction.relay import packets
from egretjunction.wire import relaying

HALF_OPEN_SECONDS = 1.4  # a client gives an unanswered first packet up after 1.4 s
ASK_SECONDS = 0.03  # a server bounces what it does not hold within a millisecond
CLOSED_SECONDS = 3.0  # late packets of an ended flow still find its record
IDLE_SECONDS = 75.0  # flows are at most 60 s old, and 15 s idle
ENTRY_SECONDS = 10.0  # an entry not heard of for this long is told nothing more
MAX_FLOWS = 20_000


class AgentFlows:
    """Decides about each packet and message of one agent.

    :param server: what is known of the backend server.
    :param codec: reads packets that entries send.
    """

    def __init__(
        self,
        server: relay_server.Server,
        codec: packets.Codec,
    ) -> None:
        self.server = server
        self.is_leaving = False
        self.version = 0
        self._codec = codec
        self._tag = relaying.compute_service_tag(server.service)
        self._flow_by_key: dict[bytes, relay_flows.Flow] = {}
        self._question_by_token: dict[int, relay_flows.Question] = {}
        self._heard_by_entry: dict[addresses.Address, float] = {}
        self._work = relay_work.Work()
        self._waiting_entries: set[addresses.Address] = set()
        self._token = 0
        self._told_state = relaying.State.STARTING
        self._handler_by_kind: dict[type, typing.Any] = {
            relaying.Deliver: self._on_deliver,
            relaying.Offer: self._on_offer,
            relaying.Find: self._on_find,
            relaying.Ask: self._on_ask,
            relaying.Ping: self._on_ping,
        }

    @property
    def busy(self) -> int:
        """Return how many requests are at work."""
        return self._work.busy

    @property
    def flow_count(self) -> int:
        """Return how many flows this agent has a record of."""
        return len(self._flow_by_key)

    def on_message(
        self,
        message: typing.Any,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a message of an entry."""
        handler = self._handler_by_kind.get(type(message))
        if handler is None:
            return [effects.Log('message_unexpected', kind=type(message).__name__)]
        self._heard_by_entry[entry] = now
        return handler(message, entry, now)

    def on_server_packet(
        self,
        packet: packets.Packet,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a packet that the backend server has sent or given back."""
        self.server.answered(now)
        if packet.is_bounced:
            return self._on_bounced(packet, now)
        flow = self._flow_by_key.get(packet.key)
        if packet.is_reset and not _is_open_here(flow):
            return self._on_foreign_reset(packet.key, now)
        found: list[effects.Effect] = [effects.ToClient(packet.key, packet.raw)]
        if packet.is_accept:
            return found + self._on_accepted(packet, flow, now)
        if flow is None and self.server.is_known_since_birth:
            return found
        if flow is None:
            flow = self._adopt(packet.key, now)
        flow.used_at = now
        if flow.is_provisional:
            found += self._settle(packet.key, flow, now)
        flow.is_confirmed = True
        if packet.data_bytes:
            self._work.answered(packet.key)
        if packet.is_reset or packet.is_last:
            self._end(packet.key, flow, now)
        return found + self._call_waiting(now)

    def _on_accepted(
        self,
        packet: packets.Packet,
        flow: relay_flows.Flow | None,
        now: float,
    ) -> list[effects.Effect]:
        """Tell the entry that the server accepts the flow that it has offered."""
        is_offered = flow is not None and not flow.is_provisional
        if flow is None or not is_offered or flow.server_sequence is not None:
            return []
        flow.used_at = now
        flow.server_sequence = packet.sequence
        if flow.entry is None:
            return []
        status = self.status(now)
        held = relaying.Held(flow.token, packet.key, packet.sequence, status)
        told = effects.Log(
            'flow_taken',
            flow=packet.key.hex(),
            server=self.server.name,
            work=status.work,
            ms=effects.milliseconds(now - flow.opened_at),
        )
        return [effects.Send(flow.entry, held), told]

    def on_heartbeat(
        self,
        beat: relay_server.Heartbeat,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a heartbeat of the backend server."""
        news = self.server.heard(beat, now)
        if news is relay_server.News.STALE:
            return [effects.Log('heartbeat_stale', server=beat.name, born=beat.born)]
        found: list[effects.Effect] = []
        if news is relay_server.News.REBORN:
            found += self._reset_all('server_restarted')
        if news is not relay_server.News.NOTHING:
            found.append(
                effects.Log(
                    'server_changed',
                    server=beat.name,
                    born=beat.born,
                    sequence=beat.sequence,
                    draining=beat.is_draining,
                    cold_ms=beat.cold_ms,
                ),
            )
            found += self.tell_entries(now)
        return found

    def on_left(self, name: str, now: float) -> list[effects.Effect]:
        """Handle word that the backend server ends."""
        if not self.server.left(name):
            return [effects.Log('leave_stale', server=name)]
        found: list[effects.Effect] = [effects.Log('server_left', server=name)]
        return found + self.tell_entries(now)

    def leave(self, now: float) -> list[effects.Effect]:
        """Take no more flows; the process is about to end."""
        self.is_leaving = True
        return self.tell_entries(now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Do what is due."""
        found: list[effects.Effect] = []
        for token, question in list(self._question_by_token.items()):
            if now >= question.until:
                self._question_by_token.pop(token)
                found += self._confirm(question, now)
        if self.server.is_lost(now) and self._flow_by_key:
            found.append(effects.Log('server_lost', server=self.server.name))
            found += self._reset_all('server_lost')
        self._forget(now)
        found += self._call_waiting(now)
        if self.state(now) != self._told_state:
            found += self.tell_entries(now)
        return found

    def state(self, now: float) -> relaying.State:
        """Return what entries are told."""
        if self.is_leaving:
            return relaying.State.GONE
        return self.server.state(now)

    def status(self, now: float) -> relaying.Status:
        """Return the status that goes with every answer."""
        return relaying.Status(
            self.state(now),
            self._work.amount(now),
            len(self._flow_by_key),
            self.server.slots,
            self.version,
            self.server.cold_ms(now),
            self.server.is_known_since_birth or self.server.is_gone,
        )

    def tell_entries(
        self,
        now: float,
        also: typing.Iterable[addresses.Address] = (),
    ) -> list[effects.Effect]:
        """Return the status for every entry heard of lately.

        :param also: entries that were read of, to which this agent is new.
        """
        for new_entry in also:
            self._heard_by_entry.setdefault(new_entry, now)
        self._told_state = self.state(now)
        pong = relaying.Pong(self._tag, self.status(now))
        return [effects.Send(entry, pong) for entry in self._heard_by_entry]

    def _call_waiting(self, now: float) -> list[effects.Effect]:
        """Tell entries with waiting first packets that there is room."""
        if not self._waiting_entries:
            return []
        if not self._work.has_room(self.server.slots, now, is_final=True):
            return []
        pong = relaying.Pong(self._tag, self.status(now))
        found = [effects.Send(entry, pong) for entry in self._waiting_entries]
        self._waiting_entries.clear()
        return list(found)

    def _on_offer(
        self,
        offer: relaying.Offer,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        packet = self._codec.from_client(offer.packet)
        flow = self._flow_by_key.get(packet.key)
        if flow is not None and _is_copy(flow, packet):
            held = _held(flow, offer.token, packet.key, self.status(now))
            return [effects.ToServer(packet.raw), effects.Send(entry, held)]
        reason = self._reason_to_pass(offer, now)
        if reason is not None:
            if reason is relaying.Reason.BUSY:
                self._waiting_entries.add(entry)
            passed = relaying.Passed(offer.token, reason, self.status(now))
            told = effects.Log(
                'flow_passed',
                flow=packet.key.hex(),
                reason=reason.name.lower(),
                work=passed.status.work,
                state=passed.status.state.name.lower(),
            )
            return [effects.Send(entry, passed), told]
        if flow is None or flow.is_open or flow.ended_at is not None:
            self._drop(packet.key)
            flow = relay_flows.Flow(now)
            self._flow_by_key[packet.key] = flow
        flow.first_sequence = packet.sequence
        flow.entry = entry
        flow.token = offer.token
        self._work.reserve(packet.key, now)
        self.server.given(now)
        token = self._ask(packet, entry, offer.token, now + HALF_OPEN_SECONDS)
        return [effects.ToServer(offer.packet, token)]

    def _reason_to_pass(
        self,
        offer: relaying.Offer,
        now: float,
    ) -> relaying.Reason | None:
        if offer.service_tag != self._tag:
            return relaying.Reason.WRONG_SERVICE
        if self.state(now) != relaying.State.READY:
            return relaying.Reason.NOT_READY
        if len(self._flow_by_key) >= MAX_FLOWS:
            return relaying.Reason.BUSY
        slots = self.server.slots
        if not self._work.has_room(slots, now, is_final=offer.is_final):
            return relaying.Reason.BUSY
        return None

    def _on_deliver(
        self,
        message: relaying.Deliver,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        packet = self._codec.from_client(message.packet)
        flow = self._flow_by_key.get(packet.key)
        if flow is None and not self.server.is_known_since_birth:
            return self._inquire(packet, entry, 0, now)
        if flow is None or not _belongs(flow, packet):
            returned = relaying.Returned(packet.raw, self.status(now))
            return [effects.Send(entry, returned)]
        if flow.is_provisional:
            return self._inquire(packet, entry, 0, now)
        return self._deliver(flow, packet, entry, now)

    def _deliver(
        self,
        flow: relay_flows.Flow,
        packet: packets.Packet,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        flow.used_at = now
        flow.entry = entry
        if not packet.is_first:
            flow.is_open = True
            flow.acknowledged = packet.acknowledged
        if packet.data_bytes:
            self.server.given(now)
        if flow.ended_at is None:
            self._work.given(packet, now)
        if packet.is_reset or packet.is_last:
            self._end(packet.key, flow, now)
        return [effects.ToServer(packet.raw)]

    def _on_find(
        self,
        find: relaying.Find,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        status = self.status(now)
        answers: list[relaying.Message] = []
        others: list[int] = []
        for question in find.questions:
            flow = self._flow_by_key.get(question.key)
            if flow is not None and _is_wanted(flow, question):
                answers.append(_held(flow, question.token, question.key, status))
            else:
                others.append(question.token)
        if others and status.knows_all_flows:
            answers.append(relaying.NotHeld(others, status))
        elif others:
            answers.append(relaying.Unsure(others, status))
        return [effects.Send(entry, answer) for answer in answers]

    def _on_ask(
        self,
        ask: relaying.Ask,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        packet = self._codec.from_client(ask.packet)
        flow = self._flow_by_key.get(packet.key)
        if flow is None or flow.is_provisional:
            return self._inquire(packet, entry, ask.token, now)
        if not _belongs(flow, packet):
            denied = relaying.NotHeld([ask.token], self.status(now))
            return [effects.Send(entry, denied)]
        held = _held(flow, ask.token, packet.key, self.status(now))
        return [effects.Send(entry, held), *self._deliver(flow, packet, entry, now)]

    def _inquire(
        self,
        packet: packets.Packet,
        entry: addresses.Address,
        token: int,
        now: float,
    ) -> list[effects.Effect]:
        """Give the server a packet of a flow that only the server can know."""
        flow = self._flow_by_key.get(packet.key)
        if flow is None:
            flow = relay_flows.Flow(now)
            flow.is_open = True
            flow.is_provisional = True
            self._flow_by_key[packet.key] = flow
        flow.entry = entry
        flow.token = token or flow.token
        flow.acknowledged = packet.acknowledged
        self._work.given(packet, now)
        number = self._ask(packet, entry, token, now + ASK_SECONDS)
        return [effects.ToServer(packet.raw, number)]

    def _on_ping(
        self,
        ping: relaying.Ping,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        self.version = max(self.version, ping.version)
        return [effects.Send(entry, relaying.Pong(self._tag, self.status(now)))]

    def _ask(
        self,
        packet: packets.Packet,
        entry: addresses.Address,
        token: int,
        until: float,
    ) -> int:
        self._token = self._token % (packets.SEQUENCE_RANGE - 1) + 1
        question = relay_flows.Question(packet, entry, token, until)
        self._question_by_token[self._token] = question
        return self._token

    def _confirm(
        self, question: relay_flows.Question, now: float
    ) -> list[effects.Effect]:
        """Conclude from a server's silence that it holds the flow."""
        flow = self._flow_by_key.get(question.key)
        if question.is_first:
            if flow is not None and flow.server_sequence is None:
                self._drop(question.key)
            return []
        if flow is None or not flow.is_provisional:
            return []
        if not self.server.is_heard() or self.server.is_silent(now):
            return []
        return self._settle(question.key, flow, now)

    def _settle(
        self, key: bytes, flow: relay_flows.Flow, now: float
    ) -> list[effects.Effect]:
        """Conclude that the server holds a flow that it was asked about."""
        flow.is_provisional = False
        if flow.entry is None or not flow.token:
            return []
        held = relaying.Held(flow.token, key, 0, self.status(now))
        told = effects.Log('flow_adopted', flow=key.hex(), server=self.server.name)
        return [effects.Send(flow.entry, held), told]

    def _on_bounced(
        self,
        packet: packets.Packet,
        now: float,
    ) -> list[effects.Effect]:
        question = self._question_by_token.pop(packet.token, None)
        flow = self._flow_by_key.get(packet.key)
        if question is not None and flow is not None and flow.is_provisional:
            self._drop(packet.key)
        if question is None:
            return self._on_lost_flow(flow, packet, now)
        if packet.is_first:
            self._drop(packet.key)
        return [_denial(question, self.status(now))]

    def _on_foreign_reset(self, key: bytes, now: float) -> list[effects.Effect]:
        """Take a server's reset of a flow that it does not hold open as a denial.

        The client may have the flow open at another server.
        """
        found: list[effects.Effect] = [
            effects.Log('reset_withheld', flow=key.hex(), server=self.server.name),
        ]
        for token, question in list(self._question_by_token.items()):
            if question.key == key:
                self._question_by_token.pop(token)
                found.append(_denial(question, self.status(now)))
        self._drop(key)
        return found

    def _on_lost_flow(
        self,
        flow: relay_flows.Flow | None,
        packet: packets.Packet,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a bounced packet of a flow that the server seemed to hold."""
        if flow is None or flow.ended_at is not None or packet.is_first:
            return []
        self._drop(packet.key)
        if flow.is_confirmed or flow.entry is None:
            return [effects.Reset(packet.key, packet.acknowledged, 'server_lost_flow')]
        raw = self._codec.restore_bounced(packet.raw)
        return [effects.Send(flow.entry, relaying.Returned(raw, self.status(now)))]

    def _adopt(self, key: bytes, now: float) -> relay_flows.Flow:
        """Begin a record of a flow that the server held before this process began."""
        flow = relay_flows.Flow(now)
        flow.is_open = True
        flow.is_confirmed = True
        self._flow_by_key[key] = flow
        return flow

    def _end(self, key: bytes, flow: relay_flows.Flow, now: float) -> None:
        if flow.ended_at is None:
            flow.ended_at = now
        self._work.answered(key)

    def _drop(self, key: bytes) -> None:
        self._flow_by_key.pop(key, None)
        self._work.forget(key)

    def _reset_all(self, reason: str) -> list[effects.Effect]:
        found: list[effects.Effect] = [
            effects.Reset(key, flow.acknowledged, reason)
            for key, flow in self._flow_by_key.items()
            if flow.is_open and flow.ended_at is None
        ]
        self._flow_by_key.clear()
        self._question_by_token.clear()
        self._work.clear()
        return found

    def _forget(self, now: float) -> None:
        for key, flow in list(self._flow_by_key.items()):
            is_closed = flow.ended_at is not None and (
                now - flow.ended_at > CLOSED_SECONDS
            )
            is_abandoned = not flow.is_open and now - flow.used_at > HALF_OPEN_SECONDS
            if is_closed or is_abandoned or now - flow.used_at > IDLE_SECONDS:
                self._drop(key)
        for entry, heard_at in list(self._heard_by_entry.items()):
            if now - heard_at > ENTRY_SECONDS:
                self._heard_by_entry.pop(entry)


def _is_open_here(flow: relay_flows.Flow | None) -> bool:
    """Tell whether the client has a flow open at this agent's server."""
    return flow is not None and flow.is_open and not flow.is_provisional


def _belongs(flow: relay_flows.Flow, packet: packets.Packet) -> bool:
    """Tell whether a packet is one of this flow and not of its twin elsewhere."""
    if flow.is_open or packet.is_first:
        return True
    if flow.server_sequence is None:
        return False
    return packets.acknowledges_first_packet(packet.acknowledged, flow.server_sequence)


def _is_wanted(flow: relay_flows.Flow, question: relaying.Question) -> bool:
    """Tell whether a flow is the one that an entry searches."""
    if flow.is_provisional:
        return False
    if flow.is_open or flow.server_sequence is None:
        return True
    return packets.acknowledges_first_packet(
        question.acknowledged, flow.server_sequence
    )


def _held(
    flow: relay_flows.Flow,
    token: int,
    key: bytes,
    status: relaying.Status,
) -> relaying.Held:
    """Return the answer to whoever offered or searched a flow that is held here."""
    return relaying.Held(token, key, flow.server_sequence or 0, status)


def _denial(question: relay_flows.Question, status: relaying.Status) -> effects.Send:
    """Return the answer to whoever asked about a flow that the server denies."""
    answer: relaying.Message
    if question.is_first:
        answer = relaying.Passed(question.token, relaying.Reason.REFUSED, status)
    elif question.token:
        answer = relaying.NotHeld([question.token], status)
    else:
        answer = relaying.Returned(question.packet, status)
    return effects.Send(question.entry, answer)


def _is_copy(flow: relay_flows.Flow, packet: packets.Packet) -> bool:
    """Tell whether a first packet is a late copy of the one of an open flow."""
    if not _is_open_here(flow) or flow.ended_at is not None:
        return False
    return flow.first_sequence is None or flow.first_sequence == packet.sequence
