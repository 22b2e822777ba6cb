"""Datagrams of an agent: deliver to flows, accept new flows or pass them on."""

import os
import time
import typing

from tornado import ioloop

from egretjunction import addresses
from egretjunction import errors
from egretjunction import metrics
from egretjunction import settings
from egretjunction.decisions import admission
from egretjunction.decisions import answers
from egretjunction.decisions import dispatch
from egretjunction.decisions import document
from egretjunction.decisions import health
from egretjunction.decisions import ownership
from egretjunction.decisions import placement
from egretjunction.quic import connections
from egretjunction.quic import drops
from egretjunction.quic import flow_table
from egretjunction.quic import server_flow
from egretjunction.wire import packets

RESET_RANDOM_BYTES = 21

Transmit = typing.Callable[[bytes, tuple[str, int]], None]


class AgentState:
    """Accessors for agent state that the handling of datagrams depends on.

    :param service: returns the section of the agent's service, or None.
    :param entries: returns data addresses of live entries.
    :param is_serving: returns whether the agent accepts new flows; false while its
        failure domain is evacuated.
    """

    __slots__ = ('entries', 'is_serving', 'service')

    def __init__(
        self,
        service: typing.Callable[[], document.Service | None],
        entries: typing.Callable[[], list[addresses.Address]],
        is_serving: typing.Callable[[], bool],
    ) -> None:
        self.service = service
        self.entries = entries
        self.is_serving = is_serving


