"""What an entry believes of the agents, from the store and from their answers."""

from egretjunction.decisions import relay_members
from egretjunction.wire import relaying
from tests import relay_builders as build


def _members(*names, service=build.SERVICE):
    members = relay_members.Members('a')
    for name in names:
        _add(members, name, service)
    return members


def _add(members, name, service=build.SERVICE, domain='a', now=0.0):
    member = relay_members.Member(name, service, domain, build.member_address(name))
    members.add_or_update(member)
    member.heard(build.status(), now)
    return member


def test_entry_whose_agents_of_one_service_are_all_silent_is_cut_off():
    """Seen on an own day: an entry cut off from all agents went on taking flows."""
    members = _members('m-1', 'm-2')
    other = _add(members, 'm-3', 'surveys')
    other.asked(1)
    assert not members.has_unreachable_service(1.2)
    assert members.has_unreachable_service(1.6)
    other.heard(build.status(), 1.7)
    assert not members.has_unreachable_service(1.7)


def test_one_silent_agent_among_others_cuts_nobody_off():
    members = _members('m-1', 'm-2')
    members.member_by_name['m-1'].asked(1)
    assert not members.has_unreachable_service(9)


def _best(members, now, key=build.KEY, without=()):
    """Return the name of the member that a new flow goes to, None without one."""
    found = members.best(
        build.SERVICE, key, now, lambda member: member.name not in without
    )
    return found and found.name


def test_agent_that_owes_an_answer_gets_no_new_flow():
    members = _members('m-1', 'm-2')
    members.member_by_name['m-1'].asked(1)
    assert _best(members, 1.3) == 'm-2'
    assert _best(members, 1.3, without=['m-2']) is None


def test_agent_that_never_answered_is_pinged_often():
    members = relay_members.Members('a')
    silent = relay_members.Member(
        'm-1', build.SERVICE, 'a', build.member_address('m-1')
    )
    members.add_or_update(silent)
    silent.pinged_at = 0
    silent.asked(0)
    assert not members.due_for_ping(0.1)
    assert members.due_for_ping(0.2)


def test_agent_at_the_address_of_another_takes_its_place():
    members = _members('m-1')
    members.add_or_update(
        relay_members.Member('m-8', 'surveys', 'a', build.member_address('m-1'))
    )
    assert list(members.member_by_name) == ['m-8']
    assert members.member_by_address[build.member_address('m-1')].name == 'm-8'


def test_agent_without_a_key_stays_as_long_as_it_answers():
    members = _members('m-1')
    members.mark_others_unlisted(set(), 1)
    assert _best(members, 1) == 'm-1'
    assert not members.forgettable(100)


def test_cold_server_counts_as_fuller():
    members = _members('m-1', 'm-2')
    members.member_by_name['m-1'].heard(build.status(cold_ms=900), 1)
    for number in range(20):
        assert _best(members, 1, build.flow_key(number)) == 'm-2'


def test_flows_spread_over_equally_full_agents():
    members = _members('m-1', 'm-2', 'm-3')
    firsts = [_best(members, 0, build.flow_key(number)) for number in range(300)]
    assert all(firsts.count(name) > 60 for name in members.member_by_name)


def test_leaving_agent_gets_no_new_flow():
    members = _members('m-1', 'm-2')
    members.member_by_name['m-1'].heard(build.status(relaying.State.GONE), 1)
    assert _best(members, 1) == 'm-2'
    assert _best(members, 1, without=['m-2']) is None
