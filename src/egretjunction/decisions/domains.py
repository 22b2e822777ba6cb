"""Which failure domains can be reached, from the age of the last news of each.

One silent domain is left out as a whole, long before the records of its members
could travel; a cut between regions is seen by each side for itself.
"""

import typing

from egretjunction import member_records

SILENT_AFTER_SECONDS = 15.0


class Domains:
    """When each failure domain was last heard of, directly or by hearsay.

    :param own: the failure domain of this process.
    """

    __slots__ = ('_heard_at_by_domain', '_own')

    def __init__(self, own: str) -> None:
        self._own = own
        self._heard_at_by_domain: dict[str, float] = {}

    def heard(self, domain: str, now: float) -> None:
        """Note a message that came straight from a domain."""
        self._heard_at_by_domain[domain] = now

    def merge(self, ages: dict[str, int], now: float) -> None:
        """Take in what a peer heard, as ages in seconds."""
        for domain, age in ages.items():
            heard_at = now - max(0, age) - 1
            known = self._heard_at_by_domain.get(domain, float('-inf'))
            self._heard_at_by_domain[domain] = max(known, heard_at)

    def ages(self, now: float) -> dict[str, int]:
        """Return the ages to tell a peer; the own domain has age 0."""
        told = {
            domain: int(now - heard_at)
            for domain, heard_at in self._heard_at_by_domain.items()
            if now - heard_at < SILENT_AFTER_SECONDS
        }
        told[self._own] = 0
        return told

    def resumed(self, now: float) -> None:
        """Grant every domain a full period after this process was paused."""
        for domain in self._heard_at_by_domain:
            self._heard_at_by_domain[domain] = now

    def reachable(
        self,
        members: typing.Sequence[member_records.Member],
        now: float,
    ) -> list[member_records.Member]:
        """Return the members in domains that are not silent, or all if none is.

        :param members: agents of one service.
        :param now: time in seconds.
        """
        kept = [member for member in members if not self._is_silent(member.domain, now)]
        return kept or list(members)

    def _is_silent(self, domain: str, now: float) -> bool:
        heard_at = self._heard_at_by_domain.get(domain)
        if domain == self._own or heard_at is None:
            return False
        return now - heard_at >= SILENT_AFTER_SECONDS
