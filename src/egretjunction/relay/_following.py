"""Follows a prefix of the store: a listing, then watches for later changes.

A revision means something only in the era in which it was learned. A store that is
restored from an older copy gives revisions out again, so that a watch from a known one
may be accepted and yet miss what was written before it.

A watch returns every change since its revision, so that what has to be read grows with
the time that one is behind. Changes that are larger than the items themselves are not
read; the items are listed again instead.
"""

import itertools
import time
import typing

from egretjunction import errors
from egretjunction import store
from egretjunction.relay import _process

# After a longer gap between two watches, the era is read before the next long wait. A
# restore within a shorter one, without a failed call, is noticed when that wait ends.
MAX_GAP_SECONDS = 0.1
CONFIRMING_WAIT_SECONDS = 0.001
LISTINGS_PER_WATCH = 2  # changes may be as large as this many listings


def follow_prefix(
    store_client: store.Store,
    prefix: str,
    choose_wait_seconds: typing.Callable[[], float],
    on_listing: typing.Callable[[store.Listing], None],
    on_changes: typing.Callable[[store.Changes], None],
    log: _process.Logger,
    on_reached: typing.Callable[[bool], None],
) -> None:
    """Watch a prefix of the store; never returns.

    :param choose_wait_seconds: returns the longest duration of the next watch call.
    :param on_listing: called with all items under the prefix, at first and whenever
        changes were missed.
    :param on_changes: called with later changes.
    :param on_reached: called after each watch call with whether it was answered.
    """

    def list_all() -> store.Listing:
        return store_client.list_prefix(prefix)

    for _ in itertools.count():
        listing = _process.retry_until_answered(list_all, log, f'list {prefix}')
        on_listing(listing)
        watch_changes(
            store_client,
            prefix,
            choose_wait_seconds,
            listing,
            on_changes,
            log,
            on_reached,
        )


def watch_changes(
    store_client: store.Store,
    prefix: str,
    choose_wait_seconds: typing.Callable[[], float],
    listing: store.Listing,
    on_changes: typing.Callable[[store.Changes], None],
    log: _process.Logger,
    on_reached: typing.Callable[[bool], None],
) -> None:
    """Watch a prefix from a listing for as long as no change can have been missed.

    Returns when the store no longer keeps the changes or was restored since, or when
    they are larger than a listing.

    :param choose_wait_seconds: returns the longest duration of the next watch call.
    :param on_changes: called after each watch call, also without a change.
    :param on_reached: called after each watch call with whether it was answered.
    """
    revision = listing.revision
    max_data_bytes = _max_data_bytes(listing.items)
    answered_at = _now()

    def watch() -> store.Changes:
        is_recent = _now() - answered_at <= MAX_GAP_SECONDS
        wait_seconds = choose_wait_seconds() if is_recent else CONFIRMING_WAIT_SECONDS
        try:
            changes = store_client.watch(prefix, revision, wait_seconds, max_data_bytes)
        except errors.PlatformUnavailableError:
            on_reached(False)
            raise
        on_reached(True)
        return changes

    while True:
        try:
            changes = _process.retry_until_answered(watch, log, f'watch {prefix}')
        except store.HistoryGoneError:
            log('history_gone', prefix=prefix, revision=revision, era=listing.era)
            return
        except store.ChangesTooLargeError as error:
            log('changes_too_large', prefix=prefix, revision=revision, error=str(error))
            return
        if changes.era != listing.era:
            log(
                'watch_answered_in_other_era',
                prefix=prefix,
                after=revision,
                known_era=listing.era,
                era=changes.era,
                revision=changes.revision,
            )
            return
        answered_at = _now()
        on_changes(changes)
        revision = max(revision, changes.revision)
        max_data_bytes = max(max_data_bytes, _max_data_bytes(changes.written))


def _max_data_bytes(items: typing.Iterable[store.Item]) -> int:
    """Return the limit for the changes of items, by the size of their values."""
    return LISTINGS_PER_WATCH * sum(len(item.data) for item in items)


def _now() -> float:
    """Return the time in seconds, including time in which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
