"""The report of ``config check``: formats, exit codes and what it reads."""

import json
import subprocess
import sys

import pytest
from typer import testing

from egretjunction import cli
from egretjunction import document_report
from egretjunction import errors
from egretjunction.decisions import document
from egretjunction.standins import cluster
from tests import builders
from tests import systems

RUNNER = testing.CliRunner()
WARNING = 'idempotent_methods = get\n'
UNREACHABLE = '127.0.0.1:9'


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a document and returns its path."""

    def write_text(text):
        path = tmp_path / 'doc.ini'
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return str(path)

    return write_text


def _check(*arguments):
    return RUNNER.invoke(cli.app, ['config', 'check', *map(str, arguments)])


@pytest.mark.parametrize(
    ('extra', 'options', 'code'),
    [
        ('', (), 0),
        ('', ('--strict',), 0),
        (WARNING, (), 0),
        (WARNING, ('--strict',), 1),
        ('color = red\n', (), 2),
        (f'{WARNING}color = red\n', ('--strict',), 2),
    ],
)
@pytest.mark.parametrize('form', [(), ('--format', 'json'), ('--json',)])
def test_exit_code_tells_errors_and_strict_warnings(write, extra, options, code, form):
    path = write(builders.DOCUMENT + extra)
    assert _check(path, *options, *form).exit_code == code


def test_findings_are_lines_with_rule_place_and_level(write):
    path = write(builders.DOCUMENT + WARNING)
    result = _check(path)
    assert result.stderr == (
        f'warning: {path}:10: section "service bookings", key "idempotent_methods": '
        '"get" is not in upper case [impossible-method]\n'
    )
    assert result.stdout == f'{path}: 1 services, 1 teams, no errors, 1 warnings\n'


def test_json_report_holds_every_finding(write):
    path = write(builders.DOCUMENT + WARNING)
    report = json.loads(_check(path, '--format', 'json').stdout)
    (finding,) = report['findings']
    assert finding == {
        'rule': 'impossible-method',
        'level': 'warning',
        'file': path,
        'section': 'service bookings',
        'key': 'idempotent_methods',
        'line': 10,
        'message': '"get" is not in upper case',
    }
    assert (report['file'], report['services'], report['teams']) == (path, 1, 1)
    assert (report['in_force'], report['notes']) == (None, [])


def test_counts_as_json_are_unchanged(write):
    result = _check(write(builders.DOCUMENT), '--json')
    assert json.loads(result.stdout) == {'services': 1, 'teams': 1}


@pytest.mark.parametrize(
    ('content', 'rule'),
    [
        (None, 'unreadable'),
        (b'\x7fELF\x02\x01\x01\xff\xfe\x00', 'unreadable'),
        (b'\x00\x01\x02\n\x00', 'syntax'),
        (b'\xff' * 2_000_000, 'size'),
        (b'# x\n' * 300_000, 'size'),
        (b'{"services": []}', 'syntax'),
    ],
)
def test_what_is_no_document_is_one_line_and_nothing_is_sent(
    write, tmp_path, monkeypatch, content, rule
):
    """Guards against a call of the platform on behalf of a wrong file."""
    path = str(tmp_path / 'missing') if content is None else write(content)

    def fail(*_arguments):
        raise AssertionError('the platform was called')

    monkeypatch.setattr(document_report.operators, 'read', fail)
    monkeypatch.setattr(document_report.evacuations, 'serving_domains', fail)
    url = f'http://{UNREACHABLE}'
    result = _check(path, '--platform', url, '--admin', UNREACHABLE)
    assert result.exit_code == errors.EXIT_USAGE
    (line,) = result.stderr.splitlines()
    assert line.endswith(f'[{rule}]')
    assert result.stdout == ''


def test_a_directory_is_no_document(tmp_path):
    result = _check(tmp_path)
    assert result.exit_code == errors.EXIT_USAGE
    assert len(result.stderr.splitlines()) == 1


def test_an_endless_file_is_read_up_to_the_maximum_only():
    result = subprocess.run(
        [sys.executable, '-m', 'egretjunction', 'config', 'check', '/dev/zero'],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == errors.EXIT_USAGE
    assert f'more than {document.MAX_DOCUMENT_BYTES} bytes' in result.stderr


def test_addresses_that_do_not_respond_become_notes(write):
    path = write(builders.DOCUMENT)
    url = f'http://{UNREACHABLE}'
    result = _check(path, '--strict', '--platform', url, '--admin', UNREACHABLE)
    assert result.exit_code == 0
    assert 'note: not compared with agents' in result.stderr
    assert 'note: not compared with the version in force' in result.stderr


def test_windows_line_ends_are_read_as_by_the_other_commands(write):
    path = write(builders.DOCUMENT.replace('\n', '\r\n'))
    assert _check(path).exit_code == 0


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    """Start a system that the tests of this module share."""
    folder = tmp_path_factory.mktemp('report')
    with systems.running(folder) as started:
        yield started


def test_report_compares_with_the_version_in_force_and_the_agents(system, write):
    text = system.document_text().replace(
        'large_paths = /photos*', 'large_paths = /photos*\nqueue_limit = 44', 1
    )
    digest = cluster.team_key_digest('photo')
    extra = (
        f'[service empty]\nteam = photo\naddress = 127.0.0.1:1\nbackend_servers = e-*\n'
        f'[team operators]\nkey_sha256 = {digest}\n'
        '[evacuation domain-1]\n[evacuation domain-2]\n[evacuation domain-9]\n'
    )
    path = write(f'{text}\n{extra}')
    admin = system.admin_address_by_name['entry-1']
    result = _check(
        path, '--platform', system.platform_url, '--admin', admin, '--format', 'json'
    )
    report = json.loads(result.stdout)
    rules = [finding['rule'] for finding in report['findings']]
    assert sorted(rules) == [
        'evacuated-all',
        'evacuated-service',
        'evacuated-service',
        'evacuated-unknown',
        'no-agents',
    ]
    in_force = report['in_force']
    assert in_force['generation'] == 1
    assert set(in_force['differences']) == {
        'service bookings',
        'service empty',
        'team operators',
    }
    assert '+queue_limit = 44' in in_force['differences']['service bookings']
    shown = _check(path, '--platform', system.platform_url)
    assert '3 sections differ from generation 1' in shown.stdout
