"""Keeps an entry's routes in step with the operators' configuration."""

import random
import threading
import time
import typing

from egretjunction import addresses
from egretjunction import errors
from egretjunction import store
from egretjunction.decisions import relay_routes
from egretjunction.decisions import relay_watching
from egretjunction.relay import _following
from egretjunction.relay import _http
from egretjunction.relay import _loop
from egretjunction.relay import _process
from egretjunction.relay import adapter
from egretjunction.relay import http_calls
from egretjunction.relay import listings

CATCH_UP_SECONDS = 0.3  # between attempts to read a version that peers follow
MAX_CATCH_UP_SECONDS = 2.0  # between attempts while neither store nor peers answer
MAX_PEERS = 3  # entries to query when the store does not answer
PEER_TIMEOUT_SECONDS = 0.5  # a peer answers within a few milliseconds
PEER_PATH = '/configuration'


class Follower:
    """Adopts newer versions from the store or, when it does not answer, from peers.

    ``on_read`` is called in a thread with each listing and each change of the
    operators' keys.

    :param own_name: the name of this entry.
    :param bound_seconds: time within which an accepted version must be in force.
    :param platform: the platform's adapter.
    :param routes: the routes in force; modified only in the loop's thread.
    :param loop: event loop of the process.
    :param on_adopted: called after each adopted version.
    :param on_restored: called in a thread when the store was restored from a copy.
    :param log: writes one event.
    """

    __slots__ = (
        '_adopted_era',
        '_answered_at',
        '_bound_seconds',
        '_changed_at',
        '_heard_at',
        '_is_adopting',
        '_is_behind',
        '_log',
        '_loop',
        '_newest_version',
        '_on_adopted',
        '_on_restored',
        '_own_name',
        '_platform',
        '_routes',
        'document',
        'is_store_reached',
        'on_read',
        'peer_by_name',
        'store_era',
    )

    def __init__(
        self,
        own_name: str,
        bound_seconds: float,
        platform: adapter.Adapter,
        routes: relay_routes.Routes,
        loop: _loop.Loop,
        on_adopted: typing.Callable[[], None],
        on_restored: typing.Callable[[], None],
        log: _process.Logger,
    ) -> None:
        self._own_name = own_name
        self._bound_seconds = bound_seconds
        self._platform = platform
        self._routes = routes
        self._loop = loop
        self._on_adopted = on_adopted
        self._on_restored = on_restored
        self._log = log
        self._is_behind = threading.Event()
        self._is_adopting = False
        self._newest_version = 0
        self._heard_at: float | None = None
        self._answered_at = time.monotonic()
        self._changed_at = self._answered_at
        self._adopted_era = 0
        self.on_read: typing.Callable[[store.Listing | store.Changes], None] = (
            lambda _result: None
        )
        self.document = b'{}'
        self.is_store_reached = False
        self.store_era = 0
        self.peer_by_name: dict[str, listings.Peer] = {}

    def start(self) -> None:
        """Start the threads that read the configuration."""
        for task in (self._follow_store, self._catch_up):
            _process.start(task, self._log)

    def note_version(self, version: int) -> None:
        """Start catching up when another entry follows a newer version."""
        in_force = self._routes.version
        if version <= in_force:
            return
        if version > self._newest_version:
            self._newest_version = version
            self._heard_at = self._heard_at or time.monotonic()
            unanswered_seconds = round(self.unanswered_seconds(), 3)
            self._log(
                'newer_version_heard',
                version=version,
                in_force=in_force,
                store_unanswered_seconds=unanswered_seconds,
            )
        self._is_behind.set()

    def unanswered_seconds(self) -> float:
        """Return the time since the store last answered a read or a watch."""
        return time.monotonic() - self._answered_at

    def pop_delay_seconds(self) -> float:
        """Return the time since a newer version was first heard of from others.

        :return: the time in seconds, 0 if the store was the first to tell of it.
        """
        heard_at = self._heard_at
        self._heard_at = None
        return 0 if heard_at is None else time.monotonic() - heard_at

    def _follow_store(self) -> None:
        _following.follow_prefix(
            self._platform.store,
            self._platform.operator_prefix,
            self._choose_watch_seconds,
            self._on_listing,
            self._on_changes,
            self._log,
            self._on_reached,
        )

    def _on_reached(self, is_reached: bool) -> None:
        self.is_store_reached = is_reached
        if is_reached:
            self._answered_at = time.monotonic()

    def _on_listing(self, listing: store.Listing) -> None:
        self._changed_at = time.monotonic()
        is_restored = 0 < self.store_era < listing.era
        self.store_era = listing.era
        self._on_reached(True)
        self.on_read(listing)
        self._post_adoption(listing.items)
        if is_restored:
            self._on_restored()

    def _on_changes(self, changes: store.Changes) -> None:
        if changes.written or changes.deleted:
            self._changed_at = time.monotonic()
        self.on_read(changes)
        self._post_adoption(changes.written)

    def _choose_watch_seconds(self) -> float:
        names = {self._own_name, *self.peer_by_name}
        return relay_watching.configuration_watch_seconds(
            relay_watching.configuration_interval_seconds(
                self._bound_seconds, len(names)
            ),
            self._own_name,
            names,
            time.monotonic() - self._changed_at,
        )

    def _post_adoption(self, items: typing.Iterable[store.Item]) -> None:
        for item in items:
            if item.key == self._platform.configuration_key:
                self._post_item(item, 'store')

    def _post_item(self, item: store.Item, source: str) -> int:
        """Have the loop adopt an item; return its version, 0 if it is malformed."""
        if item.data == self.document and item.era <= self._adopted_era:
            return self._routes.version
        self._is_adopting = True
        try:
            table = self._platform.read_routes(item.data)
        except errors.PlatformFormatError as error:
            self._is_adopting = False
            self._log('configuration_malformed', source=source, error=str(error))
            return 0

        def adopt() -> None:
            self._adopt(table, item, source)
            self._is_adopting = False

        self._loop.post(adopt)
        return table.version

    def _adopt(
        self, table: relay_routes.RouteTable, item: store.Item, source: str
    ) -> None:
        in_force = self._routes.version
        is_replacement = self._is_replacement(table, item)
        if not self._routes.adopt(table, is_replacement=is_replacement):
            self._log(
                'configuration_not_newer',
                version=table.version,
                in_force=in_force,
                source=source,
                revision=item.revision,
                era=item.era,
            )
            return
        for problem in table.problems:
            self._log('route_bound_rejected', version=table.version, error=problem)
        self.document = item.data
        self._adopted_era = item.era
        self._log(
            'configuration_replaced' if is_replacement else 'configuration_adopted',
            version=table.version,
            routes=self._routes.count,
            source=source,
            revision=item.revision,
            era=item.era,
        )
        self._on_adopted()

    def _is_replacement(self, table: relay_routes.RouteTable, item: store.Item) -> bool:
        """Tell whether the store holds other content for the version in force.

        A version that was adopted, but lost by the store before its writer knew that it
        was accepted, may be given to another change after the restore.
        """
        if table.version != self._routes.version or item.era <= self._adopted_era:
            return False
        return item.data != self.document

    def _catch_up(self) -> None:
        """Read the configuration whenever other entries follow a newer version."""
        pause_seconds = CATCH_UP_SECONDS
        while self._is_behind.wait():
            is_caught_up = (
                self._is_catching_up()
                or self._read_from_store()
                or self._read_from_peers()
            )
            pause_seconds = (
                CATCH_UP_SECONDS
                if is_caught_up
                else min(pause_seconds * 2, MAX_CATCH_UP_SECONDS)
            )
            time.sleep(pause_seconds)
            self._is_behind.clear()

    def _is_catching_up(self) -> bool:
        """Tell whether the newest version is in force, or a version is on its way.

        A second copy would share the link with the one that is arriving.
        """
        if self._routes.version >= self._newest_version:
            return True
        return self._platform.store.is_receiving or self._is_adopting

    def _read_from_store(self) -> bool:
        """Read the store's version; tell whether it is the newest one.

        A store that was restored from an older copy may hold a version that the
        entries have passed.
        """
        try:
            item = self._platform.store.get(self._platform.configuration_key)
        except errors.PlatformUnavailableError as error:
            self._log('newer_version_unread', source='store', error=str(error))
            return False
        return self._post_item(item, 'store') >= self._newest_version

    def _read_from_peers(self) -> bool:
        peers = [
            peer
            for peer in list(self.peer_by_name.values())
            if peer.name != self._own_name and peer.metrics_address is not None
        ]
        random.shuffle(peers)
        return any(self._read_from_peer(peer) for peer in peers[:MAX_PEERS])

    def _read_from_peer(self, peer: listings.Peer) -> bool:
        address = typing.cast('addresses.Address', peer.metrics_address)
        try:
            response = http_calls.call(
                address, 'GET', PEER_PATH, None, PEER_TIMEOUT_SECONDS
            )
        except OSError as error:
            self._log('newer_version_unread', source=peer.name, error=str(error))
            return False
        item = store.Item(self._platform.configuration_key, response.body, 0)
        if response.code != _http.OK:
            self._log('newer_version_unread', source=peer.name, error=response.code)
            return False
        return self._post_item(item, peer.name) >= self._newest_version
