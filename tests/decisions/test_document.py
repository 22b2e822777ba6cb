"""The operators' document: every error at once, each with its place."""

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


def _problems(text):
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
        ('a' * 64, 'abc', 'key "key_sha256": given "abc"'),
        ('large_paths', 'queue_limit = 0\nlarge_paths', 'given "0", allowed: Expected'),
        ('large_paths = /photos*', 'team = x', 'INI sections with unique keys'),
    ],
)
def test_errors_name_file_line_section_and_what_is_allowed(before, after, expected):
    assert expected in _problems(builders.DOCUMENT.replace(before, after))


def test_two_services_cannot_share_an_address():
    second = builders.DOCUMENT.partition('\n\n')[2].replace('bookings', 'surveys')
    assert 'that [service bookings] does not use' in _problems(
        f'{builders.DOCUMENT}\n{second}',
    )


def test_document_over_the_maximum_is_refused_with_both_sizes():
    text = f'{builders.DOCUMENT}\n# {"x" * document.MAX_DOCUMENT_BYTES}'
    with pytest.raises(errors.RefusedError, match=str(document.MAX_DOCUMENT_BYTES)):
        document.parse(text, 'doc.ini')


def test_text_survives_cutting_and_joining_with_its_comments():
    text = f'# preamble\n\n{builders.DOCUMENT}# a remark\n'
    sections = document.split(text)
    assert document.split(document.join(sections)) == sections
    assert '# a remark' in document.join(sections)
    assert '# preamble' in document.join(sections)


def test_shares_follow_the_first_matching_pattern():
    text = f'{builders.DOCUMENT}shares = bookings-1:50, bookings-*:80\n'
    service = document.parse(text, 'doc.ini').services['bookings']
    shares = [service.share_of(name) for name in ('bookings-1', 'bookings-2', 'x')]
    assert shares == [0.5, 0.8, 1]


def test_reading_changed_sections_alone_gives_the_same_document():
    before = document.parse(builders.DOCUMENT, 'before')
    changed = {
        SECTION: before.sections[SECTION].replace('7001', '7009'),
        'team other': f'[team other]\nkey_sha256 = {"b" * 64}\n',
    }
    patched = document.patched(before, changed, 'patched')
    whole = document.parse(patched.text(), 'whole')
    assert (patched.services, patched.teams) == (whole.services, whole.teams)


SECTIONS = st.dictionaries(st.sampled_from('abcd'), st.sampled_from('xyz'))


@settings(derandomize=True)
@given(SECTIONS, SECTIONS, SECTIONS)
def test_merge_keeps_both_edits_or_names_each_conflict(base, ours, theirs):
    our_change = configuration.difference(base, ours)
    their_change = configuration.difference(base, theirs)
    clashes = {
        name
        for name in our_change
        if name in their_change and our_change[name] != their_change[name]
    }
    if clashes:
        with pytest.raises(ExceptionGroup) as raised:
            configuration.merge(base, ours, theirs)
        assert {each.section for each in raised.value.exceptions} == clashes
        return
    merged = configuration.merge(base, ours, theirs)
    assert merged == document.patch(document.patch(base, their_change), our_change)


def test_a_gap_in_the_changes_is_not_followed():
    followed = builders.active_configuration()
    assert not followed.apply_changes([builders.change(3)])
    assert followed.generation == 1


def test_a_change_that_cannot_be_read_leaves_the_generation():
    followed = builders.active_configuration()
    broken = builders.change(2, {SECTION: '[service bookings]\nteam = x\n'})
    with pytest.raises(errors.SettingsErrors):
        followed.apply_changes([broken])
    assert followed.generation == 1


def test_changes_are_told_only_when_all_of_them_are_known():
    followed = builders.active_configuration()
    followed.apply_changes([builders.change(2, {'team other': None})])
    assert [each.generation for each in followed.changes_after(0)] == [1, 2]
    assert [each.generation for each in followed.changes_after(1)] == [2]
    fresh = configuration.ActiveConfiguration()
    fresh.replace(builders.change(5), builders.DOCUMENT)
    assert fresh.changes_after(3) is None


def test_one_huge_change_does_not_outgrow_the_head():
    huge = builders.change(1, {SECTION: 'x' * configuration.MAX_RECENT_BYTES})
    head, _ = configuration.advance(None, huge, 'key', 'text')
    assert len(msgspec.json.encode(head)) < configuration.MAX_RECENT_BYTES
    assert head.recent[0].change_id == huge.change_id
