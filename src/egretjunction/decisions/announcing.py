"""Announces a member: its whole record once to each home, then signs of life."""

import typing

from egretjunction import addresses
from egretjunction import member_records
from egretjunction.decisions import effects
from egretjunction.wire import messages


class Announcer:
    """Remembers which version of the record each home entry has been sent."""

    __slots__ = ('_version_by_home',)

    def __init__(self) -> None:
        self._version_by_home: dict[addresses.Address, member_records.Version] = {}

    def forget(self, home: addresses.Address) -> None:
        """Send this home the whole record next time; it does not have it."""
        self._version_by_home.pop(home, None)

    def to(
        self,
        homes: typing.Iterable[addresses.Address],
        own_record: member_records.Member,
        generation: int,
        roster: int,
    ) -> list[effects.Effect]:
        """Return the announcements to some home entries.

        :param homes: their control addresses.
        :param own_record: the member's present record.
        :param generation: the configuration that it follows.
        :param roster: hash of the entries that it knows.
        """
        found: list[effects.Effect] = []
        version_by_home: dict[addresses.Address, member_records.Version] = {}
        for home in homes:
            if self._version_by_home.get(home) == own_record.version:
                alive = messages.Alive(
                    own_record.name,
                    own_record.incarnation,
                    own_record.sequence,
                    generation,
                    roster,
                )
                found.append(effects.SendTo(home, alive))
            else:
                record = messages.to_record(own_record)
                announce = messages.Announce(record, generation, roster)
                found.append(effects.SendTo(home, announce))
            version_by_home[home] = own_record.version
        self._version_by_home = version_by_home
        return found
