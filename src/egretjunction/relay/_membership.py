"""Keeps an entry's view of the listed processes up to date."""

import itertools
import random
import threading
import time
import typing

from egretjunction import store
from egretjunction.decisions import relay_eras
from egretjunction.decisions import relay_watching
from egretjunction.relay import _following
from egretjunction.relay import _process
from egretjunction.relay import listings
from egretjunction.relay import settings

WATCH_SECONDS = 15.0  # longest duration of one watch call


class ListingFollower:
    """Lists this entry and follows the listings of the others, in a thread of its own.

    :param entry_settings: settings of this entry.
    :param store_client: the key-value service.
    :param on_listing: called with a listing, and whether it may be seconds old.
    :param on_changes: called with later changes.
    :param on_watching: called when a watch starts or ends, with whether it has started.
    :param log: writes one event.
    """

    __slots__ = (
        '_is_needed',
        '_log',
        '_on_changes',
        '_on_listing',
        '_on_watching',
        '_own_item',
        '_settings',
        '_store',
    )

    def __init__(
        self,
        entry_settings: settings.RelayEntry,
        store_client: store.Store,
        on_listing: typing.Callable[[store.Listing, bool], None],
        on_changes: typing.Callable[[store.Changes], None],
        on_watching: typing.Callable[[bool], None],
        log: _process.Logger,
    ) -> None:
        self._on_watching = on_watching
        self._settings = entry_settings
        self._store = store_client
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._log = log
        self._is_needed = threading.Event()
        self._own_item = listings.entry_item(
            entry_settings.name,
            entry_settings.domain,
            entry_settings.agents,
            entry_settings.metrics,
        )

    def run(self) -> None:
        """Follow the listings; never returns."""
        listing = self._list(allow_stale=False)
        for _ in itertools.count():
            if self._is_watcher(listing):
                self._on_watching(True)
                if not listings.is_era_marked(listing):
                    self._start_marking(listing.era)
                self._watch(listing)
                self._on_watching(False)
                listing = self._list(allow_stale=False)
            else:
                is_needed = self._is_needed.wait(
                    relay_watching.relist_seconds(random.random())
                )
                listing = self._list(allow_stale=not is_needed)
                self._is_needed.clear()

    def request_listing(self) -> None:
        """Read a listing that is not stale soon; thread-safe."""
        self._is_needed.set()

    def _list(self, *, allow_stale: bool) -> store.Listing:
        """List all processes; list this one too if the store lacks it.

        An agent that starts at the same moment lists itself before it lists the
        others, as this entry does. Whichever lists the others last finds both.
        """
        listing = self._read_listing(allow_stale=allow_stale)
        if any((item.key, item.data) == self._own_item for item in listing.items):
            return listing
        self._put_own()
        return self._read_listing(allow_stale=False)

    def _read_listing(self, *, allow_stale: bool) -> store.Listing:
        listing = _process.retry_until_answered(
            lambda: self._store.list_prefix(listings.PREFIX, allow_stale=allow_stale),
            self._log,
            'list processes',
        )
        self._on_listing(listing, allow_stale)
        return listing

    def _put_own(self) -> None:
        _process.retry_until_answered(
            lambda: self._store.put(*self._own_item),
            self._log,
            'put own listing',
        )

    def _start_marking(self, era: int) -> None:
        """Start a thread that marks an era once its listings can be complete."""
        if era:
            _process.start(lambda: self._mark_era(era), self._log)

    def _mark_era(self, era: int) -> None:
        time.sleep(relay_eras.SETTLING_SECONDS + random.random())
        item = _process.retry_until_answered(
            lambda: self._store.get(listings.ERA_KEY), self._log, 'get era'
        )
        if item.era != era or listings.marks_era(item, era):
            return
        _process.retry_until_answered(
            lambda: self._store.put(*listings.era_item(era)), self._log, 'put era'
        )
        self._log('era_settled', era=era)

    def _is_watcher(self, listing: store.Listing) -> bool:
        peers = [listings.read_entry(item) for item in listing.items]
        domain_by_entry = {peer.name: peer.domain for peer in peers if peer is not None}
        return relay_watching.is_watcher(
            self._settings.name, self._settings.domain, domain_by_entry
        )

    def _watch(self, listing: store.Listing) -> None:
        """Watch until changes were missed."""

        def on_changes(changes: store.Changes) -> None:
            self._on_changes(changes)
            own_key = self._own_item[0]
            if own_key in changes.deleted:
                self._log('own_listing_lost', key=own_key)
                self._put_own()
            if listings.ERA_KEY in changes.deleted:
                self._start_marking(changes.era)
            if changes.written or changes.deleted:
                time.sleep(relay_watching.COALESCING_SECONDS)

        _following.watch_changes(
            self._store,
            listings.PREFIX,
            lambda: WATCH_SECONDS,
            listing,
            on_changes,
            self._log,
            lambda _: None,
        )
