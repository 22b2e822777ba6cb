"""The sizes of the two users' systems, as the demo starts them."""

ONE_MS = 0.001


class ServiceSize:
    """How many backend servers a service has.

    :param name: name of the service.
    :param team: team that owns its section.
    :param servers: number of backend servers.
    :param options: further lines of its configuration section.
    """

    __slots__ = ('name', 'options', 'servers', 'team')

    def __init__(self, name: str, team: str, servers: int, options: str = '') -> None:
        self.name = name
        self.team = team
        self.servers = servers
        self.options = options


class Size:
    """The size of a user's system.

    :param user: name of the user.
    :param domains: failure domains.
    :param entries: number of entries.
    :param services: the services.
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


_OPTIONS = 'feed_paths = /feed*\nlarge_paths = /photos*\n'
SYLFAEN = Size(
    'sylfaen',
    4,
    4,
    (
        ServiceSize('bookings', 'booking', 7, _OPTIONS),
        ServiceSize('surveys', 'photo', 4, _OPTIONS),
    ),
    ONE_MS,
)
LAKESHORE = Size(
    'lakeshore',
    3,
    3,
    (
        ServiceSize('dispatch', 'dispatch', 7, _OPTIONS),
        ServiceSize('intake', 'intake', 3, _OPTIONS),
    ),
    3 * ONE_MS,
)
