"""Chooses the entries that carry an agent's datagrams back to the callers."""

import itertools
import typing

from egretjunction import addresses

RECENT_PACKET_SECONDS = 0.8
LIVE_ENTRY_SECONDS = 1.0
FALLBACK_PATH_COUNT = 2
MAX_REMEMBERED_ENTRIES = 4096


class ReturnPaths:
    """The entries that this agent has received packets from, and when.

    A flow's datagrams go through the entry that forwarded its last packet, as
    long as that packet is recent. Otherwise the entry may be dead, so each
    datagram goes through two entries, in rotation; QUIC drops the second copy.
    """

    __slots__ = ('_last_seen_by_entry', '_turn')

    def __init__(self) -> None:
        self._last_seen_by_entry: dict[addresses.Address, float] = {}
        self._turn = 0

    def mark_seen(self, entry: addresses.Address, now: float) -> None:
        """Record that an entry has forwarded a packet."""
        self._last_seen_by_entry[entry] = now
        if len(self._last_seen_by_entry) > MAX_REMEMBERED_ENTRIES:
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
        """Return the entries for the next datagram of a flow.

        :param last: the entry that forwarded the flow's last packet.
        :param last_at: when it did so, in seconds.
        :param known: live entries according to membership, the one that last
            answered an announcement first.
        :param now: time in seconds.
        :return: one or two entries; none when no entry is known.
        """
        if last is not None and now - last_at < RECENT_PACKET_SECONDS:
            return [last]
        live = sorted(
            entry
            for entry, last_seen in self._last_seen_by_entry.items()
            if now - last_seen < LIVE_ENTRY_SECONDS
        )
        self._turn += 1
        chosen = _rotated(live, self._turn)[:1]
        others = [entry for entry in known if entry not in chosen]
        missing_count = FALLBACK_PATH_COUNT - len(chosen)
        first_others = list(itertools.islice(others, FALLBACK_PATH_COUNT + 1))
        chosen.extend(_rotated(first_others, self._turn)[:missing_count])
        if chosen or last is None:
            return chosen
        return [last]


def _rotated(
    entries: typing.Sequence[addresses.Address],
    turn: int,
) -> list[addresses.Address]:
    """Return a list rotated to the left, one place further with each turn."""
    if not entries:
        return []
    start = turn % len(entries)
    return [*entries[start:], *entries[:start]]
