"""The operators' document: sections, services, merging and what is in force.

The document is INI. ``[service NAME]`` describes a service and ``[team NAME]``
a team that owns sections. The platform's head record holds the generation and
the recent changes; whole documents are immutable snapshots beside it.
"""

import difflib
import fnmatch
import hashlib
import typing

import msgspec

from egretjunction import _ini
from egretjunction import addresses
from egretjunction import errors

MAX_DOCUMENT_BYTES = 900_000
MAX_RECENT_BYTES = 48_000
MAX_RECENT_CHANGES = 64
SERVICE_PREFIX = 'service '
TEAM_PREFIX = 'team '
OPERATORS_TEAM = 'operators'
DEFAULT_SHARE = 100

Name = typing.Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
Positive = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Percent = typing.Annotated[int, msgspec.Meta(ge=0, le=100)]


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One ``[service NAME]`` section.

    :param name: name of the service.
    :param team: team that owns the section.
    :param address: the address that callers use.
    :param backend_servers: name patterns of the backend servers that may serve.
    :param shares: ``pattern:percent`` pairs; the first match sets the share.
    :param queue_limit: requests that may wait at one backend server.
    :param large_paths: path patterns of large requests.
    :param large_bytes: request bodies from this size on are large.
    :param feed_paths: path patterns of feeds, which hold no slot.
    :param idempotent_methods: methods that may run twice.
    :param retry_percent: retries as a share of fresh requests.
    :param slow_start_seconds: ramp of a backend server that became warm.
    :param default_deadline_seconds: used when the caller names no deadline.
    """

    name: Name
    team: Name
    address: addresses.Address
    backend_servers: tuple[str, ...]
    shares: tuple[str, ...] = ()
    queue_limit: Positive = 16
    large_paths: tuple[str, ...] = ()
    large_bytes: Positive = 262_144
    feed_paths: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE')
    retry_percent: Percent = 10
    slow_start_seconds: Seconds = 10
    default_deadline_seconds: Seconds = 30

    def may_serve(self, backend_server: str) -> bool:
        """Tell whether a backend server's name matches one of the patterns."""
        return matches_any(backend_server, self.backend_servers)

    def share_of(self, backend_server: str) -> float:
        """Return the share of a backend server, 1 for a full one."""
        for pair in self.shares:
            pattern, _, percent = pair.rpartition(':')
            if fnmatch.fnmatchcase(backend_server, pattern):
                return int(percent) / DEFAULT_SHARE
        return 1


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """One ``[team NAME]`` section.

    :param name: name of the team.
    :param key_sha256: digest of the key that the team's operators hold.
    """

    name: Name
    key_sha256: typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]


class Document:
    """A checked document.

    :param sections: text of each section by its name, header line included.
    :param services: services by name.
    :param teams: teams by name.
    """

    __slots__ = ('sections', 'services', 'teams')

    def __init__(
        self,
        sections: dict[str, str],
        services: dict[str, Service],
        teams: dict[str, Team],
    ) -> None:
        self.sections = sections
        self.services = services
        self.teams = teams

    def text(self) -> str:
        """Return the whole document."""
        return join(self.sections)


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change: an entry of the audit trail and a delta.

    :param sections: new text of each changed section, None for a removed one.
    """

    generation: int
    change_id: str
    who: str
    team: str
    when: str
    note: str
    sections: dict[str, str | None]


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The record that the platform's compare-and-swap protects.

    :param snapshot_key: key of the whole document at this generation.
    :param snapshot_sha256: digest of that document.
    :param recent: the latest changes, oldest first.
    """

    generation: int
    change_id: str
    snapshot_key: str
    snapshot_sha256: str
    recent: tuple[Change, ...]


def matches_any(text: str, patterns: typing.Iterable[str]) -> bool:
    """Tell whether a text matches one of some shell patterns."""
    return any(fnmatch.fnmatchcase(text, pattern) for pattern in patterns)


def split(text: str) -> dict[str, str]:
    """Cut a document into its sections, comments included.

    :param text: the document.
    :return: text by section name; lines before the first header are under ``''``.
    """
    lines_by_section: dict[str, list[str]] = {}
    current = ''
    for line in text.splitlines():
        stripped = line.strip()
        if stripped.startswith('[') and stripped.endswith(']'):
            current = stripped[1:-1]
        if current or stripped:
            lines_by_section.setdefault(current, []).append(line.rstrip())
    return {
        name: '\n'.join(lines).strip('\n') + '\n'
        for name, lines in lines_by_section.items()
    }


