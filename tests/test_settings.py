"""Settings are validated; an error names the file, section, key and values."""

import datetime
import subprocess
import sys

import pytest

from bench import reference
from egretjunction import errors
from egretjunction import settings
from egretjunction.standins import certificates

NOW = datetime.datetime.now(datetime.UTC)
ENTRY = """[entry]
name = entry-1
domain = domain-1
data = 127.0.0.1:7000
control = 127.0.0.1:7001
admin = 127.0.0.1:7002
fabric = 127.0.0.1:7003
platform = http://127.0.0.1:7004
key_file = shared.key
"""


def _load(tmp_path, text, section='entry'):
    path = tmp_path / 'entry.ini'
    path.write_text(text, 'utf-8')
    return settings.load(str(path), section)


def test_settings_are_typed(tmp_path):
    loaded = _load(tmp_path, f'{ENTRY}seeds = 127.0.0.1:1, 127.0.0.1:2\n')
    assert loaded.data == ('127.0.0.1', 7000)
    assert [seed.port for seed in loaded.seeds] == [1, 2]


@pytest.mark.parametrize(
    ('before', 'after', 'expected'),
    [
        ('data = 127.0.0.1:7000', 'data = nowhere', ['"data"', '"nowhere"', 'IPv4']),
        ('data = 127.0.0.1:7000', 'data = 127.0.0.1:99999', ['"data"', '99999']),
        ('name = entry-1', 'name = Entry 1', ['"name"', '"Entry 1"', 'matching']),
        ('name = entry-1\n', '', ['"name"', '"nothing"', 'a value for']),
        ('name = entry-1', 'nmae = entry-1', ['"nmae"', 'one of', '"name"']),
        ('[entry]', '[entyr]', ['"entry"', 'no such section']),
        ('[entry]', 'entry', ['File contains no section headers']),
    ],
)
def test_error_names_the_file_key_and_allowed_value(tmp_path, before, after, expected):
    with pytest.raises((errors.SettingsErrors, errors.SettingsError)) as raised:
        _load(tmp_path, ENTRY.replace(before, after))
    message = '\n'.join(errors.describe(raised.value))
    assert str(tmp_path / 'entry.ini') in message
    for part in expected:
        assert part in message


def test_all_errors_of_a_file_are_raised_together(tmp_path):
    text = ENTRY.replace('7000', 'x').replace('entry-1', 'X')
    with pytest.raises(errors.SettingsErrors) as raised:
        _load(tmp_path, text)
    assert len(raised.value.exceptions) == 2


def test_error_has_the_line_number(tmp_path):
    with pytest.raises(errors.SettingsErrors) as raised:
        _load(tmp_path, ENTRY.replace('127.0.0.1:7002', 'x'))
    (error,) = raised.value.exceptions
    assert error.line == 6


def test_command_exits_with_code_2_and_no_traceback(tmp_path):
    path = tmp_path / 'entry.ini'
    path.write_text(ENTRY.replace('127.0.0.1:7000', 'x'), 'utf-8')
    command = [sys.executable, '-m', 'egretjunction', 'entry', '--settings', str(path)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == errors.EXIT_USAGE
    assert result.stderr.startswith('error: ')
    assert 'Traceback' not in result.stderr


@pytest.mark.parametrize('key', ['short', 'x' * 33])
def test_shared_key_of_a_wrong_length_is_refused(tmp_path, key):
    path = tmp_path / 'shared.key'
    path.write_text(key, 'utf-8')
    with pytest.raises(errors.SettingsError, match='16 to 32 bytes'):
        settings.read_key(str(path))


def _check_certificate(folder, certificate='a.pem', key='a.key', now=NOW):
    return settings.check_certificate(
        str(folder / certificate),
        str(folder / key),
        now,
    )


def test_matching_certificate_and_key_are_accepted(tmp_path):
    certificates.write(tmp_path, ['a'])
    assert _check_certificate(tmp_path) > NOW


@pytest.mark.parametrize(
    ('certificate', 'key', 'message'),
    [
        ('a.pem', 'b.key', 'another key'),
        ('a.key', 'a.key', 'a PEM certificate'),
        ('a.pem', 'a.pem', 'a PEM private key'),
        ('missing.pem', 'a.key', 'readable text file'),
    ],
)
def test_wrong_certificate_or_key_is_refused(tmp_path, certificate, key, message):
    certificates.write(tmp_path, ['a', 'b'])
    with pytest.raises(errors.SettingsError, match=message):
        _check_certificate(tmp_path, certificate, key)


def test_expired_certificate_is_refused(tmp_path):
    certificates.write(tmp_path, ['a'], days=-1)
    with pytest.raises(errors.SettingsError, match='valid now'):
        _check_certificate(tmp_path)


def test_settings_reference_in_the_docs_matches_the_code():
    assert reference.reference() in reference.PAGE.read_text('utf-8')
