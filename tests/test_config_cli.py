"""Runs the configuration commands as separate processes against a running system."""

import json
import subprocess
import sys

import pytest

from egretjunction import errors
from egretjunction.standins import cluster
from tests import systems


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    """Start a system that the tests of this module share."""
    folder = tmp_path_factory.mktemp('config')
    with systems.running(folder) as started:
        for team in ('booking', 'photo'):
            (folder / f'{team}.key').write_text(cluster.team_key(team), 'utf-8')
        (folder / 'base.ini').write_text(started.document_text(), 'utf-8')
        yield started


def _run_config(*arguments):
    command = [sys.executable, '-m', 'egretjunction', 'config', *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def _run_apply(system, name, text, team='booking', key='booking', base='base.ini'):
    path = system.folder / name
    path.write_text(text, 'utf-8')
    return _run_config(
        'apply',
        path,
        '--platform',
        system.platform_url,
        '--who',
        'tester',
        '--team',
        team,
        '--key-file',
        system.folder / f'{key}.key',
        '--base',
        system.folder / base,
        '--json',
    )


def _with_queue_limit(system, service, limit):
    text = system.document_text()
    address = f'address = {system.address_by_service[service]}\n'
    return text.replace(address, f'{address}queue_limit = {limit}\n')


def test_check_counts_sections_or_shows_all_errors(system):
    result = _run_config('check', system.folder / 'base.ini')
    assert (result.returncode, '2 services, 2 teams' in result.stdout) == (0, True)
    broken = system.folder / 'broken.ini'
    text = system.document_text().replace('team = booking', 'team = nobody')
    broken.write_text(text.replace('feed_paths', 'fed_paths'), 'utf-8')
    result = _run_config('check', broken)
    assert result.returncode == errors.EXIT_USAGE
    assert result.stderr.count('error: ') == 2
    assert f'{broken}:' in result.stderr


def test_change_is_shown_applied_listed_settled_and_reverted(system):
    url = ('--platform', system.platform_url)
    path = system.folder / 'wanted.ini'
    path.write_text(_with_queue_limit(system, 'bookings', 33), 'utf-8')
    assert '+queue_limit = 33' in _run_config('diff', path, *url).stdout

    applied = json.loads(_run_apply(system, 'wanted.ini', path.read_text()).stdout)
    assert 'queue_limit = 33' in _run_config('show', *url).stdout

    listed = json.loads(_run_config('history', *url, '--json').stdout)
    assert listed[-1]['change_id'] == applied['change_id']
    assert (listed[-1]['who'], listed[-1]['team']) == ('tester', 'booking')

    settled = _run_config('settle', applied['change_id'], *url)
    assert f'generation {applied["generation"]}' in settled.stdout
    unknown = _run_config('settle', 'no-such-change', *url)
    assert (unknown.returncode, 'not accepted' in unknown.stdout) == (1, True)

    reverted = _run_config(
        'revert',
        1,
        *url,
        '--who',
        'tester',
        '--team',
        'booking',
        '--key-file',
        system.folder / 'booking.key',
    )
    assert reverted.returncode == 0, reverted.stderr
    assert 'queue_limit = 33' not in _run_config('show', *url).stdout


def test_concurrent_edits_are_merged_or_refused_with_both_diffs(system):
    assert (
        _run_apply(
            system, 'a.ini', _with_queue_limit(system, 'bookings', 41)
        ).returncode
        == 0
    )
    other = _run_apply(
        system, 'b.ini', _with_queue_limit(system, 'surveys', 42), 'photo', 'photo'
    )
    assert other.returncode == 0, other.stderr
    conflicting = _run_apply(system, 'c.ini', _with_queue_limit(system, 'bookings', 43))
    assert conflicting.returncode == 1
    assert '+queue_limit = 43' in conflicting.stderr
    assert '+queue_limit = 41' in conflicting.stderr


@pytest.mark.parametrize(('team', 'key'), [('photo', 'photo'), ('booking', 'photo')])
def test_another_teams_section_or_key_is_refused(system, team, key):
    shown = _run_config('show', '--platform', system.platform_url, '--json').stdout
    accepted = json.loads(shown)['document']
    (system.folder / 'accepted.ini').write_text(accepted, 'utf-8')
    wanted = accepted.replace('feed_paths = /feed*', 'feed_paths = /news*', 1)
    result = _run_apply(system, 'd.ini', wanted, team, key, 'accepted.ini')
    assert result.returncode == 1
    assert 'team "booking"' in result.stderr


def test_status_shows_the_generation_in_each_failure_domain(system):
    admins = [system.admin_address_by_name[name] for name in ('entry-1', 'entry-2')]
    shown = json.loads(_run_config('status', *admins, '--json').stdout)
    assert set(shown) == {'domain-1', 'domain-2'}
    assert _run_config('status', '127.0.0.1:9').returncode == 1


def test_unreachable_platform_is_reported(system):
    result = _run_config('show', '--platform', 'http://127.0.0.1:9')
    assert result.returncode == 1
    assert result.stderr.startswith('error: read failed')
