"""The view of who serves, as versioned records that merge in any order.

Each agent announces itself to a few home entries. Only these decide that it is
gone; every other entry learns of it by deltas, and digests repair what was
lost. A record with a higher incarnation, then sequence, replaces a lower one,
so views that saw the same records are equal whatever the order.
"""

import enum
import heapq
import itertools
import typing

import xxhash

from egretjunction import addresses

HOME_COUNT = 2
BUCKET_COUNT = 1024
BUCKET_HASH_BYTES = 4
ANNOUNCE_SECONDS = 3.0
GONE_AFTER_SECONDS = 10.0
FORGET_GONE_SECONDS = 120.0
DIGEST_SECONDS = 5.0
RUMOR_SENDS = 2
FULL_WEIGHT = 100


class Kind(enum.Enum):
    """What a member is."""

    AGENT = 'agent'
    ENTRY = 'entry'


class State(enum.Enum):
    """What a member says of itself, or what its home entries found."""

    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'
    GONE = 'gone'


class Version(typing.NamedTuple):
    """Order of the records of one member."""

    incarnation: int
    sequence: int
    is_gone: bool


class Member:
    """One record of the view.

    :param name: unique name from the member's settings.
    :param kind: agent or entry.
    :param service: service that an agent serves; empty for an entry.
    :param domain: failure domain.
    :param address: where its datagrams go.
    :param control: where its control messages go.
    :param incarnation: number of the process, rising with each start.
    :param sequence: number of the record within the incarnation.
    :param state: its state.
    :param fitness: weight in hundredths that its health allows.
    """

    __slots__ = (
        'address',
        'control',
        'domain',
        'fitness',
        'incarnation',
        'kind',
        'name',
        'sequence',
        'service',
        'state',
    )

    def __init__(
        self,
        *,
        name: str,
        kind: Kind,
        service: str,
        domain: str,
        address: addresses.Address,
        control: addresses.Address,
        incarnation: int,
        sequence: int,
        state: State,
        fitness: int = FULL_WEIGHT,
    ) -> None:
        self.name = name
        self.kind = kind
        self.service = service
        self.domain = domain
        self.address = address
        self.control = control
        self.incarnation = incarnation
        self.sequence = sequence
        self.state = state
        self.fitness = fitness

    @property
    def version(self) -> Version:
        """Return the order of this record among those of the member."""
        return Version(self.incarnation, self.sequence, self.state is State.GONE)

    @property
    def weight(self) -> float:
        """Return the fitness as a share between 0 and 1."""
        return self.fitness / FULL_WEIGHT

    def changed(
        self,
        *,
        state: State | None = None,
        fitness: int | None = None,
        sequence: int | None = None,
        incarnation: int | None = None,
    ) -> 'Member':
        """Return a copy with some fields replaced."""
        return Member(
            name=self.name,
            kind=self.kind,
            service=self.service,
            domain=self.domain,
            address=self.address,
            control=self.control,
            incarnation=self.incarnation if incarnation is None else incarnation,
            sequence=self.sequence if sequence is None else sequence,
            state=self.state if state is None else state,
            fitness=self.fitness if fitness is None else fitness,
        )


def bucket_of(name: str) -> int:
    """Return the digest bucket that a member belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKET_COUNT


def _record_hash(name: str, version: Version) -> int:
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
        self._by_name: dict[str, Member] = {}
        self._agents_by_service: dict[str, dict[str, Member]] = {}
        self._gone_at_by_name: dict[str, float] = {}
        self._buckets = [0 for _ in range(BUCKET_COUNT)]
        self._entries: list[Member] | None = None
        self._homes_by_name: dict[str, list[Member]] = {}

    def __len__(self) -> int:
        """Return the number of records, those of gone members included."""
        return len(self._by_name)

    def get(self, name: str) -> Member | None:
        """Return the record of a member, or None."""
        return self._by_name.get(name)

    def merge(self, member: Member, now: float) -> bool:
        """Take a record in if it is newer than what is known.

        :param member: the record.
        :param now: time in seconds, for forgetting gone members.
        :return: whether the view has changed.
        """
        known = self._by_name.get(member.name)
        if known is not None and known.version >= member.version:
            return False
        self._replace(known, member)
        if member.state is State.GONE:
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

    def agents(self, service: str) -> list[Member]:
        """Return the agents of a service that are not gone."""
        known = self._agents_by_service.get(service, {})
        return [member for member in known.values() if member.state is not State.GONE]

    def entries(self) -> list[Member]:
        """Return the entries that are not gone, by name."""
        if self._entries is None:
            known = self._agents_by_service.get('', {}).values()
            live = (member for member in known if member.state is not State.GONE)
            self._entries = sorted(live, key=lambda member: member.name)
            self._homes_by_name.clear()
        return self._entries

    def homes(self, name: str) -> list[Member]:
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

    def members_in(self, buckets: typing.Collection[int]) -> list[Member]:
        """Return the records in some buckets."""
        wanted = set(buckets)
        return [
            member
            for name, member in self._by_name.items()
            if bucket_of(name) in wanted
        ]

    def _replace(self, known: Member | None, member: Member | None) -> None:
        changed = member if known is None else known
        if changed is not None and changed.kind is Kind.ENTRY:
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

    def _toggle(self, member: Member) -> None:
        bucket = bucket_of(member.name)
        self._buckets[bucket] ^= _record_hash(member.name, member.version)


class HomeDuty:
    """Failure detection for the agents that announce to this entry."""

    __slots__ = ('_heard_at_by_name',)

    def __init__(self) -> None:
        self._heard_at_by_name: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of agents that this entry watches."""
        return len(self._heard_at_by_name)

    def heard(self, name: str, now: float) -> None:
        """Note an announcement."""
        self._heard_at_by_name[name] = now

    def watch(self, name: str, now: float) -> None:
        """Expect a member to announce itself from now on."""
        self._heard_at_by_name.setdefault(name, now)

    def resumed(self, now: float) -> None:
        """Grant every agent a full period after this process was paused."""
        for name in self._heard_at_by_name:
            self._heard_at_by_name[name] = now

    def expired(self, view: View, own_name: str, now: float) -> list[Member]:
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
            if member is None or member.state is State.GONE:
                continue
            if any(home.name == own_name for home in view.homes(name)):
                gone.append(member.changed(state=State.GONE))
        return gone


def homes_of(name: str, entries: typing.Sequence[Member]) -> list[Member]:
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


def neighbours_of(name: str, entries: typing.Sequence[Member], count: int) -> list[str]:
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


def roster_of(members: typing.Iterable[Member]) -> int:
    """Return a hash of names, addresses and incarnations, never 0."""
    lines = sorted(
        f'{member.name} {member.address} {member.incarnation}' for member in members
    )
    return xxhash.xxh32_intdigest('\n'.join(lines).encode()) or 1


class Rumors:
    """Records to send on, each for a fixed number of rounds."""

    __slots__ = ('_left_by_name',)

    def __init__(self) -> None:
        self._left_by_name: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Send the record of this member in the next rounds."""
        self._left_by_name[name] = RUMOR_SENDS

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
    members: typing.Iterable[Member],
    matches: typing.Callable[[Member], bool],
) -> list[Member]:
    """Return the agents of a service that may get new flows.

    :param members: agents of the service that are not gone.
    :param matches: whether the configuration lets this agent serve.
    """
    return [
        member
        for member in members
        if member.state is State.SERVING and matches(member)
    ]
