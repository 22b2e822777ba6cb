"""Which entries watch the store, and for how long."""

import itertools

import pytest

from egretjunction.decisions import relay_watching

# Entries and time of a configuration in seconds, by deployment.
SITES = [(4, 3.0), (17, 5.0), (18, 5.0), (22, 5.0), (59, 6.0)]


@pytest.mark.parametrize('entries', [1, 2, 3, 17, 59])
def test_a_domain_has_two_watchers_or_all_its_entries(entries):
    domain_by_entry = {f'e-{number:02}': 'a' for number in range(entries)}
    watchers = [
        name
        for name in domain_by_entry
        if relay_watching.is_watcher(name, 'a', domain_by_entry)
    ]
    assert len(watchers) == min(entries, relay_watching.WATCHERS_PER_DOMAIN)


def test_entry_that_is_not_listed_yet_counts_itself():
    domain_by_entry = {'e-1': 'a', 'e-2': 'a', 'f-0': 'b'}
    assert not relay_watching.is_watcher('e-3', 'a', domain_by_entry)
    assert relay_watching.is_watcher('e-0', 'a', domain_by_entry)
    assert relay_watching.is_watcher('f-1', 'b', domain_by_entry)


def _watch_ends(entries, bound_seconds, until):
    """Return the ends of the watches of entries that received a change at once."""
    names = [f'e-{number:02}' for number in range(entries)]
    interval = relay_watching.configuration_interval_seconds(bound_seconds, entries)
    assert interval <= relay_watching.MAX_WATCH_SECONDS
    ends = []
    for name in names:
        elapsed = 0.0
        while elapsed < until:
            wait = relay_watching.configuration_watch_seconds(
                interval, name, names, elapsed
            )
            assert wait >= relay_watching.MIN_WATCH_SECONDS
            assert wait <= relay_watching.MAX_WATCH_SECONDS
            elapsed += wait
            ends.append((elapsed, name))
    return sorted(ends)


@pytest.mark.parametrize(('entries', 'bound_seconds'), [(1, 3.0), (2, 5.0), *SITES])
@pytest.mark.parametrize('cut_off', [0, 1])
def test_watches_that_start_together_end_throughout_the_bound(
    entries, bound_seconds, cut_off
):
    """A version is in force in time, also when every second entry is cut off."""
    if entries == 1 and cut_off:
        return
    ends = _watch_ends(entries, bound_seconds, 60.0)
    step = 1 + cut_off
    kept = {f'e-{number:02}' for number in range(0, entries, step)}
    times = [0.0, *(at for at, name in ends if name in kept)]
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert max(gaps) + relay_watching.SPREAD_SECONDS <= bound_seconds


def test_entry_that_is_not_listed_yet_waits_no_longer_than_the_others():
    interval = relay_watching.configuration_interval_seconds(5.0, 22)
    names = [f'e-{number:02}' for number in range(22)]
    wait = relay_watching.configuration_watch_seconds(interval, 'f', names, 0.0)
    assert wait <= interval


def test_listings_are_spread_around_their_interval():
    times = [relay_watching.relist_seconds(uniform) for uniform in (0, 0.5, 1)]
    assert times[1] == relay_watching.RELIST_SECONDS
    assert times[0] < times[1] < times[2]
