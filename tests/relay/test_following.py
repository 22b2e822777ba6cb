"""Following a prefix of a store that fails, pauses and is restored."""

import pytest

from egretjunction import errors
from egretjunction import store
from egretjunction.relay import _following
from egretjunction.relay import _process

LONG_SECONDS = 3.0


class _Clock:
    """A clock that stands still until it is set forward."""

    def __init__(self, monkeypatch):
        self.now = 0.0
        monkeypatch.setattr(_following, '_now', lambda: self.now)
        monkeypatch.setattr(_process.time, 'sleep', self.advance)

    def advance(self, seconds):
        self.now += seconds


class _Store:
    """Answers each watch with the next of the given results."""

    def __init__(self, *results):
        self.results = list(results)
        self.waits = []
        self.reached = []

    def watch(self, _prefix, revision, wait_seconds, max_data_bytes):
        self.waits.append((revision, wait_seconds))
        self.max_data_bytes = max_data_bytes
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


@pytest.fixture
def clock(monkeypatch):
    return _Clock(monkeypatch)


def _watch(results, on_changes=lambda _: None):
    """Watch from revision 7 in era 1; return the store and the logged events."""
    client = _Store(*results, store.HistoryGoneError())
    events = []
    _following.watch_changes(
        client,
        'p/',
        lambda: LONG_SECONDS,
        store.Listing([], 7, 1),
        on_changes,
        lambda event, **fields: events.append(event),
        client.reached.append,
    )
    return client, events


def test_watches_that_follow_each_other_wait_long(clock):
    client, _ = _watch([store.Changes([], [], 7, 1), store.Changes([], [], 9, 1)])
    assert client.waits == [(7, LONG_SECONDS), (7, LONG_SECONDS), (9, LONG_SECONDS)]


def test_era_is_read_before_a_long_wait_after_a_failure(clock):
    """Guards against a long wait in the history of another era."""
    client, _ = _watch(
        [errors.PlatformUnavailableError('down'), store.Changes([], [], 7, 1)]
    )
    assert client.reached == [False, True]
    waits = [wait for _, wait in client.waits]
    assert waits == [LONG_SECONDS, _following.CONFIRMING_WAIT_SECONDS, LONG_SECONDS]


def test_era_is_read_before_a_long_wait_after_a_pause(clock):
    """Guards against a restore during a pause or a suspension of the process."""
    client, _ = _watch(
        [store.Changes([], [], 7, 1), store.Changes([], [], 7, 1)],
        on_changes=lambda _: clock.advance(0.5),
    )
    assert [wait for _, wait in client.waits[1:]] == [
        _following.CONFIRMING_WAIT_SECONDS
    ] * 2


def test_changes_of_another_era_end_the_watch_undelivered(clock):
    delivered = []
    item = store.Item('p/1', b'x', 9, 2)
    client, events = _watch([store.Changes([item], [], 9, 2)], delivered.append)
    assert not delivered
    assert events == ['watch_answered_in_other_era']
    assert len(client.waits) == 1


def test_changes_larger_than_the_listing_end_the_watch(clock):
    """Guards against reading each version when only the newest one is wanted."""
    client, events = _watch([store.ChangesTooLargeError('much')])
    assert events == ['changes_too_large']
    assert client.max_data_bytes == 0


def test_limit_of_changes_follows_the_largest_value(clock):
    item = store.Item('p/1', b'x' * 1000, 8, 1)
    client, _ = _watch(
        [store.Changes([item], [], 8, 1), store.Changes([], [], 9, 1)], lambda _: None
    )
    assert client.max_data_bytes == 2000
