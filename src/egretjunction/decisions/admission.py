"""Which new flows an agent takes, and where it passes the others."""

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
    """Accept the flow here."""

    __slots__ = ()


class Refuse:
    """Nobody can take the flow; tell the caller that nothing was run."""

    __slots__ = ()


class PassOn:
    """Send the first packet to another agent.

    :param address: the next agent.
    :param option: the placement option that the packet carries there.
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
    """Decides on first packets; a repeated one gets the same answer.

    A flow that was taken reserves a slot until its first request arrives or a
    moment has passed, so that a burst of new flows spreads. An agent that was
    passed a packet acknowledges it; one that does not is skipped for a while.

    :param address: where this agent's datagrams go.
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
        """Return how many accepted flows may still send a first request."""
        for flow, at in list(self._reserved_at_by_flow.items()):
            if now - at >= RESERVATION_SECONDS:
                self._reserved_at_by_flow.pop(flow)
        return len(self._reserved_at_by_flow)

    def reserve(self, flow: object, now: float) -> None:
        """Hold a slot for the first request of a flow."""
        self._reserved_at_by_flow[flow] = now

    def release(self, flow: object) -> None:
        """Give the slot back: the first request came, or the flow ended."""
        self._reserved_at_by_flow.pop(flow, None)

    def decide(
        self,
        connection_id: bytes,
        option: packets.Placement,
        own: placement.OwnLoad,
        now: float,
    ) -> Outcome:
        """Decide on one first packet.

        :param connection_id: the connection ID that the caller chose.
        :param option: candidates and what the agents before this one saw.
        :param own: this agent's load.
        :param now: time in seconds.
        :raises errors.PacketError: when this agent is no candidate.
        """
        key = (connection_id, option.tried, option.candidates)
        self._expire_passed(now)
        known = self._passed_by_key.get(key)
        if known is not None:
            return known[1]
        seen = placement.SearchState(
            option.tried | self._skipped_candidates(option, now),
            option.best_index,
            option.best_load,
        )
        decision = placement.decide(
            own,
            _index_of(self._address, option),
            [each.domain for each in option.candidates],
            seen,
        )
        answer = self._outcome(connection_id, option, decision)
        if isinstance(answer, PassOn):
            self._passed_by_key[key] = (now, answer)
        return answer

    def acknowledged(self, connection_id: bytes, address: addresses.Address) -> None:
        """Note that another agent has received a packet that was passed to it."""
        self._unacknowledged.pop((connection_id, address), None)
        self._skipped_until_by_address.pop(address, None)

    def timed_out(
        self,
        connection_id: bytes,
        passed: PassOn,
        own: placement.OwnLoad,
        now: float,
    ) -> Outcome | None:
        """Decide again when a passed packet was not acknowledged in time.

        :param connection_id: the connection ID that the caller chose.
        :param passed: the earlier answer.
        :param own: this agent's load.
        :param now: time in seconds.
        :return: None when the packet was acknowledged meanwhile.
        """
        if (connection_id, passed.address) not in self._unacknowledged:
            return None
        self._unacknowledged.pop((connection_id, passed.address))
        self._skipped_until_by_address[passed.address] = now + SKIP_SECONDS
        option = passed.option
        here = _index_of(self._address, option)
        lost = _index_of(passed.address, option)
        seen = placement.SearchState(
            option.tried | 1 << lost | self._skipped_candidates(option, now),
            option.best_index,
            option.best_load,
        )
        if seen.best_index == lost:
            seen.best_index = here
            seen.best_load = own.level()
        domains = [each.domain for each in option.candidates]
        decision = placement.next_hop(here, domains, seen)
        return self._outcome(connection_id, option, decision)

    def _outcome(
        self,
        connection_id: bytes,
        option: packets.Placement,
        decision: placement.Decision,
    ) -> Outcome:
        if decision.action is placement.Action.TAKE:
            return Take()
        if decision.action is placement.Action.REFUSE or decision.seen is None:
            return Refuse()
        passed = PassOn(
            option.candidates[decision.next_index].address,
            packets.Placement(
                decision.seen.tried,
                decision.seen.best_index,
                decision.seen.best_load,
                option.entry,
                option.candidates,
            ),
        )
        self._unacknowledged[connection_id, passed.address] = None
        if len(self._unacknowledged) > MAX_UNACKNOWLEDGED:
            self._unacknowledged.pop(next(iter(self._unacknowledged)))
        return passed

    def _skipped_candidates(self, option: packets.Placement, now: float) -> int:
        """Return one bit for each candidate that did not acknowledge lately."""
        bits = 0
        for index, candidate in enumerate(option.candidates):
            if self._skipped_until_by_address.get(candidate.address, 0) > now:
                bits |= 1 << index
        return bits

    def _expire_passed(self, now: float) -> None:
        """Drop decisions that no repeated packet will ask for any more."""
        while self._passed_by_key:
            key = next(iter(self._passed_by_key))
            if now - self._passed_by_key[key][0] < PASSED_PACKET_TTL_SECONDS:
                return
            self._passed_by_key.pop(key)


def _index_of(address: addresses.Address, option: packets.Placement) -> int:
    for index, candidate in enumerate(option.candidates):
        if candidate.address == address:
            return index
    raise errors.PacketError('first packet names other agents only')
