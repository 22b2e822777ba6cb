"""Evacuation of a failure domain: the document, placement, agents and log lines."""

import pytest

from egretjunction import errors
from egretjunction import member_records
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from egretjunction.decisions import domains
from egretjunction.decisions import evacuation
from egretjunction.decisions import membership
from egretjunction.decisions import routing
from tests import builders
from tests import wiring

SETTLE_SECONDS = 15.0
SEEDS = [builders.address(10_001), builders.address(10_002)]


def _evacuated(*evacuated_domains, before=None):
    current = before or document.parse(builders.DOCUMENT, 'base')
    for domain in evacuated_domains:
        current = evacuation.with_evacuation(current, domain)
    return current


def _evacuate_change(generation, domain, text=''):
    section = evacuation.section_name(domain)
    return builders.change(generation, {section: text or f'[{section}]\n'})


def _restore_change(generation, domain):
    return builders.change(generation, {evacuation.section_name(domain): None})


def test_evacuations_survive_writing_and_reading_the_document():
    evacuated = _evacuated('domain-1', 'domain-2')
    parsed = document.parse(evacuated.text(), 'again')
    assert parsed.evacuated_domains == {'domain-1', 'domain-2'}
    restored = evacuation.without_evacuation(parsed, 'domain-1')
    assert restored.evacuated_domains == {'domain-2'}
    assert document.parse(restored.text(), 'again').evacuated_domains == {'domain-2'}


@pytest.mark.parametrize('name', ['', 'Domain-1', 'a/b', 'a]\n[service x', 'a b'])
def test_a_name_that_is_no_domain_is_refused(name):
    """Guards against a section that no process can belong to."""
    with pytest.raises((errors.SettingsErrors, errors.SettingsError)):
        _evacuated(name)


def test_an_evacuation_takes_no_keys():
    text = f'{builders.DOCUMENT}\n[evacuation domain-1]\nuntil = noon\n'
    with pytest.raises(errors.SettingsErrors) as raised:
        document.parse(text, 'doc.ini')
    assert 'key "until": given "noon", allowed: no keys' in str(
        errors.describe(raised.value)
    )


def test_restoring_a_domain_that_is_not_evacuated_names_those_that_are():
    """Guards against a typing error that leaves the domain evacuated unnoticed."""
    with pytest.raises(errors.RefusedError, match='evacuated: domain-1'):
        evacuation.without_evacuation(_evacuated('domain-1'), 'domain-2')


def test_only_the_operators_may_evacuate():
    """Guards against one team taking away the servers of all others."""
    before = document.parse(builders.DOCUMENT, 'base')
    after = _evacuated('domain-1')
    changed = configuration.difference(before.sections, after.sections)
    with pytest.raises(errors.OwnershipError, match='belongs to team "operators"'):
        document.check_ownership(before, after, changed, 'booking', builders.KEY_DIGEST)


def test_a_file_neither_ends_nor_starts_an_evacuation():
    """Guards against an edit from version control that restores a domain."""
    before = document.parse(builders.DOCUMENT, 'file')
    accepted = _evacuated('domain-1')
    kept = evacuation.with_evacuations_of(before, accepted)
    assert kept.evacuated_domains == {'domain-1'}
    assert kept.sections == accepted.sections
    again = evacuation.with_evacuations_of(accepted, before)
    assert again.evacuated_domains == set()
    assert again.sections == before.sections


def _router(members, active):
    view = membership.View()
    for member in members:
        view.merge(member, 0)
    return routing.Router(builders.KEY, view, active, domains.Domains('domain-1'))


def _first(number):
    return b'\xc0\x00\x00\x00\x01\x08' + number.to_bytes(8) + bytes(1200)


def _route(router, number):
    return router.route(builders.SERVICE_ADDRESS, _first(number), 100.0)


def test_first_packets_avoid_the_evacuated_domain_until_it_is_restored():
    members = [
        builders.member(f'bookings-{number}', number, domain=f'domain-{number % 2}')
        for number in range(6)
    ]
    active = builders.active_configuration()
    router = _router(members, active)
    active.apply_changes([_evacuate_change(2, 'domain-1')])
    for number in range(50):
        candidates = _route(router, number).candidates
        assert {candidate.address.port % 2 for candidate in candidates} == {0}
        assert len(candidates) == 3
    active.apply_changes([_restore_change(3, 'domain-1')])
    assert len(_route(router, 99).candidates) == 6