def join(sections: dict[str, str]) -> str:
    """Return the document of some sections, separated by blank lines."""
    return '\n'.join(sections.values())


def digest(text: str) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse(text: str, source: str) -> Document:
    """Check a document and return it.

    :param text: the document.
    :param source: file name for messages.
    :raises errors.RefusedError: when it is larger than the stated maximum.
    :raises errors.SettingsErrors: with every error in it.
    """
    size = len(text.encode())
    if size > MAX_DOCUMENT_BYTES:
        raise errors.RefusedError(
            f'{source}: document has {size} bytes, allowed: {MAX_DOCUMENT_BYTES}',
        )
    reader = _ini.SectionReader(text, source)
    services: dict[str, Service] = {}
    teams: dict[str, Team] = {}
    for section in reader.parser.sections():
        if section.startswith(SERVICE_PREFIX):
            name = section.removeprefix(SERVICE_PREFIX)
            service = _read_named(reader, section, Service, name)
            if service is not None:
                services[name] = service
        elif section.startswith(TEAM_PREFIX):
            name = section.removeprefix(TEAM_PREFIX)
            team = _read_named(reader, section, Team, name)
            if team is not None:
                teams[name] = team
        else:
            allowed = '"service NAME" or "team NAME"'
            reader.report(section, '*', section, allowed)
    _check_references(reader, services, teams)
    reader.finish()
    return Document(split(text), services, teams)


def _read_named(
    reader: _ini.SectionReader,
    section: str,
    kind: type,
    name: str,
) -> typing.Any:
    """Read one section whose header carries a name."""
    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError:
        allowed = 'lower-case letters, digits, dots and hyphens, at most 63'
        reader.report(section, '*', name, allowed)
        return None
    return reader.read(section, kind, name=name)


def _check_references(
    reader: _ini.SectionReader,
    services: dict[str, Service],
    teams: dict[str, Team],
) -> None:
    section_by_address: dict[addresses.Address, str] = {}
    for service in services.values():
        section = SERVICE_PREFIX + service.name
        if service.team not in teams and reader.parser.has_section(section):
            known = ', '.join(sorted(teams)) or 'none is defined'
            reader.report(section, 'team', service.team, f'a defined team: {known}')
        other = section_by_address.setdefault(service.address, section)
        if other != section:
            allowed = f'an address that [{other}] does not use'
            reader.report(section, 'address', str(service.address), allowed)
        for pair in service.shares:
            percent = pair.rpartition(':')[2]
            if ':' not in pair or not percent.isdigit():
                allowed = 'pattern:percent pairs such as bookings-1:50'
                reader.report(section, 'shares', pair, allowed)


def difference(
    before: dict[str, str],
    after: dict[str, str],
) -> dict[str, str | None]:
    """Return the sections that differ, with None for a removed one."""
    changed: dict[str, str | None] = {}
    for name in [*before, *after]:
        if before.get(name) != after.get(name):
            changed[name] = after.get(name)
    return changed


def unified(section: str, before: str, after: str) -> str:
    """Return a unified diff of one section."""
    lines = difflib.unified_diff(
        before.splitlines(),
        after.splitlines(),
        f'before [{section}]',
        f'after [{section}]',
        lineterm='',
    )
    return '\n'.join(lines)


def patch(
    sections: dict[str, str],
    changed: dict[str, str | None],
) -> dict[str, str]:
    """Return sections with some of them replaced, added or removed."""
    patched = dict(sections)
    for name, text in changed.items():
        if text is None:
            patched.pop(name, None)
        else:
            patched[name] = text
    return patched


def merge(
    base: dict[str, str],
    ours: dict[str, str],
    theirs: dict[str, str],
) -> dict[str, str]:
    """Merge two edits of one base, section by section.

    :param base: the sections that our edit began with.
    :param ours: the sections that we want.
    :param theirs: the sections that are accepted by now.
    :raises ExceptionGroup: one ``EditConflictError`` for each section that both
        edits changed in different ways.
    """
    our_change = difference(base, ours)
    their_change = difference(base, theirs)
    conflicts = [
        errors.EditConflictError(
            name,
            unified(name, base.get(name, ''), ours.get(name, '')),
            unified(name, base.get(name, ''), theirs.get(name, '')),
        )
        for name in our_change
        if name in their_change and our_change[name] != their_change[name]
    ]
    if conflicts:
        raise ExceptionGroup('the same sections were changed twice', conflicts)
    return patch(theirs, our_change)


