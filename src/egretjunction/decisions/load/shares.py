"""Shares of routes in the servers of one service while first packets wait.

The share of a route is the rate of its first packets over half a minute, so that a
burst of a few seconds does not raise it. What a route leaves idle, the others borrow.
They give it back with the next slot that becomes free, that is within the duration of a
request. What the shares leave over goes by value.
"""

import math

DEMAND_SECONDS = 30.0  # a burst of some seconds hardly changes the average
MIN_DEMAND_SECONDS = 1.0  # a few arrivals after a start do not tell a rate
DEPTH_SECONDS = 0.5  # of the rate; covers the irregular arrival of first packets
MIN_DEPTH = 3.0  # first packets


class _Route:
    """Demand of one route, and the part of its share that it has not used.

    :param now: the time in seconds.
    """

    __slots__ = ('_arrivals', '_counted_at', '_refilled_at', '_since', '_unused')

    def __init__(self, now: float) -> None:
        self._since = now
        self._counted_at = now
        self._arrivals = float(0)
        self._refilled_at = now
        self._unused = MIN_DEPTH

    def record_arrival(self, now: float) -> None:
        """Count a first packet."""
        fading = math.exp(-max(0, now - self._counted_at) / DEMAND_SECONDS)
        self._arrivals = self._arrivals * fading + 1
        self._counted_at = now

    def rate(self, now: float) -> float:
        """Return the first packets in a second, averaged over half a minute."""
        fading = math.exp(-max(0, now - self._counted_at) / DEMAND_SECONDS)
        seen_seconds = max(MIN_DEMAND_SECONDS, now - self._since)
        weight_seconds = DEMAND_SECONDS * (1 - math.exp(-seen_seconds / DEMAND_SECONDS))
        return self._arrivals * fading / weight_seconds

    def unused(self, now: float) -> float:
        """Return how many first packets may start within the share."""
        rate = self.rate(now)
        self._unused = min(
            max(MIN_DEPTH, rate * DEPTH_SECONDS),
            self._unused + rate * max(0, now - self._refilled_at),
        )
        self._refilled_at = now
        return self._unused

    def unused_share(self, now: float) -> float:
        """Return which part of the share is unused, up to 1."""
        unused = self.unused(now)
        return unused / max(MIN_DEPTH, self.rate(now) * DEPTH_SECONDS)

    def record_start(self, now: float) -> None:
        """Use a part of the share; a route that borrows incurs no debt."""
        self._unused = max(0, self.unused(now) - 1)


class RouteShares:
    """Shares of the routes of a service."""

    __slots__ = ('_route_by_name',)

    def __init__(self) -> None:
        self._route_by_name: dict[str, _Route] = {}

    def record_arrival(self, route: str, now: float) -> None:
        """Count a first packet of a route."""
        self._route(route, now).record_arrival(now)

    def record_start(self, route: str, now: float) -> None:
        """Count a first packet of a route that is offered to a member."""
        self._route(route, now).record_start(now)

    def is_within(self, route: str, now: float) -> bool:
        """Tell whether a first packet of a route may start within its share."""
        return self._route(route, now).unused(now) >= 1

    def unused_share(self, route: str, now: float) -> float:
        """Return which part of its share a route has not used lately, up to 1."""
        return self._route(route, now).unused_share(now)

    def rate(self, route: str, now: float) -> float:
        """Return the share of a route in first packets per second."""
        return self._route(route, now).rate(now)

    def _route(self, name: str, now: float) -> _Route:
        route = self._route_by_name.get(name)
        if route is None:
            route = _Route(now)
            self._route_by_name[name] = route
        return route
