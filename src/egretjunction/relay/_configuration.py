"""How an entry keeps up with the operators' configuration."""

import random
import threading
import time
import typing

from egretjunction import addresses
from egretjunction import errors
from egretjunction import store
from egretjunction.decisions import relay_routes
from egretjunction.relay import _http
from egretjunction.relay import _loop
from egretjunction.relay import _process
from egretjunction.relay import adapter
from egretjunction.relay import http_calls
from egretjunction.relay import listings

WAIT_SECONDS = 3.0  # a watch that hears nothing is repeated this soon
NEWER_SECONDS = 0.3  # between attempts to read a version that others follow
MAX_NEWER_SECONDS = 2.0  # between attempts while nobody answers them
PEERS_ASKED = 3  # entries that are asked for a version that the store refuses
PEER_SECONDS = 0.5  # a peer answers within a few milliseconds
PEER_PATH = '/configuration'


class Follower:
    """Adopts newer versions from the store, or from peers that it answers.

    :param own_name: the name of this entry.
    :param platform: the platform's adapter.
    :param routes: the routes in force; changed in the loop's thread only.
    :param loop: event loop of the process.
    :param on_adopted: called after each new version.
    :param log: writes one event.
    """

    __slots__ = (
        '_is_behind',
        '_log',
        '_loop',
        '_on_adopted',
        '_own_name',
        '_platform',
        '_routes',
        'document',
        'peer_by_name',
    )

    def __init__(
        self,
        own_name: str,
        platform: adapter.Adapter,
        routes: relay_routes.Routes,
        loop: _loop.Loop,
        on_adopted: typing.Callable[[], None],
        log: _process.Logger,
    ) -> None:
        self._own_name = own_name
        self._platform = platform
        self._routes = routes
        self._loop = loop
        self._on_adopted = on_adopted
        self._log = log
        self._is_behind = threading.Event()
        self.document = b'{}'
        self.peer_by_name: dict[str, listings.Peer] = {}

    def start(self) -> None:
        """Begin to follow."""
        for work in (self._follow_store, self._catch_up):
            _process.start(work, self._log)

    def heard_of(self, version: int) -> None:
        """Take word of a version that another entry follows."""
        if version > self._routes.version:
            self._is_behind.set()

    def _follow_store(self) -> None:
        _process.follow_prefix(
            self._platform.store,
            self._platform.configuration_key,
            WAIT_SECONDS,
            lambda listing: self._take(listing.items),
            lambda changes: self._take(changes.written),
            self._log,
        )

    def _take(self, items: typing.Iterable[store.Item]) -> None:
        wanted = [
            item for item in items if item.key == self._platform.configuration_key
        ]

        def adopt_all() -> None:
            for item in wanted:
                self._adopt(item, 'store')

        self._loop.post(adopt_all)

    def _adopt(self, item: store.Item, source: str) -> None:
        try:
            table = self._platform.read_routes(item.data)
        except errors.PlatformFormatError as error:
            self._log('configuration_malformed', source=source, error=str(error))
            return
        if self._routes.adopt(table):
            self.document = item.data
            self._log(
                'configuration_adopted',
                version=table.version,
                routes=self._routes.count,
                source=source,
                revision=item.revision,
            )
            self._on_adopted()

    def _catch_up(self) -> None:
        """Read the configuration whenever others follow a newer version."""
        pause = NEWER_SECONDS
        while self._is_behind.wait():
            is_read = self._read_from_store() or self._read_from_peers()
            pause = NEWER_SECONDS if is_read else min(pause * 2, MAX_NEWER_SECONDS)
            time.sleep(pause)
            self._is_behind.clear()

    def _read_from_store(self) -> bool:
        try:
            item = self._platform.store.get(self._platform.configuration_key)
        except errors.PlatformUnavailableError as error:
            self._log('newer_version_unread', source='store', error=str(error))
            return False
        self._take([item])
        return True

    def _read_from_peers(self) -> bool:
        others = [
            peer
            for peer in list(self.peer_by_name.values())
            if peer.name != self._own_name and peer.figures is not None
        ]
        random.shuffle(others)
        return any(self._read_from(peer) for peer in others[:PEERS_ASKED])

    def _read_from(self, peer: listings.Peer) -> bool:
        address = typing.cast('addresses.Address', peer.figures)
        try:
            code, data = http_calls.call(address, 'GET', PEER_PATH, None, PEER_SECONDS)
        except OSError as error:
            self._log('newer_version_unread', source=peer.name, error=str(error))
            return False
        item = store.Item(self._platform.configuration_key, data, 0)
        if code == _http.OK:
            self._loop.post(lambda: self._adopt(item, peer.name))
        return code == _http.OK
