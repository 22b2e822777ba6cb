"""Views merge records in any order, and a wrong gone record is refuted."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from egretjunction import member_records
from egretjunction.decisions import membership
from tests import builders

GONE = member_records.State.GONE
RECORDS = st.lists(
    st.builds(
        builders.member,
        name=st.sampled_from(['a', 'b', 'c']),
        state=st.sampled_from(member_records.State),
        incarnation=st.integers(1, 3),
        sequence=st.integers(0, 3),
    ),
    max_size=12,
)


@settings(derandomize=True, deadline=None)
@given(RECORDS, st.randoms(use_true_random=False))
def test_views_with_the_same_records_have_equal_digests(records, order):
    one_view, other_view = membership.View(), membership.View()
    for record in records:
        one_view.merge(record, 0)
    order.shuffle(records)
    for record in [*records, *records]:
        other_view.merge(record, 0)
    assert one_view.root() == other_view.root()
    assert one_view.differing_buckets(other_view.packed_digest()) == []


def test_a_record_of_an_older_incarnation_is_ignored():
    view = membership.View()
    view.merge(builders.member('a', incarnation=2, sequence=0), 0)
    assert not view.merge(builders.member('a', incarnation=1, sequence=99), 0)


def test_a_gone_record_is_refuted_only_by_a_higher_sequence():
    view = membership.View()
    alive = builders.member('a', sequence=4)
    view.merge(alive, 0)
    assert view.merge(alive.changed(state=GONE), 0)
    assert not view.merge(alive, 0)
    assert view.merge(alive.changed(sequence=5), 0)
    assert [agent.name for agent in view.agents('bookings')] == ['a']


def test_only_the_buckets_that_differ_are_returned():
    one_view, other_view = membership.View(), membership.View()
    for number in range(50):
        record = builders.member(f'bookings-{number}', number)
        one_view.merge(record, 0)
        other_view.merge(record, 0)
    one_view.merge(builders.member('bookings-7', 7, sequence=1), 0)
    assert one_view.differing_buckets(other_view.packed_digest()) == [
        membership.bucket_of('bookings-7')
    ]


def test_all_buckets_differ_from_a_digest_of_the_wrong_length():
    view = membership.View()
    assert len(view.differing_buckets(b'short')) == membership.BUCKET_COUNT


def test_gone_records_are_dropped_after_a_timeout():
    view = membership.View()
    empty_root = view.root()
    view.merge(builders.member('a', state=GONE), 100)
    view.forget_gone(100 + membership.FORGET_GONE_SECONDS - 1)
    assert len(view) == 1
    view.forget_gone(100 + membership.FORGET_GONE_SECONDS)
    assert len(view) == 0
    assert view.root() == empty_root


def _watching(own_name='entry-1'):
    view, failure_detector = membership.View(), membership.FailureDetector()
    view.merge(builders.entry(own_name, 1), 0)
    view.merge(builders.member('bookings-1', 5), 0)
    failure_detector.record_contact('bookings-1', 0)
    return view, failure_detector


def test_a_home_entry_declares_a_silent_member_gone():
    view, failure_detector = _watching()
    assert (
        failure_detector.remove_expired(
            view, 'entry-1', membership.GONE_AFTER_SECONDS - 0.1
        )
        == []
    )
    (gone,) = failure_detector.remove_expired(
        view, 'entry-1', membership.GONE_AFTER_SECONDS
    )
    assert (gone.name, gone.state) == ('bookings-1', GONE)


def test_a_home_entry_that_was_paused_declares_no_member_gone():
    view, failure_detector = _watching()
    failure_detector.restart_timeouts(1000)
    assert failure_detector.remove_expired(view, 'entry-1', 1000.5) == []


def test_a_former_home_entry_does_not_declare_a_member_gone():
    view, failure_detector = _watching()
    for number in range(2, 12):
        view.merge(builders.entry(f'entry-{number}', number), 0)
    homes = membership.homes_of('bookings-1', view.entries())
    former = next(member for member in view.entries() if member not in homes)
    assert failure_detector.remove_expired(view, former.name, 100) == []


def test_members_are_spread_evenly_over_home_entries():
    entries = [builders.entry(f'entry-{number}', number) for number in range(10)]
    counts = dict.fromkeys((member.name for member in entries), 0)
    for number in range(2000):
        for home in membership.homes_of(f'server-{number}', entries):
            counts[home.name] += 1
    assert max(counts.values()) < 1.3 * 2000 * membership.HOME_COUNT / 10


def test_every_entry_is_reachable_through_neighbours():
    entries = [builders.entry(f'entry-{number}', number) for number in range(40)]
    reached, frontier = {'entry-0'}, ['entry-0']
    while frontier:
        for name in membership.neighbours_of(frontier.pop(), entries, 4):
            if name not in reached:
                reached.add(name)
                frontier.append(name)
    assert len(reached) == 40


def test_a_record_is_gossiped_for_a_fixed_number_of_rounds():
    gossip = membership.GossipQueue()
    gossip.add('a')
    rounds = [gossip.take(8) for _ in range(membership.GOSSIP_SENDS + 2)]
    assert rounds == [['a']] * membership.GOSSIP_SENDS + [[], []]


def test_records_not_yet_sent_go_first_when_there_are_many():
    gossip = membership.GossipQueue()
    for number in range(10):
        gossip.add(str(number))
    first = gossip.take(5)
    second = gossip.take(5)
    assert not set(first) & set(second)


def test_views_converge_by_repair_after_lost_deltas():
    rng = random.Random(5)
    one_view, other_view = membership.View(), membership.View()
    for number in range(300):
        record = builders.member(f's-{number}', number, sequence=rng.randrange(5))
        one_view.merge(record, 0)
        if rng.random() < 0.5:
            other_view.merge(record, 0)
    for bucket in one_view.differing_buckets(other_view.packed_digest()):
        for record in one_view.members_in([bucket]):
            other_view.merge(record, 0)
    assert one_view.root() == other_view.root()
