"""Index of members by service, failure domain and free capacity.

An entry draws a few candidates from the index instead of scanning all members, so that
placing a first packet costs the same with 16 and with 1,000 agents. Members with free
slots are kept apart from full ones, which therefore cannot hide them.
"""

import enum
import typing

from egretjunction.decisions import relay_work
from egretjunction.wire import relaying

if typing.TYPE_CHECKING:
    from egretjunction.decisions import relay_members


class Random(typing.Protocol):
    """Source of randomness."""

    def random(self) -> float:
        """Return a number from 0 to less than 1."""
        ...


class Level(enum.IntEnum):
    """Free capacity of a member, as its last status and later offers show it.

    A member with ``QUEUE`` has no free slot, but accepts final offers.
    """

    FREE = 0
    QUEUE = 1
    CLOSED = 2


class _Place:
    """Position of a member in the index."""

    __slots__ = ('domain', 'level', 'position', 'service')

    def __init__(self, service: str, domain: str, level: Level, position: int) -> None:
        self.service = service
        self.domain = domain
        self.level = level
        self.position = position


_Bucket = list['relay_members.Member']
_BucketsByDomain = dict[str, tuple[_Bucket, ...]]


class MemberIndex:
    """Members by service, failure domain and level; changes take constant time."""

    __slots__ = ('_buckets_by_domain_by_service', '_count_by_service', '_place_by_name')

    def __init__(self) -> None:
        self._buckets_by_domain_by_service: dict[str, _BucketsByDomain] = {}
        self._place_by_name: dict[str, _Place] = {}
        self._count_by_service: dict[str, int] = {}

    def add(self, member: 'relay_members.Member') -> None:
        """Add a member, or move it to another service."""
        self.remove(member)
        buckets = self._buckets_by_domain_by_service.setdefault(member.service, {})
        if member.domain not in buckets:
            buckets[member.domain] = tuple([] for _ in Level)
        place = _Place(member.service, member.domain, Level.CLOSED, 0)
        self._place_by_name[member.name] = place
        self._count_by_service[member.service] = self.count(member.service) + 1
        self._insert(member, place, level_of(member))

    def remove(self, member: 'relay_members.Member') -> None:
        """Remove a member, if the index holds it."""
        place = self._place_by_name.pop(member.name, None)
        if place is None:
            return
        self._count_by_service[place.service] -= 1
        self._take_out(place)

    def refresh(self, member: 'relay_members.Member') -> None:
        """Take a changed status, or a change of the offered flows, into account."""
        place = self._place_by_name.get(member.name)
        if place is None:
            return
        level = level_of(member)
        if level is not place.level:
            self._take_out(place)
            self._insert(member, place, level)

    def count(self, service: str) -> int:
        """Return the number of members of a service."""
        return self._count_by_service.get(service, 0)

    def domains(self, service: str) -> typing.Iterable[str]:
        """Return the failure domains that have had members of a service."""
        return self._buckets_by_domain_by_service.get(service, ())

    def sample(
        self,
        service: str,
        domain: str,
        level: Level,
        size: int,
        randomness: Random,
    ) -> _Bucket:
        """Return distinct members of a level; all of them if there are few.

        They are consecutive from a random position, which costs one random number.
        Levels change constantly and members swap positions when they do, so that
        neighbours do not stay neighbours.

        :param service: service of the members.
        :param domain: their failure domain.
        :param level: their level.
        :param size: the highest number of members to return.
        :param randomness: source of randomness.
        """
        buckets = self._buckets_by_domain_by_service.get(service, {}).get(domain)
        if buckets is None:
            return []
        bucket = buckets[level]
        if len(bucket) <= 1:
            return list(bucket)
        start = int(randomness.random() * len(bucket))
        drawn = bucket[start : start + size]
        missing = min(size, len(bucket)) - len(drawn)
        return drawn + bucket[:missing]

    def _insert(
        self, member: 'relay_members.Member', place: _Place, level: Level
    ) -> None:
        bucket = self._bucket(place, level)
        place.level = level
        place.position = len(bucket)
        bucket.append(member)

    def _take_out(self, place: _Place) -> None:
        bucket = self._bucket(place, place.level)
        last = bucket.pop()
        if place.position < len(bucket):
            bucket[place.position] = last
            self._place_by_name[last.name].position = place.position

    def _bucket(self, place: _Place, level: Level) -> _Bucket:
        by_domain = self._buckets_by_domain_by_service[place.service]
        return by_domain[place.domain][level]


def level_of(member: 'relay_members.Member') -> Level:
    """Return the level of a member."""
    status = member.status
    if status.state is not relaying.State.READY or status.is_evacuated:
        return Level.CLOSED
    work = member.work
    if work < status.slots:
        return Level.FREE
    has_queue = work < status.slots * (1 + relay_work.QUEUE_SHARE)
    return Level.QUEUE if has_queue else Level.CLOSED
