"""Which entries watch the store, and for how long."""

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


@pytest.mark.parametrize(('entries', 'bound_seconds'), SITES)
def test_half_of_the_entries_repeat_a_watch_within_the_bound(entries, bound_seconds):
    """With evenly spread watches of half the entries, one ends before the bound."""
    longest = relay_watching.configuration_watch_seconds(bound_seconds, entries, 1.0)
    assert longest <= relay_watching.MAX_WATCH_SECONDS
    interval = longest / (entries / 2)
    assert interval + relay_watching.SPREAD_SECONDS <= bound_seconds


def test_watches_of_one_length_are_spread():
    shortest, longest = (
        relay_watching.configuration_watch_seconds(6.0, 59, uniform)
        for uniform in (0, 1)
    )
    assert shortest == longest / 2


def test_listings_are_spread_around_their_interval():
    times = [relay_watching.relist_seconds(uniform) for uniform in (0, 0.5, 1)]
    assert times[1] == relay_watching.RELIST_SECONDS
    assert times[0] < times[1] < times[2]
