"""Reads a document and reports its findings and its difference to the one in force."""

import pathlib
import typing

import msgspec

from egretjunction import errors
from egretjunction import evacuations
from egretjunction import operators
from egretjunction import platform
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from egretjunction.decisions import document_checks
from egretjunction.decisions import document_rules
from egretjunction.decisions import evacuation

EXIT_WARNINGS = 1


class InForce(msgspec.Struct, frozen=True):
    """Difference of a document to the accepted one.

    :param generation: the accepted generation.
    :param differences: unified diff of each section that would change.
    """

    generation: int
    differences: dict[str, str]


class Report(msgspec.Struct, frozen=True, rename={'source': 'file'}):
    """What is known of one document.

    :param source: name of the file.
    :param services: number of services, 0 for a document with errors.
    :param teams: number of teams, 0 for a document with errors.
    :param findings: what breaks a rule.
    :param in_force: difference to the accepted document, None when it was not read.
    :param notes: what could not be examined, and why.
    """

    source: str
    services: int
    teams: int
    findings: tuple[document_rules.Finding, ...]
    in_force: InForce | None = None
    notes: tuple[str, ...] = ()

    def count(self, level: document_rules.Level) -> int:
        """Return the number of findings of a level."""
        return sum(1 for finding in self.findings if finding.level is level)

    def exit_code(self, is_strict: bool) -> int:
        """Return 2 for errors, 1 for warnings when these count, else 0."""
        if self.count(document_rules.Level.ERROR):
            return errors.EXIT_USAGE
        has_warnings = self.count(document_rules.Level.WARNING) > 0
        return EXIT_WARNINGS if is_strict and has_warnings else 0


async def make(path: str, url: str | None, admin: str | None) -> Report:
    """Return the report on a document.

    Without a document, or with errors in it, neither address is called.

    :param path: name of the file.
    :param url: base URL of the platform, None to leave out the differences.
    :param admin: admin address of an entry, which knows the agents, None to leave out
        the rules that need them.
    """
    try:
        text = _read(path)
    except errors.SettingsError as error:
        return Report(path, 0, 0, (document_checks.from_error(error),))
    parsed, findings = document_checks.check(text, path)
    if parsed is None:
        return Report(path, 0, 0, tuple(findings))
    notes: list[str] = []
    if admin is not None:
        findings = await _check_with_agents(text, path, admin, notes)
    in_force = None if url is None else await _in_force(parsed, url, notes)
    return Report(
        path,
        len(parsed.services),
        len(parsed.teams),
        tuple(findings),
        in_force,
        tuple(notes),
    )


def _read(path: str) -> str:
    """Return the text of a file, at most a little more than a document may have."""
    try:
        with pathlib.Path(path).open('rb') as file_object:
            content = file_object.read(document.MAX_DOCUMENT_BYTES + 1)
        if len(content) > document.MAX_DOCUMENT_BYTES:
            given = f'more than {document.MAX_DOCUMENT_BYTES} bytes'
            raise _unreadable(path, given, 'size')
        # Universal newlines, as in the files that the other commands read.
        return content.decode().replace('\r\n', '\n').replace('\r', '\n')
    except (OSError, ValueError) as error:
        raise _unreadable(path, str(error), 'unreadable') from error


def _unreadable(path: str, given: str, rule: str) -> errors.SettingsError:
    allowed = f'a text file of at most {document.MAX_DOCUMENT_BYTES} bytes'
    return errors.SettingsError(path, '*', '*', given, allowed, rule=rule)


async def _check_with_agents(
    text: str, path: str, admin: str, notes: list[str]
) -> list[document_rules.Finding]:
    domains_by_service = None
    try:
        domains_by_service = await evacuations.serving_domains(admin)
    except errors.EgretjunctionError as error:
        notes.append(f'not compared with agents: {error}')
    return document_checks.check(text, path, domains_by_service)[1]


async def _in_force(
    parsed: document.Document, url: str, notes: list[str]
) -> InForce | None:
    try:
        accepted = await operators.read(platform.Platform(url))
    except (errors.EgretjunctionError, ExceptionGroup) as error:
        notes.append(f'not compared with the version in force: {error}')
        return None
    return InForce(accepted.generation, differences(parsed, accepted.document))


def differences(
    wanted: document.Document, accepted: document.Document
) -> dict[str, str]:
    """Return a unified diff of each section that applying a document would change.

    :param wanted: the document; its evacuations are disregarded, as when it is applied.
    :param accepted: the accepted document.
    """
    before = accepted.sections
    after = evacuation.with_evacuations_of(wanted, accepted).sections
    return {
        name: configuration.section_diff(
            name, before.get(name, ''), after.get(name, '')
        )
        for name in configuration.difference(before, after)
    }


def lines(report: Report) -> typing.Iterator[str]:
    """Yield one line for each finding, and for each thing that was not examined."""
    for finding in report.findings:
        place = f'{finding.source}:{finding.line}: section "{finding.section}"'
        yield (
            f'{finding.level.value}: {place}, key "{finding.key}": {finding.message} '
            f'[{finding.rule}]'
        )
    for note in report.notes:
        yield f'note: {note}'
