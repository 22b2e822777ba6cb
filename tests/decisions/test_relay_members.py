"""An entry's view of the agents, based on the store and on their answers."""

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
    member.record_status(build.status(), now)
    return member


def test_service_whose_agents_are_all_silent_is_unreachable():
    """Guards against an entry that is cut off from all agents but accepts flows."""
    members = _members('m-1', 'm-2')
    other = _add(members, 'm-3', 'surveys')
    other.record_request(1)
    assert not members.has_unreachable_service(1.2)
    assert members.has_unreachable_service(1.6)
    other.record_status(build.status(), 1.7)
    assert not members.has_unreachable_service(1.7)


def test_service_with_an_answering_agent_is_reachable():
    members = _members('m-1', 'm-2')
    members.member_by_name['m-1'].record_request(1)
    assert not members.has_unreachable_service(9)


def _chosen_name(members, now, key=build.KEY, excluded=()):
    """Return the name of the member chosen for a new flow, or None."""
    chosen = members.least_loaded(
        build.SERVICE, key, now, lambda member: member.name not in excluded
    )
    return chosen and chosen.name


def test_agent_with_an_outstanding_answer_gets_no_new_flow():
    members = _members('m-1', 'm-2')
    members.member_by_name['m-1'].record_request(1)
    assert _chosen_name(members, 1.3) == 'm-2'
    assert _chosen_name(members, 1.3, excluded=['m-2']) is None


def test_agent_that_never_answered_is_pinged_at_the_short_interval():
    members = relay_members.Members('a')
    silent = relay_members.Member(
        'm-1', build.SERVICE, 'a', build.member_address('m-1')
    )
    members.add_or_update(silent)
    silent.pinged_at = 0
    silent.record_request(0)
    assert not members.due_for_ping(0.1)
    assert members.due_for_ping(0.2)


def test_agent_replaces_another_one_at_the_same_address():
    members = _members('m-1')
    members.add_or_update(
        relay_members.Member('m-8', 'surveys', 'a', build.member_address('m-1'))
    )
    assert list(members.member_by_name) == ['m-8']
    assert members.member_by_address[build.member_address('m-1')].name == 'm-8'


def test_unlisted_agent_is_kept_while_it_answers():
    members = _members('m-1')
    members.mark_others_unlisted(set(), 1)
    assert _chosen_name(members, 1) == 'm-1'
    assert not members.expired(100)


def test_cold_server_counts_as_more_loaded():
    members = _members('m-1', 'm-2')
    members.member_by_name['m-1'].record_status(build.status(cold_ms=900), 1)
    for number in range(20):
        assert _chosen_name(members, 1, build.flow_key(number)) == 'm-2'


def test_flows_are_distributed_over_equally_loaded_agents():
    members = _members('m-1', 'm-2', 'm-3')
    names = [_chosen_name(members, 0, build.flow_key(number)) for number in range(300)]
    assert all(names.count(name) > 60 for name in members.member_by_name)


def test_agent_in_state_gone_gets_no_new_flow():
    members = _members('m-1', 'm-2')
    members.member_by_name['m-1'].record_status(build.status(relaying.State.GONE), 1)
    assert _chosen_name(members, 1) == 'm-2'
    assert _chosen_name(members, 1, excluded=['m-2']) is None
