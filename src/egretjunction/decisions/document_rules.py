"""The rules that ``config check`` applies to the operators' document, as one list."""

import enum
import types
import typing

import msgspec


class Level(enum.Enum):
    """Whether the daemons refuse the document, or take it and the rule only warns."""

    ERROR = 'error'
    WARNING = 'warning'


class Rule(msgspec.Struct, frozen=True):
    """One rule.

    :param name: name of the rule in reports.
    :param level: level of its findings.
    :param summary: what is found.
    :param example: sections that break the rule, beside a section ``[team a]``; empty
        when no text of a document breaks it.
    :param needs_agents: whether it needs to know which agents serve.
    """

    name: str
    level: Level
    summary: str
    example: str = ''
    needs_agents: bool = False

    @property
    def anchor(self) -> str:
        """Return the anchor of the rule in ``docs/CONFIGURATION.md``."""
        return f'rule-{self.name}'


class Finding(msgspec.Struct, frozen=True, rename={'source': 'file'}):
    """One place in a document that breaks a rule.

    :param rule: name of the rule.
    :param level: level of the rule.
    :param source: name of the file.
    :param section: section in the file, ``*`` for the file as a whole.
    :param key: key in the section, ``*`` for the section as a whole.
    :param line: line number in the file, 0 when it is not known.
    :param message: what is wrong there.
    """

    rule: str
    level: Level
    source: str
    section: str
    key: str
    line: int
    message: str


_SERVICE = """[service x]
team = a
address = 10.0.0.1:1
backend_servers = x-*
"""
_DIGEST = 'b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4b4'
_NO_SERVERS = _SERVICE.replace('x-*', ',')
_EVACUATED = f'{_SERVICE}[evacuation d]\n'

_ERRORS = (
    ('unreadable', 'the file is missing, or is no UTF-8 text', ''),
    ('size', 'the document is larger than the platform takes', ''),
    ('syntax', 'a line is neither header, key nor comment, or a name is repeated', 'x'),
    ('header', 'a header has text after it, or is indented', '[team b] x'),
    ('unknown-section', 'a section is no service, team or evacuation', '[tem a]'),
    ('section-name', 'the name in a header is not allowed', '[evacuation D 1]'),
    ('missing-key', 'a required key is missing', '[team b]'),
    ('unknown-key', 'a key is not known in this section', f'{_SERVICE}color = red'),
    ('value', 'a value is not of the allowed form', f'{_SERVICE}queue_limit = 0'),
    (
        'undefined-team',
        'a service belongs to a team that has no section',
        _SERVICE.replace('= a', '= b'),
    ),
    (
        'duplicate-address',
        'two services have one address',
        _SERVICE + _SERVICE.replace('[service x]', '[service y]'),
    ),
    ('shares', 'a share is no pattern:percent pair', f'{_SERVICE}shares = x-1'),
)
_WARNINGS = (
    ('no-servers', 'a service has no server that may get flows', _NO_SERVERS),
    (
        'impossible-name',
        'a pattern can match no name of a backend server',
        _SERVICE.replace('x-*', 'X-*, x-*'),
    ),
    (
        'repeated-pattern',
        'a pattern has no effect, because an earlier one of the key covers it',
        _SERVICE.replace('x-*', 'x-*, x-1'),
    ),
    (
        'shadowed-share',
        'a share has no effect, because an earlier one covers its pattern',
        f'{_SERVICE}shares = x-*:50, x-1:20',
    ),
    (
        'unmatched-share',
        'the pattern of a share can match no server of the service',
        f'{_SERVICE}shares = y-1:50',
    ),
    (
        'zero-share',
        'a share of 0 keeps servers from getting flows',
        f'{_SERVICE}shares = x-1:0',
    ),
    (
        'impossible-path',
        'a pattern can match no path, which begins with a slash',
        f'{_SERVICE}feed_paths = feed*',
    ),
    (
        'shadowed-path',
        'requests that a pattern of large_paths matches are all feeds',
        f'{_SERVICE}feed_paths = /a*\nlarge_paths = /a/b*',
    ),
    (
        'impossible-method',
        'a method is not in upper case, and methods are compared as they are',
        f'{_SERVICE}idempotent_methods = get',
    ),
    (
        'unused-team',
        'a team has no service',
        f'[team b]\nkey_sha256 = {_DIGEST}',
    ),
    (
        'zero-deadline',
        'a request without a deadline of its own has none left at its start',
        f'{_SERVICE}default_deadline_seconds = 0',
    ),
    (
        'retry-deadline',
        'retries are allowed, and the first one would begin after the deadline',
        f'{_SERVICE}default_deadline_seconds = 0.05',
    ),
)
_AGENT_WARNINGS = (
    ('evacuated-all', 'every domain with serving agents is evacuated', _EVACUATED),
    (
        'evacuated-service',
        'every domain with serving agents of a service is evacuated',
        _EVACUATED,
    ),
    (
        'evacuated-unknown',
        'an evacuated domain has no serving agent',
        f'{_SERVICE}[evacuation e]\n',
    ),
    (
        'no-agents',
        'a service has no serving agent',
        f'{_SERVICE}{_SERVICE}'.replace('[service x]', '[service z]', 1).replace(
            '.1:1', '.2:1', 1
        ),
    ),
)

RULES: tuple[Rule, ...] = (
    *(Rule(name, Level.ERROR, summary, text) for name, summary, text in _ERRORS),
    *(Rule(name, Level.WARNING, summary, text) for name, summary, text in _WARNINGS),
    *(
        Rule(name, Level.WARNING, summary, text, needs_agents=True)
        for name, summary, text in _AGENT_WARNINGS
    ),
)
LEVEL_BY_RULE: typing.Mapping[str, Level] = types.MappingProxyType(
    {rule.name: rule.level for rule in RULES}
)
