"""Decisions of an agent about flows: which to accept, decline, deliver or reset."""

import math
import typing

from egretjunction import addresses
from egretjunction.decisions import relay_announcing
from egretjunction.decisions import relay_cold
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_evacuation
from egretjunction.decisions import relay_flows
from egretjunction.decisions import relay_heartbeats
from egretjunction.decisions import relay_probes
from egretjunction.decisions import relay_server
from egretjunction.decisions import relay_work
from egretjunction.decisions.load import backlog
from egretjunction.decisions.load import reports
from egretjunction.relay import packets
from egretjunction.wire import relaying

CLOSED_FLOW_SECONDS = 3.0  # keeps the record of a closed flow for its late packets
ENTRY_EXPIRY_SECONDS = 10.0  # silent entries then get no more status messages
MAX_FLOWS = 20_000


class AgentFlows:
    """Decides how one agent handles each packet and message.

    ``version`` is the highest configuration version that an entry has reported.

    :param server: state of the backend server.
    :param codec: reads packets that entries forward.
    :param max_flow_seconds: age from which a flow may be dropped.
    :param announcer: makes the agent known to entries.
    :param cold_limit: bounds first packets while the server is cold; None for no limit.
    :param process: random number that tells this process from others of the agent.
    """

    def __init__(
        self,
        server: relay_server.Server,
        codec: packets.Codec,
        max_flow_seconds: float,
        announcer: relay_announcing.Announcer,
        cold_limit: relay_cold.ColdLimit | None = None,
        process: int = 0,
    ) -> None:
        self.process = process
        self.cold_limit = cold_limit or relay_cold.ColdLimit(server.is_cold)
        self._announcer = announcer
        self._max_flow_seconds = max_flow_seconds
        self.server = server
        self.is_shutting_down = False
        self.version = 0
        self._codec = codec
        self._service_tag = relaying.compute_service_tag(server.service)
        self._flow_by_key: dict[bytes, relay_flows.Flow] = {}
        self._probes = relay_probes.Probes(server)
        self._last_heard_by_entry: dict[addresses.Address, float] = {}
        self._backlog = backlog.Backlog(codec.destination_of, server.slots)
        self._reports = reports.Reports()
        self._requests = relay_work.RequestTracker(
            codec.segment_bytes, max_flow_seconds, self._backlog
        )
        self._waiting_entries: set[addresses.Address] = set()
        self.own_domain = relay_evacuation.OwnDomain(announcer.domain)
        self._reported_state = relaying.State.STARTING
        self._reported_knowledge = False
        self._handler_by_type: dict[type, typing.Any] = {
            relaying.Deliver: self._on_deliver,
            relaying.Offer: self._on_offer,
            relaying.Find: self._on_find,
            relaying.Ask: self._on_ask,
            relaying.Ping: self._on_ping,
        }

    def active_requests(self, now: float) -> int:
        """Return the number of active requests."""
        return self._requests.active_requests(now)

    @property
    def flow_count(self) -> int:
        """Return the number of flows that this agent has a record of."""
        return len(self._flow_by_key)

    def on_message(
        self,
        message: typing.Any,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a message from an entry."""
        handler = self._handler_by_type.get(type(message))
        if handler is None:
            return [effects.Log('message_unexpected', kind=type(message).__name__)]
        self._last_heard_by_entry[entry] = now
        self._announcer.confirm(entry)
        return handler(message, entry, now)

    def on_server_packet(
        self,
        packet: packets.Packet,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a packet that the backend server sent or bounced."""
        self.server.record_answer(now)
        if packet.is_bounced:
            return self._on_bounced(packet, now)
        flow = self._flow_by_key.get(packet.key)
        if packet.is_reset and not _is_open_at_server(flow):
            return self._on_reset_of_unopened_flow(packet.key, now)
        emitted: list[effects.Effect] = [effects.ToClient(packet.key, packet.raw)]
        if packet.is_accept:
            return emitted + self._on_accepted(packet, flow, now)
        if flow is None and self.server.is_known_since_start:
            return emitted
        if flow is None:
            flow = _existing_flow(now)
            self._flow_by_key[packet.key] = flow
        flow.used_at = now
        if flow.is_provisional:
            emitted += self._accept_provisional(packet.key, flow, now)
        flow.is_server_confirmed = True
        if packet.data_bytes:
            self._requests.record_answer(packet, now)
        if packet.is_reset and flow.ended_at is None:
            self._backlog.reset(packet.key, now)
        self._note_end(packet, flow, relay_flows.Direction.TO_CLIENT, now)
        return emitted + self._notify_waiting_entries(now)

    def _on_accepted(
        self,
        packet: packets.Packet,
        flow: relay_flows.Flow | None,
        now: float,
    ) -> list[effects.Effect]:
        """Notify the entry that the server accepted the flow that it offered."""
        is_offered = flow is not None and not flow.is_provisional
        if flow is None or not is_offered or flow.server_sequence is not None:
            return []
        flow.used_at = now
        flow.server_sequence = packet.sequence
        if flow.entry is None:
            return []
        status = self.status(now)
        held = relaying.Held(flow.token, packet.key, packet.sequence, status)
        event = effects.Log(
            'flow_taken',
            flow=packet.key.hex(),
            server=self.server.name,
            work=status.work,
            ms=effects.milliseconds(now - flow.opened_at),
        )
        return [effects.Send(flow.entry, held), event]

    def on_heartbeat(
        self,
        heartbeat: relay_heartbeats.Heartbeat,
        now: float,
        age_seconds: float = math.inf,
    ) -> list[effects.Effect]:
        """Handle a heartbeat from the backend server.

        :param heartbeat: the heartbeat.
        :param now: the time in seconds.
        :param age_seconds: time since the server's start by the time of day.
        """
        change = self.server.record_heartbeat(heartbeat, now, age_seconds)
        if change is relay_heartbeats.Change.STALE:
            return [
                effects.Log(
                    'heartbeat_stale', server=heartbeat.name, born=heartbeat.born
                )
            ]
        if change is relay_heartbeats.Change.REJECTED:
            return [
                effects.Log(
                    'heartbeat_rejected',
                    server=heartbeat.name,
                    service=heartbeat.service,
                    address=str(heartbeat.address),
                    born=heartbeat.born,
                    followed=self.server.name,
                    draining=self.server.succession.is_draining,
                )
            ]
        return self._on_server_change(change, now)

    def _on_server_change(
        self,
        change: relay_heartbeats.Change,
        now: float,
    ) -> list[effects.Effect]:
        """Apply what the latest heartbeat of the followed incarnation has changed."""
        heartbeat = self.server.heartbeat
        emitted: list[effects.Effect] = []
        if change is relay_heartbeats.Change.RESTARTED:
            emitted += self._discard_all(
                'server_restarted', now, until=self.server.succession.followed_since
            )
        self._backlog.configure(self.server.slots, self.server.cold_ms(now), now)
        if heartbeat is not None and change is not relay_heartbeats.Change.NOTHING:
            emitted.append(
                effects.Log(
                    'server_changed',
                    server=heartbeat.name,
                    born=heartbeat.born,
                    sequence=heartbeat.sequence,
                    change=change.value,
                    draining=heartbeat.is_draining,
                    cold_ms=heartbeat.cold_ms,
                    known_since_start=self.server.is_known_since_start,
                ),
            )
            emitted += self.broadcast_status(now)
        return emitted

    def on_leave(self, name: str, now: float) -> list[effects.Effect]:
        """Handle the announcement that the backend server ends."""
        if not self.server.record_leave(name):
            return [effects.Log('leave_stale', server=name)]
        emitted: list[effects.Effect] = [effects.Log('server_left', server=name)]
        return emitted + self.broadcast_status(now)

    def begin_shutdown(self, now: float) -> list[effects.Effect]:
        """Accept no more flows, because the process is about to end."""
        self.is_shutting_down = True
        return self.broadcast_status(now)

    def tick(self, now: float, pause_seconds: float = 0) -> list[effects.Effect]:
        """Run all timers that are due.

        :param now: the time in seconds.
        :param pause_seconds: how long this process was paused since the last call;
            answers of the server may still be unread.
        """
        emitted: list[effects.Effect] = []
        self._backlog.tick(now)
        if self._reports.is_possible(now):
            emitted += self._reports.pop_due(self.status(now), self.server.name, now)
        self.server.discount_pause(pause_seconds)
        self._probes.discount_pause(pause_seconds)
        is_lost = self.server.check_lost(now)
        emitted += self._probes.repeat_early(self._flow_by_key, now)
        emitted += [
            effect
            for probe in self._probes.pop_decided(now)
            for effect in self._on_probe_expired(probe, now)
        ]
        if is_lost and self._flow_by_key:
            emitted.append(effects.Log('server_lost', server=self.server.name))
            emitted += self._discard_all('server_lost', now)
        self._remove_expired(now)
        for entry in self._announcer.pop_due(now):
            announcement = self._announcer.announcement(
                self.server.service, self.status(now)
            )
            emitted.append(effects.Send(entry, announcement))
        emitted += self._notify_waiting_entries(now)
        has_changed = self.state(now) != self._reported_state
        has_learned = self.server.knows_all_flows(now) != self._reported_knowledge
        if self.cold_limit.pop_reopened(now) or has_changed or has_learned:
            emitted += self.broadcast_status(now)
        return emitted

    def state(self, now: float) -> relaying.State:
        """Return the state that is reported to entries."""
        if self.is_shutting_down:
            return relaying.State.GONE
        return self.server.state(now)

    def status(self, now: float) -> relaying.Status:
        """Return the status that is sent with every answer."""
        has_server = not self.server.is_gone and not self.server.is_absent(now)
        return relaying.Status(
            self.state(now),
            self._requests.load(now),
            len(self._flow_by_key),
            self.server.slots if has_server else 0,
            self.version,
            self.server.cold_ms(now),
            self.server.knows_all_flows(now),
            self.own_domain.is_evacuated,
            self.cold_limit.openings_left(now),
            wait_ms=self._requests.wait_ms(now),
            request_ms=self._backlog.request_ms,
            failure_percent=self._backlog.outcomes.failure_percent(now),
            server_born=self.server.born,
            process=self.process,
            leaves_flows=leaves_flows(self, now),
        )

    def announce(
        self, entries: typing.Collection[addresses.Address], now: float
    ) -> None:
        """Announce this agent to entries at the next tick, and until they answer.

        :param entries: entries listed by the store, which may not know this agent.
        :param now: the time in seconds.
        """
        for listed_entry in entries:
            self._last_heard_by_entry.setdefault(listed_entry, now)
        self._announcer.add(entries)

    def broadcast_status(self, now: float) -> list[effects.Effect]:
        """Send the status to every entry that was active recently."""
        self._reported_state = self.state(now)
        self._reported_knowledge = self.server.knows_all_flows(now)
        pong = relaying.Pong(self._service_tag, self.status(now))
        return [effects.Send(entry, pong) for entry in self._last_heard_by_entry]

    def _notify_waiting_entries(self, now: float) -> list[effects.Effect]:
        """Notify entries with waiting first packets that there is free capacity."""
        if not self._waiting_entries:
            return []
        has_capacity = self._requests.has_capacity(
            self.server.slots, now, is_final=True
        )
        if not has_capacity or self.cold_limit.openings_left(now) == 0:
            return []
        pong = relaying.Pong(self._service_tag, self.status(now))
        emitted = [effects.Send(entry, pong) for entry in self._waiting_entries]
        self._waiting_entries.clear()
        return list(emitted)

    def _on_offer(
        self,
        offer: relaying.Offer,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        packet = self._codec.from_client(offer.packet)
        flow = self._flow_by_key.get(packet.key)
        if flow is not None and _is_retransmission(flow, packet):
            held = _held_message(flow, offer.token, packet.key, self.status(now))
            answer = effects.Send(entry, held)
            if self.cold_limit.take(now):
                return [effects.ToServer(packet.raw), answer]
            return [answer]
        reason = self._decline_reason(offer, now)
        if reason is not None:
            if reason is relaying.Reason.BUSY:
                self._waiting_entries.add(entry)
            passed = relaying.Passed(offer.token, reason, self.status(now))
            event = effects.Log(
                'flow_passed',
                flow=packet.key.hex(),
                reason=reason.name.lower(),
                work=passed.status.work,
                state=passed.status.state.name.lower(),
                evacuated=passed.status.is_evacuated,
                openings=passed.status.openings_left,
            )
            return [effects.Send(entry, passed), event]
        if flow is None or flow.is_open or flow.ended_at is not None:
            self._remove_flow(packet.key)
            flow = relay_flows.Flow(now)
            self._flow_by_key[packet.key] = flow
        flow.first_sequence = packet.sequence
        flow.entry = entry
        flow.token = offer.token
        timeout_seconds = offer.timeout_ms / effects.MILLISECONDS_PER_SECOND
        self._requests.reserve(packet.key, timeout_seconds, now)
        self.server.record_sent(now)
        self.cold_limit.take(now)
        token = self._probes.add(
            packet, entry, offer.token, now, self._codec.opening.timeout_seconds
        )
        return [effects.ToServer(offer.packet, token)]

    def _decline_reason(
        self,
        offer: relaying.Offer,
        now: float,
    ) -> relaying.Reason | None:
        """Return why an offer is declined, or None if it is accepted."""
        if offer.service_tag != self._service_tag:
            return relaying.Reason.WRONG_SERVICE
        is_ready = self.state(now) == relaying.State.READY
        if self.own_domain.is_evacuated or not is_ready:
            return relaying.Reason.NOT_READY
        if (
            len(self._flow_by_key) >= MAX_FLOWS
            or self.cold_limit.openings_left(now) == 0
        ):
            return relaying.Reason.BUSY
        slots = self.server.slots
        if not self._requests.has_capacity(slots, now, is_final=offer.is_final):
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
        is_opening = packet.is_first and not _is_open_at_server(flow)
        if is_opening and self.own_domain.is_evacuated:
            returned = relaying.Returned(packet.raw, self.status(now))
            return [effects.Send(entry, returned)]
        if packet.is_first and not self.cold_limit.take(now):
            return []
        if flow is None and not self.server.knows_all_flows(now):
            return self._probe_server(packet, entry, 0, now)
        if flow is None or not _matches_packet(flow, packet):
            returned = relaying.Returned(packet.raw, self.status(now))
            return [effects.Send(entry, returned)]
        if flow.is_provisional:
            return self._probe_server(packet, entry, 0, now)
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
            self.server.record_sent(now)
        if flow.ended_at is None:
            self._requests.record_sent(packet, now)
        self._note_end(packet, flow, relay_flows.Direction.TO_SERVER, now)
        return [effects.ToServer(packet.raw)]

    def _on_find(
        self,
        find: relaying.Find,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        status = self.status(now)
        answers: list[relaying.Message] = []
        unheld_tokens: list[int] = []
        for question in find.questions:
            flow = self._flow_by_key.get(question.key)
            if flow is not None and _matches_question(flow, question):
                answers.append(
                    _held_message(flow, question.token, question.key, status)
                )
            else:
                unheld_tokens.append(question.token)
        if unheld_tokens and status.knows_all_flows:
            answers.append(relaying.NotHeld(unheld_tokens, status))
        elif unheld_tokens:
            answers.append(relaying.Unsure(unheld_tokens, status))
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
            if self.server.holds_nothing(now):
                denied = relaying.NotHeld([ask.token], self.status(now))
                return [effects.Send(entry, denied)]
            return self._probe_server(packet, entry, ask.token, now)
        if not _matches_packet(flow, packet):
            denied = relaying.NotHeld([ask.token], self.status(now))
            return [effects.Send(entry, denied)]
        held = _held_message(flow, ask.token, packet.key, self.status(now))
        return [effects.Send(entry, held), *self._deliver(flow, packet, entry, now)]

    def _probe_server(
        self,
        packet: packets.Packet,
        entry: addresses.Address,
        token: int,
        now: float,
    ) -> list[effects.Effect]:
        """Send a packet to the server to learn whether it holds an unknown flow."""
        flow = self._flow_by_key.get(packet.key)
        if flow is None:
            flow = relay_flows.Flow(now)
            flow.is_open = True
            flow.is_provisional = True
            self._flow_by_key[packet.key] = flow
        flow.entry = entry
        flow.token = token or flow.token
        flow.acknowledged = packet.acknowledged
        self._requests.record_sent(packet, now)
        self.server.record_probe(now)
        probe_token = self._probes.add(packet, entry, token, now)
        return [effects.ToServer(packet.raw, probe_token)]

    def _on_ping(
        self,
        ping: relaying.Ping,
        entry: addresses.Address,
        now: float,
    ) -> list[effects.Effect]:
        self.version = max(self.version, ping.version)
        if ping.is_vouched and not ping.is_unlisted:
            self._announcer.record_vouched(now)
        claim = relay_evacuation.Claim(
            ping.is_evacuated, ping.evacuation_era, ping.evacuation_revision
        )
        figure = self.cold_limit.record_figure(ping.cold_per_second, ping.version)
        events: list[effects.Effect] = list(self.own_domain.record(claim, str(entry)))
        if self.server.record_predecessor(ping.older_server_born):
            predecessor_event = effects.Log(
                'server_older_than_agent', server=self.server.name, source=str(entry)
            )
            events.append(predecessor_event)
        if events:
            return [*figure, *events, *self.broadcast_status(now)]
        pong = relaying.Pong(self._service_tag, self.status(now))
        return [*figure, effects.Send(entry, pong)]

    def _on_probe_expired(
        self, probe: relay_flows.Probe, now: float
    ) -> list[effects.Effect]:
        """Handle a probe that the server did not bounce in time.

        Servers bounce packets of unknown flows, so that the silence of a server that
        lives, and lived when it was sent the probe, means that it holds the flow. The
        record of an unanswered first packet is removed.
        """
        flow = self._flow_by_key.get(probe.key)
        if probe.is_first:
            if flow is not None and flow.server_sequence is None:
                self._remove_flow(probe.key)
            return []
        if flow is None or not flow.is_provisional:
            return []
        if self.server.holds_nothing(now):
            self._remove_flow(probe.key)
            return [_denial_message(probe, self.status(now))]
        if not self.server.is_heard_since(
            probe.sent_at + relay_probes.MAX_READING_DELAY_SECONDS
        ):
            return []
        if self.server.is_unresponsive(now):
            return []
        return self._accept_provisional(probe.key, flow, now)

    def _accept_provisional(
        self, key: bytes, flow: relay_flows.Flow, now: float
    ) -> list[effects.Effect]:
        """Record that the server holds a flow that it was probed for."""
        flow.is_provisional = False
        if flow.entry is None or not flow.token:
            return []
        held = relaying.Held(flow.token, key, 0, self.status(now))
        event = effects.Log('flow_adopted', flow=key.hex(), server=self.server.name)
        return [effects.Send(flow.entry, held), event]

    def _on_bounced(
        self,
        packet: packets.Packet,
        now: float,
    ) -> list[effects.Effect]:
        probe = self._probes.pop(packet.token)
        flow = self._flow_by_key.get(packet.key)
        if probe is not None and flow is not None and flow.is_provisional:
            self._remove_flow(packet.key)
        if probe is None:
            return self._on_lost_flow(flow, packet, now)
        if packet.is_first:
            self._remove_flow(packet.key)
        return [_denial_message(probe, self.status(now))]

    def _on_reset_of_unopened_flow(
        self, key: bytes, now: float
    ) -> list[effects.Effect]:
        """Treat a reset of a flow that is not open at the server as a denial.

        The reset is not sent to the client, which may have the flow open at another
        server.
        """
        emitted: list[effects.Effect] = [
            effects.Log('reset_withheld', flow=key.hex(), server=self.server.name),
        ]
        denied = self._probes.pop_where(lambda probe: probe.key == key)
        emitted += [_denial_message(probe, self.status(now)) for probe in denied]
        self._remove_flow(key)
        return emitted

    def _on_lost_flow(
        self,
        flow: relay_flows.Flow | None,
        packet: packets.Packet,
        now: float,
    ) -> list[effects.Effect]:
        """Handle a bounced packet of a flow that the server was thought to hold."""
        if flow is None or flow.ended_at is not None or packet.is_first:
            return []
        self._remove_flow(packet.key)
        if flow.is_server_confirmed or flow.entry is None:
            reset = effects.Reset(packet.key, packet.acknowledged, 'server_lost_flow')
            if not self.server.record_lost_flow(now):
                return [reset]
            restarted = relay_heartbeats.Change.RESTARTED
            return [reset, *self._on_server_change(restarted, now)]
        raw = self._codec.restore_bounced(packet.raw)
        return [effects.Send(flow.entry, relaying.Returned(raw, self.status(now)))]

    def _note_end(
        self,
        packet: packets.Packet,
        flow: relay_flows.Flow,
        direction: relay_flows.Direction,
        now: float,
    ) -> None:
        """Note that a packet, if it is the last of its direction, ends it."""
        if packet.is_reset:
            flow.record_end(relay_flows.Direction, now)
        elif packet.is_last:
            flow.record_end([direction], now)
        else:
            return
        self._requests.finish(packet.key, now)

    def _remove_flow(self, key: bytes) -> None:
        self._flow_by_key.pop(key, None)
        self._requests.remove(key)

    def _discard_all(
        self, reason: str, now: float, *, until: float = math.inf
    ) -> list[effects.Effect]:
        """Reset the flows of a server that has ended, and deny those in question.

        A flow that no packet of the server has confirmed may be one of another server:
        its next packet goes back to the entry, which searches for the owner.

        :param reason: why the flows are reset.
        :param now: the time in seconds.
        :param until: time from which on flows were taken by the server's successor.
        """
        discarded_by_key = {
            key: flow
            for key, flow in self._flow_by_key.items()
            if flow.opened_at < until
        }
        emitted: list[effects.Effect] = [
            effects.Reset(key, flow.acknowledged, reason)
            for key, flow in discarded_by_key.items()
            if flow.is_open and flow.is_proven and flow.ended_at is None
        ]
        status = self.status(now)
        denied = self._probes.pop_where(lambda probe: probe.sent_at < until)
        emitted += [
            _denial_message(probe, status) for probe in denied if not probe.is_first
        ]
        for key in discarded_by_key:
            self._remove_flow(key)
        self._requests.forget_outcomes()
        return emitted

    def _remove_expired(self, now: float) -> None:
        for key, flow in list(self._flow_by_key.items()):
            is_closed = flow.closed_at is not None and (
                now - flow.closed_at > CLOSED_FLOW_SECONDS
            )
            is_abandoned = (
                not flow.is_open
                and now - flow.used_at > self._codec.opening.timeout_seconds
            )
            if is_closed or is_abandoned or now - flow.used_at > self._max_flow_seconds:
                self._remove_flow(key)
        for entry, heard_at in list(self._last_heard_by_entry.items()):
            if now - heard_at > ENTRY_EXPIRY_SECONDS:
                self._last_heard_by_entry.pop(entry)


def leaves_flows(flows: AgentFlows, now: float) -> bool:
    """Tell whether an agent is ending while its server may hold flows.

    A server that sends no heartbeats while its agent runs is taken for one that ended
    without a leave call: its machine may never return, and searches would wait for it.
    """
    may_hold_flows = not (
        flows.server.holds_nothing(now) or flows.server.is_overdue(now)
    )
    return flows.is_shutting_down and may_hold_flows


def can_stop(flows: AgentFlows, now: float) -> bool:
    """Tell whether the process of an agent may end without leaving work behind.

    An agent that has just started stays until it can tell whether its server holds any
    flow: searches wait for its answer.
    """
    if flows.server.is_gone or flows.server.is_absent(now):
        return True
    return not flows.server.is_expected(now) and not flows.active_requests(now)


def _existing_flow(now: float) -> relay_flows.Flow:
    """Return the record of a flow that the server held before this process started."""
    flow = relay_flows.Flow(now)
    flow.is_open = True
    flow.is_server_confirmed = True
    return flow


def _is_open_at_server(flow: relay_flows.Flow | None) -> bool:
    """Tell whether the client has a flow open at this agent's server."""
    return flow is not None and flow.is_open and not flow.is_provisional


def _matches_packet(flow: relay_flows.Flow, packet: packets.Packet) -> bool:
    """Tell whether a packet is for this flow and not for a duplicate elsewhere.

    Two servers can accept the same first packet; the client then opens only one of
    the two flows, and acknowledges the sequence number of that server.
    """
    if flow.is_open or packet.is_first:
        return True
    if flow.server_sequence is None:
        return False
    return packets.acknowledges_first_packet(packet.acknowledged, flow.server_sequence)


def _matches_question(flow: relay_flows.Flow, question: relaying.Question) -> bool:
    """Tell whether a flow is the one that an entry searches for."""
    if flow.is_provisional:
        return False
    if flow.is_open or flow.server_sequence is None:
        return True
    return packets.acknowledges_first_packet(
        question.acknowledged, flow.server_sequence
    )


def _held_message(
    flow: relay_flows.Flow,
    token: int,
    key: bytes,
    status: relaying.Status,
) -> relaying.Held:
    """Return the answer to an offer of, or search for, a flow that is held here."""
    return relaying.Held(token, key, flow.server_sequence or 0, status)


def _denial_message(probe: relay_flows.Probe, status: relaying.Status) -> effects.Send:
    """Return the answer for a probe of a flow that the server does not hold."""
    answer: relaying.Message
    if probe.is_first:
        answer = relaying.Passed(probe.token, relaying.Reason.REFUSED, status)
    elif probe.token:
        answer = relaying.NotHeld([probe.token], status)
    else:
        answer = relaying.Returned(probe.packet, status)
    return effects.Send(probe.entry, answer)


def _is_retransmission(flow: relay_flows.Flow, packet: packets.Packet) -> bool:
    """Tell whether a first packet is a late retransmission for an open flow."""
    if not _is_open_at_server(flow) or flow.ended_at is not None:
        return False
    return flow.first_sequence is None or flow.first_sequence == packet.sequence
