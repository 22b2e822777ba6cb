"""Which entries watch the store, and for how long.

Every change of a key costs one call of each process that watches it. Few entries of
each failure domain therefore watch the listings; agents announce themselves to the
others.

A store that accepts a watch and never answers it is noticed only when the watch ends.
The entry that notices it first learns of a new version, which spreads through the
agents. A change ends the watches of all entries at one moment; those that follow it end
at times that are spread evenly, so that some entry's watch ends within the bound.
"""

import typing

WATCHERS_PER_DOMAIN = 2  # one of them may be restarting
RELIST_SECONDS = 20.0  # between listings of an entry that does not watch
COALESCING_SECONDS = 0.5  # between two watches, so that one covers many changes
MAX_WATCH_SECONDS = 25.0  # the longest watch that platforms allow is 30 s
MIN_WATCH_SECONDS = 1.0
SPREAD_SECONDS = 1.0  # a version reaches every entry through agents within this time
ENTRIES_PER_WATCH = 2.0  # one of two may be cut off or restarting
MIN_JITTER_SHARE = 0.5  # of the time between two listings


def is_watcher(
    name: str, domain: str, domain_by_entry: typing.Mapping[str, str]
) -> bool:
    """Tell whether an entry watches the listings, as the first ones of a domain do.

    :param name: name of the entry.
    :param domain: its failure domain.
    :param domain_by_entry: failure domains of all listed entries.
    """
    others = sorted(
        other
        for other, other_domain in domain_by_entry.items()
        if other_domain == domain and other != name
    )
    return sum(other < name for other in others) < WATCHERS_PER_DOMAIN


def relist_seconds(uniform: float) -> float:
    """Return the time until the next listing of an entry that does not watch.

    :param uniform: random number in [0, 1), which spreads the entries.
    """
    return RELIST_SECONDS * (MIN_JITTER_SHARE + uniform)


def configuration_interval_seconds(
    configuration_seconds: float, entry_count: int
) -> float:
    """Return the time between two ends of an entry's watches of the configuration.

    :param configuration_seconds: time within which a version must be in force.
    :param entry_count: number of entries that repeat their watches.
    """
    slack_seconds = max(MIN_WATCH_SECONDS, configuration_seconds - SPREAD_SECONDS)
    interval_seconds = slack_seconds * max(1.0, entry_count / ENTRIES_PER_WATCH)
    return min(MAX_WATCH_SECONDS, interval_seconds)


def configuration_watch_seconds(
    interval_seconds: float,
    name: str,
    entry_names: typing.Collection[str],
    since_change_seconds: float,
) -> float:
    """Return how long an entry waits in one watch of the configuration.

    :param interval_seconds: time between two ends of its watches.
    :param name: name of the entry.
    :param entry_names: names of all entries that repeat their watches.
    :param since_change_seconds: time since the last change, which all of them received
        at the same moment.
    """
    position = sum(other < name for other in entry_names)
    count = max(position + 1, len(entry_names))
    offset_seconds = interval_seconds * (position + 0.5) / count
    until_end_seconds = (offset_seconds - since_change_seconds) % interval_seconds
    return max(MIN_WATCH_SECONDS, until_end_seconds)
