"""Evacuation by command against a running system: flows, status and audit trail."""

import asyncio
import json
import subprocess
import sys

import pytest

from egretjunction import evacuations
from egretjunction import verdicts
from egretjunction.standins import cluster
from tests import systems

DOMAINS = ('domain-1', 'domain-2')
OPERATORS_SECTION = (
    f'[team operators]\nkey_sha256 = {cluster.team_key_digest("operators")}'
)


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    """Start a system whose document has a team ``operators``."""
    folder = tmp_path_factory.mktemp('evacuation')
    with systems.running(folder) as started:
        for team in ('operators', 'booking'):
            (folder / f'{team}.key').write_text(cluster.team_key(team), 'utf-8')
        text = f'{started.document_text()}\n{OPERATORS_SECTION}\n'
        (folder / 'base.ini').write_text(text, 'utf-8')
        asyncio.run(systems.apply_document(started, text, 'operators'))
        yield started


def _run_config(*arguments):
    command = [sys.executable, '-m', 'egretjunction', 'config', *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def _change(system, command, *arguments, team='operators'):
    return _run_config(
        command,
        *arguments,
        '--platform',
        system.platform_url,
        '--who',
        'tester',
        '--team',
        team,
        '--key-file',
        system.folder / f'{team}.key',
    )


def _daemons(system):
    return [name for name in system.admin_address_by_name if name != 'fabric']


def _wait_for(system, *domains):
    """Wait until exactly these domains are evacuated at every entry and agent."""
    for name in _daemons(system):
        systems.wait_until(
            lambda name=name: (
                system.status(name)['domains_evacuated'] == sorted(domains)
            )
        )


def _restore_all(system):
    for domain in DOMAINS:
        _change(system, 'restore', domain)
    _wait_for(system)


def _servers(system, count=12):
    """Return the servers that answer requests in new flows."""

    async def run():
        names = set()
        for _ in range(count):
            client = system.caller('bookings', None)
            outcome = await client.request('GET', '/slots?work_ms=1')
            assert outcome.status == 200, outcome.reason
            names.add(json.loads(outcome.body)['server'])
            await client.close()
        return names

    return asyncio.run(run())


def test_new_flows_leave_the_domain_and_open_flows_stay(system):
    async def run():
        clients = [system.caller('bookings', None) for _ in range(8)]
        before = [await _server_of(client) for client in clients]
        assert set(before) == {'bookings-1', 'bookings-2'}
        result = await asyncio.to_thread(_change, system, 'evacuate', 'domain-2')
        assert result.returncode == 0, result.stderr
        await asyncio.to_thread(_wait_for, system, 'domain-2')
        assert await asyncio.to_thread(_servers, system) == {'bookings-1'}
        assert [await _server_of(client) for client in clients] == before
        for client in clients:
            await client.close()

    asyncio.run(run())
    assert system.status('agent-bookings-2')['is_evacuated']
    assert not system.status('agent-bookings-1')['is_evacuated']
    assert systems.metric_sum(system, 'agent-bookings-2', 'domains_evacuated') == 1
    assert systems.metric_sum(system, 'entry-1', 'domains_evacuated') == 1
    log = (system.folder / 'entry-1.log').read_text('utf-8')
    assert 'event=evacuation_started' in log
    _restore_all(system)
    assert _servers(system, 30) == {'bookings-1', 'bookings-2'}


async def _server_of(client):
    outcome = await client.request('GET', '/slots?work_ms=1')
    return json.loads(outcome.body)['server']


def test_status_and_audit_trail_show_the_evacuation(system):
    accepted = _change(system, 'evacuate', 'domain-1', '--note', 'power work')
    assert 'accepted as generation' in accepted.stdout
    _wait_for(system, 'domain-1')
    admins = [system.admin_address_by_name[name] for name in _daemons(system)]
    shown = _run_config('status', *admins).stdout
    assert f'domain-1 is evacuated at {len(admins)} of {len(admins)}' in shown
    payload = json.loads(_run_config('status', *admins, '--json').stdout)
    assert payload['@evacuated'] == {'domain-1': sorted(_names(system))}
    listed = _run_config('history', '--platform', system.platform_url, '--json')
    newest = json.loads(listed.stdout)[-1]
    assert newest['note'] == 'power work'
    assert list(newest['sections']) == ['evacuation domain-1']
    assert 'nothing to change' in _change(system, 'evacuate', 'domain-1').stdout
    _restore_all(system)
    assert '@evacuated' not in json.loads(
        _run_config('status', *admins, '--json').stdout
    )


def _names(system):
    return [system.status(name)['name'] for name in _daemons(system)]


def test_callers_are_refused_at_once_when_all_domains_are_evacuated(system):
    """Guards against callers that wait for their deadline for nothing."""
    admin = system.admin_address_by_name['entry-1']
    _change(system, 'evacuate', 'domain-1')
    result = _change(system, 'evacuate', 'domain-2', '--admin', admin)
    assert result.returncode == 0
    assert 'all failure domains' in result.stderr
    assert 'no server is left for bookings, surveys' in result.stderr
    assert 'CONNECTION_REFUSED' in result.stderr
    _wait_for(system, *DOMAINS)

    async def run():
        client = system.caller('bookings')
        outcome = await client.request('POST', '/work?work_ms=1', deadline_seconds=20)
        await client.close()
        return outcome

    outcome = asyncio.run(asyncio.wait_for(run(), 10))
    assert outcome.verdict is verdicts.Verdict.NOT_RUN
    refused = [
        systems.metric_sum(system, name, 'flows_refused_total')
        for name in ('entry-1', 'entry-2')
    ]
    assert sum(refused) > 0
    assert 'evacuation_leaves_no_server' in (system.folder / 'entry-1.log').read_text()
    _restore_all(system)
    assert _servers(system, 2)


def test_a_file_without_the_evacuation_does_not_end_it(system):
    """Guards against a routine edit that puts flows back into the domain."""
    _change(system, 'evacuate', 'domain-2')
    text = (
        (system.folder / 'base.ini')
        .read_text()
        .replace(
            'large_paths = /photos*', 'large_paths = /photos*\nqueue_limit = 44', 1
        )
    )
    path = system.folder / 'edit.ini'
    path.write_text(f'{text}\n[evacuation domain-1]\n', 'utf-8')
    applied = _change(system, 'apply', path)
    assert applied.returncode == 0, applied.stderr
    assert 'evacuations_in_file_ignored' in applied.stderr
    shown = _run_config('show', '--platform', system.platform_url).stdout
    assert 'queue_limit = 44' in shown
    assert '[evacuation domain-2]' in shown
    assert '[evacuation domain-1]' not in shown
    reverted = _change(system, 'revert', 2)
    assert reverted.returncode == 0, reverted.stderr
    shown = _run_config('show', '--platform', system.platform_url).stdout
    assert 'queue_limit = 44' not in shown
    assert '[evacuation domain-2]' in shown
    _restore_all(system)


@pytest.mark.parametrize(
    ('arguments', 'team', 'code', 'message'),
    [
        (('evacuate', 'domain-1'), 'booking', 1, 'belongs to team "operators"'),
        (('evacuate', 'Domain 1'), 'operators', 2, 'lower-case letters'),
        (('restore', 'domain-9'), 'operators', 1, 'is not evacuated; evacuated: none'),
    ],
)
def test_what_cannot_be_evacuated_or_restored_is_refused(
    system, arguments, team, code, message
):
    result = _change(system, *arguments, team=team)
    assert (result.returncode, message in result.stderr) == (code, True)
    assert len(result.stderr.splitlines()) == 1


def test_an_unknown_domain_is_evacuated_with_a_warning(system):
    """A domain may be evacuated before its first server starts."""
    admin = system.admin_address_by_name['entry-1']
    result = _change(system, 'evacuate', 'domain-7', '--admin', admin)
    assert result.returncode == 0
    assert 'no serving agent is in failure domain domain-7' in result.stderr
    _change(system, 'restore', 'domain-7')


@pytest.mark.parametrize('role', ['agent-surveys-1', ''])
def test_an_evacuation_does_not_depend_on_the_admin_endpoint(system, role):
    """Guards against an accepted change that is reported as refused."""
    admin = system.admin_address_by_name.get(role, '127.0.0.1:9')
    result = _change(system, 'evacuate', 'domain-7', '--admin', admin)
    assert result.returncode == 0
    assert 'what callers get is not known' in result.stderr
    _change(system, 'restore', 'domain-7')


def test_a_process_of_an_older_version_counts_as_not_evacuated():
    statuses = [
        evacuations.ProcessStatus('new', 'a', 1, ('b',)),
        evacuations.ProcessStatus('old', 'a', 1),
    ]
    assert evacuations.evacuated_at(statuses) == {'b': ['new']}
