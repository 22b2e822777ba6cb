"""Routes of relayed flows to services, as set by the configuration."""

import typing

import xxhash

from egretjunction import addresses
from egretjunction.wire import relaying

# Bounds of a route that no accepted version of the configuration has stated.
FALLBACK_TARGET_SECONDS = 0.2
FALLBACK_TIMEOUT_SECONDS = 1.0
MAX_COLD_PER_SECOND = 1_000_000_000  # a higher figure is a typing error
MAX_UNKNOWN_ADDRESSES = 1024  # the oldest is dropped first


class Route:
    """One route.

    :param name: name of the route.
    :param address: address and port that clients send to.
    :param weight_by_service: relative share of new flows for each service; the
        weights need not add up to a fixed total.
    :param priority: priority of its requests; 0 is the most urgent.
    :param target_seconds: target latency; a later answer counts as late. 0 if unknown.
    :param timeout_seconds: request timeout; a later answer is useless. 0 if unknown.
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
        target_seconds: float = 0,
        timeout_seconds: float = 0,
    ) -> None:
        self.priority = priority
        self.target_seconds = target_seconds
        self.timeout_seconds = timeout_seconds
        self.name = name
        self.address = address
        self.weight_by_service = weight_by_service


class RouteTable:
    """All routes of one configuration version.

    :param version: version number, increasing with each change.
    :param routes: the routes of that version.
    :param problems: bounds that are missing or not allowed, in words.
    :param cold_per_second_by_service: requests that a cold server of a service bears
        in a second; 0 if it is not limited, None if the figure is not allowed.
    """

    __slots__ = (
        'cold_per_second_by_service',
        'problems',
        'route_by_address',
        'services',
        'version',
    )

    def __init__(
        self,
        version: int,
        routes: typing.Iterable[Route],
        problems: typing.Sequence[str] = (),
        cold_per_second_by_service: typing.Mapping[str, float | None] | None = None,
    ) -> None:
        self.cold_per_second_by_service = dict(cold_per_second_by_service or {})
        self.version = version
        self.problems = problems
        self.route_by_address = {route.address: route for route in routes}
        self.services = {
            service
            for route in self.route_by_address.values()
            for service in route.weight_by_service
        }

    def complete_bounds(self, previous: 'RouteTable') -> None:
        """Take unknown bounds of routes from the previous version.

        A route without one there gets the longest bound of this version, so that no
        request is given up too early. A figure of a service that is not allowed is
        replaced by the previous one too.
        """
        for service, figure in self.cold_per_second_by_service.items():
            if figure is None:
                before_figure = previous.cold_per_second_by_service.get(service)
                self.cold_per_second_by_service[service] = before_figure
        routes = self.route_by_address.values()
        longest_target = max((route.target_seconds for route in routes), default=0)
        longest_timeout = max((route.timeout_seconds for route in routes), default=0)
        for address, route in self.route_by_address.items():
            before = previous.route_by_address.get(address, route)
            route.target_seconds = (
                route.target_seconds
                or before.target_seconds
                or longest_target
                or FALLBACK_TARGET_SECONDS
            )
            route.timeout_seconds = (
                route.timeout_seconds
                or before.timeout_seconds
                or longest_timeout
                or FALLBACK_TIMEOUT_SECONDS
            )


class Routes:
    """The routes in force, which are never replaced by those of an older version."""

    __slots__ = ('_services_by_address', '_table')

    def __init__(self) -> None:
        self._table = RouteTable(0, ())
        self._services_by_address: dict[addresses.Address, list[str]] = {}

    @property
    def version(self) -> int:
        """Return the version in force, or 0 before the first one."""
        return self._table.version

    @property
    def count(self) -> int:
        """Return the number of routes in force."""
        return len(self._table.route_by_address)

    @property
    def services(self) -> set[str]:
        """Return the services that the routes in force name."""
        return self._table.services

    def adopt(self, table: RouteTable, *, is_replacement: bool = False) -> bool:
        """Put a route table into force if it is newer; return whether it was.

        :param table: the routes of an accepted version.
        :param is_replacement: whether it may replace other routes of the same version.
        """
        oldest = self._table.version + (not is_replacement)
        if table.version < oldest:
            return False
        table.complete_bounds(self._table)
        self._table = table
        for address, route in table.route_by_address.items():
            services = self._services_by_address.setdefault(address, [])
            services += [
                name for name in route.weight_by_service if name not in services
            ]
        return True

    def cold_per_second(self, service: str) -> float:
        """Return what a cold server of a service bears in a second.

        :return: the figure, 0 if the operators give none, ``relaying.NO_LIMIT`` if no
            allowed figure is known.
        """
        if not self.version:
            return relaying.NO_LIMIT
        figure = self._table.cold_per_second_by_service.get(service, 0)
        return relaying.NO_LIMIT if figure is None else figure

    def route_at(self, address: addresses.Address) -> Route | None:
        """Return the route of an address, or None if it has none."""
        return self._table.route_by_address.get(address)

    def known_services(self, address: addresses.Address) -> list[str]:
        """Return all services that any adopted version listed for an address.

        Versions before the start of this process may have listed others.
        """
        return self._services_by_address.get(address, [])


class UnknownAddresses:
    """Addresses that clients send to and that no adopted version lists.

    An entry may put a version into force later than the others, or have started after a
    route was removed.

    :param configuration_seconds: time within which accepted versions must be in force.
    """

    __slots__ = ('_configuration_seconds', '_seen_by_address')

    def __init__(self, configuration_seconds: float) -> None:
        self._configuration_seconds = configuration_seconds
        self._seen_by_address: dict[addresses.Address, tuple[float, float]] = {}

    def has_no_route(self, address: addresses.Address, now: float) -> bool:
        """Tell whether a version that lists the address would be in force by now.

        :param address: destination of a client's packet.
        :param now: the time in seconds.
        """
        first_seen_at, last_seen_at = self._seen_by_address.pop(address, (now, now))
        if now - last_seen_at > self._configuration_seconds:
            first_seen_at = now
        self._seen_by_address[address] = (first_seen_at, now)
        if len(self._seen_by_address) > MAX_UNKNOWN_ADDRESSES:
            self._seen_by_address.pop(next(iter(self._seen_by_address)))
        return now - first_seen_at >= self._configuration_seconds


def choose_service(route: Route, key: bytes) -> str:
    """Choose the service of a new flow by weight.

    The choice depends only on the arguments, so that all entries make the same one.

    :param route: the flow's route.
    :param key: the flow's key.
    """
    total_weight = sum(route.weight_by_service.values())
    point = xxhash.xxh3_64_intdigest(key) % max(1, total_weight)
    chosen = ''
    for service, weight in route.weight_by_service.items():
        chosen = service
        point -= weight
        if point < 0:
            break
    return chosen
