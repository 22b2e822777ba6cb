"""Sets of agents as bit masks, for searches that ask many agents about many flows.

Each agent has one bit. A new bit for an agent makes everything that was recorded about
its old bit void, without a visit to the records.
"""

import typing

from egretjunction.decisions import relay_members
from egretjunction.wire import relaying

COLD_MARGIN_MS = 500  # the remaining cold time only falls until the server restarts
MIN_RETIRED = 64  # bits that are cleared together, since all records are visited


class Candidates:
    """Bits of the members of an entry, by service, domain and liveness.

    :param members: the agents that the entry knows.
    :param clear: clears bits in all masks that are kept elsewhere.
    """

    def __init__(
        self,
        members: relay_members.Members,
        clear: typing.Callable[[int], None],
    ) -> None:
        self._members = members
        self._clear = clear
        self._revision = -1
        self._slot_by_member: dict[relay_members.Member, int] = {}
        self._member_by_slot: dict[int, relay_members.Member] = {}
        self._free_slots: list[int] = []
        self._retired = 0
        self._slot_count = 0
        self._mask_by_service: dict[str, int] = {}
        self._all = 0
        self._near = 0
        self._dead = 0
        self._unidentified: list[relay_members.Member] = []

    def bit_of(self, member: relay_members.Member) -> int:
        """Return the bit of a member, 0 if it was removed."""
        self._refresh()
        slot = self._slot_by_member.get(member)
        return 0 if slot is None else 1 << slot

    def near(self) -> int:
        """Return the members in the entry's own failure domain."""
        self._refresh()
        return self._near

    def serving(self, services: typing.Iterable[str]) -> int:
        """Return the members of some services that may hold flows."""
        self._refresh()
        mask = 0
        for service in services:
            mask |= self._mask_by_service.get(service, 0)
        return mask & ~self._dead

    def all_holders(self) -> int:
        """Return the members of all services that may hold flows."""
        self._refresh()
        return self._all & ~self._dead

    def members_in(
        self, mask: int, limit: int | None = None
    ) -> list[relay_members.Member]:
        """Return the members in a set.

        :param mask: the set.
        :param limit: how many members to return at most; None for all.
        """
        found: list[relay_members.Member] = []
        while mask and (limit is None or len(found) < limit):
            lowest = mask & -mask
            found.append(self._member_by_slot[lowest.bit_length() - 1])
            mask ^= lowest
        return found

    def has_unidentified(self, now: float) -> bool:
        """Tell whether an unknown agent may answer at the address of a listed one."""
        self._refresh()
        self._unidentified = [
            member for member in self._unidentified if not member.is_identified()
        ]
        return any(not member.is_suspect(now) for member in self._unidentified)

    def update_dead(self, now: float) -> None:
        """Determine which members are dead or have no server, and hold no flows."""
        self._refresh()
        dead = 0
        for member, slot in self._slot_by_member.items():
            if member.is_dead(now) or member.holds_nothing(now):
                dead |= 1 << slot
        self._dead = dead

    def note_status(
        self,
        member: relay_members.Member,
        before: relaying.Status,
    ) -> None:
        """Note that a member has sent a status.

        :param member: the member, with the new status.
        :param before: its status before.
        """
        self._dead &= ~self.bit_of(member)
        if is_other_incarnation(before, member.status):
            self.renew(member)

    def renew(self, member: relay_members.Member) -> None:
        """Give a member a new bit, since what it has denied no longer counts."""
        slot = self._slot_by_member.pop(member, None)
        if slot is None:
            return
        for service, mask in self._mask_by_service.items():
            self._mask_by_service[service] = mask & ~(1 << slot)
        self._all &= ~(1 << slot)
        self._near &= ~(1 << slot)
        self._retire(slot)
        self._recycle()
        self._index(member)

    def _refresh(self) -> None:
        if self._revision == self._members.revision:
            return
        self._revision = self._members.revision
        current = set(self._members.member_by_name.values())
        for gone in set(self._slot_by_member) - current:
            self._retire(self._slot_by_member.pop(gone))
        self._recycle()
        self._mask_by_service = {}
        self._all = 0
        self._near = 0
        self._unidentified = []
        for member in self._members.member_by_name.values():
            self._index(member)

    def _index(self, member: relay_members.Member) -> None:
        slot = self._slot_by_member.get(member)
        if slot is None:
            slot = self._free_slots.pop() if self._free_slots else self._slot_count
            self._slot_count = max(self._slot_count, slot + 1)
            self._slot_by_member[member] = slot
            self._member_by_slot[slot] = member
        bit = 1 << slot
        self._all |= bit
        of_service = self._mask_by_service.get(member.service, 0)
        self._mask_by_service[member.service] = of_service | bit
        if self._members.is_near(member):
            self._near |= bit
        if not member.is_identified():
            self._unidentified.append(member)

    def _retire(self, slot: int) -> None:
        self._member_by_slot.pop(slot)
        self._dead &= ~(1 << slot)
        self._retired |= 1 << slot

    def _recycle(self) -> None:
        """Use retired bits again once enough of them can be cleared together."""
        if self._retired.bit_count() < max(MIN_RETIRED, len(self._slot_by_member)):
            return
        self._clear(self._retired)
        while self._retired:
            lowest = self._retired & -self._retired
            self._free_slots.append(lowest.bit_length() - 1)
            self._retired ^= lowest


def is_other_incarnation(before: relaying.Status, after: relaying.Status) -> bool:
    """Tell whether an agent or its server has been restarted between two statuses.

    A status that is overtaken by an older one may look like a restart, which only
    costs another question.
    """
    has_started = (
        after.state == relaying.State.STARTING and before.state != after.state
    ) or (before.state == relaying.State.GONE and after.state != before.state)
    knows_less = before.knows_all_flows and not after.knows_all_flows
    return has_started or knows_less or after.cold_ms > before.cold_ms + COLD_MARGIN_MS
