"""An entry's view of the agents: where they are, and whether they are alive."""

import math
import typing

import xxhash

from egretjunction import addresses
from egretjunction.decisions import relay_work
from egretjunction.wire import relaying

PING_SECONDS = 0.5
SILENT_PING_SECONDS = 0.15  # an agent that comes back is found this soon
LOST_SECONDS = 10.0  # longer than a machine needs to come back after a power loss
LOST_PING_SECONDS = 2.0
SUSPECT_SECONDS = 0.25  # an answer within a failure domain takes a few milliseconds
CUT_OFF_SECONDS = 0.5  # all agents of a service do not miss two pings by chance
DEAD_SECONDS = 1.5  # longer than the pauses of a process with a processor quota
FORGOTTEN_SECONDS = 30.0
FOREIGN_PENALTY = 0.8  # share of a server's slots that a near server may be fuller
COLD_PENALTY = 0.5  # a server that has just started works 1.6 times as long
FLOW_WORK = 0.02  # requests at work that one open flow makes


class Member:
    """One agent as an entry sees it.

    :param is_listed: whether the store holds its key now.
    """

    __slots__ = (
        'address',
        'asked_at',
        'domain',
        'expected_work',
        'heard_at',
        'is_listed',
        'missing_since',
        'name',
        'pinged_at',
        'revision',
        'service',
        'status',
    )

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        address: addresses.Address,
        revision: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.address = address
        self.revision = revision
        self.is_listed = True
        self.missing_since = math.inf
        self.asked_at = math.inf
        self.heard_at = -math.inf
        self.pinged_at = -math.inf
        self.expected_work = 0
        self.status = relaying.Status(relaying.State.STARTING, 0, 0, 1, 0)

    def asked(self, now: float) -> None:
        """Record that a message was sent that is answered at once."""
        self.asked_at = min(self.asked_at, now)

    def heard(self, status: relaying.Status, now: float) -> None:
        """Take a status that came from the agent itself."""
        self.status = status
        self.expected_work = 0
        self.heard_at = now
        self.asked_at = math.inf

    def silent_seconds(self, now: float) -> float:
        """Return how long it has owed an answer."""
        return max(float(0), now - self.asked_at)

    def is_suspect(self, now: float) -> bool:
        """Tell whether it owes an answer for longer than is usual."""
        return self.silent_seconds(now) > SUSPECT_SECONDS

    def is_dead(self, now: float) -> bool:
        """Tell whether it has been silent for so long that it holds no flows."""
        return self.silent_seconds(now) > DEAD_SECONDS

    def may_take(self, now: float) -> bool:
        """Tell whether new flows may be offered to it."""
        return self.status.state == relaying.State.READY and not self.is_suspect(now)

    @property
    def work(self) -> int:
        """Return its requests at work, those offered since it told included."""
        return self.status.work + self.expected_work

    def fullness(self) -> float:
        """Return its load as a share of its slots, a cold one's raised."""
        load = self.work + self.status.flows * FLOW_WORK
        cold = COLD_PENALTY if self.status.cold_ms else 0
        return load / max(1, self.status.slots) + cold

    def is_full(self, since: float) -> bool:
        """Tell whether all slots are taken, as heard since a time in seconds."""
        if self.heard_at < since:
            return False
        return self.work >= self.status.slots

    def room(self) -> float:
        """Return how many more requests it takes when all are full."""
        return self.status.slots * (1 + relay_work.QUEUE_SHARE) - self.work


class Members:
    """All agents that an entry knows.

    :param domain: the entry's own failure domain.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self.member_by_name: dict[str, Member] = {}
        self.member_by_address: dict[addresses.Address, Member] = {}

    def add_or_update(self, member: Member) -> Member | None:
        """Take a member from the store; return it when it is new or has moved."""
        known = self.member_by_name.get(member.name)
        if known is not None and known.address == member.address:
            known.is_listed = True
            known.missing_since = math.inf
            known.revision = member.revision
            known.service = member.service
            return None
        if known is not None:
            self.remove(known)
        at_address = self.member_by_address.get(member.address)
        if at_address is not None:
            self.remove(at_address)
        self.member_by_name[member.name] = member
        self.member_by_address[member.address] = member
        return member

    def mark_unlisted(self, name: str, now: float) -> Member | None:
        """Take word that the store has no key of a member any more."""
        member = self.member_by_name.get(name)
        if member is not None and member.is_listed:
            member.is_listed = False
            member.missing_since = now
        return member

    def mark_others_unlisted(self, names: typing.Container[str], now: float) -> None:
        """Take a whole listing: members that are not in it have no key."""
        for name in self.member_by_name:
            if name not in names:
                self.mark_unlisted(name, now)

    def remove(self, member: Member) -> None:
        """Forget a member."""
        self.member_by_name.pop(member.name, None)
        if self.member_by_address.get(member.address) is member:
            self.member_by_address.pop(member.address)

    def of_services(self, services: typing.Container[str]) -> list[Member]:
        """Return the members of some services."""
        return [
            member
            for member in self.member_by_name.values()
            if member.service in services
        ]

    def best(
        self,
        service: str,
        key: bytes,
        now: float,
        suits: typing.Callable[[Member], bool],
    ) -> Member | None:
        """Return the least loaded member that may take a new flow.

        :param key: the flow's key, which decides between equals.
        :param suits: further condition on a member.
        """
        steps_by_member = {
            member: self._cost_steps(member)
            for member in self.member_by_name.values()
            if member.service == service and member.may_take(now) and suits(member)
        }
        if not steps_by_member:
            return None
        fewest = min(steps_by_member.values())
        least = [each for each, steps in steps_by_member.items() if steps == fewest]
        return min(least, key=lambda each: _tie(each, key))

    def count_ready(self, service: str, now: float) -> int:
        """Return how many members of a service take new flows, full ones included."""
        return sum(
            member.service == service and member.may_take(now)
            for member in self.member_by_name.values()
        )

    def has_unreachable_service(self, now: float) -> bool:
        """Tell whether no agent of some service answers this entry.

        Routers that hear it go to entries that may still reach the agents.
        """
        reached_by_service: dict[str, bool] = {}
        for member in self.member_by_name.values():
            is_reached = member.silent_seconds(now) <= CUT_OFF_SECONDS
            reached = reached_by_service.get(member.service, False)
            reached_by_service[member.service] = reached or is_reached
        return not all(reached_by_service.values())

    def excuse(self, seconds: float) -> None:
        """Do not count time in which this process read no answers as silence."""
        for member in self.member_by_name.values():
            member.asked_at += seconds

    def due_for_ping(self, now: float) -> list[Member]:
        """Return the members whose status should be asked for now."""
        return [
            member
            for member in self.member_by_name.values()
            if now - member.pinged_at >= _ping_interval(member, now)
        ]

    def forgettable(self, now: float) -> list[Member]:
        """Return members that have been silent for long."""
        return [
            member
            for member in self.member_by_name.values()
            if member.silent_seconds(now) > FORGOTTEN_SECONDS
        ]

    def _cost_steps(self, member: Member) -> int:
        away = 0 if member.domain == self._domain else FOREIGN_PENALTY
        return round((member.fullness() + away) * 10)


def _tie(member: Member, key: bytes) -> int:
    return xxhash.xxh32_intdigest(member.name.encode() + key)


def _ping_interval(member: Member, now: float) -> float:
    if member.silent_seconds(now) > LOST_SECONDS:
        return LOST_PING_SECONDS
    if math.isinf(member.asked_at) and not math.isinf(member.heard_at):
        return PING_SECONDS
    return SILENT_PING_SECONDS
