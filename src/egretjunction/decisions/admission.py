"""Which new flows an agent takes, and where it passes the others."""

from egretjunction import addresses
from egretjunction import errors
from egretjunction.decisions import placement
from egretjunction.wire import packets

RESERVATION_SECONDS = 1.0
PASS_MEMORY_SECONDS = 3.0
ACKNOWLEDGE_SECONDS = 0.06
SILENT_SECONDS = 5.0
MAX_UNANSWERED = 4096


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


Answer = Take | Refuse | PassOn


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
        '_silent_until_by_address',
        '_unanswered',
    )

    def __init__(self, address: addresses.Address) -> None:
        self._address = address
        self._reserved_at_by_flow: dict[object, float] = {}
        self._passed_by_key: dict[tuple, tuple[float, PassOn]] = {}
        self._silent_until_by_address: dict[addresses.Address, float] = {}
        self._unanswered: dict[tuple[bytes, addresses.Address], None] = {}

    def reserved(self, now: float) -> int:
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
    ) -> Answer:
        """Decide on one first packet.

        :param connection_id: the connection ID that the caller chose.
        :param option: candidates and what the agents before this one saw.
        :param own: this agent's load.
        :param now: time in seconds.
        :raises errors.PacketError: when this agent is no candidate.
        """
        key = (connection_id, option.tried, option.candidates)
        self._forget(now)
        known = self._passed_by_key.get(key)
        if known is not None:
            return known[1]
        seen = placement.Seen(
            option.tried | self._silent(option, now),
            option.best_index,
            option.best_load,
        )
        decision = placement.decide(
            own,
            _index_of(self._address, option),
            [each.domain for each in option.candidates],
            seen,
        )
        answer = self._answer(connection_id, option, decision)
        if isinstance(answer, PassOn):
            self._passed_by_key[key] = (now, answer)
        return answer

    def acknowledged(self, connection_id: bytes, address: addresses.Address) -> None:
        """Note that another agent has received a packet that was passed to it."""
        self._unanswered.pop((connection_id, address), None)
        self._silent_until_by_address.pop(address, None)

    def unanswered(
        self,
        connection_id: bytes,
        passed: PassOn,
        own: placement.OwnLoad,
        now: float,
    ) -> Answer | None:
        """Decide again when a passed packet was not acknowledged in time.

        :param connection_id: the connection ID that the caller chose.
        :param passed: the earlier answer.
        :param own: this agent's load.
        :param now: time in seconds.
        :return: None when the packet was acknowledged meanwhile.
        """
        if (connection_id, passed.address) not in self._unanswered:
            return None
        self._unanswered.pop((connection_id, passed.address))
        self._silent_until_by_address[passed.address] = now + SILENT_SECONDS
        option = passed.option
        here = _index_of(self._address, option)
        lost = _index_of(passed.address, option)
        seen = placement.Seen(
            option.tried | 1 << lost | self._silent(option, now),
            option.best_index,
            option.best_load,
        )
        if seen.best_index == lost:
            seen.best_index = here
            seen.best_load = own.level()
        domains = [each.domain for each in option.candidates]
        decision = placement.onward(here, domains, seen)
        return self._answer(connection_id, option, decision)

    def _answer(
        self,
        connection_id: bytes,
        option: packets.Placement,
        decision: placement.Decision,
    ) -> Answer:
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
        self._unanswered[connection_id, passed.address] = None
        if len(self._unanswered) > MAX_UNANSWERED:
            self._unanswered.pop(next(iter(self._unanswered)))
        return passed

    def _silent(self, option: packets.Placement, now: float) -> int:
        """Return one bit for each candidate that did not acknowledge lately."""
        bits = 0
        for index, candidate in enumerate(option.candidates):
            if self._silent_until_by_address.get(candidate.address, 0) > now:
                bits |= 1 << index
        return bits

    def _forget(self, now: float) -> None:
        """Drop decisions that no repeated packet will ask for any more."""
        while self._passed_by_key:
            key = next(iter(self._passed_by_key))
            if now - self._passed_by_key[key][0] < PASS_MEMORY_SECONDS:
                return
            self._passed_by_key.pop(key)


def _index_of(address: addresses.Address, option: packets.Placement) -> int:
    for index, candidate in enumerate(option.candidates):
        if candidate.address == address:
            return index
    raise errors.PacketError('first packet names other agents only')
