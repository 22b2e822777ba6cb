"""Checks a document: what the daemons refuse, and what they take but cannot use."""

import typing

from egretjunction import _ini_lines
from egretjunction import errors
from egretjunction.decisions import document
from egretjunction.decisions import document_rules
from egretjunction.decisions import evacuation
from egretjunction.decisions import patterns
from egretjunction.decisions import retries

# Patterns of one key are compared with at most this many others, so that the time of
# a check grows with the size of the document, also when one key has thousands.
MAX_COMPARED = 16
WHOLE = '*'  # in place of a section or key

DomainsByService = typing.Mapping[str, typing.Iterable[str]]


class _Findings:
    """Findings in one document.

    :param text: the document.
    :param source: name of the file.
    """

    __slots__ = ('_lines', '_source', '_text', 'found')

    def __init__(self, text: str, source: str) -> None:
        self._source = source
        self._text = text
        self._lines: _ini_lines.LineIndex | None = None
        self.found: list[document_rules.Finding] = []

    def add(self, rule: str, section: str, key: str, message: str) -> None:
        """Record a finding with its level and line number."""
        level = document_rules.LEVEL_BY_RULE[rule]
        if self._lines is None:
            self._lines = _ini_lines.LineIndex(self._text)
        line = self._lines.find(section, key)
        self.found.append(
            document_rules.Finding(
                rule, level, self._source, section, key, line, message
            ),
        )


def check(
    text: str, source: str, domains_by_service: DomainsByService | None = None
) -> tuple[document.Document | None, list[document_rules.Finding]]:
    """Return the document, None when the daemons refuse it, and all findings.

    :param text: the document.
    :param source: name of the file.
    :param domains_by_service: failure domains of the serving agents of each service,
        None when they are not known.
    """
    try:
        parsed = document.parse(text, source)
    except errors.SettingsErrors as group:
        return None, [
            from_error(error)
            for error in group.exceptions
            if isinstance(error, errors.SettingsError)
        ]
    except errors.SettingsError as error:
        return None, [from_error(error)]
    except errors.RefusedError as error:
        return None, [whole_file('size', source, str(error))]
    findings = _Findings(text, source)
    for service in parsed.services.values():
        _check_service(findings, service)
    _check_teams(findings, parsed)
    if domains_by_service is not None:
        _check_agents(findings, parsed, domains_by_service)
    return parsed, findings.found


def from_error(error: errors.SettingsError) -> document_rules.Finding:
    """Return the finding for an error of the daemons' reader."""
    message = f'given "{error.given}", allowed: {error.allowed}'
    return document_rules.Finding(
        error.rule,
        document_rules.LEVEL_BY_RULE[error.rule],
        error.source,
        error.section,
        error.key,
        error.line,
        message,
    )


def whole_file(rule: str, source: str, message: str) -> document_rules.Finding:
    """Return a finding that concerns a file as a whole."""
    level = document_rules.LEVEL_BY_RULE[rule]
    return document_rules.Finding(rule, level, source, WHOLE, WHOLE, 0, message)


def _check_service(findings: _Findings, service: document.Service) -> None:
    section = document.SERVICE_PREFIX + service.name
    _check_names(findings, section, service)
    _check_shares(findings, section, service)
    _check_paths(findings, section, service)
    for method in service.idempotent_methods:
        if method != method.upper():
            message = f'"{method}" is not in upper case'
            findings.add('impossible-method', section, 'idempotent_methods', message)
    _check_deadline(findings, section, service)


def _check_names(findings: _Findings, section: str, service: document.Service) -> None:
    key = 'backend_servers'
    if not service.backend_servers:
        findings.add('no-servers', section, key, 'no pattern is given')
    for pattern in service.backend_servers:
        if not patterns.can_match_name(pattern):
            message = f'"{pattern}" can match no name of a backend server'
            findings.add('impossible-name', section, key, message)
    _check_repeated(findings, section, key, service.backend_servers)


def _check_repeated(
    findings: _Findings, section: str, key: str, texts: typing.Sequence[str]
) -> None:
    for pattern, earlier in _covered(texts):
        message = f'"{pattern}" has no effect after "{earlier}"'
        findings.add('repeated-pattern', section, key, message)


