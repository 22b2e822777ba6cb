"""How a new agent makes itself known to the listed entries."""

import typing

from egretjunction import addresses
from egretjunction.wire import relaying

INTERVAL_SECONDS = 1.0  # between announcements to an entry that has not answered
MAX_ANNOUNCEMENTS = 5  # after that, the entry finds the agent in the store
ORPHAN_SECONDS = 2.0  # entries of the own failure domain ping twice a second


class Announcer:
    """Announces an agent to entries until each of them answers.

    :param name: name of the agent.
    :param domain: its failure domain.
    """

    __slots__ = (
        '_announced_at',
        '_name',
        '_remaining_by_entry',
        '_vouched_at',
        'domain',
    )

    def __init__(self, name: str, domain: str) -> None:
        self._name = name
        self.domain = domain
        self._announced_at = float('-inf')
        self._remaining_by_entry: dict[addresses.Address, int] = {}
        self._vouched_at = float('-inf')

    def add(self, entries: typing.Iterable[addresses.Address]) -> None:
        """Announce the agent to entries at the next opportunity."""
        self._remaining_by_entry.update(dict.fromkeys(entries, MAX_ANNOUNCEMENTS))
        self._announced_at = float('-inf')

    def confirm(self, entry: addresses.Address) -> None:
        """Record that an entry knows the agent, since it has sent a message."""
        self._remaining_by_entry.pop(entry, None)

    def record_vouched(self, now: float) -> None:
        """Record that an entry that can read the store found the agent listed."""
        self._vouched_at = now

    def should_check_listing(self, now: float) -> bool:
        """Tell whether to check that the store lists the agent, as no entry says so.

        A store that was restored from an older copy may have lost the key, and nobody
        may know the agent any more.
        """
        if now - self._vouched_at <= ORPHAN_SECONDS:
            return False
        self._vouched_at = now
        return True

    def pop_due(self, now: float) -> list[addresses.Address]:
        """Return the entries to send an announcement to."""
        if now - self._announced_at < INTERVAL_SECONDS:
            return []
        self._announced_at = now
        entries = list(self._remaining_by_entry)
        remaining_by_entry = {
            entry: remaining - 1
            for entry, remaining in self._remaining_by_entry.items()
        }
        self._remaining_by_entry = {
            entry: remaining
            for entry, remaining in remaining_by_entry.items()
            if remaining > 0
        }
        return entries

    def announcement(self, service: str, status: relaying.Status) -> relaying.Announce:
        """Return the message that announces the agent."""
        return relaying.Announce(self._name, service, self.domain, status)
