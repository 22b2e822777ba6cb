"""Tracks which failure domains are reachable, by when each was last heard from.

A silent domain is excluded as a whole, well before the gone records of its members
could spread. In a network partition each side excludes the other.
"""

import typing

from egretjunction import member_records
from egretjunction.decisions import contacts

SILENT_AFTER_SECONDS = 15.0


class Domains:
    """Last contact with each failure domain, direct or reported by a peer.

    :param own_domain: the failure domain of this process.
    """

    __slots__ = ('_contacts', '_own_domain')

    def __init__(self, own_domain: str) -> None:
        self._own_domain = own_domain
        self._contacts: contacts.LastContacts[str] = contacts.LastContacts()

    def record_contact(self, domain: str, now: float) -> None:
        """Record a message that was received directly from a domain."""
        self._contacts.record(domain, now)

    def merge(self, age_by_domain: dict[str, int], now: float) -> None:
        """Merge the contact ages of a peer.

        :param age_by_domain: whole seconds since the peer's last contact, by domain.
        :param now: time in seconds.
        """
        for domain, age in age_by_domain.items():
            # Ages are rounded down, so the earliest possible contact is assumed.
            self._contacts.record(domain, now - max(0, age) - 1)

    def contact_ages(self, now: float) -> dict[str, int]:
        """Return the contact ages for a peer; this process's domain has age 0."""
        ages = {
            domain: int(age)
            for domain, age in self._contacts.ages(now).items()
            if age < SILENT_AFTER_SECONDS
        }
        ages[self._own_domain] = 0
        return ages

    def restart_timeouts(self, now: float) -> None:
        """Restart the timeout of every domain after this process was paused."""
        self._contacts.restart_timeouts(now)

    def reachable(
        self,
        members: typing.Sequence[member_records.Member],
        now: float,
    ) -> list[member_records.Member]:
        """Return the members in reachable domains, or all when there is none.

        :param members: agents of one service.
        :param now: time in seconds.
        """
        reachable_members = [
            member for member in members if not self._is_silent(member.domain, now)
        ]
        return reachable_members or list(members)

    def _is_silent(self, domain: str, now: float) -> bool:
        last_contact = self._contacts.last(domain)
        is_known = last_contact > float('-inf')
        if domain == self._own_domain or not is_known:
            return False
        return now - last_contact >= SILENT_AFTER_SECONDS
