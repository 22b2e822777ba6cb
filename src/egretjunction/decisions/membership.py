"""The view of who serves, as versioned records that merge in any order.

Each agent announces itself to a few home entries. Only these decide that it is
gone; every other entry learns of it by deltas, and digests repair what was
lost. A record with a higher incarnation, then sequence, replaces a lower one,
so views that saw the same records are equal whatever the order.
"""

import heapq
import itertools
import typing

import xxhash

from egretjunction import member_records

HOME_COUNT = 2
BUCKET_COUNT = 1024
BUCKET_HASH_BYTES = 4
ANNOUNCE_SECONDS = 3.0
GONE_AFTER_SECONDS = 10.0
FORGET_GONE_SECONDS = 120.0
DIGEST_SECONDS = 5.0
GOSSIP_SENDS = 2


def bucket_of(name: str) -> int:
    """Return the digest bucket that a member belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKET_COUNT


def _record_hash(name: str, version: member_records.Version) -> int:
    text = f'{name} {version.incarnation} {version.sequence} {version.is_gone}'
    return xxhash.xxh32_intdigest(text.encode())


class View:
    """All members that one process knows of."""

    __slots__ = (
        '_agents_by_service',
        '_buckets',
        '_by_name',
        '_entries',
        '_gone_at_by_name',
        '_homes_by_name',
    )

    def __init__(self) -> None:
        self._by_name: dict[str, member_records.Member] = {}
        self._agents_by_service: dict[str, dict[str, member_records.Member]] = {}
        self._gone_at_by_name: dict[str, float] = {}
        self._buckets = [0 for _ in range(BUCKET_COUNT)]
        self._entries: list[member_records.Member] | None = None
        self._homes_by_name: dict[str, list[member_records.Member]] = {}

    def __len__(self) -> int:
        """Return the number of records, those of gone members included."""
        return len(self._by_name)

    def get(self, name: str) -> member_records.Member | None:
        """Return the record of a member, or None."""
        return self._by_name.get(name)

    def merge(self, member: member_records.Member, now: float) -> bool:
        """Take a record in if it is newer than what is known.

        :param member: the record.
        :param now: time in seconds, for forgetting gone members.
        :return: whether the view has changed.
        """
        known = self._by_name.get(member.name)
        if known is not None and known.version >= member.version:
            return False
        self._replace(known, member)
        if member.state is member_records.State.GONE:
            self._gone_at_by_name[member.name] = now
        else:
            self._gone_at_by_name.pop(member.name, None)
        return True

    def forget(self, now: float) -> None:
        """Drop records of members that have been gone for long."""
        for name, gone_at in list(self._gone_at_by_name.items()):
            if now - gone_at >= FORGET_GONE_SECONDS:
                self._gone_at_by_name.pop(name)
                self._replace(self._by_name[name], None)

    def agents(self, service: str) -> list[member_records.Member]:
        """Return the agents of a service that are not gone."""
        known = self._agents_by_service.get(service, {})
        return [
            member
            for member in known.values()
            if member.state is not member_records.State.GONE
        ]

    def entries(self) -> list[member_records.Member]:
        """Return the entries that are not gone, by name."""
        if self._entries is None:
            known = self._agents_by_service.get('', {}).values()
            live = (
                member
                for member in known
                if member.state is not member_records.State.GONE
            )
            self._entries = sorted(live, key=lambda member: member.name)
            self._homes_by_name.clear()
        return self._entries

    def homes(self, name: str) -> list[member_records.Member]:
        """Return the entries that a member announces itself to."""
        entries = self.entries()
        homes = self._homes_by_name.get(name)
        if homes is None:
            homes = homes_of(name, entries)
            self._homes_by_name[name] = homes
        return homes

    def root(self) -> int:
        """Return one hash of the whole view."""
        return xxhash.xxh3_64_intdigest(self.packed_digest())

    def packed_digest(self) -> bytes:
        """Return the hashes of all buckets, four bytes each."""
        size = BUCKET_HASH_BYTES
        return b''.join(each.to_bytes(size) for each in self._buckets)

    def differing(self, packed: bytes) -> list[int]:
        """Return the buckets whose hash differs from a packed digest.

        :param packed: what ``packed_digest`` returned elsewhere; a wrong length
            counts as all different.
        """
        size = BUCKET_HASH_BYTES
        if len(packed) != size * BUCKET_COUNT:
            return list(range(BUCKET_COUNT))
        own = self.packed_digest()
        return [
            bucket
            for bucket in range(BUCKET_COUNT)
            if own[bucket * size : bucket * size + size]
            != packed[bucket * size : bucket * size + size]
        ]

    def members_in(
        self, buckets: typing.Collection[int]
    ) -> list[member_records.Member]:
        """Return the records in some buckets."""
        wanted = set(buckets)
        return [
            member
            for name, member in self._by_name.items()
            if bucket_of(name) in wanted
        ]

    def _replace(
        self, known: member_records.Member | None, member: member_records.Member | None
    ) -> None:
        changed = member if known is None else known
        if changed is not None and changed.kind is member_records.Kind.ENTRY:
            self._entries = None
        if known is not None:
            self._by_name.pop(known.name)
            self._agents_by_service[known.service].pop(known.name, None)
            self._toggle(known)
        if member is not None:
            self._by_name[member.name] = member
            group = self._agents_by_service.setdefault(member.service, {})
            group[member.name] = member
            self._toggle(member)

    def _toggle(self, member: member_records.Member) -> None:
        bucket = bucket_of(member.name)
        self._buckets[bucket] ^= _record_hash(member.name, member.version)


class FailureDetector:
    """Failure detection for the agents that announce to this entry."""

    __slots__ = ('_heard_at_by_name',)

    def __init__(self) -> None:
        self._heard_at_by_name: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of agents that this entry watches."""
        return len(self._heard_at_by_name)

    def record_contact(self, name: str, now: float) -> None:
        """Note an announcement."""
        self._heard_at_by_name[name] = now

    def watch(self, name: str, now: float) -> None:
        """Expect a member to announce itself from now on."""
        self._heard_at_by_name.setdefault(name, now)

    def restart_timeouts(self, now: float) -> None:
        """Grant every agent a full period after this process was paused."""
        for name in self._heard_at_by_name:
            self._heard_at_by_name[name] = now

    def expired(
        self, view: View, own_name: str, now: float
    ) -> list[member_records.Member]:
        """Return records that say gone for members that fell silent.

        A member that moved to other homes is dropped here without a record. A
        member that is alive refutes a wrong record with a higher sequence.

        :param view: the members that this entry knows.
        :param own_name: name of this entry.
        :param now: time in seconds.
        """
        gone = []
        for name, heard_at in list(self._heard_at_by_name.items()):
            if now - heard_at < GONE_AFTER_SECONDS:
                continue
            self._heard_at_by_name.pop(name)
            member = view.get(name)
            if member is None or member.state is member_records.State.GONE:
                continue
            if any(home.name == own_name for home in view.homes(name)):
                gone.append(member.changed(state=member_records.State.GONE))
        return gone


