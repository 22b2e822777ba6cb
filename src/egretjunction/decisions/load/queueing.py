"""Order of first packets that wait for a free slot, by what each can still achieve.

Each event costs a logarithm of the number of waiting first packets, and is linear only
in the number of routes of the service.
"""

import heapq
import typing

from egretjunction.decisions import relay_waiting
from egretjunction.decisions.load import shares

if typing.TYPE_CHECKING:
    from egretjunction.decisions import relay_pending

MAX_PASSED_OVER = 8  # starts of other routes until a waiting route is served
VALUE_RATIO = 0.5  # value of a request relative to one of the next higher priority
# Durations vary, and a final offer may find another request in the server's queue. With
# less, the first packets that wait longest are all answered just after their target.
DURATION_MARGIN = 4
MIN_COMPACTED = 64  # entries of a heap; smaller ones are not worth the work

_Heap = list[tuple[float, int, 'relay_pending.Offer']]
_Rank = tuple[int, float, float, float]


class _Ticket:
    """Position of a waiting first packet; ``number`` marks its valid heap entries.

    ``is_kept`` tells that it is not reset before its client gives up.
    """

    __slots__ = ('is_kept', 'is_late', 'number', 'token')

    def __init__(self, token: int, number: int) -> None:
        self.token = token
        self.number = number
        self.is_late = False
        self.is_kept = False


class _Lane:
    """Waiting first packets of one route.

    Those that can meet the target are ordered by arrival. Of the late ones, the most
    recently seen goes first, since a client that is silent has probably given up, and
    ``oldest`` orders them the other way round, without those that are kept.
    ``late_count`` is their number.
    """

    __slots__ = ('late', 'late_count', 'oldest', 'on_time', 'passed_over', 'priority')

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.on_time: _Heap = []
        self.late: _Heap = []
        self.oldest: _Heap = []
        self.late_count = 0
        self.passed_over = 0


