"""Tracks which failure domains are reachable, by when each was last heard from.

A silent domain is excluded as a whole, well before the gone records of its members
could spread. In a network partition each side excludes the other.
"""

import typing

from egretjunction import member_records

SILENT_AFTER_SECONDS = 15.0


class Domains:
    """Last contact with each failure domain, direct or reported by a peer.

    :param own_domain: the failure domain of this process.
    """

    __slots__ = ('_last_contact_by_domain', '_own_domain')

    def __init__(self, own_domain: str) -> None:
        self._own_domain = own_domain
        self._last_contact_by_domain: dict[str, float] = {}

    def record_contact(self, domain: str, now: float) -> None:
        """Record a message that was received directly from a domain."""
        self._last_contact_by_domain[domain] = now

    def merge(self, age_by_domain: dict[str, int], now: float) -> None:
        """Merge the contact ages of a peer.

        :param age_by_domain: whole seconds since the peer's last contact, by domain.
        :param now: time in seconds.
        """
        for domain, age in age_by_domain.items():
            # Ages are rounded down, so the earliest possible contact is assumed.
            last_contact = now - max(0, age) - 1
            earlier = self._last_contact_by_domain.get(domain, float('-inf'))
            self._last_contact_by_domain[domain] = max(earlier, last_contact)

    def contact_ages(self, now: float) -> dict[str, int]:
        """Return the contact ages for a peer; this process's domain has age 0."""
        ages = {
            domain: int(now - last_contact)
            for domain, last_contact in self._last_contact_by_domain.items()
            if now - last_contact < SILENT_AFTER_SECONDS
        }
        ages[self._own_domain] = 0
        return ages

    def restart_timeouts(self, now: float) -> None:
        """Restart the timeout of every domain after this process was paused."""
        for domain in self._last_contact_by_domain:
            self._last_contact_by_domain[domain] = now

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
        last_contact = self._last_contact_by_domain.get(domain)
        if domain == self._own_domain or last_contact is None:
            return False
        return now - last_contact >= SILENT_AFTER_SECONDS
