"""Which entries carry an answer: the flow's last one while it is fresh, else two."""

import itertools
import typing

from egretjunction import addresses

FRESH_SECONDS = 0.8
LIVE_SECONDS = 1.0
PATHS_WHEN_UNSURE = 2
MAX_REMEMBERED = 4096


class ReturnPaths:
    """Entries that this agent has heard from, and when.

    The entry that last brought a packet of the flow is used while that is
    fresh. After that nothing shows that it still lives, so each datagram goes
    through two entries, others each time; QUIC drops the second copy.
    """

    __slots__ = ('_last_seen_by_entry', '_turn')

    def __init__(self) -> None:
        self._last_seen_by_entry: dict[addresses.Address, float] = {}
        self._turn = 0

    def mark_seen(self, entry: addresses.Address, now: float) -> None:
        """Note a packet that an entry has brought."""
        self._last_seen_by_entry[entry] = now
        if len(self._last_seen_by_entry) > MAX_REMEMBERED:
            oldest = min(
                self._last_seen_by_entry,
                key=self._last_seen_by_entry.__getitem__,
            )
            self._last_seen_by_entry.pop(oldest)

    def choose(
        self,
        last: addresses.Address | None,
        last_at: float,
        known: typing.Sequence[addresses.Address],
        now: float,
    ) -> list[addresses.Address]:
        """Return the entries for the next datagram of a flow, maybe none.

        :param last: the entry that brought the flow's last packet.
        :param last_at: when it did so.
        :param known: entries that membership calls live, the one that answered
            an announcement last at the front.
        :param now: time in seconds.
        """
        if last is not None and now - last_at < FRESH_SECONDS:
            return [last]
        live = sorted(
            entry
            for entry, last_seen in self._last_seen_by_entry.items()
            if now - last_seen < LIVE_SECONDS
        )
        self._turn += 1
        chosen = _turned(live, self._turn)[:1]
        rest = [entry for entry in known if entry not in chosen]
        missing = PATHS_WHEN_UNSURE - len(chosen)
        near = list(itertools.islice(rest, PATHS_WHEN_UNSURE + 1))
        chosen.extend(_turned(near, self._turn)[:missing])
        if chosen or last is None:
            return chosen
        return [last]


def _turned(
    listed: typing.Sequence[addresses.Address],
    turn: int,
) -> list[addresses.Address]:
    """Return a list that begins somewhere else with each turn."""
    if not listed:
        return []
    start = turn % len(listed)
    return [*listed[start:], *listed[:start]]
