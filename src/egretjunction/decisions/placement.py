"""Where a new flow goes: candidates by rendezvous hash, then truth at the agents."""

import enum
import math
import operator
import typing

import xxhash

CANDIDATE_COUNT = 6
LOAD_PER_SLOT = 100
MAX_LOAD = 65535
HASH_BITS = 64
BYTE_VALUES = 256
_HASH_RANGE = float(2**HASH_BITS)


class WeightedMember(typing.Protocol):
    """What placement needs to know of a backend server."""

    name: str
    weight: float


def candidates(
    flow_key: bytes,
    members: typing.Iterable[WeightedMember],
    count: int = CANDIDATE_COUNT,
) -> list[WeightedMember]:
    """Return the members that are asked to take a flow, in their order.

    Weighted rendezvous hashing: a member's share of first places is its share
    of the weight, and a change of one member moves only the flows of that one.

    :param flow_key: bytes that are the same for every packet of the first flight.
    :param members: members that may take new flows.
    :param count: how many to return at most.
    """
    scored = []
    for member in members:
        if member.weight > 0:
            digest = xxhash.xxh3_64_intdigest(member.name.encode() + flow_key)
            uniform = (digest + 1) / (_HASH_RANGE + 1)
            scored.append((-math.log(uniform) / member.weight, member.name, member))
    scored.sort(key=operator.itemgetter(0, 1))
    return [each[2] for each in scored[:count]]


def slow_start_weight(age_seconds: float, ramp_seconds: float) -> float:
    """Return the weight of a server that began to serve some time ago.

    :param age_seconds: seconds since it said that it is warm.
    :param ramp_seconds: length of the ramp; 0 turns it off.
    """
    floor = 0.1
    if ramp_seconds <= 0 or age_seconds >= ramp_seconds:
        return 1
    return max(floor, age_seconds / ramp_seconds)


class Action(enum.Enum):
    """What an agent does with a first packet."""

    TAKE = 'take'
    PASS = 'pass'
    REFUSE = 'refuse'


class OwnLoad:
    """What an agent knows of its own backend server.

    :param slots: requests that the backend server runs at once.
    :param busy: requests that run or wait.
    :param reserved: accepted flows whose first request has not come yet.
    :param is_open: whether it takes new flows at all; false when it drains or
        has no connection left.
    :param is_fit: whether its health lets it take flows that others could take.
    """

    __slots__ = ('busy', 'is_fit', 'is_open', 'reserved', 'slots')

    def __init__(
        self,
        slots: int,
        busy: int,
        reserved: int,
        *,
        is_open: bool = True,
        is_fit: bool = True,
    ) -> None:
        self.slots = slots
        self.busy = busy
        self.reserved = reserved
        self.is_open = is_open
        self.is_fit = is_fit

    def has_free_slot(self) -> bool:
        """Tell whether a request of a new flow could start at once."""
        is_usable = self.is_open and self.is_fit
        return is_usable and self.busy + self.reserved < self.slots

    def level(self) -> int:
        """Return the load in hundredths of the slots, at most ``MAX_LOAD``."""
        if not self.is_open:
            return MAX_LOAD
        if not self.is_fit:
            return MAX_LOAD - 1
        used = self.busy + self.reserved
        return min(MAX_LOAD - 1, used * LOAD_PER_SLOT // max(1, self.slots))


class Decision:
    """An agent's answer to a first packet.

    :param action: take, pass on, or refuse as not run.
    :param next_index: index of the candidate to pass it to.
    :param seen: what the passed packet carries on.
    """

    __slots__ = ('action', 'next_index', 'seen')

    def __init__(
        self,
        action: Action,
        next_index: int = 0,
        seen: 'SearchState | None' = None,
    ) -> None:
        self.action = action
        self.next_index = next_index
        self.seen = seen


class SearchState:
    """What the agents that were asked before have found.

    :param tried: one bit for each candidate that has been asked.
    :param best_index: index of the least loaded candidate so far; the last one
        among equals, because the way back to it is the shortest.
    :param best_load: its load, ``MAX_LOAD`` when none is open.
    """

    __slots__ = ('best_index', 'best_load', 'tried')

    def __init__(self, tried: int, best_index: int, best_load: int) -> None:
        self.tried = tried
        self.best_index = best_index
        self.best_load = best_load


def domain_byte(domain: str) -> int:
    """Return the byte that stands for a failure domain on the wire."""
    return xxhash.xxh32_intdigest(domain.encode()) % BYTE_VALUES


def decide(
    own: OwnLoad,
    here: int,
    candidate_domains: typing.Sequence[int],
    seen: SearchState,
) -> Decision:
    """Decide whether an agent takes a flow or passes its first packet on.

    Each candidate takes the flow when it has a free slot, and otherwise passes
    the packet to one in its own failure domain before one further away. After
    the last one the packet goes back to the least loaded candidate, which takes
    it unless it has closed meanwhile. So a packet is passed on at most as often
    as there are candidates.

    :param own: the load of this agent's backend server.
    :param here: index of this agent among the candidates.
    :param candidate_domains: the failure domains of the candidates.
    :param seen: what the agents before this one have found.
    """
    is_final = bool(seen.tried >> here & 1)
    if own.has_free_slot() or (is_final and own.is_open):
        return Decision(Action.TAKE)
    if is_final:
        return Decision(Action.REFUSE)
    now_seen = SearchState(seen.tried | 1 << here, seen.best_index, seen.best_load)
    if own.level() <= seen.best_load and own.is_open:
        now_seen.best_index = here
        now_seen.best_load = own.level()
    return next_hop(here, candidate_domains, now_seen)


def next_hop(
    here: int, candidate_domains: typing.Sequence[int], seen: SearchState
) -> Decision:
    """Decide where a first packet goes that this agent does not take at once.

    :param here: index of this agent among the candidates.
    :param candidate_domains: the failure domains of the candidates.
    :param seen: what all agents up to this one have found.
    """
    count = len(candidate_domains)
    left = [index for index in range(count) if not seen.tried >> index & 1]
    if left:
        near = [
            index
            for index in left
            if candidate_domains[index] == candidate_domains[here]
        ]
        return Decision(Action.PASS, (near or left)[0], seen)
    if seen.best_load >= MAX_LOAD:
        return Decision(Action.REFUSE)
    if seen.best_index == here:
        return Decision(Action.TAKE)
    return Decision(Action.PASS, seen.best_index, seen)