def homes_of(
    name: str, entries: typing.Sequence[member_records.Member]
) -> list[member_records.Member]:
    """Return the entries that a member announces itself to.

    :param name: the member's name.
    :param entries: entries that are not gone.
    """
    others = [entry for entry in entries if entry.name != name]
    return heapq.nsmallest(
        HOME_COUNT,
        others,
        key=lambda entry: xxhash.xxh3_64_intdigest(f'{name} {entry.name}'.encode()),
    )


def neighbours_of(
    name: str, entries: typing.Sequence[member_records.Member], count: int
) -> list[str]:
    """Return the names of entries that one entry gossips with.

    The entries form a ring by the hash of their names; each talks to those at
    distances 1, 2, 4 and so on, which connects all of them in few steps.

    :param name: the asking entry.
    :param entries: entries that are not gone, with or without the asking one.
    :param count: largest number to return.
    """
    names = {entry.name for entry in entries} | {name}
    ring = sorted(names, key=lambda each: xxhash.xxh3_64_intdigest(each.encode()))
    start = ring.index(name)
    chosen: list[str] = []
    distance = 1
    while distance < len(ring) and len(chosen) < count:
        chosen.append(ring[(start + distance) % len(ring)])
        distance *= 2
    return chosen


def roster_of(members: typing.Iterable[member_records.Member]) -> int:
    """Return a hash of names, addresses and incarnations, never 0."""
    lines = sorted(
        f'{member.name} {member.address} {member.incarnation}' for member in members
    )
    return xxhash.xxh32_intdigest('\n'.join(lines).encode()) or 1


class GossipQueue:
    """Records to send on, each for a fixed number of rounds."""

    __slots__ = ('_left_by_name',)

    def __init__(self) -> None:
        self._left_by_name: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Send the record of this member in the next rounds."""
        self._left_by_name[name] = GOSSIP_SENDS

    def take(self, limit: int) -> list[str]:
        """Return the names to send in this round, fewest sends so far first."""
        ranked = sorted(self._left_by_name, key=self._left_by_name.__getitem__)
        chosen = list(itertools.islice(reversed(ranked), limit))
        for name in chosen:
            self._left_by_name[name] -= 1
            if not self._left_by_name[name]:
                self._left_by_name.pop(name)
        return chosen


def eligible(
    members: typing.Iterable[member_records.Member],
    matches: typing.Callable[[member_records.Member], bool],
) -> list[member_records.Member]:
    """Return the agents of a service that may get new flows.

    :param members: agents of the service that are not gone.
    :param matches: whether the configuration lets this agent serve.
    """
    return [
        member
        for member in members
        if member.state is member_records.State.SERVING and matches(member)
    ]
