"""Membership and configuration across entries and agents, under faults."""

import pytest

from egretjunction import member_records
from egretjunction.decisions import domains
from egretjunction.decisions import entry_control
from egretjunction.decisions import membership
from tests import builders
from tests import wiring

SETTLE = 15.0
SEEDS = [builders.address(10_001), builders.address(10_002)]


def _system(entries=4, agents=6, **options):
    network = wiring.Network(**options)
    started = [
        network.add_entry(f'entry-{number}', number, f'domain-{number % 3}', SEEDS)
        for number in range(1, entries + 1)
    ]
    agents = [
        network.add_agent(
            f'bookings-{number}', 100 + number, f'domain-{number % 3}', SEEDS
        )
        for number in range(agents)
    ]
    network.adopt(started[0], builders.change(1))
    network.run(SETTLE)
    return network, started, agents


def _serving(entry):
    return sorted(member.name for member in entry.view.agents('bookings'))


def _roots(entries):
    return {entry.view.root() for entry in entries}


def test_every_entry_learns_of_every_agent():
    _, entries, agents = _system()
    assert all(len(_serving(entry)) == len(agents) for entry in entries)
    assert len(_roots(entries)) == 1


def test_views_agree_although_one_message_in_four_is_lost():
    network, entries, _ = _system(loss=0.25, seed=3)
    network.loss = 0.0
    network.run(30)
    assert len(_roots(entries)) == 1


def test_a_new_entry_knows_all_agents_before_it_says_it_has_caught_up():
    network, _, agents = _system(entries=3, agents=40)
    joined = network.add_entry('entry-9', 9, 'domain-0', SEEDS)
    while not joined.is_caught_up(network.now):
        network.run(0.1)
        assert network.now < SETTLE + 5, 'joining took too long'
    assert len(_serving(joined)) == len(agents)


def test_a_new_entry_without_configuration_has_not_caught_up():
    network = wiring.Network()
    alone = network.add_entry('entry-1', 1)
    network.run(60)
    assert not alone.is_caught_up(network.now)


def test_a_change_reaches_every_entry_and_agent_without_the_platform():
    network, entries, agents = _system()
    network.adopt(entries[2], builders.change(2, {'team other': _team()}))
    network.run(10)
    assert {node.active_configuration.generation for node in [*entries, *agents]} == {2}


def _team():
    return f'[team other]\nkey_sha256 = {"b" * 64}\n'


def test_a_process_never_goes_back_to_an_older_generation():
    network, entries, _ = _system()
    network.adopt(entries[0], builders.change(2, {'team other': _team()}))
    network.run(10)
    old = builders.change(1, change_id='stale')
    network.apply(entries[0], entries[0].adopt_snapshot(old, builders.DOCUMENT, 30))
    network.run(10)
    assert {entry.active_configuration.generation for entry in entries} == {2}


def test_an_agent_that_dies_is_called_gone_everywhere():
    network, entries, agents = _system()
    network.stop(agents[0])
    network.run(membership.GONE_AFTER_SECONDS + 8)
    assert all('bookings-0' not in _serving(entry) for entry in entries)


def test_a_paused_agent_comes_back_by_refuting_its_gone_record():
    network, entries, agents = _system()
    network.freeze(agents[0])
    network.run(membership.GONE_AFTER_SECONDS + 8)
    assert all('bookings-0' not in _serving(entry) for entry in entries)
    network.thaw(agents[0])
    network.run(10)
    assert all('bookings-0' in _serving(entry) for entry in entries)


def test_a_paused_entry_wakes_without_calling_its_agents_gone():
    network, entries, agents = _system()
    network.freeze(entries[0])
    network.run(60)
    network.thaw(entries[0])
    network.run(15)
    gone = [
        fields for _, event, fields in network.logs if fields.get('state') == 'gone'
    ]
    assert {fields['member'] for fields in gone} <= {'entry-1'}
    assert all(len(_serving(entry)) == len(agents) for entry in entries)