class ServiceQueue:
    """Waiting first packets of one service."""

    __slots__ = ('_lane_by_route', '_last_number', '_ticket_by_offer', 'shares')

    def __init__(self) -> None:
        self._lane_by_route: dict[str, _Lane] = {}
        self._ticket_by_offer: dict[relay_pending.Offer, _Ticket] = {}
        self._last_number = 0
        self.shares = shares.RouteShares()

    def __len__(self) -> int:
        """Return the number of waiting first packets."""
        return len(self._ticket_by_offer)

    def add(self, token: int, offer: 'relay_pending.Offer') -> None:
        """Let a first packet wait."""
        lane = self._lane_by_route.get(offer.route)
        if lane is None:
            lane = _Lane(offer.priority)
            self._lane_by_route[offer.route] = lane
        lane.priority = offer.priority
        self.remove(offer)
        ticket = _Ticket(token, self._next_number())
        self._ticket_by_offer[offer] = ticket
        heapq.heappush(lane.on_time, (offer.started_at, ticket.number, offer))

    def remove(self, offer: 'relay_pending.Offer') -> None:
        """Remove a first packet; its heap entries are dropped when they surface."""
        ticket = self._ticket_by_offer.pop(offer, None)
        if ticket is None:
            return
        lane = self._lane_by_route[offer.route]
        if ticket.is_late and not ticket.is_kept:
            lane.late_count -= 1
        lane.on_time = self._compacted(lane.on_time)
        lane.late = self._compacted(lane.late)
        lane.oldest = self._compacted(lane.oldest)

    def touch(self, offer: 'relay_pending.Offer') -> None:
        """Take into account that a retransmission of a first packet has arrived."""
        ticket = self._ticket_by_offer.get(offer)
        if ticket is not None and ticket.is_late:
            self._push_late(offer, ticket)

    def next_offer(
        self, duration: float, now: float
    ) -> tuple[int, 'relay_pending.Offer'] | None:
        """Return the token and the first packet to offer next, or None.

        :param duration: likely duration of a request, 0 if unknown.
        :param now: the time in seconds.
        """
        heads: list[tuple[_Rank, relay_pending.Offer]] = []
        for lane in self._lane_by_route.values():
            self._move_late(lane, duration, now)
            on_time = self._head(lane.on_time)
            head = on_time or self._head(lane.late)
            if head is not None:
                rank = self._rank(lane, head, now, is_late=on_time is None)
                heads.append((rank, head))
        if not heads:
            return None
        _, chosen = min(heads, key=lambda ranked: ranked[0])
        return self._ticket_by_offer[chosen].token, chosen

    def record_start(self, offer: 'relay_pending.Offer', now: float) -> None:
        """Count a first packet that was accepted in the share of its route."""
        self.shares.record_start(offer.route, now)
        for route, lane in self._lane_by_route.items():
            is_waiting = route != offer.route and (
                self._head(lane.on_time) or self._head(lane.late)
            )
            lane.passed_over = lane.passed_over + 1 if is_waiting else 0

    def least_recent(
        self, duration: float, may_reset: typing.Callable[[int], bool], now: float
    ) -> typing.Iterator[tuple[int, 'relay_pending.Offer', int]]:
        """Return the late first packet of each route that goes last, if there is one.

        Its token comes first, and the number of late ones that go before it last.

        :param duration: likely duration of a request, 0 if unknown.
        :param may_reset: tells by token whether a first packet may be reset; one that
            may not is kept until its client gives up.
        :param now: the time in seconds.
        """
        for lane in self._lane_by_route.values():
            self._move_late(lane, duration, now)
            last = self._head(lane.oldest)
            while last is not None and not may_reset(self._ticket_by_offer[last].token):
                self._ticket_by_offer[last].is_kept = True
                lane.late_count -= 1
                heapq.heappop(lane.oldest)
                last = self._head(lane.oldest)
            if last is not None:
                token = self._ticket_by_offer[last].token
                yield token, last, lane.late_count - 1

    def _rank(
        self,
        lane: _Lane,
        head: 'relay_pending.Offer',
        now: float,
        *,
        is_late: bool,
    ) -> _Rank:
        """Return the order of a route; the lowest goes first.

        Servers report one duration for all routes of a service, so that value over
        likely work is in the order of the value.
        """
        is_within = self.shares.is_within(head.route, now)
        value = VALUE_RATIO**lane.priority
        arrival = -head.last_seen_at if is_late else head.started_at
        group = 2 * is_late + (not is_within)
        if lane.passed_over >= MAX_PASSED_OVER:
            group = -1
        unused = self.shares.unused_share(head.route, now)
        return group, -value, -unused, arrival

    def _move_late(self, lane: _Lane, duration: float, now: float) -> None:
        """Move first packets that can no longer meet their target to the late ones."""
        while True:
            head = self._head(lane.on_time)
            if head is None or can_meet_target(head, duration, now):
                return
            heapq.heappop(lane.on_time)
            ticket = self._ticket_by_offer[head]
            ticket.is_late = True
            lane.late_count += 1
            self._push_late(head, ticket)

    def _push_late(self, offer: 'relay_pending.Offer', ticket: _Ticket) -> None:
        ticket.number = self._next_number()
        lane = self._lane_by_route[offer.route]
        heapq.heappush(lane.late, (-offer.last_seen_at, ticket.number, offer))
        if not ticket.is_kept:
            heapq.heappush(lane.oldest, (offer.last_seen_at, ticket.number, offer))

    def _head(self, heap: _Heap) -> 'relay_pending.Offer | None':
        while heap and not self._is_valid(heap[0]):
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _is_valid(self, item: tuple[float, int, 'relay_pending.Offer']) -> bool:
        ticket = self._ticket_by_offer.get(item[2])
        return ticket is not None and ticket.number == item[1]

    def _compacted(self, heap: _Heap) -> _Heap:
        """Return a heap without its entries that are no longer valid, if most are."""
        if len(heap) <= MIN_COMPACTED + 2 * len(self._ticket_by_offer):
            return heap
        valid = [item for item in heap if self._is_valid(item)]
        heapq.heapify(valid)
        return valid

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number


def can_meet_target(
    offer: relay_waiting.WaitingFirstPacket, duration: float, now: float
) -> bool:
    """Tell whether a request that starts now can be answered within its target.

    At most half of the target may be spent waiting even if requests seem short, so
    that a duration that was estimated too short does not make all answers late.

    :param offer: the waiting first packet.
    :param duration: likely duration of the request, 0 if unknown.
    :param now: the time in seconds.
    """
    needed_seconds = duration * DURATION_MARGIN
    latest = offer.started_at + offer.target_seconds - needed_seconds
    return now <= latest and relay_waiting.can_meet_target(offer, now)
