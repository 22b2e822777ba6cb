"""Index of members by service, domain and free capacity."""

import random

from hypothesis import given
from hypothesis import strategies

from egretjunction.decisions import relay_members
from egretjunction.decisions.load import index
from egretjunction.wire import relaying
from tests import relay_builders as build


def _member(number, service='s', domain='a', **fields):
    member = relay_members.Member(
        f'm-{number}', service, domain, build.member_address(f'm-{number}')
    )
    member.record_status(build.status(**fields), 0)
    return member


def _drawn(members, level, size=100, service='s', domain='a'):
    sample = members.sample(service, domain, level, size, random.Random(1))
    return sorted(member.name for member in sample)


def test_members_move_between_levels_with_their_status():
    members = index.MemberIndex()
    member = _member(1, slots=2, work=1)
    members.add(member)
    assert _drawn(members, index.Level.FREE) == ['m-1']
    member.offered_flows = 1
    members.refresh(member)
    assert _drawn(members, index.Level.FREE) == []
    assert _drawn(members, index.Level.QUEUE) == ['m-1']
    for status in (
        build.status(work=3),
        build.status(state=relaying.State.DRAINING),
        build.status(is_evacuated=True),
    ):
        member.record_status(status, 1)
        members.refresh(member)
        assert _drawn(members, index.Level.CLOSED) == ['m-1'], status


def test_free_member_is_not_hidden_by_999_full_ones():
    """A random sample of all members would miss it, and first packets would wait."""
    members = index.MemberIndex()
    for number in range(1000):
        members.add(_member(number, slots=1, work=number != 700))
    assert _drawn(members, index.Level.FREE, size=4) == ['m-700']


def test_sample_is_distinct_and_reaches_every_member():
    members = index.MemberIndex()
    for number in range(10):
        members.add(_member(number))
    randomness = random.Random(5)
    seen = set()
    for _ in range(50):
        sample = members.sample('s', 'a', index.Level.FREE, 4, randomness)
        assert len({member.name for member in sample}) == 4
        seen.update(member.name for member in sample)
    assert len(seen) == 10


def test_removed_and_moved_members_are_not_drawn():
    members = index.MemberIndex()
    first, second = _member(1), _member(2)
    members.add(first)
    members.add(second)
    members.remove(first)
    members.remove(first)
    second.service = 't'
    members.add(second)
    assert _drawn(members, index.Level.FREE) == []
    assert _drawn(members, index.Level.FREE, service='t') == ['m-2']
    assert (members.count('s'), members.count('t')) == (0, 1)


def test_members_keep_the_index_up_to_date():
    members = relay_members.Members('a')
    member = _member(1)
    members.add_or_update(member)
    assert members.index.count('s') == 1
    members.add_or_update(_member(1, service='t'))
    assert (members.index.count('s'), members.index.count('t')) == (0, 1)
    members.remove(member)
    assert members.index.count('t') == 0


@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 9),
            strategies.sampled_from(['add', 'remove', 'refresh']),
            strategies.integers(0, 4),
        )
    )
)
def test_levels_hold_each_member_once_after_any_changes(changes):
    members = index.MemberIndex()
    member_by_number = {number: _member(number) for number in range(10)}
    present = set()
    for number, change, work in changes:
        member = member_by_number[number]
        if change == 'remove':
            members.remove(member)
            present.discard(number)
            continue
        member.record_status(build.status(work=work), 0)
        if change == 'add':
            members.add(member)
            present.add(number)
        members.refresh(member)
    names_by_level = {level: _drawn(members, level) for level in index.Level}
    for number in present:
        expected = index.level_of(member_by_number[number])
        for level, names in names_by_level.items():
            assert names.count(f'm-{number}') == (level is expected)
    assert sum(map(len, names_by_level.values())) == len(present)
