"""Which first packet goes next when every backend server is at work.

Backend servers queue what they get, first in, first out: behind a backlog every
answer is late. So first packets wait at the entries, and those that can still be
answered in time go before those that cannot.
"""

import typing

FRESH_SHARE = 0.5  # of the target latency; the rest is for the request itself
SHORTEST_REQUEST_SECONDS = 0.03  # a request that has less time left runs in vain


class Waiting(typing.Protocol):
    """A first packet that waits.

    :param began_at: when it arrived.
    :param seen_at: when its client was heard of last: it or a copy of it.
    :param priority: 0 is the most urgent.
    :param target_seconds: an answer after this time is late.
    :param timeout_seconds: an answer after this time is worthless.
    """

    began_at: float
    seen_at: float
    priority: int
    target_seconds: float
    timeout_seconds: float


def is_fresh(waiting: Waiting, now: float) -> bool:
    """Tell whether a request can still be answered in time."""
    return now - waiting.began_at < waiting.target_seconds * FRESH_SHARE


def is_hopeless(waiting: Waiting, now: float) -> bool:
    """Tell whether a request cannot be answered before its deadline."""
    return now >= hopeless_at(waiting)


def hopeless_at(waiting: Waiting) -> float:
    """Return when a request cannot be answered before its deadline any more."""
    return waiting.began_at + waiting.timeout_seconds - SHORTEST_REQUEST_SECONDS


def next_of(waiting: typing.Iterable[Waiting], now: float) -> Waiting | None:
    """Return the one to place next, None when nothing waits.

    Fresh ones go first, by urgency and then by arrival. Of the others the client
    heard of last goes first: the longer a client is silent, the likelier it has
    given up, and a slot kept for it is idle.
    """
    return min(waiting, key=lambda each: _rank(each, now), default=None)


def _rank(waiting: Waiting, now: float) -> tuple[bool, int, float]:
    if is_fresh(waiting, now):
        return False, waiting.priority, waiting.began_at
    return True, 0, -waiting.seen_at
