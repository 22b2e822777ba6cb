"""Membership: versioned records of all members that merge in any order.

Each member announces itself to a few entries, its home entries. Only these
decide that it is gone. The other entries receive the record as a gossiped delta,
and the exchange of digests repairs what was lost. A record with a higher
incarnation, then a higher sequence, replaces a lower one, so views that received
the same records are equal, in whatever order the records came.
"""

import heapq
import itertools
import typing

import xxhash

from egretjunction import member_records
from egretjunction.decisions import contacts

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
    """The membership view: all members that one process knows."""

    __slots__ = (
        '_buckets',
        '_entries',
        '_gone_at_by_name',
        '_homes_by_name',
        '_member_by_name',
        '_members_by_service',
    )

    def __init__(self) -> None:
        self._member_by_name: dict[str, member_records.Member] = {}
        self._members_by_service: dict[str, dict[str, member_records.Member]] = {}
        self._gone_at_by_name: dict[str, float] = {}
        self._buckets = [0 for _ in range(BUCKET_COUNT)]
        self._entries: list[member_records.Member] | None = None
        self._homes_by_name: dict[str, list[member_records.Member]] = {}

    def __len__(self) -> int:
        """Return the number of records, those of gone members included."""
        return len(self._member_by_name)

    def get(self, name: str) -> member_records.Member | None:
        """Return the record of a member, or None."""
        return self._member_by_name.get(name)

    def merge(self, member: member_records.Member, now: float) -> bool:
        """Store a record if it is newer than the known one.

        :param member: the record.
        :param now: time in seconds; a gone record is dropped
            ``FORGET_GONE_SECONDS`` later.
        :return: whether the view has changed.
        """
        current = self._member_by_name.get(member.name)
        if current is not None and current.version >= member.version:
            return False
        self._replace(current, member)
        if member.state is member_records.State.GONE:
            self._gone_at_by_name[member.name] = now
        else:
            self._gone_at_by_name.pop(member.name, None)
        return True

    def forget_gone(self, now: float) -> None:
        """Drop records of members that have been gone ``FORGET_GONE_SECONDS``."""
        for name, gone_at in list(self._gone_at_by_name.items()):
            if now - gone_at >= FORGET_GONE_SECONDS:
                self._gone_at_by_name.pop(name)
                self._replace(self._member_by_name[name], None)

    def agents(self, service: str) -> list[member_records.Member]:
        """Return the agents of a service that are not gone."""
        members = self._members_by_service.get(service, {})
        return [
            member
            for member in members.values()
            if member.state is not member_records.State.GONE
        ]

    def entries(self) -> list[member_records.Member]:
        """Return the entries that are not gone, sorted by name."""
        if self._entries is None:
            members = self._members_by_service.get('', {}).values()
            live = (
                member
                for member in members
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
        return b''.join(hash_value.to_bytes(size) for hash_value in self._buckets)

    def differing_buckets(self, other_digest: bytes) -> list[int]:
        """Return the buckets whose hash differs from a packed digest.

        :param other_digest: result of ``packed_digest`` of another view; with a wrong
            length, all buckets count as different.
        """
        size = BUCKET_HASH_BYTES
        if len(other_digest) != size * BUCKET_COUNT:
            return list(range(BUCKET_COUNT))
        own_digest = self.packed_digest()
        return [
            bucket
            for bucket in range(BUCKET_COUNT)
            if own_digest[bucket * size : bucket * size + size]
            != other_digest[bucket * size : bucket * size + size]
        ]

    def members_in(
        self, buckets: typing.Collection[int]
    ) -> list[member_records.Member]:
        """Return the records in some buckets."""
        wanted = set(buckets)
        return [
            member
            for name, member in self._member_by_name.items()
            if bucket_of(name) in wanted
        ]

    def _replace(
        self,
        old_record: member_records.Member | None,
        new_record: member_records.Member | None,
    ) -> None:
        changed = new_record if old_record is None else old_record
        if changed is not None and changed.kind is member_records.Kind.ENTRY:
            self._entries = None
        if old_record is not None:
            self._member_by_name.pop(old_record.name)
            self._members_by_service[old_record.service].pop(old_record.name, None)
            self._toggle_hash(old_record)
        if new_record is not None:
            self._member_by_name[new_record.name] = new_record
            members_of_service = self._members_by_service.setdefault(
                new_record.service, {}
            )
            members_of_service[new_record.name] = new_record
            self._toggle_hash(new_record)

    def _toggle_hash(self, member: member_records.Member) -> None:
        bucket = bucket_of(member.name)
        self._buckets[bucket] ^= _record_hash(member.name, member.version)


class FailureDetector:
    """Detects failed members among those that announce themselves to this entry."""

    __slots__ = ('_contacts',)

    def __init__(self) -> None:
        self._contacts: contacts.LastContacts[str] = contacts.LastContacts()

    def __len__(self) -> int:
        """Return the number of members that this entry watches."""
        return len(self._contacts)

    def record_contact(self, name: str, now: float) -> None:
        """Record an announcement of a member."""
        self._contacts.record(name, now)

    def watch(self, name: str, now: float) -> None:
        """Start the timeout of a member unless it is already watched."""
        self._contacts.watch(name, now)

    def restart_timeouts(self, now: float) -> None:
        """Restart the timeout of every member after this process was paused."""
        self._contacts.restart_timeouts(now)

    def remove_expired(
        self, view: View, own_name: str, now: float
    ) -> list[member_records.Member]:
        """Stop watching silent members and return their gone records.

        A member that now announces itself to other home entries gets no gone record.
        A member that is alive refutes a wrong record with a higher sequence.

        :param view: the members that this entry knows.
        :param own_name: name of this entry.
        :param now: time in seconds.
        """
        gone = []
        for name in self._contacts.remove_silent(GONE_AFTER_SECONDS, now):
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
    """Return the names of the entries that one entry gossips with.

    The entries form a ring ordered by the hash of their names. Each gossips with
    those at distances 1, 2, 4 and so on, so that few hops connect any two.

    :param name: name of the entry.
    :param entries: entries that are not gone, with or without this one.
    :param count: maximum number of names to return.
    """
    names = {entry.name for entry in entries} | {name}
    ring = sorted(
        names, key=lambda member_name: xxhash.xxh3_64_intdigest(member_name.encode())
    )
    start = ring.index(name)
    selected: list[str] = []
    distance = 1
    while distance < len(ring) and len(selected) < count:
        selected.append(ring[(start + distance) % len(ring)])
        distance *= 2
    return selected


def roster_hash(members: typing.Iterable[member_records.Member]) -> int:
    """Return a hash of names, addresses and incarnations, never 0.

    0 stands for an empty roster.
    """
    lines = sorted(
        f'{member.name} {member.address} {member.incarnation}' for member in members
    )
    return xxhash.xxh32_intdigest('\n'.join(lines).encode()) or 1


class GossipQueue:
    """Names of the records to gossip, each for ``GOSSIP_SENDS`` rounds."""

    __slots__ = ('_sends_left_by_name',)

    def __init__(self) -> None:
        self._sends_left_by_name: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Queue the record of a member for the next rounds."""
        self._sends_left_by_name[name] = GOSSIP_SENDS

    def take(self, limit: int) -> list[str]:
        """Return the names to send in this round, the least often sent first.

        :param limit: maximum number of names.
        """
        ranked = sorted(
            self._sends_left_by_name, key=self._sends_left_by_name.__getitem__
        )
        selected = list(itertools.islice(reversed(ranked), limit))
        for name in selected:
            self._sends_left_by_name[name] -= 1
            if not self._sends_left_by_name[name]:
                self._sends_left_by_name.pop(name)
        return selected


def eligible(
    members: typing.Iterable[member_records.Member],
    matches: typing.Callable[[member_records.Member], bool],
) -> list[member_records.Member]:
    """Return the agents of a service that may get new flows.

    :param members: agents of the service that are not gone.
    :param matches: returns whether the configuration lets an agent serve.
    """
    return [
        member
        for member in members
        if member.state is member_records.State.SERVING and matches(member)
    ]
