"""The operators' configuration document, an INI file, and its ownership rules.

``[service NAME]`` describes a service and ``[team NAME]`` a team that owns
sections. ``[evacuation DOMAIN]``, which has no keys, takes new flows off a failure
domain.
"""

import fnmatch
import hashlib
import re
import typing

import msgspec

from egretjunction import _ini
from egretjunction import addresses
from egretjunction import errors

MAX_DOCUMENT_BYTES = 900_000
SERVICE_PREFIX = 'service '
TEAM_PREFIX = 'team '
EVACUATION_PREFIX = 'evacuation '
OPERATORS_TEAM = 'operators'
FULL_SHARE_PERCENT = 100
MAX_COUNT = 1_000_000
SECONDS_PER_DAY = 86_400
NO_DOMAINS: frozenset[str] = frozenset()

Name = typing.Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
PositiveCount = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=SECONDS_PER_DAY)]
Percent = typing.Annotated[int, msgspec.Meta(ge=0, le=100)]
_SHARE_PERCENT = re.compile('[0-9]{1,9}')
# Prefix of the section header, type of the section, and where it is kept by name.
_Kinds = tuple[tuple[str, type, dict[str, typing.Any]], ...]


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One ``[service NAME]`` section.

    :param name: name of the service.
    :param team: team that owns the section.
    :param address: address that callers send their packets to.
    :param backend_servers: name patterns of the backend servers that may serve.
    :param shares: ``pattern:percent`` pairs; the first match sets the share.
    :param queue_limit: requests that may wait at one backend server.
    :param large_paths: path patterns of large requests.
    :param large_bytes: minimum body size of a large request, in bytes.
    :param feed_paths: path patterns of feeds, which hold no slot.
    :param idempotent_methods: methods that may run twice.
    :param retry_percent: maximum retries, in percent of the new requests.
    :param slow_start_seconds: time in which a warm backend server reaches its
        full weight.
    :param default_deadline_seconds: deadline of requests that set none.
    """

    name: Name
    team: Name
    address: addresses.Address
    backend_servers: tuple[str, ...]
    shares: tuple[str, ...] = ()
    queue_limit: PositiveCount = 16
    large_paths: tuple[str, ...] = ()
    large_bytes: PositiveCount = 262_144
    feed_paths: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE')
    retry_percent: Percent = 10
    slow_start_seconds: Seconds = 10
    default_deadline_seconds: Seconds = 30

    def may_serve(self, backend_server: str) -> bool:
        """Return whether the name of a backend server matches a pattern."""
        return matches_any(backend_server, self.backend_servers)

    def share_of(self, backend_server: str) -> float:
        """Return the configured share of a backend server, 1 for a full share."""
        for share in self.shares:
            pattern, _, percent = share.rpartition(':')
            if fnmatch.fnmatchcase(backend_server, pattern):
                return int(percent) / FULL_SHARE_PERCENT
        return 1


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """One ``[team NAME]`` section.

    :param name: name of the team.
    :param key_sha256: SHA-256 digest of the key of the team's operators.
    """

    name: Name
    key_sha256: typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]


class Evacuation(msgspec.Struct, frozen=True, kw_only=True):
    """One ``[evacuation DOMAIN]`` section.

    :param name: name of the failure domain.
    """

    name: Name


class Document:
    """A validated document.

    :param sections: text of each section by its name, header line included.
    :param services: services by name.
    :param teams: teams by name.
    :param evacuated_domains: names of the evacuated failure domains.
    """

    __slots__ = ('evacuated_domains', 'sections', 'services', 'teams')

    def __init__(
        self,
        sections: dict[str, str],
        services: dict[str, Service],
        teams: dict[str, Team],
        evacuated_domains: frozenset[str] = NO_DOMAINS,
    ) -> None:
        self.sections = sections
        self.services = services
        self.teams = teams
        self.evacuated_domains = evacuated_domains

    def text(self) -> str:
        """Return the text of the whole document."""
        return join(self.sections)


def matches_any(text: str, patterns: typing.Iterable[str]) -> bool:
    """Return whether a text matches at least one shell pattern."""
    return any(fnmatch.fnmatchcase(text, pattern) for pattern in patterns)


def split(text: str) -> dict[str, str]:
    """Split a document into its sections, comments included.

    :param text: the document.
    :return: text by section name; lines before the first header are under ``''``.
    """
    lines_by_section: dict[str, list[str]] = {}
    section_name = ''
    for line in text.splitlines():
        stripped = line.strip()
        if stripped.startswith('[') and stripped.endswith(']'):
            section_name = stripped[1:-1]
        if section_name or stripped:
            lines_by_section.setdefault(section_name, []).append(line.rstrip())
    return {
        name: f'{chr(10).join(lines).strip()}\n'
        for name, lines in lines_by_section.items()
    }


def join(sections: dict[str, str]) -> str:
    """Join sections to a document, separated by blank lines."""
    return '\n'.join(sections.values())


def digest(text: str) -> str:
    """Return the SHA-256 digest of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse(text: str, source: str) -> Document:
    """Parse and validate a document.

    :param text: the document.
    :param source: name of the document for error messages.
    :raises errors.RefusedError: when it exceeds ``MAX_DOCUMENT_BYTES``.
    :raises errors.SettingsErrors: with every error in the document.
    """
    size = len(text.encode())
    if size > MAX_DOCUMENT_BYTES:
        raise errors.RefusedError(
            f'{source}: document has {size} bytes, maximum: {MAX_DOCUMENT_BYTES}',
        )
    reader = _ini.SectionReader(text, source)
    services: dict[str, Service] = {}
    teams: dict[str, Team] = {}
    evacuations: dict[str, Evacuation] = {}
    _read_sections(reader, services, teams, evacuations)
    _check_references(reader, services, teams)
    sections = split(text)
    _check_headers(reader, sections)
    reader.raise_errors()
    return Document(sections, services, teams, frozenset(evacuations))


