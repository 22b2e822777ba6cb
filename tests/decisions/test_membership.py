"""Views merge in any order, and a wrong record about a member is refuted."""

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
def test_views_with_the_same_records_agree_on_versions(records, order):
    left, right = membership.View(), membership.View()
    for record in records:
        left.merge(record, 0)
    order.shuffle(records)
    for record in [*records, *records]:
        right.merge(record, 0)
    assert left.root() == right.root()
    assert left.differing(right.packed_digest()) == []


def test_an_older_incarnation_never_comes_back():
    view = membership.View()
    view.merge(builders.member('a', incarnation=2, sequence=0), 0)
    assert not view.merge(builders.member('a', incarnation=1, sequence=99), 0)


def test_gone_is_refuted_by_a_higher_sequence_only():
    view = membership.View()
    alive = builders.member('a', sequence=4)
    view.merge(alive, 0)
    assert view.merge(alive.changed(state=GONE), 0)
    assert not view.merge(alive, 0)
    assert view.merge(alive.changed(sequence=5), 0)
    assert [each.name for each in view.agents('bookings')] == ['a']


def test_differing_names_just_the_buckets_that_differ():
    left, right = membership.View(), membership.View()
    for number in range(50):
        record = builders.member(f'bookings-{number}', number)
        left.merge(record, 0)
        right.merge(record, 0)
    left.merge(builders.member('bookings-7', 7, sequence=1), 0)
    assert left.differing(right.packed_digest()) == [membership.bucket_of('bookings-7')]


def test_a_digest_of_the_wrong_length_counts_as_all_different():
    view = membership.View()
    assert len(view.differing(b'short')) == membership.BUCKET_COUNT


def test_gone_records_are_forgotten_after_a_while():
    view = membership.View()
    empty = view.root()
    view.merge(builders.member('a', state=GONE), 100)
    view.forget(100 + membership.FORGET_GONE_SECONDS - 1)
    assert len(view) == 1
    view.forget(100 + membership.FORGET_GONE_SECONDS)
    assert len(view) == 0
    assert view.root() == empty


def _watching(own_name='entry-1'):
    view, failure_detector = membership.View(), membership.FailureDetector()
    view.merge(builders.entry(own_name, 1), 0)
    view.merge(builders.member('bookings-1', 5), 0)
    failure_detector.record_contact('bookings-1', 0)
    return view, failure_detector


def test_a_silent_member_is_called_gone_by_its_home():
    view, failure_detector = _watching()
    assert (
        failure_detector.expired(view, 'entry-1', membership.GONE_AFTER_SECONDS - 0.1)
        == []
    )
    (gone,) = failure_detector.expired(view, 'entry-1', membership.GONE_AFTER_SECONDS)
    assert (gone.name, gone.state) == ('bookings-1', GONE)


def test_a_home_that_was_paused_calls_nobody_gone():
    view, failure_detector = _watching()
    failure_detector.restart_timeouts(1000)
    assert failure_detector.expired(view, 'entry-1', 1000.5) == []


def test_a_former_home_does_not_call_a_member_gone():
    view, failure_detector = _watching()
    for number in range(2, 12):
        view.merge(builders.entry(f'entry-{number}', number), 0)
    homes = membership.homes_of('bookings-1', view.entries())
    former = next(each for each in view.entries() if each not in homes)
    assert failure_detector.expired(view, former.name, 100) == []


def test_members_spread_over_the_entries_evenly():
    entries = [builders.entry(f'entry-{number}', number) for number in range(10)]
    counts = dict.fromkeys((each.name for each in entries), 0)
    for number in range(2000):
        for home in membership.homes_of(f'server-{number}', entries):
            counts[home.name] += 1
    assert max(counts.values()) < 1.3 * 2000 * membership.HOME_COUNT / 10


def test_neighbours_connect_every_entry():
    entries = [builders.entry(f'entry-{number}', number) for number in range(40)]
    reached, frontier = {'entry-0'}, ['entry-0']
    while frontier:
        for name in membership.neighbours_of(frontier.pop(), entries, 4):
            if name not in reached:
                reached.add(name)
                frontier.append(name)
    assert len(reached) == 40


def test_rumors_end():
    rumors = membership.GossipQueue()
    rumors.add('a')
    rounds = [rumors.take(8) for _ in range(membership.GOSSIP_SENDS + 2)]
    assert rounds == [['a']] * membership.GOSSIP_SENDS + [[], []]


def test_fresh_rumors_go_first_when_there_are_many():
    rumors = membership.GossipQueue()
    for number in range(10):
        rumors.add(str(number))
    first = rumors.take(5)
    second = rumors.take(5)
    assert not set(first) & set(second)


def test_shuffled_deltas_with_losses_still_converge_by_repair():
    order = random.Random(5)
    left, right = membership.View(), membership.View()
    for number in range(300):
        record = builders.member(f's-{number}', number, sequence=order.randrange(5))
        left.merge(record, 0)
        if order.random() < 0.5:
            right.merge(record, 0)
    for bucket in left.differing(right.packed_digest()):
        for record in left.members_in([bucket]):
            right.merge(record, 0)
    assert left.root() == right.root()
