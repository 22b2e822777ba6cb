"""What an agent does with datagrams: feed flows, take new ones or pass them on."""

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

RESET_FILLER_BYTES = 21

Transmit = typing.Callable[[bytes, tuple[str, int]], None]


class Outlook:
    """What the rest of the agent knows that decides about datagrams.

    :param service: returns the section of the agent's service, or None.
    :param entries: returns data addresses of live entries.
    :param is_serving: tells whether new flows are welcome.
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


class Arrivals:
    """The datagram side of one agent.

    :param given: checked settings.
    :param key: the secret that entries and agents share.
    :param flows: the flows of this agent.
    :param dispatcher: knows how busy the backend server is.
    :param fitness: knows how well it does.
    :param figures: where packets are counted.
    :param outlook: what the rest of the agent knows.
    """

    def __init__(
        self,
        given: settings.Agent,
        key: bytes,
        flows: flow_table.FlowTable,
        dispatcher: dispatch.Dispatcher,
        fitness: health.Health,
        figures: metrics.Metrics,
        outlook: Outlook,
    ) -> None:
        self._key = key
        self._slots = given.slots
        self._max_connections = given.max_connections
        self._flows = flows
        self._dispatcher = dispatcher
        self._health = fitness
        self._figures = figures
        self._outlook = outlook
        self._clock = time.monotonic
        self._admission = admission.Admission(given.data)
        self._answers = answers.ReturnPaths()
        self._drops = drops.Drops(figures)
        self.handlers: server_flow.Handlers | None = None
        self.transmit: Transmit | None = None

    def release(self, flow: server_flow.Flow) -> None:
        """Note that the first request of a flow has come."""
        self._admission.release(flow)

    def _transmit(self, datagram: bytes, target: tuple[str, int]) -> None:
        if self.transmit is not None:
            self.transmit(datagram, target)

    def receive(self, datagram: bytes, sender: tuple[str, int]) -> None:
        """Take in one datagram of an entry or of another agent."""
        now = self._clock()
        acknowledged = packets.acknowledged_id(datagram)
        if acknowledged is not None:
            self._admission.acknowledged(acknowledged, addresses.Address(*sender))
            return
        try:
            envelope = packets.decode(datagram)
            fields = packets.read_quic_fields(envelope.payload)
        except errors.PacketError as error:
            self._drops.note('malformed', sender, str(error))
            return
        option = envelope.placement
        if option is None:
            self._drops.note('without_placement', sender, '')
            return
        self._answers.mark_seen(option.entry, now)
        flow = self._flows.find(fields.connection_id)
        if flow is not None:
            self._feed(flow, envelope, option, now)
        elif self._flows.is_ours(fields.connection_id):
            self._reset(envelope, fields, option)
        elif fields.is_long and option.candidates:
            self._acknowledge(fields, option, sender)
            self._on_first(envelope, fields, option, now)
        else:
            self._drops.note('unknown_flow', sender, fields.connection_id.hex())

    def _acknowledge(
        self,
        fields: packets.QuicFields,
        option: packets.Placement,
        sender: tuple[str, int],
    ) -> None:
        """Tell an agent that passed a first packet on that it has arrived."""
        if option.tried:
            datagram = packets.encode_acknowledgement(fields.connection_id)
            self._transmit(datagram, sender)

    def _feed(
        self,
        flow: server_flow.Flow,
        envelope: packets.Envelope,
        option: packets.Placement,
        now: float,
    ) -> None:
        """Hand a packet to its flow, if it came to the flow's own service."""
        if envelope.destination != flow.service_address:
            self._note_wrong_service(envelope)
            return
        flow.entry = option.entry
        flow.heard_at = now
        flow.datagram_received(envelope.payload, envelope.source)

    def _note_wrong_service(self, envelope: packets.Envelope) -> None:
        destination = str(envelope.destination)
        self._drops.note('wrong_service', envelope.source, destination)

    def _reset(
        self,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
        option: packets.Placement,
    ) -> None:
        """End a flow of an earlier process at this address, or one that is over."""
        if fields.is_long or len(envelope.payload) <= RESET_FILLER_BYTES * 2:
            self._figures.count('packets_dropped_ended_flow')
            return
        token = ownership.reset_token(self._key, fields.connection_id)
        packet = connections.stateless_reset(token, os.urandom(RESET_FILLER_BYTES))
        self._figures.count('flows_reset')
        self._answer(envelope, packet, option.entry)

    def _on_first(
        self,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
        option: packets.Placement,
        now: float,
    ) -> None:
        service = self._outlook.service()
        if service is None or envelope.destination != service.address:
            self._note_wrong_service(envelope)
            return
        try:
            decision = self._admission.decide(
                fields.connection_id,
                option,
                self._own_load(now),
                now,
            )
        except errors.PacketError as error:
            self._drops.note('malformed', envelope.source, str(error))
            return
        self._carry_out(decision, envelope, fields, now)

    def _carry_out(
        self,
        decision: admission.Outcome,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
        now: float,
    ) -> None:
        option = typing.cast('packets.Placement', envelope.placement)
        if isinstance(decision, admission.PassOn):
            self._pass_on(decision, envelope, fields)
        elif isinstance(decision, admission.Refuse):
            self._refuse(envelope, option)
        else:
            self._take(envelope, fields, option, now)

    def _pass_on(
        self,
        decision: admission.PassOn,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
    ) -> None:
        """Send a first packet on, and look later whether it has arrived."""
        self._figures.count('first_packets_passed_on')
        envelope.placement = decision.option
        self._transmit(packets.encode(envelope), decision.address)
        ioloop.IOLoop.current().call_later(
            admission.ACKNOWLEDGEMENT_TIMEOUT_SECONDS,
            self._check_passed,
            decision,
            envelope,
            fields,
        )

    def _check_passed(
        self,
        passed: admission.PassOn,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
    ) -> None:
        now = self._clock()
        decision = self._admission.timed_out(
            fields.connection_id,
            passed,
            self._own_load(now),
            now,
        )
        if decision is not None:
            self._figures.count('first_packets_unanswered')
            self._carry_out(decision, envelope, fields, now)

    def _own_load(self, now: float) -> placement.OwnLoad:
        has_room = len(self._flows) < self._max_connections
        return placement.OwnLoad(
            self._slots,
            self._dispatcher.outstanding,
            self._admission.count_reserved(now),
            is_open=has_room and self._outlook.is_serving(),
            is_fit=self._health.may_take_flows(now),
        )

    def _refuse(self, envelope: packets.Envelope, option: packets.Placement) -> None:
        self._figures.count('flows_refused')
        try:
            packet = connections.refusal(envelope.payload)
        except ValueError as error:
            self._drops.note('malformed', envelope.source, str(error))
            return
        self._answer(envelope, packet, option.entry)

    def _take(
        self,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
        option: packets.Placement,
        now: float,
    ) -> None:
        try:
            negotiation = connections.version_negotiation(envelope.payload)
        except ValueError as error:
            self._drops.note('malformed', envelope.source, str(error))
            return
        if negotiation is None:
            self._open(envelope, fields, option, now)
        else:
            self._answer(envelope, negotiation, option.entry)

    def _open(
        self,
        envelope: packets.Envelope,
        fields: packets.QuicFields,
        option: packets.Placement,
        now: float,
    ) -> None:
        flow = self._flows.open(
            fields.connection_id,
            envelope.destination,
            typing.cast('server_flow.Handlers', self.handlers),
        )
        self._admission.reserve(flow, now)
        self._figures.count('flows_taken')
        self._feed(flow, envelope, option, now)

    def forget(self, flow: server_flow.Flow) -> None:
        """Drop a flow whose connection has ended."""
        self._admission.release(flow)
        self._flows.remove(flow)

    def send(
        self, flow: server_flow.Flow, payload: bytes, caller: tuple[str, int]
    ) -> None:
        """Send a datagram of a flow to its caller through live entries."""
        entries = self._answers.choose(
            flow.entry,
            flow.heard_at,
            self._outlook.entries(),
            self._clock(),
        )
        if not entries:
            self._figures.count('answers_without_entry')
            return
        envelope = packets.Envelope(
            flow.service_address,
            addresses.Address(caller[0], caller[1]),
            payload,
        )
        datagram = packets.encode(envelope)
        for entry in entries:
            self._transmit(datagram, entry)

    def _answer(
        self,
        envelope: packets.Envelope,
        payload: bytes,
        entry: addresses.Address,
    ) -> None:
        """Send one datagram back to a caller that has no flow here."""
        answer = packets.Envelope(envelope.destination, envelope.source, payload)
        self._transmit(packets.encode(answer), entry)
