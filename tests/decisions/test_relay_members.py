"""An entry's view of the agents, based on the store and on their answers."""

from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_pinging
from egretjunction.wire import relaying
from tests import relay_builders as build

SERVICES = {build.SERVICE, 'surveys'}


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
    assert not members.has_unreachable_service(SERVICES, 1.2)
    assert members.has_unreachable_service(SERVICES, 1.6)
    other.record_status(build.status(), 1.7)
    assert not members.has_unreachable_service(SERVICES, 1.7)


def test_silent_agent_of_a_service_without_routes_leaves_the_entry_ready():
    """Guards against one odd listing after which no entry is ready."""
    members = _members('m-1')
    _add(members, 'm-2', 'nobody').record_request(1)
    assert not members.has_unreachable_service(SERVICES, 9)


def test_service_with_an_answering_agent_is_reachable():
    members = _members('m-1', 'm-2')
    members.member_by_name['m-1'].record_request(1)
    assert not members.has_unreachable_service(SERVICES, 9)


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


def _fleet(near, far, service=build.SERVICE):
    members = relay_members.Members('a')
    for number in range(near + far):
        domain = 'a' if number < near else f'b{number % 5}'
        _add(members, f'm-{number}', service, domain)
    return members


def _pings(members, seconds, start=1.0):
    """Return the number of pings by member while every agent answers at once."""
    count_by_name = dict.fromkeys(members.member_by_name, 0)
    for tick in range(int(seconds / 0.025)):
        now = start + tick * 0.025
        for member in members.due_for_ping(now):
            member.pinged_at = now
            member.record_status(build.status(), now)
            count_by_name[member.name] += 1
    return count_by_name


def test_pings_to_other_domains_do_not_grow_with_the_number_of_agents():
    """Load pattern: 59 entries and 136 agents in six domains."""
    count_by_name = _pings(_fleet(24, 112), 16)
    near = [count_by_name[f'm-{number}'] for number in range(24)]
    far = [count_by_name[f'm-{number}'] for number in range(24, 136)]
    assert min(near) >= 30
    assert sum(far) <= relay_pinging.FAR_PINGS_PER_SECOND * 16 + len(far)
    assert min(far) >= 2


def test_member_in_use_is_pinged_at_the_short_interval_in_any_domain():
    members = _fleet(4, 100)
    used = members.member_by_name['m-50']
    used.used_at = 100
    assert _pings(members, 4)['m-50'] >= 7


def test_few_members_of_other_domains_are_pinged_for_a_service_without_near_ones():
    count_by_name = _pings(_fleet(0, 100), 4)
    often = [name for name, count in count_by_name.items() if count >= 7]
    assert len(often) == relay_members.MIN_NEAR_MEMBERS


def test_entry_cut_off_from_all_agents_is_unreachable_soon():
    """The last answers of agents in other domains do not count as reached."""
    members = _fleet(24, 112)
    _pings(members, 2)
    for tick in range(40):
        now = 3.0 + tick * 0.025
        for member in members.due_for_ping(now):
            member.pinged_at = now
            member.record_request(now)
    assert members.has_unreachable_service(SERVICES, 4.0)


def test_service_whose_near_agents_are_gone_is_reached_in_other_domains():
    members = _fleet(4, 20)
    _pings(members, 2)
    near_names = [f'm-{number}' for number in range(4)]
    for tick in range(60):
        now = 3.0 + tick * 0.025
        for member in members.due_for_ping(now):
            member.pinged_at = now
            member.record_request(now)
            if member.name not in near_names:
                member.record_status(build.status(), now)
    assert not members.has_unreachable_service(SERVICES, 4.5)


def test_stale_listing_does_not_unlist_a_member_that_answers():
    members = _members('m-1', 'm-2')
    members.member_by_name['m-2'].record_request(0)
    members.mark_others_unlisted(set(), 60, is_stale=True)
    assert members.member_by_name['m-1'].is_listed
    assert not members.member_by_name['m-2'].is_listed
    members.mark_others_unlisted(set(), 60)
    assert not members.member_by_name['m-1'].is_listed


def test_key_that_came_back_does_not_displace_an_answering_agent():
    """Guards against a living agent that its entries forget after a restore."""
    members = _members('m-1')
    address = build.member_address('m-1')
    returned = relay_members.Member('m-0', 'surveys', 'a', address)
    assert members.add_listed(returned, 1) is None
    assert list(members.member_by_name) == ['m-1']


def test_listed_agent_takes_the_address_of_a_silent_one():
    members = _members('m-1')
    members.member_by_name['m-1'].record_request(1)
    address = build.member_address('m-1')
    new = relay_members.Member('m-0', 'surveys', 'a', address)
    assert members.add_listed(new, 9) is new
    assert list(members.member_by_name) == ['m-0']
