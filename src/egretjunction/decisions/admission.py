"""Which new flows an agent takes, and where it passes the others."""

from egretjunction import addresses
from egretjunction.decisions import placement
from egretjunction.wire import packets

RESERVATION_SECONDS = 1.0
PASS_MEMORY_SECONDS = 3.0


class Take:
    """Accept the flow here."""

    __slots__ = ()


class Refuse:
    """Nobody can take the flow; tell the caller that nothing was run."""

    __slots__ = ()


class PassOn:
    """Send the first packet to another agent.

    :param address: the next agent.
    :param placement: the option that the packet carries there.
    """

    __slots__ = ('address', 'placement')

    def __init__(
        self,
        address: addresses.Address,
        option: packets.Placement,
    ) -> None:
        self.address = address
        self.placement = option


class Admission:
    """Decides on first packets; a repeated one gets the same answer.

    A flow that was taken reserves a slot until its first request arrives or a
    moment has passed, so that a burst of new flows spreads.
    """

    __slots__ = ('_passed_by_key', '_reserved_at_by_flow')

    def __init__(self) -> None:
        self._reserved_at_by_flow: dict[object, float] = {}
        self._passed_by_key: dict[tuple, tuple[float, PassOn]] = {}

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
    ) -> Take | Refuse | PassOn:
        """Decide on one first packet.

        :param connection_id: the connection ID that the caller chose.
        :param option: candidates and what the agents before this one saw.
        :param own: this agent's load.
        :param now: time in seconds.
        """
        key = (connection_id, option.hops, option.candidates)
        self._forget(now)
        known = self._passed_by_key.get(key)
        if known is not None:
            return known[1]
        decision = placement.decide(
            own,
            option.hops,
            len(option.candidates),
            option.best_index,
            option.best_load,
        )
        if decision.action is placement.Action.TAKE:
            return Take()
        if decision.action is placement.Action.REFUSE:
            return Refuse()
        passed = PassOn(
            option.candidates[decision.next_index],
            packets.Placement(
                decision.next_hops,
                decision.best_index,
                decision.best_load,
                option.entry,
                option.candidates,
            ),
        )
        self._passed_by_key[key] = (now, passed)
        return passed

    def _forget(self, now: float) -> None:
        """Drop decisions that no repeated packet will ask for any more."""
        while self._passed_by_key:
            key = next(iter(self._passed_by_key))
            if now - self._passed_by_key[key][0] < PASS_MEMORY_SECONDS:
                return
            self._passed_by_key.pop(key)