def owner_of(document: Document, section: str) -> str | None:
    """Return the team that owns a section, or None when it has no owner."""
    if section.startswith(TEAM_PREFIX):
        name = section.removeprefix(TEAM_PREFIX)
        return name if name in document.teams else None
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

    The accepted document decides who owns a section that exists; the new one
    decides for sections that it adds. The team ``operators`` may change all.

    :param before: the accepted document.
    :param after: the wanted document.
    :param changed: names of the changed sections.
    :param team: the team that makes the change.
    :param key_sha256: digest of the key that the operator presents.
    :raises errors.OwnershipError: when the team or its key is the wrong one.
    """
    known = before.teams.get(team) or after.teams.get(team)
    if known is None:
        raise errors.OwnershipError(f'team "{team}" is in no [team] section')
    if known.key_sha256 != key_sha256:
        raise errors.OwnershipError(f'the key is not that of team "{team}"')
    if team == OPERATORS_TEAM or not before.teams:
        return
    for section in changed:
        owner = owner_of(before, section) or owner_of(after, section)
        if owner != team:
            raise errors.OwnershipError(
                f'section "{section}" belongs to team "{owner}", not to "{team}"',
            )


def advance(
    head: Head | None,
    change: Change,
    snapshot_key: str,
    document_text: str,
) -> tuple[Head, tuple[Change, ...]]:
    """Return the head after a change and the changes that no longer fit in it.

    :param head: the head before, None for the first change.
    :param change: the change, with the next generation.
    :param snapshot_key: where the new document was put.
    :param document_text: the new document.
    """
    recent = [*(head.recent if head else ()), change]
    dropped = []
    while len(recent) > 1 and (
        len(recent) > MAX_RECENT_CHANGES
        or len(msgspec.json.encode(recent)) > MAX_RECENT_BYTES
    ):
        dropped.append(recent.pop(0))
    if len(msgspec.json.encode(recent)) > MAX_RECENT_BYTES:
        recent = [msgspec.structs.replace(change, sections={})]
    advanced = Head(
        generation=change.generation,
        change_id=change.change_id,
        snapshot_key=snapshot_key,
        snapshot_sha256=digest(document_text),
        recent=tuple(recent),
    )
    return advanced, tuple(dropped)


class InForce:
    """The configuration that one process follows; it never goes back.

    :param generation: 0 while nothing is in force.
    """

    __slots__ = ('change_id', 'document', 'generation', 'recent')

    def __init__(self) -> None:
        self.generation = 0
        self.change_id = ''
        self.document = Document({}, {}, {})
        self.recent: tuple[Change, ...] = ()

    def follow(self, changes: typing.Iterable[Change]) -> bool:
        """Apply changes that follow the generation in force.

        Changes up to the generation in force are skipped. A gap stops the walk:
        the caller then needs a snapshot.

        :return: whether something was applied.
        """
        wanted = self.generation + 1
        sections = self.document.sections
        applied: list[Change] = []
        for change in sorted(changes, key=lambda each: each.generation):
            if change.generation == wanted and change.sections:
                sections = patch(sections, change.sections)
                applied.append(change)
                wanted += 1
        if not applied:
            return False
        text = join(sections)
        self._set(applied[-1], parse(text, f'generation {wanted - 1}'))
        self._remember(applied)
        return True

    def replace(self, change: Change, text: str) -> bool:
        """Take a whole document if its generation is newer.

        :param change: the change that made the document.
        :param text: the document.
        :return: whether it was taken.
        """
        if change.generation <= self.generation:
            return False
        self._set(change, parse(text, f'generation {change.generation}'))
        self.recent = ()
        self._remember([change])
        return True

    def changes_after(self, generation: int) -> tuple[Change, ...] | None:
        """Return the changes from a generation to the one in force.

        :return: None when they are not all kept here.
        """
        later = tuple(each for each in self.recent if each.generation > generation)
        if len(later) == self.generation - generation and all(
            each.sections for each in later
        ):
            return later
        return None

    def _set(self, change: Change, document: Document) -> None:
        self.generation = change.generation
        self.change_id = change.change_id
        self.document = document

    def _remember(self, applied: list[Change]) -> None:
        kept = [*self.recent, *applied][-MAX_RECENT_CHANGES:]
        self.recent = tuple(kept)
