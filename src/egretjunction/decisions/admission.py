"""Decides which new flows an agent takes and where it passes the others on."""

from egretjunction import addresses
from egretjunction import errors
from egretjunction.decisions import placement
from egretjunction.wire import packets

RESERVATION_SECONDS = 1.0
PASSED_PACKET_TTL_SECONDS = 3.0
ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 0.06
SKIP_SECONDS = 5.0
MAX_UNACKNOWLEDGED = 4096


class Take:
    """Accept the flow at this agent."""

    __slots__ = ()


class Refuse:
    """Refuse the flow, because no candidate can take it; nothing was run."""

    __slots__ = ()


class PassOn:
    """Send the first packet to another agent.

    :param address: the next agent.
    :param option: placement option to send with the packet.
    """

    __slots__ = ('address', 'option')

    def __init__(
        self,
        address: addresses.Address,
        option: packets.Placement,
    ) -> None:
        self.address = address
        self.option = option


Outcome = Take | Refuse | PassOn


class Admission:
    """Decides on first packets; a retransmitted one gets the same outcome.

    A flow that was taken reserves a slot until its first request arrives or
    ``RESERVATION_SECONDS`` have passed, so that a burst of new flows spreads
    over the agents. An agent acknowledges each packet that is passed to it; an
    agent that does not is skipped for ``SKIP_SECONDS``.

    :param address: data address of this agent.
    """

    __slots__ = (
        '_address',
        '_passed_by_key',
        '_reserved_at_by_flow',
        '_skipped_until_by_address',
        '_unacknowledged',
    )

    def __init__(self, address: addresses.Address) -> None:
        self._address = address
        self._reserved_at_by_flow: dict[object, float] = {}
        self._passed_by_key: dict[tuple, tuple[float, PassOn]] = {}
        self._skipped_until_by_address: dict[addresses.Address, float] = {}
        self._unacknowledged: dict[tuple[bytes, addresses.Address], None] = {}

    def count_reserved(self, now: float) -> int:
        """Return the number of accepted flows that hold a reserved slot."""
        for flow, reserved_at in list(self._reserved_at_by_flow.items()):
            if now - reserved_at >= RESERVATION_SECONDS:
                self._reserved_at_by_flow.pop(flow)
        return len(self._reserved_at_by_flow)

    def reserve(self, flow: object, now: float) -> None:
        """Reserve a slot for the first request of a flow."""
        self._reserved_at_by_flow[flow] = now

    def release(self, flow: object) -> None:
        """Release the slot of a flow that sent its first request or has ended."""
        self._reserved_at_by_flow.pop(flow, None)

    def decide(
        self,
        connection_id: bytes,
        option: packets.Placement,
        own_load: placement.OwnLoad,
        now: float,
    ) -> Outcome:
        """Decide on one first packet.

        :param connection_id: the connection ID that the caller chose.
        :param option: the candidates and the state of the search so far.
        :param own_load: load of this agent's backend server.
        :param now: time in seconds.
        :raises errors.PacketError: when this agent is not among the candidates.
        """
        key = (connection_id, option.tried, option.candidates)
        self._expire_passed(now)
        earlier = self._passed_by_key.get(key)
        if earlier is not None:
            return earlier[1]
        search = placement.SearchState(
            option.tried | self._skipped_candidates(option, now),
            option.best_index,
            option.best_load,
        )
        decision = placement.decide(
            own_load,
            _index_of(self._address, option),
            [candidate.domain for candidate in option.candidates],
            search,
        )
        outcome = self._outcome(connection_id, option, decision)
        if isinstance(outcome, PassOn):
            self._passed_by_key[key] = (now, outcome)
        return outcome

    def acknowledged(self, connection_id: bytes, address: addresses.Address) -> None:
        """Record that another agent has received a packet that was passed to it."""
        self._unacknowledged.pop((connection_id, address), None)
        self._skipped_until_by_address.pop(address, None)

    def timed_out(
        self,
        connection_id: bytes,
        passed: PassOn,
        own_load: placement.OwnLoad,
        now: float,
    ) -> Outcome | None:
        """Decide again when a passed packet was not acknowledged in time.

        :param connection_id: the connection ID that the caller chose.
        :param passed: the earlier outcome.
        :param own_load: load of this agent's backend server.
        :param now: time in seconds.
        :return: the new outcome, or None when the packet was acknowledged
            meanwhile.
        """
        if (connection_id, passed.address) not in self._unacknowledged:
            return None
        self._unacknowledged.pop((connection_id, passed.address))
        self._skipped_until_by_address[passed.address] = now + SKIP_SECONDS
        option = passed.option
        own_index = _index_of(self._address, option)
        unresponsive_index = _index_of(passed.address, option)
        search = placement.SearchState(
            option.tried
            | 1 << unresponsive_index
            | self._skipped_candidates(option, now),
            option.best_index,
            option.best_load,
        )
        if search.best_index == unresponsive_index:
            search.best_index = own_index
            search.best_load = own_load.level()
        domains = [candidate.domain for candidate in option.candidates]
        decision = placement.next_hop(own_index, domains, search)
        return self._outcome(connection_id, option, decision)

    def _outcome(
        self,
        connection_id: bytes,
        option: packets.Placement,
        decision: placement.Decision,
    ) -> Outcome:
        if decision.action is placement.Action.TAKE:
            return Take()
        if decision.action is placement.Action.REFUSE or decision.search is None:
            return Refuse()
        passed = PassOn(
            option.candidates[decision.next_index].address,
            packets.Placement(
                decision.search.tried,
                decision.search.best_index,
                decision.search.best_load,
                option.entry,
                option.candidates,
            ),
        )
        self._unacknowledged[connection_id, passed.address] = None
        if len(self._unacknowledged) > MAX_UNACKNOWLEDGED:
            self._unacknowledged.pop(next(iter(self._unacknowledged)))
        return passed

    def _skipped_candidates(self, option: packets.Placement, now: float) -> int:
        """Return a bit mask of the candidates that are skipped at present."""
        bits = 0
        for index, candidate in enumerate(option.candidates):
            if self._skipped_until_by_address.get(candidate.address, 0) > now:
                bits |= 1 << index
        return bits

    def _expire_passed(self, now: float) -> None:
        """Drop outcomes that are too old for a retransmitted packet."""
        while self._passed_by_key:
            key = next(iter(self._passed_by_key))
            if now - self._passed_by_key[key][0] < PASSED_PACKET_TTL_SECONDS:
                return
            self._passed_by_key.pop(key)


def _index_of(address: addresses.Address, option: packets.Placement) -> int:
    for index, candidate in enumerate(option.candidates):
        if candidate.address == address:
            return index
    raise errors.PacketError('first packet does not list this agent as a candidate')
