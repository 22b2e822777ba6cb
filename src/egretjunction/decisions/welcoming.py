"""A home entry's answer to a member that announces itself."""

import itertools

from egretjunction import addresses
from egretjunction import member_records
from egretjunction.decisions import membership
from egretjunction.wire import messages

ENTRIES_TOLD = 4


def welcome(
    view: membership.View,
    own_record: member_records.Member,
    generation: int,
    name: str,
    version: member_records.Version,
    told: int,
) -> messages.Welcome:
    """Return the answer, with lists of entries only when the member's are old.

    :param view: the members that the entry knows.
    :param own_record: the entry's own record.
    :param generation: the configuration in force at the entry.
    :param name: the member's name.
    :param version: version of the record that the member announced.
    :param told: hash of the lists that the member has.
    """
    known = view.get(name)
    newer = None
    if known is not None and known.version > version:
        newer = messages.to_record(known)
    homes = view.homes(name)
    entries = _entries_for(view, name)
    roster = membership.roster_hash([*homes, *entries])
    if roster == told:
        homes, entries = [], []
    return messages.Welcome(
        addresses.pack(own_record.control),
        generation,
        roster,
        known=newer,
        homes=tuple(messages.to_record(home) for home in homes),
        entries=tuple(messages.to_record(entry) for entry in entries),
    )


def _entries_for(view: membership.View, name: str) -> list[member_records.Member]:
    """Return a few entries, spread differently for each member."""
    entries = view.entries()
    step = max(1, len(entries) // ENTRIES_TOLD)
    start = membership.bucket_of(name) % step
    spread = itertools.islice(entries, start, None, step)
    return list(itertools.islice(spread, ENTRIES_TOLD))
