"""First packets that wait for a free slot at an entry, by service."""

import typing

from egretjunction.decisions import relay_pending
from egretjunction.decisions.load import queueing
from egretjunction.decisions.load import rejecting

DurationOf = typing.Callable[[str, float], float]


class Rejection(typing.NamedTuple):
    """A first packet that cannot be answered in time.

    :param token: token of the offer.
    :param offer: the offer.
    :param reason: the reason that is logged and counted.
    """

    token: int
    offer: relay_pending.Offer
    reason: str


class OfferQueue:
    """First packets that wait, and the rate at which agents accept them.

    :param duration_of: returns the likely duration of a request of a service at a time,
        0 if unknown.
    :param last_copy_seconds: when a client sends the last copy of a first packet.
    :param may_reset: tells by token whether a reset of a first packet would be true,
        since no agent may have accepted it.
    """

    __slots__ = (
        '_duration_of',
        '_last_copy_seconds',
        '_may_reset',
        '_queue_by_service',
        '_rate_by_service',
    )

    def __init__(
        self,
        duration_of: DurationOf,
        last_copy_seconds: float,
        may_reset: typing.Callable[[int], bool],
    ) -> None:
        self._may_reset = may_reset
        self._duration_of = duration_of
        self._last_copy_seconds = last_copy_seconds
        self._queue_by_service: dict[str, queueing.ServiceQueue] = {}
        self._rate_by_service: dict[str, rejecting.StartRate] = {}

    def record_arrival(self, offer: relay_pending.Offer, now: float) -> None:
        """Count a new first packet in the demand of its route."""
        self._queue(offer.service).shares.record_arrival(offer.route, now)

    def has_waiting(self, service: str) -> bool:
        """Tell whether any first packet of a service waits."""
        queue = self._queue_by_service.get(service)
        return queue is not None and len(queue) > 0

    def add(self, token: int, offer: relay_pending.Offer) -> None:
        """Let a first packet wait."""
        offer.is_waiting = True
        self._queue(offer.service).add(token, offer)

    def remove(self, offer: relay_pending.Offer) -> None:
        """Remove a first packet that is offered again, or was given up."""
        offer.is_waiting = False
        queue = self._queue(offer.service)
        queue.remove(offer)
        if not len(queue):
            self._rate_by_service[offer.service].reset()

    def touch(self, offer: relay_pending.Offer) -> None:
        """Take into account that a retransmission of a first packet has arrived."""
        self._queue(offer.service).touch(offer)

    def next_of(
        self, service: str, now: float
    ) -> tuple[int, relay_pending.Offer] | None:
        """Return the token and the first packet to offer next, or None."""
        if not self.has_waiting(service):
            return None
        self._rate_by_service[service].record_waiting(now)
        duration = self._duration_of(service, now)
        return self._queue_by_service[service].next_offer(duration, now)

    def record_accepted(self, offer: relay_pending.Offer, now: float) -> None:
        """Record that an agent accepted a first packet.

        Offers do not count in the share of a route, since many are declined while
        several entries compete for the same slot.
        """
        self._queue(offer.service).record_start(offer, now)
        self._rate_by_service[offer.service].record_start(now)

    def record_pause(self) -> None:
        """Discard all observations, since the entry was paused."""
        for rate in self._rate_by_service.values():
            rate.reset()

    def rejections(self, now: float) -> typing.Iterator[Rejection]:
        """Return the first packets that would not be served even if they waited.

        They must be removed before the next one is returned. A retransmission moves a
        late first packet to the front, so that one that has copies to come is kept.
        """
        for service, queue in self._queue_by_service.items():
            if not len(queue):
                continue
            self._rate_by_service[service].record_waiting(now)
            duration = self._duration_of(service, now)
            for token, offer, ahead in queue.least_recent(
                duration, self._may_reset, now
            ):
                if self._is_hopeless(offer, ahead, now):
                    yield Rejection(token, offer, rejecting.BACKLOG)

    def _is_hopeless(self, offer: relay_pending.Offer, ahead: int, now: float) -> bool:
        if now - offer.started_at <= self._last_copy_seconds:
            return False
        rate = self._rate_by_service[offer.service]
        most_starts = rate.most_starts(offer.due_at - now, now)
        return most_starts is not None and ahead >= most_starts

    def _queue(self, service: str) -> queueing.ServiceQueue:
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = queueing.ServiceQueue()
            self._queue_by_service[service] = queue
            self._rate_by_service[service] = rejecting.StartRate()
        return queue
