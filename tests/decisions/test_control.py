"""Membership and configuration between entries and agents, with faults."""

import pytest

from egretjunction import member_records
from egretjunction.decisions import domains
from egretjunction.decisions import entry_control
from egretjunction.decisions import membership
from tests import builders
from tests import wiring

SETTLE_SECONDS = 15.0
SEEDS = [builders.address(10_001), builders.address(10_002)]


def _system(entries=4, agents=6, **options):
    network = wiring.Network(**options)
    started_entries = [
        network.add_entry(f'entry-{number}', number, f'domain-{number % 3}', SEEDS)
        for number in range(1, entries + 1)
    ]
    agents = [
        network.add_agent(
            f'bookings-{number}', 100 + number, f'domain-{number % 3}', SEEDS
        )
        for number in range(agents)
    ]
    network.adopt(started_entries[0], builders.change(1))
    network.run(SETTLE_SECONDS)
    return network, started_entries, agents


def _agent_names(entry):
    return sorted(member.name for member in entry.view.agents('bookings'))


def _roots(entries):
    return {entry.view.root() for entry in entries}


def test_every_entry_knows_every_agent():
    _, entries, agents = _system()
    assert all(len(_agent_names(entry)) == len(agents) for entry in entries)
    assert len(_roots(entries)) == 1


def test_views_become_equal_after_a_quarter_of_the_messages_was_lost():
    network, entries, _ = _system(loss=0.25, seed=3)
    network.loss = 0.0
    network.run(30)
    assert len(_roots(entries)) == 1


def test_a_new_entry_knows_all_agents_once_it_has_caught_up():
    network, _, agents = _system(entries=3, agents=40)
    new_entry = network.add_entry('entry-9', 9, 'domain-0', SEEDS)
    while not new_entry.is_caught_up(network.now):
        network.run(0.1)
        assert network.now < SETTLE_SECONDS + 5, 'joining took too long'
    assert len(_agent_names(new_entry)) == len(agents)


def test_a_new_entry_without_configuration_has_not_caught_up():
    network = wiring.Network()
    lone_entry = network.add_entry('entry-1', 1)
    network.run(60)
    assert not lone_entry.is_caught_up(network.now)


def test_a_change_reaches_every_entry_and_agent_without_the_platform():
    network, entries, agents = _system()
    network.adopt(entries[2], builders.change(2, {'team other': _team()}))
    network.run(10)
    assert {node.active_configuration.generation for node in [*entries, *agents]} == {2}


def _team():
    return f'[team other]\nkey_sha256 = {"b" * 64}\n'


def test_a_snapshot_of_an_older_generation_is_ignored():
    network, entries, _ = _system()
    network.adopt(entries[0], builders.change(2, {'team other': _team()}))
    network.run(10)
    old_change = builders.change(1, change_id='stale')
    network.apply(
        entries[0], entries[0].adopt_snapshot(old_change, builders.DOCUMENT, 30)
    )
    network.run(10)
    assert {entry.active_configuration.generation for entry in entries} == {2}


def test_an_agent_that_dies_is_gone_at_every_entry():
    network, entries, agents = _system()
    network.stop(agents[0])
    network.run(membership.GONE_AFTER_SECONDS + 8)
    assert all('bookings-0' not in _agent_names(entry) for entry in entries)


def test_a_paused_agent_refutes_its_gone_record_when_it_resumes():
    network, entries, agents = _system()
    network.pause(agents[0])
    network.run(membership.GONE_AFTER_SECONDS + 8)
    assert all('bookings-0' not in _agent_names(entry) for entry in entries)
    network.resume(agents[0])
    network.run(10)
    assert all('bookings-0' in _agent_names(entry) for entry in entries)


def test_a_paused_entry_resumes_without_declaring_its_agents_gone():
    network, entries, agents = _system()
    network.pause(entries[0])
    network.run(60)
    network.resume(entries[0])
    network.run(15)
    gone = [
        fields for _, event, fields in network.logs if fields.get('state') == 'gone'
    ]
    assert {fields['member'] for fields in gone} <= {'entry-1'}
    assert all(len(_agent_names(entry)) == len(agents) for entry in entries)


