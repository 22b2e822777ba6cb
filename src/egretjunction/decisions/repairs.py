"""Repairs the differences between the views of two entries, bucket by bucket."""

import typing

from egretjunction.decisions import budgets
from egretjunction.decisions import effects
from egretjunction.decisions import membership
from egretjunction.wire import messages

BYTES_PER_SECOND = 500
BURST_BYTES = 20_000
BUCKETS_PER_REPAIR = 8
BUCKETS_PER_JOIN = 128


class Repairs:
    """Exchanges differing buckets with peers, within a byte budget.

    :param view: the view to repair.
    """

    __slots__ = ('_byte_budget', '_view')

    def __init__(self, view: membership.View) -> None:
        self._view = view
        self._byte_budget = budgets.ByteBudget(BYTES_PER_SECOND, BURST_BYTES)

    def send_hashes(
        self,
        sender: messages.Record,
        peer_member_count: int,
        now: float,
    ) -> list[effects.Effect]:
        """Send the bucket hashes of this entry's view.

        The byte budget does not apply while this entry joins, that is, while it
        knows fewer than half of the peer's records.

        :param sender: record of this entry.
        :param peer_member_count: number of records that the peer knows.
        :param now: time in seconds.
        """
        is_joining = len(self._view) * 2 < peer_member_count
        packed = self._view.packed_digest()
        if not is_joining and not self._byte_budget.take(len(packed), now):
            return []
        return [effects.Reply(messages.Buckets(sender, packed, is_joining))]

    def send_differing_records(
        self,
        sender: messages.Record,
        request: messages.Buckets,
    ) -> list[effects.Effect]:
        """Send the records of some differing buckets, more to an entry that joins.

        :param sender: record of this entry.
        :param request: bucket hashes of the peer.
        """
        limit = BUCKETS_PER_JOIN if request.is_joining else BUCKETS_PER_REPAIR
        first_bucket = membership.bucket_of(request.sender.name)
        buckets = sorted(
            self._view.differing_buckets(request.hashes),
            key=lambda bucket: (bucket - first_bucket) % membership.BUCKET_COUNT,
        )
        if not buckets:
            return []
        return [self.records_message(sender, buckets[:limit], wants_answer=True)]

    def records_message(
        self,
        sender: messages.Record,
        buckets: typing.Sequence[int],
        *,
        wants_answer: bool,
    ) -> effects.Reply:
        """Return a message with the records of some buckets.

        :param sender: record of this entry.
        :param buckets: buckets to send, at most ``BUCKETS_PER_JOIN`` of them.
        :param wants_answer: whether the peer should send its own records back.
        """
        sent_buckets = tuple(buckets[:BUCKETS_PER_JOIN])
        members = self._view.members_in(sent_buckets)
        records = tuple(messages.to_record(member) for member in members)
        member_count = len(self._view)
        repair = messages.Repair(
            sender, sent_buckets, records, member_count, wants_answer
        )
        return effects.Reply(repair)
