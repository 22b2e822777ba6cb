"""Order in which first packets are offered while all backend servers are full.

Backend servers queue requests in order of arrival, so that behind a backlog every
answer is late. First packets therefore wait at the entries, and those that can still
meet their target latency are offered before those that cannot.
"""

import typing

from egretjunction.decisions import relay_pending

MAX_WAIT_SHARE = 0.5  # of the target latency; the request itself needs the rest
MIN_REQUEST_SECONDS = 0.03  # a request with less time left cannot be answered


class WaitingFirstPacket(typing.Protocol):
    """A first packet that waits for a server with free capacity.

    :param started_at: time at which the client first sent it.
    :param last_seen_at: time at which it or a retransmission of it last arrived.
    :param priority: priority of the request; 0 is the most urgent.
    :param target_seconds: target latency; a later answer counts as late.
    :param opening_seconds: how long the client waits for its flow to open.
    """

    started_at: float
    last_seen_at: float
    priority: int
    target_seconds: float
    opening_seconds: float


def can_meet_target(first_packet: WaitingFirstPacket, now: float) -> bool:
    """Tell whether a request can still be answered within its target latency."""
    return now - first_packet.started_at < first_packet.target_seconds * MAX_WAIT_SHARE


def is_expired(first_packet: WaitingFirstPacket, now: float) -> bool:
    """Tell whether the client no longer waits for its flow to open."""
    return now >= expires_at(first_packet)


def expires_at(first_packet: WaitingFirstPacket) -> float:
    """Return the time from which a flow cannot be opened before its client gives up."""
    return first_packet.started_at + first_packet.opening_seconds - MIN_REQUEST_SECONDS


class WaitingOffers:
    """First packets that wait for a free slot, by service.

    Load pattern: all servers of a service are full, and every message of any agent may
    free a slot. A message then costs nothing for the services that nothing waits for.
    """

    __slots__ = ('_token_by_offer_by_service',)

    def __init__(self) -> None:
        self._token_by_offer_by_service: dict[str, dict[relay_pending.Offer, int]] = {}

    def add(self, token: int, offer: relay_pending.Offer) -> None:
        """Let a first packet wait."""
        offer.is_waiting = True
        self._token_by_offer_by_service.setdefault(offer.service, {})[offer] = token

    def remove(self, offer: relay_pending.Offer) -> None:
        """Remove a first packet that is offered again, or was given up."""
        offer.is_waiting = False
        self._token_by_offer_by_service.get(offer.service, {}).pop(offer, None)

    def next_of(
        self, service: str, now: float
    ) -> tuple[int, relay_pending.Offer] | None:
        """Return the token and the first packet to offer next, or None."""
        token_by_offer = self._token_by_offer_by_service.get(service)
        if not token_by_offer:
            return None
        offer = typing.cast('relay_pending.Offer', select_next(token_by_offer, now))
        return token_by_offer[offer], offer


def select_next(
    first_packets: typing.Iterable[WaitingFirstPacket], now: float
) -> WaitingFirstPacket | None:
    """Return the first packet to offer next, or None if there is none.

    Requests that can meet their target latency go first, by priority and then by
    arrival. Of the others, the most recently seen one goes first: a client that has
    been silent for long has probably given up, and a slot reserved for it stays idle.
    """
    return min(
        first_packets, key=lambda first_packet: _rank(first_packet, now), default=None
    )


def _rank(first_packet: WaitingFirstPacket, now: float) -> tuple[bool, int, float]:
    if can_meet_target(first_packet, now):
        return False, first_packet.priority, first_packet.started_at
    return True, 0, -first_packet.last_seen_at