def test_an_evacuation_outweighs_that_no_other_domain_is_reachable():
    """Guards against the rule that keeps all servers when every domain is silent."""
    members = [
        builders.member('bookings-1', 1, domain='domain-1'),
        builders.member('bookings-2', 2, domain='domain-2'),
    ]
    active = builders.active_configuration()
    active.apply_changes([_evacuate_change(2, 'domain-1')])
    router = _router(members, active)
    router._reachability.record_contact('domain-2', 0)
    (candidate,) = _route(router, 1).candidates
    assert candidate.address == builders.address(2)


def test_flows_are_refused_when_only_evacuated_servers_are_left():
    members = [builders.member('bookings-1', 1, domain='domain-1')]
    active = builders.active_configuration()
    router = _router(members, active)
    active.apply_changes([_evacuate_change(2, 'domain-1')])
    decision = _route(router, 1)
    assert isinstance(decision, routing.Refuse)
    assert decision.reason == 'evacuated'


def test_a_service_without_any_server_is_not_said_to_be_evacuated():
    active = builders.active_configuration()
    active.apply_changes([_evacuate_change(2, 'domain-1')])
    assert _route(_router([], active), 1).reason == 'no_backend_server'


def _system():
    network = wiring.Network()
    entries = [
        network.add_entry(f'entry-{number}', number, f'domain-{number}', SEEDS)
        for number in range(1, 4)
    ]
    agents = [
        network.add_agent(
            f'bookings-{number}', 100 + number, f'domain-{number % 2}', SEEDS
        )
        for number in range(4)
    ]
    network.adopt(entries[0], builders.change(1))
    network.run(SETTLE_SECONDS)
    return network, entries, agents


def _events(network, event):
    return [fields for _, name, fields in network.logs if name == event]


def test_an_evacuation_reaches_every_entry_and_agent_and_ends_there():
    network, entries, agents = _system()
    network.adopt(entries[2], _evacuate_change(2, 'domain-1'))
    network.run(10)
    for node in (*entries, *agents):
        active_document = node.active_configuration.document
        assert active_document.evacuated_domains == {'domain-1'}
    assert [agent.is_evacuated for agent in agents] == [False, True, False, True]
    started = _events(network, 'evacuation_started')
    assert [fields['domain'] for fields in started] == ['domain-1'] * 7
    network.adopt(entries[0], _restore_change(3, 'domain-1'))
    network.run(10)
    assert not any(agent.is_evacuated for agent in agents)
    assert len(_events(network, 'evacuation_ended')) == 7


def test_a_process_that_starts_during_an_evacuation_learns_it():
    network, entries, _ = _system()
    network.adopt(entries[0], _evacuate_change(2, 'domain-1'))
    network.run(10)
    late_entry = network.add_entry('entry-9', 9, 'domain-1', SEEDS)
    late_agent = network.add_agent('bookings-9', 109, 'domain-1', SEEDS)
    network.run(10)
    active_document = late_entry.active_configuration.document
    assert active_document.evacuated_domains == {'domain-1'}
    assert late_agent.is_evacuated


def test_entries_log_the_services_that_an_evacuation_leaves_without_a_server():
    network, entries, _ = _system()
    network.adopt(entries[0], _evacuate_change(2, 'domain-1'))
    network.run(10)
    assert not _events(network, 'evacuation_leaves_no_server')
    network.adopt(entries[0], _evacuate_change(3, 'domain-0'))
    network.run(10)
    lines = _events(network, 'evacuation_leaves_no_server')
    assert len(lines) == len(entries)
    assert lines[0]['services'] == 'bookings'
    assert 'CONNECTION_REFUSED' in lines[0]['callers_get']


def test_draining_and_foreign_servers_count_as_no_remaining_server():
    active = document.parse(builders.DOCUMENT, 'base')
    members = [
        builders.member('bookings-1', 1, domain='a'),
        builders.member(
            'bookings-2', 2, domain='b', state=member_records.State.DRAINING
        ),
        builders.member('intruder-1', 3, domain='b'),
    ]
    domains_by_service = evacuation.serving_domains(active, lambda _name: members)
    assert domains_by_service == {'bookings': {'a'}}


def test_a_long_list_of_services_is_shortened():
    names = [f'service-{number}' for number in range(12)]
    assert evacuation.shortened(names).endswith('service-9 and 2 more')
    assert evacuation.shortened(names[:2]) == 'service-0, service-1'