def test_agents_find_new_homes_when_an_entry_dies():
    network, entries, agents = _system()
    network.stop(entries[0])
    network.run(40)
    assert all(len(_serving(entry)) == len(agents) for entry in entries[1:])
    assert all(
        len(agent.homes(network.now)) >= membership.HOME_COUNT for agent in agents
    )


def test_a_leaving_agent_gets_no_new_work_within_three_seconds():
    network, entries, agents = _system()
    state = member_records.State.DRAINING
    network.apply(agents[1], agents[1].update_record(network.now, state=state))
    network.run(3)
    for entry in entries:
        member = entry.view.get('bookings-1')
        assert member.state is state


def test_a_cut_between_domains_is_seen_and_heals():
    network, entries, _ = _system(entries=6)
    near, far = entries[0], entries[1]
    network.cut = {near.own_record.domain, far.own_record.domain}
    network.run(60)
    network.cut = set()
    network.run(40)
    assert len(_roots(entries)) == 1


def test_members_of_a_silent_domain_are_left_out_at_once_as_a_group():
    network, entries, agents = _system(entries=6, agents=9)
    lost = 'domain-1'
    for node in [*entries, *agents]:
        if node.own_record.domain == lost:
            network.stop(node)
    network.run(domains.SILENT_AFTER_SECONDS + 4)
    for entry in entries:
        if entry.own_record.domain != lost:
            members = entry.view.agents('bookings')
            kept = entry.domains.reachable(members, network.now)
            assert {member.domain for member in kept} == {'domain-0', 'domain-2'}


def test_a_service_with_servers_only_in_a_silent_domain_keeps_them():
    reachability = domains.Domains('domain-1')
    reachability.record_contact('domain-2', 0)
    members = [builders.member('a', domain='domain-2')]
    assert reachability.reachable(members, 1000) == members


def test_a_record_about_itself_that_says_gone_is_refuted_by_an_entry():
    network, entries, _ = _system()
    wrong = entries[0].own_record.changed(state=member_records.State.GONE)
    network.apply(entries[1], entries[1]._merge(wrong, network.now))
    network.run(10)
    for entry in entries:
        assert entry.view.get('entry-1').state is member_records.State.SERVING


def test_a_reused_name_with_a_new_incarnation_replaces_the_old_one():
    network, entries, agents = _system()
    network.stop(agents[0])
    network.add_agent('bookings-0', 900, seeds=SEEDS, incarnation=2)
    network.run(10)
    for entry in entries:
        assert entry.view.get('bookings-0').address == builders.address(900)


@pytest.mark.parametrize('agents', [6, 60])
def test_control_traffic_stays_within_five_kilobytes_a_second(agents):
    network, entries, _ = _system(agents=agents)
    network.bytes_by_address.clear()
    network.run(120)
    for entry in entries:
        assert network.bytes_by_address[entry.own_record.control] / 120 < 5000


def test_a_few_entries_of_each_domain_call_the_platform():
    network, entries, _ = _system(entries=12)
    network.run(10)
    chosen = [entry for entry in entries if entry.is_representative]
    assert len(chosen) == 3 * entry_control.REPRESENTATIVES_PER_DOMAIN


def test_a_forgotten_member_that_a_cut_off_entry_brings_back_does_not_stay():
    network, entries, agents = _system(entries=3, agents=3)
    lost = agents[0]
    old = entries[0].view.get(lost.own_record.name)
    network.stop(lost)
    network.run(membership.FORGET_GONE_SECONDS + 30)
    assert all(entry.view.get(old.name) is None for entry in entries)
    network.apply(entries[0], entries[0]._merge(old, network.now))
    network.run(5)
    assert any(old.name in _serving(entry) for entry in entries)
    network.run(membership.GONE_AFTER_SECONDS + 10)
    assert all(old.name not in _serving(entry) for entry in entries)
