"""Bounds the first packets that a cold backend server gets in a second.

A server that has just started is slow. The bound holds for every window of a second and
whoever sends, since the agent is the only process that sends packets to its server.
"""

import collections
import math
import typing

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_routes
from egretjunction.wire import relaying

# A second, and the time that a packet may take from this process to the server.
WINDOW_SECONDS = 1.01
ROUNDING_ERROR = 1e-9  # of a bound computed in floating point
MIN_NOTICE_SECONDS = 0.1  # between notices to all entries, so that one covers many


class ColdLimit:
    """First packets that were sent to the server within the last second.

    A process that was restarted does not know what its predecessor sent, so that the
    first window counts as fully used.

    :param is_cold: tells whether the server is cold at a time.
    :param over: multiple of the operators' figure, None for no limit.
    :param slack: first packets beyond that multiple, None for no limit.
    :param now: time of the start of this process in seconds.
    """

    __slots__ = (
        '_first_window_ends_at',
        '_has_reported_none_left',
        '_is_cold',
        '_noticed_at',
        '_over',
        '_sent_at',
        '_slack',
        '_version',
        'per_second',
    )

    def __init__(
        self,
        is_cold: typing.Callable[[float], bool],
        over: float | None = None,
        slack: float | None = None,
        now: float = 0,
    ) -> None:
        self._is_cold = is_cold
        self._over = over
        self._slack = slack
        self._first_window_ends_at = now + WINDOW_SECONDS
        self._sent_at: collections.deque[float] = collections.deque()
        self._has_reported_none_left = False
        self._noticed_at = -math.inf
        self._version = 0
        self.per_second: float = relaying.NO_LIMIT

    @property
    def bound(self) -> int | None:
        """Return the bound in a second, None if there is no limit.

        A figure of 0 means that the operators give none. Until a figure is known, the
        slack applies alone.
        """
        if self._over is None or self._slack is None or self.per_second == 0:
            return None
        known = max(float(0), self.per_second)
        return math.floor(known * self._over + self._slack + ROUNDING_ERROR)

    def record_figure(self, per_second: float, version: int) -> list[effects.Log]:
        """Record the operators' figure unless one of a newer version is known.

        :param per_second: the figure, ``relaying.NO_LIMIT`` if the entry knows none.
        :param version: configuration version that the entry follows.
        """
        is_known = 0 <= per_second <= relay_routes.MAX_COLD_PER_SECOND
        if not is_known or version < self._version:
            return []
        self._version = version
        if per_second == self.per_second:
            return []
        self.per_second = per_second
        return [
            effects.Log(
                'cold_limit_changed',
                per_second=per_second,
                bound=self.bound,
                version=version,
            )
        ]

    def openings_left(self, now: float) -> int:
        """Return how many first packets may be sent now.

        An answer of 0 is kept in mind: entries learn of it with the status.

        :return: the number, ``relaying.NO_LIMIT`` if it is not limited.
        """
        left = self._count_left(now) if self._is_cold(now) else relaying.NO_LIMIT
        self._has_reported_none_left = self._has_reported_none_left or left == 0
        return left

    def take(self, now: float) -> bool:
        """Count a first packet; tell whether it may be sent.

        Packets to a server that is not cold count too: it may have been restarted
        since its last heartbeat.
        """
        if self._is_cold(now) and self._count_left(now) == 0:
            return False
        if self._over is not None:
            self._expire(now)
            self._sent_at.append(now)
        return True

    def pop_reopened(self, now: float) -> bool:
        """Tell whether entries that were told of no openings must be notified."""
        is_due = now - self._noticed_at >= MIN_NOTICE_SECONDS
        if not self._has_reported_none_left or not is_due:
            return False
        if self._is_cold(now) and self._count_left(now) == 0:
            return False
        self._has_reported_none_left = False
        self._noticed_at = now
        return True

    def _count_left(self, now: float) -> int:
        bound = self.bound
        if bound is None:
            return relaying.NO_LIMIT
        if now <= self._first_window_ends_at:
            return 0
        self._expire(now)
        return max(0, bound - len(self._sent_at))

    def _expire(self, now: float) -> None:
        while self._sent_at and now - self._sent_at[0] > WINDOW_SECONDS:
            self._sent_at.popleft()
