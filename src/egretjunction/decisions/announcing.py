"""Announces a member: the whole record once to each home entry, then keepalives."""

import typing

from egretjunction import addresses
from egretjunction import member_records
from egretjunction.decisions import effects
from egretjunction.wire import messages


class Announcer:
    """Tracks which version of the record was sent to each home entry."""

    __slots__ = ('_version_by_home',)

    def __init__(self) -> None:
        self._version_by_home: dict[addresses.Address, member_records.Version] = {}

    def forget(self, home: addresses.Address) -> None:
        """Send the whole record to this home entry next time."""
        self._version_by_home.pop(home, None)

    def announce_to(
        self,
        homes: typing.Iterable[addresses.Address],
        own_record: member_records.Member,
        generation: int,
        roster: int,
    ) -> list[effects.Effect]:
        """Return the announcements to some home entries.

        :param homes: control addresses of the home entries.
        :param own_record: the member's current record.
        :param generation: generation of the member's configuration.
        :param roster: hash of the entry lists that the member has, 0 for none.
        """
        emitted: list[effects.Effect] = []
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
                emitted.append(effects.SendTo(home, alive))
            else:
                record = messages.to_record(own_record)
                announce = messages.Announce(record, generation, roster)
                emitted.append(effects.SendTo(home, announce))
            version_by_home[home] = own_record.version
        self._version_by_home = version_by_home
        return emitted
