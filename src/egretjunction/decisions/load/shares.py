"""Shares of routes in the servers of one service while first packets wait.

A share follows the demand of a route over half a minute, so that a burst of a few
seconds does not raise it. What a route leaves idle, the others borrow. They give it
back with the next slot that becomes free, that is within the duration of a request.
"""

import math

DEMAND_SECONDS = 30.0  # a burst of some seconds hardly changes the average
PRIOR_ARRIVALS = 20.0  # of each route; shares are equal until more have been seen


class _Usage:
    """Demand and usage of one route.

    ``tag`` is the virtual time at which its next request is due.
    """

    __slots__ = ('arrivals', 'counted_at', 'tag')

    def __init__(self, now: float) -> None:
        self.arrivals = float(0)
        self.counted_at = now
        self.tag = float(0)

    def weight(self, now: float) -> float:
        """Return the demand of the last half minute."""
        fading = math.exp(-max(0, now - self.counted_at) / DEMAND_SECONDS)
        return PRIOR_ARRIVALS + self.arrivals * fading


class RouteShares:
    """Start-time fair queueing among the routes of a service."""

    __slots__ = ('_usage_by_route', '_virtual_time')

    def __init__(self) -> None:
        self._usage_by_route: dict[str, _Usage] = {}
        self._virtual_time = float(0)

    def record_arrival(self, route: str, now: float) -> None:
        """Count a first packet of a route."""
        usage = self._usage(route, now)
        usage.arrivals = usage.weight(now) - PRIOR_ARRIVALS + 1
        usage.counted_at = now

    def record_start(self, route: str, now: float) -> None:
        """Charge a route for a slot that others waited for as well."""
        usage = self._usage(route, now)
        self._virtual_time = max(self._virtual_time, self.start_tag(route))
        usage.tag = self.start_tag(route) + 1 / usage.weight(now)

    def start_tag(self, route: str) -> float:
        """Return the virtual time at which the next request of a route is due.

        A route that was idle gets no credit for it.
        """
        usage = self._usage_by_route.get(route)
        return (
            self._virtual_time if usage is None else max(usage.tag, self._virtual_time)
        )

    def is_within(self, route: str) -> bool:
        """Tell whether a route has used no more than its share."""
        return self.start_tag(route) <= self._virtual_time

    def _usage(self, route: str, now: float) -> _Usage:
        usage = self._usage_by_route.get(route)
        if usage is None:
            usage = _Usage(now)
            self._usage_by_route[route] = usage
        return usage
