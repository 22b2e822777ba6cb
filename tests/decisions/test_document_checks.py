"""The rules of ``config check``: each is found, and levels agree with the daemons."""

import fnmatch
import pathlib

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from egretjunction import errors
from egretjunction.decisions import document
from egretjunction.decisions import document_checks
from egretjunction.decisions import document_rules
from egretjunction.decisions import patterns

TEAM = f'[team a]\nkey_sha256 = {"a" * 64}\n\n'
PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'CONFIGURATION.md'
ERROR = document_rules.Level.ERROR
RULES = {rule.name: rule for rule in document_rules.RULES}
FILE_RULES = {'unreadable', 'size'}


def _names(text, domains_by_service=None):
    _, findings = document_checks.check(text, 'doc.ini', domains_by_service)
    return {finding.rule for finding in findings}


@pytest.mark.parametrize('name', sorted(set(RULES) - FILE_RULES))
def test_the_example_of_a_rule_breaks_it(name):
    """Guards against a rule that is listed and never applied."""
    rule = RULES[name]
    domains_by_service = {'x': {'d'}} if rule.needs_agents else None
    assert name in _names(TEAM + rule.example, domains_by_service)
    without_agents = _names(TEAM + rule.example)
    assert (name in without_agents) is not rule.needs_agents


@pytest.mark.parametrize('name', sorted(RULES))
def test_each_rule_has_an_anchor_and_its_summary_in_the_docs(name):
    page = PAGE.read_text('utf-8')
    rule = RULES[name]
    assert f'<a id="{rule.anchor}"></a>`{name}` | {rule.level.value} |' in page
    assert rule.summary in page


def test_a_sound_document_has_no_findings():
    text = (
        f'{TEAM}[service x]\nteam = a\naddress = 10.0.0.1:1\n'
        'backend_servers = x-*, y-?\nshares = x-1:50, x-*:80\nfeed_paths = /f*\n'
        'large_paths = /f, /p*\n[team operators]\nkey_sha256 = ' + 'b' * 64
    )
    assert _names(text.replace('/f, ', '')) == set()
    assert _names(text) == {'shadowed-path'}


def test_a_document_over_the_maximum_is_one_error():
    text = f'{TEAM}# {"x" * document.MAX_DOCUMENT_BYTES}'
    assert _names(text) == {'size'}


def test_a_finding_names_file_section_key_and_line():
    text = TEAM + RULES['zero-deadline'].example
    (finding,) = document_checks.check(text, 'doc.ini')[1]
    assert (finding.source, finding.section) == ('doc.ini', 'service x')
    assert (finding.key, finding.line) == ('default_deadline_seconds', 8)


@pytest.mark.parametrize(
    ('shares', 'is_found'),
    [('x-*:0', True), ('*:0, x-1:50', True), ('x-1:50, *:0', False)],
)
def test_a_service_whose_servers_all_have_share_0_has_no_servers(shares, is_found):
    text = f'{TEAM}{RULES["zero-share"].example}'.replace('x-1:0', shares)
    assert ('no-servers' in _names(text)) is is_found


