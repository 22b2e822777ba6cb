"""Which entry carries an answer: the last one of the flow while it is fresh."""

import typing

from egretjunction import addresses

FRESH_SECONDS = 0.5
LIVE_SECONDS = 1.0
MAX_REMEMBERED = 4096


class AnswerPaths:
    """Entries that this agent has heard from, and when.

    The entry that last brought a packet of the flow is used while that is
    fresh. After that each datagram takes the next live entry in turn, so that
    an entry that died costs no more than the datagrams sent to it.
    """

    __slots__ = ('_heard_at_by_entry', '_turn')

    def __init__(self) -> None:
        self._heard_at_by_entry: dict[addresses.Address, float] = {}
        self._turn = 0

    def heard(self, entry: addresses.Address, now: float) -> None:
        """Note a packet that an entry has brought."""
        self._heard_at_by_entry[entry] = now
        if len(self._heard_at_by_entry) > MAX_REMEMBERED:
            oldest = min(
                self._heard_at_by_entry,
                key=self._heard_at_by_entry.__getitem__,
            )
            self._heard_at_by_entry.pop(oldest)

    def choose(
        self,
        last: addresses.Address | None,
        last_at: float,
        known: typing.Sequence[addresses.Address],
        now: float,
    ) -> addresses.Address | None:
        """Return the entry for the next datagram of a flow, or None.

        :param last: the entry that brought the flow's last packet.
        :param last_at: when it did so.
        :param known: entries that membership calls live.
        :param now: time in seconds.
        """
        if last is not None and now - last_at < FRESH_SECONDS:
            return last
        heard = [
            entry
            for entry, heard_at in self._heard_at_by_entry.items()
            if now - heard_at < LIVE_SECONDS
        ]
        options = sorted(heard) or list(known)
        if not options:
            return last
        self._turn += 1
        return options[self._turn % len(options)]
