"""Places new flows: rendezvous hashing picks candidates, the agents decide by load."""

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
    """A member that can be chosen according to its weight."""

    name: str
    weight: float


def candidates(
    flow_key: bytes,
    members: typing.Iterable[WeightedMember],
    count: int = CANDIDATE_COUNT,
) -> list[WeightedMember]:
    """Return the members that may take a flow, most preferred first.

    Weighted rendezvous hashing: the probability that a member comes first is its
    share of the total weight, and a change of one member moves only its own flows.

    :param flow_key: bytes that are the same for every packet of the first flight.
    :param members: members that may take new flows.
    :param count: maximum number of members to return.
    """
    scored = []
    for member in members:
        if member.weight > 0:
            hash_value = xxhash.xxh3_64_intdigest(member.name.encode() + flow_key)
            uniform = (hash_value + 1) / (_HASH_RANGE + 1)
            scored.append((-math.log(uniform) / member.weight, member.name, member))
    scored.sort(key=operator.itemgetter(0, 1))
    return [item[2] for item in scored[:count]]


def slow_start_weight(age_seconds: float, ramp_seconds: float) -> float:
    """Return the slow-start weight of a server, between 0.1 and 1.

    :param age_seconds: seconds since the server began to serve.
    :param ramp_seconds: length of the ramp; 0 turns it off.
    """
    min_weight = 0.1
    if ramp_seconds <= 0 or age_seconds >= ramp_seconds:
        return 1
    return max(min_weight, age_seconds / ramp_seconds)


class Action(enum.Enum):
    """What an agent does with a first packet."""

    TAKE = 'take'
    PASS = 'pass'
    REFUSE = 'refuse'


class OwnLoad:
    """Load and availability of an agent's own backend server.

    :param slots: requests that the backend server runs at once.
    :param outstanding: requests that run or wait.
    :param reserved: accepted flows whose first request has not arrived yet.
    :param is_open: whether it takes new flows at all; false while it drains or
        when its connection limit is reached.
    :param is_fit: whether it is healthy enough to take flows that another
        server could take.
    """

    __slots__ = ('is_fit', 'is_open', 'outstanding', 'reserved', 'slots')

    def __init__(
        self,
        slots: int,
        outstanding: int,
        reserved: int,
        *,
        is_open: bool = True,
        is_fit: bool = True,
    ) -> None:
        self.slots = slots
        self.outstanding = outstanding
        self.reserved = reserved
        self.is_open = is_open
        self.is_fit = is_fit

    def has_free_slot(self) -> bool:
        """Return whether a request of a new flow could start at once."""
        is_usable = self.is_open and self.is_fit
        return is_usable and self.outstanding + self.reserved < self.slots

    def level(self) -> int:
        """Return the load in percent of the slots, at most ``MAX_LOAD``."""
        if not self.is_open:
            return MAX_LOAD
        if not self.is_fit:
            return MAX_LOAD - 1
        used = self.outstanding + self.reserved
        return min(MAX_LOAD - 1, used * LOAD_PER_SLOT // max(1, self.slots))


class Decision:
    """What an agent does with one first packet.

    :param action: whether to take the flow, pass the packet on or refuse it.
    :param next_index: index of the candidate to pass the packet to.
    :param search: state of the search that the passed packet carries.
    """

    __slots__ = ('action', 'next_index', 'search')

    def __init__(
        self,
        action: Action,
        next_index: int = 0,
        search: 'SearchState | None' = None,
    ) -> None:
        self.action = action
        self.next_index = next_index
        self.search = search


class SearchState:
    """State of the search for an agent that takes a flow.

    :param tried: bit mask of the candidates that have been tried.
    :param best_index: index of the least loaded candidate so far; the last one
        among equals, because a return to it takes the fewest hops.
    :param best_load: its load, ``MAX_LOAD`` when none is open.
    """

    __slots__ = ('best_index', 'best_load', 'tried')

    def __init__(self, tried: int, best_index: int, best_load: int) -> None:
        self.tried = tried
        self.best_index = best_index
        self.best_load = best_load


def domain_byte(domain: str) -> int:
    """Return the byte that encodes a failure domain on the wire."""
    return xxhash.xxh32_intdigest(domain.encode()) % BYTE_VALUES


def decide(
    own_load: OwnLoad,
    own_index: int,
    candidate_domains: typing.Sequence[int],
    search: SearchState,
) -> Decision:
    """Decide whether an agent takes a flow or passes its first packet on.

    A candidate takes the flow when it has a free slot. Otherwise it passes the
    packet to an untried candidate, preferably in its own failure domain. After
    the last one the packet goes back to the least loaded candidate, which takes
    the flow unless it no longer takes new flows. A packet is therefore passed on
    at most as often as there are candidates.

    :param own_load: the load of this agent's backend server.
    :param own_index: index of this agent among the candidates.
    :param candidate_domains: the failure domains of the candidates.
    :param search: state of the search before this agent.
    """
    is_final = bool(search.tried >> own_index & 1)
    if own_load.has_free_slot() or (is_final and own_load.is_open):
        return Decision(Action.TAKE)
    if is_final:
        return Decision(Action.REFUSE)
    updated = SearchState(
        search.tried | 1 << own_index, search.best_index, search.best_load
    )
    if own_load.level() <= search.best_load and own_load.is_open:
        updated.best_index = own_index
        updated.best_load = own_load.level()
    return next_hop(own_index, candidate_domains, updated)


def next_hop(
    own_index: int, candidate_domains: typing.Sequence[int], search: SearchState
) -> Decision:
    """Decide where a first packet goes when this agent has no free slot.

    :param own_index: index of this agent among the candidates.
    :param candidate_domains: the failure domains of the candidates.
    :param search: state of the search, this agent included.
    """
    count = len(candidate_domains)
    untried = [index for index in range(count) if not search.tried >> index & 1]
    if untried:
        same_domain = [
            index
            for index in untried
            if candidate_domains[index] == candidate_domains[own_index]
        ]
        return Decision(Action.PASS, (same_domain or untried)[0], search)
    if search.best_load >= MAX_LOAD:
        return Decision(Action.REFUSE)
    if search.best_index == own_index:
        return Decision(Action.TAKE)
    return Decision(Action.PASS, search.best_index, search)
