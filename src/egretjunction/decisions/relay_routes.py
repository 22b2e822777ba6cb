"""Which service a relayed flow may go to, by the newest configuration."""

import typing

import xxhash

from egretjunction import addresses

DEFAULT_TARGET_SECONDS = 0.2
DEFAULT_TIMEOUT_SECONDS = 1.0


class Route:
    """One route.

    :param address: address and port that clients send to.
    :param weight_by_service: share of new flows by service; unsorted weights.
    :param priority: of its requests; 0 is the most urgent.
    :param target_seconds: an answer after this time is late.
    :param timeout_seconds: an answer after this time is worthless.
    """

    __slots__ = (
        'address',
        'name',
        'priority',
        'target_seconds',
        'timeout_seconds',
        'weight_by_service',
    )

    def __init__(
        self,
        name: str,
        address: addresses.Address,
        weight_by_service: dict[str, int],
        *,
        priority: int = 0,
        target_seconds: float = DEFAULT_TARGET_SECONDS,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self.priority = priority
        self.target_seconds = target_seconds
        self.timeout_seconds = timeout_seconds
        self.name = name
        self.address = address
        self.weight_by_service = weight_by_service


class RouteTable:
    """All routes of one version of the configuration.

    :param version: rises with each change.
    """

    __slots__ = ('route_by_address', 'version')

    def __init__(self, version: int, routes: typing.Iterable[Route]) -> None:
        self.version = version
        self.route_by_address = {route.address: route for route in routes}


class Routes:
    """The routes in force; they never go back to an older version."""

    __slots__ = ('_services_by_address', '_table')

    def __init__(self) -> None:
        self._table = RouteTable(0, ())
        self._services_by_address: dict[addresses.Address, list[str]] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self._table.version

    @property
    def count(self) -> int:
        """Return how many routes are in force."""
        return len(self._table.route_by_address)

    def adopt(self, table: RouteTable) -> bool:
        """Take a newer version; tell whether it was newer."""
        if table.version <= self._table.version:
            return False
        self._table = table
        for address, route in table.route_by_address.items():
            known = self._services_by_address.setdefault(address, [])
            known += [name for name in route.weight_by_service if name not in known]
        return True

    def route_at(self, address: addresses.Address) -> Route | None:
        """Return the route of an address, or None when there is none."""
        return self._table.route_by_address.get(address)

    def services_of(self, address: addresses.Address) -> list[str]:
        """Return every service that flows to an address were ever sent to."""
        return self._services_by_address.get(address, [])


def service_of(route: Route, key: bytes) -> str:
    """Return the service of a new flow, the same at every entry.

    :param route: the flow's route.
    :param key: the flow.
    """
    total = sum(route.weight_by_service.values())
    point = xxhash.xxh3_64_intdigest(key) % max(1, total)
    chosen = ''
    for name, weight in route.weight_by_service.items():
        chosen = name
        point -= weight
        if point < 0:
            break
    return chosen