def test_agents_announce_to_new_home_entries_when_an_entry_dies():
    network, entries, agents = _system()
    network.stop(entries[0])
    network.run(40)
    assert all(len(_agent_names(entry)) == len(agents) for entry in entries[1:])
    assert all(
        len(agent.homes(network.now)) >= membership.HOME_COUNT for agent in agents
    )


def test_every_entry_knows_a_draining_agent_within_three_seconds():
    network, entries, agents = _system()
    state = member_records.State.DRAINING
    network.apply(agents[1], agents[1].update_record(network.now, state=state))
    network.run(3)
    for entry in entries:
        member = entry.view.get('bookings-1')
        assert member.state is state


def test_views_become_equal_after_a_partition_between_domains_heals():
    network, entries, _ = _system(entries=6)
    one_entry, other_entry = entries[0], entries[1]
    network.partitioned_domains = {
        one_entry.own_record.domain,
        other_entry.own_record.domain,
    }
    network.run(60)
    network.partitioned_domains = set()
    network.run(40)
    assert len(_roots(entries)) == 1


def test_the_members_of_a_silent_domain_are_excluded_together():
    network, entries, agents = _system(entries=6, agents=9)
    stopped_domain = 'domain-1'
    for node in [*entries, *agents]:
        if node.own_record.domain == stopped_domain:
            network.stop(node)
    network.run(domains.SILENT_AFTER_SECONDS + 4)
    for entry in entries:
        if entry.own_record.domain != stopped_domain:
            members = entry.view.agents('bookings')
            reachable_members = entry.domains.reachable(members, network.now)
            assert {member.domain for member in reachable_members} == {
                'domain-0',
                'domain-2',
            }


def test_members_of_a_silent_domain_are_kept_when_there_are_no_others():
    reachability = domains.Domains('domain-1')
    reachability.record_contact('domain-2', 0)
    members = [builders.member('a', domain='domain-2')]
    assert reachability.reachable(members, 1000) == members


def test_an_entry_refutes_a_gone_record_about_itself():
    network, entries, _ = _system()
    gone_record = entries[0].own_record.changed(state=member_records.State.GONE)
    network.apply(entries[1], entries[1]._merge(gone_record, network.now))
    network.run(10)
    for entry in entries:
        assert entry.view.get('entry-1').state is member_records.State.SERVING


def test_a_record_with_a_new_incarnation_replaces_the_old_one():
    network, entries, agents = _system()
    network.stop(agents[0])
    network.add_agent('bookings-0', 900, seeds=SEEDS, incarnation=2)
    network.run(10)
    for entry in entries:
        assert entry.view.get('bookings-0').address == builders.address(900)


@pytest.mark.parametrize('agents', [6, 60])
def test_control_traffic_of_an_entry_stays_below_five_kilobytes_a_second(agents):
    network, entries, _ = _system(agents=agents)
    network.sent_bytes_by_address.clear()
    network.run(120)
    for entry in entries:
        assert network.sent_bytes_by_address[entry.own_record.control] / 120 < 5000


def test_each_domain_has_a_fixed_number_of_representatives():
    network, entries, _ = _system(entries=12)
    network.run(10)
    chosen = [entry for entry in entries if entry.is_representative]
    assert len(chosen) == 3 * entry_control.REPRESENTATIVES_PER_DOMAIN


def test_a_dropped_member_that_a_stale_record_brings_back_is_removed_again():
    network, entries, agents = _system(entries=3, agents=3)
    stopped_agent = agents[0]
    old_record = entries[0].view.get(stopped_agent.own_record.name)
    network.stop(stopped_agent)
    network.run(membership.FORGET_GONE_SECONDS + 30)
    assert all(entry.view.get(old_record.name) is None for entry in entries)
    network.apply(entries[0], entries[0]._merge(old_record, network.now))
    network.run(5)
    assert any(old_record.name in _agent_names(entry) for entry in entries)
    network.run(membership.GONE_AFTER_SECONDS + 10)
    assert all(old_record.name not in _agent_names(entry) for entry in entries)
