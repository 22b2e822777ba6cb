"""Sizes of the two users' systems, as started by the demo."""

ONE_MS_SECONDS = 0.001


class ServiceSize:
    """One service and its number of backend servers.

    :param name: name of the service.
    :param team: team that owns the service's configuration section.
    :param servers: number of backend servers.
    :param options: further lines of the configuration section.
    """

    __slots__ = ('name', 'options', 'servers', 'team')

    def __init__(self, name: str, team: str, servers: int, options: str = '') -> None:
        self.name = name
        self.team = team
        self.servers = servers
        self.options = options


class Size:
    """Number of failure domains, entries and backend servers of a user's system.

    :param user: name of the user.
    :param domains: number of failure domains.
    :param entries: number of entries.
    :param services: services with their backend servers.
    :param delay_seconds: one-way delay between callers and the system.
    """

    __slots__ = ('delay_seconds', 'domains', 'entries', 'services', 'user')

    def __init__(
        self,
        user: str,
        domains: int,
        entries: int,
        services: tuple[ServiceSize, ...],
        delay_seconds: float,
    ) -> None:
        self.user = user
        self.domains = domains
        self.entries = entries
        self.services = services
        self.delay_seconds = delay_seconds


_SERVICE_OPTIONS = 'feed_paths = /feed*\nlarge_paths = /photos*\n'
SYLFAEN = Size(
    'sylfaen',
    4,
    4,
    (
        ServiceSize('bookings', 'booking', 7, _SERVICE_OPTIONS),
        ServiceSize('surveys', 'photo', 4, _SERVICE_OPTIONS),
    ),
    ONE_MS_SECONDS,
)
LAKESHORE = Size(
    'lakeshore',
    3,
    3,
    (
        ServiceSize('dispatch', 'dispatch', 7, _SERVICE_OPTIONS),
        ServiceSize('intake', 'intake', 3, _SERVICE_OPTIONS),
    ),
    3 * ONE_MS_SECONDS,
)