class DatagramHandler:
    """Receives and sends the datagrams of one agent.

    :param agent_settings: validated settings.
    :param key: the secret that entries and agents share.
    :param flows: the flows of this agent.
    :param dispatcher: reports how many requests the backend server runs or queues.
    :param backend_health: decides whether the backend server may take new flows.
    :param process_metrics: counts packets and flows.
    :param agent_state: accessors for the state of the agent.
    """

    def __init__(
        self,
        agent_settings: settings.Agent,
        key: bytes,
        flows: flow_table.FlowTable,
        dispatcher: dispatch.Dispatcher,
        backend_health: health.Health,
        process_metrics: metrics.Metrics,
        agent_state: AgentState,
    ) -> None:
        self._key = key
        self._slots = agent_settings.slots
        self._max_connections = agent_settings.max_connections
        self._flows = flows
        self._dispatcher = dispatcher
        self._health = backend_health
        self._metrics = process_metrics
        self._agent_state = agent_state
        self._clock = time.monotonic
        self._admission = admission.Admission(agent_settings.data)
        self._return_paths = answers.ReturnPaths()
        self._drops = drops.DropCounter(process_metrics)
        self.handlers: server_flow.Handlers | None = None
        self.transmit: Transmit | None = None

    def release(self, flow: server_flow.Flow) -> None:
        """Release the slot reserved for a flow when its first request arrives."""
        self._admission.release(flow)

    def _transmit(self, datagram: bytes, target: tuple[str, int]) -> None:
        if self.transmit is not None:
            self.transmit(datagram, target)

    def receive(self, datagram: bytes, sender: tuple[str, int]) -> None:
        """Handle one datagram from an entry or another agent."""
        now = self._clock()
        acknowledged = packets.decode_acknowledgement(datagram)
        if acknowledged is not None:
            self._admission.acknowledged(acknowledged, addresses.Address(*sender))
            return
        try:
            envelope = packets.decode(datagram)
            fields = packets.read_quic_fields(envelope.payload)
        except errors.PacketError as error:
            self._drops.record('malformed', sender, str(error))
            return
        placement_option = envelope.placement
        if placement_option is None:
            self._drops.record('without_placement', sender, '')
            return
        self._return_paths.mark_seen(placement_option.entry, now)
        flow = self._flows.find(fields.connection_id)
        if flow is not None:
            self._deliver(flow, envelope, placement_option, now)
        elif self._flows.is_issued_by_service(fields.connection_id):
            self._reset_ended_flow(envelope, fields, placement_option)
        elif fields.is_long and placement_option.candidates:
            self._acknowledge(fields, placement_option, sender)
            self._on_first_packet(envelope, fields, placement_option, now)
        else:
            self._drops.record('unknown_flow', sender, fields.connection_id.hex())

    def _acknowledge(
        self,
        fields: packets.QuicFields,
        placement_option: packets.Placement,
        sender: tuple[str, int],
    ) -> None:
        """Acknowledge a first packet to the agent that passed it on."""
        if placement_option.tried:
            datagram = packets.encode_acknowledgement(fields.connection_id)
            self._transmit(datagram, sender)

    def _deliver(
        self,
        flow: server_flow.Flow,
        envelope: packets.Envelope,
        placement_option: packets.Placement,
        now: float,
    ) -> None:
        """Deliver a packet to its flow, or drop it if it addresses another service."""
        if envelope.destination != flow.service_address:
            self._drop_wrong_service(envelope)
            return
        flow.entry = placement_option.entry
        flow.last_received_at = now
        flow.datagram_received(envelope.payload, envelope.source)

    def _drop_wrong_service(self, envelope: packets.Envelope) -> None:
        destination = str(envelope.destination)
        self._drops.record('wrong_service', envelope.source, destination)

    def _reset_ended_flow(
        self,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
        placement_option: packets.Placement,
    ) -> None:
        """Answer a packet of an unknown flow of this service with a stateless reset.

        The flow has ended, or belonged to an earlier process at this address. A
        reset answers only a larger packet, so that two endpoints cannot reset each
        other in a loop (RFC 9000, section 10.3.3).
        """
        if fields.is_long or len(envelope.payload) <= RESET_RANDOM_BYTES * 2:
            self._metrics.count('packets_dropped_ended_flow')
            return
        token = ownership.reset_token(self._key, fields.connection_id)
        packet = connections.stateless_reset_packet(
            token, os.urandom(RESET_RANDOM_BYTES)
        )
        self._metrics.count('flows_reset')
        self._reply_to_caller(envelope, packet, placement_option.entry)

    def _on_first_packet(
        self,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
        placement_option: packets.Placement,
        now: float,
    ) -> None:
        service = self._agent_state.service()
        if service is None or envelope.destination != service.address:
            self._drop_wrong_service(envelope)
            return
        try:
            decision = self._admission.decide(
                fields.connection_id,
                placement_option,
                self._own_load(now),
                now,
            )
        except errors.PacketError as error:
            self._drops.record('malformed', envelope.source, str(error))
            return
        self._apply_decision(decision, envelope, fields, now)

    def _apply_decision(
        self,
        decision: admission.Outcome,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
        now: float,
    ) -> None:
        placement_option = typing.cast('packets.Placement', envelope.placement)
        if isinstance(decision, admission.PassOn):
            self._pass_on(decision, envelope, fields)
        elif isinstance(decision, admission.Refuse):
            self._refuse(envelope, placement_option)
        else:
            self._accept(envelope, fields, placement_option, now)

    def _pass_on(
        self,
        decision: admission.PassOn,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
    ) -> None:
        """Pass a first packet to another agent and check for its acknowledgement."""
        self._metrics.count('first_packets_passed_on')
        envelope.placement = decision.option
        self._transmit(packets.encode(envelope), decision.address)
        ioloop.IOLoop.current().call_later(
            admission.ACKNOWLEDGEMENT_TIMEOUT_SECONDS,
            self._check_acknowledged,
            decision,
            envelope,
            fields,
        )

    def _check_acknowledged(
        self,
        earlier_decision: admission.PassOn,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
    ) -> None:
        now = self._clock()
        decision = self._admission.timed_out(
            fields.connection_id,
            earlier_decision,
            self._own_load(now),
            now,
        )
        if decision is not None:
            self._metrics.count('first_packets_unanswered')
            self._apply_decision(decision, envelope, fields, now)

    def _own_load(self, now: float) -> placement.OwnLoad:
        has_room = len(self._flows) < self._max_connections
        return placement.OwnLoad(
            self._slots,
            self._dispatcher.outstanding,
            self._admission.count_reserved(now),
            is_open=has_room and self._agent_state.is_serving(),
            is_fit=self._health.may_take_flows(now),
        )

    def _refuse(
        self, envelope: packets.Envelope, placement_option: packets.Placement
    ) -> None:
        self._metrics.count('flows_refused')
        try:
            packet = connections.refusal_packet(envelope.payload)
        except ValueError as error:
            self._drops.record('malformed', envelope.source, str(error))
            return
        self._reply_to_caller(envelope, packet, placement_option.entry)

    def _accept(
        self,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
        placement_option: packets.Placement,
        now: float,
    ) -> None:
        try:
            negotiation = connections.version_negotiation_packet(envelope.payload)
        except ValueError as error:
            self._drops.record('malformed', envelope.source, str(error))
            return
        if negotiation is None:
            self._open_flow(envelope, fields, placement_option, now)
        else:
            self._reply_to_caller(envelope, negotiation, placement_option.entry)

    def _open_flow(
        self,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
        placement_option: packets.Placement,
        now: float,
    ) -> None:
        flow = self._flows.open(
            fields.connection_id,
            envelope.destination,
            typing.cast('server_flow.Handlers', self.handlers),
        )
        self._admission.reserve(flow, now)
        self._metrics.count('flows_taken')
        self._deliver(flow, envelope, placement_option, now)

    def forget_flow(self, flow: server_flow.Flow) -> None:
        """Remove a flow whose connection has ended."""
        self._admission.release(flow)
        self._flows.remove(flow)

    def send(
        self, flow: server_flow.Flow, payload: bytes, caller: tuple[str, int]
    ) -> None:
        """Send a datagram of a flow to its caller through live entries."""
        entries = self._return_paths.choose(
            flow.entry,
            flow.last_received_at,
            self._agent_state.entries(),
            self._clock(),
        )
        if not entries:
            self._metrics.count('answers_without_entry')
            return
        envelope = packets.Envelope(
            flow.service_address,
            addresses.Address(caller[0], caller[1]),
            payload,
        )
        datagram = packets.encode(envelope)
        for entry in entries:
            self._transmit(datagram, entry)

    def _reply_to_caller(
        self,
        envelope: packets.Envelope,
        payload: bytes,
        entry: addresses.Address,
    ) -> None:
        """Send one datagram to a caller that has no flow at this agent."""
        reply = packets.Envelope(envelope.destination, envelope.source, payload)
        self._transmit(packets.encode(reply), entry)
