"""Builds a home entry's reply to the announcement of a member."""

import itertools

from egretjunction import addresses
from egretjunction import member_records
from egretjunction.decisions import membership
from egretjunction.wire import messages

MAX_ENTRIES = 4


def welcome(
    view: membership.View,
    own_record: member_records.Member,
    generation: int,
    name: str,
    version: member_records.Version,
    known_roster: int,
) -> messages.Welcome:
    """Return the reply, with lists of entries only when the member's are outdated.

    :param view: the members that the entry knows.
    :param own_record: the entry's own record.
    :param generation: generation of the entry's configuration.
    :param name: name of the member.
    :param version: version of the record that the member announced.
    :param known_roster: hash of the lists that the member has, 0 for none.
    """
    known = view.get(name)
    newer_record = None
    if known is not None and known.version > version:
        newer_record = messages.to_record(known)
    homes = view.homes(name)
    entries = _select_entries(view, name)
    roster = membership.roster_hash([*homes, *entries])
    if roster == known_roster:
        homes, entries = [], []
    return messages.Welcome(
        addresses.pack(own_record.control),
        generation,
        roster,
        known=newer_record,
        homes=tuple(messages.to_record(home) for home in homes),
        entries=tuple(messages.to_record(entry) for entry in entries),
    )


def _select_entries(view: membership.View, name: str) -> list[member_records.Member]:
    """Return at most ``MAX_ENTRIES`` entries, selected by the member's name."""
    entries = view.entries()
    step = max(1, len(entries) // MAX_ENTRIES)
    start = membership.bucket_of(name) % step
    selected = itertools.islice(entries, start, None, step)
    return list(itertools.islice(selected, MAX_ENTRIES))
