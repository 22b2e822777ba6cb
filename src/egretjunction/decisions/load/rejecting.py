"""Evidence that a waiting first packet cannot be started in time.

A client that is reset tries again at once, at most twice, so that a reset is of use
only if waiting would not get the first packet served. Only observations count as
evidence: the number of first packets that go before it, and the rate at which waiting
ones were accepted. No estimate of an agent enters, except for the deadline.
"""

import collections

MIN_OBSERVED_SECONDS = 1.0  # without a gap; less proves nothing about the rate
MAX_OBSERVED_SECONDS = 2.0  # older starts say little about the current rate
SAFETY_FACTOR = 4.0  # by which slots may become free faster than observed
BACKLOG = 'rejected_backlog'
DEADLINE = 'rejected_deadline'


class StartRate:
    """Rate at which a service accepts first packets while some wait.

    The observation begins when the first one waits, and ends when none does.
    """

    __slots__ = ('_started_at', '_waiting_since')

    def __init__(self) -> None:
        self._waiting_since: float | None = None
        self._started_at: collections.deque[float] = collections.deque()

    def record_waiting(self, now: float) -> None:
        """Record that a first packet waits."""
        if self._waiting_since is None:
            self._waiting_since = now

    def record_start(self, now: float) -> None:
        """Record that an agent accepted a first packet."""
        if self._waiting_since is not None:
            self._started_at.append(now)
            self._drop_old(now)

    def reset(self) -> None:
        """Begin a new observation, since none waits or the entry was paused."""
        self._waiting_since = None
        self._started_at.clear()

    def most_starts(self, seconds: float, now: float) -> float | None:
        """Return how many first packets may be accepted in a time, at most.

        :param seconds: the time from now on.
        :param now: the time in seconds.
        :return: the number, or None if too little has been observed.
        """
        if self._waiting_since is None:
            return None
        observed = min(MAX_OBSERVED_SECONDS, now - self._waiting_since)
        if observed < MIN_OBSERVED_SECONDS:
            return None
        self._drop_old(now)
        return SAFETY_FACTOR * (len(self._started_at) + 1) / observed * seconds

    def _drop_old(self, now: float) -> None:
        while self._started_at and self._started_at[0] < now - MAX_OBSERVED_SECONDS:
            self._started_at.popleft()


def misses_deadline(elapsed: float, duration: float, request_seconds: float) -> bool:
    """Tell whether an answer would be useless even if the server were free now.

    :param elapsed: time since the client sent the first packet.
    :param duration: likely duration of the request, 0 if unknown.
    :param request_seconds: deadline of the request, counted like ``elapsed``.
    """
    return elapsed + duration / SAFETY_FACTOR > request_seconds