def _read_sections(
    reader: _ini.SectionReader,
    services: dict[str, Service],
    teams: dict[str, Team],
    evacuations: dict[str, Evacuation],
) -> None:
    kinds: _Kinds = (
        (SERVICE_PREFIX, Service, services),
        (TEAM_PREFIX, Team, teams),
        (EVACUATION_PREFIX, Evacuation, evacuations),
    )
    for section in reader.parser.sections():
        _read_section(reader, section, kinds)


def _read_section(reader: _ini.SectionReader, section: str, kinds: _Kinds) -> None:
    """Read one section into the dictionary of its kind."""
    for prefix, section_type, section_by_name in kinds:
        if section.startswith(prefix):
            name = section.removeprefix(prefix)
            content = _read_named(reader, section, section_type, name)
            if content is not None:
                section_by_name[name] = content
            return
    allowed = '"service NAME" or "team NAME" or "evacuation DOMAIN"'
    reader.add_error(section, '*', section, allowed, 'unknown-section')


def patched_sections(
    sections: dict[str, str],
    changed: dict[str, str | None],
) -> dict[str, str]:
    """Return the sections with some of them replaced, added or removed.

    :param sections: text by section name.
    :param changed: new text by section name, None for a removed section.
    """
    patched = dict(sections)
    for name, text in changed.items():
        if text is None:
            patched.pop(name, None)
        else:
            patched[name] = text
    return patched


def patched_document(
    before: Document,
    changed: typing.Mapping[str, str | None],
    source: str,
) -> Document:
    """Return a document with some sections replaced, parsing only these.

    References between sections are not checked, because they were checked when
    the change was accepted.

    :param before: the document before the change.
    :param changed: new text by section name, None for a removed section.
    :param source: name of the change for error messages.
    :raises errors.SettingsErrors: with every error in the changed sections.
    """
    services = dict(before.services)
    teams = dict(before.teams)
    evacuations = {
        domain: Evacuation(name=domain) for domain in before.evacuated_domains
    }
    for section in changed:
        services.pop(section.removeprefix(SERVICE_PREFIX), None)
        teams.pop(section.removeprefix(TEAM_PREFIX), None)
        evacuations.pop(section.removeprefix(EVACUATION_PREFIX), None)
    new_texts = {name: text for name, text in changed.items() if text is not None}
    reader = _ini.SectionReader(join(new_texts), source)
    _read_sections(reader, services, teams, evacuations)
    reader.raise_errors()
    sections = patched_sections(before.sections, changed)
    return Document(sections, services, teams, frozenset(evacuations))


