"""The operators' document: parsing, error reports, merging and applying changes."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from egretjunction import errors
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from tests import builders

SECTION = 'service bookings'


def _error_text(text):
    with pytest.raises((errors.SettingsErrors, errors.SettingsError)) as raised:
        document.parse(text, 'doc.ini')
    return '\n'.join(errors.describe(raised.value))


@pytest.mark.parametrize(
    ('before', 'after', 'expected'),
    [
        (
            'address = 127.0.0.1:7001',
            'address = here',
            'doc.ini:6: section "service bookings"',
        ),
        ('team = booking\n', 'team = nobody\n', 'a defined team: booking'),
        ('feed_paths', 'feed_path', 'one of address, backend_servers'),
        ('[service bookings]', '[service Big Ones]', 'lower-case letters'),
        ('[service bookings]', '[servise bookings]', '"service NAME" or "team NAME"'),
        ('large_paths', 'shares = bookings-1\nlarge_paths', 'pattern:percent pairs'),
        ('large_paths', 'shares = b-1:101\nlarge_paths', 'percent up to 100'),
        ('a' * 64, 'abc', 'key "key_sha256": given "abc"'),
        ('large_paths', 'queue_limit = 0\nlarge_paths', 'given "0", allowed: Expected'),
        ('large_paths = /photos*', 'team = x', 'INI sections with unique keys'),
    ],
)
def test_errors_state_file_line_section_and_the_allowed_values(before, after, expected):
    assert expected in _error_text(builders.DOCUMENT.replace(before, after))


@pytest.mark.parametrize(
    ('before', 'after', 'line'),
    [
        ('[service bookings]', '[service bookings] # ours', 4),
        ('feed_paths', '  [service surveys]\nfeed_paths', 8),
        ('feed_paths', 'feed_paths = /a\x0c[service surveys]\nlarge', 9),
    ],
)
def test_a_header_that_only_one_reader_sees_is_refused(before, after, line):
    """Guards against an accepted section that entries cannot send to agents."""
    text = builders.DOCUMENT.replace(before, after, 1)
    assert f'doc.ini:{line}: section "service' in _error_text(text)
    assert 'nothing but [section], not indented' in _error_text(text)


def test_a_share_of_thousands_of_digits_is_an_error_like_any():
    """Guards against the interpreter's own error about long numbers."""
    text = f'{builders.DOCUMENT}shares = bookings-1:{"1" * 5000}\n'
    assert 'percent up to 100' in _error_text(text)


def test_two_services_cannot_have_the_same_address():
    second = builders.DOCUMENT.partition('\n\n')[2].replace('bookings', 'surveys')
    assert 'that [service bookings] does not use' in _error_text(
        f'{builders.DOCUMENT}\n{second}',
    )


def test_the_error_for_a_document_over_the_maximum_states_the_maximum():
    text = f'{builders.DOCUMENT}\n# {"x" * document.MAX_DOCUMENT_BYTES}'
    with pytest.raises(errors.RefusedError, match=str(document.MAX_DOCUMENT_BYTES)):
        document.parse(text, 'doc.ini')


def test_splitting_and_joining_keeps_the_text_and_its_comments():
    text = f'# preamble\n\n{builders.DOCUMENT}# a remark\n'
    sections = document.split(text)
    assert document.split(document.join(sections)) == sections
    assert '# a remark' in document.join(sections)
    assert '# preamble' in document.join(sections)


def test_the_first_matching_pattern_sets_the_share():
    text = f'{builders.DOCUMENT}shares = bookings-1:50, bookings-*:80\n'
    service = document.parse(text, 'doc.ini').services['bookings']
    shares = [service.share_of(name) for name in ('bookings-1', 'bookings-2', 'x')]
    assert shares == [0.5, 0.8, 1]


def test_patching_gives_the_same_document_as_parsing_the_whole():
    before = document.parse(builders.DOCUMENT, 'before')
    changed = {
        SECTION: before.sections[SECTION].replace('7001', '7009'),
        'team other': f'[team other]\nkey_sha256 = {"b" * 64}\n',
    }
    patched_document = document.patched_document(before, changed, 'patched')
    parsed = document.parse(patched_document.text(), 'whole')
    assert (patched_document.services, patched_document.teams) == (
        parsed.services,
        parsed.teams,
    )


SECTIONS = st.dictionaries(st.sampled_from('abcd'), st.sampled_from('xyz'))


@settings(derandomize=True)
@given(SECTIONS, SECTIONS, SECTIONS)
def test_merge_keeps_both_edits_or_reports_each_conflict(base, ours, theirs):
    our_change = configuration.difference(base, ours)
    their_change = configuration.difference(base, theirs)
    conflicts = {
        name
        for name in our_change
        if name in their_change and our_change[name] != their_change[name]
    }
    if conflicts:
        with pytest.raises(ExceptionGroup) as raised:
            configuration.merge(base, ours, theirs)
        assert {conflict.section for conflict in raised.value.exceptions} == conflicts
        return
    merged = configuration.merge(base, ours, theirs)
    assert merged == document.patched_sections(
        document.patched_sections(base, their_change), our_change
    )


def test_a_change_after_a_gap_is_not_applied():
    active = builders.active_configuration()
    assert not active.apply_changes([builders.change(3)])
    assert active.generation == 1


def test_an_invalid_change_keeps_the_generation():
    active = builders.active_configuration()
    broken = builders.change(2, {SECTION: '[service bookings]\nteam = x\n'})
    with pytest.raises(errors.SettingsErrors):
        active.apply_changes([broken])
    assert active.generation == 1


def test_changes_after_a_generation_are_returned_only_when_all_are_kept():
    active = builders.active_configuration()
    active.apply_changes([builders.change(2, {'team other': None})])
    assert [kept.generation for kept in active.changes_after(0)] == [1, 2]
    assert [kept.generation for kept in active.changes_after(1)] == [2]
    fresh = configuration.ActiveConfiguration()
    fresh.replace(builders.change(5), builders.DOCUMENT)
    assert fresh.changes_after(3) is None


def test_the_head_stays_within_its_size_limit_after_one_huge_change():
    huge = builders.change(1, {SECTION: 'x' * configuration.MAX_RECENT_BYTES})
    head, _ = configuration.advance(None, huge, 'key', 'text')
    assert len(msgspec.json.encode(head)) < configuration.MAX_RECENT_BYTES
    assert head.recent[0].change_id == huge.change_id
