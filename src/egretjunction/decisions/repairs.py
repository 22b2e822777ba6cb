"""Repair of a view that differs from a peer's, bucket by bucket."""

import typing

from egretjunction.decisions import budgets
from egretjunction.decisions import effects
from egretjunction.decisions import membership
from egretjunction.wire import messages

BYTES_PER_SECOND = 500
BURST_BYTES = 20_000
BUCKETS_AT_ONCE = 8
JOIN_BUCKETS = 128


class Repairs:
    """Exchanges of buckets, within a budget of bytes.

    :param view: the view to repair.
    """

    __slots__ = ('_budget', '_view')

    def __init__(self, view: membership.View) -> None:
        self._view = view
        self._budget = budgets.ByteBudget(BYTES_PER_SECOND, BURST_BYTES)

    def ask(
        self,
        sender: messages.Record,
        members: int,
        now: float,
    ) -> list[effects.Effect]:
        """Send the bucket hashes, within the budget unless this entry is new.

        :param sender: this entry's record.
        :param members: number of records that the peer knows.
        :param now: time in seconds.
        """
        is_joining = len(self._view) * 2 < members
        packed = self._view.packed_digest()
        if not is_joining and not self._budget.take(len(packed), now):
            return []
        return [effects.Reply(messages.Buckets(sender, packed, is_joining))]

    def answer(
        self,
        sender: messages.Record,
        asked: messages.Buckets,
    ) -> list[effects.Effect]:
        """Send the records of some buckets that differ, many to a new entry."""
        limit = JOIN_BUCKETS if asked.is_joining else BUCKETS_AT_ONCE
        first = membership.bucket_of(asked.sender.name)
        buckets = sorted(
            self._view.differing_buckets(asked.hashes),
            key=lambda each: (each - first) % membership.BUCKET_COUNT,
        )
        if not buckets:
            return []
        return [self.send(sender, buckets[:limit], wants_answer=True)]

    def send(
        self,
        sender: messages.Record,
        buckets: typing.Sequence[int],
        *,
        wants_answer: bool,
    ) -> effects.Reply:
        """Return the records of some buckets.

        :param wants_answer: whether the peer should send its records back.
        """
        chosen = tuple(buckets[:JOIN_BUCKETS])
        members = self._view.members_in(chosen)
        records = tuple(messages.to_record(member) for member in members)
        members_known = len(self._view)
        repair = messages.Repair(sender, chosen, records, members_known, wants_answer)
        return effects.Reply(repair)
