"""When the estimates of an agent are written to its log."""

import math

from egretjunction.decisions import relay_effects as effects
from egretjunction.wire import relaying

MIN_INTERVAL_SECONDS = 5.0
CHANGE_FACTOR = 1.5  # of the duration of a request
CHANGE_PERCENT = 10  # points of the share of failures


class Reports:
    """Logs estimates that differ enough from those logged last.

    The expected wait changes with each request and is no reason for a line.
    """

    __slots__ = ('_failure_percent', '_reported_at', '_request_ms')

    def __init__(self) -> None:
        self._reported_at = -math.inf
        self._request_ms = 0
        self._failure_percent = 0

    def is_possible(self, now: float) -> bool:
        """Tell whether the last line is long enough ago."""
        return now - self._reported_at >= MIN_INTERVAL_SECONDS

    def pop_due(
        self, status: relaying.Status, server: str, now: float
    ) -> list[effects.Log]:
        """Return the line to log, if any.

        :param status: the status with the current estimates.
        :param server: name of the backend server.
        :param now: the time in seconds.
        """
        lower, higher = sorted((status.request_ms, self._request_ms))
        difference = abs(status.failure_percent - self._failure_percent)
        is_changed = higher > lower * CHANGE_FACTOR or difference >= CHANGE_PERCENT
        if not is_changed or not self.is_possible(now):
            return []
        self._reported_at = now
        self._request_ms = status.request_ms
        self._failure_percent = status.failure_percent
        event = effects.Log(
            'load_estimated',
            server=server,
            request_ms=status.request_ms,
            wait_ms=status.wait_ms,
            failure_percent=status.failure_percent,
            work=status.work,
        )
        return [event]