def _read_named(
    reader: _ini.SectionReader,
    section: str,
    section_type: type,
    name: str,
) -> typing.Any:
    """Read one section whose header contains a name."""
    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError:
        allowed = 'lower-case letters, digits, dots and hyphens, at most 63'
        reader.add_error(section, '*', name, allowed, 'section-name')
        return None
    return reader.read(section, section_type, name=name)


def _check_headers(reader: _ini.SectionReader, sections: dict[str, str]) -> None:
    """Check that both ways to find sections agree.

    The parser also takes a header with text after it, and takes an indented header for
    a continued value. Changes travel by section, so that a document of which only one
    of the two sees a section cannot be patched or sent to agents.
    """
    parsed = set(reader.parser.sections())
    for section in sorted(parsed.symmetric_difference(sections) - {''}):
        allowed = 'a line with nothing but [section], not indented'
        reader.add_error(section, '*', section, allowed, 'header')


def _check_references(
    reader: _ini.SectionReader,
    services: dict[str, Service],
    teams: dict[str, Team],
) -> None:
    section_by_address: dict[addresses.Address, str] = {}
    for service in services.values():
        section = SERVICE_PREFIX + service.name
        if service.team not in teams:
            defined_teams = ', '.join(sorted(teams)) or 'none is defined'
            allowed = f'a defined team: {defined_teams}'
            reader.add_error(section, 'team', service.team, allowed, 'undefined-team')
        other_section = section_by_address.setdefault(service.address, section)
        if other_section != section:
            allowed = f'an address that [{other_section}] does not use'
            given = str(service.address)
            reader.add_error(section, 'address', given, allowed, 'duplicate-address')
        _check_shares(reader, section, service)


def _check_shares(
    reader: _ini.SectionReader,
    section: str,
    service: Service,
) -> None:
    for share in service.shares:
        percent = share.rpartition(':')[2]
        is_pair = ':' in share and _SHARE_PERCENT.fullmatch(percent) is not None
        if not is_pair or int(percent) > FULL_SHARE_PERCENT:
            allowed = 'pattern:percent pairs such as bookings-1:50, percent up to 100'
            reader.add_error(section, 'shares', share, allowed, 'shares')


def owner_of(document: Document, section: str) -> str | None:
    """Return the name of the team that owns a section, or None."""
    if section.startswith(TEAM_PREFIX):
        name = section.removeprefix(TEAM_PREFIX)
        return name if name in document.teams else None
    if section.startswith(EVACUATION_PREFIX):
        return OPERATORS_TEAM
    service = document.services.get(section.removeprefix(SERVICE_PREFIX))
    return service.team if service is not None else None


def check_ownership(
    before: Document,
    after: Document,
    changed: typing.Iterable[str],
    team: str,
    key_sha256: str,
) -> None:
    """Check that a team may make a change.

    The accepted document determines the owner of an existing section, the new
    document that of an added one. The team ``operators`` may change every section;
    so may any team of the new document while the accepted one defines none.

    :param before: the accepted document.
    :param after: the document with the change.
    :param changed: names of the changed sections.
    :param team: the team that makes the change.
    :param key_sha256: SHA-256 digest of the key that the operator presents.
    :raises errors.OwnershipError: when the team is unknown, its key is wrong or
        another team owns a changed section.
    """
    known_team = before.teams.get(team) or after.teams.get(team)
    if known_team is None:
        raise errors.OwnershipError(f'team "{team}" is in no [team] section')
    if known_team.key_sha256 != key_sha256:
        raise errors.OwnershipError(f'the key is not that of team "{team}"')
    if team == OPERATORS_TEAM or not before.teams:
        return
    for section in changed:
        owner = owner_of(before, section) or owner_of(after, section)
        if owner != team:
            raise errors.OwnershipError(
                f'section "{section}" belongs to team "{owner}", not to "{team}"',
            )