def _covered(texts: typing.Sequence[str]) -> typing.Iterator[tuple[str, str]]:
    """Yield each pattern that an earlier one covers, with that one."""
    seen: set[str] = set()
    general: list[str] = []
    for pattern in texts:
        if pattern in seen:
            yield pattern, pattern
            continue
        cover = _first_cover(general, pattern)
        if cover is not None:
            yield pattern, cover
        seen.add(pattern)
        if '*' in pattern and len(general) < MAX_COMPARED:
            general.append(pattern)


def _first_cover(general: typing.Iterable[str], pattern: str) -> str | None:
    for earlier in general:
        if patterns.covers(earlier, pattern):
            return earlier
    return None


def _check_shares(findings: _Findings, section: str, service: document.Service) -> None:
    pairs = [share.rpartition(':') for share in service.shares]
    share_patterns = [pair[0] for pair in pairs]
    for pattern, earlier in _covered(share_patterns):
        message = f'the share of "{pattern}" has no effect after that of "{earlier}"'
        findings.add('shadowed-share', section, 'shares', message)
    names = service.backend_servers
    for pattern, _, percent in pairs:
        if not int(percent):
            message = f'servers that "{pattern}" matches get no flows'
            findings.add('zero-share', section, 'shares', message)
        if len(names) <= MAX_COMPARED and _matches_none(pattern, names):
            message = f'"{pattern}" can match no server of the service'
            findings.add('unmatched-share', section, 'shares', message)
    is_first_zero = bool(pairs) and not int(pairs[0][2])
    is_first_for_all = is_first_zero and all(
        patterns.covers(share_patterns[0], name) for name in names
    )
    if names and is_first_for_all:
        findings.add('no-servers', section, 'shares', 'all servers have share 0')


def _matches_none(pattern: str, names: typing.Iterable[str]) -> bool:
    if not patterns.can_match_name(pattern):
        return True
    return all(patterns.are_disjoint(pattern, name) for name in names)


def _check_paths(findings: _Findings, section: str, service: document.Service) -> None:
    paths_by_key = {
        'feed_paths': service.feed_paths,
        'large_paths': service.large_paths,
    }
    for key, paths in paths_by_key.items():
        _check_repeated(findings, section, key, paths)
        for path in paths:
            if not patterns.can_match_path(path):
                message = f'"{path}" can match no path'
                findings.add('impossible-path', section, key, message)
    feeds = service.feed_paths[:MAX_COMPARED]
    for path in service.large_paths:
        cover = _first_cover(feeds, path)
        if cover is not None:
            message = f'"{path}": all these are feeds by "{cover}" of feed_paths'
            findings.add('shadowed-path', section, 'large_paths', message)


def _check_deadline(
    findings: _Findings, section: str, service: document.Service
) -> None:
    key = 'default_deadline_seconds'
    seconds = service.default_deadline_seconds
    if not seconds:
        message = 'requests without a deadline of their own are rejected at once'
        findings.add('zero-deadline', section, key, message)
    elif service.retry_percent and seconds <= retries.FIRST_BACKOFF_SECONDS:
        message = (
            f'{seconds} s are over before the first retry, which begins after '
            f'{retries.FIRST_BACKOFF_SECONDS} s; retry_percent = '
            f'{service.retry_percent} has no effect'
        )
        findings.add('retry-deadline', section, key, message)


def _check_teams(findings: _Findings, parsed: document.Document) -> None:
    used = {service.team for service in parsed.services.values()}
    for team in parsed.teams:
        if team not in used and team != document.OPERATORS_TEAM:
            section = document.TEAM_PREFIX + team
            findings.add('unused-team', section, WHOLE, 'no service belongs to it')


def _check_agents(
    findings: _Findings,
    parsed: document.Document,
    domains_by_service: DomainsByService,
) -> None:
    known = {domain for each in domains_by_service.values() for domain in each}
    evacuated = parsed.evacuated_domains
    for domain in sorted(evacuated - known):
        section = evacuation.section_name(domain)
        findings.add('evacuated-unknown', section, WHOLE, 'no serving agent is in it')
    if known and evacuated >= known:
        section = evacuation.section_name(min(known))
        message = 'all failure domains with serving agents are evacuated'
        findings.add('evacuated-all', section, WHOLE, message)
    for name in parsed.services:
        section = document.SERVICE_PREFIX + name
        domains = set(domains_by_service.get(name, ()))
        if not domains:
            findings.add('no-agents', section, WHOLE, 'it has no serving agent')
        elif evacuated >= domains:
            message = 'only evacuated servers: new connections of callers are refused'
            findings.add('evacuated-service', section, WHOLE, message)
