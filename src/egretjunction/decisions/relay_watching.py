"""Which entries watch the store, and for how long.

Every change of a key costs one call of each process that watches it. Few entries of
each failure domain therefore watch the listings; agents announce themselves to the
others. A watch of the configuration that goes silent is noticed only when it ends; the
more entries repeat theirs, the sooner one of them learns of a new version, which
spreads through the agents.
"""

import typing

WATCHERS_PER_DOMAIN = 2  # one of them may be restarting
RELIST_SECONDS = 20.0  # between listings of an entry that does not watch
COALESCING_SECONDS = 0.5  # between two watches, so that one covers many changes
MAX_WATCH_SECONDS = 25.0  # the longest watch that platforms allow is 30 s
MIN_WATCH_SECONDS = 1.0
SPREAD_SECONDS = 1.0  # a version reaches every entry through agents within this time
ENTRIES_PER_WATCH = 2.0  # one of two may be cut off or restarting
MIN_JITTER_SHARE = 0.5


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


def configuration_watch_seconds(
    configuration_seconds: float, entry_count: int, uniform: float
) -> float:
    """Return how long an entry waits in one watch of the configuration.

    :param configuration_seconds: time within which a version must be in force.
    :param entry_count: number of entries that repeat their watches.
    :param uniform: random number in [0, 1), which spreads the entries.
    """
    slack_seconds = max(MIN_WATCH_SECONDS, configuration_seconds - SPREAD_SECONDS)
    longest = slack_seconds * max(1.0, entry_count / ENTRIES_PER_WATCH)
    jitter = MIN_JITTER_SHARE + (1 - MIN_JITTER_SHARE) * uniform
    return max(MIN_WATCH_SECONDS, min(MAX_WATCH_SECONDS, longest) * jitter)
