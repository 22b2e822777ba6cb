"""Which era of the store is current, and whether its listings can be complete.

A store that is restored from an older copy begins a new era. Its listings may lack
living processes until these have found that their keys are gone.
"""

import math

# Entries ask the agents that they know to list themselves within 1 s; one that nobody
# knows does so after ``relay_announcing.ORPHAN_SECONDS``.
SETTLING_SECONDS = 3.5


class Eras:
    """The newest era that was listed.

    ``newest`` is its number, 0 before the first listing.
    """

    __slots__ = ('_settled_at', 'newest')

    def __init__(self) -> None:
        self.newest = 0
        self._settled_at = -math.inf

    def record(self, era: int, now: float, *, is_marked: bool) -> None:
        """Record the era of a listing.

        :param era: era of the store.
        :param now: the time in seconds.
        :param is_marked: whether the store tells that the era is settled.
        """
        if is_marked:
            self._settled_at = -math.inf
        elif era > self.newest:
            self._settled_at = now + SETTLING_SECONDS
        self.newest = max(self.newest, era)

    def is_settled(self, now: float) -> bool:
        """Tell whether living processes have had time to list themselves."""
        return now >= self._settled_at