# Pieces of documents; about half of the documents made of them have errors.
_PATTERNS = ['x-*', 'x-1', '*', '?', 'X*', '[ab]-1', 'y-*-1', '', 'a' * 70]
_PATTERN_LISTS = st.lists(st.sampled_from(_PATTERNS), max_size=4).map(', '.join)
_SHARES = st.lists(
    st.tuples(
        st.sampled_from(_PATTERNS),
        st.sampled_from([':0', ':50', ':100', ':50', ':101', '', ':x', ':٣']),
    ).map(''.join),
    max_size=3,
).map(', '.join)
_LINES = st.one_of(
    st.sampled_from(
        [
            'queue_limit = 1',
            'queue_limit = 0',
            'retry_percent = 0',
            'retry_percent = many',
            'default_deadline_seconds = 0',
            'default_deadline_seconds = 0.05',
            'default_deadline_seconds = nan',
            'default_deadline_seconds = 1e999',
            'idempotent_methods = GET, put',
            'feed_paths = /a*, b',
            'large_paths = /a/*, /a/*',
            'color = red',
            'feed_paths',
            '# remark',
            ' continued = 1',
            '[service x] remark',
            '  [team c]',
            '[evacuation d]',
            '[evacuation D]',
            '[]',
            '[x',
        ]
    ),
    _SHARES.map('shares = {}'.format),
    st.text(max_size=20),
)
_SERVICES = st.builds(
    '[service {}]\nteam = {}\naddress = {}\nbackend_servers = {}\n{}\n'.format,
    st.sampled_from(['x', 'y', 'z', 'Big One']),
    st.sampled_from(['a', 'a', 'b', '']),
    st.sampled_from(
        ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.1', '1.1.1.1:²']
    ),
    _PATTERN_LISTS,
    st.lists(_LINES, max_size=2).map('\n'.join),
)
_TEAMS = st.sampled_from(
    [TEAM, TEAM, TEAM.replace('team a', 'team b'), '[team a]\n', '', '# none\n']
)
_DOCUMENTS = st.one_of(
    st.builds(
        lambda team, services: team + ''.join(services),
        _TEAMS,
        st.lists(_SERVICES, max_size=3),
    ),
    st.text(max_size=200),
)
_DOMAINS = st.none() | st.dictionaries(
    st.sampled_from(['x', 'y', 'unknown']), st.sets(st.sampled_from('de'))
)


def _is_accepted(text):
    """Return whether the reader of the daemons takes a document."""
    try:
        document.parse(text, 'generation 1')
    except (errors.SettingsError, errors.SettingsErrors, errors.RefusedError):
        return False
    return True


@settings(derandomize=True, max_examples=600, deadline=None)
@given(_DOCUMENTS, _DOMAINS)
def test_errors_are_found_exactly_when_the_daemons_refuse(text, domains_by_service):
    """Guards against a document that passes the check and is refused when applied."""
    _, findings = document_checks.check(text, 'doc.ini', domains_by_service)
    has_errors = any(finding.level is ERROR for finding in findings)
    assert has_errors is not _is_accepted(text)
    assert {finding.rule for finding in findings} <= set(RULES)
    line_count = len(text.splitlines())
    assert all(0 <= finding.line <= line_count for finding in findings)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(_DOCUMENTS)
def test_an_accepted_document_is_accepted_again_from_its_sections(text):
    """Guards against sections that are lost between the command and the daemons."""
    if not _is_accepted(text):
        return
    parsed = document.parse(text, 'first')
    again = document.parse(document.join(parsed.sections), 'again')
    assert again.services == parsed.services
    assert again.evacuated_domains == parsed.evacuated_domains


_REFUSED = sorted(
    name
    for name, rule in RULES.items()
    if rule.level is ERROR and name not in FILE_RULES
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.sampled_from(_REFUSED), st.lists(_SERVICES, max_size=2))
def test_each_error_alone_makes_the_daemons_refuse(name, services):
    """Guards against an error that only the command knows."""
    text = TEAM + ''.join(services) + RULES[name].example
    _, findings = document_checks.check(text, 'doc.ini')
    assert any(finding.level is ERROR for finding in findings)
    assert not _is_accepted(text)


_GLOBS = st.text('ab*?[]-!', max_size=5)
_TEXTS = st.text('ab-', max_size=5)


@settings(derandomize=True, max_examples=2000, deadline=None)
@given(_GLOBS, _GLOBS, _TEXTS)
def test_covering_and_disjoint_patterns_agree_with_matching(one, other, text):
    """Guards against a warning about a pattern that does have an effect."""
    matches_one = fnmatch.fnmatchcase(text, one)
    matches_other = fnmatch.fnmatchcase(text, other)
    if patterns.covers(one, other):
        assert matches_one or not matches_other
    if patterns.are_disjoint(one, other):
        assert not (matches_one and matches_other)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.text('aA*?[]-.', max_size=5), st.from_regex(r'\A[a-z0-9][a-z0-9.-]{0,4}\Z'))
def test_a_pattern_said_to_match_no_name_matches_none(pattern, name):
    """Guards against a warning about a pattern that matches a server."""
    if fnmatch.fnmatchcase(name, pattern):
        assert patterns.can_match_name(pattern)
